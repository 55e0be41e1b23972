"""Carries management calls: one to a connection, few connections, little time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping

from lugspur.daemon.admin.calls import Act, Call
from lugspur.discovery.endpoints import Address

MOST = 24  # connections at once: a dozen that hang, and as many operators
WITHIN = 5.0  # seconds that a connection may take: some stay for 4 s and say nothing
BACKLOG = 256  # connections that may wait to be accepted
DROP_MOST = 1 << 20  # bytes that are read and dropped behind the answer: closing with bytes unread would reset it


class Door:
    """Listens on the second address."""

    def __init__(self, address: Address, acts: Mapping[tuple[str, str], Act]) -> None:
        self._address, self.acts = address, acts
        self.waiting: dict[Visitor, None] = {}  # those that have not made their call, the oldest first
        self.visitors: set[Visitor] = set()
        self.port = 0
        self._server: asyncio.Server

    async def open(self) -> socket.socket:
        """Listen from now on; raises OSError where the address is taken."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(self._address)
        except OSError:
            sock.close()
            raise
        self.port = sock.getsockname()[1]
        self._server = await loop.create_server(lambda: Visitor(self), sock=sock, backlog=BACKLOG)
        return sock

    def close(self) -> None:
        """Take no more calls; those that have not come are let go."""
        self._server.close()
        for visitor in tuple(self.visitors):
            visitor.drop()

    def room(self, newcomer: Visitor) -> None:
        """Guards operators against callers that hang: at the bound the oldest without a whole call goes."""
        if len(self.visitors) > MOST:
            next((v for v in self.waiting if v is not newcomer), newcomer).drop()


class Visitor(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, door: Door) -> None:
        self._door = door
        self._call = Call(door.acts)
        self._dropped = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(WITHIN, self.drop)
        self._door.visitors.add(self)
        self._door.waiting[self] = None
        self._door.room(self)

    def data_received(self, data: bytes) -> None:
        if self._call.answer is not None:
            self._dropped += len(data)
            if self._dropped > DROP_MOST:
                self.drop()
            return
        self._call.feed(data)
        if self._call.answer is not None:
            self._door.waiting.pop(self, None)
            self._transport.write(self._call.answer)
            try:
                self._transport.write_eof()
            except OSError:  # the caller has gone by now
                self.drop()

    def drop(self) -> None:
        """Close it at once."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._door.visitors.discard(self)
        self._door.waiting.pop(self, None)
        self._call.close()
