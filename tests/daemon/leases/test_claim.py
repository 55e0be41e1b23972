"""When a process asks for a duty, and when again."""

from __future__ import annotations

from random import Random

from lugspur.daemon.leases.claim import RARELY_MOST, STANDBY, STEP, Claim, Turned
from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease, RoleAvailable
from lugspur.daemon.leases.span import RENEW, held_for

LEASE = 10.0
ELECTORS = ("x", "y", "z")


def claim(rank: int = 0) -> Claim:
    return Claim("d", ELECTORS, LEASE, 0.0, Random(1), lambda _: rank)


def wants(one: Claim) -> list[RequestLease]:
    return [word for _, word in one.take() if isinstance(word, RequestLease)]


def win(one: Claim, now: float) -> RequestLease:
    one.tick(now)
    want = wants(one)[0]
    for name in ("x", "y"):
        one.heard(now, name, GrantLease("d", want.epoch, want.round_number))
    return want


def turned(one: Claim) -> list[tuple[int, bool]]:
    return [(event.epoch, event.holds) for event in one.events() if isinstance(event, Turned)]


def test_it_is_in_office_from_before_it_asked_and_renews_in_time() -> None:
    one = claim()
    want = win(one, 0.0)
    assert turned(one) == [(1, True)]
    assert one.due() == RENEW * held_for(LEASE)
    assert one.epoch(held_for(LEASE) - 0.1) == 1 and one.epoch(held_for(LEASE)) is None
    assert one.epoch(1.0, held_for(LEASE) - 1.0) is None  # an act that would outlast it
    again = win(one, one.due())
    assert again.epoch == want.epoch and again.round_number > want.round_number and turned(one) == []


def test_one_that_wakes_late_is_out_of_office_before_anybody_tells_it() -> None:
    one = claim()
    win(one, 0.0)
    turned(one)
    assert one.epoch(100.0) is None  # asked before any timer had its turn
    one.tick(100.0)
    assert turned(one) == [(1, False)]


def test_promises_that_come_after_their_round_or_their_time_count_for_nothing() -> None:
    one = claim()
    one.tick(0.0)
    want = wants(one)[0]
    one.tick(one.due())  # given up
    for name in ELECTORS:
        one.heard(2.0, name, GrantLease("d", want.epoch, want.round_number))
    assert turned(one) == []
    for name in ELECTORS:
        one.heard(2.0, name, GrantLease("d", 99, 99))
        one.heard(2.0, "nobody", GrantLease("d", want.epoch, want.round_number + 1))
    assert turned(one) == [] and one.epoch(2.0) is None


def test_a_round_without_a_majority_is_taken_back() -> None:
    one = claim()
    one.tick(0.0)
    want = wants(one)[0]
    one.heard(0.0, "x", GrantLease("d", 1, want.round_number))
    for name in ("y", "z"):
        one.heard(0.0, name, DenyLease("d", 4, want.round_number, "other", 8.0))
    given: list[tuple[str, Message]] = one.take()
    assert given == [(name, ReleaseLease("d", 1, want.round_number)) for name in ELECTORS]
    assert one.due() >= 8.0 and one.term.holder == "other"
    one.tick(one.due())
    assert {word.epoch for word in wants(one)} == {5}


def test_a_holder_whose_epoch_was_passed_goes_on_under_a_greater_one() -> None:
    one = claim()
    win(one, 0.0)
    one.heard(1.0, "z", DenyLease("d", 7, 0, "", 0.0))
    want = win(one, one.due())
    assert want.epoch == 8 and turned(one) == [(1, True), (8, True)]


def test_one_that_hears_that_it_is_free_while_it_asks_asks_again_at_once() -> None:
    one = claim(rank=1)
    one.tick(STEP)
    want = wants(one)[0]
    one.heard(STEP, "x", RoleAvailable("d", 3))
    for name in ELECTORS:
        one.heard(STEP, name, DenyLease("d", 3, want.round_number, "former", 9.0))
    assert one.due() <= STEP + 1.0
    one.tick(one.due())
    assert {word.epoch for word in wants(one)} == {4}


def test_those_that_do_not_stand_by_ask_seldom_until_they_do() -> None:
    rank = 50
    one = Claim("d", ELECTORS, LEASE, 0.0, Random(1), lambda _: rank)
    assert LEASE * RARELY_MOST <= one.due() <= LEASE * (RARELY_MOST + 1)
    one.others_changed(1.0)
    assert one.due() > LEASE
    rank = STANDBY - 1
    one.others_changed(1.0)
    assert one.due() <= 1.0 + STEP * STANDBY


def test_one_that_hands_on_is_out_of_office_first_and_wants_it_no_more() -> None:
    one = claim()
    win(one, 0.0)
    one.take()
    assert one.hand_on(1.0)
    assert one.epoch(1.0) is None
    assert {type(word) for _, word in one.take()} == {ReleaseLease}
    assert one.due() == float("inf")
    one.heard(1.0, "x", RoleAvailable("d", 1))
    one.tick(5.0)
    assert wants(one) == []
    one.want(6.0)
    one.tick(6.0)
    assert {word.epoch for word in wants(one)} == {2}
