"""The acceptor and learner of one replica: it promises, accepts, and learns what was decided.

A replica accepts in one epoch of the voters' membership, and only while it is *complete* in that epoch: it knows all
that the voters of earlier epochs may have decided, or is one of those that accepted there. A voter of two consecutive
epochs stays complete; a new voter becomes complete by the reports of the voters of earlier epochs (`voter_catch_up`). A
replica that has accepted a change of the voters accepts nothing more in the current epoch, so that nothing is decided
in it once the next epoch has begun. Reservations follow the same rules for the same reason (`control.replica`).
"""

from __future__ import annotations

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.effects import Effects, Peer, Rows
from lugspur.mesh.control.items import MEMBERSHIP
from lugspur.mesh.control.messages import NO_PROPOSAL, ProposalNumber
from lugspur.mesh.control.messages.coordination import (
    AcceptorReport,
    CoordinationAccept,
    CoordinationAccepted,
    CoordinationChanges,
    CoordinationConfirm,
    CoordinationConfirmed,
    CoordinationPrepare,
    CoordinationPromise,
    CoordinationSnapshot,
    FetchAcceptor,
)
from lugspur.mesh.control.messages.coordination_records import CoordinationChange
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.coordination.state import MAX_STATE_BYTES, CoordinationState

VOTE_ROW, EPOCH_ROW = b"kvote", b"kepoch"

_pack = msgspec.msgpack.Encoder().encode


class StoredVote(msgspec.Struct, array_like=True, frozen=True):
    """The row on disk of what a replica has promised, and of what it has accepted for change `index`."""

    index: int
    promised: ProposalNumber
    accepted: ProposalNumber | None
    change: CoordinationChange | None


class StoredEpoch(msgspec.Struct, array_like=True, frozen=True):
    """The row on disk of what a replica knows of epochs."""

    complete_epoch: int  # the latest epoch in which the replica was complete
    genesis_epoch: int  # the epoch in which coordination began
    reported_epoch: int  # the latest epoch in which it reported to a new voter: it accepts nothing in an older epoch


_vote_decoder = msgspec.msgpack.Decoder(StoredVote)
_epoch_decoder = msgspec.msgpack.Decoder(StoredEpoch)


class CoordinationAcceptor:
    """The acceptor and learner of one replica."""

    def __init__(self, replica: Replica, history_seconds: float, max_state_bytes: int = MAX_STATE_BYTES) -> None:
        """`replica` is the same process's replica of the configuration, which names the voters."""
        self._replica = replica
        self.state = CoordinationState(history_seconds, max_state_bytes)
        self.promised = NO_PROPOSAL
        self.accepted: ProposalNumber | None = None  # for the index after `state.index`
        self.accepted_change: CoordinationChange | None = None
        self.complete_epoch = 0
        self.genesis_epoch = 0  # 0 if coordination has not begun, as far as this replica knows
        self._reported_epoch = 0
        self.predates_coordination = False  # whether a build without coordination wrote the disk

    # ---- start ---------------------------------------------------------------------------

    def begin(self) -> Effects:
        """Become complete in the first epoch of a new mesh."""
        return self.become_complete(self._replica.epoch)

    def begin_as_newcomer(self) -> Effects:
        """Start with an empty disk in a mesh that may have decided changes already."""
        return Effects(write=[self._epoch_row()])

    def restore(self, rows: list[tuple[bytes, bytes]], now: float, *, predates_coordination: bool) -> None:
        """Load the state from the rows on disk. Raises msgspec.MsgspecError for rows that can't be decoded.

        `predates_coordination`: whether a build without coordination wrote the configuration on this disk.
        """
        self.state.restore(rows, now)
        for key, value in rows:
            if key == VOTE_ROW:
                vote = _vote_decoder.decode(value)
                self.promised = vote.promised
                if vote.index == self.state.index + 1:
                    self.accepted, self.accepted_change = vote.accepted, vote.change
            elif key == EPOCH_ROW:
                epoch = _epoch_decoder.decode(value)
                self.complete_epoch, self.genesis_epoch = epoch.complete_epoch, epoch.genesis_epoch
                self._reported_epoch = epoch.reported_epoch
        self.predates_coordination = predates_coordination

    # ---- role ----------------------------------------------------------------------------

    def follow_epoch(self) -> Effects:
        """Stay complete from one epoch to the next; must run before anything that depends on the epoch."""
        replica = self._replica
        follows = self.genesis_epoch > 0 and self.complete_epoch == replica.epoch - 1
        if not (follows and replica.is_source and replica.is_voter):
            return Effects()
        self.complete_epoch = replica.epoch
        return Effects(write=[self._epoch_row()])

    @property
    def is_complete(self) -> bool:
        """Whether this replica has a vote, and knows all that a voter must know."""
        return self._replica.is_voter and self.genesis_epoch > 0 and self.complete_epoch == self._replica.epoch

    @property
    def was_complete(self) -> bool:
        """Whether this replica was complete in one of the epochs whose voters a new voter asks."""
        return self.genesis_epoch > 0 and self._replica.was_complete_by(self.complete_epoch)

    @property
    def can_vote(self) -> bool:
        """Whether this replica promises and accepts.

        It does neither while a change of the voters that it has accepted may be decided, nor in an epoch older than
        one in which it has reported. The latter happens after a power loss: the configuration is in another lmdb
        environment, which may then hold an older epoch.
        """
        change = self._replica.register.accepted_change
        if not self.is_complete or self._replica.epoch < self._reported_epoch:
            return False
        return change is None or all(entry.kind != MEMBERSHIP for entry in change.entries)

    def become_complete(self, genesis_epoch: int) -> Effects:
        """Become complete in the current epoch, and thereby start to vote."""
        self.complete_epoch, self.genesis_epoch = self._replica.epoch, genesis_epoch
        return Effects(write=[self._epoch_row()])

    def _epoch_row(self) -> tuple[bytes, bytes]:
        return EPOCH_ROW, _pack(StoredEpoch(self.complete_epoch, self.genesis_epoch, self._reported_epoch))

    def _vote_row(self) -> tuple[bytes, bytes]:
        return VOTE_ROW, _pack(StoredVote(self.state.index + 1, self.promised, self.accepted, self.accepted_change))

    # ---- acceptor ------------------------------------------------------------------------

    def prepare(self, peer: Peer, message: CoordinationPrepare) -> Effects:
        """Phase 1b: promise to accept no lower proposal for any index from now on; reply after the sync."""
        if not self._may_grant(message.epoch, message.proposal):
            return Effects(send=[(peer, self._promise(message, is_granted=False))])
        self.promised = message.proposal
        promise = self._promise(message, is_granted=True)
        return Effects(write=[self._vote_row()], after_sync=[(peer, promise)])

    def _promise(self, message: CoordinationPrepare, *, is_granted: bool) -> CoordinationPromise:
        promise = CoordinationPromise(message.epoch, message.proposal, is_granted, self.state.index, self.promised)
        if is_granted:
            promise.accepted, promise.change = self.accepted, self.accepted_change
        return promise

    def _may_grant(self, epoch: int, proposal: ProposalNumber) -> bool:
        return self.can_vote and epoch == self._replica.epoch and proposal >= self.promised

    def accept(self, now: float, peer: Peer, message: CoordinationAccept) -> Effects:
        """Phase 2b: accept a change for the next index unless a higher proposal was promised; reply after the sync."""
        effects = Effects()
        is_granted = self._may_grant(message.epoch, message.proposal)
        if is_granted and message.index == self.state.index + 2 and self.accepted == message.proposal:
            # A proposer moves to the next index only once the previous one is decided, and it proposes a single change
            # per index: the change that was accepted from it here is the decided one.
            assert self.accepted_change is not None
            effects.add(self.decide(now, self.state.index + 1, self.accepted_change))
        is_granted = is_granted and message.index == self.state.index + 1
        if not is_granted:
            effects.send.append((peer, self._accepted(message, is_granted=False)))
            return effects
        self.promised = self.accepted = message.proposal
        self.accepted_change = message.change
        effects.write.append(self._vote_row())
        effects.after_sync.append((peer, self._accepted(message, is_granted=True)))
        return effects

    def _accepted(self, message: CoordinationAccept, *, is_granted: bool) -> CoordinationAccepted:
        return CoordinationAccepted(
            message.epoch, message.proposal, message.index, is_granted, self.state.index, self.promised
        )

    def confirm(self, peer: Peer, message: CoordinationConfirm) -> Effects:
        """Reply whether no higher proposal was promised.

        If a majority confirms that, nothing was decided that the proposer does not know.
        """
        is_granted = self._may_grant(message.epoch, message.proposal)
        reply = CoordinationConfirmed(message.epoch, message.proposal, message.round, is_granted, self.promised)
        return Effects(send=[(peer, reply)])

    # ---- learner -------------------------------------------------------------------------

    def decide(self, now: float, index: int, change: CoordinationChange) -> Effects:
        """Apply a decided change; one that is already known, or is not the next one, is ignored."""
        if index != self.state.index + 1:
            return Effects()
        rows: Rows = self.state.apply(now, change)
        self.accepted = self.accepted_change = None
        return Effects(write=rows)

    def learn_changes(self, now: float, message: CoordinationChanges) -> Effects:
        """Apply those of the decided changes that are next in sequence."""
        effects = Effects()
        for offset, change in enumerate(message.changes):
            effects.add(self.decide(now, message.first_index + offset, change))
        return effects

    def learn_snapshot(self, now: float, snapshot: CoordinationSnapshot) -> Effects:
        """Replace the state by a snapshot of a later one; an older snapshot is ignored."""
        if snapshot.index <= self.state.index:
            return Effects()
        rows = self.state.replace(now, snapshot)
        self.accepted = self.accepted_change = None
        return Effects(write=rows)

    def changes_or_snapshot_after(self, index: int) -> CoordinationChanges | CoordinationSnapshot | None:
        """Return what a peer that knows all changes up to an index lacks, or None if it lacks nothing."""
        if index >= self.state.index:
            return None
        changes = self.state.changes_after(index)
        return self.state.snapshot() if changes is None else CoordinationChanges(index + 1, changes)

    # ---- new voters ----------------------------------------------------------------------

    def report(self, peer: Peer, message: FetchAcceptor) -> Effects:
        """Report to a new voter once the epoch is on disk; from then on accept nothing in an older epoch."""
        if message.epoch != self._replica.epoch:
            return Effects()
        self._reported_epoch = max(self._reported_epoch, message.epoch)
        report = AcceptorReport(
            message.epoch,
            self._replica.is_source,
            self.was_complete,
            self.genesis_epoch,
            self.accepted,
            self.accepted_change,
            self.state.snapshot(),
        )
        return Effects(write=[self._epoch_row()], after_sync=[(peer, report)])

    def adopt_reports(self, now: float, reports: list[AcceptorReport], genesis_epoch: int) -> Effects:
        """Adopt what the voters of earlier epochs have reported, and become complete."""
        effects = Effects()
        latest = max((report.snapshot for report in reports), key=lambda snapshot: snapshot.index)
        effects.add(self.learn_snapshot(now, latest))
        for report in reports:
            if report.accepted is None or report.snapshot.index != self.state.index:
                continue
            if self.accepted is None or report.accepted > self.accepted:
                self.accepted, self.accepted_change = report.accepted, report.change
        if self.accepted is not None:
            self.promised = max(self.promised, self.accepted)
        effects.write.append(self._vote_row())
        effects.add(self.become_complete(genesis_epoch))
        return effects

    def check_same_change(self, index: int, change: CoordinationChange) -> None:
        """Check that the change that another node has decided for an index is the one that is kept here."""
        known = self.state.changes_after(index - 1)
        if known:
            check(known[0].id == change.id, Invariant.ONE_CHANGE_PER_INDEX, index=index, change=change.id)
