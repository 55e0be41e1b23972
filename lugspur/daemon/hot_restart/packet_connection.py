"""Carries packets and descriptors between two processes of one proxy, over a Unix socket that keeps their bounds."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from lugspur.daemon.hot_restart.packets import MAX_PACKET_BYTES, PacketError, pack, unpack

MAX_QUEUED_PACKETS = 2048  # packets that wait for the other side: one that takes none for so long is as good as gone
MAX_DESCRIPTORS_PER_PACKET = 4  # descriptors in one packet

Receiver = Callable[["PacketConnection", dict[str, Any], list[int]], None]


class PacketConnection:
    """One connection; `heard` is given each message with its descriptors, which are its own from then on."""

    def __init__(self, sock: socket.socket, receive: Receiver, on_close: Callable[[PacketConnection], None]) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._receive, self._on_close = receive, on_close
        self._loop = asyncio.get_running_loop()
        self._queue: deque[tuple[bytes, int]] = deque()  # each with a descriptor of ours, or -1
        self.is_open = True
        self._is_ending = False  # the other side has ended, and what it said before that is being read
        self._loop.add_reader(sock.fileno(), self.read_available)

    def send(self, message: dict[str, Any] | bytes, fd: int = -1) -> bool:
        """Send a message, with a descriptor that stays the caller's; False where the link is over."""
        data = message if isinstance(message, bytes) else pack(message)
        if self.is_open and not self._is_ending and not self._queue and self._write(data, fd):
            return True
        if not self.is_open or self._is_ending:
            return False
        if len(self._queue) >= MAX_QUEUED_PACKETS:  # Guards memory against a process that hangs.
            self.close()
            return False
        self._queue.append((data, os.dup(fd) if fd >= 0 else -1))
        self._loop.add_writer(self._sock.fileno(), self._send_queued)
        return True

    def _write(self, data: bytes, fd: int) -> bool:
        """Whether it has gone out; the link is over where it never will."""
        try:
            socket.send_fds(self._sock, [data], [fd] if fd >= 0 else [])
        except BlockingIOError:
            return False
        except OSError:
            self._finish_after_peer()
            return False
        return True

    @property
    def has_unsent_packets(self) -> bool:
        """Whether something has not gone out yet."""
        return bool(self._queue)

    def _finish_after_peer(self) -> None:
        """The other side has ended: hear what it said before that, then close.

        Guards callers whose connections it had passed on: their descriptors lie in those messages.
        """
        if not self._is_ending:
            self._is_ending = True
            self.read_available()
            self.close()

    def _send_queued(self) -> None:
        while self._queue:
            data, fd = self._queue[0]
            if not self._write(data, fd):
                return
            self._queue.popleft()
            if fd >= 0:
                os.close(fd)
        self._loop.remove_writer(self._sock.fileno())

    def read_available(self) -> None:
        """Read all that has come; a message that can't be understood ends the link."""
        resets = 0
        while self.is_open:
            try:
                data, fds, flags, _ = socket.recv_fds(self._sock, MAX_PACKET_BYTES + 1, MAX_DESCRIPTORS_PER_PACKET)
            except BlockingIOError:
                return
            except ConnectionResetError:  # told once, ahead of what was said before (unix(7)); then there is the end
                resets += 1
                if resets > 1:
                    self.close()
                continue
            except OSError:
                self.close()
                return
            try:
                if not data:
                    self.close()
                elif len(data) > MAX_PACKET_BYTES or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                    raise PacketError("a packet is too large")
                else:
                    passed, fds = fds, []
                    self._receive(self, unpack(data), passed)
            except PacketError:
                self.close()
            finally:
                for fd in fds:
                    os.close(fd)

    def close(self) -> None:
        """End it; who keeps it is told once."""
        if not self.is_open:
            return
        self.is_open = False
        self._loop.remove_reader(self._sock.fileno())
        self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        for _, fd in self._queue:
            if fd >= 0:
                with suppress(OSError):
                    os.close(fd)
        self._queue.clear()
        self._on_close(self)
