"""Strategies of request coalescing in virtual time: how many calls they save, and which reads they delay.

`python -m lugspur.emulator joining` compares them at 0.5 to 4 times the capacity of the backends; `--plot FILE` draws
a plot.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import accumulate
from random import Random
from typing import Protocol

from lugspur.emulator.backends import BackendSettings
from lugspur.emulator.clock import Clock
from lugspur.emulator.world import FAILED, LATE, REJECTED, SERVED, World
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

LATENCY_TARGET, DEADLINE, SHORT_DEADLINE = 0.41, 1.0, 0.06  # seconds
SHORT_DEADLINE_FRACTION = 0.1  # fraction of the reads that have the short deadline
KEY_COUNT = 2000  # keys that reads request, distributed by Zipf's law
ZIPF_EXPONENT = 1.1
BACKEND_COUNT = 20
BACKEND_SETTINGS = BackendSettings(slots=4, queue_limit=64, mean_service_time=0.05, error_fraction=0.01)
TENANTS = 8
LOADS = (0.5, 1.0, 2.0, 4.0)  # as multiples of the capacity of the backends
READ_COUNT = 20_000  # reads at each load


@dataclass(slots=True)
class Read:
    """One read: the requested key, its deadline and its end."""

    key: int
    tenant: int
    sent_at: float
    deadline: float
    end: str = ""
    ended_at: float = 0.0
    age: float = 0.0  # seconds between the start of the call that serves this read and the read itself


class Strategy(Protocol):
    """A strategy of request coalescing."""

    def start(self, read: Read) -> None:
        """Start a call for a read, or add the read to a running call."""


class NoCoalescing:
    """Each read has a call of its own."""

    def __init__(self, world: World) -> None:
        self._world = world

    def start(self, read: Read) -> None:
        self._world.request(0, read.tenant, read.deadline, lambda end: _end(self._world, read, end))


class SingleFlight:
    """The common strategy: a read joins the running call for its key, whatever the call's age, deadline and end."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._flights: dict[int, list[Read]] = {}
        self._started_at: dict[int, float] = {}

    def start(self, read: Read) -> None:
        world, key = self._world, read.key
        if key in self._flights:
            read.age = world.clock.now - self._started_at[key]
            self._flights[key].append(read)
            return
        self._flights[key], self._started_at[key] = [read], world.clock.now
        world.request(0, read.tenant, read.deadline, lambda end: self._call_ended(key, end))

    def _call_ended(self, key: int, end: str) -> None:
        for read in self._flights.pop(key):
            late = self._world.clock.now > read.deadline
            _end(self._world, read, LATE if late else end, min(self._world.clock.now, read.deadline))


class FlightTableCoalescing:
    """The strategy of the flight table in service."""

    def __init__(self, world: World, max_age: float) -> None:
        self._world, self._max_age = world, max_age
        self.flight_table = FlightTable(1 << 20)
        self._reads: dict[int, Read] = {}
        self._calls: dict[int, str] = {}
        self._count = 0

    def start(self, read: Read) -> None:
        self._count += 1
        member_id = self._count
        self._reads[member_id] = read
        now, tenant = self._world.clock.now, str(read.tenant)
        actions = self.flight_table.add_read(now, member_id, read.key, self._max_age, tenant, read.deadline, {})
        member = self.flight_table.members.get(member_id)
        if member is not None:
            read.age = now - member.flight.started_at
        self._perform(actions)

    def _perform(self, actions: list[Action], end: str = "") -> None:
        for action in actions:
            if isinstance(action, StartCall):
                read, flight = self._reads[action.member], action.flight
                request_id = self._world.request(0, read.tenant, action.deadline, partial(self._call_ended, flight))
                if flight in self.flight_table.flights:
                    self._calls[flight] = request_id
            elif isinstance(action, ExtendDeadline):
                self._world.extend(self._calls[action.flight], action.deadline)
            elif isinstance(action, CancelCall):
                self._world.cancel(self._calls.pop(action.flight))
            elif isinstance(action, CallSeparately):
                NoCoalescing(self._world).start(self._reads.pop(action.member))
            else:
                ends = {Deliver: end, Expire: LATE}
                _end(self._world, self._reads.pop(action.member), ends.get(type(action), REJECTED))
        due = self.flight_table.next_deadline()
        if due is not None:
            self._world.clock.call_at(due, self._expire)

    def _expire(self) -> None:
        actions = self.flight_table.expire(self._world.clock.now)
        if actions:
            self._perform(actions)

    def _call_ended(self, flight: int, end: str) -> None:
        self._calls.pop(flight, None)
        now = self._world.clock.now
        actions = (
            self.flight_table.reject_call(now, flight)
            if end == REJECTED
            else self.flight_table.finish_call(now, flight, SHARED_BY_ALL, 1 << 20)
        )
        self._perform(actions, end)


def _end(world: World, read: Read, end: str, at: float | None = None) -> None:
    assert not read.end
    read.end, read.ended_at = end, world.clock.now if at is None else at


@dataclass(slots=True, frozen=True)
class LoadResult:
    """Result of one strategy at one load; the counts are fractions of all reads."""

    calls: float
    served_in_time: float  # served within the latency target, or before a shorter deadline
    failed: float  # failed or late, although not rejected
    rejected: float
    oldest_call: float  # greatest time in seconds between the start of a call and a read that the call served


STRATEGIES: dict[str, Callable[[World], Strategy]] = {
    "each its own": NoCoalescing,
    "single flight": SingleFlight,
    "joined within 20 ms": lambda world: FlightTableCoalescing(world, 0.02),
    "joined within 100 ms": lambda world: FlightTableCoalescing(world, 0.1),
    "joined within 1 s": lambda world: FlightTableCoalescing(world, 1.0),
}


def settings() -> Settings:
    """Return the settings of the load balancer."""
    reads = RequestClass(
        "read", latency_target=LATENCY_TARGET, deadline=DEADLINE, retry_safety=RetrySafety.SAFE, late_value=1.0
    )
    return Settings(
        classes=(reads,),
        tenants=tuple(Tenant(f"t{n}") for n in range(TENANTS)),
        limits=Limits(allows_cancel=True, max_attempts=3),
    )


def play(strategy: Callable[[World], Strategy], load: float, seed: int, count: int = READ_COUNT) -> LoadResult:
    """Simulate a number of reads at a load, which is a multiple of the capacity of the backends."""
    clock, rng = Clock(), Random(seed)
    world = World(clock, settings(), BACKEND_COUNT, BACKEND_SETTINGS, seed)
    coalescing = strategy(world)
    cumulative_weights = list(accumulate(1.0 / rank**ZIPF_EXPONENT for rank in range(1, KEY_COUNT + 1)))
    reads: list[Read] = []
    when = 0.0
    for _ in range(count):
        when += rng.expovariate(load * BACKEND_COUNT * BACKEND_SETTINGS.rate())
        time_left = SHORT_DEADLINE if rng.random() < SHORT_DEADLINE_FRACTION else DEADLINE
        read = Read(
            bisect(cumulative_weights, rng.random() * cumulative_weights[-1]),
            rng.randrange(TENANTS),
            when,
            when + time_left,
        )
        reads.append(read)
        clock.call_at(when, lambda read=read: coalescing.start(read))  # type: ignore[misc]
    clock.run()
    if any(not read.end for read in reads):
        raise AssertionError("a read never ended")
    return _result(reads, world.started_attempts())


def _result(reads: list[Read], started_attempts: int) -> LoadResult:
    count = len(reads)
    served_in_time = sum(
        r.end == SERVED and r.ended_at - r.sent_at <= min(LATENCY_TARGET, r.deadline - r.sent_at) for r in reads
    )
    failed = sum(r.end in (FAILED, LATE) for r in reads)
    rejected = sum(r.end == REJECTED for r in reads)
    oldest_call = max((r.age for r in reads if r.end == SERVED), default=0.0)
    return LoadResult(started_attempts / count, served_in_time / count, failed / count, rejected / count, oldest_call)


def compare(seed: int, count: int = READ_COUNT) -> dict[str, dict[float, LoadResult]]:
    """Simulate all strategies at all loads."""
    return {name: {load: play(strategy, load, seed, count) for load in LOADS} for name, strategy in STRATEGIES.items()}
