"""The clock that leases and the fleet go by: it never steps, and counts the time in which the machine is suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Seconds (clock_gettime(2), CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
