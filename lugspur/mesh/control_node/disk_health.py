"""For how long a machine's disk has refused writes."""

from __future__ import annotations

from lugspur.mesh.storage.disk import Disk

DISK_FAILURE_SECONDS = 1.0  # for which a disk may refuse writes until its vote goes to another one


class DiskHealth:
    """Looks at the environments on a disk from time to time; times are those of the loop's steady clock."""

    def __init__(self, *environments: Disk) -> None:
        self._environments = environments
        self._failing_since: float | None = None

    def check(self, now: float) -> None:
        """Record whether the latest write has failed."""
        if not any(environment.fault for environment in self._environments):
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now

    def is_failing(self, now: float) -> bool:
        """Whether the disk has refused writes for so long that its vote is to go to another one."""
        return self._failing_since is not None and now - self._failing_since > DISK_FAILURE_SECONDS
