"""What a soak found: each finding by its kind, and the numbers that show what was done."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from lugspur.bench.faults.logs import count_uncaught_exceptions
from lugspur.bench.mesh import call

VIOLATED = re.compile(r"(?:event=invariant violated=|invariant violated: )(\S+)")
FIGURE = re.compile(r"^(lugspur_\w+)(?:\{(\w+)=\"([^\"]*)\"\})? (\S+)$", re.MULTILINE)
SHOWN = 12  # findings of one kind that are shown


@dataclass
class Verdict:
    """One seed's outcome."""

    findings: list[tuple[str, str]] = field(default_factory=list)  # kind and detail
    troubles: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)  # requests, orders and the like

    def add(self, kind: str, detail: str) -> None:
        """Something that must not be."""
        self.findings.append((kind, detail))

    def read_logs(self, folder: Path) -> None:
        """Violated invariants and uncaught exceptions that the processes' logs tell of."""
        for path in sorted(folder.glob("*.log")):
            for name in VIOLATED.findall(path.read_text(errors="replace")):
                self.add("invariant violated", f"{name} at {path.stem}")
        for told, times in count_uncaught_exceptions(folder).items():
            self.add("exception that nobody caught", f"{told}, {times} times")

    def lines(self) -> Iterator[str]:
        """What was done, and what was found."""
        yield "troubles: " + ", ".join(f"{times} x {name}" for name, times in sorted(self.troubles.items()))
        yield "done: " + ", ".join(f"{count} {name}" for name, count in sorted(self.done.items()))
        for kind, count in Counter(kind for kind, _ in self.findings).items():
            yield f"FOUND {count} x {kind}"
            details = [detail for found, detail in self.findings if found == kind]
            yield from (f"    {detail}" for detail in details[:SHOWN])


async def figures(address: str) -> dict[str, float]:
    """A process's figures by name, or `name/label`; empty where it does not answer."""
    with suppress(OSError, IndexError, ValueError):
        _, _, body = await call(address, "GET", "/metrics")
        found = FIGURE.findall(body.decode())
        return {f"{name}/{label}" if label else name: float(value) for name, _, label, value in found}
    return {}
