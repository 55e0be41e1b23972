"""Measures what a request costs in the platform's proxy and the daemon, as multiples of a bare byte relay."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

from lugspur.bench.processes import Process, run_daemon, run_platform_proxy, run_standin
from lugspur.config.load import load
from lugspur.routing.model import Forward, RequestView, Route, parse_pattern
from lugspur.routing.table import RouteTable
from lugspur.routing.target import parse_target
from lugspur.standins.callers import closed_loop

CALLERS, BACKENDS = 16, 3
SIZE = 200  # bytes of a body
# Rounds of each contestant. Contestants take turns, so that a slow phase of the machine affects all of them.
ROUNDS = 3
COUNTS = (10, 1_000, 10_000)  # numbers of routes to measure
LOOKUPS = 20_000  # lookups per timed round


@dataclass(slots=True)
class Row:
    """One contestant's figures: medians of its rounds."""

    name: str
    rate: float  # requests a second
    median_seconds: float  # median latency in seconds
    p99_seconds: float  # 99th percentile of the latency in seconds
    cpu: float  # seconds of CPU time per request
    memory: float  # MiB of resident memory after the round


def request_maker(kind: str) -> Callable[[int], bytes]:
    """Return a function that makes a numbered request for the platform's proxy, the daemon or a backend."""

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
    """Measure one kind of request in rounds, contestants taking turns; the first round warms up and does not count."""
    found: dict[str, list[Row]] = {name: [] for name in contestants}
    for round_number in range(ROUNDS + 1):
        for name, process in contestants.items():
            before, started_at = process.cpu(), time.monotonic()
            count = requests if round_number else max(200, requests // 4)
            tally = asyncio.run(closed_loop(process.host, process.port, CALLERS, count, request_maker(kind)))
            if tally.statuses != {200: count}:
                raise RuntimeError(f"{name}: responses by status {tally.statuses}, expected {count} times 200")
            if round_number:
                elapsed, used = time.monotonic() - started_at, process.cpu() - before
                found[name].append(
                    Row(
                        name, count / elapsed, tally.quantile(0.5), tally.quantile(0.99), used / count, process.memory()
                    )
                )
    figures = ("rate", "median_seconds", "p99_seconds", "cpu", "memory")
    return [
        Row(name, *(median(getattr(row, figure) for row in rows) for figure in figures)) for name, rows in found.items()
    ]


def compare(requests: int, against: str | None) -> dict[str, list[Row]]:
    """Measure all contestants with the same backends, by kind of request; `against` is another checkout."""
    with TemporaryDirectory() as name, ExitStack() as stack:
        folder = Path(name)
        backends = [
            stack.enter_context(run_standin("lugspur.standins.backend", "--size", str(SIZE))) for _ in range(BACKENDS)
        ]
        first = f"{backends[0].host}:{backends[0].port}"
        contestants = {
            "relay": stack.enter_context(run_standin("lugspur.standins.relay", first)),
            "platform": stack.enter_context(run_platform_proxy(folder, backends)),
            "run": stack.enter_context(run_daemon(folder, backends)),
        }
        if against is not None:
            contestants["platform, other checkout"] = stack.enter_context(run_platform_proxy(folder, backends, against))
        return {kind: measure(contestants, kind, requests) for kind in ("read", "book")}


def routes(count: int) -> list[Route]:
    """Return this many routes over a hundred hosts, as a large installation has them."""
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
    """Return pairs of a number of routes and the seconds of one lookup, the best of five rounds."""
    found = []
    tables = [(count, RouteTable(routes(count))) for count in COUNTS]
    for count, table in tables:
        last = count - 1
        target = parse_target(f"/svc{last // 100}/hotels/77/rooms/5/x".encode(), f"h{last % 100}.example".encode())
        request_view = RequestView("GET", target, {})
        best = float("inf")
        for _ in range(5):
            started_at = time.perf_counter()
            for _ in range(LOOKUPS):
                table.find(request_view)
            best = min(best, (time.perf_counter() - started_at) / LOOKUPS)
        found.append((count, best))
    return found


def memory() -> list[tuple[int, float, float]]:
    """Return rows of a number of routes, the daemon's MiB, and the seconds to read and check its settings file."""
    found = []
    with TemporaryDirectory() as name, run_standin("lugspur.standins.backend") as backend:
        for count in (0, *COUNTS):
            text = "".join(
                f'[routes.r{n}]\npath = "/svc{n // 100}/hotels/{{id}}/rooms/*"\nhosts = ["h{n % 100}.example"]\n'
                f'methods = ["GET"]\npool = "main"\n'
                for n in range(count)
            )
            with run_daemon(Path(name), [backend], text) as process:
                [file] = Path(name).glob(f"run-{process.port}.toml")
                started_at = time.perf_counter()
                load(str(file))
                found.append((count, process.memory(), time.perf_counter() - started_at))
    return found


def report(requests: int, say: Callable[[str], None], against: str | None = None) -> None:
    """Run all measurements and print them as Markdown tables through `say`."""
    say(f"{CALLERS} callers, {BACKENDS} backends, bodies of {SIZE} bytes, medians of {ROUNDS} rounds in turns\n")
    say("| requests | through | a second | p50 ms | p99 ms | CPU us each | x relay | MiB |")
    say("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for kind, rows in compare(requests, against).items():
        base = rows[0].cpu
        for row in rows:
            say(
                f"| {kind} | {row.name} | {row.rate:.0f} | {row.median_seconds * 1e3:.2f} | "
                f"{row.p99_seconds * 1e3:.2f} | {row.cpu * 1e6:.0f} | {row.cpu / base:.1f} | {row.memory:.1f} |"
            )
        say(f"| {kind} | run / platform | | | | | {rows[2].cpu / rows[1].cpu:.2f} | |")
        if against is not None:
            say(f"| {kind} | platform / other checkout | | | | | {rows[1].cpu / rows[3].cpu:.2f} | |")
    say("\n| routes | look-up us | x the first | MiB of run | s to read and check |\n| --- | --- | --- | --- | --- |")
    lookup_seconds = dict(lookups())
    for count, mib, load_seconds in memory():
        lookup_columns = (
            f"{lookup_seconds[count] * 1e6:.2f} | {lookup_seconds[count] / lookup_seconds[COUNTS[0]]:.2f}"
            if count
            else "|"
        )
        say(f"| {count} | {lookup_columns} | {mib:.1f} | {load_seconds:.2f} |")
