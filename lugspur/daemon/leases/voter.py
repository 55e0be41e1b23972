"""The promises of one lease voter, without I/O.

A promise names a candidate and an epoch, and lasts for the time of the lease by the voter's own clock. The voter
promises a role to another candidate only after the former promise has expired or was released, and only under a higher
epoch. Any two majorities share a voter, so at most one candidate has the promises of a majority at a time, and no epoch
is used by two candidates.

The highest epoch and the candidate that it was promised to have to survive a restart, so they are saved before the
promise is sent. The time for which the promise lasts is not saved. For the time of one lease after its start a voter
therefore promises a role to nobody but the candidate that its saved promise names. A voter without saved promises does
not know even that candidate; it starts above an epoch that is taken from the wall clock, which is as reliable as that
clock.

This is PaxosLease (Trencseni, Gazso and Reinhardt, 2012) without its prepare phase, and with epochs that are kept on
disk so that they can serve as fencing tokens, like the sequencers of Chubby (Burrows, 2006).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease, RoleAvailable

#: A voter keeps the promises of this many roles and promises no further one.
MAX_ROLES = 512
#: The share of a lease after which a candidate may ask again while a promise is still unconfirmed: its round is over
#: then.
FRESH_PROMISE_RETRY_FRACTION = 0.1
#: When to ask again while another candidate's promise is being saved, which takes a disk some milliseconds.
SAVE_RETRY_DELAY_SECONDS = 0.02
#: How many of the candidates that were denied are notified when a role is released: enough for one to take it over.
MAX_WAITING_CANDIDATES = 8


@dataclass(slots=True, frozen=True)
class CandidateId:
    """One run of a process: its name in the gossip membership, and the number that it drew at its start."""

    name: str
    instance_id: int


NO_CANDIDATE = CandidateId("", 0)


@dataclass(slots=True, frozen=True)
class Promise:
    """What a voter has to know of a role after a restart: its highest epoch, and the candidate that it was promised to.

    The name is empty and the instance id 0 where the epoch is used up without being promised to anybody.
    """

    role: str
    epoch: int
    name: str
    instance_id: int


class CurrentPromise(NamedTuple):
    """A role as its voter sees it at one moment; the holder is empty while the role is promised to nobody."""

    highest_epoch: int
    holder: str
    seconds_left: float


@dataclass(slots=True)
class _RoleState:
    epoch: int  # the highest epoch that was promised, or that is known to be used
    grantee: CandidateId | None = None  # the candidate that it was promised to
    promised_until: float = float("-inf")  # by this voter's clock
    round_number: int = 0  # the round of the candidate in which it was promised last
    is_released: bool = False
    is_renewed: bool = False  # The grantee has asked again in a later round, so it had a majority and leads.
    waiting: dict[str, None] = field(default_factory=dict)  # names of denied candidates, the latest one last
    pending: tuple[CandidateId, RequestLease] | None = None  # the request that is granted once it has been saved

    def is_promised_to(self, candidate: CandidateId, epoch: int) -> bool:
        """Whether this very promise was given, whether or not it has expired since."""
        return self.grantee == candidate and self.epoch == epoch and not self.is_released

    def holder_at(self, now: float) -> str:
        """Return the name of the candidate that the role is promised to now; empty if there is none."""
        if self.grantee is None or self.is_released or now >= self.promised_until:
            return ""
        return self.grantee.name


class LeaseVoter:
    """Promises each role to one candidate at a time. Times are in seconds of the voter's own clock.

    Inputs are `receive`, `confirm_saved` and `report_save_failure`; outputs are `take_messages`, and in `unsaved` the
    promises that the caller has to save before it calls `confirm_saved`.
    """

    def __init__(
        self, lease_seconds: float, now: float, saved_promises: Iterable[Promise] | None, epoch_floor: int
    ) -> None:
        """Start a voter.

        `lease_seconds` is the longest time for which it has ever promised a role, `saved_promises` what it had saved
        before, or None if it saves nothing. A voter that has no saved promise of a role starts above `epoch_floor`.
        """
        self.lease_seconds = lease_seconds
        self.silent_until = now + lease_seconds
        self.is_durable = saved_promises is not None
        self._epoch_floor = epoch_floor
        self._roles = {
            p.role: _RoleState(p.epoch, CandidateId(p.name, p.instance_id) if p.name else None)
            for p in saved_promises or ()
        }
        self.unsaved: dict[str, Promise] = {}
        self._outbox: list[tuple[str, Message]] = []

    def take_messages(self) -> list[tuple[str, Message]]:
        """Return the messages to be sent, each with the name of its recipient, and forget them."""
        messages, self._outbox = self._outbox, []
        return messages

    def promises(self) -> list[Promise]:
        """Return all promises that have to be saved, with those in `unsaved`, which the caller clears afterwards."""
        promises = {}
        for role, state in self._roles.items():
            grantee = state.grantee or NO_CANDIDATE
            promises[role] = Promise(role, state.epoch, grantee.name, grantee.instance_id)
        return list((promises | self.unsaved).values())

    def current_promise(self, role: str, now: float) -> CurrentPromise:
        """Return the highest epoch of a role, the candidate that it is promised to, and for how long."""
        state = self._roles.get(role)
        if state is None:
            return CurrentPromise(0, "", 0.0)
        if state.grantee is None or now >= state.promised_until:
            return CurrentPromise(state.epoch, "", 0.0)
        return CurrentPromise(state.epoch, state.grantee.name, state.promised_until - now)

    # ---- messages of candidates --------------------------------------------------------------------

    def receive(self, now: float, candidate: CandidateId, message: Message) -> None:
        """Handle a message of a candidate; messages that are not for a voter are ignored."""
        if isinstance(message, RequestLease):
            self._handle_request(now, candidate, message)
        elif isinstance(message, ReleaseLease):
            self._handle_release(now, candidate, message)

    def _handle_request(self, now: float, candidate: CandidateId, request: RequestLease) -> None:
        state = self._roles.get(request.role)
        if request.lease_seconds > self.lease_seconds:
            # Guards a holder that relies on a longer time than this voter is silent for after a restart.
            epoch = 0 if state is None else state.epoch
            self._deny(candidate, request, epoch, "", self.lease_seconds)
            return
        if state is None:
            if len(self._roles) >= MAX_ROLES:
                self._deny(candidate, request, 0, "", self.lease_seconds)
                return
            state = self._roles[request.role] = _RoleState(self._epoch_floor)
        if state.pending is not None:
            self._handle_request_while_saving(now, state, state.pending[0], candidate, request)
        elif state.is_promised_to(candidate, request.epoch):
            self._renew(now, state, candidate, request)
        else:
            self._promise_if_available(now, state, candidate, request)

    def _handle_request_while_saving(
        self, now: float, state: _RoleState, first: CandidateId, candidate: CandidateId, request: RequestLease
    ) -> None:
        # The first request is answered once it is saved; another candidate asks again soon after that.
        if candidate != first:
            self._deny_and_queue(now, state, candidate, request, SAVE_RETRY_DELAY_SECONDS)

    def _renew(self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease) -> None:
        # The role was promised to nobody else since, so the promise may be given anew even if it has expired.
        if request.round_number < state.round_number:
            return
        if request.round_number > state.round_number:
            state.is_renewed = True
        self._grant(now, state, candidate, request)

    def _promise_if_available(
        self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease
    ) -> None:
        wait = self._seconds_until_available(now, state, candidate)
        if wait > 0.0:
            self._deny_and_queue(now, state, candidate, request, wait)
        elif request.epoch <= state.epoch:
            self._deny(candidate, request, state.epoch, "", 0.0)
        elif self.is_durable:
            # The former promise stands as it is until this one has been saved.
            state.pending = candidate, request
            self.unsaved[request.role] = Promise(request.role, request.epoch, candidate.name, candidate.instance_id)
        else:
            self._grant(now, state, candidate, request)

    def _seconds_until_available(self, now: float, state: _RoleState, candidate: CandidateId) -> float:
        wait = max(0.0, self.silent_until - now)
        if state.grantee is not None and state.grantee != candidate and not state.is_released:
            wait = max(wait, state.promised_until - now)
        if wait > 0.0 and not state.is_renewed and now >= self.silent_until:
            # Only a hint: the grantee may not get a majority, and releases the promise then.
            wait = min(wait, FRESH_PROMISE_RETRY_FRACTION * self.lease_seconds)
        return wait

    def _handle_release(self, now: float, candidate: CandidateId, release: ReleaseLease) -> None:
        state = self._roles.get(release.role)
        if state is None or not state.is_promised_to(candidate, release.epoch):
            return
        if release.round_number < state.round_number:  # A late message: the promise was renewed after it was sent.
            return
        state.is_released = True
        waiting, state.waiting = state.waiting, {}
        for name in waiting:
            if name != candidate.name:
                self._outbox.append((name, RoleAvailable(release.role, release.epoch)))

    # ---- saving ------------------------------------------------------------------------------------

    def confirm_saved(self, now: float, roles: Iterable[str]) -> None:
        """Grant the pending requests of these roles, whose promises survive a restart from now on."""
        for role in roles:
            state = self._roles[role]
            pending, state.pending = state.pending, None
            if pending is not None:
                self._grant(now, state, *pending)

    def report_save_failure(self, roles: Iterable[str]) -> None:
        """Drop the pending requests of these roles. Their epochs are used up, since they may be on the disk or not."""
        for role in roles:
            state = self._roles[role]
            pending, state.pending = state.pending, None
            if pending is not None:
                # The former promise still binds this voter, but it is not renewed: the disk may name either candidate.
                state.epoch = pending[1].epoch
                state.grantee = NO_CANDIDATE

    # ---- answers -----------------------------------------------------------------------------------

    def _grant(self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease) -> None:
        if request.epoch != state.epoch or candidate != state.grantee:
            state.is_renewed = False
        state.epoch = request.epoch
        state.grantee = candidate
        state.round_number = request.round_number
        state.is_released = False
        state.promised_until = now + self.lease_seconds
        state.waiting.pop(candidate.name, None)
        self._outbox.append((candidate.name, GrantLease(request.role, request.epoch, request.round_number)))

    def _deny_and_queue(
        self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease, wait: float
    ) -> None:
        state.waiting.pop(candidate.name, None)
        state.waiting[candidate.name] = None
        if len(state.waiting) > MAX_WAITING_CANDIDATES:
            del state.waiting[next(iter(state.waiting))]
        self._deny(candidate, request, state.epoch, state.holder_at(now), wait)

    def _deny(self, candidate: CandidateId, request: RequestLease, epoch: int, holder: str, wait: float) -> None:
        self._outbox.append((candidate.name, DenyLease(request.role, epoch, request.round_number, holder, wait)))
