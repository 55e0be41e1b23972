"""Tables of what was played, by as many processes as `JOBS` says; an exit code of 1 where something is wrong."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial

from lugspur.emulator.control import catching_up, claims_world, guards, histories, register_world
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.explorer import World, explore
from lugspur.emulator.control.mesh_world import Figures

JOBS = 4
SMALL_FIRST = [
    0,
    0,
    0,
    1,
    1,
    2,
    2,
    3,
    3,
    4,
    4,
    5,
    6,
    7,
]  # settings by how often they are played: large ones take longer


# ---- drawn histories -----------------------------------------------------------------------------


@dataclass(slots=True)
class Played:
    """Histories of one setting."""

    histories: int = 0
    violations: list[str] = field(default_factory=list)
    total: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    well_after: list[float] = field(default_factory=list)

    def add(self, figures: Figures | str) -> None:
        """One more history, or how it went wrong."""
        self.histories += 1
        if isinstance(figures, str):
            self.violations.append(figures)
            return
        for name in ("confirmed", "refused", "unclear", "reads", "runs", "changes", "epochs"):
            self.total[name] += getattr(figures, name)
        self.faults.update(figures.faults)
        self.well_after.append(figures.well_after)


def setting_of(seed: int) -> int:
    """Which setting a seed plays."""
    return SMALL_FIRST[seed % len(SMALL_FIRST)]


def play(seed: int) -> Figures | str:
    """One history, or how it went wrong."""
    try:
        return histories.play(seed, histories.SETTINGS[setting_of(seed)])
    except Violation as fault:
        return f"seed {seed}: {fault}"


def play_all(first: int, count: int) -> Iterator[str]:
    """A row for each setting; the last line tells the violations."""
    began = time.perf_counter()
    played = [Played() for _ in histories.SETTINGS]
    seeds = range(first, first + count)
    with ProcessPoolExecutor(JOBS) as pool:
        for seed, found in zip(seeds, pool.map(play, seeds, chunksize=8), strict=True):
            played[setting_of(seed)].add(found)
    yield (
        "| control nodes | machines, zones to lose | histories | faults | orders confirmed | refused | unclear | "
        "reads | runs | changes | changes of voters | well again after s (most) | violations |"
    )
    yield "|" + "---|" * 13
    for setting, one in zip(histories.SETTINGS, played, strict=True):
        total = one.total
        yield (
            f"| {setting.nodes} | {setting.machines}, {setting.zones} | {one.histories} | {one.faults.total()} | "
            f"{total['confirmed']} | {total['refused']} | {total['unclear']} | {total['reads']} | {total['runs']} | "
            f"{total['changes']} | {total['epochs'] - one.histories} | {max(one.well_after, default=0.0):.1f} | "
            f"{len(one.violations)} |"
        )
    faults = sum((one.faults for one in played), Counter[str]())
    yield "faults: " + ", ".join(f"{name} {count}" for name, count in faults.most_common())
    yield from (fault for one in played for fault in one.violations)
    violations = sum(len(one.violations) for one in played)
    yield f"{count} histories, {violations} violations, {time.perf_counter() - began:.0f} s"


# ---- every order of events -----------------------------------------------------------------------


SMALL_WORLDS: list[tuple[str, Callable[[], World]]] = [
    *((limits.name, partial(register_world.RegisterWorld, limits)) for limits in register_world.WORLDS),
    *((limits.name, partial(claims_world.ClaimsWorld, limits)) for limits in claims_world.WORLDS),
]


def explore_world(number: int, most: int) -> tuple[str, bool]:
    """A row of one small world, and whether nothing is wrong in it."""
    began = time.perf_counter()
    name, make = SMALL_WORLDS[number]
    wrong, states, whole = "none", 0, False
    try:
        found = explore(make, most)
        states, whole = found.states, found.whole
    except Violation as fault:
        wrong = str(fault)
    taken = time.perf_counter() - began
    return f"| {name} | {states} | {'yes' if whole else 'no'} | {taken:.0f} | {wrong} |", wrong == "none"


def explore_all(most: int) -> Iterator[str | bool]:
    """A row for each world, and whether it is right."""
    yield "| world | states | all of them | seconds | wrong |"
    yield "|---|---|---|---|---|"
    worlds = range(len(SMALL_WORLDS))
    with ProcessPoolExecutor(JOBS) as pool:
        for row, right in pool.map(explore_world, worlds, [most] * len(worlds)):
            yield row
            yield right


# ---- guards ----------------------------------------------------------------------------------------


def take_out(number: int) -> tuple[str, bool]:
    """A row of one guard, and whether it is needed by what is played."""
    began = time.perf_counter()
    guard = guards.GUARDS[number]
    found = guards.caught(guard)
    told = found.replace("|", "/") if found else "NOT CAUGHT"
    return f"| {guard.name} | {time.perf_counter() - began:.0f} | {told} |", bool(found)


def take_out_all() -> Iterator[str | bool]:
    """A row for each guard, and whether it was caught."""
    yield "| guard that was taken out | seconds | caught by |"
    yield "|---|---|---|"
    with ProcessPoolExecutor(JOBS) as pool:
        for row, found in pool.map(take_out, range(len(guards.GUARDS))):
            yield row
            yield found


# ---- the command -----------------------------------------------------------------------------------


def show(what: str, seed: int, seeds: int, states: int) -> int:
    """Print a table; returns the exit code."""
    if what == "control":
        lines = list(_print(play_all(seed, seeds)))
        return int(", 0 violations," not in str(lines[-1]))
    if what == "catching-up":
        list(_print(catching_up.report()))
        return 0
    return int(not all(_print(explore_all(states) if what == "explore" else take_out_all())))


def _print(lines: Iterable[str | bool]) -> Iterator[str | bool]:
    for line in lines:
        if isinstance(line, str):
            print(line, flush=True)
        yield line
