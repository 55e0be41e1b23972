"""Bans and health checks override the entries of endpoint lists."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from lugspur.discovery.endpoint_overrides import MAX_EARLIEST_STARTS, MAX_LISTED_BACKENDS, EndpointOverrides
from lugspur.discovery.endpoints import Endpoint
from lugspur.load_balancing.model import ListUpdateKind, ServerRow, ServerState

ADDRESS = ("127.0.0.1", 9)


def endpoint(server: int, state: ServerState = ServerState.UP, started: float = 0.0) -> Endpoint:
    return Endpoint(ServerRow(server, state, started_at=started), ADDRESS)


def states(endpoints: list[Endpoint]) -> dict[int, ServerState]:
    return {endpoint.row.server: endpoint.row.state for endpoint in endpoints}


def test_a_ban_overrides_every_list_until_one_call_of_enable() -> None:
    overrides = EndpointOverrides()
    overrides.apply(ListUpdateKind.STALE, [endpoint(1), endpoint(2)])
    assert states(overrides.disable(1)) == {1: ServerState.DRAINING}
    assert states(overrides.disable(1)) == {1: ServerState.DRAINING}  # a repeated call
    assert states(overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1), endpoint(2)])) == {
        1: ServerState.DRAINING,
        2: ServerState.UP,
    }
    overrides.apply(ListUpdateKind.PATCH, [endpoint(1, ServerState.GONE)])
    assert states(overrides.apply(ListUpdateKind.PATCH, [endpoint(1, started=5.0)])) == {1: ServerState.DRAINING}
    moved = replace(endpoint(1, started=6.0), address=("127.0.0.1", 10))
    overrides.apply(ListUpdateKind.PATCH, [moved])
    [enabled] = overrides.enable(1, 50.0)
    assert enabled.row.state is ServerState.UP
    assert enabled.address == ("127.0.0.1", 10)


def test_an_enabled_backend_is_in_slow_start_whatever_start_time_the_list_has() -> None:
    overrides = EndpointOverrides()
    overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1, started=3.0)])
    overrides.disable(1)
    assert overrides.enable(1, 50.0)[0].row.started_at == 50.0
    assert overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1, started=3.0)])[0].row.started_at == 50.0
    assert overrides.apply(ListUpdateKind.PATCH, [endpoint(1, started=60.0)])[0].row.started_at == 60.0
    assert overrides.enable(1, 99.0) == []  # no ban, no restart


def test_the_latest_entry_of_the_list_applies_after_a_ban() -> None:
    overrides = EndpointOverrides()
    overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1)])
    overrides.disable(1)
    overrides.apply(ListUpdateKind.PATCH, [endpoint(1, ServerState.DRAINING)])
    assert states(overrides.enable(1, 50.0)) == {1: ServerState.DRAINING}
    overrides.disable(1)
    overrides.apply(ListUpdateKind.PATCH, [endpoint(1, ServerState.GONE)])
    assert overrides.enable(1, 60.0) == []


def test_a_removed_backend_was_listed_and_an_unknown_one_was_not() -> None:
    overrides = EndpointOverrides()
    overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1)])
    overrides.apply(ListUpdateKind.COMPLETE, [])
    assert overrides.was_listed(1)
    assert not overrides.was_listed(2)
    assert overrides.disable(1) == []
    assert states(overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1)])) == {1: ServerState.DRAINING}


def test_listed_backends_and_earliest_starts_are_bounded_and_those_in_use_are_kept() -> None:
    overrides = EndpointOverrides()
    overrides.apply(ListUpdateKind.PATCH, [endpoint(1), endpoint(2)])
    overrides.disable(2)
    overrides.apply(ListUpdateKind.PATCH, [endpoint(2, ServerState.GONE)])
    for server in range(10, 10 + MAX_LISTED_BACKENDS + 100):
        overrides.apply(ListUpdateKind.PATCH, [endpoint(server)])
        overrides.apply(ListUpdateKind.PATCH, [endpoint(server, ServerState.GONE)])
    assert len(overrides.listed) == MAX_LISTED_BACKENDS
    assert overrides.was_listed(1)
    assert overrides.was_listed(2)
    assert not overrides.was_listed(10)
    for server in range(5000, 5000 + MAX_EARLIEST_STARTS + 5):
        overrides.disable(server)
        overrides.enable(server, 1.0)
    assert len(overrides.earliest_start) == MAX_EARLIEST_STARTS


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ban", "enable", "up", "gone", "terminating", "complete", "restart"]), st.integers(1, 3)
        )
    )
)
@settings(deadline=None)  # examples take longer on a loaded machine
def test_no_sequence_lets_a_banned_backend_serve(steps: list[tuple[str, int]]) -> None:
    overrides, seen, banned = EndpointOverrides(), dict[int, ServerState](), set[int]()
    overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1), endpoint(2), endpoint(3)])
    for at, (step, server) in enumerate(steps):
        if step == "ban":
            banned.add(server)
            out = overrides.disable(server)
        elif step == "enable":
            banned.discard(server)
            out = overrides.enable(server, float(at))
        elif step == "complete":
            seen.clear()
            out = overrides.apply(ListUpdateKind.COMPLETE, [endpoint(server)])
        elif step == "restart":
            former, overrides = overrides, EndpointOverrides()
            overrides.restore(former.save())
            seen.clear()
            out = overrides.apply(ListUpdateKind.COMPLETE, [endpoint(1), endpoint(2), endpoint(3)])
        else:
            state = {"up": ServerState.UP, "gone": ServerState.GONE, "terminating": ServerState.DRAINING}[step]
            out = overrides.apply(ListUpdateKind.PATCH, [endpoint(server, state)])
        seen.update(states(out))
        assert not any(seen.get(server) is ServerState.UP for server in banned)
