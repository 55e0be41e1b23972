"""The routes in force, and the lookup of a request's route by host and longest matching path prefix."""

from __future__ import annotations

from random import Random

import msgspec

from lugspur.mesh.control.items import LIMITS, ROUTES, RequestLimits, Route, read_limits, read_route
from lugspur.mesh.control.messages import Entry

LONGEST_TIMEOUT_DECAY = 1 / 256  # fraction of the difference by which a shorter timeout lowers the longest one
LATENCY_WEIGHT = 1 / 32  # weight of one response in the moving average of a route's latency
# A caller that gives less than this fraction of the longest timeout has probably sent its request before. The
# fraction is below 1, since callers round their timeouts.
RETURNING_CALLER_FRACTION = 0.97


class RouteEntry:
    """A route in the form that requests use, with the statistics that this process keeps about it; times in seconds."""

    __slots__ = (
        "average_latency",
        "deadline",
        "edition",
        "host",
        "latency_target",
        "longest_timeout",
        "max_attempts",
        "name",
        "prefix",
        "priority",
        "request_class",
        "services",
        "weights",
    )

    def __init__(self, route: Route, edition: int) -> None:
        self.name, self.edition = route.name, edition
        self.host = route.office.lower().encode()
        self.prefix = route.path_prefix.encode()
        self.request_class = route.mail_class
        self.deadline = route.deadline_ms / 1000.0  # from the arrival of a request
        self.latency_target = (route.target_ms or route.deadline_ms) / 1000.0
        self.priority, self.max_attempts = route.priority, route.tries
        self.services = route.service_names()
        self.weights = [part.share for part in route.split] if route.split else [1.0]
        self.average_latency = 0.0  # moving average measured by this process; 0 before the first response
        self.longest_timeout = 0.0  # time that callers give a request when they first send it

    @property
    def is_safe(self) -> bool:
        """Whether requests on this route may run more than once."""
        return self.request_class == "safe"

    @property
    def is_keyed(self) -> bool:
        """Whether requests on this route run once for each idempotency key."""
        return self.request_class == "tracked"

    def is_returning_caller(self, time_left: float) -> bool:
        """Whether a caller has probably sent its request before, judged by its `time_left` in seconds.

        A returning caller has less time left than most others. Also updates the longest timeout.
        """
        self.longest_timeout = max(
            time_left, self.longest_timeout + (time_left - self.longest_timeout) * LONGEST_TIMEOUT_DECAY
        )
        return time_left < RETURNING_CALLER_FRACTION * self.longest_timeout

    def record_latency(self, latency: float) -> None:
        """Add the latency of one response to the exponentially weighted moving average."""
        self.average_latency += (latency - self.average_latency) * (LATENCY_WEIGHT if self.average_latency else 1.0)

    def take_over_statistics(self, previous: RouteEntry) -> None:
        """Go on with the statistics of the route's former edition; latencies only if a service serves both."""
        self.longest_timeout = previous.longest_timeout
        if not set(self.services).isdisjoint(previous.services):
            self.average_latency = previous.average_latency

    def draw_service(self, rng: Random) -> str:
        """Draw the service for a request, by the weights of the route's traffic split."""
        if len(self.services) == 1:
            return self.services[0]
        return rng.choices(self.services, self.weights)[0]


class RouteTable:
    """All routes and the request limits in force; each changed item takes effect immediately."""

    def __init__(self) -> None:
        self._entries: dict[str, RouteEntry] = {}  # by item name
        self._hosts: dict[bytes, dict[bytes, RouteEntry]] = {}  # by host, then path prefix
        # All routes with the same host and prefix, by item name.
        self._candidates: dict[tuple[bytes, bytes], dict[str, RouteEntry]] = {}
        self.request_limits = RequestLimits()

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._entries)

    def apply(self, entry: Entry) -> bool:
        """Apply a changed item; return whether the request limits changed. Items of other kinds are ignored."""
        if entry.kind == LIMITS and entry.value is not None:
            self.request_limits = read_limits(entry.value)
            return True
        if entry.kind == ROUTES:
            self._replace(entry)
        return False

    def _replace(self, entry: Entry) -> None:
        previous = self._entries.pop(entry.name, None)
        if previous is not None:
            self._remove(entry.name, previous)
        if entry.value is None:
            return
        try:
            route = read_route(entry.value)
        except msgspec.MsgspecError:
            # Another version of the program accepted the item; it must not affect other routes.
            return
        route_entry = RouteEntry(route, entry.edition)
        if previous is not None:
            route_entry.take_over_statistics(previous)
        self._insert(entry.name, route_entry)

    def _insert(self, name: str, route_entry: RouteEntry) -> None:
        self._entries[name] = route_entry
        candidates = self._candidates.setdefault((route_entry.host, route_entry.prefix), {})
        candidates[name] = route_entry
        self._hosts.setdefault(route_entry.host, {})[route_entry.prefix] = self._preferred(candidates)

    def _remove(self, name: str, route_entry: RouteEntry) -> None:
        host, prefix = route_entry.host, route_entry.prefix
        candidates = self._candidates[host, prefix]
        del candidates[name]
        if candidates:
            self._hosts[host][prefix] = self._preferred(candidates)
            return
        del self._candidates[host, prefix]
        del self._hosts[host][prefix]
        if not self._hosts[host]:
            del self._hosts[host]

    @staticmethod
    def _preferred(candidates: dict[str, RouteEntry]) -> RouteEntry:
        """Choose between routes with the same host and prefix; all proxies make the same choice.

        Two operators may have created such routes independently.
        """
        return max(candidates.values(), key=lambda route_entry: (route_entry.edition, route_entry.name))

    def find(self, host: bytes, target: bytes) -> RouteEntry | None:
        """Return the route for a `Host` header and a request target, or None."""
        prefixes = self._hosts.get(host.partition(b":")[0].lower())
        if not prefixes:
            return None
        path = target.partition(b"?")[0]
        end = len(path)
        route_entry = prefixes.get(path)
        while route_entry is None and end > 0:
            end = path.rfind(b"/", 0, end)
            if end >= 0:
                route_entry = prefixes.get(path[: end + 1])
        return route_entry
