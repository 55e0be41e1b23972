"""When a candidate requests the lease of a role, and when it retries."""

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
VOTERS = ("x", "y", "z")


def new_candidate(rank: int = 0) -> Candidate:
    return Candidate("d", VOTERS, LEASE, 0.0, Random(1), lambda _: rank)


def requests(candidate: Candidate) -> list[RequestLease]:
    return [message for _, message in candidate.take_messages() if isinstance(message, RequestLease)]


def win_round(candidate: Candidate, now: float) -> RequestLease:
    candidate.tick(now)
    request = requests(candidate)[0]
    for name in ("x", "y"):
        candidate.receive(now, name, GrantLease("d", request.epoch, request.round_number))
    return request


def leadership_changes(candidate: Candidate) -> list[tuple[int, bool]]:
    return [(event.epoch, event.is_leader) for event in candidate.take_events() if isinstance(event, LeadershipChanged)]


def test_the_lease_counts_from_before_the_request_and_is_renewed_in_time() -> None:
    candidate = new_candidate()
    request = win_round(candidate, 0.0)
    assert leadership_changes(candidate) == [(1, True)]
    assert candidate.due() == RENEWAL_FRACTION * holder_lease_seconds(LEASE)
    assert (
        candidate.fencing_token(holder_lease_seconds(LEASE) - 0.1) == 1
        and candidate.fencing_token(holder_lease_seconds(LEASE)) is None
    )
    # The action would outlast the lease.
    assert candidate.fencing_token(1.0, holder_lease_seconds(LEASE) - 1.0) is None
    again = win_round(candidate, candidate.due())
    assert (
        again.epoch == request.epoch
        and again.round_number > request.round_number
        and leadership_changes(candidate) == []
    )


def test_a_suspended_process_has_lost_its_lease_before_any_message_or_timer() -> None:
    candidate = new_candidate()
    win_round(candidate, 0.0)
    leadership_changes(candidate)
    assert candidate.fencing_token(100.0) is None  # before any timer has run
    candidate.tick(100.0)
    assert leadership_changes(candidate) == [(1, False)]


def test_promises_of_a_former_round_or_of_an_unknown_voter_are_ignored() -> None:
    candidate = new_candidate()
    candidate.tick(0.0)
    request = requests(candidate)[0]
    candidate.tick(candidate.due())  # The round is abandoned.
    for name in VOTERS:
        candidate.receive(2.0, name, GrantLease("d", request.epoch, request.round_number))
    assert leadership_changes(candidate) == []
    for name in VOTERS:
        candidate.receive(2.0, name, GrantLease("d", 99, 99))
        candidate.receive(2.0, "nobody", GrantLease("d", request.epoch, request.round_number + 1))
    assert leadership_changes(candidate) == [] and candidate.fencing_token(2.0) is None


def test_the_promises_of_a_round_without_a_majority_are_released() -> None:
    candidate = new_candidate()
    candidate.tick(0.0)
    request = requests(candidate)[0]
    candidate.receive(0.0, "x", GrantLease("d", 1, request.round_number))
    for name in ("y", "z"):
        candidate.receive(0.0, name, DenyLease("d", 4, request.round_number, "other", 8.0))
    released: list[tuple[str, Message]] = candidate.take_messages()
    assert released == [(name, ReleaseLease("d", 1, request.round_number)) for name in VOTERS]
    assert candidate.due() >= 8.0 and candidate.term.holder == "other"
    candidate.tick(candidate.due())
    assert {message.epoch for message in requests(candidate)} == {5}


def test_a_leader_whose_epoch_was_superseded_renews_under_a_higher_one() -> None:
    candidate = new_candidate()
    win_round(candidate, 0.0)
    candidate.receive(1.0, "z", DenyLease("d", 7, 0, "", 0.0))
    request = win_round(candidate, candidate.due())
    assert request.epoch == 8 and leadership_changes(candidate) == [(1, True), (8, True)]


def test_a_release_during_a_round_leads_to_another_round_at_once() -> None:
    candidate = new_candidate(rank=1)
    candidate.tick(STANDBY_STAGGER_SECONDS)
    request = requests(candidate)[0]
    candidate.receive(STANDBY_STAGGER_SECONDS, "x", RoleAvailable("d", 3))
    for name in VOTERS:
        candidate.receive(STANDBY_STAGGER_SECONDS, name, DenyLease("d", 3, request.round_number, "former", 9.0))
    assert candidate.due() <= STANDBY_STAGGER_SECONDS + 1.0
    candidate.tick(candidate.due())
    assert {message.epoch for message in requests(candidate)} == {4}


def test_candidates_beyond_the_standbys_ask_rarely_until_they_stand_by() -> None:
    rank = 50
    candidate = Candidate("d", VOTERS, LEASE, 0.0, Random(1), lambda _: rank)
    assert LEASE * MAX_RETRY_DELAY_LEASES <= candidate.due() <= LEASE * (MAX_RETRY_DELAY_LEASES + 1)
    candidate.handle_membership_change(1.0)
    assert candidate.due() > LEASE
    rank = STANDBY_CANDIDATES - 1
    candidate.handle_membership_change(1.0)
    assert candidate.due() <= 1.0 + STANDBY_STAGGER_SECONDS * STANDBY_CANDIDATES


def test_resigning_ends_leadership_before_the_release_and_stops_the_campaign() -> None:
    candidate = new_candidate()
    win_round(candidate, 0.0)
    candidate.take_messages()
    assert candidate.resign(1.0)
    assert candidate.fencing_token(1.0) is None
    assert {type(message) for _, message in candidate.take_messages()} == {ReleaseLease}
    assert candidate.due() == float("inf")
    candidate.receive(1.0, "x", RoleAvailable("d", 1))
    candidate.tick(5.0)
    assert requests(candidate) == []
    candidate.campaign(6.0)
    candidate.tick(6.0)
    assert {message.epoch for message in requests(candidate)} == {2}
