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

NOW, BEFORE, FRESH, LOCK, TRIED = "state", "state.1", "state.new", "lock", "tried"
TRIES = 2  # starts with one generation that did not come to serve, after which it is set aside
ASIDE = ".aside-"
ASIDE_MOST = 4  # files that are set aside and kept, the latest: for whoever wants to know why


class Taken(Exception):
    """Another process keeps its state in this folder."""


@dataclass(slots=True)
class Found:
    """What a start goes on with."""

    snapshot: Snapshot | None
    said: list[str]  # what the log should tell of files that are of no use


class Store:
    """A folder that this process alone writes to; raises OSError, and Taken."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._one = threading.Lock()  # a slow writing may still go on when the next begins
        self._lock = directory.try_lock(LOCK)
        if self._lock is None:
            raise Taken

    def close(self) -> None:
        """Let others have the folder."""
        with self._one:
            if self._lock is not None:
                self._directory.close_file(self._lock)
                self._lock = None
                self._directory.close()

    # ---- writing -------------------------------------------------------------------------------

    def save(self, data: bytes) -> None:
        """The next generation."""
        with self._one:
            if self._lock is not None:
                self._save(data)

    def replace(self, name: str, data: bytes) -> None:
        """Another text under this name, in one step."""
        with self._one:
            self._write(data)
            self._directory.rename(FRESH, name)
            self._directory.sync_directory()

    def _save(self, data: bytes) -> None:
        self._write(data)
        # Between the two the former generation is there under its second name.
        with suppress(FileNotFoundError):
            self._directory.rename(NOW, BEFORE)
        self._directory.rename(FRESH, NOW)
        self._directory.sync_directory()

    def _write(self, data: bytes) -> None:
        directory = self._directory
        fd = directory.create(FRESH)
        try:
            left = memoryview(data)
            while left:
                left = left[directory.write(fd, left) :]
            directory.sync(fd)
        finally:
            directory.close_file(fd)

    # ---- reading -------------------------------------------------------------------------------

    def load(self) -> Found:
        """The newest generation that can be used; it is noted as tried until `served`."""
        said: list[str] = []
        for name in (NOW, BEFORE):
            try:
                data = self._directory.read(name, MAX_FILE_BYTES)
                snapshot = decode_snapshot(data)
            except FileNotFoundError:
                continue
            except OSError as fault:
                if fault.errno != errno.ELOOP:
                    said.append(f"{name} can't be read: {fault.strerror}")
                    continue
                said.append(self._aside(name, "it is a link"))
            except (ValueError, UnreadableSnapshotError) as fault:
                said.append(self._aside(name, str(fault)))
            else:
                mark = data[-90:].rpartition(b"end ")[2].strip()
                tried = self._tried(mark)
                if tried >= TRIES:
                    said.append(self._aside(name, f"{tried} starts with it did not come to serve"))
                    continue
                self._note(b"%d %b" % (tried + 1, mark))
                return Found(snapshot, said)
        return Found(None, said)

    def served(self) -> None:
        """The start went well."""
        with self._one, suppress(OSError):
            if self._lock is not None:
                self._directory.remove(TRIED)

    def _tried(self, mark: bytes) -> int:
        """How often a generation was begun with in vain; a note of another one, or none, says nothing."""
        try:
            count, _, noted = self._directory.read(TRIED, 200).partition(b" ")
        except (OSError, ValueError):
            return 0
        return int(count) if noted == mark and count.isdigit() else 0

    def _note(self, text: bytes) -> None:
        """Guards nothing where the folder can't be written to: then the file is used all the same."""
        with suppress(OSError):
            fd = self._directory.create(TRIED)
            try:
                self._directory.write(fd, memoryview(text))
                self._directory.sync(fd)
            finally:
                self._directory.close_file(fd)

    def _aside(self, name: str, why: str) -> str:
        """Out of the way; what the log should tell."""
        try:
            names = self._directory.list_names()
            kept = sorted(
                (int(each.rpartition(ASIDE)[2]), each)
                for each in names
                if ASIDE in each and each.rpartition(ASIDE)[2].isdigit()
            )
            for _, each in kept[: max(0, len(kept) - ASIDE_MOST + 1)]:
                self._directory.remove(each)
            place = f"{NOW}{ASIDE}{kept[-1][0] + 1 if kept else 1}"
            self._directory.rename(name, place)
        except OSError as fault:
            return f"{name} is not used: {why}; it can't be set aside: {fault.strerror}"
        return f"{name} is not used: {why}; it is now {place}"


def open_store(folder: str, directory: Callable[[str], Directory] = Directory) -> Store:
    """The store of a folder; raises OSError and Taken."""
    made = directory(folder)
    try:
        return Store(made)
    except BaseException:
        made.close()
        raise
