"""The process of a control node: it keeps the mesh's state, tells all who subscribe, and takes operators' calls."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import msgspec

from lugspur.control import items
from lugspur.control.catch_up import ClaimsCatchUp
from lugspur.control.effects import Effects
from lugspur.control.errors import Kind, MeshError
from lugspur.control.forwarding import Forwarder, answer_of
from lugspur.control.items import CONTROL, LEASED, MEMBERSHIP
from lugspur.control.learning import LearnPages
from lugspur.control.membership import Presence, Tolerance
from lugspur.control.messages import (
    Accepted,
    CatchUp,
    ClaimsPage,
    Delta,
    Entry,
    Hello,
    Learn,
    Membership,
    Message,
    OrderAnswer,
    Pong,
    Promise,
    Report,
    Standing,
    SubmitOrder,
    Sync,
    Voter,
)
from lugspur.control.orders import NoQuorum, Order, Outcome, fault_of
from lugspur.control.proposer import Proposer
from lugspur.control.reader import Read, Reader
from lugspur.control.reconfiguration import Reconfiguration, leaves_time, patience_of
from lugspur.control.replica import GENESIS, UID_ROW, Replica, membership_entry, read_membership
from lugspur.control.store import Name
from lugspur.mesh import events
from lugspur.mesh.disk import Disk
from lugspur.mesh.http_api import HttpApi, fail, reply
from lugspur.mesh.link import Dialler, Link
from lugspur.mesh.node import LOOK, Node
from lugspur.mesh.settings import Settings
from lugspur.seams import Answerable, Request

LEASE = 4.0  # seconds without a word after which what a process said of itself is dropped
SWEEP_EVERY = 1.0  # seconds between looks at claims whose window is over
LAZY = 0.1  # seconds for which rows that nobody waits for may wait for others
LEAVE_PART = 0.8  # of the time that a process has to end, for handing its vote and its claims on
DECIDE_WITHIN = 0.8  # seconds for a call of an operator: callers move on after a second
ORDERS_MOST = 64  # calls of operators in hand at once
BEHIND = 0.05  # seconds for which a replica waits to be told what it lacks before it asks
PENDING_MOST = 0.1  # seconds that a change may be accepted and not decided until it is finished, for each voter's rank
FROZEN = 1.0  # seconds between two looks after which this process has not run in between
WOKEN = 0.5  # seconds after that in which calls are turned away: they may have waited for as long as it stood still
HEARD_WITHIN = 0.5  # seconds since the latest word of a voter to whom orders are handed
FAILING = 1.0  # seconds for which a disk may refuse writes until the vote goes to another

_json = msgspec.json.Encoder().encode
_pack = msgspec.msgpack.Encoder().encode
_presence = msgspec.msgpack.Decoder(Presence)


class LocalPeer:
    """This process as a peer of its own replica."""

    def __init__(self, node: ControlNode) -> None:
        self._node = node
        self.peer = node.ip

    def send(self, message: Message) -> None:
        """Hand it over in the loop's next turn, as a connection would."""
        self._node.loop.call_soon(self._node.heard, self._node.ip, message)


class Subscriber:
    """One who is told of changes."""

    __slots__ = ("at", "link", "pinged")

    def __init__(self, link: Link, at: int) -> None:
        self.link, self.at = link, at
        self.pinged = 0.0


class ControlNode(Node):
    """The process of one control node."""

    def __init__(self, settings: Settings, path: str) -> None:
        limits, own = settings.own.limits, settings.own
        self.disk = Disk(own.data_dir, limits.disk_mb)
        rows = self.disk.rows()
        self.subscribers: dict[Link, Subscriber] = {}
        self.leases: dict[Name, tuple[Link, int, float]] = {}  # who said it, its edition, heard last
        self._heard_at: dict[str, float] = {}  # when each voter was heard last, or has begun to be listened for
        self.complete_epochs: dict[str, int] = {}  # the epoch for which each peer has said that it is complete
        self._flushing = False
        self._lazy = False
        self._sweep_at = 0.0
        self._announced: Entry | None = None
        super().__init__(settings, path, True)
        self.local = LocalPeer(self)
        bounds, tolerate = settings.tariffs.bounds, settings.tariffs.tolerate
        self.replica = self._restore(rows)
        self.pages = LearnPages()
        self.proposer = Proposer(self.replica, f"{self.ip}/{self.life}", self.rng)
        self.reader = Reader(self.replica)
        self.forwarder = Forwarder()
        self.catch_up = ClaimsCatchUp(self.replica)
        patience = patience_of(bounds.catch_up_s, bounds.contact_ms / 1000.0)
        self.reconfiguration = Reconfiguration(self.replica, Tolerance(tolerate.machines, tolerate.zones), patience)
        if not leaves_time(bounds.catch_up_s):
            events.warn("bounds", fault="catch_up_s leaves no time to replace a lost voter before the next loss")
        self._index_seen = self.replica.index
        self._asked_for = 0.0  # when what others know was asked for last
        self._pending_since: float | None = None
        self._failing_since: float | None = None
        self._looked_at = self._woken_at = float("-inf")
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
        calls.add("POST", "/config/amend", self._amend)
        calls.add("GET", "/config/read", self._read)
        calls.add("GET", "/mesh/status", lambda request, caller, found: reply(caller, _json(self.status())))
        self.front = await calls.serve(self.settings.network.listen.dispatch, self.settings.own.limits.memory_mb << 20)

    def _ended(self, link: Link) -> None:
        self.subscribers.pop(link, None)
        self.pages.lost(link)

    def _asked(self, link: Link, message: Message) -> None:
        """Something from one who dialled."""
        if isinstance(message, Hello):
            link.peer = message.ip
            dialler = self.peers.get(message.ip)
            if dialler is not None:
                dialler.nudge()
        elif isinstance(message, Sync):
            since = message.since if message.life == self.life and message.since <= self.store.upto else 0
            self.subscribers[link] = Subscriber(link, since)
            self._tell(self.subscribers[link])
        elif isinstance(message, Report):
            self._report(link, [entry for entry in message.entries if entry.kind in LEASED])
        elif isinstance(message, Learn):
            self._learn(link, message)
        elif isinstance(message, SubmitOrder):
            self._submitted(link, message)
        elif not isinstance(message, Pong):
            self.do(self.replica.handle(self.loop.time(), link, message))

    def _report(self, link: Link, entries: list[Entry]) -> None:
        now = self.loop.time()
        for entry in entries:
            self.leases[entry.kind, entry.name] = (link, entry.edition, now)
        self.store.merge(entries)

    def do(self, effects: Effects) -> None:
        """Send, write, and send the rest once that is on disk."""
        for peer, message in effects.send:
            self._send(peer, message)
        if effects.after_sync:
            after_sync = effects.after_sync

            def written() -> None:
                for peer, message in after_sync:
                    self._send(peer, message)

            self.disk.write(effects.write, written)
        elif effects.write:
            self.disk.write(effects.write)
            if not self._lazy:
                self._lazy = True
                self.loop.call_later(LAZY, self._write_lazy)
        self._advance()

    def _send(self, peer: Any, message: Message) -> None:
        if isinstance(peer, str):
            self.to(peer, message)
        else:
            peer.send(message)

    def _advance(self) -> None:
        """Tell whoever waits for it that the replica knows of further changes."""
        if self._index_seen == self.replica.index:
            return
        self._index_seen = self.index = self.replica.index
        self._pending_since = None
        now = self.loop.time()
        self.do(self.proposer.advanced(now))
        self.do(self.reader.advanced(now))
        self._tell_soon()

    def _write_lazy(self) -> None:
        self._lazy = False
        self.disk.flush()

    def to(self, ip: str, message: Message) -> None:
        if ip == self.ip:
            self.loop.call_soon(self._to_self, message)
        else:
            super().to(ip, message)

    def _to_self(self, message: Message) -> None:
        self.do(self.replica.handle(self.loop.time(), self.local, message))

    # ---- what others know ------------------------------------------------------------------

    def _published(self, entries: list[Entry], forgotten: list[Name]) -> None:
        """The replica has decided entries, or forgotten names."""
        self.store.merge(entries)
        self.store.forget(forgotten)

    def take_news(self, message: Delta) -> list[Entry]:
        """Leased entries count from anybody; what is decided comes by the register alone."""
        for entry in message.entries:
            if entry.kind == MEMBERSHIP and entry.value is not None:
                self.go_by(read_membership(entry.value))
        return self.store.merge([entry for entry in message.entries if entry.kind in LEASED])

    def heard_more(self, now: float, ip: str, message: Message) -> None:
        if isinstance(message, Promise | Accepted):
            self.do(self.proposer.heard(now, ip, message))
        elif isinstance(message, Standing):
            effects, pending = self.reader.heard(now, ip, message)
            self.do(effects)
            if pending:
                self._finish_pending(now)
        elif isinstance(message, Learn):
            self._learn(ip, message)
        elif isinstance(message, OrderAnswer):
            self.forwarder.heard(ip, message)
        elif isinstance(message, CatchUp):
            self.do(self.replica.handle(now, ip, message))
        elif isinstance(message, ClaimsPage):
            complete = self.replica.complete
            self.do(self.catch_up.heard(now, ip, message))
            if self.replica.complete and not complete:
                events.info("complete", epoch=self.replica.epoch, claims=len(self.replica.claims))
                self._tell_soon()

    def _learn(self, source: Link | str, page: Learn) -> None:
        pages = self.pages.add(source, page)
        if pages:
            self.do(self.replica.learn(self.loop.time(), pages))

    def heard(self, ip: str, message: Message) -> None:
        self._heard_at[ip] = self.loop.time()
        super().heard(ip, message)

    def _delta(self, now: float, ip: str, message: Delta) -> None:
        super()._delta(now, ip, message)
        self.complete_epochs[ip] = message.complete
        if message.index > self.replica.index and now - self._asked_for > BEHIND:
            self._asked_for = now
            self.loop.call_later(BEHIND, self._ask_for_changes, ip, message.index)

    def _ask_for_changes(self, ip: str, index: int) -> None:
        """Learn what a peer knows, unless it has been told meanwhile."""
        if self.replica.index < index:
            self.to(ip, CatchUp(self.replica.index))

    def _finish_pending(self, now: float) -> None:
        """Something was accepted by a minority, or by a majority that nobody has heard of: decide it, or give it up."""
        if self._pending_since is None:
            self._pending_since = now
        elif now - self._pending_since > PENDING_MOST:
            self._pending_since = now
            self.do(self.proposer.finish(now))

    def _down(self, dialler: Dialler) -> None:
        self.catch_up.lost(dialler.ip)
        self.pages.lost(dialler.ip)
        self.complete_epochs.pop(dialler.ip, None)
        super()._down(dialler)
        self._propose_here(self.loop.time(), self.forwarder.lost(dialler.ip))

    def _new_membership(self) -> None:
        super()._new_membership()
        voters = {voter.ip for voter in self.membership.voters} if self.membership is not None else set()
        self._heard_at = {ip: at for ip, at in self._heard_at.items() if ip in voters}

    def wanted(self) -> set[str]:
        found = super().wanted()
        membership = self.replica.membership
        if membership is not None and self.replica.is_voter and not self.replica.complete:
            found |= {voter.ip for voter in membership.previous} - {self.ip}
        return found

    # ---- telling others --------------------------------------------------------------------

    def changed(self, entry: Entry) -> None:
        self._tell_soon()
        announced = self._announced
        if entry.kind == CONTROL and entry.name == self.ip and announced is not None and entry != announced:
            self.loop.call_soon(self.announce)  # it was dropped, or stands as an older life left it

    def _tell_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        for subscriber in self.subscribers.values():
            if subscriber.at < self.store.upto:
                self._tell(subscriber)

    def _tell(self, subscriber: Subscriber) -> None:
        now = self.loop.time()
        replica = self.replica
        since = subscriber.at if subscriber.at >= self.store.forgotten_at else 0
        subscriber.at = self.store.upto
        subscriber.pinged = now
        subscriber.link.send(
            Delta(
                self.life,
                self.store.upto,
                now,
                min(1e6, self.age(now)),
                replica.index,
                replica.register.pending,
                replica.is_voter,
                replica.complete_epoch if replica.is_voter else 0,
                since == 0,
                self.store.after(since),
            )
        )

    def age(self, now: float) -> float:
        """Seconds since word of a majority: what was confirmed before then is known here."""
        replica = self.replica
        if replica.membership is None:
            return 1e9
        own = self.ip if replica.is_voter and not replica.register.pending else ""
        return now - self.freshness.known_since(now, replica.membership, replica.index, own)

    def follows(self, ip: str) -> bool:
        return True

    def own_entries(self, again: bool) -> list[Entry]:
        return [] if self._announced is None else [self._announced]

    def announce(self) -> None:
        """Say what this control node is."""
        failing = self._failing_since is not None and self.loop.time() - self._failing_since > FAILING
        value = _pack(Presence(self.replica.voter.uid, self.settings.own.zone, self.leaving, failing))
        standing = self.store.get(CONTROL, self.ip)
        if standing is not None and standing == self._announced and standing.value == value:
            return
        self._announced = Entry(CONTROL, self.ip, self.edition(CONTROL, self.ip), value)
        self.store.merge([self._announced])
        for dialler in self.peers.values():
            if dialler.link is not None:
                dialler.link.send(Report([self._announced]))

    # ---- time ------------------------------------------------------------------------------

    def look(self, now: float) -> None:
        if now - self._looked_at > FROZEN and self._looked_at > float("-inf"):
            self._woken_at = now
            events.warn("woken", after=now - self._looked_at)
        self._looked_at = now
        self._end_leases(now)
        for subscriber in list(self.subscribers.values()):
            if now - subscriber.link.at > LEASE:
                subscriber.link.close()
            elif now - subscriber.pinged >= self.ping - LOOK / 2:
                self._tell(subscriber)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_EVERY
            self.do(self.replica.sweep(now))
            self._look_at_disk(now)
        self._propose_here(now, self.forwarder.overdue(now))
        self.do(self.proposer.look(now))
        self.do(self.reader.look(now))
        self.do(self.catch_up.look(now))
        self._look_at_pending(now)
        self._reconfigure(now)

    def _look_at_disk(self, now: float) -> None:
        """A disk that takes no writes for a while lets no vote count."""
        if not self.disk.fault:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now
        self.announce()

    def _look_at_pending(self, now: float) -> None:
        membership = self.replica.membership
        if membership is None or not self.replica.is_voter or not self.replica.register.pending:
            self._pending_since = None
            return
        rank = [voter.ip for voter in membership.voters].index(self.ip)
        if self._pending_since is None:
            self._pending_since = now + PENDING_MOST * rank  # one after the other, not all at once
        else:
            self._finish_pending(now)

    def _presences(self) -> dict[str, Presence]:
        return {name: _presence.decode(value) for name, value in self.store.standing(CONTROL).items()}

    def _reconfigure(self, now: float) -> None:
        """Propose the next step of the membership where one is due."""
        membership = self.replica.membership
        if membership is None or not self.replica.is_voter:
            return
        complete, absent = set(), {}
        for voter in membership.voters:
            if voter.ip == self.ip:
                continue
            # A peer that takes connections and says nothing is as absent as one that takes none.
            heard_at = self._heard_at.setdefault(voter.ip, now)
            absent[voter.ip] = now - max(heard_at, self._woken_at)
            fresh = now - self.freshness.word_at(voter.ip) < self.stale
            if fresh and self.complete_epochs.get(voter.ip, 0) == membership.epoch:
                complete.add(voter.ip)
        step = self.reconfiguration.look(now, self._presences(), complete, absent)
        if step is not None:
            self._propose(now, step)

    def _propose(self, now: float, step: Membership) -> None:
        def over(outcome: Outcome) -> None:
            voters = ",".join(voter.ip for voter in step.voters)
            events.info("reconfiguration", epoch=step.epoch, voters=voters, outcome=type(outcome).__name__)

        entries = [membership_entry(step)]
        self.do(self.proposer.submit(now, Order(entries, now + DECIDE_WITHIN, over, step.epoch - 1)))

    def _end_leases(self, now: float) -> None:
        """Drop what was said by those who are silent."""
        for (kind, name), (link, edition, at) in list(self.leases.items()):
            if link.open:
                if now - at > 1.0:
                    self.leases[kind, name] = (link, edition, max(at, link.at))
            elif now - max(at, link.at) > LEASE:
                del self.leases[kind, name]
                standing = self.store.get(kind, name)
                if standing is not None and standing.edition == edition and standing.value is not None:
                    self.store.merge([Entry(kind, name, edition + 1, None)])

    # ---- calls of operators ----------------------------------------------------------------

    def _amend(self, request: Request, caller: Answerable, _: list[str]) -> None:
        waits = True

        def over(outcome: Outcome) -> None:
            fault = fault_of(outcome)
            events.info("amend", bytes=len(request.body), fault=fault or "none", index=self.replica.index)
            if not waits:
                return
            if fault is None:
                reply(caller)
            else:
                fail(caller, fault)

        def gone() -> None:
            """Nobody waits for it any more, and it may have been refused elsewhere meanwhile: it is not proposed."""
            nonlocal waits
            waits = False
            self.proposer.withdraw(order)
            self.forwarder.withdraw(order)

        now = self.loop.time()
        entries = items.read_call(request.body)
        self._turn_away(now)
        order = Order(entries, now + DECIDE_WITHIN, over)
        caller.gone = gone
        proposer = self._preferred_proposer(now)
        if proposer == self.ip:
            self.do(self.proposer.submit(now, order))
        else:
            self.to(proposer, self.forwarder.hand_over(now, proposer, order))

    def _preferred_proposer(self, now: float) -> str:
        """Who proposes for all: the first voter that is heard from, or this process.

        One that has no word of a majority hands nothing on: where it is cut off it is to confirm and refuse nothing.
        """
        membership = self.replica.membership
        if self.age(now) > self.stale:
            return self.ip
        for voter in membership.voters if membership is not None else ():
            if voter.ip == self.ip or now - self.freshness.word_at(voter.ip) < HEARD_WITHIN:
                return voter.ip
        return self.ip

    def _submitted(self, link: Link, message: SubmitOrder) -> None:
        """Another control node hands over an order."""

        def over(outcome: Outcome) -> None:
            link.send(answer_of(message.number, outcome))

        now = self.loop.time()
        try:
            self._turn_away(now)
        except MeshError:
            over(NoQuorum())
            return
        order = Order(message.entries, now + min(DECIDE_WITHIN, message.left), over)
        self.do(self.proposer.submit(now, order))

    def _propose_here(self, now: float, orders: list[Order]) -> None:
        """Orders that another control node has not answered."""
        for order in orders:
            self.do(self.proposer.submit(now, order))

    def _turn_away(self, now: float) -> None:
        """Raises MeshError where an order may not be taken up."""
        if len(self.proposer) + len(self.forwarder) >= ORDERS_MOST:  # Guards memory and disks against a flood of calls.
            raise MeshError(Kind.NO_QUORUM, "too many calls in hand")
        if now - self._looked_at > FROZEN or now - self._woken_at < WOKEN:
            raise MeshError(Kind.NO_QUORUM, "this process has stood still")

    def _read(self, request: Request, caller: Answerable, _: list[str]) -> None:
        waits = True

        def over(latest: bool) -> None:
            if not waits:
                return
            if latest:
                entries = [item.entry for item in self.replica.register.items.values()]
                reply(caller, items.read_back(entries))
            else:
                fail(caller, MeshError(Kind.NO_QUORUM, "too few voters answered"))

        def gone() -> None:
            nonlocal waits
            waits = False

        caller.gone = gone
        now = self.loop.time()
        self.do(self.reader.submit(now, Read(now + DECIDE_WITHIN, over)))

    def status(self) -> dict[str, Any]:
        """What operators see of this control node, whether a majority can be reached or not."""
        now, replica = self.loop.time(), self.replica
        kinds = {kind: len(self.store.standing(kind)) for kind in sorted({e.kind for e in self.store.all()})}
        return {
            "node": self.settings.own.node_name,
            "role": "control",
            "ip": self.ip,
            "zone": self.settings.own.zone,
            "uid": replica.voter.uid,
            "epoch": replica.epoch,
            "index": replica.index,
            "voter": replica.is_voter,
            "complete": replica.complete,
            "pending": replica.register.pending,
            "voters": [] if replica.membership is None else [voter.ip for voter in replica.membership.voters],
            "voters_wanted": self.reconfiguration.tolerance.voters,
            "age_s": round(min(1e6, self.age(now)), 3),
            "replicas": {
                ip: {"uid": p.uid, "zone": p.zone, "leaving": p.leaving, "failing": p.failing}
                for ip, p in self._presences().items()
            },
            "entries": kinds,
            "claims": len(replica.claims),
            "subscribers": len(self.subscribers),
            "disk": {"commits": self.disk.commits, "fault": self.disk.fault},
        }

    # ---- the end ---------------------------------------------------------------------------

    async def leave(self) -> None:
        """SIGTERM: hand the vote and the claims on where another control node can take them, then end."""
        self.leaving = True
        self.announce()
        until = self.loop.time() + LEAVE_PART * self.settings.tariffs.bounds.grace_s
        while self.loop.time() < until and not self._handed_on():
            await asyncio.sleep(LOOK)
        await asyncio.sleep(0.3)
        self.front.close()
        self.disk.close(1.0)

    def _handed_on(self) -> bool:
        """Whether nobody needs this process: others vote, and hold all claims that it held as a voter."""
        membership = self.replica.membership
        if membership is None:
            return True
        voters = {voter.ip for voter in membership.voters}
        if self.replica.is_voter:
            return not set(self.store.standing(CONTROL)) - voters
        if not any(voter.ip == self.ip for voter in membership.previous):
            return True
        return all(self.complete_epochs.get(ip, 0) >= membership.epoch for ip in voters)
