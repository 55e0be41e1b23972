"""Stores two generations of the snapshot file in one directory.

At every moment one of them is complete, unless none has ever been written. A start that uses a generation is counted
until it is confirmed, so that a file that makes the program fail is not used forever. All methods block, so a
process that serves requests calls them in a thread.
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
#: Unconfirmed starts with one generation after which it is quarantined.
MAX_START_ATTEMPTS = 2
QUARANTINE_INFIX = ".aside-"
#: The number of latest quarantined files that are kept, for operators who want to know why they were rejected.
MAX_QUARANTINED_FILES = 4


class DirectoryInUseError(Exception):
    """Another process keeps its snapshots in this directory."""


@dataclass(slots=True)
class LoadResult:
    """The snapshot to start with, or None, and warnings about files that were not used."""

    snapshot: Snapshot | None
    warnings: list[str]  # log lines, one for each file


class SnapshotStore:
    """A directory that only this process writes to. Opening it raises OSError and DirectoryInUseError."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._write_lock = threading.Lock()  # A slow write may still go on when the next one begins.
        self._lock_fd = directory.try_lock(LOCK_FILE)
        if self._lock_fd is None:
            raise DirectoryInUseError

    def close(self) -> None:
        """Release the directory."""
        with self._write_lock:
            if self._lock_fd is not None:
                self._directory.close_file(self._lock_fd)
                self._lock_fd = None
                self._directory.close()

    # ---- writing -------------------------------------------------------------------------------

    def save(self, data: bytes) -> None:
        """Write the next generation. Does nothing after `close`."""
        with self._write_lock:
            if self._lock_fd is not None:
                self._save(data)

    def replace_file(self, name: str, data: bytes) -> None:
        """Replace the file of this name atomically."""
        with self._write_lock:
            self._directory.write_file(TEMPORARY_FILE, data)
            self._directory.rename(TEMPORARY_FILE, name)
            self._directory.sync_directory()

    def _save(self, data: bytes) -> None:
        self._directory.write_file(TEMPORARY_FILE, data)
        # Between the two renames, the former generation exists under its second name.
        with suppress(FileNotFoundError):
            self._directory.rename(CURRENT_FILE, PREVIOUS_FILE)
        self._directory.rename(TEMPORARY_FILE, CURRENT_FILE)
        self._directory.sync_directory()

    # ---- reading -------------------------------------------------------------------------------

    def load(self) -> LoadResult:
        """Return the newest usable generation, and count this start as an attempt until `confirm_start`."""
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
        """Record that the start with the loaded generation succeeded."""
        with self._write_lock, suppress(OSError):
            if self._lock_fd is not None:
                self._directory.remove(ATTEMPTS_FILE)

    def _count_attempts(self, checksum: bytes) -> int:
        """Return how many starts with this generation were not confirmed; a count for another one is ignored."""
        try:
            count, _, counted_checksum = self._directory.read(ATTEMPTS_FILE, 200).partition(b" ")
        except (OSError, ValueError):
            return 0
        return int(count) if counted_checksum == checksum and count.isdigit() else 0

    def _write_attempts(self, text: bytes) -> None:
        """Save the count of attempts. If the directory can't be written to, the snapshot is used without a count."""
        with suppress(OSError):
            fd = self._directory.create(ATTEMPTS_FILE)
            try:
                self._directory.write(fd, memoryview(text))
                self._directory.sync(fd)
            finally:
                self._directory.close_file(fd)

    def _quarantine(self, name: str, reason: str) -> str:
        """Rename a file so that it is not used again, and return a line for the log."""
        try:
            names = self._directory.list_names()
            quarantined = sorted(
                (int(file_name.rpartition(QUARANTINE_INFIX)[2]), file_name)
                for file_name in names
                if QUARANTINE_INFIX in file_name and file_name.rpartition(QUARANTINE_INFIX)[2].isdigit()
            )
            for _, file_name in quarantined[: max(0, len(quarantined) - MAX_QUARANTINED_FILES + 1)]:
                self._directory.remove(file_name)
            new_name = f"{CURRENT_FILE}{QUARANTINE_INFIX}{quarantined[-1][0] + 1 if quarantined else 1}"
            self._directory.rename(name, new_name)
        except OSError as error:
            return f"{name} is not used: {reason}; it can't be set aside: {error.strerror}"
        return f"{name} is not used: {reason}; it is now {new_name}"


def open_store(path: str, open_directory: Callable[[str], Directory] = Directory) -> SnapshotStore:
    """Open the store of a directory. Raises OSError and DirectoryInUseError."""
    directory = open_directory(path)
    try:
        return SnapshotStore(directory)
    except BaseException:
        directory.close()
        raise
