"""Callers of a daemon that behave, and what became of each of their requests."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from random import Random

from lugspur.bench.soak.daemon_process import HOST, Daemon
from lugspur.bench.soak.misbehaving_callers import Form

FORM = Form("soak.example", "/api/read", "/api/book", "X-Request-ID", "X-Timeout: 2\r\n")
ANSWER_WITHIN = 5.0  # seconds in which each request that a running daemon took has its answer
ASK_EVERY = 0.05


@dataclass(frozen=True)
class Asked:
    """One request of a sound caller, and what became of it."""

    ident: str
    unsafe: bool
    began: float
    ended: float
    status: int  # 0: no whole answer came
    body: bytes


class SoundCallers:
    """Callers that ask one request after another, on connections that they keep as long as the daemon does."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.asked: list[Asked] = []
        self._count = itertools.count(1)
        self._loop = asyncio.get_running_loop()

    async def work(self, rng: Random) -> None:
        """Ask until cancelled."""
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.0, 2 * ASK_EVERY))
                unsafe, ident = rng.random() < 0.5, f"r{next(self._count)}"
                began = self._loop.time()
                status, body = 0, b""
                try:
                    async with asyncio.timeout(ANSWER_WITHIN):
                        if streams is None:
                            streams = await asyncio.open_connection(HOST, self.daemon.port)
                        status, body, keeps = await self._exchange(streams, ident, unsafe)
                except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
                    keeps = False
                self.asked.append(Asked(ident, unsafe, began, self._loop.time(), status, body))
                if not keeps and streams is not None:
                    streams[1].close()
                    streams = None
        finally:
            if streams is not None:
                streams[1].close()

    @staticmethod
    async def _exchange(
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], ident: str, unsafe: bool
    ) -> tuple[int, bytes, bool]:
        reader, writer = streams
        writer.write(FORM.head(ident, unsafe, 1 if unsafe else None) + (b"x" if unsafe else b""))
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
        fields = {k: v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
        body = await reader.readexactly(int(fields["content-length"]))
        return int(head[0].split(" ")[1]), body, fields.get("connection") != "close"
