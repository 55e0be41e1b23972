"""An elector's memory: a file that is replaced as a whole, synced, before anything of it is told. Blocking."""

from __future__ import annotations

import os
from collections.abc import Iterable
from hashlib import sha256

import msgspec

from lugspur.daemon.leases.elector import DUTIES_MOST, Promise
from lugspur.daemon.leases.messages import EPOCH_LIMIT, MAX_ROLE_CHARACTERS
from lugspur.daemon.persistence.disk import Disk

NAME, FRESH, LOCK = "promises", "promises.new", "promises.lock"
FORM = "lugspur promises 1"
FILE_MOST = 1 << 20  # bytes: 512 promises of some 200 bytes take a tenth of it


class Taken(Exception):
    """Another process keeps its promises in this folder."""


class Spoilt(Exception):
    """The file is not what was written: what it promised can't be known."""


class _Row(msgspec.Struct):
    duty: str
    epoch: int
    name: str
    life: int


class _File(msgspec.Struct):
    form: str
    elector: str
    lease: float
    promises: list[_Row]


class Memory:
    """The folder of one elector. `lease`: the longest that it ever promised for, in seconds."""

    def __init__(self, folder: str, elector: str, lease: float) -> None:
        self._disk = Disk(folder)
        self._elector = elector
        self._lock = None
        try:
            self._lock = self._disk.lock(LOCK)
            if self._lock is None:
                raise Taken
            found = self._read()
        except BaseException:
            self.close()
            raise
        self.lease = lease if found is None else max(lease, found.lease)
        self.fresh = found is None  # it holds nothing: a new one, or one that was lost
        self.promises = (
            [] if found is None else [Promise(row.duty, row.epoch, row.name, row.life) for row in found.promises]
        )

    def _read(self) -> _File | None:
        try:
            data = self._disk.read(NAME, FILE_MOST)
        except FileNotFoundError:
            return None
        except ValueError as fault:
            raise Spoilt(str(fault)) from fault
        body, _, mark = data.rpartition(b"\n")
        if sha256(body).hexdigest().encode() != mark:
            raise Spoilt("its checksum is wrong")
        try:
            found = msgspec.json.decode(body, type=_File)
        except msgspec.DecodeError as fault:
            raise Spoilt(str(fault)) from fault
        if found.form != FORM:
            raise Spoilt(f"its form is {found.form[:40]!r}, not {FORM!r}")
        if found.elector != self._elector:
            raise Spoilt(f"it is that of elector {found.elector[:48]!r}")
        rows = found.promises
        if len(rows) > DUTIES_MOST or any(
            not 0 <= row.epoch < EPOCH_LIMIT or not 0 < len(row.duty) <= MAX_ROLE_CHARACTERS for row in rows
        ):
            raise Spoilt("it promises what cannot be")
        return found

    def write(self, promises: Iterable[Promise]) -> None:
        """Replace it; raises OSError, and then the former or this one is there."""
        rows = [_Row(p.duty, p.epoch, p.name, p.life) for p in promises]
        body = msgspec.json.encode(_File(FORM, self._elector, self.lease, rows))
        data = memoryview(body + b"\n" + sha256(body).hexdigest().encode())
        fd = self._disk.create(FRESH)
        try:
            while data:
                data = data[self._disk.write(fd, data) :]
            self._disk.sync(fd)
        finally:
            self._disk.end(fd)
        self._disk.rename(FRESH, NAME)
        self._disk.sync_folder()

    def close(self) -> None:
        """Let others have the folder."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
        self._disk.close()
