"""Clients of the proxies: requests on the operators' routes and on an unsafe one, and repeated keyed operations."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from random import Random

from lugspur.bench.faults.cluster import Cluster
from lugspur.bench.faults.history import Call, History
from lugspur.bench.faults.operator import ROUTE_NAMES

RESPONSE_TIMEOUT = 6.0  # seconds; the deadline of the routes is 5 s
ROUTE_INTERVAL, UNSAFE_INTERVAL, KEYED_INTERVAL = 0.2, 0.4, 0.3  # seconds between requests of each kind
ROUNDS = 5  # rounds of attempts of one keyed operation, one after another
REPEAT_SHARE = 0.3  # share of the keyed operations that are sent again long after they ended
REPEAT_AFTER = (1.0, 15.0)  # shortest and longest time until then, in seconds; keys are remembered for 60 s


class Clients:
    """Sends the requests of all clients and records them in the history."""

    def __init__(self, cluster: Cluster, history: History, rng: Random) -> None:
        self.cluster, self.history, self.rng = cluster, history, rng
        self._attempts, self._keys = itertools.count(1), itertools.count(1)
        self.sent: set[str] = set()  # all attempt ids, including those of calls that are cancelled at the end of a run
        self._operations: set[asyncio.Task[None]] = set()
        self._settling = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    async def _call(self, route: str, key: str = "", unsafe: bool = False, sidecar: str = "") -> Call:
        """Send one request to one proxy and record it."""
        sidecar = sidecar or self.rng.choice(self.cluster.proxy_ips)
        attempt = f"t{next(self._attempts)}"
        self.sent.add(attempt)
        headers = {"Lugspur_Operation_Key": key} if key else {}
        began = self._loop.time()
        status, head, body = None, b"", b""
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT):
                request_body = b"x" if key or unsafe else b""
                status, head, body = await self.cluster.ask(sidecar, f"/{route}/1", attempt, request_body, **headers)
        except (OSError, IndexError, ValueError, TimeoutError):
            pass
        words = body.decode().split() if status == 200 else []
        services = {backend.id: backend.service for backend in self.cluster.backends}
        recorded = Call(
            sidecar,
            route,
            attempt,
            began,
            self._loop.time(),
            status,
            key,
            unsafe,
            _header_value(head, b"lugspur-attempt-id"),
            words[2] if len(words) > 2 else "",
            services.get(words[0], "") if words else "",
            body,
        )
        self.history.calls.append(recorded)
        return recorded

    async def send_route_requests(self, sidecar: str) -> None:
        """Send requests on the operators' routes to one proxy until cancelled."""
        while True:
            await asyncio.sleep(ROUTE_INTERVAL)
            await self._call(self.rng.choice(ROUTE_NAMES), sidecar=sidecar)

    async def send_unsafe_requests(self) -> None:
        """Send requests on the unsafe route until cancelled; none is retried."""
        while True:
            await asyncio.sleep(UNSAFE_INTERVAL)
            await self._call("mail", unsafe=True)

    async def start_keyed_operations(self) -> None:
        """Start keyed operations until cancelled."""
        while True:
            await asyncio.sleep(KEYED_INTERVAL)
            task = asyncio.create_task(self._run_keyed_operation(f"k{next(self._keys)}"))
            self._operations.add(task)
            task.add_done_callback(self._operations.discard)

    async def _run_keyed_operation(self, key: str) -> None:
        """Send one keyed operation until it succeeds, or for a few rounds.

        Some rounds send it through several proxies at once, and some operations are sent once more much later.
        """
        for _ in range(ROUNDS):
            at_once = self.rng.choice((1, 1, 1, 2, 3))
            calls = await asyncio.gather(*(self._call("book", key) for _ in range(at_once)))
            if any(call.status == 200 for call in calls):
                break
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if self.rng.random() < REPEAT_SHARE:
            with suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(*REPEAT_AFTER)):
                    await self._settling.wait()
            await self._call("book", key)

    async def finish_operations(self) -> None:
        """Finish all operations, sending late repeats at once, and record which attempts ran at the backends."""
        self._settling.set()
        while self._operations:
            await asyncio.wait(self._operations)
        self.history.runs = [attempt for backend in self.cluster.backends for attempt in backend.ran]


def _header_value(head: bytes, name: bytes) -> str:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip().decode()
    return ""
