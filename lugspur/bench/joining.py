"""Measures what request coalescing saves, what it costs, and how it affects other tenants.

`python -m lugspur.bench.joining burst` sends 200 identical reads at once, with and without coalescing. `busy` lets one
tenant send a hundred times as many reads as four others. `faults` sends reads and writes to backends that fail, and
checks every response against what had been written when the read was sent. `cost` measures the CPU of a read that no
other read joins. `python -m lugspur.emulator joining` covers sizes that sockets don't reach.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from lugspur.bench.processes import Process, run_daemon, run_standin
from lugspur.config.load import load
from lugspur.daemon.run import RunningDaemon
from lugspur.standins.backend import Backend, Request, Response
from lugspur.standins.callers import Caller, Outcome, Tally, closed_loop

WITHIN = 30.0  # timeout in seconds of every wait
WORK = 0.05  # seconds that a backend works on a read
ROUNDS = 5  # measured rounds of `cost`

SETTINGS_TEMPLATE = """[limits]
sockets = 4096
joined = {joined}
[listeners.main]
address = "127.0.0.1:0"
[classes.read]
aim = "{aim}s"
deadline = "{deadline}s"
repeat = "safe"
[classes.write]
aim = "{deadline}s"
deadline = "{deadline}s"
{tenants}
[pools.main]
members = [{members}]
[routes.read]
path = "/v1/rooms/{{hotel}}"
methods = ["GET"]
pool = "main"
class = "read"
tenant = {{ header = "X-Agency" }}
{join}
[routes.write]
path = "/v1/rooms/{{hotel}}"
methods = ["POST"]
pool = "main"
class = "write"
tenant = {{ header = "X-Agency" }}
"""
JOIN = "join = { across-tenants = true }"
AGENCIES = tuple(f"agency-{n}" for n in range(5))


def settings_text(
    backends: list[Backend], join: str, joined: int = 1000, aim: float = 1.0, deadline: float = 2.0
) -> str:
    """Return the settings of a daemon with these backends."""
    members = ", ".join(f'{{ address = "{backend.address}" }}' for backend in backends)
    tenants = "".join(f"[tenants.{name}]\n" for name in AGENCIES)
    return SETTINGS_TEMPLATE.format(
        members=members, join=join, joined=joined, aim=aim, deadline=deadline, tenants=tenants
    )


def make_request(
    hotel: str, agency: str, method: str = "GET", timeout_seconds: float | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of a request of an agency, which is a tenant."""
    timeout = "" if timeout_seconds is None else f"X-Timeout: {timeout_seconds:.3f}\r\n"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} /v1/rooms/{hotel} HTTP/1.1\r\nHost: h.example\r\nX-Agency: {agency}\r\n{timeout}{length}\r\n"
    return head.encode() + body


class Rig:
    """A daemon in this process and its backends."""

    def __init__(self, backends: list[Backend], port: int) -> None:
        self.backends, self.port = backends, port

    def ran(self) -> int:
        """Return the number of requests that backends have begun to work on."""
        return sum(backend.ran.total() for backend in self.backends)

    async def ask(self, what: bytes) -> Outcome:
        """Send one request on its own connection."""
        caller = Caller("127.0.0.1", self.port)
        outcome = await caller.ask(what, WITHIN)
        caller.close()
        return outcome


async def within(
    backends: list[Backend],
    join: str,
    body: Callable[[Rig], Awaitable[None]],
    joined: int = 1000,
    aim: float = 1.0,
    deadline: float = 2.0,
) -> None:
    """Run the body with a daemon in front of these backends."""
    async with AsyncExitStack() as stack:
        for backend in backends:
            await backend.listen()
            stack.callback(backend.kill)
        folder = stack.enter_context(TemporaryDirectory())
        file = Path(folder) / "joining.toml"
        file.write_text(settings_text(backends, join, joined, aim, deadline))
        running = RunningDaemon(str(file))
        await running.start(load(str(file)))
        try:
            await body(Rig(backends, running.addresses()["main"][1]))
        finally:
            await running.stop()


# ---- a burst of identical reads ------------------------------------------------------------------


@dataclass(slots=True)
class Burst:
    """The results of identical reads that were sent at once."""

    calls: int  # requests that reached the backend
    late: int  # reads without a response by their own deadlines
    tally: Tally


async def burst(count: int, join: str, slots: int = 4, work_seconds: float = WORK) -> Burst:
    """Send identical reads at once, each with its own deadline, to a backend that serves `slots` at a time.

    The backend works on each request for `work_seconds`.
    """
    free_slots = asyncio.Semaphore(slots)

    async def work(_: Request) -> Response:
        async with free_slots:
            await asyncio.sleep(work_seconds)
        return 200, b"rooms"

    result = Burst(0, 0, Tally())

    async def body(rig: Rig) -> None:
        async def one(n: int) -> None:
            timeout_seconds = 0.6 + 0.005 * n
            outcome = await rig.ask(make_request("h1", AGENCIES[n % 5], timeout_seconds=timeout_seconds))
            result.tally.add(outcome)
            result.late += outcome.seconds > timeout_seconds or not outcome.status

        await asyncio.gather(*(one(n) for n in range(count)))
        result.calls = rig.ran()

    await within([Backend("one", work)], join, body)
    return result


# ---- a tenant that sends too many reads ----------------------------------------------------------


async def busy(join: str, seconds: float, flood: int = 400, joined: int = 200) -> dict[str, Tally]:
    """Let one tenant keep hundreds of reads open while four others send a few, and return the tallies of both."""
    free_slots = asyncio.Semaphore(8)

    async def work(_: Request) -> Response:
        async with free_slots:
            await asyncio.sleep(2 * WORK)
        return 200, b"rooms"

    tallies = {"busy": Tally(), "others": Tally()}

    async def body(rig: Rig) -> None:
        loop = asyncio.get_running_loop()
        until, rng = loop.time() + seconds, random.Random(1)

        async def ask(who: str, agency: str, pause: float) -> None:
            caller = Caller("127.0.0.1", rig.port)
            while loop.time() < until:
                tallies[who].add(await caller.ask(make_request(f"h{rng.randrange(3)}", agency), WITHIN))
                await asyncio.sleep(pause)
            caller.close()

        await asyncio.gather(
            *(ask("busy", AGENCIES[0], 0.01) for _ in range(flood)),
            *(ask("others", AGENCIES[1 + n % 4], 0.05) for n in range(8)),
        )

    await within([Backend("one", work)], join, body, joined, aim=0.41)
    return tallies


# ---- reads and writes while backends fail --------------------------------------------------------


@dataclass(slots=True)
class FaultResult:
    """Counts of reads and writes and of the faults in their responses."""

    sent: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    lost: int = 0  # requests without a complete response
    stale: int = 0  # responses older than a write of the same tenant that had been answered before
    wrong: int = 0  # responses for another hotel
    late: int = 0  # responses after the request's own deadline
    calls: int = 0  # reads that backends worked on

    def passed(self) -> bool:
        """Return whether no request was lost, late, or answered with a stale or wrong response."""
        return not (self.lost or self.stale or self.wrong or self.late)


async def faults(count: int, seed: int, fault_share: float = 0.05, join: str = JOIN) -> FaultResult:
    """Send reads and writes of five tenants for a few hotels to backends that fail, stall and answer 429.

    A backend answers a read with the hotel's version as it was when work on the read began; a write makes a new one.
    """
    rng, versions, result = random.Random(seed), Counter[str](), FaultResult()

    async def work(asked: Request) -> Response:
        hotel = asked.target.rpartition("/")[2]
        if asked.method == "POST":
            await asyncio.sleep(rng.random() * 0.01)
            versions[hotel] += 1
            return 200, b"%s %d" % (hotel.encode(), versions[hotel])
        result.calls += 1
        version, draw = versions[hotel], rng.random()
        await asyncio.sleep(0.005 + rng.random() * 0.03)
        if draw < fault_share:
            return rng.choice((500, 503, 429)), b"no"
        if draw < 2 * fault_share:
            await asyncio.sleep(5.0)  # stalls until the daemon abandons the attempt
        return 200, b"%s %d" % (hotel.encode(), version)

    last_written: Counter[tuple[str, str]] = Counter()  # by tenant and hotel: version of the last answered write

    async def body(rig: Rig) -> None:
        numbers = iter(range(count))

        async def one(agency: str) -> None:
            caller = Caller("127.0.0.1", rig.port)
            for _ in numbers:
                hotel, is_write = f"h{rng.randrange(4)}", rng.random() < 0.05
                timeout_seconds = rng.choice((0.1, 0.5, 1.5))
                before = last_written[agency, hotel]
                what = (
                    make_request(hotel, agency, "POST", body=b"x")
                    if is_write
                    else make_request(hotel, agency, timeout_seconds=timeout_seconds)
                )
                outcome = await caller.ask(what, WITHIN)
                _check(result, outcome, hotel, before, timeout_seconds if not is_write else WITHIN)
                if is_write and outcome.status == 200:
                    last_written[agency, hotel] = max(last_written[agency, hotel], int(outcome.body.split()[1]))
                elif rng.random() < 0.02:
                    caller.close()
            caller.close()

        await asyncio.gather(*(one(AGENCIES[n % 5]) for n in range(40)))

    await within([Backend(f"b{n}", work) for n in range(3)], join, body)
    return result


def _check(result: FaultResult, outcome: Outcome, hotel: str, before: int, timeout_seconds: float) -> None:
    result.sent += 1
    result.statuses[outcome.status] += 1
    result.lost += not outcome.status
    # 0.05 seconds of tolerance for the event loop, which all these callers share.
    result.late += outcome.seconds > timeout_seconds + 0.05
    if outcome.status == 200:
        answered_hotel, _, version = outcome.body.partition(b" ")
        result.wrong += answered_hotel != hotel.encode()
        result.stale += int(version) < before


# ---- what a read costs ---------------------------------------------------------------------------


def cost(count: int) -> dict[str, list[float]]:
    """Return CPU microseconds per read on a plain route, on a joining one, and there with identical reads only."""
    rows: dict[str, list[float]] = {"plain route": [], "route that joins, no two alike": [], "all alike": []}
    with TemporaryDirectory() as name, run_standin("lugspur.standins.backend", "--size", "200") as backend:
        files = {"plain": "", "joins": 'join = { within = "100ms" }\n'}
        folder = Path(name)
        processes = {key: run_daemon(folder, [backend], _route_text(more)) for key, more in files.items()}
        with processes["plain"] as plain, processes["joins"] as joins:
            cases: list[tuple[str, Process, Callable[[int], bytes]]] = [
                ("plain route", plain, lambda n: _joined_request(f"k{n}")),
                ("route that joins, no two alike", joins, lambda n: _joined_request(f"k{n}")),
                ("all alike", joins, lambda _: _joined_request("k")),
            ]
            for at in range(ROUNDS + 1):
                for row, process, make in cases:
                    spent = _cpu_per_read(process, make, count)
                    if at:  # the first round warms up
                        rows[row].append(spent)
    return rows


def _route_text(more: str) -> str:
    return f'[routes.joined]\npath = "/joined/{{key}}"\npool = "main"\nclass = "read"\n{more}'


def _joined_request(key: str) -> bytes:
    return f"GET /joined/{key} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode()


def _cpu_per_read(process: Process, make: Callable[[int], bytes], count: int) -> float:
    before = process.cpu()
    tally = asyncio.run(closed_loop(process.host, process.port, 16, count, make))
    if tally.statuses != {200: count}:
        raise SystemExit(f"not all requests were served: {tally.statuses}")
    return 1e6 * (process.cpu() - before) / count


# ---- reports -------------------------------------------------------------------------------------


def _report_burst(count: int) -> bool:
    print("| 200 reads at once | calls | served | after their deadline | median | last |\n|---|---|---|---|---|---|")
    passed_check = True
    for name, join in (("joined", JOIN), ("each its own", "")):
        result = asyncio.run(burst(count, join))
        print(
            f"| {name} | {result.calls} | {result.tally.statuses.get(200, 0)} | {result.late} | "
            f"{1e3 * result.tally.quantile(0.5):.0f} ms | {1e3 * result.tally.quantile(1.0):.0f} ms |"
        )
        passed_check = passed_check and (
            not join or (result.late == 0 and result.tally.statuses == {200: count} and result.calls < 10)
        )
    return passed_check


def _report_busy(seconds: float) -> bool:
    print("| one tenant floods | who | asked | served | within 410 ms | median | 99th |\n|---|---|---|---|---|---|---|")
    for name, join in (("joined", JOIN), ("each its own", "")):
        for who, tally in asyncio.run(busy(join, seconds)).items():
            asked = sum(tally.statuses.values())
            timely = sum(each <= 0.41 for each in tally.seconds)
            print(
                f"| {name} | {who} | {asked} | {tally.statuses.get(200, 0) / asked:.1%} | {timely / asked:.1%} | "
                f"{1e3 * tally.quantile(0.5):.0f} ms | {1e3 * tally.quantile(0.99):.0f} ms |"
            )
    return True


def _report_faults(count: int, seed: int) -> bool:
    result = asyncio.run(faults(count, seed))
    print(f"seed {seed}: {result}")
    return result.passed()


def _report_cost(count: int) -> bool:
    rows = cost(count)
    base = statistics.median(rows["plain route"])
    for name, spent in rows.items():
        middle = statistics.median(spent)
        spread = f"{min(spent):.0f} to {max(spent):.0f}"
        print(f"{name}: {middle:.0f} us a read ({spread}), {middle / base:.2f} times the plain route")
    return True


def main() -> None:
    """Run one of the measurements; exits with 1 if its check failed."""
    parser = argparse.ArgumentParser(description="Measure the coalescing of identical reads.")
    parser.add_argument("what", choices=["burst", "busy", "faults", "cost"])
    parser.add_argument("--count", type=int, default=0, help="reads")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    started_at = time.monotonic()
    reports: dict[str, Callable[[], bool]] = {
        "burst": lambda: _report_burst(arguments.count or 200),
        "busy": lambda: _report_busy(5.0),
        "faults": lambda: _report_faults(arguments.count or 10_000, arguments.seed),
        "cost": lambda: _report_cost(arguments.count or 3000),
    }
    passed_check = reports[arguments.what]()
    print(f"({time.monotonic() - started_at:.0f} s)")
    sys.exit(0 if passed_check else 1)


if __name__ == "__main__":
    main()
