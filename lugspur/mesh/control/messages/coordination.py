"""Messages by which control nodes agree on locks, numbers and cells, over separate connections.

The agreement is Multi-Paxos (Lamport, "Paxos Made Simple", 2001, section 3): a leader prepares once, and then has each
change accepted in one round. Each of its messages names the epoch of the membership, and counts in that epoch alone.
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
    """The reply to the greeting on a coordination connection."""

    ip: str
    incarnation: str
    clock: float  # the sender's monotonic clock


class CoordinationHeartbeat(msgspec.Struct, tag=31, array_like=True):
    """The heartbeat of a voter to all processes that have connected to it."""

    clock: float  # the sender's monotonic clock
    index: int  # the latest change that the sender knows to be decided
    is_available: bool  # whether the sender may become leader
    leading_number: int  # the number of the sender's proposal while it is the leader, else 0


class CoordinationPrepare(msgspec.Struct, tag=32, array_like=True):
    """Asks an acceptor to promise to accept no lower proposal from now on, and to report what it accepted."""

    epoch: int
    proposal: ProposalNumber


class CoordinationPromise(msgspec.Struct, tag=33, array_like=True):
    """An acceptor's reply to CoordinationPrepare."""

    epoch: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int  # the latest change that the acceptor knows to be decided
    promised: ProposalNumber
    accepted: ProposalNumber | None = None  # the highest proposal that the acceptor has accepted for the next index
    change: CoordinationChange | None = None  # the value of the proposal `accepted`


class CoordinationAccept(msgspec.Struct, tag=34, array_like=True):
    """Asks an acceptor to accept a value as change `index`, once the preceding change is decided."""

    epoch: int
    proposal: ProposalNumber
    index: int
    change: CoordinationChange


class CoordinationAccepted(msgspec.Struct, tag=35, array_like=True):
    """An acceptor's reply to CoordinationAccept; if granted, the acceptance has been synced to the acceptor's disk."""

    epoch: int
    proposal: ProposalNumber
    index: int
    is_granted: bool
    decided_index: int
    promised: ProposalNumber


class CoordinationConfirm(msgspec.Struct, tag=36, array_like=True):
    """Asks whether a higher proposal was promised: if a majority denies it, the leader's state is the latest."""

    epoch: int
    proposal: ProposalNumber
    round: int  # replies count for this round alone


class CoordinationConfirmed(msgspec.Struct, tag=37, array_like=True):
    """The reply to CoordinationConfirm."""

    epoch: int
    proposal: ProposalNumber
    round: int
    is_granted: bool
    promised: ProposalNumber


class FetchCoordination(msgspec.Struct, tag=38, array_like=True):
    """Asks for all changes after `after_index`; `is_following`: also for later changes as they are decided."""

    after_index: int
    is_following: bool


class UnfollowCoordination(msgspec.Struct, tag=39, array_like=True):
    """Ends the stream of changes that FetchCoordination with `is_following` has asked for."""


class CoordinationChanges(msgspec.Struct, tag=40, array_like=True):
    """Decided changes, the first with index `first_index`."""

    first_index: int
    changes: list[CoordinationChange]


class GroupHistory(msgspec.Struct, array_like=True, frozen=True):
    """A group of keys: its revision, and the puts that are kept for watches."""

    name: str
    revision: int
    pruned_revision: int  # puts up to this revision are pruned
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
    """A new voter asks another one of its epoch, or of an earlier epoch, for its state as an acceptor."""

    epoch: int


class AcceptorReport(msgspec.Struct, tag=43, array_like=True):
    """The reply to FetchAcceptor by a process that knows the epoch, and accepts nothing in an older one."""

    epoch: int
    is_past_voter: bool  # whether the sender had a vote in one of the epochs whose voters are asked
    was_complete: bool  # whether the sender was complete in one of these epochs
    genesis_epoch: int  # the epoch in which coordination began, 0 if the sender doesn't know one
    accepted: ProposalNumber | None
    change: CoordinationChange | None
    snapshot: CoordinationSnapshot


class CoordinationCall(msgspec.Struct, tag=44, array_like=True):
    """Asks the leader to execute a command."""

    number: int
    clock: float  # the leader's monotonic clock in its latest heartbeat: the leader executes no older call
    seconds_left: float
    command: Command


class CoordinationReply(msgspec.Struct, tag=45, array_like=True):
    """The reply to CoordinationCall."""

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
