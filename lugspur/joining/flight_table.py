"""The state machine of request coalescing, without I/O: reads, ends of calls and the time go in, actions come out.

A call that several reads may wait for is a flight, and the reads that wait for it are its members. The call is made
with the request of one member, the leader, and goes on when the leader leaves; each member keeps its own deadline. A
read joins a flight only if that started recently, and after the response to every write of the read's tenant, so that
no response is older than its caller can know. Alternatives are discussed in docs/joining.md.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field

from lugspur.joining.sharing import NOT_SHARED, SHARED_BY_ALL, VaryNames
from lugspur.routing.model import MAX_COALESCING_AGE_SECONDS

#: The time for which reads of a key are separated by the names by which the latest response to such a read varied.
VARY_LIFETIME_SECONDS = 10.0
#: Deadlines that the heap may hold beyond twice the number of members before those of former members are removed.
SPARE_DEADLINES = 64
#: Tenants whose latest write is kept, unless more of them have written within MAX_COALESCING_AGE_SECONDS.
MAX_WRITERS = 1024
#: Keys whose names of variation are kept. The oldest are forgotten, and learned again from one more flight.
MAX_VARY_KEYS = 1024


@dataclass(slots=True)
class StartCall:
    """Start the call of a flight with this member's request and this deadline."""

    flight: int
    member: int
    deadline: float


@dataclass(slots=True)
class ExtendDeadline:
    """Extend the deadline of a flight's call."""

    flight: int
    deadline: float


@dataclass(slots=True)
class CancelCall:
    """Cancel the call of a flight that has no members left."""

    flight: int


@dataclass(slots=True)
class Deliver:
    """Send a member the response of its flight."""

    member: int


@dataclass(slots=True)
class CallSeparately:
    """Make a separate call for a former member, which is no longer tracked here."""

    member: int


@dataclass(slots=True)
class Reject:
    """Reject a member: no call was made for it alone, and too many reads wait already."""

    member: int


@dataclass(slots=True)
class Expire:
    """Send a member a timeout: its deadline has passed."""

    member: int


Action = StartCall | ExtendDeadline | CancelCall | Deliver | CallSeparately | Reject | Expire


@dataclass(slots=True)
class Member:
    """One read that waits for the response of a flight."""

    number: int
    tenant: str
    deadline: float
    selecting_values: Mapping[bytes, bytes]  # by the names by which a response may vary (RFC 9111 4.1)
    flight: Flight
    has_joined: bool  # whether the flight was started for other reads

    def variant(self, names: Iterable[bytes]) -> tuple[bytes | None, ...]:
        """Return the values by which this read's response is selected if responses vary by these names."""
        return tuple(self.selecting_values.get(name) for name in names)


@dataclass(slots=True)
class Flight:
    """One call and the reads that wait for it."""

    number: int
    key: Hashable  # what the members of the flight have in common, including the variant
    base_key: Hashable  # what the members of the flight have in common, without the variant
    started_at: float  # in seconds of the caller's clock
    tenant: str  # of the leader, under which the call is made
    selecting_values: Mapping[bytes, bytes]  # of the leader
    leader: int  # the member whose request the call is made with; it may have left
    deadline: float = 0.0
    members: dict[int, Member] = field(default_factory=dict)
    rejected_tenants: frozenset[str] = frozenset()  # under which the call was rejected before


class FlightTable:
    """All flights of a daemon. At most `max_waiting` reads may wait at once for calls that were started for others."""

    def __init__(self, max_waiting: int) -> None:
        self.max_waiting = max_waiting
        self.flights: dict[int, Flight] = {}
        self.members: dict[int, Member] = {}
        self.waiting: dict[str, dict[int, None]] = {}  # members that joined a flight, by tenant, the oldest first
        self.waiting_count = 0  # the number of members in `waiting`
        self._open: dict[Hashable, Flight] = {}  # the latest flight of each key
        # By key without the variant: when the names by which its responses vary were learned, and the names.
        self._vary_names: OrderedDict[Hashable, tuple[float, VaryNames]] = OrderedDict()
        self._last_writes: dict[str, float] = {}  # when the latest write of each tenant was answered
        self._last_write = float("-inf")  # of any tenant
        self._deadlines: list[tuple[float, int]] = []  # a heap of deadlines and members, some of which may have left
        self._flight_count = 0

    # ---- reads ---------------------------------------------------------------------------------

    def add_read(
        self,
        now: float,
        number: int,
        key: Hashable,
        max_age: float,
        tenant: str,
        deadline: float,
        selecting_values: Mapping[bytes, bytes],
    ) -> list[Action]:
        """Add a read, which may join a flight that started at most `max_age` seconds ago."""
        names = self._known_vary_names(now, key)
        if names is None:
            return [CallSeparately(number)]
        full_key = (key, *((name, selecting_values.get(name)) for name in sorted(names)))
        flight = self._open.get(full_key)
        if flight is None or not self._may_join(now, flight, max_age, tenant):
            return [
                self._start(now, full_key, key, [Member(number, tenant, deadline, selecting_values, _NO_FLIGHT, False)])
            ]
        out: list[Action] = []
        if self.waiting_count >= self.max_waiting and not self._make_room(tenant, out):
            return [Reject(number)]
        if flight.number not in self.flights:
            # Guards the new read: the member that made room was the last of this flight, whose call was cancelled.
            return [
                *out,
                self._start(
                    now, full_key, key, [Member(number, tenant, deadline, selecting_values, _NO_FLIGHT, False)]
                ),
            ]
        member = Member(number, tenant, deadline, selecting_values, flight, True)
        self.waiting.setdefault(tenant, {})[number] = None
        self.waiting_count += 1
        self._add_member(flight, member)
        if deadline > flight.deadline:
            self._extend_deadline(flight, deadline)
            out.append(ExtendDeadline(flight.number, deadline))
        return out

    def _known_vary_names(self, now: float, key: Hashable) -> VaryNames:
        """Return the names by which responses to reads of this key vary, as far as is known."""
        known = self._vary_names.get(key)
        if known is None:
            return SHARED_BY_ALL
        if now - known[0] >= VARY_LIFETIME_SECONDS:
            del self._vary_names[key]
            return SHARED_BY_ALL
        return known[1]

    def _may_join(self, now: float, flight: Flight, max_age: float, tenant: str) -> bool:
        """Return whether a read that arrives now may get the response of a flight.

        Guards callers that have written against a response from before: the flight must have started after the
        response to their write. A caller without a name ("") may be any tenant, and any tenant may have written
        without a name.
        """
        last_write = max(self._last_writes.get(tenant, float("-inf")), self._last_writes.get("", float("-inf")))
        return now - flight.started_at <= max_age and flight.started_at > (last_write if tenant else self._last_write)

    def _make_room(self, tenant: str, out: list[Action]) -> bool:
        """Reject the newest read of the tenant with the most waiting reads, to make room for a read of `tenant`.

        Returns False, and rejects none, if the other tenant would then have fewer waiting reads than `tenant`. Guards
        tenants against one that takes all places.
        """
        if not self.waiting:
            return False
        largest = max(self.waiting, key=lambda name: len(self.waiting[name]))
        if len(self.waiting[largest]) <= len(self.waiting.get(tenant, ())) + 1:
            return False
        number = next(reversed(self.waiting[largest]))
        out.append(Reject(number))
        out += self._leave(number)
        return True

    def _start(
        self,
        now: float,
        key: Hashable,
        base_key: Hashable,
        members: list[Member],
        rejected_tenants: frozenset[str] = frozenset(),
    ) -> StartCall:
        """Start a flight for these reads, with the request of the one whose deadline is the latest."""
        leader = max(members, key=lambda member: member.deadline)
        self._flight_count += 1
        flight = Flight(
            self._flight_count,
            key,
            base_key,
            now,
            leader.tenant,
            leader.selecting_values,
            leader.number,
            leader.deadline,
            rejected_tenants=rejected_tenants,
        )
        self.flights[flight.number] = self._open[key] = flight
        for member in members:
            self._add_member(flight, member)
        return StartCall(flight.number, leader.number, leader.deadline)

    def _add_member(self, flight: Flight, member: Member) -> None:
        member.flight = flight
        flight.members[member.number] = self.members[member.number] = member
        if member.deadline < flight.deadline:  # The call itself ends at the deadline of the flight.
            self._schedule_expiry(member)

    def _schedule_expiry(self, member: Member) -> None:
        if len(self._deadlines) >= SPARE_DEADLINES + 2 * len(self.members):
            # Guards memory: most deadlines in the heap are of members that have left.
            self._deadlines = [(m.deadline, m.number) for m in self.members.values() if m.deadline < m.flight.deadline]
            heapq.heapify(self._deadlines)
        heapq.heappush(self._deadlines, (member.deadline, member.number))

    def _extend_deadline(self, flight: Flight, deadline: float) -> None:
        for member in flight.members.values():
            if member.deadline == flight.deadline:
                self._schedule_expiry(member)
        flight.deadline = deadline

    # ---- members that leave, writes and deadlines ------------------------------------------------

    def remove_read(self, number: int) -> list[Action]:
        """Remove a member whose caller has disconnected."""
        return self._leave(number) if number in self.members else []

    def _leave(self, number: int) -> list[Action]:
        """Remove a member; the call of a flight without members is cancelled."""
        flight = self._remove_member(number).flight
        if flight.members:
            return []
        self._close(flight)
        return [CancelCall(flight.number)]

    def _remove_member(self, number: int) -> Member:
        member = self.members.pop(number)
        member.flight.members.pop(number, None)
        if member.has_joined:
            self.waiting_count -= 1
            waiting_of_tenant = self.waiting[member.tenant]
            del waiting_of_tenant[number]
            if not waiting_of_tenant:  # Guards memory against an unbounded number of tenants.
                del self.waiting[member.tenant]
        return member

    def _close(self, flight: Flight) -> None:
        self.flights.pop(flight.number, None)
        if self._open.get(flight.key) is flight:
            del self._open[flight.key]

    def record_write(self, now: float, tenant: str) -> None:
        """Record that a request that may have changed something was answered, or that its caller gave it up."""
        self._last_writes[tenant] = self._last_write = now
        if len(self._last_writes) > MAX_WRITERS:  # Guards memory against routes that name ever new tenants.
            self._last_writes = {
                name: at for name, at in self._last_writes.items() if now - at <= MAX_COALESCING_AGE_SECONDS
            }

    def next_deadline(self) -> float | None:
        """Return when `expire` is to be called next, or None if no member has a deadline before its flight's."""
        while self._deadlines:
            deadline, number = self._deadlines[0]
            member = self.members.get(number)
            if member is not None and member.deadline < member.flight.deadline:
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def expire(self, now: float) -> list[Action]:
        """Remove the members whose deadline has passed while their flight goes on for others."""
        out: list[Action] = []
        while (deadline := self.next_deadline()) is not None and deadline <= now:
            number = heapq.heappop(self._deadlines)[1]
            out.append(Expire(number))
            out += self._leave(number)
        return out

    # ---- ends of calls ---------------------------------------------------------------------------

    def finish_call(self, now: float, number: int, vary_names: VaryNames, max_recipients: int) -> list[Action]:
        """End a flight whose call got a response that varies by these names and may be sent to so many members.

        Members that may not have the response get new flights, one for each variant. Members beyond
        `max_recipients` would need too much memory for copies of the response, and get calls of their own.
        """
        flight = self.flights.get(number)
        if flight is None:
            return []
        self._close(flight)
        members = sorted(flight.members.values(), key=lambda member: member.deadline)
        if vary_names != SHARED_BY_ALL:
            vary_names = self._learn_vary_names(now, flight.base_key, vary_names)
        if vary_names is None:
            return [self._finish_member(m, Deliver if m.number == flight.leader else CallSeparately) for m in members]
        names = sorted(vary_names)
        response_variant = tuple(flight.selecting_values.get(name) for name in names)
        out: list[Action] = []
        others: dict[tuple[bytes | None, ...], list[Member]] = {}
        for member in members:
            variant = member.variant(names)
            if variant != response_variant:
                others.setdefault(variant, []).append(member)
            else:
                out.append(self._finish_member(member, Deliver if len(out) < max_recipients else CallSeparately))
        for variant, group in others.items():
            key = (flight.base_key, *zip(names, variant, strict=True))
            out.append(self._start(now, key, flight.base_key, group))
        return out

    def _finish_member(self, member: Member, action: type[Deliver] | type[CallSeparately]) -> Action:
        self._remove_member(member.number)
        return action(member.number)

    def _learn_vary_names(self, now: float, base_key: Hashable, vary_names: VaryNames) -> VaryNames:
        """Keep the names by which a response varied, together with those known before, and return all of them."""
        known = self._known_vary_names(now, base_key)
        both = None if vary_names is None or known is None else known | vary_names
        self._vary_names.pop(base_key, None)
        self._vary_names[base_key] = now, both
        if len(self._vary_names) > MAX_VARY_KEYS:
            self._vary_names.popitem(last=False)
        return both

    def reject_call(self, now: float, number: int) -> list[Action]:
        """End a flight whose call was rejected before any attempt; the rejection is sent to its tenant's members only.

        Guards tenants against one that is over its share, whose rejections must not reach the others. The call is
        made once under each tenant.
        """
        flight = self.flights.get(number)
        if flight is None:
            return []
        self._close(flight)
        rejected_tenants = flight.rejected_tenants | {flight.tenant}
        members = list(flight.members.values())
        out: list[Action] = [self._finish_member(m, Deliver) for m in members if m.tenant in rejected_tenants]
        rest = [member for member in members if member.tenant not in rejected_tenants]
        if rest:
            out.append(self._start(now, flight.key, flight.base_key, rest, rejected_tenants))
        return out

    def finish_call_as_stream(self, now: float, number: int) -> list[Action]:
        """End a flight whose response is a stream: it belongs to the leader, and equal reads get separate calls."""
        return self.finish_call(now, number, NOT_SHARED, 1)


#: The flight of a member that has not been added to one yet.
_NO_FLIGHT = Flight(0, None, None, 0.0, "", {}, 0)
