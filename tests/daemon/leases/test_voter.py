"""The promises of one lease voter: to which candidate, for how long, and which of them survive a restart."""

from __future__ import annotations

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease, RoleAvailable
from lugspur.daemon.leases.voter import (
    MAX_ROLES,
    MAX_WAITING_CANDIDATES,
    SAVE_RETRY_DELAY_SECONDS,
    CandidateId,
    LeaseVoter,
    Promise,
)

A, B, OLD_A = CandidateId("a", 1), CandidateId("b", 1), CandidateId("a", 0)
LEASE = 10.0


def new_voter(
    now: float = -LEASE, saved_promises: list[Promise] | None = None, is_durable: bool = False, epoch_floor: int = 0
) -> LeaseVoter:
    return LeaseVoter(LEASE, now, (saved_promises or []) if is_durable else None, epoch_floor)


def reply_of(voter: LeaseVoter, now: float, candidate: CandidateId, request: Message) -> Message | None:
    """Let the voter receive a request, and return its reply to the candidate."""
    voter.receive(now, candidate, request)
    replies = [message for name, message in voter.take_messages() if name == candidate.name]
    assert len(replies) <= 1
    return replies[0] if replies else None


def test_a_role_is_promised_to_one_candidate_until_the_promise_expires() -> None:
    voter = new_voter()
    assert reply_of(voter, 0.0, A, RequestLease("d", 1, 1, LEASE)) == GrantLease("d", 1, 1)
    assert reply_of(voter, 9.0, B, RequestLease("d", 2, 1, LEASE)) == DenyLease("d", 1, 1, "a", 1.0)
    assert reply_of(voter, 9.5, A, RequestLease("d", 1, 2, LEASE)) == GrantLease("d", 1, 2)
    assert reply_of(voter, 19.0, B, RequestLease("d", 2, 2, LEASE)) == DenyLease("d", 1, 2, "a", 0.5)
    # The epoch was already used.
    assert reply_of(voter, 19.5, B, RequestLease("d", 1, 3, LEASE)) == DenyLease("d", 1, 3, "", 0.0)
    assert reply_of(voter, 19.5, B, RequestLease("d", 2, 4, LEASE)) == GrantLease("d", 2, 4)
    # A promise that was not renewed yet may be released soon, so the candidate may ask again early.
    assert reply_of(voter, 19.5, A, RequestLease("d", 1, 3, LEASE)) == DenyLease("d", 2, 3, "b", 1.0)
    reply_of(voter, 20.0, B, RequestLease("d", 2, 5, LEASE))
    assert reply_of(voter, 20.0, A, RequestLease("d", 1, 4, LEASE)) == DenyLease("d", 2, 4, "b", 10.0)


def test_a_restarted_holder_is_another_candidate() -> None:
    voter = new_voter()
    reply_of(voter, 0.0, OLD_A, RequestLease("d", 1, 1, LEASE))
    assert reply_of(voter, 1.0, A, RequestLease("d", 2, 1, LEASE)) == DenyLease("d", 1, 1, "a", 1.0)
    voter.receive(1.0, A, ReleaseLease("d", 1, 5))
    assert voter.current_promise("d", 1.0) == (1, "a", 9.0)


def test_a_released_role_is_available_and_a_late_renewal_is_denied() -> None:
    voter = new_voter()
    reply_of(voter, 0.0, A, RequestLease("d", 1, 1, LEASE))
    reply_of(voter, 0.5, B, RequestLease("d", 2, 1, LEASE))
    voter.receive(1.0, A, ReleaseLease("d", 1, 1))
    assert voter.take_messages() == [("b", RoleAvailable("d", 1))]
    # The request is late or a duplicate.
    assert reply_of(voter, 1.0, A, RequestLease("d", 1, 1, LEASE)) == DenyLease("d", 1, 1, "", 0.0)
    assert reply_of(voter, 1.0, B, RequestLease("d", 2, 2, LEASE)) == GrantLease("d", 2, 2)
    voter.receive(1.1, A, ReleaseLease("d", 1, 1))
    assert voter.current_promise("d", 1.1)[:2] == (2, "b")


def test_a_release_by_another_candidate_or_of_an_older_round_is_ignored() -> None:
    voter = new_voter()
    reply_of(voter, 0.0, A, RequestLease("d", 3, 7, LEASE))
    for candidate, release in (
        (B, ReleaseLease("d", 3, 7)),
        (A, ReleaseLease("d", 2, 7)),
        (A, ReleaseLease("d", 4, 7)),
        (A, ReleaseLease("d", 3, 6)),
    ):
        voter.receive(1.0, candidate, release)
        assert voter.current_promise("d", 1.0) == (3, "a", 9.0)


def test_a_duplicate_request_gets_the_same_reply() -> None:
    voter = new_voter()
    for _ in range(10):
        assert reply_of(voter, 0.0, A, RequestLease("d", 1, 1, LEASE)) == GrantLease("d", 1, 1)
    assert reply_of(voter, 0.0, B, RequestLease("d", 9, 1, LEASE)) == DenyLease("d", 1, 1, "a", 1.0)


def test_a_voter_without_saved_promises_is_silent_for_a_lease_after_its_start() -> None:
    voter = new_voter(now=100.0, epoch_floor=5000)
    assert reply_of(voter, 101.0, A, RequestLease("d", 1, 1, LEASE)) == DenyLease("d", 5000, 1, "", 9.0)
    assert reply_of(voter, 110.0, A, RequestLease("d", 5000, 2, LEASE)) == DenyLease("d", 5000, 2, "", 0.0)
    assert reply_of(voter, 110.0, A, RequestLease("d", 5001, 3, LEASE)) == GrantLease("d", 5001, 3)


def test_a_voter_with_saved_promises_renews_only_the_holders_after_its_start() -> None:
    voter = new_voter(now=100.0, saved_promises=[Promise("d", 7, "a", 1)], is_durable=True)
    assert reply_of(voter, 101.0, B, RequestLease("d", 8, 1, LEASE)) == DenyLease("d", 7, 1, "", 9.0)
    assert reply_of(voter, 101.0, OLD_A, RequestLease("d", 7, 1, LEASE)) == DenyLease("d", 7, 1, "", 9.0)
    assert reply_of(voter, 101.0, A, RequestLease("d", 7, 1, LEASE)) == GrantLease("d", 7, 1)


def test_no_promise_is_sent_before_it_is_saved() -> None:
    voter = new_voter(is_durable=True)
    assert reply_of(voter, 0.0, A, RequestLease("d", 1, 1, LEASE)) is None
    assert reply_of(voter, 0.0, A, RequestLease("d", 1, 1, LEASE)) is None
    # The role is denied to other candidates until the first request is saved.
    assert reply_of(voter, 0.0, B, RequestLease("d", 2, 1, LEASE)) == DenyLease("d", 0, 1, "", SAVE_RETRY_DELAY_SECONDS)
    assert voter.promises() == [Promise("d", 1, "a", 1)]
    voter.unsaved_promises = {}
    voter.confirm_saved(5.0, ["d"])
    assert voter.take_messages() == [("a", GrantLease("d", 1, 1))]
    assert voter.current_promise("d", 5.0) == (1, "a", LEASE)  # counted from when the promise is sent
    assert reply_of(voter, 6.0, A, RequestLease("d", 1, 2, LEASE)) == GrantLease("d", 1, 2)  # A renewal is not saved.
    assert not voter.unsaved_promises


def test_a_promise_that_cannot_be_saved_is_not_sent_and_its_epoch_is_used_up() -> None:
    voter = new_voter(is_durable=True)
    reply_of(voter, 0.0, A, RequestLease("d", 1, 1, LEASE))
    voter.unsaved_promises = {}
    voter.confirm_saved(0.0, ["d"])
    voter.take_messages()
    reply_of(voter, 10.0, B, RequestLease("d", 2, 1, LEASE))
    voter.unsaved_promises = {}
    voter.report_save_failure(["d"])
    assert voter.take_messages() == []
    for candidate in (A, B):  # The disk may name either candidate.
        assert isinstance(reply_of(voter, 10.0, candidate, RequestLease("d", 2, 9, LEASE)), DenyLease)
    assert isinstance(reply_of(voter, 10.0, A, RequestLease("d", 1, 9, LEASE)), DenyLease)
    reply_of(voter, 10.0, B, RequestLease("d", 3, 2, LEASE))
    assert voter.promises() == [Promise("d", 3, "b", 1)]


def test_a_request_for_a_longer_lease_is_denied() -> None:
    assert reply_of(new_voter(), 0.0, A, RequestLease("d", 1, 1, LEASE + 1.0)) == DenyLease("d", 0, 1, "", LEASE)
    assert reply_of(new_voter(), 0.0, A, RequestLease("d", 1, 1, LEASE - 1.0)) == GrantLease("d", 1, 1)


def test_roles_and_waiting_candidates_are_bounded() -> None:
    voter = new_voter()
    for number in range(MAX_ROLES):
        assert isinstance(reply_of(voter, 0.0, A, RequestLease(f"d{number}", 1, 1, LEASE)), GrantLease)
    assert isinstance(reply_of(voter, 0.0, A, RequestLease("one more", 1, 1, LEASE)), DenyLease)
    for number in range(100):
        reply_of(voter, 0.0, CandidateId(f"w{number}", 1), RequestLease("d0", 2, 1, LEASE))
    voter.receive(0.0, A, ReleaseLease("d0", 1, 1))
    notified = [name for name, message in voter.take_messages() if isinstance(message, RoleAvailable)]
    assert notified == [f"w{number}" for number in range(100 - MAX_WAITING_CANDIDATES, 100)]
