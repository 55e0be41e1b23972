"""Which boxes of a pool its prober looks at, and when, and what it holds of them. No I/O.

A box that somebody doubts is looked at at once. Failing twice in a row it is down, and looked at again and again until
it is well twice in a row. A box that nobody doubts costs nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FAILS, PASSES = 2, 2  # looks in a row that make a box down, and up again: one lost packet is neither
AGAIN = 0.1  # seconds between the first two looks at a box that is doubted
AT_ONCE = 16  # looks under way: what one process can carry beside its traffic


@dataclass(slots=True)
class _Watched:
    due: float
    out: bool = False  # a look is under way
    down: bool = False
    row: int = 0  # looks of one outcome in a row
    well: bool = False  # which one
    doubted: bool = True  # since the latest look began


class Prober:
    """`every`: seconds between two looks at a box that is down."""

    def __init__(self, every: float) -> None:
        self.every = every
        self.serial = 0  # of what is held: it grows with each change
        self._listed: frozenset[str] = frozenset()
        self._watched: dict[str, _Watched] = {}

    @property
    def down(self) -> list[str]:
        """Boxes that are down, the first found first."""
        return [name for name, watched in self._watched.items() if watched.down]

    def begin(self, now: float, down: Iterable[str]) -> None:
        """Come into office: what the former prober held is taken for true, and looked at at once."""
        self._watched = {name: _Watched(now, down=True, row=FAILS) for name in down if name in self._listed}
        self.serial += 1

    def listed(self, names: Iterable[str]) -> None:
        """The boxes that the pool has now."""
        self._listed = frozenset(names)
        for name in tuple(self._watched):
            if name not in self._listed:
                self.serial += self._watched[name].down
                del self._watched[name]

    def doubt(self, now: float, name: str) -> None:
        """Somebody could not connect to it."""
        watched = self._watched.get(name)
        if watched is not None:
            watched.doubted = True
        elif name in self._listed:
            self._watched[name] = _Watched(now)

    def due(self) -> float:
        """When the next look is wanted."""
        if sum(watched.out for watched in self._watched.values()) >= AT_ONCE:
            return float("inf")
        return min((watched.due for watched in self._watched.values() if not watched.out), default=float("inf"))

    def looks(self, now: float) -> list[str]:
        """Boxes to look at now; `answered` ends each look."""
        out = sum(watched.out for watched in self._watched.values())
        found = [name for name, watched in self._watched.items() if not watched.out and watched.due <= now]
        found = found[: max(0, AT_ONCE - out)]
        for name in found:
            self._watched[name].out, self._watched[name].doubted = True, False
        return found

    def answered(self, now: float, name: str, well: bool) -> bool:
        """How a look ended; whether what is held of the box has changed."""
        watched = self._watched.get(name)
        if watched is None or not watched.out:
            return False
        watched.out = False
        watched.row = watched.row + 1 if well is watched.well or watched.row == 0 else 1
        watched.well = well
        if well and not watched.down:
            if not watched.doubted:
                del self._watched[name]
            watched.due = now + self.every  # somebody still can't connect to it
            return False
        if watched.down is well and watched.row >= (PASSES if well else FAILS):
            watched.down = not well
            self.serial += 1
            if well:
                del self._watched[name]
            watched.due = now + self.every
            return True
        watched.due = now + (self.every if watched.down and not well else AGAIN)
        return False
