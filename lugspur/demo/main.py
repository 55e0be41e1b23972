"""The demo from start to end: load, a kill, a drain, a live view, and a verdict."""

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
RATE = 60.0  # requests a second
KILLED, DRAINED = "channel-core-2", "inventory-store-1"
LOOK_EVERY = 0.25  # seconds between two pictures
STATES = {
    "in_service": "[green]up",
    "killed": "[red]killed, still listed",
    "unlisted": "[red]killed",
    "terminating": "[yellow]draining",
}


async def play(world: World, seconds: float, show: Callable[[World, str], Awaitable[None]]) -> None:
    """Load for so many seconds; half-way one backend is killed, then another drained."""
    loop = asyncio.get_running_loop()
    begun, said = loop.time(), "all is well"
    script: list[tuple[float, str, Callable[[], None]]] = [
        (0.40, f"{KILLED} is killed; the list goes on naming it", lambda: world.kill(KILLED)),
        (0.55, f"the list has noticed; {DRAINED} is told to drain", lambda: world.notice(KILLED, DRAINED)),
    ]
    calls: set[asyncio.Task[None]] = set()
    looked = begun
    while (passed := loop.time() - begun) < seconds:
        if script and passed >= script[0][0] * seconds:
            _, said, act = script.pop(0)
            act()
        while world.sent < passed * RATE:
            task = loop.create_task(world.call())
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(0)
        if loop.time() >= looked:
            looked += LOOK_EVERY
            await show(world, said)
        await asyncio.sleep(0.005)
    await asyncio.gather(*calls)


def picture(world: World, said: str) -> Group:
    """What goes where, now."""
    boxes = Table(title="backends", title_justify="left")
    for heading in ("tier", "backend", "state", "ran", "open connections"):
        boxes.add_column(heading, justify="right" if heading in ("ran", "open connections") else "left")
    for name, box in world.boxes.items():
        boxes.add_row(
            box.tier, name, STATES[box.status], str(box.backend.ran.total()), str(len(box.backend.connections))
        )
    return Group(boxes, outcomes(world), Text(f"{world.sent} sent; {said}"))


def outcomes(world: World) -> Table:
    """What became of the callers' requests."""
    table = Table(title="callers", title_justify="left")
    for heading in ("class", "repeats", "served", "refused", "failed", "lost", "p50 ms", "p99 ms"):
        table.add_column(heading, justify="left" if heading in ("class", "repeats") else "right", no_wrap=True)
    for kind, tally in world.tally.items():
        seen = tally.statuses
        failed = sum(count for status, count in seen.items() if status not in (0, 200, 503))
        table.add_row(
            kind,
            KINDS[kind][1],
            str(seen.get(200, 0)),
            str(seen.get(503, 0)),
            str(failed),
            str(seen.get(0, 0)),
            f"{tally.quantile(0.5) * 1e3:.1f}",
            f"{tally.quantile(0.99) * 1e3:.1f}",
        )
    return table


async def run(seconds: float, seed: int, console: Console) -> bool:
    """Play it; whether no request was lost, none doubled and the drain kept."""
    with TemporaryDirectory() as folder:
        world = World(Path(folder), seed)
        try:
            await world.start()
            if console.is_terminal:
                with Live(console=console, refresh_per_second=8, transient=True) as live:

                    async def draw(world: World, said: str) -> None:
                        live.update(picture(world, said))

                    await play(world, seconds, draw)
            else:
                await play(world, seconds, _lines(console))
            console.print(picture(world, "done"))
        finally:
            await world.close()
    lost, doubled, late = world.lost, world.doubled(), world.late()
    console.print(f"{lost} lost, {doubled} doubled, {late} sent to a draining backend after the grace")
    return not (lost or doubled or late)


def _lines(console: Console) -> Callable[[World, str], Awaitable[None]]:
    """A line for each thing that happens, where nobody watches a terminal."""
    last = [""]

    async def show(world: World, said: str) -> None:
        if said != last[0]:
            last[0] = said
            console.print(f"after {world.sent} requests: {said}")

    return show
