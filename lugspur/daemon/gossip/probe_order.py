"""The order in which members are probed: round-robin over all of them, reshuffled after each round."""

from __future__ import annotations

import random

from lugspur.daemon.gossip.membership_table import MembershipTable


class ProbeOrder:
    """SWIM's round-robin probe target selection (section 4.3).

    A member that died is probed within one round at the latest. A new member is inserted at a random position, so that
    the time of its first probe does not depend on when it joined.
    """

    def __init__(self, table: MembershipTable, rng: random.Random) -> None:
        self._table, self._rng = table, rng
        self._remaining: list[str] = []  # the members still to be probed in this round, the next one last

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self._remaining.insert(self._rng.randrange(len(self._remaining) + 1), name)

    def next_target(self) -> str | None:
        """Return the name of the member to probe next, or None if no other member is present."""
        while self._remaining:
            name = self._remaining.pop()
            if self._table.is_present(name):
                return name
        self._remaining = self._table.present_names()
        self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None
