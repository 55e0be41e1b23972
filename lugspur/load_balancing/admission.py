"""Admission control: whether a request is taken at all."""

from math import exp, sqrt
from random import Random

from lugspur.load_balancing.model import Settings
from lugspur.load_balancing.server_pool import ServerPool

MAX_WAIT_FRACTION = 0.7  # of its latency target: the wait that the class of most value is taken with...
MIN_WAIT_FRACTION = 0.35  # ...and one without value
FAILING_WAIT_FACTOR = 0.57  # each shrinks to this part of itself, at servers that lose what they are sent...
FAILING_SLOPE = 8.0  # ...which it reaches where one request in so many fails
OFFERED_FRACTION = 0.1  # of the offered rate counts as served: stuck requests must not hold all room
ALWAYS_ADMITTED = 3.0  # whatever was served lately: a start, a proxy with few requests...
ADMITTED_PER_SERVER = 2.0  # ...and for each server of its part, beyond one by the root: chance
POOL_PROTECTION = 1.0  # requests that never count against a pool: all of a proxy's requests fill its window
MIN_ACCEPT_FRACTION = 0.85  # worthless requests are rejected beyond 1 / this times those served...
VALUE_ACCEPT_FRACTION = 0.45  # ...the ones of most value beyond 1 / (this less)
MIN_RATE_SECONDS = 0.2  # over which rates are read at least


class AdmissionControl:
    """Rejects what would end late, before it costs work, and the classes of least value first."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        rows = settings.classes
        top = max(row.value for row in rows) or 1.0
        slope = (MAX_WAIT_FRACTION - MIN_WAIT_FRACTION) / top
        # Seconds of expected wait that each class is taken with, and its K of the pool's adaptive throttling.
        self.max_wait = [row.latency_target * (MIN_WAIT_FRACTION + slope * row.value) for row in rows]
        self._max_k = [1.0 / (MIN_ACCEPT_FRACTION - VALUE_ACCEPT_FRACTION * row.value / top) for row in rows]

    def admits(self, now: float, class_index: int, pool: ServerPool, is_over_quota: bool) -> bool:
        """Whether the tiers below can be expected to serve one more request of this class in time.

        By pool, so that a jam of a bound class holds no room of the others: rejects once the pending
        requests, over those served a second, make a wait too long for the class, or by adaptive throttling
        of whole requests. That guards against sparse windows: at many proxies each breaker of one server is
        under its protection while all of them fail. Could harm: a short burst at a proxy with few requests.
        """
        if (
            self._settings.tier
        ):  # acts at the first tier alone: a rejection further down wastes the work above
            return True
        max_wait = self._max_wait_now(now, class_index, pool, is_over_quota)
        if pool.pending > max_wait * self._served_rate(now, pool, max_wait) + self._always_admitted(pool):
            return False
        probability = pool.breaker.error_probability(now, self._max_k[class_index], POOL_PROTECTION)
        if self._rng.random() < probability:
            pool.breaker.count_rejected(now)
            return False
        return True

    def _max_wait_now(self, now: float, class_index: int, pool: ServerPool, is_over_quota: bool) -> float:
        """It shrinks with the part that fails: queues that lose requests must drain before they serve."""
        shrink = min(1.0, FAILING_SLOPE * pool.breaker.failure_ratio(now))
        max_wait = (1.0 - (1.0 - FAILING_WAIT_FACTOR) * shrink) * self.max_wait[class_index]
        if is_over_quota:
            max_wait *= 1.0 - (1.0 - self._settings.over_quota_value) * shrink
        return max_wait

    @staticmethod
    def _served_rate(now: float, pool: ServerPool, max_wait: float) -> float:
        """Requests served a second."""
        age = now - pool.first_request_at
        # Guards the start: nothing can have been served yet, and smoothed rates still count from zero.
        served = pool.offered.per_second(now) * (1.0 if age < max_wait else OFFERED_FRACTION)
        served = max(served, pool.served.per_second(now))
        return served / (1.0 - exp(-max(age, MIN_RATE_SECONDS) / 2.0))

    def _always_admitted(self, pool: ServerPool) -> float:
        """How many requests may be pending whatever was served lately.

        Guards thin traffic: what one of many proxies has in hand by chance is no queue while servers could
        take it. Chance goes with the root of the part of the tier that is this proxy's; never more than two a
        server, one in work and one that waits, so that all proxies together stay under that sum.
        """
        part = len(pool.ready) / self._settings.instance_count
        return ALWAYS_ADMITTED + ADMITTED_PER_SERVER * min(part, sqrt(part))
