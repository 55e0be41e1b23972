"""The file in which a lease voter stores its promises.

The file is replaced as a whole and synced before any of its promises is sent. All methods block, so a process that
serves requests has to call them in a thread.
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
MAX_FILE_BYTES = 1 << 20  # The maximum of 512 promises, of about 200 bytes each, takes a tenth of it.


class PromiseStoreInUseError(Exception):
    """Another process uses this directory for its promises."""


class CorruptPromiseStoreError(Exception):
    """The file is not one that this voter wrote, so the voter cannot know what it has promised."""


# The file format predates the names in the code, so its field names differ.
class _PromiseRecord(msgspec.Struct, rename={"role": "duty", "instance_id": "life"}):
    role: str
    epoch: int
    name: str
    instance_id: int


class _PromiseFile(msgspec.Struct, rename={"format": "form", "voter": "elector", "lease_seconds": "lease"}):
    format: str
    voter: str
    lease_seconds: float
    promises: list[_PromiseRecord]


class PromiseStore:
    """The data directory of one lease voter, locked against other processes.

    `promises` are those in the file when it was opened, `is_new` is whether there was no file, and `lease_seconds` is
    the longest time for which this voter has ever promised a role.
    """

    def __init__(self, folder: str, voter: str, lease_seconds: float) -> None:
        """Open the directory of the voter with this name.

        Raises PromiseStoreInUseError, CorruptPromiseStoreError, and OSError if the directory or its file can't be read.
        """
        self._directory = Directory(folder)
        self._voter = voter
        self._lock = None
        try:
            self._lock = self._directory.try_lock(LOCK_FILE)
            if self._lock is None:
                raise PromiseStoreInUseError
            content = self._read()
        except BaseException:
            self.close()
            raise
        self.lease_seconds = lease_seconds if content is None else max(lease_seconds, content.lease_seconds)
        self.is_new = content is None  # The voter is new, or has lost its directory.
        self.promises = (
            [] if content is None else [Promise(p.role, p.epoch, p.name, p.instance_id) for p in content.promises]
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
            content = msgspec.json.decode(body, type=_PromiseFile)
        except msgspec.DecodeError as error:
            raise CorruptPromiseStoreError(str(error)) from error
        if content.format != FORMAT:
            raise CorruptPromiseStoreError(f"its format is {content.format[:40]!r}, not {FORMAT!r}")
        if content.voter != self._voter:
            raise CorruptPromiseStoreError(f"it is that of elector {content.voter[:48]!r}")
        records = content.promises
        if len(records) > MAX_ROLES or any(
            not 0 <= record.epoch < EPOCH_LIMIT or not 0 < len(record.role) <= MAX_ROLE_CHARACTERS for record in records
        ):
            raise CorruptPromiseStoreError("it contains promises that are out of bounds")
        return content

    def write(self, promises: Iterable[Promise]) -> None:
        """Replace the file.

        Raises OSError, after which the directory contains either the former file or the new one.
        """
        records = [_PromiseRecord(p.role, p.epoch, p.name, p.instance_id) for p in promises]
        body = msgspec.json.encode(_PromiseFile(FORMAT, self._voter, self.lease_seconds, records))
        checksum = sha256(body).hexdigest().encode()
        self._directory.write_file(TEMPORARY_FILE, body + b"\n" + checksum)
        self._directory.rename(TEMPORARY_FILE, PROMISES_FILE)
        self._directory.sync_directory()

    def close(self) -> None:
        """Unlock and close the directory."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
        self._directory.close()
