"""A set of names that draws are made from, at a cost that does not grow with it."""

from __future__ import annotations

import random


class Crowd:
    """Names, each once."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._places: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._places

    def add(self, name: str) -> None:
        """One more, if it is not there."""
        if name not in self._places:
            self._places[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """One less, if it is there."""
        place = self._places.pop(name, None)
        if place is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[place] = last
            self._places[last] = place

    def draw(self, rng: random.Random, count: int) -> list[str]:
        """So many of them, or all."""
        return rng.sample(self._names, min(count, len(self._names)))

    def all(self) -> list[str]:
        """Every one."""
        return list(self._names)
