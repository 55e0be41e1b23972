"""Load signals of this process: delays of its event loop, CPU time that it lacked, and memory use."""

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

MEMORY_READ_INTERVAL_SECONDS = 0.5  # each read opens a file of /proc
MIN_KERNEL_QUERY_WAIT_SECONDS = 0.005  # from this possible wait on, the kernel is asked when the bytes arrived
TCP_INFO_BYTES = 60  # of struct tcp_info (linux/tcp.h), up to and including tcpi_last_data_recv
LAST_DATA_RECV_OFFSET = 52  # of tcpi_last_data_recv, a u32: milliseconds since data arrived (tcp(7))
MIN_BLOCKED_SECONDS = 1e-4  # if the selector waited this long, its events have just arrived and were not queued


class TimedSelector(selectors.DefaultSelector):
    """A selector that records when it was polled, and returns events of backends before those of callers."""

    def __init__(self) -> None:
        super().__init__()
        self.caller_descriptors: set[int] = set()  # the sockets of callers
        self.earliest_arrival = time.monotonic()  # bytes handled now did not arrive before this time
        self._returned = self.earliest_arrival
        self.idle_seconds = 0.0  # time that it waited for events, since the start

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and return backends' first: open requests are answered before more are accepted."""
        called = time.monotonic()
        events = super().select(timeout)
        now = time.monotonic()
        # Without a wait, the bytes may have arrived at any time since the last poll.
        self.earliest_arrival = now if now - called > MIN_BLOCKED_SECONDS else self._returned
        self.idle_seconds += now - called
        self._returned = now
        if len(events) > 1 and self.caller_descriptors:
            caller_descriptors = self.caller_descriptors
            events.sort(key=lambda event: event[0].fd in caller_descriptors)
        return events


def _seconds_since_data(transport: asyncio.Transport) -> float:
    """Return seconds since the kernel received a connection's latest bytes; 0 where that is unknown."""
    sock: Any = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (seconds_ago,) = struct.unpack_from("=I", info, LAST_DATA_RECV_OFFSET)
    except (AttributeError, OSError, struct.error):  # not a TCP socket, or another operating system
        return 0.0
    return float(seconds_ago) / 1e3


class TimedEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose waits and delays can be measured."""

    def __init__(self) -> None:
        self.selector = TimedSelector()
        super().__init__(self.selector)


class LoadSignals:
    """Takes samples of this process; costs two clock reads each turn of the loop and a few more each window."""

    def __init__(self, memory_limit_bytes: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.selector = self._loop.selector if isinstance(self._loop, TimedEventLoop) else None
        self.memory_limit_bytes = memory_limit_bytes  # 0: no limit is configured
        self._next_sample_at = self._loop.time() + WINDOW
        self._sample_delay = 0.0  # seconds by which the last sample was late
        self._last_cpu_time, self._last_sample_at = time.process_time(), self._loop.time()
        self._last_memory_share, self._memory_read_at = 0.0, float("-inf")
        self._last_idle_seconds = 0.0 if self.selector is None else self.selector.idle_seconds
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self.waited_seconds = 0.0  # time that the request handled now waited for this process
        self.is_new_connection = False  # whether the request handled now is the first of its connection

    def arrival_time(self, now: float, transport: asyncio.Transport, is_new_connection: bool) -> float:
        """Return when the kernel received the bytes that are handled now, as far as that can be determined.

        Bytes of a new connection may have waited until it was accepted, however short the turns of the loop were.
        """
        max_wait = self._sample_delay if self.selector is None else now - self.selector.earliest_arrival
        self.is_new_connection, self.waited_seconds = is_new_connection, 0.0
        if is_new_connection or max_wait >= MIN_KERNEL_QUERY_WAIT_SECONDS:
            seconds_ago = _seconds_since_data(transport)
            self.waited_seconds = seconds_ago if is_new_connection else min(seconds_ago, max_wait)
        return now - self.waited_seconds

    def sample(self) -> Sample:
        """Return the state now; call once a window, as near to `next_sample_at` as the loop allows."""
        now, cpu = self._loop.time(), time.process_time()
        self._sample_delay = max(0.0, now - self._next_sample_at)
        wall, used = max(now - self._last_sample_at, 1e-9), cpu - self._last_cpu_time
        # A sleeping process needs no CPU: only the sample's delay is time that was surely needed and not given.
        starved = max(0.0, min(1.0, (self._sample_delay - used) / wall)) if self._sample_delay > used else 0.0
        self._last_cpu_time, self._last_sample_at, self._next_sample_at = cpu, now, now + WINDOW
        return Sample(self._sample_delay, starved, self._memory_share(now), self._idle_share(wall))

    def _idle_share(self, wall: float) -> float:
        """Return the share of that time in which there was nothing to do; 1.0 where that is not measured."""
        if self.selector is None:
            return 1.0
        before, self._last_idle_seconds = self._last_idle_seconds, self.selector.idle_seconds
        return min(1.0, (self._last_idle_seconds - before) / wall)

    def _memory_share(self, now: float) -> float:
        if not self.memory_limit_bytes:
            return 0.0
        if now - self._memory_read_at >= MEMORY_READ_INTERVAL_SECONDS:
            self._memory_read_at = now
            try:
                pages = int(Path("/proc/self/statm").read_bytes().split()[1])
            except (OSError, ValueError, IndexError):  # not Linux: unknown memory use must not limit requests
                pages = 0
            self._last_memory_share = pages * self._page_bytes / self.memory_limit_bytes
        return self._last_memory_share

    @property
    def next_sample_at(self) -> float:
        """Return when the next sample should be taken, in the loop's time."""
        return self._next_sample_at
