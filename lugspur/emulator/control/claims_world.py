"""Small worlds of operation keys: two that claim one while a voter leaves and a newcomer takes its place.

Voters a, b and c; c leaves, d comes, and a proposes the change by the register's own agreement. Then c may be killed,
or a lost with its disk, at every step.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lugspur.emulator.control.checks import KeyBook, Violation
from lugspur.emulator.control.explorer import Event
from lugspur.emulator.control.node import Node, Wire
from lugspur.emulator.control.small_world import PAUSE, SmallWorld
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

VOTERS, LEAVING, NEW, FIRST = ["a", "b", "c"], "c", "d", "a"
KEY = b"k"
FOREVER = float("inf")
SETTLE_TRIES = 12


@dataclass(slots=True, frozen=True)
class Limits:
    """What may happen in a world, and how often."""

    name: str
    claimants: int = 2
    retries: int = 0  # proposals that are made anew
    kills: int = 0  # of the leaving one, for good
    losses: int = 0  # of the first one with its disk, for good, once the change is decided
    powers: int = 0
    breaks: int = 0
    disks: bool = False


WORLDS = [
    Limits("one claims, a voter is exchanged", claimants=1),
    Limits("two claim, a voter is exchanged"),
    Limits("two claim, the one that leaves is killed", kills=1),
    Limits("two claim, another is lost with its disk after the change", losses=1),
    Limits("two claim, a voter is exchanged, power is lost", powers=1),
    Limits("two claim, a voter is exchanged, a connection breaks", breaks=1),
]


class Claimant:
    """One that wants to run the operation; it knows a membership, and may hear of the next one."""

    def __init__(self, world: ClaimsWorld, name: str) -> None:
        self.world, self.name, self.by = world, name, name.encode()
        self.state = "idle"  # asking, won, ran, told, lost
        self.membership: Membership = world.first
        self.claims = ReservationClient(self.send)

    def send(self, ip: str, message: ReserveKey | ReleaseKey | CompleteKey) -> None:
        self.world.post(Wire(self.name, ip, self.name), message)

    def over(self, how: ReservationOutcome) -> None:
        self.state = "won" if isinstance(how, Acquired) else "lost"

    def key(self) -> object:
        asked = tuple((tuple(sorted(o.granted_by)), tuple(sorted(o.taken_at))) for o in self.claims._open.values())
        return self.state, self.membership.epoch, asked


class ClaimsWorld(SmallWorld):
    """Three voters, a newcomer, and who claims."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(VOTERS, [NEW], limits.disks, limits.powers, limits.breaks)
        self.limits = limits
        self.first = Membership(1, self.seeds)
        newcomer = Voter(NEW, self.nodes[NEW].replica.voter.uid, "")
        self.next = Membership(2, [*self.seeds[:2], newcomer], self.seeds)
        self.book = KeyBook()
        self.claimants = {name: Claimant(self, name) for name in ("x", "y")[: limits.claimants]}
        self.retries, self.kills, self.losses = limits.retries, limits.kills, limits.losses
        self.proposed = False
        self.asks = 2  # times that the newcomer asks for claims, and for what is decided

    @property
    def decided(self) -> bool:
        """Whether anybody knows that the voters have changed."""
        return self.chain.last > 1

    # ---- events ------------------------------------------------------------------------------

    def events(self) -> Iterator[Event]:
        """What claimants, the newcomer and losses bring, beside all else."""
        yield from super().events()
        if not self.proposed and self.nodes[FIRST].up:
            yield ("propose",)
        for name, claimant in self.claimants.items():
            if claimant.state == "idle":
                yield "claim", name
            elif claimant.state == "asking" and self.decided and claimant.membership.epoch < 2:
                yield "hear", name
            elif claimant.state == "won":
                yield "run", name
            elif claimant.state == "ran":
                yield "tell", name
        yield from self._newcomer_events()
        if self.kills and self.nodes[LEAVING].up:
            yield ("kill",)
        if self.losses and self.decided and self.nodes[FIRST].up:
            yield ("lose",)

    def _newcomer_events(self) -> Iterator[Event]:
        newcomer = self.nodes[NEW]
        if not self.asks or not newcomer.up:
            return
        if newcomer.replica.epoch < 2:
            for ip in VOTERS:
                if self.nodes[ip].up and self.nodes[ip].replica.epoch == 2:
                    yield "learn", ip
        elif not newcomer.replica.is_complete:
            yield ("fetch",)

    def happen(self, what: str, who: list[str]) -> None:
        """A claimant goes on, the newcomer asks, or something is lost for good."""
        if what == "propose":
            self.proposed = True
            node = self.nodes[FIRST]
            order = ChangeRequest([membership_entry(self.next)], FOREVER, ignore, 1)
            node.do(self.now, node.proposer.submit(self.now, order))
        elif what == "learn":
            self.asks -= 1
            self.nodes[NEW].send(who[0], FetchDecided(self.nodes[NEW].replica.index))
        elif what == "fetch":
            self.asks -= 1
            self._fetch()
        elif what == "kill":
            self.kills -= 1
            self.lose_power(LEAVING)
        elif what == "lose":
            self.losses -= 1
            self.lose_power(FIRST)
            self.nodes[FIRST].wipe()
        else:
            self._claim(what, self.claimants[who[0]])

    def _fetch(self) -> None:
        self.now += 1.0
        node = self.nodes[NEW]
        node.do(self.now, node.catch_up.tick(self.now))

    def _claim(self, what: str, claimant: Claimant) -> None:
        if what == "claim":
            claimant.state = "asking"
            if self.decided:
                claimant.membership = self.next
            claimant.claims.reserve(self.now, claimant.membership, KEY, claimant.by, FOREVER, FOREVER, claimant.over)
        elif what == "hear":
            claimant.membership = self.next
            claimant.claims.membership_changed(self.now, self.next)
        elif what == "run":
            claimant.state = "ran"
            self.book.run(KEY, claimant.by)
        else:
            claimant.state = "told"
            for voter in claimant.membership.voters:
                claimant.send(voter.ip, CompleteKey(KEY, claimant.by, BackendResponse(200, b"", claimant.by)))

    def arrived(self, wire: Wire, message: Message) -> None:
        """A message has come; verdicts come to claimants."""
        claimant = self.claimants.get(wire.target)
        if claimant is None:
            super().arrived(wire, message)
        elif isinstance(message, ReserveKeyReply) and claimant.state in ("asking", "lost", "won", "ran", "told"):
            claimant.claims.receive(self.now, wire.source, message)

    # ---- all is well again -------------------------------------------------------------------

    def settle(self) -> None:
        """Where the change is decided, a majority of the new voters becomes complete by itself."""
        for ip, node in self.nodes.items():
            if not node.up and node.disk and ip != LEAVING:
                node.start(self.now)
        if not self.decided or (self.nodes[FIRST].up and not self.proposed):
            return
        for _ in range(SETTLE_TRIES):
            self.deliver_all()
            self.now += PAUSE
            for node in self._up():
                self._bring_up(node)
                self.within()
                self.deliver_all()
            self._fetch()
            self.deliver_all()
            complete = [n.ip for n in self._up() if n.replica.epoch == 2 and n.replica.is_complete]
            if len(complete) >= majority(len(self.next.voters)):
                return
        if self.nodes[LEAVING].up or self.nodes[FIRST].up:
            raise Violation(f"no majority becomes complete again: {complete}")

    def _up(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.up]

    def _bring_up(self, node: Node) -> None:
        if node.replica.register.has_pending_change:
            node.do(self.now, node.proposer.resolve_pending(self.now))
        node.do(self.now, node.proposer.tick(self.now))
        best = max(self._up(), key=lambda other: other.replica.index)
        if node.replica.index < best.replica.index:
            node.send(best.ip, FetchDecided(node.replica.index))

    def own_key(self) -> object:
        claimants = tuple(claimant.key() for claimant in self.claimants.values())
        return claimants, self.proposed, self.asks, self.retries, self.kills, self.losses, tuple(self.book.runs.items())


def ignore(outcome: Outcome) -> None:
    """Nobody waits for the change of the voters."""
