"""A set of member names from which random samples are drawn, at a cost that does not grow with the set."""

from __future__ import annotations

import random


class MemberSampler:
    """A set of names, kept as a list with the index of each name: adding and discarding take constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._indexes: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._indexes

    def add(self, name: str) -> None:
        """Add a name; a name that is already in the set changes nothing."""
        if name not in self._indexes:
            self._indexes[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is in the set; the last name takes its index."""
        index = self._indexes.pop(name, None)
        if index is None:
            return
        last_name = self._names.pop()
        if last_name != name:
            self._names[index] = last_name
            self._indexes[last_name] = index

    def sample(self, rng: random.Random, count: int) -> list[str]:
        """Return `count` different names in random order, or all of them if there are fewer."""
        return rng.sample(self._names, min(count, len(self._names)))

    def names(self) -> list[str]:
        """Return a copy of all names, in no particular order."""
        return list(self._names)
