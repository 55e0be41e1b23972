"""Carries out troubles on a daemon, its backends and its callers; its process has one of its own at a time."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from lugspur.bench.soak.daemon_process import HOST, READY_WITHIN, Daemon, ready
from lugspur.bench.soak.faulty_backends import SPOILT, Way
from lugspur.bench.soak.misbehaving_callers import SpoiltCallers
from lugspur.bench.soak.plan import Kind, Trouble
from lugspur.bench.soak.valid_callers import FORM
from lugspur.bench.soak.verdict import Verdict

DAMAGED = b"[listeners.main\naddress = \n"
UNDECODABLE = b'[listeners.main]\naddress = "\xff\xfe"\n'


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
        at = self.rng.randrange(len(self.daemon.backends))
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
