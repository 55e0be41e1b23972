"""What a hot restart needs of the proxy of this process."""

from __future__ import annotations

import socket
from typing import Protocol

from lugspur.daemon.hot_restart.process_state import ProcessState


class RestartableProxy(Protocol):
    """A proxy that another process may take over from, and that follows what its peers are told.

    Peers are the other processes of the same proxy: the predecessor, the successor, and one that failed to start.
    """

    def snapshot_state(self) -> ProcessState:
        """Return all that a successor needs to go on in this process's place."""

    def apply_peer_ban(self, server: int, on: bool, at: float) -> None:
        """Begin or end the ban of a backend, as an operator has told a peer.

        `at` is in seconds since 1970 by the pool's clock.
        """

    def apply_peer_drain(self, on: bool) -> None:
        """Begin or end a drain that an operator has told a peer of."""

    def apply_peer_requests(self, begun: list[bytes], done: list[bytes]) -> None:
        """Take note of the ids of requests that were opened and finished at a peer."""

    def forget_peer_requests(self) -> None:
        """Forget the ids of a predecessor's requests, which ended with it."""

    def set_superseded(self, on: bool) -> None:
        """Note that a successor serves from now on in this process's place, or that it has ended."""

    def detach_peers(self) -> None:
        """Note that no peer is left, so that all resources are this process's own."""

    def adopt_connection(self, sock: socket.socket) -> None:
        """Go on with a caller's connection that the predecessor had."""
