"""What a kept state is worth and costs: `python -m lugspur.bench.state restart|cost`.

`restart` ends a daemon under load before 20 boxes, of which 5 are slow and 2 fail most calls, and starts it again with
a fresh file, one that is an hour old, one that is a day old, and none; it counts what its callers lose. `cost` lets a
daemon that follows 10 to 10,000 boxes keep its state each half second, and times the requests that come meanwhile.
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

from lugspur.bench.main import request
from lugspur.bench.sockets import free_port
from lugspur.daemon.persistence.snapshot_format import FORMAT_VERSION, MAGIC, decode_snapshot
from lugspur.daemon.persistence.snapshot_store import CURRENT_FILE
from lugspur.standins.backend import Backend, Request, Response
from lugspur.standins.callers import Caller

HOST = "127.0.0.1"
BOXES, SLOW, BAD = 20, 5, 2
QUICK, LATE = 0.005, 0.25  # seconds of work of a good box and of a slow one
AIM = 0.1  # seconds in which an answer is wanted, and waited for
FAILS = 0.8  # the part of the calls that a bad box fails
CALLERS, PAUSE = 16, 0.05  # and seconds between two requests of one
WARM = 10.0  # seconds in which the daemon learns
FIRST = 10.0  # seconds after a start that count
PLAYS = 3
WITHIN = 30.0  # seconds that anything may take
AGES = {"none": None, "fresh": 0.0, "an hour old": 3_599.0, "a day old": 86_400.0}
SIZES = (10, 100, 1_000, 10_000)
TIMED = 6.0  # seconds of requests that are timed

FILE = """[limits]
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


def redated(data: bytes, age: float) -> bytes:
    """The same file, written so many seconds before now."""
    at = data.rfind(b"\nend ", 0, -1) + 1
    _, _, facts = data[:at].partition(b"\n")
    text = b"%b %d %.3f\n" % (MAGIC, FORMAT_VERSION, time.time() - age) + facts
    return text + b"end %b %d\n" % (hashlib.sha256(text).hexdigest().encode(), text.count(b"\n"))


class Daemon:
    """A daemon's process by a file."""

    def __init__(self, folder: Path, pool: str, keeps: bool) -> None:
        self.port = free_port()
        state = f'[state]\nfolder = "{folder}"\nevery = "500ms"\n' if keeps else ""
        self._file = folder.parent / f"{self.port}.toml"
        self._file.write_text(FILE.format(port=self.port, state=state, pool=pool, aim=int(AIM * 1000)))
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Until it takes connections."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lugspur",
            "run",
            str(self._file),
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        async with asyncio.timeout(WITHIN):
            while True:
                with suppress(ConnectionError):
                    _, writer = await asyncio.open_connection(HOST, self.port)
                    writer.close()
                    return
                await asyncio.sleep(0.005)

    async def end(self) -> None:
        """SIGTERM, until it has ended."""
        self.process.terminate()
        await asyncio.wait_for(self.process.wait(), WITHIN)


@dataclass(slots=True)
class Loss:
    """What callers met."""

    asked: int = 0
    failed: int = 0
    late: int = 0


async def load(port: int, seconds: float, seed: int) -> Loss:
    """Callers that must not be served twice, for so long."""
    loss, make = Loss(), request("book")
    loop = asyncio.get_running_loop()
    over = loop.time() + seconds

    async def ask(mine: int) -> None:
        rng, caller, number = Random(seed * 1000 + mine), Caller(HOST, port), mine << 32
        await asyncio.sleep(rng.random() * PAUSE)
        while (begun := loop.time()) < over:
            number += 1
            status = (await caller.ask(make(number), WITHIN)).status
            loss.asked += 1
            loss.failed += status != 200
            loss.late += status == 200 and loop.time() - begun > AIM
            await asyncio.sleep(PAUSE)
        caller.close()

    await asyncio.gather(*(ask(mine) for mine in range(CALLERS)))
    return loss


def worker(place: int, rng: Random) -> Callable[[Request], Awaitable[Response]]:
    """A box's work: the first are slow, the next ones fail most calls."""

    async def work(_: Request) -> Response:
        await asyncio.sleep(LATE if place < SLOW else QUICK)
        return (500, b"oh") if SLOW <= place < SLOW + BAD and rng.random() < FAILS else (200, b"done")

    return work


async def restart(base: Path, plays: int) -> None:
    """The losses of the first seconds after a start."""
    boxes = [Backend(f"b{place}", worker(place, Random(place))) for place in range(BOXES)]
    for box in boxes:
        await box.listen()
    members = ", ".join(f'{{ name = "{box.name}", address = "{box.address}" }}' for box in boxes)
    pool, folder = f"members = [{members}]", base / "learned"
    folder.mkdir()
    teacher = Daemon(folder, pool, True)
    await teacher.start()
    await load(teacher.port, WARM, 0)
    steady = await load(teacher.port, FIRST, 1)
    await teacher.end()
    print("| file | requests | failed | late | lost beyond a daemon that goes on |")
    print("| --- | --- | --- | --- | --- |")
    usual = (steady.failed + steady.late) / steady.asked
    print(f"| (goes on) | {steady.asked} | {steady.failed} | {steady.late} | 0 |")
    totals = {name: Loss() for name in AGES}
    for play in range(plays):
        for name, age in AGES.items():
            place = base / f"{play}-{name.replace(' ', '-')}"
            place.mkdir()
            if age is not None:
                (place / CURRENT_FILE).write_bytes(redated((folder / CURRENT_FILE).read_bytes(), age))
            daemon = Daemon(place, pool, True)
            await daemon.start()
            loss = await load(daemon.port, FIRST, 2 + play)
            await daemon.end()
            total = totals[name]
            total.asked, total.failed, total.late = (
                total.asked + loss.asked,
                total.failed + loss.failed,
                total.late + loss.late,
            )
    for name, total in totals.items():
        beyond = total.failed + total.late - usual * total.asked
        print(f"| {name} | {total.asked} | {total.failed} | {total.late} | {beyond:.0f} |")
    for box in boxes:
        box.kill()


async def cost(base: Path) -> None:
    """What keeping costs the requests that come meanwhile, beside the same daemon that keeps nothing."""

    async def quick(_: Request) -> Response:
        return 200, b"done"

    box = Backend("b", quick)
    await box.listen()
    print("| boxes | bytes | written in 6 s | p50 ms, without and with | p99 ms | longest ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        listed = base / f"{size}.json"
        listed.write_text(
            json.dumps(
                {
                    "endpoints": [
                        {
                            "name": f"box-{number:06}",
                            "address": box.address,
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
        for keeps in (False, True):
            folder = base / f"{size}-{keeps}"
            folder.mkdir()
            daemon = Daemon(folder, f'file = "{listed}"', keeps)
            await daemon.start()
            caller, make = Caller(HOST, daemon.port), request("book")
            took: list[float] = []
            loop, number, last = asyncio.get_running_loop(), 0, 0
            for phase in (2.0, TIMED):
                took, written = [], 0
                over = loop.time() + phase
                while (begun := loop.time()) < over:
                    number += 1
                    if (await caller.ask(make(number), WITHIN)).status == 200:
                        took.append(loop.time() - begun)
                    if keeps and number % 20 == 0 and (folder / CURRENT_FILE).exists():
                        now = (folder / CURRENT_FILE).stat().st_mtime_ns
                        written, last = written + (now != last), now
            await daemon.end()
            took.sort()
            rows.append([took[len(took) // 2] * 1e3, took[len(took) * 99 // 100] * 1e3, took[-1] * 1e3])
            if keeps:
                data = (folder / CURRENT_FILE).read_bytes()
                bytes_ = len(data)
                assert len(decode_snapshot(data).pools["main"].endpoints) == size
        shutil.rmtree(base / f"{size}-True")
        (half, late, most), (half_, late_, most_) = rows
        print(
            f"| {size} | {bytes_} | {written} | {half:.2f}, {half_:.2f} | {late:.2f}, {late_:.2f} | "
            f"{most:.1f}, {most_:.1f} |"
        )
    box.kill()


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("what", choices=("restart", "cost"))
    parser.add_argument("--plays", type=int, default=PLAYS, help="starts with each file")
    given = parser.parse_args()
    with TemporaryDirectory() as name:
        asyncio.run(restart(Path(name), given.plays) if given.what == "restart" else cost(Path(name)))


if __name__ == "__main__":
    main()
