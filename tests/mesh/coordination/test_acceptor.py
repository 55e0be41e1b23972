"""Tests of what an acceptor promises and accepts, and when it replies."""

from __future__ import annotations

import pytest

from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import Accept, Change, Membership, ProposalNumber, Voter
from lugspur.mesh.control.messages.coordination import (
    AcceptorReport,
    CoordinationAccept,
    CoordinationAccepted,
    CoordinationChanges,
    CoordinationConfirm,
    CoordinationConfirmed,
    CoordinationPrepare,
    CoordinationPromise,
    CoordinationSnapshot,
    FetchAcceptor,
)
from lugspur.mesh.control.messages.coordination_records import CoordinationChange, NumberRecord
from lugspur.mesh.control.replica import GENESIS, Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.state import RECENT_CHANGES

SEEDS = [Voter(f"10.0.0.{n}", GENESIS, "") for n in (1, 2, 3)]
OWN = SEEDS[0]
LOW, HIGH = ProposalNumber(1, "a"), ProposalNumber(2, "b")


def change(number: int) -> CoordinationChange:
    """Return a change that sets the number `n`."""
    return CoordinationChange(f"c{number}", [NumberRecord("n", number)])


def replica_of(membership_of_seeds: bool = True, uid: str = GENESIS, ip: str = OWN.ip) -> Replica:
    """Return a replica of a new mesh whose voters are the seeds."""
    replica = Replica(ip, uid, "z", 60.0, 64 << 20, lambda entries, forgotten: None)
    replica.bootstrap(0.0, SEEDS)
    return replica


@pytest.fixture
def replica() -> Replica:
    return replica_of()


@pytest.fixture
def acceptor(replica: Replica) -> CoordinationAcceptor:
    acceptor = CoordinationAcceptor(replica, 20.0)
    acceptor.begin()
    return acceptor


def next_epoch(replica: Replica, voters: list[Voter]) -> Change:
    """Return the change that makes these the voters of the next epoch."""
    membership = replica.membership
    assert membership is not None
    following = Membership(membership.epoch + 1, voters, membership.voters)
    return Change(f"m{following.epoch}", [membership_entry(following)])


def test_promises_and_acceptances_are_sent_once_they_are_on_disk(acceptor: CoordinationAcceptor) -> None:
    prepared = acceptor.prepare("p", CoordinationPrepare(1, LOW))
    assert not prepared.send and prepared.write and isinstance(prepared.after_sync[0][1], CoordinationPromise)
    accepted = acceptor.accept(0.0, "p", CoordinationAccept(1, LOW, 1, change(1)))
    assert not accepted.send and accepted.write and isinstance(accepted.after_sync[0][1], CoordinationAccepted)


def test_what_was_promised_and_accepted_is_there_after_a_restart(
    replica: Replica, acceptor: CoordinationAcceptor
) -> None:
    effects = [acceptor.begin(), acceptor.prepare("p", CoordinationPrepare(1, LOW))]
    effects.append(acceptor.accept(0.0, "p", CoordinationAccept(1, LOW, 1, change(1))))
    effects.append(acceptor.prepare("p", CoordinationPrepare(1, HIGH)))
    rows = {key: value for effect in effects for key, value in effect.write if value is not None}
    restarted = CoordinationAcceptor(replica, 20.0)
    restarted.restore(list(rows.items()), 0.0, predates_coordination=False)
    assert (restarted.promised, restarted.accepted, restarted.accepted_change) == (HIGH, LOW, change(1))
    assert restarted.is_complete and restarted.can_vote


def test_nothing_below_a_promise_is_granted(acceptor: CoordinationAcceptor) -> None:
    acceptor.prepare("p", CoordinationPrepare(1, HIGH))
    [(_, promise)] = acceptor.prepare("p", CoordinationPrepare(1, LOW)).send
    [(_, accepted)] = acceptor.accept(0.0, "p", CoordinationAccept(1, LOW, 1, change(1))).send
    [(_, confirmed)] = acceptor.confirm("p", CoordinationConfirm(1, LOW, 7)).send
    assert isinstance(promise, CoordinationPromise) and not promise.is_granted and promise.promised == HIGH
    assert isinstance(accepted, CoordinationAccepted) and not accepted.is_granted
    assert isinstance(confirmed, CoordinationConfirmed) and not confirmed.is_granted


def test_messages_of_another_epoch_are_not_granted(acceptor: CoordinationAcceptor) -> None:
    assert acceptor.prepare("p", CoordinationPrepare(2, LOW)).send
    assert acceptor.accept(0.0, "p", CoordinationAccept(2, LOW, 1, change(1))).send
    assert acceptor.accepted is None


def test_an_accept_for_the_index_after_the_next_decides_the_one_before(acceptor: CoordinationAcceptor) -> None:
    acceptor.accept(0.0, "p", CoordinationAccept(1, LOW, 1, change(1)))
    granted = acceptor.accept(0.0, "p", CoordinationAccept(1, LOW, 2, change(2)))
    assert acceptor.state.numbers == {"n": 1} and granted.after_sync
    by_another = acceptor.accept(0.0, "p", CoordinationAccept(1, HIGH, 3, change(3)))
    assert by_another.send and acceptor.state.index == 1  # this acceptor does not know what HIGH proposed for index 2


def test_nothing_is_granted_while_a_change_of_the_voters_may_be_decided(
    replica: Replica, acceptor: CoordinationAcceptor
) -> None:
    pending = next_epoch(replica, [*SEEDS[1:], Voter("10.0.0.4", "u", "z")])
    replica.register.accept(None, Accept(2, ProposalNumber(1, "x"), pending), True)
    assert acceptor.prepare("p", CoordinationPrepare(1, LOW)).send
    assert acceptor.accept(0.0, "p", CoordinationAccept(1, LOW, 1, change(1))).send
    [(_, confirmed)] = acceptor.confirm("p", CoordinationConfirm(1, LOW, 7)).send
    assert isinstance(confirmed, CoordinationConfirmed) and not confirmed.is_granted


def test_a_voter_of_two_epochs_stays_complete_and_one_that_missed_an_epoch_does_not(
    replica: Replica, acceptor: CoordinationAcceptor
) -> None:
    new_voters = [OWN, SEEDS[1], Voter("10.0.0.4", "u", "z")]
    replica.decide(0.0, next_epoch(replica, new_voters))
    acceptor.follow_epoch()
    assert acceptor.is_complete and acceptor.complete_epoch == 2
    for voters in ([OWN, SEEDS[1], SEEDS[2]], new_voters):
        replica.decide(0.0, next_epoch(replica, voters))
    acceptor.follow_epoch()
    assert not acceptor.is_complete and not acceptor.can_vote


def test_a_node_that_has_reported_in_an_epoch_accepts_nothing_in_an_older_one_after_a_loss_of_power(
    replica: Replica, acceptor: CoordinationAcceptor
) -> None:
    rows = dict(acceptor.begin().write)
    replica.decide(0.0, next_epoch(replica, [OWN, SEEDS[1], Voter("10.0.0.4", "u", "z")]))
    acceptor.follow_epoch()
    report = acceptor.report("p", FetchAcceptor(2))
    assert not report.send and isinstance(report.after_sync[0][1], AcceptorReport)
    rows.update(report.write)
    old_replica = replica_of()  # the configuration's environment had not been synced before the power loss
    restarted = CoordinationAcceptor(old_replica, 20.0)
    stored = [(key, value) for key, value in rows.items() if value is not None]
    restarted.restore(stored, 0.0, predates_coordination=False)
    assert old_replica.epoch == 1 and not restarted.can_vote
    assert restarted.prepare("p", CoordinationPrepare(1, LOW)).send


def test_a_report_is_for_the_present_epoch_alone(acceptor: CoordinationAcceptor) -> None:
    assert not acceptor.report("p", FetchAcceptor(2)).after_sync


def test_pages_hold_changes_or_the_whole_state_and_are_taken_once(
    replica: Replica, acceptor: CoordinationAcceptor
) -> None:
    for number in range(1, 5):
        acceptor.decide(0.0, number, change(number))
    update = acceptor.changes_or_snapshot_after(2)
    assert update == CoordinationChanges(3, [change(3), change(4)]) and acceptor.changes_or_snapshot_after(4) is None
    learner = CoordinationAcceptor(replica_of(ip="10.0.0.2"), 20.0)
    learner.learn_changes(0.0, CoordinationChanges(3, [change(3)]))
    assert learner.state.index == 0  # the two previous changes are missing
    learner.learn_changes(0.0, CoordinationChanges(1, [change(1), change(2)]))
    learner.learn_changes(0.0, CoordinationChanges(2, [change(2), change(3)]))
    assert learner.state.index == 3 and learner.state.numbers == {"n": 3}
    for number in range(5, RECENT_CHANGES + 10):
        acceptor.decide(0.0, number, change(number))
    snapshot = acceptor.changes_or_snapshot_after(3)
    assert isinstance(snapshot, CoordinationSnapshot)
    learner.learn_snapshot(0.0, snapshot)
    assert learner.state.snapshot() == acceptor.state.snapshot()
    assert not learner.learn_snapshot(0.0, snapshot).write
