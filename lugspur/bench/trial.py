"""A daemon that follows the stand-in registry under load: boxes, callers, and a count of what must never happen."""

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

FOLDER = "/services/channel"
GRACE = 0.5  # seconds after a removal in which something new may still come
WORK = 0.002  # seconds of work for a request
WITHIN = 30.0  # seconds that a caller waits: longer than any fault that a request has to outlive
WIDE = 30.0  # seconds that anything may take to begin
CONNECTIONS = 16

FILE = (
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
class Box:
    """A backend and its node."""

    name: str
    backend: Backend
    removed: float = float("inf")  # the loop's time at which the registry removed its node
    late: int = 0  # requests that began more than the grace after that
    session: int = 0


@dataclass(slots=True)
class Counts:
    """What became of all requests."""

    sent: int = 0
    lost: int = 0  # no whole answer within the caller's time
    doubled: int = 0  # runs of unsafe requests beyond the first
    late: int = 0
    statuses: dict[int, int] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        """Whether all rules held."""
        return not (self.lost or self.doubled or self.late)

    def __str__(self) -> str:
        said = ", ".join(f"{count} times {status}" for status, count in sorted(self.statuses.items()))
        return f"{self.sent} requests: {said}; {self.lost} lost, {self.doubled} doubled, {self.late} late"


class Trial:
    """An async context manager: the ensemble, the boxes, the daemon in a process of its own, and the load."""

    def __init__(self, servers: int = 3, session: float = 2.0, grace: float = GRACE) -> None:
        self._servers, self._session, self._grace = servers, session, grace
        self.cluster = Cluster()
        self.boxes: dict[str, Box] = {}
        self._ended: list[Box] = []
        self.tally = Tally()
        self.sent = 0
        self.daemon: asyncio.subprocess.Process
        self._port = 0
        self._playing: list[asyncio.Task[None]] = []
        self._stop = False
        self._folder = TemporaryDirectory()
        self.lines: list[str] = []  # what the daemon has said
        self._reading: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()

    async def __aenter__(self) -> Trial:
        await self.cluster.listen(*[("127.0.0.1", 0)] * self._servers)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._stop = True
        await asyncio.gather(*self._playing, return_exceptions=True)
        if self._port:
            with suppress(ProcessLookupError):
                self.daemon.kill()
            await self.daemon.wait()
        if self._reading is not None:
            await self._reading
        for box in [*self.boxes.values(), *self._ended]:
            box.backend.kill()
        await self.cluster.__aexit__(kind, fault, trace)
        self._folder.cleanup()

    # ---- what there is -----------------------------------------------------------------------

    async def box(self, name: str) -> Box:
        """A backend that runs, and its node under a session of its own."""
        box = self.boxes[name] = Box(name, Backend(name, lambda asked: self._work(box, asked)))
        await box.backend.listen()
        self.register(box)
        return box

    def register(self, box: Box) -> None:
        """Make its node, under a new session."""
        data = json.dumps({"address": box.backend.address, "since_ms": 1000}).encode()
        box.removed = float("inf")
        box.session = self.cluster.register_backend(f"{FOLDER}/{box.name}", data)

    def expire(self, name: str) -> Box:
        """Its session ends, and its node with it; the process goes on."""
        box = self.boxes.pop(name)
        self._ended.append(box)
        self.cluster.ensemble.end(box.session)
        box.removed = self._loop.time()
        return box

    async def _work(self, box: Box, asked: Request) -> Response:
        if self._loop.time() > box.removed + self._grace:
            box.late += 1
        await asyncio.sleep(WORK)
        return 200, b"done"

    def write(self, ensemble: list[tuple[str, int]] | None = None, folder: str = FOLDER) -> Path:
        """The daemon's file, by default with all servers."""
        addresses = [f"{host}:{port}" for host, port in ensemble or self.cluster.addresses]
        file = Path(self._folder.name) / "trial.toml"
        fresh = file.with_suffix(".new")
        fresh.write_text(FILE.format(ensemble=json.dumps(addresses), session=self._session, folder=folder))
        fresh.rename(file)
        return file

    async def start(self) -> None:
        """Start the daemon, and wait until it serves."""
        self.daemon = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lugspur", "run", str(self.write()), stderr=asyncio.subprocess.PIPE
        )
        self._reading = self._loop.create_task(self._read())
        await self.until(lambda: any(" at " in line for line in self.lines))
        self._port = int(next(line for line in self.lines if " at " in line).rpartition(":")[2])
        await self.said("registry is followed")

    async def _read(self) -> None:
        assert self.daemon.stderr is not None
        while line := await self.daemon.stderr.readline():
            self.lines.append(line.decode().rstrip())

    async def until(self, holds: Callable[[], bool], within: float = WIDE) -> None:
        """Wait for something that has no event of its own; raises TimeoutError."""
        async with asyncio.timeout(within):
            while not holds():
                await asyncio.sleep(0.002)

    async def said(self, what: str, after: int = 0) -> None:
        """Wait until the daemon has said this, in a line from the `after`th on; raises TimeoutError."""
        await self.until(lambda: any(what in line for line in self.lines[after:]))

    # ---- the load ----------------------------------------------------------------------------

    def play(self, rate: float) -> None:
        """So many requests a second from now on, every third of them unsafe."""
        self._playing = [self._loop.create_task(self._caller(at, CONNECTIONS / rate)) for at in range(CONNECTIONS)]

    async def _caller(self, at: int, every: float) -> None:
        caller = Caller("127.0.0.1", self._port)
        due = self._loop.time() + every * at / CONNECTIONS
        while not self._stop:
            await asyncio.sleep(due - self._loop.time())
            due = max(due + every, self._loop.time())
            self.sent += 1
            method, kind = ("POST", "book") if self.sent % 3 == 0 else ("GET", "read")
            length = "Content-Length: 0\r\n" if method == "POST" else ""
            request = f"{method} / HTTP/1.1\r\nHost: trial\r\nX-Request-ID: {kind}-{self.sent}\r\n{length}\r\n"
            self.tally.add(await caller.ask(request.encode(), WITHIN))
        caller.close()

    async def served(self, more: int) -> None:
        """Wait until so many further requests have been answered."""
        goal = len(self.tally.seconds) + more
        await self.until(lambda: len(self.tally.seconds) >= goal)

    async def stop(self) -> Counts:
        """End the load; every request has had its answer, or has not."""
        self._stop = True
        await asyncio.gather(*self._playing)
        self._playing.clear()
        boxes = [*self.boxes.values(), *self._ended]
        ran: dict[str, int] = {}
        for box in boxes:
            for rid, count in box.backend.ran.items():
                ran[rid] = ran.get(rid, 0) + count
        doubled = sum(count - 1 for rid, count in ran.items() if rid.startswith("book") and count > 1)
        return Counts(
            self.sent, self.tally.statuses.get(0, 0), doubled, sum(box.late for box in boxes), dict(self.tally.statuses)
        )
