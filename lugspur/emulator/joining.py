"""Ways to join like reads, tried in virtual time: how many calls they save, and whom they hold up.

`python -m lugspur.emulator joining` compares them at 0.5 to 4 times what the boxes can do; `--plot FILE` draws it.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import accumulate
from random import Random
from typing import Protocol

from lugspur.emulator.backends import Kind
from lugspur.emulator.clock import Clock
from lugspur.emulator.world import FAILED, LATE, SERVED, TURNED, World
from lugspur.joining.flight_table import (
    Action,
    CallSeparately,
    CancelCall,
    Deliver,
    Expire,
    ExtendDeadline,
    FlightTable,
    StartCall,
)
from lugspur.joining.sharing import SHARED_BY_ALL
from lugspur.load_balancing.model import Limits, RequestClass, RetrySafety, Settings, Tenant

AIM, DEADLINE, SHORT = 0.41, 1.0, 0.06  # seconds; one read in ten has the short deadline
SHORT_PART = 0.1
HOTELS = 2000  # asked for by Zipf's law
SKEW = 1.1
BOXES, KIND = 20, Kind(slots=4, queue=64, work=0.05, wrong=0.01)
TENANTS = 8
LOADS = (0.5, 1.0, 2.0, 4.0)
READS = 20_000  # at each load


@dataclass(slots=True)
class Read:
    """One read: what it asks for, until when, and what became of it."""

    hotel: int
    tenant: int
    asked: float
    deadline: float
    end: str = ""
    ended: float = 0.0
    age: float = 0.0  # how long before it its call had begun, in seconds


class Way(Protocol):
    """One way to join reads."""

    def ask(self, read: Read) -> None:
        """A read has come."""


class EachItsOwn:
    """No two are joined."""

    def __init__(self, world: World) -> None:
        self._world = world

    def ask(self, read: Read) -> None:
        self._world.call(0, read.tenant, read.deadline, lambda how: _end(self._world, read, how))


class SingleFlight:
    """The common way: whoever comes while a call runs shares its fate, whatever its age, its time and its end."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._flights: dict[int, list[Read]] = {}
        self._began: dict[int, float] = {}

    def ask(self, read: Read) -> None:
        world, hotel = self._world, read.hotel
        if hotel in self._flights:
            read.age = world.clock.now - self._began[hotel]
            self._flights[hotel].append(read)
            return
        self._flights[hotel], self._began[hotel] = [read], world.clock.now
        world.call(0, read.tenant, read.deadline, lambda how: self._landed(hotel, how))

    def _landed(self, hotel: int, how: str) -> None:
        for read in self._flights.pop(hotel):
            late = self._world.clock.now > read.deadline
            _end(self._world, read, LATE if late else how, min(self._world.clock.now, read.deadline))


class Joined:
    """The way of the flight table."""

    def __init__(self, world: World, within: float) -> None:
        self._world, self._within = world, within
        self.flight_table = FlightTable(1 << 20)
        self._reads: dict[int, Read] = {}
        self._calls: dict[int, str] = {}
        self._count = 0

    def ask(self, read: Read) -> None:
        self._count += 1
        number = self._count
        self._reads[number] = read
        now, tenant = self._world.clock.now, str(read.tenant)
        actions = self.flight_table.add_read(now, number, read.hotel, self._within, tenant, read.deadline, {})
        member = self.flight_table.members.get(number)
        if member is not None:
            read.age = now - member.flight.started_at
        self._perform(actions)

    def _perform(self, actions: list[Action], how: str = "") -> None:
        for action in actions:
            if isinstance(action, StartCall):
                read, flight = self._reads[action.member], action.flight
                rid = self._world.call(0, read.tenant, action.deadline, partial(self._landed, flight))
                if flight in self.flight_table.flights:
                    self._calls[flight] = rid
            elif isinstance(action, ExtendDeadline):
                self._world.extend(self._calls[action.flight], action.deadline)
            elif isinstance(action, CancelCall):
                self._world.gone(self._calls.pop(action.flight))
            elif isinstance(action, CallSeparately):
                EachItsOwn(self._world).ask(self._reads.pop(action.member))
            else:
                ways = {Deliver: how, Expire: LATE}
                _end(self._world, self._reads.pop(action.member), ways.get(type(action), TURNED))
        due = self.flight_table.next_deadline()
        if due is not None:
            self._world.clock.call_at(due, self._due)

    def _due(self) -> None:
        actions = self.flight_table.expire(self._world.clock.now)
        if actions:
            self._perform(actions)

    def _landed(self, flight: int, how: str) -> None:
        self._calls.pop(flight, None)
        now = self._world.clock.now
        actions = (
            self.flight_table.reject_call(now, flight)
            if how == TURNED
            else self.flight_table.finish_call(now, flight, SHARED_BY_ALL, 1 << 20)
        )
        self._perform(actions, how)


def _end(world: World, read: Read, how: str, at: float | None = None) -> None:
    assert not read.end
    read.end, read.ended = how, world.clock.now if at is None else at


@dataclass(slots=True, frozen=True)
class Found:
    """What one way came to at one load, as parts of all reads."""

    calls: float
    timely: float  # served within the aim, or before a shorter deadline
    failed: float  # failed or late, though sent
    turned: float
    oldest: float  # seconds that the oldest call was before the read that it answered


WAYS: dict[str, Callable[[World], Way]] = {
    "each its own": EachItsOwn,
    "single flight": SingleFlight,
    "joined within 20 ms": lambda world: Joined(world, 0.02),
    "joined within 100 ms": lambda world: Joined(world, 0.1),
    "joined within 1 s": lambda world: Joined(world, 1.0),
}


def settings() -> Settings:
    """What the decision module is told."""
    reads = RequestClass("read", latency_target=AIM, deadline=DEADLINE, retry_safety=RetrySafety.SAFE, late_value=1.0)
    return Settings(
        classes=(reads,),
        tenants=tuple(Tenant(f"t{n}") for n in range(TENANTS)),
        limits=Limits(allows_cancel=True, max_attempts=3),
    )


def play(way: Callable[[World], Way], load: float, seed: int, count: int = READS) -> Found:
    """So many reads at that load, as a multiple of what the boxes can do."""
    clock, rng = Clock(), Random(seed)
    world = World(clock, settings(), BOXES, KIND, seed)
    joining = way(world)
    popular = list(accumulate(1.0 / rank**SKEW for rank in range(1, HOTELS + 1)))
    reads: list[Read] = []
    when = 0.0
    for _ in range(count):
        when += rng.expovariate(load * BOXES * KIND.rate())
        left = SHORT if rng.random() < SHORT_PART else DEADLINE
        read = Read(bisect(popular, rng.random() * popular[-1]), rng.randrange(TENANTS), when, when + left)
        reads.append(read)
        clock.call_at(when, lambda read=read: joining.ask(read))  # type: ignore[misc]
    clock.run()
    if any(not read.end for read in reads):
        raise AssertionError("a read has no end")
    return _found(reads, world.ran())


def _found(reads: list[Read], ran: int) -> Found:
    count = len(reads)
    timely = sum(r.end == SERVED and r.ended - r.asked <= min(AIM, r.deadline - r.asked) for r in reads)
    failed = sum(r.end in (FAILED, LATE) for r in reads)
    turned = sum(r.end == TURNED for r in reads)
    oldest = max((r.age for r in reads if r.end == SERVED), default=0.0)
    return Found(ran / count, timely / count, failed / count, turned / count, oldest)


def compare(seed: int, count: int = READS) -> dict[str, dict[float, Found]]:
    """All ways at all loads."""
    return {name: {load: play(way, load, seed, count) for load in LOADS} for name, way in WAYS.items()}
