"""A mesh in virtual time: control nodes, their connections and disks, operators' calls, and proxies that claim keys."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.emulator.control.checks import Chain, KeyBook, OrderBook, Violation
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

LATENCY = (0.0005, 0.004)  # seconds from process to process
SYNC = (0.001, 0.008)  # seconds of a write
SLOW_SYNC = (0.05, 0.3)  # of a disk that is slow for a while
LAZY = 0.1  # seconds that rows wait that nobody waits for
SEEDS = 3
FRESH_SLACK = 0.35  # seconds by which a first message may be taken for younger than it is, and a ping more


@dataclass(slots=True)
class Connection:
    """What one has dialled; what is on its way of an older generation is lost."""

    up: bool = False
    generation: int = 0


@dataclass(slots=True)
class Proxy:
    """One that claims keys; it hears of memberships now and then."""

    name: str
    claims: ReservationClient
    membership: Membership | None = None


@dataclass(slots=True)
class Figures:
    """What happened in a history."""

    confirmed: int = 0
    refused: int = 0
    unclear: int = 0
    turned_away: int = 0
    reads: int = 0
    runs: int = 0
    changes: int = 0
    epochs: int = 0
    messages: int = 0
    learn_bytes: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    well_after: float = 0.0  # seconds from the end of the last fault until all was well
    missed: int = 0  # changes that one missed that was away for long, at most
    caught_up_after: float = 0.0  # seconds until it knew them


class MeshWorld:
    """So many control nodes over three zones, and so many proxies."""

    def __init__(self, seed: int, setting: Setting, proxies: int = 3) -> None:
        self.rng = Random(seed)
        self.clock = Clock()
        self.setting = setting
        self.figures = Figures()
        self.chain = Chain()
        self.book = OrderBook(self.chain)
        self.keys = KeyBook(setting.window_s, not setting.hasty)
        self.floors: list[tuple[float, int]] = [(0.0, 0)]  # when somebody was told that a change is in force
        self.nodes: dict[str, MeshNode] = {}
        self.connections: dict[tuple[str, str], Connection] = {}
        self.cuts: set[tuple[str, str]] = set()  # source and target: one direction each
        self.slow: set[str] = set()
        self._held: dict[Wire, list[tuple[int, Message]]] = {}
        self._latest: dict[Wire, float] = {}
        self._syncs: set[str] = set()
        self._addresses = 0
        for n in range(setting.nodes):
            self.add_node(f"z{n % 3}")
        self.seeds = list(self.nodes)[:SEEDS]
        genesis = [Voter(ip, GENESIS, "") for ip in self.seeds]
        for ip, node in self.nodes.items():
            node.start(self.now, genesis if ip in self.seeds else ())
        self.chain.observe("first", self.nodes[self.seeds[0]].replica.register)
        self.proxies = {f"p{n}": Proxy(f"p{n}", self._claims(f"p{n}")) for n in range(proxies)}
        for ip in self.nodes:
            self.later(self.rng.random() * TICK_SECONDS, self.looker(ip))

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return self.clock.now

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Have something happen after a while."""
        self.clock.at(self.clock.now + delay, call)

    def add_node(self, zone: str) -> MeshNode:
        """Another machine with an empty disk, which does not run yet."""
        self._addresses += 1
        ip = f"10.0.0.{self._addresses:02d}"
        node = self.nodes[ip] = MeshNode(self, ip, zone, self.setting.tolerance, self.setting.window_s)
        return node

    def looker(self, ip: str) -> Callable[[], None]:
        """What a node looks at again and again."""

        def look() -> None:
            node = self.nodes.get(ip)
            if node is None:
                return
            if node.up and not node.frozen:
                node.look()
                self._check_age(node)
            self.later(TICK_SECONDS, look)

        return look

    def _check_age(self, node: MeshNode) -> None:
        """What was confirmed before a node's state was known as fresh is known to it."""
        before = self.now - node.age(self.now) - FRESH_SLACK
        place = bisect_right(self.floors, (before, 1 << 60)) - 1
        if place >= 0 and self.floors[place][1] > node.replica.index:
            raise Violation(
                f"{node.ip} goes by change {node.replica.index} as fresh, {self.floors[place]} was confirmed"
            )

    # ---- connections -------------------------------------------------------------------------

    def connected(self, ip: str, other: str) -> bool:
        """Whether the connection that the first has dialled is up."""
        connection = self.connections.get((ip, other))
        return connection is not None and connection.up

    def dial(self, ip: str, other: str) -> None:
        """Connect where both run and nothing is cut."""
        node = self.nodes.get(other)
        if node is None or not node.up or (ip, other) in self.cuts or (other, ip) in self.cuts:
            return
        self.connections.setdefault((ip, other), Connection()).up = True
        self.nodes[ip].went_up(other)

    def hang_up(self, dialler: str, listener: str) -> None:
        """A connection ends, and what is on its way with it."""
        connection = self.connections.setdefault((dialler, listener), Connection())
        was_up, connection.up = connection.up, False
        connection.generation += 1
        for wire in (Wire(dialler, listener, dialler), Wire(listener, dialler, dialler)):
            self._held.pop(wire, None)
            self._latest.pop(wire, None)
        first, second = self.nodes.get(dialler), self.nodes.get(listener)
        if was_up and first is not None and first.up:
            self._hear(first, lambda: first.went_down(listener))
        if was_up and second is not None and second.up:
            self._hear(second, lambda: second.was_left(dialler))

    @staticmethod
    def _hear(node: MeshNode, what: Callable[[], None]) -> None:
        """At once, or behind all that has come while it is frozen."""
        if node.frozen:
            node.arrived.append(what)
        else:
            what()

    def hang_up_all(self, ip: str) -> None:
        """All connections of a node end."""
        for pair in [pair for pair in self.connections if ip in pair]:
            self.hang_up(*pair)

    def post(self, wire: Wire, message: Message) -> None:
        """Put a message on its way."""
        self.figures.messages += 1
        other = wire.target if wire.dialled_by == wire.source else wire.source
        pair = (wire.dialled_by, other)
        if wire.source == wire.target:
            self.later(1e-6, lambda: self._deliver(wire, message))
            return
        connection = self.connections.get(pair)
        if connection is None and wire.dialled_by in self.proxies:
            connection = self.connections[pair] = Connection(True)
        if connection is None or not connection.up:
            return
        if isinstance(message, Learn):
            self.figures.learn_bytes += len(encode(message))
        generation = connection.generation
        at = max(self._latest.get(wire, 0.0) + 1e-6, self.now + self.rng.uniform(*LATENCY))
        self._latest[wire] = at
        self.clock.at(at, lambda: self._arrive(wire, generation, message))

    def _arrive(self, wire: Wire, generation: int, message: Message) -> None:
        other = wire.target if wire.dialled_by == wire.source else wire.source
        if self.connections[wire.dialled_by, other].generation != generation:
            return
        if (wire.source, wire.target) in self.cuts or wire in self._held:
            self._held.setdefault(wire, []).append((generation, message))
        else:
            self._deliver(wire, message)

    def _deliver(self, wire: Wire, message: Message) -> None:
        if isinstance(message, ReservationsPage) and not self.setting.claims_heard:
            return
        node = self.nodes.get(wire.target)
        if node is None:
            proxy = self.proxies.get(wire.target)
            if proxy is not None and isinstance(message, ReserveKeyReply):
                proxy.claims.receive(self.now, wire.source, message)
        elif node.up and node.frozen:
            node.arrived.append(lambda: self._heard(node, wire, message))
        elif node.up:
            self._heard(node, wire, message)

    def _heard(self, node: MeshNode, wire: Wire, message: Message) -> None:
        node.heard(self.now, wire, message)
        if isinstance(message, Delta):
            self._check_age(node)

    def heal(self, cuts: set[tuple[str, str]]) -> None:
        """Directions are open again: what was held up goes on, in its order."""
        self.cuts -= cuts
        for wire in [wire for wire in self._held if (wire.source, wire.target) in cuts]:
            for generation, message in self._held.pop(wire):
                self._latest[wire] = at = max(self._latest.get(wire, 0.0) + 1e-6, self.now + LATENCY[0])
                self.clock.at(at, lambda w=wire, g=generation, m=message: self._arrive(w, g, m))  # type: ignore[misc]

    # ---- processes ---------------------------------------------------------------------------

    def to_sync(self, node: MeshNode, prompt: bool) -> None:
        """Write soon; one write at a time."""
        if node.ip in self._syncs and not prompt:
            return
        self._syncs.add(node.ip)
        lives = node.lives
        span = SLOW_SYNC if node.ip in self.slow else SYNC

        def sync() -> None:
            self._syncs.discard(node.ip)
            if node.up and node.lives == lives and not node.frozen:
                node.sync()

        self.later(self.rng.uniform(*span) + (0.0 if prompt else LAZY), sync)

    def stop(self, ip: str) -> None:
        """A node loses its power."""
        node = self.nodes[ip]
        if node.up:
            node.stop()
            self.hang_up_all(ip)
            for name in self.proxies:
                self.connections[name, ip] = Connection(
                    True, self.connections.get((name, ip), Connection()).generation + 1
                )

    def start(self, ip: str) -> None:
        """A node's process starts on its disk."""
        node = self.nodes.get(ip)
        if node is None or node.up:
            return
        node.start(self.now)
        for proxy in self.proxies.values():
            proxy.claims.voter_connected(self.now, ip)

    def freeze(self, ip: str) -> None:
        """A node stands still; what comes waits."""
        self.nodes[ip].frozen = True

    def wake(self, ip: str) -> None:
        """It goes on, and hears what has come."""
        node = self.nodes.get(ip)
        if node is None or not node.up or not node.frozen:
            return
        node.frozen = False
        arrived, node.arrived = node.arrived, []
        node.sync()
        for hear in arrived:
            if node.up:
                hear()

    # ---- what is seen ------------------------------------------------------------------------

    def observe(self, node: Node) -> None:
        """A node has learned of a change."""
        self.chain.observe(node.ip, node.replica.register)

    def told(self, index: int) -> None:
        """Somebody was told that all up to this change is in force."""
        if index > self.floors[-1][1]:
            self.floors.append((self.now, index))

    def quorum_up(self, span: float) -> bool:
        """Whether word of a majority has reached some node within so many seconds: agreement goes on."""
        return any(node.age(self.now) < span for node in self.up())

    def up(self) -> list[MeshNode]:
        """Nodes that run."""
        return [node for node in self.nodes.values() if node.up and not node.frozen]

    def order(self, ip: str, entries: list[Entry], over: Callable[[Outcome], None]) -> Callable[[], None]:
        """Send an order to a node; returns what its caller does who waits no longer."""
        node = self.nodes[ip]
        sending = self.book.sent(entries)
        replica = node.replica

        def ended(outcome: Outcome) -> None:
            self.book.ended(sending, outcome, replica.register)
            self.told(self.book.floor)
            over(outcome)

        order = node.amend(entries, ended)

        def leave() -> None:
            if order is not None and node.up and node.replica is replica and not node.frozen:
                node.proposer.withdraw(order)

        return leave

    def read(self, ip: str, over: Callable[[bool], None]) -> None:
        """Read at a node."""
        node = self.nodes[ip]
        replica, floor = node.replica, self.book.floor

        def ended(latest: bool) -> None:
            if latest and replica.index < floor:
                raise Violation(f"{ip} reads change {replica.index}, {floor} was confirmed before")
            if latest:
                self.figures.reads += 1
                self.book.floor = max(self.book.floor, replica.index)
                self.told(self.book.floor)
            over(latest)

        node.read(ended)

    # ---- proxies -----------------------------------------------------------------------------

    def _claims(self, name: str) -> ReservationClient:
        def send(ip: str, message: ReserveKey | ReleaseKey) -> None:
            self.post(Wire(name, ip, name), message)

        return ReservationClient(send)

    def hear(self, proxy: Proxy) -> None:
        """A proxy hears of the membership from some node."""
        nodes = self.up()
        membership = self.rng.choice(nodes).replica.membership if nodes else None
        if membership is not None and (proxy.membership is None or membership.epoch > proxy.membership.epoch):
            proxy.membership = membership
            proxy.claims.membership_changed(self.now, membership)

    def claim(self, proxy: Proxy, key: bytes, by: bytes) -> None:
        """A proxy claims a key; once it is won, the operation runs or turns out not to."""
        if proxy.membership is None:
            return

        sent_at = self.now

        def over(how: ReservationOutcome) -> None:
            if not isinstance(how, Acquired):
                return
            draw = self.rng.random()
            if draw < 0.2:
                self._tell(proxy, ReleaseKey(key, by))
                return
            self.keys.run(key, by, sent_at)
            self.figures.runs += 1
            if draw < 0.7:
                self._tell(proxy, CompleteKey(key, by, BackendResponse(200, b"", by)))

        proxy.claims.reserve(self.now, proxy.membership, key, by, 1.0, self.rng.uniform(0.3, 2.0), over)

    def _tell(self, proxy: Proxy, message: CompleteKey | ReleaseKey) -> None:
        if proxy.membership is not None:
            for voter in proxy.membership.voters:
                self.post(Wire(proxy.name, voter.ip, proxy.name), message)
