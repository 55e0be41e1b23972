"""What a process takes from its pool's prober, and for how long. No I/O."""

from __future__ import annotations

from lugspur.daemon.health_checks.messages import Verdict
from lugspur.daemon.leases.fencing import FencingTokenValidator

REFRESH = 1.0  # seconds between two tellings of the same, while something is down
LASTS = 4.0 * REFRESH  # after the last telling: three may be lost; then each judges for itself, as without a prober
MOST = 0.5  # of a pool's boxes that a prober's word takes out: with more down, it may be the one that is cut off


class Hearsay:
    """One pool's boxes that are said to be down."""

    def __init__(self, duty: str) -> None:
        self._duty = duty
        self._fence = FencingTokenValidator()
        self._serial = (0, -1)  # epoch and number of the latest telling
        self._until = float("-inf")
        self._down: tuple[str, ...] = ()

    def hear(self, now: float, verdict: Verdict) -> bool:
        """The prober's word; whether it counts: one of a former prober, or an older one, does not."""
        if not self._fence.accepts(self._duty, verdict.epoch) or (verdict.epoch, verdict.serial) < self._serial:
            return False
        self._serial = verdict.epoch, verdict.serial
        self._down, self._until = tuple(verdict.down), now + LASTS
        return True

    def said(self, now: float) -> tuple[str, ...]:
        """What is said to be down now."""
        return self._down if now < self._until else ()

    def due(self) -> float:
        """When it stops counting, if nothing more is heard."""
        return self._until if self._down else float("inf")

    def absent(self, now: float, listed: set[str]) -> set[str]:
        """The boxes of the list to leave out; none where that would be more than the stated part."""
        down = listed.intersection(self.said(now))
        return down if len(down) <= MOST * len(listed) else set()
