"""Average service times of the local backend, by route."""

from __future__ import annotations

from cachetools import LRUCache

MAX_KNOWN_ROUTES = 256  # most recently used routes, of which averages are kept
SAMPLE_WEIGHT = 1 / 16  # weight of one response in a moving average


class ServiceTimes:
    """Exponentially weighted moving averages of service times in seconds, of each route and of all requests."""

    def __init__(self) -> None:
        self.by_route: LRUCache[str, float] = LRUCache(MAX_KNOWN_ROUTES)
        self.average = 0.0  # 0 if nothing has been measured

    def record(self, route: str, seconds: float) -> None:
        """Add the service time of one response."""
        self.average += (seconds - self.average) * (SAMPLE_WEIGHT if self.average else 1.0)
        average = self.by_route.get(route, seconds)
        self.by_route[route] = average + (seconds - average) * SAMPLE_WEIGHT

    def expected(self, route: str) -> float:
        """Return the expected service time in seconds of a request; for an unknown route, the overall average."""
        return self.by_route.get(route, self.average)

    def longest(self) -> float:
        """Return the largest average of any route, or 0 if none is known."""
        return max(self.by_route.values(), default=0.0)
