"""The design's breaker (docs/design.md): the larger of an error chance and a latency chance refuses locally.

The mechanism is that of go-zero PR #5366 with SRE-book throttling. Sans I/O: every method takes the time.
"""

from __future__ import annotations

from collections import deque
from random import Random

from lugspur.load_balancing.model import LearnedBreaker

WINDOW = 10.0  # seconds that the error ratio looks back
BUCKETS = 40
K = 1.5  # accepted calls are worth this many requests...
MIN_K = 1.1  # ...and this many when every recent bucket fails
PROTECTION = 5  # requests that never count against a server
OUTLIER_LEAST = 2  # failures in the window that make an outlier of a server where they are most of its calls
FORCE_PASS = 1.0  # seconds between calls that pass whatever the ratio
ACTIVATION = 3.0  # the latency chance starts at this multiple of the baseline...
CEILING = 0.95  # ...and is full at this part of the timeout...
LATENCY_CAP = 0.3  # ...where it has this value


class Breaker:
    """The design's chance of refusing locally: a call to one server, or any request of a pool."""

    __slots__ = (
        "_accepts",
        "_failing",
        "_failures",
        "_requests",
        "_ring",
        "_width",
        "baseline",
        "current",
        "last_pass",
    )

    def __init__(self, window: float = WINDOW) -> None:
        self._width = window / BUCKETS
        self._ring: deque[list[int]] = deque()  # [bucket number, requests, accepts, failures]
        self._requests = self._accepts = self._failures = self._failing = 0
        self.baseline = self.current = 0.0
        self.last_pass = float("-inf")

    def _count(self, now: float) -> list[int]:
        """The bucket of now, with one more request in it."""
        number = int(now / self._width)
        ring = self._ring
        if not ring or ring[-1][0] < number:
            self._expire(number)
            ring.append([number, 0, 0, 0])
        ring[-1][1] += 1
        self._requests += 1
        return ring[-1]

    def _expire(self, number: int) -> None:
        ring = self._ring
        while ring and ring[0][0] <= number - BUCKETS:
            old = ring.popleft()
            self._requests -= old[1]
            self._accepts -= old[2]
            self._failures -= old[3]
        self._failing = min(self._failing, len(ring))

    def save(self) -> LearnedBreaker:
        """What it counted, for one that goes on in its place."""
        return LearnedBreaker(self.baseline, self.current, tuple((n, r, a, f) for n, r, a, f in self._ring))

    def load(self, learned: LearnedBreaker) -> None:
        """Go on where another was."""
        self.baseline, self.current = learned.baseline, learned.current
        self._ring = deque([list(bucket) for bucket in learned.window[-BUCKETS:]])
        _, self._requests, self._accepts, self._failures = (
            [sum(column) for column in zip(*self._ring, strict=True)] if self._ring else [0, 0, 0, 0]
        )
        self._failing = 0

    def refused(self, now: float) -> None:
        """Count a call refused here."""
        self._count(now)

    def accepted(self, now: float) -> None:
        """Count a call that the server accepted."""
        self._count(now)[2] += 1
        self._accepts += 1
        self._failing = 0

    def failed(self, now: float) -> None:
        """Count an error, time-out, full refusal or failed connection."""
        bucket = self._count(now)
        if not bucket[2] and not bucket[3]:
            self._failing += 1  # newest run of buckets that only failed
        bucket[3] += 1
        self._failures += 1

    def sample(self, latency: float) -> None:
        """Move both averages by the latency of a success."""
        if self.current <= 0.0:
            self.baseline = self.current = latency
            return
        weight = 4.0 if latency < self.baseline else 100.0
        self.baseline += (latency - self.baseline) / weight
        self.current += (latency - self.current) / 4.0

    def failed_part(self, now: float) -> float:
        """The part of the calls that failed, of those not refused here."""
        self._expire(int(now / self._width))
        return self._failures / (self._failures + self._accepts + PROTECTION)

    def mostly_fails(self, now: float) -> bool:
        """Whether most of the calls that went out failed, and not just one."""
        self._expire(int(now / self._width))
        return self._failures >= OUTLIER_LEAST and self._failures > self._accepts

    def error_ratio(self, now: float, most: float = K, protection: float = PROTECTION) -> float:
        """Adaptive throttling over the window; K falls as the newest failing buckets grow."""
        self._expire(int(now / self._width))
        k = most - (most - MIN_K) * self._failing / BUCKETS
        return max(0.0, (self._requests - protection - k * self._accepts) / (self._requests + 1))

    def latency_ratio(self, timeout: float) -> float:
        """The capped chance for a current latency far over the baseline; 0 without a usable timeout."""
        threshold = ACTIVATION * self.baseline
        span = CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        return min(max((self.current - threshold) / span * LATENCY_CAP, 0.0), LATENCY_CAP)

    def drop_probability(self, now: float, timeout: float) -> float:
        """The larger of the two chances."""
        return max(self.error_ratio(now), self.latency_ratio(timeout))

    def refuses(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to refuse this call; one call a second passes while calls are dropped."""
        chance = self.drop_probability(now, timeout)
        if chance <= 0.0:
            return False
        if now - self.last_pass < FORCE_PASS and rng.random() < chance:
            self.refused(now)
            return True
        self.last_pass = now
        return False
