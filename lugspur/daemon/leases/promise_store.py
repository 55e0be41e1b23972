"""The file in which a lease voter keeps its promises.

The file is replaced as a whole and synced before any of its promises is sent. All methods block, so a process that
serves requests calls them in a thread.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from hashlib import sha256

import msgspec

from lugspur.daemon.leases.messages import EPOCH_LIMIT, MAX_ROLE_CHARACTERS
from lugspur.daemon.leases.voter import MAX_ROLES, Promise
from lugspur.daemon.persistence.directory import Directory

PROMISES_FILE, TEMPORARY_FILE, LOCK_FILE = "promises", "promises.new", "promises.lock"
FORMAT = "lugspur promises 1"
MAX_FILE_BYTES = 1 << 20  # 512 promises of about 200 bytes need a tenth of it.


class PromiseStoreInUseError(Exception):
    """Another process keeps its promises in this directory."""


class CorruptPromiseStoreError(Exception):
    """The file is not what this voter wrote, so it cannot know what it has promised."""


# The names in the file are older than those of the code.
class _PromiseRecord(msgspec.Struct, rename={"role": "duty", "instance_id": "life"}):
    role: str
    epoch: int
    name: str
    instance_id: int


class _PromiseFile(msgspec.Struct, rename={"voter": "elector", "lease_seconds": "lease"}):
    form: str
    voter: str
    lease_seconds: float
    promises: list[_PromiseRecord]


class PromiseStore:
    """The data directory of one lease voter, which no other process can use meanwhile.

    `promises` is what the file held when it was opened, `is_new` whether there was no file, and `lease_seconds` the
    longest time for which this voter has ever promised a role.
    """

    def __init__(self, folder: str, voter: str, lease_seconds: float) -> None:
        """Open the directory of the voter of this name.

        Raises PromiseStoreInUseError, CorruptPromiseStoreError, and OSError if the directory or its file can't be read.
        """
        self._directory = Directory(folder)
        self._voter = voter
        self._lock = None
        try:
            self._lock = self._directory.try_lock(LOCK_FILE)
            if self._lock is None:
                raise PromiseStoreInUseError
            found = self._read()
        except BaseException:
            self.close()
            raise
        self.lease_seconds = lease_seconds if found is None else max(lease_seconds, found.lease_seconds)
        self.is_new = found is None  # The voter is new, or its directory was lost.
        self.promises = (
            [] if found is None else [Promise(row.role, row.epoch, row.name, row.instance_id) for row in found.promises]
        )

    def _read(self) -> _PromiseFile | None:
        try:
            data = self._directory.read(PROMISES_FILE, MAX_FILE_BYTES)
        except FileNotFoundError:
            return None
        except ValueError as error:
            raise CorruptPromiseStoreError(str(error)) from error
        body, _, checksum = data.rpartition(b"\n")
        if sha256(body).hexdigest().encode() != checksum:
            raise CorruptPromiseStoreError("its checksum is wrong")
        try:
            found = msgspec.json.decode(body, type=_PromiseFile)
        except msgspec.DecodeError as error:
            raise CorruptPromiseStoreError(str(error)) from error
        if found.form != FORMAT:
            raise CorruptPromiseStoreError(f"its form is {found.form[:40]!r}, not {FORMAT!r}")
        if found.voter != self._voter:
            raise CorruptPromiseStoreError(f"it is that of elector {found.voter[:48]!r}")
        rows = found.promises
        if len(rows) > MAX_ROLES or any(
            not 0 <= row.epoch < EPOCH_LIMIT or not 0 < len(row.role) <= MAX_ROLE_CHARACTERS for row in rows
        ):
            raise CorruptPromiseStoreError("it promises what cannot be")
        return found

    def write(self, promises: Iterable[Promise]) -> None:
        """Replace the file. Raises OSError, after which either the former file or this one is there."""
        rows = [_PromiseRecord(p.role, p.epoch, p.name, p.instance_id) for p in promises]
        body = msgspec.json.encode(_PromiseFile(FORMAT, self._voter, self.lease_seconds, rows))
        checksum = sha256(body).hexdigest().encode()
        self._directory.write_file(TEMPORARY_FILE, body + b"\n" + checksum)
        self._directory.rename(TEMPORARY_FILE, PROMISES_FILE)
        self._directory.sync_directory()

    def close(self) -> None:
        """Release the directory."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
        self._directory.close()
