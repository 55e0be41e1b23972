"""Applications that call a mesh of processes for locks, numbers, keys and watches, and note what they see.

Each keeps a connection to every control node for as long as that lasts, and calls another node after a failure or a
second of silence. What they saw is judged by the checker of the model.
"""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from lugspur.bench.faults.cluster import Cluster
from lugspur.emulator.coordination.checker import violations
from lugspur.emulator.coordination.history import (
    History,
    IssuedNumber,
    LockTenure,
    Mismatch,
    PutAttempt,
    ReadCell,
    WatchedPut,
    WatchObservation,
)

TRY_SECONDS = 1.0  # of silence, after which another node is called
CALL_SECONDS = 4.0  # for which a call is repeated
RETRY_SECONDS = 0.1
PAUSE_SECONDS = 0.25  # between two calls of one application, at most
WATCH_MS = 600
LAST_CALL_SECONDS = 20.0  # in which each call has its answer at the end, on a loaded machine too
LOCKS, NUMBERS, KEYS, GROUP = ("l0", "l1"), ("n0",), ("g0.a", "g0.b", "g0.c"), "g0."
HOLDS_MS = (400, 900, 2000)
CLEAR_STATUSES = (200, 404, 409, 410, 412)
HISTORY_SECONDS = 20.0  # for which a watch goes on from a revision, by the settings


class Connection:
    """A connection to one control node that is kept while it lasts."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip, self._port = ip, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, method: str, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        """One exchange; raises OSError, EOFError or ValueError where there is no whole answer."""
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(self._ip, self._port)
            return await self._exchange(*self._streams, method, path, body)
        except BaseException:
            self.close()
            raise

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        body: dict[str, Any] | None,
    ) -> tuple[int, dict[str, Any]]:
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
        fields = {name: value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
        answer = json.loads(await reader.readexactly(int(fields["content-length"])) or b"{}")
        if fields.get("connection") == "close":
            self.close()
        return int(head[0].split(" ")[1]), answer

    def close(self) -> None:
        """Let go of the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


@dataclass(frozen=True)
class Answer:
    """A clear answer, and when the try was sent that got it."""

    status: int
    body: dict[str, Any]
    sent: float


class Application:
    """One caller; its calls come one after another."""

    def __init__(self, cluster: Cluster, rng: Random) -> None:
        self._cluster, self._rng = cluster, rng
        self._connections: dict[str, Connection] = {}
        self.is_unclear = False  # whether any try of the latest call had no clear answer

    def _connection(self, ip: str) -> Connection:
        if ip not in self._connections:
            self._connections[ip] = Connection(ip, self._cluster.dispatch)
        return self._connections[ip]

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None, seconds: float = CALL_SECONDS
    ) -> Answer | None:
        """Call one node after the other until one gives a clear answer; None: none did in time."""
        until = time.monotonic() + seconds
        self.is_unclear = False
        while time.monotonic() < until:
            sent = time.monotonic()
            try:
                async with asyncio.timeout(TRY_SECONDS):
                    ip = self._rng.choice(self._cluster.control)
                    status, answer = await self._connection(ip).call(method, path, body)
            except ConnectionRefusedError:
                status, answer = 503, {}  # nobody read the call
            except (OSError, EOFError, ValueError, KeyError, IndexError, TimeoutError):
                status, answer = 0, {}
            if status in CLEAR_STATUSES:
                return Answer(status, answer, sent)
            self.is_unclear |= status not in (429, 503)
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def pause(self) -> None:
        """Wait for a random while."""
        await asyncio.sleep(self._rng.uniform(0.0, PAUSE_SECONDS))

    def close(self) -> None:
        """Let go of all connections."""
        for connection in self._connections.values():
            connection.close()


class CoordinationCallers:
    """All applications of one run."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster, self._seed = cluster, seed
        self.history = History()
        self._count = 0

    def _application(self, name: str) -> Application:
        return Application(self._cluster, Random(f"{name}-{self._seed}"))

    async def hold_locks(self, name: str) -> None:
        """Take, renew and close locks until cancelled, always under the same holder's name."""
        application, rng = self._application(name), Random(f"holds-{name}-{self._seed}")
        try:
            while True:
                await application.pause()
                await self._hold(application, rng, name)
        finally:
            application.close()

    async def _hold(self, application: Application, rng: Random, name: str) -> None:
        lock, hold_ms = rng.choice(LOCKS), rng.choice(HOLDS_MS)
        answer = await application.call("POST", f"/locks/{lock}/open", {"holder": name, "hold_ms": hold_ms})
        now = time.monotonic()
        if answer is None or answer.status != 200 or now >= answer.sent + hold_ms / 1000.0:
            return
        fence = int(answer.body["fence"])
        tenure = LockTenure(lock, name, fence, answer.sent, now, answer.sent + hold_ms / 1000.0)
        self.history.tenures.append(tenure)
        body = {"holder": name, "fence": fence}
        while (step := rng.choice(("renew", "renew", "close", "die"))) == "renew":
            await asyncio.sleep(0.3 * hold_ms / 1000.0)
            answer = await application.call("POST", f"/locks/{lock}/heartbeat", body | {"hold_ms": hold_ms})
            if answer is None or answer.status != 200 or time.monotonic() >= tenure.ended:
                return  # the caller gives the lock up
            tenure.ended = answer.sent + hold_ms / 1000.0
        if step == "close":
            tenure.ended = min(tenure.ended, time.monotonic())
            await application.call("POST", f"/locks/{lock}/close", body, seconds=1.5)
        else:
            await asyncio.sleep(max(0.0, tenure.ended - time.monotonic()))

    async def take_numbers(self, name: str) -> None:
        """Take numbers until cancelled."""
        application = self._application(name)
        try:
            while True:
                await application.pause()
                await self._take_number(application, CALL_SECONDS)
        finally:
            application.close()

    async def _take_number(self, application: Application, seconds: float) -> bool:
        name = NUMBERS[0]
        answer = await application.call("POST", f"/numbers/{name}", {}, seconds)
        if answer is not None and answer.status == 200:
            value = int(answer.body["value"])
            self.history.numbers.append(IssuedNumber(name, value, answer.sent, time.monotonic()))
        return answer is not None

    async def use_keys(self, name: str) -> None:
        """Put values and read them until cancelled."""
        application, rng = self._application(name), Random(f"keys-{name}-{self._seed}")
        known: dict[str, int] = {}
        try:
            while True:
                await application.pause()
                key = rng.choice(KEYS)
                if rng.random() < 0.4:
                    known[key] = await self._read(application, key, CALL_SECONDS) or known.get(key, 0)
                else:
                    expected = known.get(key, 0) if rng.random() < 0.6 else None
                    known[key] = await self._put(application, key, expected) or known.get(key, 0)
        finally:
            application.close()

    async def _put(self, application: Application, key: str, expected: int | None) -> int:
        self._count += 1
        put = PutAttempt(key, f"v{self._count}", expected, time.monotonic(), is_unclear=True)
        self.history.puts.append(put)  # unclear until it has an answer: this caller may be cancelled
        body = {"value": put.value} | ({} if expected is None else {"enabled": expected})
        answer = await application.call("POST", f"/cells/{key}/replace", body)
        if answer is None:
            put.is_unclear = application.is_unclear
            return 0
        revision, now = int(answer.body.get("revision", 0)), time.monotonic()
        if answer.status == 200:
            put.revision, put.received = revision, now
        elif answer.status == 412:
            put.is_unclear = application.is_unclear
            self.history.mismatches.append(Mismatch(key, revision, answer.sent, now))
        return revision

    async def _read(self, application: Application, key: str, seconds: float) -> int | None:
        answer = await application.call("GET", f"/cells/{key}/read", None, seconds)
        if answer is None:
            return None
        now = time.monotonic()
        value, revision = str(answer.body.get("value", "")), int(answer.body.get("revision", 0))
        self.history.reads.append(ReadCell(key, value, revision, answer.sent, now))
        return revision

    async def watch(self, name: str) -> None:
        """Watch a group until cancelled, on from the revision of the answer before."""
        application = self._application(name)
        after, given_at = 0, time.monotonic()
        try:
            while True:
                path = f"/watch/{GROUP}?after={after}&wait_ms={WATCH_MS}"
                answer = await application.call("GET", path)
                now = time.monotonic()
                if answer is not None and answer.status == 410:
                    if now - given_at < HISTORY_SECONDS:
                        self.history.violations.append(f"LOST: puts above {after} are forgotten")
                    after = 0
                elif answer is not None and answer.status == 200:
                    puts = [WatchedPut(e["name"], e["value"], e["revision"]) for e in answer.body["events"]]
                    revision = int(answer.body["revision"])
                    self.history.watch_observations.append(
                        WatchObservation(GROUP, after, revision, puts, answer.sent, now)
                    )
                    after, given_at = revision, now
                await asyncio.sleep(0.02 if after else RETRY_SECONDS)
        finally:
            application.close()

    async def last_calls(self) -> list[str]:
        """Read back what was acknowledged; returns the calls that had no answer in time."""
        application = self._application("last")
        unanswered = []
        try:
            for key in KEYS:
                if await self._read(application, key, LAST_CALL_SECONDS) is None:
                    unanswered.append(f"read {key}")
            if not await self._take_number(application, LAST_CALL_SECONDS):
                unanswered.append(f"number {NUMBERS[0]}")
            for lock in LOCKS:
                if not await self._free_again(application, lock):
                    unanswered.append(f"open {lock}")
        finally:
            application.close()
        return unanswered

    async def _free_again(self, application: Application, lock: str) -> bool:
        until = time.monotonic() + LAST_CALL_SECONDS
        while time.monotonic() < until:
            answer = await application.call("POST", f"/locks/{lock}/open", {"holder": "last", "hold_ms": 100})
            if answer is not None and answer.status == 200:
                return True
            with suppress(TimeoutError):
                await asyncio.sleep(RETRY_SECONDS)
        return False

    def violations(self) -> list[str]:
        """What is wrong with what the applications saw."""
        return violations(self.history)

    def counts(self) -> dict[str, int]:
        """What was done."""
        history = self.history
        return {
            "locks held": len(history.tenures),
            "numbers taken": len(history.numbers),
            "puts acknowledged": sum(put.revision > 0 for put in history.puts),
            "puts unclear": sum(put.is_unclear and not put.revision for put in history.puts),
            "key reads": len(history.reads),
            "puts watched": sum(len(answer.puts) for answer in history.watch_observations),
        }
