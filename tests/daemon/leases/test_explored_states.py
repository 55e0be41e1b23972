"""Explores every order of events in the smallest models; `python -m lugspur.bench.explore` explores larger ones."""

from __future__ import annotations

import pytest

from lugspur.bench.explore import FAULTY_BUILDS, Limits, configured_clock_drift, explore, find_violation


@pytest.mark.parametrize(
    "limits",
    [
        Limits(rounds=1, time_steps=2, has_disk=False, immediate_delivery=True),
        Limits(rounds=1, time_steps=0, restarts=1, has_disk=False, immediate_delivery=True),
        Limits(rounds=1, time_steps=1, releases=1, has_disk=False, immediate_delivery=True),
    ],
)
def test_in_every_order_of_events_there_is_one_leader_and_epochs_rise(limits: Limits) -> None:
    with configured_clock_drift():
        states, complete = explore(limits)
    assert complete and states > 1_000


@pytest.mark.parametrize("name", FAULTY_BUILDS)
def test_violations_of_faulty_builds_are_found(name: str) -> None:
    assert find_violation(name)
