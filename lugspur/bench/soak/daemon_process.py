"""The daemon under test: its process, its settings file, and the spans in which it was unavailable."""

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
from lugspur.bench.soak.verdict import read_metrics

HOST = "127.0.0.1"
# Time that a start may take, and the exit after SIGTERM.
START_STOP_TIMEOUT_SECONDS = 20.0
# Pause between two checks of a condition that is waited for.
POLL_SECONDS = 0.05
SETTINGS_TEMPLATE = """[classes.read]
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
    """The daemon's process, and the spans in which it was killed, frozen or restarting."""

    def __init__(self, directory: Path, backends: list[DaemonBackend]) -> None:
        self.directory, self.backends = directory, backends
        self.port, self.management = free_ports([HOST], 2)
        self.path = directory / "run.toml"
        self.process: subprocess.Popen[bytes] | None = None
        self._versions = itertools.count(1)
        self.outages: list[tuple[float, float]] = []  # spans in which it was killed or frozen
        self.stops: list[tuple[float, float]] = []  # spans from SIGTERM until the next process listens

    def settings_content(self) -> bytes:
        """Return a valid settings file whose content differs from every earlier one."""
        members = ", ".join(f'{{ address = "{host}:{port}" }}' for host, port in (b.address for b in self.backends))
        note = f"version {next(self._versions)}"
        return SETTINGS_TEMPLATE.format(
            host=HOST, port=self.port, management=self.management, members=members, note=note
        ).encode()

    def start(self) -> None:
        """Write a valid settings file and start the process."""
        self.path.write_bytes(self.settings_content())
        with (self.directory / "daemon.log").open("ab") as log:
            command = [sys.executable, "-m", "lugspur", "run", str(self.path)]
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=log, env=dict(os.environ))

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(signal_number)

    def reload(self, settings_content: bytes | None) -> None:
        """Write the settings file, or remove it if the content is None, and send SIGHUP."""
        if settings_content is None:
            self.path.unlink(missing_ok=True)
        else:
            self.path.write_bytes(settings_content)
        self.send_signal(signal.SIGHUP)

    async def wait_for_exit(self, timeout_seconds: float) -> bool:
        """Wait for the process to exit; return False if it has not done so in time."""
        assert self.process is not None
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while self.process.poll() is None:
            if loop.time() > deadline:
                return False
            await asyncio.sleep(0.02)
        return True

    async def close(self) -> None:
        """Kill the process if it runs, frozen or not."""
        if self.process is not None and self.process.poll() is None:
            self.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def wait_until_ready(daemon: Daemon) -> None:
    """Wait until the management listener of the daemon serves metrics; raises TimeoutError."""
    async with asyncio.timeout(START_STOP_TIMEOUT_SECONDS):
        while not await read_metrics(f"{HOST}:{daemon.management}"):
            await asyncio.sleep(POLL_SECONDS)
