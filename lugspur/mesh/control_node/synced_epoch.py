"""The latest epoch for which it is synced to disk that the replica is complete.

Other nodes hand over their votes, and may then lose their disks, once a voter reports that it is complete. A voter
therefore reports it only after the sync: otherwise a power loss could revoke it at the same moment as it destroys the
other nodes' disks.
"""

from __future__ import annotations

from lugspur.mesh.storage.disk import Disk


class SyncedEpoch:
    """Tracks when the row of an epoch is synced, by an empty write that is queued behind it."""

    def __init__(self, disk: Disk, epoch: int) -> None:
        """`epoch` is the one that was read from the disk."""
        self._disk = disk
        self._requested_epoch = epoch
        self._failures = disk.failures
        self.epoch = epoch

    def track(self, epoch: int) -> None:
        """Track the epoch that the replica has written as complete; repeat the write if one has failed since."""
        if epoch == self._requested_epoch and self._failures == self._disk.failures:
            return
        self._requested_epoch, self._failures = epoch, self._disk.failures
        self._disk.write([], lambda: self._on_synced(epoch))

    def _on_synced(self, epoch: int) -> None:
        self.epoch = max(self.epoch, epoch)
