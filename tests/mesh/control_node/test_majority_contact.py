"""When a control node last had contact with a majority, and who proposes changes for all."""

from __future__ import annotations

from controlparts import IPS, replica, seed

from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.messages import Delta
from lugspur.mesh.control_node.majority_contact import NO_CONTACT_SECONDS, PROPOSER_SILENCE_SECONDS, MajorityContact

MAX_STALENESS = 0.8
FIRST, OWN, LAST = IPS  # the voters, in the order in which they propose


def contact() -> tuple[MajorityContact, Freshness]:
    """A voter that follows the two others."""
    freshness = Freshness(1.0)
    for ip in (FIRST, LAST):
        freshness.subscribed(9.9, ip)
    return MajorityContact(OWN, seed(OWN), freshness, MAX_STALENESS), freshness


def hear(freshness: Freshness, now: float, ip: str, echoed_at: float | None = None) -> None:
    """An update that was sent just now, by a clock like the one here; unless told, its sender hears this one."""
    echo = now if echoed_at is None else echoed_at
    freshness.receive(now, ip, Delta("x", 1, now, 0.0, 1, False, True, 1, False, [], echo))


def test_the_first_voter_that_is_heard_proposes_for_all() -> None:
    majority, freshness = contact()
    hear(freshness, 10.0, FIRST)
    hear(freshness, 10.0, LAST)
    assert majority.age(10.0) == 0.0 and majority.preferred_proposer(10.0) == FIRST
    now = 10.0 + PROPOSER_SILENCE_SECONDS
    hear(freshness, now, LAST)
    assert majority.preferred_proposer(now) == OWN  # the first one has been silent for too long


def test_a_control_node_that_is_cut_off_proposes_itself() -> None:
    majority, freshness = contact()
    hear(freshness, 10.0, FIRST)
    assert majority.preferred_proposer(10.0) == FIRST  # it and this one are two of three
    hear(freshness, 12.0, FIRST, echoed_at=10.0)  # it is heard and does not hear this one: what is forwarded is lost
    assert majority.age(12.0) > MAX_STALENESS and majority.preferred_proposer(12.0) == OWN
    hear(freshness, 13.0, FIRST)
    freshness.disconnected(FIRST)
    assert majority.age(13.0) > MAX_STALENESS and majority.preferred_proposer(13.0) == OWN


def test_without_a_membership_there_was_no_contact() -> None:
    majority = MajorityContact(OWN, replica(OWN), Freshness(1.0), MAX_STALENESS)
    assert majority.age(10.0) == NO_CONTACT_SECONDS and majority.preferred_proposer(10.0) == OWN
