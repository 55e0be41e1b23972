"""The lease of fleets in tests, by the speed of the disk on which their voters save promises."""

from __future__ import annotations

import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from time import monotonic

from lugspur.daemon.leases.timing import ROUND_TIMEOUT_FRACTION

MIN_LEASE_SECONDS = 2.0
VOTERS = 3  # they share the disk, and save at the same time
SAVES = 3  # measured saves of each voter, of which the slowest counts
SAVES_PER_ROUND = 2  # a round that begins while a promise to another candidate is saved waits for both


def lease_seconds(folder: Path) -> float:
    """Return a lease whose rounds don't time out while voters save promises, each of which takes two syncs.

    Otherwise the verdict of a test would depend on the disk: candidates whose rounds all time out elect nobody.
    """
    with ThreadPoolExecutor(VOTERS) as voters:
        slowest = max(voters.map(_slowest_save, [folder / f"speed-{number}" for number in range(VOTERS)]))
    return max(MIN_LEASE_SECONDS, SAVES_PER_ROUND * slowest / ROUND_TIMEOUT_FRACTION)


def _slowest_save(path: Path) -> float:
    return max(_save(path) for _ in range(SAVES))


def _save(path: Path) -> float:
    """Save a small file as promises are saved; return the seconds that it took."""
    began = monotonic()
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_TRUNC)
    os.write(descriptor, b"promise")
    os.fsync(descriptor)
    os.close(descriptor)
    folder = os.open(path.parent, os.O_RDONLY)
    os.rename(path, path.with_suffix(".saved"))
    os.fsync(folder)
    os.close(folder)
    return monotonic() - began
