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

from lugspur import invariants, reload_signal
from lugspur.config import model
from lugspur.config.build import Plan
from lugspur.config.load import ConfigFileError, load
from lugspur.daemon.daemon import Daemon
from lugspur.daemon.registrations import ListenerRegistrations
from lugspur.daemon.service import drain
from lugspur.http1.front import BACKLOG, Front

if TYPE_CHECKING:
    from lugspur.daemon.admin.action import Action
    from lugspur.daemon.daemon_admin import DaemonAdmin
    from lugspur.daemon.peers import Peers

Listening = tuple[Front, socket.socket]


class RunningDaemon:
    """The daemon with its listeners, configured by one file that can be reloaded."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.daemon = Daemon()
        self.registrations = ListenerRegistrations(self.daemon.registries)
        self.listeners: dict[str, Listening] = {}
        self._rows: dict[str, model.Listener] = {}
        self._drain_tasks: set[asyncio.Task[None]] = set()
        self._reload_task: asyncio.Task[None] | None = None
        self._reload_again = False
        self.admin: DaemonAdmin | None = None
        self.peers: Peers | None = None

    async def start(self, plan: Plan) -> None:
        """Start all parts; raises OSError, with the listener's name, if an address can't be bound."""
        row = plan.file.state
        if row.folder:
            # Imported only here: a daemon without persistence does not need it.
            from lugspur.daemon.state_persistence import StatePersistence

            self.daemon.state_persistence = StatePersistence(row.folder, row.every, self.path)
            await self.daemon.state_persistence.open()
        try:
            if plan.file.fleet.name:
                # Imported only here: a daemon without a fleet does not need it.
                from lugspur.daemon.peers import Peers

                peers = Peers(plan.file.fleet, plan.file.daemon.zone, self.path, _log_fleet)
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
        """Give up all roles while the daemon is drained, and campaign for them again afterwards."""
        if self.peers is not None:
            if on:
                self.peers.hand_over_roles()
            else:
                self.peers.reclaim_roles()

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the address of each listener by its name."""
        return {name: sock.getsockname()[:2] for name, (_, sock) in self.listeners.items()}

    # ---- reload ------------------------------------------------------------------------------

    def reload(self) -> None:
        """Reload the file; a request during a reload causes one more reload after it."""
        if self._reload_task is None:
            self._reload_task = asyncio.get_running_loop().create_task(self._reload())
        else:
            self._reload_again = True

    async def wait_for_reload(self) -> None:
        """Wait until no reload is in progress."""
        while self._reload_task is not None:
            await asyncio.shield(self._reload_task)

    async def _reload(self) -> None:
        try:
            while True:
                self._reload_again = False
                await self._reload_once()
                if not self._reload_again:
                    return
        finally:
            self._reload_task = None

    async def _reload_once(self) -> None:
        """Check the whole file, then put it into force in one step; an invalid file changes nothing."""
        try:
            # In a thread: a file of ten thousand routes takes a second or two, for which requests must not wait.
            plan = await asyncio.to_thread(load, self.path)
            await self._apply(plan)
        except ConfigFileError as error:
            more = f" (and {len(error.lines) - 1} more; see lugspur check)" if len(error.lines) > 1 else ""
            _log(f"reload: nothing is changed: {error.lines[0]}{more}")
        except OSError as error:
            _log(f"reload: nothing is changed: {error}")
        else:
            _log("reload: done")

    async def _apply(self, plan: Plan) -> None:
        """Put a plan into force; new addresses are bound first, so that a failure leaves everything unchanged."""
        rows = plan.file.listeners
        unchanged = {
            name
            for name, row in rows.items()
            if name in self.listeners and _listener_settings(self._rows[name]) == _listener_settings(row)
        }
        bound_before = {sock.getsockname()[:2]: sock for _, sock in self.listeners.values()}
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
                if name not in unchanged:
                    # An address that stays keeps its socket, and so its backlog, under other settings or another name.
                    former_socket = bound_before.get(row.address)
                    bound[name] = _bind(name, row) if former_socket is None else former_socket.dup()
        except OSError:
            for sock in bound.values():
                sock.close()
            if admin_listener is not None:
                admin_listener.close()
            raise
        addresses = {name: sock.getsockname()[:2] for name, sock in bound.items()}
        addresses |= {name: address for name, address in self.addresses().items() if name in unchanged}
        self.registrations.deregister_changed(plan.file, addresses)
        self.daemon.apply(plan, self.path)
        for name in self.listeners.keys() - unchanged:
            self._start_drain(name)
        for name, sock in bound.items():
            front = self.daemon.create_front(rows[name])
            self.listeners[name] = front, await front.listen(sock)
        for name in unchanged:
            self.daemon.apply_limits(self.listeners[name][0])
        self._rows = dict(rows)
        if self.admin is not None:
            self.admin.use(plan.file.management, admin_listener)
            if self.admin.is_drained:  # so that new listeners drain too
                self.admin.drain()
        self.registrations.register(plan.file, addresses)
        if self.peers is not None:
            self.peers.apply(plan.file, lambda: self.daemon.clusters)

    def _start_drain(self, name: str) -> None:
        task = asyncio.get_running_loop().create_task(drain(*self.listeners.pop(name)))
        self._drain_tasks.add(task)
        task.add_done_callback(self._drain_tasks.discard)

    # ---- shutdown ----------------------------------------------------------------------------

    async def stop(self) -> None:
        """Hand over roles and deregister the listeners, finish open requests, and then release all resources."""
        if self.peers is not None:
            self.peers.hand_over_roles()
        await self.registrations.deregister_all()
        if self.admin is not None:
            self.admin.close()
        for name in tuple(self.listeners):
            self._start_drain(name)
        await asyncio.gather(*self._drain_tasks)
        if self.daemon.state_persistence is not None:
            await self.daemon.state_persistence.close()
        for cluster in self.daemon.clusters.values():
            cluster.close()
        self.daemon.close()
        await self.daemon.registries.close()
        if self.peers is not None:
            self.peers.close()


def _listener_settings(row: model.Listener) -> model.Listener:
    """Return the settings of a listener whose change requires another listener."""
    return replace(row, register=None)


def _bind(name: str, row: model.Listener) -> socket.socket:
    host, port = row.address
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        # Listening may fail if another socket is bound to the address, so it starts here, before anything is changed.
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise OSError(f"listener {name} can't bind {host}:{port}: {error.strerror or error}") from error
    return sock


def _log(line: str) -> None:
    print(f"lugspur: {line}", file=sys.stderr, flush=True)


def _log_fleet(line: str) -> None:
    _log(f"fleet: {line}")


async def serve(path: str, plan: Plan, ready: Callable[[RunningDaemon], None]) -> None:
    """Run until SIGTERM or SIGINT, then finish open requests; SIGHUP reloads the file."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    invariants.add_listener(invariants.log_to_standard_error)
    running = RunningDaemon(path)
    await running.start(plan)
    reload_signal.install_handler(loop, running.reload)
    gc.collect()
    gc.freeze()
    ready(running)
    await stop_requested.wait()
    await running.stop()
