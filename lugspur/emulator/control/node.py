"""One control node whose disk and connections are played; what it decides is decided by the code that runs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from lugspur.mesh.control.effects import Effects, Peer, Rows
from lugspur.mesh.control.learned_pages import LearnedPages
from lugspur.mesh.control.messages import (
    Accepted,
    Entry,
    Learn,
    Message,
    Promise,
    ReadIndexReply,
    ReservationsPage,
    Voter,
)
from lugspur.mesh.control.proposer import Proposer
from lugspur.mesh.control.read_index import Reader
from lugspur.mesh.control.replica import GENESIS, UID_ROW, Replica
from lugspur.mesh.control.reservation_catch_up import ReservationCatchUp
from lugspur.mesh.control.store import EntryKey

MEMORY = 64 << 20


@dataclass(slots=True, frozen=True)
class Wire:
    """One direction of one connection: messages on it come in order, or not at all once it has ended."""

    source: str
    target: str
    dialled_by: str

    @property
    def back(self) -> Wire:
        """The other direction."""
        return Wire(self.target, self.source, self.dialled_by)


@dataclass(slots=True)
class Write:
    """Rows that are not on disk yet, and what is told once they are."""

    at: float
    rows: Rows
    after_sync: list[tuple[Peer, Message]] = field(default_factory=list)


def keep(disk: dict[bytes, bytes], rows: Iterable[tuple[bytes, bytes | None]]) -> None:
    """Rows of a write that is on disk; no value: the row is gone."""
    for key, value in rows:
        if value is None:
            disk.pop(key, None)
        else:
            disk[key] = value


def publish_nothing(entries: list[Entry], forgotten: list[EntryKey]) -> None:
    """No proxy is told."""


class Node:
    """What it remembers ends with its process, what is on its disk stays.

    `post` puts a message on a wire; `observe` is told of each change that this node has learned of.
    """

    def __init__(
        self,
        ip: str,
        zone: str,
        window: float,
        rng: Random,
        post: Callable[[Wire, Message], None],
        observe: Callable[[Node], None],
    ) -> None:
        self.ip, self.zone = ip, zone
        self.disk: dict[bytes, bytes] = {}
        self.unsynced: list[Write] = []
        self.up = False
        self.lives = 0
        self._window, self._rng = window, rng
        self._post, self._observe = post, observe

    # ---- its process -----------------------------------------------------------------------

    def start(self, now: float, seeds: Iterable[Voter] = ()) -> None:
        """A process starts on this disk; `seeds`: it is the very first start of the whole system."""
        self.up = True
        self.lives += 1
        self.replica = Replica(self.ip, f"{self.ip}#{self.lives}", self.zone, self._window, MEMORY, publish_nothing)
        self.pages = LearnedPages()
        self.proposer = Proposer(self.replica, f"{self.ip}/{self.lives}", self._rng)
        self.reader = Reader(self.replica)
        self.catch_up = ReservationCatchUp(self.replica)
        self.index_seen = 0
        if self.disk:
            self.replica.restore(list(self.disk.items()), now)
        elif seeds:
            self.replica.voter = Voter(self.ip, GENESIS, self.zone)
            keep(self.disk, self.replica.bootstrap(now, seeds).write)
        else:
            self.disk[UID_ROW] = self.replica.voter.uid.encode()
        self.index_seen = self.replica.index

    def stop(self) -> None:
        """It loses its power, and what it has not written."""
        self.up = False
        self.unsynced.clear()

    def wipe(self) -> None:
        """Its disk is lost."""
        self.disk.clear()

    # ---- what it does ----------------------------------------------------------------------

    def do(self, now: float, effects: Effects) -> None:
        """Send, write, and send the rest once that is on disk."""
        for peer, message in effects.send:
            self.send(peer, message)
        if effects.write or effects.after_sync:
            self.unsynced.append(Write(now, effects.write, effects.after_sync))
        self._advance(now)

    def send(self, peer: Peer, message: Message) -> None:
        """To an IP number over the own connection, or back to where a message came from."""
        self._post(peer if isinstance(peer, Wire) else Wire(self.ip, peer, self.ip), message)

    def _advance(self, now: float) -> None:
        if self.index_seen == self.replica.index:
            return
        self.index_seen = self.replica.index
        self._observe(self)
        self.advanced(now)
        self.do(now, self.proposer.replica_advanced(now))
        self.do(now, self.reader.replica_advanced(now))

    def sync(self) -> None:
        """All that waits is on disk; whoever waits for it is told."""
        writes, self.unsynced = self.unsynced, []
        for write in writes:
            keep(self.disk, write.rows)
        for write in writes:
            for peer, message in write.after_sync:
                self.send(peer, message)

    # ---- what it hears ---------------------------------------------------------------------

    def heard(self, now: float, wire: Wire, message: Message) -> None:
        """A message has come over a wire."""
        if isinstance(message, Promise | Accepted):
            self.do(now, self.proposer.receive(now, wire.source, message))
        elif isinstance(message, ReadIndexReply):
            effects, pending = self.reader.receive(now, wire.source, message)
            self.do(now, effects)
            if pending:
                self.pending(now)
        elif isinstance(message, Learn):
            pages = self.pages.add(wire, message)
            if pages:
                self.do(now, self.replica.learn(now, pages))
        elif isinstance(message, ReservationsPage):
            self.do(now, self.catch_up.receive(now, wire.source, message))
        else:
            self.do(now, self.replica.handle(now, wire.back, message))

    def pending(self, now: float) -> None:
        """A voter has accepted something of which nobody has told the outcome."""

    def advanced(self, now: float) -> None:
        """It knows of further changes."""
