"""What the guard saves when the proxy's own core is squeezed, and what it costs when it is not.

The daemon runs on one core beside a busy neighbour, and politely (nice), so that it gets a small part of that core;
nothing here needs privileges. `python -m lugspur.bench.guard worth` plays 0.5 to 4 times what it can do then, with the
guard on and off; `burst` goes from 56 to 470 requests a second while the daemon is stopped for 100 to 320 ms now and
then, by callers that ask again at once when they are refused; `calm` measures what the guard costs on an idle core,
and `refusal` what a refusal costs beside a served request.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from lugspur.bench.processes import Process, served, standin
from lugspur.bench.sockets import free_port
from lugspur.standins.callers import Caller, closed_loop

NICE = 13  # the daemon's politeness towards its neighbour: some 5% of the core
CORE = 0  # the squeezed one; all else runs on the others
CALM = 0.3  # of what the idle core can do for callers that wait; arrivals that wait for nobody cost more each
LOADS = (0.5, 1.0, 2.0, 4.0)
SECONDS = 4.0
CALLERS_MOST = 400  # connections of the rig; arrivals beyond them count as not answered
RETRIES = 3

FILE = """[limits]
sockets = 2048
[guard]
on = {on}
[listeners.main]
address = "127.0.0.1:{port}"
[classes.booking-new]
aim = "410ms"
deadline = "2s"
worth = 20.0
[classes.availability]
aim = "410ms"
deadline = "1s"
worth = 3.0
repeat = "safe"
[classes.rate-push]
aim = "410ms"
deadline = "2s"
worth = 1.0
repeat = "safe"
[pools.main]
members = [{members}]
[routes.book]
path = "/v1/bookings"
methods = ["POST"]
pool = "main"
class = "booking-new"
[routes.availability]
path = "/v1/availability/{{hotel}}"
pool = "main"
class = "availability"
[routes.push]
path = "/v1/rates/{{hotel}}"
pool = "main"
class = "rate-push"
"""


@dataclass(slots=True, frozen=True)
class Class:
    """One kind of request of the mix."""

    name: str
    part: float
    worth: float
    aim: float
    left: float  # seconds that its caller waits
    head: str


MIX = (
    Class("booking-new", 0.12, 20.0, 0.41, 2.0, "POST /v1/bookings HTTP/1.1\r\nContent-Length: 2\r\n"),
    Class("availability", 0.38, 3.0, 0.41, 1.0, "GET /v1/availability/h1 HTTP/1.1\r\n"),
    Class("rate-push", 0.50, 1.0, 0.41, 2.0, "PUT /v1/rates/h1 HTTP/1.1\r\nContent-Length: 2\r\n"),
)


def wire(kind: Class) -> bytes:
    """A request of that kind."""
    body = "{}" if "Content-Length" in kind.head else ""
    return f"{kind.head}Host: h.example\r\nX-Timeout: {kind.left}\r\n\r\n{body}".encode()


@dataclass(slots=True)
class Found:
    """What became of one run."""

    asked: Counter[str] = field(default_factory=Counter)
    timely: Counter[str] = field(default_factory=Counter)  # 200 within the aim of the class, by class
    refused: Counter[str] = field(default_factory=Counter)
    refusals: list[float] = field(default_factory=list)  # seconds that a refusal took
    unanswered: int = 0  # no whole answer by the time that the caller waits
    statuses: Counter[int] = field(default_factory=Counter)
    cpu: float = 0.0  # seconds that the daemon used

    def worth(self) -> float:
        """What was served in time, in units of worth."""
        return sum(kind.worth * self.timely[kind.name] for kind in MIX)

    def part(self, name: str) -> float:
        """The part of a class's requests that was served in time."""
        return self.timely[name] / max(1, self.asked[name])

    def refused_within(self, quantile: float) -> float:
        """Seconds that this part of the refusals stayed under."""
        ordered = sorted(self.refusals)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0


class Load:
    """Arrivals that wait for nobody, over kept connections; each has one class's callers, as agencies and boxes do."""

    def __init__(self, process: Process, seed: int, retries: int = 0) -> None:
        self._process, self._rng, self._retries = process, random.Random(seed), retries
        self._idle: dict[str, list[Caller]] = {kind.name: [] for kind in MIX}
        self._open = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.found = Found()

    async def run(self, rate: float, seconds: float) -> None:
        """So many requests a second, for so many seconds."""
        loop = asyncio.get_running_loop()
        when, until = loop.time(), loop.time() + seconds
        while when < until:
            when += self._rng.expovariate(rate)
            if when > loop.time():
                await asyncio.sleep(when - loop.time())
            kind = self._rng.choices(MIX, [each.part for each in MIX])[0]
            task = loop.create_task(self._ask(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def end(self) -> Found:
        """Wait for all that was asked."""
        await asyncio.gather(*tuple(self._tasks))
        for caller in (caller for idle in self._idle.values() for caller in idle):
            caller.close()
        return self.found

    async def _ask(self, kind: Class) -> None:
        found = self.found
        found.asked[kind.name] += 1
        idle = self._idle[kind.name]
        if not idle and self._open >= CALLERS_MOST:
            found.unanswered += 1
            return
        caller = idle.pop() if idle else Caller(self._process.host, self._process.port)
        self._open += 1
        begun = time.monotonic()
        for _ in range(1 + self._retries):
            outcome = await caller.ask(wire(kind), kind.left + 0.5)
            found.statuses[outcome.status] += 1
            if outcome.status != 503:
                break
            found.refusals.append(outcome.seconds)
        spent = time.monotonic() - begun
        self._open -= 1
        idle.append(caller)
        if outcome.status == 200 and spent <= kind.aim:
            found.timely[kind.name] += 1
        found.refused[kind.name] += outcome.status == 503
        found.unanswered += not outcome.status


@contextmanager
def neighbour(core: int) -> Iterator[None]:
    """A program that wants all of that core."""
    process = subprocess.Popen([sys.executable, "-c", "while True: pass"])
    os.sched_setaffinity(process.pid, {core})
    try:
        yield
    finally:
        process.kill()
        process.wait()


@contextmanager
def squeezed(on: bool, squeeze: bool = True) -> Iterator[Process]:
    """The daemon, its guard on or off, on the squeezed core, with two boxes on others."""
    cores = os.sched_getaffinity(0)
    others = cores - {CORE} or cores
    with TemporaryDirectory() as folder, ExitStack() as stack:
        os.sched_setaffinity(0, others)
        delay = ("--delay", "0.02") if squeeze else ()  # idle boxes would make callers that wait measure them
        stack.callback(os.sched_setaffinity, 0, cores)
        boxes = [stack.enter_context(standin("lugspur.standins.backend", *delay)) for _ in range(2)]
        port, file = free_port(), Path(folder) / "guard.toml"
        members = ", ".join(f'{{ address = "127.0.0.1:{box.port}" }}' for box in boxes)
        file.write_text(FILE.format(on=str(on).lower(), port=port, members=members))
        command = [sys.executable, "-m", "lugspur", "run", str(file)]
        process = stack.enter_context(served(["nice", "-n", str(NICE), *command] if squeeze else command, port, {}))
        os.sched_setaffinity(process.pid, {CORE})
        if squeeze:
            stack.enter_context(neighbour(CORE))
        yield process


def capacity(process: Process, count: int = 1500) -> float:
    """Requests a second that the daemon serves as it is now, by callers that wait for their answers."""
    requests = [wire(kind) for kind in MIX for _ in range(int(100 * kind.part))]
    begun = time.monotonic()
    asyncio.run(closed_loop(process.host, process.port, 32, count, lambda n: requests[n % len(requests)]))
    return count / (time.monotonic() - begun)


async def _play(process: Process, rate: float, seconds: float, seed: int) -> Found:
    load, before = Load(process, seed), process.cpu()
    await load.run(rate, seconds)
    found = await load.end()
    found.cpu = process.cpu() - before
    return found


def worth(seed: int, seconds: float = SECONDS, loads: tuple[float, ...] = LOADS) -> dict[bool, dict[float, Found]]:
    """Runs at each load, with the guard off and on; the load is a multiple of what the core can do without it."""
    rows: dict[bool, dict[float, Found]] = {}
    with squeezed(False) as process:
        can = capacity(process)
        print(f"the squeezed core can do {can:.0f} requests a second")
        rows[False] = {load: asyncio.run(_play(process, load * can, seconds, seed)) for load in loads}
    with squeezed(True) as process:
        capacity(process)
        rows[True] = {load: asyncio.run(_play(process, load * can, seconds, seed)) for load in loads}
    return rows


async def _burst(process: Process, seed: int, seconds: float) -> Found:
    load, rng = Load(process, seed, RETRIES), random.Random(seed)

    async def stop() -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            os.kill(process.pid, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.1, 0.32))
            os.kill(process.pid, signal.SIGCONT)

    pulses = asyncio.get_running_loop().create_task(stop())
    try:
        for rate in (56.0, 470.0, 56.0):
            await load.run(rate, seconds)
        return await load.end()
    finally:
        pulses.cancel()
        os.kill(process.pid, signal.SIGCONT)


def burst(on: bool, seed: int, seconds: float = SECONDS) -> Found:
    """From 56 to 470 requests a second and back, on the squeezed core, with stops."""
    with squeezed(on) as process:
        capacity(process, 300)
        return asyncio.run(_burst(process, seed, seconds))


# ---- reports -------------------------------------------------------------------------------------


HEAD = (
    "| guard | load | worth in time | booking-new | availability | rate-push | refusals, 99th | no answer |\n"
    "|---|---|---|---|---|---|---|---|"
)


def _row(on: bool, load: str, found: Found) -> str:
    parts = " | ".join(f"{found.part(kind.name):.1%}" for kind in MIX)
    return (
        f"| {'on' if on else 'off'} | {load} | {found.worth():.0f} | {parts} | "
        f"{1e3 * found.refused_within(0.99):.0f} ms ({len(found.refusals)}) | {found.unanswered} |"
    )


def _report_worth(seed: int) -> None:
    rows = worth(seed)
    print(HEAD)
    for on, row in rows.items():
        for load, found in row.items():
            print(_row(on, f"{load:g}", found))


def _report_burst(seed: int) -> None:
    print(HEAD)
    for on in (False, True):
        print(_row(on, "56, 470, 56 a second", burst(on, seed)))


def _report_calm(seed: int) -> None:
    rows: dict[bool, list[float]] = {False: [], True: []}
    with squeezed(False, squeeze=False) as off, squeezed(True, squeeze=False) as on:
        can = capacity(off, 6000)
        for turn in range(4):
            for guarded, process in ((False, off), (True, on)):
                before = process.cpu()
                tally = asyncio.run(closed_loop(process.host, process.port, 4, 3000, lambda n: wire(MIX[n % 3])))
                if turn:
                    rows[guarded].append(1e6 * (process.cpu() - before) / 3000)
                    if tally.statuses != {200: 3000}:
                        raise SystemExit(f"refused on a calm load: {tally.statuses}")
        for guarded, process in ((False, off), (True, on)):
            found = asyncio.run(_play(process, CALM * can, SECONDS, seed))
            print(_row(guarded, f"calm, {CALM * can:.0f} a second", found))
    middle = {guarded: sorted(spent)[len(spent) // 2] for guarded, spent in rows.items()}
    more = middle[True] / middle[False] - 1.0
    print(f"CPU a request: {middle[False]:.0f} us off, {middle[True]:.0f} us on: {more:+.1%}")


ALL_AWAY = """
import sys
from lugspur.__main__ import main
from lugspur.guard.limiter import Limiter
Limiter.admits = lambda *_: False
Limiter.read_pause_seconds = lambda *_: 0.0
sys.argv = ["lugspur", "run", sys.argv[1]]
main()
"""


def _report_refusal(_: int) -> None:
    spent: dict[tuple[str, str], float] = {}
    with TemporaryDirectory() as folder, standin("lugspur.standins.backend") as box:
        for how, program in (("served", ["-m", "lugspur", "run"]), ("refused", ["-c", ALL_AWAY])):
            port, file = free_port(), Path(folder) / f"{how}.toml"
            file.write_text(FILE.format(on="true", port=port, members=f'{{ address = "127.0.0.1:{box.port}" }}'))
            with served([sys.executable, *program, str(file)], port, {}) as process:
                for kind in MIX:
                    spent[how, kind.name] = _cpu(process, wire(kind), 200 if how == "served" else 503)
    for kind in MIX:
        one, other = spent["served", kind.name], spent["refused", kind.name]
        print(f"{kind.name}: {one:.0f} us of CPU served, {other:.0f} us refused: {other / one:.2f}")


def _cpu(process: Process, what: bytes, status: int, count: int = 3000) -> float:
    """Microseconds of its CPU a request, all of which must end with that status."""
    asyncio.run(closed_loop(process.host, process.port, 16, count // 4, lambda _: what))
    before = process.cpu()
    tally = asyncio.run(closed_loop(process.host, process.port, 16, count, lambda _: what))
    if tally.statuses != {status: count}:
        raise SystemExit(f"not all were answered with {status}: {tally.statuses}")
    return 1e6 * (process.cpu() - before) / count


def main() -> None:
    """One of the measurements."""
    parser = argparse.ArgumentParser(description="Measures of the guard.")
    parser.add_argument("what", choices=["worth", "burst", "calm", "refusal"])
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    reports = {"worth": _report_worth, "burst": _report_burst, "calm": _report_calm, "refusal": _report_refusal}
    reports[given.what](given.seed)


if __name__ == "__main__":
    main()
