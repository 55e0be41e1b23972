"""The proposer of the register, without I/O: one proposal at a time, for all change requests that wait.

A proposal is one of single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2). In its first phase (prepare)
a majority promises to accept nothing lower, and says what it has accepted. If anything was accepted, it may be decided
already, and the value of the highest such proposal is proposed again. If nothing was, the state that this replica knows
is the latest decided one: the waiting requests are checked against it, and those that take effect are proposed together
in the second phase (accept). A request is refused only by a state that is known to be the latest, and never once it has
been proposed without a known outcome.
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

ROUND_TIMEOUT_SECONDS = 0.3  # of one phase of a proposal: then it is given up for another one...
MAX_ROUND_TIMEOUT_SECONDS = 2.0  # ...that is given more time, up to this
BACKOFF_SECONDS = 0.02  # before the next proposal after a conflict with a competitor, times a random 0.5 to 1.5...
MAX_BACKOFF_SECONDS = 0.16  # ...and doubled with each conflict up to this
MAX_CATCH_UPS_PER_VOTER = 3  # how often a proposal sends one voter what it lacks


class Phase(Enum):
    """What a proposal waits for: promises or acceptances."""

    PREPARE = "prepare"
    ACCEPT = "accept"


@dataclass(slots=True)
class Proposal:
    """One proposal for one index; only the voters of the membership that it began with count."""

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
        """How many voters decide."""
        return majority(len(self.voters))


class Proposer:
    """The proposals of one control node. `identity` names the process and its incarnation, and is unique among all."""

    def __init__(
        self, replica: Replica, identity: str, rng: Random, disk_sizes: Callable[[], Iterable[int]] = tuple
    ) -> None:
        """`disk_sizes`: bytes that each control node's disk stores, 0 where that is not known."""
        self._replica = replica
        self._disk_sizes = disk_sizes
        self._identity = identity
        self._rng = rng
        self._requests: list[ChangeRequest] = []
        self._proposal: Proposal | None = None
        self._number = 0  # the highest number of a proposal that was used or seen
        self._changes = 0
        self._proposals = 0
        self._failures = 0  # consecutive proposals without a decision
        self._not_before = 0.0
        self._has_pending = False  # a voter has accepted a change that is to be decided or ruled out

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def proposals(self) -> int:
        """The number of proposals made so far."""
        return self._proposals

    # ---- inputs --------------------------------------------------------------------------

    def submit(self, now: float, request: ChangeRequest) -> Effects:
        """Have a request decided."""
        request.submitted_after = self._proposals
        self._requests.append(request)
        return self._start(now)

    def withdraw(self, request: ChangeRequest) -> None:
        """Forget a request that nobody waits for any more, unless it has been proposed."""
        if request in self._requests and not request.was_proposed:
            self._requests.remove(request)

    def resolve_pending(self, now: float) -> Effects:
        """Decide a change that a voter accepted some time ago, or rule it out by another decision for its index."""
        self._has_pending = True
        return self._start(now)

    def replica_advanced(self, now: float) -> Effects:
        """Give up a proposal for an index that the replica has learned to be decided, and begin anew."""
        proposal = self._proposal
        if proposal is not None and proposal.index <= self._replica.index:
            self._proposal = None
            self._not_before = now + BACKOFF_SECONDS * self._rng.random()
        return self._start(now)

    def tick(self, now: float) -> Effects:
        """End requests and proposals whose time is up, and begin the proposal that is due."""
        self._expire(now)
        if self._proposal is not None and now >= self._proposal.deadline:
            self._proposal = None
            self._back_off(now)
        return self._start(now)

    def receive(self, now: float, ip: str, message: Promise | Accepted) -> Effects:
        """Process a voter's answer to Prepare or Accept."""
        proposal = self._proposal
        if proposal is None or (message.index, message.proposal) != (proposal.index, proposal.number):
            return Effects()
        if ip not in proposal.voters or proposal.index != self._replica.index + 1:
            return Effects()
        if not message.is_granted:
            return self._on_refusal(now, ip, proposal, message)
        if isinstance(message, Promise):
            return self._on_promise(now, ip, proposal, message)
        return self._on_accepted(now, ip, proposal)

    # ---- first phase: prepare --------------------------------------------------------------

    def _start(self, now: float) -> Effects:
        membership = self._replica.membership
        if self._proposal is not None or membership is None or now < self._not_before:
            return Effects()
        if not self._requests and not self._has_pending:
            return Effects()
        self._number += 1
        self._proposals += 1
        index = self._replica.index + 1
        voters = frozenset(voter.ip for voter in membership.voters)
        number = ProposalNumber(self._number, self._identity)
        self._proposal = Proposal(index, number, voters, now + self._round_timeout())
        return Effects(send=[(ip, Prepare(index, number)) for ip in sorted(voters)])

    def _on_refusal(self, now: float, ip: str, proposal: Proposal, message: Promise | Accepted) -> Effects:
        self._number = max(self._number, message.promised.number)
        if message.decided_index >= proposal.index:  # the voter knows more changes
            return Effects(send=[(ip, FetchDecided(self._replica.index))])
        if message.promised > proposal.number:  # the voter has promised a competitor
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
        self._expire(now)  # so that nothing is proposed that nobody waits for, as after a freeze
        proposal.change = self._highest_accepted(proposal) or self._evaluate_requests()
        if proposal.change is None and self._has_pending:
            # A value that only a minority has accepted is ruled out for good: an empty change takes its index.
            proposal.change = Change(f"{self._identity}:{self._changes}", [])
        self._has_pending = False
        if proposal.change is None:
            self._proposal = None
            self._failures = 0
            return self._start(now)  # for requests that came meanwhile
        proposal.phase = Phase.ACCEPT
        proposal.deadline = now + self._round_timeout()  # for a second write to slow disks
        accept = Accept(proposal.index, proposal.number, proposal.change)
        return Effects(send=[(voter, accept) for voter in sorted(proposal.voters)])

    @staticmethod
    def _highest_accepted(proposal: Proposal) -> Change | None:
        """The value of the highest accepted proposal among the promises: it may be decided and is proposed again."""
        highest: Promise | None = None
        for promise in proposal.promises.values():
            if promise.accepted is None:
                continue
            if highest is None or highest.accepted is None or promise.accepted > highest.accepted:
                highest = promise
        return None if highest is None else highest.change

    # ---- evaluation of requests -------------------------------------------------------------

    def _evaluate_requests(self) -> Change | None:
        """Answer the requests that the latest state answers, and put those that take effect into one change."""
        self._changes += 1
        batch = ChangeBatch(f"{self._identity}:{self._changes}", self._replica.register, self._disk_sizes)
        for request in self._requests[:]:
            if request.base_epoch is None:
                self._evaluate(request, batch)
            elif request.base_epoch != self._replica.epoch:
                self._end(request, NoQuorum())  # another change of the voters came first
            elif batch.is_empty:  # a change of the voters is proposed alone
                self._mark_proposed(request, batch.change_id)
                return Change(batch.change_id, request.entries)
        return batch.change()

    def _evaluate(self, request: ChangeRequest, batch: ChangeBatch) -> None:
        """Add a request to the batch, or end it where the latest state already gives its outcome."""
        try:
            effective = batch.effective_entries(request)
        except MeshError as error:
            # Guards against a state that was the latest when voters promised, before this request came.
            if request.submitted_after < self._proposals:
                self._end(request, Refused(error))
            return
        if not effective:
            self._end(request, Confirmed())
        elif batch.takes(request, effective):
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
        since = self._replica.index
        effects = self._replica.decide(now, proposal.change)
        pages = self._replica.register.pages_after(since)
        for voter in sorted(proposal.voters - {self._replica.voter.ip}):
            effects.send += [(voter, page) for page in pages]
        for request in [o for o in self._requests if o.change_id == proposal.change.id]:
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
        """Whether an entry, or a later one of its name, is decided; a withdrawal may be forgotten by now."""
        item = self._replica.register.items.get((entry.kind, entry.name))
        if item is None:
            return entry.value is None
        return item.entry.edition > entry.edition or item.entry == entry

    def _expire(self, now: float) -> None:
        for request in [request for request in self._requests if request.deadline <= now]:
            self._end(request, Unclear() if request.was_proposed else NoQuorum())

    def _round_timeout(self) -> float:
        """Seconds for one phase: more after each proposal without a decision, since voters' disks may be slow."""
        return min(MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_SECONDS * 1.5**self._failures)

    def _back_off(self, now: float) -> None:
        """Wait for a random while: competing proposers would keep each other from deciding anything."""
        delay = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2.0**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._not_before = now + delay * (0.5 + self._rng.random())
