"""What operators and health checks decide about backends, applied over what the endpoint list says. No I/O.

A ban is a state of its own: the latest entry of the list is kept beside it unchanged, and is what counts again once the
ban has ended.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from lugspur.discovery.endpoints import Endpoint
from lugspur.load_balancing.model import ListUpdateKind, ServerState

MAX_LISTED_BACKENDS = 16_384  # that were ever listed, the latest ones: some 3 MB; a day sees hundreds
MAX_EARLIEST_STARTS = 1_024  # that are remembered, the latest ones: each matters for a slow start of some seconds


@dataclass(slots=True)
class SavedBans:
    """What a successor process takes over, by the numbers of the backends."""

    listed: list[int]
    banned: list[int]
    earliest_start: dict[int, float]  # when the latest ban of each ended


class EndpointOverrides:
    """Keeps the endpoints as listed, and derives the ones that the pool sees.

    Times are in seconds since 1970, as those of the list.
    """

    def __init__(self) -> None:
        self.listed: dict[int, None] = {}  # backends that were ever listed, the oldest first
        self.banned: set[int] = set()  # by operators
        self.unhealthy: set[int] = set()  # by the pool's health checks
        self.earliest_start: dict[int, float] = {}  # a backend counts as started then if its entry says earlier
        self.latest: dict[int, Endpoint] = {}  # the latest entry of each backend that has not been removed

    def apply(self, kind: ListUpdateKind, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Take a list or a change of it; returns it as the pool is to see it."""
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
        """One entry of the list as the pool is to see it."""
        row = endpoint.row
        if (row.server in self.banned or row.server in self.unhealthy) and row.state is ServerState.UP:
            row = replace(row, state=ServerState.DRAINING)
        # Guards a backend that comes back: it was restarted meanwhile, and the list may report that late.
        earliest = self.earliest_start.get(row.server, 0.0)
        if earliest > row.started_at:
            row = replace(row, started_at=earliest)
        return endpoint if row is endpoint.row else replace(endpoint, row=row)

    def was_listed(self, server: int) -> bool:
        """Return whether the backend was ever listed."""
        return server in self.listed or server in self.banned

    def disable(self, server: int) -> list[Endpoint]:
        """Ban a backend until one call of `enable`, however often it is banned; returns what changes for the pool."""
        self.banned.add(server)
        return self._changed(server)

    def enable(self, server: int, now: float) -> list[Endpoint]:
        """End a ban; the backend starts slowly from `now`. Returns what changes; nothing does without a ban."""
        if server not in self.banned:
            return []
        self.banned.discard(server)
        self._set_earliest_start(server, now)
        self._trim()
        return self._changed(server)

    def set_unhealthy(self, servers: set[int], now: float) -> list[Endpoint]:
        """Take these backends for unhealthy and no others; returns what changes for the pool.

        One that is healthy again starts slowly from `now`: it may be a new process.
        """
        changed = servers ^ self.unhealthy
        for server in self.unhealthy - servers:
            self._set_earliest_start(server, now)
        self.unhealthy = set(servers)
        self._trim()
        return [endpoint for server in changed for endpoint in self._changed(server)]

    def save(self) -> SavedBans:
        """Return what a successor process has to know."""
        return SavedBans(list(self.listed), sorted(self.banned), dict(self.earliest_start))

    def restore(self, saved: SavedBans) -> None:
        """Take over what a predecessor process knew."""
        self.listed = dict.fromkeys(saved.listed) | self.listed
        self.banned.update(saved.banned)
        self.earliest_start.update(saved.earliest_start)
        self._trim()

    def _set_earliest_start(self, server: int, now: float) -> None:
        self.earliest_start.pop(server, None)  # so that it is the latest in the order of the dictionary
        self.earliest_start[server] = now

    def _changed(self, server: int) -> list[Endpoint]:
        endpoint = self.latest.get(server)
        return [] if endpoint is None else [self.override(endpoint)]

    def _trim(self) -> None:
        """Guards memory against names that are ever new; one that is listed now or banned is not forgotten."""
        # Where the present list alone is longer, former names are looked for only once there are some.
        if len(self.listed) > max(MAX_LISTED_BACKENDS, len(self.latest) + MAX_LISTED_BACKENDS // 16):
            excess = len(self.listed) - MAX_LISTED_BACKENDS
            former = [server for server in self.listed if server not in self.latest and server not in self.banned]
            for server in former[:excess]:
                del self.listed[server]
        while len(self.earliest_start) > MAX_EARLIEST_STARTS:
            del self.earliest_start[next(iter(self.earliest_start))]
