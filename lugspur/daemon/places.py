"""Where the classes of a pool stand in its settings, over reloads. Decided here, without I/O."""

from __future__ import annotations

from collections.abc import Sequence

from lugspur.load_balancing.model import RequestClass


def places(known: Sequence[RequestClass], wanted: Sequence[RequestClass], held: set[int]) -> list[RequestClass]:
    """The classes that a pool goes on with: all that are wanted, and those of open requests at their places.

    Guards open requests, which are judged by the class that they began with. A place that no open request and
    no wanted class needs is used again: the list does not grow with the number of reloads.
    """
    kept: list[RequestClass | None] = []
    for at, former in enumerate(known):
        needed = at in held or (former in wanted and former not in kept)  # a spare place may hold a class twice
        kept.append(former if needed else None)
    missing = [row for row in wanted if row not in kept]
    for at, row in enumerate(kept):
        if row is None and missing:
            kept[at] = missing.pop(0)
    while kept and kept[-1] is None:
        kept.pop()
    spare = wanted[0]
    return [spare if row is None else row for row in kept] + missing
