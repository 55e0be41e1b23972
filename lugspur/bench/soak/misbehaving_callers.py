"""Callers that misbehave on the wire, for any address that accepts HTTP/1.1."""

from __future__ import annotations

import asyncio
import enum
import itertools
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from lugspur.bench.faults.links import reset
from lugspur.discovery.endpoints import Address

# Time for which a caller stays connected after it has misbehaved.
LINGER_SECONDS = 0.6
# Pause between two callers.
PAUSE_SECONDS = 0.03
# Size of the header value in a request head that never ends.
HUGE_HEADER_BYTES = 64 << 10
# Number of requests of a caller that reads no responses.
UNREAD_REQUESTS = 40


class Misbehavior(enum.Enum):
    """How a caller misbehaves."""

    PARTIAL_HEAD = "sends a partial request head"
    GARBAGE = "sends random bytes"
    HUGE_HEAD = "sends a request head that never ends"
    SMUGGLED_REQUEST = "smuggles a request in the body of another one"
    EARLY_DISCONNECT = "disconnects before the response"
    RESET_IN_BODY = "resets the connection within a body"
    PIPELINED_REQUESTS = "pipelines several requests"
    UNREAD_RESPONSES = "reads no responses"
    HALF_CLOSE = "half-closes the connection after its request"
    SLOW_BODY = "sends a body in small pieces"
    EXCESS_BODY = "sends more body than its Content-Length"


@dataclass(frozen=True)
class RequestFormat:
    """The host, paths and headers of requests for one kind of proxy."""

    host: str
    safe_path: str
    unsafe_path: str
    id_header: str
    extra_headers: str  # further header lines, each ended by CRLF

    def head(self, ident: str, unsafe: bool = False, length: int | None = None) -> bytes:
        """Return a request head; `length` is the Content-Length, None for a request without body."""
        method, path = ("POST", self.unsafe_path) if unsafe else ("GET", self.safe_path)
        content_length = "" if length is None else f"Content-Length: {length}\r\n"
        lines = f"Host: {self.host}\r\n{self.id_header}: {ident}\r\n{self.extra_headers}{content_length}"
        return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


class MisbehavingCallers:
    """Callers that misbehave in random ways, one after another.

    `complete_ids` are the IDs of the requests that were sent completely, `hidden_ids` those of incomplete or smuggled
    requests, which a proxy must not treat as requests.
    """

    def __init__(self, request_format: RequestFormat, rng: Random, id_prefix: str) -> None:
        self.request_format, self.rng, self._id_prefix = request_format, rng, id_prefix
        self.complete_ids: set[str] = set()
        self.hidden_ids: set[str] = set()
        self.unsafe_ids: set[str] = set()
        self._count = itertools.count(1)
        self.counts: dict[Misbehavior, int] = dict.fromkeys(Misbehavior, 0)

    def _ident(self, hidden: bool = False, unsafe: bool = False) -> str:
        ident = f"{self._id_prefix}-{next(self._count)}"
        (self.hidden_ids if hidden else self.complete_ids).add(ident)
        if unsafe:
            self.unsafe_ids.add(ident)
        return ident

    async def misbehave_until_cancelled(self, address: Address) -> None:
        """Open one connection after another and misbehave on each in a randomly chosen way."""
        while True:
            misbehavior = self.rng.choice(list(Misbehavior))
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(4 * LINGER_SECONDS):
                    await self._connect_and_misbehave(misbehavior, address)
            self.counts[misbehavior] += 1
            await asyncio.sleep(PAUSE_SECONDS)

    async def _connect_and_misbehave(self, misbehavior: Misbehavior, address: Address) -> None:
        reader, writer = await asyncio.open_connection(*address)
        try:
            await self._misbehave(misbehavior, reader, writer)
        finally:
            writer.close()

    async def _misbehave(
        self, misbehavior: Misbehavior, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_format = self.request_format
        if misbehavior is Misbehavior.PARTIAL_HEAD:
            head = request_format.head(self._ident(hidden=True))
            writer.write(head[: self.rng.randrange(1, len(head) - 3)])
            await asyncio.sleep(LINGER_SECONDS)
        elif misbehavior is Misbehavior.GARBAGE:
            writer.write(self.rng.randbytes(200))
            await asyncio.sleep(LINGER_SECONDS)
        elif misbehavior is Misbehavior.HUGE_HEAD:
            writer.write(request_format.head(self._ident(hidden=True))[:-2] + b"X-Long: " + b"x" * HUGE_HEADER_BYTES)
            await reader.read(1 << 16)
        elif misbehavior is Misbehavior.SMUGGLED_REQUEST:
            inner = request_format.head(self._ident(hidden=True))
            outer = request_format.head(self._ident(hidden=True), unsafe=True, length=len(inner))
            writer.write(outer[:-2] + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner)
            await reader.read(1 << 16)
        elif misbehavior is Misbehavior.EARLY_DISCONNECT:
            writer.write(request_format.head(self._ident()))
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        elif misbehavior is Misbehavior.RESET_IN_BODY:
            writer.write(
                request_format.head(self._ident(hidden=True, unsafe=True), unsafe=True, length=5000) + b"x" * 100
            )
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            reset(writer)
        elif misbehavior is Misbehavior.PIPELINED_REQUESTS:
            writer.write(b"".join(request_format.head(self._ident()) for _ in range(5)))
            await asyncio.sleep(LINGER_SECONDS)
        elif misbehavior is Misbehavior.UNREAD_RESPONSES:
            for _ in range(UNREAD_REQUESTS):
                writer.write(request_format.head(self._ident()))
            await asyncio.sleep(LINGER_SECONDS)
        elif misbehavior is Misbehavior.HALF_CLOSE:
            writer.write(request_format.head(self._ident(unsafe=True), unsafe=True, length=1) + b"x")
            writer.write_eof()
            await reader.read(1 << 16)
        elif misbehavior is Misbehavior.SLOW_BODY:
            writer.write(request_format.head(self._ident(unsafe=True), unsafe=True, length=10))
            for _ in range(10):
                writer.write(b"x")
                await asyncio.sleep(LINGER_SECONDS / 20)
            await reader.read(1 << 16)
        else:
            writer.write(
                request_format.head(self._ident(unsafe=True), unsafe=True, length=3) + b"xyz" + b"too much" * 20
            )
            await reader.read(1 << 16)
