"""The clock of gossip and leases: it never steps, and it counts the time in which the machine is suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds since the machine booted (clock_gettime(2), CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
