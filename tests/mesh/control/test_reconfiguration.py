"""When a voter proposes the next membership."""

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
    assert absence_timeout(1.0, 3.0) == MIN_ABSENCE_TIMEOUT_SECONDS  # a shorter silence is an ordinary restart
    assert allows_timely_replacement(
        MIN_ABSENCE_TIMEOUT_SECONDS + CHANGE_DURATION_SECONDS
    ) and not allows_timely_replacement(MIN_ABSENCE_TIMEOUT_SECONDS + CHANGE_DURATION_SECONDS - 0.1)


def watcher(ip: str) -> Reconfiguration:
    return Reconfiguration(seed(ip), Tolerance(1, 0), ABSENCE_TIMEOUT)


PRESENT = {f"10.0.0.{n}": Presence("genesis", "z") for n in (1, 2, 3)} | {"10.0.0.4": Presence("u4", "z")}
ALL = {"10.0.0.1", "10.0.0.2", "10.0.0.3"}
LOST = {"10.0.0.2": 6.0}


def test_voters_propose_by_rank_and_again_until_it_is_decided() -> None:
    first, third = watcher("10.0.0.1"), watcher("10.0.0.3")
    for one in (first, third):
        assert one.next_step(10.0, PRESENT, ALL, LOST) is None  # the membership has to get round first
    assert first.next_step(10.0 + SETTLING_SECONDS, PRESENT, ALL, LOST) is not None
    assert third.next_step(10.0 + SETTLING_SECONDS, PRESENT, ALL, LOST) is None
    assert third.next_step(10.0 + SETTLING_SECONDS + 2 * RANK_DELAY_SECONDS, PRESENT, ALL, LOST) is not None
    assert first.next_step(10.1 + SETTLING_SECONDS, PRESENT, ALL, LOST) is None
    step = first.next_step(10.0 + SETTLING_SECONDS + RETRY_DELAY_SECONDS, PRESENT, ALL, LOST)
    assert step is not None and [v.ip for v in step.voters] == ["10.0.0.1", "10.0.0.3", "10.0.0.4"]


def test_a_replica_without_a_vote_proposes_nothing_and_a_passing_cause_is_forgotten() -> None:
    without = Reconfiguration(seed("10.0.0.7"), Tolerance(1, 0), ABSENCE_TIMEOUT)
    assert without.next_step(10.0, PRESENT, ALL, LOST) is None and without.next_step(20.0, PRESENT, ALL, LOST) is None
    one = watcher("10.0.0.1")
    assert one.next_step(10.0, PRESENT, ALL, LOST) is None
    assert one.next_step(11.0, PRESENT, ALL, {}) is None
    assert one.next_step(20.0, PRESENT, ALL, LOST) is not None  # long settled: at once


def test_completeness_is_known_of_the_own_replica_and_reported_by_others() -> None:
    one = watcher("10.0.0.1")
    for now in (10.0, 11.0):
        assert one.next_step(now, PRESENT, set(), LOST) is None  # itself alone is no majority
    assert one.next_step(12.0, PRESENT, {"10.0.0.3", "10.0.0.9"}, LOST) is not None
    late = watcher("10.0.0.1")
    assert late.next_step(10.0, PRESENT, set(), LOST) is None
    assert late.next_step(10.0 + ABSENCE_TIMEOUT + 1.0, PRESENT, set(), LOST) is not None  # overdue
