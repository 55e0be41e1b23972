"""Registries that pools follow: one session each, however many pools, and a source of lists on top of it."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace

from lugspur.discovery.endpoints import Address, Endpoint
from lugspur.discovery.node_formats import RegistryNode
from lugspur.discovery.registry_endpoints import RegistryEndpoints
from lugspur.discovery.source import Told
from lugspur.discovery.staleness import RegistryStaleness
from lugspur.load_balancing.model import ListUpdateKind, ServerState
from lugspur.zookeeper import records as r
from lugspur.zookeeper.client import Client
from lugspur.zookeeper.link import Machine
from lugspur.zookeeper.session import Down, Event, Expired, Terms, Up
from lugspur.zookeeper.view import Absent, News, Present, Unread, View, Whole

READ_AGAIN = 5.0  # seconds before a folder that could not be read is tried again
TELL_PART = 4.0  # how many times what telling a list took is waited for before the next: a fifth of the CPU at most
TELL_MOST = 0.2  # seconds that news waits at most: removals are to be obeyed 500 ms after they were told


@dataclass(frozen=True, slots=True)
class Ensemble:
    """Which servers, and what of them; equal ones share a session."""

    addresses: tuple[Address, ...]
    terms: Terms


class Registry:
    """One session and those who use it."""

    def __init__(self, ensemble: Ensemble) -> None:
        self.client = Client(ensemble.addresses, ensemble.terms, self._heard)
        self.users: dict[Machine, Callable[[list[Event]], None]] = {}

    def _heard(self, events: list[Event]) -> None:
        for woken in tuple(self.users.values()):
            woken(events)

    def join(self, machine: Machine, woken: Callable[[list[Event]], None]) -> None:
        """`woken` is called after each turn of the session, with what happened to it."""
        self.users[machine] = woken
        self.client.add(machine)
        self.client.open()
        woken([])

    def part(self, machine: Machine) -> None:
        """Hear no more."""
        del self.users[machine]
        self.client.remove(machine)


class Registries:
    """All registries of a daemon."""

    def __init__(self) -> None:
        self._known: dict[Ensemble, Registry] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, ensemble: Ensemble) -> Registry:
        """The session with these servers, begun when somebody joins."""
        return self._known.setdefault(ensemble, Registry(ensemble))

    def tidy(self) -> None:
        """Close sessions that nobody uses any more."""
        for ensemble, registry in tuple(self._known.items()):
            if not registry.users:
                del self._known[ensemble]
                task = asyncio.get_running_loop().create_task(registry.client.close())
                self._closing.add(task)
                task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all sessions, and wait until servers have confirmed it or been given time to."""
        for registry in self._known.values():
            registry.users.clear()
        self.tidy()
        await asyncio.gather(*self._closing)


class Followed:
    """A pool's list as a registry has it; a source like the others.

    `fixed` is told at `open` where the pool knows no list yet, and stays until the registry has told one.
    """

    def __init__(
        self,
        registries: Registries,
        ensemble: Ensemble,
        path: str,
        nodes: RegistryEndpoints,
        stale_after: float,
        fixed: list[Endpoint],
        told: Told,
        pool: str,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._registries, self._registry = registries, registries.get(ensemble)
        self._fixed = fixed
        self._told = told
        self._pool = pool
        self._nodes = nodes
        self.view = View(path)
        self.staleness = RegistryStaleness(stale_after, self._log, self._loop.time())
        self._gone: dict[int, Endpoint] = {}  # what is to be told next: first who left...
        self._rows: dict[int, Endpoint] = {}  # ...then who is there, ...
        self._whole = False  # ...and whether that is everybody
        self._known: dict[int, Endpoint] = {}  # what the pool was told...
        self._told_all = False  # ...and whether that was ever everything
        self._next = 0.0
        self._telling: asyncio.TimerHandle | None = None
        self._stale_timer: asyncio.TimerHandle | None = None
        self._reading: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Begin to tell."""
        if self._fixed:
            self._told(ListUpdateKind.COMPLETE, self._fixed)
        self._registry.join(self.view, self._woken)

    def close(self) -> None:
        """Tell nothing more."""
        self._registry.part(self.view)
        for timer in (self._telling, self._stale_timer, self._reading):
            if timer is not None:
                timer.cancel()
        self._registries.tidy()

    def _log(self, line: str) -> None:
        print(f"lugspur: pool {self._pool}: {self.view.path}: {line}", file=sys.stderr, flush=True)

    # ---- what the registry says ----------------------------------------------------------------

    def _woken(self, events: list[Event]) -> None:
        now = self._loop.time()
        for event in events:
            if isinstance(event, Up):
                self.staleness.record_connection(event.timeout)
            elif isinstance(event, Expired):
                self.staleness.record_session_expiry()
            elif isinstance(event, Down):
                self.staleness.record_disconnection(now, self._registry.client.session.heard, event.reason)
        for news in self.view.news():
            self._hear(news, now)
        self._tell_soon(now)
        self._watch_age(now)

    def _hear(self, news: News, now: float) -> None:
        if isinstance(news, Whole):
            changes = self._nodes.replace_all({name: _node(data) for name, data in news.nodes.items()})
            self._rows.clear()
            self._whole = True
            self.staleness.record_list_read(now, len(self._nodes))
        elif isinstance(news, Present):
            changes = self._nodes.update_node(news.name, _node(news.data))
        elif isinstance(news, Absent):
            changes = self._nodes.remove_node(news.name)
        else:
            self._unread(news)
            return
        for endpoint in changes.endpoints:
            self._put(endpoint)
        for line in changes.problems:
            self._log(line)

    def _unread(self, news: Unread) -> None:
        known = {int(r.Error.NO_NODE): "it does not exist yet", int(r.Error.NO_AUTH): "its access list forbids it"}
        self.staleness.record_read_failure(known.get(news.error, f"error {news.error}"))
        if self._reading is not None:
            self._reading.cancel()
        if news.error != r.Error.NO_NODE:  # of one that is made, a watch tells
            self._reading = self._loop.call_later(READ_AGAIN, self._read_again)

    def _read_again(self) -> None:
        self.view.again()
        self._registry.client.turn()

    def _watch_age(self, now: float) -> None:
        """Show when the list has become stale."""
        self.staleness.tick(now)
        if self._stale_timer is not None:
            self._stale_timer.cancel()
        due = self.staleness.next_tick_at()
        if due != float("inf"):
            self._stale_timer = self._loop.call_at(due, lambda: self._watch_age(self._loop.time()))

    # ---- what the pool is told -----------------------------------------------------------------

    def _put(self, endpoint: Endpoint) -> None:
        server = endpoint.row.server
        if endpoint.row.state is ServerState.GONE:
            self._rows.pop(server, None)
            self._gone[server] = endpoint
        else:
            self._rows[server] = endpoint

    def _tell_soon(self, now: float) -> None:
        """Tell now, or in a moment where telling is dear: 1,000 changes a second must not take the whole CPU."""
        if not (self._gone or self._rows or self._whole) or self._telling is not None:
            return
        if now >= self._next:
            self._tell()
        else:
            self._telling = self._loop.call_at(self._next, self._tell)

    def _tell(self) -> None:
        """Who left comes first: one that was made again under the same name is somebody else."""
        begun = self._loop.time()
        self._telling = None
        gone, rows, whole = list(self._gone.values()), list(self._rows.values()), self._whole
        self._gone, self._rows, self._whole = {}, {}, False
        if gone:
            self._told(ListUpdateKind.PATCH, gone)
            for endpoint in gone:
                self._known.pop(endpoint.row.server, None)
        if whole:
            self._tell_whole({endpoint.row.server: endpoint for endpoint in rows})
        elif rows:
            self._told(ListUpdateKind.PATCH, rows)
            self._known.update((endpoint.row.server, endpoint) for endpoint in rows)
        ended = self._loop.time()
        self._next = ended + min(TELL_MOST, TELL_PART * (ended - begun))

    def _tell_whole(self, rows: dict[int, Endpoint]) -> None:
        """Everything, or what of it is news: after most gaps nothing is, and telling 10,000 rows takes a while."""
        former, self._known = self._known, rows
        if not self._told_all:
            self._told_all = True
            self._told(ListUpdateKind.COMPLETE, list(rows.values()))
            return
        left = [
            replace(known, row=replace(known.row, state=ServerState.GONE))
            for server, known in former.items()
            if server not in rows
        ]
        changed = [endpoint for server, endpoint in rows.items() if former.get(server) != endpoint]
        if left or changed:
            self._told(ListUpdateKind.PATCH, left + changed)


def _node(data: r.Data | None) -> RegistryNode | None:
    return None if data is None else RegistryNode(data.data, data.stat.czxid, data.stat.mzxid, data.stat.ctime)
