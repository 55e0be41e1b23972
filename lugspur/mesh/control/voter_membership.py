"""Choice of the voters of the next epoch, without I/O.

Each step changes one voter, so that the majorities of two consecutive epochs intersect. No step makes the voters fewer.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

import msgspec

from lugspur.mesh.control.capacity import fits_on_disk
from lugspur.mesh.control.messages import Membership, OverdueMembership, Voter
from lugspur.mesh.control.quorum import majority

MIN_VOTERS = 3  # if there are enough replicas, so that one voter may always be absent
MAX_EARLIER_EPOCHS = 64  # whose voters a membership lists; leaving out an older one costs time, never a reservation


class Presence(msgspec.Struct, array_like=True, frozen=True):
    """The status that a control node announces, as a leased entry under its IP address."""

    uid: str  # of its disk
    zone: str
    leaving: bool = False  # the control node is shutting down for good
    failing: bool = False  # writes to the control node's disk fail
    disk_bytes: int = 0  # the capacity of the control node's disk; 0: unknown


@dataclass(slots=True, frozen=True)
class Tolerance:
    """The numbers of machines, zones and regions that may be lost at once."""

    machines: int
    zones: int
    regions: int = 0

    @property
    def voter_count(self) -> int:
        """The number of voters needed to survive these losses, each zone or region with everything in it."""
        return max(MIN_VOTERS, 2 * self.machines + 1, 2 * max(self.zones, self.regions) + 1 if not self.machines else 0)


@dataclass(slots=True, frozen=True)
class ClusterView:
    """The state of the control nodes, as one voter knows it when it chooses the next membership.

    `presences`: the status of each control node by its IP address; `absence_seconds`: seconds for which each voter has
    been unreachable; `absence_timeout`: seconds after which an unreachable voter is replaced; `complete_voters`: IP
    addresses of the voters that hold all reservations, including the choosing voter; `is_overdue`: whether the current
    epoch has lasted so long that voters that are still incomplete won't become complete soon; `recently_absent`: IP
    addresses of replicas that were unreachable recently; `regions`: the region of each zone; `configuration_bytes`: the
    size of all items in force.
    """

    membership: Membership
    presences: Mapping[str, Presence]
    absence_seconds: Mapping[str, float]
    absence_timeout: float
    complete_voters: AbstractSet[str]
    is_overdue: bool
    tolerance: Tolerance
    recently_absent: AbstractSet[str] = frozenset()
    regions: Mapping[str, str] = field(default_factory=dict)
    configuration_bytes: int = 0

    def zone(self, voter: Voter) -> str:
        """Return the zone of a voter, as announced if possible: the first membership lists only addresses."""
        presence = self.presences.get(voter.ip)
        return presence.zone if presence is not None else voter.zone

    def failure_domain(self, voter: Voter) -> str:
        """Return the domain that fails together with a voter: its region if regions may be lost, else its zone."""
        zone = self.zone(voter)
        return self.regions.get(zone, zone) if self.tolerance.regions else zone

    def candidates(self) -> list[Voter]:
        """Return the replicas that have no vote and could be given one."""
        voters = {voter.ip for voter in self.membership.voters}
        eligible = []
        for ip, presence in self.presences.items():
            is_fit = (
                not presence.leaving
                and not presence.failing
                and fits_on_disk(self.configuration_bytes, presence.disk_bytes)
            )
            if ip not in voters and is_fit:
                eligible.append(Voter(ip, presence.uid, presence.zone))
        return [voter for voter in eligible if voter.ip not in self.recently_absent] or eligible

    def may_lose_vote(self, voter: Voter) -> bool:
        """Whether enough other voters are complete: a new voter has to read the reservations of a majority."""
        remaining = len(self.complete_voters - {voter.ip})
        return remaining >= majority(len(self.membership.voters)) or self.is_overdue

    def successor(self, voters: list[Voter]) -> Membership:
        """Return the membership of the next epoch with these voters.

        It lists the voters of earlier epochs too, unless a complete majority of the present voters stays, whose replies
        suffice.
        """
        current = self.membership
        in_order = sorted(voters, key=lambda voter: voter.ip)
        staying = {voter.ip for voter in current.voters if voter in voters}
        if len(self.complete_voters & staying) >= majority(len(current.voters)):
            return Membership(current.epoch + 1, in_order, current.voters)
        earlier = current.past_voters[:MAX_EARLIER_EPOCHS]
        return OverdueMembership(current.epoch + 1, in_order, current.voters, earlier)

    def replace(self, voter: Voter, replacement: Voter) -> Membership:
        """Return the membership of the next epoch, in which another replica has a voter's vote."""
        return self.successor([replacement if other == voter else other for other in self.membership.voters])


def next_membership(view: ClusterView) -> Membership | None:
    """Return the membership that should follow, or None if the current one needs no change."""
    return _replace_lost_disk(view) or _replace_unfit(view) or _add_voter(view) or _spread_over_domains(view)


def _replace_lost_disk(view: ClusterView) -> Membership | None:
    """Replace a voter that has returned with another disk, since its promises are lost."""
    for voter in view.membership.voters:
        presence = view.presences.get(voter.ip)
        if presence is None or presence.uid == voter.uid or presence.leaving or presence.failing:
            continue
        if view.may_lose_vote(voter):
            return view.replace(voter, Voter(voter.ip, presence.uid, presence.zone))
    return None


def _replace_unfit(view: ClusterView) -> Membership | None:
    """Replace a voter that leaves, has a failing disk or has been unreachable for too long, if there is a candidate."""
    candidates = view.candidates()
    if not candidates:
        return None
    for voter in view.membership.voters:
        presence = view.presences.get(voter.ip)
        is_unfit = presence is not None and presence.uid == voter.uid and (presence.leaving or presence.failing)
        if not is_unfit and view.absence_seconds.get(voter.ip, 0.0) <= view.absence_timeout:
            continue
        if view.may_lose_vote(voter):
            others = [other for other in view.membership.voters if other != voter]
            return view.replace(voter, _least_loaded(view, candidates, others))
    return None


def _add_voter(view: ClusterView) -> Membership | None:
    """Add a voter if there are fewer than the tolerated losses require."""
    voters = view.membership.voters
    candidates = view.candidates()
    if len(voters) >= view.tolerance.voter_count or not candidates:
        return None
    if len(view.complete_voters) < majority(len(voters) + 1):
        return None
    added = _least_loaded(view, candidates, voters)
    return view.successor([*voters, added])


def _spread_over_domains(view: ClusterView) -> Membership | None:
    """Move a vote out of a zone or region whose loss would cost the majority."""
    voters = view.membership.voters
    if not view.tolerance.zones and not view.tolerance.regions:
        return None
    votes = Counter(view.failure_domain(voter) for voter in voters)
    fullest = max(votes, key=lambda domain: (votes[domain], domain))
    if len(voters) - votes[fullest] >= majority(len(voters)):
        return None
    elsewhere = [c for c in view.candidates() if votes[view.failure_domain(c)] + 1 < votes[fullest]]
    for voter in voters:
        if elsewhere and view.failure_domain(voter) == fullest and view.may_lose_vote(voter):
            others = [other for other in voters if other != voter]
            return view.replace(voter, _least_loaded(view, elsewhere, others))
    return None


def _least_loaded(view: ClusterView, candidates: list[Voter], others: list[Voter]) -> Voter:
    """Return a candidate of the failure domain with the fewest votes, so that losing one domain costs few votes."""
    domains = Counter(view.failure_domain(voter) for voter in others)
    zones = Counter(view.zone(voter) for voter in others)
    return min(candidates, key=lambda c: (domains[view.failure_domain(c)], zones[view.zone(c)], c.ip))
