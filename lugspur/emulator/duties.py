"""Leader election by leases in virtual time under random faults: no two leaders, and the time without a leader.

`python -m lugspur.emulator duties [--seeds N]` simulates N seeds and prints a summary; it fails if two nodes lead.
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

ROLE = "duty"
LEASE_SECONDS = 5.0
WARM_UP_SECONDS = 20.0  # time before the first fault
FAULT_SECONDS = 60.0  # time in which faults happen
MAX_SECONDS_BETWEEN_FAULTS = 3.0
MAX_WRITE_SECONDS = 0.01  # upper bound of the time in which a promise is written to disk
WALL_CLOCK_AT_START = 1.7e12  # Unix time in milliseconds
KILLS = 200  # number of leaders that are killed for the report
MAX_CLOCK_DRIFT = 0.05  # fraction by which clocks run fast or slow


class TwoLeadersError(AssertionError):
    """Two nodes were leaders at the same time, or an epoch was used twice or decreased."""


class Node:
    """One process, which may be a candidate for the role, a voter, or both."""

    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self.name, self.address = f"n{number}", world.address(number)
        now = world.network.clock(self.address)
        self._rng = Random(f"{world.seed} {number} {world.network.now}")
        self.candidate_id = CandidateId(self.name, self._rng.randrange(1 << 40))
        self.voter: LeaseVoter | None = None
        if number < world.voter_count:
            memory = list(world.disks[self.name].values()) if world.memory else None
            self.voter = LeaseVoter(LEASE_SECONDS, now, memory, int(WALL_CLOCK_AT_START + 1000.0 * world.network.now))
        self.candidate: Candidate | None = None
        if number >= world.voter_count or world.voters_are_candidates:
            names = [f"n{at}" for at in range(world.voter_count)]
            self.candidate = Candidate(ROLE, names, LEASE_SECONDS, now, self._rng, self._rank)
        self._pending_write: tuple[float, dict[str, Promise]] | None = None  # time of completion, promises
        self._outbox: list[tuple[Address, bytes]] = []

    def _rank(self, role: str) -> int:
        return rendezvous_order(role, self._world.candidate_names()).index(self.name)

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """Handle a datagram from another node."""
        for message in decode_messages(data[8:]):
            self._handle(now, CandidateId(self._world.names[source], int.from_bytes(data[:8], "big")), message)

    def _handle(self, now: float, candidate_id: CandidateId, message: Message) -> None:
        if isinstance(message, RequestLease | ReleaseLease):
            if self.voter is not None:
                self.voter.receive(now, candidate_id, message)
        elif self.candidate is not None and isinstance(message, GrantLease | DenyLease | RoleAvailable):
            self.candidate.receive(now, candidate_id.name, message)

    def due(self) -> float:
        """Return the time of the next tick."""
        times = [self.candidate.due()] if self.candidate is not None else []
        if self._pending_write is not None:
            times.append(self._pending_write[0])
        return min(times, default=float("inf"))

    def tick(self, now: float) -> None:
        """Do the work of the candidate that is due, and complete the pending write."""
        if self.candidate is not None and now >= self.candidate.due():
            self.candidate.tick(now)
        if self._pending_write is not None and now >= self._pending_write[0] and self.voter is not None:
            _, promises = self._pending_write
            self._pending_write = None
            self._world.disks[self.name] |= promises
            self.voter.confirm_saved(now, promises)

    def resign(self, now: float) -> None:
        """Give the lease back and campaign for it again."""
        assert self.candidate is not None
        self.candidate.resign(now)
        self.candidate.campaign(now)

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Return the datagrams to send; messages of the node to itself are delivered at once."""
        world, now = self._world, self._world.network.clock(self.address)
        while True:
            messages = self.candidate.take_messages() if self.candidate is not None else []
            messages += self.voter.take_messages() if self.voter is not None else []
            if not messages:
                break
            for name, message in messages:
                if name == self.name:
                    self._handle(now, self.candidate_id, message)
                else:
                    self._outbox.append(
                        (
                            world.addresses[name],
                            self.candidate_id.instance_id.to_bytes(8, "big") + encode_messages([message]),
                        )
                    )
        if self.voter is not None and self.voter.unsaved_promises and self._pending_write is None:
            promises, self.voter.unsaved_promises = self.voter.unsaved_promises, {}
            self._pending_write = now + MAX_WRITE_SECONDS * self._rng.random(), promises
        if self.candidate is not None:
            for event in self.candidate.take_events():
                if isinstance(event, LeadershipChanged):
                    world.leadership_changed(self, event.is_leader, event.epoch)
        outbox, self._outbox = self._outbox, []
        return outbox


@dataclass(slots=True)
class World:
    """The nodes, their disks and the network; records each leadership and each time without a leader."""

    seed: int
    voter_count: int = 3
    others: int = 3  # nodes that are candidates only
    voters_are_candidates: bool = True
    memory: bool = True  # whether voters restore their promises after a restart
    network: Network = field(init=False)
    disks: dict[str, dict[str, Promise]] = field(init=False)
    names: dict[Address, str] = field(init=False)
    addresses: dict[str, Address] = field(init=False)
    latest_term: tuple[int, CandidateId | None] = (0, None)  # latest epoch and its leader
    leadership_count: int = 0  # how often a node became leader
    vacant_since: float | None = 0.0  # None while there is a leader
    vacancies: list[float] = field(default_factory=list)  # lengths in seconds of the times without a leader

    def __post_init__(self) -> None:
        self.network = Network(self.seed)
        count = self.voter_count + self.others
        self.names = {self.address(number): f"n{number}" for number in range(count)}
        self.addresses = {name: address for address, name in self.names.items()}
        self.disks = {name: {} for name in self.addresses}
        self.network.clock_rates = {
            address: 1.0 + MAX_CLOCK_DRIFT * self.network.rng.uniform(-1.0, 1.0) for address in self.names
        }
        for number in range(count):
            self.start(number)

    @staticmethod
    def address(number: int) -> Address:
        """Return the address at which a node receives datagrams."""
        return f"10.0.0.{number + 1}", 7946

    def start(self, number: int) -> None:
        """Start or restart a node."""
        self.network.add(self.address(number), Node(self, number))

    def nodes(self) -> dict[Address, Node]:
        """Return the running nodes by their addresses."""
        return {at: node for at, node in self.network.machines.items() if isinstance(node, Node)}

    def candidate_names(self) -> list[str]:
        """Return the names of the candidates."""
        first = 0 if self.voters_are_candidates else self.voter_count
        return [f"n{number}" for number in range(first, self.voter_count + self.others)]

    def leaders(self) -> list[Node]:
        """Return the nodes that are leaders by their own clocks, including paused ones."""
        return [
            node
            for address, node in self.nodes().items()
            if node.candidate is not None and node.candidate.term.is_held(self.network.clock(address))
        ]

    def leadership_changed(self, node: Node, is_leader: bool, epoch: int) -> None:
        """Record that a node became leader or ceased to be; two leaders can arise only when a node becomes leader."""
        if not is_leader:
            self._record_vacancy()
            return
        leader_names = [other.name for other in self.leaders()]
        if len(leader_names) > 1:
            raise TwoLeadersError(
                f"seed {self.seed}, {self.network.now:.3f} s: {' and '.join(leader_names)} are leaders"
            )
        latest_epoch, candidate_id = self.latest_term
        if epoch < latest_epoch or (epoch == latest_epoch and candidate_id != node.candidate_id):
            raise TwoLeadersError(
                f"seed {self.seed}, {self.network.now:.3f} s: epoch {epoch} follows epoch {latest_epoch}"
            )
        self.latest_term = epoch, node.candidate_id
        self.leadership_count += 1
        if self.vacant_since is not None:
            self.vacancies.append(self.network.now - self.vacant_since)
            self.vacant_since = None

    def _record_vacancy(self) -> None:
        if self.vacant_since is None and not self.leaders():
            self.vacant_since = self.network.now

    def kill(self, number: int) -> None:
        """Kill a node."""
        self.network.kill(self.address(number))
        self._record_vacancy()


def _fault(world: World, rng: Random) -> None:
    """Inject one random fault; a pause or a restart in it ends after some seconds."""
    network, count = world.network, world.voter_count + world.others
    number = rng.randrange(count)
    leaders = world.leaders()
    if leaders and rng.random() < 0.4:
        number = int(leaders[0].name[1:])
    seconds = rng.choice([0.3, 1.0, 2.0]) * LEASE_SECONDS * rng.random()
    address = world.address(number)

    def pause() -> None:
        network.pause(address, seconds)

    def kill() -> None:
        world.kill(number)
        network.run(rng.random())
        world.start(number)

    def lose_disk() -> None:
        if world.memory and number < world.voter_count:
            world.disks[world.names[address]].clear()  # only this voter loses its stored promises
        kill()

    def restart_all() -> None:
        for voter in range(world.voter_count):
            world.kill(voter)
            network.run(0.2 * rng.random())
            world.start(voter)

    def cut() -> None:
        network.is_cut = partition(world.address(at) for at in rng.sample(range(count), rng.randrange(1, count)))

    def drop_sent() -> None:
        network.is_cut = lambda origin, to: origin == address

    def drop_received() -> None:
        network.is_cut = lambda origin, to: to == address

    def resign() -> None:
        node = world.nodes().get(address)
        if node is not None and node.candidate is not None:
            node.resign(network.clock(address))
            network.flush(address)

    faults: list[Callable[[], None]] = [pause, kill, lose_disk, restart_all, cut, cut, drop_sent, drop_received, resign]
    rng.choice(faults)()


def play(seed: int, memory: bool = True, voter_count: int = 3, faults: float = FAULT_SECONDS) -> World:
    """Simulate one seed; raises TwoLeadersError."""
    rng = Random(f"faults {seed}")
    world = World(seed, voter_count, rng.randrange(1, 5), rng.random() < 0.5, memory)
    network = world.network
    network.run(WARM_UP_SECONDS)
    network.loss, network.duplication = rng.choice([0.0, 0.05, 0.3]), rng.choice([0.0, 0.2])
    network.max_extra_delay = rng.choice([0.0, 0.1, 2.0 * LEASE_SECONDS])
    while network.now < WARM_UP_SECONDS + faults:
        _fault(world, rng)
        network.run(MAX_SECONDS_BETWEEN_FAULTS * rng.random())
        if rng.random() < 0.5:
            network.is_cut = lambda origin, to: False
    network.is_cut, network.loss, network.max_extra_delay = (lambda origin, to: False), 0.0, 0.0
    network.run(4.0 * LEASE_SECONDS)
    if not world.leaders():
        raise AssertionError(f"seed {seed}: there is no leader although no fault is left")
    return world


def measure_takeover(seed: int) -> float:
    """Kill the leader and return the seconds without a leader; leases last LEASE_SECONDS."""
    world = World(seed)
    world.network.run(WARM_UP_SECONDS + LEASE_SECONDS * Random(seed).random())
    [leader] = world.leaders()
    world.network.kill(leader.address)
    killed_at, count = world.network.now, world.leadership_count
    world.network.run_until(lambda: world.leadership_count > count, 4.0 * LEASE_SECONDS, 0.01)
    return world.network.now - killed_at


def report(first: int, seeds: int) -> Iterator[str]:
    """Simulate seeds, a third of them without stored promises, half with five voters; raises TwoLeadersError."""
    leadership_count = 0
    vacancies: list[float] = []
    for seed in range(first, first + seeds):
        world = play(seed, seed % 3 > 0, 3 + 2 * (seed % 2))
        leadership_count += world.leadership_count
        vacancies += world.vacancies[1:]  # the first vacancy is the start-up
    vacancies.sort()
    yield (
        f"{seeds} seeds: {leadership_count} leaderships, never two at a time; no leader for "
        f"{vacancies[len(vacancies) // 2]:.1f} s (median of {len(vacancies)}), "
        f"{vacancies[int(0.99 * len(vacancies))]:.1f} s (99%), leases of {LEASE_SECONDS:g} s"
    )
    killed = sorted(measure_takeover(seed) for seed in range(first, first + KILLS))
    yield (
        f"after {KILLS} kills of the leader there was no leader for {killed[KILLS // 2]:.1f} s (median), "
        f"{killed[int(0.95 * KILLS)]:.1f} s (95%), {killed[-1]:.1f} s (longest)"
    )
