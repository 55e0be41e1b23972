"""Interfaces between a request, the proxy that accepted it, and what carries requests and reserves their keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol, Unpack

from lugspur.load_balancing.retry_budget import RetryBudget
from lugspur.mesh.control.messages import ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import ReservationOutcome
from lugspur.mesh.dataplane.endpoints import Endpoint
from lugspur.observability.failures import FailureFacts


class SentRequest(Protocol):
    """A request that was handed to a carrier and has no result yet."""

    def cancel(self) -> None:
        """End the request, wherever it is: nobody waits for it, and it may run again."""

    def withdraw(self) -> None:
        """Keep the request from being started: nobody waits for it.

        What a backend already works on goes on, and its result still comes.
        """


class RequestCarrier(Protocol):
    """Takes requests to the concurrency limiter beside a backend."""

    def is_reachable(self, ip: str) -> bool:
        """Whether that machine can be reached now."""

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> SentRequest:
        """Send a request; `respond` is called once with its result.

        After a result that reports a lost connection a second one may follow: proof that the request did not run.
        """


class KeyReservations(Protocol):
    """Reserves idempotency keys at the voters of the mesh."""

    def reserve(
        self,
        key: bytes,
        owner: bytes,
        seconds_left: float,
        timeout: float,
        on_outcome: Callable[[ReservationOutcome], None],
    ) -> None:
        """Ask for the right to run the operation with this key; `on_outcome` is called once, within `timeout` seconds.

        `owner` names this reservation, and no other. `seconds_left`: the time that its request has.
        """

    def release(self, key: bytes, owner: bytes) -> None:
        """Give a reservation back under which nothing ran."""

    def abandon(self, key: bytes, owner: bytes) -> None:
        """Forget a reservation whose outcome nobody waits for any more."""


class OpenRequest(Protocol):
    """A request that has no answer yet."""

    def end(self) -> None:
        """Answer the request now, whatever is in flight."""


class RequestHost(Protocol):
    """The proxy that accepted a request, as far as the request needs it."""

    loop: asyncio.AbstractEventLoop
    rng: Random
    zone: str
    sender: str  # the service of this machine
    carrier: RequestCarrier
    keys: KeyReservations
    services: dict[str, dict[str, Endpoint]]  # by the backend's id

    def request_opened(self, request: OpenRequest) -> None:
        """Note a request that has no answer yet."""

    def request_closed(self, request: OpenRequest) -> None:
        """Note that a request has been answered, or that its caller has disconnected."""

    def budget(self, service: str) -> RetryBudget:
        """Return this process's part of the service's retry budget."""

    def reservation_id(self, attempt_id: bytes) -> bytes:
        """Return a name for one reservation of an idempotency key that no other reservation has."""

    def count(self, ending: str) -> None:
        """Count a request by how it ended, or by why it could not go on."""

    def request_served(self, seconds: float) -> None:
        """Count a request that a backend answered successfully, `seconds` after it arrived."""

    def request_failed(self, attempt_id: bytes, ending: str, **facts: Unpack[FailureFacts]) -> None:
        """Count a request that failed and keep an account of it; `facts` are fields of `FailedRequest`."""
