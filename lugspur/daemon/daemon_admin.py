"""Admin actions of the daemon: bans apply to all pools, drains to all listeners."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from lugspur.config.model import Management
from lugspur.daemon.admin.action import Action
from lugspur.daemon.admin.actions import admin_actions
from lugspur.daemon.admin.listener import AdminListener
from lugspur.daemon.cluster import UpstreamCluster
from lugspur.daemon.service_metrics import service_metrics
from lugspur.discovery.endpoints import server_id
from lugspur.http1.front import Front
from lugspur.observability.failures import FailedRequest
from lugspur.observability.metrics import Metric


class DaemonAdmin:
    """The daemon's admin listener, whose address a reload may change; actions apply to the pools of their time."""

    def __init__(
        self,
        fronts: Callable[[], list[Front]],
        clusters: Callable[[], Mapping[str, UpstreamCluster]],
        more_actions: Mapping[tuple[str, str], Action],
        on_drain: Callable[[bool], None],
    ) -> None:
        self._fronts, self._clusters = fronts, clusters
        self._more_actions = more_actions  # besides those that every proxy has
        self._on_drain = on_drain  # called with True when a drain starts, with False when it ends
        self._row: Management | None = None
        self._admin_listener: AdminListener | None = None
        self.is_drained = False

    async def prepare(self, row: Management) -> AdminListener | None:
        """Listen at the address that a file names; raises OSError and changes nothing.

        Returns None if the file names no address, or the one that is in use.
        """
        if row.address is None or row == self._row:
            return None
        admin_listener = AdminListener(row.address, {**admin_actions(self), **self._more_actions})
        try:
            await admin_listener.open()
        except OSError as error:
            host, port = row.address
            raise OSError(f"management can't bind {host}:{port}: {error.strerror or error}") from error
        return admin_listener

    def use(self, row: Management, admin_listener: AdminListener | None) -> None:
        """Use a prepared listener, now that its file is in force."""
        if row != self._row:
            self.close()
            self._row, self._admin_listener = row, admin_listener

    def port(self) -> int:
        """Return the port of the admin listener; 0 if there is none."""
        return 0 if self._admin_listener is None else self._admin_listener.port

    def close(self) -> None:
        """Stop accepting requests."""
        if self._admin_listener is not None:
            self._admin_listener.close()
            self._admin_listener = None

    # ---- the actions ---------------------------------------------------------------------------

    @property
    def accepts_clients(self) -> bool:
        """Whether all listeners accept callers."""
        fronts = self._fronts()
        return bool(fronts) and all(front.ready and front.serving for front in fronts)

    def disable(self, name: str) -> bool:
        """Send nothing more to a backend of any pool; return whether one ever listed it."""
        return self._set_ban(name, True)

    def enable(self, name: str) -> bool:
        """Let a backend serve again in all pools, warming up first; return whether one ever listed it."""
        return self._set_ban(name, False)

    def _set_ban(self, name: str, banned: bool) -> bool:
        server, now = server_id(name), time.time()
        clusters = self._clusters().values()
        known = any(cluster.overrides.was_listed(server) for cluster in clusters)
        if known:  # also in pools that may list it later
            for cluster in clusters:
                cluster.set_banned(server, banned, now)
        return known

    def drain(self) -> None:
        """Drain all listeners."""
        self.is_drained = True
        self._on_drain(True)
        for front in self._fronts():
            front.drain()

    def metrics(self) -> list[Metric]:
        """Return the metrics of this process."""
        pools = {name: cluster.pool for name, cluster in self._clusters().items()}
        return service_metrics(pools, self._fronts())

    def failures(self) -> list[FailedRequest]:
        """Return the latest requests that failed, the latest last."""
        records = [record for cluster in self._clusters().values() for record in cluster.pool.failures.latest()]
        return sorted(records, key=lambda record: record.at)

    def undrain(self) -> None:
        """Accept callers again at all listeners."""
        self.is_drained = False
        self._on_drain(False)
        for front in self._fronts():
            front.undrain()
