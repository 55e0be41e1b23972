"""How a control node gets its state at the start: from its disk, as a voter of the first membership, or empty."""

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

DISK_BYTES_PER_STATE_BYTE = 4  # rows have keys, lmdb copies the pages it writes, and locks need space too

StoredRows = list[tuple[bytes, bytes]]
#: Receives the entries that were decided, and the keys of entries that were removed.
Publish = Callable[[list[Entry], list[EntryKey]], None]


@dataclass(slots=True, frozen=True)
class RestoredState:
    """The state with which a control node starts."""

    replica: Replica
    coordination: CoordinationAcceptor


@dataclass(slots=True, frozen=True)
class ControlNodeDisk:
    """The lmdb environments on one disk.

    Promises in one of them depend on the other, so both are either kept or set aside.
    """

    configuration: Disk
    coordination: Disk

    def read_rows(self) -> DiskRows:
        """Return all rows, or none if any of them can't be used; raises MeshError (STATE) if the disk fails."""
        rows = DiskRows(self.configuration.read_rows(), self.coordination.read_rows())
        damage = self.configuration.damage or self.coordination.damage or self._missing_part(rows)
        if damage:
            self.set_aside(damage)
            return DiskRows([], [])
        return rows

    def _missing_part(self, rows: DiskRows) -> str:
        """Return what was lost if one environment is empty and the other is not, or an empty string."""
        if rows.coordination and not rows.configuration:
            return "the configuration that belongs to it is missing"
        if rows.configuration and not rows.coordination and self.coordination.has_damaged_copy:
            # Guards against a process that ended between setting aside the two environments. The rows alone look like
            # those of a build without coordination.
            return "only coordination was set aside"
        return ""

    def set_aside(self, reason: str) -> None:
        """Keep both environments under other names, and continue with empty ones; raises MeshError (STATE)."""
        for part in (self.configuration, self.coordination):
            if not part.damage:
                part.set_aside(reason)

    def start(self) -> None:
        """Start the writers of both environments."""
        self.configuration.start()
        self.coordination.start()

    def close(self, timeout: float) -> None:
        """Write pending rows and close; waits at most `timeout` seconds for each environment if the disk hangs."""
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
    """Return the state that the rows of a disk describe, or an empty state if they can't be used.

    In the latter case the disk is set aside; raises MeshError (STATE) if that fails.
    """
    own, bounds = settings.own, settings.tariffs.bounds
    for candidate in (rows, DiskRows([], [])):
        uid, memory_bytes = os.urandom(8).hex(), own.limits.memory_mb << 20
        replica = Replica(own.ip, uid, own.zone, bounds.stamp_window_s, memory_bytes, publish)
        max_state_bytes = min(MAX_STATE_BYTES, disk.coordination.max_bytes // DISK_BYTES_PER_STATE_BYTE)
        coordination = CoordinationAcceptor(replica, bounds.history_s, max_state_bytes)
        predates_coordination = bool(candidate.configuration) and not candidate.coordination
        try:
            coordination.restore(candidate.coordination, now, predates_coordination=predates_coordination)
            replica.restore(candidate.configuration, now)
            break
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
            disk.set_aside(str(error))
    return RestoredState(replica, coordination)


def is_first_voter(settings: Settings, disk: Disk) -> bool:
    """Whether a process without state votes from the start, as the seeds do at the very first start of the mesh.

    It does not if state was set aside, as the promises in that state are lost.
    """
    own = settings.own
    return own.first_start and own.ip in settings.seeds and not disk.damage


def begin_as_first_voter(settings: Settings, replica: Replica, now: float) -> Effects:
    """Start the first membership, in which the seeds vote whatever the uids of their disks are."""
    replica.voter = Voter(settings.own.ip, GENESIS, settings.own.zone)
    return replica.bootstrap(now, [Voter(ip, GENESIS, "") for ip in settings.seeds])
