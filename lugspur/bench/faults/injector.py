"""Injects faults one after another and measures how soon each affected machine confirms an order again."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random

from lugspur.bench.faults.cluster import CATCH_UP, Cluster
from lugspur.bench.faults.history import History, Recovery, Span
from lugspur.bench.faults.links import LinkState, Pair
from lugspur.bench.faults.operator import Operators
from lugspur.bench.faults.plan import Direction, Fault, Kind

RECOVERY_LIMIT = 5.0  # seconds allowed from the end of a fault until the machine confirms an order
# Seconds allowed where the machine's process is new: an interpreter starts slowly on a loaded machine.
RESTART_RECOVERY_LIMIT = 10.0
RECOVERY_TIMEOUT = 20.0  # seconds after the end of a fault without a confirmed order that count as no recovery at all
POKE_INTERVAL = 0.3  # seconds between the orders that are sent to a machine while it is cut off
VOTERS_ONLY_SHARE = 0.75  # share of the disk losses that hit only voters
PAUSE = (0.05, 0.5)  # shortest and longest pause between two faults, in seconds


class Injector:
    """Injects faults into one cluster."""

    def __init__(self, cluster: Cluster, operators: Operators, history: History, rng: Random) -> None:
        self.cluster, self.operators, self.history, self.rng = cluster, operators, history, rng
        self._loop = asyncio.get_running_loop()
        self._lost_until: dict[str, float] = {}  # the time from which a machine no longer counts as lost
        self._handlers: dict[Kind, Callable[[Fault], Awaitable[None]]] = {
            Kind.KILL_ONE: lambda fault: self._kill(fault, 1),
            Kind.KILL_SOME: lambda fault: self._kill(fault, rng.randint(2, max(2, len(cluster.control) - 1))),
            Kind.KILL_ALL: lambda fault: self._kill(fault, len(cluster.control)),
            Kind.KILL_AFTER_ACK: lambda fault: self._kill(fault, 1, after_ack=True),
            Kind.WIPE: lambda fault: self._kill(fault, rng.randint(1, cluster.tolerate), wipe=True),
            Kind.WIPE_AFTER_ACK: lambda fault: self._kill(fault, 1, wipe=True, after_ack=True),
            Kind.REPLACE: self._replace,
            Kind.LEAVE: self._leave,
            Kind.FREEZE: lambda fault: self._freeze(fault, 1),
            Kind.FREEZE_MANY: lambda fault: self._freeze(fault, len(cluster.control) // 2 + 1),
            Kind.ISOLATE: self._isolate,
            Kind.ISOLATE_CONTROL: self._isolate,
            Kind.ISOLATE_MOST: self._isolate,
            Kind.SPLIT: self._split,
            Kind.RESET_ONCE: self._reset_once,
            Kind.SLOW: lambda fault: self._impair_links(fault, LinkState.SLOW),
            Kind.REFUSE: lambda fault: self._impair_links(fault, LinkState.REFUSE),
            Kind.SEEDS: self._exchange_seeds,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and wait until every machine that it hit confirms an order again."""
        await asyncio.sleep(self.rng.uniform(*PAUSE))
        await self._handlers[fault.kind](fault)

    # ---- losses ------------------------------------------------------------------------------

    async def _kill(self, fault: Fault, count: int, wipe: bool = False, after_ack: bool = False) -> None:
        if wipe:
            await self._wait_until_loss_is_tolerated()
        hit = await self._choose_disk_losses(count) if wipe else self.rng.sample(self.cluster.control, count)
        stalled = await self._leaves_no_majority(hit)
        if after_ack:
            await self._confirm_order(hit[0])
        began = self._loop.time()
        for ip in hit:
            self.cluster.end(ip)
        for ip in hit if wipe else ():
            self.cluster.wipe(ip)
        await asyncio.sleep(fault.seconds)
        for ip in hit:
            self.cluster.start(ip)
        await self._record_recovery(fault, hit, began, stalled=stalled, limit=RESTART_RECOVERY_LIMIT)

    async def _replace(self, fault: Fault) -> None:
        """Remove a machine for good and add one at another address in its place."""
        await self._wait_until_loss_is_tolerated()
        (removed,) = hit = await self._choose_disk_losses(1)
        stalled = await self._leaves_no_majority(hit)
        began = self._loop.time()
        self.cluster.end(removed)
        self.cluster.remove(removed)
        await asyncio.sleep(fault.seconds)
        added = self.cluster.add()
        await self._record_recovery(fault, [added], began, stalled=stalled, limit=RESTART_RECOVERY_LIMIT)

    async def _leave(self, fault: Fault) -> None:
        """Replace a machine as planned: start a new one, then terminate the old one."""
        await self._wait_until_loss_is_tolerated()
        (leaving,) = hit = await self._choose_disk_losses(1)
        stalled = await self._leaves_no_majority(hit)
        began = self._loop.time()
        added = self.cluster.add()
        await asyncio.sleep(fault.seconds)
        await self.cluster.terminate(leaving)
        self.cluster.remove(leaving)
        await self._record_recovery(fault, [added], began, stalled=stalled, limit=RESTART_RECOVERY_LIMIT)

    async def _freeze(self, fault: Fault, count: int) -> None:
        hit = self.rng.sample(self.cluster.control, count)
        stalled = await self._leaves_no_majority(hit)
        began = self._loop.time()
        for ip in hit:
            self.cluster.freeze(ip)
        await asyncio.sleep(fault.seconds)
        for ip in hit:
            self.cluster.thaw(ip)
        # Reads at once after the thaw: the machine must not rely on state from before the freeze.
        await asyncio.gather(*(self.operators.console.read(ip) for ip in hit for _ in range(2)))
        await self._record_recovery(fault, hit, began, stalled=stalled)

    async def _confirm_order(self, ip: str) -> None:
        """Send new orders to a machine until it confirms one, five at most."""
        for _ in range(5):
            if (await self.operators.console.send(self.operators.new_order("ack"), ip)).confirmed:
                return

    # ---- links -------------------------------------------------------------------------------

    async def _isolate(self, fault: Fault) -> None:
        voters = await self.cluster.voters()
        control = list(self.cluster.control)
        target, companion = self.rng.sample(control, 2)
        others = [ip for ip in control if ip != target]
        own_side = {target}
        if fault.kind is Kind.ISOLATE:
            others += self.cluster.proxy_ips
        elif fault.kind is Kind.ISOLATE_MOST:
            others.remove(companion)
            own_side.add(companion)
        began = self._loop.time()
        self._cut([target], others, fault)
        isolated = () if _is_majority(own_side, voters) else (target,)
        await self._probe_until_healed(fault, [target])
        await self._record_recovery(
            fault, [target], began, isolated, not _is_majority(set(others) | {companion}, voters)
        )

    async def _split(self, fault: Fault) -> None:
        voters = await self.cluster.voters()
        control = self.rng.sample(self.cluster.control, len(self.cluster.control))
        size = self.rng.randint(1, len(control) // 2)
        sides = [control[:size], control[size:]]
        began = self._loop.time()
        self._cut(sides[0], sides[1], fault)
        minorities = [side for side in sides if not _is_majority(set(side), voters)]
        await self._probe_until_healed(fault, [side[0] for side in sides])
        await self._record_recovery(
            fault, control, began, tuple(ip for side in minorities for ip in side), len(minorities) == 2
        )

    def _cut(self, side: list[str], others: list[str], fault: Fault) -> None:
        for ip in side:
            for other in others:
                if fault.direction is not Direction.IN:
                    self.cluster.links.set_state(Pair(ip, other), fault.link_state)
                if fault.direction is not Direction.OUT:
                    self.cluster.links.set_state(Pair(other, ip), fault.link_state)

    async def _probe_until_healed(self, fault: Fault, isolated: list[str]) -> None:
        """Send reads and orders to the machines behind a cut for its duration, then heal it."""
        until = self._loop.time() + fault.seconds
        requests: set[asyncio.Task[object]] = set()
        while (remaining := until - self._loop.time()) > 0.0:
            for ip in isolated:
                requests.add(asyncio.ensure_future(self.operators.console.read(ip)))
                requests.add(asyncio.ensure_future(self.operators.deliver(self.operators.new_order("poke"), ip)))
            await asyncio.sleep(min(remaining, POKE_INTERVAL))
        self.cluster.links.heal()

    async def _reset_once(self, fault: Fault) -> None:
        addresses = [*self.cluster.control, *self.cluster.proxy_ips]
        began = self._loop.time()
        for ip in addresses:
            for other in addresses:
                self.cluster.links.reset(Pair(ip, other))
        await self._record_recovery(fault, [], began)

    async def _impair_links(self, fault: Fault, state: LinkState) -> None:
        addresses = [*self.cluster.control, *self.cluster.proxy_ips]
        began = self._loop.time()
        for ip in addresses:
            for other in addresses:
                self.cluster.links.set_state(Pair(ip, other), state)
        await asyncio.sleep(fault.seconds)
        self.cluster.links.heal()
        await self._record_recovery(fault, [], began, stalled=state is LinkState.SLOW)

    async def _exchange_seeds(self, fault: Fault) -> None:
        began = self._loop.time()
        others = [ip for ip in self.cluster.control if ip not in self.cluster.seeds]
        seeds = (others + self.rng.sample(self.cluster.seeds, len(self.cluster.seeds)))[: len(self.cluster.seeds)]
        self.cluster.exchange_seeds(seeds)
        await self._record_recovery(fault, [], began)

    # ---- recovery ----------------------------------------------------------------------------

    async def _record_recovery(
        self,
        fault: Fault,
        hit: list[str],
        began: float,
        isolated: tuple[str, ...] = (),
        stalled: bool = False,
        limit: float = RECOVERY_LIMIT,
    ) -> None:
        ended = self._loop.time()
        for ip in hit:
            self._lost_until[ip] = ended + CATCH_UP
        await asyncio.gather(*(self._measure_recovery(fault, ip, ended, limit) for ip in hit))
        stalled_until = self._loop.time() if stalled else ended
        self.history.spans.append(Span(fault.name, tuple(hit), began, ended, isolated))
        if stalled:
            self.history.spans.append(Span(f"{fault.name}: no majority", (), began, stalled_until, (), True))

    async def _measure_recovery(self, fault: Fault, ip: str, ended: float, limit: float) -> None:
        """Measure the time until the machine confirms a new order."""
        seconds = math.inf
        while self._loop.time() < ended + RECOVERY_TIMEOUT:
            attempt = await self.operators.console.send(self.operators.new_order("probe"), ip)
            if attempt.confirmed:
                seconds = attempt.ended - ended
                break
            await asyncio.sleep(0.1)
        self.history.recoveries.append(Recovery(fault.name, ip, ended, seconds, limit))

    async def _wait_until_loss_is_tolerated(self) -> None:
        """Wait until no machine counts as lost any more, so that the next one may lose its disk."""
        free_at = max((self._lost_until.get(ip, 0.0) for ip in self.cluster.control), default=0.0)
        await asyncio.sleep(max(0.0, free_at - self._loop.time()))

    async def _choose_disk_losses(self, count: int) -> list[str]:
        """Choose the machines that lose their disks: mostly voters, whose loss does the most harm."""
        if self.rng.random() < VOTERS_ONLY_SHARE:
            voters = [ip for ip in await self.cluster.voters() if ip in self.cluster.control]
            if len(voters) >= count:
                return self.rng.sample(voters, count)
        return self.rng.sample(self.cluster.control, count)

    async def _leaves_no_majority(self, hit: list[str]) -> bool:
        """Return whether the machines left may lack a majority of the voters while these are down."""
        voters = await self.cluster.voters()
        now = self._loop.time()
        available = {ip for ip in self.cluster.control if ip not in hit and self._lost_until.get(ip, 0.0) <= now}
        return not _is_majority(available, voters)


def _is_majority(available: set[str], voters: list[str]) -> bool:
    return 2 * len(available & set(voters)) > len(voters)
