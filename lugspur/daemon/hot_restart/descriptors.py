"""File descriptors that were received with a packet; the reader of the packet has to close them."""

from __future__ import annotations

import os


def close_all(descriptors: list[int]) -> None:
    """Close the descriptors that are still in the list: a reader removes those that it keeps."""
    for descriptor in descriptors:
        os.close(descriptor)
