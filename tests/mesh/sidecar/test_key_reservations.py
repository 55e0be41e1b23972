"""A proxy's reservations and answers at the voters: what is sent again, to whom, and what an acknowledgement ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.messages import (
    BackendResponse,
    CompleteKey,
    Membership,
    Message,
    ReserveKey,
    ReserveKeyReply,
    Voter,
)
from lugspur.mesh.control.reservation_client import Acquired, ReservationOutcome
from lugspur.mesh.sidecar.key_reservations import VoterReservations

ANSWER = BackendResponse(200, b"", b"hi")


def membership(epoch: int, *ips: str) -> Membership:
    return Membership(epoch, [Voter(ip, ip, "z") for ip in ips])


class Process:
    """A process whose messages to voters are recorded."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.membership: Membership | None = membership(1, "a", "b", "c")
        self.sent: list[tuple[str, Message]] = []

    def send_to(self, ip: str, message: Message) -> None:
        self.sent.append((ip, message))

    def take_answers(self) -> list[str]:
        """Return the voters that were sent an answer since the last call."""
        found = [ip for ip, message in self.sent if isinstance(message, CompleteKey)]
        self.sent.clear()
        return found


def run_scenario(scenario: Callable[[Process, VoterReservations], None]) -> None:
    async def run() -> None:
        process = Process()
        scenario(process, VoterReservations(process, 60.0))

    asyncio.run(run())


def acknowledge(keys: VoterReservations, ip: str, epoch: int = 1) -> None:
    keys.receive(0.0, ip, ReserveKeyReply(b"k", b"o", epoch, False, True, is_stored=True, acknowledges_answers=True))


def test_an_answer_is_sent_until_a_majority_of_the_voters_in_force_has_it() -> None:
    """Guards against answers that one message carries, which is lost with its connection (review/5)."""

    def scenario(process: Process, keys: VoterReservations) -> None:
        outcomes: list[ReservationOutcome] = []
        keys.reserve(b"k", b"o", 1.0, 0.5, outcomes.append)
        assert [ip for ip, message in process.sent if isinstance(message, ReserveKey)] == ["a", "b", "c"]
        for ip in "ab":
            keys.receive(0.0, ip, ReserveKeyReply(b"k", b"o", 1, True, acknowledges_answers=True))
        assert [type(outcome) for outcome in outcomes] == [Acquired]
        process.sent.clear()

        stored: list[bool] = []
        keys.store_answer(b"k", b"o", ANSWER, 0.5, stored.append)
        assert process.take_answers() == ["a", "b", "c"] and stored == []
        keys.disconnected("a")
        keys.connected(0.0, "a")
        assert process.take_answers() == ["a"]
        acknowledge(keys, "a")
        process.membership = membership(2, "b", "c", "d")
        keys.membership_changed(0.0)
        assert process.take_answers() == ["b", "c", "d"]
        acknowledge(keys, "c", 2)
        acknowledge(keys, "d", 2)
        assert stored == [False] and len(keys.answers) == 0  # two of three were connected no more
        keys.connected(0.0, "b")
        assert process.take_answers() == [] and len(outcomes) == 1

    run_scenario(scenario)


def test_without_a_membership_an_answer_is_not_held_back() -> None:
    def scenario(process: Process, keys: VoterReservations) -> None:
        process.membership, stored = None, list[bool]()
        keys.store_answer(b"k", b"o", ANSWER, 0.5, stored.append)
        assert stored == [False] and process.sent == []

    run_scenario(scenario)
