"""The plan of an upgrade test, and its outcome."""

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
        """Return the directory of the build that the mesh starts with, and that of the build that replaces it."""
        if direction is Direction.UPGRADE:
            return self.former, self.present
        return self.present, self.former


@dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """The parameters of one direction."""

    seed: int = 1
    pause_seconds: float = 2.0  # time under load with both builds after each replacement


@dataclass(slots=True)
class Replacement:
    """The replacement of one process."""

    ip: str
    serving_at: float  # time by the event loop's clock
    seconds: float  # from its SIGTERM until the new process served


@dataclass(slots=True)
class Outcome:
    """The outcome of one direction; it passed if `verdict.findings` is empty."""

    direction: Direction
    verdict: Verdict = field(default_factory=Verdict)
    history: History = field(default_factory=History)
    replacements: list[Replacement] = field(default_factory=list)

    def mixed_span(self) -> tuple[float, float]:
        """Return the times at which the first and the last replacement served: between them both builds ran."""
        return self.replacements[0].serving_at, self.replacements[-1].serving_at
