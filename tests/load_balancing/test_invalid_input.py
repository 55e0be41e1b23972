"""Invalid input is rejected with the name of the value, or handled by the rules; it never causes a crash."""

from __future__ import annotations

import math
from dataclasses import fields
from typing import Any

import pytest

from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    Fail,
    Limits,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestClass,
    Rules,
    Send,
    ServerRow,
    ServerState,
    Settings,
    Tenant,
)

BAD_NUMBERS: list[Any] = [math.nan, math.inf, -math.inf, -1.0, "1", None]
RULE_KEYS = {  # by field; errors name the key that operators write
    "drain_grace": "drain_grace",
    "answer_slack": "answer_slack",
    "discovery_interval": "ask_within",
    "slow_start_fraction": "cold_from",
    "slow_start_seconds": "cold_for",
    "overload_multiple": "fall_multiple",
    "overload_seconds": "fall_after",
    "retry_budget_minimum": "extra_free",
    "retry_budget_ratio": "extra_share",
    "retry_budget_window": "extra_span",
}
CLASS_KEYS = {
    "latency_target": "aim",
    "deadline": "deadline",
    "deduplication_window": "window",
    "value": "worth",
    "late_value": "late_worth",
}


@pytest.mark.parametrize("bad", BAD_NUMBERS)
@pytest.mark.parametrize("name", [item.name for item in fields(Rules)])
def test_numbers_in_rules(name: str, bad: Any) -> None:
    values: dict[str, Any] = {name: bad}
    with pytest.raises(ValueError, match=rf"rules\.{RULE_KEYS[name]}"):
        Balancer(Settings(rules=Rules(**values)), 1)


@pytest.mark.parametrize("bad", BAD_NUMBERS)
@pytest.mark.parametrize("name", CLASS_KEYS)
def test_numbers_in_classes(name: str, bad: Any) -> None:
    values: dict[str, Any] = {name: bad}
    with pytest.raises(ValueError, match=rf"classes\[1\]\.{CLASS_KEYS[name]}:"):
        Balancer(Settings(classes=(RequestClass(), RequestClass(**values))), 1)


@pytest.mark.parametrize("bad", BAD_NUMBERS)
@pytest.mark.parametrize("name", ["max_attempts"])
def test_numbers_in_limits(name: str, bad: Any) -> None:
    values: dict[str, Any] = {name: bad}
    with pytest.raises(ValueError, match=rf"limits\.{name}"):
        Balancer(Settings(limits=Limits(**values)), 1)


@pytest.mark.parametrize("bad", [math.nan, 2.0, -1.0, "x"])
def test_numbers_in_tenants(bad: Any) -> None:
    with pytest.raises(ValueError, match=r"tenants\[0\]\.share"):
        Balancer(Settings(tenants=(Tenant("t", bad),)), 1)


@pytest.mark.parametrize(("name", "key"), [("instance_index", "me"), ("tier", "tier"), ("zone", "zone")])
@pytest.mark.parametrize("bad", [-1, 1, 0.5, True, "0"])
def test_an_index_out_of_range(name: str, key: str, bad: Any) -> None:
    values: dict[str, Any] = {name: bad}
    with pytest.raises(ValueError, match=f"^{key}: "):
        Balancer(Settings(**values), 1)


def test_no_classes() -> None:
    with pytest.raises(ValueError, match="classes"):
        Balancer(Settings(classes=()), 1)


def ready() -> Balancer:
    made = Balancer(Settings(), 1)
    made.update_servers(1.0, ListUpdateKind.STALE, [ServerRow(1), ServerRow(2)])
    return made


@pytest.mark.parametrize(
    ("name", "values"),
    [
        ("kind", {"class_index": 1}),
        ("kind", {"class_index": -1}),
        ("kind", {"class_index": "0"}),
        ("tenant", {"tenant": 1}),
        ("tenant", {"tenant": -1}),
        ("deadline", {"deadline": math.nan}),
        ("deadline", {"deadline": "soon"}),
        ("cost", {"cost": -1.0}),
        ("cost", {"cost": math.inf}),
        ("rid", {"request_id": "open"}),
    ],
)
def test_invalid_request_changes_nothing(name: str, values: dict[str, Any]) -> None:
    b, twin = ready(), ready()
    for one in (b, twin):
        one.request(2.0, "open")
    with pytest.raises(ValueError, match=name):
        b.request(3.0, **{"request_id": "new", **values})
    assert list(b.requests) == ["open"] and b.table.pools[0].pending == twin.table.pools[0].pending
    # the same random numbers follow, so none was drawn
    assert b.request(4.0, "next") == twin.request(4.0, "next")


def test_request_past_its_deadline_is_rejected_at_once() -> None:
    assert ready().request(5.0, "late", 0, 0, 4.0) == [Reject("late")]


def test_events_for_unknown_or_ended_requests_are_ignored() -> None:
    b = ready()
    assert isinstance(b.request(2.0, "r")[0], Send)
    b.finish_attempt(2.1, "r", 0, Outcome.OK, 0.1, True)
    for rid in ("r", "never"):
        assert b.finish_attempt(3.0, rid, 0, Outcome.OK, 0.1) == []
        assert b.finish_attempt(3.0, rid, 7, Outcome.ERROR, 0.1) == []
        assert b.cancel_request(3.0, rid) == []
        assert b.begin_response(3.0, rid, 0) == []
    assert b.fire_timer(3.0, 999) == []


@pytest.mark.parametrize(
    "rows",
    [[], [ServerRow(1, ServerState.DRAINING), ServerRow(2, ServerState.DRAINING)], [ServerRow(1, ServerState.GONE)]],
)
def test_request_is_rejected_without_a_ready_server(rows: list[ServerRow]) -> None:
    b = Balancer(Settings(), 1)
    b.update_servers(1.0, ListUpdateKind.STALE, rows)
    assert b.request(2.0, "r") == [Reject("r")]


def test_every_request_gets_an_action_where_all_servers_are_cold() -> None:
    b = Balancer(Settings(), 1)
    b.update_servers(100.0, ListUpdateKind.STALE, [ServerRow(i, started_at=100.0) for i in range(4)])
    for n in range(50):
        [action] = b.request(100.0 + n / 100, f"r{n}")
        assert isinstance(action, Send | Reject | Fail)
