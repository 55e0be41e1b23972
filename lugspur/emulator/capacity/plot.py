"""The plot of a sweep: the fraction of its budget that the busiest process of each role uses, by number of machines."""

from __future__ import annotations

import pygal

from lugspur.emulator.capacity.page import slopes
from lugspur.emulator.capacity.sweep import Sweep


def draw(sweep: Sweep) -> bytes:
    """Return the plot as an SVG; the same sweep gives the same bytes."""
    chart = pygal.XY(
        title="Used by the busiest, as a part of what is allowed at the size",
        x_title="machines in the sweep",
        y_title="part of the budget (1: all of it)",
        explicit_size=True,
        js=[],  # the plot of a page must not load scripts from other sites
        legend_at_bottom=True,
        legend_at_bottom_columns=2,
    )
    chart.uuid = "capacity"  # a random id would change the bytes of the plot with each run
    for slope in slopes(sweep):
        if slope.budget:
            points = zip(sweep.machines, slope.row.busiest, strict=True)
            chart.add(f"{slope.row.role}: {slope.row.quantity}", [(x, round(y / slope.budget, 4)) for x, y in points])
    svg: bytes = chart.render()
    return svg
