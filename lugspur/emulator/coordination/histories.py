"""Drawn histories of coordination: `python -m lugspur.emulator coordination [--seeds N] [--jobs N]`."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from lugspur import invariants
from lugspur.emulator.coordination.world import World

SIZES = ((3, 1), (3, 2), (5, 1))  # voters and spares, by seed
CHUNK = 20  # histories that a process plays in a row


@dataclass(slots=True)
class Played:
    """One history: what happened in it, and what is wrong."""

    seed: int
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)


def play(seed: int) -> Played:
    """Play the history of a seed."""
    invariants.violations.clear()
    voters, spares = SIZES[seed % len(SIZES)]
    world = World(seed, voters, spares)
    found = world.play()
    found += [f"INVARIANT: {invariant.value}" for invariant, count in invariants.violations.items() if count]
    history = world.history
    counts = Counter(
        tenures=len(history.tenures),
        numbers=len(history.numbers),
        puts=sum(put.revision > 0 for put in history.puts),
        unclear=sum(put.is_unclear for put in history.puts),
        mismatches=len(history.mismatches),
        reads=len(history.reads),
        watched=sum(len(seen.puts) for seen in history.watch_observations),
        epochs=world.membership.epoch,
    )
    return Played(seed, found, counts, world.faults)


def play_many(seeds: range, jobs: int) -> Iterator[Played]:
    """Play the histories of many seeds, in several processes."""
    if jobs == 1:
        yield from map(play, seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play, seeds, chunksize=CHUNK)


def show(first: int, count: int, jobs: int) -> int:
    """Play histories and print what they had; returns the exit status, 1 where anything is wrong."""
    began = time.monotonic()
    counts: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    wrong: list[Played] = []
    for played in play_many(range(first, first + count), jobs):
        counts.update(played.counts)
        faults.update(played.faults)
        if played.violations:
            wrong.append(played)
            print(f"seed {played.seed}: {'; '.join(played.violations[:3])}", flush=True)
    print(f"{count} histories from seed {first}, {len(wrong)} violated, {time.monotonic() - began:.0f} s")
    print("seen: " + ", ".join(f"{number} {name}" for name, number in sorted(counts.items())))
    print("faults: " + ", ".join(f"{number} {name}" for name, number in sorted(faults.items())))
    return 1 if wrong else 0
