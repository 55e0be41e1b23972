"""Bans of backends that operators work on, laid over what a list says. Decided here, without I/O.

A ban is a fact of its own: discovery's last word is kept beside it, whole, and is what comes back afterwards.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from lugspur.discovery.endpoints import Endpoint
from lugspur.load_balancing.model import ListUpdateKind, ServerState

NAMES_MOST = 16_384  # names of backends that were ever listed, the latest: some 3 MB; a day sees hundreds
FLOORS_MOST = 1_024  # ends of bans that are remembered, the latest: each counts for a warm-up of some seconds


@dataclass(slots=True)
class Bans:
    """What goes over to another process, by the numbers of the backends."""

    listed: list[int]
    banned: list[int]
    floors: dict[int, float]  # when the latest ban of each ended


class Maintenance:
    """The list as it was told, and over it what operators have said."""

    def __init__(self) -> None:
        self.listed: dict[int, None] = {}  # oldest first
        self.banned: set[int] = set()
        self.absent: set[int] = set()  # down, by the word of the pool's prober
        self.floors: dict[int, float] = {}
        self.told: dict[int, Endpoint] = {}  # discovery's last word on each that has not gone

    def lay(self, kind: ListUpdateKind, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """A list or a change of it as the pool is to see it."""
        if kind is not ListUpdateKind.PATCH:
            self.told.clear()
        for endpoint in endpoints:
            server = endpoint.row.server
            self.listed.pop(server, None)
            self.listed[server] = None
            if endpoint.row.state is ServerState.GONE:
                self.told.pop(server, None)
            else:
                self.told[server] = endpoint
        self._bound()
        return [self.over(endpoint) for endpoint in endpoints]

    def over(self, endpoint: Endpoint) -> Endpoint:
        """One entry as the pool is to see it."""
        row = endpoint.row
        if (row.server in self.banned or row.server in self.absent) and row.state is ServerState.UP:
            row = replace(row, state=ServerState.DRAINING)
        # Guards a backend that comes back: it was restarted meanwhile, and discovery may say so late.
        floor = self.floors.get(row.server, 0.0)
        if floor > row.started_at:
            row = replace(row, started_at=floor)
        return endpoint if row is endpoint.row else replace(endpoint, row=row)

    def known(self, server: int) -> bool:
        """Whether it was ever listed."""
        return server in self.listed or server in self.banned

    def disable(self, server: int) -> list[Endpoint]:
        """Nothing more to it from here on, however often it is said; what the pool is to be told."""
        self.banned.add(server)
        return self._changed(server)

    def enable(self, server: int, now: float) -> list[Endpoint]:
        """One such call ends the ban; it begins cold. Without a ban nothing changes."""
        if server not in self.banned:
            return []
        self.banned.discard(server)
        self.floors.pop(server, None)
        self.floors[server] = now
        self._bound()
        return self._changed(server)

    def away(self, servers: set[int], now: float) -> list[Endpoint]:
        """These are down, and no others: what the pool is to be told. One that is back begins cold: it may be new."""
        changed = servers ^ self.absent
        for server in self.absent - servers:
            self.floors.pop(server, None)
            self.floors[server] = now
        self.absent = set(servers)
        self._bound()
        return [endpoint for server in changed for endpoint in self._changed(server)]

    def _changed(self, server: int) -> list[Endpoint]:
        endpoint = self.told.get(server)
        return [] if endpoint is None else [self.over(endpoint)]

    def _bound(self) -> None:
        """Guards memory against names that are ever new; one that is listed or banned is not forgotten."""
        # Of a list that alone is longer, the names that have gone are looked for only once there are some.
        if len(self.listed) > max(NAMES_MOST, len(self.told) + NAMES_MOST // 16):
            spare = len(self.listed) - NAMES_MOST
            old = [s for s in self.listed if s not in self.told and s not in self.banned][:spare]
            for server in old:
                del self.listed[server]
        while len(self.floors) > FLOORS_MOST:
            del self.floors[next(iter(self.floors))]

    def save(self) -> Bans:
        """What another process has to know."""
        return Bans(list(self.listed), sorted(self.banned), dict(self.floors))

    def restore(self, bans: Bans) -> None:
        """Take over what another process knew."""
        self.listed = dict.fromkeys(bans.listed) | self.listed
        self.banned.update(bans.banned)
        self.floors.update(bans.floors)
        self._bound()
