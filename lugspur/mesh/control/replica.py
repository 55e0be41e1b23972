"""The state of one control node, without I/O: the register, the current membership and idempotency key reservations.

Every method takes inputs and returns the messages to send at once, the rows to write, and the messages to send once
those rows are on disk. A promise, an acceptance or a grant is sent only after it has been synced.

A reservation is granted by a majority of the voters of one epoch. A voter grants reservations while it is *complete*.
A voter of two consecutive epochs stays complete: it holds what it granted, though not what others granted without it. A
new voter becomes complete by reading every reservation that may have been acquired in earlier epochs
(`catch_up_quorum`), or once it has been a voter for longer than any reservation lasts. A voter that accepts a change of
the membership stops granting in the current epoch, so that no reservation is acquired there after that change has been
decided.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.catch_up_quorum import CatchUpQuorum
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
from lugspur.mesh.control.register import ApplyResult, Register
from lugspur.mesh.control.reservation_table import ReservationTable
from lugspur.mesh.control.store import EntryKey

GENESIS = "genesis"  # the disk uid of each voter of the first membership
UID_ROW, COMPLETE_ROW = b"muid", b"mcomplete"

_pack = msgspec.msgpack.Encoder().encode
_epoch = msgspec.msgpack.Decoder(int)


class Replica:
    """The state of one control node.

    `window`: seconds during which the operation of a key runs at most once; `memory`: bytes that the process may use;
    `publish` is called with the entries that were decided, and with the keys of the entries that were dropped without a
    withdrawal.
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
        self.catch_up_quorum: CatchUpQuorum | None = None  # of the membership
        self.complete_epoch = 0  # the latest epoch in which this replica was complete
        self.epoch_learned_at = 0.0  # the time at which this replica learned the current epoch
        self._publish = publish

    # ---- start ---------------------------------------------------------------------------

    def bootstrap(self, now: float, seeds: Iterable[Voter]) -> Effects:
        """Bootstrap a new mesh: the seeds become the voters, and no earlier state has to be read."""
        first = Membership(1, sorted(seeds, key=lambda voter: voter.ip))
        self.complete_epoch = 1 if self._votes_in(first) else 0
        effects = self._apply(now, self.register.decide(Change(GENESIS, [membership_entry(first)])))
        effects.write.append((UID_ROW, self.voter.uid.encode()))
        return effects

    def restore(self, rows: list[tuple[bytes, bytes]], now: float) -> None:
        """Load the state from the rows on disk."""
        self.register.restore(rows)
        self.reservations.restore(rows, now)
        for key, value in rows:
            if key == UID_ROW:
                self.voter = Voter(self.voter.ip, value.decode(), self.voter.zone)
            elif key == COMPLETE_ROW:
                self.complete_epoch = _epoch.decode(value)
        item = self.register.items.get((MEMBERSHIP, ""))
        if item is not None and item.entry.value is not None:
            self._use_membership(now, read_membership(item.entry.value))
        self._publish([item.entry for item in self.register.items.values()], [])

    # ---- role ----------------------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """The epoch of the membership that this replica knows, 0 before it knows one."""
        return 0 if self.membership is None else self.membership.epoch

    @property
    def index(self) -> int:
        """The index of the latest change that this replica knows to be decided."""
        return self.register.index

    def _votes_in(self, membership: Membership) -> bool:
        return any((v.ip, v.uid) == (self.voter.ip, self.voter.uid) for v in membership.voters)

    @property
    def is_voter(self) -> bool:
        """Whether this replica, with its current disk, has a vote."""
        return self.membership is not None and self._votes_in(self.membership)

    @property
    def is_complete(self) -> bool:
        """Whether this replica has a vote and holds all reservations that a voter must hold."""
        return self.is_voter and self.complete_epoch == self.epoch

    @property
    def is_source(self) -> bool:
        """Whether new voters ask this replica, with its current disk, for what it holds."""
        return self.catch_up_quorum is not None and self.catch_up_quorum.includes(self.voter)

    @property
    def was_complete(self) -> bool:
        """Whether this replica was complete in one of the epochs whose voters are asked, according to its disk.

        If it was not, it granted nothing in any of them: the epoch is written to disk before the grant, and the grant
        is sent only once it is on disk.
        """
        return self.was_complete_by(self.complete_epoch)

    def was_complete_by(self, complete_epoch: int) -> bool:
        """Whether a latest complete epoch is one of those whose voters are asked."""
        quorum = self.catch_up_quorum
        return quorum is not None and quorum.includes(self.voter) and complete_epoch >= quorum.base_epoch

    # ---- messages ------------------------------------------------------------------------

    def handle(self, now: float, peer: Peer, message: Message) -> Effects:
        """Process a message to this replica."""
        if isinstance(message, ReserveKey):
            return self._reserve(now, peer, message)
        if isinstance(message, CompleteKey):
            return self._complete(now, peer, message)
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
        return Effects()  # replicas don't handle messages of other types

    def sweep(self, now: float) -> Effects:
        """Drop expired reservations, and become complete once every reservation of earlier epochs has expired."""
        effects = self.reservations.sweep(now)
        if self.is_voter and not self.is_complete and now - self.epoch_learned_at > self.reservations.retention_seconds:
            effects.add(self._become_complete())
        return effects

    # ---- the register --------------------------------------------------------------------

    def decide(self, now: float, change: Change) -> Effects:
        """Apply the next change, which has been decided."""
        return self._apply(now, self.register.decide(change))

    def learn(self, now: float, pages: list[Learn]) -> Effects:
        """Apply decided state that another replica has sent."""
        return self._apply(now, self.register.learn(pages))

    def _apply(self, now: float, applied: ApplyResult) -> Effects:
        effects = Effects(write=applied.write)
        for entry in applied.entries:
            if entry.kind == MEMBERSHIP and entry.value is not None:
                self._install_membership(now, read_membership(entry.value))
                effects.write.append((COMPLETE_ROW, _pack(self.complete_epoch)))
        if applied.entries or applied.forgotten:
            self._publish(applied.entries, applied.forgotten)
        return effects

    def _install_membership(self, now: float, membership: Membership) -> None:
        """Make a membership the current one. A replica stays complete only from one epoch to the very next one."""
        self._check_transition(membership)
        stays_complete = self.is_complete and membership.epoch == self.epoch + 1
        self._use_membership(now, membership)
        if stays_complete and self.is_voter:
            self.complete_epoch = membership.epoch

    def _use_membership(self, now: float, membership: Membership) -> None:
        self.membership = membership
        self.catch_up_quorum = CatchUpQuorum(membership)
        self.epoch_learned_at = now

    def _check_transition(self, membership: Membership) -> None:
        """Check the invariants of a transition to a membership; this replica may have missed epochs in between."""
        check(membership.epoch > self.epoch, Invariant.EPOCHS_RISE, epoch=membership.epoch, standing=self.epoch)
        if self.membership is None or membership.epoch != self.epoch + 1:
            return
        before, after = set(self.membership.voters), set(membership.voters)
        changed_voters = max(len(before - after), len(after - before))
        check(changed_voters <= 1, Invariant.ONE_VOTER_AT_A_TIME, epoch=membership.epoch, differ=changed_voters)

    def _catch_up(self, peer: Peer, message: FetchDecided) -> Effects:
        if message.after_index >= self.index:
            return Effects()
        return Effects(send=[(peer, page) for page in self.register.pages_after(message.after_index)])

    # ---- reservations --------------------------------------------------------------------

    @property
    def grants_reservations(self) -> bool:
        """Whether this replica is complete and has accepted no change of the membership, which may be decided."""
        change = self.register.accepted_change
        return self.is_complete and (change is None or all(entry.kind != MEMBERSHIP for entry in change.entries))

    def _reserve(self, now: float, peer: Peer, message: ReserveKey) -> Effects:
        if not self.grants_reservations or message.epoch != self.epoch:
            refusal = ReserveKeyReply(message.key, message.owner, self.epoch, False, acknowledges_answers=True)
            return Effects(send=[(peer, refusal)])
        return self.reservations.reserve(now, peer, message, self.epoch)

    def _complete(self, now: float, peer: Peer, message: CompleteKey) -> Effects:
        """Store the response of an operation, and acknowledge it once it is on disk, if the sender wants that."""
        effects = self.reservations.complete(now, message, self.is_complete)
        if message.wants_reply and effects.write:
            stored = ReserveKeyReply(message.key, message.owner, self.epoch, False, True)
            stored.is_stored = stored.acknowledges_answers = True
            effects.after_sync.append((peer, stored))
        return effects

    def _fetch_reservations(self, now: float, peer: Peer, message: FetchReservations) -> Effects:
        """Send all reservations to a new voter, once this replica knows the new epoch and grants none in older ones."""
        if message.epoch > self.epoch:
            return Effects(send=[(peer, FetchDecided(self.index))])
        if message.epoch != self.epoch or not self.is_source:
            return Effects()
        pages: list[tuple[Peer, Message]] = [(peer, ReservationsPage(self.epoch, 0, [], True, False))]
        if self.was_complete:
            pages = [(peer, page) for page in self.reservations.pages(now, self.epoch)]
        # The epoch must be on disk before the new voter relies on it.
        return Effects(write=[(COMPLETE_ROW, _pack(self.complete_epoch))], after_sync=pages)

    def merge_reservations(self, now: float, pages: Iterable[ReservationsPage]) -> Effects:
        """Merge all reservations of earlier epochs (see `reservation_catch_up`) and become complete."""
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
