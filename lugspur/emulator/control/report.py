"""Tables of the results of histories, models and guards, which run in several processes.

The exit code is 1 if there is a violation, or if a missing guard was not detected.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial

from lugspur.emulator.control import catching_up, guards, histories, register_world, reservation_world
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.explorer import World, explore
from lugspur.emulator.control.mesh_world import HistoryCounters
from lugspur.emulator.control.settings import KINDS, Setting

# Indexes into the settings of short histories, as often as each is played. Large settings take longer and come rarely.
SETTING_ORDER = (
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
)


# ---- random histories ----------------------------------------------------------------------------


@dataclass(slots=True)
class SettingTotals:
    """Totals of the histories of one setting."""

    histories: int = 0
    violations: list[str] = field(default_factory=list)
    total: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    recovered_after_s: float = 0.0  # longest recovery, in seconds
    missed_changes: int = 0  # most changes that a node missed while it was away
    caught_up_after_s: float = 0.0  # longest catch-up, in seconds

    def add(self, counters: HistoryCounters | str) -> None:
        """Add the counters of a history, or the text of its violation."""
        self.histories += 1
        if isinstance(counters, str):
            self.violations.append(counters)
            return
        for name in ("confirmed", "refused", "unclear", "reads", "runs", "changes", "epochs"):
            self.total[name] += getattr(counters, name)
        self.faults.update(counters.faults)
        self.recovered_after_s = max(self.recovered_after_s, counters.recovered_after_s)
        self.missed_changes = max(self.missed_changes, counters.missed_changes)
        self.caught_up_after_s = max(self.caught_up_after_s, counters.caught_up_after_s)

    def row(self, setting: Setting) -> str:
        """Return the table row of a setting."""
        total = self.total
        return (
            f"| {setting.nodes} | {setting.max_lost_machines}, {setting.max_lost_zones} | {self.histories} | "
            f"{self.faults.total()} | {total['confirmed']} | {total['refused']} | {total['unclear']} | "
            f"{total['reads']} | {total['runs']} | {total['changes']} | {total['epochs'] - self.histories} | "
            f"{self.missed_changes} | {self.caught_up_after_s:.1f} | {self.recovered_after_s:.1f} | "
            f"{len(self.violations)} |"
        )


TABLE_HEAD = (
    "| control nodes | machines, zones to lose | histories | faults | orders confirmed | refused | unclear | "
    "reads | runs | changes | changes of voters | missed by one that was away (most) | ...and known after s | "
    "well again after s (most) | violations |"
)


def setting_index(kind: str, seed: int) -> int:
    """Return the index of the setting that a seed plays."""
    return SETTING_ORDER[seed % len(SETTING_ORDER)] if kind == "short" else seed % len(KINDS[kind])


def play(kind: str, seed: int) -> HistoryCounters | str:
    """Play one history; return its counters or the text of its violation."""
    try:
        return histories.History(seed, KINDS[kind][setting_index(kind, seed)]).play()
    except Violation as violation:
        return f"{kind}, seed {seed}: {violation}"


def play_all(kind: str, first: int, count: int, jobs: int) -> Iterator[str]:
    """Yield the violations and a table with a row for each setting; the last line counts the violations."""
    started_at = time.perf_counter()
    settings = KINDS[kind]
    totals = [SettingTotals() for _ in settings]
    seeds = range(first, first + count)
    with ProcessPoolExecutor(jobs) as pool:
        for seed, result in zip(seeds, pool.map(partial(play, kind), seeds, chunksize=8), strict=True):
            totals[setting_index(kind, seed)].add(result)
            if isinstance(result, str):
                yield result
    yield TABLE_HEAD
    yield "|" + "---|" * TABLE_HEAD.count(" | ") + "---|"
    for setting, setting_totals in zip(settings, totals, strict=True):
        yield setting_totals.row(setting)
    faults = sum((setting_totals.faults for setting_totals in totals), Counter[str]())
    yield "faults: " + ", ".join(f"{name} {count}" for name, count in faults.most_common())
    violations = sum(len(setting_totals.violations) for setting_totals in totals)
    yield f"{count} histories ({kind}), {violations} violations, {time.perf_counter() - started_at:.0f} s"


# ---- all orders of events ------------------------------------------------------------------------


MODELS: list[tuple[str, Callable[[], World]]] = [
    *((limits.name, partial(register_world.RegisterWorld, limits)) for limits in register_world.EXHAUSTIVE_WORLDS),
    *((limits.name, partial(register_world.RegisterWorld, limits)) for limits in register_world.WORLDS),
    *((limits.name, partial(reservation_world.ReservationWorld, limits)) for limits in reservation_world.WORLDS),
]


def explore_model(number: int, max_states: int) -> tuple[str, bool]:
    """Explore one model; return its table row, and whether there is no violation."""
    started_at = time.perf_counter()
    name, make = MODELS[number]
    violation_text, states, is_exhaustive = "none", 0, False
    try:
        result = explore(make, max_states)
        states, is_exhaustive = result.states, result.is_exhaustive
    except Violation as violation:
        violation_text = str(violation)
    elapsed = time.perf_counter() - started_at
    return (
        f"| {name} | {states} | {'yes' if is_exhaustive else 'no'} | {elapsed:.0f} | {violation_text} |",
        violation_text == "none",
    )


def explore_all(max_states: int, jobs: int) -> Iterator[str | bool]:
    """Yield a table row for each model, each followed by whether there is no violation."""
    yield "| world | states | all of them | seconds | wrong |"
    yield "|---|---|---|---|---|"
    worlds = range(len(MODELS))
    with ProcessPoolExecutor(jobs) as pool:
        for row, is_correct in pool.map(explore_model, worlds, [max_states] * len(worlds)):
            yield row
            yield is_correct


# ---- guards ----------------------------------------------------------------------------------------


def check_guard(number: int) -> tuple[str, bool]:
    """Run the detector of one guard without it; return its table row, and whether the missing guard was detected."""
    started_at = time.perf_counter()
    guard = guards.GUARDS[number]
    result = guards.detect_without(guard)
    detected_by = result.replace("|", "/") if result else "NOT CAUGHT"
    return f"| {guard.name} | {time.perf_counter() - started_at:.0f} | {detected_by} |", bool(result)


def check_all_guards(jobs: int) -> Iterator[str | bool]:
    """Yield a table row for each guard, each followed by whether the missing guard was detected."""
    yield "| guard that was taken out | seconds | caught by |"
    yield "|---|---|---|"
    with ProcessPoolExecutor(jobs) as pool:
        for row, is_detected in pool.map(check_guard, range(len(guards.GUARDS))):
            yield row
            yield is_detected


# ---- the command -----------------------------------------------------------------------------------


def show(command: str, kind: str, seed: int, seeds: int, states: int, jobs: int) -> int:
    """Print a table and return the exit code."""
    if command == "control":
        lines = list(_print_lines(play_all(kind, seed, seeds, jobs)))
        return int(", 0 violations," not in str(lines[-1]))
    if command == "catching-up":
        list(_print_lines(catching_up.report()))
        return 0
    return int(not all(_print_lines(explore_all(states, jobs) if command == "explore" else check_all_guards(jobs))))


def _print_lines(lines: Iterable[str | bool]) -> Iterator[str | bool]:
    for line in lines:
        if isinstance(line, str):
            print(line, flush=True)
        yield line
