"""The process of a control node: it keeps the mesh's state, updates subscribers and serves operators' calls."""

from __future__ import annotations

import asyncio
from typing import Any

from lugspur.http1.body_memory import BodyMemory
from lugspur.http1.front import Front
from lugspur.mesh import events
from lugspur.mesh.control.change_requests import ChangeRequest
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import LEASED_KINDS, MEMBERSHIP
from lugspur.mesh.control.membership_entry import read_membership
from lugspur.mesh.control.messages import (
    Accepted,
    ChangeResult,
    Delta,
    Entry,
    FetchDecided,
    ForwardChange,
    Hello,
    Learn,
    Message,
    Pong,
    Promise,
    ReadIndexReply,
    Report,
    ReservationsPage,
    Subscribe,
    Unsubscribe,
)
from lugspur.mesh.control.messages.coordination import CoordinationMessage
from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.control.read_index import Reader
from lugspur.mesh.control.reconfiguration import Reconfiguration, absence_timeout, allows_timely_replacement
from lugspur.mesh.control.replica import UID_ROW
from lugspur.mesh.control.store import EntryKey
from lugspur.mesh.control.voter_membership import Presence, Tolerance
from lugspur.mesh.control_node.announcement import Announcement
from lugspur.mesh.control_node.api import ControlNodeApi
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS, ChangeRouter
from lugspur.mesh.control_node.coordination_calls import CoordinationCalls
from lugspur.mesh.control_node.coordination_service import CoordinationService, is_coordination_hello, steady_clock
from lugspur.mesh.control_node.coordination_status import coordination_contents, coordination_summary
from lugspur.mesh.control_node.disk_health import DiskHealth
from lugspur.mesh.control_node.effect_runner import EffectRunner
from lugspur.mesh.control_node.leases import Leases
from lugspur.mesh.control_node.majority_contact import MajorityContact
from lugspur.mesh.control_node.membership_changes import MembershipChanges, presences_of
from lugspur.mesh.control_node.metrics import control_node_metrics
from lugspur.mesh.control_node.operator_calls import OperatorCalls
from lugspur.mesh.control_node.pending_changes import PendingChanges
from lugspur.mesh.control_node.recovery import (
    StoredRows,
    begin_as_first_voter,
    is_first_voter,
    open_disk,
    restore_state,
)
from lugspur.mesh.control_node.replica_catch_up import ReplicaCatchUp
from lugspur.mesh.control_node.status import control_node_status
from lugspur.mesh.control_node.subscribers import Subscribers
from lugspur.mesh.control_node.synced_epoch import SyncedEpoch
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.watches import WatchTable
from lugspur.mesh.http_api import MAX_CALL_BYTES
from lugspur.mesh.process import MAX_AGE_SECONDS, TICK_SECONDS, MeshProcess
from lugspur.mesh.process_pause import PauseDetector
from lugspur.mesh.settings import Settings
from lugspur.mesh.transport.dialer import Dialer
from lugspur.mesh.transport.link import Link
from lugspur.observability.metrics import render

CALL_MEMORY_FRACTION = 0.25  # fraction of the process's memory for the bodies of calls
SWEEP_INTERVAL_SECONDS = 1.0  # time between two searches for reservations whose window has ended
FLUSH_SECONDS = 0.02  # time for writing the last responses at shutdown
HANDOFF_FRACTION = 0.8  # share of the grace period for handing over the vote and the reservations
SHUTDOWN_FRACTION = 0.95  # share of the grace period after which no call is waited for any more
LAST_UPDATES_SECONDS = 0.3  # time after the handover in which subscribers learn of it
DISK_CLOSE_SECONDS = 1.0  # maximum time to wait for the last writes of each environment
#: Maximum age of the latest contact with a majority at which calls of applications are accepted.
COORDINATION_CONTACT_SECONDS = 1.5


class LocalPeer:
    """The process itself as a peer of its own replica."""

    def __init__(self, process: ControlNode) -> None:
        self._process = process
        self.peer = process.ip

    def send(self, message: Message) -> None:
        """Deliver a message in the next iteration of the event loop, as a connection would."""
        self._process.loop.call_soon(self._process.receive, self._process.ip, message)


class ControlNode(MeshProcess):
    """The process of one control node."""

    front: Front  # the listener for operators and applications; set by `serve`

    def __init__(self, settings: Settings, path: str) -> None:
        """`path` is the settings file, which is read again when it changes.

        Raises MeshError (STATE) if the disk can't be used.
        """
        self._disk = open_disk(settings)
        self.disk, self.coordination_disk = self._disk.configuration, self._disk.coordination
        rows = self._disk.read_rows()
        super().__init__(settings, path, is_control_node=True)
        self.local_peer = LocalPeer(self)
        self.pause_detector = PauseDetector()
        self.leases = Leases(self.store)
        self.announcement = Announcement(self.ip, self.store, self.next_edition, self._report)
        self.subscribers = Subscribers(self.loop, self.store, self.heartbeat_interval, self._update_since)
        self.disk_health = DiskHealth(self.disk, self.coordination_disk)
        self.effect_runner = EffectRunner(self.loop, self.disk, self.send_to)
        restored = restore_state(settings, self._disk, rows, steady_clock(), self._publish)
        self.replica = restored.replica
        self.majority_contact = MajorityContact(self.ip, self.replica, self.freshness, self.max_staleness)
        self.proposer = Proposer(self.replica, f"{self.ip}/{self.incarnation}", self.rng, self._disk_sizes)
        self.reader = Reader(self.replica)
        self.router = self._make_router()
        self.operator_calls = OperatorCalls(self.loop, self.replica, self.router, self.reader, self.run_effects)
        self.replica_catch_up = self._make_replica_catch_up()
        self.reconfiguration = self._make_reconfiguration()
        self.membership_changes = self._make_membership_changes()
        self.coordination = self._make_coordination(restored.coordination)
        self.watches = WatchTable(restored.coordination.state)
        self.coordination.node.on_advance = lambda now: self.watches.respond_to_ready()
        self.coordination_calls = CoordinationCalls(self.coordination.submit, self.watches, self.loop.call_later)
        self.pending_changes = PendingChanges(self.ip, self.replica, self._resolve_pending)
        self.dispatch_calls = ControlNodeApi(self).dispatch_calls()
        self._synced_epoch = SyncedEpoch(self.disk, self.replica.complete_epoch)
        self._sweep_at = 0.0
        self._published_index = self.replica.index  # the latest change that the other parts were notified of
        self._start(rows.configuration)

    def _make_router(self) -> ChangeRouter:
        return ChangeRouter(
            self.loop,
            self.ip,
            proposer=self.proposer,
            pause_detector=self.pause_detector,
            preferred_proposer=self.majority_contact.preferred_proposer,
            run_effects=self.run_effects,
            send_to=self.send_to,
        )

    def _make_replica_catch_up(self) -> ReplicaCatchUp:
        return ReplicaCatchUp(
            self.loop,
            self.replica,
            run_effects=self.run_effects,
            send_to=self.send_to,
            on_complete=self.subscribers.update_soon,
        )

    def _make_reconfiguration(self) -> Reconfiguration:
        bounds, tolerate = self.settings.tariffs.bounds, self.settings.tariffs.tolerate
        if not allows_timely_replacement(bounds.catch_up_s):
            events.warn("bounds", fault="catch_up_s leaves no time to replace a lost voter before the next loss")
        patience = absence_timeout(bounds.catch_up_s, bounds.contact_ms / 1000.0)
        tolerance = Tolerance(tolerate.machines, tolerate.zones, tolerate.regions)
        return Reconfiguration(
            self.replica,
            tolerance,
            patience,
            self.settings.network.zones,
            lambda: self._complete_epoch() == self.replica.epoch,
        )

    def _make_coordination(self, acceptor: CoordinationAcceptor) -> CoordinationService:
        return CoordinationService(
            self.loop,
            self.coordination_disk,
            self.replica,
            acceptor,
            inner_port=self.settings.network.inner_ports[0],
            incarnation=self.incarnation,
            rng=self.rng,
            has_majority=lambda now: self.majority_contact.age(now) < COORDINATION_CONTACT_SECONDS,
            is_paused=self.pause_detector.is_stale,
            may_lead=lambda: not self.is_leaving and not self.coordination_disk.fault,
        )

    def _make_membership_changes(self) -> MembershipChanges:
        return MembershipChanges(
            self.ip,
            replica=self.replica,
            reconfiguration=self.reconfiguration,
            store=self.store,
            freshness=self.freshness,
            max_staleness=self.max_staleness,
            pause_detector=self.pause_detector,
            propose=self._propose,
        )

    def _start(self, rows: StoredRows) -> None:
        """Start the disk writers, and start to vote if this is a voter of the first membership."""
        self._disk.start()
        if self.disk.damage:
            rows = []
        replica = self.replica
        if not rows and is_first_voter(self.settings, self.disk):
            self.run_effects(begin_as_first_voter(self.settings, replica, self.loop.time()))
            self.coordination.begin(is_first_voter=True)
        elif not rows:
            # The callback makes the disk write at once: it wakes the writer.
            self.disk.write([(UID_ROW, replica.voter.uid.encode())], lambda: None)
            self.coordination.begin(is_first_voter=False)
        events.info("control", uid=replica.voter.uid, epoch=replica.epoch, index=replica.index, rows=len(rows))
        self.announce()

    # ---- serving ---------------------------------------------------------------------------

    async def serve(self) -> None:
        """Listen for peers, and for operators and applications."""
        ip, port = self.settings.inner_bind_address
        await self.loop.create_server(lambda: Link(self._handle_peer_message, self._link_ended), ip, port, backlog=512)
        memory_bytes = self.settings.own.limits.memory_mb << 20
        body_memory = BodyMemory(int(memory_bytes * CALL_MEMORY_FRACTION), self.loop.call_soon)
        body_memory.set_largest_body(MAX_CALL_BYTES)
        address = self.settings.network.listen.dispatch
        self.front = await self.dispatch_calls.serve(address, memory_bytes, body_memory)

    def _link_ended(self, link: Link) -> None:
        self.subscribers.remove(link)
        self.replica_catch_up.link_ended(link)
        self.coordination.link_ended(link)

    def _handle_peer_message(self, link: Link, message: Message) -> None:
        """Handle a message on a connection that a peer dialled."""
        if isinstance(message, Hello) and is_coordination_hello(message):
            self.coordination.handle_hello(link, message)
        elif isinstance(message, Hello):
            link.peer = message.ip
            dialer = self.peers.get(message.ip)
            if dialer is not None:
                dialer.dial_now()
        elif isinstance(message, Subscribe):
            is_known = message.incarnation == self.incarnation and message.after_sequence <= self.store.latest_sequence
            self.subscribers.add(link, message.after_sequence if is_known else 0)
        elif isinstance(message, Unsubscribe):
            self.subscribers.remove(link)
        elif isinstance(message, Report):
            self.leases.report(self.loop.time(), link, message.entries)
        elif isinstance(message, Learn):
            self.replica_catch_up.handle_changes(link, message)
        elif isinstance(message, ForwardChange):
            self.router.handle_forwarded(link, message)
        elif isinstance(message, Pong):
            self.subscribers.record_acknowledgement(link, message)
        elif isinstance(message, CoordinationMessage):
            self.coordination.handle_message(link, message)
        else:
            self.run_effects(self.replica.handle(self.loop.time(), link, message))

    # ---- effects ---------------------------------------------------------------------------

    def run_effects(self, effects: Effects) -> None:
        """Send messages and write rows, and send the `after_sync` messages once the rows are on disk."""
        self.effect_runner.run(effects)
        self._advance()

    def _advance(self) -> None:
        """Notify the parts that wait for changes if the replica has learned of further ones."""
        if self._published_index == self.replica.index:
            return
        self._published_index = self.configuration_index = self.replica.index
        self.pending_changes.replica_advanced()
        now = self.loop.time()
        self.run_effects(self.proposer.replica_advanced(now))
        self.run_effects(self.reader.replica_advanced(now))
        self.subscribers.update_soon()

    def send_to(self, ip: str, message: Message) -> None:
        """Send a message to a control node, which may be this one."""
        if ip == self.ip:
            self.loop.call_soon(self._handle_own_message, message)
        else:
            super().send_to(ip, message)

    def _handle_own_message(self, message: Message) -> None:
        self.run_effects(self.replica.handle(self.loop.time(), self.local_peer, message))

    def _publish(self, entries: list[Entry], forgotten: list[EntryKey]) -> None:
        """Store entries that the replica has learned as decided, and remove those that it has removed."""
        self.store.merge(entries)
        self.store.forget(forgotten)

    # ---- messages of peers -----------------------------------------------------------------

    def receive(self, ip: str, message: Message) -> None:
        """Handle a message of a peer that this process dialled, or of its own replica."""
        self.membership_changes.message_received(self.loop.time(), ip)
        super().receive(ip, message)

    def receive_other(self, now: float, ip: str, message: Message) -> None:
        """Handle a reply to a message that this node sent as a proposer, reader, forwarder or newcomer."""
        if isinstance(message, Promise | Accepted):
            self.run_effects(self.proposer.receive(now, ip, message))
        elif isinstance(message, ReadIndexReply):
            effects, has_pending = self.reader.receive(now, ip, message)
            self.run_effects(effects)
            if has_pending:
                self.pending_changes.report_pending(now)
        elif isinstance(message, Learn):
            self.replica_catch_up.handle_changes(ip, message)
        elif isinstance(message, ChangeResult):
            self.router.forwarder.receive(ip, message)
        elif isinstance(message, FetchDecided):
            self.run_effects(self.replica.handle(now, ip, message))
        elif isinstance(message, ReservationsPage):
            self.replica_catch_up.handle_reservations(now, ip, message)

    def receive_update(self, now: float, ip: str, message: Delta) -> None:
        """Handle an update of a peer, and request the later changes that the peer knows unless they arrive unasked."""
        super().receive_update(now, ip, message)
        self.membership_changes.record_complete_epoch(ip, message.complete_epoch)
        self.replica_catch_up.request_changes_up_to(now, ip, message.decided_index)

    def merge_update(self, message: Delta) -> None:
        """Store the leased entries of any node's update; decided entries come only from the register."""
        for entry in message.entries:
            if entry.kind == MEMBERSHIP and entry.value is not None:
                self.adopt_membership(read_membership(entry.value))
        self.store.merge([entry for entry in message.entries if entry.kind in LEASED_KINDS])

    def disconnected(self, dialer: Dialer) -> None:
        """Handle the end of a connection that this process dialled, and reroute the changes forwarded on it."""
        self.replica_catch_up.disconnected(dialer.ip)
        self.membership_changes.disconnected(dialer.ip)
        super().disconnected(dialer)
        self.router.disconnected(self.loop.time(), dialer.ip)

    def membership_changed(self) -> None:
        """Handle a new membership."""
        super().membership_changed()
        self.membership_changes.membership_changed(self.membership)

    def wanted_peers(self) -> set[str]:
        """Return the voters and seeds, and while this node lacks reservations the earlier voters, which have them."""
        return super().wanted_peers() | self.replica_catch_up.sources()

    # ---- updates and announcements ---------------------------------------------------------

    def follows(self, ip: str) -> bool:
        """Whether this process subscribes to a peer's updates: a control node subscribes to those of all peers."""
        return True

    def own_entries(self, *, renew: bool) -> list[Entry]:
        """Return the leased entry by which this control node describes itself."""
        return self.announcement.entries()

    def entry_changed(self, entry: Entry) -> None:
        """Send a changed entry to subscribers, and announce this node again if the entry contradicts its own."""
        self.subscribers.update_soon()
        if self.announcement.is_contradicted_by(entry):
            self.loop.call_soon(self.announce)

    def _update_since(self, now: float, sequence: int) -> Delta:
        """Return the update for a subscriber that knows all changes up to a sequence number; 0 requests a snapshot."""
        replica = self.replica
        return Delta(
            self.incarnation,
            self.store.latest_sequence,
            now,
            min(MAX_AGE_SECONDS, self.majority_contact.age(now)),
            replica.index,
            replica.register.has_pending_change,
            replica.is_voter,
            self._complete_epoch(),
            sequence == 0,
            self.store.changed_after(sequence),
        )

    def _complete_epoch(self) -> int:
        """Return the epoch for which this node has all that a voter must have: reservations and coordination."""
        replica = self.replica
        if not replica.is_voter:
            return 0
        epoch = min(replica.complete_epoch, self._synced_epoch.epoch)
        return epoch if self.coordination.is_complete_for(replica.epoch) else min(epoch, replica.epoch - 1)

    def announce(self) -> None:
        """Announce the presence of this control node."""
        is_failing = self.disk_health.is_failing(self.loop.time())
        uid, zone = self.replica.voter.uid, self.settings.own.zone
        self.announcement.announce(Presence(uid, zone, self.is_leaving, is_failing, self.disk.max_bytes))

    def _report(self, report: Report) -> None:
        for dialer in self.peers.values():
            if dialer.link is not None:
                dialer.link.send(report)

    def _disk_sizes(self) -> list[int]:
        """Return the disk size in bytes of each control node that has announced it."""
        return [presence.disk_bytes for presence in presences_of(self.store).values()]

    # ---- changes ---------------------------------------------------------------------------

    def _propose(self, now: float, request: ChangeRequest) -> None:
        self.run_effects(self.proposer.submit(now, request))

    def _resolve_pending(self, now: float) -> None:
        self.run_effects(self.proposer.resolve_pending(now))

    # ---- time ------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run what is due at this time in each part."""
        self.pause_detector.tick(now)
        self.leases.tick(now)
        self.subscribers.tick(now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL_SECONDS
            self.run_effects(self.replica.sweep(now))
            self.disk_health.check(now)
            self.announce()
        self.router.tick(now)
        self.run_effects(self.proposer.tick(now))
        self.run_effects(self.reader.tick(now))
        self.replica_catch_up.tick(now)
        self.pending_changes.tick(now)
        self.membership_changes.tick(now)
        self._synced_epoch.track(self.replica.complete_epoch)
        self.coordination.tick()
        self._tick_watches()

    def _tick_watches(self) -> None:
        if len(self.watches) and self.majority_contact.age(steady_clock()) > COORDINATION_CONTACT_SECONDS:
            self.watches.fail_all(MeshError(ErrorKind.NO_QUORUM, "no contact with a majority of the voters"))
        self.watches.tick(steady_clock())

    # ---- status and metrics ----------------------------------------------------------------

    def metrics(self) -> bytes:
        """Return the metrics of this control node, in the text format of Prometheus."""
        return render(control_node_metrics(self))

    def status(self) -> dict[str, Any]:
        """Return the fields of /mesh/status."""
        return control_node_status(
            self.settings.own,
            self.replica,
            self.store,
            self.disk,
            ip=self.ip,
            age=self.majority_contact.age(self.loop.time()),
            voters_wanted=self.reconfiguration.tolerance.voter_count,
            subscribers=len(self.subscribers),
            coordination=coordination_summary(self),
        )

    def coordination_contents(self) -> dict[str, Any]:
        """Return the fields of /mesh/coordination."""
        return coordination_contents(self, steady_clock())

    # ---- shutdown --------------------------------------------------------------------------

    async def shut_down(self) -> None:
        """Shut down gracefully: hand over the vote and the reservations if another control node can take them."""
        self.is_leaving = True
        self.announce()
        self.coordination.resign()
        self.coordination_calls.leave()
        started_at, grace = self.loop.time(), self.settings.tariffs.bounds.grace_s
        deadline = started_at + HANDOFF_FRACTION * grace
        while self.loop.time() < deadline and not self.membership_changes.is_handed_over():
            await asyncio.sleep(TICK_SECONDS)
        await asyncio.sleep(LAST_UPDATES_SECONDS)
        # Guards callers against connections that end without a response: no call waits longer than this.
        deadline = min(self.loop.time() + DECISION_TIMEOUT_SECONDS, started_at + SHUTDOWN_FRACTION * grace)
        while self.loop.time() < deadline and (self.operator_calls.waiting or self.coordination_calls.waiting):
            await asyncio.sleep(FLUSH_SECONDS)
        self.front.close()
        await asyncio.sleep(FLUSH_SECONDS)
        self._disk.close(DISK_CLOSE_SECONDS)
