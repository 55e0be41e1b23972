"""The run of the demo: load, a kill, a drain, a live view, and a verdict."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from lugspur.demo.world import KINDS, World

SECONDS = 8.0
RATE = 60.0  # requests per second
KILLED, DRAINED = "channel-core-2", "inventory-store-1"
SHOW_INTERVAL = 0.25  # seconds between two updates of the view
STATES = {
    "in_service": "[green]up",
    "killed": "[red]killed, still listed",
    "unlisted": "[red]killed",
    "terminating": "[yellow]draining",
}


async def play(world: World, seconds: float, show: Callable[[World, str], Awaitable[None]]) -> None:
    """Send load for `seconds`; during it one backend is killed, then another one is drained."""
    loop = asyncio.get_running_loop()
    started_at, message = loop.time(), "all backends are up"
    events: list[tuple[float, str, Callable[[], None]]] = [
        (0.40, f"{KILLED} is killed; the endpoint list still has it", lambda: world.kill(KILLED)),
        (0.55, f"{KILLED} left the endpoint list; {DRAINED} drains", lambda: world.unlist_and_drain(KILLED, DRAINED)),
    ]
    tasks: set[asyncio.Task[None]] = set()
    next_show = started_at
    while (elapsed := loop.time() - started_at) < seconds:
        if events and elapsed >= events[0][0] * seconds:
            _, message, action = events.pop(0)
            action()
        while world.sent < elapsed * RATE:
            task = loop.create_task(world.call())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0)
        if loop.time() >= next_show:
            next_show += SHOW_INTERVAL
            await show(world, message)
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)


def render(world: World, message: str) -> Group:
    """Return the tables of the current state."""
    backends = Table(title="backends", title_justify="left")
    for heading in ("tier", "backend", "state", "ran", "open connections"):
        backends.add_column(heading, justify="right" if heading in ("ran", "open connections") else "left")
    for name, row in world.backends.items():
        backends.add_row(
            row.tier, name, STATES[row.status], str(row.backend.ran.total()), str(len(row.backend.connections))
        )
    return Group(backends, outcomes(world), Text(f"{world.sent} sent; {message}"))


def outcomes(world: World) -> Table:
    """Return the table of the outcomes of the callers' requests."""
    table = Table(title="callers", title_justify="left")
    for heading in ("class", "repeats", "served", "refused", "failed", "lost", "p50 ms", "p99 ms"):
        table.add_column(heading, justify="left" if heading in ("class", "repeats") else "right", no_wrap=True)
    for kind, tally in world.tally.items():
        counts = tally.statuses
        failed = sum(count for status, count in counts.items() if status not in (0, 200, 503))
        table.add_row(
            kind,
            KINDS[kind][1],
            str(counts.get(200, 0)),
            str(counts.get(503, 0)),
            str(failed),
            str(counts.get(0, 0)),
            f"{tally.quantile(0.5) * 1e3:.1f}",
            f"{tally.quantile(0.99) * 1e3:.1f}",
        )
    return table


async def run(seconds: float, seed: int, console: Console) -> bool:
    """Run the demo; return whether no request was lost, none ran twice and the drain was respected."""
    with TemporaryDirectory() as folder:
        world = World(Path(folder), seed)
        try:
            await world.start()
            if console.is_terminal:
                with Live(console=console, refresh_per_second=8, transient=True) as live:

                    async def draw(world: World, message: str) -> None:
                        live.update(render(world, message))

                    await play(world, seconds, draw)
            else:
                await play(world, seconds, _line_printer(console))
            console.print(render(world, "done"))
        finally:
            await world.close()
    lost, doubled, late = world.lost, world.doubled(), world.late()
    console.print(f"{lost} lost, {doubled} doubled, {late} sent to a draining backend after the grace")
    return not (lost or doubled or late)


def _line_printer(console: Console) -> Callable[[World, str], Awaitable[None]]:
    """Return a function that prints a line for each event, for output that is not a terminal."""
    previous = [""]

    async def show(world: World, message: str) -> None:
        if message != previous[0]:
            previous[0] = message
            console.print(f"after {world.sent} requests: {message}")

    return show
