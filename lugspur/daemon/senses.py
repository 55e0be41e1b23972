"""What the proxy feels of its own state: turns of its loop, CPU not got, memory. Nothing is decided here."""

from __future__ import annotations

import asyncio
import os
import selectors
import socket
import struct
import time
from pathlib import Path
from typing import Any

from lugspur.guard.limiter import WINDOW, Sample

MEMORY_EVERY = 0.5  # seconds between two looks at the memory: each reads a file of the kernel's
LATE = 0.005  # seconds of possible wait from which the kernel is asked how long the bytes really lay there
TCP_INFO_SIZE = 60  # bytes of struct tcp_info (linux/tcp.h) up to and with tcpi_last_data_recv...
LAST_DATA_RECV = 52  # ...which is an u32 at this place: milliseconds since data came (tcp(7))


WAITED = 1e-4  # seconds in the selector from which its events are news, not a queue


class Watching(selectors.DefaultSelector):
    """A selector that notes when it looked and what it saw, and shows answers before new work."""

    def __init__(self) -> None:
        super().__init__()
        self.work: set[int] = set()  # descriptors of callers
        self.seen = time.monotonic()  # when bytes that are handled now had not come yet, at the earliest
        self._returned = self.seen
        self.slept = 0.0  # seconds in which it had nothing to show, ever

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait, and put what backends say first: what was taken is answered before more is taken."""
        called = time.monotonic()
        events = super().select(timeout)
        now = time.monotonic()
        # Where it did not have to wait, what it shows may have come any time since it was last asked.
        self.seen = now if now - called > WAITED else self._returned
        self.slept += now - called
        self._returned = now
        if len(events) > 1 and self.work:
            work = self.work
            events.sort(key=lambda event: event[0].fd in work)
        return events


def _ago(transport: asyncio.Transport) -> float:
    """Seconds since a connection's latest bytes came to the kernel; 0 where that can't be known."""
    sock: Any = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (ago,) = struct.unpack_from("=I", info, LAST_DATA_RECV)
    except (AttributeError, OSError, struct.error):  # no TCP, or another system's form
        return 0.0
    return float(ago) / 1e3


class WatchedLoop(asyncio.SelectorEventLoop):
    """A loop whose turns can be felt."""

    def __init__(self) -> None:
        self.watching = Watching()
        super().__init__(self.watching)


class Senses:
    """Samples of this process; costs two clocks a turn of the loop and a few more a window."""

    def __init__(self, memory_most: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.watching = self._loop.watching if isinstance(self._loop, WatchedLoop) else None
        self.memory_most = memory_most  # bytes; 0: no limit is told
        self._due = self._loop.time() + WINDOW
        self._late = 0.0  # how late the last sample came
        self._cpu, self._wall = time.process_time(), self._loop.time()
        self._memory, self._memory_at = 0.0, float("-inf")
        self._slept = 0.0 if self.watching is None else self.watching.slept
        self._page = os.sysconf("SC_PAGE_SIZE")
        self.waited = 0.0  # seconds that what is handled now has waited for this process...
        self.newcomer = False  # ...and whether it is the first of its connection

    def came(self, now: float, transport: asyncio.Transport, newcomer: bool) -> float:
        """When the bytes that are handled now came to the kernel, as far as that can be known.

        A newcomer's may have lain there for as long as its connection was not accepted, whatever the loop did.
        """
        most = self._late if self.watching is None else now - self.watching.seen
        self.newcomer, self.waited = newcomer, 0.0
        if newcomer or most >= LATE:
            ago = _ago(transport)
            self.waited = ago if newcomer else min(ago, most)
        return now - self.waited

    def sample(self) -> Sample:
        """The state now; call once a window, as near to `due` as the loop can."""
        now, cpu = self._loop.time(), time.process_time()
        self._late = max(0.0, now - self._due)
        wall, used = max(now - self._wall, 1e-9), cpu - self._cpu
        # Asleep it wants nothing: only the time by which the sample is late was surely wanted and not got.
        starved = max(0.0, min(1.0, (self._late - used) / wall)) if self._late > used else 0.0
        self._cpu, self._wall, self._due = cpu, now, now + WINDOW
        return Sample(self._late, starved, self._held(now), self._idle(wall))

    def _idle(self, wall: float) -> float:
        """The part of that time in which there was nothing to do; all of it where that is not felt."""
        if self.watching is None:
            return 1.0
        before, self._slept = self._slept, self.watching.slept
        return min(1.0, (self._slept - before) / wall)

    def _held(self, now: float) -> float:
        if not self.memory_most:
            return 0.0
        if now - self._memory_at >= MEMORY_EVERY:
            self._memory_at = now
            try:
                pages = int(Path("/proc/self/statm").read_bytes().split()[1])
            except (OSError, ValueError, IndexError):  # another system: what can't be felt is no reason
                pages = 0
            self._memory = pages * self._page / self.memory_most
        return self._memory

    @property
    def due(self) -> float:
        """When the next sample should be taken, in the loop's time."""
        return self._due
