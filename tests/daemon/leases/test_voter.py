"""One elector's promises: to whom, for how long, and what a restart leaves of them."""

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


def elector(
    now: float = -LEASE, memory: list[Promise] | None = None, remembers: bool = False, floor: int = 0
) -> LeaseVoter:
    return LeaseVoter(LEASE, now, (memory or []) if remembers else None, floor)


def said(one: LeaseVoter, now: float, who: CandidateId, message: Message) -> Message | None:
    """What it answers."""
    one.receive(now, who, message)
    out = [word for name, word in one.take_messages() if name == who.name]
    assert len(out) <= 1
    return out[0] if out else None


def test_a_duty_is_promised_to_one_until_that_runs_out() -> None:
    one = elector()
    assert said(one, 0.0, A, RequestLease("d", 1, 1, LEASE)) == GrantLease("d", 1, 1)
    assert said(one, 9.0, B, RequestLease("d", 2, 1, LEASE)) == DenyLease("d", 1, 1, "a", 1.0)
    assert said(one, 9.5, A, RequestLease("d", 1, 2, LEASE)) == GrantLease("d", 1, 2)
    assert said(one, 19.0, B, RequestLease("d", 2, 2, LEASE)) == DenyLease("d", 1, 2, "a", 0.5)
    assert said(one, 19.5, B, RequestLease("d", 1, 3, LEASE)) == DenyLease("d", 1, 3, "", 0.0)  # that epoch is used
    assert said(one, 19.5, B, RequestLease("d", 2, 4, LEASE)) == GrantLease("d", 2, 4)
    assert said(one, 19.5, A, RequestLease("d", 1, 3, LEASE)) == DenyLease(
        "d", 2, 3, "b", 1.0
    )  # fresh: it may come to nothing
    said(one, 20.0, B, RequestLease("d", 2, 5, LEASE))
    assert said(one, 20.0, A, RequestLease("d", 1, 4, LEASE)) == DenyLease("d", 2, 4, "b", 10.0)


def test_another_life_of_the_holder_is_somebody_else() -> None:
    one = elector()
    said(one, 0.0, OLD_A, RequestLease("d", 1, 1, LEASE))
    assert said(one, 1.0, A, RequestLease("d", 2, 1, LEASE)) == DenyLease("d", 1, 1, "a", 1.0)
    one.receive(1.0, A, ReleaseLease("d", 1, 5))
    assert one.current_promise("d", 1.0) == (1, "a", 9.0)


def test_what_was_given_back_is_free_and_stays_so() -> None:
    one = elector()
    said(one, 0.0, A, RequestLease("d", 1, 1, LEASE))
    said(one, 0.5, B, RequestLease("d", 2, 1, LEASE))
    one.receive(1.0, A, ReleaseLease("d", 1, 1))
    assert one.take_messages() == [("b", RoleAvailable("d", 1))]
    assert said(one, 1.0, A, RequestLease("d", 1, 1, LEASE)) == DenyLease(
        "d", 1, 1, "", 0.0
    )  # late, or for the second time
    assert said(one, 1.0, B, RequestLease("d", 2, 2, LEASE)) == GrantLease("d", 2, 2)
    one.receive(1.1, A, ReleaseLease("d", 1, 1))
    assert one.current_promise("d", 1.1)[:2] == (2, "b")


def test_what_others_or_an_older_round_give_back_counts_for_nothing() -> None:
    one = elector()
    said(one, 0.0, A, RequestLease("d", 3, 7, LEASE))
    for who, give in (
        (B, ReleaseLease("d", 3, 7)),
        (A, ReleaseLease("d", 2, 7)),
        (A, ReleaseLease("d", 4, 7)),
        (A, ReleaseLease("d", 3, 6)),
    ):
        one.receive(1.0, who, give)
        assert one.current_promise("d", 1.0) == (3, "a", 9.0)


def test_the_same_message_ten_times_is_answered_as_once() -> None:
    one = elector()
    for _ in range(10):
        assert said(one, 0.0, A, RequestLease("d", 1, 1, LEASE)) == GrantLease("d", 1, 1)
    assert said(one, 0.0, B, RequestLease("d", 9, 1, LEASE)) == DenyLease("d", 1, 1, "a", 1.0)


def test_a_start_is_silent_for_a_lease() -> None:
    one = elector(now=100.0, floor=5000)
    assert said(one, 101.0, A, RequestLease("d", 1, 1, LEASE)) == DenyLease("d", 5000, 1, "", 9.0)
    assert said(one, 110.0, A, RequestLease("d", 5000, 2, LEASE)) == DenyLease("d", 5000, 2, "", 0.0)
    assert said(one, 110.0, A, RequestLease("d", 5001, 3, LEASE)) == GrantLease("d", 5001, 3)


def test_a_start_with_a_memory_goes_on_with_the_holder_alone() -> None:
    one = elector(now=100.0, memory=[Promise("d", 7, "a", 1)], remembers=True)
    assert said(one, 101.0, B, RequestLease("d", 8, 1, LEASE)) == DenyLease("d", 7, 1, "", 9.0)
    assert said(one, 101.0, OLD_A, RequestLease("d", 7, 1, LEASE)) == DenyLease("d", 7, 1, "", 9.0)
    assert said(one, 101.0, A, RequestLease("d", 7, 1, LEASE)) == GrantLease("d", 7, 1)


def test_nothing_is_told_before_it_is_written_down() -> None:
    one = elector(remembers=True)
    assert said(one, 0.0, A, RequestLease("d", 1, 1, LEASE)) is None
    assert said(one, 0.0, A, RequestLease("d", 1, 1, LEASE)) is None
    assert said(one, 0.0, B, RequestLease("d", 2, 1, LEASE)) == DenyLease(
        "d", 0, 1, "", SAVE_RETRY_DELAY_SECONDS
    )  # not before the first is settled
    assert one.promises() == [Promise("d", 1, "a", 1)]
    one.unsaved = {}
    one.confirm_saved(5.0, ["d"])
    assert one.take_messages() == [("a", GrantLease("d", 1, 1))]
    assert one.current_promise("d", 5.0) == (1, "a", LEASE)  # counted from when it is told
    assert said(one, 6.0, A, RequestLease("d", 1, 2, LEASE)) == GrantLease("d", 1, 2)  # renewing needs no disk
    assert not one.unsaved


def test_what_can_not_be_written_down_is_not_promised_and_its_epoch_is_used_up() -> None:
    one = elector(remembers=True)
    said(one, 0.0, A, RequestLease("d", 1, 1, LEASE))
    one.unsaved = {}
    one.confirm_saved(0.0, ["d"])
    one.take_messages()
    said(one, 10.0, B, RequestLease("d", 2, 1, LEASE))
    one.unsaved = {}
    one.report_save_failure(["d"])
    assert one.take_messages() == []
    for who in (A, B):  # the disk may name either
        assert isinstance(said(one, 10.0, who, RequestLease("d", 2, 9, LEASE)), DenyLease)
    assert isinstance(said(one, 10.0, A, RequestLease("d", 1, 9, LEASE)), DenyLease)
    said(one, 10.0, B, RequestLease("d", 3, 2, LEASE))
    assert one.promises() == [Promise("d", 3, "b", 1)]


def test_who_counts_on_a_longer_lease_is_turned_away() -> None:
    assert said(elector(), 0.0, A, RequestLease("d", 1, 1, LEASE + 1.0)) == DenyLease("d", 0, 1, "", LEASE)
    assert said(elector(), 0.0, A, RequestLease("d", 1, 1, LEASE - 1.0)) == GrantLease("d", 1, 1)


def test_duties_and_those_who_wait_are_bounded() -> None:
    one = elector()
    for number in range(MAX_ROLES):
        assert isinstance(said(one, 0.0, A, RequestLease(f"d{number}", 1, 1, LEASE)), GrantLease)
    assert isinstance(said(one, 0.0, A, RequestLease("one more", 1, 1, LEASE)), DenyLease)
    for number in range(100):
        said(one, 0.0, CandidateId(f"w{number}", 1), RequestLease("d0", 2, 1, LEASE))
    one.receive(0.0, A, ReleaseLease("d0", 1, 1))
    told = [name for name, word in one.take_messages() if isinstance(word, RoleAvailable)]
    assert told == [f"w{number}" for number in range(100 - MAX_WAITING_CANDIDATES, 100)]
