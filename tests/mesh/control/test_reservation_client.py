"""A proxy's side of reservations of idempotency keys."""

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


class Side:
    """One claimant and what it sent."""

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
    side = Side()
    assert [ip for ip, _ in side.sent] == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    side.reply(1, True)
    side.reply(1, True)  # one voter is one grant
    assert side.outcomes == []
    side.reply(2, True)
    side.reply(3, True)
    assert side.outcomes == [Acquired()] and not side.released


def test_an_owner_that_cannot_acquire_the_key_releases_its_grants() -> None:
    side = Side()
    side.reply(1, True)
    side.reply(2, False, is_taken=True, is_running=True)
    side.reply(3, False, is_taken=True)
    assert side.outcomes == [TakenByAnother(True)] and side.released == {"10.0.0.1"}
    side.reply(1, True)  # a grant that was on its way
    assert side.sent[-1] == ("10.0.0.1", ReleaseKey(b"k", b"a"))


def test_an_acquired_key_is_never_released_however_many_came_after_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reservation_client, "MAX_FAILED_RESERVATIONS", 4)
    side = Side()
    side.reply(1, True)
    side.reply(2, True)
    for n in range(20):  # each of these comes to nothing
        by = b"later%d" % n
        side.client.reserve(0.2, CURRENT, b"k%d" % n, by, 2.0, 0.5, side.outcomes.append)
        side.client.abandon(b"k%d" % n, by)
    side.sent.clear()
    side.reply(3, True, now=1e6)
    assert side.sent == []  # it may run, or have run
    side.client.receive(1e6, "10.0.0.1", ReserveKeyReply(b"k0", b"later0", 3, True))
    assert side.sent == []  # forgotten: it ends by its window
    side.client.receive(1e6, "10.0.0.1", ReserveKeyReply(b"k19", b"later19", 3, True))
    assert side.sent == [("10.0.0.1", ReleaseKey(b"k19", b"later19"))]


def test_a_grant_for_a_former_process_at_this_address_is_not_released() -> None:
    side = Side()
    side.client.receive(0.1, "10.0.0.1", ReserveKeyReply(b"k", b"of-another-life", 3, True))
    side.client.receive(0.1, "10.0.0.1", ReserveKeyReply(b"other", b"a", 3, True))
    assert not side.released


def test_a_stored_response_is_enough_from_one_voter() -> None:
    side = Side()
    side.reply(3, False, epoch=9, is_taken=True, response=BackendResponse(200, b"", b"x"))
    assert side.outcomes == [AlreadyCompleted(BackendResponse(200, b"", b"x"))]


def test_grants_of_another_epoch_or_after_the_deadline_do_not_count() -> None:
    side = Side()
    side.reply(1, True, epoch=2)
    side.reply(2, True)
    side.reply(3, True, now=0.6)
    assert side.outcomes == []
    side.client.tick(0.6)
    assert side.outcomes == [Undecided()] and side.released == {"10.0.0.1", "10.0.0.2", "10.0.0.3"}


def test_a_new_membership_asks_all_voters_anew() -> None:
    side = Side()
    side.reply(1, True)
    side.client.membership_changed(0.2, Membership(4, CURRENT.voters, CURRENT.voters))
    assert [m.epoch for _, m in side.sent if isinstance(m, ReserveKey)] == [3, 3, 3, 4, 4, 4]
    side.reply(2, True)
    assert side.outcomes == []
    side.reply(2, True, epoch=4)
    side.reply(3, True, epoch=4)
    assert side.outcomes == [Acquired()]
