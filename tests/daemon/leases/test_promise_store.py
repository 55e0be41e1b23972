"""A crash at any moment leaves either the new or the former promises of a lease voter on disk."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from lugspur.daemon.leases import promise_store
from lugspur.daemon.leases.promise_store import (
    PROMISES_FILE,
    CorruptPromiseStoreError,
    PromiseStore,
    PromiseStoreInUseError,
)
from lugspur.daemon.leases.voter import Promise
from lugspur.daemon.persistence.directory import Directory

ONE, TWO = [Promise("d", 1, "a", 7)], [Promise("d", 2, "b", 8), Promise("e", 5, "a", 7)]


def test_promises_that_were_written_are_read(tmp_path: Path) -> None:
    store = PromiseStore(str(tmp_path), "x", 10.0)
    assert store.is_new and store.promises == []
    store.write(ONE)
    store.write(TWO)
    store.close()
    reopened = PromiseStore(str(tmp_path), "x", 5.0)
    assert not reopened.is_new and reopened.promises == TWO
    assert reopened.lease_seconds == 10.0  # the longest time that was ever promised
    reopened.close()


def test_a_directory_belongs_to_one_voter(tmp_path: Path) -> None:
    store = PromiseStore(str(tmp_path), "x", 10.0)
    with pytest.raises(PromiseStoreInUseError):
        PromiseStore(str(tmp_path), "x", 10.0)
    store.write(ONE)
    store.close()
    with pytest.raises(CorruptPromiseStoreError, match="elector 'x'"):
        PromiseStore(str(tmp_path), "y", 10.0)


def test_every_changed_byte_and_every_truncation_is_detected(tmp_path: Path) -> None:
    store = PromiseStore(str(tmp_path), "x", 10.0)
    store.write(ONE)
    store.close()
    valid = (tmp_path / PROMISES_FILE).read_bytes()
    corrupt_files = [valid[:index] for index in range(len(valid))]
    corrupt_files += [valid[:index] + bytes([valid[index] ^ 1]) + valid[index + 1 :] for index in range(len(valid))]
    for data in corrupt_files:
        (tmp_path / PROMISES_FILE).write_bytes(data)
        with pytest.raises(CorruptPromiseStoreError):
            PromiseStore(str(tmp_path), "x", 10.0)


@pytest.mark.parametrize("call", ["create", "write", "sync", "close_file", "rename", "sync_directory"])
def test_a_failure_at_any_system_call_leaves_the_former_or_the_new_promises(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    store = PromiseStore(str(tmp_path), "x", 10.0)
    store.write(ONE)

    def fail(*_: object) -> None:
        raise OSError(errno.EIO, "injected failure")

    with monkeypatch.context() as patch:
        patch.setattr(Directory, call, fail)
        with pytest.raises(OSError):
            store.write(TWO)
    store.close()
    reopened = PromiseStore(str(tmp_path), "x", 10.0)
    assert reopened.promises in (ONE, TWO)
    reopened.write(TWO)
    reopened.close()
    assert promise_store.PROMISES_FILE in {path.name for path in tmp_path.iterdir()}
