"""A control node in virtual time, with all that `lugspur.mesh.control_node.process` does between messages."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

import msgspec

from lugspur.emulator.control.node import Node, Wire
from lugspur.mesh.control.change_requests import ChangeRequest, NoQuorum, Outcome
from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.items import CONTROL
from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import (
    Delta,
    Entry,
    FetchDecided,
    Membership,
    Message,
    Pong,
    Report,
    Subscribe,
    Voter,
)
from lugspur.mesh.control.read_index import Read
from lugspur.mesh.control.reconfiguration import Reconfiguration, absence_timeout
from lugspur.mesh.control.voter_membership import Presence, Tolerance
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS, MAX_PENDING_CALLS
from lugspur.mesh.control_node.disk_health import DISK_FAILURE_SECONDS
from lugspur.mesh.control_node.leases import LEASE_SECONDS
from lugspur.mesh.control_node.pending_changes import MAX_PENDING_SECONDS
from lugspur.mesh.control_node.process import SWEEP_INTERVAL_SECONDS
from lugspur.mesh.control_node.replica_catch_up import CATCH_UP_DELAY_SECONDS
from lugspur.mesh.process import HEARTBEAT_FRACTION, MAX_MISSED_HEARTBEATS, STALENESS_FRACTION, TICK_SECONDS
from lugspur.mesh.process_pause import PAUSE_THRESHOLD_SECONDS, REJECT_AFTER_PAUSE_SECONDS

EDITION_S = 2.0  # edition_ms of the settings
CATCH_UP_S = 4.0
CONTACT_S = 3.0
PING = max(0.1, HEARTBEAT_FRACTION * EDITION_S)
STALE = max(0.3, STALENESS_FRACTION * EDITION_S)

_pack = msgspec.msgpack.Encoder().encode
_presence = msgspec.msgpack.Decoder(Presence)


class Surroundings(Protocol):
    """What a node sees of the world."""

    rng: Random
    seeds: list[str]

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""

    def post(self, wire: Wire, message: Message) -> None:
        """Put a message on its way."""

    def observe(self, node: Node) -> None:
        """A node has learned of a change."""

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Have something happen after a while."""

    def dial(self, ip: str, other: str) -> None:
        """Try to connect."""

    def hang_up(self, dialler: str, listener: str) -> None:
        """End a connection."""

    def connected(self, ip: str, other: str) -> bool:
        """Whether the connection that the first has dialled is up."""

    def to_sync(self, node: MeshNode, prompt: bool) -> None:
        """The node has something to write; `prompt`: somebody waits for it."""


class MeshNode(Node):
    """One control node of a mesh in virtual time."""

    def __init__(self, world: Surroundings, ip: str, zone: str, tolerance: Tolerance, window_s: float) -> None:
        super().__init__(ip, zone, window_s, world.rng, world.post, world.observe)
        self.world, self.tolerance = world, tolerance
        self.clock_ahead = world.rng.uniform(0.0, 1e5)  # of its steady clock
        self.frozen = False
        self.disk_fails = False
        self.arrived: list[Callable[[], None]] = []  # what it is to hear once it is no longer frozen, in this order

    def start(self, now: float, seeds: Iterable[Voter] = ()) -> None:
        """A process starts on this disk."""
        super().start(now, seeds)
        self.frozen = self.leaving = False
        self.arrived.clear()
        self.freshness = Freshness(MAX_MISSED_HEARTBEATS * PING)
        self.presences: dict[str, Presence] = {}
        self.leases: dict[str, float] = {}
        self.complete_epochs: dict[str, int] = {}
        self.subscribers: dict[str, float] = {}  # who dialled, and when it was told last
        self.echoes: dict[str, float] = {}  # what each subscriber's latest Pong was dated by its clock
        self.heard_at: dict[str, float] = {}  # on the own connections
        self.changed_at: dict[str, float] = {}  # when an own connection went up or down
        self.reconfiguration = Reconfiguration(self.replica, self.tolerance, absence_timeout(CATCH_UP_S, CONTACT_S))
        self.asked_for = self.sweep_at = 0.0
        self.pending_since: float | None = None
        self.failing_since: float | None = None
        self.looked_at = self.woken_at = float("-inf")
        self.announced: Presence | None = None
        self.life = f"{self.ip}/{self.lives}"

    def do(self, now: float, effects: Any) -> None:
        """As a node does, and have the disk write."""
        super().do(now, effects)
        if effects.write or effects.after_sync:
            self.world.to_sync(self, bool(effects.after_sync))

    def sync(self) -> None:
        """All that waits is on disk; where the disk refuses, nobody is told and the rows wait."""
        if self.disk_fails:
            for write in self.unsynced:
                write.after_sync.clear()
        else:
            super().sync()

    # ---- peers -------------------------------------------------------------------------------

    def wanted(self) -> set[str]:
        """Whom it keeps a connection to."""
        found = set(self.world.seeds)
        membership = self.replica.membership
        if membership is not None:
            found |= {voter.ip for voter in membership.voters}
            if self.replica.is_voter and not self.replica.is_complete:
                found |= {voter.ip for voter in membership.previous_voters}
        return found - {self.ip}

    def went_up(self, ip: str) -> None:
        """An own connection is there."""
        now = self.world.now
        self.heard_at[ip] = self.changed_at[ip] = now
        self.freshness.subscribed(now, ip)
        self.send(ip, Subscribe("", 0))
        if self.announced is not None:
            self.send(ip, self._report())

    def went_down(self, ip: str) -> None:
        """An own connection has ended."""
        self.changed_at[ip] = self.world.now
        self.heard_at.pop(ip, None)
        self.freshness.disconnected(ip)
        self.catch_up.disconnected(ip)
        self.pages.disconnected(Wire(ip, self.ip, self.ip))
        self.complete_epochs.pop(ip, None)

    def was_left(self, ip: str) -> None:
        """A connection that another dialled has ended."""
        self.subscribers.pop(ip, None)
        self.echoes.pop(ip, None)
        self.pages.disconnected(Wire(ip, self.ip, ip))

    def _report(self) -> Report:
        return Report([Entry(CONTROL, self.ip, 1, _pack(self.announced))])

    def heard(self, now: float, wire: Wire, message: Message) -> None:
        """A message has come."""
        if wire.dialled_by == self.ip:
            self.heard_at[wire.source] = now
        elif wire.source in self.leases:
            self.leases[wire.source] = now
        if isinstance(message, Subscribe):
            self._tell(wire.source)
        elif isinstance(message, Report):
            self.leases[wire.source] = now
            self.presences[wire.source] = _presence.decode(message.entries[0].value or b"")
        elif isinstance(message, Delta):
            self._delta(now, wire, message)
        elif isinstance(message, Pong):
            self.echoes[wire.source] = message.sent_at
        else:
            super().heard(now, wire, message)

    def _delta(self, now: float, wire: Wire, message: Delta) -> None:
        ip = wire.source
        self.freshness.receive(now, ip, message)
        self.complete_epochs[ip] = message.complete_epoch
        self.send(wire.back, Pong(now))
        if message.decided_index > self.replica.index and now - self.asked_for > CATCH_UP_DELAY_SECONDS:
            self.asked_for = now
            replica, index = self.replica, message.decided_index

            def ask() -> None:
                if replica is self.replica and self.up and replica.index < index:
                    self.send(ip, FetchDecided(replica.index))

            self.world.later(CATCH_UP_DELAY_SECONDS, ask)

    def _tell(self, ip: str) -> None:
        now, replica = self.world.now, self.replica
        self.subscribers[ip] = now
        complete = replica.complete_epoch if replica.is_voter else 0
        delta = Delta(
            self.life,
            0,
            now + self.clock_ahead,
            min(1e6, self.age(now)),
            replica.index,
            replica.register.has_pending_change,
            replica.is_voter,
            complete,
            False,
            [],
            self.echoes.get(ip, 0.0),
        )
        self.send(Wire(self.ip, ip, ip), delta)

    def age(self, now: float) -> float:
        """Seconds since word of a majority: what was confirmed before then is known here."""
        replica = self.replica
        if replica.membership is None:
            return 1e9
        own = self.ip if replica.is_voter and not replica.register.has_pending_change else ""
        return now - self.freshness.known_up_to(now, replica.membership, replica.index, own)

    # ---- calls -------------------------------------------------------------------------------

    def amend(self, entries: list[Entry], over: Callable[[Outcome], None]) -> ChangeRequest | None:
        """An operator's order; None where it was turned away."""
        now = self.world.now
        if (
            len(self.proposer) >= MAX_PENDING_CALLS
            or now - self.looked_at > PAUSE_THRESHOLD_SECONDS
            or now - self.woken_at < REJECT_AFTER_PAUSE_SECONDS
        ):
            over(NoQuorum())
            return None
        order = ChangeRequest(entries, now + DECISION_TIMEOUT_SECONDS, over)
        self.do(now, self.proposer.submit(now, order))
        return order

    def read(self, over: Callable[[bool], None]) -> None:
        """An operator's read."""
        self.do(
            self.world.now, self.reader.submit(self.world.now, Read(self.world.now + DECISION_TIMEOUT_SECONDS, over))
        )

    # ---- time --------------------------------------------------------------------------------

    def advanced(self, now: float) -> None:
        """All who follow this node are told."""
        self.pending_since = None
        for ip in list(self.subscribers):
            self._tell(ip)

    def pending(self, now: float) -> None:
        """Decide what was accepted, or give it up, if nobody does for a while."""
        if self.pending_since is None:
            self.pending_since = now
        elif now - self.pending_since > MAX_PENDING_SECONDS:
            self.pending_since = now
            self.do(now, self.proposer.resolve_pending(now))

    def look(self) -> None:
        """What is due from time to time."""
        now = self.world.now
        if now - self.looked_at > PAUSE_THRESHOLD_SECONDS and self.looked_at > float("-inf"):
            self.woken_at = now
        self.looked_at = now
        for ip in sorted(self.wanted()):
            if not self.world.connected(self.ip, ip):
                self.changed_at.setdefault(ip, now)
                self.world.dial(self.ip, ip)
        self._look_at_peers(now)
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_INTERVAL_SECONDS
            self.do(now, self.replica.sweep(now))
            self._look_at_disk(now)
        self._announce(now)
        self.do(now, self.proposer.tick(now))
        self.do(now, self.reader.tick(now))
        self.do(now, self.catch_up.tick(now))
        self._look_at_pending(now)
        self._reconfigure(now)

    def _look_at_peers(self, now: float) -> None:
        for ip, at in list(self.leases.items()):
            if now - at > LEASE_SECONDS:
                del self.leases[ip]
                self.presences.pop(ip, None)
                if self.world.connected(ip, self.ip):
                    self.world.hang_up(ip, self.ip)
        for ip, told in list(self.subscribers.items()):
            if now - told >= PING - TICK_SECONDS / 2:
                self._tell(ip)

    def _look_at_disk(self, now: float) -> None:
        if not self.disk_fails:
            self.failing_since = None
        elif self.failing_since is None:
            self.failing_since = now

    def _announce(self, now: float) -> None:
        failing = self.failing_since is not None and now - self.failing_since > DISK_FAILURE_SECONDS
        presence = Presence(self.replica.voter.uid, self.zone, self.leaving, failing)
        if presence != self.announced:
            self.announced = self.presences[self.ip] = presence
            for ip in self.wanted():
                if self.world.connected(self.ip, ip):
                    self.send(ip, self._report())

    def _look_at_pending(self, now: float) -> None:
        membership = self.replica.membership
        if membership is None or not self.replica.is_voter or not self.replica.register.has_pending_change:
            self.pending_since = None
            return
        rank = [voter.ip for voter in membership.voters].index(self.ip)
        if self.pending_since is None:
            self.pending_since = now + MAX_PENDING_SECONDS * rank
        else:
            self.pending(now)

    def _reconfigure(self, now: float) -> None:
        membership = self.replica.membership
        if membership is None or not self.replica.is_voter:
            return
        complete, absent = set(), {}
        for voter in membership.voters:
            if voter.ip == self.ip:
                continue
            up = self.world.connected(self.ip, voter.ip)
            absent[voter.ip] = now - (self.heard_at if up else self.changed_at).get(voter.ip, now)
            fresh = now - self.freshness.latest_update_at(voter.ip) < STALE
            if fresh and self.complete_epochs.get(voter.ip, 0) == membership.epoch:
                complete.add(voter.ip)
        step = self.reconfiguration.next_step(now, self.presences, complete, absent)
        if step is not None:
            self._propose(now, step)

    def _propose(self, now: float, step: Membership) -> None:
        order = ChangeRequest([membership_entry(step)], now + DECISION_TIMEOUT_SECONDS, ignore, step.epoch - 1)
        self.do(now, self.proposer.submit(now, order))

    def handed_on(self) -> bool:
        """Whether nobody needs this process any more, which is leaving."""
        membership = self.replica.membership
        if membership is None:
            return True
        voters = {voter.ip for voter in membership.voters}
        if self.replica.is_voter:
            return not set(self.presences) - voters
        if not any(voter.ip == self.ip for voter in membership.previous_voters):
            return True
        return all(self.complete_epochs.get(ip, 0) >= membership.epoch for ip in voters)


def ignore(outcome: Outcome) -> None:
    """Nobody waits for it."""
