"""Tests of a control node's latest contact with a majority, and of the node that proposes changes for all."""

from __future__ import annotations

from controlparts import IPS, replica, seed

from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.messages import Delta
from lugspur.mesh.control_node.majority_contact import MAX_PROPOSER_SILENCE_SECONDS, NO_CONTACT_SECONDS, MajorityContact

MAX_STALENESS = 0.8
FIRST, OWN, LAST = IPS  # the voters, in the order in which they propose


def contact() -> tuple[MajorityContact, Freshness]:
    """Return the contact of a voter that subscribes to the two others, and its record of their updates."""
    freshness = Freshness(1.0)
    for ip in (FIRST, LAST):
        freshness.subscribed(9.9, ip)
    return MajorityContact(OWN, seed(OWN), freshness, MAX_STALENESS), freshness


def receive_update(freshness: Freshness, now: float, ip: str, echoed_at: float | None = None) -> None:
    """Receive an update that was just sent; by default it echoes an update that was sent at the same time."""
    echo = now if echoed_at is None else echoed_at
    freshness.receive(now, ip, Delta("x", 1, now, 0.0, 1, False, True, 1, False, [], echo))


def test_the_first_voter_that_is_heard_proposes_for_all() -> None:
    majority, freshness = contact()
    receive_update(freshness, 10.0, FIRST)
    receive_update(freshness, 10.0, LAST)
    assert majority.age(10.0) == 0.0 and majority.preferred_proposer(10.0) == FIRST
    now = 10.0 + MAX_PROPOSER_SILENCE_SECONDS
    receive_update(freshness, now, LAST)
    assert majority.preferred_proposer(now) == OWN  # the first voter has been silent for too long


def test_a_partitioned_control_node_proposes_itself() -> None:
    majority, freshness = contact()
    receive_update(freshness, 10.0, FIRST)
    assert majority.preferred_proposer(10.0) == FIRST  # the first voter and this node are two of three
    receive_update(
        freshness, 12.0, FIRST, echoed_at=10.0
    )  # the first voter is heard but does not hear this node: a forwarded change would be lost
    assert majority.age(12.0) > MAX_STALENESS and majority.preferred_proposer(12.0) == OWN
    receive_update(freshness, 13.0, FIRST)
    freshness.disconnected(FIRST)
    assert majority.age(13.0) > MAX_STALENESS and majority.preferred_proposer(13.0) == OWN


def test_there_is_no_contact_without_a_membership() -> None:
    majority = MajorityContact(OWN, replica(OWN), Freshness(1.0), MAX_STALENESS)
    assert majority.age(10.0) == NO_CONTACT_SECONDS and majority.preferred_proposer(10.0) == OWN
