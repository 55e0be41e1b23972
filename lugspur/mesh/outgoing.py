"""Requests that this machine sends to the gates of others: what waits for a reply, and bodies on their way."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.control.messages import Cancel, Forward, Grant, Part, Reply
from lugspur.dataplane.causes import Cause
from lugspur.dataplane.gate import End
from lugspur.dataplane.uploads import PART, in_parts
from lugspur.mesh.link import Link


@dataclass(slots=True)
class _Body:
    """A body that goes in parts."""

    data: bytes
    sent: int = 0


@dataclass(slots=True)
class _Exchange:
    """One request that waits for its reply."""

    link: Link
    respond: Callable[[Reply], None]
    body: _Body | None = None  # while its end has not been sent


class OutgoingExchanges:
    """All that wait for a reply, by machine and number; numbers are never used again in this process's life."""

    def __init__(self) -> None:
        self._latest = 0
        self._open: dict[str, dict[int, _Exchange]] = {}

    def waits_for(self, ip: str) -> bool:
        """Whether anything waits for that machine."""
        return bool(self._open.get(ip))

    def carry(
        self, now: float, ip: str, link: Link, rate: float, forward: Forward, respond: Callable[[Reply], None]
    ) -> Callable[[], None]:
        """Send a request; the reply comes once. `rate`: bytes a second of that machine's link, 0: unknown.

        Returns what cancels it.
        """
        self._latest += 1
        number = forward.n = self._latest
        forward.sent = now
        exchange = _Exchange(link, respond)
        self._open.setdefault(ip, {})[number] = exchange
        if in_parts(len(forward.body), rate):
            exchange.body = _Body(forward.body)
            forward.size, forward.body = len(forward.body), b""
        link.send(forward)
        return lambda: self._cancel(ip, number)

    def _cancel(self, ip: str, number: int) -> None:
        exchange = self._open.get(ip, {}).pop(number, None)
        if exchange is not None:
            exchange.link.send(Cancel(number))
            exchange.respond(Reply(number, End.MAYBE, cause=Cause.CANCELLED))

    def _of(self, link: Link, number: int) -> _Exchange | None:
        """The exchange that a message on this connection is about.

        Guards an exchange against what is said of its number on any other connection than its own.
        """
        exchange = self._open.get(link.peer, {}).get(number)
        return exchange if exchange is not None and exchange.link is link else None

    def reply(self, link: Link, message: Reply) -> None:
        """How one ended."""
        exchange = self._of(link, message.n)
        if exchange is not None:
            del self._open[link.peer][message.n]
            exchange.respond(message)

    def grant(self, link: Link, message: Grant) -> None:
        """Send the next bytes of a body."""
        exchange = self._of(link, message.n)
        body = None if exchange is None else exchange.body
        if exchange is None or body is None or body.sent >= message.upto:
            return
        begin, body.sent = body.sent, min(message.upto, len(body.data))
        if body.sent == len(body.data):
            exchange.body = None
        for at in range(begin, body.sent, PART):
            exchange.link.send(Part(message.n, body.data[at : min(at + PART, body.sent)]))

    def lost(self, ip: str) -> None:
        """The connection to that machine has ended."""
        # What had been sent may run, or have run: nothing proves otherwise.
        for number, exchange in self._open.pop(ip, {}).items():
            # A body that was not sent to its end proves that nothing ran: the gate begins with whole requests alone.
            unsent = exchange.body is not None
            how = End.NOT_RUN if unsent else End.MAYBE
            exchange.respond(Reply(number, how, sent=not unsent, cause=Cause.LINK_LOST))
