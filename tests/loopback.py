"""What the loopback tests share: a running proxy, a scripted backend, a discovery, a caller."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any, TypeVar

from lugspur.config.platform import Config
from lugspur.daemon.proxy import Proxy
from lugspur.discovery.endpoints import EndpointReader
from lugspur.load_balancing.adapter import read_settings
from lugspur.load_balancing.model import ListUpdateKind, Settings

WIDE = 20.0  # seconds that any wait may take on a loaded machine
HOST = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
NEVER_RAN = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
MAY_HAVE_RUN = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
CLOSE = b""  # a script's word for: close without an answer
T = TypeVar("T")

WIRE: dict[str, Any] = {
    "Instances": 1,
    "Services": [
        {"Name": "read", "Aim": 60.0, "HardLimit": 60.0, "Repeat": "retryable", "LateWorth": 1.0},
        {"Name": "book", "Aim": 60.0, "HardLimit": 60.0, "Repeat": "fragile", "LateWorth": 1.0},
        {"Name": "once", "Aim": 60.0, "HardLimit": 60.0, "Repeat": "dedup", "Group": "all"},
    ],
    "Orgs": [{"Name": "acme", "Share": 1.0}],
    "Bounds": {"Cancel": True, "MaxAttempts": 5, "ConnIdle": 60.0, "DialTimeout": WIDE},
    "Rules": {"DrainGrace": 0.5, "ColdFrom": 0.5, "Cold": 0.0, "FallMultiple": 3.0, "TipAfter": 3.0},
    "Tiers": ["one"],
    "Zones": ["here", "there"],
    "HostTypes": ["k"],
}


async def soon(what: Awaitable[T]) -> T:
    """Wait for an event, but not for ever."""
    return await asyncio.wait_for(what, WIDE)


async def until(holds: Callable[[], bool]) -> None:
    """Wait for something that has no event of its own."""
    async with asyncio.timeout(WIDE):
        while not holds():
            await asyncio.sleep(0.001)


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """One message with a Content-Length, or none, as it came."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head + await reader.readexactly(length)


class Backend:
    """Answers by a script: bytes (closed after them if they say so), CLOSE, or None for silence."""

    def __init__(self, script: Callable[[bytes], bytes | None]) -> None:
        self.script = script
        self.got: asyncio.Queue[bytes] = asyncio.Queue()
        self.ended: asyncio.Queue[None] = asyncio.Queue()  # one for each connection that has ended
        self.open: list[asyncio.StreamWriter] = []
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        self.open.append(writer)
        try:
            while True:
                request = await read_message(reader)
                self.got.put_nowait(request)
                answer = self.script(request)
                if answer == CLOSE:
                    break
                if answer is not None:
                    writer.write(answer)
                    if b"cut" in answer:
                        break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()
        self.ended.put_nowait(None)


@asynccontextmanager
async def backend(script: Callable[[bytes], bytes | None]) -> AsyncIterator[Backend]:
    """A backend on a free port."""
    stub = Backend(script)
    server = await asyncio.start_server(stub.serve, HOST, 0, limit=1 << 20)
    stub.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    try:
        yield stub
    finally:
        server.close()


class Watches:
    """A discovery whose watches say what they are told to."""

    def __init__(self) -> None:
        self.asked: asyncio.Queue[str] = asyncio.Queue()
        self.ended: asyncio.Queue[None] = asyncio.Queue()  # one for each watch that the proxy has closed
        self.writer: asyncio.StreamWriter | None = None
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One watch; its first line comes with `say`."""
        request = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writer = writer
        self.asked.put_nowait(request.split()[1].decode())
        with suppress(ConnectionError):
            await reader.read()
        writer.close()
        self.ended.put_nowait(None)

    def say(self, index: int, entries: list[dict[str, Any]], snapshot: bool = False) -> None:
        """One line of the watch that is open, cut in two chunks."""
        assert self.writer is not None
        line = json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"
        for part in (line[:9], line[9:]):
            self.writer.write(b"%x\r\n%b\r\n" % (len(part), part))


@asynccontextmanager
async def watches() -> AsyncIterator[Watches]:
    """A discovery on a free port."""
    stub = Watches()
    server = await asyncio.start_server(stub.serve, HOST, 0)
    stub.port = server.sockets[0].getsockname()[1]
    try:
        yield stub
    finally:
        server.close()


def entry(name: str, address: str, status: str = "in_service", since_ms: int = 0) -> dict[str, Any]:
    """One entry of the list."""
    return {
        "name": name,
        "address": address,
        "zone": "here",
        "type": "k",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def config(entries: list[dict[str, Any]], discovery: int = 9, **changed: Any) -> Config:
    """A proxy's configuration; by default nobody is at discovery's port."""
    settings: Settings = read_settings(WIRE)
    values: dict[str, Any] = {
        "name": "n0",
        "listen": (HOST, 0),
        "discovery": (HOST, discovery),
        "seed": 1,
        "sockets": 1024,
        "memory": 64 << 20,
        "known": {"index": 7, "snapshot": True, "endpoints": entries},
        "settings": settings,
        "classes": {"read": 0, "book": 1, "once": 2},
        "tenants": {"acme": 0},
        "zones": {"here": 0, "there": 1},
        "types": {"k": 0},
        "conn_idle": 60.0,
        "dial_timeout": WIDE,
    }
    return Config(**(values | changed))


class Client:
    """A caller's connection to a proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, request: bytes) -> bytes:
        """Send, and wait for one whole answer."""
        self.writer.write(request)
        return await self.answer()

    async def answer(self) -> bytes:
        """The next whole answer."""
        return await soon(read_message(self.reader))


class Running:
    """A proxy in this process."""

    def __init__(self, proxy: Proxy, port: int) -> None:
        self.proxy, self.port = proxy, port

    def tell(self, entries: list[dict[str, Any]]) -> None:
        """Changes of the list, as if discovery had told them."""
        reader = EndpointReader({"here": 0, "there": 1}, {"k": 0})
        self.proxy._receive_endpoints(ListUpdateKind.PATCH, reader.endpoints({"endpoints": entries}))

    async def client(self) -> Client:
        """A new connection to it."""
        return Client(*await asyncio.open_connection(HOST, self.port))


@asynccontextmanager
async def running(entries: list[dict[str, Any]], **changed: Any) -> AsyncIterator[Running]:
    """A proxy on a free port that knows these backends."""
    proxy = Proxy(config(entries, **changed))
    sock = await proxy.front.listen()
    try:
        yield Running(proxy, sock.getsockname()[1])
    finally:
        await proxy.front.stop_listening(sock)
        proxy.front.close()


def read(number: int = 1, timeout: str = "30", target: str = "/api/k", **headers: str) -> bytes:
    """A request of the class that is safe to repeat."""
    return _request("GET", "read", number, timeout, target, b"", headers)


def book(number: int = 1, timeout: str = "30", body: bytes = b"room", **headers: str) -> bytes:
    """A request of the class that must not run twice."""
    return _request("POST", "book", number, timeout, "/api/k", body, headers)


def _request(
    method: str, kind: str, number: int, timeout: str, target: str, body: bytes, headers: dict[str, str]
) -> bytes:
    fields = {
        "X-Request-ID": f"id{number}",
        "X-Priority-Class": kind,
        "X-Tenant-Id": "acme",
        "X-Timeout": timeout,
        "Content-Length": str(len(body)),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"{method} {target} HTTP/1.1\r\nHost: h\r\n{lines}\r\n".encode() + body


def status(answer: bytes) -> int:
    """An answer's status."""
    return int(answer.split(None, 2)[1])
