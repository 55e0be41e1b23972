"""Clients at the proxies: requests on the operators' routes, on an unsafe one, and keyed operations with repeats."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from random import Random

from lugspur.bench.faults.cluster import Cluster
from lugspur.bench.faults.history import Call, History
from lugspur.bench.faults.operator import NAMES

ANSWER_WITHIN = 6.0  # seconds; the routes' own time is 5 s
LOOK_EVERY, MAIL_EVERY, KEY_EVERY = 0.2, 0.4, 0.3
TRIES = 5  # of one keyed operation, one after another
REPEAT_PART = 0.3  # of keyed operations that are sent again long after they ended
REPEAT_AFTER = (1.0, 15.0)  # seconds; keys are remembered for 60


class Clients:
    """All clients."""

    def __init__(self, cluster: Cluster, history: History, rng: Random) -> None:
        self.cluster, self.history, self.rng = cluster, history, rng
        self._attempts, self._keys = itertools.count(1), itertools.count(1)
        self.sent: set[str] = set()  # all attempt ids, also of calls that the end of a run cancels
        self._operations: set[asyncio.Task[None]] = set()
        self._ending = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    async def _call(self, route: str, key: str = "", unsafe: bool = False, sidecar: str = "") -> Call:
        """One try at one proxy."""
        sidecar = sidecar or self.rng.choice(self.cluster.proxy_ips)
        attempt = f"t{next(self._attempts)}"
        self.sent.add(attempt)
        headers = {"Lugspur_Operation_Key": key} if key else {}
        began = self._loop.time()
        status, head, body = None, b"", b""
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                sent = b"x" if key or unsafe else b""
                status, head, body = await self.cluster.ask(sidecar, f"/{route}/1", attempt, sent, **headers)
        except (OSError, IndexError, ValueError, TimeoutError):
            pass
        words = body.decode().split() if status == 200 else []
        services = {backend.id: backend.service for backend in self.cluster.backends}
        found = Call(
            sidecar,
            route,
            attempt,
            began,
            self._loop.time(),
            status,
            key,
            unsafe,
            _header(head, b"lugspur-attempt-id"),
            words[2] if len(words) > 2 else "",
            services.get(words[0], "") if words else "",
            body,
        )
        self.history.calls.append(found)
        return found

    async def look_on(self, sidecar: str) -> None:
        """Ask on the operators' routes at one proxy."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            await self._call(self.rng.choice(NAMES), sidecar=sidecar)

    async def mail_on(self) -> None:
        """Ask on the unsafe route; nothing is tried again."""
        while True:
            await asyncio.sleep(MAIL_EVERY)
            await self._call("mail", unsafe=True)

    async def book_on(self) -> None:
        """Begin keyed operations."""
        while True:
            await asyncio.sleep(KEY_EVERY)
            task = asyncio.create_task(self._operation(f"k{next(self._keys)}"))
            self._operations.add(task)
            task.add_done_callback(self._operations.discard)

    async def _operation(self, key: str) -> None:
        """One operation: tried until it is answered, at times by two proxies at once, at times again much later."""
        for _ in range(TRIES):
            at_once = self.rng.choice((1, 1, 1, 2, 3))
            calls = await asyncio.gather(*(self._call("book", key) for _ in range(at_once)))
            if any(call.status == 200 for call in calls):
                break
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if self.rng.random() < REPEAT_PART:
            with suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(*REPEAT_AFTER)):
                    await self._ending.wait()
            await self._call("book", key)

    async def settle(self) -> None:
        """End all operations, the late repeats at once; then take down what ran at the backends."""
        self._ending.set()
        while self._operations:
            await asyncio.wait(self._operations)
        self.history.runs = [attempt for backend in self.cluster.backends for attempt in backend.ran]


def _header(head: bytes, name: bytes) -> str:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip().decode()
    return ""
