"""Random histories of coordination: `python -m lugspur.emulator coordination [--seeds N] [--jobs N]`."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from lugspur import invariants
from lugspur.emulator.coordination.world import World

SIZES = ((3, 1), (3, 2), (5, 1))  # numbers of voters and of spare nodes; the seed selects one
CHUNK_SIZE = 20  # histories in each task of a worker process


@dataclass(slots=True)
class HistoryResult:
    """The counts of events and faults in one history, and its violations."""

    seed: int
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)


def play(seed: int) -> HistoryResult:
    """Simulate the history of a seed."""
    invariants.violations.clear()
    voters, spares = SIZES[seed % len(SIZES)]
    world = World(seed, voters, spares)
    violations = world.play()
    violations += [f"INVARIANT: {invariant.value}" for invariant, count in invariants.violations.items() if count]
    history = world.history
    counts = Counter(
        tenures=len(history.tenures),
        numbers=len(history.numbers),
        puts=sum(put.revision > 0 for put in history.puts),
        unclear=sum(put.is_unclear for put in history.puts),
        mismatches=len(history.mismatches),
        reads=len(history.reads),
        watched=sum(len(response.puts) for response in history.watch_observations),
        epochs=world.membership.epoch,
    )
    return HistoryResult(seed, violations, counts, world.faults)


def play_many(seeds: range, jobs: int) -> Iterator[HistoryResult]:
    """Simulate the histories of many seeds, in several processes."""
    if jobs == 1:
        yield from map(play, seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play, seeds, chunksize=CHUNK_SIZE)


def show(first: int, count: int, jobs: int) -> int:
    """Simulate histories and print a summary; returns the exit status, 1 if there are violations."""
    started_at = time.monotonic()
    counts: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    violated: list[HistoryResult] = []
    for result in play_many(range(first, first + count), jobs):
        counts.update(result.counts)
        faults.update(result.faults)
        if result.violations:
            violated.append(result)
            print(f"seed {result.seed}: {'; '.join(result.violations[:3])}", flush=True)
    print(f"{count} histories from seed {first}, {len(violated)} violated, {time.monotonic() - started_at:.0f} s")
    print("seen: " + ", ".join(f"{number} {name}" for name, number in sorted(counts.items())))
    print("faults: " + ", ".join(f"{number} {name}" for name, number in sorted(faults.items())))
    return 1 if violated else 0
