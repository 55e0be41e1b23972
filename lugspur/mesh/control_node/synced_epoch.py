"""The latest epoch in which a disk is known to say that its replica is complete.

Others give votes away, and may lose their disks, once a voter says that it is complete. It says so when that has been
synced: else a loss of power takes it back, at the same moment as their disks.
"""

from __future__ import annotations

from lugspur.mesh.storage.disk import Disk


class SyncedEpoch:
    """Follows an epoch that is written with other rows, by a write behind them."""

    def __init__(self, disk: Disk, epoch: int) -> None:
        """`epoch`: as it was read from the disk."""
        self._disk = disk
        self._asked_epoch = epoch
        self._failures = disk.failures
        self.epoch = epoch

    def follow(self, epoch: int) -> None:
        """The replica is complete in an epoch, and has written so; ask again where a write has failed since."""
        if epoch == self._asked_epoch and self._failures == self._disk.failures:
            return
        self._asked_epoch, self._failures = epoch, self._disk.failures
        self._disk.write([], lambda: self._synced(epoch))

    def _synced(self, epoch: int) -> None:
        self.epoch = max(self.epoch, epoch)
