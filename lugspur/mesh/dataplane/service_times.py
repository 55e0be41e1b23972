"""How long the local backend takes for requests, by route."""

from __future__ import annotations

from cachetools import LRUCache

MAX_KNOWN_ROUTES = 256  # routes whose average is kept, those used last
SAMPLE_WEIGHT = 1 / 16  # of one answer in an average


class ServiceTimes:
    """Exponentially weighted moving averages of service times in seconds, of each route and of all requests."""

    def __init__(self) -> None:
        self.by_route: LRUCache[str, float] = LRUCache(MAX_KNOWN_ROUTES)
        self.average = 0.0  # 0: nothing has been measured

    def record(self, route: str, seconds: float) -> None:
        """Count one answer."""
        self.average += (seconds - self.average) * (SAMPLE_WEIGHT if self.average else 1.0)
        known = self.by_route.get(route, seconds)
        self.by_route[route] = known + (seconds - known) * SAMPLE_WEIGHT

    def expected(self, route: str) -> float:
        """Return the seconds that a request on a route is expected to take; of an unknown route the overall average."""
        return self.by_route.get(route, self.average)

    def longest(self) -> float:
        """Return the largest average of a route; 0 where none is known."""
        return max(self.by_route.values(), default=0.0)
