"""Every order of events in a small world: states are compared exactly, and each is reached once."""

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
    """One state of a small world, which can be pickled."""

    def events(self) -> Iterator[Event]:
        """What may happen next."""

    def step(self, event: Event) -> None:
        """Let it happen; raises Violation."""

    def key(self) -> object:
        """All that decides what may come, in a form that can be hashed."""

    def settle(self) -> None:
        """Let all be well for a while; raises Violation where it does not become so."""


@dataclass(slots=True, frozen=True)
class Explored:
    """How many states were seen, and whether these are all."""

    states: int
    whole: bool


COLLECT_EVERY = 500  # worlds that are thrown away until their cycles are: the collector's own pace takes half the time
ORDINARY = {"deliver": 4, "sync": 4}  # by how much a walk goes there rather: else it spends its losses at once
SETTLE_EVERY = 16  # states of which one is looked at for whether it settles


def explore(make: Callable[[], World], most: int, rng: Random | None = None) -> Explored:
    """See `most` states at most, the nearest first; with `rng` by drawn walks, which reach deep states first.

    Raises Violation with the way that leads to it.
    """
    gc.disable()
    try:
        return _explore(make(), most, rng)
    finally:
        gc.enable()


def _explore(first: World, most: int, rng: Random | None) -> Explored:
    seen = {hash(first.key())}
    todo: deque[tuple[bytes, tuple[Event, ...]]] = deque([(pickle.dumps(first, -1), ())])
    steps = 0
    while todo:
        packed, way = todo.popleft() if rng is None else todo.pop()
        events = list(pickle.loads(packed).events())
        if rng is not None:
            rng.shuffle(events)
        for event in events:
            world: World = pickle.loads(packed)
            steps += 1
            if steps % COLLECT_EVERY == 0:
                gc.collect(1)
            try:
                world.step(event)
                found = hash(world.key())
                if found in seen:
                    continue
                seen.add(found)
                kept = pickle.dumps(world, -1)
                if len(seen) % SETTLE_EVERY == 0:
                    world.settle()
            except Violation as fault:
                told = "; ".join(" ".join(part) for part in (*way, event))
                raise Violation(f"{fault} (by: {told})") from None
            todo.append((kept, (*way, event)))
            if len(seen) >= most:
                return Explored(len(seen), False)
    return Explored(len(seen), True)


def wander(make: Callable[[], World], walks: int, rng: Random, steps: int = 150) -> int:
    """Walks from the first state, one drawn event after the other, then let all be well; returns the steps made.

    No state is kept: deep ones are reached at once. Raises Violation with the way that leads to it.
    """
    made = 0
    for _ in range(walks):
        world = make()
        way: list[Event] = []
        try:
            while len(way) < steps and (events := list(world.events())):
                weights = [ORDINARY.get(event[0], 1) for event in events]
                way.append(rng.choices(events, weights)[0])
                world.step(way[-1])
            made += len(way)
            world.settle()
        except Violation as fault:
            told = "; ".join(" ".join(part) for part in way)
            raise Violation(f"{fault} (by: {told})") from None
    return made
