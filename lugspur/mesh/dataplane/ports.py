"""What one request needs of the proxy that took it, and the proxy of whoever carries requests and settles keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from lugspur.load_balancing.budget import Budget
from lugspur.mesh.control.messages import ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import ReservationOutcome
from lugspur.mesh.dataplane.endpoints import Endpoint
from lugspur.seams import Answerable, Request


class Carried(Protocol):
    """A request that was handed to a carrier, as long as its reply is out."""

    def cancel(self) -> None:
        """Nobody waits for it: it is ended, wherever it is. For what may be run again."""

    def withdraw(self) -> None:
        """Nobody waits for it: it is not begun any more; what a backend works on goes on, and is replied to."""


class Carrier(Protocol):
    """What takes a request to the gate beside a backend."""

    def ready(self, ip: str) -> bool:
        """Whether that machine can be reached now."""

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> Carried:
        """Send it; the reply comes once.

        Behind one that tells of a lost connection another may follow, which proves that the request did not run.
        """


class Keys(Protocol):
    """What settles operation keys."""

    def claim(
        self, key: bytes, by: bytes, left: float, within: float, over: Callable[[ReservationOutcome], None]
    ) -> None:
        """Ask for the right to run."""

    def release(self, key: bytes, by: bytes) -> None:
        """Give it back: nothing ran."""

    def drop(self, key: bytes, by: bytes) -> None:
        """Nobody waits for it any more."""


class OpenRequest(Protocol):
    """A request that has no answer yet."""

    @property
    def request(self) -> Request:
        """What its caller sent."""

    @property
    def caller(self) -> Answerable:
        """Who waits for it."""

    def end(self) -> None:
        """Answer it now, whatever is under way."""


class RequestHost(Protocol):
    """The proxy that took a request, as far as the request needs it."""

    loop: asyncio.AbstractEventLoop
    rng: Random
    zone: str
    sender: str  # the service of this machine
    carrier: Carrier
    keys: Keys
    services: dict[str, dict[str, Endpoint]]  # by the backend's id

    def opened(self, request: OpenRequest) -> None:
        """One more has no answer yet."""

    def closed(self, request: OpenRequest) -> None:
        """One has been answered, or its caller has left."""

    def budget(self, service: str) -> Budget:
        """This process's part of the service's retry budget."""

    def claim_id(self, attempt: bytes) -> bytes:
        """A name for one claim of an operation key that no other claim has."""

    def count(self, how: str) -> None:
        """One more could not go on so."""

    def served(self, seconds: float) -> None:
        """One more was answered by a backend's success."""

    def failed(self, attempt: bytes, how: str, **facts: Any) -> None:
        """One more was not; `facts` as in `FailedRequest`."""
