"""The watch on discovery: follows changes, reconnects, resumes where it was."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import httptools
import orjson

from jaspershelf.model import ListKind, ServerRow, State
from lugspur.config import Address, ConfigError, read_address

STATES = {"in_service": State.UP, "terminating": State.DRAINING, "terminated": State.GONE}
SILENT = 6.0  # seconds without a line after which a watch is taken for dead: one comes every 2 s
RETRY_FIRST, RETRY_MOST = 0.1, 2.0  # seconds before a reconnect, doubling
LINE_MOST = 4 << 20  # bytes of one line


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the list: what the module sees of a backend, and where it listens."""

    row: ServerRow
    address: Address


def server_id(name: str) -> int:
    """The same whole number for a name at every proxy and after every restart."""
    return int.from_bytes(name.encode(), "big")


class Reader:
    """Turns entries of discovery's form into endpoints; names become places in the settings' lists."""

    def __init__(self, zones: Mapping[str, int], types: Mapping[str, int]) -> None:
        self._zones, self._types = zones, types

    def endpoint(self, entry: Mapping[str, Any]) -> Endpoint:
        """One entry; a zone or type that the settings don't name is none of theirs (-1)."""
        row = ServerRow(
            server_id(entry["name"]),
            STATES[entry["status"]],
            self._zones.get(entry.get("zone", ""), -1),
            entry.get("group", 0),
            entry.get("weight", 1.0),
            entry.get("since_ms", 0) / 1000.0,
            self._types.get(entry.get("type", ""), -1),
        )
        return Endpoint(row, read_address(entry["address"]))

    def endpoints(self, message: Mapping[str, Any]) -> list[Endpoint]:
        """All entries of a message."""
        return [self.endpoint(entry) for entry in message["endpoints"]]

    def check(self, known: Mapping[str, Any]) -> None:
        """Raise ConfigError where the list known at the start can't be read."""
        try:
            int(known["index"])
            self.endpoints(known)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ConfigError(f"the known list can't be read: {fault!r}") from fault


class Discovery:
    """Keeps one watch open, whatever happens to it, and hands on what it tells."""

    def __init__(
        self, address: Address, reader: Reader, index: int, told: Callable[[ListKind, list[Endpoint]], None]
    ) -> None:
        self._address = address
        self._reader = reader
        self._index = index
        self._told = told
        self._task: asyncio.Task[None] | None = None
        self.retry = RETRY_FIRST

    def open(self) -> None:
        """Start the watch; nothing happens where it runs already."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            await self._follow()
            await asyncio.sleep(self.retry * (0.5 + random.random()))
            self.retry = min(RETRY_MOST, 2.0 * self.retry)

    async def _follow(self) -> None:
        """One watch, until it ends."""
        loop = asyncio.get_running_loop()
        watch = _Watch(self, f"GET /v1/servers?follow=1&since={self._index} HTTP/1.1\r\n"
                             f"Host: {self._address[0]}\r\n\r\n".encode())
        try:
            async with asyncio.timeout(SILENT):
                await loop.create_connection(lambda: watch, *self._address)
        except OSError:
            return
        await watch.ended

    def line(self, text: bytes) -> None:
        """One line of the watch; an empty one tells only that it lives."""
        self.retry = RETRY_FIRST
        if not text.strip():
            self._told(ListKind.PATCH, [])
            return
        message = orjson.loads(text)
        endpoints = self._reader.endpoints(message)
        self._index = message["index"]
        self._told(ListKind.WHOLE if message.get("snapshot") else ListKind.PATCH, endpoints)


class _Watch(asyncio.Protocol):
    """The connection of one watch."""

    def __init__(self, discovery: Discovery, request: bytes) -> None:
        self._discovery = discovery
        self._request = request
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._buffer = b""
        self._body: list[bytes] = []
        self.ended = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._silence = self._loop.call_later(SILENT, transport.abort)
        transport.write(self._request)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        # Guards against a watch that hangs on a machine that vanished: nothing else would tell.
        self._silence.cancel()
        self._silence = self._loop.call_later(SILENT, self._transport.abort)
        try:
            self._parser.feed_data(data)
            self._lines()
        except Exception as fault:  # Guards against a malformed list: the last one stays.
            print(f"lugspur: discovery: {fault!r}", file=sys.stderr, flush=True)
            self._transport.abort()

    def _lines(self) -> None:
        if not self._body:
            return
        if self._parser.get_status_code() != 200:
            self._transport.abort()
            return
        *lines, self._buffer = b"".join([self._buffer, *self._body]).split(b"\n")
        self._body.clear()
        if len(self._buffer) > LINE_MOST:  # Guards the memory limit against a line that never ends.
            raise ValueError("a line is too long")
        for text in lines:
            self._discovery.line(text)

    def connection_lost(self, exc: Exception | None) -> None:
        self._silence.cancel()
        if not self.ended.done():
            self.ended.set_result(None)
