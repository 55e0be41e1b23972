"""One connection between two processes of the mesh: frames in and out, all of one turn of the loop in one write."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import msgspec

from lugspur.mesh import events
from lugspur.mesh.control.messages import Message, decode, encode

LENGTH_BYTES = 4  # of the length before each frame, big-endian
MAX_FRAME_BYTES = 96 << 20  # the largest body of a request that operators allow is 64 MiB, and its head
MAX_UNSENT_BYTES = 48 << 20  # that may wait for a peer that does not read: with more it counts as gone
USER_TIMEOUT_MS = 1500  # without an acknowledgement, after which a connection is dead: a partition says nothing
KEEPALIVE_INTERVAL_SECONDS = 1  # between two probes of a connection that is idle
KEEPALIVE_PROBES = 2  # without a reply, after which an idle connection is dead
#: Seconds without a byte after which a connection is probed. Where something is sent USER_TIMEOUT_MS counts.
KEEPALIVE_IDLE_SECONDS = 10
#: The same between proxies: each is connected to all others, so that with 620 proxies probes every 10 s are five times
#: what a proxy may spend on control. A dark machine leaves with its lease, one that has restarted says so (`met`).
PROXY_KEEPALIVE_IDLE_SECONDS = 75


def configure_socket(sock: socket.socket, keep_idle: int) -> None:
    """Have the system notice a silent peer: a machine without power sends no reset.

    `keep_idle`: seconds without a byte after which it is probed.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keep_idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class Link(asyncio.Protocol):
    """A connection that carries messages; what is no message ends it."""

    def __init__(
        self,
        on_message: Callable[[Link, Message], None],
        on_end: Callable[[Link], None],
        keep_idle: int = KEEPALIVE_IDLE_SECONDS,
    ) -> None:
        """`on_end` is called once, when nothing more comes or goes; `keep_idle` as in `configure_socket`."""
        self._on_message, self._on_end = on_message, on_end
        self._keep_idle = keep_idle
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()  # the beginning of a frame
        self._unsent: list[bytes] = []  # frames of this turn of the loop, or of before the connection was made
        self._unsent_bytes = 0
        self.is_open = True
        self.peer = ""  # the IP number of the peer: of who dialled, once it has said Hello
        self.is_greeted = False  # whether who was dialled has said Hello: its process runs, and takes requests
        self.peer_incarnation = ""  # ...and which one it is
        self.last_received_at = 0.0  # by the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what waits for the connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        configure_socket(transport.get_extra_info("socket"), self._keep_idle)
        self.last_received_at = self._loop.time()
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Take the messages of all frames that are complete."""
        self.last_received_at = self._loop.time()
        received = self._received
        received += data
        begin, end = 0, len(received)
        while end - begin >= LENGTH_BYTES and self.is_open:
            size = int.from_bytes(received[begin : begin + LENGTH_BYTES], "big")
            if size > MAX_FRAME_BYTES:  # Guards memory against a peer that announces more than any message has.
                events.warn("frame", peer=self.peer, size=size)
                self.close()
                return
            if end - begin - LENGTH_BYTES < size:
                break
            begin += LENGTH_BYTES
            try:
                message = decode(bytes(received[begin : begin + size]))
            except (msgspec.DecodeError, msgspec.ValidationError) as fault:
                events.warn("frame", peer=self.peer, fault=str(fault))
                self.close()
                return
            begin += size
            self._on_message(self, message)
        del received[:begin]

    def send(self, message: Message) -> None:
        """Write a message with all others of this turn of the loop; it is dropped where the connection has ended."""
        if not self.is_open:
            return
        frame = encode(message)
        self._unsent_bytes += len(frame)
        if not self._unsent:
            self._loop.call_soon(self._flush)
        self._unsent.append(frame)
        if self._unsent_bytes > MAX_UNSENT_BYTES:  # Guards memory against a peer that is not there yet and never comes.
            self.close()

    def _flush(self) -> None:
        transport = self._transport
        if transport is None or not self._unsent or not self.is_open:
            return
        data, self._unsent, self._unsent_bytes = b"".join(self._unsent), [], 0
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:  # Guards memory against a peer that does not read.
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._end()

    def close(self) -> None:
        """End the connection at once, whatever is unsent."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    def _end(self) -> None:
        if self.is_open:
            self.is_open = False
            self._unsent.clear()
            self._on_end(self)
