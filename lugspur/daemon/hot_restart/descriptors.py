"""File descriptors that came with a packet and belong to whoever reads it."""

from __future__ import annotations

import os


def close_all(descriptors: list[int]) -> None:
    """Close descriptors that nobody has taken out of the list."""
    for descriptor in descriptors:
        os.close(descriptor)
