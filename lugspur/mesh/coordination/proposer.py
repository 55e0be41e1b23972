"""The proposer of coordination: as the leader it prepares once, and then has batches of commands decided in sequence.

This is Multi-Paxos (Lamport, "Paxos Made Simple", 2001, section 3). Any node may try to lead at any time: safety rests
on proposal numbers alone, and `leader_choice` selects the node that tries. The leader evaluates commands against its
own state, and returns their results once it is proven that this state was the latest. For commands that change the
state, the decision of their change proves it; for a batch without a change, a majority that has promised no higher
proposal does (the read index of Raft, dissertation section 6.4). A batch whose outcome is unknown is resolved by the
decision for its index; until then its commands get no result, or the error that their outcome is unclear.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import ProposalNumber
from lugspur.mesh.control.messages.coordination import (
    CoordinationAccept,
    CoordinationAccepted,
    CoordinationConfirm,
    CoordinationConfirmed,
    CoordinationPrepare,
    CoordinationPromise,
    FetchCoordination,
)
from lugspur.mesh.control.messages.coordination_records import CommandFailed, CoordinationChange, Result
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.batch import CommandBatch
from lugspur.mesh.coordination.pending import PendingCommand
from lugspur.mesh.coordination.voter_catch_up import voter_ips

#: Time after which a round's message is sent again to the voters that have not replied. The timeout grows by half
#: with each consecutive failure.
ROUND_TIMEOUT_SECONDS = 0.25
MAX_ROUND_TIMEOUT_SECONDS = 0.5  # upper bound of the growing round timeout
#: Delay after a conflict with another proposer; it is multiplied by a random factor from 0.5 to 1.5, and doubles with
#: each further failure.
BACKOFF_SECONDS = 0.03
MAX_BACKOFF_SECONDS = 0.5  # upper bound of the doubled delay, before the random factor
MAX_BATCH_COMMANDS = 256  # commands that are decided by one change
MAX_QUEUED_COMMANDS = 1024  # commands that wait for a batch; further ones are rejected
MAX_CATCH_UPS_PER_VOTER = 3  # how many times a batch sends one voter the changes that it lacks


@dataclass(slots=True)
class Candidacy:
    """The first phase of a proposal.

    It collects promises until a majority has promised, and this node knows all that these voters know as decided.
    """

    promises: dict[str, CoordinationPromise] = field(default_factory=dict)


@dataclass(slots=True)
class BatchItem:
    """A command of a batch, and the result that it has if the batch is decided."""

    pending: PendingCommand
    result: Result


@dataclass(slots=True)
class Batch:
    """Commands that are being decided. A batch without a change only confirms that the leader still leads."""

    index: int
    change: CoordinationChange | None
    items: list[BatchItem]
    round: int
    granted_by: set[str] = field(default_factory=set)
    catch_ups: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class RoundMessage:
    """The message of a round, and the voters that have not replied to it."""

    message: CoordinationPrepare | CoordinationAccept | CoordinationConfirm
    missing: frozenset[str]


class CoordinationProposer:
    """The proposals of one node; `identity` names its process and incarnation, and is unique among all proposers."""

    def __init__(
        self,
        replica: Replica,
        acceptor: CoordinationAcceptor,
        identity: str,
        rng: Random,
        on_decided: Callable[[float, int, CoordinationChange], Effects],
    ) -> None:
        """`on_decided` applies a decided change at this node, and calls `replica_advanced` in turn."""
        self._replica, self._acceptor, self._identity, self._rng = replica, acceptor, identity, rng
        self._on_decided = on_decided
        self._queue: list[PendingCommand] = []
        self._candidacy: Candidacy | None = None
        self._batch: Batch | None = None
        self._in_doubt: list[Batch] = []  # batches of abandoned proposals, whose outcome is unknown
        self._epoch = 0  # the epoch in which the current proposal was prepared
        self._voters: frozenset[str] = frozenset()  # the voters of that epoch: only their replies count
        self._highest_number = 0  # the highest proposal number that this node has used or seen
        self._round = 0
        self._change_count = 0
        self._round_deadline = 0.0  # the time at which the current round is sent again
        self._failure_count = 0  # consecutive rounds and proposals that failed
        self._backoff_until = 0.0  # the time until which this node backs off
        self.should_lead = False  # whether this node should lead, as far as it knows
        self.is_leading = False
        self.elections = 0  # how many times this node has become the leader
        self.decided_batches = 0  # decided batches that contained a change

    @property
    def leading_number(self) -> int:
        """The number of the proposal under which this node leads, or 0 if it does not lead."""
        return self._highest_number if self.is_leading else 0

    @property
    def is_idle(self) -> bool:
        """Whether no command waits for a decision."""
        return not self._queue and self._batch is None and not self._in_doubt

    # ---- inputs --------------------------------------------------------------------------

    def submit(self, now: float, pending: PendingCommand) -> Effects:
        """Queue a command to be decided; a node that should not lead rejects it."""
        if not self.should_lead:
            pending.reject("this node does not lead", may_retry=True)
            return Effects()
        if len(self._queue) >= MAX_QUEUED_COMMANDS:  # Guards memory and processor time against a flood of calls.
            pending.reject("too many calls in hand")
            return Effects()
        self._queue.append(pending)
        return self._advance(now)

    def set_should_lead(self, now: float, should_lead: bool) -> Effects:
        """Set whether this node should lead."""
        if self.should_lead == should_lead:
            return Effects()
        self.should_lead = should_lead
        if should_lead:
            return self._advance(now)
        self._resign()
        return Effects()

    def tick(self, now: float) -> Effects:
        """Fail expired commands, send a timed-out round again, and start what is due."""
        self._expire(now)
        if self._epoch != self._replica.epoch and (self.is_leading or self._candidacy is not None):
            self._step_down()
        effects = Effects()
        if now >= self._round_deadline and (self._candidacy is not None or self._batch is not None):
            self._failure_count = min(self._failure_count + 1, 10)
            effects.add(self._send_round(now))
        effects.add(self._advance(now))
        return effects

    def voter_connected(self, ip: str) -> Effects:
        """Send the current round to a voter that has connected, as it may have missed it."""
        current = self._round_message()
        if current is None or ip not in current.missing:
            return Effects()
        return Effects(send=[(ip, current.message)])

    def replica_advanced(self, now: float, index: int, change: CoordinationChange | None) -> Effects:
        """Resolve batches after the change of an index was decided, or (`change` None) a later snapshot was loaded."""
        for batch in [*self._in_doubt, *([self._batch] if self._batch is not None else [])]:
            if batch.change is None or batch.index > index:
                continue
            self._remove_batch(batch)
            if change is None or batch.index < index:
                self._fail_as_unclear(batch)  # the state does not show whether the batch was decided
            elif batch.change.id == change.id:
                self._finish(batch)
            else:
                self._requeue(batch)  # another change was decided for its index, so this one never will be
        return Effects()

    def receive(
        self, now: float, ip: str, message: CoordinationPromise | CoordinationAccepted | CoordinationConfirmed
    ) -> Effects:
        """Handle a voter's reply."""
        is_current = message.epoch == self._epoch and message.proposal == self._proposal()
        if not is_current or ip not in self._voters or not (self._candidacy is not None or self.is_leading):
            return Effects()
        if message.promised > message.proposal:
            return self._on_higher_promise(now, message.promised)
        if isinstance(message, CoordinationPromise):
            return self._on_promise(now, ip, message)
        if isinstance(message, CoordinationAccepted):
            return self._on_accepted(now, ip, message)
        return self._on_confirmed(now, ip, message)

    # ---- role ----------------------------------------------------------------------------

    def _proposal(self) -> ProposalNumber:
        return ProposalNumber(self._highest_number, self._identity)

    def _majority(self) -> int:
        return majority(len(self._voters))

    def _advance(self, now: float) -> Effects:
        """Start a candidacy, or as the leader the next batch, if this node may."""
        if not self.should_lead or now < self._backoff_until or self._replica.membership is None:
            return Effects()
        if self.is_leading and self._epoch == self._replica.epoch:
            return self._next_batch(now) if self._batch is None and self._queue else Effects()
        if self._candidacy is None:
            return self._start_candidacy(now)
        return Effects()

    def _start_candidacy(self, now: float) -> Effects:
        """Start a candidacy: ask all voters for a promise."""
        self._step_down()
        self._epoch = self._replica.epoch
        self._voters = frozenset(voter_ips(self._replica.membership))
        self._highest_number = max(self._highest_number, self._acceptor.promised.number) + 1
        self._candidacy = Candidacy()
        return self._send_round(now)

    def _step_down(self) -> None:
        """Abandon the current proposal; a change that was proposed under it may still be decided."""
        self._candidacy = None
        self.is_leading = False
        batch, self._batch = self._batch, None
        if batch is None:
            return
        if batch.change is None:
            self._requeue(batch)
        else:
            self._in_doubt.append(batch)

    def _resign(self) -> None:
        self._step_down()
        queue, self._queue = self._queue, []
        for pending in queue:
            pending.reject("this node does not lead any more", may_retry=True)

    def _on_higher_promise(self, now: float, promised: ProposalNumber) -> Effects:
        """Step down and back off, since a voter has promised a higher proposal."""
        self._highest_number = max(self._highest_number, promised.number)
        self._step_down()
        self._back_off(now)
        return Effects()

    def _back_off(self, now: float) -> None:
        """Wait for a random delay: otherwise competing proposers could prevent each other from deciding anything."""
        delay = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2.0**self._failure_count)
        self._failure_count = min(self._failure_count + 1, 10)
        self._backoff_until = now + delay * (0.5 + self._rng.random())

    # ---- messages to voters ----------------------------------------------------------------

    def _send_round(self, now: float) -> Effects:
        """Send the current round's message to the voters that have not replied, and set its deadline."""
        self._round_deadline = now + min(MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_SECONDS * 1.5**self._failure_count)
        current = self._round_message()
        return Effects() if current is None else Effects(send=[(ip, current.message) for ip in sorted(current.missing)])

    def _round_message(self) -> RoundMessage | None:
        """Return the current round's message and the voters that have not replied, or None if there is no round."""
        batch, proposal, voters = self._batch, self._proposal(), self._voters
        if self._candidacy is not None:
            missing = voters - self._candidacy.promises.keys()
            return RoundMessage(CoordinationPrepare(self._epoch, proposal), missing)
        if batch is None:
            return None
        missing = voters - batch.granted_by
        if batch.change is not None:
            return RoundMessage(CoordinationAccept(self._epoch, proposal, batch.index, batch.change), missing)
        return RoundMessage(CoordinationConfirm(self._epoch, proposal, batch.round), missing)

    # ---- first phase ---------------------------------------------------------------------

    def _on_promise(self, now: float, ip: str, message: CoordinationPromise) -> Effects:
        if not message.is_granted or self._candidacy is None:
            return Effects()
        self._candidacy.promises[ip] = message
        effects = Effects()
        if message.decided_index > self._acceptor.state.index:
            effects.send.append((ip, FetchCoordination(self._acceptor.state.index, False)))
        effects.add(self.try_to_lead(now))
        return effects

    def try_to_lead(self, now: float) -> Effects:
        """Become the leader if a majority has promised, and this node knows all that these voters know as decided."""
        candidacy, state = self._candidacy, self._acceptor.state
        if candidacy is None or len(candidacy.promises) < self._majority():
            return Effects()
        if any(promise.decided_index > state.index for promise in candidacy.promises.values()):
            return Effects()
        self._candidacy = None
        self.is_leading = True
        self.elections += 1
        self._failure_count = 0
        effects = Effects()
        for ip, promise in candidacy.promises.items():
            update = self._acceptor.changes_or_snapshot_after(promise.decided_index)
            if update is not None and ip != self._replica.voter.ip:
                effects.send.append((ip, update))
        change = self._highest_accepted(candidacy)
        if change is not None:
            self._batch = Batch(state.index + 1, change, [], 0)
            effects.add(self._send_round(now))
            return effects
        for batch in self._in_doubt[:]:
            # A majority has accepted no change for the batch's index, and will accept no lower proposal.
            self._remove_batch(batch)
            self._requeue(batch)
        effects.add(self._advance(now))
        return effects

    def _highest_accepted(self, candidacy: Candidacy) -> CoordinationChange | None:
        """Return the change of the highest proposal accepted for the next index: it may be decided, so it is reused."""
        highest: CoordinationPromise | None = None
        for promise in candidacy.promises.values():
            if promise.accepted is None or promise.decided_index != self._acceptor.state.index:
                continue  # what this voter accepted for an earlier index is decided already
            if highest is None or highest.accepted is None or promise.accepted > highest.accepted:
                highest = promise
        return None if highest is None else highest.change

    # ---- batches -------------------------------------------------------------------------

    def _next_batch(self, now: float) -> Effects:
        self._expire(now)  # no caller waits for an expired command, for example after this process was paused
        commands, self._queue = self._queue[:MAX_BATCH_COMMANDS], self._queue[MAX_BATCH_COMMANDS:]
        if not commands:
            return Effects()
        batch = CommandBatch(self._acceptor.state, now)
        items = [BatchItem(pending, batch.evaluate(pending.command)) for pending in commands]
        change = None
        if batch.records:
            self._change_count += 1
            change = batch.change(f"{self._identity}:{self._change_count}")
        self._round += 1
        self._failure_count = 0
        self._batch = Batch(self._acceptor.state.index + 1, change, items, self._round)
        return self._send_round(now)

    def _on_accepted(self, now: float, ip: str, message: CoordinationAccepted) -> Effects:
        batch = self._batch
        if batch is None or batch.change is None or message.index != batch.index:
            return Effects()
        if message.is_granted:
            return self._on_granted(now, ip, batch)
        if message.decided_index >= batch.index:  # the voter knows later decisions
            return Effects(send=[(ip, FetchCoordination(self._acceptor.state.index, False))])
        if message.decided_index < batch.index - 1 and batch.catch_ups.get(ip, 0) < MAX_CATCH_UPS_PER_VOTER:
            batch.catch_ups[ip] = batch.catch_ups.get(ip, 0) + 1
            update = self._acceptor.changes_or_snapshot_after(message.decided_index)
            if update is not None:
                accept = CoordinationAccept(self._epoch, self._proposal(), batch.index, batch.change)
                return Effects(send=[(ip, update), (ip, accept)])
        return Effects()

    def _on_confirmed(self, now: float, ip: str, message: CoordinationConfirmed) -> Effects:
        batch = self._batch
        is_current = batch is not None and batch.change is None and message.round == batch.round
        if batch is None or not is_current or not message.is_granted:
            return Effects()
        return self._on_granted(now, ip, batch)

    def _on_granted(self, now: float, ip: str, batch: Batch) -> Effects:
        batch.granted_by.add(ip)
        if len(batch.granted_by) < self._majority():
            return Effects()
        self._failure_count = 0
        effects = Effects()
        if batch.change is None:
            self._batch = None
            self._finish(batch)
        else:
            self.decided_batches += 1
            # This calls `replica_advanced`, which finishes the batch.
            effects.add(self._on_decided(now, batch.index, batch.change))
        effects.add(self._advance(now))
        return effects

    # ---- outcomes ------------------------------------------------------------------------

    def _remove_batch(self, batch: Batch) -> None:
        if batch is self._batch:
            self._batch = None
        else:
            self._in_doubt.remove(batch)

    @staticmethod
    def _finish(batch: Batch) -> None:
        for item in batch.items:
            item.pending.finish(item.result)

    def _requeue(self, batch: Batch) -> None:
        """Requeue the commands of a batch that can no longer be decided; reject them if this node should not lead."""
        waiting = [item.pending for item in batch.items if not item.pending.is_done]
        if self.should_lead:
            self._queue = waiting + self._queue
            return
        for pending in waiting:
            pending.reject("this node does not lead any more", may_retry=True)

    @staticmethod
    def _fail_as_unclear(batch: Batch) -> None:
        for item in batch.items:
            if isinstance(item.result, CommandFailed):
                item.pending.finish(item.result)  # the command failed in its evaluation and was no part of the change
            else:
                item.pending.fail_as_unclear()

    def _expire(self, now: float) -> None:
        for pending in self._queue:
            if pending.deadline <= now:
                pending.reject("too few voters answered")
        self._queue = [pending for pending in self._queue if not pending.is_done]
        for batch in [*self._in_doubt, *([self._batch] if self._batch is not None else [])]:
            for item in batch.items:
                if item.pending.deadline > now:
                    continue
                if batch.change is None:
                    item.pending.reject("too few voters answered")
                else:
                    item.pending.fail_as_unclear()
        self._in_doubt = [batch for batch in self._in_doubt if any(not item.pending.is_done for item in batch.items)]
