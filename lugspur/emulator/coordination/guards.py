"""Mutation testing of the coordination: disables one guard at a time, and counts the histories until a violation."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from lugspur.emulator.coordination.histories import play
from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.control.messages import ProposalNumber
from lugspur.mesh.control.messages.coordination import (
    AcceptorReport,
    CoordinationAccept,
    CoordinationPrepare,
    CoordinationSnapshot,
)
from lugspur.mesh.control.messages.coordination_records import LockReleaseConfirmed, LockReleased, ReleaseLock, Result
from lugspur.mesh.coordination import node as node_module
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.batch import CommandBatch
from lugspur.mesh.coordination.pending import PendingCommand
from lugspur.mesh.coordination.proposer import Batch, CoordinationProposer
from lugspur.mesh.coordination.state import CoordinationState
from lugspur.mesh.coordination.voter_catch_up import VoterCatchUp

MAX_HISTORIES = 1200  # histories after which the removal of a guard counts as undetected

_prepare, _accept, _may_grant = (
    CoordinationAcceptor.prepare,
    CoordinationAcceptor.accept,
    CoordinationAcceptor._may_grant,
)
_adopt_reports, _follow_epoch = CoordinationAcceptor.adopt_reports, CoordinationAcceptor.follow_epoch
_next_batch, _step_down = CoordinationProposer._next_batch, CoordinationProposer._step_down
_load, _apply_lock = CoordinationState._load, CoordinationState._apply_lock


# ---- mutations ---------------------------------------------------------------------------------


def promise_in_memory(self: CoordinationAcceptor, peer: Peer, message: CoordinationPrepare) -> Effects:
    effects = _prepare(self, peer, message)
    return Effects(send=effects.send + effects.after_sync)


def accept_before_sync(self: CoordinationAcceptor, now: float, peer: Peer, message: CoordinationAccept) -> Effects:
    effects = _accept(self, now, peer, message)
    return Effects(send=effects.send + effects.after_sync, write=effects.write)


def count_below_promise(self: CoordinationAcceptor, epoch: int, proposal: ProposalNumber) -> bool:
    self.promised = min(self.promised, proposal)
    return _may_grant(self, epoch, proposal)


def count_in_any_epoch(self: CoordinationAcceptor, epoch: int, proposal: ProposalNumber) -> bool:
    return self.is_complete and proposal >= self.promised


def begin_at_once(self: VoterCatchUp, now: float, ip: str, report: AcceptorReport) -> Effects:
    return self._acceptor.become_complete(report.genesis_epoch) if report.genesis_epoch else Effects()


def adopt_reports_of_decisions(
    self: CoordinationAcceptor, now: float, reports: list[AcceptorReport], genesis_epoch: int
) -> Effects:
    for report in reports:
        report.accepted = report.change = None
    return _adopt_reports(self, now, reports, genesis_epoch)


def stay_complete(self: CoordinationAcceptor) -> Effects:
    if self.genesis_epoch and self._replica.is_voter:
        self.complete_epoch = self._replica.epoch
    return Effects()


def answer_unconfirmed(self: CoordinationProposer, now: float) -> Effects:
    effects = _next_batch(self, now)
    batch = self._batch
    if batch is not None and batch.change is None:
        self._batch = None
        self._finish(batch)
    return effects


def reject_doubtful(self: CoordinationProposer) -> None:
    batch = self._batch
    _step_down(self)
    for item in batch.items if batch is not None else ():
        item.pending.reject("too few voters answered")


def requeue_doubtful(self: CoordinationProposer) -> None:
    """Run commands again that may have been decided."""
    batch, self._batch = self._batch, None
    _step_down(self)
    if batch is not None:
        self._queue = [item.pending for item in batch.items] + self._queue


def give_up_as_rejected(batch: Batch) -> None:
    for item in batch.items:
        item.pending.reject("too few voters answered")


def give_up_pending_as_rejected(self: PendingCommand) -> None:
    self.reject("too few voters answered")


def load_free_locks(self: CoordinationState, now: float, snapshot: CoordinationSnapshot) -> None:
    _load(self, now, snapshot)
    for lock in self.locks.values():
        lock.expires_at = now


def load_without_fence(self: CoordinationState, now: float, snapshot: CoordinationSnapshot) -> None:
    _load(self, now, snapshot)
    self.last_fence = 0


def apply_short_lock(self: CoordinationState, now: float, record: Any) -> None:
    """Start a lock's hold time at the time at which its holder may have requested it, which no replica knows."""
    _apply_lock(self, now - 0.3, record)


def close_any_fence(self: CommandBatch, command: ReleaseLock) -> Result:
    if self._holder(command.name) is not None:
        self._locks[command.name] = None
        self.records.append(LockReleased(command.name))
    return LockReleaseConfirmed()


def lead_behind(self: CoordinationProposer, now: float) -> Effects:
    """Become leader without the commands that the voters know to be decided."""
    candidacy = self._candidacy
    if candidacy is not None:
        for promise in candidacy.promises.values():
            promise.decided_index = min(promise.decided_index, self._acceptor.state.index)
    return _try_to_lead(self, now)


_try_to_lead = CoordinationProposer.try_to_lead


# ---- the guards ----------------------------------------------------------------------------------


@dataclass(frozen=True)
class Guard:
    """A guard: the attribute of the owner that implements it, and the mutation that replaces the attribute."""

    description: str
    owner: Any
    name: str
    mutation: Any


GUARDS = (
    Guard("a promise is on disk before it is sent", CoordinationAcceptor, "prepare", promise_in_memory),
    Guard("an acceptance is on disk before it is sent", CoordinationAcceptor, "accept", accept_before_sync),
    Guard("nothing below a promise is accepted", CoordinationAcceptor, "_may_grant", count_below_promise),
    Guard("a message counts in its epoch alone", CoordinationAcceptor, "_may_grant", count_in_any_epoch),
    Guard(
        "nothing is accepted while a change of the voters may be decided",
        CoordinationAcceptor,
        "can_vote",
        property(lambda self: self.is_complete),
    ),
    Guard("a new voter hears a majority", VoterCatchUp, "receive", begin_at_once),
    Guard(
        "a new voter takes over what was accepted",
        CoordinationAcceptor,
        "adopt_reports",
        adopt_reports_of_decisions,
    ),
    Guard("completeness ends where epochs are missing", CoordinationAcceptor, "follow_epoch", stay_complete),
    Guard(
        "a leader proposes again what was accepted",
        CoordinationProposer,
        "_highest_accepted",
        lambda self, candidacy: None,
    ),
    Guard("a leader knows all that was decided", CoordinationProposer, "try_to_lead", lead_behind),
    Guard("a majority confirms what changes nothing", CoordinationProposer, "_next_batch", answer_unconfirmed),
    Guard("what was proposed is not rejected", CoordinationProposer, "_step_down", reject_doubtful),
    Guard("what was proposed is not run again", CoordinationProposer, "_step_down", requeue_doubtful),
    Guard("what waits too long is unclear", PendingCommand, "fail_as_unclear", give_up_pending_as_rejected),
    Guard(
        "a value that is put again keeps its revision",
        CoordinationState,
        "revision_of_value",
        lambda self, key, value: None,
    ),
    Guard("a lock lasts its full time from when it is learned", CoordinationState, "_apply_lock", apply_short_lock),
    Guard("a lock lasts its full time after a restart", CoordinationState, "_load", load_free_locks),
    Guard("fences go on after a restart", CoordinationState, "_load", load_without_fence),
    Guard("a lock is closed by its own fence alone", CommandBatch, "_close", close_any_fence),
    Guard("a call that was delayed is not carried out", node_module, "MAX_CALL_AGE_SECONDS", float("inf")),
)


@contextmanager
def disabled(guard: Guard) -> Iterator[None]:
    """Replace a guard by its mutation within a context."""
    original = getattr(guard.owner, guard.name)
    setattr(guard.owner, guard.name, guard.mutation)
    try:
        yield
    finally:
        setattr(guard.owner, guard.name, original)


@dataclass(slots=True)
class Detection:
    """The number of histories until the removal of a guard was detected, and the violation; empty if undetected."""

    guard: str
    histories: int
    violation: str


def detect(number: int, max_histories: int = MAX_HISTORIES) -> Detection:
    """Simulate histories without a guard until one has a violation."""
    guard = GUARDS[number]
    with disabled(guard):
        for seed in range(max_histories):
            try:
                violations = play(seed).violations
            except Exception as error:  # the code reached a state that is impossible with the guard
                violations = [f"{type(error).__name__}: {error}"]
            if violations:
                return Detection(guard.description, seed + 1, violations[0])
    return Detection(guard.description, max_histories, "")


def show(jobs: int, detect_one: Callable[[int], Detection] = detect) -> int:
    """Disable each guard and print the table; returns the exit status, 1 if the removal of a guard was undetected."""
    print("| guard | histories | found |\n|---|---|---|")
    undetected_count = 0
    with ProcessPoolExecutor(jobs) as pool:
        for detection in pool.map(detect_one, range(len(GUARDS))):
            undetected_count += not detection.violation
            print(
                f"| {detection.guard} | {detection.histories} | {detection.violation[:110] or 'NOTHING'} |", flush=True
            )
    return 1 if undetected_count else 0
