"""Carries out troubles on a mesh of processes: several at once, but one of its own at a time for each process."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from lugspur.bench.faults.cluster import CATCH_UP, SERVICES, Cluster
from lugspur.bench.faults.history import History, Span
from lugspur.bench.faults.links import Cut, Pair
from lugspur.bench.soak.faulty_backends import SPOILT, SpoiltMeshBackend, Way
from lugspur.bench.soak.misbehaving_callers import Form, SpoiltCallers
from lugspur.bench.soak.plan import Kind, Trouble
from lugspur.bench.soak.verdict import Verdict
from lugspur.standins.mesh import MeshBackend

FORM = Form("mesh.example", "/look/1", "/mail/1", "Lugspur-Attempt-Id", "")
DAMAGED = b"[self]\nnode_name = \n"
UNDECODABLE = b'[self]\nnode_name = "\xff\xfe"\n'
TWICE = SERVICES[0]  # the service that has two backends
LOST = (Way.SILENT, Way.RESET, Way.HALF, Way.GARBAGE)  # how a backend loses the answer of what it has run
DRAIN = 2.0  # seconds after its acknowledged `closing` from which a backend is reached by nothing, by the settings
WORK = (0.02, 0.25)  # seconds that a backend takes for a request: troubles are to meet some that run
MAIL_DEADLINE = 2.0  # seconds of the route that is not to be repeated: shorter than some freezes
AFTER_DRAIN = 0.8  # seconds for which that is watched
SETTLED = CATCH_UP + 0.5  # seconds after its return from which a wiped machine counts again


class SoakCluster(Cluster):
    """A cluster whose backends may misbehave; `guard`: the number of the guard that its processes lack, -1: none.

    One service has two backends: what may not be run again could go to the other one.
    """

    proxy_services = (TWICE, *SERVICES)
    rng: Random
    guard = -1

    def command(self) -> list[str]:
        if self.guard < 0:
            return super().command()
        return [sys.executable, "-m", "lugspur.bench.soak.guarded", str(self.guard)]

    def start(self, ip: str) -> None:
        # As docs/mesh-operating.md asks of whoever starts a process: until its first line it can hold no signal.
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        try:
            super().start(ip)
        finally:
            signal.signal(signal.SIGHUP, before)

    def new_backend(self, service: str, address: str, dispatch: str, zone: str) -> MeshBackend:
        backend = SpoiltMeshBackend(service, address, dispatch, zone, self.rng)
        backend.work = self.rng.uniform(*WORK)
        return backend

    def mail_route(self) -> dict[str, Any]:
        return self.route("mail", "unsafe", deadline_ms=1000.0 * MAIL_DEADLINE)


@dataclass(frozen=True)
class Away:
    """A process that did not run for a while."""

    ip: str
    since: float
    until: float


class MeshTroubles:
    """All that is done to one cluster, and what its backends see of that."""

    def __init__(
        self,
        cluster: SoakCluster,
        history: History,
        rng: Random,
        verdict: Verdict,
        order: Callable[[str], Awaitable[bool]],
    ) -> None:
        """`order` sends one to a control node, and says whether it was confirmed."""
        self.cluster, self.history, self.rng, self.verdict = cluster, history, rng, verdict
        self._order = order
        self.away: list[Away] = []
        self._loop = asyncio.get_running_loop()
        self._hit: set[str] = set()  # machines whose process has a trouble of its own
        self._wiped_at = float("-inf")
        self.callers = SpoiltCallers(FORM, rng, "spoilt")
        self._acts: dict[Kind, Callable[[Trouble], Awaitable[bool]]] = {
            Kind.KILL_CONTROL: lambda t: self._kill(t, self._free(cluster.control)),
            Kind.WIPE_CONTROL: self._wipe,
            Kind.WIPE_AFTER_ACK: self._wipe_after_ack,
            Kind.FREEZE_CONTROL: lambda t: self._freeze(t, self._free(cluster.control)),
            Kind.KILL_ALL_CONTROL: lambda t: self._kill_all(t),
            Kind.KILL_AFTER_ACK: self._kill_after_ack,
            Kind.TERMINATE_CONTROL: lambda t: self._terminate(t, self._free(cluster.control)),
            Kind.KILL_PROXY: lambda t: self._kill(t, self._free(cluster.proxy_ips)),
            Kind.TERMINATE_PROXY: lambda t: self._terminate(t, self._free(cluster.proxy_ips)),
            Kind.FREEZE_PROXY: lambda t: self._freeze(t, self._free(cluster.proxy_ips)),
            Kind.CUT: lambda t: self._cut(t, rng.choice((Cut.SILENT, Cut.RESET)), True, True),
            Kind.CUT_ONE_WAY: lambda t: self._cut(t, Cut.SILENT, *rng.choice(((True, False), (False, True)))),
            Kind.RESETS: self._resets,
            Kind.SLOW: self._slow,
            Kind.RELOAD: lambda t: self._reload(t, b""),
            Kind.RELOAD_DAMAGED: lambda t: self._reload(t, DAMAGED),
            Kind.RELOAD_UNDECODABLE: lambda t: self._reload(t, UNDECODABLE),
            Kind.RELOAD_MISSING: lambda t: self._reload(t, None),
            Kind.SEEDS: self._seeds,
            Kind.SPOILT_BACKEND: self._spoil_backend,
            Kind.LOST_ANSWERS: self._lose_answers,
            Kind.RESTART_BACKEND: self._restart_backend,
            Kind.DRAIN_BACKEND: self._drain_backend,
            Kind.SPOILT_CALLERS: self._spoilt_callers,
        }

    async def carry_out(self, trouble: Trouble) -> None:
        """Bring one about, and end it; nothing is done where nobody is there to be hit."""
        began = self._loop.time()
        done = await self._acts[trouble.kind](trouble)
        # Troubles overlap, so that no time bound is checked while any lasts: safety is.
        self.history.spans.append(Span(trouble.kind.value, (), began, self._loop.time(), (), True))
        if done:
            self.verdict.troubles.update([trouble.kind.value])

    def _take(self, ip: str) -> float:
        """Nothing else is done to this process from now on."""
        self._hit.add(ip)
        return self._loop.time()

    def _give_back(self, ip: str, since: float) -> None:
        """It runs again."""
        self._hit.discard(ip)
        self.away.append(Away(ip, since, self._loop.time()))

    def _free(self, ips: list[str]) -> str:
        """One of these whose process has no trouble of its own; empty: there is none."""
        free = [ip for ip in ips if ip not in self._hit]
        return self.rng.choice(free) if free else ""

    # ---- processes -----------------------------------------------------------------------------

    async def _kill(self, trouble: Trouble, ip: str) -> bool:
        if not ip:
            return False
        since = self._take(ip)
        self.cluster.end(ip)
        await asyncio.sleep(trouble.seconds / 3.0)
        self.cluster.start(ip)
        self._give_back(ip, since)
        return True

    async def _kill_after_ack(self, trouble: Trouble) -> bool:
        """What was confirmed a moment ago stands on as many disks as it was promised to, or it is lost."""
        ip = self._free(self.cluster.control)
        return bool(ip) and await self._order(ip) and await self._kill_all(trouble)

    async def _kill_all(self, trouble: Trouble) -> bool:
        ips = [ip for ip in self.cluster.control if ip not in self._hit]
        for ip in ips:
            self.cluster.processes[ip].kill()  # all in one moment, before any is waited for
        for ip in ips:
            self._hit.add(ip)
            self.cluster.end(ip)
        await asyncio.sleep(trouble.seconds / 3.0)
        for ip in ips:
            self.cluster.start(ip)
            self._hit.discard(ip)
        return bool(ips)

    async def _wipe(self, trouble: Trouble) -> bool:
        """One disk at a time, as the settings tolerate: the next one once the former counts again."""
        ip = self._free(self.cluster.control)
        return bool(ip) and await self._may_wipe() and await self._lose_disk(trouble, ip)

    async def _wipe_after_ack(self, trouble: Trouble) -> bool:
        """What was confirmed a moment ago is on other disks than that of the control node that proposed it."""
        proposer = (await self.cluster.voters())[0]
        if proposer in self._hit or not await self._may_wipe() or not await self._order(proposer):
            return False
        return proposer not in self._hit and await self._lose_disk(trouble, proposer)

    def _settled(self) -> bool:
        return self._loop.time() >= self._wiped_at + SETTLED

    async def _may_wipe(self) -> bool:
        return self._settled() and await self._all_complete()

    async def _lose_disk(self, trouble: Trouble, ip: str) -> bool:
        if not self._settled():  # another one has gone since it was asked
            return False
        self._wiped_at = float("inf")
        self._hit.add(ip)
        self.cluster.end(ip)
        self.cluster.wipe(ip)
        await asyncio.sleep(trouble.seconds / 3.0)
        self.cluster.start(ip)
        self._hit.discard(ip)
        self._wiped_at = self._loop.time()
        return True

    async def _all_complete(self) -> bool:
        found = await asyncio.gather(*(self.cluster.status(ip) for ip in self.cluster.control if ip not in self._hit))
        return len(found) == len(self.cluster.control) and all(status.get("complete") for status in found)

    async def _terminate(self, trouble: Trouble, ip: str) -> bool:
        if not ip:
            return False
        since = self._take(ip)
        await self.cluster.terminate(ip)
        self.cluster.start(ip)
        self._give_back(ip, since)
        return True

    async def _freeze(self, trouble: Trouble, ip: str) -> bool:
        if not ip:
            return False
        since = self._take(ip)
        self.cluster.freeze(ip)
        await asyncio.sleep(trouble.seconds)
        self.cluster.thaw(ip)
        self._give_back(ip, since)
        return True

    # ---- links ---------------------------------------------------------------------------------

    def _everyone(self) -> list[str]:
        return [*self.cluster.control, *self.cluster.proxy_ips]

    async def _cut(self, trouble: Trouble, how: Cut, outwards: bool, inwards: bool) -> bool:
        ip = self.rng.choice(self._everyone())
        others = [other for other in self._everyone() if other != ip]
        pairs = [Pair(ip, other) for other in others if outwards] + [Pair(other, ip) for other in others if inwards]
        for pair in pairs:
            self.cluster.links.cut(pair, how)
        await asyncio.sleep(trouble.seconds)
        self.cluster.links.open_again(pairs)
        return True

    async def _resets(self, trouble: Trouble) -> bool:
        for ip in self._everyone():
            for other in self._everyone():
                self.cluster.links.reset(Pair(ip, other))
        return True

    async def _slow(self, trouble: Trouble) -> bool:
        pairs = [Pair(ip, other) for ip in self._everyone() for other in self._everyone()]
        for pair in pairs:
            self.cluster.links.cut(pair, Cut.SLOW)
        await asyncio.sleep(trouble.seconds / 3.0)
        self.cluster.links.open_again(pairs)
        return True

    # ---- settings ------------------------------------------------------------------------------

    async def _reload(self, trouble: Trouble, content: bytes | None) -> bool:
        """SIGHUP with a file that is right (no content given), damaged or gone; it is right again afterwards."""
        ip = self._free(self._everyone())
        if not ip:
            return False
        self._hit.add(ip)
        right = self.cluster.settings(ip).encode()
        self.cluster.reload(ip, right if content == b"" else content)
        await asyncio.sleep(trouble.seconds / 3.0)
        self.cluster.reload(ip, right)
        self._hit.discard(ip)
        return True

    async def _seeds(self, trouble: Trouble) -> bool:
        seeds = self.rng.sample(self.cluster.control, len(self.cluster.seeds))
        free = [ip for ip in self._everyone() if ip not in self._hit]
        self.cluster.seeds = seeds
        for ip in free:
            self.cluster.reload(ip, self.cluster.settings(ip).encode())
        return True

    # ---- backends and callers ------------------------------------------------------------------

    async def _spoil_backend(self, trouble: Trouble) -> bool:
        backend = self.cluster.backend_of(self.rng.choice(self.cluster.proxy_ips))
        assert isinstance(backend, SpoiltMeshBackend)
        backend.way = self.rng.choice(SPOILT)
        await asyncio.sleep(trouble.seconds)
        backend.way = Way.WELL
        return True

    async def _restart_backend(self, trouble: Trouble) -> bool:
        """A backend crashes without a word, and another life of it begins at its address."""
        ip = self.rng.choice(self.cluster.proxy_ips)
        backend = self.cluster.backend_of(ip)
        await backend.close()
        await asyncio.sleep(trouble.seconds / 3.0)
        with suppress(OSError):  # another such trouble was quicker
            await self.cluster.add_backend(ip, backend.service)
        return True

    async def _lose_answers(self, trouble: Trouble) -> bool:
        """One of two backends runs what it gets, and its answers are lost."""
        ip = self.rng.choice([ip for ip in self.cluster.proxy_ips if self.cluster.backend_of(ip).service == TWICE])
        backend = self.cluster.backend_of(ip)
        assert isinstance(backend, SpoiltMeshBackend)
        backend.way = self.rng.choice(LOST)
        await asyncio.sleep(trouble.seconds)
        backend.way = Way.WELL
        return True

    async def _drain_backend(self, trouble: Trouble) -> bool:
        """A backend says that it leaves, serves on for the drain's time, signs off, and another life begins."""
        ip = self.rng.choice(self.cluster.proxy_ips)
        backend = self.cluster.backend_of(ip)
        if backend.state != "accepting":
            return False
        backend.state = "closing"
        try:
            async with asyncio.timeout(1.0):
                acknowledged = await backend.beat()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            acknowledged = False
        await asyncio.sleep(DRAIN)
        ran = len(backend.ran)
        await asyncio.sleep(AFTER_DRAIN)
        if acknowledged and len(backend.ran) > ran:
            self.verdict.add("ran after its drain", f"{', '.join(backend.ran[ran:])} at {ip}")
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                await backend.sign_off()
        await backend.close()
        with suppress(OSError):  # a restart was quicker
            await self.cluster.add_backend(ip, backend.service)
        return acknowledged

    async def _spoilt_callers(self, trouble: Trouble) -> bool:
        ip = self.rng.choice(self.cluster.proxy_ips)
        with suppress(TimeoutError):
            async with asyncio.timeout(trouble.seconds):
                await self.callers.work((ip, self.cluster.outgoing))
        return True

    def end_all(self) -> None:
        """All that may still be amiss is put right."""
        self.cluster.links.heal()
        for ip in self._everyone():
            if ip in self.cluster.processes:
                self.cluster.processes[ip].send_signal(signal.SIGCONT)
            else:
                self.cluster.start(ip)
        for backend in self.cluster.backends:
            if isinstance(backend, SpoiltMeshBackend):
                backend.way = Way.WELL
