"""Injects faults into a mesh of processes: several at once, but at most one at a time hits the same process."""

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
from lugspur.bench.faults.links import LinkState, Pair
from lugspur.bench.soak.faulty_backends import FAULTY_MODES, FaultyMeshBackend, ResponseMode
from lugspur.bench.soak.misbehaving_callers import MisbehavingCallers, RequestFormat
from lugspur.bench.soak.plan import Fault, FaultKind
from lugspur.bench.soak.verdict import Verdict
from lugspur.standins.mesh import MeshBackend

REQUEST_FORMAT = RequestFormat("mesh.example", "/look/1", "/mail/1", "Lugspur-Attempt-Id", "")
INVALID_SETTINGS = b"[self]\nnode_name = \n"
UNDECODABLE_SETTINGS = b'[self]\nnode_name = "\xff\xfe"\n'
# The service that has two backends.
REPLICATED_SERVICE = SERVICES[0]
# Modes in which a backend runs a request and its response is lost.
RESPONSE_LOSS_MODES = (
    ResponseMode.SILENT,
    ResponseMode.RESET,
    ResponseMode.TRUNCATED,
    ResponseMode.GARBAGE,
)
# Time after its acknowledged state `closing` from which a backend must get no more requests, by the settings.
DRAIN_SECONDS = 2.0
# Range of the time that a backend takes for a request: long enough that faults hit running requests.
WORK_SECONDS = (0.02, 0.25)
# Deadline of the route whose requests must not be retried: shorter than some freezes.
MAIL_DEADLINE_SECONDS = 2.0
# Time after the drain for which the backend is watched for requests that still run.
POST_DRAIN_SECONDS = 0.8
# Time after the restart of a wiped control node from which it counts as a replica again.
WIPE_RECOVERY_SECONDS = CATCH_UP + 0.5


class SoakCluster(Cluster):
    """A cluster whose backends can misbehave; `guard` is the index of the guard disabled in its processes, -1 for none.

    One service has two backends, so that a faulty retry of an unsafe request could reach the other one.
    """

    proxy_services = (REPLICATED_SERVICE, *SERVICES)
    rng: Random
    guard = -1

    def command(self) -> list[str]:
        if self.guard < 0:
            return super().command()
        return [sys.executable, "-m", "lugspur.bench.soak.guarded", str(self.guard)]

    def start(self, ip: str) -> None:
        # docs/mesh-operating.md requires this of whatever starts a process: before its first line of code runs, the
        # process cannot defer SIGHUP itself.
        previous_handler = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        try:
            super().start(ip)
        finally:
            signal.signal(signal.SIGHUP, previous_handler)

    def new_backend(self, service: str, address: str, dispatch: str, zone: str) -> MeshBackend:
        backend = FaultyMeshBackend(service, address, dispatch, zone, self.rng)
        backend.work = self.rng.uniform(*WORK_SECONDS)
        return backend

    def mail_route(self) -> dict[str, Any]:
        return self.route("mail", "unsafe", deadline_ms=1000.0 * MAIL_DEADLINE_SECONDS)


@dataclass(frozen=True)
class Outage:
    """A span in which a process did not run."""

    ip: str
    since: float
    until: float


class MeshFaultInjector:
    """Injects faults into one cluster, and records outages and requests that ran after a drain."""

    def __init__(
        self,
        cluster: SoakCluster,
        history: History,
        rng: Random,
        verdict: Verdict,
        send_order: Callable[[str], Awaitable[bool]],
    ) -> None:
        """`send_order` sends an order to a control node and returns whether it was confirmed."""
        self.cluster, self.history, self.rng, self.verdict = cluster, history, rng, verdict
        self._send_order = send_order
        self.outages: list[Outage] = []
        self._loop = asyncio.get_running_loop()
        self._faulted_ips: set[str] = set()  # machines whose process is hit by a fault
        self._wipe_ended_at = float("-inf")
        self.callers = MisbehavingCallers(REQUEST_FORMAT, rng, "spoilt")
        self._handlers: dict[FaultKind, Callable[[Fault], Awaitable[bool]]] = {
            FaultKind.KILL_CONTROL: lambda fault: self._kill(fault, self._pick_unfaulted(cluster.control)),
            FaultKind.WIPE_CONTROL: self._wipe,
            FaultKind.WIPE_AFTER_ACK: self._wipe_after_ack,
            FaultKind.FREEZE_CONTROL: lambda fault: self._freeze(fault, self._pick_unfaulted(cluster.control)),
            FaultKind.KILL_ALL_CONTROL: lambda fault: self._kill_all(fault),
            FaultKind.KILL_AFTER_ACK: self._kill_after_ack,
            FaultKind.TERMINATE_CONTROL: lambda fault: self._terminate(fault, self._pick_unfaulted(cluster.control)),
            FaultKind.KILL_PROXY: lambda fault: self._kill(fault, self._pick_unfaulted(cluster.proxy_ips)),
            FaultKind.TERMINATE_PROXY: lambda fault: self._terminate(fault, self._pick_unfaulted(cluster.proxy_ips)),
            FaultKind.FREEZE_PROXY: lambda fault: self._freeze(fault, self._pick_unfaulted(cluster.proxy_ips)),
            FaultKind.CUT: lambda fault: self._cut(fault, rng.choice((LinkState.SILENT, LinkState.RESET)), True, True),
            FaultKind.CUT_ONE_WAY: lambda fault: self._cut(
                fault, LinkState.SILENT, *rng.choice(((True, False), (False, True)))
            ),
            FaultKind.RESET_CONNECTIONS: self._reset_connections,
            FaultKind.SLOW_LINKS: self._slow_links,
            FaultKind.RELOAD: lambda fault: self._reload(fault, b""),
            FaultKind.RELOAD_DAMAGED: lambda fault: self._reload(fault, INVALID_SETTINGS),
            FaultKind.RELOAD_UNDECODABLE: lambda fault: self._reload(fault, UNDECODABLE_SETTINGS),
            FaultKind.RELOAD_MISSING: lambda fault: self._reload(fault, None),
            FaultKind.CHANGE_SEEDS: self._change_seeds,
            FaultKind.FAULTY_BACKEND: self._make_backend_faulty,
            FaultKind.LOST_RESPONSES: self._lose_responses,
            FaultKind.RESTART_BACKEND: self._restart_backend,
            FaultKind.DRAIN_BACKEND: self._drain_backend,
            FaultKind.MISBEHAVING_CALLERS: self._run_misbehaving_callers,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and end it after its duration; do nothing if it has no possible target."""
        started_at = self._loop.time()
        done = await self._handlers[fault.kind](fault)
        # As faults overlap, the checker applies no time bounds during a fault, only the safety rules.
        self.history.spans.append(Span(fault.kind.value, (), started_at, self._loop.time(), (), True))
        if done:
            self.verdict.faults.update([fault.kind.value])

    def _claim_process(self, ip: str) -> float:
        """Reserve a process for one fault, and return the time at which its outage starts."""
        self._faulted_ips.add(ip)
        return self._loop.time()

    def _release_process(self, ip: str, since: float) -> None:
        """Release a process that runs again, and record its outage."""
        self._faulted_ips.discard(ip)
        self.outages.append(Outage(ip, since, self._loop.time()))

    def _pick_unfaulted(self, ips: list[str]) -> str:
        """Return a random machine whose process is not hit by a fault, or an empty string if there is none."""
        unfaulted = [ip for ip in ips if ip not in self._faulted_ips]
        return self.rng.choice(unfaulted) if unfaulted else ""

    # ---- processes -----------------------------------------------------------------------------

    async def _kill(self, fault: Fault, ip: str) -> bool:
        if not ip:
            return False
        since = self._claim_process(ip)
        self.cluster.end(ip)
        await asyncio.sleep(fault.seconds / 3.0)
        self.cluster.start(ip)
        self._release_process(ip, since)
        return True

    async def _kill_after_ack(self, fault: Fault) -> bool:
        """Kill all control nodes right after one has confirmed an order.

        The order survives only if it is on as many disks as the confirmation promised.
        """
        ip = self._pick_unfaulted(self.cluster.control)
        return bool(ip) and await self._send_order(ip) and await self._kill_all(fault)

    async def _kill_all(self, fault: Fault) -> bool:
        ips = [ip for ip in self.cluster.control if ip not in self._faulted_ips]
        for ip in ips:
            self.cluster.processes[ip].kill()  # kill all processes before waiting for any of them
        for ip in ips:
            self._faulted_ips.add(ip)
            self.cluster.end(ip)
        await asyncio.sleep(fault.seconds / 3.0)
        for ip in ips:
            self.cluster.start(ip)
            self._faulted_ips.discard(ip)
        return bool(ips)

    async def _wipe(self, fault: Fault) -> bool:
        """Wipe one disk at a time, as the settings tolerate: the next one once that node is a replica again."""
        ip = self._pick_unfaulted(self.cluster.control)
        return bool(ip) and await self._can_wipe() and await self._lose_disk(fault, ip)

    async def _wipe_after_ack(self, fault: Fault) -> bool:
        """Wipe the proposer right after it has confirmed an order, which must then be on other disks."""
        proposer = (await self.cluster.voters())[0]
        if proposer in self._faulted_ips or not await self._can_wipe() or not await self._send_order(proposer):
            return False
        return proposer not in self._faulted_ips and await self._lose_disk(fault, proposer)

    def _last_wipe_recovered(self) -> bool:
        return self._loop.time() >= self._wipe_ended_at + WIPE_RECOVERY_SECONDS

    async def _can_wipe(self) -> bool:
        return self._last_wipe_recovered() and await self._all_complete()

    async def _lose_disk(self, fault: Fault, ip: str) -> bool:
        if not self._last_wipe_recovered():  # another disk was wiped since the caller checked
            return False
        self._wipe_ended_at = float("inf")
        self._faulted_ips.add(ip)
        self.cluster.end(ip)
        self.cluster.wipe(ip)
        await asyncio.sleep(fault.seconds / 3.0)
        self.cluster.start(ip)
        self._faulted_ips.discard(ip)
        self._wipe_ended_at = self._loop.time()
        return True

    async def _all_complete(self) -> bool:
        statuses = await asyncio.gather(
            *(self.cluster.status(ip) for ip in self.cluster.control if ip not in self._faulted_ips)
        )
        return len(statuses) == len(self.cluster.control) and all(status.get("complete") for status in statuses)

    async def _terminate(self, fault: Fault, ip: str) -> bool:
        if not ip:
            return False
        since = self._claim_process(ip)
        await self.cluster.terminate(ip)
        self.cluster.start(ip)
        self._release_process(ip, since)
        return True

    async def _freeze(self, fault: Fault, ip: str) -> bool:
        if not ip:
            return False
        since = self._claim_process(ip)
        self.cluster.freeze(ip)
        await asyncio.sleep(fault.seconds)
        self.cluster.thaw(ip)
        self._release_process(ip, since)
        return True

    # ---- links ---------------------------------------------------------------------------------

    def _all_ips(self) -> list[str]:
        return [*self.cluster.control, *self.cluster.proxy_ips]

    async def _cut(self, fault: Fault, cut: LinkState, outbound: bool, inbound: bool) -> bool:
        ip = self.rng.choice(self._all_ips())
        other_ips = [other for other in self._all_ips() if other != ip]
        pairs = [Pair(ip, other) for other in other_ips if outbound] + [
            Pair(other, ip) for other in other_ips if inbound
        ]
        for pair in pairs:
            self.cluster.links.set_state(pair, cut)
        await asyncio.sleep(fault.seconds)
        self.cluster.links.heal_pairs(pairs)
        return True

    async def _reset_connections(self, fault: Fault) -> bool:
        for ip in self._all_ips():
            for other in self._all_ips():
                self.cluster.links.reset(Pair(ip, other))
        return True

    async def _slow_links(self, fault: Fault) -> bool:
        pairs = [Pair(ip, other) for ip in self._all_ips() for other in self._all_ips()]
        for pair in pairs:
            self.cluster.links.set_state(pair, LinkState.SLOW)
        await asyncio.sleep(fault.seconds / 3.0)
        self.cluster.links.heal_pairs(pairs)
        return True

    # ---- settings ------------------------------------------------------------------------------

    async def _reload(self, fault: Fault, content: bytes | None) -> bool:
        """Reload a valid file (b""), a file with the given content, or no file (None); then restore the file."""
        ip = self._pick_unfaulted(self._all_ips())
        if not ip:
            return False
        self._faulted_ips.add(ip)
        valid_settings = self.cluster.settings(ip).encode()
        self.cluster.reload(ip, valid_settings if content == b"" else content)
        await asyncio.sleep(fault.seconds / 3.0)
        self.cluster.reload(ip, valid_settings)
        self._faulted_ips.discard(ip)
        return True

    async def _change_seeds(self, fault: Fault) -> bool:
        seeds = self.rng.sample(self.cluster.control, len(self.cluster.seeds))
        unfaulted = [ip for ip in self._all_ips() if ip not in self._faulted_ips]
        self.cluster.seeds = seeds
        for ip in unfaulted:
            self.cluster.reload(ip, self.cluster.settings(ip).encode())
        return True

    # ---- backends and callers ------------------------------------------------------------------

    async def _make_backend_faulty(self, fault: Fault) -> bool:
        backend = self.cluster.backend_of(self.rng.choice(self.cluster.proxy_ips))
        assert isinstance(backend, FaultyMeshBackend)
        backend.mode = self.rng.choice(FAULTY_MODES)
        await asyncio.sleep(fault.seconds)
        backend.mode = ResponseMode.CORRECT
        return True

    async def _restart_backend(self, fault: Fault) -> bool:
        """Crash a backend without a sign-off, then start a new incarnation of it at its address."""
        ip = self.rng.choice(self.cluster.proxy_ips)
        backend = self.cluster.backend_of(ip)
        await backend.close()
        await asyncio.sleep(fault.seconds / 3.0)
        with suppress(OSError):  # another fault has already started a backend at this address
            await self.cluster.add_backend(ip, backend.service)
        return True

    async def _lose_responses(self, fault: Fault) -> bool:
        """Make one of two backends run its requests and lose the responses."""
        ip = self.rng.choice(
            [ip for ip in self.cluster.proxy_ips if self.cluster.backend_of(ip).service == REPLICATED_SERVICE]
        )
        backend = self.cluster.backend_of(ip)
        assert isinstance(backend, FaultyMeshBackend)
        backend.mode = self.rng.choice(RESPONSE_LOSS_MODES)
        await asyncio.sleep(fault.seconds)
        backend.mode = ResponseMode.CORRECT
        return True

    async def _drain_backend(self, fault: Fault) -> bool:
        """Drain a backend: it reports `closing`, serves for the drain time, signs off, and a new incarnation starts."""
        ip = self.rng.choice(self.cluster.proxy_ips)
        backend = self.cluster.backend_of(ip)
        if backend.state != "accepting":
            return False
        backend.state = "closing"
        try:
            async with asyncio.timeout(1.0):
                acknowledged = await backend.send_heartbeat()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            acknowledged = False
        await asyncio.sleep(DRAIN_SECONDS)
        run_count = len(backend.ran)
        await asyncio.sleep(POST_DRAIN_SECONDS)
        if acknowledged and len(backend.ran) > run_count:
            self.verdict.add("ran after its drain", f"{', '.join(backend.ran[run_count:])} at {ip}")
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                await backend.sign_off()
        await backend.close()
        with suppress(OSError):  # a restart has already started a backend at this address
            await self.cluster.add_backend(ip, backend.service)
        return acknowledged

    async def _run_misbehaving_callers(self, fault: Fault) -> bool:
        ip = self.rng.choice(self.cluster.proxy_ips)
        with suppress(TimeoutError):
            async with asyncio.timeout(fault.seconds):
                await self.callers.misbehave_until_cancelled((ip, self.cluster.outgoing))
        return True

    def end_all_faults(self) -> None:
        """End all faults: restore links, resume or start processes, and make backends respond correctly."""
        self.cluster.links.heal()
        for ip in self._all_ips():
            if ip in self.cluster.processes:
                self.cluster.processes[ip].send_signal(signal.SIGCONT)
            else:
                self.cluster.start(ip)
        for backend in self.cluster.backends:
            if isinstance(backend, FaultyMeshBackend):
                backend.mode = ResponseMode.CORRECT
