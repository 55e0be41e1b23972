"""Who waits for whose call, against a book of its own that a random run keeps: no sockets, no clock."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lugspur.joining.desk import (
    APART_FOR,
    APART_MOST,
    DUE_SPARE,
    WRITERS_MOST,
    Action,
    Alone,
    Desk,
    Drop,
    Expire,
    Extend,
    Give,
    Start,
    Turn,
)
from lugspur.joining.keys import TENANT
from lugspur.joining.sharing import EVERYONE, NOBODY, Depends

WITHIN = 0.1
AGENT = b"user-agent"
MOST = 4
TENANTS = ("", "a", "b", "c")


def told(tenant: str, agent: bytes = b"") -> dict[bytes, bytes]:
    return {TENANT: tenant.encode()} | ({AGENT: agent} if agent else {})


class Asks:
    """A desk and reads that come to it."""

    def __init__(self, most: int = 100) -> None:
        self.desk = Desk(most)
        self.count = 0

    def ask(
        self, now: float, tenant: str = "a", deadline: float = 9.0, agent: bytes = b"", key: str = "k"
    ) -> list[Action]:
        self.count += 1
        return self.desk.ask(now, self.count, key, WITHIN, tenant, deadline, told(tenant, agent))


# ---- one at a time -------------------------------------------------------------------------------


def test_like_reads_wait_for_one_call_and_get_its_answer() -> None:
    asks = Asks()
    assert asks.ask(0.0) == [Start(1, 1, 9.0)]
    assert [asks.ask(0.01 * n) for n in range(1, 4)] == [[], [], []]
    assert asks.desk.ended(0.2, 1, EVERYONE, 100) == [Give(1), Give(2), Give(3), Give(4)]
    assert not asks.desk.members and not asks.desk.flights and not asks.desk.joined
    assert asks.ask(0.2) == [Start(2, 5, 9.0)]  # nothing is kept


def test_another_read_has_a_call_of_its_own() -> None:
    asks = Asks()
    assert asks.ask(0.0, key="k") == [Start(1, 1, 9.0)] and asks.ask(0.0, key="l") == [Start(2, 2, 9.0)]


def test_a_call_that_is_too_old_is_not_joined_and_goes_on() -> None:
    asks = Asks()
    asks.ask(0.0)
    assert asks.ask(WITHIN) == [] and asks.ask(WITHIN + 0.01) == [Start(2, 3, 9.0)]
    assert asks.ask(WITHIN + 0.02) == []  # the younger one
    assert asks.desk.ended(0.3, 1, EVERYONE, 100) == [Give(1), Give(2)]
    assert asks.ask(0.15) == []  # the end of the older one closes the younger to nobody
    assert asks.desk.ended(0.3, 2, EVERYONE, 100) == [Give(3), Give(4), Give(5)]


@pytest.mark.parametrize(
    ("writer", "reader", "joins"),
    [
        ("a", "a", False),
        ("b", "a", True),
        ("", "a", False),
        ("b", "", False),
    ],
)
def test_a_read_after_a_write_of_its_tenant_gets_no_answer_from_before(writer: str, reader: str, joins: bool) -> None:
    asks = Asks()
    asks.ask(0.0, "c")
    asks.desk.wrote(0.01, writer)
    assert (asks.ask(0.02, reader) == []) is joins
    asks.ask(0.03, "c", key="l")  # begun after it
    assert asks.ask(0.04, reader, key="l") == []


def test_a_read_in_the_instant_of_a_write_is_not_joined_to_what_began_then() -> None:
    asks = Asks()
    asks.ask(0.0)
    asks.desk.wrote(0.0, "a")
    assert asks.ask(0.0) == [Start(2, 2, 9.0)]


def test_each_keeps_its_own_deadline() -> None:
    asks = Asks()
    assert asks.ask(0.0, deadline=1.0) == [Start(1, 1, 1.0)]
    assert asks.desk.next_due() is None  # the call's own end
    assert asks.ask(0.0, deadline=5.0) == [Extend(1, 5.0)] and asks.ask(0.0, deadline=3.0) == []
    assert asks.desk.next_due() == 1.0 and asks.desk.due(0.99) == []
    assert asks.desk.due(3.0) == [Expire(1), Expire(3)]
    assert asks.desk.next_due() is None
    assert asks.desk.ended(4.0, 1, EVERYONE, 100) == [Give(2)]


def test_the_read_that_a_call_was_made_for_may_leave() -> None:
    asks = Asks()
    asks.ask(0.0)
    asks.ask(0.0)
    assert asks.desk.gone(1) == [] and asks.desk.gone(1) == []
    assert asks.desk.gone(2) == [Drop(1)]
    assert asks.ask(0.0) == [Start(2, 3, 9.0)]  # nobody joins a call that was dropped
    assert asks.desk.ended(0.1, 1, EVERYONE, 100) == [] and asks.desk.refused(0.1, 1) == []


def test_an_answer_for_one_caller_goes_to_it_alone_and_its_like_are_kept_apart() -> None:
    asks = Asks()
    for _ in range(3):
        asks.ask(0.0)
    assert asks.desk.ended(0.1, 1, NOBODY, 100) == [Give(1), Alone(2), Alone(3)]
    assert asks.ask(0.1) == [Alone(4)] and asks.ask(APART_FOR + 0.09) == [Alone(5)]
    assert asks.ask(APART_FOR + 0.1) == [Start(2, 6, 9.0)]


def test_an_answer_for_one_that_has_left_goes_to_nobody_else() -> None:
    asks = Asks()
    asks.ask(0.0)
    asks.ask(0.0)
    asks.desk.gone(1)
    assert asks.desk.ended(0.1, 1, NOBODY, 100) == [Alone(2)]


def test_those_that_an_answer_differs_for_are_flown_again_each_kind_together() -> None:
    asks = Asks()
    for agent, deadline in ((b"x", 9.0), (b"y", 3.0), (b"x", 9.0), (b"y", 4.0), (b"z", 9.0)):
        asks.ask(0.0, agent=agent, deadline=deadline)
    assert asks.desk.ended(0.1, 1, frozenset({AGENT}), 100) == [Give(1), Give(3), Start(2, 4, 4.0), Start(3, 5, 9.0)]
    assert asks.ask(0.11, agent=b"y", deadline=4.0) == []  # it is known now, and joins its kind
    assert asks.ask(0.11, agent=b"x") == [Start(4, 7, 9.0)]
    assert asks.desk.due(3.0) == [Expire(2)]  # behind the one that waits longer
    assert asks.desk.ended(3.1, 2, frozenset({AGENT}), 100) == [Give(4), Give(6)]


def test_names_that_answers_differ_by_add_up() -> None:
    asks = Asks()
    asks.ask(0.0, "a", agent=b"x")
    asks.ask(0.0, "b", agent=b"x")
    assert asks.desk.ended(0.1, 1, frozenset({AGENT}), 100) == [Give(1), Give(2)]
    asks.ask(0.1, "a", agent=b"x")
    asks.ask(0.1, "b", agent=b"x")
    asks.ask(0.1, "a", agent=b"y")
    assert asks.desk.ended(0.2, 2, frozenset({TENANT}), 100) == [Give(3), Start(4, 4, 9.0)]
    assert asks.ask(0.25, "b", agent=b"x") == [] and asks.ask(0.25, "b", agent=b"y") == [Start(5, 7, 9.0)]


def test_a_refusal_is_its_tenants_own_and_each_tenant_is_tried_once() -> None:
    asks = Asks()
    for tenant in ("a", "b", "a", "c", "b"):
        asks.ask(0.0, tenant)
    assert asks.desk.refused(0.1, 1) == [Give(1), Give(3), Start(2, 2, 9.0)]
    asks.ask(0.15, "a")  # comes to the call of b
    assert asks.desk.refused(0.2, 2) == [Give(2), Give(5), Give(6), Start(3, 4, 9.0)]
    assert asks.desk.refused(0.3, 3) == [Give(4)]


def test_a_full_desk_turns_away_the_newest_of_the_tenant_that_waits_most() -> None:
    asks = Asks(3)
    asks.ask(0.0, "a")
    for _ in range(3):
        asks.ask(0.0, "a")
    assert asks.ask(0.0, "b") == [Turn(4)] and asks.ask(0.0, "a") == [Turn(6)]
    assert asks.ask(0.0, "b") == [Turn(7)]  # two and one: a place more would only turn that round
    assert asks.ask(0.0, "c") == [Turn(3)]
    assert asks.ask(0.0, "c", key="l") == [Start(2, 9, 9.0)]  # who waits for nobody needs no place
    assert asks.desk.joined == 3 and {name: len(own) for name, own in asks.desk.waiting.items()} == {
        "a": 1,
        "b": 1,
        "c": 1,
    }


def test_a_newcomer_whose_flight_ends_as_room_is_made_leads_one_of_its_own() -> None:
    asks = Asks(2)
    for key in ("k", "k", "l", "l"):
        asks.ask(0.0, "a", key=key)
    assert asks.desk.gone(3) == []  # the leader has left: the fourth alone waits for that flight
    assert asks.ask(0.0, "b", key="l") == [Turn(4), Drop(2), Start(3, 5, 9.0)]
    assert asks.desk.gone(5) == [Drop(3)] and not asks.desk.waiting.get("b")


def test_a_desk_without_places_joins_nobody() -> None:
    asks = Asks(0)
    asks.ask(0.0)
    assert asks.ask(0.0) == [Turn(2)]


def test_no_more_copies_than_fit_are_given() -> None:
    asks = Asks()
    for deadline in (9.0, 8.0, 7.0):
        asks.ask(0.0, deadline=deadline)
    assert asks.desk.ended(0.1, 1, EVERYONE, 1) == [Give(3), Alone(2), Alone(1)]


# ---- what peers can make grow --------------------------------------------------------------------


def test_keys_that_are_told_apart_are_bounded() -> None:
    asks = Asks()
    for n in range(APART_MOST + 10):
        [start] = asks.ask(0.0, key=f"k{n}")
        assert isinstance(start, Start)
        asks.desk.ended(0.1, start.flight, NOBODY, 1)
    assert len(asks.desk._apart) == APART_MOST
    assert isinstance(asks.ask(0.2, key="k0")[0], Start) and isinstance(asks.ask(0.2, key="k20")[0], Alone)


def test_deadlines_of_reads_that_have_gone_are_bounded() -> None:
    asks = Asks()
    asks.ask(0.0, deadline=1e6)
    for _ in range(1000):
        asks.ask(0.0, deadline=1e5)
        asks.desk.gone(asks.count)
    assert len(asks.desk._due) <= DUE_SPARE + 2
    asks.ask(0.0, deadline=7.0)
    assert asks.desk.next_due() == 7.0


def test_writers_are_bounded() -> None:
    desk = Desk(1)
    for n in range(3 * WRITERS_MOST):
        desk.wrote(n * 0.1, f"t{n}")
    assert len(desk._wrote) <= WRITERS_MOST + 1


# ---- any run -------------------------------------------------------------------------------------


@dataclass
class Read:
    """What the book says of one read."""

    tenant: str
    deadline: float
    said: Mapping[bytes, bytes]
    key: str


@dataclass
class Call:
    """What the book says of one flight."""

    leader: int
    began: float
    deadline: float
    members: set[int] = field(default_factory=set)


class Runs(RuleBasedStateMachine):
    """Reads, leavings, writes, ends of calls and time in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.count = 0.0, 0
        self.desk = Desk(MOST)
        self.reads: dict[int, Read] = {}  # that wait
        self.calls: dict[int, Call] = {}
        self.wrote: dict[str, float] = {}
        self.done: set[int] = set()

    # ---- the book ------------------------------------------------------------------------------

    def settle(self, number: int) -> None:
        assert number in self.reads and number not in self.done
        self.done.add(number)
        del self.reads[number]
        for call in self.calls.values():
            call.members.discard(number)

    def follow(self, actions: list[Action], given: Collection[int] = ()) -> None:
        """Enter what the desk decided; `given`: those who may have the answer that has just come."""
        for action in actions:
            if isinstance(action, Start):
                call = self.calls[action.flight] = Call(action.member, self.now, action.deadline)
                call.members = {n for n, m in self.desk.members.items() if m.flight.number == action.flight}
                assert action.member in call.members
                assert action.deadline == max(self.reads[n].deadline for n in call.members)
                assert len({self.reads[n].key for n in call.members}) == 1
            elif isinstance(action, Extend):
                self.calls[action.flight].deadline = action.deadline
            elif isinstance(action, Drop):
                assert not self.calls.pop(action.flight).members
            else:
                if isinstance(action, Give):
                    assert action.member in given
                if isinstance(action, Expire):
                    assert self.reads[action.member].deadline <= self.now
                self.settle(action.member)

    # ---- what happens --------------------------------------------------------------------------

    @rule(
        key=st.sampled_from("kl"),
        tenant=st.sampled_from(TENANTS),
        agent=st.sampled_from([b"", b"x", b"y"]),
        left=st.sampled_from([0.05, 0.2, 1.0, 3.0]),
    )
    def ask(self, key: str, tenant: str, agent: bytes, left: float) -> None:
        self.count += 1
        number = self.count
        read = self.reads[number] = Read(tenant, self.now + left, told(tenant, agent), key)
        before = {name: len(own) for name, own in self.desk.waiting.items()}
        actions = self.desk.ask(self.now, number, key, WITHIN, tenant, read.deadline, read.said)
        member = self.desk.members.get(number)
        if member is not None and member.flight.number in self.calls:  # it has joined
            call = self.calls[member.flight.number]
            call.members.add(number)
            assert self.now - call.began <= WITHIN
            marks = [at for name, at in self.wrote.items() if not tenant or name in (tenant, "")]
            assert all(call.began > at for at in marks)
        for turn in (action for action in actions if isinstance(action, Turn)):
            whose = self.reads[turn.member].tenant
            assert sum(before.values()) == MOST
            assert turn.member == number or before[whose] == max(before.values()) > before.get(tenant, 0) + 1
        self.follow(actions)

    @rule(tenant=st.sampled_from(TENANTS))
    def write(self, tenant: str) -> None:
        self.wrote[tenant] = self.now
        self.desk.wrote(self.now, tenant)

    @rule(step=st.sampled_from([0.001, 0.04, 0.11, 0.5]))
    def wait(self, step: float) -> None:
        self.now += step
        self.follow(self.desk.due(self.now))
        for call in list(self.calls.values()):
            for number in call.members:
                assert self.reads[number].deadline > self.now or self.reads[number].deadline == call.deadline

    @precondition(lambda self: self.reads)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.reads)))
        self.settle(number)
        self.follow(self.desk.gone(number))

    @precondition(lambda self: self.calls)
    @rule(
        data=st.data(),
        among=st.sampled_from([EVERYONE, NOBODY, frozenset({AGENT}), frozenset({TENANT}), frozenset({AGENT, TENANT})]),
        most=st.integers(1, 5),
    )
    def end(self, data: st.DataObject, among: Depends, most: int) -> None:
        number = data.draw(st.sampled_from(sorted(self.calls)))
        call = self.calls.pop(number)
        flight = self.desk.flights[number]
        if among is None:
            may = {call.leader}
        else:
            may = {n for n in call.members if all(self.reads[n].said.get(a) == flight.told.get(a) for a in among)}
        actions = self.desk.ended(self.now, number, among, most)
        given = sum(isinstance(action, Give) for action in actions)
        assert given <= max(most, 1)
        self.follow(actions, may)

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def refuse(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.calls)))
        call = self.calls.pop(number)
        flight = self.desk.flights[number]
        over = flight.refused | {flight.tenant}
        self.follow(self.desk.refused(self.now, number), {n for n in call.members if self.reads[n].tenant in over})

    # ---- what always holds -----------------------------------------------------------------------

    @invariant()
    def the_books_agree(self) -> None:
        assert set(self.desk.members) == set(self.reads) and set(self.desk.flights) == set(self.calls)
        for number, call in self.calls.items():
            flight = self.desk.flights[number]
            assert set(flight.members) == call.members and call.members
            assert flight.deadline == call.deadline
            assert all(self.reads[n].deadline <= flight.deadline for n in call.members)
        assert self.desk.joined == sum(map(len, self.desk.waiting.values())) <= MOST

    def teardown(self) -> None:
        """Every call ends, and nothing is left."""
        for number in sorted(self.calls):
            call = self.calls.pop(number)
            self.follow(self.desk.ended(self.now, number, EVERYONE, 100), call.members.copy())
        assert not self.reads and not self.desk.members and not self.desk.waiting and not self.desk._open


Runs.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None, print_blob=True)
TestRuns = Runs.TestCase
