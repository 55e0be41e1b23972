"""Who sits on the next membership."""

from __future__ import annotations

from random import Random

import pytest

from lugspur.control.membership import Ballot, Presence, Steward, proposal, target
from lugspur.control.messages import Accept, Accepted, Membership, Prepare, Promise, Voter

ROSTER = Membership(4, [Voter(f"10.0.0.{n}", f"u{n}", f"z{n}") for n in (1, 2, 3)], 3)
THERE = {voter.ip: Presence(voter.uid, voter.zone) for voter in ROSTER.voters}
SPARE = {"10.0.0.4": Presence("u4", "z1"), "10.0.0.5": Presence("u5", "z2")}


def follows(
    replicas: dict[str, Presence],
    absent: dict[str, float] | None = None,
    voters: int = 3,
    full: tuple[int, ...] = (1, 2, 3),
) -> set[str] | None:
    found = proposal(ROSTER, replicas, absent or {}, 5.0, voters, {f"10.0.0.{n}" for n in full})
    if found is None:
        return None
    assert (found.epoch, found.before) == (5, 3)
    changed = {(s.ip, s.uid) for s in found.voters} ^ {(s.ip, s.uid) for s in ROSTER.voters}
    assert len(changed) <= 2  # one voter at a time
    return {f"{s.ip}/{s.uid}" for s in found.voters} - {f"{s.ip}/{s.uid}" for s in ROSTER.voters}


@pytest.mark.parametrize(
    ("machines", "zones", "voters"), [(0, 0, 3), (1, 0, 3), (2, 0, 5), (3, 0, 7), (0, 1, 3), (0, 2, 5)]
)
def test_as_many_voters_as_the_losses_ask_for(machines: int, zones: int, voters: int) -> None:
    assert target(machines, zones) == voters


def test_nothing_changes_without_a_cause_or_without_a_candidate() -> None:
    assert follows(THERE | SPARE) is None
    assert follows(THERE, {"10.0.0.1": 99.0}) is None
    assert follows(THERE | SPARE, {"10.0.0.1": 4.0}) is None


def test_a_voter_that_is_out_of_reach_leaves_or_has_another_disk_is_replaced() -> None:
    assert follows(THERE | SPARE, {"10.0.0.1": 6.0}) == {"10.0.0.4/u4"}  # the zone that has least voters then
    assert follows(THERE | SPARE, {"10.0.0.2": 6.0}) == {"10.0.0.5/u5"}
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    assert follows(THERE | SPARE | leaving) == {"10.0.0.5/u5"}
    assert follows(THERE | leaving) is None
    assert follows(THERE | {"10.0.0.3": Presence("wiped", "z3")}) == {"10.0.0.3/wiped"}
    gone = {"10.0.0.4": Presence("u4", "z1", True)}  # a candidate that leaves is none
    assert follows(THERE | gone, {"10.0.0.1": 6.0}) is None


def test_nobody_goes_that_the_one_who_comes_must_learn_from() -> None:
    leaving = {"10.0.0.2": Presence("u2", "z2", True)}
    assert follows(THERE | SPARE | leaving, full=(1, 2)) is None  # the third has not caught up: one would be left
    assert follows(THERE | SPARE | leaving, full=(1, 3)) == {"10.0.0.5/u5"}
    assert follows(THERE | SPARE, {"10.0.0.1": 6.0}, full=(2, 3)) == {"10.0.0.4/u4"}
    assert follows(THERE | {"10.0.0.3": Presence("wiped", "z3")}, full=(1, 3)) is None
    assert follows(THERE | {"10.0.0.3": Presence("wiped", "z3")}, full=(1, 2)) == {"10.0.0.3/wiped"}


def test_a_ballot_goes_above_the_one_it_was_refused_for() -> None:
    steward = Steward("10.0.0.1", Random(1))
    wanted = Membership(5, ROSTER.voters, 3)
    steward.look(10.0, ROSTER, wanted)
    [opened] = steward.look(20.0, ROSTER, wanted).send
    assert isinstance(opened, Prepare) and opened.ballot[0] < 9_000_000
    assert steward.ballot is not None
    steward.ballot.promise("10.0.0.2", Promise(4, opened.ballot, False, higher=9_000_000))
    [again] = steward.look(30.0, ROSTER, wanted).send
    assert isinstance(again, Prepare) and again.ballot[0] == 9_000_001


def test_too_few_voters_are_filled_one_by_one() -> None:
    assert follows(THERE | SPARE, voters=5) in ({"10.0.0.4/u4"}, {"10.0.0.5/u5"})


def test_a_ballot_asks_for_what_another_may_have_decided() -> None:
    mine, other = Membership(5, ROSTER.voters, 3), Membership(5, ROSTER.voters[:2], 3)
    ballot = Ballot(ROSTER, mine, 7, "10.0.0.1")
    ballot.begin()
    assert ballot.promise("10.0.0.1", Promise(4, (7, "10.0.0.1"), True)).send == []
    assert ballot.promise("10.0.0.1", Promise(4, (7, "10.0.0.1"), True)).send == []  # one voter is one promise
    [asked] = ballot.promise("10.0.0.2", Promise(4, (7, "10.0.0.1"), True, (3, "x"), other)).send
    assert isinstance(asked, Accept) and asked.value == other
    assert ballot.accepted("10.0.0.1", Accepted(4, (7, "10.0.0.1"), True)).decided is None
    assert ballot.accepted("10.0.0.3", Accepted(3, (7, "10.0.0.1"), True)).decided is None  # of another epoch
    assert ballot.accepted("10.0.0.3", Accepted(4, (7, "10.0.0.1"), True)).decided == other


def test_stewards_take_turns_and_try_again_under_a_higher_number() -> None:
    first, second = Steward("10.0.0.1", Random(1)), Steward("10.0.0.3", Random(1))
    wanted = Membership(5, ROSTER.voters, 3)
    assert first.look(0.1, ROSTER, wanted).send == []  # the membership has to get round first
    assert first.look(0.45, ROSTER, wanted).send and not second.look(0.45, ROSTER, wanted).send
    assert first.ballot is not None
    number = first.ballot.number
    assert first.look(0.5, ROSTER, wanted).send == []
    assert first.look(2.0, ROSTER, wanted).send and first.ballot.number > number
