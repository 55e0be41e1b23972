"""A control node in virtual time, with all the periodic work of `lugspur.mesh.control_node.process`."""

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

# Value of the setting `edition_ms`, in seconds.
EDITION_S = 2.0
# Value of the setting `catch_up_s`, in seconds.
CATCH_UP_S = 4.0
# Value of the setting `contact_ms`, in seconds.
CONTACT_S = 3.0
# Interval of heartbeats to subscribers, in seconds.
HEARTBEAT_INTERVAL_S = max(0.1, HEARTBEAT_FRACTION * EDITION_S)
# Seconds after its last update at which a peer's state counts as stale.
STALENESS_LIMIT_S = max(0.3, STALENESS_FRACTION * EDITION_S)

_pack = msgspec.msgpack.Encoder().encode
_presence = msgspec.msgpack.Decoder(Presence)


class NodeEnvironment(Protocol):
    """The part of the world that a node uses."""

    rng: Random
    seeds: list[str]

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""

    def post(self, wire: Wire, message: Message) -> None:
        """Send a message."""

    def observe(self, node: Node) -> None:
        """Check the state of a node whose index has advanced."""

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""

    def dial(self, ip: str, other: str) -> None:
        """Try to connect."""

    def disconnect(self, dialler: str, listener: str) -> None:
        """End a connection."""

    def is_connected(self, ip: str, other: str) -> bool:
        """Whether the connection that the first has dialled is up."""

    def schedule_sync(self, node: MeshNode, is_urgent: bool) -> None:
        """Schedule a disk sync of a node; `is_urgent` tells whether a message waits for it."""


class MeshNode(Node):
    """One control node of a mesh in virtual time."""

    def __init__(
        self, world: NodeEnvironment, ip: str, zone: str, tolerance: Tolerance, deduplication_window_s: float
    ) -> None:
        super().__init__(ip, zone, deduplication_window_s, world.rng, world.post, world.observe)
        self.world, self.tolerance = world, tolerance
        self.clock_offset = world.rng.uniform(0.0, 1e5)  # seconds by which its monotonic clock is ahead of virtual time
        self.frozen = False
        self.disk_fails = False
        self.deferred: list[Callable[[], None]] = []  # actions to run in this order once the node is no longer frozen

    def start(self, now: float, seeds: Iterable[Voter] = ()) -> None:
        """Start a process on this disk."""
        super().start(now, seeds)
        self.frozen = self.leaving = False
        self.deferred.clear()
        self.freshness = Freshness(MAX_MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S)
        self.presences: dict[str, Presence] = {}
        self.leases: dict[str, float] = {}
        self.complete_epochs: dict[str, int] = {}
        self.subscribers: dict[str, float] = {}  # time of the last delta to each node that dialled this one
        self.last_pong_sent_at: dict[str, float] = {}  # the sender's time in the latest Pong of each subscriber
        self.last_received_at: dict[str, float] = {}  # time of the last message on each of this node's own connections
        # Time at which each of this node's own connections was opened or lost.
        self.connection_changed_at: dict[str, float] = {}
        self.reconfiguration = Reconfiguration(self.replica, self.tolerance, absence_timeout(CATCH_UP_S, CONTACT_S))
        self.last_fetch_at = self.sweep_at = 0.0
        self.pending_since: float | None = None
        self.failing_since: float | None = None
        self.last_tick_at = self.resumed_at = float("-inf")
        self.announced_presence: Presence | None = None
        self.incarnation = f"{self.ip}/{self.incarnation_number}"

    def apply_effects(self, now: float, effects: Any) -> None:
        """Apply effects and schedule a disk sync if they need one."""
        super().apply_effects(now, effects)
        if effects.write or effects.after_sync:
            self.world.schedule_sync(self, bool(effects.after_sync))

    def sync(self) -> None:
        """Put all queued writes on disk; if the disk fails, keep the rows and drop the messages that wait for them."""
        if self.disk_fails:
            for write in self.unsynced:
                write.after_sync.clear()
        else:
            super().sync()

    # ---- peers -------------------------------------------------------------------------------

    def peers_to_connect(self) -> set[str]:
        """Return the peers to which this node keeps a connection."""
        peers = set(self.world.seeds)
        membership = self.replica.membership
        if membership is not None:
            peers |= {voter.ip for voter in membership.voters}
        return (peers | self.catch_up.sources()) - {self.ip}

    def connection_opened(self, ip: str) -> None:
        """Handle the start of a connection that this node dialled."""
        now = self.world.now
        self.last_received_at[ip] = self.connection_changed_at[ip] = now
        self.freshness.subscribed(now, ip)
        self.send(ip, Subscribe("", 0))
        if self.announced_presence is not None:
            self.send(ip, self._presence_report())

    def connection_closed(self, ip: str) -> None:
        """Handle the end of a connection that this node dialled."""
        self.connection_changed_at[ip] = self.world.now
        self.last_received_at.pop(ip, None)
        self.freshness.disconnected(ip)
        self.catch_up.disconnected(ip)
        self.pages.disconnected(Wire(ip, self.ip, self.ip))
        self.complete_epochs.pop(ip, None)

    def subscriber_disconnected(self, ip: str) -> None:
        """Handle the end of a connection that another node dialled."""
        self.subscribers.pop(ip, None)
        self.last_pong_sent_at.pop(ip, None)
        self.pages.disconnected(Wire(ip, self.ip, ip))

    def _presence_report(self) -> Report:
        return Report([Entry(CONTROL, self.ip, 1, _pack(self.announced_presence))])

    def receive(self, now: float, wire: Wire, message: Message) -> None:
        """Handle a message."""
        if wire.dialled_by == self.ip:
            self.last_received_at[wire.source] = now
        elif wire.source in self.leases:
            self.leases[wire.source] = now
        if isinstance(message, Subscribe):
            self._send_delta(wire.source)
        elif isinstance(message, Report):
            self.leases[wire.source] = now
            self.presences[wire.source] = _presence.decode(message.entries[0].value or b"")
        elif isinstance(message, Delta):
            self._receive_delta(now, wire, message)
        elif isinstance(message, Pong):
            self.last_pong_sent_at[wire.source] = message.sent_at
        else:
            super().receive(now, wire, message)

    def _receive_delta(self, now: float, wire: Wire, message: Delta) -> None:
        ip = wire.source
        self.freshness.receive(now, ip, message)
        self.complete_epochs[ip] = message.complete_epoch
        self.send(wire.reverse, Pong(now))
        if message.decided_index > self.replica.index and now - self.last_fetch_at > CATCH_UP_DELAY_SECONDS:
            self.last_fetch_at = now
            replica, index = self.replica, message.decided_index

            def fetch() -> None:
                if replica is self.replica and self.is_running and replica.index < index:
                    self.send(ip, FetchDecided(replica.index))

            self.world.schedule(CATCH_UP_DELAY_SECONDS, fetch)

    def _send_delta(self, ip: str) -> None:
        now, replica = self.world.now, self.replica
        self.subscribers[ip] = now
        complete = replica.complete_epoch if replica.is_voter else 0
        delta = Delta(
            self.incarnation,
            0,
            now + self.clock_offset,
            min(1e6, self.age(now)),
            replica.index,
            replica.register.has_pending_change,
            replica.is_voter,
            complete,
            False,
            [],
            self.last_pong_sent_at.get(ip, 0.0),
        )
        self.send(Wire(self.ip, ip, ip), delta)

    def age(self, now: float) -> float:
        """Return the age of this node's state: the node knows all that was confirmed more than so many seconds ago."""
        replica = self.replica
        if replica.membership is None:
            return 1e9
        own = self.ip if replica.is_voter and not replica.register.has_pending_change else ""
        return now - self.freshness.known_up_to(now, replica.membership, replica.index, own)

    # ---- calls -------------------------------------------------------------------------------

    def submit_change(self, entries: list[Entry], on_outcome: Callable[[Outcome], None]) -> ChangeRequest | None:
        """Submit an operator's change request; return None if it is rejected at once."""
        now = self.world.now
        if (
            len(self.proposer) >= MAX_PENDING_CALLS
            or now - self.last_tick_at > PAUSE_THRESHOLD_SECONDS
            or now - self.resumed_at < REJECT_AFTER_PAUSE_SECONDS
        ):
            on_outcome(NoQuorum())
            return None
        request = ChangeRequest(entries, now + DECISION_TIMEOUT_SECONDS, on_outcome)
        self.apply_effects(now, self.proposer.submit(now, request))
        return request

    def read(self, on_outcome: Callable[[bool], None]) -> None:
        """Submit an operator's read."""
        self.apply_effects(
            self.world.now,
            self.reader.submit(self.world.now, Read(self.world.now + DECISION_TIMEOUT_SECONDS, on_outcome)),
        )

    # ---- periodic work -----------------------------------------------------------------------

    def index_advanced(self, now: float) -> None:
        """Send a delta to all subscribers."""
        self.pending_since = None
        for ip in list(self.subscribers):
            self._send_delta(ip)

    def pending_change_reported(self, now: float) -> None:
        """Resolve a pending change if it has been pending for too long."""
        if self.pending_since is None:
            self.pending_since = now
        elif now - self.pending_since > MAX_PENDING_SECONDS:
            self.pending_since = now
            self.apply_effects(now, self.proposer.resolve_pending(now))

    def tick(self) -> None:
        """Do the periodic work of a control node."""
        now = self.world.now
        if now - self.last_tick_at > PAUSE_THRESHOLD_SECONDS and self.last_tick_at > float("-inf"):
            self.resumed_at = now
        self.last_tick_at = now
        for ip in sorted(self.peers_to_connect()):
            if not self.world.is_connected(self.ip, ip):
                self.connection_changed_at.setdefault(ip, now)
                self.world.dial(self.ip, ip)
        self._check_peers(now)
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_INTERVAL_SECONDS
            self.apply_effects(now, self.replica.sweep(now))
            self._check_disk(now)
        self._announce_presence(now)
        self.apply_effects(now, self.proposer.tick(now))
        self.apply_effects(now, self.reader.tick(now))
        self.apply_effects(now, self.catch_up.tick(now))
        self._check_pending(now)
        self._propose_reconfiguration(now)

    def _check_peers(self, now: float) -> None:
        for ip, at in list(self.leases.items()):
            if now - at > LEASE_SECONDS:
                del self.leases[ip]
                self.presences.pop(ip, None)
                if self.world.is_connected(ip, self.ip):
                    self.world.disconnect(ip, self.ip)
        for ip, last_sent_at in list(self.subscribers.items()):
            if now - last_sent_at >= HEARTBEAT_INTERVAL_S - TICK_SECONDS / 2:
                self._send_delta(ip)

    def _check_disk(self, now: float) -> None:
        if not self.disk_fails:
            self.failing_since = None
        elif self.failing_since is None:
            self.failing_since = now

    def _announce_presence(self, now: float) -> None:
        failing = self.failing_since is not None and now - self.failing_since > DISK_FAILURE_SECONDS
        presence = Presence(self.replica.voter.uid, self.zone, self.leaving, failing)
        if presence != self.announced_presence:
            self.announced_presence = self.presences[self.ip] = presence
            for ip in self.peers_to_connect():
                if self.world.is_connected(self.ip, ip):
                    self.send(ip, self._presence_report())

    def _check_pending(self, now: float) -> None:
        membership = self.replica.membership
        if membership is None or not self.replica.is_voter or not self.replica.register.has_pending_change:
            self.pending_since = None
            return
        rank = [voter.ip for voter in membership.voters].index(self.ip)
        if self.pending_since is None:
            self.pending_since = now + MAX_PENDING_SECONDS * rank
        else:
            self.pending_change_reported(now)

    def _propose_reconfiguration(self, now: float) -> None:
        membership = self.replica.membership
        if membership is None or not self.replica.is_voter:
            return
        complete, absences = set(), {}
        for voter in membership.voters:
            if voter.ip == self.ip:
                continue
            is_connected = self.world.is_connected(self.ip, voter.ip)
            absences[voter.ip] = now - (self.last_received_at if is_connected else self.connection_changed_at).get(
                voter.ip, now
            )
            fresh = now - self.freshness.latest_update_at(voter.ip) < STALENESS_LIMIT_S
            if fresh and self.complete_epochs.get(voter.ip, 0) == membership.epoch:
                complete.add(voter.ip)
        step = self.reconfiguration.next_step(now, self.presences, complete, absences)
        if step is not None:
            self._propose_membership(now, step)

    def _propose_membership(self, now: float, step: Membership) -> None:
        request = ChangeRequest(
            [membership_entry(step)], now + DECISION_TIMEOUT_SECONDS, ignore_outcome, step.epoch - 1
        )
        self.apply_effects(now, self.proposer.submit(now, request))

    def may_stop(self) -> bool:
        """Whether this leaving process may stop.

        As a voter it may if no other node can take over its vote, and as an earlier voter once all voters are complete.
        """
        membership = self.replica.membership
        if membership is None:
            return True
        voters = {voter.ip for voter in membership.voters}
        if self.replica.is_voter:
            return not set(self.presences) - voters
        if not self.replica.is_source:
            return True
        return all(self.complete_epochs.get(ip, 0) >= membership.epoch for ip in voters)


def ignore_outcome(outcome: Outcome) -> None:
    """Drop the outcome of a membership change: nothing waits for it."""
