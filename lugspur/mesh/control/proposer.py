"""The proposer's side of the register, without I/O: one proposal at a time, for all orders that wait.

A proposal has two rounds. In the first (prepare) a majority promises to accept nothing lower and tells what it has
accepted. If anything was, it may be decided already and is proposed again. If nothing was, the state that this replica
knows is the latest decided one, so that orders are judged against it, and those that take effect are proposed together
(accept). An order is refused only by a state that is known to be the latest, and never once it has been proposed
without an outcome.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from lugspur.invariants import Invariant
from lugspur.invariants import check as check_invariant
from lugspur.mesh.control.capacity import item_bytes, max_configuration_bytes
from lugspur.mesh.control.change_requests import ChangeRequest, Confirmed, NoQuorum, Refused, Unclear
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import Draft, check_changes
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
from lugspur.mesh.control.register import Register
from lugspur.mesh.control.replica import Replica

ROUND_TIMEOUT_SECONDS = 0.3  # seconds for one round of a proposal: then it is given up, and another one is made...
MAX_ROUND_TIMEOUT_SECONDS = 2.0  # ...which has more time, up to this
BACKOFF_SECONDS = (
    0.02  # seconds before another proposal after one that met a competitor, drawn from half to one and a half...
)
MAX_BACKOFF_SECONDS = 0.16  # ...doubled each time up to this
MAX_BATCHED_ITEMS = 64  # items in one change that holds several orders...
MAX_BATCHED_BYTES = 1 << 20  # ...and bytes of their contents: connections and disks take it whole
MAX_CATCH_UPS_PER_VOTER = 3  # times that one voter is told within a proposal what it lacks


class Phase(Enum):
    """What a proposal waits for."""

    PREPARE = "prepare"
    ACCEPT = "accept"


class RegisterView:
    """The decided items as `items.check` reads them."""

    def __init__(self, register: Register) -> None:
        self._register = register

    def get(self, kind: str, name: str) -> Entry | None:
        """What is known of a name, withdrawn ones too."""
        item = self._register.items.get((kind, name))
        return None if item is None else item.entry

    def values_of(self, kind: str) -> dict[str, bytes]:
        """The values of a kind, by name, of those that are not withdrawn."""
        found = {}
        for (of, name), item in self._register.items.items():
            if of == kind and item.entry.value is not None:
                found[name] = item.entry.value
        return found


@dataclass(slots=True)
class Proposal:
    """One ballot for one index; messages count only from the voters of the membership that it began with."""

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
    """The proposals of one control node. `identity`: of the process and its life, unique among all."""

    def __init__(
        self, replica: Replica, identity: str, rng: Random, disks: Callable[[], Iterable[int]] = tuple
    ) -> None:
        """`disks`: bytes that each control node's disk takes, 0 where that is not known."""
        self._replica = replica
        self._disk_sizes = disks
        self._identity = identity
        self._rng = rng
        self._requests: list[ChangeRequest] = []
        self._proposal: Proposal | None = None
        self._number = 0  # the highest ballot's number that was used or heard of
        self._changes = 0
        self._proposals = 0
        self._failures = 0  # proposals in a row that came to nothing
        self._not_before = 0.0
        self._has_pending = False  # something that was accepted somewhere is to be decided or given up

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def proposals(self) -> int:
        """How many it has made."""
        return self._proposals

    # ---- inputs --------------------------------------------------------------------------

    def submit(self, now: float, order: ChangeRequest) -> Effects:
        """Have an order decided."""
        order.submitted_after = self._proposals
        self._requests.append(order)
        return self._start(now)

    def withdraw(self, order: ChangeRequest) -> None:
        """Nobody waits for an order any more; what has been proposed goes on."""
        if order in self._requests and not order.was_proposed:
            self._requests.remove(order)

    def resolve_pending(self, now: float) -> Effects:
        """A voter has accepted a change that nobody has decided for a while: decide it, or prove that it never is."""
        self._has_pending = True
        return self._start(now)

    def replica_advanced(self, now: float) -> Effects:
        """The replica has learned of further changes: what is under way is for an index that is taken."""
        proposal = self._proposal
        if proposal is not None and proposal.index <= self._replica.index:
            self._proposal = None
            self._not_before = now + BACKOFF_SECONDS * self._rng.random()
        return self._start(now)

    def tick(self, now: float) -> Effects:
        """End what has gone on for too long, and begin what is due."""
        self._expire(now)
        if self._proposal is not None and now >= self._proposal.deadline:
            self._proposal = None
            self._back_off(now)
        return self._start(now)

    def receive(self, now: float, ip: str, message: Promise | Accepted) -> Effects:
        """A voter's answer."""
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

    # ---- the first round -----------------------------------------------------------------

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
        ballot = ProposalNumber(self._number, self._identity)
        self._proposal = Proposal(index, ballot, voters, now + self._round_timeout())
        return Effects(send=[(ip, Prepare(index, ballot)) for ip in sorted(voters)])

    def _on_refusal(self, now: float, ip: str, proposal: Proposal, message: Promise | Accepted) -> Effects:
        self._number = max(self._number, message.promised.number)
        if message.decided_index >= proposal.index:  # the voter knows more
            return Effects(send=[(ip, FetchDecided(self._replica.index))])
        if message.promised > proposal.number:  # a competitor
            self._proposal = None
            self._back_off(now)
            return Effects()
        if message.decided_index < proposal.index - 1 and proposal.phase is Phase.PREPARE:  # the voter knows less
            told = proposal.catch_ups.get(ip, 0)
            if told < MAX_CATCH_UPS_PER_VOTER:
                proposal.catch_ups[ip] = told + 1
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
        self._expire(now)  # what nobody waits for any more is not proposed, as after a freeze
        proposal.change = self._highest_accepted(proposal) or self._evaluate_requests()
        if proposal.change is None and self._has_pending:
            # What a minority has accepted is given up for good: an empty change takes its index.
            proposal.change = Change(f"{self._identity}:{self._changes}", [])
        self._has_pending = False
        if proposal.change is None:
            self._proposal = None
            self._failures = 0
            return self._start(now)  # for orders that came meanwhile
        proposal.phase = Phase.ACCEPT
        proposal.deadline = now + self._round_timeout()  # a second write to slow disks
        accept = Accept(proposal.index, proposal.number, proposal.change)
        return Effects(send=[(voter, accept) for voter in sorted(proposal.voters)])

    @staticmethod
    def _highest_accepted(proposal: Proposal) -> Change | None:
        """What may be decided already: the only change that may be proposed then."""
        highest: Promise | None = None
        for promise in proposal.promises.values():
            if promise.accepted is None:
                continue
            if highest is None or highest.accepted is None or promise.accepted > highest.accepted:
                highest = promise
        return None if highest is None else highest.change

    # ---- judging orders --------------------------------------------------------------------

    def _evaluate_requests(self) -> Change | None:
        """Answer what the latest state answers, and put what takes effect into one change."""
        self._changes += 1
        change_id = f"{self._identity}:{self._changes}"
        view = RegisterView(self._replica.register)
        draft = Draft(view)
        for order in self._requests[:]:
            if order.base_epoch is not None:
                if order.base_epoch != self._replica.epoch:
                    self._end(order, NoQuorum())  # another change of the voters came first
                elif not draft.entries:  # a change of the voters goes alone
                    self._mark_proposed(order, change_id)
                    return Change(change_id, order.entries)
                continue
            try:
                taking = check_changes(order.entries, view)
                self._check_size(taking)
            except MeshError as fault:
                # Guards against a state that was the latest when voters promised, before this order came.
                if order.submitted_after < self._proposals:
                    self._end(order, Refused(fault))
                continue
            if not taking:
                self._end(order, Confirmed())
            elif self._is_independent(order, taking, draft) and self._fits_batch(taking, draft):
                draft.add(taking)
                self._mark_proposed(order, change_id)
        return Change(change_id, list(draft.entries.values())) if draft.entries else None

    def _check_size(self, taking: list[Entry]) -> None:
        """Guards all disks: what one of them can't take would fail there each time that it is proposed."""
        register = self._replica.register
        added = 0
        for entry in taking:
            standing = register.items.get((entry.kind, entry.name))
            added += item_bytes(entry) - (0 if standing is None else item_bytes(standing.entry))
        most = max_configuration_bytes(register.size_bytes, self._disk_sizes())
        if added > 0 and most and register.size_bytes + added > most:
            size = register.size_bytes + added
            raise MeshError(ErrorKind.TOO_LARGE, f"all items would have {size} bytes, the smallest disk takes {most}")

    @staticmethod
    def _fits_batch(taking: list[Entry], draft: Draft) -> bool:
        """Whether a change that holds some entries may hold these too; a single order always goes."""
        if not draft.entries:
            return True
        size = sum(len(entry.value or b"") for entry in (*draft.entries.values(), *taking))
        return len(draft.entries) < MAX_BATCHED_ITEMS and size <= MAX_BATCHED_BYTES

    @staticmethod
    def _is_independent(order: ChangeRequest, taking: list[Entry], draft: Draft) -> bool:
        """Whether an order takes the same effect beside those of the same change; else it waits for the next one."""
        if any((entry.kind, entry.name) in draft.entries for entry in taking):
            return False
        try:
            return check_changes(order.entries, draft) == taking
        except MeshError:
            return False

    @staticmethod
    def _mark_proposed(order: ChangeRequest, change_id: str) -> None:
        order.was_proposed = True
        order.change_id = change_id

    # ---- the second round ------------------------------------------------------------------

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
        for order in [o for o in self._requests if o.change_id == proposal.change.id]:
            self._end(order, Confirmed())
        effects.add(self._start(now))
        return effects

    # ---- how orders end --------------------------------------------------------------------

    def _end(self, order: ChangeRequest, outcome: Confirmed | Refused | Unclear | NoQuorum) -> None:
        self._requests.remove(order)
        if isinstance(outcome, Confirmed):
            stands = all(self._is_in_force(entry) for entry in order.entries)
            check_invariant(stands, Invariant.CONFIRMED_STANDS, change=order.change_id, index=self._replica.index)
        order.on_outcome(outcome)

    def _is_in_force(self, entry: Entry) -> bool:
        """Whether an entry is decided, or a later one of its name is; a withdrawal may be forgotten by now."""
        item = self._replica.register.items.get((entry.kind, entry.name))
        if item is None:
            return entry.value is None
        return item.entry.edition > entry.edition or item.entry == entry

    def _expire(self, now: float) -> None:
        for order in [order for order in self._requests if order.deadline <= now]:
            self._end(order, Unclear() if order.was_proposed else NoQuorum())

    def _round_timeout(self) -> float:
        """Seconds for one round: longer after each proposal that came to nothing, since voters' disks may be slow."""
        return min(MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_SECONDS * 1.5**self._failures)

    def _back_off(self, now: float) -> None:
        """Guards against proposers that keep each other from deciding anything."""
        pause = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2.0**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._not_before = now + pause * (0.5 + self._rng.random())
