"""A replica's disk: one lmdb environment, written by a thread of its own in groups, each synced before it counts."""

from __future__ import annotations

import asyncio
import os
import shutil
import threading
from collections.abc import Callable

import lmdb

from lugspur.invariants import Invariant, check
from lugspur.mesh import events
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.register import MAX_KEY_BYTES

MAP_FRACTION = 0.6  # of the disk: lmdb must not fill it, and a file that grew is never smaller again
MIN_MAP_BYTES, MAX_MAP_BYTES = 16 << 20, 1 << 30  # bytes
REOPEN_DELAY_SECONDS = 0.3  # seconds after a failed write in which the environment is left alone
MAX_UNWRITTEN_DELETIONS = 50_000  # rows removed while nothing can be written; what stays is swept after a start

DIRECTORY_NAME = "control"  # of the folder in `data_dir`
DAMAGED_DIRECTORY_NAME = "control-damaged"  # ...and of what could not be read, the latest alone
DAMAGE_ERRORS = (lmdb.InvalidError, lmdb.CorruptedError, lmdb.PageNotFoundError)  # what is on disk, not the disk

Rows = list[tuple[bytes, bytes | None]]


class Disk:
    """Rows by key. `write` returns at once; what is given with it is called in the loop when it is on disk."""

    def __init__(self, folder: str, disk_mb: int) -> None:
        self._folder = os.path.join(folder, DIRECTORY_NAME)
        self._aside = os.path.join(folder, DAMAGED_DIRECTORY_NAME)
        # Bytes that the file may take.
        self.size = int(min(MAX_MAP_BYTES, max(MIN_MAP_BYTES, disk_mb * MAP_FRACTION * (1 << 20))))
        self._loop = asyncio.get_running_loop()
        self._wake = threading.Condition()
        self._rows: Rows = []
        self._calls: list[Callable[[], None]] = []
        self._closing = False
        self._owed: dict[bytes, bytes | None] = {}  # rows of failed writes, for the next one that succeeds
        self.fault = ""  # what the latest write failed on
        self.damaged = ""  # why what was on disk was set aside
        self.commits = self.failures = 0
        try:
            os.makedirs(self._folder, exist_ok=True)
            try:
                self._env = self._open()
            except DAMAGE_ERRORS as fault:
                self._move(str(fault))
                self._env = self._open()
        except (OSError, lmdb.Error) as fault:
            raise MeshError(ErrorKind.STATE, f"{self._folder}: {fault}") from None
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    def _open(self) -> lmdb.Environment:
        return lmdb.open(self._folder, map_size=self.size, subdir=True, max_readers=8, lock=False, metasync=True)

    def rows(self) -> list[tuple[bytes, bytes]]:
        """All that is on disk; to be read before `start`. Where it is damaged it is set aside, and there is nothing."""
        try:
            with self._env.begin() as txn:
                return [(bytes(key), bytes(value)) for key, value in txn.cursor()]
        except DAMAGE_ERRORS as fault:
            self.set_aside(str(fault))
            return []
        except lmdb.Error as fault:
            raise MeshError(ErrorKind.STATE, f"{self._folder}: {fault}") from None

    def set_aside(self, why: str) -> None:
        """What is on disk can't be used: it is kept under another name, and this is an empty disk from now on.

        Guards against half of a state that is taken for all of it: who has lost some of its promises has to be a
        newcomer, as with an empty disk. To be called before `start`; raises MeshError (STATE).
        """
        try:
            self._env.close()
            self._move(why)
            self._env = self._open()
        except (OSError, lmdb.Error) as fault:
            raise MeshError(ErrorKind.STATE, f"{self._folder}: {fault}") from None

    def _move(self, why: str) -> None:
        self.damaged = why
        shutil.rmtree(self._aside, ignore_errors=True)
        os.rename(self._folder, self._aside)
        os.makedirs(self._folder)
        # Guards what the new one promises: after a loss of power the old name could be back.
        parent = os.open(os.path.dirname(self._folder), os.O_RDONLY)
        try:
            os.fsync(parent)
        finally:
            os.close(parent)
        events.warn("set-aside", fault=why, to=self._aside)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def write(self, rows: Rows, then: Callable[[], None] | None = None) -> None:
        """Have rows written with all else that waits; without `then` they wait until something wakes the writer.

        What no disk takes is never written, and nothing that waits for it is promised. Guards all other rows: those of
        a failed write go with the next one, so that one such row would fail each write from then on.
        """
        fitting = [row for row in rows if len(row[0]) <= MAX_KEY_BYTES]
        check(len(fitting) == len(rows), Invariant.ROW_FITS, rows=len(rows) - len(fitting))
        if len(fitting) < len(rows):
            rows, then = fitting, None
        with self._wake:
            self._rows += rows
            if then is not None:
                self._calls.append(then)
                self._wake.notify()

    def flush(self) -> None:
        """Wake the writer for what waits."""
        with self._wake:
            if self._rows:
                self._wake.notify()

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._rows and not self._calls and not self._closing:
                    self._wake.wait()
                if self._closing and not self._rows and not self._calls:
                    return
                rows, self._rows = self._rows, []
                calls, self._calls = self._calls, []
            self._commit(rows, calls)

    def _owe(self, rows: Rows) -> None:
        for key, value in rows:
            self._owed.pop(key, None)
            if value is not None or len(self._owed) < MAX_UNWRITTEN_DELETIONS:
                self._owed[key] = value

    def _commit(self, rows: Rows, calls: list[Callable[[], None]]) -> None:
        try:
            with self._env.begin(write=True) as txn:
                for key, value in [*self._owed.items(), *rows]:
                    if value is None:
                        txn.delete(key)
                    else:
                        txn.put(key, value)
        except (lmdb.Error, OSError) as fault:
            # What waited for these rows is never promised. They go with the next write: what is promised later may
            # rest on them, as claims rest on the epoch that they are granted in. The environment is opened anew: after
            # a failed write it refuses all.
            self.fault = str(fault)
            self.failures += 1
            self._owe(rows)
            self._post(lambda: events.warn("disk", fault=self.fault, rows=len(rows)))
            self._reopen()
            return
        self.commits += 1
        self._owed.clear()
        self.fault = ""
        for call in calls:
            self._post(call)

    def _reopen(self) -> None:
        while not self._closing:
            with self._wake:
                self._wake.wait(REOPEN_DELAY_SECONDS)
                # Guards memory and the promise: what came meanwhile is not on disk, and nobody is told it is.
                self._owe(self._rows)
                self._rows, self._calls = [], []
            try:
                self._env.close()
                self._env = self._open()
                return
            except (lmdb.Error, OSError) as fault:
                self.fault = str(fault)

    def _post(self, call: Callable[[], None]) -> None:
        try:
            self._loop.call_soon_threadsafe(call)
        except RuntimeError:  # the loop has ended: nobody is to be told
            return

    def close(self, within: float) -> None:
        """Write what waits, then close; gives up after `within` seconds where the disk hangs."""
        with self._wake:
            self._closing = True
            self._wake.notify()
        self._thread.join(within)
        if not self._thread.is_alive():
            self._env.close()
