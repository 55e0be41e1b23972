"""A proxy whose backends and key reservations are simulated, for the tests of the request path."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from meshcalls import call, route

from lugspur.interfaces import Request
from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import (
    ReservationOutcome,
)
from lugspur.mesh.dataplane.endpoints import EndpointListing
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.route_table import RouteTable

OK = BackendResponse(200, b"Lugspur-Postmark: p\r\n", b"hi")
SERVER_ERROR = BackendResponse(500, b"Lugspur-Postmark: p\r\n", b"no")


class Caller:
    """A caller that records its responses."""

    peer = ""

    def __init__(self) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self.answers: list[tuple[int, bytes, bytes]] = []

    def admit(self) -> None:
        pass

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        self.answers.append((status, head, body))

    def streaming_receiver(self) -> None:
        return None


class SentRequest:
    """The handle of a request that was sent to a simulated backend; it records cancellations."""

    def __init__(self, rig: SimulatedProxy, index: int) -> None:
        self._rig, self._index = rig, index

    def cancel(self) -> None:
        self._rig.cancelled.append(self._index)

    def withdraw(self) -> None:
        self._rig.withdrawn.append(self._index)


class SimulatedProxy:
    """A proxy whose backends and key reservations are simulated."""

    def __init__(self, kind: str = "safe", max_attempts: int = 2, backends: int = 3, slack: float = 20.0) -> None:
        self.sent: list[tuple[str, ForwardRequest, Callable[[ForwardResponse], None]]] = []
        self.cancelled: list[int] = []
        self.withdrawn: list[int] = []
        self.reservations: list[tuple[bytes, Callable[[ReservationOutcome], None]]] = []
        self.reservation_ids: list[bytes] = []
        self.released: list[bytes] = []
        self.stored: list[tuple[bytes, BackendResponse, Callable[[bool], None]]] = []
        self.unreachable: set[str] = set()
        table = RouteTable()
        for entry in read_changes(
            call(route("r", mail_class=kind, tries=max_attempts, deadline_ms=500, target_ms=200))
        ):
            table.apply(entry)
        self.proxy = Proxy(
            table, self, self, Random(1), retry_ratio=0.2, retry_slack=slack, retry_window=10.0, zone="z0"
        )
        self.proxy.sender = "mine"
        self.proxy.update_endpoints("s", {f"i-{n}": EndpointListing(f"10.0.0.{n}", f"z{n}") for n in range(backends)})

    # The methods of `RequestCarrier` and `KeyReservations`.
    def is_reachable(self, ip: str) -> bool:
        return ip not in self.unreachable

    def carry(self, ip: str, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> SentRequest:
        self.sent.append((ip, forward, respond))
        return SentRequest(self, len(self.sent) - 1)

    def reserve(
        self,
        key: bytes,
        owner: bytes,
        seconds_left: float,
        timeout: float,
        on_outcome: Callable[[ReservationOutcome], None],
    ) -> None:
        self.reservations.append((key, on_outcome))
        self.reservation_ids.append(owner)

    def release(self, key: bytes, owner: bytes) -> None:
        self.released.append(key)

    def store_answer(
        self, key: bytes, owner: bytes, response: BackendResponse, timeout: float, on_stored: Callable[[bool], None]
    ) -> None:
        self.stored.append((key, response, on_stored))

    def abandon(self, key: bytes, owner: bytes) -> None:
        self.released.append(key)

    def ask(self, target: bytes = b"/r/1", **headers: str) -> Caller:
        caller = Caller()
        named = {b"host": b"a.example", b"lugspur-attempt-id": b"t1"}
        named |= {k.replace("_", "-").encode(): v.encode() for k, v in headers.items()}
        lines = [b"%b: %b\r\n" % (k.title(), v) for k, v in named.items() if k != b"host"]
        self.proxy.handle(Request(b"GET", target, named, lines, b"", self.proxy.loop.time(), True), caller)
        return caller

    def reply(
        self,
        outcome: RequestOutcome,
        response: BackendResponse | None = None,
        was_sent: bool = True,
        index: int = -1,
        is_stored: bool = True,
    ) -> None:
        _, forward, respond = self.sent[index]
        respond(ForwardResponse(forward.number, outcome, response, was_sent, is_stored=is_stored))


def run_scenario(scenario: Callable[[Any], Any], **settings: Any) -> None:
    """Run a scenario, which may be a coroutine function, with a simulated proxy."""

    async def run() -> None:
        async with asyncio.timeout(10.0):
            coroutine = scenario(SimulatedProxy(**settings))
            if coroutine is not None:
                await coroutine

    asyncio.run(run())
