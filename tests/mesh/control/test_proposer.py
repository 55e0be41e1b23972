"""The proposals of one control node: accepted values are proposed again first, and requests get their outcomes."""

from __future__ import annotations

from random import Random

from controlparts import IPS, NEW, NEXT, accepted, change, item, promise, seed, voter_change
from meshcalls import call, route, service

from lugspur.mesh.control.change_requests import (
    ChangeRequest,
    Confirmed,
    NoQuorum,
    Outcome,
    Refused,
    Unclear,
    error_from_outcome,
)
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.membership_entry import membership_entry
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

A, B, C = IPS


class Node:
    """A proposer on the first of three voters, and the outcomes of its requests."""

    def __init__(self) -> None:
        self.replica = seed(A)
        self.proposer = Proposer(self.replica, f"{A}/life", Random(1))
        self.outcomes: list[Outcome] = []

    def request(
        self, *entries: Entry, now: float = 0.0, until: float = 0.8, base_epoch: int | None = None
    ) -> ChangeRequest:
        return ChangeRequest(list(entries), now + until, self.outcomes.append, base_epoch)

    def submit(self, *entries: Entry, now: float = 0.0) -> list[tuple[str, Message]]:
        return self.proposer.submit(now, self.request(*entries, now=now)).send

    def promises(self, proposal: ProposalNumber, *ips: str, now: float = 0.0) -> Effects:
        effects = Effects()
        for ip in ips:
            effects.add(self.proposer.receive(now, ip, promise(self.replica.index + 1, proposal)))
        return effects

    def accepts(self, proposal: ProposalNumber, *ips: str, now: float = 0.0) -> Effects:
        effects, index = Effects(), self.replica.index + 1
        for ip in ips:
            effects.add(self.proposer.receive(now, ip, accepted(index, proposal)))
        return effects

    def decide(self, *entries: Entry) -> None:
        """Submit a request and process all replies up to its confirmation."""
        proposal = proposal_of(self.submit(*entries))
        self.promises(proposal, A, B)
        self.accepts(proposal, A, B)


def proposal_of(sent: list[tuple[str, Message]]) -> ProposalNumber:
    proposals = {m.proposal for _, m in sent if isinstance(m, Prepare)}
    [proposal] = proposals
    return proposal


def proposed_in(effects: Effects) -> Accept:
    accepts = [m for _, m in effects.send if isinstance(m, Accept)]
    assert len(accepts) == len(IPS) and all(m == accepts[0] for m in accepts)
    return accepts[0]


def test_a_request_is_confirmed_by_the_second_voter_that_accepted_it_and_all_learn_it() -> None:
    node = Node()
    sent = node.submit(item("r", 7))
    assert [ip for ip, _ in sent] == list(IPS)
    proposal = proposal_of(sent)
    assert node.promises(proposal, A, A).send == []  # several promises of one voter count once
    accept = proposed_in(node.promises(proposal, B))
    assert accept.change.entries == [item("r", 7)] and node.outcomes == []
    assert node.accepts(proposal, A, A).send == [] and node.outcomes == []
    effects = node.accepts(proposal, C)
    assert node.outcomes == [Confirmed()] and node.replica.index == 2
    assert [ip for ip, m in effects.send if isinstance(m, Learn)] == [B, C]


def test_replies_of_others_or_to_other_proposals_are_ignored() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7)))
    assert node.promises(proposal, A, NEW, "10.0.0.9").send == []
    assert node.promises(ProposalNumber(9, "other"), B, C).send == []
    proposed_in(node.promises(proposal, B))
    assert node.accepts(proposal, A, NEW).send == [] and node.accepts(ProposalNumber(9, "other"), B, C).send == []
    assert node.proposer.receive(0.0, B, accepted(3, proposal)).send == [] and node.outcomes == []


def test_the_value_of_the_highest_accepted_proposal_is_proposed_before_the_request() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7, b"mine")))
    low, high = ProposalNumber(1, "b"), ProposalNumber(2, "c")
    node.proposer.receive(0.0, A, promise(2, proposal, low, change(item("r", 7, b"low"))))
    accept = proposed_in(
        node.proposer.receive(0.0, C, promise(2, proposal, high, change(item("r", 7, b"high"), name="x")))
    )
    assert accept.change.entries == [item("r", 7, b"high")]
    again = proposal_of(node.accepts(proposal, A, C).send)
    assert node.outcomes == [] and again > proposal
    node.promises(again, A, C)
    [outcome] = node.outcomes
    assert isinstance(outcome, Refused) and outcome.error.kind is ErrorKind.CONFLICT  # other content was decided first


def test_a_request_that_was_decided_already_is_confirmed_without_another_change() -> None:
    node = Node()
    node.decide(item("r", 7))
    proposal = proposal_of(node.submit(item("r", 7)))
    assert node.promises(proposal, B, C).send == [] and node.outcomes == [Confirmed(), Confirmed()]
    assert node.replica.index == 2
    older = proposal_of(node.submit(item("r", 5, b"older")))
    node.promises(older, B, C)
    assert node.outcomes[2:] == [Confirmed()] and node.replica.index == 2


def test_nothing_is_rejected_before_a_majority_has_promised() -> None:
    node = Node()
    node.decide(item("r", 7))
    proposal = proposal_of(node.submit(item("r", 7, b"other")))
    node.promises(proposal, A)
    assert len(node.outcomes) == 1
    node.proposer.tick(0.9)
    assert node.outcomes[1:] == [NoQuorum()]


def test_a_request_submitted_during_the_prepare_phase_is_rejected_only_by_the_next_proposal() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7)))
    node.promises(proposal, A)
    # After B sent its promise, another proposer may have decided what this request depends on: the promise is outdated.
    node.submit(*read_changes(call(route("a"))))
    proposed_in(node.promises(proposal, B))
    assert node.outcomes == []
    again = proposal_of(node.accepts(proposal, A, B).send)
    node.promises(again, A, B)
    assert node.outcomes[0] == Confirmed() and isinstance(node.outcomes[1], Refused)
    alone = Node()
    alone.decide(item("r", 7))
    proposal = proposal_of(alone.submit(item("r", 7)))  # this request has no effect
    alone.promises(proposal, A)
    alone.submit(*read_changes(call(route("a"))))
    again = proposal_of(alone.promises(proposal, B).send)
    assert alone.outcomes == [Confirmed(), Confirmed()]
    alone.promises(again, A, B)
    assert isinstance(alone.outcomes[2], Refused)


def test_requests_are_batched_and_one_that_conflicts_with_the_batch_waits_for_the_next_change() -> None:
    node = Node()
    node.decide(*read_changes(call(services=[service()])))
    node.outcomes.clear()
    same_place = read_changes(call(route("b", path_prefix="/a/")))
    proposal = proposal_of(node.submit(*read_changes(call(route("a")))))
    for entries in (same_place, [item("r", 7)], [item("r", 8)]):
        assert node.submit(*entries) == []  # one proposal at a time
    accept = proposed_in(node.promises(proposal, A, B))
    assert sorted(e.name for e in accept.change.entries) == ["a", "r"]
    again = proposal_of(node.accepts(proposal, A, B).send)
    assert node.outcomes == [Confirmed(), Confirmed()]
    accept = proposed_in(node.promises(again, A, B))
    rejected = node.outcomes[2]
    assert isinstance(rejected, Refused) and rejected.error.kind is ErrorKind.BAD_CONFIG
    assert accept.change.entries == [item("r", 8)]


def test_a_request_that_was_proposed_ends_as_unclear_and_is_never_rejected() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7)))
    proposed_in(node.promises(proposal, A, B))
    node.accepts(proposal, A)
    node.proposer.tick(0.9)
    assert node.outcomes == [Unclear()]
    error = error_from_outcome(node.outcomes[0])
    assert error is not None and error.kind is ErrorKind.UNCLEAR
    node.accepts(proposal, B, now=1.0)  # the acceptance still counts
    assert node.outcomes == [Unclear()]


def test_a_caller_that_left_withdraws_only_what_was_not_proposed() -> None:
    node = Node()
    first, second = node.request(item("r", 7)), node.request(item("s", 7))
    proposal = proposal_of(node.proposer.submit(0.0, first).send)
    node.promises(proposal, A, B)
    node.proposer.submit(0.0, second)
    node.proposer.withdraw(first)
    node.proposer.withdraw(second)
    assert len(node.proposer) == 1
    node.accepts(proposal, A, B)
    assert node.outcomes == [Confirmed()] and node.replica.register.items["notes", "r"].index == 2


def test_a_request_that_expires_while_the_process_is_frozen_is_not_proposed() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7)))
    effects = node.promises(proposal, A, B, now=30.0)
    assert node.outcomes == [NoQuorum()] and not any(isinstance(m, Accept) for _, m in effects.send)


def test_a_competitor_ends_a_proposal_and_the_next_one_is_higher_after_a_backoff() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7)))
    node.proposer.receive(0.0, B, Promise(2, proposal, False, 1, ProposalNumber(9_000_000, "b")))
    assert node.proposer.tick(0.0).send == []
    again = proposal_of(node.proposer.tick(0.5).send)
    assert again.number == 9_000_001 and again.proposer == f"{A}/life"
    assert node.promises(proposal, A, B).send == []  # promises for the abandoned proposal


def test_a_proposal_that_times_out_is_replaced_by_another() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7)))
    assert node.proposer.tick(ROUND_TIMEOUT_SECONDS - 0.01).send == []
    assert node.proposer.tick(ROUND_TIMEOUT_SECONDS).send == []
    assert proposal_of(node.proposer.tick(ROUND_TIMEOUT_SECONDS + 0.1).send) > proposal


def test_a_voter_that_knows_more_is_asked_and_one_that_knows_less_is_caught_up() -> None:
    node = Node()
    node.decide(item("r", 7))
    proposal = proposal_of(node.submit(item("s", 7)))
    behind = Promise(3, proposal, False, 1, ProposalNumber(0, ""))
    for turn in range(MAX_CATCH_UPS_PER_VOTER + 1):
        sent = [m for _, m in node.proposer.receive(0.0, C, behind).send]
        if turn < MAX_CATCH_UPS_PER_VOTER:
            page, prepare = sent
            assert isinstance(page, Learn) and page.after_index == 1 and prepare == Prepare(3, proposal)
        else:
            assert sent == []
    ahead = Promise(3, proposal, False, 9, ProposalNumber(0, ""))
    assert node.proposer.receive(0.0, B, ahead).send == [(B, FetchDecided(2))]
    assert node.proposer.receive(0.0, B, Accepted(3, proposal, False, 9, ProposalNumber(0, ""))).send == [
        (B, FetchDecided(2))
    ]


def test_another_decision_ends_the_proposal_and_requests_are_evaluated_again() -> None:
    node = Node()
    proposal = proposal_of(node.submit(item("r", 7, b"mine")))
    node.replica.decide(0.1, change(item("r", 7, b"other"), name="other"))
    node.proposer.replica_advanced(0.1)
    assert node.promises(proposal, A, B).send == []
    again = proposal_of(node.proposer.tick(0.5).send)
    node.promises(again, A, B, now=0.5)
    [outcome] = node.outcomes
    assert isinstance(outcome, Refused) and outcome.error.kind is ErrorKind.CONFLICT


def test_a_value_that_a_minority_accepted_is_decided_or_ruled_out() -> None:
    node = Node()
    proposal = proposal_of(node.proposer.resolve_pending(0.0).send)
    accept = proposed_in(node.promises(proposal, A, B))  # C alone has accepted something
    assert accept.change.entries == []
    node.accepts(proposal, A, B)
    assert node.replica.index == 2
    other = Node()
    proposal = proposal_of(other.proposer.resolve_pending(0.0).send)
    other.promises(proposal, A)
    value = change(item("r", 7))
    assert (
        proposed_in(other.proposer.receive(0.0, C, promise(2, proposal, ProposalNumber(0, "c"), value))).change == value
    )


def test_a_membership_change_is_proposed_alone_and_only_from_the_epoch_that_it_follows() -> None:
    node = Node()
    entries = voter_change().entries
    proposal = proposal_of(node.submit(item("r", 7)))
    node.proposer.submit(0.0, node.request(*entries, base_epoch=1))
    accept = proposed_in(node.promises(proposal, A, B))
    assert accept.change.entries == [item("r", 7)]
    again = proposal_of(node.accepts(proposal, A, B).send)
    assert proposed_in(node.promises(again, A, B)).change.entries == entries
    sent = node.accepts(again, A, B).send
    assert node.outcomes == [Confirmed(), Confirmed()] and node.replica.epoch == 2 and sent
    late = proposal_of(node.proposer.submit(0.0, node.request(membership_entry(NEXT), base_epoch=1)).send)
    node.promises(late, A, NEW)
    assert node.outcomes[2:] == [NoQuorum()] and node.replica.epoch == 2


def test_the_change_after_a_membership_change_is_decided_by_the_new_voters() -> None:
    node = Node()
    proposal = proposal_of(node.proposer.submit(0.0, node.request(*voter_change().entries, base_epoch=1)).send)
    node.promises(proposal, A, B)
    node.accepts(proposal, A, B)
    sent = node.submit(item("r", 7))
    assert [ip for ip, _ in sent] == [A, B, NEW]
    again = proposal_of(sent)
    assert node.promises(again, A, C).send == []
    proposed_in(node.promises(again, NEW))


def test_large_requests_are_proposed_in_changes_of_their_own() -> None:
    node = Node()
    large = [item(name, 7, b"x" * (600 << 10)) for name in ("r", "s")]
    proposal = proposal_of(node.submit(large[0]))
    node.submit(large[1])
    first = proposed_in(node.promises(proposal, A, B))
    assert first.change.entries == large[:1]
    again = proposal_of(node.accepts(proposal, A, B).send)
    second = proposed_in(node.promises(again, A, B))
    assert second.change.entries == large[1:] and node.outcomes == [Confirmed()]
