"""Backends that misbehave on the wire, in ways that a checker can tell from a correct response."""

from __future__ import annotations

import asyncio
import enum
import itertools
from contextlib import suppress
from random import Random

from lugspur.bench.faults.links import reset
from lugspur.standins.mesh import MAX_HEAD_BYTES, MeshBackend

# Pause between two pieces of a slow response, and between two checks whether a silent backend may go on.
PIECE_SECONDS = 0.02
# Size of one piece of a slow response.
PIECE_BYTES = 7


class ResponseMode(enum.Enum):
    """How a backend responds."""

    CORRECT = "correctly"
    SILENT = "not at all, while the mode lasts"
    RESET = "with a connection reset"
    TRUNCATED = "with a truncated response, then closes the connection"
    GARBAGE = "with random bytes"
    EXTRA_RESPONSE = "with an extra response after the first"
    WRONG_ID = "with another request's ID"
    DUPLICATE_ID = "with two ID headers"
    SLOW = "in small pieces"
    ERROR_STATUS = "with status 500"
    NOT_PROCESSED = "with 503 and the header that says that the request was not run"
    CLOSES_CONNECTION = "correctly, then closes the connection"


#: The modes in which a backend misbehaves.
FAULTY_MODES = tuple(mode for mode in ResponseMode if mode is not ResponseMode.CORRECT)


async def write_response(
    mode: ResponseMode, response: bytes, ident: bytes, writer: asyncio.StreamWriter, rng: Random
) -> bool:
    """Write a response as the mode says; return whether the connection can be reused."""
    if mode is ResponseMode.RESET:
        reset(writer)
        return False
    if mode is ResponseMode.TRUNCATED:
        writer.write(response[: rng.randrange(1, len(response))])
        return False
    if mode is ResponseMode.GARBAGE:
        writer.write(rng.randbytes(64))
        return False
    if mode is ResponseMode.EXTRA_RESPONSE:
        writer.write(response + response.replace(ident, b"surplus-" + ident))
        return True
    if mode is ResponseMode.WRONG_ID:
        writer.write(response.replace(ident, b"other-" + ident))
        return True
    if mode is ResponseMode.DUPLICATE_ID:
        head, _, body = response.partition(b"\r\n\r\n")
        writer.write(head + b"\r\nLugspur-Attempt-Id: other\r\n\r\n" + body)
        return True
    if mode is ResponseMode.SLOW:
        for offset in range(0, len(response), PIECE_BYTES):
            writer.write(response[offset : offset + PIECE_BYTES])
            await asyncio.sleep(PIECE_SECONDS)
        return True
    if mode is ResponseMode.ERROR_STATUS:
        writer.write(response.replace(b"200 OK", b"500 No", 1))
        return True
    writer.write(response)
    return mode is not ResponseMode.CLOSES_CONNECTION


class FaultyMeshBackend(MeshBackend):
    """A backend of the mesh whose `mode` can be changed while it runs."""

    def __init__(self, service: str, address: str, dispatch: str, zone: str, rng: Random) -> None:
        super().__init__(service, address, dispatch, zone)
        self.mode = ResponseMode.CORRECT
        self.rng = rng

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            is_reusable = True
            while is_reusable:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                is_reusable = await self._reply(headers, body, writer)
        writer.close()

    async def _reply(self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> bool:
        mode, ident = self.mode, headers.get("lugspur-attempt-id", "").encode()
        if mode is ResponseMode.NOT_PROCESSED:
            writer.write(
                b"HTTP/1.1 503 Busy\r\nLugspur-Attempt-Id: %b\r\nLugspur-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n"
                % ident
            )
            return True
        response = await self._respond(headers, body)
        if mode is ResponseMode.SILENT:
            while self.mode is ResponseMode.SILENT:
                await asyncio.sleep(PIECE_SECONDS)
            return False
        return await write_response(mode, response, ident, writer, self.rng)


class DaemonBackend:
    """A backend of a daemon that echoes the request ID in the body and records the IDs of the requests that it ran."""

    def __init__(self, rng: Random) -> None:
        self.mode, self.rng = ResponseMode.CORRECT, rng
        self.ran: list[str] = []
        self.address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._incarnations = itertools.count(1)

    async def start(self) -> None:
        """Start listening, at the same address each time."""
        self._server = await asyncio.start_server(self._caller, *self.address, limit=MAX_HEAD_BYTES, reuse_address=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """Stop listening and reset all connections, as if the process had been killed."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    async def _caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            is_reusable = True
            while is_reusable:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
                await reader.readexactly(int(headers.get("content-length", "0")))
                is_reusable = await self._reply(headers.get("x-request-id", "").encode(), writer)
        self._writers.discard(writer)
        writer.close()

    async def _reply(self, ident: bytes, writer: asyncio.StreamWriter) -> bool:
        mode = self.mode
        if mode is ResponseMode.NOT_PROCESSED:
            writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.ran.append(ident.decode())
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(ident), ident)
        if mode is ResponseMode.SILENT:
            while self.mode is ResponseMode.SILENT:
                await asyncio.sleep(PIECE_SECONDS)
            return False
        # A daemon's backends echo no ID in a header, so the daemon could not detect a wrong or duplicate one.
        if mode in (ResponseMode.WRONG_ID, ResponseMode.DUPLICATE_ID):
            mode = ResponseMode.ERROR_STATUS
        return await write_response(mode, response, ident, writer, self.rng)
