"""One connection between two processes of the mesh; all frames of one iteration of the event loop are one write."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import msgspec

from lugspur.mesh import events
from lugspur.mesh.control.messages import Message, decode, encode

LENGTH_BYTES = 4  # size of the length before each frame, big-endian
MAX_FRAME_BYTES = 96 << 20  # the largest request body that operators allow is 64 MiB; its head is added
MAX_UNSENT_BYTES = 48 << 20  # for a peer that does not read; with more the connection is closed
USER_TIMEOUT_MS = 1500  # without an acknowledgement, after which a connection is dead: a partition sends no reset
KEEPALIVE_INTERVAL_SECONDS = 1  # between two probes of an idle connection
KEEPALIVE_PROBES = 2  # unanswered probes after which an idle connection is dead
#: Seconds without traffic after which a connection is probed. If data is unacknowledged, USER_TIMEOUT_MS applies.
KEEPALIVE_IDLE_SECONDS = 10
#: The same between proxies: each is connected to all others, so that with 620 proxies probes every 10 s take five times
#: the traffic that a proxy may spend on control. A machine that has failed is removed when its lease expires, and one
#: that has restarted dials its peers (`Dialer.peer_dialled`).
PROXY_KEEPALIVE_IDLE_SECONDS = 75


def configure_socket(sock: socket.socket, keep_idle: int) -> None:
    """Let the kernel detect a silent peer, as a machine that loses power sends no reset.

    `keep_idle`: seconds without traffic after which the connection is probed.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keep_idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class Link(asyncio.Protocol):
    """A connection that carries messages; data that is not a message closes it."""

    def __init__(
        self,
        on_message: Callable[[Link, Message], None],
        on_end: Callable[[Link], None],
        keep_idle: int = KEEPALIVE_IDLE_SECONDS,
    ) -> None:
        """`on_end` is called once, when the connection has ended; `keep_idle` as in `configure_socket`."""
        self._on_message, self._on_end = on_message, on_end
        self._keep_idle = keep_idle
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()  # an incomplete frame
        self._unsent: list[bytes] = []  # frames of this iteration of the loop, or from before the connection was made
        self._unsent_bytes = 0
        self._is_writing_paused = False  # the peer does not read as fast as frames are written
        self.on_writable: Callable[[Link], None] | None = None  # called once, when fewer bytes are unsent
        self.is_open = True
        self.peer = ""  # IP number of the peer; on the accepting side known once the peer has sent Hello
        # Whether the dialled peer has sent Hello: its process runs and accepts requests.
        self.has_received_hello = False
        self.peer_incarnation = ""  # incarnation of the peer, from its Hello
        self.last_received_at = 0.0  # by the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the frames that were queued before the connection was made."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        configure_socket(transport.get_extra_info("socket"), self._keep_idle)
        self.last_received_at = self._loop.time()
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Handle the messages of all complete frames."""
        self.last_received_at = self._loop.time()
        received = self._received
        received += data
        begin, end = 0, len(received)
        while end - begin >= LENGTH_BYTES and self.is_open:
            size = int.from_bytes(received[begin : begin + LENGTH_BYTES], "big")
            if size > MAX_FRAME_BYTES:  # Bounds memory: no message has as many bytes as the peer announces.
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
        """Write a message with all others of this iteration of the loop; it is dropped if the connection has ended."""
        if not self.is_open:
            return
        frame = encode(message)
        self._unsent_bytes += len(frame)
        if not self._unsent:
            self._loop.call_soon(self._flush)
        self._unsent.append(frame)
        if self._unsent_bytes > MAX_UNSENT_BYTES:  # Bounds memory while the connection is not established.
            self.close()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        buffered = 0 if self._transport is None else self._transport.get_write_buffer_size()
        return self._unsent_bytes + buffered

    def pause_writing(self) -> None:
        """Handle that the transport has more unsent bytes than it should."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Handle that the transport has sent most of its bytes."""
        self._is_writing_paused = False
        self._report_writable()

    def _report_writable(self) -> None:
        on_writable, self.on_writable = self.on_writable, None
        if on_writable is not None:
            on_writable(self)

    def _flush(self) -> None:
        transport = self._transport
        if transport is None or not self._unsent or not self.is_open:
            return
        data, self._unsent, self._unsent_bytes = b"".join(self._unsent), [], 0
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:  # Bounds memory for a peer that does not read.
            self.close()
        elif self.on_writable is not None and not self._is_writing_paused:
            self._report_writable()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self._end()

    def close(self) -> None:
        """Abort the connection; unsent frames are dropped."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    def _end(self) -> None:
        if self.is_open:
            self.is_open = False
            self._unsent.clear()
            self._on_end(self)
