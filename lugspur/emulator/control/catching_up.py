"""What it costs to bring up a control node that was away: bytes and time by the number of changes that it missed."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from lugspur.emulator.control.register_world import SERVICE, route
from lugspur.mesh.control.messages import Change, Entry, encode
from lugspur.mesh.control.register import Register

ROUTES = 400
WITHDRAWN_PART = 0.02  # of the changes


@dataclass(slots=True, frozen=True)
class Bill:
    """What one return cost."""

    changes: int
    pages: int
    size: int  # bytes of all pages
    seconds: float  # to make and to take them
    whole: int  # bytes of the whole state


def _size(register: Register, since: int) -> int:
    return sum(len(encode(page)) for page in register.pages_after(since))


def measure(changes: int, seed: int = 1) -> Bill:
    """A node is away for so many changes of 400 routes, and returns."""
    rng = Random(seed)
    source, away = Register(), Register()
    source.decide(Change("services", SERVICE))
    editions = dict.fromkeys((f"r{n:03d}" for n in range(ROUTES)), 1)
    for name in editions:
        source.decide(Change(name, route(name, 1, f"/{name}/")))
    away.learn(source.pages_after(0))
    for number in range(changes):
        name = rng.choice(list(editions))
        editions[name] += 1
        gone = rng.random() < WITHDRAWN_PART
        entries = [Entry("routes", name, editions[name], None)] if gone else route(name, editions[name], f"/{name}/")
        source.decide(Change(f"{number}", entries))
    began = time.perf_counter()
    pages = source.pages_after(away.index)
    away.learn(pages)
    seconds = time.perf_counter() - began
    assert away.items == source.items
    return Bill(changes, len(pages), sum(len(encode(page)) for page in pages), seconds, _size(source, 0))


def report() -> Iterator[str]:
    """A row for each number of changes."""
    yield "| changes missed | pages | bytes | ms to make and take them | bytes of the whole state |"
    yield "|---|---|---|---|---|"
    for changes in (10, 100, 1_000, 10_000):
        bill = measure(changes)
        yield f"| {bill.changes} | {bill.pages} | {bill.size} | {1e3 * bill.seconds:.1f} | {bill.whole} |"
