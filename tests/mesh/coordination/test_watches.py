"""Watches: what wakes them, what ends them, and their bounds."""

from __future__ import annotations

import pytest

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages.coordination_records import CellRecord, CoordinationChange
from lugspur.mesh.coordination import watches as watches_module
from lugspur.mesh.coordination.state import CoordinationState
from lugspur.mesh.coordination.watches import Watch, WatchResponse, WatchTable


class Waiting:
    """A watch, and what it was told."""

    def __init__(self, table: WatchTable, group: str, after: int, deadline: float = 100.0) -> None:
        self.told: list[WatchResponse | MeshError | str] = []
        self.watch = Watch(
            group,
            after,
            deadline,
            on_response=self.told.append,
            on_deadline=lambda: self.told.append("deadline"),
            on_failure=self.told.append,
        )
        table.add(self.watch)


def put(state: CoordinationState, key: str, value: str, now: float = 0.0) -> None:
    revision = state.group_revision(key.partition(".")[0] + ".") + 1
    state.apply(now, CoordinationChange(f"c{state.index}", [CellRecord(key, value, revision)]))


def test_a_put_wakes_the_watches_of_its_group_that_lack_it() -> None:
    state = CoordinationState(20.0)
    table = WatchTable(state)
    put(state, "g.a", "1")
    here, ahead, elsewhere = Waiting(table, "g.", 1), Waiting(table, "g.", 2), Waiting(table, "h.", 0)
    put(state, "g.b", "2")
    table.respond_to_ready()
    assert here.told == [WatchResponse([CellRecord("g.b", "2", 2)], 2)]
    assert not ahead.told and not elsewhere.told and len(table) == 2
    put(state, "g.a", "3")
    put(state, "g.a", "4")
    table.respond_to_ready()
    assert ahead.told == [WatchResponse([CellRecord("g.a", "3", 3), CellRecord("g.a", "4", 4)], 4)]


def test_a_long_answer_ends_at_its_last_put_and_the_next_one_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches_module, "MAX_PUTS_PER_RESPONSE", 2)
    state = CoordinationState(20.0)
    table = WatchTable(state)
    for number in range(5):
        put(state, "g.a", str(number))
    after, seen = 0, []
    while (answer := table.find_response("g.", after)) is not None:
        assert len(answer.puts) <= 2
        seen += [record.revision for record in answer.puts]
        after = answer.revision
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
    first, second, removed = Waiting(table, "g.", 1, 5.0), Waiting(table, "g.", 1, 9.0), Waiting(table, "g.", 1, 5.0)
    table.remove(removed.watch)
    table.tick(5.0)
    assert first.told == ["deadline"] and not second.told and not removed.told
    fault = MeshError(ErrorKind.LEAVING)
    table.fail_all(fault)
    assert second.told == [fault] and first.told == ["deadline"] and len(table) == 0


def test_watches_beyond_the_bound_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches_module, "MAX_WATCHES", 2)
    table = WatchTable(CoordinationState(20.0))
    first = Waiting(table, "g.", 1)
    Waiting(table, "h.", 1)
    with pytest.raises(MeshError) as caught:
        Waiting(table, "g.", 1)
    assert caught.value.kind is ErrorKind.TOO_MANY
    table.remove(first.watch)
    Waiting(table, "g.", 1)
