"""Two generations in a directory survive stops, failed system calls and damaged files."""

from __future__ import annotations

import errno
import os
import signal
import time
from collections.abc import Callable
from itertools import count
from pathlib import Path
from random import Random

import pytest
from snapshots import endpoints, other, text

from lugspur.daemon.persistence.directory import Directory
from lugspur.daemon.persistence.snapshot_format import MAX_FILE_BYTES, decode_snapshot, encode_snapshot
from lugspur.daemon.persistence.snapshot_store import (
    ATTEMPTS_FILE,
    CURRENT_FILE,
    MAX_QUARANTINED_FILES,
    MAX_START_ATTEMPTS,
    PREVIOUS_FILE,
    QUARANTINE_INFIX,
    DirectoryInUseError,
    open_store,
)

CALLS = ("create", "write", "sync", "close_file", "rename", "remove", "sync_directory")
assert all(callable(getattr(Directory, name)) for name in CALLS)  # Otherwise no fault would be injected.
OLD, NEW = text(1000.0), text(2000.0, endpoints(1))


class Stopped(BaseException):
    """Stands for the end of the process at this call."""


class FaultyDirectory(Directory):
    """Fails at one system call, before or after it is done, and writes few bytes at a time."""

    def __init__(
        self, directory: str, at: int, fault: Callable[[], BaseException], after_call: bool, chunk_bytes: int
    ) -> None:
        super().__init__(directory)
        self.calls, self.at, self.fault, self.after_call, self.chunk_bytes = 0, at, fault, after_call, chunk_bytes
        self.is_dead = False

    def __getattribute__(self, name: str) -> object:
        method = super().__getattribute__(name)
        if name not in CALLS:
            return method

        def call(*args: object) -> object:
            self.calls += 1
            is_faulty = self.calls == self.at
            if self.is_dead or (is_faulty and not self.after_call):
                self.is_dead = isinstance(self.fault(), Stopped)
                raise self.fault()
            try:
                return method(*args)
            finally:
                if is_faulty:
                    self.is_dead = isinstance(self.fault(), Stopped)
                    raise self.fault()

        return call

    def write(self, fd: int, data: memoryview) -> int:
        return super().write(fd, data[: self.chunk_bytes])


def save_all(directory: Path, *texts: bytes) -> None:
    store = open_store(str(directory))
    for each in texts:
        store.save(each)
    store.close()


def load_and_confirm(directory: Path) -> tuple[float | None, list[str]]:
    """Return when the loaded snapshot was written, and the lines for the log."""
    store = open_store(str(directory))
    try:
        result = store.load()
        store.confirm_start()
        return None if result.snapshot is None else result.snapshot.written_at, result.warnings
    finally:
        store.close()


def save_with_fault(
    directory: Path, at: int, fault: Callable[[], BaseException], after_call: bool, chunk_bytes: int, data: bytes = NEW
) -> tuple[FaultyDirectory, bool]:
    """Save once more with a fault; return the directory, and whether the fault was reached."""
    made: list[FaultyDirectory] = []

    def open_faulty(name: str) -> Directory:
        made.append(FaultyDirectory(name, at, fault, after_call, chunk_bytes))
        return made[0]

    store = open_store(str(directory), open_faulty)
    try:
        store.save(data)
    except (OSError, Stopped):
        return made[0], True
    finally:
        made[0].at, made[0].is_dead = 0, False
        store.close()
    return made[0], False


@pytest.mark.parametrize("after_call", [False, True])
@pytest.mark.parametrize("before", [(), (OLD,), (OLD, OLD)])
@pytest.mark.parametrize("chunk_bytes", [1 << 20, 100])
def test_a_stop_at_any_system_call_leaves_the_former_or_the_new_generation(
    after_call: bool, before: tuple[bytes, ...], chunk_bytes: int, tmp_path: Path
) -> None:
    at, fault_reached = 0, True
    while fault_reached:
        at += 1
        directory = tmp_path / str(at)
        directory.mkdir()
        save_all(directory, *before)
        _, fault_reached = save_with_fault(directory, at, Stopped, after_call, chunk_bytes)
        written, warnings = load_and_confirm(directory)
        assert not warnings
        assert written in ((1000.0, 2000.0) if before else (None, 2000.0))
        save_all(directory, NEW)  # The next process continues.
        assert load_and_confirm(directory) == (2000.0, [])
    assert at > 6


def test_a_stop_after_any_byte_leaves_the_former_generation(tmp_path: Path) -> None:
    save_all(tmp_path, OLD)
    short = encode_snapshot(2000.0, [])
    for at in range(3, 3 + len(short)):  # The first calls create the file.
        assert save_with_fault(tmp_path, at, Stopped, True, 1, short)[1]
        assert load_and_confirm(tmp_path) == (1000.0, [])


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EACCES, errno.EDQUOT])
def test_a_disk_error_at_any_system_call_loses_no_generation(number: int, tmp_path: Path) -> None:
    save_all(tmp_path, OLD)
    for at in range(1, 7):
        _, fault_reached = save_with_fault(tmp_path, at, lambda: OSError(number, os.strerror(number)), False, 1 << 20)
        assert fault_reached
        assert load_and_confirm(tmp_path)[0] in (1000.0, 2000.0)


def test_a_kill_at_any_moment_leaves_a_complete_generation(tmp_path: Path) -> None:
    texts = [other(seed) for seed in range(8)]
    save_all(tmp_path, texts[0])
    written_ever, rng = {decode_snapshot(each).written_at for each in texts}, Random(5)
    seen = set()
    for number in range(300):
        read_end, write_end = os.pipe()
        child = os.fork()
        if not child:
            store = open_store(str(tmp_path))
            for at in count(number):
                store.save(texts[at % len(texts)])
                os.write(write_end, b".")
        if number % 2:  # However long a disk takes to sync, some generations are complete...
            os.read(read_end, 1)
        time.sleep(rng.random() * 0.006)
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        os.close(read_end)
        os.close(write_end)
        written, warnings = load_and_confirm(tmp_path)
        assert written in written_ever
        assert not warnings
        seen.add(written)
    assert len(seen) > 2  # ...and the process was killed while it wrote the next one.


def test_a_corrupt_generation_is_quarantined_and_the_former_one_used(tmp_path: Path) -> None:
    save_all(tmp_path, OLD, NEW)
    for broken in (NEW[:-5], b"", b"lugspur state 7 1.0\n", os.urandom(100)):
        (tmp_path / CURRENT_FILE).write_bytes(broken)
        written, warnings = load_and_confirm(tmp_path)
        assert written == 1000.0
        assert len(warnings) == 1 and "state is not used: " in warnings[0] and QUARANTINE_INFIX in warnings[0]
    save_all(tmp_path, NEW)
    assert load_and_confirm(tmp_path) == (2000.0, [])
    # No complete generation was lost.
    assert decode_snapshot((tmp_path / PREVIOUS_FILE).read_bytes()).written_at == 1000.0


def test_a_file_that_is_not_regular_is_quarantined(tmp_path: Path) -> None:
    target = tmp_path / "elsewhere"
    target.write_bytes(NEW)
    save_all(tmp_path, OLD, OLD)

    def link() -> None:
        (tmp_path / CURRENT_FILE).symlink_to(target)

    def pipe() -> None:
        os.mkfifo(tmp_path / CURRENT_FILE)

    def large() -> None:
        with open(tmp_path / CURRENT_FILE, "wb") as file:
            file.truncate(10 << 30)

    def directory() -> None:
        (tmp_path / CURRENT_FILE).mkdir()

    for make in (link, pipe, large, directory):
        (tmp_path / CURRENT_FILE).unlink(missing_ok=True)
        make()
        written, warnings = load_and_confirm(tmp_path)
        assert written == 1000.0
        assert len(warnings) == 1 and "is not used" in warnings[0]
        assert not (tmp_path / CURRENT_FILE).exists()
    assert target.read_bytes() == NEW  # Nothing was written through the link.


def test_quarantined_files_are_bounded(tmp_path: Path) -> None:
    for number in range(3 * MAX_QUARANTINED_FILES):
        (tmp_path / CURRENT_FILE).write_bytes(b"broken %d" % number)
        load_and_confirm(tmp_path)
    kept = [each for each in os.listdir(tmp_path) if QUARANTINE_INFIX in each]
    assert len(kept) == MAX_QUARANTINED_FILES
    assert f"{CURRENT_FILE}{QUARANTINE_INFIX}{3 * MAX_QUARANTINED_FILES}" in kept  # The latest one is kept.


def test_a_file_that_is_too_large_is_never_read(tmp_path: Path) -> None:
    (tmp_path / CURRENT_FILE).write_bytes(OLD)
    directory = Directory(str(tmp_path))
    assert directory.read(CURRENT_FILE, MAX_FILE_BYTES) == OLD
    with pytest.raises(ValueError, match="are the most"):
        directory.read(CURRENT_FILE, len(OLD) - 1)
    directory.close()


def test_a_generation_with_which_starts_fail_is_used_twice_and_no_third_time(tmp_path: Path) -> None:
    save_all(tmp_path, OLD, NEW)

    def start() -> float | None:
        store = open_store(str(tmp_path))
        result = store.load()
        store.close()  # as a process that ends before it serves
        return None if result.snapshot is None else result.snapshot.written_at

    assert [start() for _ in range(MAX_START_ATTEMPTS)] == [2000.0] * MAX_START_ATTEMPTS
    assert [start() for _ in range(MAX_START_ATTEMPTS)] == [1000.0] * MAX_START_ATTEMPTS
    assert start() is None
    assert (tmp_path / ATTEMPTS_FILE).exists()
    save_all(tmp_path, NEW)
    for _ in range(2 * MAX_START_ATTEMPTS):  # A generation with which a start was confirmed is used again and again.
        assert load_and_confirm(tmp_path)[0] == 2000.0


def test_a_directory_belongs_to_one_process_and_a_dead_ones_lock_is_no_obstacle(tmp_path: Path) -> None:
    first = open_store(str(tmp_path))
    with pytest.raises(DirectoryInUseError):
        open_store(str(tmp_path))
    first.save(OLD)
    first.close()
    child = os.fork()
    if not child:
        open_store(str(tmp_path))
        os.kill(os.getpid(), signal.SIGKILL)
    os.waitpid(child, 0)
    assert (tmp_path / "lock").exists()
    assert load_and_confirm(tmp_path)[0] == 1000.0


def test_a_directory_that_vanishes_raises_an_error_and_its_successor_is_left_alone(tmp_path: Path) -> None:
    directory = tmp_path / "gone"
    directory.mkdir()
    store = open_store(str(directory))
    store.save(OLD)
    for each in directory.iterdir():
        each.unlink()
    directory.rmdir()
    (tmp_path / "gone").mkdir()  # A new directory of the same name is not used.
    with pytest.raises(OSError):
        store.save(NEW)
    assert not list(directory.iterdir())
    store.close()
    with pytest.raises(OSError):
        open_store(str(tmp_path / "none"))


def test_a_closed_store_writes_nothing(tmp_path: Path) -> None:
    store = open_store(str(tmp_path))
    store.close()
    store.save(OLD)
    store.confirm_start()
    assert load_and_confirm(tmp_path) == (None, [])


def test_an_invalid_count_of_attempts_is_ignored(tmp_path: Path) -> None:
    save_all(tmp_path, OLD)
    for note in (b"", b"9", b"many words", b"-5 x", b"9 another", b"\xff" * 500):
        (tmp_path / ATTEMPTS_FILE).write_bytes(note)
        assert load_and_confirm(tmp_path)[0] == 1000.0
