"""The plot of a measurement: what a proxy and the control machines use by the number of proxies, of what is allowed."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pygal

from lugspur.emulator.capacity import size
from lugspur.emulator.capacity.measurement import Run


def draw(runs: Sequence[Run]) -> bytes:
    """An SVG; the same bytes for the same measurement."""
    chart = pygal.XY(
        title="Used, as a part of what is allowed at the size",
        x_title="proxies in the fleet",
        y_title="part of the budget (1: all of it)",
        explicit_size=True,
        js=[],  # a page's plot loads nothing from elsewhere
        legend_at_bottom=True,
        legend_at_bottom_columns=2,
    )
    chart.uuid = "capacity"  # else drawn anew each time
    rows: dict[str, Callable[[Run], float]] = {
        "a proxy's CPU": lambda run: run.idle.real_proxy_cores / size.PROXY_CORES,
        "a proxy's memory": lambda run: run.footprint.real_memory_mb / size.PROXY_MEMORY_MB,
        "a proxy's network": lambda run: run.idle.real_proxy_wire_bytes_s / size.PROXY_BYTES_S,
        "a proxy's descriptors": lambda run: run.footprint.real_descriptors / size.DESCRIPTORS,
        "a change at the last proxy": lambda run: max(run.changes.last_proxy_ms) / 1e3 / size.IN_FORCE_S,
        "busiest control machine's CPU, idle": lambda run: max(run.idle.control_cores) / size.CONTROL_CORES,
    }
    for name, value in rows.items():
        chart.add(name, [(run.proxies, round(value(run), 4)) for run in runs])
    drawn: bytes = chart.render()
    return drawn
