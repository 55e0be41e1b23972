"""The proxy's side of idempotency key reservations."""

from __future__ import annotations

from typing import Any

import pytest

from lugspur.mesh.control import reservation_client
from lugspur.mesh.control.messages import BackendResponse, Membership, ReleaseKey, ReserveKey, ReserveKeyReply, Voter
from lugspur.mesh.control.reservation_client import (
    Acquired,
    AlreadyCompleted,
    ReservationClient,
    ReservationOutcome,
    TakenByAnother,
    Undecided,
)

CURRENT = Membership(3, [Voter(f"10.0.0.{n}", "u", "") for n in (1, 2, 3)])


class Owner:
    """A client that reserves a key for one owner, the messages that it sends, and its outcomes."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, ReserveKey | ReleaseKey]] = []
        self.outcomes: list[ReservationOutcome] = []
        self.client = ReservationClient(lambda ip, message: self.sent.append((ip, message)))
        self.client.reserve(0.0, CURRENT, b"k", b"a", 2.0, 0.5, self.outcomes.append)

    def reply(self, n: int, granted: bool, now: float = 0.1, **other: Any) -> None:
        self.client.receive(now, f"10.0.0.{n}", ReserveKeyReply(b"k", b"a", other.pop("epoch", 3), granted, **other))

    @property
    def released(self) -> set[str]:
        return {ip for ip, message in self.sent if isinstance(message, ReleaseKey)}


def test_a_majority_acquires_the_key_and_the_third_grant_is_not_released() -> None:
    owner = Owner()
    assert [ip for ip, _ in owner.sent] == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    owner.reply(1, True)
    owner.reply(1, True)  # several grants of one voter count once
    assert owner.outcomes == []
    owner.reply(2, True)
    owner.reply(3, True)
    assert owner.outcomes == [Acquired()] and not owner.released


def test_an_owner_that_cannot_acquire_the_key_releases_its_grants() -> None:
    owner = Owner()
    owner.reply(1, True)
    owner.reply(2, False, is_taken=True, is_running=True)
    owner.reply(3, False, is_taken=True)
    assert owner.outcomes == [TakenByAnother(True)] and owner.released == {"10.0.0.1"}
    owner.reply(1, True)  # a grant that arrives late
    assert owner.sent[-1] == ("10.0.0.1", ReleaseKey(b"k", b"a"))


def test_an_acquired_key_is_never_released_however_many_reservations_fail_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reservation_client, "MAX_FAILED_RESERVATIONS", 4)
    owner = Owner()
    owner.reply(1, True)
    owner.reply(2, True)
    for n in range(20):  # each of these reservations fails
        other_owner = b"later%d" % n
        owner.client.reserve(0.2, CURRENT, b"k%d" % n, other_owner, 2.0, 0.5, owner.outcomes.append)
        owner.client.abandon(b"k%d" % n, other_owner)
    owner.sent.clear()
    owner.reply(3, True, now=1e6)
    assert owner.sent == []  # the operation of the acquired key may run, or may have run
    owner.client.receive(1e6, "10.0.0.1", ReserveKeyReply(b"k0", b"later0", 3, True))
    assert owner.sent == []  # an evicted reservation ends with its window
    owner.client.receive(1e6, "10.0.0.1", ReserveKeyReply(b"k19", b"later19", 3, True))
    assert owner.sent == [("10.0.0.1", ReleaseKey(b"k19", b"later19"))]


def test_a_grant_for_a_former_process_at_this_address_is_not_released() -> None:
    owner = Owner()
    owner.client.receive(0.1, "10.0.0.1", ReserveKeyReply(b"k", b"of-another-life", 3, True))
    owner.client.receive(0.1, "10.0.0.1", ReserveKeyReply(b"other", b"a", 3, True))
    assert not owner.released


def test_a_stored_response_is_enough_from_one_voter() -> None:
    owner = Owner()
    owner.reply(3, False, epoch=9, is_taken=True, response=BackendResponse(200, b"", b"x"))
    assert owner.outcomes == [AlreadyCompleted(BackendResponse(200, b"", b"x"))]


def test_grants_of_another_epoch_or_after_the_deadline_do_not_count() -> None:
    owner = Owner()
    owner.reply(1, True, epoch=2)
    owner.reply(2, True)
    owner.reply(3, True, now=0.6)
    assert owner.outcomes == []
    owner.client.tick(0.6)
    assert owner.outcomes == [Undecided()] and owner.released == {"10.0.0.1", "10.0.0.2", "10.0.0.3"}


def test_a_new_membership_makes_the_client_ask_all_voters_again() -> None:
    owner = Owner()
    owner.reply(1, True)
    owner.client.membership_changed(0.2, Membership(4, CURRENT.voters, CURRENT.voters))
    assert [m.epoch for _, m in owner.sent if isinstance(m, ReserveKey)] == [3, 3, 3, 4, 4, 4]
    owner.reply(2, True)
    assert owner.outcomes == []
    owner.reply(2, True, epoch=4)
    owner.reply(3, True, epoch=4)
    assert owner.outcomes == [Acquired()]
