"""Requests that this machine sends to the limiters of other machines, with their bodies and pending replies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

from lugspur.mesh.control.messages import (
    BodyChunk,
    CancelRequest,
    FetchOutcomes,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    WithdrawRequest,
)
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.upload_scheduler import CHUNK_BYTES, is_chunked
from lugspur.mesh.transport.link import Link

MAX_UNPROVEN_REQUESTS = 1024  # latest requests on lost connections whose outcome may still be fetched

Respond = Callable[[ForwardResponse], None]


# Unsent bytes of a connection with which no further chunk is added to them: they are copies of the bodies.
MAX_UNSENT_CHUNK_BYTES = 256 << 10


@dataclass(slots=True)
class _Body:
    """A body that is sent in chunks, as far as the receiver grants them and the connection takes them."""

    data: bytes
    granted_bytes: int = 0
    sent_bytes: int = 0


@dataclass(slots=True)
class _Exchange:
    """One request that is waiting for its reply."""

    link: Link
    respond: Respond
    is_keyed: bool  # after a lost connection, a proof that the request did not run is of use
    unsent_body: _Body | None = None  # None once the end of the body has been sent


@dataclass(slots=True, frozen=True)
class _Unproven:
    """A request whose connection was lost before its reply arrived."""

    ip: str
    incarnation: str  # incarnation of the process that the request was sent to
    respond: Respond


class RemoteRequest:
    """The handle of a request that was sent to another machine."""

    __slots__ = ("_exchanges", "_ip", "_number")

    def __init__(self, exchanges: OutgoingExchanges, ip: str, number: int) -> None:
        self._exchanges, self._ip, self._number = exchanges, ip, number

    def cancel(self) -> None:
        """Cancel the request, whose caller no longer waits."""
        self._exchanges.cancel(self._ip, self._number)

    def withdraw(self) -> None:
        """Prevent the request from being started if it has not been; its caller no longer waits."""
        self._exchanges.withdraw(self._ip, self._number)


class OutgoingExchanges:
    """All requests that are waiting for a reply, by machine and number.

    This incarnation of the process never reuses a number.
    """

    def __init__(self) -> None:
        self._latest_number = 0
        self._exchanges: dict[str, dict[int, _Exchange]] = {}  # by IP address, then request number
        self._unproven: LRUCache[int, _Unproven] = LRUCache(MAX_UNPROVEN_REQUESTS)
        self._blocked: dict[Link, dict[int, None]] = {}  # requests with granted bytes that wait for their connection

    def waits_for(self, ip: str) -> bool:
        """Whether any request is waiting for a reply of the machine."""
        return bool(self._exchanges.get(ip))

    def send(
        self, now: float, ip: str, link: Link, rate: float, forward: ForwardRequest, respond: Respond
    ) -> RemoteRequest:
        """Send a request; `respond` is called once, and again if a proof of its outcome arrives later.

        `rate`: bytes per second of the receiving machine's link; 0 if unknown.
        """
        self._latest_number += 1
        number = forward.number = self._latest_number
        forward.sent_at = now
        exchange = _Exchange(link, respond, bool(forward.key))
        self._exchanges.setdefault(ip, {})[number] = exchange
        if is_chunked(len(forward.body), rate):
            exchange.unsent_body = _Body(forward.body)
            forward.body_bytes, forward.body = len(forward.body), b""
        else:
            forward.body = bytes(forward.body)  # a counted buffer can't be encoded
        link.send(forward)
        return RemoteRequest(self, ip, number)

    def cancel(self, ip: str, number: int) -> None:
        """Cancel a request; its outcome is reported as unknown."""
        exchange = self._exchanges.get(ip, {}).pop(number, None)
        if exchange is not None:
            exchange.link.send(CancelRequest(number))
            exchange.respond(ForwardResponse(number, RequestOutcome.UNKNOWN, cause=FailureCause.CANCELLED))

    def withdraw(self, ip: str, number: int) -> None:
        """Prevent a request from being started if it has not been; its reply is still reported."""
        exchange = self._exchanges.get(ip, {}).get(number)
        if exchange is not None:
            exchange.link.send(WithdrawRequest(number))

    def _exchange_on(self, link: Link, number: int) -> _Exchange | None:
        """Return the exchange with this number on this connection, or None.

        A message on another connection than that of the exchange must not affect it, even if it has the same number.
        """
        exchange = self._exchanges.get(link.peer, {}).get(number)
        return exchange if exchange is not None and exchange.link is link else None

    def receive_response(self, link: Link, message: ForwardResponse) -> None:
        """Handle the reply to a request, or a later proof of its outcome."""
        exchange = self._exchange_on(link, message.number)
        if exchange is not None:
            del self._exchanges[link.peer][message.number]
            exchange.respond(message)
        else:
            self._receive_proof(link, message)

    def _receive_proof(self, link: Link, message: ForwardResponse) -> None:
        """Handle the outcome of a request whose connection was lost, from the process that it was sent to."""
        unproven = self._unproven.get(message.number)
        if unproven is None or (unproven.ip, unproven.incarnation) != (link.peer, link.peer_incarnation):
            return
        del self._unproven[message.number]
        unproven.respond(message)

    def receive_grant(self, link: Link, message: GrantBody) -> None:
        """Send the newly granted bytes of a body."""
        exchange = self._exchange_on(link, message.number)
        if exchange is not None and exchange.unsent_body is not None:
            body = exchange.unsent_body
            body.granted_bytes = max(body.granted_bytes, min(message.up_to_offset, len(body.data)))
            self._send_chunks(message.number, exchange)

    def _send_chunks(self, number: int, exchange: _Exchange) -> None:
        """Send the granted bytes of a body, as many as the connection takes now."""
        body, link = exchange.unsent_body, exchange.link
        assert body is not None
        view = memoryview(body.data)
        while body.sent_bytes < body.granted_bytes:
            if link.unsent_bytes >= MAX_UNSENT_CHUNK_BYTES:
                self._blocked.setdefault(link, {})[number] = None
                link.on_writable = self._send_blocked_chunks
                return
            end = min(body.sent_bytes + CHUNK_BYTES, body.granted_bytes)
            link.send(BodyChunk(number, bytes(view[body.sent_bytes : end])))
            body.sent_bytes = end
        if body.sent_bytes == len(body.data):
            exchange.unsent_body = None

    def _send_blocked_chunks(self, link: Link) -> None:
        """Go on with the bodies that have waited for their connection."""
        for number in self._blocked.pop(link, {}):
            exchange = self._exchange_on(link, number)
            if exchange is not None and exchange.unsent_body is not None:
                self._send_chunks(number, exchange)

    def hello_received(self, link: Link) -> None:
        """Handle a peer's Hello: fetch the outcomes of requests on lost connections to the same incarnation."""
        numbers = []
        for number, unproven in list(self._unproven.items()):
            if unproven.ip != link.peer:
                continue
            if unproven.incarnation == link.peer_incarnation:
                numbers.append(number)
            else:
                del self._unproven[number]  # Another incarnation does not know what the former one had started.
        if numbers:
            link.send(FetchOutcomes(sorted(numbers)))

    def disconnected(self, ip: str) -> None:
        """Handle the end of the connection to a machine: report a result for all requests that wait for its reply.

        A request that was sent completely may have run or may still run, unless that process proves otherwise later. A
        request whose body was not sent completely has not run, since the limiter starts only complete requests.
        """
        for link in [link for link in self._blocked if link.peer == ip]:
            del self._blocked[link]
        for number, exchange in self._exchanges.pop(ip, {}).items():
            is_unsent = exchange.unsent_body is not None
            if exchange.is_keyed and not is_unsent:
                self._unproven[number] = _Unproven(ip, exchange.link.peer_incarnation, exchange.respond)
            outcome = RequestOutcome.NOT_RUN if is_unsent else RequestOutcome.UNKNOWN
            exchange.respond(ForwardResponse(number, outcome, was_sent=not is_unsent, cause=FailureCause.LINK_LOST))
