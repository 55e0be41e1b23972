"""The Unix socket at which a starting process finds the one that serves.

It lies in the directory for temporary files, which both processes share, and is named after the clients' address. Each
process puts its own there once it takes clients, by a rename, so that there is exactly one at any moment.
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
    """Return the directory and the name of the socket of a proxy with this clients' address."""
    return tempfile.gettempdir(), f"lugspur-{address[0]}-{address[1]}.sock"


@contextmanager
def short_directory_path(directory: str) -> Iterator[str]:
    """Give a directory under a path that fits a Unix socket's address, however long its own path is (unix(7))."""
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)


def _new_socket() -> socket.socket:
    """Return a socket that keeps the bounds of packets."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


class RendezvousSocket:
    """Connects to the process that serves, and lets the next one connect to this process."""

    def __init__(self, address: Address, accepted: Callable[[socket.socket], None]) -> None:
        """`address` is the clients'; `accepted` gets each connection of a starting process, which is its own then."""
        self._directory, self._name = socket_location(address)
        self._accepted = accepted
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._own_file = NO_FILE  # device and inode of the file that this process has put there

    def connect(self) -> socket.socket | None:
        """Connect to the process that serves; None where there is none, or where its socket cannot be used."""
        sock = _new_socket()
        try:
            with short_directory_path(self._directory) as directory:
                path = f"{directory}/{self._name}"
                # Guards against a socket that somebody else has put there.
                if os.stat(path).st_uid != os.geteuid():
                    raise PermissionError("the socket is another user's")
                sock.connect(path)
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                log_line(f"no hand-over: {error}")
            return None
        return sock

    def publish(self) -> None:
        """Put this process's socket in its place, whatever is there; a failure is logged, and nobody finds it then."""
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
        """Bind under a name of its own, listen, and take the name that others look for."""
        own_path = f"{directory}/{self._name}.{os.getpid()}"
        with suppress(FileNotFoundError):
            os.unlink(own_path)  # left by a dead process of the same number
        former_mask = os.umask(0o077)
        try:
            sock.bind(own_path)
        finally:
            os.umask(former_mask)
        sock.listen(ACCEPT_BACKLOG)
        os.rename(own_path, f"{directory}/{self._name}")
        self._own_file = self._file_identity(directory)

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        self._accepted(sock)

    def close(self) -> None:
        """Be found by nobody from now on; the file goes too, unless another process has put its own there."""
        self._stop_listening()
        with suppress(OSError), short_directory_path(self._directory) as directory:
            if self._own_file != NO_FILE and self._file_identity(directory) == self._own_file:
                os.unlink(f"{directory}/{self._name}")

    def _file_identity(self, directory: str) -> tuple[int, int]:
        found = os.stat(f"{directory}/{self._name}")
        return found.st_dev, found.st_ino

    def _stop_listening(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
