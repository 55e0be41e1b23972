"""Bans laid over lists: what the pool is told, whatever discovery says."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from lugspur.discovery.endpoints import Endpoint
from lugspur.discovery.maintenance import FLOORS_MOST, NAMES_MOST, Maintenance
from lugspur.load_balancing.model import ListUpdateKind, ServerRow, ServerState

ADDRESS = ("127.0.0.1", 9)


def row(server: int, state: ServerState = ServerState.UP, started: float = 0.0) -> Endpoint:
    return Endpoint(ServerRow(server, state, started_at=started), ADDRESS)


def states(endpoints: list[Endpoint]) -> dict[int, ServerState]:
    return {endpoint.row.server: endpoint.row.state for endpoint in endpoints}


def test_a_ban_holds_over_every_list_until_one_call_back() -> None:
    over = Maintenance()
    over.lay(ListUpdateKind.STALE, [row(1), row(2)])
    assert states(over.disable(1)) == {1: ServerState.DRAINING}
    assert states(over.disable(1)) == {1: ServerState.DRAINING}  # repeats may come
    assert states(over.lay(ListUpdateKind.COMPLETE, [row(1), row(2)])) == {1: ServerState.DRAINING, 2: ServerState.UP}
    over.lay(ListUpdateKind.PATCH, [row(1, ServerState.GONE)])
    assert states(over.lay(ListUpdateKind.PATCH, [row(1, started=5.0)])) == {1: ServerState.DRAINING}
    moved = replace(row(1, started=6.0), address=("127.0.0.1", 10))
    over.lay(ListUpdateKind.PATCH, [moved])
    [back] = over.enable(1, 50.0)
    assert back.row.state is ServerState.UP
    assert back.address == ("127.0.0.1", 10)


def test_a_backend_comes_back_cold_whatever_discovery_says_of_its_start() -> None:
    over = Maintenance()
    over.lay(ListUpdateKind.COMPLETE, [row(1, started=3.0)])
    over.disable(1)
    assert over.enable(1, 50.0)[0].row.started_at == 50.0
    assert over.lay(ListUpdateKind.COMPLETE, [row(1, started=3.0)])[0].row.started_at == 50.0
    assert over.lay(ListUpdateKind.PATCH, [row(1, started=60.0)])[0].row.started_at == 60.0
    assert over.enable(1, 99.0) == []  # no ban, no restart


def test_a_ban_ends_into_what_discovery_says() -> None:
    over = Maintenance()
    over.lay(ListUpdateKind.COMPLETE, [row(1)])
    over.disable(1)
    over.lay(ListUpdateKind.PATCH, [row(1, ServerState.DRAINING)])
    assert states(over.enable(1, 50.0)) == {1: ServerState.DRAINING}
    over.disable(1)
    over.lay(ListUpdateKind.PATCH, [row(1, ServerState.GONE)])
    assert over.enable(1, 60.0) == []


def test_one_that_has_gone_is_known_and_one_never_listed_is_not() -> None:
    over = Maintenance()
    over.lay(ListUpdateKind.COMPLETE, [row(1)])
    over.lay(ListUpdateKind.COMPLETE, [])
    assert over.known(1)
    assert not over.known(2)
    assert over.disable(1) == []
    assert states(over.lay(ListUpdateKind.COMPLETE, [row(1)])) == {1: ServerState.DRAINING}


def test_names_and_ends_of_bans_are_bounded_and_what_counts_is_kept() -> None:
    over = Maintenance()
    over.lay(ListUpdateKind.PATCH, [row(1), row(2)])
    over.disable(2)
    over.lay(ListUpdateKind.PATCH, [row(2, ServerState.GONE)])
    for server in range(10, 10 + NAMES_MOST + 100):
        over.lay(ListUpdateKind.PATCH, [row(server)])
        over.lay(ListUpdateKind.PATCH, [row(server, ServerState.GONE)])
    assert len(over.listed) == NAMES_MOST
    assert over.known(1)
    assert over.known(2)
    assert not over.known(10)
    for server in range(5000, 5000 + FLOORS_MOST + 5):
        over.disable(server)
        over.enable(server, 1.0)
    assert len(over.floors) == FLOORS_MOST


@given(
    st.lists(
        st.tuples(st.sampled_from(["ban", "back", "up", "gone", "terminating", "whole", "process"]), st.integers(1, 3))
    )
)
@settings(deadline=None)  # a loaded machine is no fault
def test_no_sequence_lets_a_banned_backend_serve(steps: list[tuple[str, int]]) -> None:
    over, seen, banned = Maintenance(), dict[int, ServerState](), set[int]()
    over.lay(ListUpdateKind.COMPLETE, [row(1), row(2), row(3)])
    for at, (what, server) in enumerate(steps):
        if what == "ban":
            banned.add(server)
            out = over.disable(server)
        elif what == "back":
            banned.discard(server)
            out = over.enable(server, float(at))
        elif what == "whole":
            seen.clear()
            out = over.lay(ListUpdateKind.COMPLETE, [row(server)])
        elif what == "process":
            former, over = over, Maintenance()
            over.restore(former.save())
            seen.clear()
            out = over.lay(ListUpdateKind.COMPLETE, [row(1), row(2), row(3)])
        else:
            state = {"up": ServerState.UP, "gone": ServerState.GONE, "terminating": ServerState.DRAINING}[what]
            out = over.lay(ListUpdateKind.PATCH, [row(server, state)])
        seen.update(states(out))
        assert not any(seen.get(server) is ServerState.UP for server in banned)
