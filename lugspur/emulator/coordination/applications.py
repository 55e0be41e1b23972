"""The simulated applications: they call the nodes as the operators' page describes, and record what they observe.

A call is repeated at another node after a failure or a second without a response. A holder relies on its lock from the
response until `hold_ms` after it sent its last successful call. Some holders release their lock, some die while they
hold it, and some sleep beyond its hold time.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from lugspur.emulator.clock import Clock
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
from lugspur.emulator.coordination.node import ModelNode
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import coordination_records as records
from lugspur.mesh.coordination.watches import Watch, WatchResponse

ATTEMPT_TIMEOUT_SECONDS = 1.0  # time without a response after which the call is repeated at another node
MIN_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.0005, 0.003  # of a call or a response in transit
RETRY_SECONDS = 0.15  # delay between a failed attempt and the next one
CALL_SECONDS = 3.0  # time in which a call is repeated
IMPATIENT_FRACTION = 0.3  # fraction of puts that are attempted only once
LOCKS, NUMBERS, KEYS = ("l0", "l1"), ("n0",), ("g0.a", "g0.b", "g0.c")
GROUP = "g0."


class ApplicationWorld(Protocol):
    """The interface of the simulation that applications use."""

    clock: Clock
    history: History

    @property
    def rng(self) -> Random:
        """The random number generator of the simulation."""

    @property
    def is_open(self) -> bool:
        """Whether applications start new calls."""

    def any_node(self) -> ModelNode:
        """Return a node that applications know of; it may be down."""


class Call:
    """One call, repeated at other nodes until its result is known or its time is up."""

    def __init__(
        self,
        world: ApplicationWorld,
        command: records.Command,
        on_result: Callable[[records.Result | None, float], None],
        *,
        seconds: float = CALL_SECONDS,
    ) -> None:
        """`on_result` is called with the result or None, and the time at which the attempt with the result was sent."""
        self._world, self._command, self._on_result = world, command, on_result
        self._deadline = world.clock.now + seconds
        self._attempt = 0
        self.is_unclear = False  # whether the result of any attempt is unknown
        self._send()

    def _send(self) -> None:
        world = self._world
        self._attempt += 1
        number, sent = self._attempt, world.clock.now
        node = world.any_node()

        def reply(result: records.Result) -> None:
            delay = world.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
            world.clock.call_at(world.clock.now + delay, lambda: self._on_response(number, sent, result))

        def arrive() -> None:
            node.when_awake(lambda: node.submit(self._command, reply))

        world.clock.call_at(sent + world.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS), arrive)
        world.clock.call_at(sent + ATTEMPT_TIMEOUT_SECONDS, lambda: self._timed_out(number))

    def _on_response(self, number: int, sent: float, result: records.Result) -> None:
        if number != self._attempt:
            return
        if not isinstance(result, records.CommandFailed):
            self._attempt += 1
            self._on_result(result, sent)
            return
        if result.error_kind == ErrorKind.UNCLEAR.value:
            self.is_unclear = True
        self._retry()

    def _timed_out(self, number: int) -> None:
        if number == self._attempt:
            self.is_unclear = True
            self._retry()

    def _retry(self) -> None:
        self._attempt += 1
        if self._world.clock.now >= self._deadline:
            self._on_result(None, 0.0)
        else:
            self._world.clock.call_at(self._world.clock.now + RETRY_SECONDS, self._send)


class LockUser:
    """Acquires one lock after another, always with the same name of the holder."""

    def __init__(self, world: ApplicationWorld, name: str) -> None:
        self._world, self._name = world, name
        self._hold: LockTenure | None = None
        self._pause()

    def _pause(self) -> None:
        if self._world.is_open:
            self._world.clock.call_at(self._world.clock.now + self._world.rng.uniform(0.02, 0.4), self._acquire)

    def _acquire(self) -> None:
        lock, hold_ms = self._world.rng.choice(LOCKS), self._world.rng.choice((300, 700, 1500))
        command = records.AcquireLock(lock, self._name, hold_ms)
        Call(self._world, command, lambda result, sent: self._acquired(lock, hold_ms, result, sent))

    def _acquired(self, lock: str, hold_ms: int, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if not isinstance(result, records.LockGranted) or now >= sent + hold_ms / 1000.0:
            self._pause()
            return
        tenure = LockTenure(lock, self._name, result.fence, sent, now, sent + hold_ms / 1000.0)
        self._world.history.tenures.append(tenure)
        step = self._world.rng.choice((self._release, self._renew, self._renew, self._sleep))
        wait = self._world.rng.uniform(0.0, 0.6) * hold_ms / 1000.0
        self._world.clock.call_at(now + wait, lambda: step(tenure, hold_ms))

    def _release(self, tenure: LockTenure, hold_ms: int) -> None:
        tenure.ended = min(tenure.ended, self._world.clock.now)
        command = records.ReleaseLock(tenure.lock, self._name, tenure.fence)
        Call(self._world, command, lambda result, sent: self._pause(), seconds=1.5)

    def _renew(self, tenure: LockTenure, hold_ms: int) -> None:
        command = records.RenewLock(tenure.lock, self._name, tenure.fence, hold_ms)

        def renewed(result: records.Result | None, sent: float) -> None:
            now = self._world.clock.now
            if not isinstance(result, records.LockRenewed) or now >= tenure.ended:
                self._pause()  # the caller considers the lock lost
                return
            tenure.ended = sent + hold_ms / 1000.0
            step = self._world.rng.choice((self._release, self._renew, self._sleep))
            self._world.clock.call_at(now + 0.4 * hold_ms / 1000.0, lambda: step(tenure, hold_ms))

        Call(self._world, command, renewed)

    def _sleep(self, tenure: LockTenure, hold_ms: int) -> None:
        """Die while holding the lock, or sleep beyond its hold time, and return with the same name."""
        self._world.clock.call_at(tenure.ended + self._world.rng.uniform(0.0, 0.3), self._pause)


class NumberUser:
    """Requests numbers, one after another."""

    def __init__(self, world: ApplicationWorld) -> None:
        self._world = world
        self._request()

    def _request(self) -> None:
        name = self._world.rng.choice(NUMBERS)
        Call(self._world, records.IssueNumber(name), lambda result, sent: self._issued(name, result, sent))

    def _issued(self, name: str, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if isinstance(result, records.NumberIssued):
            self._world.history.numbers.append(IssuedNumber(name, result.value, sent, now))
        if self._world.is_open:
            self._world.clock.call_at(now + self._world.rng.uniform(0.02, 0.3), self._request)


class KeyUser:
    """Reads keys and puts values, some only if the key still has the last known revision."""

    def __init__(self, world: ApplicationWorld, name: str) -> None:
        self._world, self._name = world, name
        self._count = 0
        self._known: dict[str, int] = {}
        self._next()

    def _next(self) -> None:
        if not self._world.is_open:
            return
        step = self._world.rng.choice((self._put, self._put, self._read))
        self._world.clock.call_at(self._world.clock.now + self._world.rng.uniform(0.02, 0.3), step)

    def _put(self) -> None:
        key = self._world.rng.choice(KEYS)
        self._count += 1
        expected = self._known.get(key, 0) if self._world.rng.random() < 0.6 else None
        put = PutAttempt(key, f"{self._name}.{self._count}", expected, self._world.clock.now)
        self._world.history.puts.append(put)
        self._send(put)

    def _send(self, put: PutAttempt) -> None:
        command = records.PutCell(put.key, put.value, put.expected)

        def on_result_received(result: records.Result | None, sent: float) -> None:
            put.is_unclear |= call.is_unclear
            self._on_response(put, result, sent)

        # Some callers give up after one response; if it was a rejection, no read may ever return the value.
        seconds = 0.0 if self._world.rng.random() < IMPATIENT_FRACTION else CALL_SECONDS
        call = Call(self._world, command, on_result_received, seconds=seconds)

    def _on_response(self, put: PutAttempt, result: records.Result | None, sent: float) -> None:
        now, history = self._world.clock.now, self._world.history
        if isinstance(result, records.CellWritten):
            if put.revision and put.revision != result.revision:
                history.violations.append(f"MIXED: {put.value} got revision {result.revision} after {put.revision}")
            if not put.revision:
                put.revision, put.received = result.revision, now
            self._known[put.key] = result.revision
            if self._world.rng.random() < 0.1:  # a repeated put that arrives late, after other puts
                self._world.clock.call_at(now + self._world.rng.uniform(0.0, 1.0), lambda: self._send(put))
        elif isinstance(result, records.RevisionMismatch):
            history.mismatches.append(Mismatch(put.key, result.revision, sent, now))
            self._known[put.key] = result.revision
        self._next()

    def _read(self) -> None:
        key = self._world.rng.choice(KEYS)
        Call(self._world, records.ReadCell(key), lambda result, sent: self._read_ended(key, result, sent))

    def _read_ended(self, key: str, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if isinstance(result, records.CellFound):
            self._world.history.reads.append(ReadCell(key, result.value, result.revision, sent, now))
            self._known[key] = result.revision
        elif isinstance(result, records.CellMissing):
            self._world.history.reads.append(ReadCell(key, "", 0, sent, now))
        self._next()


class Watcher:
    """Watches a group at any node, starting at the revision of the last response."""

    def __init__(self, world: ApplicationWorld, history_seconds: float) -> None:
        self._world, self._history_seconds = world, history_seconds
        self.revision = 0
        self._revision_received_at = 0.0
        self._number = 0
        self._read_group()

    def _read_group(self) -> None:
        Call(self._world, records.ReadGroup(GROUP), self._on_group_revision)

    def _on_group_revision(self, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if isinstance(result, records.GroupRevision):
            self._world.history.watch_observations.append(WatchObservation(GROUP, 0, result.revision, [], sent, now))
            self.revision, self._revision_received_at = result.revision, now
        self._world.clock.call_at(now + 0.05, self._read_group if self.revision == 0 else self._watch)

    def _watch(self) -> None:
        if not self._world.is_open:
            return
        self._number += 1
        number, sent, node = self._number, self._world.clock.now, self._world.any_node()
        node.when_awake(lambda: self._start_watch(node, number, sent))
        self._world.clock.call_at(sent + 1.0, lambda: self._timed_out(number))

    def _start_watch(self, node: ModelNode, number: int, sent: float) -> None:
        if node.watches is None or number != self._number:
            return
        try:
            response = node.watches.find_response(GROUP, self.revision)
        except MeshError:
            self._history_dropped(number)
            return
        if response is not None:
            self._on_response(number, sent, response)
            return
        watch = Watch(
            GROUP,
            self.revision,
            node.monotonic() + 0.7,
            on_response=lambda response: self._on_response(number, sent, response),
            on_deadline=lambda: self._timed_out(number),
            on_failure=lambda error: self._timed_out(number),
        )
        node.watches.add(watch)

    def _history_dropped(self, number: int) -> None:
        if self._world.clock.now - self._revision_received_at < self._history_seconds:
            self._world.history.violations.append(
                f"LOST: puts above {self.revision} were dropped from the history too early"
            )
        self.revision = 0
        self._number += 1
        self._read_group()

    def _on_response(self, number: int, sent: float, response: WatchResponse) -> None:
        if number != self._number:
            return
        now = self._world.clock.now
        puts = [WatchedPut(put.name, put.value, put.revision) for put in response.puts]
        observation = WatchObservation(GROUP, self.revision, response.revision, puts, sent, now)
        self._world.history.watch_observations.append(observation)
        self.revision, self._revision_received_at = response.revision, now
        self._number += 1
        self._world.clock.call_at(now + self._world.rng.uniform(0.0, 0.1), self._watch)

    def _timed_out(self, number: int) -> None:
        if number == self._number:
            self._number += 1
            self._world.clock.call_at(self._world.clock.now + 0.05, self._watch)
