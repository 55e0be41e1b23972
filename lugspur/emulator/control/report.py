"""Tables of what was played, by several processes; an exit code of 1 where something is wrong."""

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
from lugspur.emulator.control.settings import KINDS, Setting

SMALL_FIRST = (
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
)  # settings by how often they are played: large ones take longer


# ---- drawn histories -----------------------------------------------------------------------------


@dataclass(slots=True)
class Played:
    """Histories of one setting."""

    histories: int = 0
    violations: list[str] = field(default_factory=list)
    total: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    well_after: float = 0.0  # seconds, the longest
    missed: int = 0  # changes, the most
    caught_up_after: float = 0.0

    def add(self, figures: Figures | str) -> None:
        """One more history, or how it went wrong."""
        self.histories += 1
        if isinstance(figures, str):
            self.violations.append(figures)
            return
        for name in ("confirmed", "refused", "unclear", "reads", "runs", "changes", "epochs"):
            self.total[name] += getattr(figures, name)
        self.faults.update(figures.faults)
        self.well_after = max(self.well_after, figures.well_after)
        self.missed = max(self.missed, figures.missed)
        self.caught_up_after = max(self.caught_up_after, figures.caught_up_after)

    def row(self, setting: Setting) -> str:
        """The row of a setting."""
        total = self.total
        return (
            f"| {setting.nodes} | {setting.machines}, {setting.zones} | {self.histories} | {self.faults.total()} | "
            f"{total['confirmed']} | {total['refused']} | {total['unclear']} | {total['reads']} | {total['runs']} | "
            f"{total['changes']} | {total['epochs'] - self.histories} | {self.missed} | {self.caught_up_after:.1f} | "
            f"{self.well_after:.1f} | {len(self.violations)} |"
        )


HEAD = (
    "| control nodes | machines, zones to lose | histories | faults | orders confirmed | refused | unclear | "
    "reads | runs | changes | changes of voters | missed by one that was away (most) | ...and known after s | "
    "well again after s (most) | violations |"
)


def setting_of(kind: str, seed: int) -> int:
    """Which setting of its kind a seed plays."""
    return SMALL_FIRST[seed % len(SMALL_FIRST)] if kind == "short" else seed % len(KINDS[kind])


def play(kind: str, seed: int) -> Figures | str:
    """One history, or how it went wrong."""
    try:
        return histories.History(seed, KINDS[kind][setting_of(kind, seed)]).play()
    except Violation as fault:
        return f"{kind}, seed {seed}: {fault}"


def play_all(kind: str, first: int, count: int, jobs: int) -> Iterator[str]:
    """A row for each setting; the last line tells the violations."""
    began = time.perf_counter()
    settings = KINDS[kind]
    played = [Played() for _ in settings]
    seeds = range(first, first + count)
    with ProcessPoolExecutor(jobs) as pool:
        for seed, found in zip(seeds, pool.map(partial(play, kind), seeds, chunksize=8), strict=True):
            played[setting_of(kind, seed)].add(found)
            if isinstance(found, str):
                yield found
    yield HEAD
    yield "|" + "---|" * HEAD.count(" | ") + "---|"
    for setting, one in zip(settings, played, strict=True):
        yield one.row(setting)
    faults = sum((one.faults for one in played), Counter[str]())
    yield "faults: " + ", ".join(f"{name} {count}" for name, count in faults.most_common())
    violations = sum(len(one.violations) for one in played)
    yield f"{count} histories ({kind}), {violations} violations, {time.perf_counter() - began:.0f} s"


# ---- every order of events -----------------------------------------------------------------------


SMALL_WORLDS: list[tuple[str, Callable[[], World]]] = [
    *((limits.name, partial(register_world.RegisterWorld, limits)) for limits in register_world.WHOLE_WORLDS),
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


def explore_all(most: int, jobs: int) -> Iterator[str | bool]:
    """A row for each world, and whether it is right."""
    yield "| world | states | all of them | seconds | wrong |"
    yield "|---|---|---|---|---|"
    worlds = range(len(SMALL_WORLDS))
    with ProcessPoolExecutor(jobs) as pool:
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


def take_out_all(jobs: int) -> Iterator[str | bool]:
    """A row for each guard, and whether it was caught."""
    yield "| guard that was taken out | seconds | caught by |"
    yield "|---|---|---|"
    with ProcessPoolExecutor(jobs) as pool:
        for row, found in pool.map(take_out, range(len(guards.GUARDS))):
            yield row
            yield found


# ---- the command -----------------------------------------------------------------------------------


def show(what: str, kind: str, seed: int, seeds: int, states: int, jobs: int) -> int:
    """Print a table; returns the exit code."""
    if what == "control":
        lines = list(_print(play_all(kind, seed, seeds, jobs)))
        return int(", 0 violations," not in str(lines[-1]))
    if what == "catching-up":
        list(_print(catching_up.report()))
        return 0
    return int(not all(_print(explore_all(states, jobs) if what == "explore" else take_out_all(jobs))))


def _print(lines: Iterable[str | bool]) -> Iterator[str | bool]:
    for line in lines:
        if isinstance(line, str):
            print(line, flush=True)
        yield line
