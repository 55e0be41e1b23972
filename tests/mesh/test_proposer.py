"""One control node's proposals: what a majority has accepted goes first, and an order ends as it stands."""

from __future__ import annotations

from random import Random

from controlparts import IPS, NEW, NEXT, accepted, change, exchange, item, promise, seed
from meshcalls import call, route, service

from lugspur.mesh.control.change_requests import ChangeRequest, Confirmed, NoQuorum, Outcome, Refused, Unclear, error_of
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import (
    Accept,
    Accepted,
    Entry,
    FetchDecided,
    Learn,
    Message,
    Prepare,
    Promise,
    ProposalNumber,
)
from lugspur.mesh.control.proposer import MAX_CATCH_UPS_PER_VOTER, ROUND_TIMEOUT_SECONDS, Proposer
from lugspur.mesh.control.replica import membership_entry

A, B, C = IPS


class Node:
    """A proposer on the first of three voters, and how its orders ended."""

    def __init__(self) -> None:
        self.replica = seed(A)
        self.proposer = Proposer(self.replica, f"{A}/life", Random(1))
        self.how: list[Outcome] = []

    def order(
        self, *entries: Entry, now: float = 0.0, until: float = 0.8, base_epoch: int | None = None
    ) -> ChangeRequest:
        return ChangeRequest(list(entries), now + until, self.how.append, base_epoch)

    def submit(self, *entries: Entry, now: float = 0.0) -> list[tuple[str, Message]]:
        return self.proposer.submit(now, self.order(*entries, now=now)).send

    def promises(self, ballot: ProposalNumber, *ips: str, now: float = 0.0) -> Effects:
        effects = Effects()
        for ip in ips:
            effects.add(self.proposer.receive(now, ip, promise(self.replica.index + 1, ballot)))
        return effects

    def accepts(self, ballot: ProposalNumber, *ips: str, now: float = 0.0) -> Effects:
        effects, index = Effects(), self.replica.index + 1
        for ip in ips:
            effects.add(self.proposer.receive(now, ip, accepted(index, ballot)))
        return effects

    def decide(self, *entries: Entry) -> None:
        """From the order to the confirmation."""
        ballot = ballot_of(self.submit(*entries))
        self.promises(ballot, A, B)
        self.accepts(ballot, A, B)


def ballot_of(sent: list[tuple[str, Message]]) -> ProposalNumber:
    ballots = {m.proposal for _, m in sent if isinstance(m, Prepare)}
    [ballot] = ballots
    return ballot


def offered(effects: Effects) -> Accept:
    accepts = [m for _, m in effects.send if isinstance(m, Accept)]
    assert len(accepts) == len(IPS) and all(m == accepts[0] for m in accepts)
    return accepts[0]


def test_an_order_is_confirmed_by_the_second_voter_that_has_it_on_disk_and_all_are_told() -> None:
    node = Node()
    sent = node.submit(item("r", 7))
    assert [ip for ip, _ in sent] == list(IPS)
    ballot = ballot_of(sent)
    assert node.promises(ballot, A, A).send == []  # one voter is one promise
    accept = offered(node.promises(ballot, B))
    assert accept.change.entries == [item("r", 7)] and node.how == []
    assert node.accepts(ballot, A, A).send == [] and node.how == []
    effects = node.accepts(ballot, C)
    assert node.how == [Confirmed()] and node.replica.index == 2
    assert [ip for ip, m in effects.send if isinstance(m, Learn)] == [B, C]


def test_answers_of_others_or_to_other_ballots_count_for_nothing() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7)))
    assert node.promises(ballot, A, NEW, "10.0.0.9").send == []
    assert node.promises(ProposalNumber(9, "other"), B, C).send == []
    offered(node.promises(ballot, B))
    assert node.accepts(ballot, A, NEW).send == [] and node.accepts(ProposalNumber(9, "other"), B, C).send == []
    assert node.proposer.receive(0.0, B, accepted(3, ballot)).send == [] and node.how == []


def test_what_was_accepted_under_the_highest_ballot_goes_first_and_the_order_after_it() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7, b"mine")))
    low, high = ProposalNumber(1, "b"), ProposalNumber(2, "c")
    node.proposer.receive(0.0, A, promise(2, ballot, low, change(item("r", 7, b"low"))))
    accept = offered(node.proposer.receive(0.0, C, promise(2, ballot, high, change(item("r", 7, b"high"), name="x"))))
    assert accept.change.entries == [item("r", 7, b"high")]
    again = ballot_of(node.accepts(ballot, A, C).send)
    assert node.how == [] and again > ballot
    node.promises(again, A, C)
    [how] = node.how
    assert isinstance(how, Refused) and how.error.kind is ErrorKind.CONFLICT  # the other content was decided


def test_one_that_was_decided_already_is_confirmed_without_another_change() -> None:
    node = Node()
    node.decide(item("r", 7))
    ballot = ballot_of(node.submit(item("r", 7)))
    assert node.promises(ballot, B, C).send == [] and node.how == [Confirmed(), Confirmed()]
    assert node.replica.index == 2
    older = ballot_of(node.submit(item("r", 5, b"older")))
    node.promises(older, B, C)
    assert node.how[2:] == [Confirmed()] and node.replica.index == 2


def test_nothing_is_refused_before_a_majority_has_promised() -> None:
    node = Node()
    node.decide(item("r", 7))
    ballot = ballot_of(node.submit(item("r", 7, b"other")))
    node.promises(ballot, A)
    assert len(node.how) == 1
    node.proposer.tick(0.9)
    assert node.how[1:] == [NoQuorum()]


def test_an_order_that_came_while_promises_were_gathered_is_refused_only_by_the_next_proposal() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7)))
    node.promises(ballot, A)
    # Another may have decided what this one rests on since B has promised: its word is old when it comes.
    node.submit(*read_changes(call(route("a"))))
    offered(node.promises(ballot, B))
    assert node.how == []
    again = ballot_of(node.accepts(ballot, A, B).send)
    node.promises(again, A, B)
    assert node.how[0] == Confirmed() and isinstance(node.how[1], Refused)
    alone = Node()
    alone.decide(item("r", 7))
    ballot = ballot_of(alone.submit(item("r", 7)))  # which needs no change
    alone.promises(ballot, A)
    alone.submit(*read_changes(call(route("a"))))
    again = ballot_of(alone.promises(ballot, B).send)
    assert alone.how == [Confirmed(), Confirmed()]
    alone.promises(again, A, B)
    assert isinstance(alone.how[2], Refused)


def test_orders_wait_together_and_what_does_not_fit_beside_the_rest_waits_for_the_next_change() -> None:
    node = Node()
    node.decide(*read_changes(call(services=[service()])))
    node.how.clear()
    same_place = read_changes(call(route("b", path_prefix="/a/")))
    ballot = ballot_of(node.submit(*read_changes(call(route("a")))))
    for entries in (same_place, [item("r", 7)], [item("r", 8)]):
        assert node.submit(*entries) == []  # one proposal at a time
    accept = offered(node.promises(ballot, A, B))
    assert sorted(e.name for e in accept.change.entries) == ["a", "r"]
    again = ballot_of(node.accepts(ballot, A, B).send)
    assert node.how == [Confirmed(), Confirmed()]
    accept = offered(node.promises(again, A, B))
    refused = node.how[2]
    assert isinstance(refused, Refused) and refused.error.kind is ErrorKind.BAD_CONFIG
    assert accept.change.entries == [item("r", 8)]


def test_an_order_that_was_offered_is_unclear_in_the_end_and_never_refused() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7)))
    offered(node.promises(ballot, A, B))
    node.accepts(ballot, A)
    node.proposer.tick(0.9)
    assert node.how == [Unclear()]
    fault = error_of(node.how[0])
    assert fault is not None and fault.kind is ErrorKind.UNCLEAR
    node.accepts(ballot, B, now=1.0)  # it counts all the same
    assert node.how == [Unclear()]


def test_a_caller_that_has_gone_takes_back_only_what_was_not_offered() -> None:
    node = Node()
    first, second = node.order(item("r", 7)), node.order(item("s", 7))
    ballot = ballot_of(node.proposer.submit(0.0, first).send)
    node.promises(ballot, A, B)
    node.proposer.submit(0.0, second)
    node.proposer.withdraw(first)
    node.proposer.withdraw(second)
    assert len(node.proposer) == 1
    node.accepts(ballot, A, B)
    assert node.how == [Confirmed()] and node.replica.register.items["notes", "r"].index == 2


def test_a_proposal_that_nobody_waits_for_after_a_freeze_is_not_made() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7)))
    effects = node.promises(ballot, A, B, now=30.0)
    assert node.how == [NoQuorum()] and not any(isinstance(m, Accept) for _, m in effects.send)


def test_a_competitor_ends_a_proposal_and_the_next_one_is_above_it_after_a_pause() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7)))
    node.proposer.receive(0.0, B, Promise(2, ballot, False, 1, ProposalNumber(9_000_000, "b")))
    assert node.proposer.tick(0.0).send == []
    again = ballot_of(node.proposer.tick(0.5).send)
    assert again.number == 9_000_001 and again.proposer == f"{A}/life"
    assert node.promises(ballot, A, B).send == []  # to the one that was given up


def test_a_proposal_without_an_end_is_given_up_and_made_anew() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7)))
    assert node.proposer.tick(ROUND_TIMEOUT_SECONDS - 0.01).send == []
    assert node.proposer.tick(ROUND_TIMEOUT_SECONDS).send == []
    assert ballot_of(node.proposer.tick(ROUND_TIMEOUT_SECONDS + 0.1).send) > ballot


def test_a_voter_that_knows_more_is_asked_and_one_that_knows_less_is_told() -> None:
    node = Node()
    node.decide(item("r", 7))
    ballot = ballot_of(node.submit(item("s", 7)))
    less = Promise(3, ballot, False, 1, ProposalNumber(0, ""))
    for turn in range(MAX_CATCH_UPS_PER_VOTER + 1):
        sent = [m for _, m in node.proposer.receive(0.0, C, less).send]
        if turn < MAX_CATCH_UPS_PER_VOTER:
            page, prepare = sent
            assert isinstance(page, Learn) and page.after_index == 1 and prepare == Prepare(3, ballot)
        else:
            assert sent == []
    more = Promise(3, ballot, False, 9, ProposalNumber(0, ""))
    assert node.proposer.receive(0.0, B, more).send == [(B, FetchDecided(2))]
    assert node.proposer.receive(0.0, B, Accepted(3, ballot, False, 9, ProposalNumber(0, ""))).send == [
        (B, FetchDecided(2))
    ]


def test_what_others_decided_meanwhile_ends_the_proposal_and_orders_are_judged_anew() -> None:
    node = Node()
    ballot = ballot_of(node.submit(item("r", 7, b"mine")))
    node.replica.decide(0.1, change(item("r", 7, b"other"), name="other"))
    node.proposer.replica_advanced(0.1)
    assert node.promises(ballot, A, B).send == []
    again = ballot_of(node.proposer.tick(0.5).send)
    node.promises(again, A, B, now=0.5)
    [how] = node.how
    assert isinstance(how, Refused) and how.error.kind is ErrorKind.CONFLICT


def test_what_a_minority_accepted_is_decided_or_given_up_for_good() -> None:
    node = Node()
    ballot = ballot_of(node.proposer.resolve_pending(0.0).send)
    accept = offered(node.promises(ballot, A, B))  # C alone has accepted something
    assert accept.change.entries == []
    node.accepts(ballot, A, B)
    assert node.replica.index == 2
    found = Node()
    ballot = ballot_of(found.proposer.resolve_pending(0.0).send)
    found.promises(ballot, A)
    value = change(item("r", 7))
    assert offered(found.proposer.receive(0.0, C, promise(2, ballot, ProposalNumber(0, "c"), value))).change == value


def test_a_change_of_the_voters_goes_alone_and_only_from_the_epoch_that_it_follows() -> None:
    node = Node()
    entries = exchange().entries
    ballot = ballot_of(node.submit(item("r", 7)))
    node.proposer.submit(0.0, node.order(*entries, base_epoch=1))
    accept = offered(node.promises(ballot, A, B))
    assert accept.change.entries == [item("r", 7)]
    again = ballot_of(node.accepts(ballot, A, B).send)
    assert offered(node.promises(again, A, B)).change.entries == entries
    sent = node.accepts(again, A, B).send
    assert node.how == [Confirmed(), Confirmed()] and node.replica.epoch == 2 and sent
    late = ballot_of(node.proposer.submit(0.0, node.order(membership_entry(NEXT), base_epoch=1)).send)
    node.promises(late, A, NEW)
    assert node.how[2:] == [NoQuorum()] and node.replica.epoch == 2


def test_the_next_change_is_decided_by_the_voters_that_this_one_left() -> None:
    node = Node()
    ballot = ballot_of(node.proposer.submit(0.0, node.order(*exchange().entries, base_epoch=1)).send)
    node.promises(ballot, A, B)
    node.accepts(ballot, A, B)
    sent = node.submit(item("r", 7))
    assert [ip for ip, _ in sent] == [A, B, NEW]
    again = ballot_of(sent)
    assert node.promises(again, A, C).send == []
    offered(node.promises(again, NEW))


def test_large_orders_go_one_change_after_another_and_each_of_them_goes() -> None:
    node = Node()
    large = [item(name, 7, b"x" * (600 << 10)) for name in ("r", "s")]
    ballot = ballot_of(node.submit(large[0]))
    node.submit(large[1])
    first = offered(node.promises(ballot, A, B))
    assert first.change.entries == large[:1]
    again = ballot_of(node.accepts(ballot, A, B).send)
    second = offered(node.promises(again, A, B))
    assert second.change.entries == large[1:] and node.how == [Confirmed()]
