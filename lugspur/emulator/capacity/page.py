"""The generated parts of docs/CAPACITY.md: tables between markers, made of one sweep's journal entry alone."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lugspur.emulator.capacity import size
from lugspur.emulator.capacity.fit import Line, fit
from lugspur.emulator.capacity.sweep import Row, Sweep

MARKERS = re.compile(r"(<!-- capacity:begin (\w+) -->\n).*?(<!-- capacity:end \2 -->)", re.S)

#: What is allowed at the size, by role and quantity.
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
#: What carries the calls as well: the budget is for control alone, so that only a yes is a verdict.
WITH_CALLS = {("sidecar", "processor %"), ("sidecar", "kB a second")}


@dataclass(frozen=True)
class Slope:
    """One row, the line through its busiest processes, and what that gives at the size; `budget` 0: none is set."""

    row: Row
    line: Line
    budget: float

    @property
    def at_size(self) -> float:
        """The line's value at the size, and at least what the largest sweep gave: nothing shows that it falls on."""
        return max(self.row.busiest[-1], self.line.at(size.PROXIES))

    @property
    def holds(self) -> str:
        """yes or no, and by what factor."""
        if not self.budget:
            return "no budget set"
        spare = self.budget / self.at_size if self.at_size else float("inf")
        if spare >= 1.0:
            return f"yes, {spare:.3g} times"
        if (self.row.role, self.row.quantity) in WITH_CALLS:
            return "**not shown**: its calls are in it"
        return f"**no**, {1.0 / spare:.3g} times over"


def slopes(sweep: Sweep) -> list[Slope]:
    """All rows of a sweep with their lines."""
    found = []
    for row in sweep.rows:
        line = fit(list(zip(map(float, sweep.machines), row.busiest, strict=True)))
        found.append(Slope(row, line, BUDGETS.get((row.role, row.quantity), 0.0)))
    return found


def tables(sweep: Sweep) -> dict[str, str]:
    """All generated parts by name."""
    return {"source": _source(sweep), "days": _days(sweep), "slopes": _slopes(sweep)}


def put(text: str, parts: dict[str, str]) -> str:
    """The page with these parts between their markers; raises KeyError for a marker of no part."""
    return MARKERS.sub(lambda found: found[1] + parts[found[2]] + found[3], text)


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
                one.row.role,
                one.row.quantity,
                "; ".join(f"{_figure(m)} / {_figure(b)}" for m, b in zip(one.row.middle, one.row.busiest, strict=True)),
                _figure(100.0 * one.line.slope),
                f"{one.line.r2:.2f}",
                _figure(one.at_size),
                _figure(one.budget) if one.budget else "",
                one.holds,
            )
            for one in slopes(sweep)
        ),
    )
