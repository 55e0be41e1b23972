"""Coordination in virtual time: random histories violate no rule, and a missing guard is detected.

`python -m lugspur.emulator coordination` runs thousands of histories, `coordination-guards` checks all guards.
"""

from __future__ import annotations

import pytest

from lugspur import invariants
from lugspur.emulator.coordination import guards
from lugspur.emulator.coordination.checker import violations
from lugspur.emulator.coordination.guards import GUARDS, Guard
from lugspur.emulator.coordination.histories import play
from lugspur.emulator.coordination.history import (
    History,
    IssuedNumber,
    LockTenure,
    Mismatch,
    PutAttempt,
    ReadCell,
    WatchedPut,
    WatchObservation,
)

SEEDS = range(20_000, 20_024)
#: Guards whose absence a few histories detect; the others take up to a thousand.
QUICKLY_DETECTED = (
    "an acceptance is on disk before it is sent",
    "nothing below a promise is accepted",
    "a leader proposes again what was accepted",
)


@pytest.mark.parametrize("seed", SEEDS)
def test_applications_see_a_linearizable_history_under_random_faults(seed: int) -> None:
    result = play(seed)
    assert not result.violations
    assert result.counts["puts"] > 20 and result.counts["numbers"] > 10 and result.faults


@pytest.mark.parametrize(
    "guard", [guard for guard in GUARDS if guard.description in QUICKLY_DETECTED], ids=lambda g: g.description
)
def test_a_missing_guard_is_detected(guard: Guard) -> None:
    found = guards.detect(GUARDS.index(guard), max_histories=20)
    invariants.violations.clear()  # the missing guard violates invariants on purpose
    assert found.violation, found.guard


def assert_breaks_rule(rule: str, history: History) -> None:
    """Assert that a history breaks one rule and no other."""
    found = violations(history)
    assert found and all(line.startswith(f"{rule}: ") for line in found), found


def put(key: str, value: str, revision: int, began: float, ended: float, **other: int | bool) -> PutAttempt:
    """Return a put; a revision of 0 means that it was not acknowledged."""
    return PutAttempt(key, value, None, began, ended, revision, **other)  # type: ignore[arg-type]


def test_the_checker_finds_two_lock_holders_and_decreasing_fencing_tokens() -> None:
    first, second = LockTenure("l", "a", 1, 0.0, 0.1, 1.0), LockTenure("l", "b", 2, 0.5, 0.9, 2.0)
    assert_breaks_rule("ONE", History(tenures=[first, second]))
    assert_breaks_rule(
        "ONE", History(tenures=[LockTenure("l", "a", 2, 0.0, 0.1, 1.0), LockTenure("l", "b", 1, 1.5, 1.6, 2.0)])
    )
    assert_breaks_rule("ONE", History(tenures=[first, LockTenure("l", "b", 1, 1.5, 1.6, 2.0)]))
    assert not violations(
        History(tenures=[first, LockTenure("l", "b", 2, 0.9, 1.1, 2.0), LockTenure("m", "c", 2, 0.1, 0.2, 3.0)])
    )
    long, short, third = (
        LockTenure("l", "a", 1, 0.0, 0.1, 9.0),
        LockTenure("l", "a", 1, 0.2, 0.3, 0.5),
        LockTenure("l", "b", 2, 1, 2, 3),
    )
    assert_breaks_rule("ONE", History(tenures=[long, short, third]))


def test_the_checker_finds_decreasing_or_repeated_numbers() -> None:
    assert_breaks_rule("ORDER", History(numbers=[IssuedNumber("n", 2, 0.0, 0.1), IssuedNumber("n", 1, 0.2, 0.3)]))
    assert_breaks_rule("ORDER", History(numbers=[IssuedNumber("n", 2, 0.0, 0.3), IssuedNumber("n", 2, 0.1, 0.2)]))
    assert not violations(History(numbers=[IssuedNumber("n", 2, 0.0, 0.3), IssuedNumber("n", 1, 0.1, 0.2)]))


def test_the_checker_finds_wrong_revisions_and_values() -> None:
    one, two = put("g.a", "1", 1, 0.0, 0.1), put("g.a", "2", 2, 0.2, 0.3)
    assert not violations(History(puts=[one, two], reads=[ReadCell("g.a", "2", 2, 0.4, 0.5)]))
    assert_breaks_rule("ORDER", History(puts=[put("g.a", "1", 2, 0.0, 0.1), put("g.b", "2", 1, 0.2, 0.3)]))
    assert_breaks_rule("ORDER", History(puts=[one, put("g.b", "2", 1, 0.05, 0.3)]))
    assert_breaks_rule("STALE", History(puts=[one, two], reads=[ReadCell("g.a", "1", 1, 0.4, 0.5)]))
    assert_breaks_rule("STALE", History(puts=[one], reads=[ReadCell("g.a", "", 0, 0.4, 0.5)]))
    assert_breaks_rule("STALE", History(puts=[one, two], mismatches=[Mismatch("g.a", 1, 0.4, 0.5)]))
    assert_breaks_rule("MIXED", History(puts=[one], reads=[ReadCell("g.a", "x", 2, 0.4, 0.5)]))
    assert_breaks_rule("MIXED", History(puts=[one], mismatches=[Mismatch("g.b", 1, 0.4, 0.5)]))
    refused = put("g.a", "3", 0, 0.4, 0.0)
    assert_breaks_rule("REFUSED", History(puts=[one, refused], reads=[ReadCell("g.a", "3", 2, 0.5, 0.6)]))
    unclear = put("g.a", "3", 0, 0.4, 0.0, is_unclear=True)
    assert not violations(History(puts=[one, unclear], reads=[ReadCell("g.a", "3", 2, 0.5, 0.6)]))


def test_the_checker_finds_a_put_over_a_later_revision() -> None:
    one, two = put("g.a", "1", 1, 0.0, 0.1), put("g.a", "2", 2, 0.2, 0.3)
    assert_breaks_rule("ORDER", History(puts=[one, two, PutAttempt("g.a", "3", 1, 0.4, 0.5, 3)]))
    assert not violations(History(puts=[one, two, PutAttempt("g.a", "3", 2, 0.4, 0.5, 3)]))


def test_the_checker_finds_gaps_and_wrong_order_in_watch_responses() -> None:
    puts = [put("g.a", "1", 1, 0.0, 0.1), put("g.b", "2", 2, 0.2, 0.3), put("g.a", "3", 3, 0.4, 0.5)]
    events = [WatchedPut("g.a", "1", 1), WatchedPut("g.b", "2", 2), WatchedPut("g.a", "3", 3)]
    assert not violations(History(puts=puts, watch_observations=[WatchObservation("g.", 1, 3, events[1:], 0.6, 0.7)]))
    assert_breaks_rule(
        "ORDER", History(puts=puts, watch_observations=[WatchObservation("g.", 1, 3, events[2:], 0.6, 0.7)])
    )
    assert_breaks_rule(
        "ORDER", History(puts=puts, watch_observations=[WatchObservation("g.", 1, 3, events[:0:-1], 0.6, 0.7)])
    )
    assert_breaks_rule(
        "ORDER", History(puts=puts, watch_observations=[WatchObservation("g.", 1, 2, events[1:], 0.6, 0.7)])
    )
    assert_breaks_rule("STALE", History(puts=puts, watch_observations=[WatchObservation("g.", 0, 2, [], 0.6, 0.7)]))
