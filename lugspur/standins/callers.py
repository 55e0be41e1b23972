"""Callers, which send one request after another over a connection and record the outcome of each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools


@dataclass(slots=True)
class Outcome:
    """The outcome of one request: its status, or 0 without a complete response."""

    status: int
    seconds: float
    body: bytes = b""


@dataclass(slots=True)
class Tally:
    """The outcomes of many requests."""

    seconds: list[float] = field(default_factory=list)  # latencies of the requests with status 200
    statuses: dict[int, int] = field(default_factory=dict)

    def add(self, outcome: Outcome) -> None:
        """Add the outcome of one request."""
        self.statuses[outcome.status] = self.statuses.get(outcome.status, 0) + 1
        if outcome.status == 200:
            self.seconds.append(outcome.seconds)

    def quantile(self, fraction: float) -> float:
        """Return this quantile of the latencies of the served requests in seconds, or 0 if none was served."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


class Caller(asyncio.Protocol):
    """One connection, which is kept as long as the server keeps it and reopened when needed."""

    def __init__(self, host: str, port: int) -> None:
        self._address = host, port
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[Outcome] | None = None

    async def ask(self, request: bytes, within: float) -> Outcome:
        """Send one request and wait at most `within` seconds for its complete response.

        A kept connection that closes before the first byte of a response was closed between two requests,
        so that its request is sent once more on a new connection.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for _ in range(2):
            kept = self._transport is not None and not self._transport.is_closing()
            try:
                async with asyncio.timeout(started_at + within - loop.time()):
                    if not kept:
                        await loop.create_connection(lambda: self, *self._address)
                    outcome = await self._exchange(request)
            except (OSError, TimeoutError):
                self.close()
                return Outcome(0, loop.time() - started_at)
            if outcome.status or not kept or self._received_any:
                break
        return Outcome(outcome.status, loop.time() - started_at, outcome.body)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
        self._transport = None

    async def _exchange(self, request: bytes) -> Outcome:
        assert self._transport is not None
        self._pending = asyncio.get_running_loop().create_future()
        self._received_any = False
        self._body: list[bytes] = []
        self._transport.write(request)
        return await self._pending

    # ---- the connection ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._parser = httptools.HttpResponseParser(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish(0)

    def data_received(self, data: bytes) -> None:
        self._received_any = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive() and self._transport is not None:
            self._transport.close()
        self._finish(self._parser.get_status_code())

    def _finish(self, status: int) -> None:
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(Outcome(status, 0.0, b"".join(self._body)))


async def closed_loop(
    host: str, port: int, callers: int, requests: int, make: Callable[[int], bytes], within: float = 30.0
) -> Tally:
    """Run `callers` callers until all requests were sent; each sends its next request after a response."""
    tally, number = Tally(), iter(range(requests))

    async def run_caller() -> None:
        caller = Caller(host, port)
        for at in number:
            tally.add(await caller.ask(make(at), within))
        caller.close()

    await asyncio.gather(*(run_caller() for _ in range(callers)))
    return tally
