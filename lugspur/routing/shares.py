"""Shares a limited resource between pools: sockets, open requests, buffered bytes. No I/O."""

from __future__ import annotations

from collections.abc import Mapping


class SharedLimit:
    """A total that users draw from; each has a guaranteed part and may borrow what nobody is guaranteed.

    Guards a user against the others: whatever they hold or request, its guaranteed part is available to it.
    That costs some of the total: the parts of idle users are kept free for them. `total` and the parts have
    the same unit (descriptors, requests or bytes); the sum of the parts is at most the total.
    """

    def __init__(self, total: int, parts: Mapping[str, int]) -> None:
        self._used: dict[str, int] = {}
        self._total_used = 0
        self._reserved = 0  # the unused rest of all guaranteed parts
        self.set_parts(total, parts)

    def set_parts(self, total: int, parts: Mapping[str, int]) -> None:
        """Change the total and the guaranteed parts; what is in use stays in use, also by users without a part.

        Raises ValueError where the parts exceed the total.
        """
        if sum(parts.values()) > total:
            raise ValueError(f"the guaranteed parts sum up to {sum(parts.values())}, more than the total of {total}")
        self.total, self._parts = total, dict(parts)
        self._reserved = sum(max(0, part - self.held_by(name)) for name, part in parts.items())

    def held_by(self, name: str) -> int:
        """Return the amount that this user holds."""
        return self._used.get(name, 0)

    def can_acquire(self, name: str, amount: int = 1) -> bool:
        """Return whether this user may acquire that much more."""
        free = max(0, self._parts.get(name, 0) - self.held_by(name))
        beyond = amount - free
        # What exceeds the user's part is borrowed from what no user is guaranteed.
        return beyond <= 0 or beyond <= self.total - self._total_used - self._reserved

    def acquire(self, name: str, amount: int = 1) -> None:
        """Count the amount as acquired; does not check the limit, as some callers can't be refused."""
        self._change_used(name, amount)

    def release(self, name: str, amount: int = 1) -> None:
        """Count the amount as released."""
        self._change_used(name, -amount)

    def _change_used(self, name: str, amount: int) -> None:
        part, before = self._parts.get(name, 0), self.held_by(name)
        after = before + amount
        self._total_used += amount
        self._reserved += max(0, part - after) - max(0, part - before)
        if after or part:
            self._used[name] = after
        else:  # Guards memory against users that are added and removed with every reload.
            self._used.pop(name, None)


def guaranteed_parts(total: int, names: Mapping[str, float]) -> dict[str, int]:
    """Return guaranteed parts by weight; they sum up to half of the total, so that any user may borrow the other."""
    weights = sum(names.values())
    return {name: int(0.5 * total * weight / weights) for name, weight in names.items()} if weights else {}
