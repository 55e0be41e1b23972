"""Admission control: whether a request is admitted at all."""

from math import exp, sqrt
from random import Random

from lugspur.load_balancing.model import Settings
from lugspur.load_balancing.server_pool import ServerPool

MAX_WAIT_FRACTION = 0.7  # part of the latency target; the class of most value is admitted up to this wait
MIN_WAIT_FRACTION = 0.35  # the same for a class of no value
FAILING_WAIT_FACTOR = 0.57  # the admitted wait shrinks to this part of itself at servers that fail requests
FAILING_SLOPE = 8.0  # the shrinking is complete where one request in this many fails
OFFERED_FRACTION = 0.1  # of the offered rate counts as served: hung requests must not block admission
ALWAYS_ADMITTED = 3.0  # pending requests admitted whatever the served rate: at a start, and with few requests
ADMITTED_PER_SERVER = 2.0  # the same for each server of this proxy's part; beyond one, for the part's root
POOL_PROTECTION = 1.0  # requests that never count against a pool: all of a proxy's requests fill its window
MIN_ACCEPT_FRACTION = 0.85  # requests of no value are rejected beyond 1 / this times the requests served
VALUE_ACCEPT_FRACTION = 0.45  # subtracted from MIN_ACCEPT_FRACTION for the class of most value
MIN_RATE_SECONDS = 0.2  # the shortest time over which the served rate is computed


class AdmissionControl:
    """Rejects requests that would end late, before they cost work, and the classes of least value first."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        rows = settings.classes
        top = max(row.value for row in rows) or 1.0
        slope = (MAX_WAIT_FRACTION - MIN_WAIT_FRACTION) / top
        # For each class, the expected wait in seconds up to which it is admitted, and its K of throttling.
        self.max_wait = [row.latency_target * (MIN_WAIT_FRACTION + slope * row.value) for row in rows]
        self._max_k = [1.0 / (MIN_ACCEPT_FRACTION - VALUE_ACCEPT_FRACTION * row.value / top) for row in rows]

    def admits(self, now: float, class_index: int, pool: ServerPool, is_over_quota: bool) -> bool:
        """Return whether the tiers below can be expected to serve one more request of this class in time.

        By pool, so that a backlog of a class that is bound to some servers does not block the others. Rejects
        a request if the pending requests, over those served a second, make a wait too long for the class, or
        by adaptive throttling of whole requests. Throttling guards against sparse windows: with many proxies,
        each breaker is under its protection while all fail. Could harm bursts at a proxy with few requests.
        """
        if self._settings.tier:  # Only the first tier rejects: elsewhere, work of tiers above is wasted.
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
        """Return the admitted wait; shrinks as requests fail: queues that lose requests must drain first."""
        shrink = min(1.0, FAILING_SLOPE * pool.breaker.failure_ratio(now))
        max_wait = (1.0 - (1.0 - FAILING_WAIT_FACTOR) * shrink) * self.max_wait[class_index]
        if is_over_quota:
            max_wait *= 1.0 - (1.0 - self._settings.over_quota_value) * shrink
        return max_wait

    @staticmethod
    def _served_rate(now: float, pool: ServerPool, max_wait: float) -> float:
        """Return the requests served a second."""
        age = now - pool.first_request_at
        # Guards the start: nothing can have been served yet, and the smoothed rates still rise from zero.
        served = pool.offered.per_second(now) * (1.0 if age < max_wait else OFFERED_FRACTION)
        served = max(served, pool.served.per_second(now))
        return served / (1.0 - exp(-max(age, MIN_RATE_SECONDS) / 2.0))

    def _always_admitted(self, pool: ServerPool) -> float:
        """Return how many requests may be pending whatever the served rate is.

        Guards sparse traffic: requests that one of many proxies has pending by chance are no queue while
        servers could serve them. Chance grows with the root of the proxy's part of the tier; it counts for at
        most two requests a server, one served and one waiting, so that all proxies stay under that sum.
        """
        part = len(pool.ready) / self._settings.instance_count
        return ALWAYS_ADMITTED + ADMITTED_PER_SERVER * min(part, sqrt(part))
