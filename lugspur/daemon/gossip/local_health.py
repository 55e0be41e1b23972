"""Lifeguard's local health: a process that is slow itself waits longer before it suspects others."""

from __future__ import annotations

MAX_SCORE = 4  # half of the maximum of 8 in Lifeguard (Dadgar, Phillips, Currey, 2018), section IV-A


class LocalHealth:
    """The health score of this process: 0 is healthy, and each point extends a probe by one protocol period."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Record a sign that this process is slow or cut off from the network."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Record a probe that was acked in time."""
        self.score = max(0, self.score - 1)
