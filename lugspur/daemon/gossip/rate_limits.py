"""Limits on what others may cost this process: datagrams read per second and source, and bytes sent per second."""

from __future__ import annotations

from collections import OrderedDict

from lugspur.daemon.gossip.messages import MAX_DATAGRAM_BYTES

# From one address. A member sends some 20 a second when everything goes wrong at once.
MAX_SOURCE_DATAGRAMS_PER_SECOND, MAX_SOURCE_BURST_DATAGRAMS = 100.0, 200.0
# From all addresses together. One takes some 100 us, so this is a fifth of a core at most.
MAX_DATAGRAMS_PER_SECOND, MAX_BURST_DATAGRAMS = 2000.0, 2000.0
MAX_TRACKED_SOURCES = 4096  # addresses: four times the members; the one that was silent longest is dropped
# A hundred times what a member sends while nothing happens.
MAX_SENT_BYTES_PER_SECOND, MAX_SENT_BURST_BYTES = 128 * 1024.0, 256 * 1024.0


class TokenBucket:
    """A rate limit per second that allows a burst.

    Args:
        rate: Tokens that are added each second.
        burst: Tokens that the bucket holds at most; it starts full.
        now: Seconds of a monotonic clock.
    """

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst = rate, burst
        self._tokens, self._updated_at = burst, now

    def take(self, tokens: float, now: float) -> bool:
        """Remove that many tokens; return False, and remove none, if there are fewer."""
        if now > self._updated_at:
            self._tokens = min(self._burst, self._tokens + self._rate * (now - self._updated_at))
            self._updated_at = now
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True


class DatagramRateLimiter:
    """Decides which datagrams one process reads and sends."""

    def __init__(self, now: float) -> None:
        self._sources: OrderedDict[str, TokenBucket] = OrderedDict()  # the least recently active first
        self._received = TokenBucket(MAX_DATAGRAMS_PER_SECOND, MAX_BURST_DATAGRAMS, now)
        self._sent = TokenBucket(MAX_SENT_BYTES_PER_SECOND, MAX_SENT_BURST_BYTES, now)

    def allows_receive(self, source: str, now: float) -> bool:
        """Return whether to read a datagram from this source.

        The source's own limit comes first, so that a flood from one address does not use up the limit of all.
        """
        bucket = self._sources.get(source)
        if bucket is None:
            if len(self._sources) >= MAX_TRACKED_SOURCES:
                self._sources.popitem(last=False)
            bucket = TokenBucket(MAX_SOURCE_DATAGRAMS_PER_SECOND, MAX_SOURCE_BURST_DATAGRAMS, now)
            self._sources[source] = bucket
        self._sources.move_to_end(source)
        return bucket.take(1.0, now) and self._received.take(1.0, now)

    def allows_send(self, size_bytes: int, now: float) -> bool:
        """Return whether a datagram of this size may be sent."""
        return self._sent.take(min(size_bytes, MAX_DATAGRAM_BYTES), now)
