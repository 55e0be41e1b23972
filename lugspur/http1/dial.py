"""Establishing connections: name resolution, one address after another, and timeouts."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any, Generic, Protocol, TypeVar

from lugspur.interfaces import ListedBackend

# Errors that have local causes and say nothing about a backend.
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL)


class DialTarget(Protocol):
    """An exchange that a connection is established for."""

    dial: Any  # the Dial while it is in progress


ExchangeT = TypeVar("ExchangeT", bound=DialTarget)
ExchangeT_contra = TypeVar("ExchangeT_contra", bound=DialTarget, contravariant=True)


class Dialler(Protocol[ExchangeT_contra]):
    """The owner of the exchanges that need connections."""

    def connected(self, exchange: ExchangeT_contra, sock: socket.socket) -> None:
        """Take an established connection."""

    def unreachable(self, exchange: ExchangeT_contra, error_number: int) -> None:
        """Take a failure; `error_number` is the system's error number, 0 for a timeout."""

    def dial_ended(self) -> None:
        """Release the resources of a cancelled dial."""


class Dial(Generic[ExchangeT]):
    """A connection that is being established; the dialler is notified of the connection or of the failure.

    Sockets are connected and read through the loop's readers and writers: a task and a transport for each would
    cost more than everything else that an attempt needs of the loop.
    """

    __slots__ = ("_addresses", "_dialler", "_errno", "_loop", "_ended", "_resolving", "_timer", "_exchange", "sock")

    def __init__(
        self, dialler: Dialler[ExchangeT], exchange: ExchangeT, backend: ListedBackend, timeout: float
    ) -> None:
        self._dialler, self._exchange = dialler, exchange
        self._loop = asyncio.get_running_loop()
        self._ended = False
        self._errno = 0  # why the latest address failed
        self._addresses: list[tuple[int, Any]] = []  # the addresses that have not been tried yet
        self._resolving: asyncio.Task[None] | None = None
        self.sock: socket.socket | None = None
        self._timer = self._loop.call_later(timeout, self._fail)
        family = backend.family
        if family is None:
            self._resolving = self._loop.create_task(self._resolve(*backend.address))
        else:
            self._addresses.append((family, backend.address))
            self._try_next_address()

    async def _resolve(self, host: str, port: int) -> None:
        """Resolve the host name without blocking the loop."""
        try:
            found = await self._loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
        except OSError:
            self._fail()
        else:
            self._addresses = [(family, address) for family, _, _, _, address in found]
            self._try_next_address()

    def _try_next_address(self) -> None:
        """Connect to the next address.

        The outcome is always reported later, because the sender isn't ready for it yet.
        """
        if self._ended:
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
        except OSError as fault:  # no file descriptor left
            self._errno = fault.errno or 0
            self._loop.call_soon(self._fail)
            return
        if self._errno in (0, errno.EINPROGRESS):
            self._loop.add_writer(sock.fileno(), self._ready)
        else:
            self._close_socket()
            self._try_next_address()

    def _ready(self) -> None:
        if self._ended or self.sock is None:
            return
        self._errno = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self._errno:
            self._close_socket()
            self._try_next_address()
            return
        self._loop.remove_writer(self.sock.fileno())
        self._finish()
        self._dialler.connected(self._exchange, self.sock)

    def _close_socket(self) -> None:
        if self.sock is not None:
            self._loop.remove_writer(self.sock.fileno())
            self.sock.close()
            self.sock = None

    def _finish(self) -> None:
        self._ended = True
        self._timer.cancel()
        self._exchange.dial = None

    def _fail(self) -> None:
        """Report the failure: connection refused, timed out, or no file descriptor left."""
        if not self._ended:
            self._finish()
            self._close_socket()
            self._dialler.unreachable(self._exchange, self._errno)

    def cancel(self) -> None:
        """Cancel the dial because its exchange has ended."""
        if not self._ended:
            self._finish()
            if self._resolving is not None:
                self._resolving.cancel()
            self._close_socket()
            self._dialler.dial_ended()
