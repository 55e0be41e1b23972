"""What gRPC costs, and what becomes of calls when boxes fail.

`python -m lugspur.bench.grpc cost` measures the daemon's CPU a unary call as a multiple of a bare h2 echo and of its
own HTTP/1.1 path in the same run, and by the number of streams; `profile` shows in whose code it goes; `mixed` plays
10,000 calls over both protocols at boxes that reset, leave and stall.
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

from lugspur.bench.main import request
from lugspur.bench.processes import CLASSES, Process, served, standin
from lugspur.bench.sockets import free_port, wait_for_listener
from lugspur.standins import callers as http
from lugspur.standins.backend import Answer as HttpAnswer
from lugspur.standins.backend import Asked, Backend
from lugspur.standins.grpc.box import Box
from lugspur.standins.grpc.caller import Caller

FILE = (
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
SIZE = 200  # bytes of a message
CALLERS, BOXES, ROUNDS = 16, 3, 3
STREAMS = (1, 100, 1000)  # on one connection
WITHIN = 30.0  # seconds that a call may take
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
FAULTY = 0.05  # of all calls for each of resets, GOAWAYs (and refusals) and stalls
KINDS = {"reset": FAULTS[:4], "goaway": FAULTS[4:8], "stall": FAULTS[8:10], "cut": FAULTS[10:]}


@contextmanager
def daemon(folder: Path, members: list[str]) -> Iterator[Process]:
    """`lugspur run` with a listener for both protocols, and these rows of members."""
    port = free_port()
    file = folder / f"grpc-{port}.toml"
    file.write_text(FILE.format(port=port, members=", ".join(members)))
    with served([sys.executable, "-m", "lugspur", "run", str(file)], port, {}) as running:
        yield running


def member(address: str, protocol: str) -> str:
    """A row of a fixed list."""
    return f'{{ address = "{address}", protocol = "{protocol}" }}'


# ---- what a call costs -----------------------------------------------------------------------------


@dataclass(slots=True)
class Cost:
    """One contestant's figures: medians of its rounds."""

    name: str
    cpu: float  # seconds of CPU a call
    half: float  # seconds that half of the calls took
    memory: float  # MiB after it


async def unary(host: str, port: int, streams: int, connections: int, count: int) -> list[float]:
    """So many calls in flight on so many connections, until all are made; gives the seconds of each."""
    seconds: list[float] = []
    numbers = iter(range(count))

    async def play(caller: Caller) -> None:
        for number in numbers:
            begun = time.monotonic()
            got = await caller.call(f"/api/k{number}", b"x" * SIZE, within=WITHIN)
            if got.status != 0:
                raise RuntimeError(f"grpc-status {got.status}: {got.said}")
            seconds.append(time.monotonic() - begun)

    opened = [await Caller().connect(host, port) for _ in range(connections)]
    await asyncio.gather(*(play(opened[at % connections]) for at in range(streams)))
    for caller in opened:
        caller.close()
    return sorted(seconds)


def _round(process: Process, over_grpc: bool, count: int) -> list[float]:
    if over_grpc:
        return asyncio.run(unary(process.host, process.port, CALLERS, CALLERS, count))
    tally = asyncio.run(http.closed_loop(process.host, process.port, CALLERS, count, request("book")))
    if tally.statuses != {200: count}:
        raise RuntimeError(f"answers by status {tally.statuses}")
    return sorted(tally.seconds)


def costs(count: int) -> list[Cost]:
    """All pairings of callers and boxes beside a bare h2 echo, in turns; the first round, uncounted, warms up."""
    with TemporaryDirectory() as name, ExitStack() as stack:
        plain = [stack.enter_context(standin("lugspur.standins.backend", "--size", str(SIZE))) for _ in range(BOXES)]
        speaking = [stack.enter_context(standin("lugspur.standins.grpc.echo")) for _ in range(BOXES)]
        over = {
            "http": [member(f"{each.host}:{each.port}", "http") for each in plain],
            "grpc": [member(f"{each.host}:{each.port}", "grpc") for each in speaking],
        }
        contestants = {"a bare h2 echo": (speaking[0], True)}
        for box in ("http", "grpc"):
            process = stack.enter_context(daemon(Path(name), over[box]))
            for caller in ("http", "grpc"):
                contestants[f"run, {caller} to {box}"] = process, caller == "grpc"
        found: dict[str, list[tuple[float, float]]] = {each: [] for each in contestants}
        for turn in range(ROUNDS + 1):
            for each, (process, over_grpc) in contestants.items():
                before = process.cpu()
                seconds = _round(process, over_grpc, count if turn else count // 4)
                if turn:
                    found[each].append(((process.cpu() - before) / count, seconds[len(seconds) // 2]))
        return [
            Cost(each, median(cpu for cpu, _ in rows), median(half for _, half in rows), contestants[each][0].memory())
            for each, rows in found.items()
        ]


@dataclass(slots=True)
class Load:
    """What so many streams on one connection cost."""

    streams: int
    cpu: float  # seconds of CPU a call
    half: float  # seconds that half of the calls took
    held: float  # KiB of the daemon for each stream that is open and idle


async def _open(host: str, port: int, count: int) -> Caller:
    """Streams that have said one message and wait."""
    caller = await Caller().connect(host, port)
    for at in range(count):
        stream = caller.begin("/read/Talk", ("x-request-id", f"s{at}"))
        await caller.send(stream, b"x" * SIZE)
        answer = caller.answers[stream]
        async with asyncio.timeout(WITHIN):
            await answer.more.wait()
        if not answer.data:
            raise RuntimeError(f"grpc-status {answer.status}: {answer.said}")
    return caller


def loads(count: int, streams: tuple[int, ...] = STREAMS) -> list[Load]:
    """By the number of streams on one connection."""
    found = []
    with TemporaryDirectory() as name, ExitStack() as stack:
        boxes = [stack.enter_context(standin("lugspur.standins.grpc", "--streams", "1000")) for _ in range(BOXES)]
        members = [member(f"{box.host}:{box.port}", "grpc") for box in boxes]
        for each in streams:
            with daemon(Path(name), members) as process:
                asyncio.run(unary(process.host, process.port, each, 1, max(each, count // 4)))
                before = process.cpu()
                seconds = asyncio.run(unary(process.host, process.port, each, 1, count))
                used = (process.cpu() - before) / count
                memory = process.memory()

                async def hold(process: Process = process, each: int = each) -> float:
                    caller = await _open(process.host, process.port, each)
                    held = process.memory()
                    caller.close()
                    return held

                held = (asyncio.run(hold()) - memory) * 1024.0 / each
                found.append(Load(each, used, seconds[len(seconds) // 2], held))
    return found


async def _pass(host: str, port: int, megabytes: int) -> None:
    """A stream of so many MB each way."""
    caller = await Caller().connect(host, port)
    stream = caller.begin("/read/Talk")
    answer = caller.answers[stream]
    for _ in range(megabytes * 4):
        await caller.send(stream, b"x" * (1 << 18))
        answer.data.clear()
    caller.end(stream)
    if (await caller.answer(stream, 10 * WITHIN)).status != 0:
        raise RuntimeError(f"grpc-status {answer.status}: {answer.said}")
    caller.close()


def passing(megabytes: int) -> float:
    """MiB that the daemon grows by while so many MB pass through it on one stream, each way."""
    with (
        TemporaryDirectory() as name,
        standin("lugspur.standins.grpc") as box,
        daemon(Path(name), [member(f"{box.host}:{box.port}", "grpc")]) as process,
    ):
        asyncio.run(_pass(process.host, process.port, 1))
        before = process.memory()
        asyncio.run(_pass(process.host, process.port, megabytes))
        return process.memory() - before


# ---- where it goes -------------------------------------------------------------------------------


RUN = """
import cProfile, sys
from lugspur.__main__ import main
sys.argv = ["lugspur", "run", FILE]
profile = cProfile.Profile()
try:
    profile.runcall(main)
finally:  # the command line ends by SystemExit
    profile.dump_stats(FILE + ".prof")
"""
LIBRARIES = ("h2", "hpack", "hyperframe", "load_balancing", "lugspur")  # folders in paths; the first that fits counts


def profile(count: int) -> dict[str, float]:
    """The part of the daemon's time that each package's own code takes, of all that is spent on calls."""
    with TemporaryDirectory() as name, ExitStack() as stack:
        boxes = [stack.enter_context(standin("lugspur.standins.grpc.echo")) for _ in range(BOXES)]
        port, file = free_port(), Path(name) / "profiled.toml"
        rows = ", ".join(member(f"{box.host}:{box.port}", "grpc") for box in boxes)
        file.write_text(FILE.format(port=port, members=rows))
        program = RUN.replace("FILE", repr(str(file)))
        process = subprocess.Popen([sys.executable, "-c", program], stderr=subprocess.DEVNULL)
        try:
            wait_for_listener(port, WITHIN)
            asyncio.run(unary("127.0.0.1", port, CALLERS, CALLERS, count))
        finally:
            process.terminate()
            process.wait(WITHIN)
        found = pstats.Stats(f"{file}.prof")
    spent: dict[str, float] = {}
    for (path, _, function), (_, _, own, _, _) in found.stats.items():  # type: ignore[attr-defined]
        if "poll" not in function and "compile" not in function and "importlib" not in path:
            package = next((each for each in LIBRARIES if f"/{each}/" in path), "Python itself")
            spent[package] = spent.get(package, 0.0) + own
    total = sum(spent.values())
    return {package: own / total for package, own in sorted(spent.items(), key=lambda row: -row[1])}


# ---- what becomes of calls -------------------------------------------------------------------------


@dataclass(slots=True)
class Counts:
    """What became of all calls."""

    sent: int = 0
    lost: int = 0  # no final answer, or more than one
    doubled: int = 0  # runs of unsafe calls beyond the first
    lied: int = 0  # unsafe calls that were refused as harmless, and ran
    outcomes: Counter[str] = field(default_factory=Counter)

    @property
    def kept(self) -> bool:
        """Whether all rules held."""
        return not (self.lost or self.doubled or self.lied)

    def __str__(self) -> str:
        said = ", ".join(f"{count} times {what}" for what, count in sorted(self.outcomes.items()))
        return f"{self.sent} calls: {said}; {self.lost} lost, {self.doubled} doubled, {self.lied} refused though run"


class Mixed:
    """Calls over both protocols at boxes of both kinds, some of which go wrong."""

    def __init__(self, count: int, seed: int) -> None:
        self._count, self._random = count, random.Random(seed)
        self.counts = Counts()
        self.ran: Counter[str] = Counter()
        self.refused: set[str] = set()

    def _script(self) -> str:
        at = self._random.random()
        for number, kind in enumerate(("reset", "goaway", "stall")):
            if at < FAULTY * (number + 1):
                return self._random.choice(KINDS[kind])
        return self._random.choice(KINDS["cut"]) if at > 0.995 else ""

    async def _call(self, caller: Caller, number: int) -> None:
        """One gRPC call: unary, or a stream of messages."""
        kind = self._random.choice(("book", "read"))
        rid = f"{kind}-{number}"
        metadata = [("x-request-id", rid), ("x-script", self._script()), ("grpc-timeout", "1S")]
        messages = [b"x" * self._random.choice((0, 10, 1000, 50_000))] * self._random.choice((1, 1, 1, 3))
        try:
            got = await caller.call(f"/{kind}/Do", *messages, metadata=metadata, within=WITHIN)
        except TimeoutError:
            self._count_one(rid, "nothing", True, False)
            return
        whole = got.ends == 1 and not got.lost and got.status is not None
        self._count_one(rid, f"grpc {got.status}", not whole, got.status == 14)

    async def _ask(self, caller: http.Caller, number: int) -> None:
        """One HTTP/1.1 request."""
        method, kind = self._random.choice((("POST", "book"), ("GET", "read")))
        rid = f"{kind}-{number}"
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        text = (
            f"{method} /k HTTP/1.1\r\nHost: h\r\nX-Request-ID: {rid}\r\nX-Script: {self._script()}\r\n"
            f"X-Timeout: 1\r\n{length}\r\n"
        )
        got = await caller.ask(text.encode(), WITHIN)
        self._count_one(rid, f"HTTP {got.status}", got.status == 0, got.status == 503)

    def _count_one(self, rid: str, what: str, lost: bool, refused: bool) -> None:
        self.counts.sent += 1
        self.counts.lost += lost
        self.counts.outcomes[what] += 1
        if refused and rid.startswith("book"):
            self.refused.add(rid)

    async def play(self, host: str, port: int, boxes: list[Box], plain: Backend) -> Counts:
        """All calls, 16 at a time, half of them over each protocol."""
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
        for box in boxes:
            self.ran += box.ran
        self.ran += plain.ran
        runs = {rid: count for rid, count in self.ran.items() if rid.startswith("book")}
        self.counts.doubled = sum(count - 1 for count in runs.values())
        self.counts.lied = sum(rid in runs for rid in self.refused)
        return self.counts


async def _work(_: Asked) -> HttpAnswer:
    return 200, b"done"


async def mixed(count: int, seed: int) -> Counts:
    """Three gRPC boxes and an HTTP/1.1 one behind a daemon in a process of its own."""
    boxes, plain = [Box() for _ in range(3)], Backend("plain", _work)
    for box in boxes:
        await box.listen()
    await plain.listen()
    members = [*(member(box.address, "grpc") for box in boxes), member(plain.address, "http")]
    with TemporaryDirectory() as name:
        started = daemon(Path(name), members)
        process = await asyncio.to_thread(started.__enter__)
        try:
            return await Mixed(count, seed).play(process.host, process.port, boxes, plain)
        finally:
            started.__exit__(None, None, None)
            for box in boxes:
                box.kill()
            plain.kill()


# ---- the command -----------------------------------------------------------------------------------


def report_costs(count: int) -> None:
    """All costs, as Markdown."""
    rows = costs(count)
    bare, plain = rows[0].cpu, rows[1].cpu
    print(f"{CALLERS} callers, {BOXES} boxes, {SIZE} bytes each way, medians of {ROUNDS} rounds of {count} in turns\n")
    print("| through | CPU us a call | x bare h2 echo | x HTTP/1.1 path | p50 ms | MiB |")
    print("| --- | --- | --- | --- | --- | --- |")
    for row in rows:
        print(
            f"| {row.name} | {row.cpu * 1e6:.0f} | {row.cpu / bare:.1f} | {row.cpu / plain:.1f} | "
            f"{row.half * 1e3:.2f} | {row.memory:.1f} |",
            flush=True,
        )
    print("\n| streams on a connection | CPU us a call | p50 ms | KiB a stream |\n| --- | --- | --- | --- |")
    for load in loads(count):
        print(f"| {load.streams} | {load.cpu * 1e6:.0f} | {load.half * 1e3:.2f} | {load.held:.1f} |", flush=True)
    print(f"\n64 MB each way on one stream: the daemon grows by {passing(64):.1f} MiB")


def main() -> None:
    """One of the measurements."""
    parser = argparse.ArgumentParser(description="Measures of gRPC.")
    parser.add_argument("what", choices=["cost", "profile", "mixed"])
    parser.add_argument("--count", type=int, default=0, help="calls")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    if given.what == "cost":
        report_costs(given.count or 3000)
    elif given.what == "profile":
        for package, part in profile(given.count or 3000).items():
            print(f"{package}: {part:.0%}")
    else:
        counts = asyncio.run(mixed(given.count or 10_000, given.seed))
        print(f"seed {given.seed}: {counts}")
        sys.exit(not counts.kept)


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        main()
