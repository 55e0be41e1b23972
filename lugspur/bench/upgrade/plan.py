"""What is played, and what it brought."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from pathlib import Path

from lugspur.bench.faults.history import History
from lugspur.bench.mesh import ROOT
from lugspur.bench.soak.verdict import Verdict


class Direction(enum.Enum):
    """Which build the mesh starts with, and which one replaces it."""

    UPGRADE = "former to present"
    DOWNGRADE = "present to former"


@dataclass(slots=True, frozen=True, kw_only=True)
class Builds:
    """The directories that the two builds run from."""

    former: Path
    present: Path = ROOT

    def of(self, direction: Direction) -> tuple[Path, Path]:
        """Return the build that the mesh starts with, and the one that replaces it."""
        if direction is Direction.UPGRADE:
            return self.former, self.present
        return self.present, self.former


@dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """How one direction is played."""

    seed: int = 1
    pause_seconds: float = 2.0  # for which the mesh works with both builds after each replacement


@dataclass(slots=True)
class Replacement:
    """One process that was replaced."""

    ip: str
    useful_at: float  # by the loop's clock
    seconds: float  # from its SIGTERM until the new process was useful


@dataclass(slots=True)
class Outcome:
    """What one direction brought; nothing in `verdict.findings` means that it passed."""

    direction: Direction
    verdict: Verdict = field(default_factory=Verdict)
    history: History = field(default_factory=History)
    replacements: list[Replacement] = field(default_factory=list)

    def mixed_span(self) -> tuple[float, float]:
        """Return when the first and the last replacement were useful: between them both builds were at work."""
        return self.replacements[0].useful_at, self.replacements[-1].useful_at
