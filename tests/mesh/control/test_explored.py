"""All orders of events in small worlds, with the production code; more worlds: `python -m lugspur.emulator explore`."""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from lugspur.emulator.control import guards, register_world, reservation_world
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.explorer import ExplorationResult, explore, random_walks
from lugspur.emulator.control.register_world import Limits, RegisterWorld
from lugspur.emulator.control.reservation_world import ReservationWorld

ONE_ORDER = Limits("one order", (("x", "a"),), retries=0, power_losses=1)
NEAREST = 300  # states that are explored in order of their distance
WALKED = 250  # states that are explored by random walks


def test_every_order_of_events_of_one_request() -> None:
    assert explore(lambda: RegisterWorld(ONE_ORDER), 20_000) == ExplorationResult(216, True)


@pytest.mark.parametrize(
    ("limits", "states"), list(zip(register_world.EXHAUSTIVE_WORLDS[:2], (149, 9_439), strict=True)), ids=str
)
def test_every_order_of_events_of_two_requests(limits: Limits, states: int) -> None:
    assert explore(partial(RegisterWorld, limits), 20_000) == ExplorationResult(states, True)


@pytest.mark.parametrize("limits", register_world.WORLDS, ids=lambda limits: limits.name)
def test_walks_through_worlds_of_the_register(limits: Limits) -> None:
    assert explore(partial(RegisterWorld, limits), NEAREST) == ExplorationResult(NEAREST, False)
    assert explore(partial(RegisterWorld, limits), WALKED, Random(3)) == ExplorationResult(WALKED, False)


@pytest.mark.parametrize("limits", reservation_world.WORLDS, ids=lambda limits: limits.name)
def test_walks_through_worlds_of_reservations(limits: reservation_world.Limits) -> None:
    assert explore(partial(ReservationWorld, limits), NEAREST) == ExplorationResult(NEAREST, False)
    assert explore(partial(ReservationWorld, limits), WALKED, Random(3)) == ExplorationResult(WALKED, False)


def walk_through_replaced_voters() -> None:
    """Walk through the world in which a key is held by voters that are killed, or frozen while they are replaced."""
    [limits] = [limits for limits in reservation_world.WORLDS if limits.name == guards.TWO_VOTERS_REPLACED]
    random_walks(partial(ReservationWorld, limits), guards.WALKS_PER_SEED, Random(12))


def test_walks_find_a_new_voter_that_relies_on_any_complete_one() -> None:
    # Guards against TWICE of review/1: a voter that stays doesn't hold what was granted without it.
    [guard] = [guard for guard in guards.GUARDS if guard.replacement is guards.any_complete_voter_suffices]
    walk_through_replaced_voters()
    with guards.disabled(guard), pytest.raises(Violation, match="ran for"):
        walk_through_replaced_voters()
