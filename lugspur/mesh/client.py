"""A client of coordination for programs in Python: a lock as a context manager, numbers and keys.

    client = CoordinationClient(["10.1.0.13:8306", "10.2.0.10:8306"])
    with client.lock("nightly-report", holder="host-7", hold_seconds=10.0) as lock:
        for page in pages:
            lock.check()  # raises LockLostError once the lock may be another's
            store.write(page, fence=lock.fence)

A caller counts itself the holder until `hold_seconds` after the *sending* of its last good call, by its own steady
clock. A thread renews the lock; `check` compares the clock alone, so that a program that was suspended stops in time
whether that thread ran or not. What the holder writes elsewhere should bear the fencing token, since no check can be
made in the same moment as a write.
"""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from types import TracebackType
from typing import Any

from lugspur.discovery.endpoints import read_address

TRY_SECONDS = 1.0  # of silence, after which another address is called
RETRY_DELAY_SECONDS = 0.1  # doubled with each failure...
MAX_RETRY_DELAY_SECONDS = 1.0  # ...up to this
RENEWALS_PER_HOLD = 3
CLEAR_STATUSES = (200, 400, 404, 409, 410, 412, 413)


class CoordinationError(Exception):
    """A call that was refused, or had no clear answer in time."""


class CallRefusedError(CoordinationError):
    """The call is wrong, or does not fit; nothing was done."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status}: {detail}")
        self.status, self.detail = status, detail


class NoAnswerError(CoordinationError):
    """No node gave a clear answer in time: the call may have taken effect."""

    def __init__(self, path: str, seconds: float) -> None:
        super().__init__(f"{path}: no clear answer within {seconds:g} s")
        self.path, self.seconds = path, seconds


class LockTimeoutError(CoordinationError):
    """Others held the lock all the while."""

    def __init__(self, name: str, seconds: float) -> None:
        super().__init__(f"lock {name} was not free within {seconds:g} s")
        self.name, self.seconds = name, seconds


class LockLostError(CoordinationError):
    """The lock may be another's by now."""

    def __init__(self, name: str, fence: int) -> None:
        super().__init__(f"lock {name}, fence {fence}, is lost")
        self.name, self.fence = name, fence


class RevisionMismatchError(CoordinationError):
    """The key has another revision than the expected one; nothing was done."""

    def __init__(self, key: str, revision: int) -> None:
        super().__init__(f"key {key} has revision {revision}")
        self.key, self.revision = key, revision


@dataclass(frozen=True)
class KeyValue:
    """A key's value, and its revision."""

    value: str
    revision: int


@dataclass(frozen=True)
class _Answer:
    status: int
    body: dict[str, Any]
    sent: float  # when the try was sent that got it, by the steady clock


class CoordinationClient:
    """Calls control nodes, another one after each failure. Safe to use from several threads."""

    def __init__(self, addresses: Sequence[str], call_seconds: float = 5.0) -> None:
        """`addresses`: dispatch addresses of control nodes; `call_seconds`: for which a call is repeated."""
        if not addresses:
            raise ValueError("at least one address is needed")
        self._addresses = [read_address(address) for address in addresses]
        self._call_seconds = call_seconds
        self._rng = Random()

    def lock(
        self,
        name: str,
        holder: str,
        hold_seconds: float,
        *,
        wait_seconds: float = float("inf"),
        on_lost: Callable[[], None] | None = None,
    ) -> Lock:
        """A lock to be acquired by `with`, which waits for it for `wait_seconds` at most.

        `holder` has to be unique among all that run at the same time; `on_lost` is called from another thread.
        """
        return Lock(self, name, holder, hold_seconds, wait_seconds, on_lost)

    def take_number(self, name: str) -> int:
        """A number above all that were given before under this name. Raises NoAnswerError, CallRefusedError."""
        return int(self.call("POST", f"/numbers/{name}", {}).body["value"])

    def read(self, key: str) -> KeyValue | None:
        """The key's latest value, None where it was never put. Raises NoAnswerError, CallRefusedError."""
        answer = self.call("GET", f"/cells/{key}/read")
        return None if answer.status == 404 else KeyValue(answer.body["value"], answer.body["revision"])

    def put(self, key: str, value: str, expected_revision: int | None = None) -> int:
        """Put a value that is unique among all that are put to the key; returns its revision.

        Raises RevisionMismatchError, NoAnswerError, CallRefusedError.
        """
        body: dict[str, Any] = {"value": value}
        if expected_revision is not None:
            body["enabled"] = expected_revision
        answer = self.call("POST", f"/cells/{key}/replace", body)
        if answer.status == 412:
            raise RevisionMismatchError(key, answer.body["revision"])
        return int(answer.body["revision"])

    def call(self, method: str, path: str, body: dict[str, Any] | None = None, seconds: float | None = None) -> _Answer:
        """Repeat a call until it has a clear answer. Raises NoAnswerError, CallRefusedError."""
        seconds = self._call_seconds if seconds is None else seconds
        until, delay = time.monotonic() + seconds, RETRY_DELAY_SECONDS
        addresses = self._rng.sample(self._addresses, len(self._addresses))
        attempt = 0
        while True:
            answer = self._try(addresses[attempt % len(addresses)], method, path, body)
            if answer is not None and answer.status in (400, 413):
                raise CallRefusedError(answer.status, str(answer.body.get("detail", "")))
            if answer is not None and answer.status in CLEAR_STATUSES:
                return answer
            attempt += 1
            if time.monotonic() + delay >= until:
                raise NoAnswerError(path, seconds)
            time.sleep(delay)
            delay = min(MAX_RETRY_DELAY_SECONDS, 2.0 * delay)

    @staticmethod
    def _try(address: tuple[str, int], method: str, path: str, body: dict[str, Any] | None) -> _Answer | None:
        data = None if body is None else json.dumps(body).encode()
        headers = {} if data is None else {"Content-Type": "application/json"}
        connection = http.client.HTTPConnection(*address, timeout=TRY_SECONDS)
        sent = time.monotonic()
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            return _Answer(response.status, json.loads(response.read() or b"{}"), sent)
        except (OSError, ValueError, http.client.HTTPException):
            return None
        finally:
            connection.close()


class Lock:
    """A lock while it is held; see `CoordinationClient.lock`."""

    def __init__(
        self,
        client: CoordinationClient,
        name: str,
        holder: str,
        hold_seconds: float,
        wait_seconds: float,
        on_lost: Callable[[], None] | None,
    ) -> None:
        self._client, self.name, self._holder = client, name, holder
        self._hold_seconds, self._wait_seconds, self._on_lost = hold_seconds, wait_seconds, on_lost
        self.fence = 0
        self._held_until = float("-inf")  # by the steady clock
        self._ended = threading.Event()
        self._thread: threading.Thread | None = None

    def __enter__(self) -> Lock:
        """Acquire the lock. Raises LockTimeoutError, NoAnswerError, CallRefusedError."""
        until = time.monotonic() + self._wait_seconds
        while not self._acquire():
            if time.monotonic() + RETRY_DELAY_SECONDS >= until:
                raise LockTimeoutError(self.name, self._wait_seconds)
            time.sleep(RETRY_DELAY_SECONDS)
        self._thread = threading.Thread(target=self._renew_on, name=f"lock {self.name}", daemon=True)
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Give the lock back; it ends by itself where that has no clear answer."""
        self._ended.set()
        if self._thread is not None:
            self._thread.join()
        self._held_until = float("-inf")
        try:
            self._client.call("POST", f"/locks/{self.name}/close", {"holder": self._holder, "fence": self.fence})
        except CoordinationError:
            return

    @property
    def seconds_left(self) -> float:
        """For how long this caller may still count on the lock; 0 or less: not any more."""
        return self._held_until - time.monotonic()

    def check(self) -> None:
        """Raise LockLostError unless the lock is held."""
        if self.seconds_left <= 0.0:
            raise LockLostError(self.name, self.fence)

    @property
    def _hold_ms(self) -> int:
        return int(1000.0 * self._hold_seconds)

    def _acquire(self) -> bool:
        body = {"holder": self._holder, "hold_ms": self._hold_ms}
        answer = self._client.call("POST", f"/locks/{self.name}/open", body)
        if answer.status != 200 or answer.sent + self._hold_seconds <= time.monotonic():
            return False
        self.fence = int(answer.body["fence"])
        self._held_until = answer.sent + self._hold_seconds
        return True

    def _renew_on(self) -> None:
        while not self._ended.wait(self._hold_seconds / RENEWALS_PER_HOLD):
            if not self._renew():
                self._held_until = min(self._held_until, time.monotonic())
                if self._on_lost is not None:
                    self._on_lost()
                return

    def _renew(self) -> bool:
        body = {"holder": self._holder, "fence": self.fence, "hold_ms": self._hold_ms}
        try:
            answer = self._client.call("POST", f"/locks/{self.name}/heartbeat", body, max(0.0, self.seconds_left))
        except CoordinationError:
            return False
        if answer.status != 200 or self.seconds_left <= 0.0:  # an answer after the time is over renews nothing
            return False
        self._held_until = answer.sent + self._hold_seconds
        return True
