"""The plot of a sweep: what the busiest process of each role uses of what is allowed, by machines."""

from __future__ import annotations

import pygal

from lugspur.emulator.capacity.page import slopes
from lugspur.emulator.capacity.sweep import Sweep


def draw(sweep: Sweep) -> bytes:
    """An SVG; the same bytes for the same sweep."""
    chart = pygal.XY(
        title="Used by the busiest, as a part of what is allowed at the size",
        x_title="machines in the sweep",
        y_title="part of the budget (1: all of it)",
        explicit_size=True,
        js=[],  # a page's plot loads nothing from elsewhere
        legend_at_bottom=True,
        legend_at_bottom_columns=2,
    )
    chart.uuid = "capacity"  # else drawn anew each time
    for one in slopes(sweep):
        if one.budget:
            points = zip(sweep.machines, one.row.busiest, strict=True)
            chart.add(f"{one.row.role}: {one.row.quantity}", [(x, round(y / one.budget, 4)) for x, y in points])
    drawn: bytes = chart.render()
    return drawn
