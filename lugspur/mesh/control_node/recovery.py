"""How a control node comes by its state at the start: from its disk, as a voter of the first membership, or anew."""

from __future__ import annotations

import os
from collections.abc import Callable

import msgspec

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import Entry, Voter
from lugspur.mesh.control.replica import GENESIS, Replica
from lugspur.mesh.control.store import EntryKey
from lugspur.mesh.settings import Settings
from lugspur.mesh.storage.disk import Disk

StoredRows = list[tuple[bytes, bytes]]
Publish = Callable[
    [list[Entry], list[EntryKey]], None
]  # is given entries that were decided, and names that are forgotten


def restore_replica(settings: Settings, disk: Disk, rows: StoredRows, now: float, publish: Publish) -> Replica:
    """The replica that the rows of a disk describe, or a newcomer's where they can't be used.

    In the latter case the disk is set aside; raises MeshError (STATE) where that fails.
    """
    own = settings.own
    window, memory_bytes = settings.tariffs.bounds.stamp_window_s, own.limits.memory_mb << 20
    for found in (rows, []):
        replica = Replica(own.ip, os.urandom(8).hex(), own.zone, window, memory_bytes, publish)
        try:
            replica.restore(found, now)
            break
        except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
            disk.set_aside(str(fault))
    return replica


def is_first_voter(settings: Settings, disk: Disk) -> bool:
    """Whether a process without state votes from the start, as the seeds do at the very first start of the mesh.

    Where state was set aside it does not: what was promised by it is gone.
    """
    own = settings.own
    return own.first_start and own.ip in settings.seeds and not disk.damage


def begin_as_first_voter(settings: Settings, replica: Replica, now: float) -> Effects:
    """Take up the first membership, in which the seeds vote whatever their disks are called."""
    replica.voter = Voter(settings.own.ip, GENESIS, settings.own.zone)
    return replica.begin(now, [Voter(ip, GENESIS, "") for ip in settings.seeds])
