"""The checker of histories: hand-written ones, right and wrong; each rule is seen to catch what it is for."""

from __future__ import annotations

import math
from typing import Any

import pytest

from lugspur.bench.faults.checker import Bounds, Rule, check
from lugspur.bench.faults.history import Call, History, Invalid, Item, Order, OrderAttempt, Read, Recovery, Span

BOUNDS = Bounds(edition=2.0, contact=3.0)
X7 = Item("r", 7, b"x", "rooms")
Y7 = Item("r", 7, b"y", "halls")
Z9 = Item("r", 9, b"z", "halls")
GONE8 = Item("r", 8, None)
OX, OY, OZ, OGONE = (Order(n, f"op{n}", (item,)) for n, item in enumerate((X7, Y7, Z9, GONE8)))
BAD = Order(9, "op9", (Item("r", 7, b"bad", "attic"),), Invalid.ITSELF)
UNKNOWN = Order(10, "op10", (Item("r", 7, b"lost", "nowhere"),), Invalid.BESIDE_OTHERS)


def sent(order: Order, at: float, status: int | None = 200, machine: str = "a") -> OrderAttempt:
    return OrderAttempt(order, machine, at, at + 0.1, status)


def read(at: float, *items: Item, status: int = 200, machine: str = "a") -> Read:
    return Read(machine, at, at + 0.1, status, items)


def call(at: float, status: int | None = 200, service: str = "", **other: Any) -> Call:
    told: dict[str, Any] = {"route": "r", "attempt": "t1", "echoed": "t1", "ran": "t1"} | other
    return Call("p", began=at, ended=at + 0.1, status=status, service=service, **told)


def keyed(at: float, attempt: str, ran: str, status: int = 200, body: bytes = b"") -> Call:
    return Call("p", "book", attempt, at, at + 0.1, status, "k", False, attempt, ran, "rooms", body)


def found(*events: OrderAttempt | Read | Call | Span | Recovery, runs: tuple[str, ...] = ()) -> set[Rule]:
    history = History(runs=list(runs))
    for event in events:
        if isinstance(event, OrderAttempt):
            history.tries.append(event)
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
STALL = Span("kill all", ("a", "b", "c"), 1.05, 5.0, (), True)

RIGHT: dict[str, tuple[list[OrderAttempt | Read | Call | Span | Recovery], tuple[str, ...]]] = {
    "confirmed, sent again, read": ([sent(OX, 1), sent(OX, 2, machine="b"), read(3, X7)], ()),
    "the loser of a race is refused": ([sent(OX, 1), sent(OY, 1, 409), read(3, X7)], ()),
    "an unclear order is in force": ([sent(OX, 1, 504), read(3, X7)], ()),
    "an unclear order is not in force": ([sent(OX, 1, None), read(3)], ()),
    "a higher edition stands": ([sent(OX, 1), sent(OZ, 2), read(3, Z9)], ()),
    "a withdrawal stands": ([sent(OX, 1), sent(OGONE, 2), read(3)], ()),
    "an older edition has no effect": ([sent(OZ, 1), sent(OX, 2), sent(OY, 2), read(3, Z9)], ()),
    "an invalid order is refused": ([sent(BAD, 1, 400), read(3)], ()),
    "an order that is invalid beside others has no effect": ([sent(OZ, 1), sent(UNKNOWN, 2), read(3, Z9)], ()),
    "a read during the change": ([sent(OX, 1), sent(OZ, 2), read(2.05, X7), read(2.05, Z9, machine="b")], ()),
    "cut off: no answers, and at first some": (
        [sent(OX, 1), CUT, sent(OX, 11), sent(OZ, 20, 503), read(20, status=503), sent(OZ, 21, None)],
        (),
    ),
    "cut off: an order that is invalid by itself": ([CUT, sent(BAD, 20, 400)], ()),
    "served as confirmed": ([sent(OX, 1), sent(OZ, 2), call(3, service="rooms"), call(9, service="halls")], ("t1",)),
    "all were down": ([sent(OX, 1, 200), STALL, call(9, 404)], ()),
    "a key runs once": ([keyed(1, "t1", "t1"), keyed(2, "t2", "t1"), keyed(2, "t3", "", 409)], ("t1",)),
    "useful in time": ([Recovery("cut", "a", 30.0, 4.0, 5.0)], ()),
}

WRONG: dict[str, tuple[Rule, list[OrderAttempt | Read | Call | Span | Recovery], tuple[str, ...]]] = {
    "both confirmed": (Rule.DECIDED_ONCE, [sent(OX, 1), sent(OY, 1, machine="b")], ()),
    "a confirmed order is absent": (Rule.LOST, [sent(OX, 1), read(3)], ()),
    "its content is another's": (Rule.LOST, [sent(OX, 1), sent(OY, 1, 504), read(3, Y7)], ()),
    "an older one stands": (Rule.LOST, [sent(OX, 1), sent(OZ, 2), read(3, X7)], ()),
    "a withdrawn item is back": (Rule.LOST, [sent(OX, 1), sent(OGONE, 2), read(3, X7)], ()),
    "both confirmed under what was refused and is not there": (
        Rule.DECIDED_ONCE,
        [sent(OX, 1), sent(OZ, 1, 409), sent(OY, 2)],
        (),
    ),
    "a read goes back": (Rule.BACKWARDS, [sent(OX, 1), sent(OZ, 2, 504), read(3, Z9), read(4, X7)], ()),
    "a read goes back to nothing": (Rule.BACKWARDS, [sent(OX, 1, 504), read(3, X7), read(4)], ()),
    "sent again and refused": (Rule.REFUSED_AFTER_CONFIRMED, [sent(OX, 1), sent(OY, 1, 409), sent(OX, 2, 409)], ()),
    "refused at one and confirmed at another": (
        Rule.REFUSED_AFTER_CONFIRMED,
        [sent(OX, 1, 409), sent(OX, 1, machine="b")],
        (),
    ),
    "refused with nobody in its way": (Rule.REFUSED_WITHOUT_CAUSE, [sent(OX, 1, 409)], ()),
    "refused by an odd status": (Rule.REFUSED_WITHOUT_CAUSE, [sent(OX, 1, 504), sent(OY, 1, 400)], ()),
    "refused and read": (Rule.REFUSED_IN_FORCE, [sent(OX, 1, 504), sent(OY, 1, 409), read(3, Y7)], ()),
    "refused and served": (
        Rule.REFUSED_IN_FORCE,
        [sent(OX, 1), sent(OY, 1, 409), call(9, service="halls")],
        ("t1",),
    ),
    "never sent and read": (Rule.REFUSED_IN_FORCE, [sent(OX, 1), read(3, Z9)], ()),
    "invalid and confirmed": (Rule.INVALID, [sent(BAD, 1)], ()),
    "invalid, without effect, and confirmed": (Rule.INVALID, [sent(OZ, 1), sent(BAD, 2)], ()),
    "invalid beside others and confirmed": (Rule.INVALID, [sent(UNKNOWN, 1), sent(OZ, 2)], ()),
    "cut off and confirms": (Rule.CUT_OFF_CONFIRMS, [CUT, sent(OX, 15)], ()),
    "cut off and refuses": (Rule.CUT_OFF_REFUSES, [sent(OX, 1), CUT, sent(OY, 15, 409)], ()),
    "cut off and reads": (Rule.CUT_OFF_READS, [CUT, read(15)], ()),
    "an old service serves": (Rule.STALE, [sent(OX, 1), sent(OZ, 2), call(9, service="rooms")], ("t1",)),
    "a route is not there": (Rule.STALE, [sent(OX, 1), call(9, 404)], ()),
    "all were down and are back for long": (Rule.STALE, [sent(OX, 1), STALL, call(11, 404)], ()),
    "a withdrawn route serves": (Rule.STALE, [sent(OX, 1), sent(OGONE, 2), call(9, service="rooms")], ("t1",)),
    "useful too late": (Rule.USEFUL, [Recovery("cut", "a", 30.0, 5.5, 5.0)], ()),
    "never useful": (Rule.USEFUL, [Recovery("cut", "a", 30.0, math.inf, 5.0)], ()),
    "a key runs twice": (Rule.RAN_TWICE, [keyed(1, "t1", "t1"), keyed(2, "t2", "t1")], ("t1", "t2")),
    "an attempt runs twice": (
        Rule.RAN_TWICE,
        [Call("p", "mail", "t1", 1.0, 1.1, 502, unsafe=True)],
        ("t1", "t1"),
    ),
    "an answer to another": (Rule.ANSWERS, [call(1, service="rooms", route="look", ran="t2")], ("t1", "t2")),
    "another's id": (Rule.ANSWERS, [call(1, service="rooms", route="look", echoed="t2")], ("t1",)),
    "an answer without a run": (Rule.ANSWERS, [call(1, service="rooms", route="look")], ()),
    "two answers under one key": (
        Rule.ANSWERS,
        [keyed(1, "t1", "t1", body=b"1"), keyed(2, "t2", "t1", body=b"2")],
        ("t1",),
    ),
    "not run, it says": (Rule.ANSWERS, [keyed(1, "t1", "", 503)], ("t1",)),
    "a key refused for good": (Rule.ANSWERS, [keyed(1, "t1", "", 404)], ()),
}


@pytest.mark.parametrize("name", RIGHT)
def test_a_right_history_passes(name: str) -> None:
    events, runs = RIGHT[name]
    assert found(*events, runs=runs) == set()


@pytest.mark.parametrize("name", WRONG)
def test_a_wrong_history_is_caught_by_its_rule(name: str) -> None:
    rule, events, runs = WRONG[name]
    assert rule in found(*events, runs=runs)


def test_what_is_read_overtakes_even_where_it_was_refused() -> None:
    rules = found(sent(OX, 1), sent(OZ, 1, 409), sent(OZ, 1, 409), read(2, Z9), sent(OY, 3))
    assert Rule.REFUSED_IN_FORCE in rules and Rule.DECIDED_ONCE not in rules


def test_the_same_violation_is_counted_once() -> None:
    reads = [read(3, Y7), read(4, Y7, machine="b"), read(5, Y7)]
    history = History(tries=[sent(OX, 1, 504), sent(OY, 1, 409)], reads=reads)
    assert [(v.rule, v.where) for v in check(history, BOUNDS)] == [(Rule.REFUSED_IN_FORCE, "at a")]


def test_every_rule_has_a_wrong_history() -> None:
    assert {rule for rule, _, _ in WRONG.values()} == set(Rule)


def test_what_led_to_a_violation_is_shown() -> None:
    history = History(tries=[sent(OX, 1), sent(OY, 1.5, 409), sent(OZ, 90)], reads=[read(3, Y7)], spans=[CUT])
    (violation,) = (v for v in check(history, BOUNDS) if v.rule is Rule.REFUSED_IN_FORCE)
    lines = history.around(violation.subject, 0.0, 20.0)
    assert [line.split(None, 2)[2].split(":")[0] for line in lines] == [
        "order 0 [r@7] at a",
        "order 1 [r@7] at a",
        "read at a",
        "FAULT cut a",
    ]
