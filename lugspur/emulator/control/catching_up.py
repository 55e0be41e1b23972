"""The cost of catching up a control node that was away: bytes and time by the number of changes that it missed."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from lugspur.emulator.control.register_world import SERVICE, route
from lugspur.mesh.control.messages import Change, Entry, encode
from lugspur.mesh.control.register import Register

ROUTES = 400
# Fraction of the changes that withdraw a route.
WITHDRAWN_FRACTION = 0.02


@dataclass(slots=True, frozen=True)
class CatchUpCost:
    """The cost of one catch-up."""

    changes: int
    pages: int
    size: int  # bytes of all pages
    seconds: float  # time to make and to learn the pages
    full_size: int  # bytes of the pages of the complete state


def _pages_size(register: Register, since: int) -> int:
    return sum(len(encode(page)) for page in register.pages_after(since))


def measure(changes: int, seed: int = 1) -> CatchUpCost:
    """Measure the catch-up of a node that missed a number of changes to 400 routes."""
    rng = Random(seed)
    source, replica = Register(), Register()
    source.decide(Change("services", SERVICE))
    editions = dict.fromkeys((f"r{n:03d}" for n in range(ROUTES)), 1)
    for name in editions:
        source.decide(Change(name, route(name, 1, f"/{name}/")))
    replica.learn(source.pages_after(0))
    for number in range(changes):
        name = rng.choice(list(editions))
        editions[name] += 1
        is_withdrawn = rng.random() < WITHDRAWN_FRACTION
        entries = (
            [Entry("routes", name, editions[name], None)] if is_withdrawn else route(name, editions[name], f"/{name}/")
        )
        source.decide(Change(f"{number}", entries))
    started_at = time.perf_counter()
    pages = source.pages_after(replica.index)
    replica.learn(pages)
    seconds = time.perf_counter() - started_at
    assert replica.items == source.items
    return CatchUpCost(changes, len(pages), sum(len(encode(page)) for page in pages), seconds, _pages_size(source, 0))


def report() -> Iterator[str]:
    """Yield the lines of a table with a row for each number of changes."""
    yield "| changes missed | pages | bytes | ms to make and take them | bytes of the whole state |"
    yield "|---|---|---|---|---|"
    for changes in (10, 100, 1_000, 10_000):
        cost = measure(changes)
        yield f"| {cost.changes} | {cost.pages} | {cost.size} | {1e3 * cost.seconds:.1f} | {cost.full_size} |"
