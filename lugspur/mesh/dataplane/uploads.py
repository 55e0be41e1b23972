"""Before the gate, without I/O: in which order large bodies cross the machine's link, so that small messages get by.

Who wants to send one says how large it is, and sends as much as it is granted. What would come too late is turned away
before its bytes have crossed anything; what was granted and is not here yet is bounded, and so is the time for which
answers and calls wait behind it on the link.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lugspur.mesh.control.messages import ForwardRequest

PART = 8 << 10  # bytes of one grant: 25 ms of the slowest links that are known
AHEAD = 0.05  # seconds of the link that are granted ahead: longer than a grant takes to get there and back
WHOLE_WITHIN = 0.03  # seconds of the receiver's link: a body that takes less is sent without a word ahead
STALLED = 0.3  # seconds after which a sender that brought nothing holds nobody up
WAIT_PART = 0.5  # of the time that its answer is worth most in, less what it takes, for waiting its turn...
WAIT_BACK = 0.9  # ...and where its caller comes back: it is lost if it is turned away once more
USED = 0.9  # of the link, for what is granted; the rest is for all else

Rank = tuple[int, float]
Key = tuple[Any, int]  # from where it comes, and its number there


def in_parts(size: int, rate: float) -> bool:
    """Whether a body for a machine whose link carries `rate` bytes a second (0: unknown) goes in parts."""
    return rate > 0.0 and size > max(PART, rate * WHOLE_WITHIN)


@dataclass(slots=True)
class Upload:
    """One body on its way."""

    forward: ForwardRequest
    rank: Rank
    since: float
    until: float
    body: bytearray
    granted: int = 0
    at: float = 0.0  # when it last brought anything, or was granted some while it owed nothing

    @property
    def owed(self) -> int:
        """Bytes that were granted and are not here yet."""
        return self.granted - len(self.body)

    def stalled(self, now: float) -> bool:
        """Whether it owes bytes and has brought none for long."""
        return self.owed > 0 and now - self.at >= STALLED


class UploadScheduler:
    """All bodies that arrive in parts. `rate`: bytes a second of the link; `memory`: bytes that they may take."""

    def __init__(self, rate: float, memory: int) -> None:
        self._rate = rate * USED
        self._memory = memory
        self._ahead = max(2 * PART, int(rate * AHEAD))
        self._uploads: dict[Key, Upload] = {}

    def __len__(self) -> int:
        return len(self._uploads)

    def offer(self, now: float, key: Key, forward: ForwardRequest, rank: Rank, pace: float) -> bool:
        """Whether a body is taken; `pace`: seconds that the backend takes for it."""
        size = forward.body_bytes
        total = sum(a.forward.body_bytes for a in self._uploads.values())
        if self._rate <= 0.0 or size <= 0 or total + size > self._memory or key in self._uploads:
            return False
        before = sum(a.forward.body_bytes - len(a.body) for a in self._uploads.values() if a.rank <= rank)
        wait, takes = before / self._rate, size / self._rate + pace
        # Guards the worth of all: a queue in which everybody is late serves no more than a short one.
        fits = before == 0 or wait <= (WAIT_BACK if forward.was_rejected else WAIT_PART) * (
            forward.latency_target_left - takes
        )
        if fits:
            self._uploads[key] = Upload(forward, rank, now, now + forward.seconds_left, bytearray(), 0, now)
        return fits

    def part(self, now: float, key: Key, data: bytes) -> ForwardRequest | None:
        """Bytes have come; the request once they are all there. Raises ValueError for more than was granted."""
        found = self._uploads.get(key)
        if found is None:  # it was dropped while they were on their way
            return None
        if len(found.body) + len(data) > found.granted:
            raise ValueError("more bytes than were granted")
        found.body += data
        found.at = now
        forward = found.forward
        if len(found.body) < forward.body_bytes:
            return None
        del self._uploads[key]
        forward.body = bytes(found.body)
        forward.seconds_left = found.until - now
        forward.latency_target_left -= now - found.since
        return forward

    def drop(self, key: Key) -> bool:
        """Nobody sends it any more; whether it was on its way."""
        return self._uploads.pop(key, None) is not None

    def of(self, source: Any) -> list[Key]:
        """All that come from one source."""
        return [key for key in self._uploads if key[0] is source]

    def expired(self, now: float) -> list[Key]:
        """Those whose time is over, dropped."""
        gone = [key for key, a in self._uploads.items() if now >= a.until]
        for key in gone:
            del self._uploads[key]
        return gone

    def grants(self, now: float) -> list[tuple[Key, int]]:
        """Who may send up to where now: the first in rank, as far as the link has room."""
        # Guards the link against a sender that says nothing: what it was granted holds up nobody for long, and it is
        # granted no more until it brings what it owes, else its whole body could come at once when it wakes.
        sending = [a for a in self._uploads.items() if not a[1].stalled(now)]
        owed = sum(a.owed for _, a in sending)
        found: dict[Key, int] = {}
        for key, a in sorted(sending, key=lambda row: row[1].rank):
            while a.granted < a.forward.body_bytes and owed + PART <= self._ahead:
                if a.owed == 0:
                    a.at = now
                step = min(PART, a.forward.body_bytes - a.granted)
                a.granted += step
                owed += step
                found[key] = a.granted
        return list(found.items())
