"""Leases under random faults in virtual time: there are never two leaders, and a lost one is soon replaced.

`python -m lugspur.emulator duties` runs more seeds.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from lugspur.daemon.leases import timing
from lugspur.daemon.leases.candidate import STANDBY_CANDIDATES, rendezvous_order
from lugspur.daemon.leases.lease_term import LeaseTerm, RoundResult
from lugspur.daemon.leases.voter import LeaseVoter
from lugspur.emulator import duties
from lugspur.emulator.duties import LEASE_SECONDS, WARM_UP_SECONDS, TwoLeadersError, World, measure_takeover, play


@pytest.mark.parametrize("seed", range(24))
def test_there_are_never_two_leaders_whatever_fails(seed: int) -> None:
    world = play(seed, memory=seed % 3 > 0, voter_count=3 + 2 * (seed % 2), faults=30.0)
    assert world.leadership_count > 1


def is_caught(max_seeds: int, voters: int = 3, memory: bool = True) -> bool:
    for seed in range(max_seeds):
        try:
            play(seed, memory, voters)
        except TwoLeadersError:
            return True
        except AssertionError:
            continue
    return False


def test_a_build_without_the_margin_for_clock_drift_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "MAX_CLOCK_DRIFT", -0.06)
    assert is_caught(60)


def test_a_build_without_the_silence_after_a_start_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    original_init: Callable[..., None] = LeaseVoter.__init__

    def start_without_silence(self: LeaseVoter, lease: float, now: float, memory: object, floor: int) -> None:
        original_init(self, lease, now, memory, floor)
        self.silent_until = now

    monkeypatch.setattr(LeaseVoter, "__init__", start_without_silence)
    assert is_caught(60, memory=False)


def test_a_build_that_releases_promises_while_it_leads_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def abandon_round(self: LeaseTerm, now: float) -> RoundResult:
        requested_epoch, self._requested_epoch = self._requested_epoch, 0
        self._send_release(requested_epoch)
        return RoundResult.LOST

    monkeypatch.setattr(LeaseTerm, "abandon_round", abandon_round)
    assert is_caught(60)


@pytest.mark.parametrize("seed", range(10))
def test_a_killed_leader_is_replaced_within_two_leases(seed: int) -> None:
    assert measure_takeover(seed) <= 2.0 * LEASE_SECONDS


def test_a_role_is_taken_over_at_once_when_its_leader_resigns() -> None:
    for seed in range(10):
        world = World(seed)
        world.network.run(WARM_UP_SECONDS)
        [holder] = world.leaders()
        leadership_count = world.leadership_count
        holder.resign(world.network.clock(holder.address))
        world.network.flush(holder.address)
        takeover_seconds = world.network.run_until(lambda: world.leadership_count > leadership_count, 1.0, 0.001)  # noqa: B023
        assert takeover_seconds <= 0.2


def test_two_hundred_candidates_load_the_voters_little() -> None:
    world = World(1, others=197)
    network = world.network
    request_count = 0

    def on_flush(address: tuple[str, int], node: object) -> None:
        nonlocal request_count
        assert isinstance(node, duties.Node)
        request_count += len(node.candidate.term._outbox) if node.candidate is not None else 0

    network.on_flush = on_flush
    network.run(WARM_UP_SECONDS)
    assert len(world.leaders()) == 1
    request_count = 0
    network.run(60.0)
    # The holder and two standby candidates ask three voters about three times per lease; all others ask rarely.
    assert request_count / 60.0 <= 3 * 3 * (3 + STANDBY_CANDIDATES + 200 / 30) / LEASE_SECONDS
    assert len(world.leaders()) == 1


def test_one_of_three_voters_may_be_lost_and_two_may_not() -> None:
    world = World(3)
    world.network.run(WARM_UP_SECONDS)
    world.network.kill(world.address(0))
    world.network.run(4 * LEASE_SECONDS)
    assert len(world.leaders()) == 1
    world.network.kill(world.address(1))
    world.network.run(2 * LEASE_SECONDS)
    assert not world.leaders()  # A minority of the voters can't grant a lease.
    world.start(1)
    world.network.run(4 * LEASE_SECONDS)
    assert len(world.leaders()) == 1


def test_the_rendezvous_order_is_the_same_everywhere_and_stable_when_a_member_leaves() -> None:
    names = [f"m{number}" for number in range(50)]
    rng = Random(1)
    for role in ("a", "b", "c"):
        order = rendezvous_order(role, names)
        assert order == rendezvous_order(role, rng.sample(names, 50))
        without = [name for name in order if name != order[7]]
        assert rendezvous_order(role, without) == without
    assert rendezvous_order("a", names) != rendezvous_order("b", names)
