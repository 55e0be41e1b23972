"""Gossip membership in virtual time: its cost, the time to converge after faults, and the number of false suspicions.

`python -m lugspur.emulator members` simulates 5, 50 and 200 members with a protocol period of 1 s.
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

FLEET_SIZES = (5, 50, 200)
FLEET_NAME = "emulated"
NO_FAULT_SECONDS = 30.0  # time without faults, over which the cost is measured
PARTITION_SECONDS = 40.0  # time for which the network is partitioned into two halves
PAUSE_SECONDS = 10.0  # time for which a fifth of the members is paused
LOSS_SECONDS = 60.0  # time with loss of datagrams and short pauses
LOSS = 0.05  # fraction of the datagrams lost during that time
SHORT_PAUSE_SECONDS = 0.3  # length of the pauses during that time
MAX_CONVERGENCE_SECONDS = 60.0  # time within which all views have to agree
WALL_CLOCK_AT_START = 1.7e9  # Unix time in seconds


@dataclass(slots=True, frozen=True)
class GossipResult:
    """Result for one fleet size; convergence times in seconds from the end of the fault."""

    members: int
    datagrams_per_second: float  # sent by each member without faults
    bytes_per_second: float  # sent by each member without faults
    cpu: float  # microseconds of CPU per second and member without faults, including the emulator
    joined: float  # until all members have joined
    killed: float  # until no member lists a killed one as present
    healed: float  # until the views agree after a partition
    resumed: float  # until the views agree after a fifth of the members was paused
    false_suspicions: float  # per 1,000 member-minutes under loss and short pauses

    def row(self) -> str:
        """Return the row of the printed table."""
        return (
            f"| {self.members} | {self.datagrams_per_second:.1f} | {self.bytes_per_second:.0f} | {self.cpu:.0f} | "
            f"{self.joined:.1f} | {self.killed:.1f} | {self.healed:.1f} | {self.resumed:.1f} | "
            f"{self.false_suspicions:.2f} |"
        )


class GossipFleet:
    """The gossip members of one fleet on an emulated network."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.network = Network(seed)
        self.network.loss = loss
        self.seed = seed
        self.changes: list[tuple[float, str, MemberChanged]] = []  # time, name of the observer, change
        self.network.on_flush = self._collect_changes  # type: ignore[assignment]  # all machines are members
        for number in range(count):
            self.start(number)

    def _collect_changes(self, address: Address, machine: GossipProtocol) -> None:
        self.changes += [
            (self.network.now, machine.local_record.name, event)
            for event in machine.take_events()
            if isinstance(event, MemberChanged)
        ]

    @staticmethod
    def address(number: int) -> Address:
        """Return the address at which a member receives datagrams."""
        return f"10.0.{number // 250}.{number % 250 + 1}", 7946

    def start(
        self, number: int, name: str = "", fleet: str = FLEET_NAME, clock_lag: float = 0.0, key: bytes = b""
    ) -> GossipProtocol:
        """Start a member; its wall clock is `clock_lag` seconds slow."""
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
            wall_clock=lambda: WALL_CLOCK_AT_START + network.now - clock_lag,
            rng=rng,
        )
        network.add(address, machine)
        return machine

    def running(self) -> dict[Address, GossipProtocol]:
        """Return the running members by their addresses."""
        return {at: machine for at, machine in self.network.machines.items() if isinstance(machine, GossipProtocol)}

    def has_converged(self) -> bool:
        """Return whether all running members have the same view, in which just the running members are present."""
        machines = self.running().values()
        return len({m.digest for m in machines}) == 1 and all(m.present_count == len(machines) for m in machines)

    def run_until_converged(self, max_seconds: float = MAX_CONVERGENCE_SECONDS) -> float:
        """Run until all views agree and return the seconds."""
        return self.network.run_until(self.has_converged, max_seconds)

    def count_false_suspicions(self, since: float, excluding: Iterable[str] = ()) -> int:
        """Count the suspicions that a member reported first-hand since a time; callers exclude members that stopped."""
        return sum(
            when >= since
            and change.record.status is Status.SUSPECT
            and change.record.reported_by == observer
            and change.record.name not in excluding
            for when, observer, change in self.changes
        )

    def total(self, counter: str) -> int:
        """Return the sum of a counter over all running members."""
        return sum(machine.counters[counter] for machine in self.running().values())


def play(count: int, seed: int) -> GossipResult:
    """Simulate one fleet size; the same seed gives the same result, except for the CPU time."""
    fleet = GossipFleet(count, seed)
    network = fleet.network
    joined = fleet.run_until_converged()
    network.run(10.0)
    datagrams, sent_bytes, cpu = fleet.total("sent"), fleet.total("bytes sent"), time.process_time()
    network.run(NO_FAULT_SECONDS)
    member_seconds = NO_FAULT_SECONDS * count
    datagrams, sent_bytes, cpu = (
        fleet.total("sent") - datagrams,
        fleet.total("bytes sent") - sent_bytes,
        time.process_time() - cpu,
    )
    network.kill(fleet.address(count - 1))
    killed = fleet.run_until_converged()
    network.is_cut = partition(list(fleet.running())[: count // 2])
    network.run(PARTITION_SECONDS)
    network.is_cut = lambda origin, to: False
    healed = fleet.run_until_converged()
    for address in list(fleet.running())[: max(1, count // 5)]:
        network.pause(address, PAUSE_SECONDS)
    network.run(PAUSE_SECONDS)
    resumed = fleet.run_until_converged()
    network.loss, started_at = LOSS, network.now
    while network.now < started_at + LOSS_SECONDS:
        for address in network.rng.sample(list(fleet.running()), max(1, count // 10)):
            network.pause(address, SHORT_PAUSE_SECONDS)
        network.run(2.0)
    false_suspicions = fleet.count_false_suspicions(started_at) / (count * LOSS_SECONDS / 60.0) * 1000.0
    return GossipResult(
        count,
        datagrams / member_seconds,
        sent_bytes / member_seconds,
        1e6 * cpu / member_seconds,
        joined,
        killed,
        healed,
        resumed,
        false_suspicions,
    )
