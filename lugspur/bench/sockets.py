"""Ports on loopback."""

from __future__ import annotations

import socket
import time

_held: list[socket.socket] = []  # until this process ends


def free_port() -> int:
    """A port that nobody listens on, and that nobody is given until this process ends.

    Guards against a port that is taken between the look and the use: connections of whole test runs draw theirs from
    the same range. The socket stays bound without listening: the system gives its port to nobody, refuses connections
    to it, and lets a listener with SO_REUSEADDR have it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _held.append(sock)
    return int(sock.getsockname()[1])


def wait_for(port: int, within: float) -> None:
    """Wait until somebody listens there; raises TimeoutError after so many seconds."""
    until = time.monotonic() + within
    while True:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return
        if time.monotonic() > until:
            raise TimeoutError(f"nobody listens on port {port} after {within:g}s")
        time.sleep(0.02)
