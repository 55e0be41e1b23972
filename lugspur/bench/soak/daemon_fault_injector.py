"""Injects faults into a daemon, its backends and its callers; at most one at a time hits the daemon's process."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from lugspur.bench.soak.daemon_process import HOST, START_STOP_TIMEOUT_SECONDS, Daemon, wait_until_ready
from lugspur.bench.soak.faulty_backends import FAULTY_MODES, ResponseMode
from lugspur.bench.soak.misbehaving_callers import MisbehavingCallers
from lugspur.bench.soak.plan import Fault, FaultKind
from lugspur.bench.soak.valid_callers import REQUEST_FORMAT
from lugspur.bench.soak.verdict import Verdict

INVALID_SETTINGS = b"[listeners.main\naddress = \n"
UNDECODABLE_SETTINGS = b'[listeners.main]\naddress = "\xff\xfe"\n'


class DaemonFaultInjector:
    """Injects faults into one daemon, its backends and its callers."""

    def __init__(self, daemon: Daemon, rng: Random, verdict: Verdict) -> None:
        self.daemon, self.rng, self.verdict = daemon, rng, verdict
        self._loop = asyncio.get_running_loop()
        self._has_process_fault = False  # whether a fault of the process itself is in progress
        self._restarting: set[int] = set()
        self.callers = MisbehavingCallers(REQUEST_FORMAT, rng, "spoilt")
        self._handlers: dict[FaultKind, Callable[[Fault], Awaitable[bool]]] = {
            FaultKind.KILL_PROXY: lambda fault: self._inject_exclusively(self._kill(fault)),
            FaultKind.TERMINATE_PROXY: lambda fault: self._inject_exclusively(self._terminate(fault)),
            FaultKind.FREEZE_PROXY: lambda fault: self._inject_exclusively(self._freeze(fault)),
            FaultKind.RELOAD: lambda fault: self._inject_exclusively(self._reload(fault, b"")),
            FaultKind.RELOAD_DAMAGED: lambda fault: self._inject_exclusively(self._reload(fault, INVALID_SETTINGS)),
            FaultKind.RELOAD_UNDECODABLE: lambda fault: self._inject_exclusively(
                self._reload(fault, UNDECODABLE_SETTINGS)
            ),
            FaultKind.RELOAD_MISSING: lambda fault: self._inject_exclusively(self._reload(fault, None)),
            FaultKind.FAULTY_BACKEND: self._make_backend_faulty,
            FaultKind.RESTART_BACKEND: self._restart_backend,
            FaultKind.MISBEHAVING_CALLERS: self._run_misbehaving_callers,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and end it after its duration; count it if it was carried out."""
        if await self._handlers[fault.kind](fault):
            self.verdict.faults.update([fault.kind.value])

    async def _inject_exclusively(self, action: Awaitable[bool]) -> bool:
        """Run the action unless another fault of the process is in progress; return whether it was carried out."""
        if self._has_process_fault:
            asyncio.ensure_future(action).cancel()
            return False
        self._has_process_fault = True
        try:
            return await action
        finally:
            self._has_process_fault = False

    async def _kill(self, fault: Fault) -> bool:
        started_at = self._loop.time()
        await self.daemon.close()
        await asyncio.sleep(fault.seconds / 4.0)
        self.daemon.start()
        await wait_until_ready(self.daemon)
        self.daemon.outages.append((started_at, self._loop.time()))
        return True

    async def _terminate(self, fault: Fault) -> bool:
        self.daemon.send_signal(signal.SIGTERM)
        started_at = self._loop.time()
        if not await self.daemon.wait_for_exit(START_STOP_TIMEOUT_SECONDS):
            self.verdict.add("did not end after SIGTERM", f"within {START_STOP_TIMEOUT_SECONDS} s")
            await self.daemon.close()
        elif self.daemon.process is not None and self.daemon.process.returncode:
            self.verdict.add("ended badly after SIGTERM", str(self.daemon.process.returncode))
        self.verdict.counts["stops by SIGTERM"] += 1
        self.daemon.start()
        await wait_until_ready(self.daemon)
        self.daemon.stops.append((started_at, self._loop.time()))
        return True

    async def _freeze(self, fault: Fault) -> bool:
        started_at = self._loop.time()
        self.daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        self.daemon.send_signal(signal.SIGCONT)
        self.daemon.outages.append((started_at, self._loop.time()))
        return True

    async def _reload(self, fault: Fault, content: bytes | None) -> bool:
        self.daemon.reload(self.daemon.settings_content() if content == b"" else content)
        await asyncio.sleep(fault.seconds / 3.0)
        self.daemon.reload(self.daemon.settings_content())
        return True

    async def _make_backend_faulty(self, fault: Fault) -> bool:
        backend = self.rng.choice(self.daemon.backends)
        backend.mode = self.rng.choice(FAULTY_MODES)
        await asyncio.sleep(fault.seconds)
        backend.mode = ResponseMode.CORRECT
        return True

    async def _restart_backend(self, fault: Fault) -> bool:
        index = self.rng.randrange(len(self.daemon.backends))
        if index in self._restarting:
            return False
        self._restarting.add(index)
        self.daemon.backends[index].crash()
        await asyncio.sleep(fault.seconds / 2.0)
        await self.daemon.backends[index].start()
        self._restarting.discard(index)
        return True

    async def _run_misbehaving_callers(self, fault: Fault) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(fault.seconds):
                await self.callers.misbehave_until_cancelled((HOST, self.daemon.port))
        return True
