"""Exploration of all orders of events in a small model: each state is visited once, by the hash of its exact key."""

from __future__ import annotations

import gc
import pickle
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Protocol

from lugspur.emulator.control.checks import Violation

Event = tuple[str, ...]


class World(Protocol):
    """One state of a model, which can be pickled."""

    def events(self) -> Iterator[Event]:
        """Yield the events that are possible in this state."""

    def step(self, event: Event) -> None:
        """Apply an event; raises Violation if that breaks a guarantee."""

    def key(self) -> object:
        """Return everything that future behaviour depends on, as a hashable value."""

    def check_recovery(self) -> None:
        """Run without further faults; raises Violation if the system does not recover."""


@dataclass(slots=True, frozen=True)
class ExplorationResult:
    """The number of states that were visited, and whether these are all that can be reached."""

    states: int
    is_exhaustive: bool


# Number of discarded worlds after which the garbage collector runs. Automatic collection takes half of the run time.
GC_INTERVAL = 500
# Weights of ordinary events in a random walk; others have 1. With equal weights a walk uses up its faults at once.
EVENT_WEIGHTS = {"deliver": 4, "sync": 4}
# One state in this many is checked for recovery.
RECOVERY_CHECK_INTERVAL = 16


def explore(make: Callable[[], World], max_states: int, rng: Random | None = None) -> ExplorationResult:
    """Visit at most `max_states` states, breadth first; with `rng` depth first in random order.

    Raises Violation with the events that lead to it.
    """
    gc.disable()
    try:
        return _explore(make(), max_states, rng)
    finally:
        gc.enable()


def _explore(initial: World, max_states: int, rng: Random | None) -> ExplorationResult:
    seen = {hash(initial.key())}
    pending: deque[tuple[bytes, tuple[Event, ...]]] = deque([(pickle.dumps(initial, -1), ())])
    steps = 0
    while pending:
        pickled, path = pending.popleft() if rng is None else pending.pop()
        events = list(pickle.loads(pickled).events())
        if rng is not None:
            rng.shuffle(events)
        for event in events:
            world: World = pickle.loads(pickled)
            steps += 1
            if steps % GC_INTERVAL == 0:
                gc.collect(1)
            try:
                world.step(event)
                state_hash = hash(world.key())
                if state_hash in seen:
                    continue
                seen.add(state_hash)
                pickled_next = pickle.dumps(world, -1)
                if len(seen) % RECOVERY_CHECK_INTERVAL == 0:
                    world.check_recovery()
            except Violation as violation:
                path_text = "; ".join(" ".join(event_parts) for event_parts in (*path, event))
                raise Violation(f"{violation} (by: {path_text})") from None
            pending.append((pickled_next, (*path, event)))
            if len(seen) >= max_states:
                return ExplorationResult(len(seen), False)
    return ExplorationResult(len(seen), True)


def random_walks(make: Callable[[], World], walks: int, rng: Random, steps: int = 150) -> int:
    """Take random walks from the initial state and check recovery after each; returns the number of steps.

    No visited states are stored, so that deep states are reached quickly. Raises Violation with the events that lead
    to it.
    """
    step_count = 0
    for _ in range(walks):
        world = make()
        path: list[Event] = []
        try:
            while len(path) < steps and (events := list(world.events())):
                weights = [EVENT_WEIGHTS.get(event[0], 1) for event in events]
                path.append(rng.choices(events, weights)[0])
                world.step(path[-1])
            step_count += len(path)
            world.check_recovery()
        except Violation as violation:
            path_text = "; ".join(" ".join(event_parts) for event_parts in path)
            raise Violation(f"{violation} (by: {path_text})") from None
    return step_count
