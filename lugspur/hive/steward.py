"""Who should sit on the next roster, and the ballot that decides it; without I/O.

A ballot is single-decree agreement (prepare, accept) among the seats of one epoch on the roster of the next one. The
duty of changing the roster falls vacant with each epoch, and whoever's ballot is accepted has done it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

import msgspec

from lugspur.hive.comb import majority
from lugspur.hive.wire import Accept, Accepted, Message, Prepare, Promise, Roster, Seat

LEAST = 3  # seats where there are so many combs: one may always be away
AGAIN = 0.6  # seconds until a ballot that came to nothing is followed by another, drawn anew to twice that
SETTLED = 0.3  # seconds that a roster stands before it is changed: news of it has to get round
RANK = 0.25  # seconds by which each seat lets the one before it go first


class Presence(msgspec.Struct, array_like=True, frozen=True):
    """What a comb says of itself, as a soft entry under its IP number."""

    uid: str
    zone: str
    leaving: bool = False


def target(machines: int, zones: int) -> int:
    """How many seats bear the loss of so many machines, or of so many zones with what is in them."""
    return max(LEAST, 2 * machines + 1, 2 * zones + 1 if not machines else 0)


def proposal(
    roster: Roster,
    combs: Mapping[str, Presence],
    absent: Mapping[str, float],
    patience: float,
    seats: int,
    full: AbstractSet[str],
) -> Roster | None:
    """The roster that should follow, or None where this one is right.

    `absent`: seconds for which each seat that is out of reach has been; `patience`: how long that may be; `seats`:
    how many there should be; `full`: those that have all. One seat changes at a time: so every majority of one roster
    meets every one of the next.
    """
    seated = {(seat.ip, seat.uid) for seat in roster.seats}
    free = [Seat(ip, p.uid, p.zone) for ip, p in combs.items() if (ip, p.uid) not in seated and not p.leaving]
    need = majority(len(roster.seats))
    # Guards against a roster that never has a majority again: who is new has to hear all from so many of the others.
    spared = [seat for seat in roster.seats if len(full - {seat.ip}) >= need]
    for at, seat in enumerate(roster.seats):
        now = combs.get(seat.ip)
        if seat in spared and now is not None and now.uid != seat.uid and not now.leaving:  # its disk is another one
            return _replace(roster, at, Seat(seat.ip, now.uid, now.zone))
    others = [seat for seat in free if seat.ip not in {s.ip for s in roster.seats}]
    if not others:
        return None
    if len(roster.seats) < seats:
        best = _choose(others, roster.seats)
        return Roster(roster.epoch + 1, sorted([*roster.seats, best], key=lambda s: s.ip), len(roster.seats))
    for at, seat in enumerate(roster.seats):
        said = combs.get(seat.ip)
        leaves = said is not None and said.uid == seat.uid and said.leaving
        if seat not in spared:
            continue
        if leaves or absent.get(seat.ip, 0.0) > patience:
            rest = [s for s in roster.seats if s is not seat]
            return _replace(roster, at, _choose(others, rest))
    return None


def _replace(roster: Roster, at: int, seat: Seat) -> Roster:
    seats = [*roster.seats[:at], seat, *roster.seats[at + 1 :]]
    return Roster(roster.epoch + 1, sorted(seats, key=lambda s: s.ip), len(roster.seats))


def _choose(free: Sequence[Seat], seats: Sequence[Seat]) -> Seat:
    """One of the zone that has fewest seats: a zone that goes takes the least with it."""
    crowd: dict[str, int] = {}
    for seat in seats:
        crowd[seat.zone] = crowd.get(seat.zone, 0) + 1
    return min(free, key=lambda s: (crowd.get(s.zone, 0), s.ip))


@dataclass(slots=True)
class Outcome:
    """Messages for every seat of the roster, and the roster that has been decided."""

    send: list[Message]
    decided: Roster | None = None


class Ballot:
    """One ballot on what follows `roster`, by the seat `ip`."""

    def __init__(self, roster: Roster, wanted: Roster, number: int, ip: str) -> None:
        self.roster = roster
        self.number = (number, ip)
        self._wanted = wanted
        self._need = majority(len(roster.seats))
        self._promised: set[str] = set()
        self._accepted: set[str] = set()
        self._best: tuple[int, str] | None = None
        self._asked = False
        self.lost = False
        self.higher = 0  # the number that it was refused for

    def begin(self) -> Outcome:
        """Open it."""
        return Outcome([Prepare(self.roster.epoch, self.number)])

    def promise(self, ip: str, message: Promise) -> Outcome:
        """A seat's answer."""
        if (message.epoch, message.ballot) != (self.roster.epoch, self.number) or self._asked:
            return Outcome([])
        if not message.ok:
            self.lost = True
            self.higher = max(self.higher, message.higher)
            return Outcome([])
        self._promised.add(ip)
        # What another ballot may have decided already is the only thing that this one may ask for.
        if message.accepted is not None and (self._best is None or message.accepted > self._best):
            assert message.value is not None
            self._best, self._wanted = message.accepted, message.value
        if len(self._promised) < self._need:
            return Outcome([])
        self._asked = True
        return Outcome([Accept(self.roster.epoch, self.number, self._wanted)])

    def accepted(self, ip: str, message: Accepted) -> Outcome:
        """A seat's word on the roster."""
        if (message.epoch, message.ballot) != (self.roster.epoch, self.number):
            return Outcome([])
        if not message.ok:
            self.lost = True
            return Outcome([])
        self._accepted.add(ip)
        return Outcome([], self._wanted if len(self._accepted) == self._need else None)


class Steward:
    """When to open a ballot."""

    def __init__(self, ip: str, rng: Random) -> None:
        self._ip, self._rng = ip, rng
        self._number = 0
        self.ballot: Ballot | None = None
        self._epoch = 0
        self._since = 0.0
        self._next = 0.0

    def look(self, now: float, roster: Roster, wanted: Roster | None) -> Outcome:
        """Open one where a change is wanted and it is this seat's turn."""
        if roster.epoch != self._epoch:
            self._epoch, self._since, self.ballot = roster.epoch, now, None
            self._next = 0.0
        if wanted is None:
            self._next = 0.0
            return Outcome([])
        if not self._next:
            rank = [seat.ip for seat in roster.seats].index(self._ip)
            self._next = max(now, self._since + SETTLED) + RANK * rank
        if now < self._next:
            return Outcome([])
        self._next = now + AGAIN * (1.0 + self._rng.random())
        # Guards against a steady clock that began anew: what was promised by the former one is above it for long.
        higher = self.ballot.higher if self.ballot is not None else 0
        self._number = max(self._number + 1, higher + 1, int(now * 10.0) & 0xFFFFFFF)
        self.ballot = Ballot(roster, wanted, self._number, self._ip)
        return self.ballot.begin()
