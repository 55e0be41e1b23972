"""The Unix socket at which a starting process finds the serving one.

The socket is in the directory for temporary files, which both processes share, and is named after the address of the
clients' listener. Once a process accepts clients, it moves its own socket to this name by a rename, so that there is
exactly one at any moment.
"""

from __future__ import annotations

import asyncio
import os
import socket
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

from lugspur.daemon.hot_restart.log import log_line
from lugspur.discovery.endpoints import Address

ACCEPT_BACKLOG = 8
NO_FILE = (0, 0)


def socket_location(address: Address) -> tuple[str, str]:
    """Return the directory and the name of the socket of a proxy whose clients' listener has this address."""
    return tempfile.gettempdir(), f"lugspur-{address[0]}-{address[1]}.sock"


@contextmanager
def short_directory_path(directory: str) -> Iterator[str]:
    """Provide a path to a directory that is short enough for a Unix socket's address (unix(7))."""
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)


def _new_socket() -> socket.socket:
    """Return a socket that preserves the boundaries of packets."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


class RendezvousSocket:
    """Connects to the serving process, and lets the next process connect to this one."""

    def __init__(self, address: Address, on_accept: Callable[[socket.socket], None]) -> None:
        """`address` is that of the clients' listener; `on_accept` gets, and owns, each connection of a starting process."""
        self._directory, self._name = socket_location(address)
        self._on_accept = on_accept
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._own_file = NO_FILE  # device and inode of the socket file of this process

    def connect(self) -> socket.socket | None:
        """Connect to the serving process; return None if there is none, or if its socket cannot be used."""
        sock = _new_socket()
        try:
            with short_directory_path(self._directory) as directory:
                path = f"{directory}/{self._name}"
                # Guards against a socket that another user has created.
                if os.stat(path).st_uid != os.geteuid():
                    raise PermissionError("the socket belongs to another user")
                sock.connect(path)
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log_line(f"takeover failed: {error}")
            return None
        return sock

    def publish(self) -> None:
        """Listen at the socket, and replace the one of another process; on a failure, which is logged, no process finds it."""
        self._stop_listening()
        sock = _new_socket()
        try:
            with short_directory_path(self._directory) as directory:
                self._bind(sock, directory)
        except OSError as error:
            sock.close()
            log_line(f"the next process will not find this one: {error}")
            return
        self._sock = sock
        self._loop.add_reader(sock.fileno(), self._accept)

    def _bind(self, sock: socket.socket, directory: str) -> None:
        """Bind the socket under a temporary name, listen, and rename it to the name that other processes look for."""
        own_path = f"{directory}/{self._name}.{os.getpid()}"
        with suppress(FileNotFoundError):
            os.unlink(own_path)  # left by a dead process with the same pid
        previous_mask = os.umask(0o077)
        try:
            sock.bind(own_path)
        finally:
            os.umask(previous_mask)
        sock.listen(ACCEPT_BACKLOG)
        os.rename(own_path, f"{directory}/{self._name}")
        self._own_file = self._file_identity(directory)

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        self._on_accept(sock)

    def close(self) -> None:
        """Stop listening, and remove the socket file unless another process has replaced it."""
        self._stop_listening()
        with suppress(OSError), short_directory_path(self._directory) as directory:
            if self._own_file != NO_FILE and self._file_identity(directory) == self._own_file:
                os.unlink(f"{directory}/{self._name}")

    def _file_identity(self, directory: str) -> tuple[int, int]:
        status = os.stat(f"{directory}/{self._name}")
        return status.st_dev, status.st_ino

    def _stop_listening(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
