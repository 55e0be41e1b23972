"""Plays one run: faults against a mesh with operators and clients at work, and the check of its history."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from lugspur.bench.faults.checker import Violation, check
from lugspur.bench.faults.clients import Clients
from lugspur.bench.faults.cluster import Cluster
from lugspur.bench.faults.history import History
from lugspur.bench.faults.injector import Injector
from lugspur.bench.faults.logs import count_uncaught_exceptions
from lugspur.bench.faults.operator import Console, Operators
from lugspur.bench.faults.plan import Fault

CALM = 1.0  # seconds without faults at the end, before every machine is read to find all that was confirmed
UNRECOVERED_LIMIT = 3  # machines without recovery after which a run ends early, as the mesh is stuck

Progress = Callable[[int, Fault, float], None]


@dataclass
class Outcome:
    """The results of a run."""

    history: History
    violations: list[Violation]
    injected: Counter[str]
    exits: list[str]  # addresses of machines whose process ended by itself
    exceptions: Counter[str]  # uncaught exceptions in the logs

    @property
    def failed(self) -> bool:
        """Whether the run found any violation, exit or exception."""
        return bool(self.violations or self.exits or self.exceptions)


async def play(
    folder: Path, machines: int, tolerate: int, faults: list[Fault], seed: int, progress: Progress | None = None
) -> Outcome:
    """Inject faults one after another while operators and clients are at work."""
    history, injected = History(), Counter[str]()
    cluster = Cluster(folder, machines, tolerate)
    loop = asyncio.get_running_loop()
    try:
        await cluster.begin()
        console = Console(cluster, history)
        operators = Operators(console, Random(f"operators-{seed}"))
        clients = Clients(cluster, history, Random(f"clients-{seed}"))
        injector = Injector(cluster, operators, history, Random(f"faults-{seed}"))
        work: list[Awaitable[None]] = [
            operators.issue_orders("north"),
            operators.issue_orders("south"),
            operators.read_repeatedly(),
            clients.send_unsafe_requests(),
            clients.start_keyed_operations(),
            *(clients.send_route_requests(ip) for ip in cluster.proxy_ips),
        ]
        tasks = [asyncio.ensure_future(one) for one in work]
        try:
            for number, fault in enumerate(faults):
                began = loop.time()
                await injector.inject(fault)
                injected[fault.name] += 1
                if progress is not None:
                    progress(number, fault, loop.time() - began)
                for task in tasks:
                    if task.done():
                        task.result()  # raises an error of the rig itself
                if sum(not math.isfinite(recovery.seconds) for recovery in history.recoveries) >= UNRECOVERED_LIMIT:
                    break
        finally:
            for task in tasks[:3]:
                task.cancel()
        await operators.wait_until_idle()
        await asyncio.sleep(CALM)
        for ip in cluster.control:
            await console.read(ip)
        for task in tasks[3:]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await clients.finish_operations()
        exits = [ip for ip, process in cluster.processes.items() if process.poll() is not None]
    finally:
        await cluster.close()
    return Outcome(history, check(history, cluster.bounds), injected, exits, count_uncaught_exceptions(folder))
