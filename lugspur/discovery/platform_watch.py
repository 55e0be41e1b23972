"""Watch on the platform's discovery service: receives changes, reconnects, and resumes from the last index.

The response to one GET is a stream of lines: JSON for each change, `{"index", "snapshot", "endpoints"}`, and an empty
line every 2 s if nothing has changed.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable

import httptools
import orjson

from lugspur.discovery.endpoints import Address, EndpointReader
from lugspur.discovery.sources import UpdateListener
from lugspur.load_balancing.model import ListUpdateKind

#: Seconds without a line after which a watch counts as dead; the service sends a line every 2 s.
SILENCE_TIMEOUT_SECONDS = 3.0
#: Fraction by which the timeout is extended at most, at random, so that the watchers of a service that hangs do not
#: reconnect all at once.
SILENCE_TIMEOUT_JITTER = 0.2
#: Delays before a reconnection; each one doubles, from the first to the maximum.
FIRST_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS = 0.1, 2.0
MAX_LINE_BYTES = 4 << 20


class PlatformWatch:
    """Keeps one watch open, reconnects when it ends, and delivers its updates.

    After `change_address`, the former watch continues until the new one has delivered its first list.
    """

    def __init__(self, address: Address, reader: EndpointReader, index: int, on_update: UpdateListener) -> None:
        """Watch at `address` for changes that are newer than `index`."""
        self._address = address
        self._reader = reader
        self._index = index
        self._on_update = on_update
        self._task: asyncio.Task[None] | None = None
        self._former_task: asyncio.Task[None] | None = None
        self._retry_delay = FIRST_RETRY_DELAY_SECONDS

    @property
    def index(self) -> int:
        """Index of the list after the last update."""
        return self._index

    def open(self) -> None:
        """Start the watch unless it is running."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run(self._address, self._index))

    def change_address(self, address: Address) -> None:
        """Watch at another address from now on."""
        if address == self._address:
            return
        self._address = address
        if self._task is None:
            return
        if self._former_task is None:
            self._former_task = self._task
        else:  # consecutive reloads: the watch in between has not delivered anything yet
            self._task.cancel()
        self._retry_delay = FIRST_RETRY_DELAY_SECONDS
        # Index 0 requests the complete list, so that no change is missed between the two services.
        self._task = asyncio.get_running_loop().create_task(self._run(address, 0))

    def close(self) -> None:
        """End the watch for good."""
        for task in (self._task, self._former_task):
            if task is not None:
                task.cancel()
        self._task = self._former_task = None

    async def _run(self, address: Address, index: int) -> None:
        since = index
        while True:
            request = b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\nHost: %b\r\n\r\n" % (since, address[0].encode())
            connection = _WatchConnection(self._receive_line, request)
            await self._follow(address, connection)
            since = self._index if connection.has_delivered else since
            await asyncio.sleep(self._retry_delay * (0.5 + random.random()))
            self._retry_delay = min(MAX_RETRY_DELAY_SECONDS, 2.0 * self._retry_delay)

    async def _follow(self, address: Address, connection: _WatchConnection) -> None:
        """Run one connection until it ends."""
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address)
            await connection.ended
        except OSError:
            return
        finally:
            connection.close()

    def _receive_line(self, connection: _WatchConnection, line: bytes) -> None:
        """Process one line; an empty line is a heartbeat, which is delivered as an update without endpoints."""
        if connection.task is not self._task and connection.task is not self._former_task:
            return  # the watch has been replaced and is not closed yet
        if not line.strip():
            self._retry_delay = FIRST_RETRY_DELAY_SECONDS
            self._on_update(ListUpdateKind.PATCH, [])
            return
        message = orjson.loads(line)
        endpoints = self._reader.endpoints(message)
        index = int(message["index"])
        self._retry_delay = FIRST_RETRY_DELAY_SECONDS
        former = self._former_task
        if former is not None and connection.task is not former:
            former.cancel()
            self._former_task = None
        connection.has_delivered = True
        self._index = index
        self._on_update(ListUpdateKind.COMPLETE if message.get("snapshot") else ListUpdateKind.PATCH, endpoints)


class _WatchConnection(asyncio.Protocol):
    """The connection of one watch; created in the task that runs it."""

    def __init__(self, on_line: Callable[[_WatchConnection, bytes], None], request: bytes) -> None:
        self._on_line = on_line
        self._request = request
        self._transport: asyncio.Transport | None = None
        self.task = asyncio.current_task()
        self.has_delivered = False  # whether a line has changed the list
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._buffer = b""
        self._body: list[bytes] = []
        self.ended = self._loop.create_future()
        self._timeout_seconds = SILENCE_TIMEOUT_SECONDS * (1.0 + SILENCE_TIMEOUT_JITTER * random.random())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = self._loop.call_later(self._timeout_seconds, self.close)
        transport.write(self._request)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self.close()

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        # Detects a machine that has disappeared: nothing else would end its connection.
        self._timer.cancel()
        self._timer = self._loop.call_later(self._timeout_seconds, self.close)
        try:
            self._parser.feed_data(data)
            self._split_lines()
        except Exception as error:  # a malformed list; the last list stays
            print(f"lugspur: discovery: {error!r}", file=sys.stderr, flush=True)
            self.close()

    def _split_lines(self) -> None:
        if not self._body:
            return
        if self._parser.get_status_code() != 200:
            self.close()
            return
        *lines, self._buffer = b"".join([self._buffer, *self._body]).split(b"\n")
        self._body.clear()
        if len(self._buffer) > MAX_LINE_BYTES:  # limits the memory that an endless line takes
            raise ValueError(f"a line is longer than {MAX_LINE_BYTES} bytes")
        for line in lines:
            self._on_line(self, line)

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        # Breaks the reference cycle between the parser and this object, which would keep their memory allocated.
        del self._parser
        if not self.ended.done():
            self.ended.set_result(None)
