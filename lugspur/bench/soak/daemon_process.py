"""The daemon of a soak: its process, its file, and the times at which it was not there."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import subprocess
import sys
from pathlib import Path

from lugspur.bench.mesh import ROOT, free_ports
from lugspur.bench.soak.faulty_backends import DaemonBackend
from lugspur.bench.soak.verdict import figures

HOST = "127.0.0.1"
READY_WITHIN = 20.0  # seconds for a start, and for an end after SIGTERM
LOOK_EVERY = 0.05
FILE = """[classes.read]
aim = "500ms"
deadline = "2s"
repeat = "safe"
[classes.book]
aim = "500ms"
deadline = "2s"
[listeners.main]
address = "{host}:{port}"
[management]
address = "{host}:{management}"
[pools.main]
members = [{members}]
[routes.read]
path = "/api/read"
methods = ["GET"]
pool = "main"
class = "read"
[routes.book]
path = "/api/book"
methods = ["POST"]
pool = "main"
class = "book"
# {note}
"""


class Daemon:
    """The daemon's process, and the times at which it was not there or stood still."""

    def __init__(self, folder: Path, backends: list[DaemonBackend]) -> None:
        self.folder, self.backends = folder, backends
        self.port, self.management = free_ports([HOST], 2)
        self.path = folder / "run.toml"
        self.process: subprocess.Popen[bytes] | None = None
        self._notes = itertools.count(1)
        self.away: list[tuple[float, float]] = []  # killed, or frozen
        self.stopping: list[tuple[float, float]] = []  # from SIGTERM until the next process listens

    def content(self) -> bytes:
        """The right file; each one differs from the one before."""
        members = ", ".join(f'{{ address = "{host}:{port}" }}' for host, port in (b.address for b in self.backends))
        note = f"version {next(self._notes)}"
        return FILE.format(host=HOST, port=self.port, management=self.management, members=members, note=note).encode()

    def start(self) -> None:
        """Start it, with the right file."""
        self.path.write_bytes(self.content())
        with (self.folder / "daemon.log").open("ab") as log:
            command = [sys.executable, "-m", "lugspur", "run", str(self.path)]
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=log, env=dict(os.environ))

    def send(self, number: signal.Signals) -> None:
        """A signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def reload(self, content: bytes | None) -> None:
        """SIGHUP with this file in place; None: it is gone."""
        if content is None:
            self.path.unlink(missing_ok=True)
        else:
            self.path.write_bytes(content)
        self.send(signal.SIGHUP)

    async def ended(self, within: float) -> bool:
        """Wait for its end."""
        assert self.process is not None
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        while self.process.poll() is None:
            if loop.time() > until:
                return False
            await asyncio.sleep(0.02)
        return True

    async def close(self) -> None:
        """End it."""
        if self.process is not None and self.process.poll() is None:
            self.send(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def ready(daemon: Daemon) -> None:
    """Wait until it listens at both addresses; raises TimeoutError."""
    async with asyncio.timeout(READY_WITHIN):
        while not await figures(f"{HOST}:{daemon.management}"):
            await asyncio.sleep(LOOK_EVERY)
