"""A single replica: its vote belongs to its disk, and it grants a key only while it is complete."""

from __future__ import annotations

from controlparts import FIRST, IPS, NEW, NEXT, SEEDS, item, only, replica, reserve, seed, voter_change

from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import (
    Accept,
    Change,
    FetchDecided,
    FetchReservations,
    Learn,
    Membership,
    ProposalNumber,
    ReservationsPage,
    ReserveKeyReply,
)
from lugspur.mesh.control.replica import COMPLETE_ROW

PROPOSAL = ProposalNumber(1, "a")


def test_another_epoch_is_reported_and_nothing_is_granted() -> None:
    voter = seed()
    old = reserve(voter, b"a", epoch=7)
    assert (old.is_granted, old.epoch, old.is_taken) == (False, 1, False)
    assert len(voter.reservations) == 0


def test_a_replica_stays_complete_only_from_one_epoch_to_the_next() -> None:
    voter = seed()
    voter.decide(0.0, voter_change())
    assert voter.is_complete and voter.was_complete
    older = Change("late", [membership_entry(FIRST)])
    voter.decide(0.0, older)
    assert voter.epoch == 2  # an older membership has no effect
    skipping = seed()
    later = Membership(4, NEXT.voters, NEXT.voters)
    skipping.learn(0.0, _pages_after(later))
    # The replica can't know what was granted in epoch 3.
    assert skipping.is_voter and not skipping.is_complete and not skipping.was_complete
    assert not reserve(skipping, b"a", epoch=4).is_granted
    former = seed(IPS[2])
    former.decide(0.0, voter_change())
    assert not former.is_complete and not former.is_voter and former.was_complete


def _pages_after(membership: Membership) -> list[Learn]:
    """Return the pages that a replica sends which has learned two further epochs and then `membership`."""
    source = seed()
    source.decide(0.0, voter_change())
    source.decide(0.0, voter_change(Membership(3, NEXT.voters, NEXT.voters)))
    source.decide(0.0, voter_change(membership))
    return source.register.pages_after(1)


def test_a_wiped_replica_has_no_vote_under_its_old_address() -> None:
    wiped = replica(IPS[0], "another-disk")
    wiped.learn(0.0, seed().register.pages_after(0))
    assert wiped.epoch == 1 and not wiped.is_voter and not wiped.is_complete and not reserve(wiped, b"a").is_granted


def test_an_accepted_change_of_the_voters_ends_granting_over_a_loss_of_power_too() -> None:
    voter = seed()
    accepted = voter.handle(0.0, None, Accept(2, PROPOSAL, voter_change()))
    assert not reserve(voter, b"a").is_granted
    rows = dict(replica().bootstrap(0.0, SEEDS).write) | dict(accepted.write)
    again = replica()
    again.restore([(k, v) for k, v in rows.items() if v is not None], 0.0)
    assert again.is_complete and not again.grants_reservations and not reserve(again, b"a").is_granted
    ordinary = seed()
    ordinary.handle(0.0, None, Accept(2, PROPOSAL, Change("c", [item("r", 1)])))
    assert reserve(ordinary, b"a").is_granted


def test_a_voter_has_the_new_epoch_on_disk_before_it_sends_reservations() -> None:
    voter, new = seed(), replica(NEW, "new")
    reserve(voter, b"a")
    # The voter grants in the old epoch until it knows the new one.
    assert only(voter.handle(0.0, NEW, FetchReservations(2))) == FetchDecided(1)
    voter.decide(0.0, voter_change())
    effects = voter.handle(0.0, NEW, FetchReservations(2))
    assert [key for key, _ in effects.write] == [COMPLETE_ROW] and not effects.send
    [(_, page)] = effects.after_sync
    assert isinstance(page, ReservationsPage) and page.is_last and [key for key, _ in page.reservations] == [b"k"]
    assert not reserve(voter, b"b", epoch=1).is_granted  # the old epoch has ended here
    new.learn(0.0, voter.register.pages_after(0))
    assert new.is_voter and not new.is_complete and not reserve(new, b"b", epoch=2).is_granted
    new.merge_reservations(0.0, [page])
    assert new.is_complete and reserve(new, b"b", epoch=2).is_taken
    again = voter.handle(0.0, NEW, FetchReservations(2))
    assert again.write and again.after_sync  # the reply is sent again, and again only after a sync


def test_a_former_voter_sends_its_reservations_and_an_incomplete_one_says_so() -> None:
    former = seed(IPS[2])
    reserve(former, b"a")
    former.decide(0.0, voter_change())
    [(_, page)] = former.handle(0.0, NEW, FetchReservations(2)).after_sync
    assert isinstance(page, ReservationsPage) and [key for key, _ in page.reservations] == [b"k"]
    other = replica("10.0.0.9", "other")
    other.learn(0.0, former.register.pages_after(0))
    assert other.handle(0.0, NEW, FetchReservations(2)).after_sync == []
    late = seed(IPS[1])  # this voter missed an epoch, and can't know what others granted there
    late.learn(0.0, _pages_after(Membership(4, NEXT.voters, NEXT.voters)))
    effects = late.handle(0.0, NEW, FetchReservations(4))
    assert effects.write and effects.after_sync == [(NEW, ReservationsPage(4, 0, [], True, was_complete=False))]


def test_a_new_voter_grants_a_key_with_two_reported_owners_to_neither() -> None:
    first, second, new = seed(IPS[0]), seed(IPS[1]), replica(NEW, "new")
    reserve(first, b"a")
    reserve(second, b"b")
    pages = []
    for voter in (first, second):
        voter.decide(0.0, voter_change())
        pages += [
            m for _, m in voter.handle(0.0, NEW, FetchReservations(2)).after_sync if isinstance(m, ReservationsPage)
        ]
    rows = dict(new.learn(0.0, first.register.pages_after(0)).write)
    rows |= dict(new.merge_reservations(0.0, pages).write)
    again = replica(NEW, "new")
    again.restore([(b"muid", b"new"), *((k, v) for k, v in rows.items() if v is not None)], 0.0)
    for holder in (new, again):
        assert holder.is_complete
        for by in (b"a", b"b", b"c"):
            reply = reserve(holder, by, epoch=2)
            assert isinstance(reply, ReserveKeyReply) and not reply.is_granted and reply.is_taken


def test_a_voter_becomes_complete_once_no_earlier_reservation_counts() -> None:
    new = replica(NEW, "new", window=60.0)
    source = seed()
    source.decide(0.0, voter_change())
    new.learn(100.0, source.register.pages_after(0))
    new.sweep(169.0)
    assert not new.is_complete
    effects = new.sweep(170.1)
    assert new.is_complete and effects.write == [(COMPLETE_ROW, b"\x02")]
    without = replica("10.0.0.9", "other", window=60.0)
    without.learn(0.0, source.register.pages_after(0))
    without.sweep(1000.0)
    assert not without.is_complete  # a replica without a vote is never complete


def test_a_replica_that_catches_up_is_sent_what_was_decided_since() -> None:
    voter = seed()
    assert voter.handle(0.0, None, FetchDecided(1)).send == []
    voter.decide(0.0, Change("c", [item("r", 1)]))
    [(_, page)] = voter.handle(0.0, None, FetchDecided(1)).send
    assert isinstance(page, Learn) and [i.entry.name for i in page.items] == ["r"]
