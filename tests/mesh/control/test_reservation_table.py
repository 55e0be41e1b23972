"""Reservations of one voter: grants of keys, responses that are stored for repeats, and the limits."""

from __future__ import annotations

from controlparts import SEEDS, replica, reserve, seed

from lugspur.mesh.control.messages import (
    BackendResponse,
    CompleteKey,
    ReleaseKey,
    ReserveKey,
    ReserveKeyReply,
    StoredReservation,
)
from lugspur.mesh.control.replica import GENESIS


def test_a_key_is_granted_to_one_owner_and_on_disk_before_the_reply() -> None:
    voter = seed()
    effects = voter.handle(0.0, None, ReserveKey(b"k", b"a", 1, 2.0))
    assert effects.write and not effects.send and isinstance(effects.after_sync[0][1], ReserveKeyReply)
    assert reserve(voter, b"a").is_granted  # a repeated request is granted and written again
    other = reserve(voter, b"b", 1.0)
    assert (other.is_granted, other.is_taken, other.is_running) == (False, True, True)
    assert not reserve(voter, b"b", 3.0).is_running  # the owner's request has ended with an unknown outcome


def test_a_response_is_sent_to_repeats_and_a_released_key_is_free() -> None:
    voter = seed()
    reserve(voter, b"a")
    voter.handle(1.0, None, CompleteKey(b"k", b"a", BackendResponse(200, b"", b"body")))
    repeat = reserve(voter, b"b", 1.0)
    assert repeat.response is not None and repeat.response.body == b"body" and not repeat.is_granted
    assert reserve(voter, b"a", 1.0).response is not None  # the owner repeats its own attempt
    voter.handle(1.0, None, ReleaseKey(b"k", b"a"))  # the operation has run, so that the release has no effect
    assert not reserve(voter, b"c", 1.0).is_granted
    reserve(voter, b"x", key=b"other")
    voter.handle(1.0, None, ReleaseKey(b"other", b"y"))  # the release of another owner has no effect
    assert not reserve(voter, b"z", key=b"other").is_granted
    voter.handle(1.0, None, ReleaseKey(b"other", b"x"))
    assert reserve(voter, b"z", key=b"other").is_granted


def test_a_response_is_stored_even_if_the_key_was_granted_to_another_owner() -> None:
    voter = seed()
    reserve(voter, b"loser")
    voter.handle(1.0, None, CompleteKey(b"k", b"winner", BackendResponse(200, b"", b"w")))
    repeat = reserve(voter, b"c", 1.0)
    assert repeat.response is not None and repeat.response.body == b"w"


def test_a_reservation_lasts_its_whole_window_over_a_restart() -> None:
    voter = seed(window=60.0)
    rows = dict(replica().bootstrap(0.0, SEEDS).write)
    rows |= dict(voter.handle(0.0, None, ReserveKey(b"k", b"a", 1, 2.0)).write)
    again = replica(uid="drawn", window=60.0)
    again.restore([(k, v) for k, v in rows.items() if v is not None], 1000.0)
    assert again.is_complete and again.voter.uid == GENESIS
    again.sweep(1065.0)
    assert not reserve(again, b"b", 1065.0).is_granted
    effects = again.sweep(1071.0)
    assert effects.write == [(b"ck", None)] and reserve(again, b"b", 1071.0).is_granted


def test_memory_is_bounded_by_denied_reservations_and_dropped_responses() -> None:
    voter = seed(memory=64 << 10)
    replies = [reserve(voter, b"a", key=b"%d" % n) for n in range(40)]
    assert 10 <= sum(v.is_granted for v in replies) <= 20 and not replies[-1].is_taken
    for n in range(10):
        voter.handle(0.0, None, CompleteKey(b"%d" % n, b"a", BackendResponse(200, b"", bytes(4000))))
    kept = [reserve(voter, b"b", key=b"%d" % n) for n in range(10)]
    assert kept[0].response is None and kept[0].is_taken and kept[9].response is not None


def test_reservations_are_sent_to_other_voters_in_pages_of_a_bounded_size() -> None:
    voter = seed()
    for n in range(40):
        reserve(voter, b"a", key=b"%d" % n)
        voter.handle(0.0, None, CompleteKey(b"%d" % n, b"a", BackendResponse(200, b"", bytes(60 << 10))))
    pages = voter.reservations.pages(0.0, 1)
    assert len(pages) > 3 and [p.is_last for p in pages] == [False] * (len(pages) - 1) + [True]
    assert [p.page for p in pages] == list(range(len(pages))) and sum(len(p.reservations) for p in pages) == 40


def test_a_key_with_two_reported_owners_is_granted_to_neither_until_it_completes() -> None:
    voter = seed()
    voter.reservations.merge(0.0, [(b"k", StoredReservation(b"a", 2.0))])
    voter.reservations.merge(0.0, [(b"k", StoredReservation(b"b", 1.0))])
    for by in (b"a", b"b", b"c"):
        reply = reserve(voter, by)
        assert not reply.is_granted and reply.is_taken
    voter.handle(
        1.0, None, CompleteKey(b"k", b"a", BackendResponse(200, b"", b"body"))
    )  # this owner had acquired the key
    assert reserve(voter, b"b", 1.0).response is not None
    voter.reservations.merge(1.0, [(b"k", StoredReservation(b"b", 9.0))])
    assert reserve(voter, b"b", 1.0).response is not None  # a stored response is final
