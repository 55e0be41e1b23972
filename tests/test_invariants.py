"""Invariants: violations are counted, reported a bounded number of times, and detected."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from controlparts import seed, voter_change

from lugspur import invariants
from lugspur.invariants import MAX_REPORTED_VIOLATIONS, Invariant, check, violations
from lugspur.mesh.control.messages import Membership, Voter


@pytest.fixture
def reported(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[tuple[Invariant, dict[str, object]]]]:
    """The reported violations of a test that violates invariants on purpose; the counts are reset afterwards."""
    found: list[tuple[Invariant, dict[str, object]]] = []
    monkeypatch.setattr(invariants, "_listeners", [lambda invariant, details: found.append((invariant, details))])
    yield found
    violations.clear()


def test_an_invariant_that_holds_is_neither_counted_nor_reported(
    reported: list[tuple[Invariant, dict[str, object]]],
) -> None:
    check(True, Invariant.ONE_ANSWER, attempt="a")
    assert not violations and not reported


def test_a_violation_is_always_counted_and_reported_a_bounded_number_of_times(
    reported: list[tuple[Invariant, dict[str, object]]],
) -> None:
    for number in range(3 * MAX_REPORTED_VIOLATIONS):
        check(False, Invariant.RUN_ONCE, attempt=number)
    check(False, Invariant.ATTEMPTS_WITHIN_LIMIT)
    assert violations == {Invariant.RUN_ONCE: 3 * MAX_REPORTED_VIOLATIONS, Invariant.ATTEMPTS_WITHIN_LIMIT: 1}
    assert reported[0] == (Invariant.RUN_ONCE, {"attempt": 0}) and len(reported) == MAX_REPORTED_VIOLATIONS + 1


@pytest.mark.usefixtures("reported")
def test_a_membership_that_changes_two_voters_is_detected() -> None:
    replica = seed()
    replica.decide(0.0, voter_change())
    assert replica.membership is not None and not violations
    voters = replica.membership.voters
    others = [voters[0], Voter("10.0.0.8", "u8", ""), Voter("10.0.0.9", "u9", "")]
    replica.decide(0.0, voter_change(Membership(3, others, voters)))
    assert violations == {Invariant.ONE_VOTER_AT_A_TIME: 1}
