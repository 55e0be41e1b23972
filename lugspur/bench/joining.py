"""What joining like reads saves, what it costs, and what it does to others.

`python -m lugspur.bench.joining burst` sends 200 identical reads at once, with and without it; `busy` lets one tenant
ask a hundred times as much as four others; `faults` plays reads and writes at boxes that fail, and checks every answer
against what had been written when it was asked for; `cost` measures the CPU of a read that nobody joins. Sizes that
sockets don't reach: `python -m lugspur.emulator joining`.
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

from lugspur.bench.processes import Process, daemon, standin
from lugspur.config.load import load
from lugspur.daemon.run import RunningDaemon
from lugspur.standins.backend import Backend, Request, Response
from lugspur.standins.callers import Caller, Outcome, Tally, closed_loop

WITHIN = 30.0  # seconds that any one wait may take
WORK = 0.05  # seconds that a box works on a read
ROUNDS = 5

FILE = """[limits]
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


def text(boxes: list[Backend], join: str, joined: int = 1000, aim: float = 1.0, deadline: float = 2.0) -> str:
    """A file before these boxes."""
    members = ", ".join(f'{{ address = "{box.address}" }}' for box in boxes)
    tenants = "".join(f"[tenants.{name}]\n" for name in AGENCIES)
    return FILE.format(members=members, join=join, joined=joined, aim=aim, deadline=deadline, tenants=tenants)


def asking(hotel: str, agency: str, method: str = "GET", left: float | None = None, body: bytes = b"") -> bytes:
    """A request of an agency."""
    timeout = "" if left is None else f"X-Timeout: {left:.3f}\r\n"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} /v1/rooms/{hotel} HTTP/1.1\r\nHost: h.example\r\nX-Agency: {agency}\r\n{timeout}{length}\r\n"
    return head.encode() + body


class World:
    """A daemon in this process and boxes before it."""

    def __init__(self, boxes: list[Backend], port: int) -> None:
        self.boxes, self.port = boxes, port

    def ran(self) -> int:
        """Requests that boxes have begun to work on."""
        return sum(box.ran.total() for box in self.boxes)

    async def ask(self, what: bytes) -> Outcome:
        """One request on a connection of its own."""
        caller = Caller("127.0.0.1", self.port)
        outcome = await caller.ask(what, WITHIN)
        caller.close()
        return outcome


async def within(
    boxes: list[Backend],
    join: str,
    body: Callable[[World], Awaitable[None]],
    joined: int = 1000,
    aim: float = 1.0,
    deadline: float = 2.0,
) -> None:
    """Run the body with a daemon before these boxes."""
    async with AsyncExitStack() as stack:
        for box in boxes:
            await box.listen()
            stack.callback(box.kill)
        folder = stack.enter_context(TemporaryDirectory())
        file = Path(folder) / "joining.toml"
        file.write_text(text(boxes, join, joined, aim, deadline))
        running = RunningDaemon(str(file))
        await running.start(load(str(file)))
        try:
            await body(World(boxes, running.addresses()["main"][1]))
        finally:
            await running.stop()


# ---- a burst of like reads -----------------------------------------------------------------------


@dataclass(slots=True)
class Burst:
    """What became of like reads that came together."""

    calls: int
    late: int  # not answered by their own deadlines
    tally: Tally


async def burst(count: int, join: str, slots: int = 4, work_seconds: float = WORK) -> Burst:
    """So many identical reads at once, each with a deadline of its own, at a box that serves `slots` at a time.

    `work_seconds`: for which the box works on each.
    """
    room = asyncio.Semaphore(slots)

    async def work(_: Request) -> Response:
        async with room:
            await asyncio.sleep(work_seconds)
        return 200, b"rooms"

    found = Burst(0, 0, Tally())

    async def body(world: World) -> None:
        async def one(n: int) -> None:
            left = 0.6 + 0.005 * n
            outcome = await world.ask(asking("h1", AGENCIES[n % 5], left=left))
            found.tally.add(outcome)
            found.late += outcome.seconds > left or not outcome.status

        await asyncio.gather(*(one(n) for n in range(count)))
        found.calls = world.ran()

    await within([Backend("one", work)], join, body)
    return found


# ---- a tenant that asks too much -----------------------------------------------------------------


async def busy(join: str, seconds: float, flood: int = 400, joined: int = 200) -> dict[str, Tally]:
    """One tenant keeps hundreds of reads open; four others ask now and then. What became of both."""
    room = asyncio.Semaphore(8)

    async def work(_: Request) -> Response:
        async with room:
            await asyncio.sleep(2 * WORK)
        return 200, b"rooms"

    tallies = {"busy": Tally(), "others": Tally()}

    async def body(world: World) -> None:
        loop = asyncio.get_running_loop()
        until, rng = loop.time() + seconds, random.Random(1)

        async def ask(who: str, agency: str, pause: float) -> None:
            caller = Caller("127.0.0.1", world.port)
            while loop.time() < until:
                tallies[who].add(await caller.ask(asking(f"h{rng.randrange(3)}", agency), WITHIN))
                await asyncio.sleep(pause)
            caller.close()

        await asyncio.gather(
            *(ask("busy", AGENCIES[0], 0.01) for _ in range(flood)),
            *(ask("others", AGENCIES[1 + n % 4], 0.05) for n in range(8)),
        )

    await within([Backend("one", work)], join, body, joined, aim=0.41)
    return tallies


# ---- reads and writes while boxes fail -----------------------------------------------------------


@dataclass(slots=True)
class Checked:
    """Reads and writes that were asked, and what was wrong with their answers."""

    asked: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    lost: int = 0  # no whole answer
    stale: int = 0  # older than a write of the same tenant that had been answered before
    wrong: int = 0  # for another hotel
    late: int = 0  # after their own deadlines
    calls: int = 0  # reads that boxes worked on

    def fair(self) -> bool:
        """Whether no rule was broken."""
        return not (self.lost or self.stale or self.wrong or self.late)


async def faults(count: int, seed: int, part: float = 0.05, join: str = JOIN) -> Checked:
    """Reads and writes of five tenants over a few hotels, at boxes that fail, cut, stall and answer 429.

    A box answers a read with the hotel's version as it was when work on it began; a write makes a new one.
    """
    rng, versions, found = random.Random(seed), Counter[str](), Checked()

    async def work(asked: Request) -> Response:
        hotel = asked.target.rpartition("/")[2]
        if asked.method == "POST":
            await asyncio.sleep(rng.random() * 0.01)
            versions[hotel] += 1
            return 200, b"%s %d" % (hotel.encode(), versions[hotel])
        found.calls += 1
        version, luck = versions[hotel], rng.random()
        await asyncio.sleep(0.005 + rng.random() * 0.03)
        if luck < part:
            return rng.choice((500, 503, 429)), b"no"
        if luck < 2 * part:
            await asyncio.sleep(5.0)  # stalls until it is given up
        return 200, b"%s %d" % (hotel.encode(), version)

    known: Counter[tuple[str, str]] = Counter()  # by tenant and hotel: the version of its last answered write

    async def body(world: World) -> None:
        numbers = iter(range(count))

        async def one(agency: str) -> None:
            caller = Caller("127.0.0.1", world.port)
            for _ in numbers:
                hotel, writes = f"h{rng.randrange(4)}", rng.random() < 0.05
                left = rng.choice((0.1, 0.5, 1.5))
                before = known[agency, hotel]
                what = asking(hotel, agency, "POST", body=b"x") if writes else asking(hotel, agency, left=left)
                outcome = await caller.ask(what, WITHIN)
                _check(found, outcome, hotel, before, left if not writes else WITHIN)
                if writes and outcome.status == 200:
                    known[agency, hotel] = max(known[agency, hotel], int(outcome.body.split()[1]))
                elif rng.random() < 0.02:
                    caller.close()
            caller.close()

        await asyncio.gather(*(one(AGENCIES[n % 5]) for n in range(40)))

    await within([Backend(f"b{n}", work) for n in range(3)], join, body)
    return found


def _check(found: Checked, outcome: Outcome, hotel: str, before: int, left: float) -> None:
    found.asked += 1
    found.statuses[outcome.status] += 1
    found.lost += not outcome.status
    found.late += outcome.seconds > left + 0.05  # the time that the loop of all these callers needs
    if outcome.status == 200:
        told, _, version = outcome.body.partition(b" ")
        found.wrong += told != hotel.encode()
        found.stale += int(version) < before


# ---- what a read costs ---------------------------------------------------------------------------


def cost(count: int) -> dict[str, list[float]]:
    """Microseconds of the daemon's CPU a read: on a plain route, on one that joins, and where all are alike."""
    rows: dict[str, list[float]] = {"plain route": [], "route that joins, no two alike": [], "all alike": []}
    with TemporaryDirectory() as name, standin("lugspur.standins.backend", "--size", "200") as box:
        files = {"plain": "", "joins": 'join = { within = "100ms" }\n'}
        folder = Path(name)
        processes = {key: daemon(folder, [box], _routed(more)) for key, more in files.items()}
        with processes["plain"] as plain, processes["joins"] as joins:
            ways: list[tuple[str, Process, Callable[[int], bytes]]] = [
                ("plain route", plain, lambda n: _joined(f"k{n}")),
                ("route that joins, no two alike", joins, lambda n: _joined(f"k{n}")),
                ("all alike", joins, lambda _: _joined("k")),
            ]
            for at in range(ROUNDS + 1):
                for row, process, make in ways:
                    spent = _spent(process, make, count)
                    if at:  # the first warms up
                        rows[row].append(spent)
    return rows


def _routed(more: str) -> str:
    return f'[routes.joined]\npath = "/joined/{{key}}"\npool = "main"\nclass = "read"\n{more}'


def _joined(key: str) -> bytes:
    return f"GET /joined/{key} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode()


def _spent(process: Process, make: Callable[[int], bytes], count: int) -> float:
    before = process.cpu()
    tally = asyncio.run(closed_loop(process.host, process.port, 16, count, make))
    if tally.statuses != {200: count}:
        raise SystemExit(f"not all were served: {tally.statuses}")
    return 1e6 * (process.cpu() - before) / count


# ---- reports -------------------------------------------------------------------------------------


def _report_burst(count: int) -> bool:
    print("| 200 reads at once | calls | served | after their deadline | median | last |\n|---|---|---|---|---|---|")
    good = True
    for name, join in (("joined", JOIN), ("each its own", "")):
        found = asyncio.run(burst(count, join))
        print(
            f"| {name} | {found.calls} | {found.tally.statuses.get(200, 0)} | {found.late} | "
            f"{1e3 * found.tally.quantile(0.5):.0f} ms | {1e3 * found.tally.quantile(1.0):.0f} ms |"
        )
        good = good and (not join or (found.late == 0 and found.tally.statuses == {200: count} and found.calls < 10))
    return good


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
    found = asyncio.run(faults(count, seed))
    print(f"seed {seed}: {found}")
    return found.fair()


def _report_cost(count: int) -> bool:
    rows = cost(count)
    base = statistics.median(rows["plain route"])
    for name, spent in rows.items():
        middle = statistics.median(spent)
        spread = f"{min(spent):.0f} to {max(spent):.0f}"
        print(f"{name}: {middle:.0f} us a read ({spread}), {middle / base:.2f} times the plain route")
    return True


def main() -> None:
    """One of the measurements; exits 1 where a rule broke."""
    parser = argparse.ArgumentParser(description="Measures of joining like reads.")
    parser.add_argument("what", choices=["burst", "busy", "faults", "cost"])
    parser.add_argument("--count", type=int, default=0, help="reads")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    begun = time.monotonic()
    reports: dict[str, Callable[[], bool]] = {
        "burst": lambda: _report_burst(given.count or 200),
        "busy": lambda: _report_busy(5.0),
        "faults": lambda: _report_faults(given.count or 10_000, given.seed),
        "cost": lambda: _report_cost(given.count or 3000),
    }
    good = reports[given.what]()
    print(f"({time.monotonic() - begun:.0f} s)")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
