"""A Python client for coordination: locks as context managers, numbers and keys.

    client = CoordinationClient(["10.1.0.13:8306", "10.2.0.10:8306"])
    with client.lock("nightly-report", holder="host-7", hold_seconds=10.0) as lock:
        for page in pages:
            lock.check()  # raises LockLostError once another process may hold the lock
            store.write(page, fence=lock.fence)

A client regards itself as the holder until `hold_seconds` after it *sent* its last successful call, by its own
monotonic clock. A thread renews the lock; `check` depends only on the clock, so that a program that was suspended stops
in time whether or not that thread ran. Writes of the holder to other systems should include the fencing token, since a
check and a write are not atomic.
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

ATTEMPT_TIMEOUT_SECONDS = 1.0  # without a response, after which another address is called
RETRY_DELAY_SECONDS = 0.1  # the first delay; doubled with each failure
MAX_RETRY_DELAY_SECONDS = 1.0
RENEWALS_PER_HOLD = 3
# Statuses of responses that tell whether the call took effect; a call with another status is repeated.
CONCLUSIVE_STATUSES = (200, 400, 404, 409, 410, 412, 413)


class CoordinationError(Exception):
    """A call was rejected, or its outcome is unknown."""


class CallRefusedError(CoordinationError):
    """The call is invalid or too large; it had no effect."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status}: {detail}")
        self.status, self.detail = status, detail


class NoAnswerError(CoordinationError):
    """No node gave a conclusive response in time: the call may have taken effect."""

    def __init__(self, path: str, seconds: float) -> None:
        super().__init__(f"{path}: no conclusive response within {seconds:g} s")
        self.path, self.seconds = path, seconds


class LockTimeoutError(CoordinationError):
    """The lock was held by others until the timeout."""

    def __init__(self, name: str, seconds: float) -> None:
        super().__init__(f"lock {name} was not free within {seconds:g} s")
        self.name, self.seconds = name, seconds


class LockLostError(CoordinationError):
    """Another process may hold the lock by now."""

    def __init__(self, name: str, fence: int) -> None:
        super().__init__(f"lock {name}, fence {fence}, is lost")
        self.name, self.fence = name, fence


class RevisionMismatchError(CoordinationError):
    """The revision of the key is not the expected one; the call had no effect."""

    def __init__(self, key: str, revision: int) -> None:
        super().__init__(f"key {key} has revision {revision}")
        self.key, self.revision = key, revision


@dataclass(frozen=True)
class KeyValue:
    """A key's value and its revision."""

    value: str
    revision: int


@dataclass(frozen=True)
class _Response:
    status: int
    body: dict[str, Any]
    sent_at: float  # when the request of this response was sent, by the monotonic clock


class CoordinationClient:
    """Calls control nodes; after each failure it calls another one. Thread-safe."""

    def __init__(self, addresses: Sequence[str], call_seconds: float = 5.0) -> None:
        """`addresses`: dispatch addresses of control nodes; `call_seconds`: time for which a call is repeated."""
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
        """Return a lock, which `with` acquires; it waits for at most `wait_seconds`.

        `holder` must be unique among all clients that run at the same time; `on_lost` is called from another thread.
        """
        return Lock(self, name, holder, hold_seconds, wait_seconds, on_lost)

    def take_number(self, name: str) -> int:
        """Return a number greater than all issued before under this name. Raises NoAnswerError, CallRefusedError."""
        return int(self.call("POST", f"/numbers/{name}", {}).body["value"])

    def read(self, key: str) -> KeyValue | None:
        """Return the key's latest value, None if it was never put. Raises NoAnswerError, CallRefusedError."""
        response = self.call("GET", f"/cells/{key}/read")
        return None if response.status == 404 else KeyValue(response.body["value"], response.body["revision"])

    def put(self, key: str, value: str, expected_revision: int | None = None) -> int:
        """Put a value, which must be unique among all values that are put to the key; return its revision.

        Raises RevisionMismatchError, NoAnswerError, CallRefusedError.
        """
        body: dict[str, Any] = {"value": value}
        if expected_revision is not None:
            body["enabled"] = expected_revision
        response = self.call("POST", f"/cells/{key}/replace", body)
        if response.status == 412:
            raise RevisionMismatchError(key, response.body["revision"])
        return int(response.body["revision"])

    def call(
        self, method: str, path: str, body: dict[str, Any] | None = None, seconds: float | None = None
    ) -> _Response:
        """Repeat a call until it has a conclusive response. Raises NoAnswerError, CallRefusedError."""
        seconds = self._call_seconds if seconds is None else seconds
        until, delay = time.monotonic() + seconds, RETRY_DELAY_SECONDS
        addresses = self._rng.sample(self._addresses, len(self._addresses))
        attempt = 0
        while True:
            response = self._attempt(addresses[attempt % len(addresses)], method, path, body)
            if response is not None and response.status in (400, 413):
                raise CallRefusedError(response.status, str(response.body.get("detail", "")))
            if response is not None and response.status in CONCLUSIVE_STATUSES:
                return response
            attempt += 1
            if time.monotonic() + delay >= until:
                raise NoAnswerError(path, seconds)
            time.sleep(delay)
            delay = min(MAX_RETRY_DELAY_SECONDS, 2.0 * delay)

    @staticmethod
    def _attempt(address: tuple[str, int], method: str, path: str, body: dict[str, Any] | None) -> _Response | None:
        data = None if body is None else json.dumps(body).encode()
        headers = {} if data is None else {"Content-Type": "application/json"}
        connection = http.client.HTTPConnection(*address, timeout=ATTEMPT_TIMEOUT_SECONDS)
        sent_at = time.monotonic()
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            return _Response(response.status, json.loads(response.read() or b"{}"), sent_at)
        except (OSError, ValueError, http.client.HTTPException):
            return None
        finally:
            connection.close()


class Lock:
    """A distributed lock; see `CoordinationClient.lock`."""

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
        self._held_until = float("-inf")  # by the monotonic clock
        self._released = threading.Event()
        self._thread: threading.Thread | None = None

    def __enter__(self) -> Lock:
        """Acquire the lock. Raises LockTimeoutError, NoAnswerError, CallRefusedError."""
        until = time.monotonic() + self._wait_seconds
        while not self._acquire():
            if time.monotonic() + RETRY_DELAY_SECONDS >= until:
                raise LockTimeoutError(self.name, self._wait_seconds)
            time.sleep(RETRY_DELAY_SECONDS)
        self._thread = threading.Thread(target=self._renew_periodically, name=f"lock {self.name}", daemon=True)
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Release the lock; if the outcome of the call is unknown, the lock expires after its hold time."""
        self._released.set()
        if self._thread is not None:
            self._thread.join()
        self._held_until = float("-inf")
        try:
            self._client.call("POST", f"/locks/{self.name}/close", {"holder": self._holder, "fence": self.fence})
        except CoordinationError:
            return

    @property
    def seconds_left(self) -> float:
        """The time for which this client still holds the lock; 0 or less if it may have lost the lock."""
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
        response = self._client.call("POST", f"/locks/{self.name}/open", body)
        if response.status != 200 or response.sent_at + self._hold_seconds <= time.monotonic():
            return False
        self.fence = int(response.body["fence"])
        self._held_until = response.sent_at + self._hold_seconds
        return True

    def _renew_periodically(self) -> None:
        while not self._released.wait(self._hold_seconds / RENEWALS_PER_HOLD):
            if not self._renew():
                self._held_until = min(self._held_until, time.monotonic())
                if self._on_lost is not None:
                    self._on_lost()
                return

    def _renew(self) -> bool:
        body = {"holder": self._holder, "fence": self.fence, "hold_ms": self._hold_ms}
        try:
            response = self._client.call("POST", f"/locks/{self.name}/heartbeat", body, max(0.0, self.seconds_left))
        except CoordinationError:
            return False
        # A response after the lock has expired does not renew it.
        if response.status != 200 or self.seconds_left <= 0.0:
            return False
        self._held_until = response.sent_at + self._hold_seconds
        return True
