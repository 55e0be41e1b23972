"""The data of the coordination service: records of locks, numbers and cells, commands of applications, and results.

A decided change consists of records. They hold state and not commands, so that every replica applies them in the same
way, independently of its clock.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

# ---- records ---------------------------------------------------------------------------------


class LockRecord(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """A lock was granted, or its lease was extended."""

    name: str
    holder: str
    fence: int  # the fencing token of this lock holder; it increases with each grant of any lock
    hold_ms: int  # the duration of the lease, counted from the time at which a replica learns this record


class LockReleased(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """A lock was released."""

    name: str


class NumberRecord(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """The latest number that was issued under a name."""

    name: str
    value: int


class CellRecord(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """A key's value, and its revision, which is counted per group of keys."""

    name: str
    value: str
    revision: int


Record: TypeAlias = LockRecord | LockReleased | NumberRecord | CellRecord


class CoordinationChange(msgspec.Struct, array_like=True, frozen=True):
    """The value of one decision: records that come into force together."""

    id: str  # the id of the batch, unique across all processes and their incarnations
    records: list[Record]


# ---- commands --------------------------------------------------------------------------------


class AcquireLock(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Acquire a lock, or extend its lease if the holder has it already."""

    name: str
    holder: str
    hold_ms: int


class RenewLock(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Extend the lease of a lock that is held under a fencing token."""

    name: str
    holder: str
    fence: int
    hold_ms: int


class ReleaseLock(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Release a lock that is held under a fencing token."""

    name: str
    holder: str
    fence: int


class IssueNumber(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Issue the next number under a name."""

    name: str


class PutCell(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """Set the value of a key."""

    name: str
    value: str
    expected_revision: int | None = None  # the revision that the key must have; 0: the key must not exist; None: any


class ReadCell(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """Read a key."""

    name: str


class ReadGroup(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """Read the current revision of a group of keys."""

    name: str


Command: TypeAlias = AcquireLock | RenewLock | ReleaseLock | IssueNumber | PutCell | ReadCell | ReadGroup

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


class LockReleaseConfirmed(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """The caller no longer holds the lock."""


class NumberIssued(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """A number that is higher than all numbers issued before."""

    value: int


class CellWritten(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """The revision that the put gave the key, now or when the put was first made."""

    revision: int


class RevisionMismatch(msgspec.Struct, tag=8, array_like=True, frozen=True):
    """The key has this revision instead of the expected one."""

    revision: int


class CellFound(msgspec.Struct, tag=9, array_like=True, frozen=True):
    """A key's value and revision."""

    value: str
    revision: int


class CellMissing(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """The key was never put."""


class GroupRevision(msgspec.Struct, tag=11, array_like=True, frozen=True):
    """The current revision of a group, 0 if nothing was put."""

    revision: int


class CommandFailed(msgspec.Struct, tag=12, array_like=True, frozen=True):
    """The command was not executed, or may have been executed (`ErrorKind.UNCLEAR`)."""

    error_kind: str  # the value of an `errors.ErrorKind`
    detail: str = ""
    may_retry: bool = False  # the command was not executed, and another node may be the leader by now


Result: TypeAlias = (
    LockGranted
    | LockDenied
    | LockRenewed
    | LockLost
    | LockReleaseConfirmed
    | NumberIssued
    | CellWritten
    | RevisionMismatch
    | CellFound
    | CellMissing
    | GroupRevision
    | CommandFailed
)
