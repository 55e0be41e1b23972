"""Who should vote in the next membership, and the ballot that decides it; without I/O.

A ballot is single-decree agreement (prepare, accept) among the voters of one epoch on the next membership. The
duty of changing the membership falls vacant with each epoch, and whoever's ballot is accepted has done it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random

import msgspec

from lugspur.control.messages import Accept, Accepted, Membership, Message, Prepare, Promise, Voter
from lugspur.control.replica import majority

LEAST = 3  # voters where there are so many replicas: one may always be away
AGAIN = 0.6  # seconds until a ballot that came to nothing is followed by another, drawn anew to twice that
SETTLED = 0.3  # seconds that a membership stands before it is changed: news of it has to get round
RANK = 0.25  # seconds by which each voter lets the one before it go first


class Presence(msgspec.Struct, array_like=True, frozen=True):
    """What a replica says of itself, as a soft entry under its IP number."""

    uid: str
    zone: str
    leaving: bool = False


def target(machines: int, zones: int) -> int:
    """How many voters bear the loss of so many machines, or of so many zones with what is in them."""
    return max(LEAST, 2 * machines + 1, 2 * zones + 1 if not machines else 0)


def proposal(
    membership: Membership,
    replicas: Mapping[str, Presence],
    absent: Mapping[str, float],
    patience: float,
    voters: int,
    full: AbstractSet[str],
) -> Membership | None:
    """The membership that should follow, or None where this one is right.

    `absent`: seconds for which each voter that is out of reach has been; `patience`: how long that may be; `voters`:
    how many there should be; `full`: those that have all. One voter changes at a time: so every majority of one
    membership meets every one of the next.
    """
    is_voter = {(voter.ip, voter.uid) for voter in membership.voters}
    free = [Voter(ip, p.uid, p.zone) for ip, p in replicas.items() if (ip, p.uid) not in is_voter and not p.leaving]
    need = majority(len(membership.voters))
    # Guards against a membership that never has a majority again: who is new has to hear all from so many.
    spared = [voter for voter in membership.voters if len(full - {voter.ip}) >= need]
    for at, voter in enumerate(membership.voters):
        now = replicas.get(voter.ip)
        if voter in spared and now is not None and now.uid != voter.uid and not now.leaving:  # its disk is another one
            return _replace(membership, at, Voter(voter.ip, now.uid, now.zone))
    others = [voter for voter in free if voter.ip not in {s.ip for s in membership.voters}]
    if not others:
        return None
    if len(membership.voters) < voters:
        best = _choose(others, membership.voters)
        return Membership(
            membership.epoch + 1, sorted([*membership.voters, best], key=lambda s: s.ip), len(membership.voters)
        )
    for at, voter in enumerate(membership.voters):
        said = replicas.get(voter.ip)
        leaves = said is not None and said.uid == voter.uid and said.leaving
        if voter not in spared:
            continue
        if leaves or absent.get(voter.ip, 0.0) > patience:
            rest = [s for s in membership.voters if s is not voter]
            return _replace(membership, at, _choose(others, rest))
    return None


def _replace(membership: Membership, at: int, voter: Voter) -> Membership:
    voters = [*membership.voters[:at], voter, *membership.voters[at + 1 :]]
    return Membership(membership.epoch + 1, sorted(voters, key=lambda s: s.ip), len(membership.voters))


def _choose(free: Sequence[Voter], voters: Sequence[Voter]) -> Voter:
    """One of the zone that has fewest voters: a zone that goes takes the least with it."""
    crowd: dict[str, int] = {}
    for voter in voters:
        crowd[voter.zone] = crowd.get(voter.zone, 0) + 1
    return min(free, key=lambda s: (crowd.get(s.zone, 0), s.ip))


@dataclass(slots=True)
class Outcome:
    """Messages for every voter of the membership, and the membership that has been decided."""

    send: list[Message]
    decided: Membership | None = None


class Ballot:
    """One ballot on what follows `membership`, by the voter `ip`."""

    def __init__(self, membership: Membership, wanted: Membership, number: int, ip: str) -> None:
        self.membership = membership
        self.number = (number, ip)
        self._wanted = wanted
        self._need = majority(len(membership.voters))
        self._promised: set[str] = set()
        self._accepted: set[str] = set()
        self._best: tuple[int, str] | None = None
        self._asked = False
        self.lost = False
        self.higher = 0  # the number that it was refused for

    def begin(self) -> Outcome:
        """Open it."""
        return Outcome([Prepare(self.membership.epoch, self.number)])

    def promise(self, ip: str, message: Promise) -> Outcome:
        """A voter's answer."""
        if (message.epoch, message.ballot) != (self.membership.epoch, self.number) or self._asked:
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
        return Outcome([Accept(self.membership.epoch, self.number, self._wanted)])

    def accepted(self, ip: str, message: Accepted) -> Outcome:
        """A voter's word on the membership."""
        if (message.epoch, message.ballot) != (self.membership.epoch, self.number):
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

    def look(self, now: float, membership: Membership, wanted: Membership | None) -> Outcome:
        """Open one where a change is wanted and it is this voter's turn."""
        if membership.epoch != self._epoch:
            self._epoch, self._since, self.ballot = membership.epoch, now, None
            self._next = 0.0
        if wanted is None:
            self._next = 0.0
            return Outcome([])
        if not self._next:
            rank = [voter.ip for voter in membership.voters].index(self._ip)
            self._next = max(now, self._since + SETTLED) + RANK * rank
        if now < self._next:
            return Outcome([])
        self._next = now + AGAIN * (1.0 + self._rng.random())
        # Guards against a steady clock that began anew: what was promised by the former one is above it for long.
        higher = self.ballot.higher if self.ballot is not None else 0
        self._number = max(self._number + 1, higher + 1, int(now * 10.0) & 0xFFFFFFF)
        self.ballot = Ballot(membership, wanted, self._number, self._ip)
        return self.ballot.begin()
