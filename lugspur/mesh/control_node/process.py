"""The process of a control node: it keeps the mesh's state, tells all who subscribe, and takes operators' calls."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import msgspec

from lugspur.mesh import events
from lugspur.mesh.control.change_requests import ChangeRequest
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.items import LEASED_KINDS, MEMBERSHIP
from lugspur.mesh.control.learned_pages import LearnedPages
from lugspur.mesh.control.membership import Presence, Tolerance
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
    Voter,
)
from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.control.read_index import Reader
from lugspur.mesh.control.reconfiguration import Reconfiguration, absence_timeout, leaves_time
from lugspur.mesh.control.replica import GENESIS, UID_ROW, Replica, read_membership
from lugspur.mesh.control.reservation_catch_up import ReservationCatchUp
from lugspur.mesh.control.store import EntryKey
from lugspur.mesh.control_node.announcement import Announcement
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS, ChangeRouter
from lugspur.mesh.control_node.effect_runner import EffectRunner
from lugspur.mesh.control_node.leases import Leases
from lugspur.mesh.control_node.membership_changes import MembershipChanges, presences_of
from lugspur.mesh.control_node.metrics import control_node_metrics
from lugspur.mesh.control_node.operator_calls import OperatorCalls
from lugspur.mesh.control_node.pending_changes import PendingChanges
from lugspur.mesh.control_node.status import control_node_status
from lugspur.mesh.control_node.subscribers import Subscribers
from lugspur.mesh.http_api import HttpApi, reply
from lugspur.mesh.process import TICK_SECONDS, MeshProcess
from lugspur.mesh.process_pause import PauseDetector
from lugspur.mesh.settings import Settings
from lugspur.mesh.storage.disk import Disk
from lugspur.mesh.transport.link import Dialer, Link
from lugspur.observability.metrics import CONTENT_TYPE, render
from lugspur.seams import Answerable, Request

SWEEP_INTERVAL_SECONDS = 1.0  # seconds between looks at claims whose window is over
FLUSH_SECONDS = 0.02  # seconds in which the last answers are written
HANDOFF_FRACTION = 0.8  # of the time that a process has to end, for handing its vote and its claims on
SHUTDOWN_FRACTION = 0.95  # ...and by which no call is waited for any more
CATCH_UP_DELAY_SECONDS = 0.05  # seconds for which a replica waits to be told what it lacks before it asks
PROPOSER_SILENCE_SECONDS = 0.5  # seconds since the latest word of a voter to whom orders are handed
DISK_FAILURE_SECONDS = 1.0  # seconds for which a disk may refuse writes until the vote goes to another

_json = msgspec.json.Encoder().encode


class LocalPeer:
    """This process as a peer of its own replica."""

    def __init__(self, node: ControlNode) -> None:
        self._node = node
        self.peer = node.ip

    def send(self, message: Message) -> None:
        """Hand it over in the loop's next turn, as a connection would."""
        self._node.loop.call_soon(self._node.heard, self._node.ip, message)


class ControlNode(MeshProcess):
    """The process of one control node."""

    def __init__(self, settings: Settings, path: str) -> None:
        limits, own = settings.own.limits, settings.own
        self.disk = Disk(own.data_dir, limits.disk_mb)
        rows = self.disk.rows()
        self._sweep_at = 0.0
        super().__init__(settings, path, True)
        self.local = LocalPeer(self)
        self.effect_runner = EffectRunner(self.loop, self.disk, self.to)
        self.announcement = Announcement(self.ip, self.store, self.edition, self._report)
        self.subscribers = Subscribers(self.loop, self.store, self.ping, self._news)
        self.leases = Leases(self.store)
        self.pause_detector = PauseDetector()
        bounds, tolerate = settings.tariffs.bounds, settings.tariffs.tolerate
        self.replica = self._restore(rows)
        self.pages = LearnedPages()
        self.proposer = Proposer(self.replica, f"{self.ip}/{self.life}", self.rng, self._disk_sizes)
        self.reader = Reader(self.replica)
        self.router = ChangeRouter(
            self.loop, self.ip, self.proposer, self.pause_detector, self._preferred_proposer, self.do, self.to
        )
        self.operator_calls = OperatorCalls(self.loop, self.replica, self.router, self.reader, self.do)
        self.catch_up = ReservationCatchUp(self.replica)
        patience = absence_timeout(bounds.catch_up_s, bounds.contact_ms / 1000.0)
        tolerance = Tolerance(tolerate.machines, tolerate.zones, tolerate.regions)
        self.reconfiguration = Reconfiguration(self.replica, tolerance, patience, settings.network.zones)
        self.membership_changes = MembershipChanges(
            self.ip,
            self.replica,
            self.reconfiguration,
            self.store,
            self.freshness,
            self.stale,
            self.pause_detector,
            self._propose,
        )
        self.pending_changes = PendingChanges(self.ip, self.replica, self._finish_pending)
        if not leaves_time(bounds.catch_up_s):
            events.warn("bounds", fault="catch_up_s leaves no time to replace a lost voter before the next loss")
        self._index_seen = self.replica.index
        self._asked_for = 0.0  # when what others know was asked for last
        self._failing_since: float | None = None
        self.disk.start()
        if self.disk.damaged:  # never as at the very first start: what was promised is gone
            rows = []
        if not rows and own.first_start and own.ip in settings.seeds and not self.disk.damaged:
            self.replica.voter = Voter(own.ip, GENESIS, own.zone)
            self.do(self.replica.begin(self.loop.time(), [Voter(ip, GENESIS, "") for ip in settings.seeds]))
        elif not rows:
            self.disk.write([(UID_ROW, self.replica.voter.uid.encode())], lambda: None)
        replica = self.replica
        events.info("control", uid=replica.voter.uid, epoch=replica.epoch, index=replica.index, rows=len(rows))
        self.announce()

    def _restore(self, rows: list[tuple[bytes, bytes]]) -> Replica:
        """What is on disk, or a newcomer's state where that can't be used."""
        own, window = self.settings.own, self.settings.tariffs.bounds.stamp_window_s
        for found in (rows, []):
            replica = Replica(
                own.ip, os.urandom(8).hex(), own.zone, window, own.limits.memory_mb << 20, self._published
            )
            try:
                replica.restore(found, self.loop.time())
                break
            except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
                self.disk.set_aside(str(fault))
        return replica

    # ---- serving its kind ------------------------------------------------------------------

    async def serve(self) -> None:
        """Listen to the mesh, and to operators."""
        ip, port = self.settings.inner_bind
        await self.loop.create_server(lambda: Link(self._asked, self._ended), ip, port, backlog=512)
        calls = HttpApi()
        calls.add("POST", "/config/amend", self.operator_calls.amend)
        calls.add("GET", "/config/read", self.operator_calls.read)
        calls.add("GET", "/mesh/status", lambda request, caller, found: reply(caller, _json(self.status())))
        calls.add("GET", "/metrics", self._metrics)
        self.front = await calls.serve(self.settings.network.listen.dispatch, self.settings.own.limits.memory_mb << 20)

    def _ended(self, link: Link) -> None:
        self.subscribers.remove(link)
        self.pages.disconnected(link)

    def _asked(self, link: Link, message: Message) -> None:
        """Something from one who dialled."""
        if isinstance(message, Hello):
            link.peer = message.ip
            dialler = self.peers.get(message.ip)
            if dialler is not None:
                dialler.nudge()
        elif isinstance(message, Subscribe):
            since = (
                message.after_sequence
                if message.incarnation == self.life and message.after_sequence <= self.store.latest_sequence
                else 0
            )
            self.subscribers.add(link, since)
        elif isinstance(message, Unsubscribe):
            self.subscribers.remove(link)
        elif isinstance(message, Report):
            self.leases.report(self.loop.time(), link, message.entries)
        elif isinstance(message, Learn):
            self._learn(link, message)
        elif isinstance(message, ForwardChange):
            self.router.submitted(link, message)
        elif isinstance(message, Pong):
            self.subscribers.answered(link, message)
        else:
            self.do(self.replica.handle(self.loop.time(), link, message))

    def do(self, effects: Effects) -> None:
        """Send, write, and send the rest once that is on disk."""
        self.effect_runner.run(effects)
        self._advance()

    def _advance(self) -> None:
        """Tell whoever waits for it that the replica knows of further changes."""
        if self._index_seen == self.replica.index:
            return
        self._index_seen = self.index = self.replica.index
        self.pending_changes.advanced()
        now = self.loop.time()
        self.do(self.proposer.replica_advanced(now))
        self.do(self.reader.replica_advanced(now))
        self.subscribers.tell_soon()

    def to(self, ip: str, message: Message) -> None:
        if ip == self.ip:
            self.loop.call_soon(self._to_self, message)
        else:
            super().to(ip, message)

    def _to_self(self, message: Message) -> None:
        self.do(self.replica.handle(self.loop.time(), self.local, message))

    # ---- what others know ------------------------------------------------------------------

    def _published(self, entries: list[Entry], forgotten: list[EntryKey]) -> None:
        """The replica has decided entries, or forgotten names."""
        self.store.merge(entries)
        self.store.forget(forgotten)

    def take_news(self, message: Delta) -> list[Entry]:
        """Leased entries count from anybody; what is decided comes by the register alone."""
        for entry in message.entries:
            if entry.kind == MEMBERSHIP and entry.value is not None:
                self.go_by(read_membership(entry.value))
        return self.store.merge([entry for entry in message.entries if entry.kind in LEASED_KINDS])

    def heard_more(self, now: float, ip: str, message: Message) -> None:
        if isinstance(message, Promise | Accepted):
            self.do(self.proposer.receive(now, ip, message))
        elif isinstance(message, ReadIndexReply):
            effects, pending = self.reader.receive(now, ip, message)
            self.do(effects)
            if pending:
                self.pending_changes.seen(now)
        elif isinstance(message, Learn):
            self._learn(ip, message)
        elif isinstance(message, ChangeResult):
            self.router.forwarder.receive(ip, message)
        elif isinstance(message, FetchDecided):
            self.do(self.replica.handle(now, ip, message))
        elif isinstance(message, ReservationsPage):
            complete = self.replica.is_complete
            self.do(self.catch_up.receive(now, ip, message))
            if self.replica.is_complete and not complete:
                events.info("complete", epoch=self.replica.epoch, claims=len(self.replica.reservations))
                self.subscribers.tell_soon()

    def _learn(self, source: Link | str, page: Learn) -> None:
        pages = self.pages.add(source, page)
        if pages:
            self.do(self.replica.learn(self.loop.time(), pages))

    def heard(self, ip: str, message: Message) -> None:
        self.membership_changes.heard(self.loop.time(), ip)
        super().heard(ip, message)

    def _delta(self, now: float, ip: str, message: Delta) -> None:
        super()._delta(now, ip, message)
        self.membership_changes.told_complete(ip, message.complete_epoch)
        if message.decided_index > self.replica.index and now - self._asked_for > CATCH_UP_DELAY_SECONDS:
            self._asked_for = now
            self.loop.call_later(CATCH_UP_DELAY_SECONDS, self._ask_for_changes, ip, message.decided_index)

    def _ask_for_changes(self, ip: str, index: int) -> None:
        """Learn what a peer knows, unless it has been told meanwhile."""
        if self.replica.index < index:
            self.to(ip, FetchDecided(self.replica.index))

    def _finish_pending(self, now: float) -> None:
        self.do(self.proposer.resolve_pending(now))

    def _down(self, dialler: Dialer) -> None:
        self.catch_up.disconnected(dialler.ip)
        self.pages.disconnected(dialler.ip)
        self.membership_changes.lost(dialler.ip)
        super()._down(dialler)
        self.router.lost(self.loop.time(), dialler.ip)

    def _new_membership(self) -> None:
        super()._new_membership()
        self.membership_changes.changed(self.membership)

    def wanted(self) -> set[str]:
        found = super().wanted()
        membership = self.replica.membership
        if membership is not None and self.replica.is_voter and not self.replica.is_complete:
            found |= {voter.ip for voter in membership.previous_voters} - {self.ip}
        return found

    # ---- telling others --------------------------------------------------------------------

    def changed(self, entry: Entry) -> None:
        self.subscribers.tell_soon()
        if self.announcement.contradicted_by(entry):
            self.loop.call_soon(self.announce)

    def _news(self, now: float, since: int) -> Delta:
        replica = self.replica
        return Delta(
            self.life,
            self.store.latest_sequence,
            now,
            min(1e6, self.age(now)),
            replica.index,
            replica.register.has_pending_change,
            replica.is_voter,
            replica.complete_epoch if replica.is_voter else 0,
            since == 0,
            self.store.changed_after(since),
        )

    def age(self, now: float) -> float:
        """Seconds since word of a majority: what was confirmed before then is known here."""
        replica = self.replica
        if replica.membership is None:
            return 1e9
        own = self.ip if replica.is_voter and not replica.register.has_pending_change else ""
        return now - self.freshness.known_up_to(now, replica.membership, replica.index, own)

    def follows(self, ip: str) -> bool:
        return True

    def own_entries(self, again: bool) -> list[Entry]:
        return self.announcement.entries()

    def announce(self) -> None:
        """Say what this control node is."""
        failing = self._failing_since is not None and self.loop.time() - self._failing_since > DISK_FAILURE_SECONDS
        uid, zone = self.replica.voter.uid, self.settings.own.zone
        self.announcement.announce(Presence(uid, zone, self.leaving, failing, self.disk.size))

    def _disk_sizes(self) -> list[int]:
        """Bytes that the disk of each control node takes, as far as they have said so."""
        return [presence.disk_bytes for presence in presences_of(self.store).values()]

    def _report(self, report: Report) -> None:
        for dialler in self.peers.values():
            if dialler.link is not None:
                dialler.link.send(report)

    # ---- time ------------------------------------------------------------------------------

    def look(self, now: float) -> None:
        self.pause_detector.tick(now)
        self.leases.end_silent(now)
        self.subscribers.look(now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL_SECONDS
            self.do(self.replica.sweep(now))
            self._look_at_disk(now)
        self.router.look(now)
        self.do(self.proposer.tick(now))
        self.do(self.reader.tick(now))
        self.do(self.catch_up.tick(now))
        self.pending_changes.look(now)
        self.membership_changes.look(now)

    def _look_at_disk(self, now: float) -> None:
        """A disk that takes no writes for a while lets no vote count."""
        if not self.disk.fault:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now
        self.announce()

    def _propose(self, now: float, order: ChangeRequest) -> None:
        self.do(self.proposer.submit(now, order))

    # ---- operators -------------------------------------------------------------------------

    def _preferred_proposer(self, now: float) -> str:
        """Who proposes for all: the first voter that is heard from, or this process.

        One that has no word of a majority hands nothing on: where it is cut off it is to confirm and refuse nothing.
        """
        membership = self.replica.membership
        if self.age(now) > self.stale:
            return self.ip
        for voter in membership.voters if membership is not None else ():
            if voter.ip == self.ip or now - self.freshness.latest_update_at(voter.ip) < PROPOSER_SILENCE_SECONDS:
                return voter.ip
        return self.ip

    def _metrics(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """This control node's figures."""
        caller.answer(200, CONTENT_TYPE, render(control_node_metrics(self)))

    def status(self) -> dict[str, Any]:
        """What operators see of this control node, whether a majority can be reached or not."""
        return control_node_status(
            self.settings.own,
            self.replica,
            self.store,
            self.disk,
            ip=self.ip,
            age=self.age(self.loop.time()),
            voters_wanted=self.reconfiguration.tolerance.voter_count,
            subscribers=len(self.subscribers),
        )

    # ---- the end ---------------------------------------------------------------------------

    async def leave(self) -> None:
        """SIGTERM: hand the vote and the claims on where another control node can take them, then end."""
        self.leaving = True
        self.announce()
        began, grace = self.loop.time(), self.settings.tariffs.bounds.grace_s
        until = began + HANDOFF_FRACTION * grace
        while self.loop.time() < until and not self.membership_changes.handed_on():
            await asyncio.sleep(TICK_SECONDS)
        await asyncio.sleep(0.3)
        # Guards operators against connections that end without an answer: no call waits for longer.
        until = min(self.loop.time() + DECISION_TIMEOUT_SECONDS, began + SHUTDOWN_FRACTION * grace)
        while self.loop.time() < until and self.operator_calls.waiting:
            await asyncio.sleep(FLUSH_SECONDS)
        self.front.close()
        await asyncio.sleep(FLUSH_SECONDS)
        self.disk.close(1.0)
