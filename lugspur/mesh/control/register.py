"""A voter's part of the configuration's register, without I/O: decided items, and the vote on the next change.

The configuration is a chain of changes, each decided by single-decree agreement (Paxos) among the voters that the
change before it left. A voter keeps state and no history: the items as they stand after change `index`, and what it
has promised and accepted for change `index + 1`. A change is decided once a majority of the voters has accepted it
under one ballot; whoever proposes the same index later finds it there, and can only propose it again.
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

MAX_WITHDRAWALS = 20_000  # withdrawals that are remembered: an older change of such a name has no effect
WITHDRAWALS_KEPT_FRACTION = 0.9  # of these, once they are too many: the oldest are forgotten

MAX_KEY_BYTES = 511  # bytes of a row's key: lmdb takes no more
ITEM_PREFIX = b"i"
INDEX_ROW, VOTE_ROW = b"mindex", b"mvote"

_pack = msgspec.msgpack.Encoder().encode
_item_decoder = msgspec.msgpack.Decoder(Item)
_index_decoder = msgspec.msgpack.Decoder(tuple[int, int])


class AcceptorState(msgspec.Struct, array_like=True):
    """What a voter has promised and accepted, as it lies on disk; the latter for change `index`."""

    index: int
    promised: ProposalNumber
    accepted: ProposalNumber | None
    change: Change | None


_vote_decoder = msgspec.msgpack.Decoder(AcceptorState)


def item_row(entry: Entry) -> bytes:
    """The key under which an item lies on disk."""
    return ITEM_PREFIX + entry.kind.encode() + b"\0" + entry.name.encode()


@dataclass(slots=True)
class Applied:
    """What a decided change, or several, did to the items."""

    entries: list[Entry] = field(default_factory=list)  # that took their places
    forgotten: list[EntryKey] = field(default_factory=list)  # that are gone without a word
    write: Rows = field(default_factory=list)


class Register:
    """Items by name as they stand after change `index`, and the vote on the next one."""

    def __init__(self) -> None:
        self.items: dict[EntryKey, Item] = {}
        self.size_bytes = 0  # of all items, as `capacity` counts them
        self.index = 0
        self.pruned_index = 0  # withdrawals up to this change are forgotten
        self.promised = NO_PROPOSAL
        self.accepted: ProposalNumber | None = None
        self.accepted_change: Change | None = None
        self._withdrawals = 0
        self._pruned_to = 0  # as far as `pruned` has been carried out

    # ---- start ---------------------------------------------------------------------------

    def restore(self, rows: Iterable[tuple[bytes, bytes]]) -> None:
        """Take up what is on disk; rows of others are passed over."""
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

    # ---- the vote ------------------------------------------------------------------------

    @property
    def has_pending_change(self) -> bool:
        """Whether the next change has been accepted here: it may be decided already."""
        return self.accepted_change is not None

    def prepare(self, peer: Peer, message: Prepare, voter: bool) -> Effects:
        """A proposer wants to hear what was accepted, and that no lower ballot counts any more."""
        granted = voter and message.index == self.index + 1 and message.proposal >= self.promised
        if not granted:
            refusal = Promise(message.index, message.proposal, False, self.index, self.promised)
            return Effects(send=[(peer, refusal)])
        self.promised = message.proposal
        promise = Promise(
            message.index, message.proposal, True, self.index, self.promised, self.accepted, self.accepted_change
        )
        return Effects(write=[self._vote_row()], after_sync=[(peer, promise)])

    def accept(self, peer: Peer, message: Accept, voter: bool) -> Effects:
        """A proposer wants this to be the next change."""
        granted = voter and message.index == self.index + 1 and message.proposal >= self.promised
        answer = Accepted(message.index, message.proposal, granted, self.index, self.promised)
        if not granted:
            return Effects(send=[(peer, answer)])
        self.promised = self.accepted = message.proposal
        self.accepted_change = message.change
        return Effects(write=[self._vote_row()], after_sync=[(peer, answer)])

    def _vote_row(self) -> tuple[bytes, bytes]:
        return VOTE_ROW, _pack(AcceptorState(self.index + 1, self.promised, self.accepted, self.accepted_change))

    def read_index(self, peer: Peer, message: ReadIndexQuery, voter: bool) -> Effects:
        """A reader wants to know which change is the latest."""
        return Effects(send=[(peer, ReadIndexReply(message.number, voter, self.index, self.has_pending_change))])

    # ---- what is decided -----------------------------------------------------------------

    def decide(self, change: Change) -> Applied:
        """This is the next change."""
        applied = Applied()
        index = self.index + 1
        for entry in change.entries:
            standing = self.items.get((entry.kind, entry.name))
            if supersedes(entry, None if standing is None else standing.entry):
                self._put(Item(entry, index), applied)
        self._advance(index, applied)
        return applied

    def learn(self, pages: list[Learn]) -> Applied:
        """All pages of what was decided after a change that is known here."""
        applied = Applied()
        first = pages[0]
        if first.index <= self.index or first.after_index > self.index:
            return applied
        found = {(i.entry.kind, i.entry.name): i for page in pages for i in page.items}
        if first.after_index == 0:
            for name in [name for name in self.items if name not in found]:
                self._forget(name, applied)
        for name, item in found.items():
            standing = self.items.get(name)
            if standing is None or standing.index < item.index:
                self._put(item, applied)
        self.pruned_index = first.pruned_index
        self._advance(first.index, applied)
        return applied

    def _put(self, item: Item, applied: Applied) -> None:
        name = (item.entry.kind, item.entry.name)
        standing = self.items.get(name)
        rises = standing is None or item.entry.edition > standing.entry.edition
        check(rises, Invariant.EDITIONS_RISE, kind=name[0], name=name[1], edition=item.entry.edition)
        self._withdrawals += (item.entry.value is None) - (standing is not None and standing.entry.value is None)
        self.size_bytes += item_bytes(item.entry) - (0 if standing is None else item_bytes(standing.entry))
        self.items[name] = item
        applied.entries.append(item.entry)
        applied.write.append((item_row(item.entry), _pack(item)))

    def _forget(self, name: EntryKey, applied: Applied) -> None:
        item = self.items.pop(name)
        self.size_bytes -= item_bytes(item.entry)
        self._withdrawals -= item.entry.value is None
        applied.forgotten.append(name)
        applied.write.append((item_row(item.entry), None))

    def _advance(self, index: int, applied: Applied) -> None:
        check(index > self.index, Invariant.INDEX_RISES, index=index, standing=self.index)
        self.index = index
        self.accepted = self.accepted_change = None
        if self._withdrawals > MAX_WITHDRAWALS:
            indexes = sorted(item.index for item in self.items.values() if item.entry.value is None)
            self.pruned_index = max(self.pruned_index, indexes[-int(MAX_WITHDRAWALS * WITHDRAWALS_KEPT_FRACTION)])
        self._prune(applied)
        applied.write.append((INDEX_ROW, _pack((self.index, self.pruned_index))))

    def _prune(self, applied: Applied) -> None:
        """Forget the oldest withdrawals: the same ones on every replica, since all hold the same items."""
        if self.pruned_index == self._pruned_to:
            return
        self._pruned_to = self.pruned_index
        old = [n for n, i in self.items.items() if i.entry.value is None and i.index <= self.pruned_index]
        for name in old:
            self._forget(name, applied)

    def pages_after(self, since: int) -> list[Learn]:
        """What was decided after change `since`, in frames of a bounded size."""
        if since < self.pruned_index or since > self.index:
            since = 0  # what was withdrawn since then may be forgotten: only the whole state tells
        pages = [Learn(since, self.index, self.pruned_index, 0, [], False)]
        size = 0
        for item in self.items.values():
            if item.index <= since:
                continue
            size += len(item.entry.name) + len(item.entry.value or b"") + 32
            if size > MAX_PAGE_BYTES:
                pages.append(Learn(since, self.index, self.pruned_index, len(pages), [], False))
                size = 0
            pages[-1].items.append(item)
        pages[-1].is_last = True
        return pages
