"""How several pools share what there is only so much of: sockets, open requests, bytes held.

Sans I/O: counts go in, a yes or a no comes out.
"""

from __future__ import annotations

from collections.abc import Mapping


class Shares:
    """A total that users draw from; each is sure of its own part and may borrow what the others leave.

    Guards a user against the others: whatever they hold or ask for, what it is sure of is there when it asks.
    That costs a little of the total: the parts of idle users are kept free for them. `total` and the parts
    share one unit (descriptors, requests or bytes); the parts together are at most the total.
    """

    def __init__(self, total: int, parts: Mapping[str, int]) -> None:
        self._used: dict[str, int] = {}
        self._all = 0  # in use by anyone...
        self._owed = 0  # ...and what is kept free of everyone's part
        self.reset(total, parts)

    def reset(self, total: int, parts: Mapping[str, int]) -> None:
        """Take over other parts; what is in use stays in use, also by users that have no part any more.

        Raises ValueError where the parts exceed the total.
        """
        if sum(parts.values()) > total:
            raise ValueError(f"parts of {sum(parts.values())} are more than the total of {total}")
        self.total, self._parts = total, dict(parts)
        self._owed = sum(max(0, part - self.used(name)) for name, part in parts.items())

    def used(self, name: str) -> int:
        """What this user holds."""
        return self._used.get(name, 0)

    def fits(self, name: str, amount: int = 1) -> bool:
        """Whether so much more may be taken by this user."""
        free = max(0, self._parts.get(name, 0) - self.used(name))
        beyond = amount - free
        # What lies beyond its part comes out of what nobody is sure of.
        return beyond <= 0 or beyond <= self.total - self._all - self._owed

    def take(self, name: str, amount: int = 1) -> None:
        """Count it as taken; the caller has asked `fits`, or has no choice."""
        self._move(name, amount)

    def give(self, name: str, amount: int = 1) -> None:
        """Count it as given back."""
        self._move(name, -amount)

    def _move(self, name: str, amount: int) -> None:
        part, before = self._parts.get(name, 0), self.used(name)
        after = before + amount
        self._all += amount
        self._owed += max(0, part - after) - max(0, part - before)
        if after or part:
            self._used[name] = after
        else:  # Guards memory against users that come and go with every reload.
            self._used.pop(name, None)


def even(total: int, names: Mapping[str, float]) -> dict[str, int]:
    """Sure parts for users by weight: half of the total, so that the other half goes to who needs it."""
    weights = sum(names.values())
    return {name: int(0.5 * total * weight / weights) for name, weight in names.items()} if weights else {}
