"""One control node's state, without I/O: the register, the voters that it names, and claims of operation keys.

Every method takes inputs and returns what to send at once, what to write, and what to send once that is on disk.
Nothing is promised before it is synced.

Claims are granted by the majority of one epoch's voters. A voter grants while it is *complete*: it holds every claim
that may have been won with the voters of earlier epochs. Who votes in two epochs, one after the other, stays complete;
who is new becomes complete by hearing a majority of the epoch before (`catch_up`), or once it has been a voter for
longer than any claim counts. Accepting a change of the voters ends granting in the present epoch, so that
nothing is won there after that change has been decided.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.control.items import MEMBERSHIP
from lugspur.mesh.control.messages import (
    Accept,
    Change,
    CompleteKey,
    Entry,
    FetchDecided,
    FetchReservations,
    Learn,
    Membership,
    Message,
    Prepare,
    ReadIndexQuery,
    ReleaseKey,
    ReservationsPage,
    ReserveKey,
    ReserveKeyReply,
    Voter,
)
from lugspur.mesh.control.register import Applied, Register
from lugspur.mesh.control.reservation_table import ReservationTable
from lugspur.mesh.control.store import EntryKey

GENESIS = "genesis"  # the uid of a voter of the first membership
UID_ROW, COMPLETE_ROW = b"muid", b"mcomplete"

_pack = msgspec.msgpack.Encoder().encode
_membership = msgspec.msgpack.Decoder(Membership)
_epoch = msgspec.msgpack.Decoder(int)


def membership_entry(membership: Membership) -> Entry:
    """A membership as an entry like others: it is decided, kept and told like the configuration."""
    return Entry(MEMBERSHIP, "", membership.epoch, _pack(membership))


def read_membership(value: bytes) -> Membership:
    """The membership of its entry."""
    return _membership.decode(value)


class Replica:
    """The state of one control node.

    `window`: seconds in which a key runs once; `memory`: bytes that the process may use; `publish` is told of entries
    that were decided, and of names that are gone without a word.
    """

    def __init__(
        self,
        ip: str,
        uid: str,
        zone: str,
        window: float,
        memory: int,
        publish: Callable[[list[Entry], list[EntryKey]], None],
    ) -> None:
        self.voter = Voter(ip, uid, zone)
        self.register = Register()
        self.reservations = ReservationTable(window, memory)
        self.membership: Membership | None = None
        self.complete_epoch = 0  # the latest epoch for which it holds all claims that a voter must hold
        self.epoch_since = 0.0  # when it took up the present epoch
        self._publish = publish

    # ---- start ---------------------------------------------------------------------------

    def begin(self, now: float, seeds: Iterable[Voter]) -> Effects:
        """The very first start of the whole system: the seeds vote, and there is nothing to catch up with."""
        first = Membership(1, sorted(seeds, key=lambda voter: voter.ip))
        self.complete_epoch = 1 if self._votes_in(first) else 0
        effects = self._apply(now, self.register.decide(Change(GENESIS, [membership_entry(first)])))
        effects.write.append((UID_ROW, self.voter.uid.encode()))
        return effects

    def restore(self, rows: list[tuple[bytes, bytes]], now: float) -> None:
        """Take up what is on disk."""
        self.register.restore(rows)
        self.reservations.restore(rows, now)
        for key, value in rows:
            if key == UID_ROW:
                self.voter = Voter(self.voter.ip, value.decode(), self.voter.zone)
            elif key == COMPLETE_ROW:
                self.complete_epoch = _epoch.decode(value)
        item = self.register.items.get((MEMBERSHIP, ""))
        if item is not None and item.entry.value is not None:
            self.membership = read_membership(item.entry.value)
            self.epoch_since = now
        self._publish([item.entry for item in self.register.items.values()], [])

    # ---- what it is ----------------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """The epoch that it goes by, 0 before any."""
        return 0 if self.membership is None else self.membership.epoch

    @property
    def index(self) -> int:
        """The latest change that it knows as decided."""
        return self.register.index

    def _votes_in(self, membership: Membership) -> bool:
        return any((v.ip, v.uid) == (self.voter.ip, self.voter.uid) for v in membership.voters)

    @property
    def is_voter(self) -> bool:
        """Whether this disk has a vote."""
        return self.membership is not None and self._votes_in(self.membership)

    @property
    def is_complete(self) -> bool:
        """Whether it has a vote and all claims that a voter must hold."""
        return self.is_voter and self.complete_epoch == self.epoch

    @property
    def was_voter(self) -> bool:
        """Whether this disk had a vote in the epoch before."""
        previous = [] if self.membership is None else self.membership.previous_voters
        return any((v.ip, v.uid) == (self.voter.ip, self.voter.uid) for v in previous)

    @property
    def was_complete(self) -> bool:
        """Whether it was complete in the epoch before, by what it holds.

        If not, it has granted nothing in that epoch: a grant is told once it is on disk, and the epoch before it.
        """
        return self.was_voter and self.complete_epoch >= self.epoch - 1

    # ---- messages ------------------------------------------------------------------------

    def handle(self, now: float, peer: Peer, message: Message) -> Effects:
        """Something for this replica."""
        if isinstance(message, ReserveKey):
            return self._reserve(now, peer, message)
        if isinstance(message, CompleteKey):
            return self.reservations.complete(now, message, self.is_complete)
        if isinstance(message, ReleaseKey):
            return self.reservations.release(message)
        if isinstance(message, Prepare):
            return self.register.prepare(peer, message, self.is_voter)
        if isinstance(message, Accept):
            return self.register.accept(peer, message, self.is_voter)
        if isinstance(message, ReadIndexQuery):
            return self.register.read_index(peer, message, self.is_voter)
        if isinstance(message, FetchDecided):
            return self._catch_up(peer, message)
        if isinstance(message, FetchReservations):
            return self._fetch_reservations(now, peer, message)
        return Effects()  # nothing that a replica is asked

    def sweep(self, now: float) -> Effects:
        """What time alone brings about: claims end, and a voter that has waited for longer than that is complete."""
        effects = self.reservations.sweep(now)
        if self.is_voter and not self.is_complete and now - self.epoch_since > self.reservations.retention_seconds:
            effects.add(self._become_complete())
        return effects

    # ---- the register --------------------------------------------------------------------

    def decide(self, now: float, change: Change) -> Effects:
        """This is the next change."""
        return self._apply(now, self.register.decide(change))

    def learn(self, now: float, pages: list[Learn]) -> Effects:
        """All pages of what others know as decided."""
        return self._apply(now, self.register.learn(pages))

    def _apply(self, now: float, applied: Applied) -> Effects:
        effects = Effects(write=applied.write)
        for entry in applied.entries:
            if entry.kind == MEMBERSHIP and entry.value is not None:
                self._take_up(now, read_membership(entry.value))
                effects.write.append((COMPLETE_ROW, _pack(self.complete_epoch)))
        if applied.entries or applied.forgotten:
            self._publish(applied.entries, applied.forgotten)
        return effects

    def _take_up(self, now: float, membership: Membership) -> None:
        """Go by the next membership. What it holds stays complete only from one epoch to the very next one."""
        self._check_step(membership)
        follows = self.is_complete and membership.epoch == self.epoch + 1
        self.membership = membership
        self.epoch_since = now
        if follows and self.is_voter:
            self.complete_epoch = membership.epoch

    def _check_step(self, membership: Membership) -> None:
        """What must hold before the next membership is taken up; several may follow each other unseen."""
        check(membership.epoch > self.epoch, Invariant.EPOCHS_RISE, epoch=membership.epoch, standing=self.epoch)
        if self.membership is None or membership.epoch != self.epoch + 1:
            return
        before, after = set(self.membership.voters), set(membership.voters)
        differ = max(len(before - after), len(after - before))
        check(differ <= 1, Invariant.ONE_VOTER_AT_A_TIME, epoch=membership.epoch, differ=differ)

    def _catch_up(self, peer: Peer, message: FetchDecided) -> Effects:
        if message.after_index >= self.index:
            return Effects()
        return Effects(send=[(peer, page) for page in self.register.pages_after(message.after_index)])

    # ---- claims --------------------------------------------------------------------------

    @property
    def grants_reservations(self) -> bool:
        """Whether it grants claims: not while a change of the voters that it has accepted may be decided."""
        change = self.register.accepted_change
        return self.is_complete and (change is None or all(entry.kind != MEMBERSHIP for entry in change.entries))

    def _reserve(self, now: float, peer: Peer, message: ReserveKey) -> Effects:
        if not self.grants_reservations or message.epoch != self.epoch:
            return Effects(send=[(peer, ReserveKeyReply(message.key, message.owner, self.epoch, False))])
        return self.reservations.reserve(now, peer, message, self.epoch)

    def _fetch_reservations(self, now: float, peer: Peer, message: FetchReservations) -> Effects:
        """A new voter wants all claims; this one has gone by the new epoch, and grants nothing in an older one."""
        if message.epoch > self.epoch:
            return Effects(send=[(peer, FetchDecided(self.index))])
        if message.epoch != self.epoch or not self.was_voter:
            return Effects()
        pages: list[tuple[Peer, Message]] = [(peer, ReservationsPage(self.epoch, 0, [], True, False))]
        if self.was_complete:
            pages = [(peer, page) for page in self.reservations.pages(now, self.epoch)]
        # The epoch has to be on disk before anybody relies on it.
        return Effects(write=[(COMPLETE_ROW, _pack(self.complete_epoch))], after_sync=pages)

    def take_reservations(self, now: float, pages: Iterable[ReservationsPage]) -> Effects:
        """All that was won in the epochs before (see `catch_up`)."""
        if not self.is_voter or self.is_complete:
            return Effects()
        effects = Effects()
        for page in pages:
            effects.write += self.reservations.merge(now, page.reservations)
        effects.add(self._become_complete())
        return effects

    def _become_complete(self) -> Effects:
        self.complete_epoch = self.epoch
        return Effects(write=[(COMPLETE_ROW, _pack(self.complete_epoch))])
