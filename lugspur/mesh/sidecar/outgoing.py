"""Requests that this machine sends to the limiters of others: what waits for a reply, and bodies on their way."""

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

MAX_UNPROVEN_REQUESTS = 1024  # of lost connections, whose outcome is asked for; the latest

Respond = Callable[[ForwardResponse], None]


@dataclass(slots=True)
class _Body:
    """A body that is sent in chunks."""

    data: bytes
    sent_bytes: int = 0


@dataclass(slots=True)
class _Exchange:
    """One request that waits for its reply."""

    link: Link
    respond: Respond
    is_keyed: bool  # a proof that it did not run is worth asking for once its connection is lost
    unsent_body: _Body | None = None  # until its end has been sent


@dataclass(slots=True, frozen=True)
class _Unproven:
    """A request whose connection was lost before its reply came."""

    ip: str
    incarnation: str  # of the process that it was sent to
    respond: Respond


class RemoteRequest:
    """One request that waits for its reply, as its sender handles it."""

    __slots__ = ("_exchanges", "_ip", "_number")

    def __init__(self, exchanges: OutgoingExchanges, ip: str, number: int) -> None:
        self._exchanges, self._ip, self._number = exchanges, ip, number

    def cancel(self) -> None:
        """Nobody waits for it: it is ended."""
        self._exchanges.cancel(self._ip, self._number)

    def withdraw(self) -> None:
        """Nobody waits for it: it is not started if it has not been."""
        self._exchanges.withdraw(self._ip, self._number)


class OutgoingExchanges:
    """All requests that wait for a reply, by machine and number.

    A number is never used again by this incarnation of the process.
    """

    def __init__(self) -> None:
        self._latest_number = 0
        self._exchanges: dict[str, dict[int, _Exchange]] = {}  # by IP number and number
        self._unproven: LRUCache[int, _Unproven] = LRUCache(MAX_UNPROVEN_REQUESTS)

    def waits_for(self, ip: str) -> bool:
        """Whether any request waits for a reply of that machine."""
        return bool(self._exchanges.get(ip))

    def send(
        self, now: float, ip: str, link: Link, rate: float, forward: ForwardRequest, respond: Respond
    ) -> RemoteRequest:
        """Send a request; `respond` is called once, and again with a proof that comes later.

        `rate`: bytes a second of that machine's link; 0: unknown.
        """
        self._latest_number += 1
        number = forward.number = self._latest_number
        forward.sent_at = now
        exchange = _Exchange(link, respond, bool(forward.key))
        self._exchanges.setdefault(ip, {})[number] = exchange
        if is_chunked(len(forward.body), rate):
            exchange.unsent_body = _Body(forward.body)
            forward.body_bytes, forward.body = len(forward.body), b""
        link.send(forward)
        return RemoteRequest(self, ip, number)

    def cancel(self, ip: str, number: int) -> None:
        """Have a request ended; its outcome is unknown."""
        exchange = self._exchanges.get(ip, {}).pop(number, None)
        if exchange is not None:
            exchange.link.send(CancelRequest(number))
            exchange.respond(ForwardResponse(number, RequestOutcome.UNKNOWN, cause=FailureCause.CANCELLED))

    def withdraw(self, ip: str, number: int) -> None:
        """Have a request not started if it has not been; its reply comes all the same."""
        exchange = self._exchanges.get(ip, {}).get(number)
        if exchange is not None:
            exchange.link.send(WithdrawRequest(number))

    def _exchange_on(self, link: Link, number: int) -> _Exchange | None:
        """The exchange that a message on this connection is about.

        Guards an exchange against what is said of its number on any other connection than its own.
        """
        exchange = self._exchanges.get(link.peer, {}).get(number)
        return exchange if exchange is not None and exchange.link is link else None

    def receive_response(self, link: Link, message: ForwardResponse) -> None:
        """Take the reply to a request, or a later proof of how it ended."""
        exchange = self._exchange_on(link, message.number)
        if exchange is not None:
            del self._exchanges[link.peer][message.number]
            exchange.respond(message)
        else:
            self._receive_proof(link, message)

    def _receive_proof(self, link: Link, message: ForwardResponse) -> None:
        """Take the outcome of a request whose connection was lost, from the process that it was sent to."""
        unproven = self._unproven.get(message.number)
        if unproven is None or (unproven.ip, unproven.incarnation) != (link.peer, link.peer_incarnation):
            return
        del self._unproven[message.number]
        unproven.respond(message)

    def receive_grant(self, link: Link, message: GrantBody) -> None:
        """Send the next bytes of a body, as many as are granted."""
        exchange = self._exchange_on(link, message.number)
        body = None if exchange is None else exchange.unsent_body
        if exchange is None or body is None or body.sent_bytes >= message.up_to_offset:
            return
        begin, body.sent_bytes = body.sent_bytes, min(message.up_to_offset, len(body.data))
        if body.sent_bytes == len(body.data):
            exchange.unsent_body = None
        for offset in range(begin, body.sent_bytes, CHUNK_BYTES):
            data = body.data[offset : min(offset + CHUNK_BYTES, body.sent_bytes)]
            exchange.link.send(BodyChunk(message.number, data))

    def greeted(self, link: Link) -> None:
        """A process has said which incarnation it is: ask it for the outcomes of what former connections have lost."""
        numbers = []
        for number, unproven in list(self._unproven.items()):
            if unproven.ip != link.peer:
                continue
            if unproven.incarnation == link.peer_incarnation:
                numbers.append(number)
            else:
                del self._unproven[number]  # another incarnation does not know what the one before had started
        if numbers:
            link.send(FetchOutcomes(sorted(numbers)))

    def disconnected(self, ip: str) -> None:
        """The connection to that machine has ended: respond to all that wait for it.

        What was sent may run or have run; nothing proves otherwise until that process says so. A body whose end was not
        sent proves that its request did not run: the limiter starts complete requests alone.
        """
        for number, exchange in self._exchanges.pop(ip, {}).items():
            is_unsent = exchange.unsent_body is not None
            if exchange.is_keyed and not is_unsent:
                self._unproven[number] = _Unproven(ip, exchange.link.peer_incarnation, exchange.respond)
            outcome = RequestOutcome.NOT_RUN if is_unsent else RequestOutcome.UNKNOWN
            exchange.respond(ForwardResponse(number, outcome, was_sent=not is_unsent, cause=FailureCause.LINK_LOST))
