"""Callers that misbehave on the wire, at any address that takes HTTP/1.1."""

from __future__ import annotations

import asyncio
import enum
import itertools
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from lugspur.bench.faults.links import reset
from lugspur.discovery.endpoints import Address

LINGER = 0.6  # seconds that a caller stays after it has done its harm
PAUSE = 0.03  # seconds between two callers
HUGE = 64 << 10  # bytes of a head without end
UNREAD = 40  # requests of a caller that reads no answers


class Way(enum.Enum):
    """How a caller misbehaves."""

    HALF_HEAD = "half a head"
    GARBAGE = "bytes that are no request"
    HUGE_HEAD = "a head without end"
    BOTH_LENGTHS = "a request hidden in another's body"
    LEAVES = "leaves before its answer"
    RESETS = "resets in the middle of a body"
    PIPELINES = "several requests at once"
    NEVER_READS = "reads no answers"
    HALF_CLOSES = "ends its sending at once"
    SLOW_BODY = "a body in small pieces"
    TOO_MUCH = "more body than it said"


@dataclass(frozen=True)
class Form:
    """How requests are written for one kind of proxy."""

    host: str
    safe_path: str
    unsafe_path: str
    id_header: str
    more: str  # further header lines

    def head(self, ident: str, unsafe: bool = False, length: int | None = None) -> bytes:
        """A request's head; `length`: of its body."""
        method, path = ("POST", self.unsafe_path) if unsafe else ("GET", self.safe_path)
        told = "" if length is None else f"Content-Length: {length}\r\n"
        lines = f"Host: {self.host}\r\n{self.id_header}: {ident}\r\n{self.more}{told}"
        return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


class SpoiltCallers:
    """Misbehaves until it is cancelled; `whole` has the ids of requests that were sent whole, `hidden` those that no
    proxy may take for requests."""

    def __init__(self, form: Form, rng: Random, mark: str) -> None:
        self.form, self.rng, self._mark = form, rng, mark
        self.whole: set[str] = set()
        self.hidden: set[str] = set()
        self.unsafe: set[str] = set()
        self._count = itertools.count(1)
        self.done: dict[Way, int] = dict.fromkeys(Way, 0)

    def _ident(self, hidden: bool = False, unsafe: bool = False) -> str:
        ident = f"{self._mark}-{next(self._count)}"
        (self.hidden if hidden else self.whole).add(ident)
        if unsafe:
            self.unsafe.add(ident)
        return ident

    async def work(self, address: Address) -> None:
        """One after another, in drawn ways."""
        while True:
            way = self.rng.choice(list(Way))
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(4 * LINGER):
                    await self._once(way, address)
            self.done[way] += 1
            await asyncio.sleep(PAUSE)

    async def _once(self, way: Way, address: Address) -> None:
        reader, writer = await asyncio.open_connection(*address)
        try:
            await self._misbehave(way, reader, writer)
        finally:
            writer.close()

    async def _misbehave(self, way: Way, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        form = self.form
        if way is Way.HALF_HEAD:
            head = form.head(self._ident(hidden=True))
            writer.write(head[: self.rng.randrange(1, len(head) - 3)])
            await asyncio.sleep(LINGER)
        elif way is Way.GARBAGE:
            writer.write(self.rng.randbytes(200))
            await asyncio.sleep(LINGER)
        elif way is Way.HUGE_HEAD:
            writer.write(form.head(self._ident(hidden=True))[:-2] + b"X-Long: " + b"x" * HUGE)
            await reader.read(1 << 16)
        elif way is Way.BOTH_LENGTHS:
            inner = form.head(self._ident(hidden=True))
            outer = form.head(self._ident(hidden=True), unsafe=True, length=len(inner))
            writer.write(outer[:-2] + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner)
            await reader.read(1 << 16)
        elif way is Way.LEAVES:
            writer.write(form.head(self._ident()))
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        elif way is Way.RESETS:
            writer.write(form.head(self._ident(hidden=True, unsafe=True), unsafe=True, length=5000) + b"x" * 100)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            reset(writer)
        elif way is Way.PIPELINES:
            writer.write(b"".join(form.head(self._ident()) for _ in range(5)))
            await asyncio.sleep(LINGER)
        elif way is Way.NEVER_READS:
            for _ in range(UNREAD):
                writer.write(form.head(self._ident()))
            await asyncio.sleep(LINGER)
        elif way is Way.HALF_CLOSES:
            writer.write(form.head(self._ident(unsafe=True), unsafe=True, length=1) + b"x")
            writer.write_eof()
            await reader.read(1 << 16)
        elif way is Way.SLOW_BODY:
            writer.write(form.head(self._ident(unsafe=True), unsafe=True, length=10))
            for _ in range(10):
                writer.write(b"x")
                await asyncio.sleep(LINGER / 20)
            await reader.read(1 << 16)
        else:
            writer.write(form.head(self._ident(unsafe=True), unsafe=True, length=3) + b"xyz" + b"too much" * 20)
            await reader.read(1 << 16)
