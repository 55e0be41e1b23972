"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3  # parameter number of mallopt(3)
MMAP_THRESHOLD_BYTES = 256 << 10


def return_large_blocks_when_freed() -> bool:
    """Give the memory of each large block back to the system as soon as it is freed; return whether that is possible.

    By default glibc raises the size from which it does so to that of the largest block that was freed, up to 32 MiB.
    Blocks below it share one heap, whose gaps stay with the process: bodies of mixed sizes then take up to twice the
    memory that they are counted with. Other C libraries have no such setting, or ignore it.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
