"""The watch on discovery: follows changes, reconnects, resumes where it was."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable

import httptools
import orjson

from lugspur.discovery.endpoints import Address, Endpoint, EndpointReader
from lugspur.load_balancing.model import ListUpdateKind

SILENT = 3.0  # seconds without a line after which a watch is taken for dead: one comes every 2 s...
SILENT_SPREAD = 0.2  # ...and up to this part more: all watchers of a service that hangs must not come back at once
RETRY_FIRST, RETRY_MOST = 0.1, 2.0  # seconds before a reconnect, doubling
LINE_MOST = 4 << 20  # bytes of one line


class Discovery:
    """Keeps one watch open, whatever happens to it, and hands on what it tells."""

    def __init__(
        self,
        address: Address,
        reader: EndpointReader,
        index: int,
        told: Callable[[ListUpdateKind, list[Endpoint]], None],
    ) -> None:
        self._address = address
        self._reader = reader
        self._index = index
        self._told = told
        self._task: asyncio.Task[None] | None = None
        self._former: asyncio.Task[None] | None = None  # the watch at the address before, until ours tells
        self.retry = RETRY_FIRST

    @property
    def index(self) -> int:
        """The version of the list as of the last word."""
        return self._index

    def open(self) -> None:
        """Start the watch; nothing happens where it runs already."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run(self._address, self._index))

    def move(self, address: Address) -> None:
        """Watch at another address from now on; what the old one tells still counts until that has told."""
        if address == self._address:
            return
        self._address = address
        if self._task is None:
            return
        if self._former is None:
            self._former = self._task
        else:  # Guards reloads in a row: the watch between the two has told nothing yet.
            self._task.cancel()
        self.retry = RETRY_FIRST
        # Guards against a change that falls between two services: from version 0 the answer is everything.
        self._task = asyncio.get_running_loop().create_task(self._run(address, 0))

    def close(self) -> None:
        """End the watch for good."""
        for task in (self._task, self._former):
            if task is not None:
                task.cancel()
        self._task = self._former = None

    async def _run(self, address: Address, index: int) -> None:
        watched = index
        while True:
            watch = _Watch(
                self.line,
                b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: %b\r\n\r\n" % (watched, address[0].encode()),
            )
            await self._follow(address, watch)
            watched = self._index if watch.told else watched
            await asyncio.sleep(self.retry * (0.5 + random.random()))
            self.retry = min(RETRY_MOST, 2.0 * self.retry)

    async def _follow(self, address: Address, watch: _Watch) -> None:
        """One watch, until it ends."""
        try:
            async with asyncio.timeout(SILENT):
                await asyncio.get_running_loop().create_connection(lambda: watch, *address)
            await watch.ended
        except OSError:
            return
        finally:
            watch.close()

    def line(self, watch: _Watch, text: bytes) -> None:
        """One line of a watch; an empty one tells only that it lives."""
        if watch.task is not self._task and watch.task is not self._former:
            return  # Guards the list against a watch that has been replaced and is not closed yet.
        if not text.strip():
            self.retry = RETRY_FIRST
            self._told(ListUpdateKind.PATCH, [])
            return
        message = orjson.loads(text)
        endpoints = self._reader.endpoints(message)
        index = int(message["index"])
        self.retry = RETRY_FIRST
        former = self._former
        if former is not None and watch.task is not former:
            former.cancel()
            self._former = None
        watch.told = True
        self._index = index
        self._told(ListUpdateKind.COMPLETE if message.get("snapshot") else ListUpdateKind.PATCH, endpoints)


class _Watch(asyncio.Protocol):
    """The connection of one watch."""

    def __init__(self, line: Callable[[_Watch, bytes], None], request: bytes) -> None:
        self._line = line
        self._request = request
        self._transport: asyncio.Transport | None = None
        self.task = asyncio.current_task()  # the one that keeps it
        self.told = False  # whether it has told anything of the list
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._buffer = b""
        self._body: list[bytes] = []
        self.ended = self._loop.create_future()
        self._silent = SILENT * (1.0 + SILENT_SPREAD * random.random())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._silence = self._loop.call_later(self._silent, self.close)
        transport.write(self._request)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self.close()

    def close(self) -> None:
        """Let go of the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        # Guards against a watch that hangs on a machine that vanished: nothing else would tell.
        self._silence.cancel()
        self._silence = self._loop.call_later(self._silent, self.close)
        try:
            self._parser.feed_data(data)
            self._lines()
        except Exception as fault:  # Guards against a malformed list: the last one stays.
            print(f"lugspur: discovery: {fault!r}", file=sys.stderr, flush=True)
            self.close()

    def _lines(self) -> None:
        if not self._body:
            return
        if self._parser.get_status_code() != 200:
            self.close()
            return
        *lines, self._buffer = b"".join([self._buffer, *self._body]).split(b"\n")
        self._body.clear()
        if len(self._buffer) > LINE_MOST:  # Guards the memory limit against a line that never ends.
            raise ValueError("a line is too long")
        for text in lines:
            self._line(self, text)

    def connection_lost(self, exc: Exception | None) -> None:
        self._silence.cancel()
        del self._parser  # Guards memory: the parser and this object hold each other.
        if not self.ended.done():
            self.ended.set_result(None)
