"""A bare byte relay: the least that any proxy on this event loop can cost. It reads nothing of what it passes on.

`python -m lugspur.standins.relay HOST:PORT` prints `ready HOST:PORT`; that leads to the given address.
"""

from __future__ import annotations

import asyncio
import sys


class Half(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, other: Half | None = None) -> None:
        self.other = other
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Caller(Half):
    """The side that was connected to: it opens the other one, and what comes meanwhile waits."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._address = host, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.pause_reading()
        self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        assert self.transport is not None
        _, self.other = await asyncio.get_running_loop().create_connection(lambda: Half(self), *self._address)
        self.transport.resume_reading()


async def _serve(host: str, port: int) -> None:
    server = await asyncio.get_running_loop().create_server(lambda: Caller(host, port), "127.0.0.1", 0)
    bound = server.sockets[0].getsockname()
    print(f"ready {bound[0]}:{bound[1]}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Relay until it is killed."""
    host, _, port = sys.argv[1].rpartition(":")
    asyncio.run(_serve(host, int(port)))


if __name__ == "__main__":
    main()
