"""The state machine of request coalescing, without sockets and clock, also against a model in random runs."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lugspur.joining.flight_table import (
    MAX_VARY_KEYS,
    MAX_WRITERS,
    SPARE_DEADLINES,
    VARY_LIFETIME_SECONDS,
    Action,
    CallSeparately,
    CancelCall,
    Deliver,
    Expire,
    ExtendDeadline,
    FlightTable,
    Reject,
    StartCall,
)
from lugspur.joining.keys import TENANT
from lugspur.joining.sharing import NOT_SHARED, SHARED_BY_ALL, VaryNames

MAX_AGE = 0.1
AGENT = b"user-agent"
MAX_WAITING = 4
TENANTS = ("", "a", "b", "c")


def selecting_values(tenant: str, agent: bytes = b"") -> dict[bytes, bytes]:
    return {TENANT: tenant.encode()} | ({AGENT: agent} if agent else {})


class ReadSource:
    """A flight table and the numbered reads that are added to it."""

    def __init__(self, max_waiting: int = 100) -> None:
        self.flight_table = FlightTable(max_waiting)
        self.count = 0

    def ask(
        self, now: float, tenant: str = "a", deadline: float = 9.0, agent: bytes = b"", key: str = "k"
    ) -> list[Action]:
        self.count += 1
        return self.flight_table.add_read(
            now, self.count, key, MAX_AGE, tenant, deadline, selecting_values(tenant, agent)
        )


# ---- one at a time -------------------------------------------------------------------------------


def test_equal_reads_wait_for_one_call_and_get_its_response() -> None:
    source = ReadSource()
    assert source.ask(0.0) == [StartCall(1, 1, 9.0)]
    assert [source.ask(0.01 * n) for n in range(1, 4)] == [[], [], []]
    assert source.flight_table.finish_call(0.2, 1, SHARED_BY_ALL, 100) == [
        Deliver(1),
        Deliver(2),
        Deliver(3),
        Deliver(4),
    ]
    assert not source.flight_table.members and not source.flight_table.flights and not source.flight_table.waiting_count
    assert source.ask(0.2) == [StartCall(2, 5, 9.0)]  # no response is stored


def test_a_different_read_gets_its_own_call() -> None:
    source = ReadSource()
    assert source.ask(0.0, key="k") == [StartCall(1, 1, 9.0)] and source.ask(0.0, key="l") == [StartCall(2, 2, 9.0)]


def test_a_call_that_is_too_old_is_not_joined_and_continues() -> None:
    source = ReadSource()
    source.ask(0.0)
    assert source.ask(MAX_AGE) == [] and source.ask(MAX_AGE + 0.01) == [StartCall(2, 3, 9.0)]
    assert source.ask(MAX_AGE + 0.02) == []  # joins the later call
    assert source.flight_table.finish_call(0.3, 1, SHARED_BY_ALL, 100) == [Deliver(1), Deliver(2)]
    assert source.ask(0.15) == []  # The later call can still be joined after the end of the earlier one.
    assert source.flight_table.finish_call(0.3, 2, SHARED_BY_ALL, 100) == [Deliver(3), Deliver(4), Deliver(5)]


@pytest.mark.parametrize(
    ("writer", "reader", "joins"),
    [
        ("a", "a", False),
        ("b", "a", True),
        ("", "a", False),
        ("b", "", False),
    ],
)
def test_a_read_after_a_write_of_its_tenant_gets_no_response_from_before_the_write(
    writer: str, reader: str, joins: bool
) -> None:
    source = ReadSource()
    source.ask(0.0, "c")
    source.flight_table.record_write(0.01, writer)
    assert (source.ask(0.02, reader) == []) is joins
    source.ask(0.03, "c", key="l")  # starts a call after the write
    assert source.ask(0.04, reader, key="l") == []


def test_a_read_at_the_instant_of_a_write_does_not_join_a_call_that_started_then() -> None:
    source = ReadSource()
    source.ask(0.0)
    source.flight_table.record_write(0.0, "a")
    assert source.ask(0.0) == [StartCall(2, 2, 9.0)]


def test_each_member_keeps_its_own_deadline() -> None:
    source = ReadSource()
    assert source.ask(0.0, deadline=1.0) == [StartCall(1, 1, 1.0)]
    assert source.flight_table.next_deadline() is None  # the call ends at this deadline itself
    assert source.ask(0.0, deadline=5.0) == [ExtendDeadline(1, 5.0)] and source.ask(0.0, deadline=3.0) == []
    assert source.flight_table.next_deadline() == 1.0 and source.flight_table.expire(0.99) == []
    assert source.flight_table.expire(3.0) == [Expire(1), Expire(3)]
    assert source.flight_table.next_deadline() is None
    assert source.flight_table.finish_call(4.0, 1, SHARED_BY_ALL, 100) == [Deliver(2)]


def test_a_call_goes_on_when_its_leader_leaves() -> None:
    source = ReadSource()
    source.ask(0.0)
    source.ask(0.0)
    assert source.flight_table.remove_read(1) == [] and source.flight_table.remove_read(1) == []
    assert source.flight_table.remove_read(2) == [CancelCall(1)]
    assert source.ask(0.0) == [StartCall(2, 3, 9.0)]  # A cancelled call is not joined.
    assert (
        source.flight_table.finish_call(0.1, 1, SHARED_BY_ALL, 100) == []
        and source.flight_table.reject_call(0.1, 1) == []
    )


def test_a_response_for_one_caller_goes_to_the_leader_and_equal_reads_stay_separate_for_a_while() -> None:
    source = ReadSource()
    for _ in range(3):
        source.ask(0.0)
    assert source.flight_table.finish_call(0.1, 1, NOT_SHARED, 100) == [
        Deliver(1),
        CallSeparately(2),
        CallSeparately(3),
    ]
    assert source.ask(0.1) == [CallSeparately(4)] and source.ask(VARY_LIFETIME_SECONDS + 0.09) == [CallSeparately(5)]
    assert source.ask(VARY_LIFETIME_SECONDS + 0.1) == [StartCall(2, 6, 9.0)]


def test_a_response_for_a_leader_that_has_left_goes_to_no_other_member() -> None:
    source = ReadSource()
    source.ask(0.0)
    source.ask(0.0)
    source.flight_table.remove_read(1)
    assert source.flight_table.finish_call(0.1, 1, NOT_SHARED, 100) == [CallSeparately(2)]


def test_members_of_other_variants_get_one_new_flight_for_each_variant() -> None:
    source = ReadSource()
    for agent, deadline in ((b"x", 9.0), (b"y", 3.0), (b"x", 9.0), (b"y", 4.0), (b"z", 9.0)):
        source.ask(0.0, agent=agent, deadline=deadline)
    assert source.flight_table.finish_call(0.1, 1, frozenset({AGENT}), 100) == [
        Deliver(1),
        Deliver(3),
        StartCall(2, 4, 4.0),
        StartCall(3, 5, 9.0),
    ]
    # The variation is known now: the read joins the flight of its variant.
    assert source.ask(0.11, agent=b"y", deadline=4.0) == []
    assert source.ask(0.11, agent=b"x") == [StartCall(4, 7, 9.0)]
    assert source.flight_table.expire(3.0) == [Expire(2)]  # The leader of its flight has a later deadline.
    assert source.flight_table.finish_call(3.1, 2, frozenset({AGENT}), 100) == [Deliver(4), Deliver(6)]


def test_names_by_which_responses_vary_accumulate() -> None:
    source = ReadSource()
    source.ask(0.0, "a", agent=b"x")
    source.ask(0.0, "b", agent=b"x")
    assert source.flight_table.finish_call(0.1, 1, frozenset({AGENT}), 100) == [Deliver(1), Deliver(2)]
    source.ask(0.1, "a", agent=b"x")
    source.ask(0.1, "b", agent=b"x")
    source.ask(0.1, "a", agent=b"y")
    assert source.flight_table.finish_call(0.2, 2, frozenset({TENANT}), 100) == [Deliver(3), StartCall(4, 4, 9.0)]
    assert source.ask(0.25, "b", agent=b"x") == [] and source.ask(0.25, "b", agent=b"y") == [StartCall(5, 7, 9.0)]


def test_a_rejection_goes_to_its_tenants_members_and_each_tenant_gets_one_call() -> None:
    source = ReadSource()
    for tenant in ("a", "b", "a", "c", "b"):
        source.ask(0.0, tenant)
    assert source.flight_table.reject_call(0.1, 1) == [Deliver(1), Deliver(3), StartCall(2, 2, 9.0)]
    source.ask(0.15, "a")  # joins the call for tenant b
    assert source.flight_table.reject_call(0.2, 2) == [Deliver(2), Deliver(5), Deliver(6), StartCall(3, 4, 9.0)]
    assert source.flight_table.reject_call(0.3, 3) == [Deliver(4)]


def test_a_full_flight_table_rejects_the_newest_read_of_the_tenant_with_the_most_waiting_reads() -> None:
    source = ReadSource(3)
    source.ask(0.0, "a")
    for _ in range(3):
        source.ask(0.0, "a")
    assert source.ask(0.0, "b") == [Reject(4)] and source.ask(0.0, "a") == [Reject(6)]
    assert source.ask(0.0, "b") == [Reject(7)]  # two and one: another place would only reverse that
    assert source.ask(0.0, "c") == [Reject(3)]
    assert source.ask(0.0, "c", key="l") == [StartCall(2, 9, 9.0)]  # A read that starts a call needs no place.
    assert source.flight_table.waiting_count == 3 and {
        name: len(own) for name, own in source.flight_table.waiting.items()
    } == {
        "a": 1,
        "b": 1,
        "c": 1,
    }


def test_a_read_whose_flight_is_cancelled_to_make_room_starts_one_of_its_own() -> None:
    source = ReadSource(2)
    for key in ("k", "k", "l", "l"):
        source.ask(0.0, "a", key=key)
    assert source.flight_table.remove_read(3) == []  # The leader has left: only the fourth read waits for this flight.
    assert source.ask(0.0, "b", key="l") == [Reject(4), CancelCall(2), StartCall(3, 5, 9.0)]
    assert source.flight_table.remove_read(5) == [CancelCall(3)] and not source.flight_table.waiting.get("b")


def test_a_flight_table_without_places_lets_no_read_join() -> None:
    source = ReadSource(0)
    source.ask(0.0)
    assert source.ask(0.0) == [Reject(2)]


def test_a_response_is_copied_to_no_more_members_than_allowed() -> None:
    source = ReadSource()
    for deadline in (9.0, 8.0, 7.0):
        source.ask(0.0, deadline=deadline)
    assert source.flight_table.finish_call(0.1, 1, SHARED_BY_ALL, 1) == [
        Deliver(3),
        CallSeparately(2),
        CallSeparately(1),
    ]


# ---- bounds of what callers can make grow --------------------------------------------------------


def test_keys_whose_variation_is_kept_are_bounded() -> None:
    source = ReadSource()
    for n in range(MAX_VARY_KEYS + 10):
        [start] = source.ask(0.0, key=f"k{n}")
        assert isinstance(start, StartCall)
        source.flight_table.finish_call(0.1, start.flight, NOT_SHARED, 1)
    assert len(source.flight_table._vary_names) == MAX_VARY_KEYS
    assert isinstance(source.ask(0.2, key="k0")[0], StartCall) and isinstance(
        source.ask(0.2, key="k20")[0], CallSeparately
    )


def test_deadlines_of_former_members_are_bounded() -> None:
    source = ReadSource()
    source.ask(0.0, deadline=1e6)
    for _ in range(1000):
        source.ask(0.0, deadline=1e5)
        source.flight_table.remove_read(source.count)
    assert len(source.flight_table._deadlines) <= SPARE_DEADLINES + 2
    source.ask(0.0, deadline=7.0)
    assert source.flight_table.next_deadline() == 7.0


def test_writers_are_bounded() -> None:
    flight_table = FlightTable(1)
    for n in range(3 * MAX_WRITERS):
        flight_table.record_write(n * 0.1, f"t{n}")
    assert len(flight_table._last_writes) <= MAX_WRITERS + 1


# ---- random runs ---------------------------------------------------------------------------------


@dataclass
class Read:
    """One read in the model."""

    tenant: str
    deadline: float
    selecting_values: Mapping[bytes, bytes]
    key: str


@dataclass
class Call:
    """One flight in the model."""

    leader: int
    began: float
    deadline: float
    members: set[int] = field(default_factory=set)


class FlightTableMachine(RuleBasedStateMachine):
    """Reads, disconnects, writes, ends of calls and passing time in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.count = 0.0, 0
        self.flight_table = FlightTable(MAX_WAITING)
        self.reads: dict[int, Read] = {}  # the reads that wait
        self.calls: dict[int, Call] = {}
        self.wrote: dict[str, float] = {}
        self.done: set[int] = set()

    # ---- the model -------------------------------------------------------------------------------

    def finish(self, number: int) -> None:
        assert number in self.reads and number not in self.done
        self.done.add(number)
        del self.reads[number]
        for call in self.calls.values():
            call.members.discard(number)

    def apply(self, actions: list[Action], recipients: Collection[int] = ()) -> None:
        """Apply actions of the flight table to the model; only `recipients` may get the response that has just come."""
        for action in actions:
            if isinstance(action, StartCall):
                call = self.calls[action.flight] = Call(action.member, self.now, action.deadline)
                call.members = {n for n, m in self.flight_table.members.items() if m.flight.number == action.flight}
                assert action.member in call.members
                assert action.deadline == max(self.reads[n].deadline for n in call.members)
                assert len({self.reads[n].key for n in call.members}) == 1
            elif isinstance(action, ExtendDeadline):
                self.calls[action.flight].deadline = action.deadline
            elif isinstance(action, CancelCall):
                assert not self.calls.pop(action.flight).members
            else:
                if isinstance(action, Deliver):
                    assert action.member in recipients
                if isinstance(action, Expire):
                    assert self.reads[action.member].deadline <= self.now
                self.finish(action.member)

    # ---- events ----------------------------------------------------------------------------------

    @rule(
        key=st.sampled_from("kl"),
        tenant=st.sampled_from(TENANTS),
        agent=st.sampled_from([b"", b"x", b"y"]),
        left=st.sampled_from([0.05, 0.2, 1.0, 3.0]),
    )
    def ask(self, key: str, tenant: str, agent: bytes, left: float) -> None:
        self.count += 1
        number = self.count
        read = self.reads[number] = Read(tenant, self.now + left, selecting_values(tenant, agent), key)
        before = {name: len(own) for name, own in self.flight_table.waiting.items()}
        actions = self.flight_table.add_read(
            self.now, number, key, MAX_AGE, tenant, read.deadline, read.selecting_values
        )
        member = self.flight_table.members.get(number)
        if member is not None and member.flight.number in self.calls:  # The read has joined this flight.
            call = self.calls[member.flight.number]
            call.members.add(number)
            assert self.now - call.began <= MAX_AGE
            writes = [at for name, at in self.wrote.items() if not tenant or name in (tenant, "")]
            assert all(call.began > at for at in writes)
        for reject in (action for action in actions if isinstance(action, Reject)):
            tenant_of_rejected = self.reads[reject.member].tenant
            assert sum(before.values()) == MAX_WAITING
            assert (
                reject.member == number
                or before[tenant_of_rejected] == max(before.values()) > before.get(tenant, 0) + 1
            )
        self.apply(actions)

    @rule(tenant=st.sampled_from(TENANTS))
    def write(self, tenant: str) -> None:
        self.wrote[tenant] = self.now
        self.flight_table.record_write(self.now, tenant)

    @rule(step=st.sampled_from([0.001, 0.04, 0.11, 0.5]))
    def wait(self, step: float) -> None:
        self.now += step
        self.apply(self.flight_table.expire(self.now))
        for call in list(self.calls.values()):
            for number in call.members:
                assert self.reads[number].deadline > self.now or self.reads[number].deadline == call.deadline

    @precondition(lambda self: self.reads)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.reads)))
        self.finish(number)
        self.apply(self.flight_table.remove_read(number))

    @precondition(lambda self: self.calls)
    @rule(
        data=st.data(),
        vary_names=st.sampled_from(
            [SHARED_BY_ALL, NOT_SHARED, frozenset({AGENT}), frozenset({TENANT}), frozenset({AGENT, TENANT})]
        ),
        max_recipients=st.integers(1, 5),
    )
    def end(self, data: st.DataObject, vary_names: VaryNames, max_recipients: int) -> None:
        number = data.draw(st.sampled_from(sorted(self.calls)))
        call = self.calls.pop(number)
        flight = self.flight_table.flights[number]
        if vary_names is None:
            recipients = {call.leader}
        else:
            recipients = {
                n
                for n in call.members
                if all(self.reads[n].selecting_values.get(a) == flight.selecting_values.get(a) for a in vary_names)
            }
        actions = self.flight_table.finish_call(self.now, number, vary_names, max_recipients)
        response_count = sum(isinstance(action, Deliver) for action in actions)
        assert response_count <= max(max_recipients, 1)
        self.apply(actions, recipients)

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def refuse(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.calls)))
        call = self.calls.pop(number)
        flight = self.flight_table.flights[number]
        rejected = flight.rejected_tenants | {flight.tenant}
        self.apply(
            self.flight_table.reject_call(self.now, number),
            {n for n in call.members if self.reads[n].tenant in rejected},
        )

    # ---- invariants ------------------------------------------------------------------------------

    @invariant()
    def the_flight_table_agrees_with_the_model(self) -> None:
        assert set(self.flight_table.members) == set(self.reads) and set(self.flight_table.flights) == set(self.calls)
        for number, call in self.calls.items():
            flight = self.flight_table.flights[number]
            assert set(flight.members) == call.members and call.members
            assert flight.deadline == call.deadline
            assert all(self.reads[n].deadline <= flight.deadline for n in call.members)
        assert self.flight_table.waiting_count == sum(map(len, self.flight_table.waiting.values())) <= MAX_WAITING

    def teardown(self) -> None:
        """End every call: no state may be left."""
        for number in sorted(self.calls):
            call = self.calls.pop(number)
            self.apply(self.flight_table.finish_call(self.now, number, SHARED_BY_ALL, 100), call.members.copy())
        assert (
            not self.reads
            and not self.flight_table.members
            and not self.flight_table.waiting
            and not self.flight_table._open
        )


FlightTableMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, print_blob=True
)
TestFlightTableMachine = FlightTableMachine.TestCase
