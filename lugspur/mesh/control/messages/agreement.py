"""Messages by which control nodes agree on the next change, read the latest state and bring each other up to date.

Prepare, Promise, Accept and Accepted are those of single-decree Paxos (Lamport, "Paxos Made Simple", 2001), with one
instance for each index of the register. The read index is that of Raft (Ongaro's dissertation, section 6.4) and etcd.
"""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.messages.records import Change, Entry, Item


class ProposalNumber(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The number of a proposal; `proposer` names a process and its incarnation, so that no number is used twice."""

    number: int
    proposer: str


NO_PROPOSAL = ProposalNumber(0, "")  # lower than the number of any proposal


class Prepare(msgspec.Struct, tag=6, array_like=True):
    """Asks an acceptor to promise to accept no lower proposal for change `index`, and to report what it accepted."""

    index: int
    proposal: ProposalNumber


class Promise(msgspec.Struct, tag=7, array_like=True):
    """An acceptor's reply to Prepare."""

    index: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int  # the latest change that the acceptor knows to be decided
    promised: ProposalNumber  # the highest number that the acceptor has promised
    accepted: ProposalNumber | None = None  # the highest proposal that the acceptor has accepted for this index
    change: Change | None = None  # the value of the proposal `accepted`


class Accept(msgspec.Struct, tag=8, array_like=True):
    """Asks an acceptor to accept a value as change `index`."""

    index: int
    proposal: ProposalNumber
    change: Change


class Accepted(msgspec.Struct, tag=13, array_like=True):
    """An acceptor's reply to Accept; if granted, the acceptance has been synced to the acceptor's disk."""

    index: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int
    promised: ProposalNumber


class ReadIndexQuery(msgspec.Struct, tag=14, array_like=True):
    """Asks a voter for the index of the latest change that it knows to be decided."""

    number: int


class ReadIndexReply(msgspec.Struct, tag=15, array_like=True):
    """The reply to ReadIndexQuery."""

    number: int
    is_voter: bool  # whether the sender has a vote in the membership that it knows
    decided_index: int
    has_pending_change: bool  # whether the sender has accepted the next change, which may be decided already


class FetchDecided(msgspec.Struct, tag=16, array_like=True):
    """Asks for the state that was decided after change `after_index`."""

    after_index: int


class Learn(msgspec.Struct, tag=24, array_like=True):
    """A page of the state that was decided after change `after_index`, up to change `index`.

    The pages of one reply take effect together, once the last one has arrived. They hold state and not history: each
    item as it is at `index`, however often it was changed. If `after_index` is 0, they hold all items that exist, and
    the receiver drops every other item.
    """

    after_index: int
    index: int
    pruned_index: int  # withdrawals up to this change are pruned
    page: int  # from 0
    items: list[Item]
    is_last: bool


class ForwardChange(msgspec.Struct, tag=25, array_like=True):
    """Asks another control node to propose these entries."""

    number: int
    seconds_left: float  # time until the caller's deadline
    entries: list[Entry]


class ChangeResult(msgspec.Struct, tag=26, array_like=True):
    """The reply to ForwardChange: the change was confirmed, was rejected, or has an unknown outcome."""

    number: int
    is_confirmed: bool = False
    error_kind: str = ""  # the value of an `errors.ErrorKind`; empty: the change was not rejected
    detail: str = ""
    may_be_decided: bool = False  # if neither confirmed nor rejected: whether it was proposed and may come into force
