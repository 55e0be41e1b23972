"""The time at which a voter proposes the next membership."""

from __future__ import annotations

import pytest
from controlparts import seed

from lugspur.mesh.control.reconfiguration import (
    CHANGE_DURATION_SECONDS,
    MIN_ABSENCE_TIMEOUT_SECONDS,
    RANK_DELAY_SECONDS,
    RETRY_DELAY_SECONDS,
    SETTLING_SECONDS,
    Reconfiguration,
    absence_timeout,
    allows_timely_replacement,
)
from lugspur.mesh.control.voter_membership import Presence, Tolerance

ABSENCE_TIMEOUT = 5.0


def test_the_absence_timeout_follows_from_the_settings() -> None:
    assert absence_timeout(4.0, 3.0) == pytest.approx(4.0 - CHANGE_DURATION_SECONDS)  # before the next loss
    assert absence_timeout(60.0, 3.0) == pytest.approx(3.0 + CHANGE_DURATION_SECONDS)
    assert absence_timeout(1.0, 3.0) == MIN_ABSENCE_TIMEOUT_SECONDS  # a shorter absence is an ordinary restart
    assert allows_timely_replacement(
        MIN_ABSENCE_TIMEOUT_SECONDS + CHANGE_DURATION_SECONDS
    ) and not allows_timely_replacement(MIN_ABSENCE_TIMEOUT_SECONDS + CHANGE_DURATION_SECONDS - 0.1)


def reconfiguration_of(ip: str) -> Reconfiguration:
    return Reconfiguration(seed(ip), Tolerance(1, 0), ABSENCE_TIMEOUT)


PRESENT = {f"10.0.0.{n}": Presence("genesis", "z") for n in (1, 2, 3)} | {"10.0.0.4": Presence("u4", "z")}
ALL = {"10.0.0.1", "10.0.0.2", "10.0.0.3"}
LOST = {"10.0.0.2": 6.0}


def test_voters_propose_by_rank_and_again_until_it_is_decided() -> None:
    first, third = reconfiguration_of("10.0.0.1"), reconfiguration_of("10.0.0.3")
    for voter in (first, third):
        assert voter.next_step(10.0, PRESENT, ALL, LOST) is None  # all voters have to learn the membership first
    assert first.next_step(10.0 + SETTLING_SECONDS, PRESENT, ALL, LOST) is not None
    assert third.next_step(10.0 + SETTLING_SECONDS, PRESENT, ALL, LOST) is None
    assert third.next_step(10.0 + SETTLING_SECONDS + 2 * RANK_DELAY_SECONDS, PRESENT, ALL, LOST) is not None
    assert first.next_step(10.1 + SETTLING_SECONDS, PRESENT, ALL, LOST) is None
    step = first.next_step(10.0 + SETTLING_SECONDS + RETRY_DELAY_SECONDS, PRESENT, ALL, LOST)
    assert step is not None and [v.ip for v in step.voters] == ["10.0.0.1", "10.0.0.3", "10.0.0.4"]


def test_a_replica_without_a_vote_proposes_nothing_and_a_temporary_cause_has_no_effect() -> None:
    other = Reconfiguration(seed("10.0.0.7"), Tolerance(1, 0), ABSENCE_TIMEOUT)
    assert other.next_step(10.0, PRESENT, ALL, LOST) is None and other.next_step(20.0, PRESENT, ALL, LOST) is None
    voter = reconfiguration_of("10.0.0.1")
    assert voter.next_step(10.0, PRESENT, ALL, LOST) is None
    assert voter.next_step(11.0, PRESENT, ALL, {}) is None
    assert voter.next_step(20.0, PRESENT, ALL, LOST) is not None  # the membership is old enough to change at once


def test_a_voter_counts_its_own_completeness_and_that_which_others_report() -> None:
    voter = reconfiguration_of("10.0.0.1")
    for now in (10.0, 11.0):
        assert voter.next_step(now, PRESENT, set(), LOST) is None  # one complete voter is no majority
    assert voter.next_step(12.0, PRESENT, {"10.0.0.3", "10.0.0.9"}, LOST) is not None
    late = reconfiguration_of("10.0.0.1")
    assert late.next_step(10.0, PRESENT, set(), LOST) is None
    assert late.next_step(10.0 + ABSENCE_TIMEOUT + 1.0, PRESENT, set(), LOST) is not None  # overdue
