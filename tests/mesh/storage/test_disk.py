"""A control node's disk that rejects writes: no callback is called for a failed write, and no row is lost."""

from __future__ import annotations

import asyncio
from pathlib import Path

import lmdb
import pytest

from lugspur.invariants import Invariant, violations
from lugspur.mesh.control.register import MAX_KEY_BYTES
from lugspur.mesh.storage import disk as module
from lugspur.mesh.storage.disk import Disk


class FailingEnvironment:
    """An environment whose writes fail while `full` is set."""

    full = False

    def __init__(self, env: lmdb.Environment) -> None:
        self._env = env

    def begin(self, write: bool = False) -> object:
        if write and FailingEnvironment.full:
            raise lmdb.DiskError("no space left")
        return self._env.begin(write=write)

    def close(self) -> None:
        self._env.close()


@pytest.fixture
def failing_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    open_environment = Disk._open
    monkeypatch.setattr(Disk, "_open", lambda self: FailingEnvironment(open_environment(self)))
    monkeypatch.setattr(module, "REOPEN_DELAY_SECONDS", 0.01)
    FailingEnvironment.full = False


def test_rows_of_a_failed_write_go_with_the_next_one(tmp_path: Path, failing_environment: None) -> None:
    async def run() -> None:
        disk = Disk(str(tmp_path), 16)
        disk.start()
        called: list[str] = []

        async def written(rows: module.Rows) -> None:
            done = asyncio.Event()
            disk.write(rows, done.set)
            await done.wait()

        async def failed() -> None:
            async with asyncio.timeout(20.0):
                while not disk.fault:
                    await asyncio.sleep(0.001)

        await written([(b"a", b"1"), (b"gone", b"1")])
        FailingEnvironment.full = True
        disk.write([(b"epoch", b"2"), (b"a", b"2"), (b"gone", None)], lambda: called.append("epoch"))
        await failed()
        disk.write([(b"a", b"3")])  # while the environment is opened again
        FailingEnvironment.full = False
        async with asyncio.timeout(20.0):
            while disk.fault:  # separate writes, until one succeeds
                disk.write([(b"claim", b"x")], lambda: None)
                await asyncio.sleep(0.005)
        assert called == []  # the callback of a failed write is never called
        found = dict(disk.read_rows())
        assert found[b"epoch"] == b"2" and found[b"claim"] == b"x" and b"gone" not in found
        assert found[b"a"] == b"3"
        disk.close(5.0)

    asyncio.run(run())


@pytest.mark.parametrize("has_callback", [True, False], ids=["waited for", "lazy"])
def test_a_row_with_too_long_a_key_is_never_written_and_does_not_affect_others(
    tmp_path: Path, has_callback: bool
) -> None:
    async def run() -> None:
        disk = Disk(str(tmp_path), 16)
        disk.start()
        called: list[str] = []
        written = asyncio.Event()
        disk.write([(b"k" * (MAX_KEY_BYTES + 1), b"v")], (lambda: called.append("too long")) if has_callback else None)
        disk.write([(b"k" * MAX_KEY_BYTES, b"v")], written.set)
        async with asyncio.timeout(20.0):
            await written.wait()
        assert not called and not disk.fault and disk.read_rows() == [(b"k" * MAX_KEY_BYTES, b"v")]
        assert violations.pop(Invariant.ROW_KEY_FITS) == 1
        disk.close(1.0)

    asyncio.run(run())
