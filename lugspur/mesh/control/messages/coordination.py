"""Messages by which control nodes agree on locks, numbers and cells, over connections of their own.

The agreement is Multi-Paxos (Lamport, "Paxos Made Simple", 2001, section 3): a leader prepares once, and then has each
change accepted in one round. All messages of it name the epoch of the voters' membership, and count in that alone.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from lugspur.mesh.control.messages.agreement import ProposalNumber
from lugspur.mesh.control.messages.coordination_records import (
    CellRecord,
    Command,
    CoordinationChange,
    LockRecord,
    NumberRecord,
    Result,
)


class CoordinationHello(msgspec.Struct, tag=30, array_like=True):
    """The answer to the greeting on a connection for coordination."""

    ip: str
    incarnation: str
    clock: float  # the sender's steady clock


class CoordinationHeartbeat(msgspec.Struct, tag=31, array_like=True):
    """What a voter says to all who have dialled it."""

    clock: float
    index: int  # of the latest change that it knows as decided
    is_available: bool  # whether it may lead
    leading_number: int  # the number of its proposal while it leads, else 0


class CoordinationPrepare(msgspec.Struct, tag=32, array_like=True):
    """Asks an acceptor to accept nothing lower than `proposal` from now on, and what it has accepted."""

    epoch: int
    proposal: ProposalNumber


class CoordinationPromise(msgspec.Struct, tag=33, array_like=True):
    """An acceptor's answer to CoordinationPrepare."""

    epoch: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int  # of the latest change that the acceptor knows as decided
    promised: ProposalNumber
    accepted: ProposalNumber | None = None  # the highest proposal that it has accepted for the next index...
    change: CoordinationChange | None = None  # ...and the value of that


class CoordinationAccept(msgspec.Struct, tag=34, array_like=True):
    """Asks an acceptor to accept a value as change `index`, once that before it is decided."""

    epoch: int
    proposal: ProposalNumber
    index: int
    change: CoordinationChange


class CoordinationAccepted(msgspec.Struct, tag=35, array_like=True):
    """An acceptor's answer to CoordinationAccept; where it is granted, the acceptance has been synced to its disk."""

    epoch: int
    proposal: ProposalNumber
    index: int
    is_granted: bool
    decided_index: int
    promised: ProposalNumber


class CoordinationConfirm(msgspec.Struct, tag=36, array_like=True):
    """Asks whether anything higher was promised: if not by a majority, the leader's state is the latest."""

    epoch: int
    proposal: ProposalNumber
    round: int  # answers count for this round alone


class CoordinationConfirmed(msgspec.Struct, tag=37, array_like=True):
    """The answer to CoordinationConfirm."""

    epoch: int
    proposal: ProposalNumber
    round: int
    is_granted: bool
    promised: ProposalNumber


class FetchCoordination(msgspec.Struct, tag=38, array_like=True):
    """Asks for all changes after `after_index`; `is_following`: and for all later ones as they are decided."""

    after_index: int
    is_following: bool


class UnfollowCoordination(msgspec.Struct, tag=39, array_like=True):
    """Asks for no further changes."""


class CoordinationChanges(msgspec.Struct, tag=40, array_like=True):
    """Decided changes, the first with index `first_index`."""

    first_index: int
    changes: list[CoordinationChange]


class GroupHistory(msgspec.Struct, array_like=True, frozen=True):
    """A group of keys: its revision, and the puts that watches are still told of."""

    name: str
    revision: int
    pruned_revision: int  # puts up to this revision are forgotten
    puts: list[CellRecord]


class CoordinationSnapshot(msgspec.Struct, tag=41, array_like=True):
    """The whole state after change `index`."""

    index: int
    last_fence: int
    locks: list[LockRecord]
    numbers: list[NumberRecord]
    cells: list[CellRecord]
    groups: list[GroupHistory]


class FetchAcceptor(msgspec.Struct, tag=42, array_like=True):
    """A new voter asks another one of its epoch, or of the epoch before, for its state as an acceptor."""

    epoch: int


class AcceptorReport(msgspec.Struct, tag=43, array_like=True):
    """The answer to FetchAcceptor by a process that knows the epoch, and accepts nothing in an older one."""

    epoch: int
    is_previous_voter: bool  # whether it had a vote in the epoch before...
    was_complete: bool  # ...and all that a voter of that epoch must know
    genesis_epoch: int  # the epoch in which coordination began, 0 where it knows of none
    accepted: ProposalNumber | None
    change: CoordinationChange | None
    snapshot: CoordinationSnapshot


class CoordinationCall(msgspec.Struct, tag=44, array_like=True):
    """Asks the leader to carry out a command."""

    number: int
    clock: float  # the leader's steady clock as its latest heartbeat showed it: no older call is carried out
    seconds_left: float
    command: Command


class CoordinationReply(msgspec.Struct, tag=45, array_like=True):
    """The answer to CoordinationCall."""

    number: int
    result: Result


CoordinationMessage: TypeAlias = (
    CoordinationHello
    | CoordinationHeartbeat
    | CoordinationPrepare
    | CoordinationPromise
    | CoordinationAccept
    | CoordinationAccepted
    | CoordinationConfirm
    | CoordinationConfirmed
    | FetchCoordination
    | UnfollowCoordination
    | CoordinationChanges
    | CoordinationSnapshot
    | FetchAcceptor
    | AcceptorReport
    | CoordinationCall
    | CoordinationReply
)
