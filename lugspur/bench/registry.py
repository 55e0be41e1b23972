"""Measures discovery through a registry: `python -m lugspur.bench.registry expiries|faults|nodes`.

expiries: ends the sessions of backends one by one under load, and prints the time from each removal to the last new
request at the backend.
faults: plays each fault of the ensemble under load, long enough to matter, and counts lost, duplicated and late
requests.
nodes: measures the first read, one change, CPU and memory by the number of nodes, beside kazoo where it is installed.
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

SETTLE_SECONDS = 0.7  # seconds of waiting for late requests after a removal: longer than the grace


async def measure_expiries(count: int, rate: float, grace: float = 0.5) -> tuple[list[float], Counts]:
    """Return the seconds from each removal to the backend's last new request (0: none after it), and the counts."""
    lags: list[float] = []
    async with Trial(grace=grace) as trial:
        for at in range(4):
            await trial.add_backend(f"box-{at}")
        await trial.start()
        trial.start_load(rate)
        for at in range(4, 4 + count):
            node = await trial.add_backend(f"box-{at}")
            seen = trial.backends[f"box-{at - 4}"].backend
            await trial.wait_until(lambda seen=seen, node=node: bool(seen.ran and node.backend.ran))  # type: ignore[misc]
            expired_backend = trial.expire(f"box-{at - 4}")
            await asyncio.sleep(SETTLE_SECONDS)
            lags.append(max(0.0, expired_backend.backend.last_started_at - expired_backend.removed))
        return sorted(lags), await trial.stop_load()


# ---- faults: each function injects one fault under load and repairs it ---------------------------


@dataclass(slots=True)
class Fault:
    """A fault of the ensemble, and its seconds in tests (`short`) and in the bench (`long`)."""

    play: Callable[[Trial, float], Awaitable[None]]
    short: float
    long: float


async def _wait_until_all_serve(trial: Trial) -> None:
    """Wait until each backend has received a new request, which shows that none has left the pool."""
    before = {name: node.backend.ran.total() for name, node in trial.backends.items()}
    await trial.wait_until(
        lambda: all(node.backend.ran.total() > before[name] for name, node in trial.backends.items())
    )


async def _restart_servers(trial: Trial, said: str) -> None:
    """Let all servers accept connections again, and wait until the daemon has logged this text."""
    before = len(trial.lines)
    for server in trial.cluster.servers:
        await server.listen()
    await trial.wait_for_log(said, before)


async def _wait_for_expired_session(trial: Trial) -> None:
    """Wait until the registry has ended the daemon's session: on a loaded machine the registry's timer is late."""
    await trial.wait_until(lambda: not any(session.server for session in trial.cluster.ensemble.sessions.values()))


async def stall_server(trial: Trial, seconds: float) -> None:
    """Silence the server that the daemon is connected to, with the connection open."""
    [at] = [server for server in trial.cluster.servers if server.connections]
    before = len(trial.lines)
    at.stall()
    await trial.wait_for_log("the server sent nothing in time", before)
    await trial.wait_for_log("is followed", before)
    await _wait_until_all_serve(trial)
    await asyncio.sleep(seconds)


async def restart_ensemble(trial: Trial, seconds: float) -> None:
    """Stop all servers and start them with a newer tree, in which one backend has left and one is new."""
    for server in trial.cluster.servers:
        server.refuse()
    await asyncio.sleep(seconds)
    await _wait_until_all_serve(trial)
    removed_backend = trial.expire("box-0")
    removed_backend.removed = float("inf")  # the daemon cannot know of the removal yet
    await trial.add_backend("box-new")
    await _restart_servers(trial, "is followed")
    removed_backend.removed = asyncio.get_running_loop().time()
    await trial.wait_until(lambda: bool(trial.backends["box-new"].backend.ran))
    await trial.wait_for_responses(50)


async def restore_empty(trial: Trial, seconds: float) -> None:
    """Start all servers with an empty tree, as from a wrong backup; removals apply, and so do new registrations."""
    for server in trial.cluster.servers:
        server.refuse()
    trial.cluster.ensemble.restore()
    await asyncio.sleep(seconds)
    await _restart_servers(trial, "holds no backend")
    for node in trial.backends.values():
        trial.register(node)
    await trial.wait_for_responses(50)


async def expire_session(trial: Trial, seconds: float) -> None:
    """Disconnect the daemon for longer than its own session lasts, while one backend leaves."""
    for server in trial.cluster.servers:
        server.refuse()
    removed_backend = trial.expire("box-0")
    removed_backend.removed = float("inf")
    await asyncio.sleep(seconds)
    await _wait_for_expired_session(trial)
    await _wait_until_all_serve(trial)
    await _restart_servers(trial, "is followed")
    removed_backend.removed = asyncio.get_running_loop().time()
    await trial.wait_for_responses(50)


async def suspend_daemon(trial: Trial, seconds: float) -> None:
    """Suspend the daemon's process for longer than its session lasts, while one backend leaves."""
    before = len(trial.lines)
    trial.daemon.send_signal(signal.SIGSTOP)
    removed_backend = trial.expire("box-0")
    removed_backend.removed = float("inf")
    await asyncio.sleep(seconds)
    await _wait_for_expired_session(trial)
    trial.daemon.send_signal(signal.SIGCONT)
    await trial.wait_for_log("is followed", before)
    removed_backend.removed = asyncio.get_running_loop().time()
    await trial.wait_for_responses(50)


async def inject_noise(trial: Trial, seconds: float) -> None:
    """Cut frames short, send garbage and frames of 1 GB, flap, delay replies, reorder events and forget watches."""
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
    removed_backend = trial.expire("box-0")
    # The daemon may learn of the removal late, because its reconnect delay has grown.
    removed_backend.removed = asyncio.get_running_loop().time() + 5.0
    await trial.wait_for_responses(50)
    await _wait_until_all_serve(trial)


FAULTS = {
    "stalled": Fault(stall_server, 0.2, 5.0),
    "gone": Fault(restart_ensemble, 0.5, 60.0),
    "restored": Fault(restore_empty, 0.2, 5.0),
    "expired": Fault(expire_session, 2.2, 10.0),
    "suspended": Fault(suspend_daemon, 2.5, 10.0),
    "noise": Fault(inject_noise, 1.0, 20.0),
}


async def run_fault(name: str, seconds: float, rate: float, grace: float = 0.5) -> Counts:
    """Play one fault under load and return the counts; raises TimeoutError if the daemon does not recover."""
    async with Trial(grace=grace) as trial:
        for at in range(3):
            await trial.add_backend(f"box-{at}")
        await trial.start()
        trial.start_load(rate)
        await trial.wait_for_responses(20)
        await FAULTS[name].play(trial, seconds)
        return await trial.stop_load()


# ---- costs by the number of nodes ----------------------------------------------------------------


@dataclass(slots=True)
class Size:
    """The daemon's cost of watching a number of nodes."""

    nodes: int
    seconds: float  # seconds until the list was complete
    first_read_kib: float  # KiB that the servers sent for the first read
    reads: int  # getData requests for the first read
    asked: float  # average number of getData requests for one change
    cpu: float  # seconds of CPU time for the first read, above that of a folder with one node
    memory: float  # MiB, above that of a folder with one node
    cpu_share: float  # share of a CPU that the changes take, 1,000 a second in the bench
    lag: float  # seconds until the daemon knew the last change
    removal_seconds: float  # seconds that the balancer takes for one removal


def removal_seconds(count: int) -> float:
    """Return the seconds that the balancer takes to remove one of this many servers, the best of five runs."""
    best = float("inf")
    for _ in range(5):
        balancer = Balancer(Settings(), seed=1)
        rows = [ServerRow(server_id(f"box-{at}")) for at in range(count)]
        balancer.update_servers(0.0, ListUpdateKind.COMPLETE, rows)
        started_at = time.perf_counter()
        balancer.update_servers(0.0, ListUpdateKind.PATCH, [replace(rows[0], state=ServerState.GONE)])
        best = min(best, time.perf_counter() - started_at)
    return best


async def measure_sizes(counts: tuple[int, ...], changes: int, per_second: int) -> list[Size]:
    """Measure the daemon's costs by the number of nodes."""
    results: list[Size] = []
    base = (0.0, 0.0)
    for count in (1, *counts):  # the figures of one node are the baseline
        async with Trial(servers=1) as trial:
            for at in range(count):
                trial.cluster.write(f"{FOLDER}/box-{at}", _entry(at, 0))
            started_at = asyncio.get_running_loop().time()
            await trial.start()
            server = trial.cluster.servers[0]
            seconds = asyncio.get_running_loop().time() - started_at
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
                removal_seconds(count),
            )
            await _measure_changes(trial, size, process, changes, per_second)
            results.append(size)
    return results


def _entry(at: int, turn: int) -> bytes:
    return b'{"address":"127.0.0.1:%d","weight":%d,"since_ms":1000}' % (1 + at % 60_000, 1 + turn % 9)


async def _measure_changes(trial: Trial, size: Size, process: Usage, changes: int, per_second: int) -> None:
    """Make changes at an even rate, then one node that appears in the log, which shows that all were read."""
    loop, server = asyncio.get_running_loop(), trial.cluster.servers[0]
    server.request_counts.clear()
    started_at, cpu_before = loop.time(), process.cpu()
    for turn in range(changes):
        trial.cluster.write(f"{FOLDER}/box-{turn % size.nodes}", _entry(turn % size.nodes, turn // size.nodes + 1))
        await asyncio.sleep(max(0.0, started_at + (turn + 1) / per_second - loop.time()))
    size.cpu_share = (process.cpu() - cpu_before) / (loop.time() - started_at)
    ended = loop.time()
    trial.cluster.write(f"{FOLDER}/marker", b"?")
    await trial.wait_for_log("marker")
    size.lag = loop.time() - ended
    size.asked = server.request_counts[Op.GET_DATA] / changes


@dataclass(slots=True)
class Follower:
    """The costs of one client's process."""

    kind: str
    nodes: int
    seconds: float
    cpu: float
    memory: float
    threads: int
    lag: float  # median seconds from a change until the client knows it


async def measure_followers(
    count: int, kinds: tuple[str, ...] = ("ours", "kazoo"), changes: int = 50
) -> list[Follower]:
    """Measure lugspur's client and kazoo on the same folder, each in its own process."""
    results: list[Follower] = []
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
                started_at = time.monotonic()
                cluster.write(f"{FOLDER}/{kind}-{at}", _entry(at, 0))
                seen = (await process.stdout.readline()).decode().split()
                lags.append(float(seen[2]) - started_at)
                await asyncio.sleep(0.005)
            process.kill()
            await process.wait()
            results.append(
                Follower(
                    kind, int(words[1]), float(words[2]), float(words[3]), float(words[4]), int(words[5]), median(lags)
                )
            )
    return results


# ---- the command -----------------------------------------------------------------------------------


async def report_expiries(count: int, rate: float) -> None:
    """Print the distribution of lags."""
    lags, counts = await measure_expiries(count, rate)
    at = {part: lags[min(len(lags) - 1, int(part * len(lags)))] * 1e3 for part in (0.5, 0.9, 0.99)}
    print(
        f"{count} expiries at {rate:g} requests a second; from removal to the last new request, ms: "
        f"median {at[0.5]:.2f}, p90 {at[0.9]:.2f}, p99 {at[0.99]:.2f}, most {lags[-1] * 1e3:.2f}; {counts}"
    )


async def report_faults(names: list[str], rate: float) -> None:
    """Play each fault for its long duration and print a Markdown table."""
    print("| fault | seconds | what became of all requests |\n| --- | --- | --- |")
    for name in names or FAULTS:
        seconds = FAULTS[name].long
        print(f"| {name} | {seconds:g} | {await run_fault(name, seconds, rate)} |", flush=True)


async def report_nodes() -> None:
    """Print the costs by the number of nodes, and those of both clients."""
    print(
        "| nodes | s to the whole list | KiB | getData | requests a change | CPU s | MiB | CPU of 1,000 changes/s "
        "| s to the last | ms to decide a removal |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    for size in await measure_sizes((10, 100, 1_000, 10_000), 5_000, 1_000):
        print(
            f"| {size.nodes} | {size.seconds:.2f} | {size.first_read_kib:.0f} | {size.reads} | {size.asked:.2f} | "
            f"{size.cpu:.2f} | {size.memory:.1f} | {size.cpu_share:.2f} | {size.lag:.3f} | "
            f"{size.removal_seconds * 1e3:.2f} |",
            flush=True,
        )
    print(
        "\n| client | nodes | s to the whole list | CPU s | MiB | threads | ms to a new node |\n"
        "| --- | --- | --- | --- | --- | --- | --- |"
    )
    for count in (10, 10_000):
        for row in await measure_followers(count):
            print(
                f"| {row.kind} | {row.nodes} | {row.seconds:.2f} | {row.cpu:.2f} | {row.memory:.1f} | "
                f"{row.threads} | {row.lag * 1e3:.2f} |",
                flush=True,
            )


def main() -> None:
    """Run one of the three measurements."""
    parser = argparse.ArgumentParser(description="Measure discovery through a registry.")
    parser.add_argument("what", choices=["expiries", "faults", "nodes"])
    parser.add_argument(
        "names", nargs="*", metavar="FAULT", help=f"faults to play, of {', '.join(FAULTS)}; by default all"
    )
    parser.add_argument("--count", type=int, default=200, help="number of expiries")
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second")
    arguments = parser.parse_args()
    if set(arguments.names) - set(FAULTS):
        parser.error(f"faults are {', '.join(FAULTS)}")
    if arguments.what == "expiries":
        asyncio.run(report_expiries(arguments.count, arguments.rate or 1000.0))
    elif arguments.what == "faults":
        asyncio.run(report_faults(arguments.names, arguments.rate or 50.0))
    else:
        asyncio.run(report_nodes())


if __name__ == "__main__":
    main()
