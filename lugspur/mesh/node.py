"""What every process of the mesh does: it knows the membership, hears the news, and reaches the voters."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from random import Random

from lugspur.control import items
from lugspur.control.claims import Claims, Settled
from lugspur.control.errors import Kind, MeshError
from lugspur.control.messages import (
    Claim,
    Delta,
    Entry,
    Hello,
    Membership,
    Message,
    Pong,
    Release,
    Report,
    Said,
    Sync,
    Verdict,
)
from lugspur.control.replica import majority, read_membership
from lugspur.control.rounds import Rounds
from lugspur.control.store import Store
from lugspur.mesh import events
from lugspur.mesh.link import Dialler, Link
from lugspur.mesh.settings import Settings, load

LOOK = 0.1  # seconds between looks at what is due
PING_PART = 1 / 8  # of the time in which a configuration counts: how often news says that nothing is new
STALE_PART = 0.4  # ...and how old the news may be before it is sought elsewhere
ROUND_WITHIN = 0.8  # seconds for one round over the voters: callers move on after a second
SETTINGS_EVERY = 1.0  # seconds between looks at whether the settings file has changed
AMENDS_MOST = 64  # calls of operators in hand at once


class Node:
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
        self.rounds = Rounds()
        self.claims = Claims(self._to_voter)
        self.peers: dict[str, Dialler] = {}  # by IP number
        self.synced: dict[str, tuple[str, int]] = {}  # how far each peer's changes are known: its life and place
        self.heard_at: dict[str, float] = {}  # when each peer said that it is full, or had word of a majority
        self.source = ""  # whose news it follows, where it follows one
        self.source_at = 0.0  # when its news was last known to be fresh
        self.source_since = 0.0
        self.known = False  # it has had all news once
        self.leaving = False
        bounds = settings.tariffs.bounds
        self.ping = max(0.1, PING_PART * bounds.edition_ms / 1000.0)
        self.stale = max(0.3, STALE_PART * bounds.edition_ms / 1000.0)
        self._amends = 0
        self._avoid: dict[str, float] = {}  # sources that were given up, and until when
        self._settings_at = self._stamp()
        self._settings_next = 0.0
        self.reloaded: list[Callable[[], None]] = []
        self._reach()
        self.loop.call_later(LOOK, self._look)

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
            fresh = load(self.path)
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
            self.peers[ip] = Dialler(
                ip, self.settings.network.inner_ports[0], self.ip, self._heard_from, self._up, self._down
            )
        for ip in [ip for ip in self.peers if ip not in wanted and not self.keep_peer(ip)]:
            self.peers.pop(ip).close()
            self.heard_at.pop(ip, None)
            self.synced.pop(ip, None)

    def keep_peer(self, ip: str) -> bool:
        """Whether a connection is wanted for anything else."""
        return False

    def _up(self, dialler: Dialler) -> None:
        assert dialler.link is not None
        dialler.link.send(Hello(self.ip, self.life, self.keeps))
        if self.follows(dialler.ip):
            self._subscribe(dialler)
        self.claims.reach(self.loop.time(), dialler.ip)

    def _down(self, dialler: Dialler) -> None:
        self.heard_at.pop(dialler.ip, None)
        if dialler.ip == self.source:
            self.source = ""
            self._seek()

    def follows(self, ip: str) -> bool:
        """Whether it follows that peer's news; a proxy follows one, a replica all voters."""
        return ip == self.source

    def _subscribe(self, dialler: Dialler) -> None:
        if dialler.link is not None:
            life, since = self.synced.get(dialler.ip, ("", 0))
            dialler.link.send(Sync(life, since))
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
        """Follow another's news: voters of the own zone first, each process another one."""
        if self.keeps:
            return
        up = {ip for ip, dialler in self.peers.items() if dialler.link is not None}
        zones = {voter.ip: voter.zone for voter in self.membership.voters} if self.membership is not None else {}
        able = [ip for ip in up if ip in zones]
        if not able or self._cut_off():  # the membership that is known may be an old one; proxies tell no news
            able += [ip for ip in up if ip in self.settings.seeds and ip not in zones]
        if not able:
            self.source = ""
            return
        others = [ip for ip in able if ip != self.source] or able
        zone = self.settings.own.zone
        self.source = min(
            others,
            key=lambda ip: (self._avoid.get(ip, 0.0) > self.loop.time(), zones.get(ip) != zone, self.rng.random()),
        )
        self.source_since = self.loop.time()
        self._subscribe(self.peers[self.source])

    def _heard_from(self, link: Link, message: Message) -> None:
        self.heard(link.peer, message)

    def heard(self, ip: str, message: Message) -> None:
        """Something from a peer that this process dialled, or from its own replica."""
        now = self.loop.time()
        if isinstance(message, Delta):
            self._delta(now, ip, message)
        elif isinstance(message, Verdict):
            self.claims.verdict(now, ip, message)
        elif isinstance(message, Said):
            self.rounds.said(ip, message)
        else:
            self.heard_more(now, ip, message)

    def heard_more(self, now: float, ip: str, message: Message) -> None:
        """What only some processes understand."""

    def _delta(self, now: float, ip: str, message: Delta) -> None:
        taken = self.store.merge(message.entries)
        self.synced[ip] = (message.life, message.upto)
        if message.full:
            self.heard_at[ip] = now
        else:
            self.heard_at.pop(ip, None)
        if ip == self.source:
            self.source_at = max(self.source_at, now - message.age)
            self.known = self.known or message.age < self.stale
        if taken:
            self.merged(taken)
        dialler = self.peers.get(ip)
        if dialler is not None and dialler.link is not None:
            dialler.link.send(Pong())

    def merged(self, taken: list[Entry]) -> None:
        """News has come."""

    def _changed(self, entry: Entry) -> None:
        if entry.kind == "membership" and entry.value is not None:
            membership = read_membership(entry.value)
            if self.membership is None or membership.epoch > self.membership.epoch:
                self.membership = membership
                events.info(
                    "membership", epoch=membership.epoch, voters=",".join(voter.ip for voter in membership.voters)
                )
                self.loop.call_soon(self._new_membership)
        self.changed(entry)

    def _new_membership(self) -> None:
        assert self.membership is not None
        self._reach()
        self.claims.again(self.loop.time(), self.membership)
        if self.source not in self.peers:
            self._seek()
        self.membership_changed()

    def membership_changed(self) -> None:
        """Another membership stands."""

    def changed(self, entry: Entry) -> None:
        """An entry has taken its place in the store."""

    def age(self, now: float) -> float:
        """Seconds since word of a majority: what was acknowledged before then is known here."""
        if self.membership is None:
            return 1e9
        voters = {voter.ip for voter in self.membership.voters}
        ages = sorted([now - at for ip, at in self.heard_at.items() if ip in voters] + ([0.0] if self.full() else []))
        need = majority(len(voters))
        return ages[need - 1] if len(ages) >= need else 1e9

    def full(self) -> bool:
        """Whether this process is a voter that has all."""
        return False

    def _look(self) -> None:
        now = self.loop.time()
        self.loop.call_later(LOOK, self._look)
        self.rounds.look(now)
        self.claims.look(now)
        if now >= self._settings_next:
            self._settings_next = now + SETTINGS_EVERY
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

    def _to_voter(self, ip: str, message: Claim | Release) -> None:
        self.to(ip, message)

    def to(self, ip: str, message: Message) -> None:
        """Send it to a voter, if it can be reached."""
        dialler = self.peers.get(ip)
        if dialler is not None and dialler.link is not None:
            dialler.link.send(message)

    def round(self, entries: list[Entry] | None, over: Callable[[str], None]) -> None:
        """A round over the voters: a read, or a write of entries."""
        if self.membership is None:
            over("no")
            return
        ips, message = self.rounds.begin(self.membership, entries, self.loop.time() + ROUND_WITHIN, over)
        for ip in ips:
            self.to(ip, message)

    # ---- keys (see proxy.Keys) ---------------------------------------------------------

    def claim(self, key: bytes, by: bytes, left: float, within: float, over: Callable[[Settled], None]) -> None:
        """Ask for the right to run an operation."""
        assert self.membership is not None
        self.claims.begin(self.loop.time(), self.membership, key, by, left, within, over)

    def release(self, key: bytes, by: bytes) -> None:
        """Give it back."""
        if self.membership is not None:
            for voter in self.membership.voters:
                self.to(voter.ip, Release(key, by))

    def drop(self, key: bytes, by: bytes) -> None:
        """Nobody waits for it any more."""
        self.claims.drop(key, by)

    # ---- calls of operators ----------------------------------------------------------------

    def amend(self, body: bytes, over: Callable[[MeshError | None], None]) -> None:
        """Take a change: checked against what a majority has, then on a majority's disks."""
        try:
            entries = items.read_call(body)
        except MeshError as fault:
            over(fault)
            return
        if self._amends >= AMENDS_MOST:  # Guards memory and disks against a flood of calls.
            over(MeshError(Kind.NO_QUORUM, "too many calls in hand"))
            return
        self._amends += 1

        def end(fault: MeshError | None) -> None:
            self._amends -= 1
            over(fault)

        def read(how: str) -> None:
            if how != "ok":
                end(MeshError(Kind.NO_QUORUM, "too few replicas answer"))
                return
            try:
                items.check(entries, self.store)
            except MeshError as fault:
                end(fault)
                return
            self.round(entries, written)

        def written(how: str) -> None:
            if how == "ok":
                end(None)
            else:
                kind = Kind.CONFLICT if how == "conflict" else Kind.UNCLEAR
                end(MeshError(kind, "the change is not on enough disks"))

        self.round(None, read)

    def read(self, over: Callable[[bytes | None], None]) -> None:
        """All items that stand, as a majority has them."""
        self.round(None, lambda how: over(items.read_back(self.store) if how == "ok" else None))
