"""Backends that call on: each call goes down a chain of services, through the mesh or straight from one to the next.

All backends of a chain live in one process and answer at once, so that what a hop takes beyond the straight way is what
the proxies add.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import time
from contextlib import suppress
from random import Random

from lugspur.emulator.hollow.backends import BackendSettings, HollowBackend
from lugspur.emulator.hollow.layout import APP, DISPATCH, HEARTBEAT_S, OUTGOING, Layout

DEADLINE_MS = 5000
WARMING_PART = 10  # one call for each ten that count goes ahead of them
FAILED = "a call of the chain was answered with "
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Caller:
    """Calls from one machine to one address, each connection for one call at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._idle: list[Streams] = []
        self._ids = itertools.count()
        self._name = os.urandom(4).hex()

    async def call(self, level: int, left: int) -> None:
        """Call the service of a level, which calls on `left` levels further; raises OSError where it fails."""
        streams = await self._connection()
        reader, writer = streams
        writer.write(
            f"GET /path-{level}/{left} HTTP/1.1\r\nHost: host-{level}.example\r\n"
            f"Lugspur-Attempt-Id: {self._name}{next(self._ids)}\r\n"
            f"Lugspur-Deliver-By-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise OSError(FAILED + head.split(b"\r\n", 1)[0].decode("latin-1"))
        await reader.readexactly(int(_header(head, b"content-length")))
        self._idle.append(streams)

    async def _connection(self) -> Streams:
        while self._idle:
            streams = self._idle.pop()
            if not streams[0].at_eof():  # proxies close connections that are idle for long
                return streams
            streams[1].close()
        return await asyncio.open_connection(*self._address)

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._idle:
            writer.close()


class ChainBackend:
    """The backend of one level; `direct`: it calls the next one itself, else through its own machine's proxy."""

    def __init__(self, layout: Layout, level: int, direct: bool) -> None:
        self._level, self._ip = level, layout.proxy_ip(level)
        settings = BackendSettings(
            layout.service(level), layout.proxy_zone(level), f"{self._ip}:{APP}", f"{self._ip}:{DISPATCH}"
        )
        self._beats = HollowBackend(settings, HEARTBEAT_S / 3, Random(level))
        self._next = Caller((layout.proxy_ip(level + 1), APP) if direct else (self._ip, OUTGOING))
        self._direct = direct
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Listen; unless calls go straight, heartbeats begin."""
        self._server = await asyncio.start_server(self._caller, self._ip, APP)
        if not self._direct:
            self._beating = asyncio.get_running_loop().create_task(self._beats.run())

    def close(self) -> None:
        """End without a word."""
        self._server.close()
        self._next.close()
        if not self._direct:
            self._beating.cancel()

    async def _caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                left = int(head.split(b" ", 2)[1].rpartition(b"/")[2])
                if left:
                    await self._next.call(self._level + 1, left - 1)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: %b\r\nLugspur-Postmark: %b.%d\r\n"
                    b"Lugspur-Delivered-By: %b\r\nContent-Length: 2\r\n\r\nok"
                    % (_header(head, b"lugspur-attempt-id"), self._beats.id.encode(), left, self._beats.id.encode())
                )
        writer.close()


async def latencies(layout: Layout, depth: int, calls: int, direct: bool) -> list[float]:
    """Milliseconds of so many calls one after another, each `depth` deep; the first ones, not counted, warm up."""
    caller = Caller((layout.proxy_ip(1), APP) if direct else (layout.proxy_ip(0), OUTGOING))
    found = []
    for number in range(calls + calls // WARMING_PART):
        begun = time.perf_counter()
        await caller.call(1, depth - 1)
        if number >= calls // WARMING_PART:
            found.append(1e3 * (time.perf_counter() - begun))
    caller.close()
    return found


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.strip().lower() == name:
            return value.strip()
    return b"0"
