"""What coordination decides and answers: records of locks, numbers and cells, commands of applications, results.

Records are what a decided change puts into force; they hold state and not commands, so that every replica applies them
alike whatever its clock says.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

# ---- records ---------------------------------------------------------------------------------


class LockRecord(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """A lock was granted, or its holder was given more time."""

    name: str
    holder: str
    fence: int  # the fencing token of this holder; rises with each grant of any lock
    hold_ms: int  # for which it is held, from when a replica learns of this record


class LockReleased(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """A lock is free."""

    name: str


class NumberRecord(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """The latest value that was given under a name."""

    name: str
    value: int


class CellRecord(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """A key's value, and its revision in the count of its group."""

    name: str
    value: str
    revision: int


Record: TypeAlias = LockRecord | LockReleased | NumberRecord | CellRecord


class CoordinationChange(msgspec.Struct, array_like=True, frozen=True):
    """The value of one decision: records that come into force together."""

    id: str  # of the batch, unique over all processes and their incarnations
    records: list[Record]


# ---- commands --------------------------------------------------------------------------------


class OpenLock(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Acquire a lock, or extend it where the holder has it already."""

    name: str
    holder: str
    hold_ms: int


class RenewLock(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Extend a lock that is held under a fencing token."""

    name: str
    holder: str
    fence: int
    hold_ms: int


class CloseLock(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Release a lock that is held under a fencing token."""

    name: str
    holder: str
    fence: int


class TakeNumber(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Take the next number under a name."""

    name: str


class PutCell(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """Put a value to a key."""

    name: str
    value: str
    expected_revision: int | None = None  # that the key must have, 0: none; None: whatever it has


class ReadCell(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """Read a key."""

    name: str


class ReadGroup(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """Read the present revision of a group of keys."""

    name: str


Command: TypeAlias = OpenLock | RenewLock | CloseLock | TakeNumber | PutCell | ReadCell | ReadGroup

# ---- results ---------------------------------------------------------------------------------


class LockGranted(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """The caller holds the lock under this fencing token."""

    fence: int


class LockDenied(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Another holder may hold the lock."""


class LockRenewed(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """The caller still holds the lock."""


class LockLost(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """The caller does not hold the lock under that fencing token."""


class LockClosed(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """The caller does not hold the lock any more."""


class NumberTaken(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """A number above all that were given before."""

    value: int


class CellWritten(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """The revision that the put gave the key, now or when it was first made."""

    revision: int


class RevisionMismatch(msgspec.Struct, tag=8, array_like=True, frozen=True):
    """The key has this revision and not the expected one."""

    revision: int


class CellFound(msgspec.Struct, tag=9, array_like=True, frozen=True):
    """A key's value and revision."""

    value: str
    revision: int


class CellMissing(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """The key was never put."""


class GroupRevision(msgspec.Struct, tag=11, array_like=True, frozen=True):
    """The present revision of a group, 0 where nothing was put."""

    revision: int


class CommandFailed(msgspec.Struct, tag=12, array_like=True, frozen=True):
    """The command was not carried out, or (`unclear`) may have been."""

    error_kind: str  # the value of an `errors.ErrorKind`
    detail: str = ""
    may_retry: bool = False  # nothing was done, and another node may be the leader by now


Result: TypeAlias = (
    LockGranted
    | LockDenied
    | LockRenewed
    | LockLost
    | LockClosed
    | NumberTaken
    | CellWritten
    | RevisionMismatch
    | CellFound
    | CellMissing
    | GroupRevision
    | CommandFailed
)
