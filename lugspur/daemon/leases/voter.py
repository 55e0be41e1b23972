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
        out, self._outbox = self._outbox, []
        return out

    def promises(self) -> list[Promise]:
        """Return all promises that have to be saved, with those in `unsaved`, which the caller clears afterwards."""
        promises = {
            name: Promise(
                name,
                state.epoch,
                state.grantee.name if state.grantee else "",
                state.grantee.instance_id if state.grantee else 0,
            )
            for name, state in self._roles.items()
        }
        return list((promises | self.unsaved).values())

    def current_promise(self, role: str, now: float) -> tuple[int, str, float]:
        """Return the highest epoch of a role, the candidate that it is promised to, and for how long."""
        state = self._roles.get(role)
        if state is None or state.grantee is None or now >= state.promised_until:
            return (0 if state is None else state.epoch), "", 0.0
        return state.epoch, state.grantee.name, state.promised_until - now

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
            # Guards a holder that counts on more than this one's restarts wait for.
            self._deny(candidate, request, 0 if state is None else state.epoch, "", self.lease_seconds)
            return
        if state is None:
            if len(self._roles) >= MAX_ROLES:
                self._deny(candidate, request, 0, "", self.lease_seconds)
                return
            state = self._roles[request.role] = _RoleState(self._epoch_floor)
        if state.pending is not None:
            if (
                state.pending[0] != candidate
            ):  # what was asked first is being written down; whoever asks now asks again soon
                self._deny_and_queue(now, state, candidate, request, SAVE_RETRY_DELAY_SECONDS)
            return
        if state.grantee == candidate and request.epoch == state.epoch and not state.is_released:
            # Nobody else was promised it since: whether that promise has run out or not, it may be given anew.
            if request.round_number >= state.round_number:
                state.is_renewed = state.is_renewed or request.round_number > state.round_number
                self._grant(now, state, candidate, request)
            return
        left = max(0.0, self.silent_until - now)
        if state.grantee is not None and state.grantee != candidate and not state.is_released:
            left = max(left, state.promised_until - now)
        if left > 0.0:
            if not state.is_renewed and now >= self.silent_until:
                # Only a hint: whoever was promised it may never get a majority, and gives it back then.
                left = min(left, FRESH_PROMISE_RETRY_FRACTION * self.lease_seconds)
            self._deny_and_queue(now, state, candidate, request, left)
        elif request.epoch <= state.epoch:
            self._deny(candidate, request, state.epoch, "", 0.0)
        elif self.is_durable:
            # Until it is written down the former promise stands as it is.
            state.pending = candidate, request
            self.unsaved[request.role] = Promise(request.role, request.epoch, candidate.name, candidate.instance_id)
        else:
            self._grant(now, state, candidate, request)

    def _handle_release(self, now: float, candidate: CandidateId, release: ReleaseLease) -> None:
        state = self._roles.get(release.role)
        if (
            state is None
            or state.grantee != candidate
            or release.epoch != state.epoch
            or release.round_number < state.round_number
            or state.is_released
        ):
            return
        state.is_released = True
        waiting, state.waiting = state.waiting, {}
        for name in waiting:
            if name != candidate.name:
                self._outbox.append((name, RoleAvailable(release.role, release.epoch)))

    # ---- saving ------------------------------------------------------------------------------------

    def confirm_saved(self, now: float, roles: Iterable[str]) -> None:
        """Grant the pending requests of these roles, whose promises survive a restart from now on."""
        for name in roles:
            state = self._roles[name]
            pending, state.pending = state.pending, None
            if pending is not None:
                self._grant(now, state, *pending)

    def report_save_failure(self, roles: Iterable[str]) -> None:
        """Drop the pending requests of these roles. Their epochs are used up, since they may be on the disk or not."""
        for name in roles:
            state = self._roles[name]
            pending, state.pending = state.pending, None
            if pending is not None:
                # The former promise still binds, but nobody renews it: the disk may name the one or the other.
                state.epoch, state.grantee = pending[1].epoch, NO_CANDIDATE

    # ---- answers -----------------------------------------------------------------------------------

    def _grant(self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease) -> None:
        if request.epoch != state.epoch or candidate != state.grantee:
            state.is_renewed = False
        state.epoch, state.grantee, state.round_number, state.is_released = (
            request.epoch,
            candidate,
            request.round_number,
            False,
        )
        state.promised_until = now + self.lease_seconds
        state.waiting.pop(candidate.name, None)
        self._outbox.append((candidate.name, GrantLease(request.role, request.epoch, request.round_number)))

    def _deny_and_queue(
        self, now: float, state: _RoleState, candidate: CandidateId, request: RequestLease, left: float
    ) -> None:
        state.waiting.pop(candidate.name, None)
        state.waiting[candidate.name] = None
        if len(state.waiting) > MAX_WAITING_CANDIDATES:
            del state.waiting[next(iter(state.waiting))]
        held = state.grantee is not None and now < state.promised_until and not state.is_released
        self._deny(candidate, request, state.epoch, state.grantee.name if held and state.grantee else "", left)

    def _deny(self, candidate: CandidateId, request: RequestLease, epoch: int, holder: str, left: float) -> None:
        self._outbox.append((candidate.name, DenyLease(request.role, epoch, request.round_number, holder, left)))
