"""The order in which members are probed: round-robin over all of them, reshuffled after each round."""

from __future__ import annotations

import random

from lugspur.daemon.gossip.membership_table import MembershipTable


class ProbeOrder:
    """SWIM's round-robin probe target selection (section 4.3).

    A member that died is probed within one round at the latest, and a new one is put at a random position, so its
    first probe does not depend on when it joined.
    """

    def __init__(self, table: MembershipTable, rng: random.Random) -> None:
        self._table, self._rng = table, rng
        self._remaining: list[str] = []  # of this round, the next one last

    def insert(self, name: str) -> None:
        """Put a new member at a random position of this round."""
        self._remaining.insert(self._rng.randrange(len(self._remaining) + 1), name)

    def next_target(self) -> str | None:
        """Return the name of the member to probe now, or None if no other one is present."""
        while self._remaining:
            name = self._remaining.pop()
            if self._table.is_present(name):
                return name
        self._remaining = self._table.present_names()
        self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None
