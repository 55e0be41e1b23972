"""Applications that use the locks, numbers, keys and watches of a mesh of processes and record what they observe.

Each application keeps a connection to every control node until that connection fails, and calls another node after a
failure or a second without a response. The checker of the emulator's coordination model validates the recorded history.
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

# Time without a response after which an attempt ends and another node is called.
ATTEMPT_TIMEOUT_SECONDS = 1.0
# Time for which a call is retried.
CALL_TIMEOUT_SECONDS = 4.0
# Pause between two attempts of one call.
RETRY_SECONDS = 0.1
# Upper limit of the pause between two calls of one application.
MAX_PAUSE_SECONDS = 0.25
# Time for which a watch request asks the node to wait for changes.
WATCH_WAIT_MS = 600
# Time in which each final call must get its response, even on a loaded machine.
FINAL_CALL_TIMEOUT_SECONDS = 20.0
# Names of the locks, numbers and keys, and the group prefix of the keys that the watches follow.
LOCKS, NUMBERS, KEYS, GROUP = ("l0", "l1"), ("n0",), ("g0.a", "g0.b", "g0.c"), "g0."
# Lease durations that the lock holders draw from.
HOLD_TIMES_MS = (400, 900, 2000)
# Statuses that say for certain whether the operation took effect.
DEFINITE_STATUSES = (200, 404, 409, 410, 412)
# Time for which the settings guarantee that a watch can resume from a revision.
WATCH_HISTORY_SECONDS = 20.0


class Connection:
    """A persistent connection to one control node, reopened after a failure."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip, self._port = ip, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, method: str, path: str, body: dict[str, Any] | None) -> tuple[int, dict[str, Any]]:
        """Send one request and return its status and body.

        Raises OSError, EOFError or ValueError if there is no complete response.
        """
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
        content = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
        fields = {name: value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
        response = json.loads(await reader.readexactly(int(fields["content-length"])) or b"{}")
        if fields.get("connection") == "close":
            self.close()
        return int(head[0].split(" ")[1]), response

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


@dataclass(frozen=True)
class Response:
    """A definite response, and the time at which the attempt that got it was sent."""

    status: int
    body: dict[str, Any]
    sent_at: float


class Application:
    """A caller that makes its calls one after another."""

    def __init__(self, cluster: Cluster, rng: Random) -> None:
        self._cluster, self._rng = cluster, rng
        self._connections: dict[str, Connection] = {}
        self.is_unclear = False  # whether any attempt of the latest call may have taken effect unseen

    def _connection(self, ip: str) -> Connection:
        if ip not in self._connections:
            self._connections[ip] = Connection(ip, self._cluster.dispatch)
        return self._connections[ip]

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Response | None:
        """Call random nodes until one gives a definite response; return None if none did in time."""
        deadline = time.monotonic() + timeout_seconds
        self.is_unclear = False
        while time.monotonic() < deadline:
            sent_at = time.monotonic()
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_SECONDS):
                    ip = self._rng.choice(self._cluster.control)
                    status, response = await self._connection(ip).call(method, path, body)
            except ConnectionRefusedError:
                status, response = 503, {}  # no process read the call
            except (OSError, EOFError, ValueError, KeyError, IndexError, TimeoutError):
                status, response = 0, {}
            if status in DEFINITE_STATUSES:
                return Response(status, response, sent_at)
            self.is_unclear |= status not in (429, 503)
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def pause(self) -> None:
        """Sleep for a random time of at most MAX_PAUSE_SECONDS."""
        await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()


class CoordinationCallers:
    """All applications of one soak run, and the history that they record together."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster, self._seed = cluster, seed
        self.history = History()
        self._count = 0

    def _application(self, name: str) -> Application:
        return Application(self._cluster, Random(f"{name}-{self._seed}"))

    async def hold_locks(self, name: str) -> None:
        """Open, renew and close locks until cancelled, always under the same holder name."""
        application, rng = self._application(name), Random(f"holds-{name}-{self._seed}")
        try:
            while True:
                await application.pause()
                await self._hold(application, rng, name)
        finally:
            application.close()

    async def _hold(self, application: Application, rng: Random, name: str) -> None:
        lock, hold_ms = rng.choice(LOCKS), rng.choice(HOLD_TIMES_MS)
        response = await application.call("POST", f"/locks/{lock}/open", {"holder": name, "hold_ms": hold_ms})
        now = time.monotonic()
        if response is None or response.status != 200 or now >= response.sent_at + hold_ms / 1000.0:
            return
        fence = int(response.body["fence"])
        tenure = LockTenure(lock, name, fence, response.sent_at, now, response.sent_at + hold_ms / 1000.0)
        self.history.tenures.append(tenure)
        body = {"holder": name, "fence": fence}
        while (step := rng.choice(("renew", "renew", "close", "die"))) == "renew":
            await asyncio.sleep(0.3 * hold_ms / 1000.0)
            response = await application.call("POST", f"/locks/{lock}/heartbeat", body | {"hold_ms": hold_ms})
            if response is None or response.status != 200 or time.monotonic() >= tenure.ended:
                return  # the application gives up the lock
            tenure.ended = response.sent_at + hold_ms / 1000.0
        if step == "close":
            tenure.ended = min(tenure.ended, time.monotonic())
            await application.call("POST", f"/locks/{lock}/close", body, timeout_seconds=1.5)
        else:
            await asyncio.sleep(max(0.0, tenure.ended - time.monotonic()))

    async def take_numbers(self, name: str) -> None:
        """Take sequence numbers until cancelled."""
        application = self._application(name)
        try:
            while True:
                await application.pause()
                await self._take_number(application, CALL_TIMEOUT_SECONDS)
        finally:
            application.close()

    async def _take_number(self, application: Application, timeout_seconds: float) -> bool:
        name = NUMBERS[0]
        response = await application.call("POST", f"/numbers/{name}", {}, timeout_seconds)
        if response is not None and response.status == 200:
            value = int(response.body["value"])
            self.history.numbers.append(IssuedNumber(name, value, response.sent_at, time.monotonic()))
        return response is not None

    async def use_keys(self, name: str) -> None:
        """Put values and read them until cancelled."""
        application, rng = self._application(name), Random(f"keys-{name}-{self._seed}")
        known: dict[str, int] = {}
        try:
            while True:
                await application.pause()
                key = rng.choice(KEYS)
                if rng.random() < 0.4:
                    known[key] = await self._read(application, key, CALL_TIMEOUT_SECONDS) or known.get(key, 0)
                else:
                    expected = known.get(key, 0) if rng.random() < 0.6 else None
                    known[key] = await self._put(application, key, expected) or known.get(key, 0)
        finally:
            application.close()

    async def _put(self, application: Application, key: str, expected: int | None) -> int:
        self._count += 1
        put = PutAttempt(key, f"v{self._count}", expected, time.monotonic(), is_unclear=True)
        self.history.puts.append(put)  # unclear until its response arrives, as this caller may be cancelled before
        body = {"value": put.value} | ({} if expected is None else {"enabled": expected})
        response = await application.call("POST", f"/cells/{key}/replace", body)
        if response is None:
            put.is_unclear = application.is_unclear
            return 0
        revision, now = int(response.body.get("revision", 0)), time.monotonic()
        if response.status == 200:
            put.revision, put.received = revision, now
        elif response.status == 412:
            put.is_unclear = application.is_unclear
            self.history.mismatches.append(Mismatch(key, revision, response.sent_at, now))
        return revision

    async def _read(self, application: Application, key: str, timeout_seconds: float) -> int | None:
        response = await application.call("GET", f"/cells/{key}/read", None, timeout_seconds)
        if response is None:
            return None
        now = time.monotonic()
        value, revision = str(response.body.get("value", "")), int(response.body.get("revision", 0))
        self.history.reads.append(ReadCell(key, value, revision, response.sent_at, now))
        return revision

    async def watch(self, name: str) -> None:
        """Watch a group until cancelled, each time from the revision of the response before."""
        application = self._application(name)
        after, last_response_at = 0, time.monotonic()
        try:
            while True:
                path = f"/watch/{GROUP}?after={after}&wait_ms={WATCH_WAIT_MS}"
                response = await application.call("GET", path)
                now = time.monotonic()
                if response is not None and response.status == 410:
                    if now - last_response_at < WATCH_HISTORY_SECONDS:
                        self.history.violations.append(f"LOST: puts above {after} are forgotten")
                    after = 0
                elif response is not None and response.status == 200:
                    puts = [WatchedPut(e["name"], e["value"], e["revision"]) for e in response.body["events"]]
                    revision = int(response.body["revision"])
                    self.history.watch_observations.append(
                        WatchObservation(GROUP, after, revision, puts, response.sent_at, now)
                    )
                    after, last_response_at = revision, now
                await asyncio.sleep(0.02 if after else RETRY_SECONDS)
        finally:
            application.close()

    async def final_calls(self) -> list[str]:
        """Read the keys back, take a number and open the locks; return the calls that got no response in time."""
        application = self._application("last")
        unanswered_calls = []
        try:
            for key in KEYS:
                if await self._read(application, key, FINAL_CALL_TIMEOUT_SECONDS) is None:
                    unanswered_calls.append(f"read {key}")
            if not await self._take_number(application, FINAL_CALL_TIMEOUT_SECONDS):
                unanswered_calls.append(f"number {NUMBERS[0]}")
            for lock in LOCKS:
                if not await self._reopen_lock(application, lock):
                    unanswered_calls.append(f"open {lock}")
        finally:
            application.close()
        return unanswered_calls

    async def _reopen_lock(self, application: Application, lock: str) -> bool:
        deadline = time.monotonic() + FINAL_CALL_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            response = await application.call("POST", f"/locks/{lock}/open", {"holder": "last", "hold_ms": 100})
            if response is not None and response.status == 200:
                return True
            with suppress(TimeoutError):
                await asyncio.sleep(RETRY_SECONDS)
        return False

    def violations(self) -> list[str]:
        """Return the violations that the checker finds in the recorded history."""
        return violations(self.history)

    def counts(self) -> dict[str, int]:
        """Return the number of operations of each sort, for the report."""
        history = self.history
        return {
            "locks held": len(history.tenures),
            "numbers taken": len(history.numbers),
            "puts acknowledged": sum(put.revision > 0 for put in history.puts),
            "puts unclear": sum(put.is_unclear and not put.revision for put in history.puts),
            "key reads": len(history.reads),
            "puts watched": sum(len(response.puts) for response in history.watch_observations),
        }
