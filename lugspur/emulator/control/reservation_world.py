"""Small models of idempotency keys: two owners reserve one key while a new voter takes the place of another.

The voters are a, b and c; d replaces c, and a proposes this change through the register. Then c may be killed, or a may
be lost with its disk, at every step. In some models e replaces a next, which b proposes whether or not d has caught up.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lugspur.emulator.control.checks import KeyRunChecker, Violation
from lugspur.emulator.control.explorer import Event
from lugspur.emulator.control.node import Node, Wire
from lugspur.emulator.control.small_world import LONG_WAIT_S, SmallWorld
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome
from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import (
    BackendResponse,
    CompleteKey,
    FetchDecided,
    Membership,
    Message,
    OverdueMembership,
    ReleaseKey,
    ReserveKey,
    ReserveKeyReply,
    Voter,
)
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.reservation_client import Acquired, ReservationClient, ReservationOutcome

VOTERS, LEAVING, PROPOSER = ["a", "b", "c"], "c", "a"
#: The nodes that propose the second and the third membership, and those that get a vote by them.
PROPOSERS, NEW_NODES = (PROPOSER, "b"), ("d", "e")
MAX_FETCHES = 2  # requests of a new node for decided changes or for reservations
KEY = b"k"
FOREVER = float("inf")
MAX_RECOVERY_ROUNDS = 12


@dataclass(slots=True, frozen=True)
class Limits:
    """Which events may happen in a model, and how often."""

    name: str
    claimants: int = 2
    retries: int = 0  # repeated proposals
    kills: int = 0  # permanent stops of the leaving voter
    losses: int = 0  # permanent losses of the proposer with its disk, once the change is decided
    power_losses: int = 0
    disconnections: int = 0
    delayed_writes: bool = False
    replacements: int = 1  # of voters, one after another
    has_run: bool = False  # whether the first claimant's operation ran at the start, by grants of a and c
    freezes: int = 0  # how often the first proposer may be frozen


WORLDS = [
    Limits("one claims, a voter is exchanged", claimants=1),
    Limits("two claim, a voter is exchanged"),
    Limits("two claim, the one that leaves is killed", kills=1),
    Limits("two claim, another is lost with its disk after the change", losses=1),
    Limits("two claim, a voter is exchanged, power is lost", power_losses=1),
    Limits("two claim, a voter is exchanged, a connection breaks", disconnections=1),
    Limits("one has run, two voters are exchanged, one is killed", kills=1, replacements=2, has_run=True, freezes=1),
]


class Claimant:
    """A client that wants to run the operation; it knows a membership and may learn the next one."""

    def __init__(self, world: ReservationWorld, name: str) -> None:
        self.world, self.name, self.owner = world, name, name.encode()
        self.state = "idle"  # then "reserving", "acquired" or "rejected", "ran", "completed"
        self.membership: Membership = world.initial_membership
        self.reservations = ReservationClient(self.send)

    def send(self, ip: str, message: ReserveKey | ReleaseKey | CompleteKey) -> None:
        self.world.post(Wire(self.name, ip, self.name), message)

    def on_outcome(self, outcome: ReservationOutcome) -> None:
        self.state = "acquired" if isinstance(outcome, Acquired) else "rejected"

    def key(self) -> object:
        open_key = tuple(
            (tuple(sorted(call.granted_by)), tuple(sorted(call.taken_at))) for call in self.reservations._open.values()
        )
        return self.state, self.membership.epoch, open_key


class ReservationWorld(SmallWorld):
    """Three voters, a new node, and the claimants of one key."""

    def __init__(self, limits: Limits) -> None:
        self.new_nodes = NEW_NODES[: limits.replacements]
        super().__init__(
            VOTERS, list(self.new_nodes), limits.delayed_writes, limits.power_losses, limits.disconnections
        )
        self.limits = limits
        self.initial_membership = Membership(1, self.seeds)
        self.next_memberships = self._next_memberships()
        self.key_checker = KeyRunChecker()
        self.claimants = {name: Claimant(self, name) for name in ("x", "y")[: limits.claimants]}
        self.retries, self.kills, self.losses = limits.retries, limits.kills, limits.losses
        self.proposals = 0  # memberships that were proposed
        self.fetches_left = dict.fromkeys(self.new_nodes, MAX_FETCHES)
        self.freezes, self.is_frozen = limits.freezes, False
        if limits.has_run:
            self._run_without_b()

    def _run_without_b(self) -> None:
        """Run the first claimant's operation while b is down."""
        self.step(("claim", "x"))
        self.wires.pop(Wire("x", "b", "x"))
        for ip in ("a", "c"):
            self.step(("deliver", "x", ip, "x"))
            self.step(("deliver", ip, "x", "x"))
        self.step(("run", "x"))

    def _next_memberships(self) -> list[Membership]:
        a, b, c = self.seeds
        voters = [Voter(ip, self.nodes[ip].replica.voter.uid, "") for ip in self.new_nodes]
        memberships = [Membership(2, [a, b, voters[0]], [a, b, c])]
        if len(voters) > 1:
            memberships.append(OverdueMembership(3, [b, *voters], memberships[0].voters, [[a, b, c]]))
        return memberships

    @property
    def decided_membership(self) -> Membership:
        """The latest membership that any node has learned."""
        known = [node.replica.membership for node in self.nodes.values() if node.replica.membership is not None]
        return max(known, key=lambda membership: membership.epoch)

    @property
    def is_change_decided(self) -> bool:
        """Whether any node knows that the membership has changed."""
        return self.decided_membership.epoch > 1

    # ---- events ------------------------------------------------------------------------------

    def events(self) -> Iterator[Event]:
        """Yield the common events and those of claimants, of the new node and of permanent losses."""
        for event in super().events():
            if not (self.is_frozen and event[0] == "deliver" and event[2] == PROPOSER):
                yield event
        if self.is_frozen:
            yield ("thaw",)
        elif self.freezes and self.is_change_decided:
            yield ("freeze",)
        if self._may_propose():
            yield ("propose",)
        for name, claimant in self.claimants.items():
            if claimant.state == "idle":
                yield "claim", name
            elif claimant.state == "reserving" and claimant.membership.epoch < self.decided_membership.epoch:
                yield "hear", name
            elif claimant.state == "acquired":
                yield "run", name
            elif claimant.state == "ran":
                yield "tell", name
        for ip in self.new_nodes:
            yield from self._new_node_events(ip)
        if self.kills and self.nodes[LEAVING].is_running:
            yield ("kill",)
        if self.losses and self.is_change_decided and self.nodes[PROPOSER].is_running:
            yield ("lose",)

    def _may_propose(self) -> bool:
        """Whether the next membership may be proposed: its proposer knows the one before to be decided."""
        if self.proposals == len(self.next_memberships):
            return False
        proposer = self.nodes[PROPOSERS[self.proposals]]
        return proposer.is_running and proposer.replica.epoch == self.proposals + 1

    def _new_node_events(self, new_ip: str) -> Iterator[Event]:
        new_node = self.nodes[new_ip]
        if not self.fetches_left[new_ip] or not new_node.is_running:
            return
        epoch = self.decided_membership.epoch
        if new_node.replica.epoch < epoch:
            for ip in VOTERS:
                if self.nodes[ip].is_running and self.nodes[ip].replica.epoch == epoch:
                    yield "learn", new_ip, ip
        elif new_node.catch_up.is_needed:
            yield "fetch", new_ip

    def apply_own_event(self, kind: str, args: list[str]) -> None:
        """Apply an event of a claimant, of the new node, or of a permanent loss."""
        if kind == "propose":
            node, membership = self.nodes[PROPOSERS[self.proposals]], self.next_memberships[self.proposals]
            self.proposals += 1
            request = ChangeRequest([membership_entry(membership)], FOREVER, ignore_outcome, membership.epoch - 1)
            node.apply_effects(self.now, node.proposer.submit(self.now, request))
        elif kind == "learn":
            new_ip, ip = args
            self.fetches_left[new_ip] -= 1
            self.nodes[new_ip].send(ip, FetchDecided(self.nodes[new_ip].replica.index))
        elif kind == "fetch":
            self.fetches_left[args[0]] -= 1
            self._fetch_reservations(args[0])
        elif kind == "freeze":
            self.freezes -= 1
            self.is_frozen = True
        elif kind == "thaw":
            self.is_frozen = False
        elif kind == "kill":
            self.kills -= 1
            self.lose_power(LEAVING)
        elif kind == "lose":
            self.losses -= 1
            self.lose_power(PROPOSER)
            self.nodes[PROPOSER].wipe()
        else:
            self._apply_claimant_event(kind, self.claimants[args[0]])

    def _fetch_reservations(self, new_ip: str) -> None:
        self.now += 1.0
        node = self.nodes[new_ip]
        node.apply_effects(self.now, node.catch_up.tick(self.now))

    def _apply_claimant_event(self, kind: str, claimant: Claimant) -> None:
        if kind == "claim":
            claimant.state = "reserving"
            claimant.membership = self.decided_membership
            claimant.reservations.reserve(
                self.now, claimant.membership, KEY, claimant.owner, FOREVER, FOREVER, claimant.on_outcome
            )
        elif kind == "hear":
            claimant.membership = self.decided_membership
            claimant.reservations.membership_changed(self.now, claimant.membership)
        elif kind == "run":
            claimant.state = "ran"
            self.key_checker.record_run(KEY, claimant.owner)
        else:
            claimant.state = "completed"
            for voter in claimant.membership.voters:
                claimant.send(voter.ip, CompleteKey(KEY, claimant.owner, BackendResponse(200, b"", claimant.owner)))

    def handle_delivery(self, wire: Wire, message: Message) -> None:
        """Handle a message that is delivered to a node or, if it is a reply about a reservation, to a claimant."""
        claimant = self.claimants.get(wire.target)
        if claimant is None:
            super().handle_delivery(wire, message)
        elif isinstance(message, ReserveKeyReply) and claimant.state in (
            "reserving",
            "rejected",
            "acquired",
            "ran",
            "completed",
        ):
            claimant.reservations.receive(self.now, wire.source, message)

    # ---- recovery ----------------------------------------------------------------------------

    def check_recovery(self) -> None:
        """If the change is decided, check that a majority of the new voters becomes complete without help."""
        self.is_frozen = False
        for ip, node in self.nodes.items():
            if not node.is_running and node.disk and ip != LEAVING:
                node.start(self.now)
        if not self.is_change_decided or (self.nodes[PROPOSER].is_running and not self.proposals):
            return
        for _ in range(MAX_RECOVERY_ROUNDS):
            self.deliver_all()
            self.now += LONG_WAIT_S
            for node in self._running_nodes():
                self._catch_up(node)
                self.run_internal_events()
                self.deliver_all()
            for ip in self.new_nodes:
                self._fetch_reservations(ip)
            self.deliver_all()
            membership = self.decided_membership
            complete = [
                node.ip
                for node in self._running_nodes()
                if node.replica.epoch == membership.epoch and node.replica.is_complete
            ]
            if len(complete) >= majority(len(membership.voters)):
                return
        if self.nodes[LEAVING].is_running or self.nodes[PROPOSER].is_running:
            raise Violation(f"no majority of the new voters becomes complete, only {complete}")

    def _running_nodes(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.is_running]

    def _catch_up(self, node: Node) -> None:
        if node.replica.register.has_pending_change:
            node.apply_effects(self.now, node.proposer.resolve_pending(self.now))
        node.apply_effects(self.now, node.proposer.tick(self.now))
        most_advanced = max(self._running_nodes(), key=lambda other: other.replica.index)
        if node.replica.index < most_advanced.replica.index:
            node.send(most_advanced.ip, FetchDecided(node.replica.index))

    def extra_key(self) -> object:
        claimants = tuple(claimant.key() for claimant in self.claimants.values())
        return (
            claimants,
            self.proposals,
            tuple(self.fetches_left.values()),
            self.retries,
            self.kills,
            self.losses,
            self.freezes,
            self.is_frozen,
            tuple(self.key_checker.runs.items()),
        )


def ignore_outcome(outcome: Outcome) -> None:
    """Drop the outcome of the membership change: nothing waits for it."""
