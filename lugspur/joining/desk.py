"""Who waits for whose call: a machine without I/O. Reads, ends of calls and the time go in, actions come out.

A call that several may wait for is a flight. It is made for the read that began it and outlives that one; each
of its members keeps its own deadline. A read joins only a flight that began a moment ago, and after every write of
its tenant that has been answered, so that no answer is older than its caller can know. What was weighed:
docs/joining.md.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field

from lugspur.joining.sharing import EVERYONE, NOBODY, Depends
from lugspur.routing.model import MAX_COALESCING_AGE_SECONDS

APART_FOR = 10.0  # seconds in which reads are told apart, or kept apart, as the last answer to their like asked
DUE_SPARE = 64  # deadlines of members that have gone, kept beyond those of as many as wait
WRITERS_MOST = 1024  # tenants whose writes are kept, unless more have written in the last so many seconds
APART_MOST = 1024  # keys for which that is known; the oldest are forgotten, and found out again by one more flight


@dataclass(slots=True)
class Start:
    """Make a call by this member's request, to be waited for until the deadline."""

    flight: int
    member: int
    deadline: float


@dataclass(slots=True)
class Extend:
    """A flight is waited for longer now."""

    flight: int
    deadline: float


@dataclass(slots=True)
class Drop:
    """Nobody waits for a flight any more."""

    flight: int


@dataclass(slots=True)
class Give:
    """A member's final answer is that of its flight."""

    member: int


@dataclass(slots=True)
class Alone:
    """A member goes its own way: its own call, and nothing more is heard of it here."""

    member: int


@dataclass(slots=True)
class Turn:
    """A member is turned away: nothing ran for it alone, and there is no place to wait."""

    member: int


@dataclass(slots=True)
class Expire:
    """A member's time is up."""

    member: int


Action = Start | Extend | Drop | Give | Alone | Turn | Expire


@dataclass(slots=True)
class Member:
    """One read that waits."""

    number: int
    tenant: str
    deadline: float
    told: Mapping[bytes, bytes]
    flight: Flight
    joined: bool  # it waits for a call that was made without it

    def variant(self, names: Iterable[bytes]) -> tuple[bytes | None, ...]:
        """What it says where an answer depends on it."""
        return tuple(self.told.get(name) for name in names)


@dataclass(slots=True)
class Flight:
    """One call and who waits for it."""

    number: int
    key: Hashable  # what its members have in common, variants included
    base: Hashable  # the same without variants
    began: float
    tenant: str  # in whose name the call is made...
    told: Mapping[bytes, bytes]  # ...and what the read said that it was made for
    leader: int  # that read, which may have left
    deadline: float = 0.0
    members: dict[int, Member] = field(default_factory=dict)
    refused: frozenset[str] = frozenset()  # tenants in whose name it was refused before


class Desk:
    """All flights of a daemon. `most`: reads that may wait for others' calls at once."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.flights: dict[int, Flight] = {}
        self.members: dict[int, Member] = {}
        self.waiting: dict[str, dict[int, None]] = {}  # members that joined, by tenant, oldest first
        self.joined = 0  # how many they are
        self._open: dict[Hashable, Flight] = {}  # the youngest of each key
        self._apart: OrderedDict[Hashable, tuple[float, Depends]] = OrderedDict()
        self._wrote: dict[str, float] = {}  # when a write of the tenant was last answered
        self._wrote_any = float("-inf")
        self._due: list[tuple[float, int]] = []  # a heap of deadlines; may name members that have gone
        self._count = 0

    # ---- reads ---------------------------------------------------------------------------------

    def ask(
        self,
        now: float,
        number: int,
        key: Hashable,
        within: float,
        tenant: str,
        deadline: float,
        told: Mapping[bytes, bytes],
    ) -> list[Action]:
        """A read has come; `within` is how old a flight may be, in seconds, for it to join."""
        names = self._kept_apart(now, key)
        if names is None:
            return [Alone(number)]
        whole = (key, *((name, told.get(name)) for name in sorted(names)))
        flight = self._open.get(whole)
        if flight is None or not self._young(now, flight, within, tenant):
            return [self._start(now, whole, key, [Member(number, tenant, deadline, told, _NONE, False)])]
        out: list[Action] = []
        if self.joined >= self.most and not self._make_room(tenant, out):
            return [Turn(number)]
        if flight.number not in self.flights:
            # Guards the newcomer: who made room was the last of that flight, whose call has been dropped.
            return [*out, self._start(now, whole, key, [Member(number, tenant, deadline, told, _NONE, False)])]
        member = Member(number, tenant, deadline, told, flight, True)
        self.waiting.setdefault(tenant, {})[number] = None
        self.joined += 1
        self._enter(flight, member)
        if deadline > flight.deadline:
            self._extend(flight, deadline)
            out.append(Extend(flight.number, deadline))
        return out

    def _kept_apart(self, now: float, key: Hashable) -> Depends:
        found = self._apart.get(key)
        if found is None:
            return EVERYONE
        if now - found[0] >= APART_FOR:
            del self._apart[key]
            return EVERYONE
        return found[1]

    def _young(self, now: float, flight: Flight, within: float, tenant: str) -> bool:
        """Whether a read that comes now may have what that flight brings.

        Guards callers that have written against an answer from before: the flight must have begun after the
        answer to their write. Who has no name ("") may be any tenant, and any tenant may have written without one.
        """
        wrote = max(self._wrote.get(tenant, float("-inf")), self._wrote.get("", float("-inf")))
        return now - flight.began <= within and flight.began > (wrote if tenant else self._wrote_any)

    def _make_room(self, tenant: str, out: list[Action]) -> bool:
        """Guards the other tenants against one that fills all places: its newest read makes room for theirs."""
        if not self.waiting:
            return False
        widest = max(self.waiting, key=lambda name: len(self.waiting[name]))
        if len(self.waiting[widest]) <= len(self.waiting.get(tenant, ())) + 1:
            return False
        number = next(reversed(self.waiting[widest]))
        out.append(Turn(number))
        out += self._leave(number)
        return True

    def _start(
        self, now: float, key: Hashable, base: Hashable, members: list[Member], refused: frozenset[str] = frozenset()
    ) -> Start:
        """A new flight for them, by the request of the one that waits longest."""
        leader = max(members, key=lambda member: member.deadline)
        self._count += 1
        flight = Flight(
            self._count, key, base, now, leader.tenant, leader.told, leader.number, leader.deadline, refused=refused
        )
        self.flights[flight.number] = self._open[key] = flight
        for member in members:
            self._enter(flight, member)
        return Start(flight.number, leader.number, leader.deadline)

    def _enter(self, flight: Flight, member: Member) -> None:
        member.flight = flight
        flight.members[member.number] = self.members[member.number] = member
        if member.deadline < flight.deadline:  # at the flight's own deadline the call itself ends
            self._time(member)

    def _time(self, member: Member) -> None:
        if len(self._due) >= DUE_SPARE + 2 * len(self.members):  # Guards memory: most that it names have gone.
            self._due = [(m.deadline, m.number) for m in self.members.values() if m.deadline < m.flight.deadline]
            heapq.heapify(self._due)
        heapq.heappush(self._due, (member.deadline, member.number))

    def _extend(self, flight: Flight, deadline: float) -> None:
        for member in flight.members.values():
            if member.deadline == flight.deadline:
                self._time(member)
        flight.deadline = deadline

    # ---- what becomes of them --------------------------------------------------------------------

    def gone(self, number: int) -> list[Action]:
        """A member's caller has left."""
        return self._leave(number) if number in self.members else []

    def _leave(self, number: int) -> list[Action]:
        """It waits no more; a flight that nobody waits for is dropped."""
        flight = self._forget(number).flight
        if flight.members:
            return []
        self._close(flight)
        return [Drop(flight.number)]

    def _forget(self, number: int) -> Member:
        member = self.members.pop(number)
        member.flight.members.pop(number, None)
        if member.joined:
            self.joined -= 1
            own = self.waiting[member.tenant]
            del own[number]
            if not own:  # Guards memory against tenants without number.
                del self.waiting[member.tenant]
        return member

    def _close(self, flight: Flight) -> None:
        self.flights.pop(flight.number, None)
        if self._open.get(flight.key) is flight:
            del self._open[flight.key]

    def wrote(self, now: float, tenant: str) -> None:
        """A request that may have changed something has been answered, or its caller has given it up."""
        self._wrote[tenant] = self._wrote_any = now
        if len(self._wrote) > WRITERS_MOST:  # Guards memory against files that name ever new tenants.
            self._wrote = {name: at for name, at in self._wrote.items() if now - at <= MAX_COALESCING_AGE_SECONDS}

    def next_due(self) -> float | None:
        """When `due` is to be called next; None: not until something else happens."""
        while self._due:
            deadline, number = self._due[0]
            member = self.members.get(number)
            if member is not None and member.deadline < member.flight.deadline:
                return deadline
            heapq.heappop(self._due)
        return None

    def due(self, now: float) -> list[Action]:
        """Members whose time is up, while their flight goes on for others."""
        out: list[Action] = []
        while (deadline := self.next_due()) is not None and deadline <= now:
            number = heapq.heappop(self._due)[1]
            out.append(Expire(number))
            out += self._leave(number)
        return out

    # ---- ends of calls ---------------------------------------------------------------------------

    def ended(self, now: float, number: int, among: Depends, most: int) -> list[Action]:
        """A call has ended with an answer: it depends on that, and so many may have it at once.

        Those who may not have it are flown again, each variant of them together; those who would be too many
        for the memory that copies of the answer take go alone.
        """
        flight = self.flights.get(number)
        if flight is None:
            return []
        self._close(flight)
        members = sorted(flight.members.values(), key=lambda member: member.deadline)
        if among != EVERYONE:
            among = self._keep_apart(now, flight.base, among)
        if among is None:
            return [self._settle(m, Give if m.number == flight.leader else Alone) for m in members]
        names = sorted(among)
        own = tuple(flight.told.get(name) for name in names)
        out: list[Action] = []
        others: dict[tuple[bytes | None, ...], list[Member]] = {}
        for member in members:
            variant = member.variant(names)
            if variant != own:
                others.setdefault(variant, []).append(member)
            else:
                out.append(self._settle(member, Give if len(out) < most else Alone))
        for variant, group in others.items():
            key = (flight.base, *zip(names, variant, strict=True))
            out.append(self._start(now, key, flight.base, group))
        return out

    def _settle(self, member: Member, how: type[Give] | type[Alone]) -> Action:
        self._forget(member.number)
        return how(member.number)

    def _keep_apart(self, now: float, base: Hashable, among: Depends) -> Depends:
        """Know it for a while, with what was known before."""
        known = self._kept_apart(now, base)
        both = None if among is None or known is None else known | among
        self._apart.pop(base, None)
        self._apart[base] = now, both
        if len(self._apart) > APART_MOST:
            self._apart.popitem(last=False)
        return both

    def refused(self, now: float, number: int) -> list[Action]:
        """A call was refused before any attempt: that is the word for its tenant's members, and not for others'.

        Guards tenants against one that is beyond its share: its refusals are its own. Each tenant is tried once.
        """
        flight = self.flights.get(number)
        if flight is None:
            return []
        self._close(flight)
        over = flight.refused | {flight.tenant}
        members = list(flight.members.values())
        out: list[Action] = [self._settle(m, Give) for m in members if m.tenant in over]
        rest = [member for member in members if member.tenant not in over]
        if rest:
            out.append(self._start(now, flight.key, flight.base, rest, over))
        return out

    def parted(self, now: float, number: int) -> list[Action]:
        """Its answer comes as a stream and belongs to the leader: the others go alone, and so does their like."""
        return self.ended(now, number, NOBODY, 1)


_NONE = Flight(0, None, None, 0.0, "", {}, 0)  # that of a member until it enters one
