"""Notice that this process has stood still: what it holds to be current may be old when it runs again."""

from __future__ import annotations

from lugspur.mesh import events

FROZEN = 1.0  # seconds between two looks after which this process has not run in between
WOKEN = 0.5  # seconds after that in which calls are turned away: they may have waited for as long as it stood still


class StallDetector:
    """Compares the times of successive looks."""

    def __init__(self) -> None:
        self._looked_at = float("-inf")
        self.woken_at = float("-inf")  # when the process ran again after it had stood still
        self.stalls = 0  # how often it has

    def look(self, now: float) -> None:
        """This process runs, and looks at what is due."""
        if now - self._looked_at > FROZEN and self._looked_at > float("-inf"):
            self.woken_at = now
            self.stalls += 1
            events.warn("woken", after=now - self._looked_at)
        self._looked_at = now

    def stalled(self, now: float) -> bool:
        """Whether it stands still or has done so a moment ago; true as well before the first look."""
        return now - self._looked_at > FROZEN or now - self.woken_at < WOKEN
