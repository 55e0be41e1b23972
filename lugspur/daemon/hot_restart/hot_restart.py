"""Finds the process that serves already, takes its place, and is found by the one that comes next.

The socket lies in the folder for temporary files, which both share, and is named after the clients' address. Each
process puts its own there once it is ready, by a rename, so that there is one at any moment.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Any, Protocol

from lugspur.daemon.hot_restart.packet_connection import PacketConnection
from lugspur.daemon.hot_restart.packets import (
    MAX_IDS_PER_PACKET,
    PROTOCOL_VERSION,
    PacketError,
    ProcessState,
    StateAssembler,
    encode_state,
)
from lugspur.discovery.rows import Address, server_id, server_name

STATE_TRANSFER_TIMEOUT_SECONDS = (
    1.0  # seconds in which an estate has to be whole: the platform waits 6 s for the new process
)
MAX_CONNECTIONS = 4  # processes of one proxy at once: the one before, this one, the next, and one that failed
ACCEPT_BACKLOG = 8
MAX_EARLY_MESSAGES = 1024  # messages that are kept until this process serves: some hundreds a second for some 0.1 s


class RestartableProxy(Protocol):
    """A proxy, as far as the other process has to do with it."""

    def snapshot_state(self) -> ProcessState:
        """All that another needs to go on in its place."""

    def apply_peer_ban(self, server: int, on: bool, at: float) -> None:
        """The other process was told so."""

    def apply_peer_drain(self, on: bool) -> None:
        """The other process was told so."""

    def apply_peer_requests(self, begun: list[bytes], done: list[bytes]) -> None:
        """Requests at the other process."""

    def forget_peer_requests(self) -> None:
        """The other process has ended, and its requests with it."""

    def set_superseded(self, on: bool) -> None:
        """Another process serves in its place from now on, or does no more."""

    def detach_peers(self) -> None:
        """No other process of this proxy is left."""

    def adopt_connection(self, sock: socket.socket) -> None:
        """A caller's connection comes from the other process."""


def log_line(line: str) -> None:
    """One line of the log."""
    print(f"lugspur: replacement: {line}", file=sys.stderr, flush=True)


def socket_location(address: Address) -> tuple[str, str]:
    """The folder and the name of the socket."""
    return tempfile.gettempdir(), f"lugspur-{address[0]}-{address[1]}.sock"


@contextmanager
def short_directory_path(directory: str) -> Iterator[str]:
    """The folder under a path that a Unix socket's address takes, however long its own is."""
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)


class Takeover:
    """What a starting process got: the listening socket and the estate, if any process was there."""

    def __init__(self, listener: socket.socket, state: ProcessState) -> None:
        self.listener, self.state = listener, state


class HotRestart:
    """This process's connections to the others of the same proxy."""

    def __init__(self, address: Address) -> None:
        self._directory, self._name = socket_location(address)
        self._loop = asyncio.get_running_loop()
        self._proxy: RestartableProxy | None = None
        self._listener: socket.socket | None = None  # the clients'
        self._sock: socket.socket | None = None  # where the next process finds this one
        self._own_socket = (0, 0)  # the file that this process has put there
        self.connections: dict[PacketConnection, None] = {}
        self.predecessor: PacketConnection | None = None
        self.successor: PacketConnection | None = None  # the process that serves in this one's place
        self._unsent_ids: tuple[list[bytes], list[bytes]] = ([], [])
        self._early_packets: list[tuple[dict[str, Any], list[int]]] = []  # heard before there was a proxy
        self._waiting: asyncio.Future[Takeover] | None = None
        self._parts = StateAssembler()
        self._is_closing = False

    # ---- as the process that comes -----------------------------------------------------------

    async def take_over(self) -> Takeover | None:
        """Ask the process that serves for its place; None where there is none, or nothing whole comes in time."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            with short_directory_path(self._directory) as directory:
                path = f"{directory}/{self._name}"
                # Guards against a socket that somebody else has put there.
                if os.stat(path).st_uid != os.geteuid():
                    raise PermissionError("the socket is another user's")
                sock.connect(path)
        except OSError as fault:
            sock.close()
            if not isinstance(fault, FileNotFoundError | ConnectionRefusedError):
                log_line(f"no hand-over: {fault}")
            return None
        self._waiting = self._loop.create_future()
        self.predecessor = connection = self._add_connection(sock)
        connection.send({"t": "hello", "version": PROTOCOL_VERSION})
        try:
            return await asyncio.wait_for(self._waiting, STATE_TRANSFER_TIMEOUT_SECONDS)
        except TimeoutError:
            log_line(f"no hand-over: nothing whole came within {STATE_TRANSFER_TIMEOUT_SECONDS:g} s")
        except PacketError as fault:
            log_line(f"no hand-over: {fault}")
        connection.close()
        return None

    def _receive_state(self, message: dict[str, Any], fds: list[int]) -> None:
        waiting = self._waiting
        try:
            estate = self._parts.add(message)
            if estate is None or waiting is None or waiting.done():
                return
            if len(fds) != 1:
                raise PacketError("no listening socket came")
            waiting.set_result(Takeover(socket.socket(fileno=fds.pop()), estate))
        except PacketError as fault:
            if waiting is not None and not waiting.done():
                waiting.set_exception(fault)
        finally:
            for fd in fds:
                os.close(fd)

    # ---- as the process that serves ------------------------------------------------------------

    def attach(self, proxy: RestartableProxy, listener: socket.socket) -> None:
        """There is a proxy from here on."""
        self._proxy, self._listener = proxy, listener
        early, self._early_packets = self._early_packets, []
        for message, fds in early:
            self._apply(message, fds)
        if self.predecessor is None or not self.predecessor.is_open:
            proxy.detach_peers()

    def announce_ready(self) -> None:
        """Clients are taken: tell the process before, and be found by the next."""
        if self.predecessor is not None:
            self.predecessor.send({"t": "ready"})
            log_line("this process serves in the place of the one before")
        self._publish_socket()

    def _publish_socket(self) -> None:
        """Put this process's socket in its place, whatever is there."""
        self._withdraw_socket()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            with short_directory_path(self._directory) as directory:
                fresh = f"{directory}/{self._name}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(fresh)  # left by a dead process of the same number
                former = os.umask(0o077)
                try:
                    sock.bind(fresh)
                finally:
                    os.umask(former)
                sock.listen(ACCEPT_BACKLOG)
                os.rename(fresh, f"{directory}/{self._name}")
                self._own_socket = self._socket_identity(directory)
        except OSError as fault:
            sock.close()
            log_line(f"the next process will not find this one: {fault}")
            return
        self._sock = sock
        self._loop.add_reader(sock.fileno(), self._accept)

    def _socket_identity(self, directory: str) -> tuple[int, int]:
        found = os.stat(f"{directory}/{self._name}")
        return found.st_dev, found.st_ino

    def _withdraw_socket(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self.connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        self._add_connection(sock)

    def _add_connection(self, sock: socket.socket) -> PacketConnection:
        connection = PacketConnection(sock, self._receive, self._connection_closed)
        self.connections[connection] = None
        return connection

    def _send_state(self, connection: PacketConnection, message: dict[str, Any]) -> None:
        if message.get("version") != PROTOCOL_VERSION or self._proxy is None or self._listener is None:
            connection.send({"t": "no", "why": f"this process speaks version {PROTOCOL_VERSION}"})
            return
        parts = encode_state(self._proxy.snapshot_state())
        for part in parts[:-1]:
            connection.send(part)
        connection.send(parts[-1], self._listener.fileno())

    # ---- what the others say -------------------------------------------------------------------

    def _receive(self, connection: PacketConnection, message: dict[str, Any], fds: list[int]) -> None:
        kind = message["t"]
        if kind == "estate" and connection is self.predecessor:
            self._receive_state(message, fds)
            return
        if kind == "no" and connection is self.predecessor and self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(PacketError(str(message.get("why"))))
        elif kind == "hello":
            self._send_state(connection, message)
        elif kind == "ready":
            self.successor = connection
            log_line("another process serves in the place of this one")
            if self._proxy is not None:
                self._proxy.set_superseded(True)
        elif self._proxy is None:
            if len(self._early_packets) >= MAX_EARLY_MESSAGES:
                raise PacketError("too much before this process serves")
            self._early_packets.append((message, fds))
            return
        else:
            for other in self.connections:  # three in a row: what binds one binds all
                if other is not connection and kind in ("ban", "drain", "ids"):
                    other.send(message)
            self._apply(message, fds)
            return
        for fd in fds:
            os.close(fd)

    def _apply(self, message: dict[str, Any], fds: list[int]) -> None:
        proxy, kind = self._proxy, message["t"]
        assert proxy is not None
        try:
            if kind == "ban":
                proxy.apply_peer_ban(server_id(message["id"]), bool(message["on"]), float(message["at"]))
            elif kind == "drain":
                proxy.apply_peer_drain(bool(message["on"]))
            elif kind == "ids":
                proxy.apply_peer_requests(
                    [name.encode() for name in message["begun"]], [n.encode() for n in message["done"]]
                )
            elif kind == "caller" and len(fds) == 1:
                proxy.adopt_connection(socket.socket(fileno=fds.pop()))
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise PacketError(f"no message of this form: {fault!r}") from fault
        finally:
            for fd in fds:
                os.close(fd)

    def _connection_closed(self, connection: PacketConnection) -> None:
        self.connections.pop(connection, None)
        if self._is_closing:
            return
        if connection is self.predecessor:
            self.predecessor = None
            if self._waiting is not None and not self._waiting.done():
                self._waiting.set_exception(PacketError("the process that serves has ended"))
            if self._proxy is not None:
                self._proxy.forget_peer_requests()
        if connection is self.successor:
            self.successor = None
            log_line("the process that was to follow has ended; this one serves on")
            if self._proxy is not None:
                self._proxy.set_superseded(False)
                self._publish_socket()
        if not self.connections and self._proxy is not None:
            self._proxy.detach_peers()

    # ---- what this process says ----------------------------------------------------------------

    def broadcast(self, message: dict[str, Any]) -> None:
        """Tell all others at once."""
        for connection in tuple(self.connections):
            connection.send(message)

    def broadcast_ban(self, server: int, on: bool, at: float) -> None:
        """An operator told this process."""
        self.broadcast({"t": "ban", "id": server_name(server), "on": on, "at": at})

    def broadcast_drain(self, on: bool) -> None:
        """An operator told this process."""
        self.broadcast({"t": "drain", "on": on})

    def request_started(self, name: bytes) -> None:
        """A request with this id is open here."""
        self._id(0, name)

    def request_finished(self, name: bytes) -> None:
        """Nothing is owed for it any more."""
        self._id(1, name)

    def _id(self, which: int, name: bytes) -> None:
        if not self.connections:
            return
        if not self._unsent_ids[0] and not self._unsent_ids[1]:
            self._loop.call_soon(self._send_ids)
        self._unsent_ids[which].append(name)

    def _send_ids(self) -> None:
        begun, done = self._unsent_ids
        self._unsent_ids = ([], [])
        for at in range(0, max(len(begun), len(done)), MAX_IDS_PER_PACKET):
            self.broadcast(
                {
                    "t": "ids",
                    "begun": [name.decode() for name in begun[at : at + MAX_IDS_PER_PACKET]],
                    "done": [name.decode() for name in done[at : at + MAX_IDS_PER_PACKET]],
                }
            )

    def has_successor(self) -> bool:
        """Whether another process serves in this one's place, as of what has come by now."""
        for connection in tuple(self.connections):
            connection.read_available()
        return self.successor is not None

    def transfer_connection(self, fd: int) -> bool:
        """Give a caller's connection to the process that follows."""
        return self.successor is not None and self.successor.send({"t": "caller"}, fd)

    @property
    def has_unsent_transfers(self) -> bool:
        """Whether a caller's connection has not gone out yet to the process that follows."""
        return self.successor is not None and self.successor.has_unsent_packets

    def close(self) -> None:
        """This process ends."""
        self._is_closing = True
        self._withdraw_socket()
        with suppress(OSError), short_directory_path(self._directory) as directory:
            if self._own_socket != (0, 0) and self._socket_identity(directory) == self._own_socket:
                os.unlink(f"{directory}/{self._name}")
        for connection in tuple(self.connections):
            connection.close()
