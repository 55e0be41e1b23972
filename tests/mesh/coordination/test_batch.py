"""Tests of the result and the records of each command, by the state that it is evaluated against."""

from __future__ import annotations

import pytest

from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages.coordination_records import (
    AcquireLock,
    CellFound,
    CellMissing,
    CellWritten,
    Command,
    CommandFailed,
    GroupRevision,
    IssueNumber,
    LockDenied,
    LockGranted,
    LockLost,
    LockReleaseConfirmed,
    LockRenewed,
    NumberIssued,
    PutCell,
    ReadCell,
    ReadGroup,
    ReleaseLock,
    RenewLock,
    Result,
    RevisionMismatch,
)
from lugspur.mesh.coordination import batch as batch_module
from lugspur.mesh.coordination.batch import CommandBatch
from lugspur.mesh.coordination.state import CoordinationState


def run_batch(state: CoordinationState, now: float, *commands: Command) -> list[Result]:
    """Evaluate commands as one batch, apply its change, and return the results."""
    batch = CommandBatch(state, now)
    results = [batch.evaluate(command) for command in commands]
    if batch.records:
        state.apply(now, batch.change(f"c{state.index}"))
    return results


@pytest.fixture
def state() -> CoordinationState:
    return CoordinationState(20.0)


# ---- locks -----------------------------------------------------------------------------------


def test_a_lock_is_denied_to_others_until_its_time_is_over(state: CoordinationState) -> None:
    assert run_batch(state, 10.0, AcquireLock("l", "a", 1000)) == [LockGranted(1)]
    assert run_batch(state, 10.9, AcquireLock("l", "b", 1000)) == [LockDenied()]
    assert run_batch(state, 11.1, AcquireLock("l", "b", 1000)) == [LockGranted(2)]


def test_a_holder_gets_its_fence_again_and_more_time(state: CoordinationState) -> None:
    run_batch(state, 10.0, AcquireLock("l", "a", 1000))
    assert run_batch(state, 10.5, AcquireLock("l", "a", 1000)) == [LockGranted(1)]
    assert run_batch(state, 11.3, AcquireLock("l", "b", 1000)) == [LockDenied()]


def test_a_shorter_time_takes_nothing_from_a_holder(state: CoordinationState) -> None:
    run_batch(state, 10.0, AcquireLock("l", "a", 5000))
    run_batch(state, 10.1, RenewLock("l", "a", 1, 100))
    assert run_batch(state, 14.0, AcquireLock("l", "b", 1000)) == [LockDenied()]
    restored = CoordinationState(20.0)
    restored.replace(100.0, state.snapshot())
    assert run_batch(restored, 104.0, AcquireLock("l", "b", 1000)) == [LockDenied()]


def test_a_holder_that_died_comes_again_under_its_name_with_a_new_fence(state: CoordinationState) -> None:
    run_batch(state, 10.0, AcquireLock("l", "a", 1000))
    assert run_batch(state, 12.0, AcquireLock("l", "a", 1000)) == [LockGranted(2)]


def test_a_renewal_of_a_lost_lock_is_refused(state: CoordinationState) -> None:
    run_batch(state, 10.0, AcquireLock("l", "a", 1000))
    assert run_batch(state, 10.5, RenewLock("l", "a", 1, 1000)) == [LockRenewed()]
    assert run_batch(state, 10.6, RenewLock("l", "a", 2, 1000)) == [LockLost()]
    assert run_batch(state, 10.6, RenewLock("l", "b", 1, 1000)) == [LockLost()]
    assert run_batch(state, 12.0, RenewLock("l", "a", 1, 1000)) == [LockLost()]  # the lock has expired


def test_a_close_that_comes_late_closes_nothing(state: CoordinationState) -> None:
    run_batch(state, 10.0, AcquireLock("l", "a", 1000))
    assert run_batch(state, 10.1, ReleaseLock("l", "a", 1)) == [LockReleaseConfirmed()]
    assert run_batch(state, 10.2, AcquireLock("l", "a", 1000)) == [LockGranted(2)]
    assert run_batch(state, 10.3, ReleaseLock("l", "a", 1)) == [LockReleaseConfirmed()]
    assert run_batch(state, 10.4, AcquireLock("l", "b", 1000)) == [LockDenied()]
    assert run_batch(state, 10.4, ReleaseLock("never", "a", 1)) == [LockReleaseConfirmed()]


def test_commands_of_one_batch_see_each_other(state: CoordinationState) -> None:
    assert run_batch(
        state,
        10.0,
        AcquireLock("l", "a", 1000),
        AcquireLock("l", "b", 1000),
        RenewLock("l", "a", 1, 10),
        ReleaseLock("l", "a", 1),
        AcquireLock("l", "b", 1000),
    ) == [LockGranted(1), LockDenied(), LockRenewed(), LockReleaseConfirmed(), LockGranted(2)]


def test_fences_rise_over_all_locks_and_restarts(state: CoordinationState) -> None:
    run_batch(state, 10.0, AcquireLock("l", "a", 1000), AcquireLock("m", "a", 1000), ReleaseLock("m", "a", 2))
    rows = {key: value for key, value in state._rows() if value is not None}
    restored = CoordinationState(20.0)
    restored.restore(rows.items(), 0.0)
    assert run_batch(restored, 0.0, AcquireLock("m", "a", 1000)) == [LockGranted(3)]


def test_locks_beyond_the_bound_are_rejected_until_others_run_out(
    state: CoordinationState, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(batch_module, "MAX_LOCKS", 3)
    run_batch(state, 10.0, *[AcquireLock(f"l{n}", "a", 1000) for n in range(3)])
    [rejected] = run_batch(state, 10.0, AcquireLock("more", "a", 1000))
    assert isinstance(rejected, CommandFailed) and rejected.error_kind == ErrorKind.TOO_MANY.value
    assert run_batch(state, 12.0, AcquireLock("more", "a", 1000)) == [LockGranted(4)]
    assert set(state.locks) == {"more"}


# ---- numbers ---------------------------------------------------------------------------------


def test_numbers_rise_by_name(state: CoordinationState) -> None:
    assert run_batch(state, 0.0, IssueNumber("n"), IssueNumber("n"), IssueNumber("m")) == [
        NumberIssued(1),
        NumberIssued(2),
        NumberIssued(1),
    ]
    assert run_batch(state, 0.0, IssueNumber("n")) == [NumberIssued(3)]


def test_names_of_numbers_beyond_the_bound_are_rejected(
    state: CoordinationState, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(batch_module, "MAX_NUMBERS", 1)
    run_batch(state, 0.0, IssueNumber("n"))
    [rejected] = run_batch(state, 0.0, IssueNumber("m"))
    assert isinstance(rejected, CommandFailed)
    assert run_batch(state, 0.0, IssueNumber("n")) == [NumberIssued(2)]


# ---- keys ------------------------------------------------------------------------------------


def test_a_group_shares_one_count_of_revisions_from_1(state: CoordinationState) -> None:
    assert run_batch(state, 0.0, PutCell("g.a", "1"), PutCell("g.b", "2"), PutCell("h.a", "3")) == [
        CellWritten(1),
        CellWritten(2),
        CellWritten(1),
    ]
    assert run_batch(state, 0.0, ReadGroup("g."), ReadGroup("none."), ReadCell("g.b"), ReadCell("g.c")) == [
        GroupRevision(2),
        GroupRevision(0),
        CellFound("2", 2),
        CellMissing(),
    ]


def test_a_put_compares_the_revision_of_its_key(state: CoordinationState) -> None:
    assert run_batch(state, 0.0, PutCell("g.a", "1", 0)) == [CellWritten(1)]
    assert run_batch(state, 0.0, PutCell("g.a", "2", 0)) == [RevisionMismatch(1)]
    assert run_batch(state, 0.0, PutCell("g.b", "3", 1)) == [RevisionMismatch(0)]
    assert run_batch(state, 0.0, PutCell("g.a", "4", 1)) == [CellWritten(2)]


def test_a_value_that_is_put_again_has_its_first_revision_also_after_others(state: CoordinationState) -> None:
    run_batch(state, 0.0, PutCell("g.a", "1", 0), PutCell("g.a", "2", 1))
    assert run_batch(state, 0.0, PutCell("g.a", "1", 0)) == [CellWritten(1)]
    assert run_batch(state, 0.0, PutCell("g.a", "2", 1)) == [CellWritten(2)]
    assert run_batch(state, 0.0, PutCell("g.a", "3", 2), PutCell("g.a", "4", 3), PutCell("g.a", "3", 2)) == [
        CellWritten(3),
        CellWritten(4),
        CellWritten(3),
    ]
    assert state.cells["g.a"].value == "4"


@pytest.mark.parametrize("name", ["MAX_CELLS", "MAX_PUTS", "bytes"])
def test_puts_beyond_a_bound_are_rejected_with_nothing_done(
    state: CoordinationState, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    run_batch(state, 0.0, PutCell("g.a", "1"))
    if name == "bytes":
        state.max_bytes = state.size_bytes
    else:
        monkeypatch.setattr(batch_module, name, 1)
    index = state.index
    [rejected] = run_batch(state, 0.0, PutCell("g.b", "2"))
    assert isinstance(rejected, CommandFailed) and rejected.error_kind == ErrorKind.TOO_MANY.value
    assert state.index == index and run_batch(state, 0.0, PutCell("g.a", "1")) == [CellWritten(1)]
