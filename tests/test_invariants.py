"""Invariants: counted and told, a bounded number of times, and each one caught where it is violated on purpose."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from controlparts import seed, voter_change

from lugspur import invariants
from lugspur.invariants import TOLD_MOST, Invariant, check, violations
from lugspur.mesh.control.messages import Membership, Voter


@pytest.fixture
def told(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[tuple[Invariant, dict[str, object]]]]:
    """What is told while a test violates invariants on purpose; nothing is left counted."""
    found: list[tuple[Invariant, dict[str, object]]] = []
    monkeypatch.setattr(invariants, "_tellers", [lambda invariant, details: found.append((invariant, details))])
    yield found
    violations.clear()


def test_what_holds_is_neither_counted_nor_told(told: list[tuple[Invariant, dict[str, object]]]) -> None:
    check(True, Invariant.ONE_ANSWER, attempt="a")
    assert not violations and not told


def test_a_violation_is_counted_always_and_told_a_bounded_number_of_times(
    told: list[tuple[Invariant, dict[str, object]]],
) -> None:
    for number in range(3 * TOLD_MOST):
        check(False, Invariant.RUN_ONCE, attempt=number)
    check(False, Invariant.TRIES)
    assert violations == {Invariant.RUN_ONCE: 3 * TOLD_MOST, Invariant.TRIES: 1}
    assert told[0] == (Invariant.RUN_ONCE, {"attempt": 0}) and len(told) == TOLD_MOST + 1


@pytest.mark.usefixtures("told")
def test_a_membership_that_goes_back_or_changes_two_voters_is_noticed() -> None:
    replica = seed()
    replica.decide(0.0, voter_change())
    assert replica.membership is not None and not violations
    voters = replica.membership.voters
    others = [voters[0], Voter("10.0.0.8", "u8", ""), Voter("10.0.0.9", "u9", "")]
    replica.decide(0.0, voter_change(Membership(3, others, voters)))
    assert violations == {Invariant.ONE_VOTER_AT_A_TIME: 1}
