"""The connections of the admin listener: one request on each, limited in number and time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping

from lugspur.daemon.admin.action import Action
from lugspur.daemon.admin.request import AdminRequest
from lugspur.discovery.endpoints import Address

#: Connections at the same time: a dozen that hang, and as many of operators.
MAX_CONNECTIONS = 24
#: The limit of a whole connection: some stay open for 4 s without sending anything.
CONNECTION_TIMEOUT_SECONDS = 5.0
#: Connections that may wait to be accepted.
ACCEPT_BACKLOG = 256
#: Bytes that are read and discarded after the response: closing a connection with unread bytes would reset it.
MAX_DISCARDED_BYTES = 1 << 20


class AdminListener:
    """Listens at the admin address, on the event loop that serves clients."""

    def __init__(self, address: Address, actions: Mapping[tuple[str, str], Action]) -> None:
        """`actions` are by method and path."""
        self._address, self.actions = address, actions
        self.incomplete: dict[AdminConnection, None] = {}  # connections without a complete request, the oldest first
        self.connections: set[AdminConnection] = set()
        self.port = 0
        self._server: asyncio.Server

    async def open(self) -> socket.socket:
        """Start to listen, and return the listening socket; raises OSError if the address is in use."""
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
        """Stop listening, and drop all connections."""
        self._server.close()
        for connection in tuple(self.connections):
            connection.drop()

    def make_room(self, new_connection: AdminConnection) -> None:
        """Drop the oldest connection without a complete request if there are too many connections.

        Guards operators against clients that hang. If the requests of all others are complete, the new connection is
        dropped.
        """
        if len(self.connections) > MAX_CONNECTIONS:
            next(
                (connection for connection in self.incomplete if connection is not new_connection), new_connection
            ).drop()


class AdminConnection(asyncio.Protocol):
    """One connection, for one request."""

    def __init__(self, listener: AdminListener) -> None:
        """Start without any byte of the request."""
        self._listener = listener
        self._request = AdminRequest(listener.actions)
        self._discarded_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(CONNECTION_TIMEOUT_SECONDS, self.drop)
        self._listener.connections.add(self)
        self._listener.incomplete[self] = None
        self._listener.make_room(self)

    def data_received(self, data: bytes) -> None:
        if self._request.response is not None:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.drop()
            return
        self._request.feed(data)
        if self._request.response is not None:
            self._listener.incomplete.pop(self, None)
            self._transport.write(self._request.response)
            try:
                self._transport.write_eof()
            except OSError:  # The client has disconnected already.
                self.drop()

    def drop(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._listener.connections.discard(self)
        self._listener.incomplete.pop(self, None)
        self._request.close()
