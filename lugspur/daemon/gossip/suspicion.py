"""How long a member that does not answer stays suspected before it is declared dead. No I/O.

The rule is Lifeguard's (Dadgar, Phillips, Currey: Lifeguard, 2018, section IV-B, "LHA-Suspicion"): the timeout is long
at first, since the member that suspects may be the slow one, and gets shorter with each further member that suspects
independently.
"""

from __future__ import annotations

import math

MIN_TIMEOUT_FACTOR = 1.5  # times the period and log10 of the members: long enough for a refutation to come back
MAX_TIMEOUT_MULTIPLIER = 2.0  # times the shortest timeout while nobody confirms: all views agree within ten periods
EXPECTED_CONFIRMATIONS = 3  # further members that suspect, after which the timeout is the shortest


class Suspicion:
    """The suspicion of one member.

    Args:
        started_at: When the member was first suspected, in seconds of the local clock.
        period_seconds: The protocol period.
        member_count: Members that are present, this one and the suspected one among them.
        suspected_by: The member that suspected first.
    """

    def __init__(self, started_at: float, period_seconds: float, member_count: int, suspected_by: str) -> None:
        self._started_at = started_at
        self._suspected_by = {suspected_by}
        # All members but the suspected one and the first that suspected may confirm.
        self._expected_confirmations = min(EXPECTED_CONFIRMATIONS, max(0, member_count - 2))
        self._min_timeout = period_seconds * MIN_TIMEOUT_FACTOR * max(1.0, math.log10(max(1, member_count)))

    def confirm(self, suspected_by: str) -> bool:
        """Note that a member suspects it too; return whether that shortens the timeout."""
        if suspected_by in self._suspected_by or len(self._suspected_by) > self._expected_confirmations:
            return False
        self._suspected_by.add(suspected_by)
        return True

    def postpone(self, seconds: float) -> None:
        """Extend the timeout by the time in which this process did not run: a refutation may wait unread."""
        self._started_at += seconds

    @property
    def deadline(self) -> float:
        """When the member is declared dead unless it refutes the suspicion before."""
        if not self._expected_confirmations:
            return self._started_at + self._min_timeout
        confirmed = math.log(len(self._suspected_by)) / math.log(self._expected_confirmations + 1)
        multiplier = MAX_TIMEOUT_MULTIPLIER - (MAX_TIMEOUT_MULTIPLIER - 1.0) * min(1.0, confirmed)
        return self._started_at + self._min_timeout * multiplier
