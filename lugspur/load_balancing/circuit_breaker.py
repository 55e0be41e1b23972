"""Circuit breaker that rejects locally with the larger of an error probability and a latency probability.

The mechanism is that of go-zero PR #5366 (docs/design.md) on adaptive throttling. Times are in seconds.
"""

from random import Random

from lugspur.load_balancing.adaptive_throttling import AdaptiveThrottle
from lugspur.load_balancing.model import LearnedBreaker

FORCED_PASS_INTERVAL_SECONDS = 1.0  # between requests that pass whatever the rejection probability
BASELINE_DECAY_FACTOR = 4.0  # divides the step of the baseline towards a lower latency, which it follows fast
BASELINE_RISE_FACTOR = 100.0  # divides its step towards a higher latency, which it follows slowly
CURRENT_LATENCY_FACTOR = 4.0  # divides each step of the current latency
LATENCY_ACTIVATION_MULTIPLE = 3.0  # multiple of the baseline from which the latency probability is above 0
LATENCY_CEILING_RATIO = 0.95  # part of the timeout at which the latency probability reaches its maximum
MAX_LATENCY_PROBABILITY = 0.3


class CircuitBreaker(AdaptiveThrottle):
    """Decides whether to reject an attempt to one server; also used for the requests of a pool as a whole.

    `baseline_latency` is the latency without load, `current_latency` the recent average, both in seconds
    and 0 until the first success.
    """

    __slots__ = ("baseline_latency", "current_latency", "last_passed_at")

    def __init__(self) -> None:
        super().__init__()
        self.baseline_latency = self.current_latency = 0.0
        self.last_passed_at = float("-inf")

    def export_learned(self) -> LearnedBreaker:
        """Return the window and both averages, for a breaker that replaces this one."""
        return LearnedBreaker(self.baseline_latency, self.current_latency, self._export_window())

    def import_learned(self, learned: LearnedBreaker) -> None:
        """Continue from the window and averages of another breaker."""
        self.baseline_latency, self.current_latency = learned.baseline, learned.current
        self._import_window(learned.window)

    def observe_latency(self, latency: float) -> None:
        """Update both averages with the latency of a success."""
        if self.current_latency <= 0.0:
            self.baseline_latency = self.current_latency = latency
            return
        factor = BASELINE_DECAY_FACTOR if latency < self.baseline_latency else BASELINE_RISE_FACTOR
        self.baseline_latency += (latency - self.baseline_latency) / factor
        self.current_latency += (latency - self.current_latency) / CURRENT_LATENCY_FACTOR

    def latency_probability(self, timeout: float) -> float:
        """Return (current - 3 x baseline) / (0.95 x timeout - 3 x baseline) x 0.3, clamped to 0 and 0.3.

        The probability is 0 without a baseline, and where the ceiling is not above the threshold.
        """
        threshold = LATENCY_ACTIVATION_MULTIPLE * self.baseline_latency
        span = LATENCY_CEILING_RATIO * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        probability = (self.current_latency - threshold) / span * MAX_LATENCY_PROBABILITY
        return min(max(probability, 0.0), MAX_LATENCY_PROBABILITY)

    def rejection_probability(self, now: float, timeout: float) -> float:
        """Return the larger of the error probability and the latency probability."""
        return max(self.error_probability(now), self.latency_probability(timeout))

    def rejects(self, now: float, timeout: float, rng: Random) -> bool:
        """Return whether to reject this attempt; one attempt a second passes while others are rejected."""
        probability = self.rejection_probability(now, timeout)
        if probability <= 0.0:
            return False
        if now - self.last_passed_at < FORCED_PASS_INTERVAL_SECONDS and rng.random() < probability:
            self.count_rejected(now)
            return True
        self.last_passed_at = now
        return False
