"""Safety guards of the control plane, each with a faulty replacement and the models or histories that detect it.

Three guards are missing from the list. Unit tests cover two of them, because no history produces the situation for
which they exist: completeness ends if epochs are missing (`Replica._install_membership`), a step leaves a complete
majority (`ClusterView.may_lose_vote`). No history or model needs the third: no reservations are granted while a change
of the voters is accepted (`Replica.grants_reservations`). A voter sends its reservations to a new voter only after it
has learned the new epoch, and grants nothing in the old epoch from then on. Therefore a reservation that is acquired in
the old epoch was granted by some voter that every new voter reads from.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from lugspur.emulator.control import histories, register_world, reservation_world
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.explorer import random_walks
from lugspur.emulator.control.settings import SETTINGS
from lugspur.mesh.control import catch_up_quorum, read_index, reservation_catch_up
from lugspur.mesh.control.change_requests import NoQuorum
from lugspur.mesh.control.effects import Effects, Peer, Rows
from lugspur.mesh.control.freshness import DelayEstimate, Freshness
from lugspur.mesh.control.messages import (
    Accept,
    Delta,
    Learn,
    Membership,
    Prepare,
    ReadIndexReply,
    StoredReservation,
)
from lugspur.mesh.control.proposer import Phase, Proposal, Proposer
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.register import ApplyResult, Register
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.reservation_table import ReservationTable

# Number of random walks through each model per seed.
WALKS_PER_SEED = 250
# Number of seeds after which a guard counts as not detected by walks.
MAX_SEEDS = 60
# Number of histories after which a guard counts as not detected by histories.
MAX_HISTORIES = 160


# ---- faulty replacements -----------------------------------------------------------------------

_prepare, _accept, _learn = Register.prepare, Register.accept, Register.learn
_reader_receive, _catch_up_tick, _install_membership, _merge = (
    read_index.Reader.receive,
    reservation_catch_up.ReservationCatchUp.tick,
    Replica._install_membership,
    ReservationTable.merge,
)
_proposer_init, _freshness_receive = Proposer.__init__, Freshness.receive


def forget_promise(self: Register, peer: Peer, message: Prepare, voter: bool) -> Effects:
    before = self.promised
    effects = _prepare(self, peer, message, voter)
    self.promised = before
    return effects


def accept_below_promise(self: Register, peer: Peer, message: Accept, voter: bool) -> Effects:
    self.promised = min(self.promised, message.proposal)
    return _accept(self, peer, message, voter)


def accept_in_memory(self: Register, peer: Peer, message: Accept, voter: bool) -> Effects:
    effects = _accept(self, peer, message, voter)
    effects.write = []
    return effects


def accept_before_sync(self: Register, peer: Peer, message: Accept, voter: bool) -> Effects:
    effects = _accept(self, peer, message, voter)
    return Effects(send=effects.send + effects.after_sync, write=effects.write)


def promise_in_memory(self: Register, peer: Peer, message: Prepare, voter: bool) -> Effects:
    effects = _prepare(self, peer, message, voter)
    effects.write = []
    return effects


def adopt_nothing(proposal: Proposal) -> None:
    return None


def adopt_first(proposal: Proposal) -> Any:
    return next((promise.change for promise in proposal.promises.values() if promise.accepted is not None), None)


def majority_of_one_in(phase: Phase) -> property:
    return property(lambda proposal: 1 if proposal.phase is phase else majority(len(proposal.voters)))


def expire_proposed(self: Proposer, now: float) -> None:
    for request in [request for request in self._requests if request.deadline <= now]:
        self._end(request, NoQuorum())


def omit_incarnation(self: Proposer, replica: Replica, identity: str, rng: Random, *args: Any) -> None:
    _proposer_init(self, replica, identity.split("/")[0], rng, *args)


def reject_immediately(self: Proposer) -> Any:
    for request in self._requests:
        request.proposals_at_submission = -1
    return _evaluate_requests(self)


_evaluate_requests = Proposer._evaluate_requests


def ignore_pending(self: read_index.Reader, now: float, ip: str, message: ReadIndexReply) -> Any:
    return _reader_receive(
        self, now, ip, ReadIndexReply(message.number, message.is_voter, message.decided_index, False)
    )


def ignore_index(self: read_index.Reader, now: float, ip: str, message: ReadIndexReply) -> Any:
    replica_index = self._replica.index
    return _reader_receive(
        self,
        now,
        ip,
        ReadIndexReply(message.number, message.is_voter, min(replica_index, message.decided_index), False),
    )


def learn_with_gap(self: Register, pages: list[Learn]) -> ApplyResult:
    first = pages[0]
    if first.after_index > self.index:
        pages = [Learn(self.index, p.index, p.pruned_index, p.page, p.items, p.is_last) for p in pages]
    return _learn(self, pages)


def vote_by_address(self: Replica, membership: Membership) -> bool:
    return any(voter.ip == self.voter.ip for voter in membership.voters)


def become_complete_immediately(self: Replica, now: float, membership: Membership) -> None:
    _install_membership(self, now, membership)
    if self.is_voter:
        self.complete_epoch = membership.epoch


def fetch_from_current_voters(self: reservation_catch_up.ReservationCatchUp, now: float) -> Effects:
    effects = _catch_up_tick(self, now)
    membership = self._replica.membership
    current_voters = {voter.ip for voter in membership.voters} if membership is not None else set()
    return Effects(send=[(ip, message) for ip, message in effects.send if ip in current_voters])


def any_complete_voter_suffices(self: catch_up_quorum.CatchUpQuorum, replies: Mapping[str, bool]) -> bool:
    previous_voters = self._past_voters[0]
    return len(replies) >= majority(len(previous_voters)) and any(replies.values())


def let_last_owner_win(self: ReservationTable, now: float, reservations: Any) -> Rows:
    rows: Rows = []
    for key, reservation in reservations:
        if key in self._reservations and reservation.response is None:
            self._drop(key)
        rows += _merge(
            self, now, [(key, StoredReservation(reservation.owner, reservation.seconds_left, reservation.response))]
        )
    return rows


def ignore_delay(self: DelayEstimate, now: float, sent: float, echoed_at: float) -> float:
    return now


def ignore_pending_in_delta(self: Freshness, now: float, ip: str, delta: Delta) -> float:
    delta.has_pending_change = False
    return _freshness_receive(self, now, ip, delta)


# ---- detection -----------------------------------------------------------------------------------


def find_by_walks(make: Callable[[Any], Any], limits: list[Any], names: tuple[str, ...]) -> str:
    """Take random walks through the models of these names; return the first violation, or an empty text."""
    for seed in range(MAX_SEEDS):
        for world in [world for world in limits if world.name in names]:
            try:
                random_walks(partial(make, world), WALKS_PER_SEED, Random(seed))
            except Violation as violation:
                return f"{world.name}, walks of seed {seed}: {violation}"
    return ""


def by_register_walks(*names: str) -> Callable[[], str]:
    """Return a detector that walks through models of the register."""
    return lambda: find_by_walks(register_world.RegisterWorld, register_world.WORLDS, names)


def by_reservation_walks(*names: str) -> Callable[[], str]:
    """Return a detector that walks through models of reservations."""
    return lambda: find_by_walks(reservation_world.ReservationWorld, reservation_world.WORLDS, names)


def by_histories(first: int = 0, nodes: int = 0) -> Callable[[], str]:
    """Return a detector that plays random histories; `nodes`, unless 0, restricts them to that number of nodes."""

    def detect() -> str:
        settings = [setting for setting in SETTINGS if nodes in (0, setting.nodes)]
        for seed in range(first, first + MAX_HISTORIES):
            setting = settings[seed % len(settings)]
            try:
                histories.play(seed, setting)
            except Violation as violation:
                return f"history {seed} of {setting.nodes} control nodes: {violation}"
        return ""

    return detect


class GuardNotFoundError(LookupError):
    """A guard names an attribute that its owner doesn't define, as after a rename of one of them."""

    def __init__(self, owner: Any, attribute: str) -> None:
        """Store the class or module that was searched, and the name that was not found."""
        super().__init__(f"{owner.__name__} has no attribute {attribute!r} that could be replaced")
        self.owner, self.attribute = owner, attribute


def own_attribute(owner: Any, attribute: str) -> Any:
    """Return what a class or module itself defines under a name; raises GuardNotFoundError.

    Without this check a renamed guard would be replaced in name only: setting an attribute that nothing reads has no
    effect, so that the run would say nothing about the guard.
    """
    try:
        return vars(owner)[attribute]
    except KeyError:
        raise GuardNotFoundError(owner, attribute) from None


@dataclass(slots=True, frozen=True)
class Guard:
    """One guard: the attribute that implements it, a faulty replacement, and the detector of the resulting fault."""

    name: str
    owner: Any
    attribute: str
    replacement: Any
    detect: Callable[[], str]


TWO_CONTENTS = "two contents under one edition"
SENT_AGAIN = "two contents, one sent again elsewhere"
LOST_POWER = "two contents, power is lost"
LOST_POWER_AFTER_VOTE = "two contents, a voter's power is lost behind its vote"
LOST_POWER_SENT_AGAIN = "two contents, power is lost, sent again"
LOST_POWER_ONE_NODE = "two contents of one node that has lost its power"
OLD_INCARNATION = "two contents, an older life's comes late"
LOST_DISK = "a disk is lost that has decided"
LOST_CONNECTION = "two contents, a connection breaks"
CALLERS_LEAVE = "two contents, callers that leave"
DEPENDENT_ROUTE = "one that rests on another's"
READ_LOST_CONNECTION = "an order, a read, a connection that breaks"
TWO_READ = "two contents and a read"
VOTER_REPLACED = "two claim, a voter is exchanged"
TWO_VOTERS_REPLACED = "one has run, two voters are exchanged, one is killed"
VOTER_REPLACED_DISK_LOST = "two claim, another is lost with its disk after the change"

GUARDS = [
    Guard("a promise is remembered", Register, "prepare", forget_promise, by_register_walks(TWO_CONTENTS, SENT_AGAIN)),
    Guard(
        "nothing is accepted below a promise",
        Register,
        "accept",
        accept_below_promise,
        by_register_walks(TWO_CONTENTS, SENT_AGAIN),
    ),
    Guard(
        "a vote is on disk",
        Register,
        "accept",
        accept_in_memory,
        by_register_walks(LOST_POWER_SENT_AGAIN, LOST_POWER_ONE_NODE),
    ),
    Guard(
        "a promise is on disk",
        Register,
        "prepare",
        promise_in_memory,
        by_register_walks(LOST_POWER_SENT_AGAIN, LOST_POWER_ONE_NODE),
    ),
    Guard(
        "a vote is told once it is on disk",
        Register,
        "accept",
        accept_before_sync,
        by_register_walks(LOST_POWER, LOST_POWER_AFTER_VOTE),
    ),
    Guard(
        "what was accepted is proposed again",
        Proposer,
        "_highest_accepted",
        staticmethod(adopt_nothing),
        by_register_walks(TWO_CONTENTS, SENT_AGAIN),
    ),
    Guard(
        "the highest that was accepted is proposed again",
        Proposer,
        "_highest_accepted",
        staticmethod(adopt_first),
        by_register_walks(CALLERS_LEAVE, "three contents"),
    ),
    Guard(
        "a majority promises before orders are judged",
        Proposal,
        "majority",
        majority_of_one_in(Phase.PREPARE),
        by_register_walks(TWO_CONTENTS, SENT_AGAIN),
    ),
    Guard(
        "a majority accepts before an order is confirmed",
        Proposal,
        "majority",
        majority_of_one_in(Phase.ACCEPT),
        by_register_walks(TWO_CONTENTS, SENT_AGAIN),
    ),
    Guard(
        "an order that was offered is not given up",
        Proposer,
        "_expire",
        expire_proposed,
        by_register_walks(CALLERS_LEAVE),
    ),
    Guard(
        "an order is refused by a later proposal alone",
        Proposer,
        "_evaluate_requests",
        reject_immediately,
        by_register_walks(DEPENDENT_ROUTE),
    ),
    Guard(
        "ballots name the process's life", Proposer, "__init__", omit_incarnation, by_register_walks(OLD_INCARNATION)
    ),
    Guard(
        "a read asks a majority",
        read_index,
        "majority",
        lambda count: 1,
        by_register_walks(READ_LOST_CONNECTION, TWO_READ),
    ),
    Guard(
        "a read waits for what is pending",
        read_index.Reader,
        "receive",
        ignore_pending,
        by_register_walks(READ_LOST_CONNECTION, TWO_READ),
    ),
    Guard(
        "a read learns of later changes first",
        read_index.Reader,
        "receive",
        ignore_index,
        by_register_walks(READ_LOST_CONNECTION, TWO_READ),
    ),
    Guard("pages from the middle are not taken", Register, "learn", learn_with_gap, by_register_walks(LOST_CONNECTION)),
    Guard(
        "a newcomer reads a majority's claims",
        catch_up_quorum,
        "majority",
        lambda count: 1,
        by_reservation_walks(VOTER_REPLACED),
    ),
    Guard(
        "a newcomer reads a complete majority's claims",
        catch_up_quorum.CatchUpQuorum,
        "is_reached",
        any_complete_voter_suffices,
        by_reservation_walks(TWO_VOTERS_REPLACED),
    ),
    Guard(
        "a newcomer asks those who left",
        reservation_catch_up.ReservationCatchUp,
        "tick",
        fetch_from_current_voters,
        by_reservation_walks(VOTER_REPLACED_DISK_LOST),
    ),
    Guard(
        "a newcomer reads claims before it grants",
        Replica,
        "_install_membership",
        become_complete_immediately,
        by_reservation_walks(VOTER_REPLACED),
    ),
    Guard(
        "a key with two holders is nobody's",
        ReservationTable,
        "merge",
        let_last_owner_win,
        by_reservation_walks(VOTER_REPLACED),
    ),
    Guard("a vote goes with its disk", Replica, "_votes_in", vote_by_address, by_register_walks(LOST_DISK)),
    Guard("held-up news is old news", DelayEstimate, "sent_at", ignore_delay, by_histories()),
    Guard("a pending change is no word", Freshness, "receive", ignore_pending_in_delta, by_histories()),
]


@contextmanager
def disabled(guard: Guard) -> Iterator[None]:
    """Put the faulty replacement in place of a guard for the time of the block."""
    original = own_attribute(guard.owner, guard.attribute)
    setattr(guard.owner, guard.attribute, guard.replacement)
    try:
        yield
    finally:
        setattr(guard.owner, guard.attribute, original)


def detect_without(guard: Guard) -> str:
    """Run the detector without the guard; return the violation, or an empty text if there is none."""
    with disabled(guard):
        return guard.detect()
