"""Hollow backends: heartbeats for many proxies from one process, `python -m lugspur.emulator.hollow.backends FILE`."""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import suppress
from pathlib import Path
from random import Random

import msgspec
import uvloop

ACKNOWLEDGED_WITHIN = 1.0  # seconds, then the connection is given up


class BackendSettings(msgspec.Struct):
    """One backend: its service and zone, where it would serve, and where its proxy takes heartbeats."""

    service: str
    zone: str
    address: str
    dispatch: str


class FleetSettings(msgspec.Struct):
    """All backends of one process."""

    heartbeat_s: float
    backends: list[BackendSettings]


class HollowBackend:
    """One life of one backend, which only sends heartbeats, on one connection while that lasts."""

    def __init__(self, settings: BackendSettings, heartbeat_s: float, rng: Random) -> None:
        self.id = f"i-{os.urandom(4).hex()}"
        self._settings, self._heartbeat_s, self._rng = settings, heartbeat_s, rng
        self._sequence = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send heartbeats until cancelled; the first ones are spread over the time between two."""
        await asyncio.sleep(self._heartbeat_s * self._rng.random())
        while True:
            try:
                async with asyncio.timeout(ACKNOWLEDGED_WITHIN):
                    await self._beat()
            except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                self._drop()
            await asyncio.sleep(self._heartbeat_s)

    async def _beat(self) -> None:
        host, _, port = self._settings.dispatch.rpartition(":")
        if self._streams is None:
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        body = self._body()
        head = f"POST /backends/{self.id}/heartbeat HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = await reader.readuntil(b"\r\n\r\n")
        for line in answer.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                await reader.readexactly(int(value))
            elif name == b"connection" and b"close" in value:
                self._drop()

    def _body(self) -> bytes:
        self._sequence += 1
        return msgspec.json.encode(
            {
                "service": self._settings.service,
                "address": self._settings.address,
                "zone": self._settings.zone,
                "edition": "v1",
                "berths": 9,
                "state": "accepting",
                "warmup_left_ms": 0,
                "sequence": self._sequence,
            }
        )

    def _drop(self) -> None:
        if self._streams is not None:
            with suppress(OSError):
                self._streams[1].close()
            self._streams = None


async def _run(path: Path) -> None:
    settings = msgspec.json.decode(path.read_bytes(), type=FleetSettings)
    rng = Random(str(path))
    async with asyncio.TaskGroup() as group:
        for backend in settings.backends:
            group.create_task(HollowBackend(backend, settings.heartbeat_s, rng).run())


if __name__ == "__main__":
    uvloop.run(_run(Path(sys.argv[1])))
