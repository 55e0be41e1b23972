"""The outcome of a soak: findings by kind, injected faults, and counts of operations."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from lugspur.bench.faults.logs import count_uncaught_exceptions
from lugspur.bench.mesh import call

INVARIANT_VIOLATION = re.compile(r"(?:event=invariant violated=|invariant violated: )(\S+)")
METRIC_LINE = re.compile(r"^(lugspur_\w+)(?:\{(\w+)=\"([^\"]*)\"\})? (\S+)$", re.MULTILINE)
# Upper limit of the findings of one kind that the report shows.
MAX_SHOWN = 12


@dataclass
class Verdict:
    """The outcome of one seed."""

    findings: list[tuple[str, str]] = field(default_factory=list)  # kind and detail
    faults: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)  # requests, orders and the like

    def add(self, kind: str, detail: str) -> None:
        """Add a finding: something that must not happen."""
        self.findings.append((kind, detail))

    def read_logs(self, directory: Path) -> None:
        """Add the violated invariants and uncaught exceptions that the logs of the processes contain."""
        for path in sorted(directory.glob("*.log")):
            for name in INVARIANT_VIOLATION.findall(path.read_text(errors="replace")):
                self.add("invariant violated", f"{name} at {path.stem}")
        for message, times in count_uncaught_exceptions(directory).items():
            self.add("exception that nobody caught", f"{message}, {times} times")

    def lines(self) -> Iterator[str]:
        """Yield the lines of the report: faults, counts, and findings."""
        yield "troubles: " + ", ".join(f"{times} x {name}" for name, times in sorted(self.faults.items()))
        yield "done: " + ", ".join(f"{count} {name}" for name, count in sorted(self.counts.items()))
        for kind, count in Counter(kind for kind, _ in self.findings).items():
            yield f"FOUND {count} x {kind}"
            details = [detail for finding_kind, detail in self.findings if finding_kind == kind]
            yield from (f"    {detail}" for detail in details[:MAX_SHOWN])


async def read_metrics(address: str) -> dict[str, float]:
    """Return a process's metrics by `name` or `name/label`; return an empty dict if it does not respond."""
    with suppress(OSError, IndexError, ValueError):
        _, _, body = await call(address, "GET", "/metrics")
        metrics = METRIC_LINE.findall(body.decode())
        return {f"{name}/{label}" if label else name: float(value) for name, _, label, value in metrics}
    return {}
