"""Callers: connections that ask, one request after another, and note what became of each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools


@dataclass(slots=True)
class Outcome:
    """What became of one request: a status, or 0 where no whole answer came."""

    status: int
    seconds: float
    body: bytes = b""


@dataclass(slots=True)
class Tally:
    """What became of many."""

    seconds: list[float] = field(default_factory=list)  # of those that were served
    statuses: dict[int, int] = field(default_factory=dict)

    def add(self, outcome: Outcome) -> None:
        """Count one."""
        self.statuses[outcome.status] = self.statuses.get(outcome.status, 0) + 1
        if outcome.status == 200:
            self.seconds.append(outcome.seconds)

    def part(self, quantile: float) -> float:
        """Seconds that this part of the served ones stayed under; 0 where none was."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0


class Caller(asyncio.Protocol):
    """One connection, kept as long as the other side keeps it, and opened anew after that."""

    def __init__(self, host: str, port: int) -> None:
        self._address = host, port
        self._transport: asyncio.Transport | None = None
        self._waiting: asyncio.Future[Outcome] | None = None

    async def ask(self, request: bytes, within: float) -> Outcome:
        """Send one request and wait for its whole answer, so many seconds at most.

        A kept connection that closes before any byte of an answer has come was closed between two requests,
        and its request goes out once more on a new one.
        """
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for _ in range(2):
            kept = self._transport is not None and not self._transport.is_closing()
            try:
                async with asyncio.timeout(begun + within - loop.time()):
                    if not kept:
                        await loop.create_connection(lambda: self, *self._address)
                    outcome = await self._exchange(request)
            except (OSError, TimeoutError):
                self.close()
                return Outcome(0, loop.time() - begun)
            if outcome.status or not kept or self._heard:
                break
        return Outcome(outcome.status, loop.time() - begun, outcome.body)

    def close(self) -> None:
        """Let go of the connection."""
        if self._transport is not None:
            self._transport.abort()
        self._transport = None

    async def _exchange(self, request: bytes) -> Outcome:
        assert self._transport is not None
        self._waiting = asyncio.get_running_loop().create_future()
        self._heard = False
        self._body: list[bytes] = []
        self._transport.write(request)
        return await self._waiting

    # ---- the connection ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._parser = httptools.HttpResponseParser(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(0)

    def data_received(self, data: bytes) -> None:
        self._heard = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive() and self._transport is not None:
            self._transport.close()
        self._end(self._parser.get_status_code())

    def _end(self, status: int) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(Outcome(status, 0.0, b"".join(self._body)))


async def closed_loop(
    host: str, port: int, callers: int, requests: int, make: Callable[[int], bytes], within: float = 30.0
) -> Tally:
    """So many callers, each asking as soon as it was answered, until all requests were asked."""
    tally, number = Tally(), iter(range(requests))

    async def play() -> None:
        caller = Caller(host, port)
        for at in number:
            tally.add(await caller.ask(make(at), within))
        caller.close()

    await asyncio.gather(*(play() for _ in range(callers)))
    return tally
