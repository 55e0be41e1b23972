"""Which replies make a new voter complete, and that they suffice over drawn chains of epochs."""

from __future__ import annotations

from random import Random

import pytest
from controlparts import FIRST, NEXT, SEEDS

from lugspur.mesh.control.catch_up_quorum import CatchUpQuorum
from lugspur.mesh.control.membership_entry import membership_entry, read_membership
from lugspur.mesh.control.messages import Membership, OverdueMembership, Voter
from lugspur.mesh.control.quorum import majority

LAST = Voter("10.0.0.5", "last", "z")
THIRD = OverdueMembership(3, [SEEDS[1], NEXT.voters[2], LAST], NEXT.voters, [SEEDS])
DRAWN_CHAINS = 400
STEPS = 120


def test_in_calm_times_a_complete_majority_of_the_previous_voters_has_to_reply() -> None:
    quorum = CatchUpQuorum(NEXT)
    a, b, c = (voter.ip for voter in SEEDS)
    assert (quorum.base_epoch, quorum.sources) == (1, {a, b, c})
    assert quorum.is_reached({a: True, c: True})
    assert not quorum.is_reached({a: True, b: False, c: False})
    assert not CatchUpQuorum(FIRST).is_reached({})


def test_behind_an_overdue_epoch_the_voters_of_the_epochs_before_count_too() -> None:
    quorum = CatchUpQuorum(THIRD)
    a, b, c = (voter.ip for voter in SEEDS)
    new = NEXT.voters[2].ip
    assert (quorum.base_epoch, quorum.sources) == (1, {a, b, c, new})
    assert not quorum.is_reached({b: True, new: False})  # the order of events of review/1
    assert quorum.is_reached({a: True, b: True})
    assert quorum.is_reached({b: True, c: True, new: False})
    assert not quorum.is_reached({b: True, c: True})  # of the second epoch's voters only one has replied


def test_a_replica_counts_by_its_latest_disk_alone() -> None:
    wiped = Voter(SEEDS[2].ip, "another-disk", "")
    with_wiped = [SEEDS[1], NEXT.voters[2], wiped]
    quorum = CatchUpQuorum(OverdueMembership(4, [NEXT.voters[2], wiped, LAST], with_wiped, [NEXT.voters, SEEDS]))
    assert quorum.includes(wiped) and not quorum.includes(SEEDS[2])


def test_a_membership_is_stored_with_earlier_voters_only_where_there_are_any() -> None:
    for membership in (NEXT, THIRD):
        assert read_membership(membership_entry(membership).value or b"") == membership
    plain = OverdueMembership(2, NEXT.voters, NEXT.previous_voters, [])
    assert type(read_membership(membership_entry(plain).value or b"")) is Membership


class DrawnChain:
    """Voters without messages: they grant keys, become complete by the quorum alone, and are replaced at random."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._membership = FIRST
        self._complete_epochs = dict.fromkeys(FIRST.voters, 1)
        self._held: dict[Voter, set[int]] = {voter: set() for voter in FIRST.voters}
        self._acquired: set[int] = set()
        self._replicas = 3

    def step(self) -> None:
        """Draw the next event."""
        self._rng.choice([self._grant, self._grant, self._catch_up, self._catch_up, self._replace])()
        self._check()

    def _complete_voters(self) -> list[Voter]:
        epoch = self._membership.epoch
        return [voter for voter in self._membership.voters if self._complete_epochs.get(voter) == epoch]

    def _grant(self) -> None:
        key = len(self._acquired) + 1
        complete = self._complete_voters()
        granting = self._rng.sample(complete, self._rng.randint(0, len(complete)))
        for voter in granting:
            self._held[voter].add(key)
        if len(granting) >= majority(len(self._membership.voters)):
            self._acquired.add(key)
        else:
            for voter in granting:
                self._held[voter].remove(key)

    def _catch_up(self) -> None:
        quorum = CatchUpQuorum(self._membership)
        sources = sorted((voter for voter in self._held if quorum.includes(voter)), key=str)
        heard = self._rng.sample(sources, self._rng.randint(0, len(sources)))
        for voter in set(self._membership.voters) - set(self._complete_voters()):
            asked = {*heard, *([voter] if quorum.includes(voter) else [])}
            replies = {v.ip: self._complete_epochs.get(v, 0) >= quorum.base_epoch for v in asked}
            if quorum.is_reached(replies):
                self._held[voter] |= set().union(*(self._held[v] for v in asked if replies[v.ip]))
                self._complete_epochs[voter] = self._membership.epoch

    def _replace(self) -> None:
        """Replace a voter by a new replica or by one that voted before; whatever the rules of tolerance say."""
        current = self._membership
        lost = self._rng.choice(current.voters)
        former = [voter for voter in self._held if voter.ip not in {v.ip for v in current.voters}]
        self._replicas += 1
        added = Voter(f"10.0.1.{self._replicas}", "u", "z")
        if former and self._rng.random() < 0.4:
            added = self._rng.choice(former)
        self._held.setdefault(added, set())
        stay = [voter for voter in self._complete_voters() if voter != lost]
        voters = [added if voter == lost else voter for voter in current.voters]
        earlier = [] if self._rng.random() < 0.3 else current.past_voters
        self._membership = OverdueMembership(current.epoch + 1, voters, current.voters, earlier)
        for voter in stay:
            self._complete_epochs[voter] = self._membership.epoch

    def _check(self) -> None:
        """Check that no majority could grant a key again that was acquired."""
        for key in self._acquired:
            lacking = [voter for voter in self._complete_voters() if key not in self._held[voter]]
            assert len(lacking) < majority(len(self._membership.voters)), (key, self._membership)


@pytest.mark.parametrize("first_seed", range(0, DRAWN_CHAINS, 100))
def test_no_key_can_be_acquired_twice_over_drawn_chains_of_epochs(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + 100):
        chain = DrawnChain(seed)
        for _ in range(STEPS):
            chain.step()


def count_complete_and_self(self: CatchUpQuorum, replies: dict[str, bool]) -> bool:
    """The former rule: a majority of the previous voters has replied, and any one of them was complete."""
    return len(replies) >= majority(len(self._past_voters[0])) and any(replies.values())


def test_drawn_chains_find_the_former_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CatchUpQuorum, "is_reached", count_complete_and_self)
    with pytest.raises(AssertionError):
        test_no_key_can_be_acquired_twice_over_drawn_chains_of_epochs(0)
