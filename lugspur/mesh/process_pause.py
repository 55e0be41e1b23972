"""Detects pauses of this process (suspended, or starved of CPU), after which its state may be out of date."""

from __future__ import annotations

from lugspur.mesh import events

PAUSE_THRESHOLD_SECONDS = 1.0  # a longer gap between two ticks means that the process did not run in between
REJECT_AFTER_PAUSE_SECONDS = 0.5  # calls received within this time after a pause may have waited for its duration


class PauseDetector:
    """Compares the times of successive ticks of the event loop.

    All times are those of the loop's monotonic clock, in seconds.
    """

    def __init__(self) -> None:
        self._last_tick_at = float("-inf")
        self.resumed_at = float("-inf")  # when the latest pause ended
        self.pauses = 0  # since the start of the process

    def tick(self, now: float) -> None:
        """Record that the process runs, and log a pause if the previous tick was too long ago."""
        if now - self._last_tick_at > PAUSE_THRESHOLD_SECONDS and self._last_tick_at > float("-inf"):
            self.resumed_at = now
            self.pauses += 1
            events.warn("woken", after=now - self._last_tick_at)
        self._last_tick_at = now

    def is_stale(self, now: float) -> bool:
        """Return whether the process is paused or has resumed only a moment ago; also true before the first tick."""
        return now - self._last_tick_at > PAUSE_THRESHOLD_SECONDS or now - self.resumed_at < REJECT_AFTER_PAUSE_SECONDS
