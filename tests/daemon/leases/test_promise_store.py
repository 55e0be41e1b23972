"""After a crash at any moment the promises of a lease voter are there, or the former ones are."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from lugspur.daemon.leases import promise_store as module
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
    first = PromiseStore(str(tmp_path), "x", 10.0)
    assert first.is_new and first.promises == []
    first.write(ONE)
    first.write(TWO)
    first.close()
    second = PromiseStore(str(tmp_path), "x", 5.0)
    assert not second.is_new and second.promises == TWO
    assert second.lease_seconds == 10.0  # the longest time that was ever promised
    second.close()


def test_a_directory_belongs_to_one_voter(tmp_path: Path) -> None:
    first = PromiseStore(str(tmp_path), "x", 10.0)
    with pytest.raises(PromiseStoreInUseError):
        PromiseStore(str(tmp_path), "x", 10.0)
    first.write(ONE)
    first.close()
    with pytest.raises(CorruptPromiseStoreError, match="elector 'x'"):
        PromiseStore(str(tmp_path), "y", 10.0)


def test_every_changed_byte_and_every_truncation_is_detected(tmp_path: Path) -> None:
    first = PromiseStore(str(tmp_path), "x", 10.0)
    first.write(ONE)
    first.close()
    complete = (tmp_path / PROMISES_FILE).read_bytes()
    corrupt = [complete[:at] for at in range(len(complete))]
    corrupt += [complete[:at] + bytes([complete[at] ^ 1]) + complete[at + 1 :] for at in range(len(complete))]
    for data in corrupt:
        (tmp_path / PROMISES_FILE).write_bytes(data)
        with pytest.raises(CorruptPromiseStoreError):
            PromiseStore(str(tmp_path), "x", 10.0)


@pytest.mark.parametrize("call", ["create", "write", "sync", "close_file", "rename", "sync_directory"])
def test_a_failure_at_any_system_call_leaves_the_former_or_the_new_promises(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    first = PromiseStore(str(tmp_path), "x", 10.0)
    first.write(ONE)

    def fails(*_: object) -> None:
        raise OSError(errno.EIO, "broken")

    with monkeypatch.context() as patched:
        patched.setattr(Directory, call, fails)
        with pytest.raises(OSError):
            first.write(TWO)
    first.close()
    second = PromiseStore(str(tmp_path), "x", 10.0)
    assert second.promises in (ONE, TWO)
    second.write(TWO)
    second.close()
    assert module.PROMISES_FILE in {path.name for path in tmp_path.iterdir()}
