"""A replica's process: it keeps the mesh's state, tells all who subscribe, and takes operators' calls."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import msgspec

from lugspur.control.errors import Kind, MeshError
from lugspur.control.membership import Presence, Steward, target
from lugspur.control.messages import (
    Ask,
    Delta,
    Entry,
    Hello,
    Message,
    Pong,
    Report,
    Sync,
    Voter,
)
from lugspur.control.replica import GENESIS, Effects, Replica
from lugspur.control.voter import Sitting
from lugspur.mesh import events
from lugspur.mesh.disk import Disk
from lugspur.mesh.http_api import Desk, fail, reply
from lugspur.mesh.link import Link
from lugspur.mesh.node import LOOK, Node
from lugspur.mesh.settings import Settings
from lugspur.seams import Answerable, Request

LEASE = 4.0  # seconds without a word after which what a process said of itself is dropped
SWEEP_EVERY = 1.0  # seconds between looks at claims whose window is over
LAZY = 0.1  # seconds for which rows that nobody waits for may wait for others
PATIENCE = 2.0  # seconds beyond the time in which machines count as in touch, until a silent voter is replaced
LEAVE_PART = 0.5  # of the time that a process has to end, for handing its voter on

_json = msgspec.json.Encoder().encode
_pack = msgspec.msgpack.Encoder().encode
_presence = msgspec.msgpack.Decoder(Presence)


class Here:
    """This process as a peer of its own replica."""

    def __init__(self, node: Keeper) -> None:
        self._node = node
        self.peer = node.ip

    def send(self, message: Message) -> None:
        """Hand it over in the loop's next turn, as a connection would."""
        self._node.loop.call_soon(self._node.heard, self._node.ip, message)


class Subscriber:
    """One who is told of changes."""

    __slots__ = ("at", "entries", "link", "pinged")

    def __init__(self, link: Link, at: int) -> None:
        self.link, self.at = link, at
        self.pinged = 0.0


class Keeper(Node):
    """One replica's process."""

    def __init__(self, settings: Settings, path: str) -> None:
        limits, own = settings.own.limits, settings.own
        self.disk = Disk(own.data_dir, limits.disk_mb)
        rows = self.disk.rows()
        self.subscribers: dict[Link, Subscriber] = {}
        self.leases: dict[tuple[str, str], tuple[Link, int, float]] = {}  # who said it, its edition, heard last
        self._flushing = False
        self._lazy = False
        self._sweep_at = 0.0
        self._said: Entry | None = None
        super().__init__(settings, path, True)
        self.here = Here(self)
        self.replica = self._replica(rows)
        bounds, tolerate = settings.tariffs.bounds, settings.tariffs.tolerate
        self.sitting = Sitting(
            self.replica,
            Steward(own.ip, self.rng),
            target(tolerate.machines, tolerate.zones),
            bounds.contact_ms / 1000.0 + PATIENCE,
        )
        self.disk.start()
        if self.disk.damaged:  # never as at the very first start: what was promised is gone
            rows = []
        if not rows and own.first_start and own.ip in settings.seeds and not self.disk.damaged:
            self.replica.voter = Voter(own.ip, GENESIS, own.zone)
            self.do(self.replica.begin([Voter(ip, GENESIS, "") for ip in settings.seeds]))
        elif not rows:
            self.disk.write([(b"muid", self.replica.voter.uid.encode())], lambda: None)
        events.info(
            "control", uid=self.replica.voter.uid, epoch=self.replica.epoch, full=self.replica.full, rows=len(rows)
        )
        self.announce()

    def _replica(self, rows: list[tuple[bytes, bytes]]) -> Replica:
        """What is on disk, or a newcomer's state where that can't be used."""
        own, window = self.settings.own, self.settings.tariffs.bounds.stamp_window_s
        for found in (rows, []):
            replica = Replica(own.ip, os.urandom(8).hex(), own.zone, window, own.limits.memory_mb << 20, self.store)
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
        desk = Desk()
        desk.add("POST", "/config/amend", self._amend)
        desk.add("GET", "/config/read", self._read)
        desk.add("GET", "/mesh/status", lambda request, caller, found: reply(caller, _json(self.status())))
        self.front = await desk.serve(self.settings.network.listen.dispatch, self.settings.own.limits.memory_mb << 20)

    def _amend(self, request: Request, caller: Answerable, _: list[str]) -> None:
        def over(fault: MeshError | None) -> None:
            events.info("amend", bytes=len(request.body), fault=fault or "none")
            if fault is None:
                reply(caller)
            else:
                fail(caller, fault)

        self.amend(request.body, over)

    def _read(self, request: Request, caller: Answerable, _: list[str]) -> None:
        def over(body: bytes | None) -> None:
            if body is None:
                fail(caller, MeshError(Kind.NO_QUORUM, "too few replicas answer"))
            else:
                reply(caller, body)

        self.read(over)

    def _ended(self, link: Link) -> None:
        self.subscribers.pop(link, None)

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
            self._tell(self.subscribers[link], True)
        elif isinstance(message, Report):
            now = self.loop.time()
            for entry in message.entries:
                if entry.kind in ("backend", "control"):
                    self.leases[entry.kind, entry.name] = (link, entry.edition, now)
            self.take([e for e in message.entries if e.kind in ("backend", "control")])
        elif not isinstance(message, Pong):
            self._judge(link, message)

    def _judge(self, peer: Any, message: Message) -> None:
        """Something for this replica as a voter."""
        if isinstance(message, Ask):
            self._flush()  # what changed goes ahead of the answer
        self.do(self.replica.judge(self.loop.time(), peer, message))

    def do(self, effects: Effects) -> None:
        """Send, write, and send the rest once that is on disk."""
        for peer, message in effects.send:
            if isinstance(peer, str):
                self.to(peer, message)
            else:
                peer.send(message)
        if not effects.write and not effects.then:
            return
        if effects.then:
            then = effects.then

            def written() -> None:
                for peer, message in then:
                    peer.send(message)

            self.disk.write(effects.write, written)
        else:
            self.disk.write(effects.write)
            if not self._lazy:
                self._lazy = True
                self.loop.call_later(LAZY, self._write_lazy)

    def _write_lazy(self) -> None:
        self._lazy = False
        self.disk.flush()

    def to(self, ip: str, message: Message) -> None:
        if ip == self.ip:
            self.loop.call_soon(self._judge, self.here, message)
        else:
            super().to(ip, message)

    def take(self, entries: list[Entry]) -> None:
        """Entries from others."""
        taken = self.store.merge(entries)
        if taken:
            self.merged(taken)

    def merged(self, taken: list[Entry]) -> None:
        self.do(self.replica.heard(taken))

    # ---- telling others --------------------------------------------------------------------

    def changed(self, entry: Entry) -> None:
        if not self._flushing:
            self._flushing = True
            self.loop.call_soon(self._flush)
        if entry.kind == "control" and entry.name == self.ip and self._said is not None and entry != self._said:
            self.loop.call_soon(self.announce)  # it was dropped, or stands as an older life left it

    def _flush(self) -> None:
        self._flushing = False
        for subscriber in self.subscribers.values():
            if subscriber.at < self.store.upto:
                self._tell(subscriber)

    def _tell(self, subscriber: Subscriber, first: bool = False) -> None:
        now = self.loop.time()
        entries = self.store.after(subscriber.at)
        subscriber.at = self.store.upto
        subscriber.pinged = now
        subscriber.link.send(Delta(self.life, self.store.upto, min(1e6, self.age(now)), self.full(), entries))

    def full(self) -> bool:
        return self.replica.full

    def follows(self, ip: str) -> bool:
        return True

    def own_entries(self, again: bool) -> list[Entry]:
        return [] if self._said is None else [self._said]

    def announce(self) -> None:
        """Say what this replica is."""
        value = _pack(Presence(self.replica.voter.uid, self.settings.own.zone, self.leaving))
        standing = self.store.get("control", self.ip)
        if standing is not None and standing == self._said and standing.value == value:
            return
        self._said = Entry("control", self.ip, self.edition("control", self.ip), value)
        self.store.merge([self._said])
        for dialler in self.peers.values():
            if dialler.link is not None:
                dialler.link.send(Report([self._said]))

    # ---- the membership -------------------------------------------------------------------------

    def membership_changed(self) -> None:
        assert self.membership is not None
        self.do(self.sitting.adopt(self.membership))

    def heard_more(self, now: float, ip: str, message: Message) -> None:
        full = self.replica.full
        self.do(self.sitting.heard(now, ip, message))
        if self.replica.full and not full:
            events.info("caught-up", epoch=self.replica.epoch, claims=self.replica.claims)

    def _down(self, dialler: Any) -> None:
        self.sitting.lost(dialler.ip)
        super()._down(dialler)

    def look(self, now: float) -> None:
        self._leases(now)
        for subscriber in list(self.subscribers.values()):
            if now - subscriber.link.at > LEASE:
                subscriber.link.close()
            elif now - subscriber.pinged >= self.ping - LOOK / 2:
                self._tell(subscriber)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_EVERY
            self.do(self.replica.sweep(now))
        self._sit(now)

    def _sit(self, now: float) -> None:
        """Look after the voter, and after the membership."""
        membership = self.replica.membership
        if membership is None:
            return
        there = {ip for ip, at in self.heard_at.items() if now - at < self.stale}
        absent = {}
        for voter in membership.voters:
            dialler = self.peers.get(voter.ip)
            if voter.ip != self.ip and dialler is not None:
                absent[voter.ip] = now - (dialler.link.at if dialler.link is not None else dialler.since)
        replicas = {name: _presence.decode(value) for name, value in self.store.standing("control").items()}
        epoch = self.replica.epoch
        self.do(self.sitting.look(now, replicas, there, absent))
        if self.replica.epoch != epoch:
            events.info("ballot", epoch=self.replica.epoch)

    def _leases(self, now: float) -> None:
        """Drop what was said by those who are silent."""
        for (kind, name), (link, edition, at) in list(self.leases.items()):
            if link.open:
                if now - at > 1.0:
                    self.leases[kind, name] = (link, edition, max(at, link.at))
            elif now - max(at, link.at) > LEASE:
                del self.leases[kind, name]
                standing = self.store.get(kind, name)
                if standing is not None and standing.edition == edition and standing.value is not None:
                    self.take([Entry(kind, name, edition + 1, None)])

    def status(self) -> dict[str, Any]:
        """What operators see of this replica, whether a majority can be reached or not."""
        now, replica = self.loop.time(), self.replica
        kinds = {kind: len(self.store.standing(kind)) for kind in sorted({e.kind for e in self.store.all()})}
        replicas = {name: _presence.decode(value) for name, value in self.store.standing("control").items()}
        return {
            "node": self.settings.own.node_name,
            "role": "control",
            "ip": self.ip,
            "zone": self.settings.own.zone,
            "uid": replica.voter.uid,
            "epoch": replica.epoch,
            "is_voter": replica.is_voter,
            "full": replica.full,
            "voters": [] if replica.membership is None else [voter.ip for voter in replica.membership.voters],
            "voters_wanted": self.sitting.voters,
            "age_s": round(min(1e6, self.age(now)), 3),
            "replicas": {ip: {"uid": p.uid, "zone": p.zone, "leaving": p.leaving} for ip, p in replicas.items()},
            "entries": kinds,
            "claims": replica.claims,
            "subscribers": len(self.subscribers),
            "disk": {"commits": self.disk.commits, "fault": self.disk.fault},
        }

    # ---- the end ---------------------------------------------------------------------------

    async def leave(self) -> None:
        """SIGTERM: hand the voter on where another replica can take it, then end."""
        self.leaving = True
        self.announce()
        until = self.loop.time() + LEAVE_PART * self.settings.tariffs.bounds.grace_s
        while self.loop.time() < until and self.replica.is_voter:
            is_voter = (
                {voter.ip for voter in self.replica.membership.voters} if self.replica.membership is not None else set()
            )
            if not set(self.store.standing("control")) - is_voter:
                break
            await asyncio.sleep(LOOK)
        await asyncio.sleep(0.3)
        self.front.close()
        self.disk.close(1.0)
