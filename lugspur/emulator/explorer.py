"""Every order of events in a small mesh, by the code that runs: who may run an operation while a voter is exchanged.

Three voters, one newcomer that takes the place of the third at any time, two that claim the same key. Messages between
two go in order and come at any time; connections break and lose what is on them, voters lose power before or after
what they were writing is on disk, so often as a world says. After each step at most one has run the operation.
"""

from __future__ import annotations

import pickle
import time
from collections import deque
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lugspur.control import claims, voter
from lugspur.control.claims import Claims, Settled, Won
from lugspur.control.membership import Steward
from lugspur.control.messages import (
    Answer,
    Claim,
    Done,
    Fetch,
    Membership,
    Message,
    Release,
    State,
    Verdict,
    Voter,
    encode,
)
from lugspur.control.replica import GENESIS, Effects, Replica, membership_entry
from lugspur.control.store import Store
from lugspur.control.voter import Sitting
from lugspur.emulator.control import keep

KEY = b"k"
FIRST = ["a", "b", "c"]  # the voters of the first membership
NEW = "d"
OLD = Membership(1, [Voter(ip, GENESIS, "") for ip in FIRST], 0)
NEXT = Membership(2, [Voter("a", GENESIS, ""), Voter("b", GENESIS, ""), Voter(NEW, "new", "")], 3)
NOW, LATE = 100.0, 200.0  # no window ends in a world; only who claims gives up
WINDOW, MEMORY = 1e9, 64 << 20

Event = tuple[str, ...]


class Broken(AssertionError):
    """Two have run the operation; the text tells the way there."""


@dataclass(slots=True, frozen=True)
class Limits:
    """How much may happen in a world."""

    name: str
    claimants: int = 2
    change: bool = False  # whether the newcomer takes the third one's voter
    powers: int = 0  # losses of power
    breaks: int = 0  # connections that break
    disks: bool = False  # whether a write takes its time: else it is there at once
    back: bool = False  # whether who has won may turn out not to have run
    prompt: bool = True  # whether verdicts come at once: a claim may be late in their place, and worlds can be larger


@dataclass(slots=True)
class Place:
    """One voter, its disk, and what it is writing."""

    replica: Replica
    sitting: Sitting
    disk: dict[bytes, bytes] = field(default_factory=dict)
    queue: list[tuple[list[tuple[bytes, bytes | None]], list[tuple[Any, Message]]]] = field(default_factory=list)


class Claimant:
    """One that wants to run the operation."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.by = name.encode()
        self.state = "idle"  # asking, won, ran, told, back, lost
        self.membership = OLD
        self.sent: list[tuple[str, Message]] = []
        self.claims = Claims(self.send)
        self.claims._won = {}  # type: ignore[assignment]  # no time passes here

    def send(self, ip: str, message: Claim | Release) -> None:
        self.sent.append((ip, message))

    def over(self, how: Settled) -> None:
        self.state = "won" if isinstance(how, Won) else "lost"


class World:
    """One state."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.places: dict[str, Place] = {}
        for ip in [*FIRST, *([NEW] if limits.change else [])]:
            uid = GENESIS if ip in FIRST else "new"
            replica = Replica(ip, uid, "", WINDOW, MEMORY, Store())
            self.places[ip] = Place(replica, Sitting(replica, Steward(ip, Random(1)), 3, 1.0))
            if ip in FIRST:
                self.do(ip, replica.begin(OLD.voters))
                self.sync(ip)
        self.claimants = {name: Claimant(name) for name in ("x", "y")[: limits.claimants]}
        self.wires: dict[tuple[str, str], list[Message]] = {}
        self.powers, self.breaks = limits.powers, limits.breaks
        self.decided = self.fetched = False

    # ---- what may happen next ------------------------------------------------------------

    def events(self) -> Iterator[Event]:
        limits = self.limits
        for source, to in self.wires:
            yield "deliver", source, to
        for ip, place in self.places.items():
            if place.queue and limits.disks:
                yield "sync", ip
            if self.powers:
                yield "power", ip
            if self.decided and place.replica.epoch < 2:
                yield "learn", ip
        for name, who in self.claimants.items():
            if who.state == "idle":
                yield "begin", name
            elif who.state == "asking":
                yield "give-up", name
                if self.decided and who.membership.epoch < 2:
                    yield "hear", name
            elif who.state == "won":
                yield "run", name
                if limits.back:
                    yield "back", name
            elif who.state == "ran":
                yield "tell", name
        places = self.places
        if limits.change and not self.decided and all(places[ip].replica.full for ip in ("a", "b")):
            yield ("decide",)
        if self.decided and not self.fetched and places[NEW].replica.epoch == 2:
            yield ("fetch",)
        if self.breaks:
            for pair in self.wires:
                yield "break", *pair

    def step(self, event: Event) -> None:
        what, *who = event
        if what == "deliver":
            self._deliver(who[0], who[1])
        elif what == "sync":
            self.sync(who[0])
        elif what == "power":
            self._power(who[0])
        elif what in ("learn", "decide"):
            ip = who[0] if who else "a"  # whoever's ballot it was goes by it first
            self.decided = True
            replica = self.places[ip].replica
            self.do(ip, replica.heard(replica.store.merge([membership_entry(NEXT)])))
        elif what == "fetch":
            self.fetched = True
            for ip in ("a", "b"):
                self.post(NEW, ip, Fetch(NEXT))
        elif what == "break":
            self._break(who[0], who[1])
        else:
            self._claim(what, self.claimants[who[0]])

    def _claim(self, what: str, who: Claimant) -> None:
        if what == "begin":
            who.state = "asking"
            if self.decided:
                who.membership = NEXT
            who.claims.begin(NOW, who.membership, KEY, who.by, 1.0, 1.0, who.over)
        elif what == "give-up":
            who.claims.look(LATE)
        elif what == "hear":
            who.membership = NEXT
            who.claims.again(NOW, NEXT)
        elif what == "run":
            if any(other.state in ("ran", "told") for other in self.claimants.values()):
                raise Broken
            who.state = "ran"
        else:
            who.state = "told" if what == "tell" else "back"
            for voter in who.membership.voters:
                who.sent.append(
                    (voter.ip, Done(KEY, who.by, Answer(200, b"", who.by)) if what == "tell" else Release(KEY, who.by))
                )
        self._collect(who)

    def _collect(self, who: Claimant) -> None:
        for ip, message in who.sent:
            self.post(who.name, ip, message)
        who.sent.clear()

    def post(self, source: str, to: str, message: Message) -> None:
        if self.limits.prompt and to in self.claimants:
            self._judged(source, to, message)
        elif to in self.places or to in self.claimants:
            self.wires.setdefault((source, to), []).append(message)

    def do(self, ip: str, effects: Effects) -> None:
        for peer, message in effects.send:
            self.post(ip, peer, message)
        if effects.write or effects.then:
            self.places[ip].queue.append((effects.write, effects.then))
            if not self.limits.disks:
                self.sync(ip)

    def sync(self, ip: str) -> None:
        place = self.places[ip]
        queue, place.queue = place.queue, []
        for rows, then in queue:
            keep(place.disk, rows)
            for peer, message in then:
                self.post(ip, peer, message)

    def _deliver(self, source: str, to: str) -> None:
        wire = self.wires[source, to]
        message = wire.pop(0)
        if not wire:
            del self.wires[source, to]
        if to in self.places:
            place = self.places[to]
            self.do(to, place.replica.judge(NOW, source, message))
            self.do(to, place.sitting.heard(NOW, source, message))
        else:
            self._judged(source, to, message)

    def _judged(self, source: str, to: str, message: Message) -> None:
        who = self.claimants[to]
        assert isinstance(message, Verdict)
        who.claims.verdict(NOW, source, message)
        self._collect(who)

    def _power(self, ip: str) -> None:
        self.powers -= 1
        place = self.places[ip]
        uid = GENESIS if ip in FIRST else "new"
        place.queue.clear()
        place.replica = Replica(ip, uid, "", WINDOW, MEMORY, Store())
        place.replica.restore(list(place.disk.items()), NOW)
        place.sitting = Sitting(place.replica, Steward(ip, Random(1)), 3, 1.0)
        if ip == NEW:
            self.fetched = False
        for pair in [pair for pair in self.wires if ip in pair]:
            self._lose(*pair)

    def _break(self, source: str, to: str) -> None:
        self.breaks -= 1
        for pair in ((source, to), (to, source)):
            if pair in self.wires:
                self._lose(*pair)

    def _lose(self, source: str, to: str) -> None:
        del self.wires[source, to]
        if to in self.places:
            self.places[to].sitting.lost(source)
        if NEW in (source, to):
            self.fetched = False
        for name, ip in ((source, to), (to, source)):
            if name in self.claimants and ip in self.places:  # it is reached anew
                self.claimants[name].claims.reach(NOW, ip)
                self._collect(self.claimants[name])

    # ---- telling states apart --------------------------------------------------------------

    def key(self) -> Any:
        """What makes this state another one."""
        places = tuple(
            (
                ip,
                p.replica.epoch,
                p.replica.full,
                tuple((h.by, h.answer is not None) for h in p.replica._claims.values()),
                tuple(sorted(p.disk.items())),
                tuple((tuple(rows), tuple((peer, encode(m)) for peer, m in then)) for rows, then in p.queue),
                tuple((peer, tuple(map(encode, parts))) for peer, parts in sorted(p.sitting._states.items())),
            )
            for ip, p in self.places.items()
        )
        claimants = tuple(
            (
                w.state,
                w.membership.epoch,
                tuple(
                    (
                        o.membership.epoch if o.membership is not None else 0,
                        tuple(sorted(o.granted)),
                        tuple(sorted(o.others)),
                    )
                    for o in w.claims._open.values()
                ),
            )
            for w in self.claimants.values()
        )
        wires = tuple((pair, tuple(map(encode, self.wires[pair]))) for pair in sorted(self.wires))
        return places, claimants, wires, self.powers, self.breaks, self.decided, self.fetched


WORLDS = [
    Limits("one claims, verdicts are late, a voter is exchanged", claimants=1, change=True, prompt=False),
    Limits("two claim", back=True),
    Limits("two claim, a connection breaks", breaks=1),
    Limits("two claim, power is lost", powers=1, disks=True),
    Limits("two claim, a voter is exchanged", change=True),
]


def explore(limits: Limits, most: int, rng: Random | None = None) -> tuple[int, bool]:
    """How many states were seen, `most` at most, and whether these are all. `rng`: by drawn walks, which reach deep
    states first, in place of the nearest states first.

    Raises Broken with the way to a state in which two have run.
    """
    first = World(limits)
    seen = {hash(first.key())}
    todo: deque[tuple[bytes, tuple[Event, ...]]] = deque([(pickle.dumps(first), ())])
    while todo:
        packed, way = todo.popleft() if rng is None else todo.pop()
        events = list(pickle.loads(packed).events())
        if rng is not None:
            rng.shuffle(events)
        for event in events:
            world = pickle.loads(packed)
            try:
                world.step(event)
            except Broken:
                raise Broken("; ".join(" ".join(e) for e in (*way, event))) from None
            key = hash(world.key())
            if key not in seen:
                seen.add(key)
                todo.append((pickle.dumps(world), (*way, event)))
                if len(seen) >= most:
                    return len(seen), False
    return len(seen), True


def last_word(replica: Replica, now: float, epoch: int, parts: Iterable[State]) -> Effects:
    """A voter that goes by what it was told last."""
    told = list(parts)
    last = {key: kept for part in told for key, kept in part.claims}
    entries = [entry for part in told for entry in part.entries]
    return _caught_up(replica, now, epoch, [State(epoch, entries, list(last.items()), True)])


_caught_up = Replica.caught_up

#: Builds that are wrong on purpose: where, which name, and what stands there instead.
BROKEN: dict[str, tuple[Any, str, Any]] = {
    "a new voter that goes by the last word on a key": (Replica, "caught_up", last_word),
    "a new voter that takes one other's word for all": (voter, "majority", lambda count: 1),
    "one grant is enough": (claims, "majority", lambda count: 1),
}


@contextmanager
def broken(name: str) -> Iterator[None]:
    """Run as that build for a while."""
    where, what, wrong = BROKEN[name]
    right = getattr(where, what)
    setattr(where, what, wrong)
    try:
        yield
    finally:
        setattr(where, what, right)


def caught(name: str, most: int, seeds: Iterable[int]) -> str:
    """The way by which drawn walks find a broken build out, or nothing."""
    with broken(name):
        for seed in seeds:
            try:
                explore(WORLDS[-1], most, Random(seed))
            except Broken as way:
                return str(way)
    return ""


def report(most: int) -> Iterator[str]:
    """A row for each world, and one for each build that is wrong on purpose."""
    yield "| world | states | all of them | seconds | wrong |"
    yield "|---|---|---|---|---|"
    for limits in WORLDS:
        begun = time.perf_counter()
        try:
            states, whole = explore(limits, most)
            wrong = "none"
        except Broken as way:
            states, whole, wrong = 0, False, str(way)
        yield f"| {limits.name} | {states} | {'yes' if whole else 'no'} | {time.perf_counter() - begun:.0f} | {wrong} |"
    for name in BROKEN:
        begun = time.perf_counter()
        found = caught(name, 4000, range(8))
        yield f"| {name} | | | {time.perf_counter() - begun:.0f} | {found or 'not found out'} |"
