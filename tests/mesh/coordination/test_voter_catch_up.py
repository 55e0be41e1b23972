"""A new voter adopts what the voters of earlier epochs have accepted, including those that lost their votes."""

from __future__ import annotations

from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import Change, Membership, ProposalNumber, Voter
from lugspur.mesh.control.messages.coordination import AcceptorReport, CoordinationAccept, FetchAcceptor
from lugspur.mesh.control.messages.coordination_records import CoordinationChange, NumberRecord
from lugspur.mesh.control.replica import GENESIS, Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.voter_catch_up import VoterCatchUp

A, B, C = SEEDS = [Voter(f"10.0.0.{n}", GENESIS, "") for n in (1, 2, 3)]
NEW, LAST = Voter("10.0.0.4", "new", ""), Voter("10.0.0.5", "last", "")
FIRST = Membership(1, SEEDS)
AFTER_THE_THIRD_WAS_LOST = Membership(2, [A, B, NEW], SEEDS)
AFTER_THE_FIRST_FROZE = Membership(3, [B, NEW, LAST], [A, B, NEW])
ACCEPTED = CoordinationChange("c1", [NumberRecord("n", 1)])
PROPOSAL = ProposalNumber(1, "a")


class ModelVoter:
    """A replica with its acceptor."""

    def __init__(self, voter: Voter) -> None:
        self.replica = Replica(voter.ip, voter.uid, "", 60.0, 64 << 20, lambda entries, forgotten: None)
        self.acceptor = CoordinationAcceptor(self.replica, 20.0)
        self.replica.bootstrap(0.0, SEEDS)
        if voter in SEEDS:
            self.acceptor.begin()
        self.catch_up = VoterCatchUp(self.replica, self.acceptor)

    def learn(self, *memberships: Membership) -> None:
        """Learn the next memberships, one after another."""
        for membership in memberships:
            self.replica.decide(0.0, Change(f"m{membership.epoch}", [membership_entry(membership)]))
            self.acceptor.follow_epoch()

    def accept(self) -> None:
        """Accept the first change in the first epoch."""
        assert self.acceptor.accept(0.0, "leader", CoordinationAccept(1, PROPOSAL, 1, ACCEPTED)).after_sync

    def report_to(self, other: ModelVoter) -> None:
        """Report to a new voter of the present epoch."""
        [(_, report)] = self.acceptor.report(other, FetchAcceptor(self.replica.epoch)).after_sync
        assert isinstance(report, AcceptorReport)
        other.catch_up.receive(0.0, self.replica.voter.ip, report)


def test_a_new_voter_does_not_rely_on_one_that_stayed_without_what_the_others_accepted() -> None:
    # Guards against the fault of review/1 in coordination: a change that only lost or frozen voters know was dropped.
    first, second, new = ModelVoter(A), ModelVoter(B), ModelVoter(NEW)
    first.accept()  # as did the third voter, which is lost with its disk; the second was down
    for voter in (second, new):
        voter.learn(AFTER_THE_THIRD_WAS_LOST, AFTER_THE_FIRST_FROZE)
    new.catch_up.tick(1.0)
    second.report_to(new)
    assert not new.acceptor.is_complete
    first.learn(AFTER_THE_THIRD_WAS_LOST, AFTER_THE_FIRST_FROZE)  # the first voter runs on, without a vote
    first.report_to(new)
    assert new.acceptor.is_complete and new.acceptor.accepted_change == ACCEPTED
