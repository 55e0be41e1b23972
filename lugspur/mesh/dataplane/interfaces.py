"""Interfaces between a proxied request, its proxy, the request carrier, and the store of key reservations."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol, Unpack

from lugspur.load_balancing.retry_budget import RetryBudget
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import ReservationOutcome
from lugspur.mesh.dataplane.endpoints import Endpoint
from lugspur.observability.failures import FailureFacts


class SentRequest(Protocol):
    """The handle of a request that was passed to a carrier and has no result yet."""

    def cancel(self) -> None:
        """Cancel the request, even if it is running; used for safe requests whose caller no longer waits."""

    def withdraw(self) -> None:
        """Prevent the request from being started, since its caller no longer waits.

        A request that a backend is already running goes on, and its result is still reported.
        """


class RequestCarrier(Protocol):
    """Sends requests to the concurrency limiter of a backend, on any machine."""

    def is_reachable(self, ip: str) -> bool:
        """Whether the machine can be reached now."""

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> SentRequest:
        """Send a request; `respond` is called once with its result.

        After a result that reports a lost connection, a second call may prove that the request did not run.
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
        """Reserve the right to run the operation with this key; `on_outcome` is called once, within `timeout` seconds.

        `owner`: unique id of this reservation; `seconds_left`: time until the deadline of its request.
        """

    def release(self, key: bytes, owner: bytes) -> None:
        """Release a reservation under which nothing has run or will run."""

    def store_answer(
        self,
        key: bytes,
        owner: bytes,
        response: BackendResponse,
        timeout: float,
        on_stored: Callable[[bool], None],
    ) -> None:
        """Store the answer of the operation that `owner` has run, for repeats of its request.

        `on_stored` is called once, within `timeout` seconds, with whether a majority has the answer by then; it is
        stored later otherwise, if that becomes possible.
        """

    def abandon(self, key: bytes, owner: bytes) -> None:
        """Abandon a reservation whose outcome is no longer of interest."""


class OpenRequest(Protocol):
    """A request that has no response yet."""

    def abort(self) -> None:
        """Respond to the caller now, even if attempts are in flight."""


class RequestHost(Protocol):
    """The interface of the proxy to the requests that it has accepted."""

    loop: asyncio.AbstractEventLoop
    rng: Random
    zone: str
    sender: str  # the service of this machine
    carrier: RequestCarrier
    keys: KeyReservations
    services: dict[str, dict[str, Endpoint]]  # endpoints by service name and backend id

    def request_opened(self, request: OpenRequest) -> None:
        """Add a request to the open ones."""

    def request_closed(self, request: OpenRequest) -> None:
        """Remove a request from the open ones: it has a response, or its caller has disconnected."""

    def budget(self, service: str) -> RetryBudget:
        """Return this process's share of the service's retry budget."""

    def reservation_id(self, attempt_id: bytes) -> bytes:
        """Return a unique id for one reservation of an idempotency key."""

    def count(self, result: str) -> None:
        """Count a request by its result, or by the reason for which no backend was selected."""

    def request_served(self, seconds: float) -> None:
        """Count a request with a successful response, sent `seconds` after the request arrived."""

    def request_failed(self, attempt_id: bytes, result: str, **facts: Unpack[FailureFacts]) -> None:
        """Count a failed request and add it to the failure log; `facts` are fields of `FailedRequest`."""
