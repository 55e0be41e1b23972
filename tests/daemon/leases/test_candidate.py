"""When a process asks for a duty, and when again."""

from __future__ import annotations

from random import Random

from lugspur.daemon.leases.candidate import (
    MAX_RETRY_DELAY_LEASES,
    STANDBY_CANDIDATES,
    STANDBY_STAGGER_SECONDS,
    Candidate,
    LeadershipChanged,
)
from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease, RoleAvailable
from lugspur.daemon.leases.timing import RENEWAL_FRACTION, holder_lease_seconds

LEASE = 10.0
ELECTORS = ("x", "y", "z")


def candidate(rank: int = 0) -> Candidate:
    return Candidate("d", ELECTORS, LEASE, 0.0, Random(1), lambda _: rank)


def wants(one: Candidate) -> list[RequestLease]:
    return [word for _, word in one.take_messages() if isinstance(word, RequestLease)]


def win(one: Candidate, now: float) -> RequestLease:
    one.tick(now)
    want = wants(one)[0]
    for name in ("x", "y"):
        one.receive(now, name, GrantLease("d", want.epoch, want.round_number))
    return want


def turned(one: Candidate) -> list[tuple[int, bool]]:
    return [(event.epoch, event.is_leader) for event in one.take_events() if isinstance(event, LeadershipChanged)]


def test_it_is_in_office_from_before_it_asked_and_renews_in_time() -> None:
    one = candidate()
    want = win(one, 0.0)
    assert turned(one) == [(1, True)]
    assert one.due() == RENEWAL_FRACTION * holder_lease_seconds(LEASE)
    assert (
        one.fencing_token(holder_lease_seconds(LEASE) - 0.1) == 1
        and one.fencing_token(holder_lease_seconds(LEASE)) is None
    )
    assert one.fencing_token(1.0, holder_lease_seconds(LEASE) - 1.0) is None  # an act that would outlast it
    again = win(one, one.due())
    assert again.epoch == want.epoch and again.round_number > want.round_number and turned(one) == []


def test_one_that_wakes_late_is_out_of_office_before_anybody_tells_it() -> None:
    one = candidate()
    win(one, 0.0)
    turned(one)
    assert one.fencing_token(100.0) is None  # asked before any timer had its turn
    one.tick(100.0)
    assert turned(one) == [(1, False)]


def test_promises_that_come_after_their_round_or_their_time_count_for_nothing() -> None:
    one = candidate()
    one.tick(0.0)
    want = wants(one)[0]
    one.tick(one.due())  # given up
    for name in ELECTORS:
        one.receive(2.0, name, GrantLease("d", want.epoch, want.round_number))
    assert turned(one) == []
    for name in ELECTORS:
        one.receive(2.0, name, GrantLease("d", 99, 99))
        one.receive(2.0, "nobody", GrantLease("d", want.epoch, want.round_number + 1))
    assert turned(one) == [] and one.fencing_token(2.0) is None


def test_a_round_without_a_majority_is_taken_back() -> None:
    one = candidate()
    one.tick(0.0)
    want = wants(one)[0]
    one.receive(0.0, "x", GrantLease("d", 1, want.round_number))
    for name in ("y", "z"):
        one.receive(0.0, name, DenyLease("d", 4, want.round_number, "other", 8.0))
    given: list[tuple[str, Message]] = one.take_messages()
    assert given == [(name, ReleaseLease("d", 1, want.round_number)) for name in ELECTORS]
    assert one.due() >= 8.0 and one.term.holder == "other"
    one.tick(one.due())
    assert {word.epoch for word in wants(one)} == {5}


def test_a_holder_whose_epoch_was_passed_goes_on_under_a_greater_one() -> None:
    one = candidate()
    win(one, 0.0)
    one.receive(1.0, "z", DenyLease("d", 7, 0, "", 0.0))
    want = win(one, one.due())
    assert want.epoch == 8 and turned(one) == [(1, True), (8, True)]


def test_one_that_hears_that_it_is_free_while_it_asks_asks_again_at_once() -> None:
    one = candidate(rank=1)
    one.tick(STANDBY_STAGGER_SECONDS)
    want = wants(one)[0]
    one.receive(STANDBY_STAGGER_SECONDS, "x", RoleAvailable("d", 3))
    for name in ELECTORS:
        one.receive(STANDBY_STAGGER_SECONDS, name, DenyLease("d", 3, want.round_number, "former", 9.0))
    assert one.due() <= STANDBY_STAGGER_SECONDS + 1.0
    one.tick(one.due())
    assert {word.epoch for word in wants(one)} == {4}


def test_those_that_do_not_stand_by_ask_seldom_until_they_do() -> None:
    rank = 50
    one = Candidate("d", ELECTORS, LEASE, 0.0, Random(1), lambda _: rank)
    assert LEASE * MAX_RETRY_DELAY_LEASES <= one.due() <= LEASE * (MAX_RETRY_DELAY_LEASES + 1)
    one.members_changed(1.0)
    assert one.due() > LEASE
    rank = STANDBY_CANDIDATES - 1
    one.members_changed(1.0)
    assert one.due() <= 1.0 + STANDBY_STAGGER_SECONDS * STANDBY_CANDIDATES


def test_one_that_hands_on_is_out_of_office_first_and_wants_it_no_more() -> None:
    one = candidate()
    win(one, 0.0)
    one.take_messages()
    assert one.resign(1.0)
    assert one.fencing_token(1.0) is None
    assert {type(word) for _, word in one.take_messages()} == {ReleaseLease}
    assert one.due() == float("inf")
    one.receive(1.0, "x", RoleAvailable("d", 1))
    one.tick(5.0)
    assert wants(one) == []
    one.campaign(6.0)
    one.tick(6.0)
    assert {word.epoch for word in wants(one)} == {2}
