"""Measures for how long a control node's disk has failed to write."""

from __future__ import annotations

from lugspur.mesh.storage.disk import Disk

DISK_FAILURE_SECONDS = 1.0  # time for which writes may fail until the disk's vote goes to another disk


class DiskHealth:
    """Checks the environments on a disk periodically; times are those of the loop's steady clock."""

    def __init__(self, *environments: Disk) -> None:
        self._environments = environments
        self._failing_since: float | None = None

    def check(self, now: float) -> None:
        """Record whether the latest write to any environment has failed."""
        if not any(environment.fault for environment in self._environments):
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now

    def is_failing(self, now: float) -> bool:
        """Whether writes have failed for so long that the disk's vote should go to another disk."""
        return self._failing_since is not None and now - self._failing_since > DISK_FAILURE_SECONDS
