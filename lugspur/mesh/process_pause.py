"""Detects that this process was paused (suspended, or starved of CPU): what it believed may be out of date."""

from __future__ import annotations

from lugspur.mesh import events

PAUSE_THRESHOLD_SECONDS = 1.0  # a gap between two ticks that is longer means that the process did not run in between
REJECT_AFTER_PAUSE_SECONDS = 0.5  # calls that arrive so soon after a pause may have waited for as long as it lasted


class PauseDetector:
    """Compares the times of successive ticks of the event loop.

    All times are those of the loop's steady clock, in seconds.
    """

    def __init__(self) -> None:
        self._last_tick_at = float("-inf")
        self.resumed_at = float("-inf")  # when the process ran again after its latest pause
        self.pauses = 0  # since the start of the process

    def tick(self, now: float) -> None:
        """Record that the process runs, and log a pause where the previous tick was too long ago."""
        if now - self._last_tick_at > PAUSE_THRESHOLD_SECONDS and self._last_tick_at > float("-inf"):
            self.resumed_at = now
            self.pauses += 1
            events.warn("woken", after=now - self._last_tick_at)
        self._last_tick_at = now

    def is_stale(self, now: float) -> bool:
        """Whether the process is in a pause or has resumed only a moment ago; also true before the first tick."""
        return now - self._last_tick_at > PAUSE_THRESHOLD_SECONDS or now - self.resumed_at < REJECT_AFTER_PAUSE_SECONDS
