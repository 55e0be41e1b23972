"""Ports on loopback."""

from __future__ import annotations

import socket
import time


def free_port() -> int:
    """A port that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
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
