"""Explores every order of events around a small fleet's lease, with the lease code that runs in service.

    python -m lugspur.bench.explore            # all models below, with the number of states of each
    python -m lugspur.bench.explore --broken   # deliberately faulty builds: each has to be caught

A model has three voters and two candidates for the lease. A message may be delivered at any later time, in any order,
be lost or, so many times as the model's limits allow, be delivered twice; the larger models deliver each message at
once or lose it. Any participant may pause at any time, because no step is mandatory. Voters may restart before or after
their unsaved promises reached the disk, and a lease holder may release the lease. Clocks run 20% apart, in the
direction that is worst for the first candidate, and the lease code is configured with that drift. After each step at
most one candidate may hold the lease by its own clock, and each new holder must have a greater epoch than all holders
before.
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

LEASE_NAME = "d"
LEASE = 6.0  # duration of a lease, in the model's units of time
# Units by which the slow and the fast clock advance in one step of time.
SLOW_RATE, FAST_RATE = 2.0, 3.0
# How far both clocks are from their mean, relative to it. The small addend keeps rounding from counting as a violation.
CLOCK_DRIFT = (FAST_RATE - SLOW_RATE) / (FAST_RATE + SLOW_RATE) + 1e-9
VOTERS = ("x", "y", "z")
CANDIDATES = ("a", "b")  # names of the nodes that compete for the lease
# The wall clock at a voter's restart is this many times the voter's clock plus 1, so that it is later at each restart.
WALL_CLOCK_SCALE = 100


class InvariantViolationError(Exception):
    """Two candidates hold the lease, or an epoch did not rise; the text lists the steps that led there."""


@dataclass(slots=True, frozen=True)
class Limits:
    """How many events of each kind a model allows."""

    time_steps: int = 4  # steps of time; a lease lasts two
    rounds: int = 2  # rounds that each candidate may start
    duplicates: int = 0  # messages that are delivered a second time
    restarts: int = 0  # restarts of voters
    releases: int = 0  # releases of the lease by its holder
    has_disk: bool = True  # whether voters have a disk
    # Whether messages are delivered at once or lost, which keeps larger models feasible.
    immediate_delivery: bool = False


@dataclass(slots=True)
class VoterWithDisk:
    """A voter and the promises on its disk."""

    voter: LeaseVoter
    disk: dict[str, Promise] = field(default_factory=dict)


class State(NamedTuple):
    """One state of a model. Participants and messages are numbers in `StateStore`; equal ones have equal numbers."""

    parts: tuple[int, ...]  # the voters, then the candidates
    in_flight: tuple[int, ...]  # messages in flight, sorted
    time_steps: int  # steps of time that are left
    duplicates: int  # duplicate deliveries that are left
    restarts: int  # restarts of voters that are left
    releases: int  # releases of the lease that are left
    last_holder: tuple[int, int]  # the greatest epoch under which the lease was held, and the place of its holder


Order = tuple[int, ...]
ORDERS: list[Order] = list(permutations(range(len(VOTERS))))
# The orders that sort the voters, by the results of comparing their numbers pair by pair.
SORTING_ORDERS: dict[tuple[bool, ...], list[Order]] = {}


class StateStore:
    """Stores each state of a participant once, and caches the results of steps.

    States of a model differ in few participants, so that most steps are found in the cache.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._numbers: dict[Any, int] = {}
        self._packed: list[bytes] = []
        self.messages: list[tuple[int, int, Message]] = []  # the places of receiver and sender, and the message
        self._message_numbers: dict[Any, int] = {}
        self._step_cache: dict[Any, tuple[int, tuple[int, ...], Any]] = {}
        self._property_cache: dict[tuple[int, float], int] = {}
        self._permuted_states: dict[tuple[int, Order], int] = {}
        self._permuted_messages: dict[tuple[int, Order], int] = {}

    def number_state(self, what: VoterWithDisk | LeaseTerm) -> int:
        """Return the number of a participant's state, a new one if the state is new."""
        key = freeze(what)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._packed)
            self._packed.append(pickle.dumps(what))
        return number

    def load_state(self, number: int) -> Any:
        """Return a copy of the participant's state that has this number."""
        return pickle.loads(self._packed[number])

    def message(self, to: int, origin: int, message: Message) -> int:
        """Return the number of a message between two places, a new one if the message is new."""
        key = to, origin, message
        number = self._message_numbers.get(key)
        if number is None:
            number = self._message_numbers[key] = len(self.messages)
            self.messages.append(key)
        return number

    def permute_state(self, number: int, order: Order) -> int:
        """Return the number of the same participant's state after the voters' names were permuted."""
        found = self._permuted_states.get((number, order))
        if found is None:
            part = self.load_state(number)
            if isinstance(part, LeaseTerm):
                names = {name: VOTERS[order.index(place)] for place, name in enumerate(VOTERS)}
                part._granted_by = {names[name] for name in part._granted_by}
                part._denied_until = {names[name]: when for name, when in part._denied_until.items()}
            found = self._permuted_states[number, order] = self.number_state(part)
        return found

    def permute_message(self, number: int, order: Order) -> int:
        """Return the number of the same message after the voters' names were permuted."""
        found = self._permuted_messages.get((number, order))
        if found is None:
            to, origin, message = self.messages[number]
            places = [order.index(place) for place in range(len(VOTERS))] + [3, 4]
            found = self._permuted_messages[number, order] = self.message(places[to], places[origin], message)
        return found

    def step(self, number: int, at: int, kind: str, clock: float, message: int) -> tuple[int, tuple[int, ...], Any]:
        """Return a participant's number after a step, the messages that it sends, and the epoch if it won a round."""
        # The place is part of the key: participants in equal states send messages with different senders.
        key = number, at, kind, clock, message
        cached = self._step_cache.get(key)
        if cached is None:
            part = self.load_state(number)
            found = self._act(part, kind, clock, message)
            out = part.voter.take_messages() if isinstance(part, VoterWithDisk) else part.take_messages()
            sent = tuple(
                self.message(PLACES[to], at, outgoing_message)
                for to, outgoing_message in out
                if isinstance(outgoing_message, GrantLease | DenyLease) or not isinstance(part, VoterWithDisk)
            )
            cached = self._step_cache[key] = self.number_state(part), sent, found
        return cached

    def _act(self, part: Any, kind: str, clock: float, number: int) -> Any:
        if isinstance(part, LeaseTerm):
            if kind == "receives":
                _, origin, message = self.messages[number]
                assert isinstance(message, GrantLease | DenyLease)
                return part.epoch if part.receive(clock, VOTERS[origin], message) is RoundResult.WON else 0
            acts: dict[str, Callable[[float], Any]] = {
                "starts a round": part.start_round,
                "abandons its round": part.abandon_round,
                "releases the lease": lambda _: part.release(),
            }
            acts[kind](clock)
            return 0
        voter = part.voter
        if kind == "receives":
            _, origin, message = self.messages[number]
            voter.receive(clock, CandidateId(PARTICIPANTS[origin], 1), message)
        elif kind == "saves its promises":
            unsaved, voter.unsaved_promises = voter.unsaved_promises, {}
            part.disk |= unsaved
            voter.confirm_saved(clock, unsaved)
        else:
            if kind == "restarts after saving its promises":
                part.disk |= voter.unsaved_promises
            memory = list(part.disk.values()) if self.limits.has_disk else None
            part.voter = LeaseVoter(LEASE, clock, memory, int(WALL_CLOCK_SCALE * (1 + clock)))
        return 0

    def candidate_bits(self, number: int, clock: float) -> int:
        """Return bits: 1 if the candidate holds the lease, 2 if its round is open, 4 if it may start another round."""
        found = self._property_cache.get((number, clock))
        if found is None:
            term = self.load_state(number)
            found = term.is_held(clock) | term.has_open_round << 1 | (term.round_number < self.limits.rounds) << 2
            self._property_cache[number, clock] = found
        return found

    def is_stale_reply(self, message: int, place: int, number: int) -> bool:
        """Return whether a message is a reply to this candidate that no longer has any effect."""
        to, _, what = self.messages[message]
        if to != place or not isinstance(what, GrantLease | DenyLease):
            return False
        bits = self.candidate_bits(number, 0.0)
        if bits & 2 and self.latest_round(number) == what.round_number:
            return False
        return isinstance(what, GrantLease) or not bits & 4  # a denial carries an epoch for the next round

    def latest_round(self, number: int) -> int:
        """Return the number of a candidate's latest round."""
        key = number, -2.0
        if key not in self._property_cache:
            self._property_cache[key] = self.load_state(number).round_number
        return self._property_cache[key]

    def has_unsaved_promises(self, number: int) -> bool:
        """Return whether a voter has unsaved promises."""
        key = number, -1.0
        if key not in self._property_cache:
            self._property_cache[key] = bool(self.load_state(number).voter.unsaved_promises)
        return bool(self._property_cache[key])


PARTICIPANTS = (*VOTERS, *CANDIDATES)
PLACES = {name: place for place, name in enumerate(PARTICIPANTS)}


def freeze(what: Any) -> Any:
    """Return a hashable value that is equal for equal states."""
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
    """A breadth-first search of all states of one model."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._store = parts = StateStore(limits)
        voters = [VoterWithDisk(LeaseVoter(LEASE, -LEASE, [] if limits.has_disk else None, 0)) for _ in VOTERS]
        terms = [LeaseTerm(LEASE_NAME, VOTERS, LEASE, 0) for _ in CANDIDATES]
        self.first = State(
            (*map(parts.number_state, voters), *map(parts.number_state, terms)),
            (),
            limits.time_steps,
            limits.duplicates,
            limits.restarts,
            limits.releases,
            (0, -1),
        )

    def _clock(self, state: State, place: int) -> float:
        """Return a participant's own clock, which is slow for the first candidate and fast for all others."""
        return (self._limits.time_steps - state.time_steps) * (SLOW_RATE if place == len(VOTERS) else FAST_RATE)

    def possible_steps(self, state: State) -> Iterator[tuple[int, str, int]]:
        """Yield every possible next step: the place it concerns, its kind, and its message (-1: none)."""
        if self._limits.immediate_delivery and state.in_flight:
            place = self._store.messages[state.in_flight[0]][0]
            yield place, "receives", state.in_flight[0]
            yield place, "loses", state.in_flight[0]
            return
        last = -1
        for message in state.in_flight:
            if message != last:
                last = message
                place = self._store.messages[message][0]
                yield place, "receives", message
                if state.duplicates:
                    yield place, "receives a copy", message
        for place, number in enumerate(state.parts):
            if place < len(VOTERS):
                has_unsaved_promises = self._store.has_unsaved_promises(number)
                if has_unsaved_promises:
                    yield place, "saves its promises", -1
                if state.restarts:
                    yield place, "restarts", -1
                    if has_unsaved_promises:
                        yield place, "restarts after saving its promises", -1
                continue
            bits = self._store.candidate_bits(number, self._clock(state, place))
            if bits & 2:
                yield place, "abandons its round", -1
            elif bits & 4:
                yield place, "starts a round", -1
            if bits & 1 and state.releases:
                yield place, "releases the lease", -1
        if state.time_steps:
            yield -1, "time passes", -1

    def after(self, state: State, place: int, kind: str, message: int) -> State:
        """Return the state after a step; raises InvariantViolationError."""
        if place < 0:
            return self._checked(state._replace(time_steps=state.time_steps - 1))
        in_flight, duplicates, restarts, releases, last_holder = (
            state.in_flight,
            state.duplicates,
            state.restarts,
            state.releases,
            state.last_holder,
        )
        if kind == "receives a copy":
            kind, duplicates = "receives", duplicates - 1
        elif message >= 0:
            at = in_flight.index(message)
            in_flight = in_flight[:at] + in_flight[at + 1 :]
        if kind == "loses":
            return self._checked(state._replace(in_flight=in_flight))
        restarts -= kind.startswith("restarts")
        releases -= kind == "releases the lease"
        number, sent, epoch = self._store.step(state.parts[place], place, kind, self._clock(state, place), message)
        if epoch:
            if epoch < last_holder[0] or (epoch == last_holder[0] and last_holder[1] not in (-1, place)):
                raise InvariantViolationError(
                    f"{PARTICIPANTS[place]} acquires the lease with epoch {epoch} after epoch {last_holder[0]} was used"
                )
            last_holder = epoch, place
        parts = (*state.parts[:place], number, *state.parts[place + 1 :])
        if sent:
            in_flight = tuple(sorted(in_flight + sent))
        if place >= len(VOTERS):  # replies to a finished round have no effect, whenever they are delivered
            in_flight = tuple(each for each in in_flight if not self._store.is_stale_reply(each, place, number))
        return self._checked(State(parts, in_flight, state.time_steps, duplicates, restarts, releases, last_holder))

    def _checked(self, state: State) -> State:
        holders = [
            PARTICIPANTS[place]
            for place in range(len(VOTERS), len(PARTICIPANTS))
            if self._store.candidate_bits(state.parts[place], self._clock(state, place)) & 1
        ]
        if len(holders) > 1:
            raise InvariantViolationError(f"{' and '.join(holders)} hold the lease at once")
        return min(self._orders(state))

    def _orders(self, state: State) -> Iterator[State]:
        """Yield the equivalent states under the orders that sort the voters: voters are interchangeable."""
        parts, (x, y, z, one, two) = self._store, state.parts
        orders = SORTING_ORDERS.get((x <= y, y <= z, x <= z, y <= x, z <= y, z <= x))
        if orders is None:
            now = x, y, z
            orders = [order for order in ORDERS if now[order[0]] <= now[order[1]] <= now[order[2]]]
            SORTING_ORDERS[x <= y, y <= z, x <= z, y <= x, z <= y, z <= x] = orders
        for order in orders:
            if order == (0, 1, 2):
                yield state
                continue
            yield State(
                (
                    *[state.parts[place] for place in order],
                    parts.permute_state(one, order),
                    parts.permute_state(two, order),
                ),
                tuple(sorted([parts.permute_message(message, order) for message in state.in_flight])),
                *state[2:],
            )

    def run(self, max_states: int) -> tuple[int, bool]:
        """Return how many states were seen and whether those are all; raises InvariantViolationError."""
        reached_from: dict[State, Any] = {self.first: None}
        queue = deque([self.first])  # breadth first: a violation is reported with a shortest list of steps
        while queue:
            state = queue.popleft()
            for place, kind, message in self.possible_steps(state):
                try:
                    found = self.after(state, place, kind, message)
                except InvariantViolationError as violation:
                    trace = [*self._trace(reached_from, state), self._describe_step(place, kind, message)]
                    raise InvariantViolationError(f"{violation}: {'; '.join(trace)}") from None
                if found not in reached_from:
                    if len(reached_from) >= max_states:
                        return len(reached_from), False
                    reached_from[found] = state, place, kind, message
                    queue.append(found)
        return len(reached_from), True

    def _describe_step(self, place: int, kind: str, message: int) -> str:
        if place < 0:
            return kind
        if message < 0:
            return f"{PARTICIPANTS[place]} {kind}"
        _, origin, what = self._store.messages[message]
        return f"{PARTICIPANTS[place]} {kind}: {what} of {PARTICIPANTS[origin]}"

    def _trace(self, reached_from: dict[State, Any], state: State) -> list[str]:
        trace: list[str] = []
        step = reached_from[state]
        while step is not None:
            state, *what = step
            trace.insert(0, self._describe_step(*what))
            step = reached_from[state]
        return trace


def explore(limits: Limits, max_states: int = 2_000_000) -> tuple[int, bool]:
    """Return how many states of a model were seen and whether those are all; raises InvariantViolationError."""
    return Search(limits).run(max_states)


# ---- models and deliberately faulty builds -----------------------------------------------------------

MODELS = {
    "promises": Limits(rounds=1, time_steps=0, has_disk=False),
    "promises, written down": Limits(rounds=1, time_steps=0),
    "a message comes twice": Limits(rounds=1, time_steps=0, duplicates=1, has_disk=False),
    "a holder lays down": Limits(rounds=1, time_steps=0, releases=1, has_disk=False),
    "an elector restarts": Limits(rounds=1, time_steps=0, restarts=1),
    "at once or never: leases run out": Limits(rounds=2, time_steps=4, has_disk=False, immediate_delivery=True),
    "at once or never: three rounds each": Limits(rounds=3, time_steps=3, has_disk=False, immediate_delivery=True),
    "at once or never: restarts": Limits(rounds=2, time_steps=3, restarts=2, immediate_delivery=True),
    "at once or never: restarts without disks": Limits(
        rounds=2, time_steps=3, restarts=2, has_disk=False, immediate_delivery=True
    ),
    "at once or never: a holder lays down": Limits(rounds=2, time_steps=3, releases=1, immediate_delivery=True),
}


@contextmanager
def configured_clock_drift(drift: float = CLOCK_DRIFT) -> Iterator[None]:
    """Configure the lease code with this clock drift, by default that of the model's clocks."""
    former, timing.MAX_CLOCK_DRIFT = timing.MAX_CLOCK_DRIFT, drift
    try:
        yield
    finally:
        timing.MAX_CLOCK_DRIFT = former


def _skip_initial_silence(self: LeaseVoter, lease: float, now: float, memory: Any, floor: int) -> None:
    _original_init(self, lease, now, memory, floor)
    self.silent_until = now


def _always_release(self: LeaseTerm, now: float) -> RoundResult:
    requested_epoch, self._requested_epoch = self._requested_epoch, 0
    self._send_release(requested_epoch)
    return RoundResult.LOST


_original_init = LeaseVoter.__init__
FAULTY_BUILDS: dict[str, tuple[float, Any, str, Any, Limits]] = {
    "no margin for clocks": (
        0.0,
        LeaseTerm,
        "take_messages",
        LeaseTerm.take_messages,
        Limits(rounds=2, time_steps=2, has_disk=False, immediate_delivery=True),
    ),
    "no silence after a start": (
        CLOCK_DRIFT,
        LeaseVoter,
        "__init__",
        _skip_initial_silence,
        Limits(rounds=2, restarts=1, time_steps=0, has_disk=False, immediate_delivery=True),
    ),
    "promises given back in office": (
        CLOCK_DRIFT,
        LeaseTerm,
        "abandon_round",
        _always_release,
        Limits(rounds=2, time_steps=0, has_disk=False, immediate_delivery=True),
    ),
}


def find_violation(name: str) -> str:
    """Return how a faulty build violates an invariant, or an empty text if it does not."""
    drift, owner, method, replacement, limits = FAULTY_BUILDS[name]
    former = getattr(owner, method)
    setattr(owner, method, replacement)
    try:
        with configured_clock_drift(drift):
            explore(limits)
    except InvariantViolationError as violation:
        return str(violation)
    finally:
        setattr(owner, method, former)
    return ""


def main() -> None:
    """Explore the models or the faulty builds, and print the results."""
    parser = argparse.ArgumentParser(description="Explore every order of events around a small fleet's lease.")
    parser.add_argument("--broken", action="store_true", help="check that deliberately faulty builds are caught")
    parser.add_argument("--states", type=int, default=2_000_000, help="maximum number of states of a model")
    arguments = parser.parse_args()
    if arguments.broken:
        found = {name: find_violation(name) for name in FAULTY_BUILDS}
        for name, violation in found.items():
            print(f"| {name} | {'caught: ' + violation if violation else 'NOT CAUGHT'} |")
        sys.exit(0 if all(found.values()) else 1)
    print("| world | states | all of them | seconds |\n| --- | --- | --- | --- |")
    for name, limits in MODELS.items():
        started = time.monotonic()
        with configured_clock_drift():
            states, complete = explore(limits, arguments.states)
        print(f"| {name} | {states} | {'yes' if complete else 'no'} | {time.monotonic() - started:.0f} |", flush=True)


if __name__ == "__main__":
    main()
