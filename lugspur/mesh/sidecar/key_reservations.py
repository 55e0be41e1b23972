"""Reservations of idempotency keys at the voters (see `lugspur.mesh.dataplane.interfaces.KeyReservations`)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from lugspur.mesh.control.messages import (
    BackendResponse,
    CompleteKey,
    ForwardRequest,
    Membership,
    Message,
    ReleaseKey,
    ReserveKeyReply,
)
from lugspur.mesh.control.reservation_client import ReservationClient, ReservationOutcome


class ReservingProcess(Protocol):
    """The interface of the process to its key reservations."""

    loop: asyncio.AbstractEventLoop
    membership: Membership | None

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a peer."""


class VoterReservations:
    """Reserves keys at the voters of the membership in force."""

    def __init__(self, process: ReservingProcess) -> None:
        self._process = process
        self._client = ReservationClient(process.send_to)

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
        assert membership is not None
        now = self._process.loop.time()
        self._client.reserve(now, membership, key, owner, seconds_left, timeout, on_outcome)

    def release(self, key: bytes, owner: bytes) -> None:
        """Release a reservation under which nothing has run or will run."""
        self._send_to_voters(ReleaseKey(key, owner))

    def abandon(self, key: bytes, owner: bytes) -> None:
        """Abandon a reservation whose outcome is no longer of interest."""
        self._client.abandon(key, owner)

    def complete(self, forward: ForwardRequest, response: BackendResponse) -> None:
        """Send the response of a keyed operation to the voters, which store it for repeated requests."""
        self._send_to_voters(CompleteKey(forward.key, forward.owner, response))

    def _send_to_voters(self, message: Message) -> None:
        membership = self._process.membership
        for voter in membership.voters if membership is not None else ():
            self._process.send_to(voter.ip, message)

    def receive(self, now: float, ip: str, message: ReserveKeyReply) -> None:
        """Handle the reply of a voter."""
        self._client.receive(now, ip, message)

    def connected(self, now: float, ip: str) -> None:
        """Handle a new connection to a peer: resend what a voter may not have received."""
        self._client.voter_connected(now, ip)

    def membership_changed(self, now: float) -> None:
        """Handle a change of voters: grants of the former voters no longer count, and are requested again."""
        if self._process.membership is not None:
            self._client.membership_changed(now, self._process.membership)

    def tick(self, now: float) -> None:
        """End reservations that have timed out."""
        self._client.tick(now)
