"""The promises of one lease voter, without I/O.

A promise names a candidate and an epoch, and lasts for the time of the lease on the voter's own clock. The voter
promises a role to another candidate only after the former promise has expired or was released, and only under a higher
epoch. Any two majorities share a voter, so at most one candidate has the promises of a majority at a time, and no epoch
is used by two candidates.

The highest epoch and the candidate that it was promised to have to survive a restart, so they are saved before the
promise is sent. The time until which the promise lasts is not saved. For the time of one lease after its start, a voter
therefore promises a role only to the candidate that its saved promise names. A voter without saved promises does not
know that candidate either; it starts above an epoch that is taken from the wall clock, which is as reliable as that
clock.

This is PaxosLease (Trencseni, Gazso and Reinhardt, 2012) without its prepare phase, and with epochs that are kept on
disk so that they can serve as fencing tokens, like the sequencers of Chubby (Burrows, 2006).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease, RoleAvailable

#: The maximum number of roles for which a voter keeps promises; it denies requests for further roles.
MAX_ROLES = 512
#: When a denied candidate may ask again while a promise to another one has not been renewed yet, as a fraction of a
#: lease: by then, the round of that promise is over.
FRESH_PROMISE_RETRY_FRACTION = 0.1
#: When a denied candidate may ask again while a promise to another one is being saved, which takes a disk some
#: milliseconds.
SAVE_RETRY_DELAY_SECONDS = 0.02
#: The maximum number of denied candidates that are notified when a role is released: enough for one to take it over.
MAX_WAITING_CANDIDATES = 8


@dataclass(slots=True, frozen=True)
class CandidateId:
    """One run of a process: its name in the gossip membership, and the number that it drew at random at its start."""

    name: str
    instance_id: int


NO_CANDIDATE = CandidateId("", 0)


@dataclass(slots=True, frozen=True)
class Promise:
    """What a voter has to know about a role after a restart: its highest epoch, and the candidate with that promise.

    The name is empty and the instance id 0 if the epoch is used up without being promised to any candidate.
    """

    role: str
    epoch: int
    name: str
    instance_id: int


class CurrentPromise(NamedTuple):
    """The state of a role's promise at one time; `holder` is empty while the role is promised to no candidate."""

    highest_epoch: int
    holder: str
    seconds_left: float


@dataclass(slots=True)
class _RoleState:
    epoch: int  # the highest epoch that was promised or is known to be used
    grantee: CandidateId | None = None  # the candidate to which the role was promised
    promised_until: float = float("-inf")  # in seconds of this voter's clock
    round_number: int = 0  # the grantee's round in which the role was last promised
    is_released: bool = False
    is_renewed: bool = False  # The grantee requested it again in a later round, so it had a majority and leads.
    waiting_names: dict[str, None] = field(default_factory=dict)  # names of denied candidates, the most recent one last
    pending_request: tuple[CandidateId, RequestLease] | None = None  # the request to grant once it is saved

    def is_promised_to(self, candidate: CandidateId, epoch: int) -> bool:
        """Return whether the latest promise is this one and was not released; it may have expired."""
        return self.grantee == candidate and self.epoch == epoch and not self.is_released

    def holder_at(self, now: float) -> str:
        """Return the name of the candidate to which the role is promised now; empty if there is none."""
        if self.grantee is None or self.is_released or now >= self.promised_until:
            return ""
        return self.grantee.name


class LeaseVoter:
    """Promises each role to one candidate at a time. Times are in seconds of the voter's own clock.

    Inputs are `receive`, `confirm_saved` and `report_save_failure`; outputs are `take_messages` and `unsaved_promises`,
    which the caller has to save before it calls `confirm_saved`.
    """

    def __init__(
        self, lease_seconds: float, now: float, saved_promises: Iterable[Promise] | None, epoch_floor: int
    ) -> None:
        """Start a voter.

        `lease_seconds` is the longest time for which it has ever promised a role. `saved_promises` are those that it
        saved before its start, or None if it saves none. For a role without a saved promise, it starts above
        `epoch_floor`.
        """
        self.lease_seconds = lease_seconds
        self.silent_until = now + lease_seconds
        self.is_durable = saved_promises is not None
        self._epoch_floor = epoch_floor
        self._roles = {
            p.role: _RoleState(p.epoch, CandidateId(p.name, p.instance_id) if p.name else None)
            for p in saved_promises or ()
        }
        self.unsaved_promises: dict[str, Promise] = {}
        self._outbox: list[tuple[str, Message]] = []

    def take_messages(self) -> list[tuple[str, Message]]:
        """Remove and return the messages to be sent, each with the name of its recipient."""
        messages, self._outbox = self._outbox, []
        return messages

    def promises(self) -> list[Promise]:
        """Return all promises to save, including those in `unsaved_promises`, which the caller clears afterwards."""
        promises = {}
        for role, state in self._roles.items():
            grantee = state.grantee or NO_CANDIDATE
            promises[role] = Promise(role, state.epoch, grantee.name, grantee.instance_id)
        return list((promises | self.unsaved_promises).values())

    def current_promise(self, role: str, now: float) -> CurrentPromise:
        """Return the highest epoch of a role, the candidate to which it is promised, and for how long."""
        state = self._roles.get(role)
        if state is None:
            return CurrentPromise(0, "", 0.0)
        if state.grantee is None or now >= state.promised_until:
            return CurrentPromise(state.epoch, "", 0.0)
        return CurrentPromise(state.epoch, state.grantee.name, state.promised_until - now)

    # ---- messages of candidates --------------------------------------------------------------------

    def receive(self, now: float, candidate: CandidateId, message: Message) -> None:
        """Handle a message of a candidate; messages that are not meant for voters are ignored."""
        if isinstance(message, RequestLease):
            self._handle_request(now, candidate, message)
        elif isinstance(message, ReleaseLease):
            self._handle_release(now, candidate, message)

    def _handle_request(self, now: float, candidate: CandidateId, request: RequestLease) -> None:
        state = self._roles.get(request.role)
        if request.lease_seconds > self.lease_seconds:
            # Protects a holder that would rely on a longer time than that of this voter's silence after a restart.
            epoch = 0 if state is None else state.epoch
            self._deny(candidate, request, epoch, "", self.lease_seconds)
            return
        if state is None:
            if len(self._roles) >= MAX_ROLES:
                self._deny(candidate, request, 0, "", self.lease_seconds)
                return
            state = self._roles[request.role] = _RoleState(self._epoch_floor)
        if state.pending_request is not None:
            self._handle_request_while_saving(now, state, state.pending_request[0], candidate, request)
        elif state.is_promised_to(candidate, request.epoch):
            self._renew(now, state, candidate, request)
        else:
            self._promise_if_available(now, state, candidate, request)

    def _handle_request_while_saving(
        self, now: float, state: _RoleState, pending_id: CandidateId, candidate: CandidateId, request: RequestLease
    ) -> None:
        # The pending request is granted once it is saved; another candidate may ask again soon after that.
        if candidate != pending_id:
            self._deny_and_queue(now, state, candidate, request, SAVE_RETRY_DELAY_SECONDS)

    def _renew(self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease) -> None:
        # The role has been promised to no other candidate since, so the promise is renewed even if it has expired.
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
            # The former promise remains unchanged until this one has been saved.
            state.pending_request = candidate, request
            self.unsaved_promises[request.role] = Promise(
                request.role, request.epoch, candidate.name, candidate.instance_id
            )
        else:
            self._grant(now, state, candidate, request)

    def _seconds_until_available(self, now: float, state: _RoleState, candidate: CandidateId) -> float:
        wait = max(0.0, self.silent_until - now)
        if state.grantee is not None and state.grantee != candidate and not state.is_released:
            wait = max(wait, state.promised_until - now)
        if wait > 0.0 and not state.is_renewed and now >= self.silent_until:
            # This is only a hint: a grantee that gets no majority releases the promise.
            wait = min(wait, FRESH_PROMISE_RETRY_FRACTION * self.lease_seconds)
        return wait

    def _handle_release(self, now: float, candidate: CandidateId, release: ReleaseLease) -> None:
        state = self._roles.get(release.role)
        if state is None or not state.is_promised_to(candidate, release.epoch):
            return
        if release.round_number < state.round_number:  # Late: the promise was renewed after it was sent.
            return
        state.is_released = True
        waiting_names, state.waiting_names = state.waiting_names, {}
        for name in waiting_names:
            if name != candidate.name:
                self._outbox.append((name, RoleAvailable(release.role, release.epoch)))

    # ---- saving ------------------------------------------------------------------------------------

    def confirm_saved(self, now: float, roles: Iterable[str]) -> None:
        """Grant the pending requests for these roles, since their promises now survive a restart."""
        for role in roles:
            state = self._roles[role]
            pending_request, state.pending_request = state.pending_request, None
            if pending_request is not None:
                self._grant(now, state, *pending_request)

    def report_save_failure(self, roles: Iterable[str]) -> None:
        """Drop the pending requests for these roles. Their epochs are used up, since they may have reached the disk."""
        for role in roles:
            state = self._roles[role]
            pending_request, state.pending_request = state.pending_request, None
            if pending_request is not None:
                # The former promise still binds this voter but is not renewed: the disk may name either candidate.
                state.epoch = pending_request[1].epoch
                state.grantee = NO_CANDIDATE

    # ---- replies -----------------------------------------------------------------------------------

    def _grant(self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease) -> None:
        if request.epoch != state.epoch or candidate != state.grantee:
            state.is_renewed = False
        state.epoch = request.epoch
        state.grantee = candidate
        state.round_number = request.round_number
        state.is_released = False
        state.promised_until = now + self.lease_seconds
        state.waiting_names.pop(candidate.name, None)
        self._outbox.append((candidate.name, GrantLease(request.role, request.epoch, request.round_number)))

    def _deny_and_queue(
        self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease, wait: float
    ) -> None:
        state.waiting_names.pop(candidate.name, None)
        state.waiting_names[candidate.name] = None
        if len(state.waiting_names) > MAX_WAITING_CANDIDATES:
            del state.waiting_names[next(iter(state.waiting_names))]
        self._deny(candidate, request, state.epoch, state.holder_at(now), wait)

    def _deny(self, candidate: CandidateId, request: RequestLease, epoch: int, holder: str, wait: float) -> None:
        self._outbox.append((candidate.name, DenyLease(request.role, epoch, request.round_number, holder, wait)))
