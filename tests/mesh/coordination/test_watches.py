"""Tests of watches: which puts they get, how they end, and their bounds."""

from __future__ import annotations

import pytest

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages.coordination_records import CellRecord, CoordinationChange
from lugspur.mesh.coordination import watches as watches_module
from lugspur.mesh.coordination.state import CoordinationState
from lugspur.mesh.coordination.watches import Watch, WatchResponse, WatchTable


class WaitingWatch:
    """A waiting watch, and what its callbacks received."""

    def __init__(self, table: WatchTable, group: str, after: int, deadline: float = 100.0) -> None:
        self.received: list[WatchResponse | MeshError | str] = []
        self.watch = Watch(
            group,
            after,
            deadline,
            on_response=self.received.append,
            on_deadline=lambda: self.received.append("deadline"),
            on_failure=self.received.append,
        )
        table.add(self.watch)


def put(state: CoordinationState, key: str, value: str, now: float = 0.0) -> None:
    revision = state.group_revision(key.partition(".")[0] + ".") + 1
    state.apply(now, CoordinationChange(f"c{state.index}", [CellRecord(key, value, revision)]))


def test_a_put_wakes_the_watches_of_its_group_that_lack_it() -> None:
    state = CoordinationState(20.0)
    table = WatchTable(state)
    put(state, "g.a", "1")
    here, ahead, elsewhere = WaitingWatch(table, "g.", 1), WaitingWatch(table, "g.", 2), WaitingWatch(table, "h.", 0)
    put(state, "g.b", "2")
    table.respond_to_ready()
    assert here.received == [WatchResponse([CellRecord("g.b", "2", 2)], 2)]
    assert not ahead.received and not elsewhere.received and len(table) == 2
    put(state, "g.a", "3")
    put(state, "g.a", "4")
    table.respond_to_ready()
    assert ahead.received == [WatchResponse([CellRecord("g.a", "3", 3), CellRecord("g.a", "4", 4)], 4)]


def test_a_long_answer_ends_at_its_last_put_and_the_next_one_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches_module, "MAX_PUTS_PER_RESPONSE", 2)
    state = CoordinationState(20.0)
    table = WatchTable(state)
    for number in range(5):
        put(state, "g.a", str(number))
    after, seen = 0, []
    while (response := table.find_response("g.", after)) is not None:
        assert len(response.puts) <= 2
        seen += [record.revision for record in response.puts]
        after = response.revision
    assert seen == [1, 2, 3, 4, 5]


def test_a_watch_for_what_is_forgotten_fails() -> None:
    state = CoordinationState(20.0)
    table = WatchTable(state)
    put(state, "g.a", "1")
    put(state, "g.a", "2")
    state.prune(41.0)
    with pytest.raises(MeshError) as caught:
        table.find_response("g.", 1)
    assert caught.value.kind is ErrorKind.HISTORY_GONE
    assert table.find_response("g.", 2) is None


def test_time_and_failures_end_watches_once() -> None:
    table = WatchTable(CoordinationState(20.0))
    first, second, removed = (
        WaitingWatch(table, "g.", 1, 5.0),
        WaitingWatch(table, "g.", 1, 9.0),
        WaitingWatch(table, "g.", 1, 5.0),
    )
    table.remove(removed.watch)
    table.tick(5.0)
    assert first.received == ["deadline"] and not second.received and not removed.received
    error = MeshError(ErrorKind.LEAVING)
    table.fail_all(error)
    assert second.received == [error] and first.received == ["deadline"] and len(table) == 0


def test_watches_beyond_the_bound_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches_module, "MAX_WATCHES", 2)
    table = WatchTable(CoordinationState(20.0))
    first = WaitingWatch(table, "g.", 1)
    WaitingWatch(table, "h.", 1)
    with pytest.raises(MeshError) as caught:
        WaitingWatch(table, "g.", 1)
    assert caught.value.kind is ErrorKind.TOO_MANY
    table.remove(first.watch)
    WaitingWatch(table, "g.", 1)
