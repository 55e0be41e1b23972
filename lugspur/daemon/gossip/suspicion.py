"""How long a member that does not answer is doubted before it counts as dead. No I/O.

Lifeguard's rule (Dadgar, Phillips, Currey: Lifeguard, 2018, section IV-B): long at first, since whoever doubts may be
the slow one, and shorter with each further member that doubts it independently.
"""

from __future__ import annotations

import math

DOUBT = 1.5  # periods, times log10 of the members: the shortest; enough for a refutation to come round
LONGEST = 2.0  # times that, without anybody's confirmation: all views are to agree within ten periods
CONFIRMED = 3  # further doubters after which it is the shortest


class Suspicion:
    """One member is doubted from `began` on; times are in seconds."""

    def __init__(self, began: float, period: float, members: int, by: str) -> None:
        self.began = began
        self._by = {by}
        self._enough = min(CONFIRMED, max(0, members - 2))  # all but the doubted one and the first doubter
        self._least = period * DOUBT * max(1.0, math.log10(max(1, members)))

    def confirm(self, by: str) -> bool:
        """Another says so too; whether that is news that makes it shorter."""
        if by in self._by or len(self._by) > self._enough:
            return False
        self._by.add(by)
        return True

    def shift(self, late: float) -> None:
        """This process stood still for so long: a refutation may lie unread."""
        self.began += late

    @property
    def ends(self) -> float:
        """When it counts as dead."""
        if not self._enough:
            return self.began + self._least
        part = math.log(len(self._by)) / math.log(self._enough + 1)
        return self.began + self._least * (LONGEST - (LONGEST - 1.0) * min(1.0, part))
