"""A simulation of the coordination: nodes, applications and random faults, with changes of the voters.

Changes of the voters go through the registers of the replicas: a majority accepts, then each replica learns of the
decision, some much later. The random faults stay within the losses that the protocol tolerates: voters lose their disks
only while all other voters are complete.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.emulator.coordination.applications import (
    KEYS,
    LOCKS,
    NUMBERS,
    Call,
    KeyUser,
    LockUser,
    NumberUser,
    Watcher,
)
from lugspur.emulator.coordination.checker import violations
from lugspur.emulator.coordination.history import History, IssuedNumber, ReadCell
from lugspur.emulator.coordination.network import Connection, Network
from lugspur.emulator.coordination.node import HISTORY_SECONDS, ModelNode
from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import Accept, Change, Membership, ProposalNumber, Voter
from lugspur.mesh.control.messages import coordination_records as records
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import GENESIS

START_UP_SECONDS = 1.0  # time before the applications and the faults begin
FAULT_SECONDS = 7.0  # time during which new faults begin
QUIET_SECONDS = 1.0  # time between the end of the last fault and the final calls
FINAL_CALL_SECONDS = 8.0  # time within which the final calls need a response
LEARN_SECONDS = 0.2  # interval between checks whether a node lacks a decision about the voters


class World:
    """One random history; the same seed gives the same history."""

    def __init__(self, seed: int, voters: int = 3, spares: int = 1) -> None:
        self.clock = Clock()
        self.rng = Random(seed)
        self.network = Network(self.clock, self.rng)
        self.history = History()
        self.faults: Counter[str] = Counter()
        self._voter_count = voters
        self._nodes = {
            f"10.0.0.{n + 1}": ModelNode(self, f"10.0.0.{n + 1}", Random(self.rng.random()))
            for n in range(voters + spares)
        }
        first = Membership(1, [Voter(ip, GENESIS, "") for ip in self.mesh_seeds()])
        self._decided = [Change(GENESIS, [membership_entry(first)])]
        self.membership = first
        self._is_changing = False
        self._proposals = 0
        self.is_open = True
        self._watchers: list[Watcher] = []

    # ---- interface for nodes and applications --------------------------------------------------

    def node(self, ip: str) -> ModelNode:
        """Return the node with an IP address."""
        return self._nodes[ip]

    def mesh_seeds(self) -> list[str]:
        """Return the IP addresses of the first voters."""
        return list(self._nodes)[: self._voter_count]

    def any_node(self) -> ModelNode:
        """Return a node that applications know of; it may be down."""
        return self.rng.choice(list(self._nodes.values()))

    def reaches_majority(self, node: ModelNode) -> bool:
        """Return whether a node can reach more than half of the voters that it knows of."""
        replica = node.replica
        if replica is None or replica.membership is None:
            return False
        voters = [voter.ip for voter in replica.membership.voters]
        reached = sum(ip == node.ip or self._reaches(node, self._nodes[ip]) for ip in voters)
        return reached >= majority(len(voters))

    def _reaches(self, one: ModelNode, other: ModelNode) -> bool:
        return other.is_up and not other.is_frozen and not self.network.is_cut(one.ip, other.ip)

    # ---- the whole history -------------------------------------------------------------------

    def play(self) -> list[str]:
        """Simulate the history; returns the violations, one line each."""
        seeds = set(self.mesh_seeds())
        for ip, node in self._nodes.items():
            node.start(is_first_start=ip in seeds)
        self._learn_all()
        self.clock.call_at(START_UP_SECONDS, self._start_applications)
        end = START_UP_SECONDS + FAULT_SECONDS
        when = START_UP_SECONDS
        while (when := when + self.rng.uniform(0.2, 1.6)) < end:
            self.clock.call_at(when, self._fault)
        self.clock.run_until(end)
        self._restart_all()
        self.clock.run_until(end + 4.5 + QUIET_SECONDS)  # 4.5 s exceeds the longest fault
        self.is_open = False
        self._restart_all()
        unanswered = self._send_final_calls()
        self.clock.run_until(self.clock.now + FINAL_CALL_SECONDS)
        return [*violations(self.history), *(f"LOST: no response to {call}" for call in sorted(unanswered))]

    def _start_applications(self) -> None:
        for n in range(3):
            LockUser(self, f"h{n}")
        NumberUser(self)
        NumberUser(self)
        for n in range(3):
            KeyUser(self, f"w{n}")
        self._watchers = [Watcher(self, HISTORY_SECONDS) for _ in range(2)]

    def _send_final_calls(self) -> set[str]:
        """Send the final calls, which read back acknowledged values; returns the set of calls without a response."""
        pending: set[str] = set()
        commands: list[records.Command] = [records.ReadCell(key) for key in KEYS]
        commands += [records.IssueNumber(name) for name in NUMBERS]
        commands += [records.AcquireLock(lock, "last", 100) for lock in LOCKS]
        for command in commands:
            pending.add(str(command))
            self._send_final_call(command, pending)
        return pending

    def _send_final_call(self, command: records.Command, pending: set[str]) -> None:
        Call(self, command, self._final_result_handler(command, pending), seconds=FINAL_CALL_SECONDS)

    def _final_result_handler(
        self, command: records.Command, pending: set[str]
    ) -> Callable[[records.Result | None, float], None]:
        def on_result(result: records.Result | None, sent: float) -> None:
            now = self.clock.now
            if isinstance(command, records.ReadCell) and isinstance(result, records.CellFound):
                self.history.reads.append(ReadCell(command.name, result.value, result.revision, sent, now))
            elif isinstance(command, records.ReadCell) and isinstance(result, records.CellMissing):
                self.history.reads.append(ReadCell(command.name, "", 0, sent, now))
            elif isinstance(result, records.NumberIssued) and isinstance(command, records.IssueNumber):
                self.history.numbers.append(IssuedNumber(command.name, result.value, sent, now))
            elif isinstance(result, records.LockDenied):  # retry until the hold time of the other holder is over
                self.clock.call_at(now + 0.2, partial(self._send_final_call, command, pending))
                return
            if result is not None:
                pending.discard(str(command))

        return on_result

    # ---- faults ------------------------------------------------------------------------------

    def _fault(self) -> None:
        kinds = [self._kill, self._power, self._freeze, self._cut, self._cut_pair, self._stall]
        kinds += [self._replace, self._replace, self._wipe, self._power_all, self._wipe_and_power]
        kind = self.rng.choice(kinds)
        if kind():
            self.faults[kind.__name__.lstrip("_")] += 1

    def _any_up(self) -> ModelNode | None:
        up = [node for node in self._nodes.values() if node.is_up]
        return self.rng.choice(up) if up else None

    def _restart_later(self, node: ModelNode) -> None:
        self.clock.call_at(self.clock.now + self.rng.uniform(0.3, 2.5), lambda: None if node.is_up else node.start())

    def _kill(self) -> bool:
        return self._stop_one(loses_power=False)

    def _power(self) -> bool:
        return self._stop_one(loses_power=True)

    def _stop_one(self, *, loses_power: bool) -> bool:
        node = self._any_up()
        if node is None:
            return False
        node.stop(loses_power=loses_power)
        self._restart_later(node)
        return True

    def _freeze(self) -> bool:
        node = self._any_up()
        if node is None:
            return False
        node.freeze(self.rng.choice((0.3, 0.8, 1.5, 4.0)))
        return True

    def _cut(self) -> bool:
        """Partition one node from all others."""
        node = self.rng.choice(list(self._nodes.values()))
        seconds = self.rng.choice((0.4, 1.2, 2.5, 4.0))
        for other in self._nodes:
            if other != node.ip:
                self.network.cut(node.ip, other, seconds, self._connection_died)
        return True

    def _cut_pair(self) -> bool:
        one, other = self.rng.sample(list(self._nodes), 2)
        self.network.cut(one, other, self.rng.choice((0.4, 2.5, 4.0)), self._connection_died)
        return True

    def _connection_died(self, connection: Connection) -> None:
        self.network.close(connection)
        for ip in (connection.dialler, connection.listener):
            self._nodes[ip].connection_ended(connection)

    def _stall(self) -> bool:
        node = self.rng.choice(list(self._nodes.values()))
        until = self.clock.now + self.rng.choice((0.3, 1.0, 2.0))
        node.coordination.stalled_until = node.configuration.stalled_until = until
        return True

    def _power_all(self) -> bool:
        """Cut the power of all nodes at once."""
        for node in self._nodes.values():
            if node.is_up:
                node.stop(loses_power=True)
                self._restart_later(node)
        return True

    def _may_lose_disks(self) -> bool:
        """Return whether voters may lose disks: no change is in progress, and all voters are complete on disk."""
        if self._is_changing:
            return False
        for voter in self.membership.voters:
            node = self._nodes[voter.ip]
            if node.node is None or node.replica is None or node.replica.epoch != self.membership.epoch:
                return False
            if not node.is_complete_on_disk(self.membership.epoch):
                return False
        return True

    def _wipe(self) -> bool:
        """Wipe the disk of a voter and replace the voter by the same node with an empty disk."""
        if not self._may_lose_disks():
            return False
        self._wipe_voter(self.rng.choice(self.membership.voters))
        return True

    def _wipe_and_power(self) -> bool:
        """Wipe the disks of a minority of the voters at the moment at which all other nodes lose power."""
        if not self._may_lose_disks():
            return False
        lost = self.rng.sample(self.membership.voters, (len(self.membership.voters) - 1) // 2)
        self._power_all()
        for voter in lost:
            self._wipe_voter(voter)
        return True

    def _wipe_voter(self, voter: Voter) -> None:
        node = self._nodes[voter.ip]
        if node.is_up:
            node.stop(loses_power=True)
        node.configuration.wipe()
        node.coordination.wipe()
        self._restart_later(node)
        self._replace_when_possible(voter, voter.ip)

    # ---- the voters --------------------------------------------------------------------------

    def _replace(self) -> bool:
        """Replace a voter by a spare node."""
        voters = {voter.ip for voter in self.membership.voters}
        spares = [ip for ip in self._nodes if ip not in voters]
        if not spares or self._is_changing:
            return False
        self._replace_when_possible(self.rng.choice(self.membership.voters), self.rng.choice(spares))
        return True

    def _replace_when_possible(self, voter: Voter, ip: str) -> None:
        """Propose a change of the voters once no other change is in progress and enough other voters are complete."""
        successor = self._nodes[ip].replica
        if voter not in self.membership.voters or any(v.ip == ip != voter.ip for v in self.membership.voters):
            return
        if self._is_changing or successor is None or not self._others_are_complete(voter):
            self.clock.call_at(self.clock.now + 0.1, lambda: self._replace_when_possible(voter, ip))
            return
        if successor.voter == voter:
            return  # the voter has been replaced already, or still has its disk
        others = [other for other in self.membership.voters if other != voter]
        voters = sorted([*others, Voter(ip, successor.voter.uid, "z")], key=lambda v: v.ip)
        after = Membership(self.membership.epoch + 1, voters, self.membership.voters)
        self._is_changing = True
        self._propose(after, Change(f"c{after.epoch}", [membership_entry(after)]))

    def _others_are_complete(self, voter: Voter) -> bool:
        complete = 0
        for other in self.membership.voters:
            node = self._nodes[other.ip].node
            replica = self._nodes[other.ip].replica
            is_current = replica is not None and replica.epoch == self.membership.epoch and node is not None
            is_complete = self._nodes[other.ip].is_complete_on_disk(self.membership.epoch)
            complete += other != voter and is_current and is_complete
        return complete >= majority(len(self.membership.voters))

    def _propose(self, after: Membership, change: Change) -> None:
        """Propose a change to the registers of the voters, and repeat this until a majority has accepted it."""
        if self.membership.epoch >= after.epoch:
            return
        self._proposals += 1
        accept = Accept(len(self._decided) + 1, ProposalNumber(self._proposals, "model"), change)
        accepted: set[str] = set()
        for voter in self.membership.voters:
            delay = self.rng.uniform(0.001, 0.05)
            self.clock.call_at(
                self.clock.now + delay,
                lambda v=voter: self._nodes[v.ip].when_awake(lambda: self._accept(v, accept, after, accepted)),  # type: ignore[misc]
            )
        self.clock.call_at(self.clock.now + 0.5, lambda: self._propose(after, change))

    def _accept(self, voter: Voter, accept: Accept, after: Membership, accepted: set[str]) -> None:
        node = self._nodes[voter.ip]
        replica = node.replica
        if replica is None or (replica.voter.ip, replica.voter.uid) != (voter.ip, voter.uid):
            return
        effects = replica.register.accept(None, accept, replica.is_voter)
        if effects.write:
            node.configuration.write(effects.write, lambda: self._accepted(voter.ip, after, accepted, accept.change))

    def _accepted(self, ip: str, after: Membership, accepted: set[str], change: Change) -> None:
        accepted.add(ip)
        if len(accepted) >= majority(len(self.membership.voters)) and self.membership.epoch < after.epoch:
            self._decided.append(change)
            self.membership = after
            self._is_changing = False

    def _learn_all(self) -> None:
        """Periodically let each reachable node learn the decisions about the voters, after a random delay."""
        self.clock.call_at(self.clock.now + LEARN_SECONDS, self._learn_all)
        for node in self._nodes.values():
            self.clock.call_at(
                self.clock.now + self.rng.uniform(0.0, LEARN_SECONDS),
                lambda n=node: n.when_awake(lambda: self._learn(n)),  # type: ignore[misc]
            )

    def _learn(self, node: ModelNode) -> None:
        replica = node.replica
        if replica is None or not any(self._reaches(node, o) for o in self._nodes.values() if o is not node):
            return
        while replica.index < len(self._decided):
            effects = replica.decide(node.monotonic(), self._decided[replica.index])
            node.configuration.write(effects.write, None)

    def _restart_all(self) -> None:
        for node in self._nodes.values():
            if not node.is_up:
                node.start()
