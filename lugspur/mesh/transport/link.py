"""One connection between two processes of the mesh: frames in, frames out, all of one turn of the loop in one write."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import msgspec

from lugspur.mesh import events
from lugspur.mesh.control.messages import Message, decode, encode

MAX_FRAME_BYTES = 96 << 20  # the largest body of a request that operators allow is 64 MiB, and its head
MAX_UNSENT_BYTES = 48 << 20  # bytes that may wait for a peer that does not read: then it counts as gone
USER_TIMEOUT_MS = 1500  # ms without an acknowledgement after which a connection is dead: a cut says nothing
# s, s, probes. Where something is sent the time above finds a dark machine.
KEEPALIVE_IDLE_SECONDS, KEEPALIVE_INTERVAL_SECONDS, KEEPALIVE_PROBES = 10, 1, 2
# s, between proxies: each is connected to all others, so that at 620 proxies probes each 10 s are five times what a
# proxy may spend on control. A dark machine leaves with its lease, one that has restarted says so (`Dialer.met`).
PROXY_KEEPALIVE_IDLE_SECONDS = 75


def configure_socket(sock: socket.socket, keep_idle: int) -> None:
    """Have the system tell of a peer that is silent: a machine without power sends no reset."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keep_idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class Link(asyncio.Protocol):
    """`heard` is given each message, `ended` is told once that nothing more comes or goes."""

    def __init__(
        self,
        heard: Callable[[Link, Message], None],
        ended: Callable[[Link], None],
        begun: Callable[[Link], None] | None = None,
        keep_idle: int = KEEPALIVE_IDLE_SECONDS,
    ) -> None:
        """`keep_idle`: seconds without a byte after which the system asks whether the peer is still there."""
        self._heard, self._ended, self._begun = heard, ended, begun
        self._keep_idle = keep_idle
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._in = bytearray()
        self._out: list[bytes] = []
        self._size = 0
        self.open = True
        self.peer = ""  # the IP number of who dialled, once it has said Hello
        self.answered = False  # whether who was dialled has said Hello: its process runs, and takes requests
        self.life = ""  # ...and of which life it is
        self.at = 0.0  # the loop's time of the latest message

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        configure_socket(transport.get_extra_info("socket"), self._keep_idle)
        self.at = self._loop.time()
        if self._begun is not None:
            self._begun(self)
        self._flush()

    def data_received(self, data: bytes) -> None:
        self.at = self._loop.time()
        held = self._in
        held += data
        at, end = 0, len(held)
        while end - at >= 4 and self.open:
            size = int.from_bytes(held[at : at + 4], "big")
            if size > MAX_FRAME_BYTES:  # Guards memory against a peer that announces more than any message has.
                events.warn("frame", peer=self.peer, size=size)
                self.close()
                return
            if end - at - 4 < size:
                break
            try:
                message = decode(bytes(held[at + 4 : at + 4 + size]))
            except (msgspec.DecodeError, msgspec.ValidationError) as fault:
                events.warn("frame", peer=self.peer, fault=str(fault))
                self.close()
                return
            at += 4 + size
            self._heard(self, message)
        del held[:at]

    def send(self, message: Message) -> None:
        """Write it with all else of this turn of the loop."""
        if not self.open:
            return
        frame = encode(message)
        self._size += len(frame)
        if not self._out:
            self._loop.call_soon(self._flush)
        self._out.append(frame)
        if self._size > MAX_UNSENT_BYTES:  # Guards memory against a peer that is not there yet and never comes.
            self.close()

    def _flush(self) -> None:
        transport = self._transport
        if transport is None or not self._out or not self.open:
            return
        data, self._out, self._size = b"".join(self._out), [], 0
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:  # Guards memory against a peer that does not read.
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def close(self) -> None:
        """Drop it at once."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    def _end(self) -> None:
        if self.open:
            self.open = False
            self._out.clear()
            self._ended(self)


class Dialer:
    """Keeps one connection to a peer: dials, and dials again with a growing pause."""

    def __init__(
        self,
        ip: str,
        port: int,
        own: str,
        heard: Callable[[Link, Message], None],
        up: Callable[[Dialer], None],
        down: Callable[[Dialer], None],
        keep_idle: int = KEEPALIVE_IDLE_SECONDS,
    ) -> None:
        self._keep_idle = keep_idle
        self.ip, self._port, self._own = ip, port, own
        self._heard, self._up, self._down = heard, up, down
        self._loop = asyncio.get_running_loop()
        self.link: Link | None = None  # while it is up
        self._closed = False
        self.failures = 0  # dials in a row that brought nothing
        self.since = self._loop.time()  # when it went up or down
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._dial()

    def _dial(self) -> None:
        self._timer = None
        if not self._closed and self._task is None:
            self._task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        link = Link(self._heard, self._lost, keep_idle=self._keep_idle)
        link.peer = self.ip
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                await self._loop.create_connection(lambda: link, self.ip, self._port, local_addr=(self._own, 0))
        except (OSError, TimeoutError):
            self._task = None
            self.failures += 1
            self._again()
            return
        self._task = None
        if self._closed:
            link.close()
        elif link.open:
            self.link, self.failures, self.since = link, 0, self._loop.time()
            self._up(self)
        else:
            self._again()

    def met(self, life: str) -> None:
        """The peer has dialled here, in this life: a connection to a former one leads nowhere."""
        if self.link is not None and self.link.life not in ("", life):
            self.link.close()
        else:
            self.nudge()

    def nudge(self) -> None:
        """Something speaks for it: dial now where a pause is on."""
        if self._timer is not None and self.failures > 1:
            self._timer.cancel()
            self._dial()

    def _again(self) -> None:
        if not self._closed and self._timer is None:
            pause = min(MAX_DIAL_DELAY_SECONDS, FIRST_DIAL_DELAY_SECONDS * 2.0 ** min(self.failures, 6))
            self._timer = self._loop.call_later(pause, self._dial)

    def _lost(self, link: Link) -> None:
        if self.link is link:
            self.link, self.since = None, self._loop.time()
            if not self._closed:
                self._down(self)
                self._again()

    def close(self) -> None:
        """End it."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self.link is not None:
            self.link.close()


DIAL_TIMEOUT_SECONDS = 0.6  # seconds: a cut hangs, and zones are milliseconds apart
# Seconds between dials: a peer that comes back is wanted within its first second.
FIRST_DIAL_DELAY_SECONDS, MAX_DIAL_DELAY_SECONDS = 0.02, 0.5
