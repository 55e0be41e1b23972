"""How a control node comes by its state at the start: from its disk, as a voter of the first membership, or anew."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import Entry, Voter
from lugspur.mesh.control.replica import GENESIS, Replica
from lugspur.mesh.control.store import EntryKey
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.state import MAX_STATE_BYTES
from lugspur.mesh.settings import Settings
from lugspur.mesh.storage.disk import COORDINATION_AREA, Disk

DISK_BYTES_PER_STATE_BYTE = 4  # rows have keys, lmdb copies what it writes, and locks take room too

StoredRows = list[tuple[bytes, bytes]]
Publish = Callable[
    [list[Entry], list[EntryKey]], None
]  # is given entries that were decided, and names that are forgotten


@dataclass(slots=True, frozen=True)
class RestoredState:
    """What a control node knows when it starts."""

    replica: Replica
    coordination: CoordinationAcceptor


@dataclass(slots=True, frozen=True)
class ControlNodeDisk:
    """The environments on one disk. What is promised in one rests on the other: they are kept or set aside together."""

    configuration: Disk
    coordination: Disk

    def read_rows(self) -> DiskRows:
        """All rows, none where any can't be used; raises MeshError (STATE) where the disk fails."""
        rows = DiskRows(self.configuration.read_rows(), self.coordination.read_rows())
        damage = self.configuration.damage or self.coordination.damage or self._missing_part(rows)
        if damage:
            self.set_aside(damage)
            return DiskRows([], [])
        return rows

    def _missing_part(self, rows: DiskRows) -> str:
        """What was lost, where one environment is empty and the other is not; empty: nothing."""
        if rows.coordination and not rows.configuration:
            return "the configuration beside it is gone"
        if rows.configuration and not rows.coordination and self.coordination.has_damaged_copy:
            # Guards against an end between the two: a disk of a build without coordination looks alike.
            return "coordination was set aside alone"
        return ""

    def set_aside(self, reason: str) -> None:
        """Keep what is on disk under other names, and go on with an empty one; raises MeshError (STATE)."""
        for part in (self.configuration, self.coordination):
            if not part.damage:
                part.set_aside(reason)

    def start(self) -> None:
        """Start to write."""
        self.configuration.start()
        self.coordination.start()

    def close(self, timeout: float) -> None:
        """Write what is pending, then close; gives up after `timeout` seconds for each where the disk hangs."""
        self.configuration.close(timeout)
        self.coordination.close(timeout)


@dataclass(slots=True, frozen=True)
class DiskRows:
    """The rows of both environments."""

    configuration: StoredRows
    coordination: StoredRows


def open_disk(settings: Settings) -> ControlNodeDisk:
    """Open a control node's disk; raises MeshError (STATE)."""
    data_dir, disk_mb = settings.own.data_dir, settings.own.limits.disk_mb
    return ControlNodeDisk(Disk(data_dir, disk_mb), Disk(data_dir, disk_mb, COORDINATION_AREA))


def restore_state(
    settings: Settings, disk: ControlNodeDisk, rows: DiskRows, now: float, publish: Publish
) -> RestoredState:
    """The state that the rows of a disk describe, or a newcomer's where they can't be used.

    In the latter case the disk is set aside; raises MeshError (STATE) where that fails.
    """
    own, bounds = settings.own, settings.tariffs.bounds
    for found in (rows, DiskRows([], [])):
        uid, memory_bytes = os.urandom(8).hex(), own.limits.memory_mb << 20
        replica = Replica(own.ip, uid, own.zone, bounds.stamp_window_s, memory_bytes, publish)
        max_state_bytes = min(MAX_STATE_BYTES, disk.coordination.max_bytes // DISK_BYTES_PER_STATE_BYTE)
        coordination = CoordinationAcceptor(replica, bounds.history_s, max_state_bytes)
        is_without_coordination = bool(found.configuration) and not found.coordination
        try:
            coordination.restore(found.coordination, now, is_without_coordination=is_without_coordination)
            replica.restore(found.configuration, now)
            break
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as fault:
            disk.set_aside(str(fault))
    return RestoredState(replica, coordination)


def is_first_voter(settings: Settings, disk: Disk) -> bool:
    """Whether a process without state votes from the start, as the seeds do at the very first start of the mesh.

    Where state was set aside it does not: what was promised by it is gone.
    """
    own = settings.own
    return own.first_start and own.ip in settings.seeds and not disk.damage


def begin_as_first_voter(settings: Settings, replica: Replica, now: float) -> Effects:
    """Take up the first membership, in which the seeds vote whatever their disks are called."""
    replica.voter = Voter(settings.own.ip, GENESIS, settings.own.zone)
    return replica.bootstrap(now, [Voter(ip, GENESIS, "") for ip in settings.seeds])
