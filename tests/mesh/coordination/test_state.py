"""Tests of the state at one replica: how long it keeps what, and that rows and snapshots contain all of it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lugspur.mesh.control.messages.coordination_records import (
    CellRecord,
    CoordinationChange,
    LockRecord,
    LockReleased,
    NumberRecord,
    Record,
)
from lugspur.mesh.coordination import state as state_module
from lugspur.mesh.coordination.state import CoordinationState

HISTORY_SECONDS = 20.0


def put(state: CoordinationState, now: float, key: str, value: str) -> None:
    """Put a value to a key as the next change."""
    revision = state.group_revision(state_module.group_of(key)) + 1
    state.apply(now, CoordinationChange(f"c{state.index}", [CellRecord(key, value, revision)]))


def restart(state: CoordinationState, now: float) -> CoordinationState:
    """Return the state after a restart."""
    restarted = CoordinationState(HISTORY_SECONDS)
    restarted.restore([(key, value) for key, value in state._rows() if value is not None], now)
    return restarted


def test_puts_are_kept_for_twice_the_history_from_when_they_are_learned() -> None:
    state = CoordinationState(HISTORY_SECONDS)
    put(state, 0.0, "g.a", "1")
    put(state, 30.0, "g.a", "2")
    state.prune(39.0)
    assert [p.revision for p in state.puts_after("g.", 0, 9) or []] == [1, 2]
    state.prune(41.0)
    assert state.puts_after("g.", 0, 9) is None
    assert [p.revision for p in state.puts_after("g.", 1, 9) or []] == [2]
    assert state.revision_of_value("g.a", "1") is None and state.revision_of_value("g.a", "2") == 2


def test_the_age_of_a_put_begins_anew_with_a_restart() -> None:
    state = CoordinationState(HISTORY_SECONDS)
    put(state, 0.0, "g.a", "1")
    restarted = restart(state, 1000.0)
    restarted.prune(1039.0)
    assert [p.revision for p in restarted.puts_after("g.", 0, 9) or []] == [1]


def test_what_was_forgotten_stays_forgotten_over_a_restart() -> None:
    state = CoordinationState(HISTORY_SECONDS)
    put(state, 0.0, "g.a", "1")
    put(state, 0.0, "g.a", "2")
    state.prune(41.0)
    restarted = restart(state, 0.0)
    assert restarted.puts_after("g.", 1, 9) is None and restarted.puts_after("g.", 2, 9) == []
    assert restarted.group_revision("g.") == 2


def test_a_replica_that_lacks_a_few_changes_is_sent_these_and_others_the_whole_state() -> None:
    state = CoordinationState(HISTORY_SECONDS)
    for number in range(state_module.RECENT_CHANGES + 3):
        state.apply(0.0, CoordinationChange(f"c{number}", [NumberRecord("n", number + 1)]))
    found = state.changes_after(state.index - 2)
    assert found is not None and [change.id for change in found] == ["c513", "c514"]
    assert state.changes_after(2) is None and state.changes_after(state.index) == []


records = st.one_of(
    st.builds(LockRecord, st.sampled_from("lm"), st.sampled_from("ab"), st.integers(1, 9), st.integers(1, 9000)),
    st.builds(LockReleased, st.sampled_from("lm")),
    st.builds(NumberRecord, st.sampled_from("no"), st.integers(1, 99)),
    st.builds(CellRecord, st.sampled_from(["g.a", "g.b", "h.a"]), st.text(max_size=3), st.integers(1, 99)),
)


def with_increasing_values(found: list[Record]) -> list[Record]:
    """Return the records with increasing fences, numbers and revisions, as a leader assigns them."""
    return [
        LockRecord(r.name, r.holder, n, r.hold_ms)
        if isinstance(r, LockRecord)
        else NumberRecord(r.name, n)
        if isinstance(r, NumberRecord)
        else CellRecord(r.name, r.value, n)
        if isinstance(r, CellRecord)
        else r
        for n, r in enumerate(found, 1)
    ]


@given(st.lists(records, max_size=12), st.booleans())
def test_the_rows_that_are_written_hold_the_whole_state(found: list[Record], prunes: bool) -> None:
    state, rows = CoordinationState(HISTORY_SECONDS), dict[bytes, bytes]()
    for number, record in enumerate(with_increasing_values(found)):
        written = state.apply(float(number), CoordinationChange(f"c{number}", [record]))
        written += state.prune(number + 35.0) if prunes else []
        for key, value in written:
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = value
    restarted = CoordinationState(HISTORY_SECONDS)
    restarted.restore(rows.items(), 0.0)
    assert restarted.snapshot() == state.snapshot()
    assert restarted.size_bytes == state.size_bytes and restarted.put_count == state.put_count
    replaced = CoordinationState(HISTORY_SECONDS)
    assert dict(replaced.replace(0.0, state.snapshot())) == {k: v for k, v in state._rows() if v is not None}
