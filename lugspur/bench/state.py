"""Measures the benefit and the cost of the daemon's state snapshots: `python -m lugspur.bench.state restart|cost`.

`restart` stops a daemon under load with 20 backends, of which 5 are slow and 2 fail most requests, and starts it again
with a fresh snapshot, one that is an hour old, one that is a day old, and none; it counts failed and late requests.
`cost` lets a daemon with 10 to 10,000 backends write a snapshot every half second, and times the requests meanwhile.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import os
import shutil
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from lugspur.bench.main import request_maker
from lugspur.bench.sockets import free_port
from lugspur.daemon.persistence.snapshot_format import FORMAT_VERSION, MAGIC, decode_snapshot
from lugspur.daemon.persistence.snapshot_store import CURRENT_FILE
from lugspur.standins.backend import Backend, Request, Response
from lugspur.standins.callers import Caller

HOST = "127.0.0.1"
BACKENDS, SLOW_BACKENDS, FAILING_BACKENDS = 20, 5, 2  # all backends, the slow ones and the failing ones
FAST_SECONDS, SLOW_SECONDS = 0.005, 0.25  # seconds that a good and a slow backend work on a request
LATENCY_TARGET = 0.1  # latency target and deadline of a request in seconds
FAILURE_SHARE = 0.8  # share of its requests that a failing backend fails
CALLERS = 16
PAUSE = 0.05  # seconds between two requests of a caller
WARM_UP_SECONDS = 10.0  # seconds in which the daemon learns
MEASURED_SECONDS = 10.0  # seconds after a start that are measured
STARTS = 3  # starts with each snapshot
TIMEOUT = 30.0  # timeout in seconds of every wait
AGES = {"none": None, "fresh": 0.0, "an hour old": 3_599.0, "a day old": 86_400.0}  # ages of snapshots in seconds
SIZES = (10, 100, 1_000, 10_000)  # numbers of backends in `cost`
TIMED_SECONDS = 6.0  # seconds in which requests are timed

SETTINGS_TEMPLATE = """[limits]
sockets = 1024
[listeners.main]
address = "127.0.0.1:{port}"
{state}[classes.book]
aim = "{aim}ms"
deadline = "{aim}ms"
[pools.main]
{pool}
[routes.all]
path = "/*"
pool = "main"
class = "book"
"""


def with_age(data: bytes, age: float) -> bytes:
    """Return the same snapshot as if it was written this many seconds ago."""
    at = data.rfind(b"\nend ", 0, -1) + 1
    _, _, content = data[:at].partition(b"\n")
    text = b"%b %d %.3f\n" % (MAGIC, FORMAT_VERSION, time.time() - age) + content
    return text + b"end %b %d\n" % (hashlib.sha256(text).hexdigest().encode(), text.count(b"\n"))


class Daemon:
    """A daemon process with its settings file."""

    def __init__(self, folder: Path, pool: str, writes_snapshots: bool) -> None:
        self.port = free_port()
        state = f'[state]\nfolder = "{folder}"\nevery = "500ms"\n' if writes_snapshots else ""
        self._file = folder.parent / f"{self.port}.toml"
        self._file.write_text(
            SETTINGS_TEMPLATE.format(port=self.port, state=state, pool=pool, aim=int(LATENCY_TARGET * 1000))
        )
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start the process and wait until it accepts connections."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lugspur",
            "run",
            str(self._file),
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        async with asyncio.timeout(TIMEOUT):
            while True:
                with suppress(ConnectionError):
                    _, writer = await asyncio.open_connection(HOST, self.port)
                    writer.close()
                    return
                await asyncio.sleep(0.005)

    async def end(self) -> None:
        """Terminate the process and wait for its end."""
        self.process.terminate()
        await asyncio.wait_for(self.process.wait(), TIMEOUT)


@dataclass(slots=True)
class Loss:
    """The numbers of requests, of failed ones and of late ones."""

    sent: int = 0
    failed: int = 0
    late: int = 0


async def run_load(port: int, seconds: float, seed: int) -> Loss:
    """Run callers with unsafe requests for this many seconds."""
    loss, make = Loss(), request_maker("book")
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds

    async def ask(caller_number: int) -> None:
        rng, caller, number = Random(seed * 1000 + caller_number), Caller(HOST, port), caller_number << 32
        await asyncio.sleep(rng.random() * PAUSE)
        while (started_at := loop.time()) < deadline:
            number += 1
            status = (await caller.ask(make(number), TIMEOUT)).status
            loss.sent += 1
            loss.failed += status != 200
            loss.late += status == 200 and loop.time() - started_at > LATENCY_TARGET
            await asyncio.sleep(PAUSE)
        caller.close()

    await asyncio.gather(*(ask(caller_number) for caller_number in range(CALLERS)))
    return loss


def make_handler(place: int, rng: Random) -> Callable[[Request], Awaitable[Response]]:
    """Return the request handler of a backend: the first ones are slow, the next ones fail most requests."""

    async def work(_: Request) -> Response:
        await asyncio.sleep(SLOW_SECONDS if place < SLOW_BACKENDS else FAST_SECONDS)
        return (
            (500, b"oh")
            if SLOW_BACKENDS <= place < SLOW_BACKENDS + FAILING_BACKENDS and rng.random() < FAILURE_SHARE
            else (200, b"done")
        )

    return work


async def restart(base: Path, plays: int) -> None:
    """Print the failed and late requests of the first seconds after a start."""
    backends = [Backend(f"b{place}", make_handler(place, Random(place))) for place in range(BACKENDS)]
    for backend in backends:
        await backend.listen()
    members = ", ".join(f'{{ name = "{backend.name}", address = "{backend.address}" }}' for backend in backends)
    pool, folder = f"members = [{members}]", base / "learned"
    folder.mkdir()
    warm_daemon = Daemon(folder, pool, True)
    await warm_daemon.start()
    await run_load(warm_daemon.port, WARM_UP_SECONDS, 0)
    steady = await run_load(warm_daemon.port, MEASURED_SECONDS, 1)
    await warm_daemon.end()
    print("| file | requests | failed | late | lost beyond a daemon that goes on |")
    print("| --- | --- | --- | --- | --- |")
    usual_share = (steady.failed + steady.late) / steady.sent
    print(f"| (goes on) | {steady.sent} | {steady.failed} | {steady.late} | 0 |")
    totals = {name: Loss() for name in AGES}
    for play in range(plays):
        for name, age in AGES.items():
            place = base / f"{play}-{name.replace(' ', '-')}"
            place.mkdir()
            if age is not None:
                (place / CURRENT_FILE).write_bytes(with_age((folder / CURRENT_FILE).read_bytes(), age))
            daemon = Daemon(place, pool, True)
            await daemon.start()
            loss = await run_load(daemon.port, MEASURED_SECONDS, 2 + play)
            await daemon.end()
            total = totals[name]
            total.sent, total.failed, total.late = (
                total.sent + loss.sent,
                total.failed + loss.failed,
                total.late + loss.late,
            )
    for name, total in totals.items():
        extra_loss = total.failed + total.late - usual_share * total.sent
        print(f"| {name} | {total.sent} | {total.failed} | {total.late} | {extra_loss:.0f} |")
    for backend in backends:
        backend.kill()


async def cost(base: Path) -> None:
    """Print request latencies with snapshots, beside those of the same daemon without snapshots."""

    async def quick(_: Request) -> Response:
        return 200, b"done"

    backend = Backend("b", quick)
    await backend.listen()
    print("| boxes | bytes | written in 6 s | p50 ms, without and with | p99 ms | longest ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        endpoint_file = base / f"{size}.json"
        endpoint_file.write_text(
            json.dumps(
                {
                    "endpoints": [
                        {
                            "name": f"box-{number:06}",
                            "address": backend.address,
                            "zone": "",
                            "group": 0,
                            "status": "in_service",
                            "weight": 1.0,
                            "since_ms": 0,
                        }
                        for number in range(size)
                    ]
                }
            )
        )
        rows: list[list[float]] = []
        written = bytes_ = 0
        for writes_snapshots in (False, True):
            folder = base / f"{size}-{writes_snapshots}"
            folder.mkdir()
            daemon = Daemon(folder, f'file = "{endpoint_file}"', writes_snapshots)
            await daemon.start()
            caller, make = Caller(HOST, daemon.port), request_maker("book")
            seconds: list[float] = []
            loop, number, last = asyncio.get_running_loop(), 0, 0
            for phase in (2.0, TIMED_SECONDS):
                seconds, written = [], 0
                deadline = loop.time() + phase
                while (started_at := loop.time()) < deadline:
                    number += 1
                    if (await caller.ask(make(number), TIMEOUT)).status == 200:
                        seconds.append(loop.time() - started_at)
                    if writes_snapshots and number % 20 == 0 and (folder / CURRENT_FILE).exists():
                        now = (folder / CURRENT_FILE).stat().st_mtime_ns
                        written, last = written + (now != last), now
            await daemon.end()
            seconds.sort()
            rows.append([seconds[len(seconds) // 2] * 1e3, seconds[len(seconds) * 99 // 100] * 1e3, seconds[-1] * 1e3])
            if writes_snapshots:
                data = (folder / CURRENT_FILE).read_bytes()
                bytes_ = len(data)
                assert len(decode_snapshot(data).pools["main"].endpoints) == size
        shutil.rmtree(base / f"{size}-True")
        (p50, p99, longest), (p50_with, p99_with, longest_with) = rows
        print(
            f"| {size} | {bytes_} | {written} | {p50:.2f}, {p50_with:.2f} | {p99:.2f}, {p99_with:.2f} | "
            f"{longest:.1f}, {longest_with:.1f} |"
        )
    backend.kill()


def main() -> None:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=("restart", "cost"))
    parser.add_argument("--plays", type=int, default=STARTS, help="starts with each snapshot")
    arguments = parser.parse_args()
    with TemporaryDirectory() as name:
        asyncio.run(restart(Path(name), arguments.plays) if arguments.what == "restart" else cost(Path(name)))


if __name__ == "__main__":
    main()
