"""Leases in virtual time under faults drawn by seed: who is in office when, and for how long nobody is.

`python -m lugspur.emulator duties [--seeds N]` plays N seeds and says what it found; it fails where two were in office.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from lugspur.daemon.leases.candidate import Candidate, LeadershipChanged, rendezvous_order
from lugspur.daemon.leases.messages import (
    DenyLease,
    GrantLease,
    Message,
    ReleaseLease,
    RequestLease,
    RoleAvailable,
    decode_messages,
    encode_messages,
)
from lugspur.daemon.leases.voter import CandidateId, LeaseVoter, Promise
from lugspur.emulator.datagrams import Address, Network, partition

DUTY = "duty"
LEASE_SECONDS = 5.0  # seconds
WARM_UP_SECONDS, FAULTS = 20.0, 60.0  # seconds before anything fails, and in which things do
EACH = 3.0  # seconds between two faults
DISK = 0.01  # seconds at most that a promise takes to be written down
WALL = 1.7e12  # the wall clock's milliseconds at the start
KILLS = 200  # of holders, in the report
RATE = 0.05  # by which clocks run fast or slow


class TwoLeadersError(AssertionError):
    """What must never be."""


class Node:
    """One process: it may want the duty, and may be an elector."""

    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self.name, self.address = f"n{number}", world.address(number)
        now = world.network.clock(self.address)
        self._rng = Random(f"{world.seed} {number} {world.network.now}")
        self.candidate_id = CandidateId(self.name, self._rng.randrange(1 << 40))
        self.voter: LeaseVoter | None = None
        if number < world.voter_count:
            memory = list(world.disks[self.name].values()) if world.memory else None
            self.voter = LeaseVoter(LEASE_SECONDS, now, memory, int(WALL + 1000.0 * world.network.now))
        self.candidate: Candidate | None = None
        if number >= world.voter_count or world.all_want:
            names = [f"n{at}" for at in range(world.voter_count)]
            self.candidate = Candidate(DUTY, names, LEASE_SECONDS, now, self._rng, self._rank)
        self._written: tuple[float, dict[str, Promise]] | None = None  # what reaches the disk, and when
        self._out: list[tuple[Address, bytes]] = []

    def _rank(self, duty: str) -> int:
        return rendezvous_order(duty, self._world.wanting()).index(self.name)

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """Words of another."""
        for message in decode_messages(data[8:]):
            self._hear(now, CandidateId(self._world.names[source], int.from_bytes(data[:8], "big")), message)

    def _hear(self, now: float, candidate_id: CandidateId, message: Message) -> None:
        if isinstance(message, RequestLease | ReleaseLease):
            if self.voter is not None:
                self.voter.receive(now, candidate_id, message)
        elif self.candidate is not None and isinstance(message, GrantLease | DenyLease | RoleAvailable):
            self.candidate.receive(now, candidate_id.name, message)

    def due(self) -> float:
        """When it wants to be woken."""
        times = [self.candidate.due()] if self.candidate is not None else []
        if self._written is not None:
            times.append(self._written[0])
        return min(times, default=float("inf"))

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.candidate is not None and now >= self.candidate.due():
            self.candidate.tick(now)
        if self._written is not None and now >= self._written[0] and self.voter is not None:
            _, promises = self._written
            self._written = None
            self._world.disks[self.name] |= promises
            self.voter.confirm_saved(now, promises)

    def resign(self, now: float) -> None:
        """It gives the duty back, and wants it again."""
        assert self.candidate is not None
        self.candidate.resign(now)
        self.candidate.campaign(now)

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """What it has to say."""
        world, now = self._world, self._world.network.clock(self.address)
        while True:
            said = self.candidate.take_messages() if self.candidate is not None else []
            said += self.voter.take_messages() if self.voter is not None else []
            if not said:
                break
            for name, message in said:
                if name == self.name:
                    self._hear(now, self.candidate_id, message)
                else:
                    self._out.append(
                        (
                            world.places[name],
                            self.candidate_id.instance_id.to_bytes(8, "big") + encode_messages([message]),
                        )
                    )
        if self.voter is not None and self.voter.unsaved_promises and self._written is None:
            promises, self.voter.unsaved_promises = self.voter.unsaved_promises, {}
            self._written = now + DISK * self._rng.random(), promises
        if self.candidate is not None:
            for event in self.candidate.take_events():
                if isinstance(event, LeadershipChanged):
                    world.turned(self, event.is_leader, event.epoch)
        out, self._out = self._out, []
        return out


@dataclass(slots=True)
class World:
    """A few processes under faults."""

    seed: int
    voter_count: int = 3
    others: int = 3
    all_want: bool = True
    memory: bool = True
    network: Network = field(init=False)
    disks: dict[str, dict[str, Promise]] = field(init=False)
    names: dict[Address, str] = field(init=False)
    places: dict[str, Address] = field(init=False)
    highest: tuple[int, CandidateId | None] = (0, None)
    leadership_count: int = 0
    vacant_since: float | None = 0.0
    vacancies: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.network = Network(self.seed)
        count = self.voter_count + self.others
        self.names = {self.address(number): f"n{number}" for number in range(count)}
        self.places = {name: address for address, name in self.names.items()}
        self.disks = {name: {} for name in self.places}
        self.network.clock_rates = {address: 1.0 + RATE * self.network.rng.uniform(-1.0, 1.0) for address in self.names}
        for number in range(count):
            self.start(number)

    @staticmethod
    def address(number: int) -> Address:
        """Where a process takes datagrams."""
        return f"10.0.0.{number + 1}", 7946

    def start(self, number: int) -> None:
        """A process begins, or begins anew."""
        self.network.add(self.address(number), Node(self, number))

    def nodes(self) -> dict[Address, Node]:
        """Those that run."""
        return {at: node for at, node in self.network.machines.items() if isinstance(node, Node)}

    def wanting(self) -> list[str]:
        """Who may hold it."""
        first = 0 if self.all_want else self.voter_count
        return [f"n{number}" for number in range(first, self.voter_count + self.others)]

    def leaders(self) -> list[Node]:
        """Who is in office by its own clock; one that stands still is, too."""
        return [
            node
            for address, node in self.nodes().items()
            if node.candidate is not None and node.candidate.term.is_held(self.network.clock(address))
        ]

    def turned(self, node: Node, holds: bool, epoch: int) -> None:
        """Somebody comes into office, or leaves it: only a coming can make it two."""
        if not holds:
            self._vacant()
            return
        inside = [other.name for other in self.leaders()]
        if len(inside) > 1:
            raise TwoLeadersError(f"seed {self.seed}, {self.network.now:.3f} s: {' and '.join(inside)} are in office")
        former, candidate_id = self.highest
        if epoch < former or (epoch == former and candidate_id != node.candidate_id):
            raise TwoLeadersError(f"seed {self.seed}, {self.network.now:.3f} s: epoch {epoch} after {former}")
        self.highest = epoch, node.candidate_id
        self.leadership_count += 1
        if self.vacant_since is not None:
            self.vacancies.append(self.network.now - self.vacant_since)
            self.vacant_since = None

    def _vacant(self) -> None:
        if self.vacant_since is None and not self.leaders():
            self.vacant_since = self.network.now

    def kill(self, number: int) -> None:
        """A process dies."""
        self.network.kill(self.address(number))
        self._vacant()


def _fault(world: World, rng: Random) -> None:
    """One fault, drawn; it is over after some seconds."""
    network, count = world.network, world.voter_count + world.others
    number = rng.randrange(count)
    leaders = world.leaders()
    if leaders and rng.random() < 0.4:
        number = int(leaders[0].name[1:])
    seconds = rng.choice([0.3, 1.0, 2.0]) * LEASE_SECONDS * rng.random()
    address = world.address(number)

    def stop() -> None:
        network.pause(address, seconds)

    def kill() -> None:
        world.kill(number)
        network.run(rng.random())
        world.start(number)

    def forget() -> None:
        if world.memory and number < world.voter_count:
            world.disks[world.names[address]].clear()  # its folder is lost, the others' are not
        kill()

    def restart_all() -> None:
        for elector in range(world.voter_count):
            world.kill(elector)
            network.run(0.2 * rng.random())
            world.start(elector)

    def cut() -> None:
        network.is_cut = partition(world.address(at) for at in rng.sample(range(count), rng.randrange(1, count)))

    def mute() -> None:
        network.is_cut = lambda origin, to: origin == address

    def deaf() -> None:
        network.is_cut = lambda origin, to: to == address

    def resign() -> None:
        node = world.nodes().get(address)
        if node is not None and node.candidate is not None:
            node.resign(network.clock(address))
            network.flush(address)

    faults: list[Callable[[], None]] = [stop, kill, forget, restart_all, cut, cut, mute, deaf, resign]
    rng.choice(faults)()


def play(seed: int, memory: bool = True, voter_count: int = 3, faults: float = FAULTS) -> World:
    """One seed; raises TwoInOffice."""
    rng = Random(f"faults {seed}")
    world = World(seed, voter_count, rng.randrange(1, 5), rng.random() < 0.5, memory)
    network = world.network
    network.run(WARM_UP_SECONDS)
    network.loss, network.duplication = rng.choice([0.0, 0.05, 0.3]), rng.choice([0.0, 0.2])
    network.max_extra_delay = rng.choice([0.0, 0.1, 2.0 * LEASE_SECONDS])
    while network.now < WARM_UP_SECONDS + faults:
        _fault(world, rng)
        network.run(EACH * rng.random())
        if rng.random() < 0.5:
            network.is_cut = lambda origin, to: False
    network.is_cut, network.loss, network.max_extra_delay = (lambda origin, to: False), 0.0, 0.0
    network.run(4.0 * LEASE_SECONDS)
    if not world.leaders():
        raise AssertionError(f"seed {seed}: nobody is in office though nothing fails any more")
    return world


def measure_takeover(seed: int) -> float:
    """Seconds without anybody in office after the holder is killed, of leases of LEASE seconds."""
    world = World(seed)
    world.network.run(WARM_UP_SECONDS + LEASE_SECONDS * Random(seed).random())
    [holder] = world.leaders()
    world.network.kill(holder.address)
    began, count = world.network.now, world.leadership_count
    world.network.run_until(lambda: world.leadership_count > count, 4.0 * LEASE_SECONDS, 0.01)
    return world.network.now - began


def report(first: int, seeds: int) -> Iterator[str]:
    """Play so many seeds, a third without memories and half with five electors; raises TwoInOffice."""
    leadership_count = 0
    vacant: list[float] = []
    for seed in range(first, first + seeds):
        world = play(seed, seed % 3 > 0, 3 + 2 * (seed % 2))
        leadership_count += world.leadership_count
        vacant += world.vacancies[1:]  # the first one is the start
    vacant.sort()
    yield (
        f"{seeds} seeds: {leadership_count} times in office, never two; nobody for {vacant[len(vacant) // 2]:.1f} s "
        f"(median of {len(vacant)}), {vacant[int(0.99 * len(vacant))]:.1f} s (99%), leases of {LEASE_SECONDS:g} s"
    )
    killed = sorted(measure_takeover(seed) for seed in range(first, first + KILLS))
    yield (
        f"after {KILLS} kills of the holder nobody in office for {killed[KILLS // 2]:.1f} s (median), "
        f"{killed[int(0.95 * KILLS)]:.1f} s (95%), {killed[-1]:.1f} s (longest)"
    )
