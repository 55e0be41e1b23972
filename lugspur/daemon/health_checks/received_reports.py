"""The reports that a daemon has received from a pool's health checker, and how long they are valid. No I/O."""

from __future__ import annotations

from lugspur.daemon.health_checks.messages import HealthReport
from lugspur.daemon.leases.fencing import FencingTokenValidator

#: The interval between reports without changes, while any backend is unhealthy.
REPORT_INTERVAL_SECONDS = 1.0
#: Three reports in a row may be lost. After that, each daemon decides for itself, as without a health checker.
REPORT_LIFETIME_SECONDS = 4.0 * REPORT_INTERVAL_SECONDS
#: The fraction of a pool's backends that may be excluded. A health checker that finds more of them unhealthy may be the
#: one that is partitioned.
MAX_EXCLUDED_FRACTION = 0.5


class ReceivedReports:
    """The latest health report of one pool.

    Args:
        role: The singleton role of the pool's health checker.
    """

    def __init__(self, role: str) -> None:
        self._role = role
        self._fencing = FencingTokenValidator()
        self._latest = (0, -1)  # epoch and sequence number of the latest report
        self._expires_at = float("-inf")
        self._unhealthy: tuple[str, ...] = ()

    def receive(self, now: float, report: HealthReport) -> bool:
        """Apply a report; return False if it is from a former health checker, or older than the latest one."""
        order = report.epoch, report.sequence_number
        if not self._fencing.accepts(self._role, report.epoch) or order < self._latest:
            return False
        self._latest = order
        self._unhealthy, self._expires_at = tuple(report.unhealthy), now + REPORT_LIFETIME_SECONDS
        return True

    def unhealthy(self, now: float) -> tuple[str, ...]:
        """Return the backends that are reported unhealthy now."""
        return self._unhealthy if now < self._expires_at else ()

    def due(self) -> float:
        """Return when the latest report expires, in seconds of the local clock; infinity if it names no backend."""
        return self._expires_at if self._unhealthy else float("inf")

    def excluded(self, now: float, listed: set[str]) -> set[str]:
        """Return the listed backends that get no requests: none if that would be more than half of the list."""
        unhealthy = listed.intersection(self.unhealthy(now))
        return unhealthy if len(unhealthy) <= MAX_EXCLUDED_FRACTION * len(listed) else set()
