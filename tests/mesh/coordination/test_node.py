"""Tests of three nodes whose messages are delivered by hand.

They cover leadership, forwarded calls, and that no command runs twice.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import Change, Membership, Message, Voter
from lugspur.mesh.control.messages.coordination import (
    CoordinationAccept,
    CoordinationAccepted,
    CoordinationCall,
    CoordinationConfirm,
    CoordinationReply,
)
from lugspur.mesh.control.messages.coordination_records import (
    AcquireLock,
    CellFound,
    CommandFailed,
    IssueNumber,
    LockGranted,
    NumberIssued,
    PutCell,
    ReadCell,
    Result,
)
from lugspur.mesh.control.replica import GENESIS, Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.call_router import CALL_TIMEOUT_SECONDS
from lugspur.mesh.coordination.leader_choice import HEARTBEAT_TIMEOUT_SECONDS
from lugspur.mesh.coordination.node import MAX_CALL_AGE_SECONDS, CoordinationNode

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
SEEDS = [Voter(ip, GENESIS, "") for ip in IPS]


class Machine:
    """One node; `drops` selects by receiver and message what is lost of what it sends."""

    def __init__(self, group: Group, ip: str) -> None:
        self._group, self.ip = group, ip
        self.has_majority, self.is_paused, self.may_lead = True, False, True
        self.drops: Callable[[str, Message], bool] = lambda to, message: False
        replica = Replica(ip, GENESIS, "z", 60.0, 64 << 20, lambda entries, forgotten: None)
        replica.bootstrap(0.0, SEEDS)
        acceptor = CoordinationAcceptor(replica, 20.0)
        acceptor.begin()
        self.replica = replica
        self.node = CoordinationNode(
            replica,
            acceptor,
            f"{ip}/1",
            Random(ip),
            has_majority=lambda now: self.has_majority,
            is_paused=lambda now: self.is_paused,
            may_lead=lambda: self.may_lead,
        )

    def run(self, effects: Effects) -> None:
        """Sync immediately, and put all messages on the wire."""
        for peer, message in effects.send + effects.after_sync:
            if isinstance(peer, ReplyPeer):
                if not self.drops(peer.ip, message):
                    self._group.wire.append(lambda p=peer, m=message: self._group.deliver_reply(self.ip, p.ip, m))  # type: ignore[misc]
            elif not self.drops(peer, message):
                self._group.wire.append(lambda p=peer, m=message: self._group.deliver(self.ip, p, m))  # type: ignore[misc]

    def submit(self, command: IssueNumber | AcquireLock | PutCell | ReadCell) -> list[Result]:
        """Submit a command; its result is appended to the returned list."""
        results: list[Result] = []
        self.run(self.node.submit(self._group.now, command, results.append))
        return results


class ReplyPeer:
    """The connection that the reply to a message goes to."""

    def __init__(self, ip: str) -> None:
        self.ip = ip


class Group:
    """Three nodes whose messages are delivered in order, and whose clock is advanced by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        self.wire: list[Callable[[], None]] = []
        self.machines = {ip: Machine(self, ip) for ip in IPS}
        self.advance_clock(1.0)

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        machine = self.machines[receiver]
        machine.run(machine.node.handle(self.now, ReplyPeer(sender), message))

    def deliver_reply(self, sender: str, receiver: str, message: Message) -> None:
        machine = self.machines[receiver]
        machine.run(machine.node.receive(self.now, sender, message))

    def deliver_all(self) -> None:
        """Deliver all messages on the wire, and those sent in reply."""
        while self.wire:
            self.wire.pop(0)()

    def advance_clock(self, seconds: float) -> None:
        """Advance the clock with ticks and heartbeats, and deliver the messages that they send."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            for ip, machine in self.machines.items():
                machine.run(machine.node.tick(self.now))
                for other, receiver in self.machines.items():
                    heartbeat = machine.node.heartbeat(self.now)
                    if other != ip and not machine.drops(other, heartbeat):
                        receiver.run(receiver.node.receive(self.now, ip, heartbeat))
            for machine in self.machines.values():
                machine.run(machine.node.flush())
            self.deliver_all()

    @property
    def leaders(self) -> list[str]:
        """The nodes that consider themselves the leader."""
        return [ip for ip, machine in self.machines.items() if machine.node.proposer.is_leading]


def test_the_first_voter_leads_and_takes_the_calls_of_all() -> None:
    group = Group()
    assert group.leaders == [IPS[0]]
    results = [group.machines[ip].submit(IssueNumber("n")) for ip in IPS]
    group.deliver_all()
    assert sorted(r.value for [r] in results if isinstance(r, NumberIssued)) == [1, 2, 3]


def test_a_leader_stays_while_others_could_lead() -> None:
    group = Group()
    group.machines[IPS[0]].may_lead = False
    group.advance_clock(0.5)
    assert group.leaders == [IPS[1]]
    group.machines[IPS[0]].may_lead = True
    group.advance_clock(1.0)
    assert group.leaders == [IPS[1]]


def test_another_voter_leads_after_a_silence_and_knows_all() -> None:
    group = Group()
    group.machines[IPS[0]].submit(PutCell("g.a", "v"))
    group.deliver_all()
    group.machines[IPS[0]].drops = lambda to, message: to != IPS[0]
    group.advance_clock(HEARTBEAT_TIMEOUT_SECONDS + 0.6)
    assert IPS[1] in group.leaders
    results = group.machines[IPS[2]].submit(ReadCell("g.a"))
    group.deliver_all()
    assert results == [CellFound("v", 1)]


def test_a_leader_that_was_replaced_answers_nothing_by_its_old_state() -> None:
    group = Group()
    old = group.machines[IPS[0]]
    old.drops = lambda to, message: to != IPS[0]
    group.advance_clock(HEARTBEAT_TIMEOUT_SECONDS + 0.6)
    group.machines[IPS[1]].submit(PutCell("g.a", "v"))
    group.deliver_all()
    results = old.submit(ReadCell("g.a"))
    group.deliver_all()
    assert not results
    group.advance_clock(1.0)
    assert len(results) == 1 and isinstance(results[0], CommandFailed)
    assert results[0].error_kind == ErrorKind.NO_QUORUM.value


def test_what_was_proposed_without_a_known_outcome_is_never_refused() -> None:
    group = Group()
    leader = group.machines[IPS[0]]
    leader.drops = lambda to, message: isinstance(message, CoordinationAccept) and to != IPS[0]
    results = leader.submit(IssueNumber("n"))
    group.deliver_all()
    group.advance_clock(CALL_TIMEOUT_SECONDS + 0.2)
    assert len(results) == 1 and isinstance(results[0], CommandFailed)
    assert results[0].error_kind == ErrorKind.UNCLEAR.value


def test_what_a_leader_left_behind_is_decided_by_the_next_one_and_answered() -> None:
    group = Group()
    leader = group.machines[IPS[0]]
    for machine in group.machines.values():  # the replies to the leader are lost
        machine.drops = lambda to, message: isinstance(message, CoordinationAccepted)
    results = leader.submit(PutCell("g.a", "v"))
    group.deliver_all()
    assert not results
    for machine in group.machines.values():
        machine.drops = lambda to, message: False
    leader.may_lead = False
    group.advance_clock(0.5)
    assert group.leaders == [IPS[1]] and [type(result).__name__ for result in results] == ["CellWritten"]


def test_a_batch_that_nobody_accepted_is_run_again_by_its_leader_in_the_next_epoch() -> None:
    group = Group()
    leader = group.machines[IPS[0]]
    leader.drops = lambda to, message: isinstance(message, CoordinationAccept)
    results = leader.submit(IssueNumber("n"))
    group.deliver_all()
    leader.drops = lambda to, message: False
    after = Membership(2, SEEDS, SEEDS)
    for machine in group.machines.values():
        machine.replica.decide(group.now, Change("m2", [membership_entry(after)]))
    group.advance_clock(0.3)
    assert results == [NumberIssued(1)]


def test_a_read_waits_for_a_majority_to_confirm_the_leader() -> None:
    group = Group()
    leader = group.machines[IPS[0]]
    leader.submit(PutCell("g.a", "v"))
    group.deliver_all()
    leader.drops = lambda to, message: isinstance(message, CoordinationConfirm) and to != IPS[0]
    results = leader.submit(ReadCell("g.a"))
    group.deliver_all()
    assert not results
    leader.drops = lambda to, message: False
    group.advance_clock(0.3)  # the leader sends the round again
    assert results == [CellFound("v", 1)]


def test_a_call_that_was_delayed_on_its_way_is_not_carried_out() -> None:
    group = Group()
    leader = group.machines[IPS[0]]
    call = CoordinationCall(1, group.now, 0.8, AcquireLock("l", "a", 1000))
    sent: list[Message] = []
    group.now += MAX_CALL_AGE_SECONDS + 0.01
    effects = leader.node.handle(group.now, ReplyPeer(IPS[1]), call)
    sent += [message for _, message in effects.send]
    [reply] = sent
    assert isinstance(reply, CoordinationReply) and isinstance(reply.result, CommandFailed) and reply.result.may_retry
    assert leader.node.is_idle and not leader.node.acceptor.state.locks


def test_a_process_that_stood_still_or_is_cut_off_rejects_calls_at_once() -> None:
    group = Group()
    machine = group.machines[IPS[1]]
    machine.is_paused = True
    [paused] = machine.submit(IssueNumber("n"))
    machine.is_paused, machine.has_majority = False, False
    [cut_off] = machine.submit(IssueNumber("n"))
    for result in (paused, cut_off):
        assert isinstance(result, CommandFailed) and result.error_kind == ErrorKind.NO_QUORUM.value
    group.deliver_all()
    assert group.machines[IPS[0]].node.acceptor.state.numbers == {}


def test_a_call_on_a_connection_that_ends_is_unclear_and_not_run_again() -> None:
    group = Group()
    machine = group.machines[IPS[1]]
    group.machines[IPS[0]].drops = lambda to, message: isinstance(message, CoordinationReply)
    results = machine.submit(IssueNumber("n"))
    group.deliver_all()
    machine.run(machine.node.disconnected(group.now, IPS[0]))
    assert len(results) == 1 and isinstance(results[0], CommandFailed)
    assert results[0].error_kind == ErrorKind.UNCLEAR.value
    group.deliver_all()
    group.advance_clock(1.5)
    assert group.machines[IPS[0]].node.acceptor.state.numbers == {"n": 1}


def test_a_call_that_waits_for_a_leader_is_handed_on_once_there_is_one() -> None:
    group = Group()
    for machine in group.machines.values():
        machine.may_lead = False
    group.advance_clock(0.3)
    results = group.machines[IPS[2]].submit(AcquireLock("l", "a", 1000))
    group.deliver_all()
    assert not results
    group.machines[IPS[1]].may_lead = True
    group.advance_clock(0.4)
    assert results == [LockGranted(1)]


def test_without_a_leader_a_call_is_rejected_within_its_time() -> None:
    group = Group()
    for machine in group.machines.values():
        machine.may_lead = False
    group.advance_clock(0.3)
    results = group.machines[IPS[2]].submit(IssueNumber("n"))
    group.advance_clock(CALL_TIMEOUT_SECONDS + 0.2)
    assert len(results) == 1 and isinstance(results[0], CommandFailed)
    assert results[0].error_kind == ErrorKind.NO_QUORUM.value


def test_only_the_voters_that_a_leader_was_elected_by_count_for_it() -> None:
    group = Group()
    leader = group.machines[IPS[0]]
    leader.drops = lambda to, message: to != IPS[0]
    results = leader.submit(IssueNumber("n"))
    group.deliver_all()
    newcomer = Voter("10.0.0.9", "u", "z")
    leader.replica.decide(group.now, Change("m2", [membership_entry(Membership(2, [*SEEDS[:2], newcomer], SEEDS))]))
    proposer = leader.node.proposer
    accepted = CoordinationAccepted(1, proposer._proposal(), 1, True, 0, proposer._proposal())
    leader.run(leader.node.receive(group.now, newcomer.ip, accepted))
    assert not results  # the leader's own vote and that of a voter of the next epoch are no majority of the three


def test_all_nodes_follow_what_is_decided() -> None:
    group = Group()
    group.machines[IPS[1]].submit(PutCell("g.a", "v"))
    group.deliver_all()
    group.advance_clock(0.2)
    assert {machine.node.acceptor.state.group_revision("g.") for machine in group.machines.values()} == {1}
