"""Where a pool's list comes from. A further source (a registry) is one more class with `open` and `close`."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Protocol

import orjson

from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.load_balancing.model import ListUpdateKind

Told = Callable[[ListUpdateKind, list[Endpoint]], None]
LOOK_EVERY = 0.2  # seconds between two looks at a watched file: a drain has to be obeyed 500 ms after it was told
FILE_MOST = 16 << 20  # bytes of a watched file: some 100,000 backends


class Source(Protocol):
    """Tells whole lists and changes of them, from `open` until `close`; what it can't read it leaves out."""

    def open(self) -> None:
        """Begin to tell."""

    def close(self) -> None:
        """Tell nothing more."""


class FixedList:
    """A list that never changes."""

    def __init__(self, endpoints: list[Endpoint], told: Told) -> None:
        self._endpoints = endpoints
        self._told = told

    def open(self) -> None:
        """Tell it once."""
        self._told(ListUpdateKind.COMPLETE, self._endpoints)

    def close(self) -> None:
        """Nothing is left to do."""


class WatchedFile:
    """A file with a list in the form of the HTTP watch; it is read when it has changed.

    One that is missing or can't be read changes nothing: the last good list stays, and one line says why.
    """

    def __init__(self, path: str, reader: EndpointReader, told: Told) -> None:
        self._path, self._reader = path, reader
        self._told = told
        self._seen: tuple[int, ...] = ()
        self._said = ""
        self._timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Read it now, and whenever it changes."""
        self._timer = asyncio.get_running_loop().call_later(LOOK_EVERY, self.open)
        try:
            found = os.stat(self._path)
            seen = (found.st_mtime_ns, found.st_size, found.st_ino)
            if seen != self._seen:
                endpoints = self._read(found.st_size)
                self._seen, self._said = seen, ""  # a half-written file is no news: it is read again
                self._told(ListUpdateKind.COMPLETE, endpoints)
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as fault:
            self._complain(f"{fault.strerror}" if isinstance(fault, OSError) else f"no list: {fault!r}")

    def close(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _read(self, size: int) -> list[Endpoint]:
        if size > FILE_MOST:  # Guards memory against a wrong path.
            raise ValueError(f"it holds more than {FILE_MOST >> 20} MiB")
        with open(self._path, "rb") as file:
            return self._reader.endpoints(orjson.loads(file.read()))

    def _complain(self, said: str) -> None:
        if said != self._said:  # Guards the log: the same fault is looked at five times a second.
            self._said = said
            print(f"lugspur: {self._path}: {said}; the last list stays", file=sys.stderr, flush=True)
