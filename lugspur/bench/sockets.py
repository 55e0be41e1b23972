"""Free ports on loopback, and waiting for listeners on them."""

from __future__ import annotations

import socket
import time

# Sockets that reserve the ports given out by `free_port`; they stay open until this process ends.
_reserving_sockets: list[socket.socket] = []


def free_port() -> int:
    """Return a port without a listener that the system assigns to no one else until this process ends.

    Another socket could otherwise take the port between this call and its use, because the connections of whole test
    runs get their ports from the same range. The reserving socket stays bound without listening: the system assigns
    its port to no one, refuses connections to it, and lets a listener with SO_REUSEADDR bind it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserving_sockets.append(sock)
    return int(sock.getsockname()[1])


def wait_for_listener(port: int, timeout: float) -> None:
    """Wait until a listener accepts connections on the port; raises TimeoutError after this many seconds."""
    deadline = time.monotonic() + timeout
    while True:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return
        if time.monotonic() > deadline:
            raise TimeoutError(f"no listener on port {port} after {timeout:g}s")
        time.sleep(0.02)
