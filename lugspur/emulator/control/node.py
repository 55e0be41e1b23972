"""One control node with a simulated disk and simulated connections around the production code."""

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

MEMORY_LIMIT_BYTES = 64 << 20


@dataclass(slots=True, frozen=True)
class Wire:
    """One direction of one connection: messages arrive in order, and none arrive after the connection has ended."""

    source: str
    target: str
    dialled_by: str

    @property
    def reverse(self) -> Wire:
        """The other direction of the same connection."""
        return Wire(self.target, self.source, self.dialled_by)


@dataclass(slots=True)
class Write:
    """Rows that are not on disk yet, and the messages to send once they are."""

    queued_at: float
    rows: Rows
    after_sync: list[tuple[Peer, Message]] = field(default_factory=list)


def apply_rows(disk: dict[bytes, bytes], rows: Iterable[tuple[bytes, bytes | None]]) -> None:
    """Apply the rows of a write to a disk; a row whose value is None is deleted."""
    for key, value in rows:
        if value is None:
            disk.pop(key, None)
        else:
            disk[key] = value


def publish_nothing(entries: list[Entry], forgotten: list[EntryKey]) -> None:
    """Publish nothing: the models have no proxies that subscribe to entries."""


class Node:
    """A control node: its memory is lost with its process, its disk stays.

    `post` sends a message over a wire; `observe` is called after each advance of this node's index.
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
        self.is_running = False
        self.incarnation_number = 0
        self._window, self._rng = window, rng
        self._post, self._observe = post, observe

    # ---- process ---------------------------------------------------------------------------

    def start(self, now: float, seeds: Iterable[Voter] = ()) -> None:
        """Start a process on this disk; `seeds` are the first voters, at the first start of the whole system."""
        self.is_running = True
        self.incarnation_number += 1
        self.replica = Replica(
            self.ip,
            f"{self.ip}#{self.incarnation_number}",
            self.zone,
            self._window,
            MEMORY_LIMIT_BYTES,
            publish_nothing,
        )
        self.pages = LearnedPages()
        self.proposer = Proposer(self.replica, f"{self.ip}/{self.incarnation_number}", self._rng)
        self.reader = Reader(self.replica)
        self.catch_up = ReservationCatchUp(self.replica)
        self.last_seen_index = 0
        if self.disk:
            self.replica.restore(list(self.disk.items()), now)
        elif seeds:
            self.replica.voter = Voter(self.ip, GENESIS, self.zone)
            apply_rows(self.disk, self.replica.bootstrap(now, seeds).write)
        else:
            self.disk[UID_ROW] = self.replica.voter.uid.encode()
        self.last_seen_index = self.replica.index

    def stop(self) -> None:
        """Stop as after a power loss: unsynced writes are lost."""
        self.is_running = False
        self.unsynced.clear()

    def wipe(self) -> None:
        """Lose the disk's contents."""
        self.disk.clear()

    # ---- effects ---------------------------------------------------------------------------

    def apply_effects(self, now: float, effects: Effects) -> None:
        """Send the immediate messages and queue the write; the other messages follow once it is on disk."""
        for peer, message in effects.send:
            self.send(peer, message)
        if effects.write or effects.after_sync:
            self.unsynced.append(Write(now, effects.write, effects.after_sync))
        self._check_advance(now)

    def send(self, peer: Peer, message: Message) -> None:
        """Send to an IP address over this node's own connection, or back over the wire a message came from."""
        self._post(peer if isinstance(peer, Wire) else Wire(self.ip, peer, self.ip), message)

    def _check_advance(self, now: float) -> None:
        if self.last_seen_index == self.replica.index:
            return
        self.last_seen_index = self.replica.index
        self._observe(self)
        self.index_advanced(now)
        self.apply_effects(now, self.proposer.replica_advanced(now))
        self.apply_effects(now, self.reader.replica_advanced(now))

    def sync(self) -> None:
        """Put all queued writes on disk, then send the messages that waited for them."""
        writes, self.unsynced = self.unsynced, []
        for write in writes:
            apply_rows(self.disk, write.rows)
        for write in writes:
            for peer, message in write.after_sync:
                self.send(peer, message)

    # ---- messages --------------------------------------------------------------------------

    def receive(self, now: float, wire: Wire, message: Message) -> None:
        """Handle a message that arrived over a wire."""
        if isinstance(message, Promise | Accepted):
            self.apply_effects(now, self.proposer.receive(now, wire.source, message))
        elif isinstance(message, ReadIndexReply):
            effects, pending = self.reader.receive(now, wire.source, message)
            self.apply_effects(now, effects)
            if pending:
                self.pending_change_reported(now)
        elif isinstance(message, Learn):
            pages = self.pages.add(wire, message)
            if pages:
                self.apply_effects(now, self.replica.learn(now, pages))
        elif isinstance(message, ReservationsPage):
            self.apply_effects(now, self.catch_up.receive(now, wire.source, message))
        else:
            self.apply_effects(now, self.replica.handle(now, wire.reverse, message))

    def pending_change_reported(self, now: float) -> None:
        """React to a voter that reports a change which it accepted and whose outcome is unknown."""

    def index_advanced(self, now: float) -> None:
        """React to an advance of this node's index."""
