"""Callers of a daemon that follow the protocol, and the outcome of each of their requests."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from random import Random

from lugspur.bench.soak.daemon_process import HOST, Daemon
from lugspur.bench.soak.misbehaving_callers import RequestFormat

REQUEST_FORMAT = RequestFormat("soak.example", "/api/read", "/api/book", "X-Request-ID", "X-Timeout: 2\r\n")
# Time in which a running daemon must respond to each request that it accepted.
RESPONSE_TIMEOUT_SECONDS = 5.0
# Mean of the random pause before each request of a caller.
MEAN_PAUSE_SECONDS = 0.05


@dataclass(frozen=True)
class RequestRecord:
    """One request of a caller, and its outcome."""

    ident: str
    is_unsafe: bool
    started_at: float
    ended_at: float
    status: int  # 0 if no complete response arrived
    body: bytes


class ValidCallers:
    """Callers that send one request after another, each on a connection that is kept until the daemon closes it."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.requests: list[RequestRecord] = []
        self._count = itertools.count(1)
        self._loop = asyncio.get_running_loop()

    async def send_requests(self, rng: Random) -> None:
        """Send requests until cancelled."""
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.0, 2 * MEAN_PAUSE_SECONDS))
                is_unsafe, ident = rng.random() < 0.5, f"r{next(self._count)}"
                started_at = self._loop.time()
                status, body = 0, b""
                try:
                    async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                        if streams is None:
                            streams = await asyncio.open_connection(HOST, self.daemon.port)
                        status, body, is_reusable = await self._exchange(streams, ident, is_unsafe)
                except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
                    is_reusable = False
                self.requests.append(RequestRecord(ident, is_unsafe, started_at, self._loop.time(), status, body))
                if not is_reusable and streams is not None:
                    streams[1].close()
                    streams = None
        finally:
            if streams is not None:
                streams[1].close()

    @staticmethod
    async def _exchange(
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], ident: str, is_unsafe: bool
    ) -> tuple[int, bytes, bool]:
        reader, writer = streams
        writer.write(REQUEST_FORMAT.head(ident, is_unsafe, 1 if is_unsafe else None) + (b"x" if is_unsafe else b""))
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
        fields = {k: v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
        body = await reader.readexactly(int(fields["content-length"]))
        return int(head[0].split(" ")[1]), body, fields.get("connection") != "close"
