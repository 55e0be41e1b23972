"""Finds objects that are still alive while the cyclic garbage collector is off: what is done must be freed at once."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager


@contextmanager
def collector_off(*kinds: type) -> Iterator[Callable[[], list[str]]]:
    """Free garbage by reference counts alone, as between two runs of the collector.

    Yields a function that returns the names of the types of all objects of these types created since.
    """
    gc.collect()
    gc.disable()
    before = [found for found in gc.get_objects() if type(found) in kinds]  # of earlier tests in this process
    known = {id(found) for found in before}

    def living() -> list[str]:
        found = [one for one in gc.get_objects() if type(one) in kinds and id(one) not in known]
        return sorted(type(one).__name__ for one in found)

    try:
        yield living
    finally:
        gc.enable()
        gc.collect()
