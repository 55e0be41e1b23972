"""A fleet in virtual time: what its views cost, how soon they agree again after faults, and who is doubted wrongly.

`python -m lugspur.emulator members` plays 5, 50 and 200 members, period 1 s.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lugspur.daemon.gossip.datagrams import DatagramCodec
from lugspur.daemon.gossip.events import MemberChanged
from lugspur.daemon.gossip.messages import MemberMetadata, Status
from lugspur.daemon.gossip.protocol import GossipProtocol
from lugspur.emulator.datagrams import Address, Network, partition

SIZES = (5, 50, 200)
NAME = "emulated"
CALM, CUT, STOP = 30.0, 40.0, 10.0  # seconds without a fault, in two halves, and for which a fifth stands still
LOSSY, LOSS, STALL = 60.0, 0.05, 0.3  # seconds with so much loss, in which members stand still for so long
WITHIN = 60.0  # seconds in which all views have to agree
EPOCH = 1.7e9  # the wall clock's time at the start


@dataclass(slots=True, frozen=True)
class Found:
    """What one size came to; times in seconds from when the fault was over."""

    members: int
    sent: float  # datagrams of each member a second, calm...
    size: float  # ...bytes...
    cpu: float  # ...and microseconds of CPU, with the emulator's own
    joined: float
    killed: float  # until nobody counts a dead one as there
    healed: float
    woken: float
    doubts: float  # wrong ones in 1,000 minutes of a member

    def row(self) -> str:
        """A line of the table."""
        return (
            f"| {self.members} | {self.sent:.1f} | {self.size:.0f} | {self.cpu:.0f} | {self.joined:.1f} | "
            f"{self.killed:.1f} | {self.healed:.1f} | {self.woken:.1f} | {self.doubts:.2f} |"
        )


class GossipFleet:
    """Machines of one fleet on a network."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.network = Network(seed)
        self.network.loss = loss
        self.seed = seed
        self.changes: list[tuple[float, str, MemberChanged]] = []  # when, who saw it, what
        self.network.on_flush = self._after  # type: ignore[assignment]  # all machines here are fleets
        for number in range(count):
            self.start(number)

    def _after(self, address: Address, machine: GossipProtocol) -> None:
        self.changes += [
            (self.network.now, machine.local_record.name, event)
            for event in machine.take_events()
            if isinstance(event, MemberChanged)
        ]

    @staticmethod
    def address(number: int) -> Address:
        """Where a member takes datagrams."""
        return f"10.0.{number // 250}.{number % 250 + 1}", 7946

    def start(
        self, number: int, name: str = "", fleet: str = NAME, behind: float = 0.0, key: bytes = b""
    ) -> GossipProtocol:
        """One more member; its wall clock may be behind."""
        address, network = self.address(number), self.network
        rng = Random(f"{self.seed} {number} {network.now}")
        seeds = [self.address(0), self.address(1)]
        machine = GossipProtocol(
            codec=DatagramCodec(fleet, key),
            name=name or f"m{number}",
            address=address,
            metadata=MemberMetadata("z", "1", network.now),
            seeds=seeds,
            now=network.clock(address),
            wall_clock=lambda: EPOCH + network.now - behind,
            rng=rng,
        )
        network.add(address, machine)
        return machine

    def running(self) -> dict[Address, GossipProtocol]:
        """Those that run."""
        return {at: machine for at, machine in self.network.machines.items() if isinstance(machine, GossipProtocol)}

    def has_converged(self) -> bool:
        """Whether all that run see the same: those that run."""
        machines = self.running().values()
        return len({m.digest for m in machines}) == 1 and all(m.present_count == len(machines) for m in machines)

    def run_until_converged(self, most: float = WITHIN) -> float:
        """Seconds until all views agree."""
        return self.network.run_until(self.has_converged, most)

    def count_false_suspicions(self, since: float, excluding: Iterable[str] = ()) -> int:
        """Members that others doubted first-hand, though they ran."""
        return sum(
            when >= since
            and change.record.status is Status.SUSPECT
            and change.record.reported_by == who
            and change.record.name not in excluding
            for when, who, change in self.changes
        )

    def total(self, what: str) -> int:
        """A count of all machines."""
        return sum(machine.counters[what] for machine in self.running().values())


def play(count: int, seed: int) -> Found:
    """One size; the same seed gives the same, but for the CPU."""
    fleet = GossipFleet(count, seed)
    network = fleet.network
    joined = fleet.run_until_converged()
    network.run(10.0)
    sent, size, cpu = fleet.total("sent"), fleet.total("bytes sent"), time.process_time()
    network.run(CALM)
    each = CALM * count
    sent, size, cpu = fleet.total("sent") - sent, fleet.total("bytes sent") - size, time.process_time() - cpu
    network.kill(fleet.address(count - 1))
    killed = fleet.run_until_converged()
    network.is_cut = partition(list(fleet.running())[: count // 2])
    network.run(CUT)
    network.is_cut = lambda origin, to: False
    healed = fleet.run_until_converged()
    for address in list(fleet.running())[: max(1, count // 5)]:
        network.pause(address, STOP)
    network.run(STOP)
    woken = fleet.run_until_converged()
    network.loss, began = LOSS, network.now
    while network.now < began + LOSSY:
        for address in network.rng.sample(list(fleet.running()), max(1, count // 10)):
            network.pause(address, STALL)
        network.run(2.0)
    doubts = fleet.count_false_suspicions(began) / (count * LOSSY / 60.0) * 1000.0
    return Found(count, sent / each, size / each, 1e6 * cpu / each, joined, killed, healed, woken, doubts)
