"""A backend that responds to each request after some work, counts the requests it ran, and can be killed.

`python -m lugspur.standins.backend --listen 127.0.0.1:0 --size 200` prints `ready HOST:PORT` when it listens.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools

Response = tuple[int, bytes]


@dataclass(slots=True)
class Request:
    """One request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Work = Callable[[Request], Awaitable[Response]]


class Backend:
    """Listens on one address and runs `work` for each request, several concurrently."""

    def __init__(self, name: str, work: Work) -> None:
        self.name = name
        self.work = work
        self.ran: Counter[str] = Counter()  # requests by X-Request-ID, counted when work on them starts
        self.last_started_at = 0.0  # event loop time at which work on the last request started
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port, backlog=1024)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def kill(self) -> None:
        """Stop as when a process dies: connections are reset, new ones refused, and requests in progress are lost."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.kill()


class _Connection(asyncio.Protocol):
    """One caller's connection, without support for pipelining: a response is written when its work is done."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._start_request()

    def _start_request(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._backend.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._backend.connections.discard(self)

    def kill(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.close()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        request = Request(self._parser.get_method().decode(), self._target.decode(), self._headers, self._body)
        self._start_request()
        self._backend.ran[request.headers.get("x-request-id", "")] += 1
        loop = asyncio.get_running_loop()
        self._backend.last_started_at = loop.time()
        self._task = loop.create_task(self._serve(request))

    async def _serve(self, request: Request) -> None:
        status, body = await self._backend.work(request)
        length = len(body)
        body = b"" if request.method == "HEAD" else body
        self._transport.write(b"HTTP/1.1 %d Answer\r\nContent-Length: %d\r\n\r\n%b" % (status, length, body))


async def _serve(host: str, port: int, size: int, delay: float) -> None:
    body = b"x" * size

    async def work(_: Request) -> Response:
        if delay:
            await asyncio.sleep(delay)
        return 200, body

    backend = Backend("alone", work)
    await backend.listen(host, port)
    print(f"ready {backend.address}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description="A stand-in backend.")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--size", type=int, default=200, help="bytes of each response's body")
    parser.add_argument("--delay", type=float, default=0.0, help="seconds of work for each request")
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    asyncio.run(_serve(host, int(port), arguments.size, arguments.delay))


if __name__ == "__main__":
    main()
