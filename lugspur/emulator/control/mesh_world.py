"""A mesh in virtual time: control nodes, connections, disks, operators' calls, and proxies that reserve keys."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.emulator.control.checks import ChangeRequestChecker, DecidedStates, KeyRunChecker, Violation
from lugspur.emulator.control.mesh_node import MeshNode
from lugspur.emulator.control.node import Node, Wire
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.change_requests import Outcome
from lugspur.mesh.control.messages import (
    BackendResponse,
    CompleteKey,
    Delta,
    Entry,
    Learn,
    Membership,
    Message,
    ReleaseKey,
    ReservationsPage,
    ReserveKey,
    ReserveKeyReply,
    Voter,
    encode,
)
from lugspur.mesh.control.replica import GENESIS
from lugspur.mesh.control.reservation_client import Acquired, ReservationClient, ReservationOutcome
from lugspur.mesh.process import TICK_SECONDS

# Range of the network latency between two processes, in seconds.
LATENCY_S = (0.0005, 0.004)
# Range of the duration of a disk sync, in seconds.
SYNC_S = (0.001, 0.008)
# Range of the duration of a disk sync while a disk is slow, in seconds.
SLOW_SYNC_S = (0.05, 0.3)
# Additional delay of a sync while no message waits for it, in seconds.
LAZY_SYNC_DELAY_S = 0.1
# Number of nodes that are the first voters and the seed addresses.
SEED_COUNT = 3
# Tolerance of the freshness check, in seconds. It covers a first message that is taken for younger than it is, and one
# heartbeat interval.
FRESHNESS_TOLERANCE_S = 0.35


@dataclass(slots=True)
class Connection:
    """The connection from one process to another; messages in flight of an older generation are lost."""

    is_up: bool = False
    generation: int = 0


@dataclass(slots=True)
class Proxy:
    """A proxy that reserves keys and learns of memberships from time to time."""

    name: str
    reservations: ReservationClient
    membership: Membership | None = None


@dataclass(slots=True)
class HistoryCounters:
    """Counters of what happened in a history."""

    confirmed: int = 0
    refused: int = 0
    unclear: int = 0
    no_quorum: int = 0
    reads: int = 0
    runs: int = 0
    changes: int = 0
    epochs: int = 0
    messages: int = 0
    learn_bytes: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    recovered_after_s: float = 0.0  # seconds from the end of the last fault until the mesh had recovered
    missed_changes: int = 0  # most changes that a node missed while it was away for a long time
    caught_up_after_s: float = 0.0  # most seconds until such a node had learned them


class MeshWorld:
    """The control nodes of a setting, in three zones, and proxies."""

    def __init__(self, seed: int, setting: Setting, proxies: int = 3) -> None:
        self.rng = Random(seed)
        self.clock = Clock()
        self.setting = setting
        self.counters = HistoryCounters()
        self.decided_states = DecidedStates()
        self.request_checker = ChangeRequestChecker(self.decided_states)
        self.key_checker = KeyRunChecker(setting.deduplication_window_s, not setting.ignores_tolerance)
        # Time at which a caller first learned that an index is in force, and that index.
        self.confirmed_indexes: list[tuple[float, int]] = [(0.0, 0)]
        self.nodes: dict[str, MeshNode] = {}
        self.connections: dict[tuple[str, str], Connection] = {}
        self.blocked_directions: set[tuple[str, str]] = set()  # source and target of each of them
        self.slow_disks: set[str] = set()
        self._delayed: dict[Wire, list[tuple[int, Message]]] = {}
        self._last_arrival: dict[Wire, float] = {}
        self._syncs: set[str] = set()
        self._addresses = 0
        for n in range(setting.nodes):
            self.add_node(f"z{n % 3}")
        self.seeds = list(self.nodes)[:SEED_COUNT]
        genesis = [Voter(ip, GENESIS, "") for ip in self.seeds]
        for ip, node in self.nodes.items():
            node.start(self.now, genesis if ip in self.seeds else ())
        self.decided_states.record("first", self.nodes[self.seeds[0]].replica.register)
        self.proxies = {f"p{n}": Proxy(f"p{n}", self._reservation_client(f"p{n}")) for n in range(proxies)}
        for ip in self.nodes:
            self.schedule(self.rng.random() * TICK_SECONDS, self.ticker(ip))

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return self.clock.now

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        self.clock.call_at(self.clock.now + delay, call)

    def add_node(self, zone: str) -> MeshNode:
        """Add a machine with an empty disk, which isn't running yet."""
        self._addresses += 1
        ip = f"10.0.0.{self._addresses:02d}"
        node = self.nodes[ip] = MeshNode(self, ip, zone, self.setting.tolerance, self.setting.deduplication_window_s)
        return node

    def ticker(self, ip: str) -> Callable[[], None]:
        """Return the function that runs a node's periodic work and schedules itself again."""

        def tick() -> None:
            node = self.nodes.get(ip)
            if node is None:
                return
            if node.is_running and not node.frozen:
                node.tick()
                self._check_age(node)
            self.schedule(TICK_SECONDS, tick)

        return tick

    def _check_age(self, node: MeshNode) -> None:
        """Check that a node knows all changes that were confirmed before the time up to which it calls itself fresh."""
        fresh_at = self.now - node.age(self.now) - FRESHNESS_TOLERANCE_S
        position = bisect_right(self.confirmed_indexes, (fresh_at, 1 << 60)) - 1
        if position >= 0 and self.confirmed_indexes[position][1] > node.replica.index:
            raise Violation(
                f"{node.ip} treats index {node.replica.index} as fresh, "
                f"{self.confirmed_indexes[position]} was confirmed"
            )

    # ---- connections -------------------------------------------------------------------------

    def is_connected(self, ip: str, other: str) -> bool:
        """Whether the connection that the first has dialled is up."""
        connection = self.connections.get((ip, other))
        return connection is not None and connection.is_up

    def dial(self, ip: str, other: str) -> None:
        """Connect if the other node runs and neither direction is blocked."""
        node = self.nodes.get(other)
        if (
            node is None
            or not node.is_running
            or (ip, other) in self.blocked_directions
            or (other, ip) in self.blocked_directions
        ):
            return
        self.connections.setdefault((ip, other), Connection()).is_up = True
        self.nodes[ip].connection_opened(other)

    def disconnect(self, dialler: str, listener: str) -> None:
        """End a connection and drop its messages in flight."""
        connection = self.connections.setdefault((dialler, listener), Connection())
        was_up, connection.is_up = connection.is_up, False
        connection.generation += 1
        for wire in (Wire(dialler, listener, dialler), Wire(listener, dialler, dialler)):
            self._delayed.pop(wire, None)
            self._last_arrival.pop(wire, None)
        dialling_node, listening_node = self.nodes.get(dialler), self.nodes.get(listener)
        if was_up and dialling_node is not None and dialling_node.is_running:
            self._run_or_defer(dialling_node, lambda: dialling_node.connection_closed(listener))
        if was_up and listening_node is not None and listening_node.is_running:
            self._run_or_defer(listening_node, lambda: listening_node.subscriber_disconnected(dialler))

    @staticmethod
    def _run_or_defer(node: MeshNode, action: Callable[[], None]) -> None:
        """Run an action of a node, or defer it behind the earlier ones while the node is frozen."""
        if node.frozen:
            node.deferred.append(action)
        else:
            action()

    def disconnect_all(self, ip: str) -> None:
        """End all connections of a node."""
        for pair in [pair for pair in self.connections if ip in pair]:
            self.disconnect(*pair)

    def post(self, wire: Wire, message: Message) -> None:
        """Send a message."""
        self.counters.messages += 1
        other = wire.target if wire.dialled_by == wire.source else wire.source
        pair = (wire.dialled_by, other)
        if wire.source == wire.target:
            self.schedule(1e-6, lambda: self._deliver(wire, message))
            return
        connection = self.connections.get(pair)
        if connection is None and wire.dialled_by in self.proxies:
            connection = self.connections[pair] = Connection(True)
        if connection is None or not connection.is_up:
            return
        if isinstance(message, Learn):
            self.counters.learn_bytes += len(encode(message))
        generation = connection.generation
        at = max(self._last_arrival.get(wire, 0.0) + 1e-6, self.now + self.rng.uniform(*LATENCY_S))
        self._last_arrival[wire] = at
        self.clock.call_at(at, lambda: self._arrive(wire, generation, message))

    def _arrive(self, wire: Wire, generation: int, message: Message) -> None:
        other = wire.target if wire.dialled_by == wire.source else wire.source
        if self.connections[wire.dialled_by, other].generation != generation:
            return
        if (wire.source, wire.target) in self.blocked_directions or wire in self._delayed:
            self._delayed.setdefault(wire, []).append((generation, message))
        else:
            self._deliver(wire, message)

    def _deliver(self, wire: Wire, message: Message) -> None:
        if isinstance(message, ReservationsPage) and not self.setting.delivers_reservation_pages:
            return
        node = self.nodes.get(wire.target)
        if node is None:
            proxy = self.proxies.get(wire.target)
            if proxy is not None and isinstance(message, ReserveKeyReply):
                proxy.reservations.receive(self.now, wire.source, message)
        elif node.is_running and node.frozen:
            node.deferred.append(lambda: self._receive(node, wire, message))
        elif node.is_running:
            self._receive(node, wire, message)

    def _receive(self, node: MeshNode, wire: Wire, message: Message) -> None:
        node.receive(self.now, wire, message)
        if isinstance(message, Delta):
            self._check_age(node)

    def unblock(self, blocked_directions: set[tuple[str, str]]) -> None:
        """Unblock directions; delayed messages are delivered in order."""
        self.blocked_directions -= blocked_directions
        for wire in [wire for wire in self._delayed if (wire.source, wire.target) in blocked_directions]:
            for generation, message in self._delayed.pop(wire):
                self._last_arrival[wire] = at = max(self._last_arrival.get(wire, 0.0) + 1e-6, self.now + LATENCY_S[0])
                self.clock.call_at(at, lambda w=wire, g=generation, m=message: self._arrive(w, g, m))  # type: ignore[misc]

    # ---- processes ---------------------------------------------------------------------------

    def schedule_sync(self, node: MeshNode, is_urgent: bool) -> None:
        """Schedule a disk sync, unless one is scheduled already and no message waits for the new one."""
        if node.ip in self._syncs and not is_urgent:
            return
        self._syncs.add(node.ip)
        incarnation_number = node.incarnation_number
        span = SLOW_SYNC_S if node.ip in self.slow_disks else SYNC_S

        def sync() -> None:
            self._syncs.discard(node.ip)
            if node.is_running and node.incarnation_number == incarnation_number and not node.frozen:
                node.sync()

        self.schedule(self.rng.uniform(*span) + (0.0 if is_urgent else LAZY_SYNC_DELAY_S), sync)

    def stop(self, ip: str) -> None:
        """Stop a node as after a power loss."""
        node = self.nodes[ip]
        if node.is_running:
            node.stop()
            self.disconnect_all(ip)
            for name in self.proxies:
                self.connections[name, ip] = Connection(
                    True, self.connections.get((name, ip), Connection()).generation + 1
                )

    def start(self, ip: str) -> None:
        """Start a node's process on its disk."""
        node = self.nodes.get(ip)
        if node is None or node.is_running:
            return
        node.start(self.now)
        for proxy in self.proxies.values():
            proxy.reservations.voter_connected(self.now, ip)

    def freeze(self, ip: str) -> None:
        """Pause a node; messages that arrive are deferred."""
        self.nodes[ip].frozen = True

    def resume(self, ip: str) -> None:
        """Resume a frozen node and handle the deferred messages."""
        node = self.nodes.get(ip)
        if node is None or not node.is_running or not node.frozen:
            return
        node.frozen = False
        deferred, node.deferred = node.deferred, []
        node.sync()
        for action in deferred:
            if node.is_running:
                action()

    # ---- checks and calls --------------------------------------------------------------------

    def observe(self, node: Node) -> None:
        """Check the state of a node whose index has advanced."""
        self.decided_states.record(node.ip, node.replica.register)

    def record_confirmed_index(self, index: int) -> None:
        """Record that a caller learned that all changes up to an index are in force."""
        if index > self.confirmed_indexes[-1][1]:
            self.confirmed_indexes.append((self.now, index))

    def has_recent_quorum(self, span: float) -> bool:
        """Whether a majority confirmed the state of some node within `span` seconds, so that changes can be decided."""
        return any(node.age(self.now) < span for node in self.running_nodes())

    def running_nodes(self) -> list[MeshNode]:
        """Return the nodes that run and aren't frozen."""
        return [node for node in self.nodes.values() if node.is_running and not node.frozen]

    def submit_change(self, ip: str, entries: list[Entry], on_outcome: Callable[[Outcome], None]) -> Callable[[], None]:
        """Send a change request to a node; return the function that withdraws it when its caller stops waiting."""
        node = self.nodes[ip]
        submission = self.request_checker.record_submission(entries)
        replica = node.replica

        def ended(outcome: Outcome) -> None:
            self.request_checker.record_outcome(submission, outcome, replica.register)
            self.record_confirmed_index(self.request_checker.confirmed_index)
            on_outcome(outcome)

        request = node.submit_change(entries, ended)

        def withdraw() -> None:
            if request is not None and node.is_running and node.replica is replica and not node.frozen:
                node.proposer.withdraw(request)

        return withdraw

    def read(self, ip: str, on_outcome: Callable[[bool], None]) -> None:
        """Read at a node; raises Violation if the result misses a change that was confirmed before."""
        node = self.nodes[ip]
        replica, confirmed_index = node.replica, self.request_checker.confirmed_index

        def ended(latest: bool) -> None:
            if latest and replica.index < confirmed_index:
                raise Violation(f"{ip} reads at index {replica.index}, index {confirmed_index} was confirmed before")
            if latest:
                self.counters.reads += 1
                self.request_checker.confirmed_index = max(self.request_checker.confirmed_index, replica.index)
                self.record_confirmed_index(self.request_checker.confirmed_index)
            on_outcome(latest)

        node.read(ended)

    # ---- proxies -----------------------------------------------------------------------------

    def _reservation_client(self, name: str) -> ReservationClient:
        def send(ip: str, message: ReserveKey | ReleaseKey) -> None:
            self.post(Wire(name, ip, name), message)

        return ReservationClient(send)

    def update_membership(self, proxy: Proxy) -> None:
        """Have a proxy learn the membership of a random running node."""
        nodes = self.running_nodes()
        membership = self.rng.choice(nodes).replica.membership if nodes else None
        if membership is not None and (proxy.membership is None or membership.epoch > proxy.membership.epoch):
            proxy.membership = membership
            proxy.reservations.membership_changed(self.now, membership)

    def reserve_and_run(self, proxy: Proxy, key: bytes, owner: bytes) -> None:
        """Have a proxy reserve a key; once it is acquired, the operation runs or the key is released."""
        if proxy.membership is None:
            return

        sent_at = self.now

        def on_outcome(outcome: ReservationOutcome) -> None:
            if not isinstance(outcome, Acquired):
                return
            draw = self.rng.random()
            if draw < 0.2:
                self._send_to_voters(proxy, ReleaseKey(key, owner))
                return
            self.key_checker.record_run(key, owner, sent_at)
            self.counters.runs += 1
            if draw < 0.7:
                self._send_to_voters(proxy, CompleteKey(key, owner, BackendResponse(200, b"", owner)))

        proxy.reservations.reserve(self.now, proxy.membership, key, owner, 1.0, self.rng.uniform(0.3, 2.0), on_outcome)

    def _send_to_voters(self, proxy: Proxy, message: CompleteKey | ReleaseKey) -> None:
        if proxy.membership is not None:
            for voter in proxy.membership.voters:
                self.post(Wire(proxy.name, voter.ip, proxy.name), message)
