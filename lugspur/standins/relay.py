"""A bare byte relay: the lower bound for the cost of a proxy on this event loop. It parses nothing.

`python -m lugspur.standins.relay HOST:PORT` prints `ready HOST:PORT`, the address that it relays to the given
one.
"""

from __future__ import annotations

import asyncio
import sys


class RelaySide(asyncio.Protocol):
    """One side of a relayed connection; it writes what it reads to the other side."""

    def __init__(self, other: RelaySide | None = None) -> None:
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


class AcceptedSide(RelaySide):
    """The accepted side. It opens the other side, and reads nothing until that one is connected."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._address = host, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.pause_reading()
        self._connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        assert self.transport is not None
        _, self.other = await asyncio.get_running_loop().create_connection(lambda: RelaySide(self), *self._address)
        self.transport.resume_reading()


async def _serve(host: str, port: int) -> None:
    server = await asyncio.get_running_loop().create_server(lambda: AcceptedSide(host, port), "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    print(f"ready {address[0]}:{address[1]}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Relay until the process is killed."""
    host, _, port = sys.argv[1].rpartition(":")
    asyncio.run(_serve(host, int(port)))


if __name__ == "__main__":
    main()
