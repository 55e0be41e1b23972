"""Collects the ids of requests that were opened and finished, to be sent together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.daemon.hot_restart import packets
from lugspur.daemon.hot_restart.packets import MAX_IDS_PER_PACKET, Packet


class RequestIdBatch:
    """Sends the ids of one turn of the event loop in as few packets as their bound allows."""

    def __init__(self, send: Callable[[Packet], None]) -> None:
        """`send` sends a packet to all peers; needs a running event loop."""
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._begun: list[bytes] = []
        self._done: list[bytes] = []

    def add_begun(self, request_id: bytes) -> None:
        """Add the id of a request that was opened."""
        self._schedule()
        self._begun.append(request_id)

    def add_done(self, request_id: bytes) -> None:
        """Add the id of a request that is finished."""
        self._schedule()
        self._done.append(request_id)

    def _schedule(self) -> None:
        if not self._begun and not self._done:
            self._loop.call_soon(self._send_all)

    def _send_all(self) -> None:
        begun, done = self._begun, self._done
        self._begun, self._done = [], []
        for at in range(0, max(len(begun), len(done)), MAX_IDS_PER_PACKET):
            until = at + MAX_IDS_PER_PACKET
            self._send(packets.request_ids(begun[at:until], done[at:until]))
