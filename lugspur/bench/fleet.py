"""Runs a fleet of real processes behind a relay that drops packets, and checks who held the duty's lease when.

python -m lugspur.bench.fleet faults --rounds 100      # suspends, kills, partitions, packet loss by seed; exit 1 if
                                                       # the history has a violation
python -m lugspur.bench.fleet hands --rounds 300       # the duty is handed over this many times
python -m lugspur.bench.fleet views --processes 50     # cost of the membership views, and time to agree after faults
python -m lugspur.bench.fleet probing --processes 40   # failed dials to dead backends, with a shared prober and without
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

ADVERTISED, BOUND = 7946, 7947  # a member's port at the relay, which it advertises, and the port that it listens on
DUTY = "duty"
WITHIN = 30.0  # timeout in seconds of a wait on a loaded machine
# Additional seconds per process until all views must agree: 200 processes take a minute to start on eight cores.
TIMEOUT_PER_PROCESS = 0.3
POLL_DELAY_PER_PROCESS = 0.005  # additional seconds per process between two polls of all views
MAX_LOG_CHARACTERS = 3000  # characters of each log in the notes of a failure
SKEWED_CLOCK_PROGRAM = """
import sys, time
import lugspur.daemon.gossip.clock as clock
began = time.clock_gettime(time.CLOCK_BOOTTIME)
clock.now = lambda: began + {rate} * (time.clock_gettime(time.CLOCK_BOOTTIME) - began)
from lugspur.__main__ import main
sys.exit(main())
"""
SETTINGS_TEMPLATE = """[listeners.main]
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
    """One member of the fleet and its process."""

    number: int
    host: str
    management: int
    folder: Path
    rate: float = 1.0  # rate of its clock
    process: asyncio.subprocess.Process | None = None
    ended: list[float] = field(default_factory=list)  # times at which its processes were killed

    @property
    def name(self) -> str:
        """Return the member's name."""
        return f"m{self.number}"

    def signal(self, number: signal.Signals) -> None:
        """Send the member's process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def log(self) -> str:
        """Return the log of the member's processes."""
        path = self.folder / "log"
        return path.read_text() if path.exists() else ""


def now() -> float:
    """Return the time of the clock by which histories are checked."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Rig:
    """A fleet whose first members are the electors, and its relay; an async context manager."""

    def __init__(
        self,
        folder: Path,
        count: int,
        seed: int = 1,
        lease: float = 1.0,
        period: float = 0.2,
        electors: int = 3,
        persist_promises: bool = True,
        extra_settings: str = "",
    ) -> None:
        self.extra_settings = extra_settings  # text that is appended to each settings file
        self.lease, self.period, self.electors, self.persist_promises = lease, period, electors, persist_promises
        self.rng = Random(seed)
        self.loss = 0.0
        self.is_cut: Callable[[int, int], bool] = lambda origin, to: False
        # Addresses of the loopback range that depend on the process id keep fleets of different processes apart.
        pid = os.getpid()
        net = f"127.{64 + (pid >> 8) % 128}.{pid % 256}"
        self.members = []
        for number in range(count):
            member_folder = folder / f"m{number}"
            (member_folder / "promises").mkdir(parents=True)
            self.members.append(Member(number, f"{net}.{number + 1}", free_port(), member_folder))
        self._number_by_host = {member.host: member.number for member in self.members}
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
                fault.add_note(f"{member.name}:\n{member.log()[-MAX_LOG_CHARACTERS:]}")
        for member in self.members:
            if member.process is not None:
                with suppress(ProcessLookupError):
                    member.process.kill()
                await member.process.wait()
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock.fileno())
            sock.close()

    def _relay(self, sock: socket.socket, to: int) -> None:
        """Forward packets sent to a member's advertised port to the port that it listens on, unless cut or lost.

        A packet leaves from the advertised port of its sender, so that replies pass through the relay as well.
        """
        with suppress(BlockingIOError):
            while True:
                data, (host, _) = sock.recvfrom(2048)
                origin = self._number_by_host.get(host)
                if origin is None or self.is_cut(origin, to) or (self.loss and self.rng.random() < self.loss):
                    continue
                with suppress(OSError):
                    self._sockets[origin].sendto(data, (self.members[to].host, BOUND))

    # ---- processes ---------------------------------------------------------------------------------

    async def start(self, number: int) -> None:
        """Start a member's process, also after its end."""
        member = self.members[number]
        folder = 'folder = "promises"' if self.persist_promises and number < self.electors else ""
        file = member.folder / "file.toml"
        file.write_text(
            SETTINGS_TEMPLATE.format(
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
            + self.extra_settings
        )
        command = ["-m", "lugspur"] if member.rate == 1.0 else ["-c", SKEWED_CLOCK_PROGRAM.format(rate=member.rate)]
        with open(member.folder / "log", "ab") as log:
            member.process = await asyncio.create_subprocess_exec(
                sys.executable, *command, "run", str(file), stderr=log, stdout=log
            )

    def port(self, number: int) -> int:
        """Return the port of a member's listener."""
        return int(self.members[number].log().rpartition("listener main at 127.0.0.1:")[2].split()[0])

    async def kill(self, number: int) -> None:
        """Kill a member's process and wait for its end."""
        member = self.members[number]
        assert member.process is not None
        member.process.kill()
        await member.process.wait()
        member.ended.append(now())

    def suspend(self, number: int) -> None:
        """Suspend a member's process."""
        self.members[number].signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resume a member's process."""
        self.members[number].signal(signal.SIGCONT)

    # ---- observations ------------------------------------------------------------------------------

    async def call(self, number: int, method: str, path: str, body: str = "") -> tuple[int, dict[str, Any]]:
        """Call a member's management listener and return the status (0: no response) and the body."""

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
        """Return the members that report to hold the duty's lease now."""
        numbers = range(len(self.members)) if among is None else among
        found = await asyncio.gather(*(self.call(number, "POST", "/fleet/may", DUTY) for number in numbers))
        return [number for number, (status, _) in zip(numbers, found, strict=True) if status == 200]

    async def wait_for_holder(self, among: list[int] | None = None) -> int:
        """Wait until a member holds the duty's lease, and return it."""
        async with asyncio.timeout(WITHIN):
            while not (found := await self.holders(among)):
                await asyncio.sleep(0.02)
        return found[0]

    async def wait_until_agreed(self, among: list[int] | None = None) -> None:
        """Wait until the views of these members agree and contain these members only."""
        wanted = list(range(len(self.members))) if among is None else among
        async with asyncio.timeout(WITHIN + TIMEOUT_PER_PROCESS * len(wanted)):
            while True:
                found = await asyncio.gather(*(self.call(number, "GET", "/fleet/view") for number in wanted))
                views = {(reply.get("there"), reply.get("digest")) for _, reply in found}
                if len(views) == 1 and views.pop()[0] == len(wanted):
                    return
                # Polling must not slow down what is measured, because the relay runs in this process.
                await asyncio.sleep(0.05 + POLL_DELAY_PER_PROCESS * len(wanted))

    # ---- the checker -------------------------------------------------------------------------------

    def check(self) -> tuple[list[str], int]:
        """Return the violations in all histories, and how often the duty changed its holder."""
        spans: list[tuple[float, float, int, str]] = []
        for member in self.members:
            path = member.folder / "history"
            rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
            for at, row in enumerate(rows):
                until = row["at"] + row["left"] / member.rate
                after = rows[at + 1] if at + 1 < len(rows) else None
                if after is not None and after["life"] == row["life"]:
                    until = min(until, after["at"])  # renewed or released
                until = min([until, *(ended for ended in member.ended if ended >= row["at"])])
                if until > row["at"]:
                    spans.append((row["at"], until, row["epoch"], f"{member.name}/{row['life']}"))
        spans.sort()
        violations: list[str] = []
        hands, last = 0, ""
        last_spans: dict[str, tuple[float, int]] = {}
        for started_at, until, epoch, who in spans:
            for other, (ended, last_epoch) in last_spans.items():
                if other != who and started_at < ended:
                    violations.append(f"{other} until {ended:.3f} and {who} from {started_at:.3f}")
                if other != who and epoch <= last_epoch:
                    violations.append(f"{who} under epoch {epoch} after {other} under {last_epoch}")
            last_spans[who] = until, epoch
            hands += last not in ("", who)
            last = who
        return violations, hands


async def faults(rounds: int, seed: int, count: int, say: Callable[[str], None]) -> int:
    """Inject faults drawn by seed one after another, and return the number of violations."""
    with TemporaryDirectory() as folder:
        async with Rig(Path(folder), count, seed) as rig:
            rng = Random(f"faults {seed}")
            rig.members[0].rate, rig.members[1].rate = 1.05, 0.95
            vacancies: list[float] = []
            await rig.wait_until_agreed()
            for number in range(rounds):
                holder = await rig.wait_for_holder()
                await _inject_fault(rig, rng, holder if rng.random() < 0.6 else rng.randrange(count))
                started_at = now()
                await rig.wait_for_holder()
                vacancies.append(now() - started_at)
                if number % 20 == 19:
                    violations, hands = rig.check()
                    say(f"{number + 1} faults, {hands} times to another, {len(violations)} wrong")
            violations, hands = rig.check()
            vacancies.sort()
            say(
                f"{rounds} faults on {count} processes: {hands} times to another, {len(violations)} wrong; "
                f"after a fault somebody held it within {vacancies[len(vacancies) // 2]:.2f} s (median), "
                f"{vacancies[-1]:.2f} s (longest), "
                f"lease {rig.lease:g} s"
            )
            for line in violations[:10]:
                say(line)
            return len(violations)


async def views(count: int, seconds: float, say: Callable[[str], None]) -> None:
    """Measure what the views of this many processes cost and how soon they agree."""
    with TemporaryDirectory() as folder:
        rig = Rig(Path(folder), count, lease=10.0, period=1.0)
        started_at = now()
        async with rig:
            await rig.wait_until_agreed()
            joined = now() - started_at
            await asyncio.sleep(10.0)
            usages = [Usage(member.process.pid) for member in rig.members if member.process is not None]
            cpu, sent = [usage.cpu() for usage in usages], await _bytes_sent(rig)
            await asyncio.sleep(seconds)
            cpu_used = sorted(usage.cpu() - before for usage, before in zip(usages, cpu, strict=True))
            size = (await _bytes_sent(rig) - sent) / count / seconds
            memory = max(usage.memory() for usage in usages)
            await rig.kill(count - 1)
            rig.members[-1].process = None
            left = list(range(count - 1))
            started_at = now()
            await rig.wait_until_agreed(left)
            killed = now() - started_at
            side = set(left[: len(left) // 2])
            rig.is_cut = lambda a, b: (a in side) != (b in side)
            await asyncio.sleep(30.0)
            rig.is_cut = lambda origin, to: False
            started_at = now()
            await rig.wait_until_agreed(left)
            say(
                f"| {count} | {joined:.1f} | {killed:.1f} | {now() - started_at:.1f} | {size:.0f} | "
                f"{1e3 * cpu_used[count // 2] / seconds:.1f} | {1e3 * cpu_used[-1] / seconds:.1f} | {memory:.0f} |"
            )


async def _bytes_sent(rig: Rig) -> int:
    """Return the bytes that all members have sent."""
    found = await asyncio.gather(*(rig.call(member.number, "GET", "/fleet/view") for member in rig.members))
    return sum(reply["bytes"] for _, reply in found)


async def hands(rounds: int, say: Callable[[str], None]) -> int:
    """Hand the duty over by draining its holder this many times, and return the number of violations."""
    with TemporaryDirectory() as folder:
        async with Rig(Path(folder), 5, lease=5.0) as rig:
            await rig.wait_until_agreed()
            handover_seconds: list[float] = []
            for _ in range(rounds):
                holder = await rig.wait_for_holder()
                started_at = now()
                await rig.call(holder, "POST", "/drain")
                await rig.wait_for_holder([number for number in range(5) if number != holder])
                handover_seconds.append(now() - started_at)
                await rig.call(holder, "POST", "/undrain")
            violations, count = rig.check()
            handover_seconds.sort()
            say(
                f"{rounds} times handed on among 5 processes, {count} times to another, {len(violations)} wrong: "
                f"{1e3 * handover_seconds[rounds // 2]:.0f} ms (median), "
                f"{1e3 * handover_seconds[int(0.99 * rounds)]:.0f} ms (99%), "
                f"{1e3 * handover_seconds[-1]:.0f} ms (longest), with the calls that ask; lease {rig.lease:g} s"
            )
            return len(violations)


PROBED_SETTINGS = """
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
# Backends per process, the share of them that is killed, and the seconds that a backend works on a request.
BACKENDS_PER_PROCESS, KILLED_SHARE, WORK = 1.5, 0.1, 0.03
# Average seconds between a caller's requests, seconds of load before backends are killed, and seconds measured after.
REQUEST_INTERVAL, WARM_UP_SECONDS, MEASURED_SECONDS = 0.2, 5.0, 8.0


async def probing(count: int, lease: float, say: Callable[[str], None]) -> None:
    """Count failed dials after a tenth of the backends was killed.

    With a lease of an hour no member acquires the lease, so that each member finds dead backends by itself.
    """

    async def work(_: Request) -> Response:
        await asyncio.sleep(WORK)
        return 200, b"done"

    backends = [Backend(f"b{number}", work) for number in range(round(BACKENDS_PER_PROCESS * count))]
    for backend in backends:
        await backend.listen()
    members = ", ".join(f'{{ name = "{backend.name}", address = "{backend.address}" }}' for backend in backends)
    sent = served = phase = 0
    finished = False

    async def caller(port: int) -> None:
        nonlocal sent, served
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while not finished:
            await asyncio.sleep(2.0 * REQUEST_INTERVAL * rng.random())
            sent, request_phase = sent + 1, phase
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            served += request_phase == phase and b" 200 " in head.split(b"\r\n")[0]
            length = next(int(line[15:]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length"))
            await reader.readexactly(length)
        writer.close()

    async def failed_dials(rig: Rig) -> int:
        found = await asyncio.gather(*(rig.call(member.number, "GET", "/fleet/duties") for member in rig.members))
        return sum(reply["vain"] for _, reply in found)

    rng = Random(1)
    with TemporaryDirectory() as folder:
        async with Rig(
            Path(folder), count, lease=lease, period=1.0, extra_settings=PROBED_SETTINGS.format(members=members)
        ) as rig:
            await rig.wait_until_agreed()
            callers = [asyncio.create_task(caller(rig.port(member.number))) for member in rig.members]
            await asyncio.sleep(WARM_UP_SECONDS)
            before, sent, served, phase = await failed_dials(rig), 0, 0, 1
            for backend in rng.sample(backends, round(KILLED_SHARE * len(backends))):
                backend.kill()
            await asyncio.sleep(MEASURED_SECONDS)
            dials = await failed_dials(rig) - before
            finished = True
            await asyncio.gather(*callers)
            say(
                f"| {count} | {len(backends)} | {'by one for all' if lease < MEASURED_SECONDS else 'each by itself'} | "
                f"{sent} | "
                f"{served / sent:.2%} | {dials} ({dials / sent:.2%}) |"
            )


async def _inject_fault(rig: Rig, rng: Random, at: int) -> None:
    kind = rng.choice(["stop", "kill", "cut", "mute", "deaf", "lossy", "restart"])
    if kind == "stop":
        rig.suspend(at)
        await asyncio.sleep(rng.choice([0.3, 1.0, 2.0]) * rig.lease)
        rig.resume(at)
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
        rig.is_cut = {
            "cut": lambda a, b: (a in side) != (b in side),
            "mute": lambda a, b: a == at,
            "deaf": lambda a, b: b == at,
        }[kind]
        await asyncio.sleep(2.0 * rig.lease * rng.random())
        rig.is_cut = lambda origin, to: False


def main() -> None:
    """Run one of the measurements."""
    parser = argparse.ArgumentParser(description="Inject faults into a fleet of processes and measure it.")
    parser.add_argument("what", choices=["faults", "hands", "views", "probing"])
    parser.add_argument("--rounds", type=int, default=100, help="rounds of faults and hands")
    parser.add_argument("--seed", type=int, default=1, help="seed of faults")
    parser.add_argument("--processes", type=int, default=5, help="processes of faults, views and probing")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="seconds without faults in which views are measured"
    )
    arguments = parser.parse_args()
    if arguments.what == "views":
        print("| processes | all joined s | one killed s | two halves s | bytes/s | CPU ms/s, median | longest | MiB |")
        print("|---|---|---|---|---|---|---|---|")
        asyncio.run(views(arguments.processes, arguments.seconds, print))
        return
    if arguments.what == "probing":
        print("| processes | boxes | dead ones are found | requests | served | dials in vain |")
        print("|---|---|---|---|---|---|")
        for lease in (3600.0, 2.0):
            asyncio.run(probing(arguments.processes, lease, print))
        return
    if arguments.what == "hands":
        sys.exit(1 if asyncio.run(hands(arguments.rounds, print)) else 0)
    violations = asyncio.run(
        faults(arguments.rounds, arguments.seed, arguments.processes, lambda line: print(line, flush=True))
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
