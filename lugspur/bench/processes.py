"""Starts the processes under measurement, reads their CPU time and memory, and kills them by their ids."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from lugspur.bench.sockets import free_port, wait_for_listener

# The kernel's CPUCLOCK_SCHED, which counts the time on a CPU in nanoseconds.
CPU_CLOCK = 2
START_TIMEOUT = 30.0  # seconds within which a process must listen

SERVICES = [
    {"Name": "read", "Aim": 30.0, "HardLimit": 30.0, "Repeat": "retryable", "LateWorth": 1.0},
    {"Name": "book", "Aim": 30.0, "HardLimit": 30.0, "Repeat": "fragile", "LateWorth": 1.0},
]
CLASSES = """[classes.read]
aim = "30s"
deadline = "30s"
repeat = "safe"
[classes.book]
aim = "30s"
deadline = "30s"
"""
FILE = (
    CLASSES
    + """[limits]
sockets = 4096
[listeners.main]
address = "127.0.0.1:{port}"
[pools.main]
members = [{members}]
[routes.read]
path = "/api/{{key}}"
methods = ["GET"]
pool = "main"
class = "read"
[routes.book]
path = "/api/{{key}}"
methods = ["POST"]
pool = "main"
class = "book"
"""
)


class Usage:
    """The CPU time and memory that a process uses, by its id."""

    def __init__(self, pid: int) -> None:
        self.pid = pid

    def cpu(self) -> float:
        """Return the seconds of CPU time that the process has used, as counted by the system.

        The figure comes from the process's CPU clock (clock_getcpuclockid(3)), not from /proc/PID/stat, which counts
        ticks of 10 ms: a short round of the relay would take none.
        """
        return time.clock_gettime((~self.pid << 3) | CPU_CLOCK)

    def memory(self) -> float:
        """Return the resident memory of the process in MiB."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024.0


class Process(Usage):
    """One running process and the address that it listens on."""

    def __init__(self, process: subprocess.Popen[str], address: str) -> None:
        super().__init__(process.pid)
        self._process = process
        self.host, _, port = address.rpartition(":")
        self.port = int(port)

    def end(self) -> None:
        """Kill the process and wait until it has ended."""
        self._process.kill()
        self._process.wait()


@contextmanager
def run_standin(*command: str) -> Iterator[Process]:
    """Run a stand-in, which prints `ready HOST:PORT` once it listens."""
    process = subprocess.Popen([sys.executable, "-m", *command], stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    running = Process(process, process.stdout.readline().split()[1])
    try:
        yield running
    finally:
        running.end()


@contextmanager
def run_proxy(command: list[str], port: int, environ: dict[str, str], root: str | None = None) -> Iterator[Process]:
    """Run a proxy that listens on this port, from this checkout or the one at `root`."""
    process = subprocess.Popen(command, env=os.environ | environ, text=True, stderr=subprocess.DEVNULL, cwd=root)
    running = Process(process, f"127.0.0.1:{port}")
    try:
        wait_for_listener(port, START_TIMEOUT)
        yield running
    finally:
        running.end()


@contextmanager
def run_platform_proxy(folder: Path, backends: list[Process], root: str | None = None) -> Iterator[Process]:
    """Run the platform's proxy, from this checkout or the one at `root`."""
    port = free_port()
    entries = [
        {
            "name": f"b{n}",
            "address": f"127.0.0.1:{b.port}",
            "zone": "",
            "type": "",
            "group": 0,
            "weight": 1.0,
            "status": "in_service",
            "since_ms": 0,
        }
        for n, b in enumerate(backends)
    ]
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1",
        "limits": {"sockets": 4096, "memory_mb": 256},
        "known": {"index": 1, "endpoints": entries},
        "settings": {"Instances": 1, "Services": SERVICES, "Bounds": {"Cancel": True}},
    }
    file = folder / f"platform-{port}.json"
    file.write_text(json.dumps(config))
    with run_proxy([sys.executable, "-m", "lugspur"], port, {"RELAY_CONFIG": str(file)}, root) as running:
        time.sleep(1.5)  # until the endpoint list in its start configuration takes effect
        yield running


@contextmanager
def run_daemon(folder: Path, backends: list[Process], more: str = "") -> Iterator[Process]:
    """Run `lugspur run`, with further text appended to its settings file."""
    port = free_port()
    members = ", ".join(f'{{ address = "127.0.0.1:{backend.port}" }}' for backend in backends)
    file = folder / f"run-{port}.toml"
    file.write_text(FILE.format(port=port, members=members) + more)
    with run_proxy([sys.executable, "-m", "lugspur", "run", str(file)], port, {}) as running:
        yield running
