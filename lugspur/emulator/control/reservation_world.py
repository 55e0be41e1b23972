"""Small models of idempotency keys: two owners reserve one key while a new voter takes the place of another.

The voters are a, b and c; d replaces c, and a proposes this change through the register. Then c may be killed, or a may
be lost with its disk, at every step.
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
    ReleaseKey,
    ReserveKey,
    ReserveKeyReply,
    Voter,
)
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.reservation_client import Acquired, ReservationClient, ReservationOutcome

VOTERS, LEAVING, NEW, PROPOSER = ["a", "b", "c"], "c", "d", "a"
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


WORLDS = [
    Limits("one claims, a voter is exchanged", claimants=1),
    Limits("two claim, a voter is exchanged"),
    Limits("two claim, the one that leaves is killed", kills=1),
    Limits("two claim, another is lost with its disk after the change", losses=1),
    Limits("two claim, a voter is exchanged, power is lost", power_losses=1),
    Limits("two claim, a voter is exchanged, a connection breaks", disconnections=1),
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
        super().__init__(VOTERS, [NEW], limits.delayed_writes, limits.power_losses, limits.disconnections)
        self.limits = limits
        self.initial_membership = Membership(1, self.seeds)
        new_node = Voter(NEW, self.nodes[NEW].replica.voter.uid, "")
        self.next_membership = Membership(2, [*self.seeds[:2], new_node], self.seeds)
        self.key_checker = KeyRunChecker()
        self.claimants = {name: Claimant(self, name) for name in ("x", "y")[: limits.claimants]}
        self.retries, self.kills, self.losses = limits.retries, limits.kills, limits.losses
        self.is_proposed = False
        self.fetches_left = 2  # requests of the new node for decided changes or for reservations

    @property
    def is_change_decided(self) -> bool:
        """Whether any node knows that the membership has changed."""
        return self.decided_states.last_index > 1

    # ---- events ------------------------------------------------------------------------------

    def events(self) -> Iterator[Event]:
        """Yield the common events and those of claimants, of the new node and of permanent losses."""
        yield from super().events()
        if not self.is_proposed and self.nodes[PROPOSER].is_running:
            yield ("propose",)
        for name, claimant in self.claimants.items():
            if claimant.state == "idle":
                yield "claim", name
            elif claimant.state == "reserving" and self.is_change_decided and claimant.membership.epoch < 2:
                yield "hear", name
            elif claimant.state == "acquired":
                yield "run", name
            elif claimant.state == "ran":
                yield "tell", name
        yield from self._new_node_events()
        if self.kills and self.nodes[LEAVING].is_running:
            yield ("kill",)
        if self.losses and self.is_change_decided and self.nodes[PROPOSER].is_running:
            yield ("lose",)

    def _new_node_events(self) -> Iterator[Event]:
        new_node = self.nodes[NEW]
        if not self.fetches_left or not new_node.is_running:
            return
        if new_node.replica.epoch < 2:
            for ip in VOTERS:
                if self.nodes[ip].is_running and self.nodes[ip].replica.epoch == 2:
                    yield "learn", ip
        elif not new_node.replica.is_complete:
            yield ("fetch",)

    def apply_own_event(self, kind: str, args: list[str]) -> None:
        """Apply an event of a claimant, of the new node, or of a permanent loss."""
        if kind == "propose":
            self.is_proposed = True
            node = self.nodes[PROPOSER]
            request = ChangeRequest([membership_entry(self.next_membership)], FOREVER, ignore_outcome, 1)
            node.apply_effects(self.now, node.proposer.submit(self.now, request))
        elif kind == "learn":
            self.fetches_left -= 1
            self.nodes[NEW].send(args[0], FetchDecided(self.nodes[NEW].replica.index))
        elif kind == "fetch":
            self.fetches_left -= 1
            self._fetch_reservations()
        elif kind == "kill":
            self.kills -= 1
            self.lose_power(LEAVING)
        elif kind == "lose":
            self.losses -= 1
            self.lose_power(PROPOSER)
            self.nodes[PROPOSER].wipe()
        else:
            self._apply_claimant_event(kind, self.claimants[args[0]])

    def _fetch_reservations(self) -> None:
        self.now += 1.0
        node = self.nodes[NEW]
        node.apply_effects(self.now, node.catch_up.tick(self.now))

    def _apply_claimant_event(self, kind: str, claimant: Claimant) -> None:
        if kind == "claim":
            claimant.state = "reserving"
            if self.is_change_decided:
                claimant.membership = self.next_membership
            claimant.reservations.reserve(
                self.now, claimant.membership, KEY, claimant.owner, FOREVER, FOREVER, claimant.on_outcome
            )
        elif kind == "hear":
            claimant.membership = self.next_membership
            claimant.reservations.membership_changed(self.now, self.next_membership)
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
        for ip, node in self.nodes.items():
            if not node.is_running and node.disk and ip != LEAVING:
                node.start(self.now)
        if not self.is_change_decided or (self.nodes[PROPOSER].is_running and not self.is_proposed):
            return
        for _ in range(MAX_RECOVERY_ROUNDS):
            self.deliver_all()
            self.now += LONG_WAIT_S
            for node in self._running_nodes():
                self._catch_up(node)
                self.run_internal_events()
                self.deliver_all()
            self._fetch_reservations()
            self.deliver_all()
            complete = [
                node.ip for node in self._running_nodes() if node.replica.epoch == 2 and node.replica.is_complete
            ]
            if len(complete) >= majority(len(self.next_membership.voters)):
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
            self.is_proposed,
            self.fetches_left,
            self.retries,
            self.kills,
            self.losses,
            tuple(self.key_checker.runs.items()),
        )


def ignore_outcome(outcome: Outcome) -> None:
    """Drop the outcome of the membership change: nothing waits for it."""
