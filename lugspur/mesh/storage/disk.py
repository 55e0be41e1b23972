"""An lmdb environment on a control node's disk. A thread writes rows in groups and syncs each group."""

from __future__ import annotations

import asyncio
import os
import shutil
import threading
from collections.abc import Callable
from dataclasses import dataclass

import lmdb

from lugspur.invariants import Invariant, check
from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.register import MAX_KEY_BYTES

REOPEN_DELAY_SECONDS = 0.3  # after a failed write, before the environment is opened again
MAX_UNWRITTEN_DELETIONS = 50_000  # kept while writes fail; rows whose deletion is dropped are removed after a start

DIRECTORY_NAME = "control"  # of the environment for the configuration, in `data_dir`
COORDINATION_DIRECTORY_NAME = "coordination"  # of the environment for locks, numbers and cells
DAMAGED_SUFFIX = "-damaged"  # of an environment that could not be read; the latest one is kept
DAMAGED_DIRECTORY_NAME = DIRECTORY_NAME + DAMAGED_SUFFIX
#: Errors which mean that the rows on disk are damaged; other errors mean that the disk fails.
DAMAGE_ERRORS = (lmdb.InvalidError, lmdb.CorruptedError, lmdb.PageNotFoundError)

Rows = list[tuple[bytes, bytes | None]]  # key and value; no value: the row is removed


@dataclass(slots=True, frozen=True)
class DiskArea:
    """The directory of an environment in `data_dir`, and its share of the disk: an lmdb file never shrinks."""

    directory_name: str
    fraction: float  # of the disk
    min_bytes: int
    max_bytes: int

    def map_bytes(self, disk_mb: int) -> int:
        """Return the maximum size of the environment on a disk of `disk_mb`."""
        return int(min(self.max_bytes, max(self.min_bytes, disk_mb * self.fraction * (1 << 20))))


#: Together the areas leave a part of the disk free, so that lmdb can't fill the disk.
CONTROL_AREA = DiskArea(DIRECTORY_NAME, 0.6, 16 << 20, 1 << 30)
COORDINATION_AREA = DiskArea(COORDINATION_DIRECTORY_NAME, 0.2, 8 << 20, 64 << 20)


class Disk:
    """A key-value store. `write` returns at once; its callback is called in the event loop once the rows are on disk.

    Raises MeshError (STATE) if the environment can't be created.
    """

    def __init__(self, data_dir: str, disk_mb: int, area: DiskArea = CONTROL_AREA) -> None:
        """`disk_mb`: the size of the disk, from which the maximum size of the environment is derived."""
        self._path = os.path.join(data_dir, area.directory_name)
        self._damaged_path = self._path + DAMAGED_SUFFIX
        self.max_bytes = area.map_bytes(disk_mb)
        self.fault = ""  # why the latest write failed; empty if it succeeded
        self.damage = ""  # why the rows on disk could not be used; empty if they could
        self.commits = 0
        self.failures = 0  # failed writes
        self._loop = asyncio.get_running_loop()
        self._wake = threading.Condition()  # guards the next three attributes
        self._pending_rows: Rows = []
        self._pending_callbacks: list[Callable[[], None]] = []
        self._is_closing = False
        self._unwritten: dict[bytes, bytes | None] = {}  # rows of failed writes, which are part of the next write
        try:
            os.makedirs(self._path, exist_ok=True)
            try:
                self._env = self._open()
            except DAMAGE_ERRORS as fault:
                self._move_aside(str(fault))
                self._env = self._open()
        except (OSError, lmdb.Error) as fault:
            raise MeshError(ErrorKind.STATE, f"{self._path}: {fault}") from None
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    def _open(self) -> lmdb.Environment:
        return lmdb.open(self._path, map_size=self.max_bytes, subdir=True, max_readers=8, lock=False, metasync=True)

    # ---- before `start` --------------------------------------------------------------------

    def read_rows(self) -> list[tuple[bytes, bytes]]:
        """Return all rows on disk, ordered by key; if they are damaged, set them aside and return none.

        Must be called before `start`; raises MeshError (STATE) if the disk fails.
        """
        try:
            with self._env.begin() as txn:
                return [(bytes(key), bytes(value)) for key, value in txn.cursor()]
        except DAMAGE_ERRORS as fault:
            self.set_aside(str(fault))
            return []
        except lmdb.Error as fault:
            raise MeshError(ErrorKind.STATE, f"{self._path}: {fault}") from None

    @property
    def has_damaged_copy(self) -> bool:
        """Whether an environment that could not be used was set aside, now or at an earlier start."""
        return os.path.exists(self._damaged_path)

    def set_aside(self, reason: str) -> None:
        """Rename the environment on disk, and go on with an empty one.

        An incomplete state must not be used as a complete one: a replica that has lost some of its promises has to join
        as a new replica, as with an empty disk. Must be called before `start`; raises MeshError (STATE).
        """
        try:
            self._env.close()
            self._move_aside(reason)
            self._env = self._open()
        except (OSError, lmdb.Error) as fault:
            raise MeshError(ErrorKind.STATE, f"{self._path}: {fault}") from None

    def _move_aside(self, reason: str) -> None:
        self.damage = reason
        shutil.rmtree(self._damaged_path, ignore_errors=True)
        os.rename(self._path, self._damaged_path)
        os.makedirs(self._path)
        # Makes the rename durable: otherwise the old environment could be back after a power failure.
        parent = os.open(os.path.dirname(self._path), os.O_RDONLY)
        try:
            os.fsync(parent)
        finally:
            os.close(parent)
        events.warn("set-aside", fault=reason, to=self._damaged_path)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    # ---- writing ---------------------------------------------------------------------------

    def write(self, rows: Rows, on_synced: Callable[[], None] | None = None) -> None:
        """Write rows with all other pending ones; without a callback they stay pending until the writer is woken.

        A row whose key is too long for lmdb is never written, and then the callback is never called. The rows of a
        failed write are part of the next write, so that one such row would make all later writes fail.
        """
        fitting = [row for row in rows if len(row[0]) <= MAX_KEY_BYTES]
        check(len(fitting) == len(rows), Invariant.ROW_KEY_FITS, rows=len(rows) - len(fitting))
        if len(fitting) < len(rows):
            rows, on_synced = fitting, None
        with self._wake:
            self._pending_rows += rows
            if on_synced is not None:
                self._pending_callbacks.append(on_synced)
                self._wake.notify()

    def flush(self) -> None:
        """Wake the writer if rows are pending."""
        with self._wake:
            if self._pending_rows:
                self._wake.notify()

    def close(self, timeout: float) -> None:
        """Write pending rows, then close; give up after `timeout` seconds if the disk hangs."""
        with self._wake:
            self._is_closing = True
            self._wake.notify()
        self._thread.join(timeout)
        if not self._thread.is_alive():
            self._env.close()

    # ---- writer thread ------------------------------------------------------------------------

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._pending_rows and not self._pending_callbacks and not self._is_closing:
                    self._wake.wait()
                if self._is_closing and not self._pending_rows and not self._pending_callbacks:
                    return
                rows, self._pending_rows = self._pending_rows, []
                callbacks, self._pending_callbacks = self._pending_callbacks, []
            self._commit(rows, callbacks)

    def _commit(self, rows: Rows, callbacks: list[Callable[[], None]]) -> None:
        try:
            with self._env.begin(write=True) as txn:
                for key, value in [*self._unwritten.items(), *rows]:
                    if value is None:
                        txn.delete(key)
                    else:
                        txn.put(key, value)
        except (lmdb.Error, OSError) as fault:
            self._commit_failed(str(fault), rows)
            return
        self.commits += 1
        self._unwritten.clear()
        self.fault = ""
        for callback in callbacks:
            self._call_in_loop(callback)

    def _commit_failed(self, fault: str, rows: Rows) -> None:
        """Keep the rows of a failed write, whose callbacks are never called, and open the environment again.

        The rows are part of the next write: later promises may depend on them, as reservations depend on the epoch in
        which they are granted. After a failed write an environment rejects all others.
        """
        self.fault = fault
        self.failures += 1
        self._keep_unwritten(rows)
        self._call_in_loop(lambda: events.warn("disk", fault=self.fault, rows=len(rows)))
        self._reopen()

    def _keep_unwritten(self, rows: Rows) -> None:
        for key, value in rows:
            self._unwritten.pop(key, None)
            if value is not None or len(self._unwritten) < MAX_UNWRITTEN_DELETIONS:
                self._unwritten[key] = value

    def _reopen(self) -> None:
        while not self._is_closing:
            with self._wake:
                self._wake.wait(REOPEN_DELAY_SECONDS)
                # Rows that arrived meanwhile are not on disk, so their callbacks are dropped; this also bounds memory.
                self._keep_unwritten(self._pending_rows)
                self._pending_rows, self._pending_callbacks = [], []
            try:
                self._env.close()
                self._env = self._open()
                return
            except (lmdb.Error, OSError) as fault:
                self.fault = str(fault)

    def _call_in_loop(self, callback: Callable[[], None]) -> None:
        try:
            self._loop.call_soon_threadsafe(callback)
        except RuntimeError:  # the loop is closed: there is nothing to notify
            return
