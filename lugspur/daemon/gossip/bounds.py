"""What others may cost this process: datagrams a second from each place, and bytes a second to all."""

from __future__ import annotations

from collections import OrderedDict

from lugspur.daemon.gossip.wire import MAX_DATAGRAM_BYTES

EACH_RATE, EACH_BURST = 100.0, 200.0  # datagrams a second from one address: a member sends some 20 when all goes wrong
ALL_RATE, ALL_BURST = 2000.0, 2000.0  # datagrams a second from all: some 100 us each, so a fifth of a core at most
PLACES_MOST = 4096  # addresses that are told apart: four times the members; the longest silent is forgotten
OUT_RATE, OUT_BURST = 128 * 1024.0, 256 * 1024.0  # bytes a second sent: a hundred times what a calm member sends


class Bucket:
    """So much a second, and so much at once."""

    __slots__ = ("_at", "_burst", "_left", "_rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst = rate, burst
        self._left, self._at = burst, now

    def take(self, amount: float, now: float) -> bool:
        """Whether there is so much; then it is gone."""
        if now > self._at:
            self._left = min(self._burst, self._left + self._rate * (now - self._at))
            self._at = now
        if self._left < amount:
            return False
        self._left -= amount
        return True


class Bounds:
    """What one process reads and sends."""

    def __init__(self, now: float) -> None:
        self._places: OrderedDict[str, Bucket] = OrderedDict()
        self._all = Bucket(ALL_RATE, ALL_BURST, now)
        self._out = Bucket(OUT_RATE, OUT_BURST, now)

    def reads(self, place: str, now: float) -> bool:
        """Whether a datagram from there is read: a flood from one place takes nobody else's turn."""
        bucket = self._places.get(place)
        if bucket is None:
            if len(self._places) >= PLACES_MOST:
                self._places.popitem(last=False)
            bucket = self._places[place] = Bucket(EACH_RATE, EACH_BURST, now)
        self._places.move_to_end(place)
        return bucket.take(1.0, now) and self._all.take(1.0, now)

    def sends(self, size: int, now: float) -> bool:
        """Whether so many bytes may go out."""
        return self._out.take(min(size, MAX_DATAGRAM_BYTES), now)
