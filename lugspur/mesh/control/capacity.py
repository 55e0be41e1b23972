"""The maximum size of the configuration, without I/O: every disk that holds it must be able to store all of it.

A change is written twice, as an accepted value and then as items, and the pages that a write replaces are reused only
after a later write has been synced. The items in force, the items that replace them, and the accepted values of both
therefore have to fit on the disk beside the reservations of keys.
"""

from __future__ import annotations

from collections.abc import Iterable

from lugspur.mesh.control.messages import Entry

#: Fraction of a disk's capacity that all items may take; a change that replaces all of them needs four times as much.
CONFIGURATION_DISK_FRACTION = 1 / 6
ITEM_OVERHEAD_BYTES = 64  # the size of an item on disk beyond its kind, name and value


def item_bytes(entry: Entry) -> int:
    """Return the size of an item on disk, in bytes."""
    return ITEM_OVERHEAD_BYTES + len(entry.kind) + len(entry.name.encode()) + len(entry.value or b"")


def fits_on_disk(configuration: int, disk: int) -> bool:
    """Whether a disk with a capacity of `disk` bytes (0: unknown) has room for `configuration` bytes of items."""
    return not disk or configuration <= disk * CONFIGURATION_DISK_FRACTION


def max_configuration_bytes(current: int, disks: Iterable[int]) -> int:
    """Return the size that all items may have in bytes, by the smallest disk with room for `current`; 0: unknown.

    A disk that has no room for the items in force does not limit changes, since its replica gets no vote.
    """
    return min(
        (int(disk * CONFIGURATION_DISK_FRACTION) for disk in disks if disk and fits_on_disk(current, disk)), default=0
    )
