"""Guarantees over random histories. `python -m lugspur.emulator control` runs thousands of them."""

from __future__ import annotations

from typing import Any

import pytest

from lugspur.emulator.control import histories
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.mesh_world import HistoryCounters
from lugspur.emulator.control.settings import (
    COMPLETE_BY_TIME,
    HASTY_LOSSES,
    MANY_CHANGES,
    OVERLAPPING_LOSSES,
    SETTINGS,
    Setting,
)
from lugspur.mesh.control import reservation_client
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import ReserveKey, Voter
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.reservation_table import ReservationTable
from lugspur.mesh.control.voter_membership import ClusterView

DRAWN = [(seed, setting) for number, setting in enumerate(SETTINGS) for seed in range(5 if number < 5 else 4)]
LONG = [(seed, setting) for setting in (*COMPLETE_BY_TIME, *HASTY_LOSSES, *OVERLAPPING_LOSSES) for seed in range(2)]


@pytest.mark.parametrize(("seed", "setting"), [*DRAWN, *LONG], ids=str)
def test_guarantees_hold_over_random_losses(seed: int, setting: Setting) -> None:
    histories.play(100 + seed, setting)


@pytest.mark.parametrize("seed", [73, 116])
def test_a_node_that_subscribed_while_others_were_frozen_recovers(seed: int) -> None:
    histories.play(seed, OVERLAPPING_LOSSES[seed % len(OVERLAPPING_LOSSES)])


def total(played: list[HistoryCounters], name: str) -> int:
    return sum(getattr(counters, name) for counters in played)


def test_histories_contain_all_kinds_of_events_and_faults() -> None:
    played = [histories.play(seed, Setting(4, 1, 0)) for seed in range(12)]
    assert min(total(played, name) for name in ("confirmed", "refused", "reads", "runs")) > 20
    faults: set[str] = set().union(*(counters.faults for counters in played))
    assert {"kill", "wipe", "replace", "leave", "cut", "power"} <= faults
    assert total(played, "unclear") + total(played, "no_quorum") > 10
    assert max(counters.epochs for counters in played) > 2


@pytest.mark.parametrize("setting", MANY_CHANGES, ids=str)
def test_a_node_that_missed_hundreds_of_changes_learns_them_soon(setting: Setting) -> None:
    played = [histories.play(seed, setting) for seed in range(2)]
    assert max(counters.missed_changes for counters in played) > 100
    assert all(counters.caught_up_after_s < 1.0 for counters in played)


def test_voters_become_complete_by_time_if_no_reservations_arrive() -> None:
    played = [histories.play(seed, COMPLETE_BY_TIME[3]) for seed in range(3)]
    assert max(counters.recovered_after_s for counters in played) > 5.0
    assert total(played, "runs") > 20


def finds_violation(settings: list[Setting], seeds: int) -> bool:
    """Whether the history of some seed violates a guarantee."""
    for seed in range(seeds):
        try:
            histories.play(seed, settings[seed % len(settings)])
        except Violation:
            return True
    return False


_reserve, _sweep = ReservationTable.reserve, Replica.sweep


def grant_twice(self: ReservationTable, now: float, peer: Any, message: ReserveKey, epoch: int) -> Effects:
    self._drop(message.key)
    return _reserve(self, now, peer, message, epoch)


def complete_too_soon(self: Replica, now: float) -> Effects:
    effects = _sweep(self, now)
    if self.is_voter and not self.is_complete and now - self.epoch_learned_at > 0.5:
        effects.add(self._become_complete())
    return effects


def never_complete_by_time(self: Replica, now: float) -> Effects:
    return self.reservations.sweep(now)


def never_overdue(self: ClusterView, voter: Voter) -> bool:
    return len(self.complete_voters - {voter.ip}) >= majority(len(self.membership.voters))


@pytest.mark.parametrize(
    ("owner", "name", "faulty", "settings"),
    [
        (ReservationTable, "reserve", grant_twice, [SETTINGS[0]]),  # a voter forgets to which owner it granted a key
        (reservation_client, "majority", lambda count: 1, [SETTINGS[0]]),  # one grant is enough
        (Replica, "sweep", complete_too_soon, COMPLETE_BY_TIME),  # reservations of earlier epochs may still be valid
        (Replica, "sweep", never_complete_by_time, COMPLETE_BY_TIME),  # no voter becomes complete again
        (ClusterView, "may_lose_vote", never_overdue, COMPLETE_BY_TIME),  # a lost voter is never replaced
    ],
)
def test_histories_find_a_guard_that_is_missing(
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    faulty: Any,
    settings: list[Setting],
) -> None:
    monkeypatch.setattr(owner, name, faulty)
    assert finds_violation(settings, 40)


def test_histories_find_no_violation_while_all_guards_are_in_place() -> None:
    assert not finds_violation([SETTINGS[0]], 5)
