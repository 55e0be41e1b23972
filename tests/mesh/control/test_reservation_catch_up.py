"""A new voter reads the reservations of the earlier voters, including those that lost their votes."""

from __future__ import annotations

from controlparts import IPS, NEW, NEXT, SEEDS, replica, reserve, seed, voter_change

from lugspur.mesh.control.messages import (
    FetchReservations,
    Membership,
    OverdueMembership,
    ReservationsPage,
    StoredReservation,
    Voter,
)
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
    catch_up.receive(1.4, B, page(epoch=3))
    # The replica itself granted nothing, and doesn't know what the first voter was granted without the second one.
    assert not new.is_complete
    catch_up.receive(1.5, A, page(epoch=3))
    assert new.is_complete


def test_replies_of_incomplete_voters_do_not_count_towards_the_complete_majority() -> None:
    new, catch_up = new_voter()
    catch_up.tick(1.0)
    catch_up.receive(1.1, A, page(complete=False))
    catch_up.receive(1.1, C, page())
    # The first voter holds nothing of the epochs before the previous one, and the third may lack what others granted.
    assert not new.is_complete
    catch_up.receive(1.2, B, page())
    assert new.is_complete and reserve(new, b"b", epoch=2).is_taken


def test_a_voter_that_was_not_complete_counts_itself_in_the_epochs_in_which_it_granted_nothing() -> None:
    new, catch_up = new_voter()
    # The new voter replaced the third one, another one the first, and a further one the second, all before it has read.
    third_epoch = [SEEDS[1], NEXT.voters[2], Voter("10.0.0.5", "u5", "")]
    fourth_epoch = [*third_epoch[1:], Voter("10.0.0.6", "u6", "")]
    new.decide(1.0, voter_change(OverdueMembership(3, third_epoch, NEXT.voters, [SEEDS])))
    new.decide(1.0, voter_change(OverdueMembership(4, fourth_epoch, third_epoch, [NEXT.voters, SEEDS])))
    assert {ip for ip, _ in catch_up.tick(1.0).send} == {*IPS, "10.0.0.5"}
    catch_up.receive(1.1, A, page(epoch=4))
    catch_up.receive(1.1, C, page(epoch=4))
    # Two of the first epoch's voters were complete; the first and the new one are a majority of the second's.
    assert not new.is_complete  # of the third epoch's the new one alone
    catch_up.receive(1.2, "10.0.0.5", page(epoch=4, complete=False))
    assert new.is_complete and reserve(new, b"b", epoch=4).is_taken


AFTER_THE_FIRST_FROZE = Membership(3, [NEXT.voters[1], Voter("10.0.0.5", "last", "z"), NEXT.voters[2]], NEXT.voters)


def replies_of(voter: Replica, epoch: int) -> list[ReservationsPage]:
    """Return the pages that a replica sends to a new voter of an epoch."""
    replies = voter.handle(0.0, NEW, FetchReservations(epoch)).after_sync
    return [message for _, message in replies if isinstance(message, ReservationsPage)]


def test_a_new_voter_does_not_rely_on_one_that_stayed_without_the_reservations_of_the_others() -> None:
    # Guards against TWICE of review/1: a key that only lost or frozen voters held was granted a second time.
    first, second, third = seed(A), seed(B), seed(C)
    assert reserve(first, b"a").is_granted and reserve(third, b"a").is_granted  # acquired without the second voter
    new, catch_up = new_voter()  # which replaces the third voter, whose disk is lost
    second.decide(0.0, voter_change())
    for replica_of_epoch_3 in (second, new):
        replica_of_epoch_3.decide(0.0, voter_change(AFTER_THE_FIRST_FROZE))
    catch_up.tick(1.0)
    for reply in replies_of(second, epoch=3):
        catch_up.receive(1.1, B, reply)
    assert not new.is_complete and not reserve(new, b"b", epoch=3).is_granted
    for membership in (NEXT, AFTER_THE_FIRST_FROZE):  # the first voter runs on, without a vote
        first.decide(2.0, voter_change(membership))
    for reply in replies_of(first, epoch=3):
        catch_up.receive(2.1, A, reply)
    assert new.is_complete and reserve(new, b"b", epoch=3).is_taken
