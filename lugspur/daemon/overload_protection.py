"""Overload protection of the daemon: passes load samples to the limiter, and its decisions to requests."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

from lugspur.daemon.load_signals import LoadSignals
from lugspur.guard.limiter import WINDOW, Limiter
from lugspur.http1.front import Caller, Front
from lugspur.interfaces import Responder
from lugspur.load_balancing.model import RequestClass

BODY_BYTES_PER_REQUEST_COST = 16 << 10  # a body of this size costs as much work as a request without one


class OverloadProtection:
    """Rejects the least valuable requests while CPU or memory is short; takes samples from its creation on."""

    def __init__(self, classes: Sequence[RequestClass], memory_limit_bytes: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.signals = LoadSignals(memory_limit_bytes)
        self.limiter = Limiter([row.value for row in classes], self._loop.time())
        self.change_classes(classes, memory_limit_bytes)
        self._timer = self._loop.call_at(self.signals.next_sample_at, self._sample)

    def change_classes(self, classes: Sequence[RequestClass], memory_limit_bytes: int) -> None:
        """Put the classes and the memory limit of a reloaded file into force."""
        self.signals.memory_limit_bytes = memory_limit_bytes
        self.limiter.change_classes([row.value for row in classes], [row.name for row in classes])

    def admits(self, class_index: int, caller: str, body_bytes: int) -> bool:
        """Return whether a request of that class and caller, with a body of that size, is admitted."""
        now = self._loop.time()
        # The sample timer is late if a turn of the event loop takes too long.
        if now >= self.signals.next_sample_at + WINDOW:
            self._sample_now()
        signals = self.signals
        return self.limiter.admits(
            class_index,
            hash(caller),
            1.0 + body_bytes / BODY_BYTES_PER_REQUEST_COST,
            signals.waited_seconds,
            signals.is_new_connection,
        )

    def pause_reading(self, caller: Responder, class_index: int) -> None:
        """Stop reading from a rejected caller for a moment, unless it is one of several requests over HTTP/2."""
        if isinstance(caller, Caller):
            caller.defer_input(self.limiter.read_pause_seconds(class_index))

    def attach(self, front: Front) -> None:
        """Measure when the bytes of the front's callers arrived, and handle responses before their new requests."""
        front.arrival_time = self.signals.arrival_time
        if self.signals.selector is not None:
            front.descriptors = self.signals.selector.caller_descriptors

    def _sample(self) -> None:
        self._sample_now()
        self._timer = self._loop.call_at(self.signals.next_sample_at, self._sample)

    def _sample_now(self) -> None:
        line = self.limiter.sample(self._loop.time(), self.signals.sample())
        if line is not None:
            print(f"lugspur: guard: {line}", file=sys.stderr, flush=True)

    def close(self) -> None:
        """Stop sampling."""
        self._timer.cancel()
        if self.signals.selector is not None:
            self.signals.selector.caller_descriptors.clear()
