"""Tests of the history checker: valid histories pass, and each rule finds the violation it is meant for."""

from __future__ import annotations

import math
from typing import Any

import pytest

from lugspur.bench.faults.checker import Bounds, Rule, check
from lugspur.bench.faults.history import Call, History, InvalidReason, Item, Order, OrderAttempt, Read, Recovery, Span

BOUNDS = Bounds(edition=2.0, contact=3.0)
X7 = Item("r", 7, b"x", "rooms")
Y7 = Item("r", 7, b"y", "halls")
Z9 = Item("r", 9, b"z", "halls")
WITHDRAWN8 = Item("r", 8, None)
ORDER_X, ORDER_Y, ORDER_Z, ORDER_WITHDRAWAL = (
    Order(n, f"op{n}", (item,)) for n, item in enumerate((X7, Y7, Z9, WITHDRAWN8))
)
INVALID_BY_ITSELF = Order(9, "op9", (Item("r", 7, b"bad", "attic"),), InvalidReason.BY_ITSELF)
INVALID_IN_CONTEXT = Order(10, "op10", (Item("r", 7, b"lost", "nowhere"),), InvalidReason.IN_CONTEXT)


def attempt(order: Order, at: float, status: int | None = 200, machine: str = "a") -> OrderAttempt:
    return OrderAttempt(order, machine, at, at + 0.1, status)


def read(at: float, *items: Item, status: int = 200, machine: str = "a") -> Read:
    return Read(machine, at, at + 0.1, status, items)


def call(at: float, status: int | None = 200, service: str = "", **overrides: Any) -> Call:
    fields: dict[str, Any] = {
        "route": "r",
        "attempt": "t1",
        "echoed_attempt": "t1",
        "executed_attempt": "t1",
    } | overrides
    return Call("p", began=at, ended=at + 0.1, status=status, service=service, **fields)


def keyed_call(at: float, attempt_id: str, executed_attempt: str, status: int = 200, body: bytes = b"") -> Call:
    return Call("p", "book", attempt_id, at, at + 0.1, status, "k", False, attempt_id, executed_attempt, "rooms", body)


def violated_rules(*events: OrderAttempt | Read | Call | Span | Recovery, runs: tuple[str, ...] = ()) -> set[Rule]:
    history = History(runs=list(runs))
    for event in events:
        if isinstance(event, OrderAttempt):
            history.order_attempts.append(event)
        elif isinstance(event, Read):
            history.reads.append(event)
        elif isinstance(event, Call):
            history.calls.append(event)
        elif isinstance(event, Span):
            history.spans.append(event)
        else:
            history.recoveries.append(event)
    return {violation.rule for violation in check(history, BOUNDS)}


CUT = Span("cut", ("a",), 10.0, 30.0, ("a",))
ALL_DOWN = Span("kill all", ("a", "b", "c"), 1.05, 5.0, (), True)

VALID: dict[str, tuple[list[OrderAttempt | Read | Call | Span | Recovery], tuple[str, ...]]] = {
    "confirmed, sent again, read": ([attempt(ORDER_X, 1), attempt(ORDER_X, 2, machine="b"), read(3, X7)], ()),
    "the loser of a race is refused": ([attempt(ORDER_X, 1), attempt(ORDER_Y, 1, 409), read(3, X7)], ()),
    "an unclear order is in force": ([attempt(ORDER_X, 1, 504), read(3, X7)], ()),
    "an unclear order is not in force": ([attempt(ORDER_X, 1, None), read(3)], ()),
    "a higher edition stands": ([attempt(ORDER_X, 1), attempt(ORDER_Z, 2), read(3, Z9)], ()),
    "a withdrawal stands": ([attempt(ORDER_X, 1), attempt(ORDER_WITHDRAWAL, 2), read(3)], ()),
    "an older edition has no effect": (
        [attempt(ORDER_Z, 1), attempt(ORDER_X, 2), attempt(ORDER_Y, 2), read(3, Z9)],
        (),
    ),
    "an invalid order is refused": ([attempt(INVALID_BY_ITSELF, 1, 400), read(3)], ()),
    "an order that is invalid beside others has no effect": (
        [attempt(ORDER_Z, 1), attempt(INVALID_IN_CONTEXT, 2), read(3, Z9)],
        (),
    ),
    "a read during the change": (
        [attempt(ORDER_X, 1), attempt(ORDER_Z, 2), read(2.05, X7), read(2.05, Z9, machine="b")],
        (),
    ),
    "cut off: no answers, and at first some": (
        [
            attempt(ORDER_X, 1),
            CUT,
            attempt(ORDER_X, 11),
            attempt(ORDER_Z, 20, 503),
            read(20, status=503),
            attempt(ORDER_Z, 21, None),
        ],
        (),
    ),
    "cut off: an order that is invalid by itself": ([CUT, attempt(INVALID_BY_ITSELF, 20, 400)], ()),
    "served as confirmed": (
        [attempt(ORDER_X, 1), attempt(ORDER_Z, 2), call(3, service="rooms"), call(9, service="halls")],
        ("t1",),
    ),
    "all were down": ([attempt(ORDER_X, 1, 200), ALL_DOWN, call(9, 404)], ()),
    "a key runs once": ([keyed_call(1, "t1", "t1"), keyed_call(2, "t2", "t1"), keyed_call(2, "t3", "", 409)], ("t1",)),
    "useful in time": ([Recovery("cut", "a", 30.0, 4.0, 5.0)], ()),
}

VIOLATING: dict[str, tuple[Rule, list[OrderAttempt | Read | Call | Span | Recovery], tuple[str, ...]]] = {
    "both confirmed": (Rule.DECIDED_ONCE, [attempt(ORDER_X, 1), attempt(ORDER_Y, 1, machine="b")], ()),
    "a confirmed order is absent": (Rule.CONFIRMED_LOST, [attempt(ORDER_X, 1), read(3)], ()),
    "its content is another's": (Rule.CONFIRMED_LOST, [attempt(ORDER_X, 1), attempt(ORDER_Y, 1, 504), read(3, Y7)], ()),
    "an older one stands": (Rule.CONFIRMED_LOST, [attempt(ORDER_X, 1), attempt(ORDER_Z, 2), read(3, X7)], ()),
    "a withdrawn item is back": (
        Rule.CONFIRMED_LOST,
        [attempt(ORDER_X, 1), attempt(ORDER_WITHDRAWAL, 2), read(3, X7)],
        (),
    ),
    "both confirmed under what was refused and is not there": (
        Rule.DECIDED_ONCE,
        [attempt(ORDER_X, 1), attempt(ORDER_Z, 1, 409), attempt(ORDER_Y, 2)],
        (),
    ),
    "a read goes back": (
        Rule.READ_WENT_BACK,
        [attempt(ORDER_X, 1), attempt(ORDER_Z, 2, 504), read(3, Z9), read(4, X7)],
        (),
    ),
    "a read goes back to nothing": (Rule.READ_WENT_BACK, [attempt(ORDER_X, 1, 504), read(3, X7), read(4)], ()),
    "sent again and refused": (
        Rule.REFUSED_AFTER_CONFIRMED,
        [attempt(ORDER_X, 1), attempt(ORDER_Y, 1, 409), attempt(ORDER_X, 2, 409)],
        (),
    ),
    "refused at one and confirmed at another": (
        Rule.REFUSED_AFTER_CONFIRMED,
        [attempt(ORDER_X, 1, 409), attempt(ORDER_X, 1, machine="b")],
        (),
    ),
    "refused with nobody in its way": (Rule.REFUSED_WITHOUT_CAUSE, [attempt(ORDER_X, 1, 409)], ()),
    "refused by an odd status": (Rule.REFUSED_WITHOUT_CAUSE, [attempt(ORDER_X, 1, 504), attempt(ORDER_Y, 1, 400)], ()),
    "refused and read": (Rule.REFUSED_IN_FORCE, [attempt(ORDER_X, 1, 504), attempt(ORDER_Y, 1, 409), read(3, Y7)], ()),
    "refused and served": (
        Rule.REFUSED_IN_FORCE,
        [attempt(ORDER_X, 1), attempt(ORDER_Y, 1, 409), call(9, service="halls")],
        ("t1",),
    ),
    "never sent and read": (Rule.REFUSED_IN_FORCE, [attempt(ORDER_X, 1), read(3, Z9)], ()),
    "invalid and confirmed": (Rule.INVALID_CONFIRMED, [attempt(INVALID_BY_ITSELF, 1)], ()),
    "invalid, without effect, and confirmed": (
        Rule.INVALID_CONFIRMED,
        [attempt(ORDER_Z, 1), attempt(INVALID_BY_ITSELF, 2)],
        (),
    ),
    "invalid beside others and confirmed": (
        Rule.INVALID_CONFIRMED,
        [attempt(INVALID_IN_CONTEXT, 1), attempt(ORDER_Z, 2)],
        (),
    ),
    "cut off and confirms": (Rule.ISOLATED_CONFIRMS, [CUT, attempt(ORDER_X, 15)], ()),
    "cut off and refuses": (Rule.ISOLATED_REFUSES, [attempt(ORDER_X, 1), CUT, attempt(ORDER_Y, 15, 409)], ()),
    "cut off and reads": (Rule.ISOLATED_READS, [CUT, read(15)], ()),
    "an old service serves": (
        Rule.STALE_CONFIGURATION,
        [attempt(ORDER_X, 1), attempt(ORDER_Z, 2), call(9, service="rooms")],
        ("t1",),
    ),
    "a route is not there": (Rule.STALE_CONFIGURATION, [attempt(ORDER_X, 1), call(9, 404)], ()),
    "all were down and are back for long": (
        Rule.STALE_CONFIGURATION,
        [attempt(ORDER_X, 1), ALL_DOWN, call(11, 404)],
        (),
    ),
    "a withdrawn route serves": (
        Rule.STALE_CONFIGURATION,
        [attempt(ORDER_X, 1), attempt(ORDER_WITHDRAWAL, 2), call(9, service="rooms")],
        ("t1",),
    ),
    "useful too late": (Rule.LATE_RECOVERY, [Recovery("cut", "a", 30.0, 5.5, 5.0)], ()),
    "never useful": (Rule.LATE_RECOVERY, [Recovery("cut", "a", 30.0, math.inf, 5.0)], ()),
    "a key runs twice": (Rule.RAN_TWICE, [keyed_call(1, "t1", "t1"), keyed_call(2, "t2", "t1")], ("t1", "t2")),
    "an attempt runs twice": (
        Rule.RAN_TWICE,
        [Call("p", "mail", "t1", 1.0, 1.1, 502, unsafe=True)],
        ("t1", "t1"),
    ),
    "an answer to another": (
        Rule.WRONG_RESPONSE,
        [call(1, service="rooms", route="look", executed_attempt="t2")],
        ("t1", "t2"),
    ),
    "another's id": (Rule.WRONG_RESPONSE, [call(1, service="rooms", route="look", echoed_attempt="t2")], ("t1",)),
    "an answer without a run": (Rule.WRONG_RESPONSE, [call(1, service="rooms", route="look")], ()),
    "two answers under one key": (
        Rule.WRONG_RESPONSE,
        [keyed_call(1, "t1", "t1", body=b"1"), keyed_call(2, "t2", "t1", body=b"2")],
        ("t1",),
    ),
    "not run, it says": (Rule.WRONG_RESPONSE, [keyed_call(1, "t1", "", 503)], ("t1",)),
    "a key refused for good": (Rule.WRONG_RESPONSE, [keyed_call(1, "t1", "", 404)], ()),
}


@pytest.mark.parametrize("name", VALID)
def test_valid_history_passes(name: str) -> None:
    events, runs = VALID[name]
    assert violated_rules(*events, runs=runs) == set()


@pytest.mark.parametrize("name", VIOLATING)
def test_violating_history_is_found_by_its_rule(name: str) -> None:
    rule, events, runs = VIOLATING[name]
    assert rule in violated_rules(*events, runs=runs)


def test_edition_that_is_read_supersedes_older_ones_although_it_was_refused() -> None:
    rules = violated_rules(
        attempt(ORDER_X, 1), attempt(ORDER_Z, 1, 409), attempt(ORDER_Z, 1, 409), read(2, Z9), attempt(ORDER_Y, 3)
    )
    assert Rule.REFUSED_IN_FORCE in rules and Rule.DECIDED_ONCE not in rules


def test_the_same_violation_is_counted_once() -> None:
    reads = [read(3, Y7), read(4, Y7, machine="b"), read(5, Y7)]
    history = History(order_attempts=[attempt(ORDER_X, 1, 504), attempt(ORDER_Y, 1, 409)], reads=reads)
    assert [(violation.rule, violation.where) for violation in check(history, BOUNDS)] == [
        (Rule.REFUSED_IN_FORCE, "at a")
    ]


def test_every_rule_has_a_violating_history() -> None:
    assert {rule for rule, _, _ in VIOLATING.values()} == set(Rule)


def test_history_lists_the_events_around_a_violation() -> None:
    history = History(
        order_attempts=[attempt(ORDER_X, 1), attempt(ORDER_Y, 1.5, 409), attempt(ORDER_Z, 90)],
        reads=[read(3, Y7)],
        spans=[CUT],
    )
    (violation,) = (violation for violation in check(history, BOUNDS) if violation.rule is Rule.REFUSED_IN_FORCE)
    lines = history.events_around(violation.subject, 0.0, 20.0)
    assert [line.split(None, 2)[2].split(":")[0] for line in lines] == [
        "order 0 [r@7] at a",
        "order 1 [r@7] at a",
        "read at a",
        "FAULT cut a",
    ]
