"""One control node's state, without I/O: the register, the voters that it names, and reservations of idempotency keys.

Every method takes inputs and returns what to send at once, what to write, and what to send once that is on disk.
Nothing is promised before it is synced.

Reservations are granted by the majority of one epoch's voters. A voter grants while it is *complete*: it holds every
reservation that may have been acquired from the voters of earlier epochs. A voter of two consecutive epochs stays
complete; a new one becomes complete by reading the reservations of a majority of the epoch before
(`reservation_catch_up`), or once it has been a voter for longer than any reservation lasts. Accepting a change of the
voters ends granting in the present epoch, so that nothing is acquired there after that change has been decided.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.control.items import MEMBERSHIP
from lugspur.mesh.control.membership_entry import membership_entry, read_membership
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
_epoch = msgspec.msgpack.Decoder(int)


class Replica:
    """The state of one control node.

    `window`: seconds in which the operation of a key runs once; `memory`: bytes that the process may use; `publish` is
    called with entries that were decided, and with the keys of entries that were forgotten without a withdrawal.
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
        self.complete_epoch = 0  # the latest epoch for which it holds all reservations that a voter must hold
        self.epoch_since = 0.0  # when it learned the present epoch
        self._publish = publish

    # ---- start ---------------------------------------------------------------------------

    def begin(self, now: float, seeds: Iterable[Voter]) -> Effects:
        """Start a new mesh: the seeds are the voters, and there is nothing to catch up with."""
        first = Membership(1, sorted(seeds, key=lambda voter: voter.ip))
        self.complete_epoch = 1 if self._votes_in(first) else 0
        effects = self._apply(now, self.register.decide(Change(GENESIS, [membership_entry(first)])))
        effects.write.append((UID_ROW, self.voter.uid.encode()))
        return effects

    def restore(self, rows: list[tuple[bytes, bytes]], now: float) -> None:
        """Load what is on disk."""
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

    # ---- role ----------------------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """The epoch of the membership that it knows, 0 before any."""
        return 0 if self.membership is None else self.membership.epoch

    @property
    def index(self) -> int:
        """The index of the latest change that it knows as decided."""
        return self.register.index

    def _votes_in(self, membership: Membership) -> bool:
        return any((v.ip, v.uid) == (self.voter.ip, self.voter.uid) for v in membership.voters)

    @property
    def is_voter(self) -> bool:
        """Whether this replica, with this disk, has a vote."""
        return self.membership is not None and self._votes_in(self.membership)

    @property
    def is_complete(self) -> bool:
        """Whether it has a vote and holds all reservations that a voter must hold."""
        return self.is_voter and self.complete_epoch == self.epoch

    @property
    def was_voter(self) -> bool:
        """Whether this replica, with this disk, had a vote in the epoch before."""
        previous = [] if self.membership is None else self.membership.previous_voters
        return any((v.ip, v.uid) == (self.voter.ip, self.voter.uid) for v in previous)

    @property
    def was_complete(self) -> bool:
        """Whether it was complete in the epoch before, by what is on its disk.

        If not, it has granted nothing in that epoch: a grant is sent once it is on disk, and the epoch before that.
        """
        return self.was_voter and self.complete_epoch >= self.epoch - 1

    # ---- messages ------------------------------------------------------------------------

    def handle(self, now: float, peer: Peer, message: Message) -> Effects:
        """Process a message to this replica."""
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
        return Effects()  # not a message to a replica

    def sweep(self, now: float) -> Effects:
        """End reservations whose window is over, and become complete after more time than any lasts."""
        effects = self.reservations.sweep(now)
        if self.is_voter and not self.is_complete and now - self.epoch_since > self.reservations.retention_seconds:
            effects.add(self._become_complete())
        return effects

    # ---- the register --------------------------------------------------------------------

    def decide(self, now: float, change: Change) -> Effects:
        """Put the next change into force."""
        return self._apply(now, self.register.decide(change))

    def learn(self, now: float, pages: list[Learn]) -> Effects:
        """Put into force what others know as decided."""
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
        """Take up a membership. A replica stays complete only from one epoch to the very next one."""
        self._check_step(membership)
        follows = self.is_complete and membership.epoch == self.epoch + 1
        self.membership = membership
        self.epoch_since = now
        if follows and self.is_voter:
            self.complete_epoch = membership.epoch

    def _check_step(self, membership: Membership) -> None:
        """Check what must hold before a membership is taken up; epochs between may not have been seen here."""
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

    # ---- reservations --------------------------------------------------------------------

    @property
    def grants_reservations(self) -> bool:
        """Whether it grants reservations: not while a change of the voters that it has accepted may be decided."""
        change = self.register.accepted_change
        return self.is_complete and (change is None or all(entry.kind != MEMBERSHIP for entry in change.entries))

    def _reserve(self, now: float, peer: Peer, message: ReserveKey) -> Effects:
        if not self.grants_reservations or message.epoch != self.epoch:
            return Effects(send=[(peer, ReserveKeyReply(message.key, message.owner, self.epoch, False))])
        return self.reservations.reserve(now, peer, message, self.epoch)

    def _fetch_reservations(self, now: float, peer: Peer, message: FetchReservations) -> Effects:
        """Send all reservations to a new voter; this one knows the new epoch, and grants nothing in an older one."""
        if message.epoch > self.epoch:
            return Effects(send=[(peer, FetchDecided(self.index))])
        if message.epoch != self.epoch or not self.was_voter:
            return Effects()
        pages: list[tuple[Peer, Message]] = [(peer, ReservationsPage(self.epoch, 0, [], True, False))]
        if self.was_complete:
            pages = [(peer, page) for page in self.reservations.pages(now, self.epoch)]
        # The epoch must be on disk before the new voter relies on it.
        return Effects(write=[(COMPLETE_ROW, _pack(self.complete_epoch))], after_sync=pages)

    def take_reservations(self, now: float, pages: Iterable[ReservationsPage]) -> Effects:
        """Take in all reservations of the epochs before (see `reservation_catch_up`) and become complete."""
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
