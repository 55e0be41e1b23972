"""Decisions of operators and health checks about backends, applied to the entries of the endpoint list. No I/O.

A ban is kept separately from the list: the latest entry of the backend stays unchanged, and applies again once the ban
has ended.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from lugspur.discovery.endpoints import Endpoint
from lugspur.load_balancing.model import ListUpdateKind, ServerState

#: Number of backends that are remembered as listed, the most recent ones. They take some 3 MB; hundreds are listed in a
#: day.
MAX_LISTED_BACKENDS = 16_384
#: Number of earliest start times that are remembered, the most recent ones. Each one matters only for a slow start of
#: some seconds.
MAX_EARLIEST_STARTS = 1_024


@dataclass(slots=True)
class SavedBans:
    """State that a successor process takes over; backends are given by their numbers."""

    listed: list[int]
    banned: list[int]
    earliest_start: dict[int, float]  # by backend: when its latest ban ended


class EndpointOverrides:
    """Keeps the endpoints as listed, and derives the endpoints that the pool receives.

    Times are in seconds since 1970, as those of the list.
    """

    def __init__(self) -> None:
        self.listed: dict[int, None] = {}  # backends that have been listed, the least recent first
        self.banned: set[int] = set()  # backends that operators have banned
        self.unhealthy: set[int] = set()  # backends that fail the pool's health checks
        self.earliest_start: dict[int, float] = {}  # overrides an earlier start time in the entry of a backend
        self.latest: dict[int, Endpoint] = {}  # the latest entry of each backend that has not been removed

    def apply(self, kind: ListUpdateKind, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Apply a complete list or a change of the list, and return its entries with the overrides."""
        if kind is not ListUpdateKind.PATCH:
            self.latest.clear()
        for endpoint in endpoints:
            server = endpoint.row.server
            self.listed.pop(server, None)
            self.listed[server] = None
            if endpoint.row.state is ServerState.GONE:
                self.latest.pop(server, None)
            else:
                self.latest[server] = endpoint
        self._trim()
        return [self.override(endpoint) for endpoint in endpoints]

    def override(self, endpoint: Endpoint) -> Endpoint:
        """Return an entry of the list with the overrides of its backend."""
        row = endpoint.row
        if (row.server in self.banned or row.server in self.unhealthy) and row.state is ServerState.UP:
            row = replace(row, state=ServerState.DRAINING)
        # A backend that returns may have been restarted meanwhile, and the list may report the restart late.
        earliest = self.earliest_start.get(row.server, 0.0)
        if earliest > row.started_at:
            row = replace(row, started_at=earliest)
        return endpoint if row is endpoint.row else replace(endpoint, row=row)

    def was_listed(self, server: int) -> bool:
        """Return whether the backend has ever been listed."""
        return server in self.listed or server in self.banned

    def disable(self, server: int) -> list[Endpoint]:
        """Ban a backend until one call of `enable`, however often it is banned; returns the changed endpoints."""
        self.banned.add(server)
        return self._changed(server)

    def enable(self, server: int, now: float) -> list[Endpoint]:
        """End a ban; the slow start of the backend begins at `now`. Returns the changed endpoints, if any."""
        if server not in self.banned:
            return []
        self.banned.discard(server)
        self._set_earliest_start(server, now)
        self._trim()
        return self._changed(server)

    def set_unhealthy(self, servers: set[int], now: float) -> list[Endpoint]:
        """Mark exactly these backends as unhealthy, and return the changed endpoints.

        The slow start of a backend that is healthy again begins at `now`: it may be a new process.
        """
        changed = servers ^ self.unhealthy
        for server in self.unhealthy - servers:
            self._set_earliest_start(server, now)
        self.unhealthy = set(servers)
        self._trim()
        return [endpoint for server in changed for endpoint in self._changed(server)]

    def save(self) -> SavedBans:
        """Return the state for a successor process."""
        return SavedBans(list(self.listed), sorted(self.banned), dict(self.earliest_start))

    def restore(self, saved: SavedBans) -> None:
        """Take over the state of a predecessor process."""
        self.listed = dict.fromkeys(saved.listed) | self.listed
        self.banned.update(saved.banned)
        self.earliest_start.update(saved.earliest_start)
        self._trim()

    def _set_earliest_start(self, server: int, now: float) -> None:
        self.earliest_start.pop(server, None)  # moves the backend to the end of the dictionary
        self.earliest_start[server] = now

    def _changed(self, server: int) -> list[Endpoint]:
        endpoint = self.latest.get(server)
        return [] if endpoint is None else [self.override(endpoint)]

    def _trim(self) -> None:
        """Limit the memory that ever new names take; a backend that is listed now or banned is kept."""
        # If the current list alone exceeds the limit, former backends are searched only once there are enough of them.
        if len(self.listed) > max(MAX_LISTED_BACKENDS, len(self.latest) + MAX_LISTED_BACKENDS // 16):
            excess = len(self.listed) - MAX_LISTED_BACKENDS
            former = [server for server in self.listed if server not in self.latest and server not in self.banned]
            for server in former[:excess]:
                del self.listed[server]
        while len(self.earliest_start) > MAX_EARLIEST_STARTS:
            del self.earliest_start[next(iter(self.earliest_start))]
