"""The leader of coordination: it prepares once, and then has one batch of commands after the other decided.

This is Multi-Paxos (Lamport, "Paxos Made Simple", 2001, section 3). Any node may try to lead at any time: safety rests
on proposal numbers alone, and who tries is decided by `leader_choice`. Commands are evaluated against the leader's
state and answered once it is proven that this was the latest: by the decision of the change that they are part of or,
where they change nothing, by a majority that has promised nothing higher (the read index of Raft, dissertation section
6.4). What was proposed without a known outcome is answered by the decision for its index, or not at all.
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
from lugspur.mesh.coordination.voter_catch_up import voters_of

ROUND_TIMEOUT_SECONDS = 0.25  # after which voters that have not answered are asked again...
MAX_ROUND_TIMEOUT_SECONDS = 0.5  # ...and then less often, up to this
BACKOFF_SECONDS = 0.03  # after a conflict with another proposer, times a random 0.5 to 1.5...
MAX_BACKOFF_SECONDS = 0.5  # ...and doubled with each conflict up to this
MAX_BATCH_COMMANDS = 256
MAX_QUEUED_COMMANDS = 1024  # beyond these calls are rejected
MAX_CATCH_UPS_PER_VOTER = 3  # how often one batch sends a voter what it lacks


@dataclass(slots=True)
class Candidacy:
    """The first phase of a proposal: promises of voters, until a majority has promised and all they know is known."""

    promises: dict[str, CoordinationPromise] = field(default_factory=dict)


@dataclass(slots=True)
class BatchItem:
    """A command, and its result if the batch is decided."""

    pending: PendingCommand
    result: Result


@dataclass(slots=True)
class Batch:
    """What is being decided. Without a change it is a round that only confirms that the leader still leads."""

    index: int
    change: CoordinationChange | None
    items: list[BatchItem]
    round: int
    granted_by: set[str] = field(default_factory=set)
    catch_ups: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class RoundMessage:
    """A message to the voters, and those that have not answered it."""

    message: CoordinationPrepare | CoordinationAccept | CoordinationConfirm
    missing: frozenset[str]


class CoordinationProposer:
    """The proposals of one node. `identity` names the process and its incarnation, and is unique among all."""

    def __init__(
        self,
        replica: Replica,
        acceptor: CoordinationAcceptor,
        identity: str,
        rng: Random,
        on_decided: Callable[[float, int, CoordinationChange], Effects],
    ) -> None:
        """`on_decided` puts a decided change into force at this node; `replica_advanced` is called by it in turn."""
        self._replica, self._acceptor, self._identity, self._rng = replica, acceptor, identity, rng
        self._on_decided = on_decided
        self._queue: list[PendingCommand] = []
        self._candidacy: Candidacy | None = None
        self._batch: Batch | None = None
        self._doubtful: list[Batch] = []  # proposed under a proposal that this node has given up
        self._epoch = 0  # in which the present proposal was prepared...
        self._voters: frozenset[str] = frozenset()  # ...and its voters: only these count
        self._number = 0  # the highest number of a proposal that was used or seen
        self._round = 0
        self._changes = 0
        self._deadline = 0.0  # of the present round of messages
        self._failures = 0  # rounds and proposals in a row that came to nothing
        self._not_before = 0.0
        self.is_wanted = False  # whether this node should lead, as far as it knows
        self.is_leading = False
        self.elections = 0  # how often this node began to lead
        self.batches = 0  # that were decided

    @property
    def leading_number(self) -> int:
        """The number of the proposal under which this node leads, else 0."""
        return self._number if self.is_leading else 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits for a decision here."""
        return not self._queue and self._batch is None and not self._doubtful

    # ---- inputs --------------------------------------------------------------------------

    def submit(self, now: float, pending: PendingCommand) -> Effects:
        """Have a command decided; only a node that is wanted as leader takes any."""
        if not self.is_wanted:
            pending.reject("this node does not lead", may_retry=True)
            return Effects()
        if len(self._queue) >= MAX_QUEUED_COMMANDS:  # Guards memory and processor time against a flood of calls.
            pending.reject("too many calls in hand")
            return Effects()
        self._queue.append(pending)
        return self._advance(now)

    def want(self, now: float, is_wanted: bool) -> Effects:
        """This node should lead, or another one should."""
        if self.is_wanted == is_wanted:
            return Effects()
        self.is_wanted = is_wanted
        if is_wanted:
            return self._advance(now)
        self._resign()
        return Effects()

    def tick(self, now: float) -> Effects:
        """End commands whose time is up, ask silent voters again, and begin what is due."""
        self._expire(now)
        if self._epoch != self._replica.epoch and (self.is_leading or self._candidacy is not None):
            self._step_down()
        effects = Effects()
        if now >= self._deadline and (self._candidacy is not None or self._batch is not None):
            self._failures = min(self._failures + 1, 10)
            effects.add(self._ask(now))
        effects.add(self._advance(now))
        return effects

    def voter_connected(self, ip: str) -> Effects:
        """A voter can be reached anew: ask it what it may not have got."""
        asked = self._round_message()
        if asked is None or ip not in asked.missing:
            return Effects()
        return Effects(send=[(ip, asked.message)])

    def replica_advanced(self, now: float, index: int, change: CoordinationChange | None) -> Effects:
        """The change of an index was decided; without a change: a later state was taken over."""
        for batch in [*self._doubtful, *([self._batch] if self._batch is not None else [])]:
            if batch.change is None or batch.index > index:
                continue
            self._drop(batch)
            if change is None or batch.index < index:
                self._give_up(batch)  # the state does not tell whether it was decided
            elif batch.change.id == change.id:
                self._finish(batch)
            else:
                self._requeue(batch)  # ruled out for good by another decision for its index
        return Effects()

    def receive(
        self, now: float, ip: str, message: CoordinationPromise | CoordinationAccepted | CoordinationConfirmed
    ) -> Effects:
        """Take a voter's answer."""
        is_current = message.epoch == self._epoch and message.proposal == self._proposal()
        if not is_current or ip not in self._voters or not (self._candidacy is not None or self.is_leading):
            return Effects()
        if message.promised > message.proposal:
            return self._outbid(now, message.promised)
        if isinstance(message, CoordinationPromise):
            return self._on_promise(now, ip, message)
        if isinstance(message, CoordinationAccepted):
            return self._on_accepted(now, ip, message)
        return self._on_confirmed(now, ip, message)

    # ---- role ----------------------------------------------------------------------------

    def _proposal(self) -> ProposalNumber:
        return ProposalNumber(self._number, self._identity)

    def _majority(self) -> int:
        return majority(len(self._voters))

    def _advance(self, now: float) -> Effects:
        """Begin what can be begun: to lead, or the next batch."""
        if not self.is_wanted or now < self._not_before or self._replica.membership is None:
            return Effects()
        if self.is_leading and self._epoch == self._replica.epoch:
            return self._next_batch(now) if self._batch is None and self._queue else Effects()
        if self._candidacy is None:
            return self._stand(now)
        return Effects()

    def _stand(self, now: float) -> Effects:
        """Ask all voters to promise."""
        self._step_down()
        self._epoch = self._replica.epoch
        self._voters = frozenset(voters_of(self._replica.membership))
        self._number = max(self._number, self._acceptor.promised.number) + 1
        self._candidacy = Candidacy()
        return self._ask(now)

    def _step_down(self) -> None:
        """Give up the present proposal; what it has proposed may be decided all the same."""
        self._candidacy = None
        self.is_leading = False
        batch, self._batch = self._batch, None
        if batch is None:
            return
        if batch.change is None:
            self._requeue(batch)
        else:
            self._doubtful.append(batch)

    def _resign(self) -> None:
        self._step_down()
        queue, self._queue = self._queue, []
        for pending in queue:
            pending.reject("this node does not lead any more", may_retry=True)

    def _outbid(self, now: float, promised: ProposalNumber) -> Effects:
        """A voter has promised a competitor."""
        self._number = max(self._number, promised.number)
        self._step_down()
        self._back_off(now)
        return Effects()

    def _back_off(self, now: float) -> None:
        """Wait for a random while: competing proposers would keep each other from deciding anything."""
        delay = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2.0**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._not_before = now + delay * (0.5 + self._rng.random())

    # ---- messages to voters ----------------------------------------------------------------

    def _ask(self, now: float) -> Effects:
        """Send the present round's message to the voters that have not answered."""
        self._deadline = now + min(MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_SECONDS * 1.5**self._failures)
        asked = self._round_message()
        return Effects() if asked is None else Effects(send=[(ip, asked.message) for ip in sorted(asked.missing)])

    def _round_message(self) -> RoundMessage | None:
        """What voters are asked at present, and who has not answered."""
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
        """Lead, if a majority has promised and all that these voters know as decided is known here."""
        candidacy, state = self._candidacy, self._acceptor.state
        if candidacy is None or len(candidacy.promises) < self._majority():
            return Effects()
        if any(promise.decided_index > state.index for promise in candidacy.promises.values()):
            return Effects()
        self._candidacy = None
        self.is_leading = True
        self.elections += 1
        self._failures = 0
        effects = Effects()
        for ip, promise in candidacy.promises.items():
            pages = self._acceptor.pages_after(promise.decided_index)
            if pages is not None and ip != self._replica.voter.ip:
                effects.send.append((ip, pages))
        change = self._highest_accepted(candidacy)
        if change is not None:
            self._batch = Batch(state.index + 1, change, [], 0)
            effects.add(self._ask(now))
            return effects
        for batch in self._doubtful[
            :
        ]:  # a majority has accepted nothing for its index, and will accept no lower proposal
            self._drop(batch)
            self._requeue(batch)
        effects.add(self._advance(now))
        return effects

    def _highest_accepted(self, candidacy: Candidacy) -> CoordinationChange | None:
        """The value of the highest proposal accepted for the next index: it may be decided and is proposed again."""
        highest: CoordinationPromise | None = None
        for promise in candidacy.promises.values():
            if promise.accepted is None or promise.decided_index != self._acceptor.state.index:
                continue  # what it accepted for an earlier index is decided
            if highest is None or highest.accepted is None or promise.accepted > highest.accepted:
                highest = promise
        return None if highest is None else highest.change

    # ---- batches -------------------------------------------------------------------------

    def _next_batch(self, now: float) -> Effects:
        self._expire(now)  # so that nothing is proposed that nobody waits for, as after a freeze
        commands, self._queue = self._queue[:MAX_BATCH_COMMANDS], self._queue[MAX_BATCH_COMMANDS:]
        if not commands:
            return Effects()
        batch = CommandBatch(self._acceptor.state, now)
        items = [BatchItem(pending, batch.evaluate(pending.command)) for pending in commands]
        change = None
        if batch.records:
            self._changes += 1
            change = batch.change(f"{self._identity}:{self._changes}")
        self._round += 1
        self._failures = 0
        self._batch = Batch(self._acceptor.state.index + 1, change, items, self._round)
        return self._ask(now)

    def _on_accepted(self, now: float, ip: str, message: CoordinationAccepted) -> Effects:
        batch = self._batch
        if batch is None or batch.change is None or message.index != batch.index:
            return Effects()
        if message.is_granted:
            return self._granted(now, ip, batch)
        if message.decided_index >= batch.index:  # the voter knows more
            return Effects(send=[(ip, FetchCoordination(self._acceptor.state.index, False))])
        if message.decided_index < batch.index - 1 and batch.catch_ups.get(ip, 0) < MAX_CATCH_UPS_PER_VOTER:
            batch.catch_ups[ip] = batch.catch_ups.get(ip, 0) + 1
            pages = self._acceptor.pages_after(message.decided_index)
            if pages is not None:
                again = CoordinationAccept(self._epoch, self._proposal(), batch.index, batch.change)
                return Effects(send=[(ip, pages), (ip, again)])
        return Effects()

    def _on_confirmed(self, now: float, ip: str, message: CoordinationConfirmed) -> Effects:
        batch = self._batch
        is_current = batch is not None and batch.change is None and message.round == batch.round
        if batch is None or not is_current or not message.is_granted:
            return Effects()
        return self._granted(now, ip, batch)

    def _granted(self, now: float, ip: str, batch: Batch) -> Effects:
        batch.granted_by.add(ip)
        if len(batch.granted_by) < self._majority():
            return Effects()
        self._failures = 0
        effects = Effects()
        if batch.change is None:
            self._batch = None
            self._finish(batch)
        else:
            self.batches += 1
            effects.add(self._on_decided(now, batch.index, batch.change))  # which finishes it
        effects.add(self._advance(now))
        return effects

    # ---- outcomes ------------------------------------------------------------------------

    def _drop(self, batch: Batch) -> None:
        if batch is self._batch:
            self._batch = None
        else:
            self._doubtful.remove(batch)

    @staticmethod
    def _finish(batch: Batch) -> None:
        for item in batch.items:
            item.pending.finish(item.result)

    def _requeue(self, batch: Batch) -> None:
        """Nothing of a batch was decided, or ever will be: its commands are evaluated anew, or rejected."""
        waiting = [item.pending for item in batch.items if not item.pending.is_done]
        if self.is_wanted:
            self._queue = waiting + self._queue
            return
        for pending in waiting:
            pending.reject("this node does not lead any more", may_retry=True)

    @staticmethod
    def _give_up(batch: Batch) -> None:
        for item in batch.items:
            if isinstance(item.result, CommandFailed):
                item.pending.finish(item.result)  # rejected by its own content: it was not part of the change
            else:
                item.pending.give_up()

    def _expire(self, now: float) -> None:
        for pending in self._queue:
            if pending.deadline <= now:
                pending.reject("too few voters answered")
        self._queue = [pending for pending in self._queue if not pending.is_done]
        for batch in [*self._doubtful, *([self._batch] if self._batch is not None else [])]:
            for item in batch.items:
                if item.pending.deadline > now:
                    continue
                if batch.change is None:
                    item.pending.reject("too few voters answered")
                else:
                    item.pending.give_up()
        self._doubtful = [batch for batch in self._doubtful if any(not item.pending.is_done for item in batch.items)]
