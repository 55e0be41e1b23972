"""A bare echo server on h2: the lower bound for the cost of a call with this library and event loop.

`python -m lugspur.standins.grpc.echo` prints `ready HOST:PORT`.
"""

from __future__ import annotations

import asyncio

from h2 import events as h2e
from h2.config import H2Configuration
from h2.connection import H2Connection

HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]
TRAILERS = [(b"grpc-status", b"0")]


class Echo(asyncio.Protocol):
    """One connection. Each call's bytes are sent back once the call's request has ended."""

    def __init__(self) -> None:
        self._h2 = H2Connection(
            H2Configuration(
                client_side=False,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self._bodies: dict[int, bytes] = {}
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._h2.initiate_connection()
        transport.write(self._h2.data_to_send())

    def data_received(self, data: bytes) -> None:
        for event in self._h2.receive_data(data):
            if isinstance(event, h2e.DataReceived):
                self._bodies[event.stream_id] = self._bodies.get(event.stream_id, b"") + event.data
                self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            elif isinstance(event, h2e.StreamEnded):
                self._h2.send_headers(event.stream_id, HEADERS)
                self._h2.send_data(event.stream_id, self._bodies.pop(event.stream_id, b""))
                self._h2.send_headers(event.stream_id, TRAILERS, end_stream=True)
        self._transport.write(self._h2.data_to_send())


async def _serve() -> None:
    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
    print("ready {}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_serve())
