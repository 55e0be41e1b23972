"""The indexes of request classes in a pool's settings, which open requests keep over reloads. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from lugspur.load_balancing.model import RequestClass


def keep_class_indexes(
    known: Sequence[RequestClass], wanted: Sequence[RequestClass], in_use: set[int]
) -> list[RequestClass]:
    """Return the list of classes that a pool uses after a reload.

    It holds all `wanted` classes, and those of open requests at their former indexes (`in_use`), because an open
    request keeps the class that it began with. An index that no open request and no wanted class needs is
    used again, so that the list does not grow with the number of reloads.
    """
    kept: list[RequestClass | None] = []
    for index, former in enumerate(known):
        # A spare index may hold a class that occurs twice.
        needed = index in in_use or (former in wanted and former not in kept)
        kept.append(former if needed else None)
    missing = [row for row in wanted if row not in kept]
    for index, row in enumerate(kept):
        if row is None and missing:
            kept[index] = missing.pop(0)
    while kept and kept[-1] is None:
        kept.pop()
    spare = wanted[0]
    return [spare if row is None else row for row in kept] + missing
