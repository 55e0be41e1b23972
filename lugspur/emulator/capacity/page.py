"""The generated parts of docs/CAPACITY.md: tables between markers, made only from the journal entry of one sweep."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lugspur.emulator.capacity import size
from lugspur.emulator.capacity.fit import Line, fit
from lugspur.emulator.capacity.sweep import Row, Sweep

MARKERS = re.compile(r"(<!-- capacity:begin (\w+) -->\n).*?(<!-- capacity:end \2 -->)", re.S)

#: Budgets at the design size, by role and quantity.
BUDGETS = {
    ("sidecar", "processor %"): size.PROXY_CPU_PERCENT,
    ("sidecar", "memory MB"): size.PROXY_MEMORY_MB,
    ("sidecar", "kB a second"): size.PROXY_KB_S,
    ("sidecar", "connections"): size.DESCRIPTORS,
    ("control", "processor %"): size.CONTROL_CPU_PERCENT,
    ("control", "memory MB"): size.CONTROL_MEMORY_MB,
    ("control", "connections"): size.DESCRIPTORS,
    ("operator", "config acked, ms"): size.IN_FORCE_MS,
    ("operator", "config in force, ms"): size.IN_FORCE_MS,
}
#: Quantities that also contain the proxied calls. Their budgets are for the control plane alone, so that a measurement
#: within the budget shows that the budget is kept, while a measurement above it shows nothing.
INCLUDES_CALLS = {("sidecar", "processor %"), ("sidecar", "kB a second")}


@dataclass(frozen=True)
class Slope:
    """One row, the line through its busiest processes, and the budget at the design size; 0 if no budget is set."""

    row: Row
    line: Line
    budget: float

    @property
    def at_size(self) -> float:
        """Return the line's value at the design size, but at least the value measured with the most machines.

        No measurement shows that a falling value continues to fall beyond the largest size of the sweep.
        """
        return max(self.row.busiest[-1], self.line.at(size.PROXIES))

    @property
    def holds(self) -> str:
        """Return whether the budget is kept, and by which factor."""
        if not self.budget:
            return "no budget set"
        headroom = self.budget / self.at_size if self.at_size else float("inf")
        if headroom >= 1.0:
            return f"yes, {headroom:.3g} times"
        if (self.row.role, self.row.quantity) in INCLUDES_CALLS:
            return "**not shown**: its calls are in it"
        return f"**no**, {1.0 / headroom:.3g} times over"


def slopes(sweep: Sweep) -> list[Slope]:
    """Return all rows of a sweep with their lines and budgets."""
    result = []
    for row in sweep.rows:
        line = fit(list(zip(map(float, sweep.machines), row.busiest, strict=True)))
        result.append(Slope(row, line, BUDGETS.get((row.role, row.quantity), 0.0)))
    return result


def tables(sweep: Sweep) -> dict[str, str]:
    """Return all generated parts by name."""
    return {"source": _source(sweep), "days": _days(sweep), "slopes": _slopes(sweep)}


def replace_parts(text: str, parts: dict[str, str]) -> str:
    """Return the page with these parts between their markers; raises KeyError for a marker without a part."""
    return MARKERS.sub(lambda match: match[1] + parts[match[2]] + match[3], text)


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _figure(value: float) -> str:
    if value and abs(value) < 0.1:
        return f"{value:.2g}"
    return f"{value:,.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def _source(sweep: Sweep) -> str:
    entry = sweep.entry
    sizes = ", ".join(map(str, sweep.machines))
    return (
        f"Journal entry `{entry.id}`: `fleetbench sweep` of {entry.site} at {sizes} machines, {entry.at[1]}, on build "
        f"{entry.head[:12]} ({entry.why}).\n"
    )


def _days(sweep: Sweep) -> str:
    return _table(
        ("day", "processes of ours", "score", "served", "gate"),
        (
            (day.name, str(day.used), f"{day.score:.2f}", f"{day.served:.3f}", "passed" if day.gate else "**failed**")
            for day in sweep.entry.days
        ),
    )


def _slopes(sweep: Sweep) -> str:
    at = ", ".join(map(str, sweep.machines))
    head = ("role", "quantity", f"middle / busiest at {at}", "slope for 100 machines", "R²")
    return _table(
        (*head, f"at {size.PROXIES}", "allowed", "holds"),
        (
            (
                slope.row.role,
                slope.row.quantity,
                "; ".join(
                    f"{_figure(m)} / {_figure(b)}" for m, b in zip(slope.row.middle, slope.row.busiest, strict=True)
                ),
                _figure(100.0 * slope.line.slope),
                f"{slope.line.r2:.2f}",
                _figure(slope.at_size),
                _figure(slope.budget) if slope.budget else "",
                slope.holds,
            )
            for slope in slopes(sweep)
        ),
    )
