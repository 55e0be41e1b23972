"""Reservations of idempotency keys at the voters, see `lugspur.mesh.dataplane.interfaces.KeyReservations`."""

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
    """The process whose requests need keys."""

    loop: asyncio.AbstractEventLoop
    membership: Membership | None

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a peer."""


class VoterReservations:
    """Reserves keys at the voters of the membership that the process knows."""

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
        """Ask for the right to run the operation of a key; `on_outcome` is called once, within `timeout` seconds.

        `owner` names the request and is never used again; `seconds_left`: until the request ends.
        """
        membership = self._process.membership
        assert membership is not None
        now = self._process.loop.time()
        self._client.reserve(now, membership, key, owner, seconds_left, timeout, on_outcome)

    def release(self, key: bytes, owner: bytes) -> None:
        """Give the right back: nothing ran, and nothing will."""
        self._send_to_voters(ReleaseKey(key, owner))

    def abandon(self, key: bytes, owner: bytes) -> None:
        """Wait for the right no longer."""
        self._client.abandon(key, owner)

    def complete(self, forward: ForwardRequest, answer: BackendResponse) -> None:
        """A keyed operation has run: the voters keep its answer for requests that repeat it."""
        self._send_to_voters(CompleteKey(forward.key, forward.owner, answer))

    def _send_to_voters(self, message: Message) -> None:
        membership = self._process.membership
        for voter in membership.voters if membership is not None else ():
            self._process.send_to(voter.ip, message)

    def receive(self, now: float, ip: str, message: ReserveKeyReply) -> None:
        """Take a voter's reply."""
        self._client.receive(now, ip, message)

    def connected(self, now: float, ip: str) -> None:
        """A peer can be reached anew: what a voter may not have received is sent again."""
        self._client.voter_connected(now, ip)

    def membership_changed(self, now: float) -> None:
        """Other voters are in force: what the former ones granted no longer counts, and is asked for anew."""
        if self._process.membership is not None:
            self._client.membership_changed(now, self._process.membership)

    def tick(self, now: float) -> None:
        """End what has waited for too long."""
        self._client.tick(now)
