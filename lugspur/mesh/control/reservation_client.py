"""The proxy's side of idempotency key reservations, without I/O: a majority of the voters decides which owner may run.

A reservation is acquired when a majority of the voters of one membership has it on disk. Each voter grants a key to one
owner at a time, so that two owners can't both acquire it: majorities intersect. An owner that can no longer acquire a
key releases its grants, which is safe since its operation never ran.

`owner` names one attempt to reserve a key, of one incarnation of one process, and is never reused (see
`Proxy.reservation_id`). A reply for an unknown owner, because a former process at this address asked or because the
attempt was too long ago, is therefore ignored: only a reservation that is known to have failed is released. In doubt a
reservation stays until its window ends. That costs a repeated request its response, but never runs an operation twice.

A reservation that was acquired under epoch e excludes other owners under epoch e + 1 and later, even if its operation
starts after e + 1 came into force, or if a reply was late. The reasons:

- Each reply that counts names e, and its voter wrote the reservation to disk before it replied. A voter that has
  adopted e + 1 grants nothing under e. So each voter of the majority M had the reservation on disk while it was still
  in e, whenever its reply arrives here.
- A new voter of e + 1 or later counts only once enough voters of e and of the epochs after it have replied, each after
  writing to disk that it has adopted the new epoch: one of them granted the reservation and sends it, even if no voter
  of M has a vote any more (`catch_up_quorum`).
- A voter that stays keeps its reservations. So only voters of e outside M may lack the reservation and still grant the
  key, under e + 1 and under any later epoch: they are less than a majority.
- A reservation that is still open while the membership changes is requested again: grants of e and e + 1 are never
  added up.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cachetools import LRUCache

from lugspur.mesh.control.messages import BackendResponse, Membership, ReleaseKey, ReserveKey, ReserveKeyReply
from lugspur.mesh.control.quorum import majority

MAX_FAILED_RESERVATIONS = 10_000  # only the latest ones are kept; a late grant of an older one is not released


@dataclass(slots=True)
class Acquired:
    """The operation may run."""


@dataclass(slots=True)
class AlreadyCompleted:
    """The operation has run, with this response."""

    response: BackendResponse


@dataclass(slots=True)
class TakenByAnother:
    """Another owner has the key; `is_running`: that owner's operation may still be running."""

    is_running: bool


@dataclass(slots=True)
class Undecided:
    """Too few voters replied."""


ReservationOutcome = Acquired | AlreadyCompleted | TakenByAnother | Undecided


@dataclass(slots=True, kw_only=True, eq=False)
class _OpenReservation:
    """A reservation that is not decided yet, and the replies of the voters of `membership`."""

    key: bytes
    owner: bytes
    membership: Membership
    request_ends_at: float
    deadline: float
    on_outcome: Callable[[ReservationOutcome], None]
    granted_by: set[str] = field(default_factory=set)
    taken_at: set[str] = field(default_factory=set)  # voters that have granted the key to another owner
    is_running: bool = False  # whether one of these other owners may still be running its operation

    def restart(self, membership: Membership) -> None:
        """Discard all replies, and count those of another membership from now on."""
        self.membership = membership
        self.granted_by.clear()
        self.taken_at.clear()

    def message(self, now: float) -> ReserveKey:
        """Return the message that asks a voter for the key."""
        return ReserveKey(self.key, self.owner, self.membership.epoch, max(0.0, self.request_ends_at - now))

    def outcome(self, now: float) -> ReservationOutcome | None:
        """Return the outcome if the replies so far decide it."""
        voters = len(self.membership.voters)
        if len(self.granted_by) >= majority(voters) and now < self.deadline:
            return Acquired()
        if voters - len(self.taken_at) < majority(voters):
            return TakenByAnother(self.is_running)
        return None


class ReservationClient:
    """The undecided reservations of one process. `send` sends a message to a voter by its IP address."""

    def __init__(self, send: Callable[[str, ReserveKey | ReleaseKey], None]) -> None:
        self._send = send
        self._open: dict[tuple[bytes, bytes], _OpenReservation] = {}
        # Late grants are released for these reservations alone. An evicted one is never released, and ends with its
        # window: releasing a grant without knowing whether its reservation was acquired could let an operation run
        # twice.
        self._failed: LRUCache[tuple[bytes, bytes], None] = LRUCache(MAX_FAILED_RESERVATIONS)

    def __len__(self) -> int:
        return len(self._open)

    def reserve(
        self,
        now: float,
        membership: Membership,
        key: bytes,
        owner: bytes,
        seconds_left: float,
        timeout: float,
        on_outcome: Callable[[ReservationOutcome], None],
    ) -> None:
        """Reserve a key for `owner`, a name that was never used before.

        `seconds_left`: time until the owner's request ends; `timeout`: seconds within which `on_outcome` is called.
        """
        reservation = _OpenReservation(
            key=key,
            owner=owner,
            membership=membership,
            request_ends_at=now + seconds_left,
            deadline=now + timeout,
            on_outcome=on_outcome,
        )
        self._open[key, owner] = reservation
        self._ask_all(now, reservation)

    def _ask_all(self, now: float, reservation: _OpenReservation) -> None:
        for voter in reservation.membership.voters:
            self._send(voter.ip, reservation.message(now))

    def membership_changed(self, now: float, membership: Membership) -> None:
        """Request all open reservations again: grants under the former membership no longer count."""
        for reservation in list(self._open.values()):
            reservation.restart(membership)
            self._ask_all(now, reservation)

    def voter_connected(self, now: float, ip: str) -> None:
        """Repeat the requests that a reconnected voter may not have received."""
        for reservation in self._open.values():
            has_replied = ip in reservation.granted_by | reservation.taken_at
            if ip in _addresses(reservation.membership) and not has_replied:
                self._send(ip, reservation.message(now))

    def receive(self, now: float, ip: str, message: ReserveKeyReply) -> None:
        """Process a voter's reply."""
        reservation = self._open.get((message.key, message.owner))
        if reservation is None:
            self._release_late_grant(ip, message)
            return
        if message.response is not None:
            self._end(reservation, AlreadyCompleted(message.response))
            return
        membership = reservation.membership
        if message.epoch != membership.epoch or ip not in _addresses(membership):
            return
        if message.is_granted:
            reservation.granted_by.add(ip)
        elif message.is_taken:
            reservation.taken_at.add(ip)
            reservation.is_running = reservation.is_running or message.is_running
        outcome = reservation.outcome(now)
        if outcome is not None:
            self._end(reservation, outcome)

    def _release_late_grant(self, ip: str, message: ReserveKeyReply) -> None:
        """Release a grant of a failed reservation: its operation never runs, so that another owner need not wait."""
        if message.is_granted and (message.key, message.owner) in self._failed:
            self._send(ip, ReleaseKey(message.key, message.owner))

    def tick(self, now: float) -> None:
        """End the reservations whose deadline has passed."""
        for reservation in [reservation for reservation in self._open.values() if reservation.deadline <= now]:
            self._end(reservation, TakenByAnother(reservation.is_running) if reservation.taken_at else Undecided())

    def abandon(self, key: bytes, owner: bytes) -> None:
        """End a reservation whose caller has left, without calling `on_outcome`."""
        reservation = self._open.get((key, owner))
        if reservation is not None:
            reservation.on_outcome = _ignore
            self._end(reservation, Undecided())

    def _end(self, reservation: _OpenReservation, outcome: ReservationOutcome) -> None:
        del self._open[reservation.key, reservation.owner]
        if not isinstance(outcome, Acquired):
            self._failed[reservation.key, reservation.owner] = None
            for voter in reservation.membership.voters:
                if voter.ip not in reservation.taken_at:
                    self._send(voter.ip, ReleaseKey(reservation.key, reservation.owner))
        reservation.on_outcome(outcome)


def _addresses(membership: Membership) -> set[str]:
    return {voter.ip for voter in membership.voters}


def _ignore(outcome: ReservationOutcome) -> None:
    """Ignore the outcome of a reservation whose caller has left."""
