"""A pool's endpoint list from a directory of a registry.

Changes are delivered at once. If a delivery takes long, the changes that arrive meanwhile are batched for the next one,
so that 1,000 changes a second do not take the whole CPU.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field, replace

from lugspur.discovery.endpoints import Endpoint
from lugspur.discovery.node_formats import RegistryNode
from lugspur.discovery.registry_endpoints import EndpointChanges, RegistryEndpoints
from lugspur.discovery.registry_sessions import Ensemble, RegistrySessions
from lugspur.discovery.sources import UpdateListener
from lugspur.discovery.staleness import RegistryStaleness
from lugspur.load_balancing.model import ListUpdateKind, ServerState
from lugspur.zookeeper import records as r
from lugspur.zookeeper.session import Connected, Disconnected, Event, Expired
from lugspur.zookeeper.view import NodeChanged, NodeDeleted, ReadFailed, Snapshot, View, ViewUpdate

#: Seconds after which a directory that could not be read is read again.
READ_RETRY_DELAY_SECONDS = 5.0
#: The pause after a delivery is this many times as long as the delivery, so that deliveries take at most a fifth of the
#: CPU.
DELIVERY_PAUSE_FACTOR = 4.0
#: Upper limit of the pause after a delivery: removals have to take effect 500 ms after the registry has reported them.
MAX_DELIVERY_PAUSE_SECONDS = 0.2
READ_ERRORS = {
    int(r.ErrorCode.NO_NODE): "it does not exist yet",
    int(r.ErrorCode.NO_AUTH): "its access list forbids it",
}


@dataclass(slots=True)
class _PendingUpdate:
    """Endpoints of the next delivery, by backend."""

    removed: dict[int, Endpoint] = field(default_factory=dict)
    present: dict[int, Endpoint] = field(default_factory=dict)
    is_complete: bool = False  # whether `present` is the complete list

    def __bool__(self) -> bool:
        return bool(self.removed or self.present or self.is_complete)

    def add(self, endpoint: Endpoint) -> None:
        server = endpoint.row.server
        if endpoint.row.state is ServerState.GONE:
            self.present.pop(server, None)
            self.removed[server] = endpoint
        else:
            self.present[server] = endpoint


class RegistrySource:
    """Follows a directory of a registry and delivers the endpoints that its nodes describe.

    If the pool has no list yet, `open` delivers the `static` endpoints; they stay until the directory has been read.
    """

    def __init__(
        self,
        sessions: RegistrySessions,
        ensemble: Ensemble,
        directory: str,
        nodes: RegistryEndpoints,
        *,
        stale_after: float,
        static: list[Endpoint],
        on_update: UpdateListener,
        pool: str,
    ) -> None:
        """Prepare to follow `directory`.

        stale_after: seconds without confirmation after which the list is reported as stale.
        pool: name of the pool, for the log.
        """
        self._loop = asyncio.get_running_loop()
        self._sessions, self._session = sessions, sessions.get(ensemble)
        self._static = static
        self._on_update = on_update
        self._pool = pool
        self._registry_endpoints = nodes
        self.view = View(directory)
        self.staleness = RegistryStaleness(stale_after, self._log, self._loop.time())
        self._pending = _PendingUpdate()
        self._delivered: dict[int, Endpoint] = {}
        self._has_delivered_list = False  # whether a complete list has been delivered
        self._next_delivery_at = 0.0
        self._delivery_timer: asyncio.TimerHandle | None = None
        self._stale_timer: asyncio.TimerHandle | None = None
        self._read_timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Start to deliver updates."""
        if self._static:
            self._on_update(ListUpdateKind.COMPLETE, self._static)
        self._session.add_user(self.view, self._on_events)

    def close(self) -> None:
        """Stop delivering updates."""
        self._session.remove_user(self.view)
        for timer in (self._delivery_timer, self._stale_timer, self._read_timer):
            if timer is not None:
                timer.cancel()
        self._sessions.close_unused()

    def _log(self, line: str) -> None:
        print(f"lugspur: pool {self._pool}: {self.view.path}: {line}", file=sys.stderr, flush=True)

    # ---- events of the registry ----------------------------------------------------------------

    def _on_events(self, events: list[Event]) -> None:
        now = self._loop.time()
        for event in events:
            if isinstance(event, Connected):
                self.staleness.record_connection(event.timeout)
            elif isinstance(event, Expired):
                self.staleness.record_session_expiry()
            elif isinstance(event, Disconnected):
                self.staleness.record_disconnection(now, self._session.client.session.last_heard_at, event.reason)
        for update in self.view.take_updates():
            self._receive(update, now)
        self._deliver_soon(now)
        self._check_staleness(now)

    def _receive(self, update: ViewUpdate, now: float) -> None:
        if isinstance(update, Snapshot):
            nodes = {name: _registry_node(data) for name, data in update.nodes.items()}
            changes = self._registry_endpoints.replace_all(nodes)
            self._pending.present.clear()
            self._pending.is_complete = True
            self.staleness.record_list_read(now, len(self._registry_endpoints))
        elif isinstance(update, NodeChanged):
            changes = self._registry_endpoints.update_node(update.name, _registry_node(update.data))
        elif isinstance(update, NodeDeleted):
            changes = self._registry_endpoints.remove_node(update.name)
        else:
            self._receive_read_failure(update)
            return
        self._collect(changes)

    def _collect(self, changes: EndpointChanges) -> None:
        for endpoint in changes.endpoints:
            self._pending.add(endpoint)
        for line in changes.problems:
            self._log(line)

    def _receive_read_failure(self, failure: ReadFailed) -> None:
        self.staleness.record_read_failure(READ_ERRORS.get(failure.error, f"error {failure.error}"))
        if self._read_timer is not None:
            self._read_timer.cancel()
        if failure.error != r.ErrorCode.NO_NODE:  # a watch reports the creation of a directory that does not exist
            self._read_timer = self._loop.call_later(READ_RETRY_DELAY_SECONDS, self._retry_read)

    def _retry_read(self) -> None:
        self.view.retry_read()
        self._session.client.send_requests()

    def _check_staleness(self, now: float) -> None:
        self.staleness.tick(now)
        if self._stale_timer is not None:
            self._stale_timer.cancel()
        due = self.staleness.next_tick_at()
        if due != float("inf"):
            self._stale_timer = self._loop.call_at(due, lambda: self._check_staleness(self._loop.time()))

    # ---- deliveries to the pool ----------------------------------------------------------------

    def _deliver_soon(self, now: float) -> None:
        """Deliver pending changes now, or after the pause that follows the last delivery."""
        if not self._pending or self._delivery_timer is not None:
            return
        if now >= self._next_delivery_at:
            self._deliver()
        else:
            self._delivery_timer = self._loop.call_at(self._next_delivery_at, self._deliver)

    def _deliver(self) -> None:
        """Deliver all pending changes, removals first: a node that was recreated under its name is another process."""
        started_at = self._loop.time()
        self._delivery_timer = None
        pending, self._pending = self._pending, _PendingUpdate()
        if pending.removed:
            self._on_update(ListUpdateKind.PATCH, list(pending.removed.values()))
            for server in pending.removed:
                self._delivered.pop(server, None)
        if pending.is_complete:
            self._deliver_list(pending.present)
        elif pending.present:
            self._on_update(ListUpdateKind.PATCH, list(pending.present.values()))
            self._delivered.update(pending.present)
        ended_at = self._loop.time()
        pause = min(MAX_DELIVERY_PAUSE_SECONDS, DELIVERY_PAUSE_FACTOR * (ended_at - started_at))
        self._next_delivery_at = ended_at + pause

    def _deliver_list(self, endpoints: dict[int, Endpoint]) -> None:
        """Deliver a complete list; after the first one only the differences.

        After most gaps there are none, and delivering 10,000 endpoints takes a while.
        """
        former, self._delivered = self._delivered, endpoints
        if not self._has_delivered_list:
            self._has_delivered_list = True
            self._on_update(ListUpdateKind.COMPLETE, list(endpoints.values()))
            return
        removed = [
            replace(known, row=replace(known.row, state=ServerState.GONE))
            for server, known in former.items()
            if server not in endpoints
        ]
        changed = [endpoint for server, endpoint in endpoints.items() if former.get(server) != endpoint]
        if removed or changed:
            self._on_update(ListUpdateKind.PATCH, removed + changed)


def _registry_node(data: r.Data | None) -> RegistryNode | None:
    return None if data is None else RegistryNode(data.data, data.stat.czxid, data.stat.mzxid, data.stat.ctime)
