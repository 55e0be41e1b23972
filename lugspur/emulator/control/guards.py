"""Each guard taken out in turn: what the control side would do without it, and which world or history catches that.

Four are not here. Three are held by unit tests, since no history that was played brings about what they are for: one of
the voters whom a newcomer hears was complete (`ReservationCatchUp.receive`), completeness ends where epochs are missing
(`Replica._install_membership`), a step leaves a complete majority (`ClusterView.may_lose_vote`). Nothing that is played
needs the fourth: no claims are granted while a change of the voters is accepted (`Replica.grants_reservations`). A
voter tells a newcomer its claims only once it goes by the new epoch, and grants nothing in the old one from then on, so
that a claim that is won in the old epoch was granted by one whom every newcomer hears.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from lugspur.emulator.control import claims_world, histories, register_world
from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.explorer import wander
from lugspur.emulator.control.settings import SETTINGS
from lugspur.mesh.control import read_index, reservation_catch_up
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

WALKS = 250  # through each world at once
TURNS = 60
HISTORIES = 160


# ---- the wrong ways ----------------------------------------------------------------------------

_prepare, _accept, _learn = Register.prepare, Register.accept, Register.learn
_reader_heard, _catch_up_look, _adopt, _merge = (
    read_index.Reader.receive,
    reservation_catch_up.ReservationCatchUp.tick,
    Replica._install_membership,
    ReservationTable.merge,
)
_proposer_init, _freshness_heard = Proposer.__init__, Freshness.receive


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


def nothing_accepted(proposal: Proposal) -> None:
    return None


def first_accepted(proposal: Proposal) -> Any:
    return next((promise.change for promise in proposal.promises.values() if promise.accepted is not None), None)


def one_in(phase: Phase) -> property:
    return property(lambda proposal: 1 if proposal.phase is phase else majority(len(proposal.voters)))


def give_up_offered(self: Proposer, now: float) -> None:
    for order in [order for order in self._requests if order.deadline <= now]:
        self._end(order, NoQuorum())


def without_life(self: Proposer, replica: Replica, identity: str, rng: Random, *more: Any) -> None:
    _proposer_init(self, replica, identity.split("/")[0], rng, *more)


def refuse_at_once(self: Proposer) -> Any:
    for order in self._requests:
        order.proposals_at_submission = -1
    return _judge(self)


_judge = Proposer._evaluate_requests


def pass_over_pending(self: read_index.Reader, now: float, ip: str, message: ReadIndexReply) -> Any:
    return _reader_heard(self, now, ip, ReadIndexReply(message.number, message.is_voter, message.decided_index, False))


def pass_over_index(self: read_index.Reader, now: float, ip: str, message: ReadIndexReply) -> Any:
    known = self._replica.index
    return _reader_heard(
        self, now, ip, ReadIndexReply(message.number, message.is_voter, min(known, message.decided_index), False)
    )


def learn_from_the_middle(self: Register, pages: list[Learn]) -> ApplyResult:
    first = pages[0]
    if first.after_index > self.index:
        pages = [Learn(self.index, p.index, p.pruned_index, p.page, p.items, p.is_last) for p in pages]
    return _learn(self, pages)


def vote_by_address(self: Replica, membership: Membership) -> bool:
    return any(voter.ip == self.voter.ip for voter in membership.voters)


def complete_at_once(self: Replica, now: float, membership: Membership) -> None:
    _adopt(self, now, membership)
    if self.is_voter:
        self.complete_epoch = membership.epoch


def ask_present_voters(self: reservation_catch_up.ReservationCatchUp, now: float) -> Effects:
    effects = _catch_up_look(self, now)
    membership = self._replica.membership
    present = {voter.ip for voter in membership.voters} if membership is not None else set()
    return Effects(send=[(ip, message) for ip, message in effects.send if ip in present])


def last_word(self: ReservationTable, now: float, claims: Any) -> Rows:
    rows: Rows = []
    for key, kept in claims:
        if key in self._reservations and kept.response is None:
            self._drop(key)
        rows += _merge(self, now, [(key, StoredReservation(kept.owner, kept.seconds_left, kept.response))])
    return rows


def all_news_is_fresh(self: DelayEstimate, now: float, sent: float) -> float:
    return now


def pending_is_fresh(self: Freshness, now: float, ip: str, delta: Delta) -> float:
    delta.has_pending_change = False
    return _freshness_heard(self, now, ip, delta)


# ---- who catches them ----------------------------------------------------------------------------


def walks(make: Callable[[Any], Any], limits: list[Any], names: tuple[str, ...]) -> str:
    """Drawn walks through small worlds; returns what one of them met, or nothing."""
    for seed in range(TURNS):
        for world in [world for world in limits if world.name in names]:
            try:
                wander(partial(make, world), WALKS, Random(seed))
            except Violation as fault:
                return f"{world.name}, walks of seed {seed}: {fault}"
    return ""


def register(*names: str) -> Callable[[], str]:
    """Walks through worlds of the register."""
    return lambda: walks(register_world.RegisterWorld, register_world.WORLDS, names)


def claims(*names: str) -> Callable[[], str]:
    """Walks through worlds of operation keys."""
    return lambda: walks(claims_world.ClaimsWorld, claims_world.WORLDS, names)


def drawn(first: int = 0, nodes: int = 0) -> Callable[[], str]:
    """Drawn histories; `nodes`: of settings with so many control nodes alone."""

    def catch() -> str:
        settings = [setting for setting in SETTINGS if nodes in (0, setting.nodes)]
        for seed in range(first, first + HISTORIES):
            setting = settings[seed % len(settings)]
            try:
                histories.play(seed, setting)
            except Violation as fault:
                return f"history {seed} of {setting.nodes} control nodes: {fault}"
        return ""

    return catch


class GuardNotFoundError(LookupError):
    """A guard names an attribute that its owner does not define, as after a rename of one of them."""

    def __init__(self, owner: Any, attribute: str) -> None:
        """Keep the class or module that was searched, and the name that was not found."""
        super().__init__(f"{owner.__name__} has no attribute {attribute!r} that could be taken out")
        self.owner, self.attribute = owner, attribute


def own_attribute(owner: Any, attribute: str) -> Any:
    """Return what a class or module itself defines under a name; raises GuardNotFoundError.

    Guards against a guard that is taken out in name only: setting an attribute that nobody reads changes nothing, and
    what is found out then says nothing about the guard.
    """
    try:
        return vars(owner)[attribute]
    except KeyError:
        raise GuardNotFoundError(owner, attribute) from None


@dataclass(slots=True, frozen=True)
class Guard:
    """One guard: where it is, what stands there instead, and who catches that."""

    name: str
    owner: Any
    attribute: str
    wrong: Any
    catch: Callable[[], str]


TWO = "two contents under one edition"
AGAIN = "two contents, one sent again elsewhere"
LOST_POWER = "two contents, power is lost"
BEHIND_VOTE = "two contents, a voter's power is lost behind its vote"
LOST_POWER_AGAIN = "two contents, power is lost, sent again"
ONE_LIFE = "two contents of one node that has lost its power"
OLD_LIFE = "two contents, an older life's comes late"
WIPED = "a disk is lost that has decided"
BROKEN = "two contents, a connection breaks"
LEFT = "two contents, callers that leave"
RESTS = "one that rests on another's"
READ = "an order, a read, a connection that breaks"
TWO_READ = "two contents and a read"
EXCHANGED = "two claim, a voter is exchanged"
LOST_AFTER = "two claim, another is lost with its disk after the change"

GUARDS = [
    Guard("a promise is remembered", Register, "prepare", forget_promise, register(TWO, AGAIN)),
    Guard("nothing is accepted below a promise", Register, "accept", accept_below_promise, register(TWO, AGAIN)),
    Guard("a vote is on disk", Register, "accept", accept_in_memory, register(LOST_POWER_AGAIN, ONE_LIFE)),
    Guard("a promise is on disk", Register, "prepare", promise_in_memory, register(LOST_POWER_AGAIN, ONE_LIFE)),
    Guard(
        "a vote is told once it is on disk", Register, "accept", accept_before_sync, register(LOST_POWER, BEHIND_VOTE)
    ),
    Guard(
        "what was accepted is proposed again",
        Proposer,
        "_highest_accepted",
        staticmethod(nothing_accepted),
        register(TWO, AGAIN),
    ),
    Guard(
        "the highest that was accepted is proposed again",
        Proposer,
        "_highest_accepted",
        staticmethod(first_accepted),
        register(LEFT, "three contents"),
    ),
    Guard(
        "a majority promises before orders are judged",
        Proposal,
        "majority",
        one_in(Phase.PREPARE),
        register(TWO, AGAIN),
    ),
    Guard(
        "a majority accepts before an order is confirmed",
        Proposal,
        "majority",
        one_in(Phase.ACCEPT),
        register(TWO, AGAIN),
    ),
    Guard("an order that was offered is not given up", Proposer, "_expire", give_up_offered, register(LEFT)),
    Guard(
        "an order is refused by a later proposal alone", Proposer, "_evaluate_requests", refuse_at_once, register(RESTS)
    ),
    Guard("ballots name the process's life", Proposer, "__init__", without_life, register(OLD_LIFE)),
    Guard("a read asks a majority", read_index, "majority", lambda count: 1, register(READ, TWO_READ)),
    Guard(
        "a read waits for what is pending", read_index.Reader, "receive", pass_over_pending, register(READ, TWO_READ)
    ),
    Guard(
        "a read learns of later changes first", read_index.Reader, "receive", pass_over_index, register(READ, TWO_READ)
    ),
    Guard("pages from the middle are not taken", Register, "learn", learn_from_the_middle, register(BROKEN)),
    Guard("a newcomer reads a majority's claims", reservation_catch_up, "majority", lambda count: 1, claims(EXCHANGED)),
    Guard(
        "a newcomer asks those who left",
        reservation_catch_up.ReservationCatchUp,
        "tick",
        ask_present_voters,
        claims(LOST_AFTER),
    ),
    Guard(
        "a newcomer reads claims before it grants", Replica, "_install_membership", complete_at_once, claims(EXCHANGED)
    ),
    Guard("a key with two holders is nobody's", ReservationTable, "merge", last_word, claims(EXCHANGED)),
    Guard("a vote goes with its disk", Replica, "_votes_in", vote_by_address, register(WIPED)),
    Guard("held-up news is old news", DelayEstimate, "sent_at", all_news_is_fresh, drawn()),
    Guard("a pending change is no word", Freshness, "receive", pending_is_fresh, drawn()),
]


@contextmanager
def taken_out(guard: Guard) -> Iterator[None]:
    """Run without it for a while."""
    right = own_attribute(guard.owner, guard.attribute)
    setattr(guard.owner, guard.attribute, guard.wrong)
    try:
        yield
    finally:
        setattr(guard.owner, guard.attribute, right)


def caught(guard: Guard) -> str:
    """What shows that the guard is missing, or nothing."""
    with taken_out(guard):
        return guard.catch()
