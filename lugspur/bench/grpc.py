"""Measures what gRPC calls cost, and checks what happens to calls when backends fail.

`python -m lugspur.bench.grpc cost` measures the daemon's CPU time per unary call as a multiple of a bare h2 echo and of
its own HTTP/1.1 path in the same run, and by the number of streams. `profile` shows which packages use that time.
`mixed` sends 10,000 calls over both protocols to backends that reset streams, send GOAWAY and stall.
"""

from __future__ import annotations

import argparse
import asyncio
import pstats
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

from lugspur.bench.main import request_maker
from lugspur.bench.processes import CLASSES, Process, run_proxy, run_standin
from lugspur.bench.sockets import free_port, wait_for_listener
from lugspur.standins import callers as http
from lugspur.standins.backend import Backend, Request
from lugspur.standins.backend import Response as HttpResponse
from lugspur.standins.grpc.backend import GrpcBackend
from lugspur.standins.grpc.caller import Caller

SETTINGS_TEMPLATE = (
    CLASSES
    + """[limits]
sockets = 4096
[listeners.main]
address = "127.0.0.1:{port}"
http2 = true
streams = 1000
[pools.main]
members = [{members}]
[routes.read]
path = "/*"
methods = ["GET"]
pool = "main"
class = "read"
[routes.query]
path = "/read/*"
pool = "main"
class = "read"
[routes.book]
path = "/*"
pool = "main"
class = "book"
"""
)
MESSAGE_BYTES = 200  # bytes of a message
CALLERS, BACKENDS, ROUNDS = 16, 3, 3  # concurrent callers, backends, and measured rounds of each contestant
STREAMS = (1, 100, 1000)  # numbers of streams on one connection to measure
TIMEOUT = 30.0  # timeout in seconds of a call
# The faults that a stand-in backend plays on request, by the text of the header `x-script`.
FAULTS = (
    "reset head",
    "reset message",
    "reset answer 8",
    "reset body",
    "above",
    "goaway",
    "refuse",
    "unseen",
    "stall answer",
    "stall body",
    "cut message",
)
# The share of all calls for each of resets, GOAWAYs (together with refused streams) and stalls.
FAULT_SHARE = 0.05
KINDS = {"reset": FAULTS[:4], "goaway": FAULTS[4:8], "stall": FAULTS[8:10], "cut": FAULTS[10:]}


@contextmanager
def run_daemon(folder: Path, members: list[str]) -> Iterator[Process]:
    """Run `lugspur run` with a listener for both protocols and these pool members."""
    port = free_port()
    file = folder / f"grpc-{port}.toml"
    file.write_text(SETTINGS_TEMPLATE.format(port=port, members=", ".join(members)))
    with run_proxy([sys.executable, "-m", "lugspur", "run", str(file)], port, {}) as running:
        yield running


def member(address: str, protocol: str) -> str:
    """Return the settings entry of a pool member."""
    return f'{{ address = "{address}", protocol = "{protocol}" }}'


# ---- what a call costs -----------------------------------------------------------------------------


@dataclass(slots=True)
class Cost:
    """One contestant's figures: medians of its rounds."""

    name: str
    cpu: float  # seconds of CPU time per call
    median_seconds: float  # median latency in seconds
    memory: float  # MiB of resident memory after the rounds


async def unary(host: str, port: int, streams: int, connections: int, count: int) -> list[float]:
    """Make `count` calls, `streams` at a time on this many connections, and return their sorted seconds."""
    seconds: list[float] = []
    numbers = iter(range(count))

    async def play(caller: Caller) -> None:
        for number in numbers:
            started_at = time.monotonic()
            response = await caller.call(f"/api/k{number}", b"x" * MESSAGE_BYTES, within=TIMEOUT)
            if response.status != 0:
                raise RuntimeError(f"grpc-status {response.status}: {response.status_message}")
            seconds.append(time.monotonic() - started_at)

    callers = [await Caller().connect(host, port) for _ in range(connections)]
    await asyncio.gather(*(play(callers[at % connections]) for at in range(streams)))
    for caller in callers:
        caller.close()
    return sorted(seconds)


def _round(process: Process, over_grpc: bool, count: int) -> list[float]:
    if over_grpc:
        return asyncio.run(unary(process.host, process.port, CALLERS, CALLERS, count))
    tally = asyncio.run(http.closed_loop(process.host, process.port, CALLERS, count, request_maker("book")))
    if tally.statuses != {200: count}:
        raise RuntimeError(f"responses by status {tally.statuses}")
    return sorted(tally.seconds)


def costs(count: int) -> list[Cost]:
    """Measure a bare h2 echo and each pairing of caller and backend protocols in turns; the first round warms up."""
    with TemporaryDirectory() as name, ExitStack() as stack:
        plain = [
            stack.enter_context(run_standin("lugspur.standins.backend", "--size", str(MESSAGE_BYTES)))
            for _ in range(BACKENDS)
        ]
        grpc_backends = [stack.enter_context(run_standin("lugspur.standins.grpc.echo")) for _ in range(BACKENDS)]
        over = {
            "http": [member(f"{each.host}:{each.port}", "http") for each in plain],
            "grpc": [member(f"{each.host}:{each.port}", "grpc") for each in grpc_backends],
        }
        contestants = {"a bare h2 echo": (grpc_backends[0], True)}
        for backend in ("http", "grpc"):
            process = stack.enter_context(run_daemon(Path(name), over[backend]))
            for caller in ("http", "grpc"):
                contestants[f"run, {caller} to {backend}"] = process, caller == "grpc"
        found: dict[str, list[tuple[float, float]]] = {each: [] for each in contestants}
        for round_number in range(ROUNDS + 1):
            for each, (process, over_grpc) in contestants.items():
                before = process.cpu()
                seconds = _round(process, over_grpc, count if round_number else count // 4)
                if round_number:
                    found[each].append(((process.cpu() - before) / count, seconds[len(seconds) // 2]))
        return [
            Cost(
                each,
                median(cpu for cpu, _ in rows),
                median(median_seconds for _, median_seconds in rows),
                contestants[each][0].memory(),
            )
            for each, rows in found.items()
        ]


@dataclass(slots=True)
class Load:
    """The cost of a number of streams on one connection."""

    streams: int
    cpu: float  # seconds of CPU time per call
    median_seconds: float  # median latency in seconds
    held: float  # KiB of the daemon's memory for each open and idle stream


async def _open_streams(host: str, port: int, count: int) -> Caller:
    """Open streams that have exchanged one message and stay idle."""
    caller = await Caller().connect(host, port)
    for at in range(count):
        stream = caller.begin("/read/Talk", ("x-request-id", f"s{at}"))
        await caller.send(stream, b"x" * MESSAGE_BYTES)
        answer = caller.responses[stream]
        async with asyncio.timeout(TIMEOUT):
            await answer.more.wait()
        if not answer.data:
            raise RuntimeError(f"grpc-status {answer.status}: {answer.status_message}")
    return caller


def loads(count: int, streams: tuple[int, ...] = STREAMS) -> list[Load]:
    """Measure the costs by the number of streams on one connection."""
    found = []
    with TemporaryDirectory() as name, ExitStack() as stack:
        grpc_backends = [
            stack.enter_context(run_standin("lugspur.standins.grpc", "--streams", "1000")) for _ in range(BACKENDS)
        ]
        members = [member(f"{backend.host}:{backend.port}", "grpc") for backend in grpc_backends]
        for each in streams:
            with run_daemon(Path(name), members) as process:
                asyncio.run(unary(process.host, process.port, each, 1, max(each, count // 4)))
                before = process.cpu()
                seconds = asyncio.run(unary(process.host, process.port, each, 1, count))
                used = (process.cpu() - before) / count
                memory = process.memory()

                async def hold(process: Process = process, each: int = each) -> float:
                    caller = await _open_streams(process.host, process.port, each)
                    held = process.memory()
                    caller.close()
                    return held

                held = (asyncio.run(hold()) - memory) * 1024.0 / each
                found.append(Load(each, used, seconds[len(seconds) // 2], held))
    return found


async def _pass_messages(host: str, port: int, megabytes: int) -> None:
    """Pass this many MB each way on one stream."""
    caller = await Caller().connect(host, port)
    stream = caller.begin("/read/Talk")
    answer = caller.responses[stream]
    for _ in range(megabytes * 4):
        await caller.send(stream, b"x" * (1 << 18))
        answer.data.clear()
    caller.end(stream)
    if (await caller.response(stream, 10 * TIMEOUT)).status != 0:
        raise RuntimeError(f"grpc-status {answer.status}: {answer.status_message}")
    caller.close()


def passing(megabytes: int) -> float:
    """Return the MiB by which the daemon grows while this many MB pass through one stream each way."""
    with (
        TemporaryDirectory() as name,
        run_standin("lugspur.standins.grpc") as backend,
        run_daemon(Path(name), [member(f"{backend.host}:{backend.port}", "grpc")]) as process,
    ):
        asyncio.run(_pass_messages(process.host, process.port, 1))
        before = process.memory()
        asyncio.run(_pass_messages(process.host, process.port, megabytes))
        return process.memory() - before


# ---- CPU time by package -------------------------------------------------------------------------


PROFILED_PROGRAM = """
import cProfile, sys
from lugspur.__main__ import main
sys.argv = ["lugspur", "run", FILE]
profile = cProfile.Profile()
try:
    profile.runcall(main)
finally:  # the command line ends with SystemExit
    profile.dump_stats(FILE + ".prof")
"""
# Package folders in the paths of source files; the first match counts.
PACKAGE_FOLDERS = ("h2", "hpack", "hyperframe", "load_balancing", "lugspur")


def profile(count: int) -> dict[str, float]:
    """Return the share that each package's own code has of the daemon's time for calls."""
    with TemporaryDirectory() as name, ExitStack() as stack:
        grpc_backends = [stack.enter_context(run_standin("lugspur.standins.grpc.echo")) for _ in range(BACKENDS)]
        port, file = free_port(), Path(name) / "profiled.toml"
        rows = ", ".join(member(f"{backend.host}:{backend.port}", "grpc") for backend in grpc_backends)
        file.write_text(SETTINGS_TEMPLATE.format(port=port, members=rows))
        program = PROFILED_PROGRAM.replace("FILE", repr(str(file)))
        process = subprocess.Popen([sys.executable, "-c", program], stderr=subprocess.DEVNULL)
        try:
            wait_for_listener(port, TIMEOUT)
            asyncio.run(unary("127.0.0.1", port, CALLERS, CALLERS, count))
        finally:
            process.terminate()
            process.wait(TIMEOUT)
        found = pstats.Stats(f"{file}.prof")
    spent: dict[str, float] = {}
    for (path, _, function), (_, _, own, _, _) in found.stats.items():  # type: ignore[attr-defined]
        if "poll" not in function and "compile" not in function and "importlib" not in path:
            package = next((each for each in PACKAGE_FOLDERS if f"/{each}/" in path), "Python itself")
            spent[package] = spent.get(package, 0.0) + own
    total = sum(spent.values())
    return {package: own / total for package, own in sorted(spent.items(), key=lambda row: -row[1])}


# ---- outcomes of calls -----------------------------------------------------------------------------


@dataclass(slots=True)
class Counts:
    """The outcomes of all calls."""

    sent: int = 0
    lost: int = 0  # calls without a final response or with more than one
    doubled: int = 0  # runs of unsafe calls beyond the first
    rejected_though_run: int = 0  # unsafe calls that were rejected as not executed although they ran
    outcomes: Counter[str] = field(default_factory=Counter)

    @property
    def passed(self) -> bool:
        """Return whether no call was lost, run twice, or rejected although it ran."""
        return not (self.lost or self.doubled or self.rejected_though_run)

    def __str__(self) -> str:
        said = ", ".join(f"{count} times {what}" for what, count in sorted(self.outcomes.items()))
        return (
            f"{self.sent} calls: {said}; {self.lost} lost, {self.doubled} doubled, "
            f"{self.rejected_though_run} refused though run"
        )


class Mixed:
    """Sends calls over both protocols to backends of both kinds, some of which play faults."""

    def __init__(self, count: int, seed: int) -> None:
        self._count, self._random = count, random.Random(seed)
        self.counts = Counts()
        self.ran: Counter[str] = Counter()
        self.refused: set[str] = set()

    def _script(self) -> str:
        at = self._random.random()
        for number, kind in enumerate(("reset", "goaway", "stall")):
            if at < FAULT_SHARE * (number + 1):
                return self._random.choice(KINDS[kind])
        return self._random.choice(KINDS["cut"]) if at > 0.995 else ""

    async def _call(self, caller: Caller, number: int) -> None:
        """Make one gRPC call with one message or a stream of messages."""
        kind = self._random.choice(("book", "read"))
        rid = f"{kind}-{number}"
        metadata = [("x-request-id", rid), ("x-script", self._script()), ("grpc-timeout", "1S")]
        messages = [b"x" * self._random.choice((0, 10, 1000, 50_000))] * self._random.choice((1, 1, 1, 3))
        try:
            response = await caller.call(f"/{kind}/Do", *messages, metadata=metadata, within=TIMEOUT)
        except TimeoutError:
            self._count_outcome(rid, "nothing", True, False)
            return
        whole = response.ends == 1 and not response.lost and response.status is not None
        self._count_outcome(rid, f"grpc {response.status}", not whole, response.status == 14)

    async def _ask(self, caller: http.Caller, number: int) -> None:
        """Send one HTTP/1.1 request."""
        method, kind = self._random.choice((("POST", "book"), ("GET", "read")))
        rid = f"{kind}-{number}"
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        text = (
            f"{method} /k HTTP/1.1\r\nHost: h\r\nX-Request-ID: {rid}\r\nX-Script: {self._script()}\r\n"
            f"X-Timeout: 1\r\n{length}\r\n"
        )
        response = await caller.ask(text.encode(), TIMEOUT)
        self._count_outcome(rid, f"HTTP {response.status}", response.status == 0, response.status == 503)

    def _count_outcome(self, rid: str, what: str, lost: bool, refused: bool) -> None:
        self.counts.sent += 1
        self.counts.lost += lost
        self.counts.outcomes[what] += 1
        if refused and rid.startswith("book"):
            self.refused.add(rid)

    async def play(self, host: str, port: int, grpc_backends: list[GrpcBackend], plain: Backend) -> Counts:
        """Make all calls, 16 at a time, half of the callers with each protocol, and return the counts."""
        numbers = iter(range(self._count))
        shared = [await Caller().connect(host, port) for _ in range(4)]

        async def play(at: int) -> None:
            caller = http.Caller(host, port)
            for number in numbers:
                if at % 2:
                    await self._ask(caller, number)
                else:
                    await self._call(shared[at // 2 % len(shared)], number)
            caller.close()

        await asyncio.gather(*(play(at) for at in range(CALLERS)))
        for caller in shared:
            caller.close()
        for backend in grpc_backends:
            self.ran += backend.ran
        self.ran += plain.ran
        runs = {rid: count for rid, count in self.ran.items() if rid.startswith("book")}
        self.counts.doubled = sum(count - 1 for count in runs.values())
        self.counts.rejected_though_run = sum(rid in runs for rid in self.refused)
        return self.counts


async def _work(_: Request) -> HttpResponse:
    return 200, b"done"


async def mixed(count: int, seed: int) -> Counts:
    """Run mixed calls through a daemon process with three gRPC backends and one HTTP/1.1 backend."""
    grpc_backends, plain = [GrpcBackend() for _ in range(3)], Backend("plain", _work)
    for backend in grpc_backends:
        await backend.listen()
    await plain.listen()
    members = [*(member(backend.address, "grpc") for backend in grpc_backends), member(plain.address, "http")]
    with TemporaryDirectory() as name:
        started = run_daemon(Path(name), members)
        process = await asyncio.to_thread(started.__enter__)
        try:
            return await Mixed(count, seed).play(process.host, process.port, grpc_backends, plain)
        finally:
            started.__exit__(None, None, None)
            for backend in grpc_backends:
                backend.kill()
            plain.kill()


# ---- the command -----------------------------------------------------------------------------------


def report_costs(count: int) -> None:
    """Print all costs as Markdown tables."""
    rows = costs(count)
    bare, plain = rows[0].cpu, rows[1].cpu
    print(
        f"{CALLERS} callers, {BACKENDS} boxes, {MESSAGE_BYTES} bytes each way, "
        f"medians of {ROUNDS} rounds of {count} in turns\n"
    )
    print("| through | CPU us a call | x bare h2 echo | x HTTP/1.1 path | p50 ms | MiB |")
    print("| --- | --- | --- | --- | --- | --- |")
    for row in rows:
        print(
            f"| {row.name} | {row.cpu * 1e6:.0f} | {row.cpu / bare:.1f} | {row.cpu / plain:.1f} | "
            f"{row.median_seconds * 1e3:.2f} | {row.memory:.1f} |",
            flush=True,
        )
    print("\n| streams on a connection | CPU us a call | p50 ms | KiB a stream |\n| --- | --- | --- | --- |")
    for load in loads(count):
        print(
            f"| {load.streams} | {load.cpu * 1e6:.0f} | {load.median_seconds * 1e3:.2f} | {load.held:.1f} |", flush=True
        )
    print(f"\n64 MB each way on one stream: the daemon grows by {passing(64):.1f} MiB")


def main() -> None:
    """Run one of the measurements."""
    parser = argparse.ArgumentParser(description="Measure gRPC calls.")
    parser.add_argument("what", choices=["cost", "profile", "mixed"])
    parser.add_argument("--count", type=int, default=0, help="calls")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.what == "cost":
        report_costs(arguments.count or 3000)
    elif arguments.what == "profile":
        for package, part in profile(arguments.count or 3000).items():
            print(f"{package}: {part:.0%}")
    else:
        counts = asyncio.run(mixed(arguments.count or 10_000, arguments.seed))
        print(f"seed {arguments.seed}: {counts}")
        sys.exit(not counts.passed)


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        main()
