"""Connections that are being made: look-ups, addresses one after another, and time-outs."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any, Generic, Protocol, TypeVar

from lugspur.seams import Listed

OWN_FAULTS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL)  # say nothing of a backend


class Dialled(Protocol):
    """What a connection is made for."""

    dial: Any  # the Dial, while it goes on


For = TypeVar("For", bound=Dialled)
For_contra = TypeVar("For_contra", bound=Dialled, contravariant=True)


class Dialler(Protocol[For_contra]):
    """Who wants connections."""

    def connected(self, wanted: For_contra, sock: socket.socket) -> None:
        """One has come up."""

    def unreachable(self, wanted: For_contra, number: int) -> None:
        """None has; `number` is the system's error, 0 for a time-out."""

    def undone(self) -> None:
        """One was given up."""


class Dial(Generic[For]):
    """A connection that is being made; it ends as a connection, or says that none came up.

    Sockets are dialled and read by the loop's readers and writers: a task and a transport for each would cost
    more than all else that an attempt needs of the loop.
    """

    __slots__ = ("_addresses", "_dialler", "_errno", "_loop", "_over", "_resolving", "_timer", "_wanted", "sock")

    def __init__(self, dialler: Dialler[For], wanted: For, backend: Listed, within: float) -> None:
        self._dialler, self._wanted = dialler, wanted
        self._loop = asyncio.get_running_loop()
        self._over = False
        self._errno = 0  # why the latest address failed
        self._addresses: list[tuple[int, Any]] = []  # those that are still to be tried
        self._resolving: asyncio.Task[None] | None = None
        self.sock: socket.socket | None = None
        self._timer = self._loop.call_later(within, self._fail)
        family = backend.family
        if family is None:
            self._resolving = self._loop.create_task(self._resolve(*backend.address))
        else:
            self._addresses.append((family, backend.address))
            self._next()

    async def _resolve(self, host: str, port: int) -> None:
        """Names take a look-up, which must not stop the loop."""
        try:
            found = await self._loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
        except OSError:
            self._fail()
        else:
            self._addresses = [(family, address) for family, _, _, _, address in found]
            self._next()

    def _next(self) -> None:
        """Try the next address; the outcome comes later in any case: whoever sends is not ready for it."""
        if self._over:
            return
        if not self._addresses:
            self._loop.call_soon(self._fail)
            return
        family, address = self._addresses.pop(0)
        try:
            self.sock = sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._errno = sock.connect_ex(address)
        except OSError as fault:  # no descriptor left
            self._errno = fault.errno or 0
            self._loop.call_soon(self._fail)
            return
        if self._errno in (0, errno.EINPROGRESS):
            self._loop.add_writer(sock.fileno(), self._ready)
        else:
            self._drop()
            self._next()

    def _ready(self) -> None:
        if self._over or self.sock is None:
            return
        self._errno = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self._errno:
            self._drop()
            self._next()
            return
        self._loop.remove_writer(self.sock.fileno())
        self._end()
        self._dialler.connected(self._wanted, self.sock)

    def _drop(self) -> None:
        if self.sock is not None:
            self._loop.remove_writer(self.sock.fileno())
            self.sock.close()
            self.sock = None

    def _end(self) -> None:
        self._over = True
        self._timer.cancel()
        self._wanted.dial = None

    def _fail(self) -> None:
        """Refused, timed out, or no descriptor left."""
        if not self._over:
            self._end()
            self._drop()
            self._dialler.unreachable(self._wanted, self._errno)

    def cancel(self) -> None:
        """Its exchange is over."""
        if not self._over:
            self._end()
            if self._resolving is not None:
                self._resolving.cancel()
            self._drop()
            self._dialler.undone()
