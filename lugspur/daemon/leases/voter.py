"""One elector's promises, without I/O.

A promise names who, which epoch, and counts by this elector's clock from when it is given. A duty is promised to
another only once that has run out or has been given back, and only under a greater epoch. Two majorities share an
elector, so at most one process has a majority's promises at a time, and no epoch is used by two.

What has to survive a restart is written down before it is told: the highest epoch and whom it was promised to. What
does not survive is how long: so for a lease's time after its start an elector promises a duty to nobody, but to the
very process that its memory names. One without a memory cannot know even that; it begins above the epochs that the
wall clock stands for, which is as good as that clock is.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease, RoleAvailable

MAX_ROLES = 512  # remembered; a further one is not promised
FRESH_PROMISE_RETRY_FRACTION = (
    0.1  # of a lease: after which to ask again where a promise is fresh; a round is over by then
)
SAVE_RETRY_DELAY_SECONDS = (
    0.02  # seconds after which to ask again where another's promise is being written down: a disk takes some ms
)
MAX_WAITING_CANDIDATES = (
    8  # of those who were turned away, who are told when a duty is given back: enough for one to take it
)


@dataclass(slots=True, frozen=True)
class CandidateId:
    """A process: its name in the fleet, and its life under that name."""

    name: str
    instance_id: int


NO_CANDIDATE = CandidateId("", 0)


@dataclass(slots=True, frozen=True)
class Promise:
    """What has to be remembered of a duty."""

    role: str
    epoch: int
    name: str
    instance_id: int


@dataclass(slots=True)
class _RoleState:
    epoch: int  # the highest that was promised, or was known to be used
    grantee: CandidateId | None = None  # whom it was promised to
    promised_until: float = float("-inf")  # by this elector's clock
    round_number: int = 0
    is_released: bool = False  # it was given back
    is_renewed: bool = False  # whoever it was promised to has asked again: it has come into office
    waiting: dict[str, None] = field(default_factory=dict)  # who was turned away, the latest last
    pending: tuple[CandidateId, RequestLease] | None = None  # what is being written down, and then granted


class LeaseVoter:
    """Promises duties for `lease` seconds each, the longest that it ever promised.

    `memory`: what was written down; None: this one has no memory.

    `floor`: the epoch that one without a memory, or with an empty one, begins above.
    """

    def __init__(
        self, lease_seconds: float, now: float, saved_promises: Iterable[Promise] | None, epoch_floor: int
    ) -> None:
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
        """What is to be told, and to whom by name."""
        out, self._outbox = self._outbox, []
        return out

    def promises(self) -> list[Promise]:
        """All that has to be remembered, with what is `unwritten`: its writer clears that first."""
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
        """Its highest epoch, whom it is promised to now, and for how long yet."""
        state = self._roles.get(role)
        if state is None or state.grantee is None or now >= state.promised_until:
            return (0 if state is None else state.epoch), "", 0.0
        return state.epoch, state.grantee.name, state.promised_until - now

    # ---- what others say ---------------------------------------------------------------------------

    def receive(self, now: float, candidate: CandidateId, message: Message) -> None:
        """A message of a process that may want a duty."""
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

    def confirm_saved(self, now: float, roles: Iterable[str]) -> None:
        """What was asked about these duties will survive a restart now."""
        for name in roles:
            state = self._roles[name]
            pending, state.pending = state.pending, None
            if pending is not None:
                self._grant(now, state, *pending)

    def report_save_failure(self, roles: Iterable[str]) -> None:
        """It could not be written down: nothing is promised. The epochs are used up: they may be on the disk or not."""
        for name in roles:
            state = self._roles[name]
            pending, state.pending = state.pending, None
            if pending is not None:
                # The former promise still binds, but nobody renews it: the disk may name the one or the other.
                state.epoch, state.grantee = pending[1].epoch, NO_CANDIDATE

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
