"""Explores every order of events in the smallest models; `python -m lugspur.bench.explore` explores larger ones."""

from __future__ import annotations

import pytest

from lugspur.bench.explore import BROKEN, Limits, caught, explore, told_apart


@pytest.mark.parametrize(
    "limits",
    [
        Limits(rounds=1, steps=2, memory=False, prompt=True),
        Limits(rounds=1, steps=0, restarts=1, memory=False, prompt=True),
        Limits(rounds=1, steps=1, downs=1, memory=False, prompt=True),
    ],
)
def test_in_every_order_of_events_there_is_one_leader_and_epochs_rise(limits: Limits) -> None:
    with told_apart():
        states, whole = explore(limits)
    assert whole and states > 1_000


@pytest.mark.parametrize("name", BROKEN)
def test_builds_that_are_wrong_are_caught(name: str) -> None:
    assert caught(name)
