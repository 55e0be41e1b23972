"""What a request costs: the platform's proxy and the daemon as multiples of a bare byte relay, in one run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

from lugspur.bench.processes import Process, daemon, platform, standin
from lugspur.config.load import load
from lugspur.routing.model import Forward, RequestView, Route, parse_pattern
from lugspur.routing.table import RouteTable
from lugspur.routing.target import parse_target
from lugspur.standins.callers import closed_loop

CALLERS, BACKENDS, SIZE = 16, 3, 200
ROUNDS = 3  # of each contestant, in turns, so that a slow spell of the machine meets them all
COUNTS = (10, 1_000, 10_000)  # routes
LOOKUPS = 20_000


@dataclass(slots=True)
class Row:
    """One contestant's figures: medians of its rounds."""

    name: str
    rate: float  # requests a second
    half: float  # seconds that half of them took
    late: float  # ...and all but one in a hundred
    cpu: float  # seconds of CPU for each request
    memory: float  # MiB after it


def request(kind: str) -> Callable[[int], bytes]:
    """Requests that the platform's proxy, the daemon and a backend all take."""

    def make(number: int) -> bytes:
        body = b"" if kind == "read" else b"x" * SIZE
        method, length = (b"GET", b"") if kind == "read" else (b"POST", b"Content-Length: %d\r\n" % SIZE)
        return (
            b"%b /api/k%d HTTP/1.1\r\nHost: bench.local\r\nX-Request-ID: %b-%d-%d\r\nX-Priority-Class: %b\r\n"
            b"X-Timeout: 30\r\nContent-Type: application/json\r\n%b\r\n%b"
            % (method, number, kind.encode(), time.monotonic_ns(), number, kind.encode(), length, body)
        )

    return make


def measure(contestants: dict[str, Process], kind: str, requests: int) -> list[Row]:
    """Rounds of one kind of request, in turns; the first, uncounted, warms up."""
    found: dict[str, list[Row]] = {name: [] for name in contestants}
    for turn in range(ROUNDS + 1):
        for name, process in contestants.items():
            before, begun = process.cpu(), time.monotonic()
            count = requests if turn else max(200, requests // 4)
            tally = asyncio.run(closed_loop(process.host, process.port, CALLERS, count, request(kind)))
            if tally.statuses != {200: count}:
                raise RuntimeError(f"{name}: answers by status {tally.statuses}, wanted {count} times 200")
            if turn:
                passed, used = time.monotonic() - begun, process.cpu() - before
                found[name].append(
                    Row(name, count / passed, tally.quantile(0.5), tally.quantile(0.99), used / count, process.memory())
                )
    figures = ("rate", "half", "late", "cpu", "memory")
    return [
        Row(name, *(median(getattr(row, figure) for row in rows) for figure in figures)) for name, rows in found.items()
    ]


def compare(requests: int, against: str | None) -> dict[str, list[Row]]:
    """All contestants over the same backends, by kind of request; `against` is another checkout."""
    with TemporaryDirectory() as name, ExitStack() as stack:
        folder = Path(name)
        backends = [
            stack.enter_context(standin("lugspur.standins.backend", "--size", str(SIZE))) for _ in range(BACKENDS)
        ]
        first = f"{backends[0].host}:{backends[0].port}"
        contestants = {
            "relay": stack.enter_context(standin("lugspur.standins.relay", first)),
            "platform": stack.enter_context(platform(folder, backends)),
            "run": stack.enter_context(daemon(folder, backends)),
        }
        if against is not None:
            contestants["platform, other checkout"] = stack.enter_context(platform(folder, backends, against))
        return {kind: measure(contestants, kind, requests) for kind in ("read", "book")}


def routes(count: int) -> list[Route]:
    """So many routes of a hundred hosts, as a large installation has them."""
    to = Forward((("main", 1.0),))
    return [
        Route(
            f"r{n}",
            parse_pattern(f"/svc{n // 100}/hotels/{{id}}/rooms/*"),
            to,
            (f"h{n % 100}.example",),
            frozenset({"GET"}),
        )
        for n in range(count)
    ]


def lookups() -> list[tuple[int, float]]:
    """Seconds of one look-up by the number of routes; the best of some rounds."""
    found = []
    tables = [(count, RouteTable(routes(count))) for count in COUNTS]
    for count, table in tables:
        last = count - 1
        target = parse_target(f"/svc{last // 100}/hotels/77/rooms/5/x".encode(), f"h{last % 100}.example".encode())
        asked = RequestView("GET", target, {})
        best = float("inf")
        for _ in range(5):
            begun = time.perf_counter()
            for _ in range(LOOKUPS):
                table.find(asked)
            best = min(best, (time.perf_counter() - begun) / LOOKUPS)
        found.append((count, best))
    return found


def memory() -> list[tuple[int, float, float]]:
    """MiB of the daemon, and seconds to read and check its file, by the number of routes."""
    found = []
    with TemporaryDirectory() as name, standin("lugspur.standins.backend") as backend:
        for count in (0, *COUNTS):
            text = "".join(
                f'[routes.r{n}]\npath = "/svc{n // 100}/hotels/{{id}}/rooms/*"\nhosts = ["h{n % 100}.example"]\n'
                f'methods = ["GET"]\npool = "main"\n'
                for n in range(count)
            )
            with daemon(Path(name), [backend], text) as process:
                [file] = Path(name).glob(f"run-{process.port}.toml")
                begun = time.perf_counter()
                load(str(file))
                found.append((count, process.memory(), time.perf_counter() - begun))
    return found


def report(requests: int, say: Callable[[str], None], against: str | None = None) -> None:
    """Measure everything and say it, as Markdown."""
    say(f"{CALLERS} callers, {BACKENDS} backends, bodies of {SIZE} bytes, medians of {ROUNDS} rounds in turns\n")
    say("| requests | through | a second | p50 ms | p99 ms | CPU us each | x relay | MiB |")
    say("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for kind, rows in compare(requests, against).items():
        base = rows[0].cpu
        for row in rows:
            say(
                f"| {kind} | {row.name} | {row.rate:.0f} | {row.half * 1e3:.2f} | {row.late * 1e3:.2f} | "
                f"{row.cpu * 1e6:.0f} | {row.cpu / base:.1f} | {row.memory:.1f} |"
            )
        say(f"| {kind} | run / platform | | | | | {rows[2].cpu / rows[1].cpu:.2f} | |")
        if against is not None:
            say(f"| {kind} | platform / other checkout | | | | | {rows[1].cpu / rows[3].cpu:.2f} | |")
    say("\n| routes | look-up us | x the first | MiB of run | s to read and check |\n| --- | --- | --- | --- | --- |")
    looked = dict(lookups())
    for count, held, took in memory():
        look = f"{looked[count] * 1e6:.2f} | {looked[count] / looked[COUNTS[0]]:.2f}" if count else "|"
        say(f"| {count} | {look} | {held:.1f} | {took:.2f} |")
