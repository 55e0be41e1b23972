"""Backends that misbehave on the wire, each in a way that a checker can tell from a sound answer."""

from __future__ import annotations

import asyncio
import enum
import itertools
from contextlib import suppress
from random import Random

from lugspur.bench.faults.links import reset
from lugspur.standins.mesh import HEAD_MOST, MeshBackend

DRIBBLE = 0.02  # seconds between two pieces of a slow answer
PIECE = 7  # bytes of such a piece


class Way(enum.Enum):
    """How a backend answers."""

    WELL = "well"
    SILENT = "not at all"
    RESET = "by a reset"
    HALF = "half, then it closes"
    GARBAGE = "with bytes that are no answer"
    SURPLUS = "with a second answer behind the first"
    OTHER_ID = "with another request's id"
    TWO_IDS = "with two ids"
    SLOW = "in small pieces"
    FAILURE = "with 500"
    BUSY = "that it did not run it"
    CLOSING = "well, and closes at once"


#: The ways that misbehave.
SPOILT = tuple(way for way in Way if way is not Way.WELL)


async def write(way: Way, answer: bytes, ident: bytes, writer: asyncio.StreamWriter, rng: Random) -> bool:
    """Write an answer in a way; returns whether the connection goes on."""
    if way is Way.RESET:
        reset(writer)
        return False
    if way is Way.HALF:
        writer.write(answer[: rng.randrange(1, len(answer))])
        return False
    if way is Way.GARBAGE:
        writer.write(rng.randbytes(64))
        return False
    if way is Way.SURPLUS:
        writer.write(answer + answer.replace(ident, b"surplus-" + ident))
        return True
    if way is Way.OTHER_ID:
        writer.write(answer.replace(ident, b"other-" + ident))
        return True
    if way is Way.TWO_IDS:
        head, _, body = answer.partition(b"\r\n\r\n")
        writer.write(head + b"\r\nLugspur-Attempt-Id: other\r\n\r\n" + body)
        return True
    if way is Way.SLOW:
        for at in range(0, len(answer), PIECE):
            writer.write(answer[at : at + PIECE])
            await asyncio.sleep(DRIBBLE)
        return True
    if way is Way.FAILURE:
        writer.write(answer.replace(b"200 OK", b"500 No", 1))
        return True
    writer.write(answer)
    return way is not Way.CLOSING


class SpoiltMeshBackend(MeshBackend):
    """A backend of the mesh whose `way` may be changed while it runs."""

    def __init__(self, service: str, address: str, dispatch: str, zone: str, rng: Random) -> None:
        super().__init__(service, address, dispatch, zone)
        self.way = Way.WELL
        self.rng = rng

    async def _caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            goes_on = True
            while goes_on:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                goes_on = await self._reply(headers, body, writer)
        writer.close()

    async def _reply(self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> bool:
        way, ident = self.way, headers.get("lugspur-attempt-id", "").encode()
        if way is Way.BUSY:
            writer.write(
                b"HTTP/1.1 503 Busy\r\nLugspur-Attempt-Id: %b\r\nLugspur-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n"
                % ident
            )
            return True
        answer = await self._answer(headers, body)
        if way is Way.SILENT:
            while self.way is Way.SILENT:
                await asyncio.sleep(DRIBBLE)
            return False
        return await write(way, answer, ident, writer, self.rng)


class DaemonBackend:
    """A backend of a daemon: it says in its answer which request it ran, and counts what it ran."""

    def __init__(self, rng: Random) -> None:
        self.way, self.rng = Way.WELL, rng
        self.ran: list[str] = []
        self.address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._lives = itertools.count(1)

    async def start(self) -> None:
        """Listen, at the same address each time."""
        self._server = await asyncio.start_server(self._caller, *self.address, limit=HEAD_MOST, reuse_address=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """End as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    async def _caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            goes_on = True
            while goes_on:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
                await reader.readexactly(int(headers.get("content-length", "0")))
                goes_on = await self._reply(headers.get("x-request-id", "").encode(), writer)
        self._writers.discard(writer)
        writer.close()

    async def _reply(self, ident: bytes, writer: asyncio.StreamWriter) -> bool:
        way = self.way
        if way is Way.BUSY:
            writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.ran.append(ident.decode())
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(ident), ident)
        if way is Way.SILENT:
            while self.way is Way.SILENT:
                await asyncio.sleep(DRIBBLE)
            return False
        if way in (Way.OTHER_ID, Way.TWO_IDS):  # a daemon's backends echo no id: nobody could tell
            way = Way.FAILURE
        return await write(way, answer, ident, writer, self.rng)
