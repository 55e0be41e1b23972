"""A new voter reads the reservations of a majority of the previous voters, including the one that lost its vote."""

from __future__ import annotations

from controlparts import IPS, NEW, replica, reserve, seed, voter_change

from lugspur.mesh.control.messages import FetchReservations, Membership, ReservationsPage, StoredReservation, Voter
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.reservation_catch_up import RETRY_DELAY_SECONDS, ReservationCatchUp

A, B, C = IPS
RESERVATIONS: list[tuple[bytes, StoredReservation]] = [(b"k", StoredReservation(b"a", 2.0))]


def new_voter() -> tuple[Replica, ReservationCatchUp]:
    source, new = seed(), replica(NEW, "new")
    source.decide(0.0, voter_change())
    new.learn(0.0, source.register.pages_after(0))
    return new, ReservationCatchUp(new)


def page(number: int = 0, last: bool = True, epoch: int = 2, complete: bool = True) -> ReservationsPage:
    return ReservationsPage(epoch, number, RESERVATIONS if complete else [], last, complete)


def test_a_new_voter_asks_the_previous_voters_and_again_after_a_timeout() -> None:
    _, catch_up = new_voter()
    assert catch_up.tick(1.0).send == [
        (ip, FetchReservations(2)) for ip in IPS
    ]  # C, too, which lost its vote but still holds reservations
    assert catch_up.tick(1.0 + RETRY_DELAY_SECONDS / 2).send == []
    catch_up.receive(1.2, A, page())
    assert [ip for ip, _ in catch_up.tick(1.0 + RETRY_DELAY_SECONDS).send] == [B, C]


def test_a_majority_makes_a_new_voter_complete_and_one_other_voter_does_not() -> None:
    new, catch_up = new_voter()
    catch_up.tick(1.0)
    catch_up.receive(1.1, A, page())
    catch_up.receive(1.1, A, page())
    catch_up.receive(1.1, "10.0.0.9", page())
    catch_up.receive(1.1, NEW, page())
    catch_up.receive(1.1, B, page(epoch=1))
    assert not new.is_complete
    effects = catch_up.receive(1.2, C, page())
    assert new.is_complete and effects.write and reserve(new, b"b", epoch=2).is_taken
    assert catch_up.tick(9.0).send == []


def test_a_reply_counts_only_with_all_of_its_pages() -> None:
    new, catch_up = new_voter()
    catch_up.tick(1.0)
    catch_up.receive(1.1, A, page())
    catch_up.receive(1.1, B, page(1))  # the first page of the reply is missing
    catch_up.receive(1.1, B, page(0, False))
    catch_up.receive(1.1, B, page(2))
    assert not new.is_complete
    catch_up.disconnected(B)
    catch_up.receive(1.2, B, page(1))
    assert not new.is_complete
    catch_up.receive(1.2, B, page(0, False))
    catch_up.receive(1.2, B, page(1))
    assert new.is_complete


def test_replies_for_one_epoch_do_not_count_in_the_next() -> None:
    new, catch_up = new_voter()
    catch_up.tick(1.0)
    catch_up.receive(1.1, A, page())
    voters = new.membership.voters if new.membership is not None else []
    new.decide(1.2, voter_change(Membership(3, voters, voters)))
    catch_up.receive(1.3, B, page())
    catch_up.tick(1.3)
    assert not new.is_complete
    catch_up.receive(1.4, B, page(epoch=3))  # the replica itself counts too: it was a voter that had granted nothing
    assert new.is_complete


def test_replies_of_incomplete_voters_count_only_together_with_one_of_a_complete_voter() -> None:
    new, catch_up = new_voter()
    catch_up.tick(1.0)
    catch_up.receive(1.1, A, page(complete=False))
    catch_up.receive(1.1, B, page(complete=False))
    assert not new.is_complete  # neither voter holds the reservations of epochs before the previous one
    catch_up.receive(1.2, C, page())
    assert new.is_complete and reserve(new, b"b", epoch=2).is_taken


def test_a_voter_that_was_not_complete_counts_itself() -> None:
    new, catch_up = new_voter()
    voters = new.membership.voters if new.membership is not None else []
    four = [*voters, Voter("10.0.0.5", "u5", "")]
    five = [*four, Voter("10.0.0.6", "u6", "")]
    # Each membership adds one voter; the replica receives no reservations in between.
    for membership in (Membership(3, four, voters), Membership(4, five, four), Membership(5, five, five)):
        new.decide(1.0, voter_change(membership))
    catch_up.tick(1.0)
    catch_up.receive(1.1, A, page(epoch=5))
    assert not new.is_complete
    catch_up.receive(1.1, B, page(epoch=5))  # two of five voters, and the replica itself
    assert new.is_complete
