"""One seed of the soak of the proxy in service: a daemon before backends, callers, troubles, then calm."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

from lugspur.bench.mesh import ROOT, free_ports
from lugspur.bench.soak.plan import DAEMON_WEIGHTS, Kind, Trouble, draw
from lugspur.bench.soak.spoilt_backends import SPOILT, DaemonBackend, Way
from lugspur.bench.soak.spoilt_callers import Form, SpoiltCallers
from lugspur.bench.soak.verdict import Verdict, figures

HOST = "127.0.0.1"
BACKENDS = 4
CALLERS = 6
DEADLINE = 2.0  # seconds of every class
ANSWER_WITHIN = 5.0  # seconds in which each request that a running daemon took has its answer
READY_WITHIN = 20.0
CALM_WITHIN = 10.0
QUIET_WITHIN = 8.0
ASK_EVERY = 0.05
NOT_RUN = (408, 421, 429, 503)  # statuses that promise that the request has not run
FORM = Form("soak.example", "/api/read", "/api/book", "X-Request-ID", "X-Timeout: 2\r\n")
DAMAGED = b"[listeners.main\naddress = \n"
UNDECODABLE = b'[listeners.main]\naddress = "\xff\xfe"\n'
FILE = """[classes.read]
aim = "500ms"
deadline = "2s"
repeat = "safe"
[classes.book]
aim = "500ms"
deadline = "2s"
[listeners.main]
address = "{host}:{port}"
[management]
address = "{host}:{management}"
[pools.main]
members = [{members}]
[routes.read]
path = "/api/read"
methods = ["GET"]
pool = "main"
class = "read"
[routes.book]
path = "/api/book"
methods = ["POST"]
pool = "main"
class = "book"
# {note}
"""


@dataclass(frozen=True)
class Asked:
    """One request of a sound caller, and what became of it."""

    ident: str
    unsafe: bool
    began: float
    ended: float
    status: int  # 0: no whole answer came
    body: bytes


class Daemon:
    """The daemon's process, and the times at which it was not there or stood still."""

    def __init__(self, folder: Path, backends: list[DaemonBackend]) -> None:
        self.folder, self.backends = folder, backends
        self.port, self.management = free_ports([HOST], 2)
        self.path = folder / "run.toml"
        self.process: subprocess.Popen[bytes] | None = None
        self._notes = itertools.count(1)
        self.away: list[tuple[float, float]] = []  # killed, or frozen
        self.stopping: list[tuple[float, float]] = []  # from SIGTERM until the next process listens

    def content(self) -> bytes:
        """The right file; each one differs from the one before."""
        members = ", ".join(f'{{ address = "{host}:{port}" }}' for host, port in (b.address for b in self.backends))
        note = f"version {next(self._notes)}"
        return FILE.format(host=HOST, port=self.port, management=self.management, members=members, note=note).encode()

    def start(self) -> None:
        """Start it, with the right file."""
        self.path.write_bytes(self.content())
        with (self.folder / "daemon.log").open("ab") as log:
            command = [sys.executable, "-m", "lugspur", "run", str(self.path)]
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=log, env=dict(os.environ))

    def send(self, number: signal.Signals) -> None:
        """A signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def reload(self, content: bytes | None) -> None:
        """SIGHUP with this file in place; None: it is gone."""
        if content is None:
            self.path.unlink(missing_ok=True)
        else:
            self.path.write_bytes(content)
        self.send(signal.SIGHUP)

    async def ended(self, within: float) -> bool:
        """Wait for its end."""
        assert self.process is not None
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        while self.process.poll() is None:
            if loop.time() > until:
                return False
            await asyncio.sleep(0.02)
        return True

    async def close(self) -> None:
        """End it."""
        if self.process is not None and self.process.poll() is None:
            self.send(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class DaemonTroubles:
    """All that is done to one daemon, its backends and its callers."""

    def __init__(self, daemon: Daemon, rng: Random, verdict: Verdict) -> None:
        self.daemon, self.rng, self.verdict = daemon, rng, verdict
        self._loop = asyncio.get_running_loop()
        self._hit = False  # the process has a trouble of its own
        self._restarting: set[int] = set()
        self.callers = SpoiltCallers(FORM, rng, "spoilt")
        self._acts: dict[Kind, Callable[[Trouble], Awaitable[bool]]] = {
            Kind.KILL_PROXY: lambda t: self._alone(self._kill(t)),
            Kind.TERMINATE_PROXY: lambda t: self._alone(self._terminate(t)),
            Kind.FREEZE_PROXY: lambda t: self._alone(self._freeze(t)),
            Kind.RELOAD: lambda t: self._alone(self._reload(t, b"")),
            Kind.RELOAD_DAMAGED: lambda t: self._alone(self._reload(t, DAMAGED)),
            Kind.RELOAD_UNDECODABLE: lambda t: self._alone(self._reload(t, UNDECODABLE)),
            Kind.RELOAD_MISSING: lambda t: self._alone(self._reload(t, None)),
            Kind.SPOILT_BACKEND: self._spoil_backend,
            Kind.RESTART_BACKEND: self._restart_backend,
            Kind.SPOILT_CALLERS: self._spoilt_callers,
        }

    async def carry_out(self, trouble: Trouble) -> None:
        """Bring one about, and end it."""
        if await self._acts[trouble.kind](trouble):
            self.verdict.troubles.update([trouble.kind.value])

    async def _alone(self, act: Awaitable[bool]) -> bool:
        """The process has one trouble of its own at a time."""
        if self._hit:
            asyncio.ensure_future(act).cancel()
            return False
        self._hit = True
        try:
            return await act
        finally:
            self._hit = False

    async def _kill(self, trouble: Trouble) -> bool:
        began = self._loop.time()
        await self.daemon.close()
        await asyncio.sleep(trouble.seconds / 4.0)
        self.daemon.start()
        await ready(self.daemon)
        self.daemon.away.append((began, self._loop.time()))
        return True

    async def _terminate(self, trouble: Trouble) -> bool:
        self.daemon.send(signal.SIGTERM)
        began = self._loop.time()
        if not await self.daemon.ended(READY_WITHIN):
            self.verdict.add("did not end after SIGTERM", f"within {READY_WITHIN} s")
            await self.daemon.close()
        elif self.daemon.process is not None and self.daemon.process.returncode:
            self.verdict.add("ended badly after SIGTERM", str(self.daemon.process.returncode))
        self.verdict.done["stops by SIGTERM"] += 1
        self.daemon.start()
        await ready(self.daemon)
        self.daemon.stopping.append((began, self._loop.time()))
        return True

    async def _freeze(self, trouble: Trouble) -> bool:
        began = self._loop.time()
        self.daemon.send(signal.SIGSTOP)
        await asyncio.sleep(trouble.seconds)
        self.daemon.send(signal.SIGCONT)
        self.daemon.away.append((began, self._loop.time()))
        return True

    async def _reload(self, trouble: Trouble, content: bytes | None) -> bool:
        self.daemon.reload(self.daemon.content() if content == b"" else content)
        await asyncio.sleep(trouble.seconds / 3.0)
        self.daemon.reload(self.daemon.content())
        return True

    async def _spoil_backend(self, trouble: Trouble) -> bool:
        backend = self.rng.choice(self.daemon.backends)
        backend.way = self.rng.choice(SPOILT)
        await asyncio.sleep(trouble.seconds)
        backend.way = Way.WELL
        return True

    async def _restart_backend(self, trouble: Trouble) -> bool:
        at = self.rng.randrange(BACKENDS)
        if at in self._restarting:
            return False
        self._restarting.add(at)
        self.daemon.backends[at].crash()
        await asyncio.sleep(trouble.seconds / 2.0)
        await self.daemon.backends[at].start()
        self._restarting.discard(at)
        return True

    async def _spoilt_callers(self, trouble: Trouble) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(trouble.seconds):
                await self.callers.work((HOST, self.daemon.port))
        return True


class SoundCallers:
    """Callers that ask one request after another, on connections that they keep as long as the daemon does."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.asked: list[Asked] = []
        self._count = itertools.count(1)
        self._loop = asyncio.get_running_loop()

    async def work(self, rng: Random) -> None:
        """Ask until cancelled."""
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.0, 2 * ASK_EVERY))
                unsafe, ident = rng.random() < 0.5, f"r{next(self._count)}"
                began = self._loop.time()
                status, body = 0, b""
                try:
                    async with asyncio.timeout(ANSWER_WITHIN):
                        if streams is None:
                            streams = await asyncio.open_connection(HOST, self.daemon.port)
                        status, body, keeps = await self._exchange(streams, ident, unsafe)
                except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
                    keeps = False
                self.asked.append(Asked(ident, unsafe, began, self._loop.time(), status, body))
                if not keeps and streams is not None:
                    streams[1].close()
                    streams = None
        finally:
            if streams is not None:
                streams[1].close()

    @staticmethod
    async def _exchange(
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], ident: str, unsafe: bool
    ) -> tuple[int, bytes, bool]:
        reader, writer = streams
        writer.write(FORM.head(ident, unsafe, 1 if unsafe else None) + (b"x" if unsafe else b""))
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
        fields = {k: v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
        body = await reader.readexactly(int(fields["content-length"]))
        return int(head[0].split(" ")[1]), body, fields.get("connection") != "close"


async def ready(daemon: Daemon) -> None:
    """Wait until it listens at both addresses; raises TimeoutError."""
    async with asyncio.timeout(READY_WITHIN):
        while not await figures(f"{HOST}:{daemon.management}"):
            await asyncio.sleep(ASK_EVERY)


async def soak_daemon(folder: Path, seed: int, seconds: float) -> Verdict:
    """Play one seed, and say what was found."""
    return await play(folder, draw(Random(f"troubles-{seed}"), seconds, DAEMON_WEIGHTS), seed)


async def play(folder: Path, troubles: list[Trouble], seed: int) -> Verdict:
    """Play these troubles."""
    verdict = Verdict()
    backends = [DaemonBackend(Random(f"backend-{seed}-{number}")) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    daemon = Daemon(folder, backends)
    loop = asyncio.get_running_loop()
    try:
        daemon.start()
        await ready(daemon)
        callers, acts = SoundCallers(daemon), DaemonTroubles(daemon, Random(f"acts-{seed}"), verdict)
        asking = [asyncio.ensure_future(callers.work(Random(f"caller-{seed}-{n}"))) for n in range(CALLERS)]
        began = loop.time()
        async with asyncio.TaskGroup() as group:
            for trouble in troubles:
                await asyncio.sleep(max(0.0, began + trouble.at - loop.time()))
                group.create_task(acts.carry_out(trouble))
        await _until_useful(callers, verdict)
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        await _until_quiet(daemon, verdict)
        if daemon.process is not None and daemon.process.poll() is not None:
            verdict.add("process that ended by itself", str(daemon.process.returncode))
    finally:
        await daemon.close()
        for backend in backends:
            backend.crash()
    _check(callers, acts, backends, verdict)
    verdict.read_logs(folder)
    return verdict


async def _until_useful(callers: SoundCallers, verdict: Verdict) -> None:
    """Twenty requests in a row are served, within the time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + CALM_WITHIN
    while not (len(callers.asked) >= 20 and all(asked.status == 200 for asked in callers.asked[-20:])):
        if loop.time() > until:
            verdict.add("not useful again", str(Counter(asked.status for asked in callers.asked[-20:])))
            return
        await asyncio.sleep(ASK_EVERY)


async def _until_quiet(daemon: Daemon, verdict: Verdict) -> None:
    """Nothing is left open once nobody asks."""
    loop = asyncio.get_running_loop()
    until = loop.time() + QUIET_WITHIN
    names = ("lugspur_requests_open", "lugspur_held_bytes")
    while True:
        found = await figures(f"{HOST}:{daemon.management}")
        left = {name: found[name] for name in names if found.get(name)} if found else {"no figures": 1.0}
        if not left:
            return
        if loop.time() > until:
            verdict.add("left open", str(left))
            return
        await asyncio.sleep(ASK_EVERY)


def _check(callers: SoundCallers, acts: DaemonTroubles, backends: list[DaemonBackend], verdict: Verdict) -> None:
    """What the rules promise of each request."""
    runs = Counter(ident for backend in backends for ident in backend.ran)
    spoilt, away = acts.callers, acts.daemon.away
    sent = {asked.ident for asked in callers.asked} | spoilt.whole
    unsafe = {asked.ident for asked in callers.asked if asked.unsafe} | spoilt.unsafe
    for ident, times in runs.items():
        if ident in unsafe and times > 1:
            verdict.add("ran twice", f"{ident}, {times} times")
        if ident not in sent and ident in spoilt.hidden:
            verdict.add("ran and nobody sent it", ident)
    for asked in callers.asked:
        excused = _within(asked, away)
        # A stopping process takes nothing new, but finishes what it has passed on.
        unanswered = asked.status == 0 and not excused
        if unanswered and (asked.ident in runs or not _within(asked, acts.daemon.stopping)):
            verdict.add("no answer", f"{asked.ident} after {asked.ended - asked.began:.2f} s at {asked.began:.2f}")
        if asked.status == 200 and asked.body != asked.ident.encode():
            verdict.add("a wrong answer", f"{asked.ident} got {asked.body[:40]!r}")
        if asked.unsafe and asked.status in NOT_RUN and asked.ident in runs:
            verdict.add("refused and ran", f"{asked.ident}: {asked.status}")
        if asked.ended - asked.began > DEADLINE + 1.0 and not excused:
            verdict.add("answered late", f"{asked.ident}: {asked.ended - asked.began:.2f} s")
    statuses = Counter(asked.status for asked in callers.asked)
    verdict.done.update({f"requests with {status or 'no answer'}": count for status, count in statuses.items()})
    verdict.done["runs"] = runs.total()


def _within(asked: Asked, times: list[tuple[float, float]]) -> bool:
    """Whether a request was under way at any of these times."""
    return any(asked.began <= until and asked.ended >= since for since, until in times)
