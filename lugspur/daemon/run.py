"""`lugspur run`: start, signals, reload and shutdown of the daemon."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from lugspur import invariants, reloads
from lugspur.config import model
from lugspur.config.build import Plan
from lugspur.config.load import FileFaults, load
from lugspur.daemon.daemon import Daemon
from lugspur.daemon.registrations import ListenerRegistrations
from lugspur.daemon.service import drain
from lugspur.http1.front import BACKLOG, Front

if TYPE_CHECKING:
    from lugspur.daemon.admin.action import Action
    from lugspur.daemon.daemon_admin import DaemonAdmin
    from lugspur.daemon.peers import Peers

Listening = tuple[Front, socket.socket]


class Running:
    """The daemon with its listeners, by one file that may be read again."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.daemon = Daemon()
        self.registrations = ListenerRegistrations(self.daemon.registries)
        self.listeners: dict[str, Listening] = {}
        self._rows: dict[str, model.Listener] = {}
        self._leaving: set[asyncio.Task[None]] = set()
        self._reloading: asyncio.Task[None] | None = None
        self._again = False
        self.admin: DaemonAdmin | None = None
        self.peers: Peers | None = None

    async def start(self, plan: Plan) -> None:
        """Begin; raises OSError, with the listener's name, where an address can't be had."""
        row = plan.file.state
        if row.folder:
            # Imported only here: a daemon that keeps nothing has no use for it.
            from lugspur.daemon.state_persistence import StatePersistence

            self.daemon.state_persistence = StatePersistence(row.folder, row.every, self.path)
            await self.daemon.state_persistence.open()
        try:
            if plan.file.fleet.name:
                # Imported only here: a daemon that is alone has no use for it.
                from lugspur.daemon.peers import Peers

                peers = Peers(plan.file.fleet, plan.file.daemon.zone, self.path, _say_fleet)
                peers.open()
                self.peers = peers
            await self._apply(plan)
        except BaseException:
            if self.peers is not None:
                self.peers.close()
            if self.daemon.state_persistence is not None:
                await self.daemon.state_persistence.close()
            raise
        if self.daemon.state_persistence is not None:
            self.daemon.state_persistence.start_writing(lambda: self.daemon.clusters)

    def _fleet_actions(self) -> dict[tuple[str, str], Action]:
        peers = self.peers
        if peers is None:
            return {}
        from lugspur.daemon.admin.action import ActionResult

        return {
            ("GET", "/fleet/members"): lambda _: ActionResult(200, peers.members_json()),
            ("GET", "/fleet/view"): lambda _: ActionResult(200, peers.summary_json()),
            ("GET", "/fleet/duties"): lambda _: ActionResult(200, peers.roles_json()),
            ("POST", "/fleet/may"): lambda body: ActionResult(*peers.check_role(body)),
        }

    def _on_drain(self, on: bool) -> None:
        """Who sends its callers away holds no duties either."""
        if self.peers is not None:
            if on:
                self.peers.hand_over_roles()
            else:
                self.peers.reclaim_roles()

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Where each listener can be reached."""
        return {name: sock.getsockname()[:2] for name, (_, sock) in self.listeners.items()}

    # ---- reload ------------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the file again; one reload at a time, and another one after it if it was asked for meanwhile."""
        if self._reloading is None:
            self._reloading = asyncio.get_running_loop().create_task(self._reload())
        else:
            self._again = True

    async def reloaded(self) -> None:
        """Wait until no reload is under way."""
        while self._reloading is not None:
            await asyncio.shield(self._reloading)

    async def _reload(self) -> None:
        try:
            while True:
                self._again = False
                await self._reload_once()
                if not self._again:
                    return
        finally:
            self._reloading = None

    async def _reload_once(self) -> None:
        """Check it whole, then swap it in one step; one with a fault changes nothing."""
        try:
            # In a thread: ten thousand routes take a second or two, and requests must not wait for them.
            plan = await asyncio.to_thread(load, self.path)
            await self._apply(plan)
        except FileFaults as fault:
            more = f" (and {len(fault.lines) - 1} more; see lugspur check)" if len(fault.lines) > 1 else ""
            _say(f"reload: nothing is changed: {fault.lines[0]}{more}")
        except OSError as fault:
            _say(f"reload: nothing is changed: {fault}")
        else:
            _say("reload: done")

    async def _apply(self, plan: Plan) -> None:
        """Take the new listeners' addresses first: what can fail comes before anything is changed."""
        rows = plan.file.listeners
        kept = {
            name for name, row in rows.items() if name in self.listeners and _terms(self._rows[name]) == _terms(row)
        }
        taken = {sock.getsockname()[:2]: sock for _, sock in self.listeners.values()}
        bound: dict[str, socket.socket] = {}
        admin_listener = None
        try:
            if plan.file.management.address is not None and self.admin is None:
                from lugspur.daemon.daemon_admin import DaemonAdmin

                self.admin = DaemonAdmin(
                    lambda: [front for front, _ in self.listeners.values()],
                    lambda: self.daemon.clusters,
                    self._fleet_actions(),
                    self._on_drain,
                )
            if self.admin is not None:
                admin_listener = await self.admin.prepare(plan.file.management)
            for name, row in rows.items():
                if name not in kept:
                    # The same address under other terms or another name: its queue of connections goes on.
                    ours = taken.get(row.address)
                    bound[name] = _bind(name, row) if ours is None else ours.dup()
        except OSError:
            for sock in bound.values():
                sock.close()
            if admin_listener is not None:
                admin_listener.close()
            raise
        addresses = {name: sock.getsockname()[:2] for name, sock in bound.items()}
        addresses |= {name: address for name, address in self.addresses().items() if name in kept}
        self.registrations.deregister_changed(plan.file, addresses)
        self.daemon.apply(plan, self.path)
        for name in self.listeners.keys() - kept:
            self._leave(name)
        for name, sock in bound.items():
            front = self.daemon.create_front(rows[name])
            self.listeners[name] = front, await front.listen(sock)
        for name in kept:
            self.daemon.apply_limits(self.listeners[name][0])
        self._rows = dict(rows)
        if self.admin is not None:
            self.admin.use(plan.file.management, admin_listener)
            if self.admin.is_drained:  # new listeners too
                self.admin.drain()
        self.registrations.register(plan.file, addresses)
        if self.peers is not None:
            self.peers.apply(plan.file, lambda: self.daemon.clusters)

    def _leave(self, name: str) -> None:
        task = asyncio.get_running_loop().create_task(drain(*self.listeners.pop(name)))
        self._leaving.add(task)
        task.add_done_callback(self._leaving.discard)

    # ---- the end -----------------------------------------------------------------------------

    async def stop(self) -> None:
        """Tell registries first, finish what was taken, then let go of everything."""
        if self.peers is not None:
            self.peers.hand_over_roles()
        await self.registrations.deregister_all()
        if self.admin is not None:
            self.admin.close()
        for name in tuple(self.listeners):
            self._leave(name)
        await asyncio.gather(*self._leaving)
        if self.daemon.state_persistence is not None:
            await self.daemon.state_persistence.close()
        for cluster in self.daemon.clusters.values():
            cluster.close()
        self.daemon.close()
        await self.daemon.registries.close()
        if self.peers is not None:
            self.peers.close()


def _terms(row: model.Listener) -> model.Listener:
    """What of a row needs another listener where it changes."""
    return replace(row, register=None)


def _bind(name: str, row: model.Listener) -> socket.socket:
    host, port = row.address
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(BACKLOG)  # now, since it may fail where another socket is bound: nothing is changed yet
    except OSError as fault:
        sock.close()
        raise OSError(f"listener {name} can't have {host}:{port}: {fault.strerror or fault}") from fault
    return sock


def _say(line: str) -> None:
    print(f"lugspur: {line}", file=sys.stderr, flush=True)


def _say_fleet(line: str) -> None:
    _say(f"fleet: {line}")


async def serve(path: str, plan: Plan, ready: Callable[[Running], None]) -> None:
    """Run until SIGTERM or SIGINT, then finish what was taken; SIGHUP reads the file again."""
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    invariants.add_listener(invariants.log_to_standard_error)
    running = Running(path)
    await running.start(plan)
    reloads.carry_out(loop, running.reload)
    gc.collect()
    gc.freeze()
    ready(running)
    await told.wait()
    await running.stop()
