"""Runs a scenario over a mesh of processes on loopback."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from lugspur.bench.mesh import Mesh


def play(
    folder: Path,
    what: Callable[[Mesh], Awaitable[None]],
    replicas: int = 3,
    services: tuple[str, ...] = ("rooms", "rooms"),
) -> None:
    """Run a scenario over control nodes and proxies, one for each service; where it fails their logs are shown."""

    async def run() -> None:
        mesh = Mesh(folder, replicas, services)
        try:
            async with asyncio.timeout(60.0):
                await mesh.begin()
                await what(mesh)
        except BaseException:
            for path in sorted(folder.glob("*.log")):
                print(path.name, path.read_text()[-3000:], file=sys.stderr)
            raise
        finally:
            await mesh.close()

    asyncio.run(run())
