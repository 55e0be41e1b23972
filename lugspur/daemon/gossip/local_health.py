"""Lifeguard's local health: a process that is slow itself waits longer before it suspects others."""

from __future__ import annotations

MAX_SCORE = 4  # half of the 8 in Lifeguard (Dadgar, Phillips, Currey, 2018), section IV-A


class LocalHealth:
    """The score of this process: 0 is healthy; each point makes a probe last one protocol period longer."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Note a sign that this process is slow or cut off."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Note a probe that was answered in time."""
        self.score = max(0, self.score - 1)
