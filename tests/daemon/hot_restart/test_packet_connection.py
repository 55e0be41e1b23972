"""A connection between two processes: packets sent before one ends are read, whoever notices the end first."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import pytest

from lugspur.daemon.hot_restart.packet_connection import PacketConnection
from lugspur.daemon.hot_restart.packets import pack


@pytest.mark.parametrize("notices", ["reading", "sending"])
def test_connections_that_were_transferred_before_the_peer_ended_are_adopted(notices: str) -> None:
    """A process ends with messages unread: the system tells its peer so ahead of what it had said."""

    async def play() -> None:
        here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        received: list[tuple[dict[str, Any], int]] = []
        ended: list[PacketConnection] = []

        def receive(_: PacketConnection, message: dict[str, Any], fds: list[int]) -> None:
            received.append((message, len(fds)))
            for fd in fds:
                os.close(fd)

        connection = PacketConnection(here, receive, ended.append)
        assert connection.send({"t": "ids", "begun": [], "done": []})  # never read
        with socket.socket() as caller:
            for _ in range(3):
                socket.send_fds(there, [pack({"t": "caller"})], [caller.fileno()])
        there.close()
        if notices == "sending":
            assert not connection.send({"t": "ids", "begun": [], "done": []})
        else:
            connection.read_available()
        assert received == [({"t": "caller"}, 1)] * 3
        assert ended == [connection] and not connection.is_open

    asyncio.run(play())
