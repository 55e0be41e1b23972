"""Virtual time: what is due next happens next, and nothing waits."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Clock:
    """Events by their times, in seconds; those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, when: float, what: Callable[[], None]) -> None:
        """Let it happen then, or now if that has passed."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, what))

    def run(self) -> None:
        """Until nothing is left to happen."""
        while self._events:
            self.now, _, what = heapq.heappop(self._events)
            what()

    def run_until(self, when: float) -> None:
        """Until nothing is left to happen before then."""
        while self._events and self._events[0][0] <= when:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = max(self.now, when)
