"""How long a member that does not respond stays suspected before it is declared dead. No I/O.

The rule is Lifeguard's (Dadgar, Phillips, Currey: Lifeguard, 2018, section IV-B, "LHA-Suspicion"): the timeout is long
at first, since the member that suspects may be the slow one, and gets shorter with each further member that confirms
the suspicion independently.
"""

from __future__ import annotations

import math

# The shortest timeout, as a multiple of the protocol period and log10 of the member count: long enough for a refutation
# to arrive.
MIN_TIMEOUT_FACTOR = 1.5
# The timeout while no member has confirmed the suspicion, as a multiple of the shortest one: with it, all views agree
# within ten protocol periods.
MAX_TIMEOUT_MULTIPLIER = 2.0
EXPECTED_CONFIRMATIONS = 3  # confirmations by further members after which the timeout is the shortest


class Suspicion:
    """The suspicion of one member.

    Args:
        started_at: When the member was first suspected, in seconds of the local clock.
        period_seconds: The protocol period.
        member_count: The number of present members, including this one and the suspected one.
        suspected_by: The name of the member that first suspected the member.
    """

    def __init__(self, started_at: float, period_seconds: float, member_count: int, suspected_by: str) -> None:
        self._started_at = started_at
        self._suspected_by = {suspected_by}
        # All members may confirm, except the suspected one and the first one that suspected it.
        self._expected_confirmations = min(EXPECTED_CONFIRMATIONS, max(0, member_count - 2))
        self._min_timeout = period_seconds * MIN_TIMEOUT_FACTOR * max(1.0, math.log10(max(1, member_count)))

    def confirm(self, suspected_by: str) -> bool:
        """Record that one more member suspects the member; return whether that shortens the timeout."""
        if suspected_by in self._suspected_by or len(self._suspected_by) > self._expected_confirmations:
            return False
        self._suspected_by.add(suspected_by)
        return True

    def postpone(self, seconds: float) -> None:
        """Extend the timeout by the time for which this process did not run: a refutation may be waiting unread."""
        self._started_at += seconds

    @property
    def deadline(self) -> float:
        """When the member is declared dead unless it refutes the suspicion first, in seconds of the local clock."""
        if not self._expected_confirmations:
            return self._started_at + self._min_timeout
        confirmation_fraction = math.log(len(self._suspected_by)) / math.log(self._expected_confirmations + 1)
        multiplier = MAX_TIMEOUT_MULTIPLIER - (MAX_TIMEOUT_MULTIPLIER - 1.0) * min(1.0, confirmation_fraction)
        return self._started_at + self._min_timeout * multiplier
