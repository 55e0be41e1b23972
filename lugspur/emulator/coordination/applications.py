"""The applications of the model: they call as the operators' page says, and note what they see.

A call goes to another node after a failure or a second of silence. Holders of locks count on them from the answer until
`hold_ms` after the sending of their last good call; some close, some die holding, some sleep past their time.
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

TRY_SECONDS = 1.0  # of silence, after which another node is called
MIN_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.0005, 0.003  # of a call or an answer on its way
RETRY_SECONDS = 0.15
CALL_SECONDS = 3.0  # for which a call is repeated
IMPATIENT_FRACTION = 0.3  # of puts that are tried once
LOCKS, NUMBERS, KEYS = ("l0", "l1"), ("n0",), ("g0.a", "g0.b", "g0.c")
GROUP = "g0."


class ApplicationWorld(Protocol):
    """What applications need of their world."""

    clock: Clock
    history: History

    @property
    def rng(self) -> Random:
        """Chance."""

    @property
    def is_open(self) -> bool:
        """Whether applications begin anything new."""

    def any_node(self) -> ModelNode:
        """A node that applications know of; it may be down."""


class Call:
    """One call, repeated at other nodes until it has a clear answer or its time is up."""

    def __init__(
        self,
        world: ApplicationWorld,
        command: records.Command,
        on_answer: Callable[[records.Result | None, float], None],
        *,
        seconds: float = CALL_SECONDS,
    ) -> None:
        """`on_answer` gets the clear result, or None, and when the try was sent that got it."""
        self._world, self._command, self._on_answer = world, command, on_answer
        self._until = world.clock.now + seconds
        self._try = 0
        self.is_unclear = False  # whether any try had no clear answer
        self._send()

    def _send(self) -> None:
        world = self._world
        self._try += 1
        number, sent = self._try, world.clock.now
        node = world.any_node()

        def take(result: records.Result) -> None:
            delay = world.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
            world.clock.call_at(world.clock.now + delay, lambda: self._answered(number, sent, result))

        def arrive() -> None:
            node.when_awake(lambda: node.submit(self._command, take))

        world.clock.call_at(sent + world.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS), arrive)
        world.clock.call_at(sent + TRY_SECONDS, lambda: self._silent(number))

    def _answered(self, number: int, sent: float, result: records.Result) -> None:
        if number != self._try:
            return
        if not isinstance(result, records.CommandFailed):
            self._try += 1
            self._on_answer(result, sent)
            return
        if result.error_kind == ErrorKind.UNCLEAR.value:
            self.is_unclear = True
        self._again()

    def _silent(self, number: int) -> None:
        if number == self._try:
            self.is_unclear = True
            self._again()

    def _again(self) -> None:
        self._try += 1
        if self._world.clock.now >= self._until:
            self._on_answer(None, 0.0)
        else:
            self._world.clock.call_at(self._world.clock.now + RETRY_SECONDS, self._send)


class LockUser:
    """Takes one lock after another, always under the same holder's name."""

    def __init__(self, world: ApplicationWorld, name: str) -> None:
        self._world, self._name = world, name
        self._hold: LockTenure | None = None
        self._pause()

    def _pause(self) -> None:
        if self._world.is_open:
            self._world.clock.call_at(self._world.clock.now + self._world.rng.uniform(0.02, 0.4), self._open)

    def _open(self) -> None:
        lock, hold_ms = self._world.rng.choice(LOCKS), self._world.rng.choice((300, 700, 1500))
        command = records.AcquireLock(lock, self._name, hold_ms)
        Call(self._world, command, lambda result, sent: self._opened(lock, hold_ms, result, sent))

    def _opened(self, lock: str, hold_ms: int, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if not isinstance(result, records.LockGranted) or now >= sent + hold_ms / 1000.0:
            self._pause()
            return
        tenure = LockTenure(lock, self._name, result.fence, sent, now, sent + hold_ms / 1000.0)
        self._world.history.tenures.append(tenure)
        step = self._world.rng.choice((self._close, self._renew, self._renew, self._sleep))
        wait = self._world.rng.uniform(0.0, 0.6) * hold_ms / 1000.0
        self._world.clock.call_at(now + wait, lambda: step(tenure, hold_ms))

    def _close(self, tenure: LockTenure, hold_ms: int) -> None:
        tenure.ended = min(tenure.ended, self._world.clock.now)
        command = records.ReleaseLock(tenure.lock, self._name, tenure.fence)
        Call(self._world, command, lambda result, sent: self._pause(), seconds=1.5)

    def _renew(self, tenure: LockTenure, hold_ms: int) -> None:
        command = records.RenewLock(tenure.lock, self._name, tenure.fence, hold_ms)

        def renewed(result: records.Result | None, sent: float) -> None:
            now = self._world.clock.now
            if not isinstance(result, records.LockRenewed) or now >= tenure.ended:
                self._pause()  # the caller gives the lock up
                return
            tenure.ended = sent + hold_ms / 1000.0
            step = self._world.rng.choice((self._close, self._renew, self._sleep))
            self._world.clock.call_at(now + 0.4 * hold_ms / 1000.0, lambda: step(tenure, hold_ms))

        Call(self._world, command, renewed)

    def _sleep(self, tenure: LockTenure, hold_ms: int) -> None:
        """Die holding, or sleep past the time, and come again under the same name."""
        self._world.clock.call_at(tenure.ended + self._world.rng.uniform(0.0, 0.3), self._pause)


class NumberUser:
    """Takes numbers."""

    def __init__(self, world: ApplicationWorld) -> None:
        self._world = world
        self._take()

    def _take(self) -> None:
        name = self._world.rng.choice(NUMBERS)
        Call(self._world, records.IssueNumber(name), lambda result, sent: self._taken(name, result, sent))

    def _taken(self, name: str, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if isinstance(result, records.NumberIssued):
            self._world.history.numbers.append(IssuedNumber(name, result.value, sent, now))
        if self._world.is_open:
            self._world.clock.call_at(now + self._world.rng.uniform(0.02, 0.3), self._take)


class KeyUser:
    """Reads keys and puts values, some on condition of the revision that it knows."""

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

        def answered(result: records.Result | None, sent: float) -> None:
            put.is_unclear |= call.is_unclear
            self._answered(put, result, sent)

        # Some give up after one answer: if that was a refusal, the value must never be seen.
        seconds = 0.0 if self._world.rng.random() < IMPATIENT_FRACTION else CALL_SECONDS
        call = Call(self._world, command, answered, seconds=seconds)

    def _answered(self, put: PutAttempt, result: records.Result | None, sent: float) -> None:
        now, history = self._world.clock.now, self._world.history
        if isinstance(result, records.CellWritten):
            if put.revision and put.revision != result.revision:
                history.violations.append(f"MIXED: {put.value} got revision {result.revision} after {put.revision}")
            if not put.revision:
                put.revision, put.received = result.revision, now
            self._known[put.key] = result.revision
            if self._world.rng.random() < 0.1:  # a repeat that arrives late, after other puts
                self._world.clock.call_at(now + self._world.rng.uniform(0.0, 1.0), lambda: self._send(put))
        elif isinstance(result, records.RevisionMismatch):
            history.mismatches.append(Mismatch(put.key, result.revision, sent, now))
            self._known[put.key] = result.revision
        self._next()

    def _read(self) -> None:
        key = self._world.rng.choice(KEYS)
        Call(self._world, records.ReadCell(key), lambda result, sent: self._was_read(key, result, sent))

    def _was_read(self, key: str, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if isinstance(result, records.CellFound):
            self._world.history.reads.append(ReadCell(key, result.value, result.revision, sent, now))
            self._known[key] = result.revision
        elif isinstance(result, records.CellMissing):
            self._world.history.reads.append(ReadCell(key, "", 0, sent, now))
        self._next()


class Watcher:
    """Watches a group, from any node, on from the revision that it was given."""

    def __init__(self, world: ApplicationWorld, history_seconds: float) -> None:
        self._world, self._history_seconds = world, history_seconds
        self.revision = 0
        self._given_at = 0.0
        self._number = 0
        self._begin()

    def _begin(self) -> None:
        Call(self._world, records.ReadGroup(GROUP), self._begun)

    def _begun(self, result: records.Result | None, sent: float) -> None:
        now = self._world.clock.now
        if isinstance(result, records.GroupRevision):
            self._world.history.watch_observations.append(WatchObservation(GROUP, 0, result.revision, [], sent, now))
            self.revision, self._given_at = result.revision, now
        self._world.clock.call_at(now + 0.05, self._begin if self.revision == 0 else self._watch)

    def _watch(self) -> None:
        if not self._world.is_open:
            return
        self._number += 1
        number, sent, node = self._number, self._world.clock.now, self._world.any_node()
        node.when_awake(lambda: self._ask(node, number, sent))
        self._world.clock.call_at(sent + 1.0, lambda: self._silent(number))

    def _ask(self, node: ModelNode, number: int, sent: float) -> None:
        if node.watches is None or number != self._number:
            return
        try:
            answer = node.watches.find_response(GROUP, self.revision)
        except MeshError:
            self._gone(number)
            return
        if answer is not None:
            self._answered(number, sent, answer)
            return
        watch = Watch(
            GROUP,
            self.revision,
            node.steady() + 0.7,
            on_response=lambda found: self._answered(number, sent, found),
            on_deadline=lambda: self._silent(number),
            on_failure=lambda fault: self._silent(number),
        )
        node.watches.add(watch)

    def _gone(self, number: int) -> None:
        if self._world.clock.now - self._given_at < self._history_seconds:
            self._world.history.violations.append(f"LOST: puts above {self.revision} are forgotten")
        self.revision = 0
        self._number += 1
        self._begin()

    def _answered(self, number: int, sent: float, answer: WatchResponse) -> None:
        if number != self._number:
            return
        now = self._world.clock.now
        puts = [WatchedPut(put.name, put.value, put.revision) for put in answer.puts]
        seen = WatchObservation(GROUP, self.revision, answer.revision, puts, sent, now)
        self._world.history.watch_observations.append(seen)
        self.revision, self._given_at = answer.revision, now
        self._number += 1
        self._world.clock.call_at(now + self._world.rng.uniform(0.0, 0.1), self._watch)

    def _silent(self, number: int) -> None:
        if number == self._number:
            self._number += 1
            self._world.clock.call_at(self._world.clock.now + 0.05, self._watch)
