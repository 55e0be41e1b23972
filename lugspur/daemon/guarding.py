"""Where the guard meets the daemon: samples go to the limiter, its word to requests. It decides nothing."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

from lugspur.daemon.load_signals import LoadSignals
from lugspur.guard.limiter import WINDOW, Limiter
from lugspur.http1.front import Caller, Front
from lugspur.load_balancing.model import RequestClass
from lugspur.seams import Answerable

COST_BYTES = 16 << 10  # bytes of a body that cost as much work here as a request without one


class Guarding:
    """The guard of one daemon, from now on."""

    def __init__(self, classes: Sequence[RequestClass], memory_most: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.signals = LoadSignals(memory_most)
        self.limiter = Limiter([row.value for row in classes], self._loop.time())
        self.adopt(classes, memory_most)
        self._timer = self._loop.call_at(self.signals.next_sample_at, self._sample)

    def adopt(self, classes: Sequence[RequestClass], memory_most: int) -> None:
        """Go on by another file."""
        self.signals.memory_limit_bytes = memory_most
        self.limiter.adopt([row.value for row in classes], [row.name for row in classes])

    def admits(self, kind: int, who: str, size: int) -> bool:
        """Whether a request of that class and caller, with a body of so many bytes, is let in."""
        now = self._loop.time()
        # Guards against turns of the loop that are so long that no timer comes.
        if now >= self.signals.next_sample_at + WINDOW:
            self._take()
        signals = self.signals
        return self.limiter.admits(
            kind, hash(who), 1.0 + size / COST_BYTES, signals.waited_seconds, signals.is_new_connection
        )

    def rest(self, caller: Answerable, kind: int) -> None:
        """Hear nothing of a caller for a moment; one over HTTP/2 has others' requests on its connection as well."""
        if isinstance(caller, Caller):
            caller.rest(self.limiter.rest(kind))

    def watch(self, front: Front) -> None:
        """Feel when the bytes of its callers came, and let answers go before its new work."""
        front.came = self.signals.arrival_time
        if self.signals.selector is not None:
            front.work = self.signals.selector.caller_descriptors

    def _sample(self) -> None:
        self._take()
        self._timer = self._loop.call_at(self.signals.next_sample_at, self._sample)

    def _take(self) -> None:
        line = self.limiter.sample(self._loop.time(), self.signals.sample())
        if line is not None:
            print(f"lugspur: guard: {line}", file=sys.stderr, flush=True)

    def close(self) -> None:
        """Feel nothing any more."""
        self._timer.cancel()
        if self.signals.selector is not None:
            self.signals.selector.caller_descriptors.clear()
