"""The state of coordination at one replica: locks, numbers, keys, and the puts that watches return.

Decided changes contain records and not commands, so that every replica has the same state after the same change. Only
times differ: each replica measures the time of a lock and the age of a put from when it learned of them, by its own
steady clock. A replica never learns of a grant before it was decided, and a grant is never decided before its holder
requested it. Therefore no replica considers a lock free before its holder has stopped relying on it. A restarted
replica learns everything anew, and lets each lock last its full time again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.effects import Rows
from lugspur.mesh.control.freshness import MAX_CLOCK_DRIFT
from lugspur.mesh.control.messages.coordination import CoordinationSnapshot, GroupHistory
from lugspur.mesh.control.messages.coordination_records import (
    CellRecord,
    CoordinationChange,
    LockRecord,
    LockReleased,
    NumberRecord,
    Record,
)

HISTORY_FACTOR = 2.0  # puts are kept for this many times `history_s`, as replicas learn of a put at different times
RECENT_CHANGES = 512  # changes kept in memory for replicas that lack a few; a replica that lacks more gets a snapshot
MAX_STATE_BYTES = 8 << 20  # maximum size of cells and puts, as the state is sent to new voters in one message
GROUP_SEPARATOR = "."
ROW_PREFIX = b"k"  # prefix of all rows of coordination on disk
LOCK_PREFIX, NUMBER_PREFIX, CELL_PREFIX, PUT_PREFIX, GROUP_PREFIX = b"kl", b"kn", b"kc", b"kp", b"kg"
META_ROW = b"kmeta"
REVISION_BYTES = 8  # size of a revision in the key of a put's row

_pack = msgspec.msgpack.Encoder().encode
_lock_decoder = msgspec.msgpack.Decoder(LockRecord)
_number_decoder = msgspec.msgpack.Decoder(NumberRecord)
_cell_decoder = msgspec.msgpack.Decoder(CellRecord)


class StoredGroup(msgspec.Struct, array_like=True, frozen=True):
    """The row on disk of a group."""

    revision: int
    pruned_revision: int


class StoredMeta(msgspec.Struct, array_like=True, frozen=True):
    """The row on disk of what concerns the whole state."""

    index: int
    last_fence: int


_group_decoder = msgspec.msgpack.Decoder(StoredGroup)
_meta_decoder = msgspec.msgpack.Decoder(StoredMeta)


def group_of(key: str) -> str:
    """Return the group of a key: the key's name up to and including the first separator."""
    return key[: key.index(GROUP_SEPARATOR) + 1]


@dataclass(slots=True)
class Lock:
    """A lock that was granted; it may have expired since."""

    record: LockRecord
    expires_at: float  # by this replica's steady clock, in seconds

    def is_held(self, now: float) -> bool:
        """Whether the holder may still rely on the lock."""
        return now < self.expires_at


@dataclass(slots=True)
class Put:
    """A put that is kept for watches."""

    record: CellRecord
    learned_at: float


@dataclass(slots=True)
class Group:
    """The keys that share one sequence of revisions."""

    revision: int = 0
    pruned_revision: int = 0  # puts up to this revision have been removed
    puts: deque[Put] = field(default_factory=deque)  # in the order of their revisions


class CoordinationState:
    """The result of all decided changes up to change `index`."""

    def __init__(self, history_seconds: float, max_bytes: int = MAX_STATE_BYTES) -> None:
        """`history_seconds`: for how long a watch may resume from a revision that it was given.

        `max_bytes`: the maximum size of cells and kept puts; a put that would exceed it is rejected.
        """
        self.max_bytes = max_bytes
        self._retention_seconds = HISTORY_FACTOR * history_seconds
        self._clear()

    def _clear(self) -> None:
        self.index = 0
        self.last_fence = 0
        self.locks: dict[str, Lock] = {}
        self.numbers: dict[str, int] = {}
        self.cells: dict[str, CellRecord] = {}
        self.groups: dict[str, Group] = {}
        self.size_bytes = 0  # the size of cells and kept puts
        self.put_count = 0  # the number of kept puts of all groups
        self._revisions: dict[tuple[str, str], int] = {}  # the latest revision of each kept put, by key and value
        self._recent: deque[CoordinationChange] = deque(maxlen=RECENT_CHANGES)

    # ---- reading -------------------------------------------------------------------------

    def group_revision(self, name: str) -> int:
        """Return the current revision of a group, or 0 if nothing was put to it."""
        group = self.groups.get(name)
        return 0 if group is None else group.revision

    def revision_of_value(self, key: str, value: str) -> int | None:
        """Return the revision of the put of this value to this key, or None if no such put is kept."""
        cell = self.cells.get(key)
        if cell is not None and cell.value == value:
            return cell.revision
        return self._revisions.get((key, value))

    def puts_after(self, name: str, revision: int, limit: int) -> list[CellRecord] | None:
        """Return the first puts of a group above a revision, or None if some of them have been removed."""
        group = self.groups.get(name)
        if group is None:
            return []
        if revision < group.pruned_revision:
            return None
        records: list[CellRecord] = []
        for put in reversed(group.puts):
            if put.record.revision <= revision:
                break
            records.append(put.record)
        records.reverse()
        return records[:limit]

    def changes_after(self, index: int) -> list[CoordinationChange] | None:
        """Return the changes after an index, or None if some of them are no longer kept."""
        missing = self.index - index
        if missing < 0 or missing > len(self._recent):
            return None
        return list(self._recent)[len(self._recent) - missing :]

    # ---- decided changes -----------------------------------------------------------------

    def apply(self, now: float, change: CoordinationChange) -> Rows:
        """Apply the next change and return the rows to write."""
        rows: Rows = []
        self.index += 1
        self._recent.append(change)
        for record in change.records:
            self._apply_record(now, record, rows)
        rows.append((META_ROW, _pack(StoredMeta(self.index, self.last_fence))))
        return rows

    def _apply_record(self, now: float, record: Record, rows: Rows) -> None:
        if isinstance(record, LockRecord):
            self._apply_lock(now, record)
            rows.append((LOCK_PREFIX + record.name.encode(), _pack(record)))
        elif isinstance(record, LockReleased):
            self.locks.pop(record.name, None)
            rows.append((LOCK_PREFIX + record.name.encode(), None))
        elif isinstance(record, NumberRecord):
            rises = record.value > self.numbers.get(record.name, 0)
            check(rises, Invariant.NUMBERS_RISE, name=record.name, value=record.value)
            self.numbers[record.name] = record.value
            rows.append((NUMBER_PREFIX + record.name.encode(), _pack(record)))
        else:
            self._apply_put(now, record, rows)

    def _apply_lock(self, now: float, record: LockRecord) -> None:
        current = self.locks.get(record.name)
        is_same_grant = current is not None and current.record.fence == record.fence
        rises = is_same_grant or record.fence > self.last_fence
        check(rises, Invariant.FENCES_RISE, name=record.name, fence=record.fence, last=self.last_fence)
        self.last_fence = max(self.last_fence, record.fence)
        expires_at = now + _hold_seconds(record)
        if current is not None and is_same_grant:
            expires_at = max(expires_at, current.expires_at)
        self.locks[record.name] = Lock(record, expires_at)

    def _apply_put(self, now: float, record: CellRecord, rows: Rows) -> None:
        name = group_of(record.name)
        group = self.groups.setdefault(name, Group())
        rises = record.revision > group.revision
        check(rises, Invariant.REVISIONS_RISE, group=name, revision=record.revision, standing=group.revision)
        group.revision = record.revision
        self._set_cell(record)
        self._keep_put(group, Put(record, now))
        rows.append((CELL_PREFIX + record.name.encode(), _pack(record)))
        rows.append((_put_key(name, record.revision), _pack(record)))
        rows.append(_group_row(name, group))

    def _set_cell(self, record: CellRecord) -> None:
        current = self.cells.get(record.name)
        self.size_bytes += record_bytes(record) - (0 if current is None else record_bytes(current))
        self.cells[record.name] = record

    def _keep_put(self, group: Group, put: Put) -> None:
        group.puts.append(put)
        self.put_count += 1
        self.size_bytes += record_bytes(put.record)
        self._revisions[put.record.name, put.record.value] = put.record.revision

    def prune(self, now: float) -> Rows:
        """Remove puts that no watch may request any more, and return the rows to write."""
        rows: Rows = []
        for name, group in self.groups.items():
            before = group.pruned_revision
            while group.puts and now - group.puts[0].learned_at > self._retention_seconds:
                record = group.puts.popleft().record
                group.pruned_revision = record.revision
                self._forget_put(record)
                rows.append((_put_key(name, record.revision), None))
            if group.pruned_revision != before:
                rows.append(_group_row(name, group))
        return rows

    def _forget_put(self, record: CellRecord) -> None:
        self.put_count -= 1
        self.size_bytes -= record_bytes(record)
        if self._revisions.get((record.name, record.value)) == record.revision:
            del self._revisions[record.name, record.value]

    # ---- snapshots and the disk ----------------------------------------------------------

    def snapshot(self) -> CoordinationSnapshot:
        """Return the state as a message."""
        groups = [
            GroupHistory(name, group.revision, group.pruned_revision, [put.record for put in group.puts])
            for name, group in self.groups.items()
        ]
        return CoordinationSnapshot(
            self.index,
            self.last_fence,
            [lock.record for lock in self.locks.values()],
            [NumberRecord(name, value) for name, value in self.numbers.items()],
            list(self.cells.values()),
            groups,
        )

    def replace(self, now: float, snapshot: CoordinationSnapshot) -> Rows:
        """Replace the state by a later one, and return the rows to write."""
        rows: dict[bytes, bytes | None] = dict.fromkeys((key for key, _ in self._rows()), None)
        self._clear()
        self._load(now, snapshot)
        rows.update(self._rows())
        return list(rows.items())

    def _load(self, now: float, snapshot: CoordinationSnapshot) -> None:
        self.index, self.last_fence = snapshot.index, snapshot.last_fence
        for lock in snapshot.locks:
            self.locks[lock.name] = Lock(lock, now + _hold_seconds(lock))
        self.numbers = {number.name: number.value for number in snapshot.numbers}
        for cell in snapshot.cells:
            self._set_cell(cell)
        for history in snapshot.groups:
            group = self.groups[history.name] = Group(history.revision, history.pruned_revision)
            for put in history.puts:
                self._keep_put(group, Put(put, now))

    def _rows(self) -> Rows:
        rows: Rows = [(LOCK_PREFIX + name.encode(), _pack(lock.record)) for name, lock in self.locks.items()]
        rows += [(NUMBER_PREFIX + n.encode(), _pack(NumberRecord(n, value))) for n, value in self.numbers.items()]
        rows += [(CELL_PREFIX + name.encode(), _pack(cell)) for name, cell in self.cells.items()]
        for name, group in self.groups.items():
            rows.append(_group_row(name, group))
            rows += [(_put_key(name, put.record.revision), _pack(put.record)) for put in group.puts]
        rows.append((META_ROW, _pack(StoredMeta(self.index, self.last_fence))))
        return rows

    def restore(self, rows: Iterable[tuple[bytes, bytes]], now: float) -> None:
        """Load the state from the rows on disk; other rows are ignored.

        Raises msgspec.MsgspecError for rows that can't be decoded.
        """
        index = last_fence = 0
        locks, numbers, cells, groups = [], [], [], {}
        puts: dict[str, list[CellRecord]] = {}
        for key, value in rows:
            if key == META_ROW:
                meta = _meta_decoder.decode(value)
                index, last_fence = meta.index, meta.last_fence
            elif key.startswith(LOCK_PREFIX):
                locks.append(_lock_decoder.decode(value))
            elif key.startswith(NUMBER_PREFIX):
                numbers.append(_number_decoder.decode(value))
            elif key.startswith(CELL_PREFIX):
                cells.append(_cell_decoder.decode(value))
            elif key.startswith(GROUP_PREFIX):
                groups[key.removeprefix(GROUP_PREFIX).decode()] = _group_decoder.decode(value)
            elif key.startswith(PUT_PREFIX):
                put = _cell_decoder.decode(value)
                puts.setdefault(group_of(put.name), []).append(put)
        histories = [
            GroupHistory(n, g.revision, g.pruned_revision, sorted(puts.get(n, []), key=lambda put: put.revision))
            for n, g in groups.items()
        ]
        self._clear()
        self._load(now, CoordinationSnapshot(index, last_fence, locks, numbers, cells, histories))


def record_bytes(record: CellRecord) -> int:
    """Return approximately how many bytes a put takes in memory and on disk."""
    return len(record.name) + len(record.value) + 64


def _hold_seconds(record: LockRecord) -> float:
    """Return how long a holder may rely on a lock if its clock runs slower than this one, in seconds of this clock."""
    return record.hold_ms / 1000.0 * (1.0 + MAX_CLOCK_DRIFT)


def _put_key(group: str, revision: int) -> bytes:
    return PUT_PREFIX + group.encode() + b"\0" + revision.to_bytes(REVISION_BYTES, "big")


def _group_row(name: str, group: Group) -> tuple[bytes, bytes]:
    return GROUP_PREFIX + name.encode(), _pack(StoredGroup(group.revision, group.pruned_revision))
