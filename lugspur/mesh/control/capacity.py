"""How large the configuration may be, without I/O: every disk that holds it must be able to store all of it.

A change is written twice, as an accepted value and then as items, and the pages of a disk are free again only once a
later write has been synced. So the items in force, those that replace them, and the accepted values of both have to fit
beside the reservations of keys.
"""

from __future__ import annotations

from collections.abc import Iterable

from lugspur.mesh.control.messages import Entry

CONFIGURATION_DISK_FRACTION = (
    1 / 6
)  # of what a disk stores, for all items; a change that replaces all of them needs four times that
ITEM_OVERHEAD_BYTES = 64  # of an item on disk, beside its kind, name and value


def item_bytes(entry: Entry) -> int:
    """The bytes that an item takes on disk."""
    return ITEM_OVERHEAD_BYTES + len(entry.kind) + len(entry.name.encode()) + len(entry.value or b"")


def fits(configuration: int, disk: int) -> bool:
    """Whether a disk that stores `disk` bytes (0: unknown) has room for a configuration of `configuration` bytes."""
    return not disk or configuration <= disk * CONFIGURATION_DISK_FRACTION


def max_configuration_bytes(current: int, disks: Iterable[int]) -> int:
    """The bytes that all items may take, by the smallest of the disks that have room for `current` bytes; 0: unknown.

    A disk without room for the items in force is no reason to refuse a change: its replica gets no vote.
    """
    return min((int(disk * CONFIGURATION_DISK_FRACTION) for disk in disks if disk and fits(current, disk)), default=0)
