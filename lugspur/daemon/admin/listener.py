"""Carries management calls: one to a connection, few connections, little time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping

from lugspur.daemon.admin.request import Action, AdminRequest
from lugspur.discovery.endpoints import Address

MAX_CONNECTIONS = 24  # connections at once: a dozen that hang, and as many operators
CONNECTION_TIMEOUT_SECONDS = 5.0  # seconds that a connection may take: some stay for 4 s and say nothing
ACCEPT_BACKLOG = 256  # connections that may wait to be accepted
MAX_DISCARDED_BYTES = (
    1 << 20
)  # bytes that are read and dropped behind the answer: closing with bytes unread would reset it


class AdminListener:
    """Listens on the second address."""

    def __init__(self, address: Address, actions: Mapping[tuple[str, str], Action]) -> None:
        self._address, self.actions = address, actions
        self.incomplete: dict[AdminConnection, None] = {}  # those that have not made their call, the oldest first
        self.connections: set[AdminConnection] = set()
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
        self._server = await loop.create_server(lambda: AdminConnection(self), sock=sock, backlog=ACCEPT_BACKLOG)
        return sock

    def close(self) -> None:
        """Take no more calls; those that have not come are let go."""
        self._server.close()
        for connection in tuple(self.connections):
            connection.drop()

    def make_room(self, newcomer: AdminConnection) -> None:
        """Guards operators against callers that hang: at the bound the oldest without a whole call goes."""
        if len(self.connections) > MAX_CONNECTIONS:
            next((v for v in self.incomplete if v is not newcomer), newcomer).drop()


class AdminConnection(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, listener: AdminListener) -> None:
        self._listener = listener
        self._call = AdminRequest(listener.actions)
        self._dropped = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(CONNECTION_TIMEOUT_SECONDS, self.drop)
        self._listener.connections.add(self)
        self._listener.incomplete[self] = None
        self._listener.make_room(self)

    def data_received(self, data: bytes) -> None:
        if self._call.answer is not None:
            self._dropped += len(data)
            if self._dropped > MAX_DISCARDED_BYTES:
                self.drop()
            return
        self._call.feed(data)
        if self._call.answer is not None:
            self._listener.incomplete.pop(self, None)
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
        self._listener.connections.discard(self)
        self._listener.incomplete.pop(self, None)
        self._call.close()
