"""Requests that this machine sends to the gates of others: what waits for a reply, and bodies on their way."""

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

MAX_UNPROVEN_REQUESTS = 1024  # requests of lost connections whose outcome is asked for, the latest

Respond = Callable[[ForwardResponse], None]


@dataclass(slots=True)
class _Body:
    """A body that goes in parts."""

    data: bytes
    sent: int = 0


@dataclass(slots=True)
class _Exchange:
    """One request that waits for its reply."""

    link: Link
    respond: Respond
    keyed: bool  # whether a proof that it did not run is worth asking for once its connection is lost
    body: _Body | None = None  # while its end has not been sent


@dataclass(slots=True, frozen=True)
class _Unproven:
    """One whose connection was lost with its reply out."""

    ip: str
    life: str  # of the process that it was sent to
    respond: Respond


class CarriedExchange:
    """One request that waits for its reply, as whoever sent it sees it."""

    __slots__ = ("_exchanges", "_ip", "_number")

    def __init__(self, exchanges: OutgoingExchanges, ip: str, number: int) -> None:
        self._exchanges, self._ip, self._number = exchanges, ip, number

    def cancel(self) -> None:
        """Nobody waits for it: it is ended."""
        self._exchanges.cancel(self._ip, self._number)

    def withdraw(self) -> None:
        """Nobody waits for it: it is not begun any more."""
        self._exchanges.withdraw(self._ip, self._number)


class OutgoingExchanges:
    """All that wait for a reply, by machine and number; numbers are never used again in this process's life."""

    def __init__(self) -> None:
        self._latest = 0
        self._open: dict[str, dict[int, _Exchange]] = {}
        self._unproven: LRUCache[int, _Unproven] = LRUCache(MAX_UNPROVEN_REQUESTS)

    def waits_for(self, ip: str) -> bool:
        """Whether anything waits for that machine."""
        return bool(self._open.get(ip))

    def carry(
        self, now: float, ip: str, link: Link, rate: float, forward: ForwardRequest, respond: Respond
    ) -> CarriedExchange:
        """Send a request; the reply comes once. `rate`: bytes a second of that machine's link, 0: unknown."""
        self._latest += 1
        number = forward.number = self._latest
        forward.sent_at = now
        exchange = _Exchange(link, respond, bool(forward.key))
        self._open.setdefault(ip, {})[number] = exchange
        if is_chunked(len(forward.body), rate):
            exchange.body = _Body(forward.body)
            forward.body_bytes, forward.body = len(forward.body), b""
        link.send(forward)
        return CarriedExchange(self, ip, number)

    def cancel(self, ip: str, number: int) -> None:
        """Have it ended, and hear no more of it."""
        exchange = self._open.get(ip, {}).pop(number, None)
        if exchange is not None:
            exchange.link.send(CancelRequest(number))
            exchange.respond(ForwardResponse(number, RequestOutcome.UNKNOWN, cause=FailureCause.CANCELLED))

    def withdraw(self, ip: str, number: int) -> None:
        """Have it not begun any more; its reply comes all the same."""
        exchange = self._open.get(ip, {}).get(number)
        if exchange is not None:
            exchange.link.send(WithdrawRequest(number))

    def _of(self, link: Link, number: int) -> _Exchange | None:
        """The exchange that a message on this connection is about.

        Guards an exchange against what is said of its number on any other connection than its own.
        """
        exchange = self._open.get(link.peer, {}).get(number)
        return exchange if exchange is not None and exchange.link is link else None

    def reply(self, link: Link, message: ForwardResponse) -> None:
        """How one ended."""
        exchange = self._of(link, message.number)
        if exchange is not None:
            del self._open[link.peer][message.number]
            exchange.respond(message)
        else:
            self._proved(link, message)

    def _proved(self, link: Link, message: ForwardResponse) -> None:
        """The outcome of one whose connection was lost, from the process that it was sent to."""
        unproven = self._unproven.get(message.number)
        if unproven is None or (unproven.ip, unproven.life) != (link.peer, link.peer_incarnation):
            return
        del self._unproven[message.number]
        unproven.respond(message)

    def grant(self, link: Link, message: GrantBody) -> None:
        """Send the next bytes of a body."""
        exchange = self._of(link, message.number)
        body = None if exchange is None else exchange.body
        if exchange is None or body is None or body.sent >= message.up_to_offset:
            return
        begin, body.sent = body.sent, min(message.up_to_offset, len(body.data))
        if body.sent == len(body.data):
            exchange.body = None
        for at in range(begin, body.sent, CHUNK_BYTES):
            exchange.link.send(BodyChunk(message.number, body.data[at : min(at + CHUNK_BYTES, body.sent)]))

    def reached(self, link: Link) -> None:
        """A process has said which life of it answers on a new connection: ask what became of what was lost."""
        asked = []
        for number, unproven in list(self._unproven.items()):
            if unproven.ip != link.peer:
                continue
            if unproven.life == link.peer_incarnation:
                asked.append(number)
            else:
                del self._unproven[number]  # another life does not know what the one before had begun
        if asked:
            link.send(FetchOutcomes(sorted(asked)))

    def lost(self, ip: str) -> None:
        """The connection to that machine has ended."""
        # What had been sent may run, or have run: nothing proves otherwise, as long as that process does not say so.
        for number, exchange in self._open.pop(ip, {}).items():
            # A body that was not sent to its end proves that nothing ran: the limiter starts complete requests alone.
            unsent = exchange.body is not None
            if exchange.keyed and not unsent:
                self._unproven[number] = _Unproven(ip, exchange.link.peer_incarnation, exchange.respond)
            how = RequestOutcome.NOT_RUN if unsent else RequestOutcome.UNKNOWN
            exchange.respond(ForwardResponse(number, how, was_sent=not unsent, cause=FailureCause.LINK_LOST))
