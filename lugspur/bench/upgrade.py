"""A mesh of two builds: each process of a former build is replaced by the present one under load, and the reverse.

    python -m lugspur.bench.upgrade --from 6c859c6

The former build is taken out of the history of this repository. A mesh of control nodes and proxies starts with one
build; its processes are replaced one after another, with their data directories kept, by processes of the other build,
while operators change the configuration and clients send requests and keyed operations. At the end all control nodes
are killed and started again, so that what they answer comes from their disks. Exit status 1 where an acknowledged
change cannot be read back, a keyed operation ran twice, requests were not served, a process ended by itself, or a log
holds a message that could not be decoded or a traceback; 2 where the former build cannot be had.
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import re
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Coroutine, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

from lugspur.bench.faults.checker import check
from lugspur.bench.faults.clients import Clients
from lugspur.bench.faults.cluster import SERVICES, Cluster
from lugspur.bench.faults.history import History
from lugspur.bench.faults.injector import Injector
from lugspur.bench.faults.operator import Console, Operators
from lugspur.bench.faults.plan import Fault, Kind
from lugspur.bench.mesh import ROOT
from lugspur.bench.revisions import RevisionError, extract_build
from lugspur.bench.soak.verdict import Verdict

CONTROL_NODES = 3
TOLERATED_MACHINES = 1
GRACE_SECONDS = 2.0  # for which a process may finish its requests after SIGTERM, by its settings
USEFUL_WITHIN_SECONDS = 20.0  # from the start of a replacement, on a loaded machine too
POLL_SECONDS = 0.1
ALL_DOWN_SECONDS = 0.5
DIRECTORY_CHECK_SECONDS = 30.0  # for one run of `replica check`
UNDECODABLE_FINDING = "message or disk that could not be decoded"
# What a process writes where a message of a peer, or what lies on its disk, is not of a form that it knows.
UNDECODABLE = re.compile(r"event=(?:frame|set-aside)\b.*|.*\b(?:DecodeError|ValidationError)\b.*")


class Direction(enum.Enum):
    """Which build the mesh starts with, and which one replaces it."""

    UPGRADE = "former to present"
    DOWNGRADE = "present to former"


@dataclass(slots=True, frozen=True, kw_only=True)
class Builds:
    """The directories that the two builds run from."""

    former: Path
    present: Path = ROOT

    def of(self, direction: Direction) -> tuple[Path, Path]:
        """Return the build that the mesh starts with, and the one that replaces it."""
        if direction is Direction.UPGRADE:
            return self.former, self.present
        return self.present, self.former


@dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """How one direction is played."""

    seed: int = 1
    pause_seconds: float = 2.0  # for which the mesh works with both builds after each replacement


@dataclass(slots=True)
class Replacement:
    """One process that was replaced."""

    ip: str
    useful_at: float  # by the loop's clock
    seconds: float  # from its SIGTERM until the new process was useful


@dataclass(slots=True)
class Outcome:
    """What one direction brought; nothing in `verdict.findings` means that it passed."""

    direction: Direction
    verdict: Verdict = field(default_factory=Verdict)
    history: History = field(default_factory=History)
    replacements: list[Replacement] = field(default_factory=list)


class TwoBuildCluster(Cluster):
    """A cluster in which each process runs from the directory of one of two builds.

    One service has two backends: what may not run twice could go to the other one.
    """

    proxy_services = (SERVICES[0], *SERVICES)

    def __init__(self, directory: Path, root: Path) -> None:
        """`root`: the directory of the build that all processes start with."""
        super().__init__(directory, CONTROL_NODES, TOLERATED_MACHINES)
        everyone = [*self.control, *self.proxy_ips]
        self.roots = dict.fromkeys(everyone, root)

    def root(self, ip: str) -> Path:
        return self.roots[ip]

    def tables(self, ip: str) -> dict[str, dict[str, Any]]:
        tables = super().tables(ip)
        tables["tariffs.bounds"]["grace_s"] = GRACE_SECONDS
        return tables


class Upgrade:
    """Plays one direction over one mesh."""

    def __init__(self, directory: Path, builds: Builds, direction: Direction, plan: Plan) -> None:
        """`directory` gets the settings, data directories and logs of all processes."""
        self.directory, self.builds, self.plan = directory, builds, plan
        first, self._next_root = builds.of(direction)
        self.outcome = Outcome(direction)
        self.cluster = TwoBuildCluster(directory, first)
        history = self.outcome.history
        self.console = Console(self.cluster, history)
        self.operators = Operators(self.console, Random(f"operators-{plan.seed}"))
        self.clients = Clients(self.cluster, history, Random(f"clients-{plan.seed}"))
        self._injector = Injector(self.cluster, self.operators, history, Random(f"restart-{plan.seed}"))
        self._loop = asyncio.get_running_loop()

    async def play(self) -> Outcome:
        """Replace every process once and return what was found."""
        try:
            await self.cluster.begin()
            await self._replace_all_under_load()
            self._find_processes_that_ended()
        finally:
            await self.cluster.close()
        self._judge()
        await self._check_data_directories()
        return self.outcome

    async def _replace_all_under_load(self) -> None:
        """Replace one process after another, and restart all control nodes at the end, with changes and requests."""
        changes: list[Awaitable[None]] = [self.operators.work("north"), self.operators.read_on()]
        requests = [self.clients.book_on(), self.clients.mail_on()]
        requests += [self.clients.look_on(ip) for ip in self.cluster.proxy_ips]
        changing = [asyncio.ensure_future(one) for one in changes]
        asking = [asyncio.ensure_future(one) for one in requests]
        order = [*self.cluster.control, *self.cluster.proxy_ips]
        Random(f"order-{self.plan.seed}").shuffle(order)
        try:
            for ip in order:
                await asyncio.sleep(self.plan.pause_seconds)
                await self._replace(ip)
            await asyncio.sleep(self.plan.pause_seconds)
            await self._injector.inject(Fault(Kind.KILL_ALL, ALL_DOWN_SECONDS))
        finally:
            for task in changing:
                task.cancel()
        await self.operators.settle()
        for ip in self.cluster.control:
            await self._read_back(ip)
        for task in asking:
            task.cancel()
        await self.clients.settle()
        for ended in await asyncio.gather(*changing, *asking, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended

    async def _replace(self, ip: str) -> None:
        """End one process, start one of the other build in its place and wait until that is useful."""
        began = self._loop.time()
        process = self.cluster.processes[ip]
        await self.cluster.terminate(ip)
        if process.returncode != 0:
            self.outcome.verdict.add("process that did not end well", f"{ip}, status {process.returncode}")
        self.cluster.roots[ip] = self._next_root
        self.cluster.start(ip)
        useful = self._control_is_useful if ip in self.cluster.control else self._proxy_is_useful
        while not await useful(ip):
            if self._loop.time() - began > USEFUL_WITHIN_SECONDS:
                self.outcome.verdict.add("not useful once replaced", ip)
                break
            await asyncio.sleep(POLL_SECONDS)
        now = self._loop.time()
        self.outcome.replacements.append(Replacement(ip, now, now - began))

    async def _control_is_useful(self, ip: str) -> bool:
        """Whether a control node has caught up and confirms a change."""
        confirmed = (await self.console.send(self.operators.fresh("replaced"), ip)).confirmed
        return confirmed and (await self.cluster.status(ip)).get("complete") is True

    async def _proxy_is_useful(self, ip: str) -> bool:
        """Whether a proxy has served a request of the clients since its process was started."""
        began = self._loop.time()
        await asyncio.sleep(POLL_SECONDS)
        calls = self.outcome.history.calls
        return any(call.sidecar == ip and call.status == 200 and call.began >= began - POLL_SECONDS for call in calls)

    async def _read_back(self, ip: str) -> None:
        """Read the whole configuration at a control node, until it answers; the history judges what it holds."""
        began = self._loop.time()
        while (await self.console.read(ip)).status != 200:
            if self._loop.time() - began > USEFUL_WITHIN_SECONDS:
                self.outcome.verdict.add("configuration not readable at the end", ip)
                return
            await asyncio.sleep(POLL_SECONDS)

    # ---- what is found -----------------------------------------------------------------------------

    def _find_processes_that_ended(self) -> None:
        for ip, process in self.cluster.processes.items():
            if process.poll() is not None:
                self.outcome.verdict.add("process that ended by itself", f"{ip}, status {process.returncode}")

    def _judge(self) -> None:
        """Judge the history and the logs."""
        verdict, history = self.outcome.verdict, self.outcome.history
        for violation in check(history, self.cluster.bounds):
            verdict.add(violation.rule.value, f"{violation.subject} {violation.detail} {violation.where}")
        verdict.read_logs(self.directory)
        for path in sorted(self.directory.glob("*.log")):
            told = Counter(UNDECODABLE.findall(path.read_text(errors="replace")))
            for line, times in told.items():
                verdict.add(UNDECODABLE_FINDING, f"at {path.stem}, {times} times: {line}")
        self._count()
        for what, count in verdict.done.items():
            if count == 0:
                verdict.add("nothing was done", what)

    def _count(self) -> None:
        """Count what was done; `while mixed`: between the first and the last replacement."""
        history, replacements = self.outcome.history, self.outcome.replacements
        since, until = replacements[0].useful_at, replacements[-1].useful_at
        served = [call for call in history.calls if call.status == 200]
        done = self.outcome.verdict.done
        done["changes confirmed"] = len({sent.order.ident for sent in history.tries if sent.confirmed})
        done["changes confirmed while mixed"] = len(
            {sent.order.ident for sent in history.tries if sent.confirmed and since <= sent.began <= until}
        )
        done["keyed operations served"] = len({call.key for call in served if call.key})
        done["keyed operations served while mixed"] = len(
            {call.key for call in served if call.key and since <= call.began <= until}
        )
        done["requests served"] = len(served)
        for replaced in replacements:
            if replaced.ip in self.cluster.proxy_ips:
                after = [call for call in served if call.sidecar == replaced.ip and call.began >= replaced.useful_at]
                done[f"requests served by {replaced.ip} once replaced"] = len(after)

    async def _check_data_directories(self) -> None:
        """Have both builds read the data directory of every control node."""
        for root in (self.builds.former, self.builds.present):
            for ip in self.cluster.control:
                command = ["-m", "lugspur.mesh", "replica", "check", str(self.directory / ip)]
                ended = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, *command],
                    cwd=root,
                    capture_output=True,
                    check=False,
                    timeout=DIRECTORY_CHECK_SECONDS,
                )
                if ended.returncode != 0:
                    told = (ended.stdout + ended.stderr).decode(errors="replace").strip()
                    self.outcome.verdict.add("data directory that a build cannot read", f"{ip}: {told}")


async def play(directory: Path, builds: Builds, direction: Direction, plan: Plan) -> Outcome:
    """Play one direction; `directory` gets the settings, data directories and logs of all processes."""
    return await Upgrade(directory, builds, direction, plan).play()


HEADINGS = ("direction", "replaced", "useful again: median, max", "changes", "keyed operations", "requests", "findings")


def table(outcomes: list[Outcome]) -> Iterator[str]:
    """One row for each direction, and the findings below."""
    yield f"| {' | '.join(HEADINGS)} |"
    yield "|---" * len(HEADINGS) + "|"
    for outcome in outcomes:
        done = outcome.verdict.done
        seconds = [replaced.seconds for replaced in outcome.replacements] or [0.0]
        cells = (
            outcome.direction.value,
            f"{len(outcome.replacements)} of {CONTROL_NODES + len(TwoBuildCluster.proxy_services)}",
            f"{median(seconds):.1f} s, {max(seconds):.1f} s",
            f"{done['changes confirmed']}, {done['changes confirmed while mixed']} while mixed",
            f"{done['keyed operations served']}, {done['keyed operations served while mixed']} while mixed",
            _request_counts(outcome),
            str(len(outcome.verdict.findings)),
        )
        yield f"| {' | '.join(cells)} |"
    for outcome in outcomes:
        for kind, detail in outcome.verdict.findings:
            yield f"FOUND {outcome.direction.value}: {kind}: {detail}"


def _request_counts(outcome: Outcome) -> str:
    """Requests by how they ended: operators withdraw routes, and a 404 is then the right answer."""
    served, withdrawn = (sum(call.status == status for call in outcome.history.calls) for status in (200, 404))
    others = len(outcome.history.calls) - served - withdrawn
    return f"{served} served, {withdrawn} on withdrawn routes, {others} not"


async def _until_terminated(run: Coroutine[None, None, Outcome]) -> Outcome:
    """SIGTERM ends the run as Ctrl-C does, so that no process of the mesh is left behind."""
    task = asyncio.ensure_future(run)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(arguments: list[str] | None = None) -> int:
    """Run the command; `arguments` stand for those of the command line."""
    parser = argparse.ArgumentParser(prog="python -m lugspur.bench.upgrade", description="A mesh of two builds.")
    parser.add_argument("--from", dest="revision", required=True, help="the revision that the former build is of")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pause", type=float, default=2.0, help="seconds of work after each replacement")
    parser.add_argument("--keep", type=Path, help="a directory for settings, disks and logs")
    given = parser.parse_args(arguments)
    plan = Plan(seed=given.seed, pause_seconds=given.pause)
    outcomes = []
    with tempfile.TemporaryDirectory() as made:
        base = given.keep or Path(made)
        former = Path(made) / "former"
        former.mkdir()
        try:
            extract_build(given.revision, former)
        except RevisionError as error:
            print(error, file=sys.stderr)
            return 2
        for direction in Direction:
            directory = base / direction.name.lower()
            directory.mkdir(parents=True)
            outcomes.append(asyncio.run(_until_terminated(play(directory, Builds(former=former), direction, plan))))
    print("\n".join(table(outcomes)))
    return 1 if any(outcome.verdict.findings for outcome in outcomes) else 0


if __name__ == "__main__":
    sys.exit(main())
