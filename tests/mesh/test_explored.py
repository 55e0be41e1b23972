"""Every order of events in the smallest mesh, by the code that runs; larger: `python -m lugspur.emulator replicas`."""

from __future__ import annotations

from random import Random

import pytest

from lugspur.emulator.explorer import BROKEN, WORLDS, Limits, caught, explore


def test_one_claimant_over_a_voter_that_is_exchanged_and_a_connection_that_breaks() -> None:
    states, whole = explore(Limits("one", claimants=1, breaks=1, back=True), 20_000)
    assert whole and states > 300


@pytest.mark.parametrize("limits", WORLDS, ids=lambda limits: limits.name)
def test_walks_through_each_larger_world(limits: Limits) -> None:
    assert explore(limits, 1500, Random(3)) == (1500, False)  # walks reach a second run soon; the nearest states don't


@pytest.mark.parametrize(("name", "seed"), list(zip(BROKEN, (3, 3, 1), strict=True)))
def test_a_build_that_is_wrong_on_purpose_is_found_out(name: str, seed: int) -> None:
    way = caught(name, 4000, [seed])
    assert way.count("run ") == 2
