"""Measures what the guard, the daemon's load shedding, saves on an overloaded core and costs on an idle one.

The daemon shares one core with a busy process and runs with a high niceness, so that it gets a small part of that core;
nothing here needs privileges. `python -m lugspur.bench.guard worth` offers 0.5 to 4 times the load that the daemon can
serve then, with the guard on and off. `burst` goes from 56 to 470 requests a second while the daemon is stopped for
100 to 320 ms now and then; its callers retry at once when they are rejected. `calm` measures what the guard costs on an
idle core, and `refusal` what a rejection costs beside a served request.
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

from lugspur.bench.processes import Process, run_proxy, run_standin
from lugspur.bench.sockets import free_port
from lugspur.standins.callers import Caller, closed_loop

NICENESS = 13  # the daemon's niceness: beside a busy process it gets some 5% of the core
CORE = 0  # the core of the daemon and of the busy process; all else runs on the other cores
# The calm load, as a share of what the idle core serves to callers that wait for their responses. Open-loop
# arrivals cost more CPU each.
CALM_SHARE = 0.3
LOADS = (0.5, 1.0, 2.0, 4.0)  # multiples of the capacity of the overloaded core
SECONDS = 4.0  # duration of each load
MAX_CONNECTIONS = 400  # most connections of the load; arrivals beyond them count as not answered
RETRIES = 3  # retries of a rejected request in `burst`

SETTINGS_TEMPLATE = """[limits]
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
class RequestClass:
    """One class of requests of the mix."""

    name: str
    share: float  # share of all requests
    worth: float
    latency_target: float  # latency target in seconds
    caller_timeout: float  # seconds that its caller waits
    head: str  # request line and headers specific to the class


MIX = (
    RequestClass("booking-new", 0.12, 20.0, 0.41, 2.0, "POST /v1/bookings HTTP/1.1\r\nContent-Length: 2\r\n"),
    RequestClass("availability", 0.38, 3.0, 0.41, 1.0, "GET /v1/availability/h1 HTTP/1.1\r\n"),
    RequestClass("rate-push", 0.50, 1.0, 0.41, 2.0, "PUT /v1/rates/h1 HTTP/1.1\r\nContent-Length: 2\r\n"),
)


def encode_request(request_class: RequestClass) -> bytes:
    """Return the bytes of a request of this class."""
    body = "{}" if "Content-Length" in request_class.head else ""
    return f"{request_class.head}Host: h.example\r\nX-Timeout: {request_class.caller_timeout}\r\n\r\n{body}".encode()


@dataclass(slots=True)
class LoadResult:
    """The results of one run."""

    sent: Counter[str] = field(default_factory=Counter)
    timely: Counter[str] = field(default_factory=Counter)  # by class: status 200 within the class's latency target
    rejected: Counter[str] = field(default_factory=Counter)
    rejection_seconds: list[float] = field(default_factory=list)  # seconds that each rejection took
    unanswered: int = 0  # no complete response within the caller's time
    statuses: Counter[int] = field(default_factory=Counter)
    cpu: float = 0.0  # seconds of CPU time that the daemon used

    def worth(self) -> float:
        """Return the total worth of the requests that were served in time."""
        return sum(request_class.worth * self.timely[request_class.name] for request_class in MIX)

    def timely_share(self, name: str) -> float:
        """Return the share of a class's requests that was served in time."""
        return self.timely[name] / max(1, self.sent[name])

    def rejection_quantile(self, quantile: float) -> float:
        """Return this quantile of the seconds that rejections took."""
        ordered = sorted(self.rejection_seconds)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0


class Load:
    """An open-loop load over persistent connections, each of which carries the requests of one class."""

    def __init__(self, process: Process, seed: int, retries: int = 0) -> None:
        self._process, self._rng, self._retries = process, random.Random(seed), retries
        self._idle: dict[str, list[Caller]] = {request_class.name: [] for request_class in MIX}
        self._open = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.result = LoadResult()

    async def run(self, rate: float, seconds: float) -> None:
        """Send requests at this rate per second for this many seconds, with exponential gaps between arrivals."""
        loop = asyncio.get_running_loop()
        next_arrival, until = loop.time(), loop.time() + seconds
        while next_arrival < until:
            next_arrival += self._rng.expovariate(rate)
            if next_arrival > loop.time():
                await asyncio.sleep(next_arrival - loop.time())
            request_class = self._rng.choices(MIX, [each.share for each in MIX])[0]
            task = loop.create_task(self._send(request_class))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def end(self) -> LoadResult:
        """Wait for all requests, close the connections and return the results."""
        await asyncio.gather(*tuple(self._tasks))
        for caller in (caller for idle in self._idle.values() for caller in idle):
            caller.close()
        return self.result

    async def _send(self, request_class: RequestClass) -> None:
        result = self.result
        result.sent[request_class.name] += 1
        idle = self._idle[request_class.name]
        if not idle and self._open >= MAX_CONNECTIONS:
            result.unanswered += 1
            return
        caller = idle.pop() if idle else Caller(self._process.host, self._process.port)
        self._open += 1
        started_at = time.monotonic()
        for _ in range(1 + self._retries):
            outcome = await caller.ask(encode_request(request_class), request_class.caller_timeout + 0.5)
            result.statuses[outcome.status] += 1
            if outcome.status != 503:
                break
            result.rejection_seconds.append(outcome.seconds)
        spent = time.monotonic() - started_at
        self._open -= 1
        idle.append(caller)
        if outcome.status == 200 and spent <= request_class.latency_target:
            result.timely[request_class.name] += 1
        result.rejected[request_class.name] += outcome.status == 503
        result.unanswered += not outcome.status


@contextmanager
def busy_process(core: int) -> Iterator[None]:
    """Run a process that keeps this core busy."""
    process = subprocess.Popen([sys.executable, "-c", "while True: pass"])
    os.sched_setaffinity(process.pid, {core})
    try:
        yield
    finally:
        process.kill()
        process.wait()


@contextmanager
def constrained_daemon(on: bool, constrain: bool = True) -> Iterator[Process]:
    """Run the daemon with its guard on or off, beside a busy process if `constrain`, and two backends."""
    cores = os.sched_getaffinity(0)
    others = cores - {CORE} or cores
    with TemporaryDirectory() as folder, ExitStack() as stack:
        os.sched_setaffinity(0, others)
        delay = ("--delay", "0.02") if constrain else ()  # on an idle core, callers that wait would measure the delay
        stack.callback(os.sched_setaffinity, 0, cores)
        backends = [stack.enter_context(run_standin("lugspur.standins.backend", *delay)) for _ in range(2)]
        port, file = free_port(), Path(folder) / "guard.toml"
        members = ", ".join(f'{{ address = "127.0.0.1:{backend.port}" }}' for backend in backends)
        file.write_text(SETTINGS_TEMPLATE.format(on=str(on).lower(), port=port, members=members))
        command = [sys.executable, "-m", "lugspur", "run", str(file)]
        process = stack.enter_context(
            run_proxy(["nice", "-n", str(NICENESS), *command] if constrain else command, port, {})
        )
        os.sched_setaffinity(process.pid, {CORE})
        if constrain:
            stack.enter_context(busy_process(CORE))
        yield process


def measure_capacity(process: Process, count: int = 1500) -> float:
    """Return the requests per second that the daemon serves to callers that wait for their responses."""
    requests = [encode_request(request_class) for request_class in MIX for _ in range(int(100 * request_class.share))]
    started_at = time.monotonic()
    asyncio.run(closed_loop(process.host, process.port, 32, count, lambda n: requests[n % len(requests)]))
    return count / (time.monotonic() - started_at)


async def _play(process: Process, rate: float, seconds: float, seed: int) -> LoadResult:
    load, before = Load(process, seed), process.cpu()
    await load.run(rate, seconds)
    result = await load.end()
    result.cpu = process.cpu() - before
    return result


def worth(seed: int, seconds: float = SECONDS, loads: tuple[float, ...] = LOADS) -> dict[bool, dict[float, LoadResult]]:
    """Run each load with the guard off and on; loads are multiples of the capacity without the guard."""
    rows: dict[bool, dict[float, LoadResult]] = {}
    with constrained_daemon(False) as process:
        capacity = measure_capacity(process)
        print(f"the overloaded core serves {capacity:.0f} requests a second")
        rows[False] = {load: asyncio.run(_play(process, load * capacity, seconds, seed)) for load in loads}
    with constrained_daemon(True) as process:
        measure_capacity(process)
        rows[True] = {load: asyncio.run(_play(process, load * capacity, seconds, seed)) for load in loads}
    return rows


async def _burst(process: Process, seed: int, seconds: float) -> LoadResult:
    load, rng = Load(process, seed, RETRIES), random.Random(seed)

    async def stop() -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            os.kill(process.pid, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.1, 0.32))
            os.kill(process.pid, signal.SIGCONT)

    stops = asyncio.get_running_loop().create_task(stop())
    try:
        for rate in (56.0, 470.0, 56.0):
            await load.run(rate, seconds)
        return await load.end()
    finally:
        stops.cancel()
        os.kill(process.pid, signal.SIGCONT)


def burst(on: bool, seed: int, seconds: float = SECONDS) -> LoadResult:
    """Go from 56 to 470 requests a second and back on the overloaded core, with stops of the daemon."""
    with constrained_daemon(on) as process:
        measure_capacity(process, 300)
        return asyncio.run(_burst(process, seed, seconds))


# ---- reports -------------------------------------------------------------------------------------


HEAD = (
    "| guard | load | worth in time | booking-new | availability | rate-push | refusals, 99th | no answer |\n"
    "|---|---|---|---|---|---|---|---|"
)


def _row(on: bool, load: str, result: LoadResult) -> str:
    parts = " | ".join(f"{result.timely_share(request_class.name):.1%}" for request_class in MIX)
    return (
        f"| {'on' if on else 'off'} | {load} | {result.worth():.0f} | {parts} | "
        f"{1e3 * result.rejection_quantile(0.99):.0f} ms ({len(result.rejection_seconds)}) | {result.unanswered} |"
    )


def _report_worth(seed: int) -> None:
    rows = worth(seed)
    print(HEAD)
    for on, row in rows.items():
        for load, result in row.items():
            print(_row(on, f"{load:g}", result))


def _report_burst(seed: int) -> None:
    print(HEAD)
    for on in (False, True):
        print(_row(on, "56, 470, 56 a second", burst(on, seed)))


def _report_calm(seed: int) -> None:
    rows: dict[bool, list[float]] = {False: [], True: []}
    with constrained_daemon(False, constrain=False) as off, constrained_daemon(True, constrain=False) as on:
        capacity = measure_capacity(off, 6000)
        for round_number in range(4):
            for guarded, process in ((False, off), (True, on)):
                before = process.cpu()
                tally = asyncio.run(
                    closed_loop(process.host, process.port, 4, 3000, lambda n: encode_request(MIX[n % 3]))
                )
                if round_number:
                    rows[guarded].append(1e6 * (process.cpu() - before) / 3000)
                    if tally.statuses != {200: 3000}:
                        raise SystemExit(f"rejections on a calm load: {tally.statuses}")
        for guarded, process in ((False, off), (True, on)):
            result = asyncio.run(_play(process, CALM_SHARE * capacity, SECONDS, seed))
            print(_row(guarded, f"calm, {CALM_SHARE * capacity:.0f} a second", result))
    medians = {guarded: sorted(spent)[len(spent) // 2] for guarded, spent in rows.items()}
    more = medians[True] / medians[False] - 1.0
    print(f"CPU a request: {medians[False]:.0f} us off, {medians[True]:.0f} us on: {more:+.1%}")


REJECT_ALL = """
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
    with TemporaryDirectory() as folder, run_standin("lugspur.standins.backend") as backend:
        for how, program in (("served", ["-m", "lugspur", "run"]), ("refused", ["-c", REJECT_ALL])):
            port, file = free_port(), Path(folder) / f"{how}.toml"
            file.write_text(
                SETTINGS_TEMPLATE.format(on="true", port=port, members=f'{{ address = "127.0.0.1:{backend.port}" }}')
            )
            with run_proxy([sys.executable, *program, str(file)], port, {}) as process:
                for request_class in MIX:
                    spent[how, request_class.name] = _cpu_per_request(
                        process, encode_request(request_class), 200 if how == "served" else 503
                    )
    for request_class in MIX:
        served_cpu, rejected_cpu = spent["served", request_class.name], spent["refused", request_class.name]
        print(
            f"{request_class.name}: {served_cpu:.0f} us of CPU served, {rejected_cpu:.0f} us refused: "
            f"{rejected_cpu / served_cpu:.2f}"
        )


def _cpu_per_request(process: Process, what: bytes, status: int, count: int = 3000) -> float:
    """Return the daemon's CPU microseconds per request; exits unless every response has this status."""
    asyncio.run(closed_loop(process.host, process.port, 16, count // 4, lambda _: what))
    before = process.cpu()
    tally = asyncio.run(closed_loop(process.host, process.port, 16, count, lambda _: what))
    if tally.statuses != {status: count}:
        raise SystemExit(f"not all responses have status {status}: {tally.statuses}")
    return 1e6 * (process.cpu() - before) / count


def main() -> None:
    """Run one of the measurements."""
    parser = argparse.ArgumentParser(description="Measure the guard, the daemon's load shedding.")
    parser.add_argument("what", choices=["worth", "burst", "calm", "refusal"])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    reports = {"worth": _report_worth, "burst": _report_burst, "calm": _report_calm, "refusal": _report_refusal}
    reports[arguments.what](arguments.seed)


if __name__ == "__main__":
    main()
