"""Runs a daemon with the stand-in registry, backends and callers, and counts lost, duplicated and late requests."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from types import TracebackType

from lugspur.bench.processes import CLASSES
from lugspur.standins.backend import Backend, Request, Response
from lugspur.standins.callers import Caller, Tally
from lugspur.standins.zookeeper.cluster import Cluster

FOLDER = "/services/channel"  # the registry's node whose children are the backends
GRACE = 0.5  # seconds after a removal in which a backend may still receive new requests
WORK = 0.002  # seconds that a backend works on a request
REQUEST_TIMEOUT = 30.0  # seconds that a caller waits: longer than any fault that a request has to survive
WAIT_TIMEOUT = 30.0  # default timeout in seconds of waits for a condition
CONNECTIONS = 16

SETTINGS_TEMPLATE = (
    CLASSES
    + """[listeners.main]
address = "127.0.0.1:0"
[registries.main]
ensemble = {ensemble}
session = "{session}s"
[pools.channel]
registry = {{ name = "main", path = "{folder}", stale-after = "5s" }}
[routes.read]
path = "/*"
methods = ["GET"]
pool = "channel"
class = "read"
[routes.book]
path = "/*"
pool = "channel"
class = "book"
"""
)


@dataclass(slots=True)
class BackendNode:
    """A backend and its node in the registry."""

    name: str
    backend: Backend
    removed: float = float("inf")  # the loop's time at which the registry removed its node
    late: int = 0  # requests that began after the removal and the grace
    session: int = 0  # id of the registry session that owns the node


@dataclass(slots=True)
class Counts:
    """The outcomes of all requests."""

    sent: int = 0
    lost: int = 0  # requests without a complete response within the caller's time
    doubled: int = 0  # runs of unsafe requests beyond the first
    late: int = 0  # requests that a backend received after its removal and the grace
    statuses: dict[int, int] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        """Return whether no request was lost, run twice, or sent to a backend after its removal and the grace."""
        return not (self.lost or self.doubled or self.late)

    def __str__(self) -> str:
        said = ", ".join(f"{count} times {status}" for status, count in sorted(self.statuses.items()))
        return f"{self.sent} requests: {said}; {self.lost} lost, {self.doubled} doubled, {self.late} late"


class Trial:
    """An async context manager for the ensemble, the backends, the daemon in its own process, and the load."""

    def __init__(self, servers: int = 3, session: float = 2.0, grace: float = GRACE) -> None:
        self._servers, self._session, self._grace = servers, session, grace
        self.cluster = Cluster()
        self.backends: dict[str, BackendNode] = {}
        self._ended: list[BackendNode] = []
        self.tally = Tally()
        self.sent = 0
        self.daemon: asyncio.subprocess.Process
        self._port = 0
        self._callers: list[asyncio.Task[None]] = []
        self._stopping = False
        self._folder = TemporaryDirectory()
        self.lines: list[str] = []  # the log of the daemon
        self._log_reader: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()

    async def __aenter__(self) -> Trial:
        await self.cluster.listen(*[("127.0.0.1", 0)] * self._servers)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._stopping = True
        await asyncio.gather(*self._callers, return_exceptions=True)
        if self._port:
            with suppress(ProcessLookupError):
                self.daemon.kill()
            await self.daemon.wait()
        if self._log_reader is not None:
            await self._log_reader
        for node in [*self.backends.values(), *self._ended]:
            node.backend.kill()
        await self.cluster.__aexit__(kind, fault, trace)
        self._folder.cleanup()

    # ---- backends and the daemon -------------------------------------------------------------

    async def add_backend(self, name: str) -> BackendNode:
        """Start a backend and register it with its own session."""
        node = self.backends[name] = BackendNode(name, Backend(name, lambda asked: self._work(node, asked)))
        await node.backend.listen()
        self.register(node)
        return node

    def register(self, node: BackendNode) -> None:
        """Create the backend's node with a new session."""
        data = json.dumps({"address": node.backend.address, "since_ms": 1000}).encode()
        node.removed = float("inf")
        node.session = self.cluster.register_backend(f"{FOLDER}/{node.name}", data)

    def expire(self, name: str) -> BackendNode:
        """End a backend's session, which removes its node; the backend goes on running."""
        node = self.backends.pop(name)
        self._ended.append(node)
        self.cluster.ensemble.end(node.session)
        node.removed = self._loop.time()
        return node

    async def _work(self, node: BackendNode, asked: Request) -> Response:
        if self._loop.time() > node.removed + self._grace:
            node.late += 1
        await asyncio.sleep(WORK)
        return 200, b"done"

    def write(self, ensemble: list[tuple[str, int]] | None = None, folder: str = FOLDER) -> Path:
        """Write the daemon's settings file, by default with all servers of the ensemble, and return its path."""
        addresses = [f"{host}:{port}" for host, port in ensemble or self.cluster.addresses]
        file = Path(self._folder.name) / "trial.toml"
        new_file = file.with_suffix(".new")
        new_file.write_text(
            SETTINGS_TEMPLATE.format(ensemble=json.dumps(addresses), session=self._session, folder=folder)
        )
        new_file.rename(file)
        return file

    async def start(self) -> None:
        """Start the daemon and wait until it serves and has read the registry."""
        self.daemon = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lugspur", "run", str(self.write()), stderr=asyncio.subprocess.PIPE
        )
        self._log_reader = self._loop.create_task(self._read_log())
        await self.wait_until(lambda: any(" at " in line for line in self.lines))
        self._port = int(next(line for line in self.lines if " at " in line).rpartition(":")[2])
        await self.wait_for_log("registry is followed")

    async def _read_log(self) -> None:
        assert self.daemon.stderr is not None
        while line := await self.daemon.stderr.readline():
            self.lines.append(line.decode().rstrip())

    async def wait_until(self, holds: Callable[[], bool], within: float = WAIT_TIMEOUT) -> None:
        """Poll until a condition holds; raises TimeoutError."""
        async with asyncio.timeout(within):
            while not holds():
                await asyncio.sleep(0.002)

    async def wait_for_log(self, what: str, after: int = 0) -> None:
        """Wait until the daemon's log has this text in line `after` or later; raises TimeoutError."""
        await self.wait_until(lambda: any(what in line for line in self.lines[after:]))

    # ---- the load ----------------------------------------------------------------------------

    def start_load(self, rate: float) -> None:
        """Start a load of this many requests a second, every third of which is unsafe."""
        self._callers = [self._loop.create_task(self._caller(at, CONNECTIONS / rate)) for at in range(CONNECTIONS)]

    async def _caller(self, at: int, every: float) -> None:
        caller = Caller("127.0.0.1", self._port)
        due = self._loop.time() + every * at / CONNECTIONS
        while not self._stopping:
            await asyncio.sleep(due - self._loop.time())
            due = max(due + every, self._loop.time())
            self.sent += 1
            method, kind = ("POST", "book") if self.sent % 3 == 0 else ("GET", "read")
            length = "Content-Length: 0\r\n" if method == "POST" else ""
            request = f"{method} / HTTP/1.1\r\nHost: trial\r\nX-Request-ID: {kind}-{self.sent}\r\n{length}\r\n"
            self.tally.add(await caller.ask(request.encode(), REQUEST_TIMEOUT))
        caller.close()

    async def wait_for_responses(self, more: int) -> None:
        """Wait until this many further requests have been answered."""
        goal = len(self.tally.seconds) + more
        await self.wait_until(lambda: len(self.tally.seconds) >= goal)

    async def stop_load(self) -> Counts:
        """Stop the load, wait for the requests in flight, and return the counts."""
        self._stopping = True
        await asyncio.gather(*self._callers)
        self._callers.clear()
        nodes = [*self.backends.values(), *self._ended]
        ran: dict[str, int] = {}
        for node in nodes:
            for request_id, count in node.backend.ran.items():
                ran[request_id] = ran.get(request_id, 0) + count
        doubled = sum(count - 1 for request_id, count in ran.items() if request_id.startswith("book") and count > 1)
        return Counts(
            self.sent,
            self.tally.statuses.get(0, 0),
            doubled,
            sum(node.late for node in nodes),
            dict(self.tally.statuses),
        )
