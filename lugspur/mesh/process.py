"""What every process of the mesh does: it knows the membership, hears the news, and reaches the voters."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from random import Random

from lugspur.mesh import events
from lugspur.mesh.control.errors import MeshError
from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.items import MEMBERSHIP, RESERVED_KINDS
from lugspur.mesh.control.messages import (
    Delta,
    Entry,
    Hello,
    Membership,
    Message,
    Pong,
    ReleaseKey,
    Report,
    ReserveKey,
    ReserveKeyReply,
    Subscribe,
    Unsubscribe,
)
from lugspur.mesh.control.replica import read_membership
from lugspur.mesh.control.reservation_client import ReservationClient, ReservationOutcome
from lugspur.mesh.control.store import Store
from lugspur.mesh.settings import Settings, load_settings
from lugspur.mesh.transport.link import KEEPALIVE_IDLE_SECONDS, Dialer, Link

TICK_SECONDS = 0.1  # seconds between looks at what is due
HEARTBEAT_FRACTION = 1 / 8  # of the time in which a configuration counts: how often news says that nothing is new
STALENESS_FRACTION = 0.4  # ...and how old the news may be before it is sought elsewhere
MAX_MISSED_HEARTBEATS = 4.0  # pings until a peer that no longer hears of this process counts as cut off from it
SETTINGS_CHECK_SECONDS = 1.0  # seconds between looks at whether the settings file has changed


class MeshProcess:
    """One process; `local` says whether a voter is this process itself, which then needs no connection."""

    def __init__(self, settings: Settings, path: str, keeps: bool) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings, self.path = settings, path
        self.keeps = keeps
        self.ip = settings.own.ip
        self.life = os.urandom(8).hex()
        self.rng = Random(self.life)
        self.store = Store(self._changed)
        self.membership: Membership | None = None
        self.claims = ReservationClient(self._to_voter)
        self.peers: dict[str, Dialer] = {}  # by IP number
        self.synced: dict[str, tuple[str, int]] = {}  # how far each peer's changes are known: its life and place
        self.index = 0  # the latest change of the configuration that is known here
        self.source = ""  # whose news it follows, where it follows one
        self.sources = 0  # how often it began to follow another's
        self.source_at = 0.0  # when its news was last known to be fresh
        self.source_since = 0.0
        self.known = False  # it has had all news once
        self.leaving = False
        bounds = settings.tariffs.bounds
        self.ping = max(0.1, HEARTBEAT_FRACTION * bounds.edition_ms / 1000.0)
        self.stale = max(0.3, STALENESS_FRACTION * bounds.edition_ms / 1000.0)
        self.freshness = Freshness(MAX_MISSED_HEARTBEATS * self.ping)
        self._avoid: dict[str, float] = {}  # sources that were given up, and until when
        self._settings_at = self._stamp()
        self._settings_next = 0.0
        self.reloaded: list[Callable[[], None]] = []
        self.loop.call_soon(self._reach)  # once the subclass has all that it wants to be asked for
        self.loop.call_later(TICK_SECONDS, self._look)

    # ---- settings ------------------------------------------------------------------------

    def _stamp(self) -> tuple[int, int]:
        try:
            stat = os.stat(self.path)
            return stat.st_mtime_ns, stat.st_size
        except OSError:
            return 0, 0

    def reload(self) -> None:
        """Take up the settings file; a bad one changes nothing."""
        self._settings_at = self._stamp()
        try:
            fresh = load_settings(self.path)
        except MeshError as fault:
            events.warn("settings", fault=fault.detail)
            return
        self.settings = fresh
        events.info("settings", seeds=",".join(fresh.seeds), service=fresh.own.service)
        self._reach()
        for call in self.reloaded:
            call()

    # ---- peers ---------------------------------------------------------------------------

    def wanted(self) -> set[str]:
        """Whom it keeps a connection to: the voters, and the seeds until the membership is known."""
        if self.membership is None:
            return set(self.settings.seeds) - {self.ip}
        found = {voter.ip for voter in self.membership.voters} - {self.ip}
        if self._cut_off():  # the membership that is known may be an old one
            found |= set(self.settings.seeds) - {self.ip}
        return found

    def _cut_off(self) -> bool:
        return self.loop.time() - self.source_at > 2.0 * self.stale

    def _reach(self) -> None:
        wanted = self.wanted()
        for ip in wanted - self.peers.keys():
            port = self.settings.network.inner_ports[0]
            self.peers[ip] = Dialer(ip, port, self.ip, self._heard_from, self._up, self._down, self.keep_idle(ip))
        for ip in [ip for ip in self.peers if ip not in wanted and not self.keep_peer(ip)]:
            self.peers.pop(ip).close()
            self.freshness.disconnected(ip)
            self.synced.pop(ip, None)

    def keep_idle(self, ip: str) -> int:
        """Seconds without a byte after which a connection to this peer is probed."""
        return KEEPALIVE_IDLE_SECONDS

    def keep_peer(self, ip: str) -> bool:
        """Whether a connection is wanted for anything else."""
        return False

    def _up(self, dialler: Dialer) -> None:
        assert dialler.link is not None
        dialler.link.send(Hello(self.ip, self.life, self.keeps))
        if self.follows(dialler.ip):
            self._subscribe(dialler)
        self.claims.voter_connected(self.loop.time(), dialler.ip)

    def _down(self, dialler: Dialer) -> None:
        self.freshness.disconnected(dialler.ip)
        if dialler.ip == self.source:
            self.source = ""
            self._seek()

    def follows(self, ip: str) -> bool:
        """Whether it follows that peer's news; a proxy follows one, a replica all voters."""
        return ip == self.source

    def _subscribe(self, dialler: Dialer) -> None:
        if dialler.link is not None:
            life, since = self.synced.get(dialler.ip, ("", 0))
            self.freshness.subscribed(self.loop.time(), dialler.ip)
            dialler.link.send(Subscribe(life, since))
            own = self.own_entries(True)
            if own:
                dialler.link.send(Report(own))

    def own_entries(self, again: bool) -> list[Entry]:
        """What it says of itself; `again`: to another, under a new edition."""
        return []

    def report(self) -> None:
        """What it says of itself has changed."""
        own = self.own_entries(False)
        dialler = self.peers.get(self.source)
        if own and dialler is not None and dialler.link is not None:
            dialler.link.send(Report(own))

    def edition(self, kind: str, name: str) -> int:
        """A new edition of what it says: by the time of day, and above all that is known."""
        standing = self.store.get(kind, name)
        return max(time.time_ns() // 1_000_000, 0 if standing is None else standing.edition + 1)

    # ---- news ----------------------------------------------------------------------------

    def _seek(self) -> None:
        """Follow another's news, and no longer the former one's."""
        if self.keeps:
            return
        former, self.source = self.source, self._choose_source()
        if former and former != self.source:
            self.to(former, Unsubscribe())
        if self.source:
            self.sources += 1
            self.source_since = self.loop.time()
            self._subscribe(self.peers[self.source])

    def _choose_source(self) -> str:
        """A voter of the own zone before others, each process another one; none where none can be reached."""
        up = {ip for ip, dialler in self.peers.items() if dialler.link is not None}
        zones = {voter.ip: voter.zone for voter in self.membership.voters} if self.membership is not None else {}
        able = [ip for ip in up if ip in zones]
        if not able or self._cut_off():  # the membership that is known may be an old one; proxies tell no news
            able += [ip for ip in up if ip in self.settings.seeds and ip not in zones]
        others = [ip for ip in able if ip != self.source] or able
        zone, now = self.settings.own.zone, self.loop.time()
        return min(
            others,
            key=lambda ip: (self._avoid.get(ip, 0.0) > now, zones.get(ip) != zone, self.rng.random()),
            default="",
        )

    def _heard_from(self, link: Link, message: Message) -> None:
        self.heard(link.peer, message)

    def heard(self, ip: str, message: Message) -> None:
        """Something from a peer that this process dialled, or from its own replica."""
        now = self.loop.time()
        if isinstance(message, Delta):
            self._delta(now, ip, message)
        elif isinstance(message, ReserveKeyReply):
            self.claims.receive(now, ip, message)
        else:
            self.heard_more(now, ip, message)

    def heard_more(self, now: float, ip: str, message: Message) -> None:
        """What only some processes understand."""

    def _delta(self, now: float, ip: str, message: Delta) -> None:
        sent_at = self.freshness.receive(now, ip, message)
        taken = self.take_news(message)
        self.synced[ip] = (message.incarnation, message.latest_sequence)
        if ip == self.source:
            self.source_at = max(self.source_at, sent_at - message.majority_age)
            self.known = self.known or now - self.source_at < self.stale
        if taken:
            self.merged(taken)
        dialler = self.peers.get(ip)
        if dialler is not None and dialler.link is not None:
            dialler.link.send(Pong(now))

    def take_news(self, message: Delta) -> list[Entry]:
        """Entries that a peer has told; returns those that are new here."""
        if message.is_snapshot and message.decided_index >= self.index:
            self._forget_missing(message.entries)
        self.index = max(self.index, message.decided_index)
        return self.store.merge(message.entries)

    def _forget_missing(self, entries: list[Entry]) -> None:
        """All that a peer has, which knows no less than this process: what is not in it was withdrawn long ago."""
        there = {(entry.kind, entry.name) for entry in entries}
        names = [(e.kind, e.name) for e in self.store.all() if e.kind not in RESERVED_KINDS]
        self.store.forget([name for name in names if name not in there])

    def merged(self, taken: list[Entry]) -> None:
        """News has come."""

    def _changed(self, entry: Entry) -> None:
        if entry.kind == MEMBERSHIP and entry.value is not None:
            self.go_by(read_membership(entry.value))
        self.changed(entry)

    def go_by(self, membership: Membership) -> None:
        """Reach the voters of a membership, unless a later one is known."""
        if self.membership is not None and membership.epoch <= self.membership.epoch:
            return
        self.membership = membership
        events.info("membership", epoch=membership.epoch, voters=",".join(voter.ip for voter in membership.voters))
        self.loop.call_soon(self._new_membership)

    def _new_membership(self) -> None:
        assert self.membership is not None
        self._reach()
        self.claims.membership_changed(self.loop.time(), self.membership)
        if self.source not in self.peers:
            self._seek()

    def changed(self, entry: Entry) -> None:
        """An entry has taken its place in the store."""

    def _look(self) -> None:
        now = self.loop.time()
        self.loop.call_later(TICK_SECONDS, self._look)
        self.claims.tick(now)
        if now >= self._settings_next:
            self._settings_next = now + SETTINGS_CHECK_SECONDS
            if self._stamp() != self._settings_at:
                self.reload()
            self._reach()
        if not self.keeps:
            due = max(self.source_at, self.source_since) + self.stale
            if not self.source or now > due:
                if self.source:
                    events.info("news-lost", source=self.source, age=now - self.source_at)
                    self._avoid[self.source] = now + 2.0
                self._seek()
        self.look(now)

    def look(self, now: float) -> None:
        """What is due from time to time."""

    # ---- the voters -----------------------------------------------------------------------

    def _to_voter(self, ip: str, message: ReserveKey | ReleaseKey) -> None:
        self.to(ip, message)

    def to(self, ip: str, message: Message) -> None:
        """Send it to a voter, if it can be reached."""
        dialler = self.peers.get(ip)
        if dialler is not None and dialler.link is not None:
            dialler.link.send(message)

    # ---- keys (see proxy.Keys) ---------------------------------------------------------

    def claim(
        self, key: bytes, by: bytes, left: float, within: float, over: Callable[[ReservationOutcome], None]
    ) -> None:
        """Ask for the right to run an operation."""
        assert self.membership is not None
        self.claims.reserve(self.loop.time(), self.membership, key, by, left, within, over)

    def release(self, key: bytes, by: bytes) -> None:
        """Give it back."""
        if self.membership is not None:
            for voter in self.membership.voters:
                self.to(voter.ip, ReleaseKey(key, by))

    def drop(self, key: bytes, by: bytes) -> None:
        """Nobody waits for it any more."""
        self.claims.abandon(key, by)
