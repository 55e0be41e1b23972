"""Evaluates commands against the latest state, and collects the records that they produce in one change."""

from __future__ import annotations

from math import ceil

from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages.coordination_records import (
    AcquireLock,
    CellFound,
    CellMissing,
    CellRecord,
    CellWritten,
    Command,
    CommandFailed,
    CoordinationChange,
    GroupRevision,
    IssueNumber,
    LockDenied,
    LockGranted,
    LockLost,
    LockRecord,
    LockReleaseConfirmed,
    LockReleased,
    LockRenewed,
    NumberIssued,
    NumberRecord,
    PutCell,
    ReadCell,
    ReadGroup,
    Record,
    ReleaseLock,
    RenewLock,
    Result,
    RevisionMismatch,
)
from lugspur.mesh.coordination.state import CoordinationState, group_of, record_bytes

MAX_LOCKS = 10_000  # locks that are kept, including expired ones
MAX_NUMBERS = 10_000  # names of numbers
MAX_CELLS = 20_000  # keys
MAX_PUTS = 50_000  # puts that are kept for watches


class CommandBatch:
    """Commands that are decided together; each sees the effects of those before it."""

    def __init__(self, state: CoordinationState, now: float) -> None:
        """`now` is the time by the steady clock of the replica that the state belongs to."""
        self._state, self._now = state, now
        self.records: list[Record] = []
        self._locks: dict[str, LockRecord | None] = {}  # locks as this batch leaves them; None if free
        self._numbers: dict[str, int] = {}
        self._cells: dict[str, CellRecord] = {}
        self._put_revisions: dict[tuple[str, str], int] = {}  # by key and value
        self._revisions: dict[str, int] = {}  # by group
        self._last_fence = state.last_fence
        self._added_bytes = 0

    def change(self, change_id: str) -> CoordinationChange:
        """Return the records so far as a change that can be proposed."""
        return CoordinationChange(change_id, self.records)

    def evaluate(self, command: Command) -> Result:
        """Return the result that a command has if this batch is decided, and add its records, if any."""
        if isinstance(command, AcquireLock):
            return self._open(command)
        if isinstance(command, RenewLock):
            return self._renew(command)
        if isinstance(command, ReleaseLock):
            return self._close(command)
        if isinstance(command, IssueNumber):
            return self._take_number(command)
        if isinstance(command, PutCell):
            return self._put(command)
        if isinstance(command, ReadCell):
            return self._read(command)
        return self._read_group(command)

    # ---- locks ---------------------------------------------------------------------------

    def _holder(self, name: str) -> LockRecord | None:
        """Return the record of a lock that its holder may still rely on, or None if the lock is free."""
        if name in self._locks:
            return self._locks[name]
        lock = self._state.locks.get(name)
        return lock.record if lock is not None and lock.is_held(self._now) else None

    def _open(self, command: AcquireLock) -> Result:
        lock = self._holder(command.name)
        if lock is not None and lock.holder != command.holder:
            return LockDenied()
        if lock is not None:
            self._extend(lock, command.hold_ms)
            return LockGranted(lock.fence)
        if not self._has_room_for_lock(command.name):
            return _too_many("locks")
        self._last_fence += 1
        self._set_lock(LockRecord(command.name, command.holder, self._last_fence, command.hold_ms))
        return LockGranted(self._last_fence)

    def _renew(self, command: RenewLock) -> Result:
        lock = self._holder(command.name)
        if lock is None or (lock.holder, lock.fence) != (command.holder, command.fence):
            return LockLost()
        self._extend(lock, command.hold_ms)
        return LockRenewed()

    def _close(self, command: ReleaseLock) -> Result:
        lock = self._holder(command.name)
        if lock is not None and (lock.holder, lock.fence) == (command.holder, command.fence):
            self._locks[command.name] = None
            self.records.append(LockReleased(command.name))
        return LockReleaseConfirmed()

    def _extend(self, lock: LockRecord, hold_ms: int) -> None:
        """Extend a lock, and never shorten it: the holder's calls may arrive out of order."""
        remaining_ms = lock.hold_ms
        if lock.name not in self._locks:
            remaining_ms = ceil(1000.0 * (self._state.locks[lock.name].expires_at - self._now))
        self._set_lock(LockRecord(lock.name, lock.holder, lock.fence, max(hold_ms, remaining_ms)))

    def _set_lock(self, record: LockRecord) -> None:
        self._locks[record.name] = record
        self.records.append(record)

    def _has_room_for_lock(self, name: str) -> bool:
        """Whether one more lock may be kept; if there are too many locks, expired ones are released first."""
        locks = self._state.locks
        if name in locks or len(locks) + len(self._locks) < MAX_LOCKS:
            return True
        expired = [n for n, lock in locks.items() if n not in self._locks and not lock.is_held(self._now)]
        for expired_name in expired:
            self._locks[expired_name] = None
            self.records.append(LockReleased(expired_name))
        return bool(expired)

    # ---- numbers -------------------------------------------------------------------------

    def _take_number(self, command: IssueNumber) -> Result:
        latest = self._numbers.get(command.name, self._state.numbers.get(command.name, 0))
        if latest == 0 and len(self._state.numbers) + len(self._numbers) >= MAX_NUMBERS:
            return _too_many("numbers")
        self._numbers[command.name] = latest + 1
        self.records.append(NumberRecord(command.name, latest + 1))
        return NumberIssued(latest + 1)

    # ---- keys ----------------------------------------------------------------------------

    def _cell(self, name: str) -> CellRecord | None:
        return self._cells.get(name) or self._state.cells.get(name)

    def _put(self, command: PutCell) -> Result:
        known_revision = self._put_revisions.get((command.name, command.value))
        if known_revision is None:
            known_revision = self._state.revision_of_value(command.name, command.value)
        if known_revision is not None:
            return CellWritten(known_revision)
        cell = self._cell(command.name)
        revision = 0 if cell is None else cell.revision
        if command.expected_revision is not None and command.expected_revision != revision:
            return RevisionMismatch(revision)
        if not self._has_room_for_put(command, cell is None):
            return _too_many("keys, or puts of late")
        group = group_of(command.name)
        next_revision = self._group_revision(group) + 1
        record = CellRecord(command.name, command.value, next_revision)
        self._revisions[group] = next_revision
        self._cells[command.name] = record
        self._put_revisions[command.name, command.value] = next_revision
        self._added_bytes += 2 * record_bytes(record)
        self.records.append(record)
        return CellWritten(next_revision)

    def _has_room_for_put(self, command: PutCell, is_new: bool) -> bool:
        state = self._state
        if is_new and len(state.cells) + len(self._cells) >= MAX_CELLS:
            return False
        if state.put_count + len(self._cells) >= MAX_PUTS:
            return False
        size = 2 * record_bytes(CellRecord(command.name, command.value, 0))
        return state.size_bytes + self._added_bytes + size <= state.max_bytes

    def _read(self, command: ReadCell) -> Result:
        cell = self._cell(command.name)
        return CellMissing() if cell is None else CellFound(cell.value, cell.revision)

    def _group_revision(self, group: str) -> int:
        return self._revisions.get(group, self._state.group_revision(group))

    def _read_group(self, command: ReadGroup) -> Result:
        return GroupRevision(self._group_revision(command.name))


def _too_many(items: str) -> CommandFailed:
    return CommandFailed(ErrorKind.TOO_MANY.value, f"there are too many {items}")
