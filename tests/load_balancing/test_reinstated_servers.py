"""Servers that operators reinstate get a request soon, at a different time from each instance."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lugspur.load_balancing import (
    Balancer,
    ListUpdateKind,
    Outcome,
    RequestClass,
    RetrySafety,
    Send,
    ServerRow,
    ServerState,
    Settings,
)
from lugspur.load_balancing.balancer import MAX_REINSTATE_SECONDS, MIN_REINSTATE_SECONDS
from lugspur.load_balancing.model import Rules

SETTINGS = Settings(
    classes=(RequestClass("read", 0.4, 1.0, RetrySafety.SAFE), RequestClass("book", 0.4, 1.0, RetrySafety.UNSAFE)),
    rules=Rules(slow_start_fraction=0.31, slow_start_seconds=8.9, overload_multiple=3.0, overload_seconds=3.0),
)


def first_request(seed: int, kind: int, reinstated: bool, servers: int = 18, rate: float = 3.0) -> float:
    """Return the seconds from a server's return until its first request, at a low request rate."""
    balancer = Balancer(SETTINGS, seed)
    rows = [ServerRow(n) for n in range(servers)]
    balancer.update_servers(0.0, ListUpdateKind.COMPLETE, rows)
    now = 0.0
    for number in range(60):
        now += 1.0 / rate
        for action in balancer.request(now, f"a{number}", kind):
            if isinstance(action, Send):
                balancer.finish_attempt(now + 0.1, f"a{number}", 0, Outcome.OK, 0.1, True)
    balancer.update_servers(now, ListUpdateKind.PATCH, [replace(rows[0], started_at=now)])
    back = now
    if reinstated:
        balancer.reinstate(now, 0)
    for number in range(60):
        now += 1.0 / rate
        for action in balancer.request(now, f"b{number}", kind):
            if isinstance(action, Send):
                if action.server == 0:
                    return now - back
                balancer.finish_attempt(now + 0.1, f"b{number}", 0, Outcome.OK, 0.1, True)
    return now - back


@pytest.mark.parametrize("kind", [0, 1])
def test_reinstated_server_gets_a_request_within_5_s_of_sparse_traffic(kind: int) -> None:
    waits = [first_request(seed, kind, True) for seed in range(30)]
    assert max(waits) < 5.0
    assert (
        max(waits) - min(waits) > (MAX_REINSTATE_SECONDS - MIN_REINSTATE_SECONDS) / 2
    )  # instances do not send at the same time
    assert (
        sum(first_request(seed, kind, False) > 5.0 for seed in range(30)) > 10
    )  # without a reinstatement it takes longer


def test_reinstated_server_that_is_gone_or_drains_gets_no_request() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.update_servers(0.0, ListUpdateKind.COMPLETE, [ServerRow(1), ServerRow(2)])
    balancer.reinstate(0.0, 1)
    balancer.reinstate(0.0, 7)  # never listed
    balancer.update_servers(1.0, ListUpdateKind.PATCH, [ServerRow(1, ServerState.DRAINING)])
    for number in range(20):
        for action in balancer.request(10.0 + number, str(number)):
            assert isinstance(action, Send) and action.server == 2
            balancer.finish_attempt(10.1 + number, str(number), 0, Outcome.OK, 0.1, True)
    balancer.update_servers(40.0, ListUpdateKind.PATCH, [ServerRow(1, ServerState.GONE)])
    assert not balancer.table.reinstated
