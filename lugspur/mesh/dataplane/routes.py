"""Which route a request is on: by host and the longest prefix, from the items that stand."""

from __future__ import annotations

from random import Random

import msgspec

from lugspur.mesh.control.items import LIMITS, ROUTES, RequestLimits, Route, read_limits, read_route
from lugspur.mesh.control.messages import Entry

FORGET = 1 / 256  # of the difference by which one caller's time lowers the longest that is known
BACK_PART = 0.97  # of the longest time: callers round


class RouteEntry:
    """A route as requests use it; times in seconds."""

    __slots__ = (
        "deadline",
        "edition",
        "host",
        "kind",
        "longest",
        "name",
        "pace",
        "prefix",
        "priority",
        "services",
        "shares",
        "target",
        "tries",
    )

    def __init__(self, route: Route, edition: int) -> None:
        self.name, self.edition = route.name, edition
        self.host = route.office.lower().encode()
        self.prefix = route.path_prefix.encode()
        self.kind = route.mail_class
        self.deadline = route.deadline_ms / 1000.0
        self.target = (route.target_ms or route.deadline_ms) / 1000.0
        self.priority, self.tries = route.priority, route.tries
        self.services = route.service_names()
        self.shares = [part.share for part in route.split] if route.split else [1.0]
        self.pace = 0.0  # seconds that an answer on it usually takes, as seen here
        self.longest = 0.0  # seconds that callers give it when they first come, as seen here

    @property
    def safe(self) -> bool:
        """Whether it may run more than once."""
        return self.kind == "safe"

    def comes_back(self, told: float) -> bool:
        """Whether a caller who gives it `told` seconds has come before: most of the others give more."""
        self.longest = max(told, self.longest + (told - self.longest) * FORGET)
        return told < BACK_PART * self.longest

    def service(self, rng: Random) -> str:
        """Where this request goes, by the shares."""
        if len(self.services) == 1:
            return self.services[0]
        return rng.choices(self.services, self.shares)[0]


class RouteTable:
    """All routes, by host; each change of an item is taken up at once."""

    def __init__(self) -> None:
        self._entries: dict[str, RouteEntry] = {}  # by the item's name
        self._hosts: dict[bytes, dict[bytes, RouteEntry]] = {}  # by the prefix
        self._claimants: dict[tuple[bytes, bytes], dict[str, RouteEntry]] = {}  # all that want a place, by their names
        self.bounds = RequestLimits()

    def __len__(self) -> int:
        return len(self._entries)

    def change(self, entry: Entry) -> bool:
        """Take up an item; returns whether it was the limits."""
        if entry.kind == LIMITS and entry.value is not None:
            self.bounds = read_limits(entry.value)
            return True
        if entry.kind != ROUTES:
            return False
        before = self._entries.pop(entry.name, None)
        if before is not None:
            self._give_up(entry.name, before)
        if entry.value is not None:
            try:
                route = read_route(entry.value)
            except msgspec.MsgspecError:  # Guards the other routes: what was taken is checked, but by another build
                return False
            route_entry = RouteEntry(route, entry.edition)
            if before is not None:
                route_entry.pace, route_entry.longest = before.pace, before.longest
            self._entries[entry.name] = route_entry
            here = self._claimants.setdefault((route_entry.host, route_entry.prefix), {})
            here[entry.name] = route_entry
            self._hosts.setdefault(route_entry.host, {})[route_entry.prefix] = self._first(here)
        return False

    def _give_up(self, name: str, route_entry: RouteEntry) -> None:
        here = self._claimants[route_entry.host, route_entry.prefix]
        del here[name]
        if here:
            self._hosts[route_entry.host][route_entry.prefix] = self._first(here)
            return
        del self._claimants[route_entry.host, route_entry.prefix]
        del self._hosts[route_entry.host][route_entry.prefix]
        if not self._hosts[route_entry.host]:
            del self._hosts[route_entry.host]

    @staticmethod
    def _first(here: dict[str, RouteEntry]) -> RouteEntry:
        """Who has a place: two operators may have given it to two routes, and all proxies must choose the same."""
        return max(here.values(), key=lambda route_entry: (route_entry.edition, route_entry.name))

    def find(self, host: bytes, target: bytes) -> RouteEntry | None:
        """The route of a request."""
        places = self._hosts.get(host.partition(b":")[0].lower())
        if not places:
            return None
        path = target.partition(b"?")[0]
        at = len(path)
        route_entry = places.get(path)
        while route_entry is None and at > 0:
            at = path.rfind(b"/", 0, at)
            if at >= 0:
                route_entry = places.get(path[: at + 1])
        return route_entry
