"""A process with a successor ends once all connections of its callers have been transferred."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from loopback import soon

from lugspur.daemon.service import transfer_connections


class Front:
    """The listener of the proxy, without any callers left."""

    def __init__(self) -> None:
        self.serving = True
        self.callers: set[object] = set()
        self.transfer: Callable[[int], bool] | None = None

    def transfer_all(self, transfer_socket: Callable[[int], bool]) -> None:
        self.transfer = transfer_socket


class Proxy:
    """The proxy that ends."""

    def __init__(self) -> None:
        self.front, self.has_incoming_connections = Front(), 0


class HotRestart:
    """The connection to the successor, which has not read all transferred connections yet."""

    successor: Any = "the successor"
    has_unsent_transfers = True

    def transfer_connection(self, fd: int) -> bool:
        return True


def test_a_process_does_not_end_before_its_successor_has_read_all_transfers() -> None:
    async def play() -> None:
        proxy, hot_restart, listener = Proxy(), HotRestart(), socket.create_server(("127.0.0.1", 0))
        asyncio.get_running_loop().add_reader(listener.fileno(), lambda: None)
        ending = asyncio.create_task(transfer_connections(proxy, listener, hot_restart))  # type: ignore[arg-type]
        for _ in range(10):  # much longer than it takes without unsent transfers
            await asyncio.sleep(0.02)
            assert not ending.done()
        assert not proxy.front.serving and proxy.front.transfer == hot_restart.transfer_connection
        hot_restart.has_unsent_transfers = False
        await soon(ending)
        listener.close()

    asyncio.run(play())
