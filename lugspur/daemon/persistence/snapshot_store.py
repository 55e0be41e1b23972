"""Two generations of the file in one folder: at every moment there is a whole one, or none has ever been written.

Blocking: whoever serves calls `save` in a thread.
"""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from lugspur.daemon.persistence.directory import Directory
from lugspur.daemon.persistence.snapshot_format import (
    MAX_FILE_BYTES,
    Snapshot,
    UnreadableSnapshotError,
    decode_snapshot,
)

CURRENT_FILE, PREVIOUS_FILE, TEMPORARY_FILE, LOCK_FILE, ATTEMPTS_FILE = "state", "state.1", "state.new", "lock", "tried"
MAX_START_ATTEMPTS = 2  # starts with one generation that did not come to serve, after which it is set aside
QUARANTINE_INFIX = ".aside-"
MAX_QUARANTINED_FILES = 4  # files that are set aside and kept, the latest: for whoever wants to know why


class DirectoryInUseError(Exception):
    """Another process keeps its state in this folder."""


@dataclass(slots=True)
class LoadResult:
    """What a start goes on with."""

    snapshot: Snapshot | None
    warnings: list[str]  # what the log should tell of files that are of no use


class SnapshotStore:
    """A folder that this process alone writes to; raises OSError, and Taken."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._write_lock = threading.Lock()  # a slow writing may still go on when the next begins
        self._lock_fd = directory.try_lock(LOCK_FILE)
        if self._lock_fd is None:
            raise DirectoryInUseError

    def close(self) -> None:
        """Let others have the folder."""
        with self._write_lock:
            if self._lock_fd is not None:
                self._directory.close_file(self._lock_fd)
                self._lock_fd = None
                self._directory.close()

    # ---- writing -------------------------------------------------------------------------------

    def save(self, data: bytes) -> None:
        """The next generation."""
        with self._write_lock:
            if self._lock_fd is not None:
                self._save(data)

    def replace_file(self, name: str, data: bytes) -> None:
        """Another text under this name, in one step."""
        with self._write_lock:
            self._write(data)
            self._directory.rename(TEMPORARY_FILE, name)
            self._directory.sync_directory()

    def _save(self, data: bytes) -> None:
        self._write(data)
        # Between the two the former generation is there under its second name.
        with suppress(FileNotFoundError):
            self._directory.rename(CURRENT_FILE, PREVIOUS_FILE)
        self._directory.rename(TEMPORARY_FILE, CURRENT_FILE)
        self._directory.sync_directory()

    def _write(self, data: bytes) -> None:
        directory = self._directory
        fd = directory.create(TEMPORARY_FILE)
        try:
            left = memoryview(data)
            while left:
                left = left[directory.write(fd, left) :]
            directory.sync(fd)
        finally:
            directory.close_file(fd)

    # ---- reading -------------------------------------------------------------------------------

    def load(self) -> LoadResult:
        """The newest generation that can be used; it is noted as tried until `served`."""
        warnings: list[str] = []
        for name in (CURRENT_FILE, PREVIOUS_FILE):
            try:
                data = self._directory.read(name, MAX_FILE_BYTES)
                snapshot = decode_snapshot(data)
            except FileNotFoundError:
                continue
            except OSError as error:
                if error.errno != errno.ELOOP:
                    warnings.append(f"{name} can't be read: {error.strerror}")
                    continue
                warnings.append(self._quarantine(name, "it is a link"))
            except (ValueError, UnreadableSnapshotError) as error:
                warnings.append(self._quarantine(name, str(error)))
            else:
                checksum = data[-90:].rpartition(b"end ")[2].strip()
                attempts = self._count_attempts(checksum)
                if attempts >= MAX_START_ATTEMPTS:
                    warnings.append(self._quarantine(name, f"{attempts} starts with it did not come to serve"))
                    continue
                self._write_attempts(b"%d %b" % (attempts + 1, checksum))
                return LoadResult(snapshot, warnings)
        return LoadResult(None, warnings)

    def confirm_start(self) -> None:
        """The start went well."""
        with self._write_lock, suppress(OSError):
            if self._lock_fd is not None:
                self._directory.remove(ATTEMPTS_FILE)

    def _count_attempts(self, checksum: bytes) -> int:
        """How often a generation was begun with in vain; a note of another one, or none, says nothing."""
        try:
            count, _, noted = self._directory.read(ATTEMPTS_FILE, 200).partition(b" ")
        except (OSError, ValueError):
            return 0
        return int(count) if noted == checksum and count.isdigit() else 0

    def _write_attempts(self, text: bytes) -> None:
        """Guards nothing where the folder can't be written to: then the file is used all the same."""
        with suppress(OSError):
            fd = self._directory.create(ATTEMPTS_FILE)
            try:
                self._directory.write(fd, memoryview(text))
                self._directory.sync(fd)
            finally:
                self._directory.close_file(fd)

    def _quarantine(self, name: str, reason: str) -> str:
        """Out of the way; what the log should tell."""
        try:
            names = self._directory.list_names()
            kept = sorted(
                (int(each.rpartition(QUARANTINE_INFIX)[2]), each)
                for each in names
                if QUARANTINE_INFIX in each and each.rpartition(QUARANTINE_INFIX)[2].isdigit()
            )
            for _, each in kept[: max(0, len(kept) - MAX_QUARANTINED_FILES + 1)]:
                self._directory.remove(each)
            place = f"{CURRENT_FILE}{QUARANTINE_INFIX}{kept[-1][0] + 1 if kept else 1}"
            self._directory.rename(name, place)
        except OSError as error:
            return f"{name} is not used: {reason}; it can't be set aside: {error.strerror}"
        return f"{name} is not used: {reason}; it is now {place}"


def open_store(folder: str, directory: Callable[[str], Directory] = Directory) -> SnapshotStore:
    """The store of a folder; raises OSError and Taken."""
    made = directory(folder)
    try:
        return SnapshotStore(made)
    except BaseException:
        made.close()
        raise
