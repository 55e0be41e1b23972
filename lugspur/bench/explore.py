"""Every order in which things can happen to a small fleet's lease, by the very code that runs.

    python -m lugspur.bench.explore            # all worlds below, with the number of states of each
    python -m lugspur.bench.explore --broken   # builds that are wrong on purpose: each has to be caught

Three electors, two that want the duty. A message may come at any later time, never, in any order and, so often as the
world says, twice (in the larger worlds at once or never); anybody may stand still at any time, since nobody has to do
anything; electors may restart, before or after what they were writing was on the disk; a holder may lay down. Clocks
run 20% apart here, the worst way round for whoever holds first, and the code is told so. After each step at most one
may be in office, by its own clock, and who comes into office has a greater epoch than all before.
"""

from __future__ import annotations

import argparse
import pickle
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import permutations
from typing import Any, NamedTuple

from lugspur.daemon.leases import timing
from lugspur.daemon.leases.lease_term import LeaseTerm, RoundResult
from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message
from lugspur.daemon.leases.voter import CandidateId, LeaseVoter, Promise

DUTY = "d"
LEASE = 6.0  # units of time
SLOW, FAST = 2.0, 3.0  # units that a clock gains in a step of time...
APART = (FAST - SLOW) / (FAST + SLOW) + 1e-9  # ...which are so far from their mean, and a hair: rounding is no fault
NAMES = ("x", "y", "z")  # the electors
WANTING = ("a", "b")
WALL = 100  # by which the wall clock is later at each restart


class Broken(Exception):
    """Two in office, or an epoch that is not greater; the text tells the way there."""


@dataclass(slots=True, frozen=True)
class Limits:
    """How much may happen in a world."""

    steps: int = 4  # of time: a lease lasts two
    rounds: int = 2  # of each that wants it
    twice: int = 0  # messages that come a second time
    restarts: int = 0
    downs: int = 0  # times that a holder lays down
    memory: bool = True  # whether electors have a disk
    prompt: bool = False  # whether messages come at once or never: worlds can be larger then


@dataclass(slots=True)
class Kept:
    """An elector and its disk."""

    elector: LeaseVoter
    disk: dict[str, Promise] = field(default_factory=dict)


class World(NamedTuple):
    """One state. Parts and messages are numbers of what `Parts` holds; equal ones have equal numbers."""

    parts: tuple[int, ...]  # electors, then those that want it
    flight: tuple[int, ...]  # messages on their way, sorted
    steps: int  # left, as the others below
    twice: int
    restarts: int
    downs: int
    office: tuple[int, int]  # the greatest epoch that anybody was in office under, and who


Order = tuple[int, ...]
ORDERS: list[Order] = list(permutations(range(len(NAMES))))
SORTED: dict[tuple[bool, ...], list[Order]] = {}  # by how the electors' numbers compare: the orders that sort them


class Parts:
    """Each state of a part once, and what each step makes of it: worlds differ in few parts, most steps are known."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._numbers: dict[Any, int] = {}
        self._packed: list[bytes] = []
        self.messages: list[tuple[int, int, Message]] = []  # to and from whom, by their places
        self._message_numbers: dict[Any, int] = {}
        self._known: dict[Any, tuple[int, tuple[int, ...], Any]] = {}
        self._inside: dict[tuple[int, float], int] = {}
        self._renamed: dict[tuple[int, Order], int] = {}
        self._told: dict[tuple[int, Order], int] = {}

    def part(self, what: Kept | LeaseTerm) -> int:
        """Its number."""
        key = freeze(what)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._packed)
            self._packed.append(pickle.dumps(what))
        return number

    def get(self, number: int) -> Any:
        """A copy."""
        return pickle.loads(self._packed[number])

    def message(self, to: int, origin: int, message: Message) -> int:
        """Its number."""
        key = to, origin, message
        number = self._message_numbers.get(key)
        if number is None:
            number = self._message_numbers[key] = len(self.messages)
            self.messages.append(key)
        return number

    def renamed(self, number: int, order: Order) -> int:
        """The same with the electors' names exchanged."""
        found = self._renamed.get((number, order))
        if found is None:
            part = self.get(number)
            if isinstance(part, LeaseTerm):
                names = {name: NAMES[order.index(place)] for place, name in enumerate(NAMES)}
                part._granted_by = {names[name] for name in part._granted_by}
                part._denied_until = {names[name]: when for name, when in part._denied_until.items()}
            found = self._renamed[number, order] = self.part(part)
        return found

    def told(self, number: int, order: Order) -> int:
        """The same message with the electors' names exchanged."""
        found = self._told.get((number, order))
        if found is None:
            to, origin, message = self.messages[number]
            places = [order.index(place) for place in range(len(NAMES))] + [3, 4]
            found = self._told[number, order] = self.message(places[to], places[origin], message)
        return found

    def step(self, number: int, at: int, how: str, clock: float, message: int) -> tuple[int, tuple[int, ...], Any]:
        """A part's number after a step, the messages that it sends, and what else is to be known."""
        key = number, at, how, clock, message  # two that are in the same state speak for themselves all the same
        known = self._known.get(key)
        if known is None:
            part = self.get(number)
            found = self._act(part, how, clock, message)
            out = part.elector.take_messages() if isinstance(part, Kept) else part.take_messages()
            sent = tuple(
                self.message(PLACES[to], at, word)
                for to, word in out
                if isinstance(word, GrantLease | DenyLease) or not isinstance(part, Kept)
            )
            known = self._known[key] = self.part(part), sent, found
        return known

    def _act(self, part: Any, how: str, clock: float, number: int) -> Any:
        if isinstance(part, LeaseTerm):
            if how == "hears":
                _, origin, message = self.messages[number]
                assert isinstance(message, GrantLease | DenyLease)
                return part.epoch if part.receive(clock, NAMES[origin], message) is RoundResult.WON else 0
            acts: dict[str, Callable[[float], Any]] = {
                "asks": part.start_round,
                "gives its round up": part.abandon_round,
                "lays down": lambda _: part.release(),
            }
            acts[how](clock)
            return 0
        elector = part.elector
        if how == "hears":
            _, origin, message = self.messages[number]
            elector.receive(clock, CandidateId(EVERYBODY[origin], 1), message)
        elif how == "has written":
            unsaved, elector.unsaved_promises = elector.unsaved_promises, {}
            part.disk |= unsaved
            elector.confirm_saved(clock, unsaved)
        else:
            if how == "restarts with what it wrote":
                part.disk |= elector.unsaved_promises
            memory = list(part.disk.values()) if self.limits.memory else None
            part.elector = LeaseVoter(LEASE, clock, memory, int(WALL * (1 + clock)))
        return 0

    def inside(self, number: int, clock: float) -> int:
        """Bits: 1: it is in office; 2: a round goes on; 4: it may ask again."""
        found = self._inside.get((number, clock))
        if found is None:
            term = self.get(number)
            found = term.is_held(clock) | term.has_open_round << 1 | (term.round_number < self.limits.rounds) << 2
            self._inside[number, clock] = found
        return found

    def vain(self, message: int, place: int, number: int) -> bool:
        """Whether an answer on its way to this one counts for nothing any more."""
        to, _, what = self.messages[message]
        if to != place or not isinstance(what, GrantLease | DenyLease):
            return False
        bits = self.inside(number, 0.0)
        if bits & 2 and self.round(number) == what.round_number:
            return False
        return isinstance(what, GrantLease) or not bits & 4  # a refusal tells of an epoch, for the next round

    def round(self, number: int) -> int:
        """The latest round of one that wants it."""
        key = number, -2.0
        if key not in self._inside:
            self._inside[key] = self.get(number).round_number
        return self._inside[key]

    def writing(self, number: int) -> bool:
        """Whether an elector has something to write down."""
        key = number, -1.0
        if key not in self._inside:
            self._inside[key] = bool(self.get(number).elector.unsaved_promises)
        return bool(self._inside[key])


EVERYBODY = (*NAMES, *WANTING)
PLACES = {name: place for place, name in enumerate(EVERYBODY)}


def freeze(what: Any) -> Any:
    """A value by which equal states are known."""
    if isinstance(what, dict):
        return tuple((key, freeze(value)) for key, value in sorted(what.items(), key=lambda item: str(item[0])))
    if isinstance(what, set):
        return tuple(sorted(what))
    if isinstance(what, list | tuple):
        return tuple(map(freeze, what))
    if isinstance(what, str | float | int | None):
        return what
    names = getattr(what, "__slots__", None) or getattr(what, "__struct_fields__", None) or vars(what)
    return (type(what).__name__, *((name, freeze(getattr(what, name))) for name in names))


class Search:
    """All states of one world."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._parts = parts = Parts(limits)
        electors = [Kept(LeaseVoter(LEASE, -LEASE, [] if limits.memory else None, 0)) for _ in NAMES]
        terms = [LeaseTerm(DUTY, NAMES, LEASE, 0) for _ in WANTING]
        self.first = World(
            (*map(parts.part, electors), *map(parts.part, terms)),
            (),
            limits.steps,
            limits.twice,
            limits.restarts,
            limits.downs,
            (0, -1),
        )

    def _clock(self, world: World, place: int) -> float:
        """Each one's own: the first that wants it has a slow one, everybody else a fast one."""
        return (self._limits.steps - world.steps) * (SLOW if place == len(NAMES) else FAST)

    def steps(self, world: World) -> Iterator[tuple[int, str, int]]:
        """All that can happen next: to whom, what, with which message."""
        if self._limits.prompt and world.flight:
            place = self._parts.messages[world.flight[0]][0]
            yield place, "hears", world.flight[0]
            yield place, "never hears", world.flight[0]
            return
        last = -1
        for message in world.flight:
            if message != last:
                last = message
                place = self._parts.messages[message][0]
                yield place, "hears", message
                if world.twice:
                    yield place, "hears not for the last time", message
        for place, number in enumerate(world.parts):
            if place < len(NAMES):
                writing = self._parts.writing(number)
                if writing:
                    yield place, "has written", -1
                if world.restarts:
                    yield place, "restarts", -1
                    if writing:
                        yield place, "restarts with what it wrote", -1
                continue
            bits = self._parts.inside(number, self._clock(world, place))
            if bits & 2:
                yield place, "gives its round up", -1
            elif bits & 4:
                yield place, "asks", -1
            if bits & 1 and world.downs:
                yield place, "lays down", -1
        if world.steps:
            yield -1, "time passes", -1

    def after(self, world: World, place: int, how: str, message: int) -> World:
        """The state after a step; raises Broken."""
        if place < 0:
            return self._checked(world._replace(steps=world.steps - 1))
        flight, twice, restarts, downs, office = world.flight, world.twice, world.restarts, world.downs, world.office
        if how == "hears not for the last time":
            how, twice = "hears", twice - 1
        elif message >= 0:
            at = flight.index(message)
            flight = flight[:at] + flight[at + 1 :]
        if how == "never hears":
            return self._checked(world._replace(flight=flight))
        restarts -= how.startswith("restarts")
        downs -= how == "lays down"
        number, sent, epoch = self._parts.step(world.parts[place], place, how, self._clock(world, place), message)
        if epoch:
            if epoch < office[0] or (epoch == office[0] and office[1] not in (-1, place)):
                raise Broken(f"{EVERYBODY[place]} comes into office under {epoch} after {office[0]} was used")
            office = epoch, place
        parts = (*world.parts[:place], number, *world.parts[place + 1 :])
        if sent:
            flight = tuple(sorted(flight + sent))
        if place >= len(NAMES):  # what comes for a round that is over does nothing, whenever it comes
            flight = tuple(each for each in flight if not self._parts.vain(each, place, number))
        return self._checked(World(parts, flight, world.steps, twice, restarts, downs, office))

    def _checked(self, world: World) -> World:
        inside = [
            EVERYBODY[place]
            for place in range(len(NAMES), len(EVERYBODY))
            if self._parts.inside(world.parts[place], self._clock(world, place)) & 1
        ]
        if len(inside) > 1:
            raise Broken(f"{' and '.join(inside)} are in office")
        return min(self._orders(world))

    def _orders(self, world: World) -> Iterator[World]:
        """The state under all names that its electors might have: nothing depends on which is which."""
        parts, (x, y, z, one, two) = self._parts, world.parts
        orders = SORTED.get((x <= y, y <= z, x <= z, y <= x, z <= y, z <= x))
        if orders is None:
            now = x, y, z
            orders = [order for order in ORDERS if now[order[0]] <= now[order[1]] <= now[order[2]]]
            SORTED[x <= y, y <= z, x <= z, y <= x, z <= y, z <= x] = orders
        for order in orders:
            if order == (0, 1, 2):
                yield world
                continue
            yield World(
                (*[world.parts[place] for place in order], parts.renamed(one, order), parts.renamed(two, order)),
                tuple(sorted([parts.told(message, order) for message in world.flight])),
                *world[2:],
            )

    def run(self, most: int) -> tuple[int, bool]:
        """How many states were seen, and whether that is all of them; raises Broken where one must not be."""
        came: dict[World, Any] = {self.first: None}
        todo = deque([self.first])  # the shortest way to each state comes first
        while todo:
            world = todo.popleft()
            for place, how, message in self.steps(world):
                try:
                    found = self.after(world, place, how, message)
                except Broken as fault:
                    way = [*self._way(came, world), self._said(place, how, message)]
                    raise Broken(f"{fault}: {'; '.join(way)}") from None
                if found not in came:
                    if len(came) >= most:
                        return len(came), False
                    came[found] = world, place, how, message
                    todo.append(found)
        return len(came), True

    def _said(self, place: int, how: str, message: int) -> str:
        if place < 0:
            return how
        if message < 0:
            return f"{EVERYBODY[place]} {how}"
        _, origin, what = self._parts.messages[message]
        return f"{EVERYBODY[place]} {how}: {what} of {EVERYBODY[origin]}"

    def _way(self, came: dict[World, Any], world: World) -> list[str]:
        said: list[str] = []
        step = came[world]
        while step is not None:
            world, *what = step
            said.insert(0, self._said(*what))
            step = came[world]
        return said


def explore(limits: Limits, most: int = 2_000_000) -> tuple[int, bool]:
    """How many states a world has, and whether all were seen; raises Broken where one must not be."""
    return Search(limits).run(most)


# ---- the worlds, and builds that are wrong -----------------------------------------------------------

WORLDS = {
    "promises": Limits(rounds=1, steps=0, memory=False),
    "promises, written down": Limits(rounds=1, steps=0),
    "a message comes twice": Limits(rounds=1, steps=0, twice=1, memory=False),
    "a holder lays down": Limits(rounds=1, steps=0, downs=1, memory=False),
    "an elector restarts": Limits(rounds=1, steps=0, restarts=1),
    "at once or never: leases run out": Limits(rounds=2, steps=4, memory=False, prompt=True),
    "at once or never: three rounds each": Limits(rounds=3, steps=3, memory=False, prompt=True),
    "at once or never: restarts": Limits(rounds=2, steps=3, restarts=2, prompt=True),
    "at once or never: restarts without disks": Limits(rounds=2, steps=3, restarts=2, memory=False, prompt=True),
    "at once or never: a holder lays down": Limits(rounds=2, steps=3, downs=1, prompt=True),
}


@contextmanager
def told_apart(apart: float = APART) -> Iterator[None]:
    """The model's clocks, as the code is told of them."""
    former, timing.MAX_CLOCK_DRIFT = timing.MAX_CLOCK_DRIFT, apart
    try:
        yield
    finally:
        timing.MAX_CLOCK_DRIFT = former


def _no_quiet(self: LeaseVoter, lease: float, now: float, memory: Any, floor: int) -> None:
    _elector(self, lease, now, memory, floor)
    self.silent_until = now


def _always_back(self: LeaseTerm, now: float) -> RoundResult:
    requested_epoch, self._requested_epoch = self._requested_epoch, 0
    self._send_release(requested_epoch)
    return RoundResult.LOST


_elector = LeaseVoter.__init__
BROKEN: dict[str, tuple[float, Any, str, Any, Limits]] = {
    "no margin for clocks": (
        0.0,
        LeaseTerm,
        "take_messages",
        LeaseTerm.take_messages,
        Limits(rounds=2, steps=2, memory=False, prompt=True),
    ),
    "no silence after a start": (
        APART,
        LeaseVoter,
        "__init__",
        _no_quiet,
        Limits(rounds=2, restarts=1, steps=0, memory=False, prompt=True),
    ),
    "promises given back in office": (
        APART,
        LeaseTerm,
        "abandon_round",
        _always_back,
        Limits(rounds=2, steps=0, memory=False, prompt=True),
    ),
}


def caught(name: str) -> str:
    """How a build that is wrong fails; empty: it was not caught."""
    apart, kind, method, wrong, limits = BROKEN[name]
    former = getattr(kind, method)
    setattr(kind, method, wrong)
    try:
        with told_apart(apart):
            explore(limits)
    except Broken as fault:
        return str(fault)
    finally:
        setattr(kind, method, former)
    return ""


def main() -> None:
    """Explore, and say what was found."""
    parser = argparse.ArgumentParser(description="Every order of events of a small fleet's lease.")
    parser.add_argument("--broken", action="store_true", help="builds that are wrong on purpose")
    parser.add_argument("--states", type=int, default=2_000_000, help="states of a world at most")
    given = parser.parse_args()
    if given.broken:
        found = {name: caught(name) for name in BROKEN}
        for name, how in found.items():
            print(f"| {name} | {'caught: ' + how if how else 'NOT CAUGHT'} |")
        sys.exit(0 if all(found.values()) else 1)
    print("| world | states | all of them | seconds |\n| --- | --- | --- | --- |")
    for name, limits in WORLDS.items():
        began = time.monotonic()
        with told_apart():
            states, whole = explore(limits, given.states)
        print(f"| {name} | {states} | {'yes' if whole else 'no'} | {time.monotonic() - began:.0f} |", flush=True)


if __name__ == "__main__":
    main()
