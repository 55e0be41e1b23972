"""The clock of gossip and leases, which never steps and keeps counting while the machine is suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds since the machine booted (clock_gettime(2), CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
