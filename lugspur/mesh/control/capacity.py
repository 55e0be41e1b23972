"""How large the configuration may be, without I/O: every disk that holds it has to take it whole.

A change is written twice, as a vote and then as items, and a disk's pages are free again only once a later write has
been synced. So what stands, what takes its place, and the votes of both have to fit beside the claims of keys.
"""

from __future__ import annotations

from collections.abc import Iterable

from lugspur.mesh.control.messages import Entry

CONFIGURATION_DISK_FRACTION = (
    1 / 6
)  # of what a disk takes, for all items: four times that while a change replaces all of them
ITEM_OVERHEAD_BYTES = 64  # of an item on disk beside its names and its content


def item_bytes(entry: Entry) -> int:
    """Bytes that an item counts."""
    return ITEM_OVERHEAD_BYTES + len(entry.kind) + len(entry.name.encode()) + len(entry.value or b"")


def fits(configuration: int, disk: int) -> bool:
    """Whether a disk that takes so many bytes (0: unknown) holds a configuration of so many."""
    return not disk or configuration <= disk * CONFIGURATION_DISK_FRACTION


def max_configuration_bytes(standing: int, disks: Iterable[int]) -> int:
    """Bytes that all items may have: what the smallest disk holds of those that hold what stands; 0: unknown.

    One that can't hold what stands is no reason to refuse anything: it gets no vote.
    """
    return min((int(disk * CONFIGURATION_DISK_FRACTION) for disk in disks if disk and fits(standing, disk)), default=0)
