"""A virtual clock: runs scheduled callbacks in order of time, without waiting in real time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Clock:
    """Callbacks by their times in seconds; callbacks of the same time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a time, or for now if that time has passed."""
        self._scheduled_count += 1
        heapq.heappush(self._callbacks, (max(when, self.now), self._scheduled_count, callback))

    def run(self) -> None:
        """Run until no callback is left."""
        while self._callbacks:
            self.now, _, callback = heapq.heappop(self._callbacks)
            callback()

    def run_until(self, when: float) -> None:
        """Run all callbacks up to a time, then advance the clock to it."""
        while self._callbacks and self._callbacks[0][0] <= when:
            self.now, _, callback = heapq.heappop(self._callbacks)
            callback()
        self.now = max(self.now, when)
