"""A connection between two processes of one proxy, which carries packets and descriptors and keeps their bounds."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from lugspur.daemon.hot_restart.descriptors import close_all
from lugspur.daemon.hot_restart.packets import MAX_PACKET_BYTES, Packet, PacketError, pack, unpack

MAX_QUEUED_PACKETS = 2048  # packets that wait for a peer: one that takes none for so long is as good as gone
MAX_DESCRIPTORS_PER_PACKET = 4
NO_DESCRIPTOR = -1

Receiver = Callable[["PacketConnection", Packet, list[int]], None]


class PacketConnection:
    """One connection over a Unix socket of type SOCK_SEQPACKET."""

    def __init__(self, sock: socket.socket, receive: Receiver, on_close: Callable[[PacketConnection], None]) -> None:
        """Read from the socket, which is this object's from now on.

        `receive` gets each packet with its descriptors, which are its own; it raises PacketError where it does not
        understand the packet, which ends the connection. `on_close` is called once, when the connection has ended.
        """
        sock.setblocking(False)
        self._sock = sock
        self._receive, self._on_close = receive, on_close
        self._loop = asyncio.get_running_loop()
        self._queue: deque[tuple[bytes, int]] = deque()  # each with a descriptor of this object, or NO_DESCRIPTOR
        self.is_open = True
        self._peer_has_ended = False  # while what the peer said before its end is being read
        self._loop.add_reader(sock.fileno(), self.read_available)

    def send(self, packet: Packet | bytes, descriptor: int = NO_DESCRIPTOR) -> bool:
        """Send a packet, now or once the peer reads; False where the connection has ended.

        The descriptor that goes with it stays the caller's, and may be closed at once.
        """
        data = packet if isinstance(packet, bytes) else pack(packet)
        if self.is_open and not self._peer_has_ended and not self._queue and self._write(data, descriptor):
            return True
        if not self.is_open or self._peer_has_ended:
            return False
        if len(self._queue) >= MAX_QUEUED_PACKETS:  # Guards memory against a process that hangs.
            self.close()
            return False
        self._queue.append((data, os.dup(descriptor) if descriptor >= 0 else NO_DESCRIPTOR))
        self._loop.add_writer(self._sock.fileno(), self._send_queued)
        return True

    @property
    def has_unsent_packets(self) -> bool:
        """Whether a packet waits for the peer to read."""
        return bool(self._queue)

    def _write(self, data: bytes, descriptor: int) -> bool:
        """Return whether a packet has gone out; the connection ends where it never will."""
        try:
            socket.send_fds(self._sock, [data], [descriptor] if descriptor >= 0 else [])
        except BlockingIOError:
            return False
        except OSError:
            self._read_to_the_end()
            return False
        return True

    def _send_queued(self) -> None:
        while self._queue:
            data, descriptor = self._queue[0]
            if not self._write(data, descriptor):
                return
            self._queue.popleft()
            if descriptor >= 0:
                os.close(descriptor)
        self._loop.remove_writer(self._sock.fileno())

    def _read_to_the_end(self) -> None:
        """Read what the peer said before it ended, then close.

        Guards callers whose connections the peer had transferred: their descriptors lie in those packets.
        """
        if not self._peer_has_ended:
            self._peer_has_ended = True
            self.read_available()
            self.close()

    def read_available(self) -> None:
        """Read all that has come; a packet that cannot be understood ends the connection."""
        resets = 0
        while self.is_open:
            try:
                data, descriptors, flags, _ = socket.recv_fds(
                    self._sock, MAX_PACKET_BYTES + 1, MAX_DESCRIPTORS_PER_PACKET
                )
            except BlockingIOError:
                return
            except ConnectionResetError:  # raised once, ahead of what was said before (unix(7)); the end follows
                resets += 1
                if resets > 1:
                    self.close()
                continue
            except OSError:
                self.close()
                return
            try:
                self._deliver(data, descriptors, flags)
            except PacketError:
                self.close()

    def _deliver(self, data: bytes, descriptors: list[int], flags: int) -> None:
        """Pass one packet on; raises PacketError. No data at all is the end of the connection."""
        if not data:
            self.close()
            close_all(descriptors)
        elif len(data) > MAX_PACKET_BYTES or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            close_all(descriptors)
            raise PacketError("a packet is too large")
        else:
            self._receive(self, unpack(data), descriptors)

    def close(self) -> None:
        """End the connection; packets that have not gone out are dropped."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.remove_reader(self._sock.fileno())
        self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        for _, descriptor in self._queue:
            if descriptor >= 0:
                with suppress(OSError):
                    os.close(descriptor)
        self._queue.clear()
        self._on_close(self)
