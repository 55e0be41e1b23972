"""The servers of the list from discovery, and their pools."""

from collections.abc import Sequence
from dataclasses import replace

from lugspur.load_balancing.model import ListUpdateKind, ServerId, ServerRow, ServerState, Settings
from lugspur.load_balancing.server import Server
from lugspur.load_balancing.server_pool import ServerPool

SUBSET_INTERVAL_SECONDS = 3.0  # after which the subsets are chosen again
HASH_MULTIPLIER = 0x9E3779B1  # Knuth's multiplicative hashing


class ServerTable:
    """All known servers and pools of one instance."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.servers: dict[ServerId, Server] = {}
        self.pools: list[ServerPool] = []
        self.class_pools: list[ServerPool] = []  # by class index
        self.tier_latency = 0.0  # moving average over all servers; 0 before the first success
        self.next_subsets_at = 0.0
        # Servers that have got no request since they were reinstated, and the times from which one is due.
        self.reinstated: dict[Server, float] = {}
        self._assign_pools()

    def change_settings(self, now: float, settings: Settings) -> None:
        """Assign the classes of other settings to pools.

        A pool stays even if no class uses it any more, so there is one for each placement that was ever used.
        """
        self.settings = settings
        self._assign_pools()
        self.rebuild_pools(now)

    def _assign_pools(self) -> None:
        pools = {(pool.allowed_host_types, pool.allowed_zones): pool for pool in self.pools}
        for row in self.settings.classes:
            placement = row.allowed_host_types, row.allowed_zones
            if placement not in pools:
                pools[placement] = ServerPool(*placement)
        self.pools = list(pools.values())
        self.class_pools = [pools[row.allowed_host_types, row.allowed_zones] for row in self.settings.classes]

    def update(self, now: float, kind: ListUpdateKind, rows: Sequence[ServerRow]) -> None:
        """Apply a complete list, or the rows that changed."""
        if kind is not ListUpdateKind.PATCH:
            self._mark_absent({row.server for row in rows})
        for row in rows:
            known = self.servers.get(row.server)
            if known is None:
                known = self.servers[row.server] = Server(row)
            elif row.started_at > known.row.started_at:
                known.replace_process()
            known.row = row
        self._forget_gone(now)
        self.rebuild_pools(now)

    def _mark_absent(self, listed: set[ServerId]) -> None:
        for server in self.servers.values():
            if server.row.server not in listed:
                # Weight and start time are kept: the server may return as the same process, still cold.
                server.row = replace(server.row, state=ServerState.GONE)

    def _forget_gone(self, now: float) -> None:
        """Delete servers that are gone: else memory would grow with each server replaced under a new id.

        One that is gone stays while it has open attempts, and while it would be cold: it may return as the
        same process.
        """
        for server_id, server in tuple(self.servers.items()):
            is_gone = server.row.state is ServerState.GONE and not server.in_flight
            if is_gone and server.warm_at(self.settings.rules) <= now:
                del self.servers[server_id]
                self.reinstated.pop(server, None)

    def rebuild_pools(self, now: float) -> None:
        """Rebuild the lists of ready servers; draining and gone servers leave them at once."""
        ready = [server for server in self.servers.values() if server.row.state is ServerState.UP]
        # The ring is in hash order, which is the same at every instance.
        ready.sort(key=lambda s: (s.row.server * HASH_MULTIPLIER & 0xFFFFFFFF, s.row.server))
        for pool in self.pools:
            pool.set_ready(ready)
        self.choose_subsets(now)

    def choose_subsets(self, now: float) -> None:
        """Choose the subset of each pool for the pool's current load."""
        self.next_subsets_at = now + SUBSET_INTERVAL_SECONDS
        for pool in self.pools:
            pool.choose_subset(now, self.settings, self.tier_latency)
            pool.count_warm(now, self.settings.rules)
