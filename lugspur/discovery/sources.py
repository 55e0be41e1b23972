"""Sources of a pool's endpoint list: the interface, and the sources that read the configuration or a file.

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

#: Receives a complete list, or the endpoints of a list that have changed.
UpdateListener = Callable[[ListUpdateKind, list[Endpoint]], None]

POLL_INTERVAL_SECONDS = 0.2  # of a watched file: a drain has to be obeyed 500 ms after it was written
MAX_FILE_BYTES = 16 << 20  # of a watched file: some 100,000 backends


class EndpointSource(Protocol):
    """Delivers complete lists and changes of them from `open` until `close`; entries it cannot read are left out."""

    def open(self) -> None:
        """Begin to deliver."""

    def close(self) -> None:
        """Deliver nothing more."""


class StaticList:
    """The members that the configuration names; they never change."""

    def __init__(self, endpoints: list[Endpoint], on_update: UpdateListener) -> None:
        self._endpoints = endpoints
        self._on_update = on_update

    def open(self) -> None:
        """Deliver the list once."""
        self._on_update(ListUpdateKind.COMPLETE, self._endpoints)

    def close(self) -> None:
        """Nothing is left to do."""


class WatchedFile:
    """A file with a list in the form of the platform's HTTP watch, read whenever it has changed.

    A file that is missing or cannot be read changes nothing: the last good list stays, and the log says why once.
    """

    def __init__(self, path: str, reader: EndpointReader, on_update: UpdateListener) -> None:
        self._path, self._reader = path, reader
        self._on_update = on_update
        self._version: tuple[int, ...] = ()  # modification time, size and inode of what was read last
        self._problem = ""  # what was last logged
        self._timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Read the file now, and again whenever it has changed."""
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_SECONDS, self.open)
        try:
            status = os.stat(self._path)
            version = (status.st_mtime_ns, status.st_size, status.st_ino)
            if version != self._version:
                endpoints = self._read(status.st_size)
                # Only now: a file that was read half written is read again.
                self._version, self._problem = version, ""
                self._on_update(ListUpdateKind.COMPLETE, endpoints)
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            self._report(f"{error.strerror}" if isinstance(error, OSError) else f"no list: {error!r}")

    def close(self) -> None:
        """Stop looking at the file."""
        if self._timer is not None:
            self._timer.cancel()

    def _read(self, size: int) -> list[Endpoint]:
        if size > MAX_FILE_BYTES:  # Guards memory against a wrong path.
            raise ValueError(f"it holds more than {MAX_FILE_BYTES >> 20} MiB")
        with open(self._path, "rb") as file:
            return self._reader.endpoints(orjson.loads(file.read()))

    def _report(self, problem: str) -> None:
        if problem != self._problem:  # Guards the log: the same problem is met five times a second.
            self._problem = problem
            print(f"lugspur: {self._path}: {problem}; the last list stays", file=sys.stderr, flush=True)
