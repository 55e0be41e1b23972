"""What following a registry costs and how soon it counts: `python -m lugspur.bench.registry expiries|faults|nodes`.

expiries: sessions of boxes end one by one under load; the time from each removal to the last new request there.
faults: each fault of the ensemble under load, long enough to matter; what was lost, doubled or late.
nodes: the first read, one change, CPU and memory by the number of nodes; with kazoo beside it where it is installed.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from statistics import median

from lugspur.bench.processes import Usage
from lugspur.bench.trial import FOLDER, Counts, Trial
from lugspur.discovery.endpoints import server_id
from lugspur.load_balancing import Balancer, ListUpdateKind, ServerRow, Settings
from lugspur.load_balancing.model import ServerState
from lugspur.standins.zookeeper.cluster import Cluster
from lugspur.zookeeper.records import Op

SETTLE = 0.7  # seconds in which a removed box must stay without anything new: longer than the grace


async def expiries(count: int, rate: float, grace: float = 0.5) -> tuple[list[float], Counts]:
    """Seconds from each removal to the last new request that began at the box after it (0: none did)."""
    lags: list[float] = []
    async with Trial(grace=grace) as trial:
        for at in range(4):
            await trial.box(f"box-{at}")
        await trial.start()
        trial.play(rate)
        for at in range(4, 4 + count):
            box = await trial.box(f"box-{at}")
            seen = trial.boxes[f"box-{at - 4}"].backend
            await trial.until(lambda seen=seen, box=box: bool(seen.ran and box.backend.ran))  # type: ignore[misc]
            gone = trial.expire(f"box-{at - 4}")
            await asyncio.sleep(SETTLE)
            lags.append(max(0.0, gone.backend.last_started_at - gone.removed))
        return sorted(lags), await trial.stop()


# ---- faults: each begins and ends one, under load ------------------------------------------------


@dataclass(slots=True)
class Fault:
    """A fault of the ensemble, and how long it lasts in a short and a long form."""

    play: Callable[[Trial, float], Awaitable[None]]
    short: float
    long: float


async def _all_serve(trial: Trial) -> None:
    """No box has left the pool: each still gets something new."""
    before = {name: box.backend.ran.total() for name, box in trial.boxes.items()}
    await trial.until(lambda: all(box.backend.ran.total() > before[name] for name, box in trial.boxes.items()))


async def _back(trial: Trial, said: str) -> None:
    """All servers take connections again, and the daemon has read what there is."""
    before = len(trial.lines)
    for server in trial.cluster.servers:
        await server.listen()
    await trial.said(said, before)


async def _own_expired(trial: Trial) -> None:
    """The registry has ended the daemon's session; on a loaded machine its timer is late."""
    await trial.until(lambda: not any(session.server for session in trial.cluster.ensemble.sessions.values()))


async def stalled(trial: Trial, seconds: float) -> None:
    """The server that the daemon is at goes silent with its connection open."""
    [at] = [server for server in trial.cluster.servers if server.connections]
    before = len(trial.lines)
    at.stall()
    await trial.said("the server sent nothing in time", before)
    await trial.said("is followed", before)
    await _all_serve(trial)
    await asyncio.sleep(seconds)


async def gone(trial: Trial, seconds: float) -> None:
    """All servers are gone, and back with a newer tree: one box left and one came meanwhile."""
    for server in trial.cluster.servers:
        server.refuse()
    await asyncio.sleep(seconds)
    await _all_serve(trial)
    left = trial.expire("box-0")
    left.removed = float("inf")  # the daemon has not been told yet
    await trial.box("box-new")
    await _back(trial, "is followed")
    left.removed = asyncio.get_running_loop().time()
    await trial.until(lambda: bool(trial.boxes["box-new"].backend.ran))
    await trial.served(50)


async def restored(trial: Trial, seconds: float) -> None:
    """All servers come back empty, from a wrong backup: told removals count, and boxes that return count again."""
    for server in trial.cluster.servers:
        server.refuse()
    trial.cluster.ensemble.restore()
    await asyncio.sleep(seconds)
    await _back(trial, "holds no backend")
    for box in trial.boxes.values():
        trial.register(box)
    await trial.served(50)


async def expired(trial: Trial, seconds: float) -> None:
    """The daemon is cut off for longer than its own session, and one box leaves meanwhile."""
    for server in trial.cluster.servers:
        server.refuse()
    left = trial.expire("box-0")
    left.removed = float("inf")
    await asyncio.sleep(seconds)
    await _own_expired(trial)
    await _all_serve(trial)
    await _back(trial, "is followed")
    left.removed = asyncio.get_running_loop().time()
    await trial.served(50)


async def suspended(trial: Trial, seconds: float) -> None:
    """The daemon's process is stopped for longer than its session, and one box leaves meanwhile."""
    before = len(trial.lines)
    trial.daemon.send_signal(signal.SIGSTOP)
    left = trial.expire("box-0")
    left.removed = float("inf")
    await asyncio.sleep(seconds)
    await _own_expired(trial)
    trial.daemon.send_signal(signal.SIGCONT)
    await trial.said("is followed", before)
    left.removed = asyncio.get_running_loop().time()
    await trial.served(50)


async def noise(trial: Trial, seconds: float) -> None:
    """Cuts in mid-frame, garbage, frames of 1 GB, flaps, late replies, events that overtake, forgotten watches."""
    for server in trial.cluster.servers:
        server.faults.ignores_set_watches = True
    until = asyncio.get_running_loop().time() + seconds
    at = 0
    while asyncio.get_running_loop().time() < until:
        for server in trial.cluster.servers:
            (server.garbage, server.huge, server.flap, lambda s=server: setattr(s.faults, "truncates", True))[at % 4]()
            server.faults.reply_delay, server.faults.events_first = 0.01 * (at % 3), at % 2 == 0
        at += 1
        await asyncio.sleep(0.1)
    for server in trial.cluster.servers:
        server.mend()
    left = trial.expire("box-0")
    left.removed = asyncio.get_running_loop().time() + 5.0  # it may take a moment to be told: the back-off has grown
    await trial.served(50)
    await _all_serve(trial)


FAULTS = {
    "stalled": Fault(stalled, 0.2, 5.0),
    "gone": Fault(gone, 0.5, 60.0),
    "restored": Fault(restored, 0.2, 5.0),
    "expired": Fault(expired, 2.2, 10.0),
    "suspended": Fault(suspended, 2.5, 10.0),
    "noise": Fault(noise, 1.0, 20.0),
}


async def fault(name: str, seconds: float, rate: float, grace: float = 0.5) -> Counts:
    """One fault under load; raises TimeoutError where the daemon does not get over it."""
    async with Trial(grace=grace) as trial:
        for at in range(3):
            await trial.box(f"box-{at}")
        await trial.start()
        trial.play(rate)
        await trial.served(20)
        await FAULTS[name].play(trial, seconds)
        return await trial.stop()


# ---- by the number of nodes ----------------------------------------------------------------------


@dataclass(slots=True)
class Size:
    """What following so many nodes costs the daemon."""

    nodes: int
    seconds: float  # until the list was whole
    kib: float  # that the servers sent for that
    reads: int  # getData requests for that
    asked: float  # requests for one change, on average
    cpu: float  # seconds of CPU for the first read, above that of a folder with one
    memory: float  # MiB, above that of a folder with one
    churn: float  # the part of a CPU that 1,000 changes a second take
    lag: float  # seconds until the last of them was known
    telling: float  # seconds of the decision module for one removal


def telling(count: int) -> float:
    """Seconds that the decision module takes for one removal of so many; the best of some."""
    best = float("inf")
    for _ in range(5):
        balancer = Balancer(Settings(), seed=1)
        rows = [ServerRow(server_id(f"box-{at}")) for at in range(count)]
        balancer.update_servers(0.0, ListUpdateKind.COMPLETE, rows)
        begun = time.perf_counter()
        balancer.update_servers(0.0, ListUpdateKind.PATCH, [replace(rows[0], state=ServerState.GONE)])
        best = min(best, time.perf_counter() - begun)
    return best


async def sizes(counts: tuple[int, ...], changes: int, per_second: int) -> list[Size]:
    """The daemon's figures by the number of nodes."""
    found: list[Size] = []
    base = (0.0, 0.0)
    for count in (1, *counts):  # what one node costs is the base
        async with Trial(servers=1) as trial:
            for at in range(count):
                trial.cluster.write(f"{FOLDER}/box-{at}", _entry(at, 0))
            begun = asyncio.get_running_loop().time()
            await trial.start()
            server = trial.cluster.servers[0]
            seconds = asyncio.get_running_loop().time() - begun
            process = Usage(trial.daemon.pid)
            if count == 1:
                base = process.cpu(), process.memory()
                continue
            size = Size(
                count,
                seconds,
                server.bytes_out / 1024.0,
                server.request_counts[Op.GET_DATA],
                0.0,
                process.cpu() - base[0],
                process.memory() - base[1],
                0.0,
                0.0,
                telling(count),
            )
            await _churn(trial, size, process, changes, per_second)
            found.append(size)
    return found


def _entry(at: int, turn: int) -> bytes:
    return b'{"address":"127.0.0.1:%d","weight":%d,"since_ms":1000}' % (1 + at % 60_000, 1 + turn % 9)


async def _churn(trial: Trial, size: Size, process: Usage, changes: int, per_second: int) -> None:
    """So many changes, evenly over time; then one node that can be seen in the log, to know that all were read."""
    loop, server = asyncio.get_running_loop(), trial.cluster.servers[0]
    server.request_counts.clear()
    begun, used = loop.time(), process.cpu()
    for turn in range(changes):
        trial.cluster.write(f"{FOLDER}/box-{turn % size.nodes}", _entry(turn % size.nodes, turn // size.nodes + 1))
        await asyncio.sleep(max(0.0, begun + (turn + 1) / per_second - loop.time()))
    size.churn = (process.cpu() - used) / (loop.time() - begun)
    ended = loop.time()
    trial.cluster.write(f"{FOLDER}/marker", b"?")
    await trial.said("marker")
    size.lag = loop.time() - ended
    size.asked = server.request_counts[Op.GET_DATA] / changes


@dataclass(slots=True)
class Follower:
    """What one client's process costs."""

    kind: str
    nodes: int
    seconds: float
    cpu: float
    memory: float
    threads: int
    lag: float  # seconds from a change to its being known: the median of some


async def followers(count: int, kinds: tuple[str, ...] = ("ours", "kazoo"), changes: int = 50) -> list[Follower]:
    """Our client and kazoo on the same folder, each in a process of its own."""
    found: list[Follower] = []
    async with Cluster() as cluster:
        await cluster.listen(("127.0.0.1", 0))
        for at in range(count):
            cluster.write(f"{FOLDER}/box-{at}", _entry(at, 0))
        for kind in kinds:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lugspur.bench.followers",
                kind,
                cluster.hosts,
                FOLDER,
                stdout=asyncio.subprocess.PIPE,
            )
            assert process.stdout is not None
            words = (await process.stdout.readline()).decode().split()
            lags: list[float] = []
            for at in range(changes):
                begun = time.monotonic()
                cluster.write(f"{FOLDER}/{kind}-{at}", _entry(at, 0))
                seen = (await process.stdout.readline()).decode().split()
                lags.append(float(seen[2]) - begun)
                await asyncio.sleep(0.005)
            process.kill()
            await process.wait()
            found.append(
                Follower(
                    kind, int(words[1]), float(words[2]), float(words[3]), float(words[4]), int(words[5]), median(lags)
                )
            )
    return found


# ---- the command -----------------------------------------------------------------------------------


async def report_expiries(count: int, rate: float) -> None:
    """The distribution of lags, as Markdown."""
    lags, counts = await expiries(count, rate)
    at = {part: lags[min(len(lags) - 1, int(part * len(lags)))] * 1e3 for part in (0.5, 0.9, 0.99)}
    print(
        f"{count} expiries at {rate:g} requests a second; from removal to the last new request, ms: "
        f"median {at[0.5]:.2f}, p90 {at[0.9]:.2f}, p99 {at[0.99]:.2f}, most {lags[-1] * 1e3:.2f}; {counts}"
    )


async def report_faults(names: list[str], rate: float) -> None:
    """Each fault in its long form."""
    print("| fault | seconds | what became of all requests |\n| --- | --- | --- |")
    for name in names or FAULTS:
        seconds = FAULTS[name].long
        print(f"| {name} | {seconds:g} | {await fault(name, seconds, rate)} |", flush=True)


async def report_nodes() -> None:
    """By the number of nodes, and both clients beside each other."""
    print(
        "| nodes | s to the whole list | KiB | getData | requests a change | CPU s | MiB | CPU of 1,000 changes/s "
        "| s to the last | ms to decide a removal |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    for size in await sizes((10, 100, 1_000, 10_000), 5_000, 1_000):
        print(
            f"| {size.nodes} | {size.seconds:.2f} | {size.kib:.0f} | {size.reads} | {size.asked:.2f} | "
            f"{size.cpu:.2f} | {size.memory:.1f} | {size.churn:.2f} | {size.lag:.3f} | "
            f"{size.telling * 1e3:.2f} |",
            flush=True,
        )
    print(
        "\n| client | nodes | s to the whole list | CPU s | MiB | threads | ms to a new node |\n"
        "| --- | --- | --- | --- | --- | --- | --- |"
    )
    for count in (10, 10_000):
        for row in await followers(count):
            print(
                f"| {row.kind} | {row.nodes} | {row.seconds:.2f} | {row.cpu:.2f} | {row.memory:.1f} | "
                f"{row.threads} | {row.lag * 1e3:.2f} |",
                flush=True,
            )


def main() -> None:
    """One of the three measurements."""
    parser = argparse.ArgumentParser(description="Measures of following a registry.")
    parser.add_argument("what", choices=["expiries", "faults", "nodes"])
    parser.add_argument("names", nargs="*", metavar="FAULT", help=f"of {', '.join(FAULTS)}; by default all")
    parser.add_argument("--count", type=int, default=200, help="expiries")
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second")
    given = parser.parse_args()
    if set(given.names) - set(FAULTS):
        parser.error(f"faults are {', '.join(FAULTS)}")
    if given.what == "expiries":
        asyncio.run(report_expiries(given.count, given.rate or 1000.0))
    elif given.what == "faults":
        asyncio.run(report_faults(given.names, given.rate or 50.0))
    else:
        asyncio.run(report_nodes())


if __name__ == "__main__":
    main()
