"""Messages by which control nodes agree on the next change, read the latest state and bring each other up to date.

Prepare, Promise, Accept and Accepted are those of single-decree Paxos (Lamport, "Paxos Made Simple", 2001), held for
each index of the register. The read index is the one of Raft (Ongaro's dissertation, section 6.4) and etcd.
"""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.messages.records import Change, Entry, Item


class ProposalNumber(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The number of one proposal; `proposer` names a process and its incarnation, so that no number is used twice."""

    number: int
    proposer: str


NO_PROPOSAL = ProposalNumber(0, "")  # lower than any proposal's


class Prepare(msgspec.Struct, tag=6, array_like=True):
    """Asks an acceptor to accept nothing lower than `proposal` for change `index`, and what it has accepted for it."""

    index: int
    proposal: ProposalNumber


class Promise(msgspec.Struct, tag=7, array_like=True):
    """An acceptor's answer to Prepare."""

    index: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int  # of the latest change that the acceptor knows as decided
    promised: ProposalNumber  # the highest number that it has promised
    accepted: ProposalNumber | None = None  # the highest proposal that it has accepted for this index...
    change: Change | None = None  # ...and the value of that


class Accept(msgspec.Struct, tag=8, array_like=True):
    """Asks an acceptor to accept a value as change `index`."""

    index: int
    proposal: ProposalNumber
    change: Change


class Accepted(msgspec.Struct, tag=13, array_like=True):
    """An acceptor's answer to Accept; where it is granted, the acceptance has been synced to its disk."""

    index: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int
    promised: ProposalNumber


class ReadIndexQuery(msgspec.Struct, tag=14, array_like=True):
    """Asks a voter for the index of the latest change that it knows as decided."""

    number: int


class ReadIndexReply(msgspec.Struct, tag=15, array_like=True):
    """The answer to ReadIndexQuery."""

    number: int
    is_voter: bool  # whether the sender has a vote by the membership that it knows
    decided_index: int
    has_pending_change: bool  # whether the sender has accepted the next change, which may be decided already


class FetchDecided(msgspec.Struct, tag=16, array_like=True):
    """Asks for everything that was decided after change `after_index`."""

    after_index: int


class Learn(msgspec.Struct, tag=24, array_like=True):
    """A page of what was decided after change `after_index`, up to change `index`.

    The pages of one answer take effect together, with the last. They hold state and not history: each item as it is at
    `index`, however often it was changed. Where `after_index` is 0 they hold all items that there are, and the receiver
    forgets every other one.
    """

    after_index: int
    index: int
    pruned_index: int  # withdrawals up to this change are forgotten
    page: int  # from 0
    items: list[Item]
    is_last: bool


class ForwardChange(msgspec.Struct, tag=25, array_like=True):
    """Asks another control node to have these entries decided."""

    number: int
    seconds_left: float  # until the caller's time is up
    entries: list[Entry]


class ChangeResult(msgspec.Struct, tag=26, array_like=True):
    """The answer to ForwardChange: the change was confirmed, was refused, or its outcome is not known."""

    number: int
    is_confirmed: bool = False
    error_kind: str = ""  # the value of an `errors.Kind`; empty: it was not refused
    detail: str = ""
    may_be_decided: bool = False  # neither confirmed nor refused: whether it was proposed and may come into force
