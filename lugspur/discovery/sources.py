"""Sources of a pool's endpoint list: the interface, and the sources that use the configuration or a file.

The other sources are `platform_watch.PlatformWatch` and `registry_source.RegistrySource`.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Protocol

import orjson

from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.load_balancing.model import ListUpdateKind

#: Called with a complete list, or with the changed endpoints of a list.
UpdateListener = Callable[[ListUpdateKind, list[Endpoint]], None]

#: Seconds between two checks of a watched file; a drain has to take effect 500 ms after it was written.
POLL_INTERVAL_SECONDS = 0.2
MAX_FILE_BYTES = 16 << 20  # size limit of a watched file; 16 MiB hold some 100,000 backends


class EndpointSource(Protocol):
    """Delivers complete lists and changes of them from `open` until `close`, without entries that it cannot read."""

    def open(self) -> None:
        """Start to deliver updates."""

    def close(self) -> None:
        """Stop delivering updates."""


class StaticList:
    """The members of a pool in the configuration; they never change."""

    def __init__(self, endpoints: list[Endpoint], on_update: UpdateListener) -> None:
        self._endpoints = endpoints
        self._on_update = on_update

    def open(self) -> None:
        """Deliver the list once."""
        self._on_update(ListUpdateKind.COMPLETE, self._endpoints)

    def close(self) -> None:
        """Do nothing: there are no further updates."""


class WatchedFile:
    """A file with a list in the format of the platform's HTTP watch, read whenever it has changed.

    If the file is missing or cannot be read, the last valid list stays, and the reason is logged once.
    """

    def __init__(self, path: str, reader: EndpointReader, on_update: UpdateListener) -> None:
        self._path, self._reader = path, reader
        self._on_update = on_update
        self._version: tuple[int, ...] = ()  # modification time, size and inode of the file as it was last read
        self._problem = ""  # the problem that was last logged
        self._timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Read the file now, and again whenever it has changed."""
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_SECONDS, self.open)
        try:
            status = os.stat(self._path)
            version = (status.st_mtime_ns, status.st_size, status.st_ino)
            if version != self._version:
                endpoints = self._read(status.st_size)
                # Set after the file was parsed, so that a file that was only half written is read again.
                self._version, self._problem = version, ""
                self._on_update(ListUpdateKind.COMPLETE, endpoints)
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            self._report(
                f"{error.strerror}" if isinstance(error, OSError) else f"it is not a valid endpoint list: {error!r}"
            )

    def close(self) -> None:
        """Stop checking the file."""
        if self._timer is not None:
            self._timer.cancel()

    def _read(self, size: int) -> list[Endpoint]:
        if size > MAX_FILE_BYTES:  # limits the memory that a file under a wrong path takes
            raise ValueError(f"it holds more than {MAX_FILE_BYTES >> 20} MiB")
        with open(self._path, "rb") as file:
            return self._reader.endpoints(orjson.loads(file.read()))

    def _report(self, problem: str) -> None:
        if problem != self._problem:  # a lasting problem occurs five times a second; it is logged once
            self._problem = problem
            print(f"lugspur: {self._path}: {problem}; the last list stays", file=sys.stderr, flush=True)
