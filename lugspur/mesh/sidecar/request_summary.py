"""A periodic log line with the results of the requests since the previous line."""

from __future__ import annotations

from collections import Counter

from lugspur.mesh import events
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.proxy import Proxy

SUMMARY_INTERVAL_SECONDS = 2.0


class RequestSummary:
    """Summarises the requests of this machine's callers and those for its backend."""

    def __init__(self, proxy: Proxy, limiter: ConcurrencyLimiter) -> None:
        self._proxy, self._limiter = proxy, limiter
        self._logged_at = 0.0
        self._logged: Counter[str] = Counter()  # requests by result that have been logged

    def tick(self, now: float) -> None:
        """Log a line if it is due and there is anything to report."""
        if now < self._logged_at + SUMMARY_INTERVAL_SECONDS:
            return
        self._logged_at = now
        results = self._proxy.results - self._logged
        self._logged = self._proxy.results.copy()
        limiter = self._limiter
        if results or limiter.rejected or limiter.evicted or limiter.expired:
            events.info(
                "requests",
                **results,
                turned=limiter.rejected,
                evicted=limiter.evicted,
                hopeless=limiter.expired,
                busy=limiter.in_flight,
                open=len(self._proxy.open_requests),
            )
        limiter.rejected = limiter.evicted = limiter.expired = 0
