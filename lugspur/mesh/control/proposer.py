"""The proposer of the register, without I/O: it makes one proposal at a time for all waiting change requests.

A proposal follows single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2). In the first phase (prepare) a
majority promises to accept no lower proposal, and reports the proposals that it has accepted. If any was accepted, its
value may be decided already, and the value of the highest such proposal is proposed again. If none was, the state of
this replica is the latest decided one: the waiting requests are checked against it, and those that take effect are
proposed together in the second phase (accept). A request is rejected only on the basis of a state that is known to be
the latest, and never after it has been proposed without a known outcome.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from lugspur.invariants import Invariant
from lugspur.invariants import check as check_invariant
from lugspur.mesh.control.change_batch import ChangeBatch
from lugspur.mesh.control.change_requests import ChangeRequest, Confirmed, NoQuorum, Refused, Unclear
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import MeshError
from lugspur.mesh.control.messages import (
    Accept,
    Accepted,
    Change,
    Entry,
    FetchDecided,
    Prepare,
    Promise,
    ProposalNumber,
)
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica

#: Initial timeout of one phase of a proposal, after which the proposal is abandoned and a new one is made.
ROUND_TIMEOUT_SECONDS = 0.3
#: Upper bound of the phase timeout, which grows with each consecutive proposal without a decision.
MAX_ROUND_TIMEOUT_SECONDS = 2.0
#: Delay before the next proposal after a conflict with a competing proposer, multiplied by a random 0.5 to 1.5.
BACKOFF_SECONDS = 0.02
#: Upper bound of the backoff delay, which doubles with each conflict.
MAX_BACKOFF_SECONDS = 0.16
#: Number of times that one proposal sends a lagging voter the changes that it lacks.
MAX_CATCH_UPS_PER_VOTER = 3


class Phase(Enum):
    """The phase of a proposal: it waits for promises or for acceptances."""

    PREPARE = "prepare"
    ACCEPT = "accept"


@dataclass(slots=True)
class Proposal:
    """One proposal for one index; only replies of the voters of the membership at its start count."""

    index: int
    number: ProposalNumber
    voters: frozenset[str]
    deadline: float
    phase: Phase = Phase.PREPARE
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    catch_ups: dict[str, int] = field(default_factory=dict)
    change: Change | None = None

    @property
    def majority(self) -> int:
        """The number of voters that form a majority."""
        return majority(len(self.voters))


class Proposer:
    """The proposer of one control node. `identity` names the process and its incarnation, and is unique in the mesh."""

    def __init__(
        self, replica: Replica, identity: str, rng: Random, disk_sizes: Callable[[], Iterable[int]] = tuple
    ) -> None:
        """`disk_sizes`: the capacity of each control node's disk in bytes, 0 where it is unknown."""
        self._replica = replica
        self._disk_sizes = disk_sizes
        self._identity = identity
        self._rng = rng
        self._requests: list[ChangeRequest] = []
        self._proposal: Proposal | None = None
        self._highest_number = 0  # the highest proposal number that was used or seen
        self._change_count = 0  # numbers the ids of changes
        self._proposal_count = 0
        self._failures = 0  # consecutive proposals without a decision
        self._not_before = 0.0  # the time before which no proposal is made
        self._has_pending_change = False  # whether a voter has accepted a change that has to be decided or ruled out

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def proposal_count(self) -> int:
        """The number of proposals made so far."""
        return self._proposal_count

    # ---- inputs --------------------------------------------------------------------------

    def submit(self, now: float, request: ChangeRequest) -> Effects:
        """Add a request to the next proposal."""
        request.proposals_at_submission = self._proposal_count
        self._requests.append(request)
        return self._start(now)

    def withdraw(self, request: ChangeRequest) -> None:
        """Drop a request whose caller has left, unless it has been proposed."""
        if request in self._requests and not request.was_proposed:
            self._requests.remove(request)

    def resolve_pending(self, now: float) -> Effects:
        """Decide a change that a voter accepted some time ago, or rule it out by another decision for its index."""
        self._has_pending_change = True
        return self._start(now)

    def replica_advanced(self, now: float) -> Effects:
        """Abandon a proposal for an index that the replica has learned to be decided, and start a new one."""
        proposal = self._proposal
        if proposal is not None and proposal.index <= self._replica.index:
            self._proposal = None
            self._not_before = now + BACKOFF_SECONDS * self._rng.random()
        return self._start(now)

    def tick(self, now: float) -> Effects:
        """End expired requests and timed-out proposals, and start the next proposal if one is due."""
        self._expire(now)
        if self._proposal is not None and now >= self._proposal.deadline:
            self._proposal = None
            self._back_off(now)
        return self._start(now)

    def receive(self, now: float, ip: str, message: Promise | Accepted) -> Effects:
        """Process a voter's reply to Prepare or Accept."""
        proposal = self._proposal
        if proposal is None or (message.index, message.proposal) != (proposal.index, proposal.number):
            return Effects()
        if ip not in proposal.voters or proposal.index != self._replica.index + 1:
            return Effects()
        if not message.is_granted:
            return self._on_rejection(now, ip, proposal, message)
        if isinstance(message, Promise):
            return self._on_promise(now, ip, proposal, message)
        return self._on_accepted(now, ip, proposal)

    # ---- first phase: prepare --------------------------------------------------------------

    def _start(self, now: float) -> Effects:
        membership = self._replica.membership
        if self._proposal is not None or membership is None or now < self._not_before:
            return Effects()
        if not self._requests and not self._has_pending_change:
            return Effects()
        self._highest_number += 1
        self._proposal_count += 1
        index = self._replica.index + 1
        voters = frozenset(voter.ip for voter in membership.voters)
        number = ProposalNumber(self._highest_number, self._identity)
        self._proposal = Proposal(index, number, voters, now + self._round_timeout())
        return Effects(send=[(ip, Prepare(index, number)) for ip in sorted(voters)])

    def _on_rejection(self, now: float, ip: str, proposal: Proposal, message: Promise | Accepted) -> Effects:
        self._highest_number = max(self._highest_number, message.promised.number)
        if message.decided_index >= proposal.index:  # the voter knows later decided changes
            return Effects(send=[(ip, FetchDecided(self._replica.index))])
        if message.promised > proposal.number:  # the voter has promised a higher proposal
            self._proposal = None
            self._back_off(now)
            return Effects()
        if message.decided_index < proposal.index - 1 and proposal.phase is Phase.PREPARE:  # the voter lacks changes
            sent = proposal.catch_ups.get(ip, 0)
            if sent < MAX_CATCH_UPS_PER_VOTER:
                proposal.catch_ups[ip] = sent + 1
                effects = Effects(
                    send=[(ip, page) for page in self._replica.register.pages_after(message.decided_index)]
                )
                effects.send.append((ip, Prepare(proposal.index, proposal.number)))
                return effects
        return Effects()

    def _on_promise(self, now: float, ip: str, proposal: Proposal, message: Promise) -> Effects:
        proposal.promises[ip] = message
        if proposal.phase is not Phase.PREPARE or len(proposal.promises) < proposal.majority:
            return Effects()
        # Guards against proposing requests that have expired, for example while the process was frozen.
        self._expire(now)
        proposal.change = self._highest_accepted(proposal) or self._evaluate_requests()
        if proposal.change is None and self._has_pending_change:
            # An empty change takes the index, so that a value that only a minority has accepted can't be decided there.
            proposal.change = Change(f"{self._identity}:{self._change_count}", [])
        self._has_pending_change = False
        if proposal.change is None:
            self._proposal = None
            self._failures = 0
            return self._start(now)  # for requests that were submitted in the meantime
        proposal.phase = Phase.ACCEPT
        proposal.deadline = now + self._round_timeout()  # slow disks need time for a second write
        accept = Accept(proposal.index, proposal.number, proposal.change)
        return Effects(send=[(voter, accept) for voter in sorted(proposal.voters)])

    @staticmethod
    def _highest_accepted(proposal: Proposal) -> Change | None:
        """Return the value of the highest accepted proposal among the promises, which may be decided already."""
        highest: Promise | None = None
        for promise in proposal.promises.values():
            if promise.accepted is None:
                continue
            if highest is None or highest.accepted is None or promise.accepted > highest.accepted:
                highest = promise
        return None if highest is None else highest.change

    # ---- evaluation of requests -------------------------------------------------------------

    def _evaluate_requests(self) -> Change | None:
        """End the requests whose outcome follows from the latest state, and combine the others in one change."""
        self._change_count += 1
        batch = ChangeBatch(f"{self._identity}:{self._change_count}", self._replica.register, self._disk_sizes)
        for request in self._requests[:]:
            if request.base_epoch is None:
                self._evaluate(request, batch)
            elif request.base_epoch != self._replica.epoch:
                self._end(request, NoQuorum())  # another membership change was decided first
            elif batch.is_empty:  # a membership change is proposed alone
                self._mark_proposed(request, batch.change_id)
                return Change(batch.change_id, request.entries)
        return batch.change()

    def _evaluate(self, request: ChangeRequest, batch: ChangeBatch) -> None:
        """Add a request to the batch, or end it if its outcome follows from the latest state."""
        try:
            effective = batch.effective_entries(request)
        except MeshError as error:
            # Guards against an outdated state: voters that promised before this request was submitted vouch only for
            # what was decided until then.
            if request.proposals_at_submission < self._proposal_count:
                self._end(request, Refused(error))
            return
        if not effective:
            self._end(request, Confirmed())
        elif batch.may_add(request, effective):
            batch.add(effective)
            self._mark_proposed(request, batch.change_id)

    @staticmethod
    def _mark_proposed(request: ChangeRequest, change_id: str) -> None:
        request.was_proposed = True
        request.change_id = change_id

    # ---- second phase: accept --------------------------------------------------------------

    def _on_accepted(self, now: float, ip: str, proposal: Proposal) -> Effects:
        if proposal.phase is not Phase.ACCEPT or proposal.change is None:
            return Effects()
        proposal.accepted_by.add(ip)
        if len(proposal.accepted_by) < proposal.majority:
            return Effects()
        self._proposal = None
        self._failures = 0
        previous_index = self._replica.index
        effects = self._replica.decide(now, proposal.change)
        pages = self._replica.register.pages_after(previous_index)
        for voter in sorted(proposal.voters - {self._replica.voter.ip}):
            effects.send += [(voter, page) for page in pages]
        for request in [r for r in self._requests if r.change_id == proposal.change.id]:
            self._end(request, Confirmed())
        effects.add(self._start(now))
        return effects

    # ---- outcomes of requests --------------------------------------------------------------

    def _end(self, request: ChangeRequest, outcome: Confirmed | Refused | Unclear | NoQuorum) -> None:
        self._requests.remove(request)
        if isinstance(outcome, Confirmed):
            is_in_force = all(self._is_in_force(entry) for entry in request.entries)
            check_invariant(
                is_in_force, Invariant.CONFIRMED_IS_KEPT, change=request.change_id, index=self._replica.index
            )
        request.on_outcome(outcome)

    def _is_in_force(self, entry: Entry) -> bool:
        """Whether an entry or a later one of the same name is decided; a withdrawal may have been pruned by now."""
        item = self._replica.register.items.get((entry.kind, entry.name))
        if item is None:
            return entry.value is None
        return item.entry.edition > entry.edition or item.entry == entry

    def _expire(self, now: float) -> None:
        for request in [request for request in self._requests if request.deadline <= now]:
            self._end(request, Unclear() if request.was_proposed else NoQuorum())

    def _round_timeout(self) -> float:
        """Return the timeout of one phase; it grows with each failed proposal, since the voters' disks may be slow."""
        return min(MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_SECONDS * 1.5**self._failures)

    def _back_off(self, now: float) -> None:
        """Delay the next proposal by a random time, since competing proposers could block each other indefinitely."""
        delay = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2.0**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._not_before = now + delay * (0.5 + self._rng.random())
