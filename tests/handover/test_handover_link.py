"""The link between two processes of one proxy: what was said before an end is heard, whoever notices the end first."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import pytest

from lugspur.daemon.hot_restart.packet_connection import PacketConnection
from lugspur.daemon.hot_restart.packets import pack


@pytest.mark.parametrize("notices", ["reading", "sending"])
def test_callers_that_were_passed_on_before_the_other_side_ended_are_taken(notices: str) -> None:
    """A process ends with messages unread: the system tells its peer so ahead of what it had said."""

    async def play() -> None:
        here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        heard: list[tuple[dict[str, Any], int]] = []
        ended: list[PacketConnection] = []

        def hear(_: PacketConnection, message: dict[str, Any], fds: list[int]) -> None:
            heard.append((message, len(fds)))
            for fd in fds:
                os.close(fd)

        link = PacketConnection(here, hear, ended.append)
        assert link.send({"t": "ids", "begun": [], "done": []})  # never read
        with socket.socket() as caller:
            for _ in range(3):
                socket.send_fds(there, [pack({"t": "caller"})], [caller.fileno()])
        there.close()
        if notices == "sending":
            assert not link.send({"t": "ids", "begun": [], "done": []})
        else:
            link.read_available()
        assert heard == [({"t": "caller"}, 1)] * 3
        assert ended == [link] and not link.is_open

    asyncio.run(play())
