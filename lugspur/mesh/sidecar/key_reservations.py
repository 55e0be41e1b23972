"""Reservations of idempotency keys at the voters (see `lugspur.mesh.dataplane.interfaces.KeyReservations`)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from lugspur.mesh.control.answer_storage import AnswerStorage, OnStored
from lugspur.mesh.control.messages import (
    BackendResponse,
    ForwardRequest,
    Membership,
    Message,
    ReleaseKey,
    ReserveKeyReply,
)
from lugspur.mesh.control.reservation_client import ReservationClient, ReservationOutcome, Undecided

# Maximum time for which the proxy beside the backend waits until an answer is stored; the proxy of the client follows.
BACKEND_STORE_TIMEOUT_SECONDS = 0.25


class ReservingProcess(Protocol):
    """The interface of the process to its key reservations."""

    loop: asyncio.AbstractEventLoop
    membership: Membership | None

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a peer."""


class VoterReservations:
    """Reserves keys at the voters of the membership in force."""

    def __init__(self, process: ReservingProcess, window: float) -> None:
        """`window`: seconds during which an operation may be repeated."""
        self._process = process
        self._client = ReservationClient(process.send_to)
        self.answers = AnswerStorage(process.send_to, window)

    def __len__(self) -> int:
        return len(self._client)

    def reserve(
        self,
        key: bytes,
        owner: bytes,
        seconds_left: float,
        timeout: float,
        on_outcome: Callable[[ReservationOutcome], None],
    ) -> None:
        """Reserve the right to run the operation with this key; `on_outcome` is called once, within `timeout` seconds.

        `owner`: unique id of this reservation; `seconds_left`: time until the deadline of the request.
        """
        membership = self._process.membership
        if membership is None:
            on_outcome(Undecided())
            return
        now = self._process.loop.time()
        self._client.reserve(now, membership, key, owner, seconds_left, timeout, on_outcome)

    def release(self, key: bytes, owner: bytes) -> None:
        """Release a reservation under which nothing has run or will run."""
        self._send_to_voters(ReleaseKey(key, owner))

    def abandon(self, key: bytes, owner: bytes) -> None:
        """Abandon a reservation whose outcome is no longer of interest."""
        self._client.abandon(key, owner)

    def store_answer(
        self,
        key: bytes,
        owner: bytes,
        response: BackendResponse,
        timeout: float,
        on_stored: OnStored,
        *,
        waits_always: bool = False,
    ) -> None:
        """Store the answer of an operation at a majority of the voters, for repeats of its request.

        `on_stored` is called once, within `timeout` seconds, with whether the answer is stored by then.
        """
        membership = self._process.membership
        if membership is None:
            on_stored(False)
            return
        now = self._process.loop.time()
        self.answers.store(now, membership, key, owner, response, timeout, on_stored, waits_always=waits_always)

    def complete(self, forward: ForwardRequest, response: BackendResponse, on_stored: OnStored) -> None:
        """Store the answer of the local backend to a keyed request."""
        self.store_answer(forward.key, forward.owner, response, BACKEND_STORE_TIMEOUT_SECONDS, on_stored)

    def _send_to_voters(self, message: Message) -> None:
        membership = self._process.membership
        for voter in membership.voters if membership is not None else ():
            self._process.send_to(voter.ip, message)

    def receive(self, now: float, ip: str, message: ReserveKeyReply) -> None:
        """Handle the reply of a voter."""
        self.answers.receive(ip, message)
        if not message.is_stored:
            self._client.receive(now, ip, message)

    def connected(self, now: float, ip: str) -> None:
        """Handle a new connection to a peer: resend what a voter may not have received."""
        self._client.voter_connected(now, ip)
        self.answers.voter_connected(ip)

    def disconnected(self, ip: str) -> None:
        """Handle the end of a connection to a peer."""
        self.answers.voter_disconnected(ip)

    def membership_changed(self, now: float) -> None:
        """Handle a change of voters: grants of the former voters no longer count, and are requested again."""
        if self._process.membership is not None:
            self._client.membership_changed(now, self._process.membership)
            self.answers.membership_changed(self._process.membership)

    def tick(self, now: float) -> None:
        """End reservations that have timed out, and send answers again that are not stored yet."""
        self._client.tick(now)
        self.answers.tick(now)
