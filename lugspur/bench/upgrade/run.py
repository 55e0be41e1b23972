"""Runs one direction of the upgrade test: replaces every process once, under load."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from lugspur.bench.faults.clients import Clients
from lugspur.bench.faults.injector import Injector
from lugspur.bench.faults.operator import Console, Operators
from lugspur.bench.faults.plan import Fault, Kind
from lugspur.bench.upgrade.cluster import TwoBuildCluster
from lugspur.bench.upgrade.outcome_checks import check_data_directories, check_outcome
from lugspur.bench.upgrade.plan import Builds, Direction, Outcome, Plan, Replacement

# Time from the start of a replacement in which the new process must serve, even on a loaded machine.
RECOVERY_TIMEOUT_SECONDS = 20.0
# Pause between two checks of a condition that is waited for.
POLL_SECONDS = 0.1
# Time for which all control nodes are down at the end.
ALL_DOWN_SECONDS = 0.5


async def play(directory: Path, builds: Builds, direction: Direction, plan: Plan) -> Outcome:
    """Run one direction; `directory` receives the settings, data directories and logs of all processes."""
    return await Upgrade(directory, builds, direction, plan).play()


class Upgrade:
    """Runs one direction on one mesh."""

    def __init__(self, directory: Path, builds: Builds, direction: Direction, plan: Plan) -> None:
        """`directory` receives the settings, data directories and logs of all processes."""
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
        """Replace every process once, check the result and return the outcome."""
        try:
            await self.cluster.begin()
            await self._replace_all_under_load()
            self._find_processes_that_ended()
        finally:
            await self.cluster.close()
        check_outcome(self.outcome, self.cluster)
        await asyncio.to_thread(check_data_directories, self.outcome, self.cluster, self.builds)
        return self.outcome

    async def _replace_all_under_load(self) -> None:
        """Replace every process while operators change the configuration and clients send requests."""
        operator_tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (self.operators.issue_orders("north"), self.operators.read_repeatedly())
        ]
        client_loops = [self.clients.start_keyed_operations(), self.clients.send_unsafe_requests()]
        client_loops += [self.clients.send_route_requests(ip) for ip in self.cluster.proxy_ips]
        request_tasks = [asyncio.ensure_future(coroutine) for coroutine in client_loops]
        try:
            await self._replace_all()
        finally:
            for task in operator_tasks:
                task.cancel()
        await self.operators.wait_until_idle()
        for ip in self.cluster.control:
            await self._read_back(ip)
        for task in request_tasks:
            task.cancel()
        await self.clients.finish_operations()
        for result in await asyncio.gather(*operator_tasks, *request_tasks, return_exceptions=True):
            if isinstance(result, Exception):  # an error in the bench itself
                raise result

    async def _replace_all(self) -> None:
        """Replace one process after another, in an order drawn by the seed, then restart all control nodes."""
        order = [*self.cluster.control, *self.cluster.proxy_ips]
        Random(f"order-{self.plan.seed}").shuffle(order)
        for ip in order:
            await asyncio.sleep(self.plan.pause_seconds)
            await self._replace(ip)
        await asyncio.sleep(self.plan.pause_seconds)
        await self._injector.inject(Fault(Kind.KILL_ALL, ALL_DOWN_SECONDS))

    async def _replace(self, ip: str) -> None:
        """Terminate one process, start one of the other build in its place and wait until that serves."""
        began = self._loop.time()
        process = self.cluster.processes[ip]
        await self.cluster.terminate(ip)
        if process.returncode != 0:
            self.outcome.verdict.add("process that did not end well", f"{ip}, status {process.returncode}")
        self.cluster.roots[ip] = self._next_root
        self.cluster.start(ip)
        is_serving = self._control_is_serving if ip in self.cluster.control else self._proxy_is_serving
        while not await is_serving(ip):
            if self._loop.time() - began > RECOVERY_TIMEOUT_SECONDS:
                self.outcome.verdict.add("not useful once replaced", ip)
                break
            await asyncio.sleep(POLL_SECONDS)
        now = self._loop.time()
        self.outcome.replacements.append(Replacement(ip, now, now - began))

    async def _control_is_serving(self, ip: str) -> bool:
        """Return whether a control node has caught up and confirms a change."""
        confirmed = (await self.console.send(self.operators.new_order("replaced"), ip)).confirmed
        return confirmed and (await self.cluster.status(ip)).get("complete") is True

    async def _proxy_is_serving(self, ip: str) -> bool:
        """Return whether a proxy has served a client request since shortly before this call."""
        began = self._loop.time()
        await asyncio.sleep(POLL_SECONDS)
        calls = self.outcome.history.calls
        return any(call.sidecar == ip and call.status == 200 and call.began >= began - POLL_SECONDS for call in calls)

    async def _read_back(self, ip: str) -> None:
        """Read the whole configuration at a control node until it responds; the history check validates the content."""
        began = self._loop.time()
        while (await self.console.read(ip)).status != 200:
            if self._loop.time() - began > RECOVERY_TIMEOUT_SECONDS:
                self.outcome.verdict.add("configuration not readable at the end", ip)
                return
            await asyncio.sleep(POLL_SECONDS)

    def _find_processes_that_ended(self) -> None:
        for ip, process in self.cluster.processes.items():
            if process.poll() is not None:
                self.outcome.verdict.add("process that ended by itself", f"{ip}, status {process.returncode}")
