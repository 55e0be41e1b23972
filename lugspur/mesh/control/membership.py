"""Which replicas should vote next, without I/O. Each step changes one voter, so that majorities of two epochs meet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

import msgspec

from lugspur.mesh.control.capacity import fits
from lugspur.mesh.control.messages import Membership, Voter
from lugspur.mesh.control.quorum import majority

MIN_VOTERS = 3  # voters where there are so many replicas: one may always be away


class Presence(msgspec.Struct, array_like=True, frozen=True):
    """What a control node says of itself, as a leased entry under its IP number."""

    uid: str
    zone: str
    leaving: bool = False
    failing: bool = False  # its disk takes no writes
    disk_bytes: int = 0  # that its disk takes; 0: unknown


@dataclass(slots=True, frozen=True)
class Tolerance:
    """What may be lost at once."""

    machines: int
    zones: int
    regions: int = 0

    @property
    def voter_count(self) -> int:
        """How many voters bear the loss of so many machines, or of so many zones or regions with what is in them."""
        return max(MIN_VOTERS, 2 * self.machines + 1, 2 * max(self.zones, self.regions) + 1 if not self.machines else 0)


@dataclass(slots=True, frozen=True)
class Situation:
    """What one voter knows of the others when it looks for the next step.

    `absent`: seconds for which each voter that is out of reach has been; `patience`: how long that may be; `complete`:
    IP numbers of voters that hold all claims, itself included; `overdue`: the present epoch has stood for so long that
    a voter that is not complete will not be soon; `avoid`: IP numbers that were out of reach a moment ago; `regions`:
    the region of each zone; `configuration`: bytes of all items that stand.
    """

    membership: Membership
    presences: Mapping[str, Presence]
    absent: Mapping[str, float]
    absence_timeout: float
    complete_voters: AbstractSet[str]
    is_overdue: bool
    tolerance: Tolerance
    recently_absent: AbstractSet[str] = frozenset()
    regions: Mapping[str, str] = field(default_factory=dict)
    configuration_bytes: int = 0

    def zone(self, voter: Voter) -> str:
        """The zone of a voter: those of the first membership are known by their addresses alone."""
        presence = self.presences.get(voter.ip)
        return presence.zone if presence is not None else voter.zone

    def failure_domain(self, voter: Voter) -> str:
        """What is lost at once with this voter: its region where regions may be lost, else its zone."""
        zone = self.zone(voter)
        return self.regions.get(zone, zone) if self.tolerance.regions else zone

    def candidates(self) -> list[Voter]:
        """Replicas without a vote that could have one."""
        voters = {voter.ip for voter in self.membership.voters}
        found = []
        for ip, presence in self.presences.items():
            fit = not presence.leaving and not presence.failing and fits(self.configuration_bytes, presence.disk_bytes)
            if ip not in voters and fit:
                found.append(Voter(ip, presence.uid, presence.zone))
        return [voter for voter in found if voter.ip not in self.recently_absent] or found

    def may_lose_vote(self, voter: Voter) -> bool:
        """Whether enough of the others hold all claims: whoever is new reads them from a majority."""
        left = len(self.complete_voters - {voter.ip})
        return left >= majority(len(self.membership.voters)) or self.is_overdue


def next_membership(situation: Situation) -> Membership | None:
    """The membership that should follow, or None where the present one is right."""
    return (
        _replace_lost_disk(situation)
        or _replace_unfit(situation)
        or _add_voter(situation)
        or _spread_over_domains(situation)
    )


def _replace_lost_disk(situation: Situation) -> Membership | None:
    """A voter has come back with another disk: what it had promised is gone."""
    for voter in situation.membership.voters:
        presence = situation.presences.get(voter.ip)
        if presence is None or presence.uid == voter.uid or presence.leaving or presence.failing:
            continue
        if situation.may_lose_vote(voter):
            return _replace(situation.membership, voter, Voter(voter.ip, presence.uid, presence.zone))
    return None


def _replace_unfit(situation: Situation) -> Membership | None:
    """A voter leaves, can't write, or has been out of reach for too long, and another could take its place."""
    candidates = situation.candidates()
    if not candidates:
        return None
    for voter in situation.membership.voters:
        presence = situation.presences.get(voter.ip)
        goes = presence is not None and presence.uid == voter.uid and (presence.leaving or presence.failing)
        if not goes and situation.absent.get(voter.ip, 0.0) <= situation.absence_timeout:
            continue
        if situation.may_lose_vote(voter):
            others = [other for other in situation.membership.voters if other != voter]
            return _replace(situation.membership, voter, _least_crowded(situation, candidates, others))
    return None


def _add_voter(situation: Situation) -> Membership | None:
    """There are fewer voters than the tolerated losses ask for."""
    voters = situation.membership.voters
    candidates = situation.candidates()
    if len(voters) >= situation.tolerance.voter_count or not candidates:
        return None
    if len(situation.complete_voters) < majority(len(voters) + 1):
        return None
    added = _least_crowded(situation, candidates, voters)
    return _follow(situation.membership, [*voters, added])


def _spread_over_domains(situation: Situation) -> Membership | None:
    """The loss of one zone or region would take the majority with it, and another could have one of its votes."""
    voters = situation.membership.voters
    if not situation.tolerance.zones and not situation.tolerance.regions:
        return None
    crowd = Counter(situation.failure_domain(voter) for voter in voters)
    crowded = max(crowd, key=lambda domain: (crowd[domain], domain))
    if len(voters) - crowd[crowded] >= majority(len(voters)):
        return None
    elsewhere = [c for c in situation.candidates() if crowd[situation.failure_domain(c)] + 1 < crowd[crowded]]
    for voter in voters:
        if elsewhere and situation.failure_domain(voter) == crowded and situation.may_lose_vote(voter):
            others = [other for other in voters if other != voter]
            return _replace(situation.membership, voter, _least_crowded(situation, elsewhere, others))
    return None


def _replace(membership: Membership, voter: Voter, by: Voter) -> Membership:
    return _follow(membership, [by if other == voter else other for other in membership.voters])


def _follow(membership: Membership, voters: list[Voter]) -> Membership:
    return Membership(membership.epoch + 1, sorted(voters, key=lambda voter: voter.ip), membership.voters)


def _least_crowded(situation: Situation, candidates: list[Voter], others: list[Voter]) -> Voter:
    """One of the region or zone that has fewest votes: what is lost at once takes the least with it."""
    domains = Counter(situation.failure_domain(voter) for voter in others)
    zones = Counter(situation.zone(voter) for voter in others)
    return min(candidates, key=lambda c: (domains[situation.failure_domain(c)], zones[situation.zone(c)], c.ip))
