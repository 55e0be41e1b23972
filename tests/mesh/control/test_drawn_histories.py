"""Guarantees over randomly drawn histories; thousands of them: `python -m lugspur.emulator control`."""

from __future__ import annotations

from typing import Any

import pytest

from lugspur.emulator.control import histories
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.mesh_world import Figures
from lugspur.emulator.control.settings import COMPLETE_BY_TIME, HASTY_LOSSES, MANY_CHANGES, SETTINGS, Setting
from lugspur.mesh.control import reservation_client
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import ReserveKey, Voter
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.reservation_table import ReservationTable
from lugspur.mesh.control.voter_membership import ClusterView

DRAWN = [(seed, setting) for number, setting in enumerate(SETTINGS) for seed in range(5 if number < 5 else 4)]
LONG = [(seed, setting) for setting in (*COMPLETE_BY_TIME, *HASTY_LOSSES) for seed in range(2)]


@pytest.mark.parametrize(("seed", "setting"), [*DRAWN, *LONG], ids=str)
def test_promises_hold_over_drawn_losses(seed: int, setting: Setting) -> None:
    histories.play(100 + seed, setting)


def total(found: list[Figures], of: str) -> int:
    return sum(getattr(figures, of) for figures in found)


def test_histories_bring_about_what_they_are_for() -> None:
    found = [histories.play(seed, Setting(4, 1, 0)) for seed in range(12)]
    assert min(total(found, name) for name in ("confirmed", "refused", "reads", "runs")) > 20
    faults: set[str] = set().union(*(figures.faults for figures in found))
    assert {"kill", "wipe", "replace", "leave", "cut", "power"} <= faults
    assert total(found, "unclear") + total(found, "turned_away") > 10
    assert max(figures.epochs for figures in found) > 2


@pytest.mark.parametrize("setting", MANY_CHANGES, ids=str)
def test_a_node_that_missed_hundreds_of_changes_learns_them_soon(setting: Setting) -> None:
    found = [histories.play(seed, setting) for seed in range(2)]
    assert max(figures.missed for figures in found) > 100
    assert all(figures.caught_up_after < 1.0 for figures in found)


def test_voters_become_complete_by_time_where_no_reservations_arrive() -> None:
    found = [histories.play(seed, COMPLETE_BY_TIME[3]) for seed in range(3)]
    assert max(figures.well_after for figures in found) > 5.0
    assert total(found, "runs") > 20


def caught(settings: list[Setting], seeds: int) -> bool:
    """Whether some seed shows a broken promise."""
    for seed in range(seeds):
        try:
            histories.play(seed, settings[seed % len(settings)])
        except Violation:
            return True
    return False


_claim, _sweep = ReservationTable.reserve, Replica.sweep


def grants_twice(self: ReservationTable, now: float, peer: Any, message: ReserveKey, epoch: int) -> Effects:
    self._drop(message.key)
    return _claim(self, now, peer, message, epoch)


def complete_too_soon(self: Replica, now: float) -> Effects:
    effects = _sweep(self, now)
    if self.is_voter and not self.is_complete and now - self.epoch_learned_at > 0.5:
        effects.add(self._become_complete())
    return effects


def never_complete_by_time(self: Replica, now: float) -> Effects:
    return self.reservations.sweep(now)


def goes_never(self: ClusterView, voter: Voter) -> bool:
    return len(self.complete_voters - {voter.ip}) >= majority(len(self.membership.voters))


@pytest.mark.parametrize(
    ("where", "name", "wrong", "settings"),
    [
        (ReservationTable, "reserve", grants_twice, [SETTINGS[0]]),  # a voter that forgets whom it granted a key
        (reservation_client, "majority", lambda count: 1, [SETTINGS[0]]),  # one grant is enough
        (Replica, "sweep", complete_too_soon, COMPLETE_BY_TIME),  # claims of earlier epochs may still count
        (Replica, "sweep", never_complete_by_time, COMPLETE_BY_TIME),  # nobody is complete ever again
        (ClusterView, "may_lose_vote", goes_never, COMPLETE_BY_TIME),  # a lost voter is never replaced
    ],
)
def test_a_guard_that_is_taken_out_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    where: Any,
    name: str,
    wrong: Any,
    settings: list[Setting],
) -> None:
    monkeypatch.setattr(where, name, wrong)
    assert caught(settings, 40)


def test_without_a_wrong_guard_nothing_is_caught() -> None:
    assert not caught([SETTINGS[0]], 5)
