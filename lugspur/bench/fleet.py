"""A fleet of real processes, each link through a relay that loses and cuts, and a checker of what they held.

python -m lugspur.bench.fleet faults --rounds 100      # stops, kills, cuts, losses by seed; exit 1 if two held it
python -m lugspur.bench.fleet hands --rounds 300       # a duty is handed on so often
python -m lugspur.bench.fleet views --processes 50     # what views cost, and how soon they agree after faults
python -m lugspur.bench.fleet probing --processes 40   # dials to boxes that are gone, with a prober and without
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from lugspur.bench.processes import Usage
from lugspur.bench.sockets import free_port
from lugspur.standins.backend import Backend, Request, Response

ADVERTISED, BOUND = 7946, 7947  # ports: where others reach a member, through the relay, and where it really is
DUTY = "duty"
WITHIN = 30.0  # seconds that anything may take on a loaded machine...
EACH_WITHIN = 0.3  # ...and more for each process: 200 take a minute to start on eight cores
EACH_LOOK = 0.005  # seconds between two looks at all of them, for each
SAID_MOST = 3000  # characters of each log in a failure
SKEWED = """
import sys, time
import lugspur.daemon.gossip.clock as clock
began = time.clock_gettime(time.CLOCK_BOOTTIME)
clock.now = lambda: began + {rate} * (time.clock_gettime(time.CLOCK_BOOTTIME) - began)
from lugspur.__main__ import main
sys.exit(main())
"""
FILE = """[listeners.main]
address = "127.0.0.1:0"
[management]
address = "127.0.0.1:{management}"
[fleet]
name = "rig"
member = "{name}"
address = "{host}:{bound}"
advertise = "{host}:{advertised}"
seeds = [{seeds}]
period = "{period}s"
electors = [{electors}]
lease = "{lease}s"
duties = ["{duty}"]
history = "history"
{folder}
"""


@dataclass(slots=True)
class Member:
    """One place in the fleet, and the process that has it."""

    number: int
    host: str
    management: int
    folder: Path
    rate: float = 1.0  # of its clock
    process: asyncio.subprocess.Process | None = None
    ended: list[float] = field(default_factory=list)  # when processes of it were killed

    @property
    def name(self) -> str:
        """What it is called."""
        return f"m{self.number}"

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def log(self) -> str:
        """What its processes have said."""
        path = self.folder / "log"
        return path.read_text() if path.exists() else ""


def now() -> float:
    """The one clock by which histories are judged."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Rig:
    """So many members, the first of them electors. Use as an async context manager."""

    def __init__(
        self,
        folder: Path,
        count: int,
        seed: int = 1,
        lease: float = 1.0,
        period: float = 0.2,
        electors: int = 3,
        memory: bool = True,
        more: str = "",
    ) -> None:
        self.more = more  # text of all files
        self.lease, self.period, self.electors, self.memory = lease, period, electors, memory
        self.rng = Random(seed)
        self.loss = 0.0
        self.cut: Callable[[int, int], bool] = lambda origin, to: False
        # A part of the loopback range that is this process's own: nobody else's tests meet it.
        pid = os.getpid()
        net = f"127.{64 + (pid >> 8) % 128}.{pid % 256}"
        self.members = []
        for number in range(count):
            own = folder / f"m{number}"
            (own / "promises").mkdir(parents=True)
            self.members.append(Member(number, f"{net}.{number + 1}", free_port(), own))
        self._numbers = {member.host: member.number for member in self.members}
        self._sockets: list[socket.socket] = []

    async def __aenter__(self) -> Rig:
        loop = asyncio.get_running_loop()
        for member in self.members:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((member.host, ADVERTISED))
            loop.add_reader(sock.fileno(), self._relay, sock, member.number)
            self._sockets.append(sock)
        for member in self.members:
            await self.start(member.number)
        return self

    async def __aexit__(self, kind: object, fault: BaseException | None, trace: object) -> None:
        if fault is not None:
            for member in self.members[:8]:
                fault.add_note(f"{member.name}:\n{member.log()[-SAID_MOST:]}")
        for member in self.members:
            if member.process is not None:
                with suppress(ProcessLookupError):
                    member.process.kill()
                await member.process.wait()
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()

    def _relay(self, sock: socket.socket, to: int) -> None:
        """A member sends from where it is to where another is told to be, and is answered where it is told to be."""
        with suppress(BlockingIOError):
            while True:
                data, (host, _) = sock.recvfrom(2048)
                origin = self._numbers.get(host)
                if origin is None or self.cut(origin, to) or (self.loss and self.rng.random() < self.loss):
                    continue
                with suppress(OSError):
                    self._sockets[origin].sendto(data, (self.members[to].host, BOUND))

    # ---- processes ---------------------------------------------------------------------------------

    async def start(self, number: int) -> None:
        """Begin a member's process, or begin it anew."""
        member = self.members[number]
        folder = 'folder = "promises"' if self.memory and number < self.electors else ""
        file = member.folder / "file.toml"
        file.write_text(
            FILE.format(
                management=member.management,
                name=member.name,
                host=member.host,
                bound=BOUND,
                advertised=ADVERTISED,
                seeds=", ".join(f'"{one.host}:{ADVERTISED}"' for one in self.members[:3]),
                period=self.period,
                electors=", ".join(f'"{one.name}"' for one in self.members[: self.electors]),
                lease=self.lease,
                duty=DUTY,
                folder=folder,
            )
            + self.more
        )
        command = ["-m", "lugspur"] if member.rate == 1.0 else ["-c", SKEWED.format(rate=member.rate)]
        with open(member.folder / "log", "ab") as log:
            member.process = await asyncio.create_subprocess_exec(
                sys.executable, *command, "run", str(file), stderr=log, stdout=log
            )

    def port(self, number: int) -> int:
        """Where a member's callers connect."""
        return int(self.members[number].log().rpartition("listener main at 127.0.0.1:")[2].split()[0])

    async def kill(self, number: int) -> None:
        """A member's process dies."""
        member = self.members[number]
        assert member.process is not None
        member.process.kill()
        await member.process.wait()
        member.ended.append(now())

    def stop(self, number: int) -> None:
        """It stands still."""
        self.members[number].signal(signal.SIGSTOP)

    def wake(self, number: int) -> None:
        """It goes on."""
        self.members[number].signal(signal.SIGCONT)

    # ---- what is seen ------------------------------------------------------------------------------

    async def call(self, number: int, method: str, path: str, body: str = "") -> tuple[int, dict[str, Any]]:
        """One call of the second address; status 0 where nobody answers."""

        def ask() -> tuple[int, dict[str, Any]]:
            connection = http.client.HTTPConnection("127.0.0.1", self.members[number].management, timeout=2.0)
            try:
                connection.request(method, path, body.encode() or None)
                answer = connection.getresponse()
                text = answer.read().decode()
                return answer.status, json.loads(text) if text.startswith("{") else {}
            except (OSError, http.client.HTTPException):
                return 0, {}
            finally:
                connection.close()

        return await asyncio.to_thread(ask)

    async def holders(self, among: list[int] | None = None) -> list[int]:
        """Who says that it may act now."""
        asked = range(len(self.members)) if among is None else among
        found = await asyncio.gather(*(self.call(number, "POST", "/fleet/may", DUTY) for number in asked))
        return [number for number, (status, _) in zip(asked, found, strict=True) if status == 200]

    async def holder(self, among: list[int] | None = None) -> int:
        """Who holds the duty, once somebody does."""
        async with asyncio.timeout(WITHIN):
            while not (found := await self.holders(among)):
                await asyncio.sleep(0.02)
        return found[0]

    async def agree(self, among: list[int] | None = None) -> None:
        """Wait until these members see each other and nobody else."""
        wanted = list(range(len(self.members))) if among is None else among
        async with asyncio.timeout(WITHIN + EACH_WITHIN * len(wanted)):
            while True:
                found = await asyncio.gather(*(self.call(number, "GET", "/fleet/view") for number in wanted))
                views = {(told.get("there"), told.get("digest")) for _, told in found}
                if len(views) == 1 and views.pop()[0] == len(wanted):
                    return
                # Guards the measured against the measuring: the relay is in this process.
                await asyncio.sleep(0.05 + EACH_LOOK * len(wanted))

    # ---- the checker -------------------------------------------------------------------------------

    def check(self) -> tuple[list[str], int]:
        """What must not have been, by all histories; and how often a duty changed hands."""
        spans: list[tuple[float, float, int, str]] = []
        for member in self.members:
            path = member.folder / "history"
            rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
            for at, row in enumerate(rows):
                until = row["at"] + row["left"] / member.rate
                after = rows[at + 1] if at + 1 < len(rows) else None
                if after is not None and after["life"] == row["life"]:
                    until = min(until, after["at"])  # renewed, or given back
                until = min([until, *(ended for ended in member.ended if ended >= row["at"])])
                if until > row["at"]:
                    spans.append((row["at"], until, row["epoch"], f"{member.name}/{row['life']}"))
        spans.sort()
        wrong: list[str] = []
        hands, last = 0, ""
        latest: dict[str, tuple[float, int]] = {}
        for began, until, epoch, who in spans:
            for other, (ended, under) in latest.items():
                if other != who and began < ended:
                    wrong.append(f"{other} until {ended:.3f} and {who} from {began:.3f}")
                if other != who and epoch <= under:
                    wrong.append(f"{who} under epoch {epoch} after {other} under {under}")
            latest[who] = until, epoch
            hands += last not in ("", who)
            last = who
        return wrong, hands


async def faults(rounds: int, seed: int, count: int, say: Callable[[str], None]) -> int:
    """So many faults drawn by seed, one after another; how many things were wrong."""
    with TemporaryDirectory() as folder:
        async with Rig(Path(folder), count, seed) as rig:
            rng = Random(f"faults {seed}")
            rig.members[0].rate, rig.members[1].rate = 1.05, 0.95
            vacant: list[float] = []
            await rig.agree()
            for number in range(rounds):
                holder = await rig.holder()
                await _fault(rig, rng, holder if rng.random() < 0.6 else rng.randrange(count))
                began = now()
                await rig.holder()
                vacant.append(now() - began)
                if number % 20 == 19:
                    wrong, hands = rig.check()
                    say(f"{number + 1} faults, {hands} times to another, {len(wrong)} wrong")
            wrong, hands = rig.check()
            vacant.sort()
            say(
                f"{rounds} faults on {count} processes: {hands} times to another, {len(wrong)} wrong; after a fault "
                f"somebody held it within {vacant[len(vacant) // 2]:.2f} s (median), {vacant[-1]:.2f} s (longest), "
                f"lease {rig.lease:g} s"
            )
            for line in wrong[:10]:
                say(line)
            return len(wrong)


async def views(count: int, seconds: float, say: Callable[[str], None]) -> None:
    """What the views of so many processes cost, and how soon they agree."""
    with TemporaryDirectory() as folder:
        rig = Rig(Path(folder), count, lease=10.0, period=1.0)
        began = now()
        async with rig:
            await rig.agree()
            joined = now() - began
            await asyncio.sleep(10.0)
            usages = [Usage(member.process.pid) for member in rig.members if member.process is not None]
            cpu, sent = [usage.cpu() for usage in usages], await _sent(rig)
            await asyncio.sleep(seconds)
            used = sorted(usage.cpu() - before for usage, before in zip(usages, cpu, strict=True))
            size = (await _sent(rig) - sent) / count / seconds
            memory = max(usage.memory() for usage in usages)
            await rig.kill(count - 1)
            rig.members[-1].process = None
            left = list(range(count - 1))
            began = now()
            await rig.agree(left)
            killed = now() - began
            side = set(left[: len(left) // 2])
            rig.cut = lambda a, b: (a in side) != (b in side)
            await asyncio.sleep(30.0)
            rig.cut = lambda origin, to: False
            began = now()
            await rig.agree(left)
            say(
                f"| {count} | {joined:.1f} | {killed:.1f} | {now() - began:.1f} | {size:.0f} | "
                f"{1e3 * used[count // 2] / seconds:.1f} | {1e3 * used[-1] / seconds:.1f} | {memory:.0f} |"
            )


async def _sent(rig: Rig) -> int:
    """Bytes that all members have sent."""
    found = await asyncio.gather(*(rig.call(member.number, "GET", "/fleet/view") for member in rig.members))
    return sum(told["bytes"] for _, told in found)


async def hands(rounds: int, say: Callable[[str], None]) -> int:
    """Hand a duty on so often, by drains; how many things were wrong."""
    with TemporaryDirectory() as folder:
        async with Rig(Path(folder), 5, lease=5.0) as rig:
            await rig.agree()
            took: list[float] = []
            for _ in range(rounds):
                holder = await rig.holder()
                began = now()
                await rig.call(holder, "POST", "/drain")
                await rig.holder([number for number in range(5) if number != holder])
                took.append(now() - began)
                await rig.call(holder, "POST", "/undrain")
            wrong, count = rig.check()
            took.sort()
            say(
                f"{rounds} times handed on among 5 processes, {count} times to another, {len(wrong)} wrong: "
                f"{1e3 * took[rounds // 2]:.0f} ms (median), {1e3 * took[int(0.99 * rounds)]:.0f} ms (99%), "
                f"{1e3 * took[-1]:.0f} ms (longest), with the calls that ask; lease {rig.lease:g} s"
            )
            return len(wrong)


PROBED = """
[classes.read]
repeat = "safe"
[pools.main]
members = [{members}]
check = {{ every = "1s" }}
[routes.all]
path = "/*"
pool = "main"
class = "read"
"""
BOXES_EACH, GONE, WORK = 1.5, 0.1, 0.03  # boxes for each process; the part that goes; seconds of work of a request
BETWEEN, WARM, AFTER = 0.2, 5.0, 8.0  # seconds between a caller's requests; before boxes go; and after


async def probing(count: int, lease: float, say: Callable[[str], None]) -> None:
    """Dials in vain with a tenth of the boxes gone; with a lease of an hour nobody comes into office."""

    async def work(_: Request) -> Response:
        await asyncio.sleep(WORK)
        return 200, b"done"

    boxes = [Backend(f"b{number}", work) for number in range(round(BOXES_EACH * count))]
    for box in boxes:
        await box.listen()
    members = ", ".join(f'{{ name = "{box.name}", address = "{box.address}" }}' for box in boxes)
    asked = served = day = 0
    over = False

    async def caller(port: int) -> None:
        nonlocal asked, served
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while not over:
            await asyncio.sleep(2.0 * BETWEEN * rng.random())
            asked, mine = asked + 1, day
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            served += mine == day and b" 200 " in head.split(b"\r\n")[0]
            length = next(int(line[15:]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length"))
            await reader.readexactly(length)
        writer.close()

    async def vain(rig: Rig) -> int:
        found = await asyncio.gather(*(rig.call(member.number, "GET", "/fleet/duties") for member in rig.members))
        return sum(told["vain"] for _, told in found)

    rng = Random(1)
    with TemporaryDirectory() as folder:
        async with Rig(Path(folder), count, lease=lease, period=1.0, more=PROBED.format(members=members)) as rig:
            await rig.agree()
            callers = [asyncio.create_task(caller(rig.port(member.number))) for member in rig.members]
            await asyncio.sleep(WARM)
            before, asked, served, day = await vain(rig), 0, 0, 1
            for box in rng.sample(boxes, round(GONE * len(boxes))):
                box.kill()
            await asyncio.sleep(AFTER)
            dials = await vain(rig) - before
            over = True
            await asyncio.gather(*callers)
            say(
                f"| {count} | {len(boxes)} | {'by one for all' if lease < AFTER else 'each by itself'} | {asked} | "
                f"{served / asked:.2%} | {dials} ({dials / asked:.2%}) |"
            )


async def _fault(rig: Rig, rng: Random, at: int) -> None:
    kind = rng.choice(["stop", "kill", "cut", "mute", "deaf", "lossy", "restart"])
    if kind == "stop":
        rig.stop(at)
        await asyncio.sleep(rng.choice([0.3, 1.0, 2.0]) * rig.lease)
        rig.wake(at)
    elif kind == "kill":
        await rig.kill(at)
        await rig.start(at)
    elif kind == "restart":
        for elector in range(rig.electors):
            await rig.kill(elector)
        for elector in range(rig.electors):
            await rig.start(elector)
    elif kind == "lossy":
        rig.loss = 0.33
        await asyncio.sleep(2.0 * rig.lease)
        rig.loss = 0.0
    else:
        side = set(rng.sample(range(len(rig.members)), rng.randrange(1, len(rig.members))))
        rig.cut = {
            "cut": lambda a, b: (a in side) != (b in side),
            "mute": lambda a, b: a == at,
            "deaf": lambda a, b: b == at,
        }[kind]
        await asyncio.sleep(2.0 * rig.lease * rng.random())
        rig.cut = lambda origin, to: False


def main() -> None:
    """Play faults."""
    parser = argparse.ArgumentParser(description="Faults between processes of one fleet.")
    parser.add_argument("what", choices=["faults", "hands", "views", "probing"])
    parser.add_argument("--rounds", type=int, default=100, help="of faults and hands")
    parser.add_argument("--seed", type=int, default=1, help="of faults")
    parser.add_argument("--processes", type=int, default=5, help="of faults and views")
    parser.add_argument("--seconds", type=float, default=20.0, help="of calm, for views")
    given = parser.parse_args()
    if given.what == "views":
        print("| processes | all joined s | one killed s | two halves s | bytes/s | CPU ms/s, median | longest | MiB |")
        print("|---|---|---|---|---|---|---|---|")
        asyncio.run(views(given.processes, given.seconds, print))
        return
    if given.what == "probing":
        print("| processes | boxes | dead ones are found | requests | served | dials in vain |")
        print("|---|---|---|---|---|---|")
        for lease in (3600.0, 2.0):
            asyncio.run(probing(given.processes, lease, print))
        return
    if given.what == "hands":
        sys.exit(1 if asyncio.run(hands(given.rounds, print)) else 0)
    wrong = asyncio.run(faults(given.rounds, given.seed, given.processes, lambda line: print(line, flush=True)))
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
