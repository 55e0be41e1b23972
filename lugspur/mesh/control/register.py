"""A replica's copy of the configuration register, without I/O: the decided items, and the acceptor of the next change.

The configuration is a sequence of changes. Each one is decided by single-decree Paxos (Lamport, "Paxos Made Simple",
2001) among the voters of the membership that the preceding changes established. A replica keeps the state and no
history: the items after change `index`, and what its acceptor has promised and accepted for change `index + 1`. A
change is decided once a majority of the voters has accepted it under one proposal number. A later proposer of the same
index learns of it from the promises, and can only propose it again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.capacity import item_bytes
from lugspur.mesh.control.effects import Effects, Peer, Rows
from lugspur.mesh.control.messages import (
    MAX_PAGE_BYTES,
    NO_PROPOSAL,
    Accept,
    Accepted,
    Change,
    Entry,
    Item,
    Learn,
    Prepare,
    Promise,
    ProposalNumber,
    ReadIndexQuery,
    ReadIndexReply,
)
from lugspur.mesh.control.store import EntryKey, supersedes

#: Number of withdrawals that are kept, so that an older change of a withdrawn name has no effect.
MAX_WITHDRAWALS = 20_000
#: Fraction of MAX_WITHDRAWALS that remains once there are more; the oldest are pruned.
WITHDRAWALS_KEPT_FRACTION = 0.9

MAX_KEY_BYTES = 511  # the limit of lmdb for the key of a row
ITEM_PREFIX = b"i"
INDEX_ROW, VOTE_ROW = b"mindex", b"mvote"

_pack = msgspec.msgpack.Encoder().encode
_item_decoder = msgspec.msgpack.Decoder(Item)
_index_decoder = msgspec.msgpack.Decoder(tuple[int, int])


class AcceptorState(msgspec.Struct, array_like=True):
    """The proposals that an acceptor has promised and accepted for change `index`, as stored on disk."""

    index: int
    promised: ProposalNumber
    accepted: ProposalNumber | None
    change: Change | None


_vote_decoder = msgspec.msgpack.Decoder(AcceptorState)


def item_row(entry: Entry) -> bytes:
    """The key of an item's row on disk."""
    return ITEM_PREFIX + entry.kind.encode() + b"\0" + entry.name.encode()


@dataclass(slots=True)
class ApplyResult:
    """The effect of one or several decided changes on the items."""

    entries: list[Entry] = field(default_factory=list)  # entries that came into force
    forgotten: list[EntryKey] = field(default_factory=list)  # keys of items that were dropped without a withdrawal
    write: Rows = field(default_factory=list)


class Register:
    """The items after change `index`, and the acceptor of the next change."""

    def __init__(self) -> None:
        self.items: dict[EntryKey, Item] = {}
        self.size_bytes = 0  # the size of all items, as `capacity.item_bytes` counts it
        self.index = 0
        self.pruned_index = 0  # withdrawals up to this change are pruned
        self.promised = NO_PROPOSAL
        self.accepted: ProposalNumber | None = None
        self.accepted_change: Change | None = None
        self._withdrawals = 0
        self._pruned_to = 0  # the change up to which this replica has pruned withdrawals

    # ---- start ---------------------------------------------------------------------------

    def restore(self, rows: Iterable[tuple[bytes, bytes]]) -> None:
        """Load the items and the acceptor's state from the rows on disk; other rows are ignored."""
        vote: AcceptorState | None = None
        for key, value in rows:
            if key.startswith(ITEM_PREFIX):
                item = _item_decoder.decode(value)
                self.items[item.entry.kind, item.entry.name] = item
            elif key == INDEX_ROW:
                self.index, self.pruned_index = _index_decoder.decode(value)
            elif key == VOTE_ROW:
                vote = _vote_decoder.decode(value)
        self._pruned_to = self.pruned_index
        self._withdrawals = sum(item.entry.value is None for item in self.items.values())
        self.size_bytes = sum(item_bytes(item.entry) for item in self.items.values())
        if vote is not None:
            self.promised = vote.promised
            if vote.index == self.index + 1:
                self.accepted, self.accepted_change = vote.accepted, vote.change

    # ---- acceptor ------------------------------------------------------------------------

    @property
    def has_pending_change(self) -> bool:
        """Whether the acceptor has accepted a value for the next change, which may be decided already."""
        return self.accepted_change is not None

    def prepare(self, peer: Peer, message: Prepare, is_voter: bool) -> Effects:
        """Phase 1b: promise to accept no lower proposal, unless a higher one was promised; synced before the reply."""
        granted = is_voter and message.index == self.index + 1 and message.proposal >= self.promised
        if not granted:
            rejection = Promise(message.index, message.proposal, False, self.index, self.promised)
            return Effects(send=[(peer, rejection)])
        self.promised = message.proposal
        promise = Promise(
            message.index, message.proposal, True, self.index, self.promised, self.accepted, self.accepted_change
        )
        return Effects(write=[self._vote_row()], after_sync=[(peer, promise)])

    def accept(self, peer: Peer, message: Accept, is_voter: bool) -> Effects:
        """Phase 2b: accept a value for the next change, unless a higher one was promised; synced before the reply."""
        granted = is_voter and message.index == self.index + 1 and message.proposal >= self.promised
        reply = Accepted(message.index, message.proposal, granted, self.index, self.promised)
        if not granted:
            return Effects(send=[(peer, reply)])
        self.promised = self.accepted = message.proposal
        self.accepted_change = message.change
        return Effects(write=[self._vote_row()], after_sync=[(peer, reply)])

    def _vote_row(self) -> tuple[bytes, bytes]:
        return VOTE_ROW, _pack(AcceptorState(self.index + 1, self.promised, self.accepted, self.accepted_change))

    def read_index(self, peer: Peer, message: ReadIndexQuery, is_voter: bool) -> Effects:
        """Reply to a reader with the index of the latest change that this replica knows to be decided."""
        return Effects(send=[(peer, ReadIndexReply(message.number, is_voter, self.index, self.has_pending_change))])

    # ---- learner -------------------------------------------------------------------------

    def decide(self, change: Change) -> ApplyResult:
        """Apply the next change, which has been decided."""
        applied = ApplyResult()
        index = self.index + 1
        for entry in change.entries:
            current = self.items.get((entry.kind, entry.name))
            if supersedes(entry, None if current is None else current.entry):
                self._put(Item(entry, index), applied)
        self._advance(index, applied)
        return applied

    def learn(self, pages: list[Learn]) -> ApplyResult:
        """Apply all pages of decided state; pages that bring nothing new or start after `index` are ignored."""
        applied = ApplyResult()
        first = pages[0]
        if first.index <= self.index or first.after_index > self.index:
            return applied
        learned = {(i.entry.kind, i.entry.name): i for page in pages for i in page.items}
        if first.after_index == 0:
            for name in [name for name in self.items if name not in learned]:
                self._drop(name, applied)
        for name, item in learned.items():
            current = self.items.get(name)
            if current is None or current.index < item.index:
                self._put(item, applied)
        self.pruned_index = first.pruned_index
        self._advance(first.index, applied)
        return applied

    def _put(self, item: Item, applied: ApplyResult) -> None:
        name = (item.entry.kind, item.entry.name)
        current = self.items.get(name)
        is_later = current is None or item.entry.edition > current.entry.edition
        check(is_later, Invariant.EDITIONS_RISE, kind=name[0], name=name[1], edition=item.entry.edition)
        self._withdrawals += (item.entry.value is None) - (current is not None and current.entry.value is None)
        self.size_bytes += item_bytes(item.entry) - (0 if current is None else item_bytes(current.entry))
        self.items[name] = item
        applied.entries.append(item.entry)
        applied.write.append((item_row(item.entry), _pack(item)))

    def _drop(self, name: EntryKey, applied: ApplyResult) -> None:
        item = self.items.pop(name)
        self.size_bytes -= item_bytes(item.entry)
        self._withdrawals -= item.entry.value is None
        applied.forgotten.append(name)
        applied.write.append((item_row(item.entry), None))

    def _advance(self, index: int, applied: ApplyResult) -> None:
        check(index > self.index, Invariant.INDEX_RISES, index=index, standing=self.index)
        self.index = index
        self.accepted = self.accepted_change = None
        if self._withdrawals > MAX_WITHDRAWALS:
            indexes = sorted(item.index for item in self.items.values() if item.entry.value is None)
            self.pruned_index = max(self.pruned_index, indexes[-int(MAX_WITHDRAWALS * WITHDRAWALS_KEPT_FRACTION)])
        self._prune(applied)
        applied.write.append((INDEX_ROW, _pack((self.index, self.pruned_index))))

    def _prune(self, applied: ApplyResult) -> None:
        """Drop the oldest withdrawals; every replica drops the same ones, since all hold the same items."""
        if self.pruned_index == self._pruned_to:
            return
        self._pruned_to = self.pruned_index
        old = [n for n, i in self.items.items() if i.entry.value is None and i.index <= self.pruned_index]
        for name in old:
            self._drop(name, applied)

    def pages_after(self, index: int) -> list[Learn]:
        """Return the state that was decided after a change, in pages of a bounded size."""
        if index < self.pruned_index or index > self.index:
            index = 0  # withdrawals after that change may have been pruned, so that only a snapshot conveys them
        pages = [Learn(index, self.index, self.pruned_index, 0, [], False)]
        size = 0
        for item in self.items.values():
            if item.index <= index:
                continue
            size += len(item.entry.name) + len(item.entry.value or b"") + 32
            if size > MAX_PAGE_BYTES:
                pages.append(Learn(index, self.index, self.pruned_index, len(pages), [], False))
                size = 0
            pages[-1].items.append(item)
        pages[-1].is_last = True
        return pages
