"""A proxy's side of reservations of idempotency keys, without I/O: a majority of the voters decides who may run.

A reservation is acquired when a majority of one membership's voters has it on disk, each granting a key to one owner at
a time. Two owners can't both acquire it, since majorities intersect. An owner that can't acquire it any more releases
what it was granted, which is safe: its operation never ran.

`owner` names one attempt to reserve a key, of one incarnation of one process, and is never used again (see
`Proxy.claim_id`). A reply about an owner that is not known here, because a former process at this address asked or
because it is too long ago, is therefore never answered: only a reservation that is known to have failed is released. In
doubt it stays until its window ends, which costs a repeat its response and never runs anything twice.

Why a reservation that was acquired under epoch e excludes other owners under e + 1 and later, also where its operation
begins after e + 1 came into force or where a reply was late:

- Each reply that counts names e, and its voter wrote the reservation to disk before it replied. A voter that has taken
  up e + 1 grants nothing under e. So the whole majority M had the reservation on disk while each of them was still in
  e, whenever the replies arrive here.
- A new voter of e + 1 counts only once a majority F of the voters of e has sent it all reservations, each having
  written to disk that it has taken up e + 1. M and F share a voter, which granted before it took up e + 1 and therefore
  sends the reservation.
- A voter that stays keeps its reservations. One voter changes at a time, so that the members of M that stay, and the
  new voter, are a majority under e + 1, and another owner's majority there intersects them.
- A reservation that is still open while the membership changes is asked for anew: grants of e and e + 1 are never
  added.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cachetools import LRUCache

from lugspur.mesh.control.messages import BackendResponse, Membership, ReleaseKey, ReserveKey, ReserveKeyReply
from lugspur.mesh.control.quorum import majority

MAX_FAILED_RESERVATIONS = 10_000  # the latest ones; a late grant of an older one is not released


@dataclass(slots=True)
class Acquired:
    """The operation may run."""


@dataclass(slots=True)
class AlreadyCompleted:
    """The operation has run, with this response."""

    response: BackendResponse


@dataclass(slots=True)
class TakenByAnother:
    """Another owner has the key; `is_running`: its operation may still be running."""

    is_running: bool


@dataclass(slots=True)
class Undecided:
    """Too few voters replied."""


ReservationOutcome = Acquired | AlreadyCompleted | TakenByAnother | Undecided


@dataclass(slots=True, kw_only=True, eq=False)
class _OpenReservation:
    """A reservation that is not decided yet, and which voters of `membership` have replied how."""

    key: bytes
    owner: bytes
    membership: Membership
    request_ends_at: float
    deadline: float
    on_outcome: Callable[[ReservationOutcome], None]
    granted_by: set[str] = field(default_factory=set)
    taken_at: set[str] = field(default_factory=set)  # voters that have granted the key to another owner...
    is_running: bool = False  # ...one of which may still be running its operation

    def begin_anew(self, membership: Membership) -> None:
        """Count the replies of another membership alone."""
        self.membership = membership
        self.granted_by.clear()
        self.taken_at.clear()

    def message(self, now: float) -> ReserveKey:
        """The message that asks a voter for the key."""
        return ReserveKey(self.key, self.owner, self.membership.epoch, max(0.0, self.request_ends_at - now))

    def outcome(self, now: float) -> ReservationOutcome | None:
        """What the replies so far decide, if anything."""
        voters = len(self.membership.voters)
        if len(self.granted_by) >= majority(voters) and now < self.deadline:
            return Acquired()
        if voters - len(self.taken_at) < majority(voters):
            return TakenByAnother(self.is_running)
        return None


class ReservationClient:
    """The reservations of one process that are not decided yet. `send` sends a message to a voter by its IP address."""

    def __init__(self, send: Callable[[str, ReserveKey | ReleaseKey], None]) -> None:
        self._send = send
        self._open: dict[tuple[bytes, bytes], _OpenReservation] = {}
        # Late grants are released for these alone. What is evicted is released by nobody, and ends with its window: to
        # forget that a reservation was acquired, and release it, would let its operation run twice.
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

        `seconds_left`: until the request of the owner ends; `timeout`: seconds after which `on_outcome` has been
        called.
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
        """Ask for all open reservations anew: grants under another membership do not count any more."""
        for reservation in list(self._open.values()):
            reservation.begin_anew(membership)
            self._ask_all(now, reservation)

    def voter_connected(self, now: float, ip: str) -> None:
        """Repeat to a voter that is connected again what it may not have received."""
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
        """Release a grant of a reservation that has failed: nothing ran or will, so that no other owner shall wait."""
        if message.is_granted and (message.key, message.owner) in self._failed:
            self._send(ip, ReleaseKey(message.key, message.owner))

    def tick(self, now: float) -> None:
        """End the reservations whose time is up."""
        for reservation in [reservation for reservation in self._open.values() if reservation.deadline <= now]:
            self._end(reservation, TakenByAnother(reservation.is_running) if reservation.taken_at else Undecided())

    def abandon(self, key: bytes, owner: bytes) -> None:
        """End a reservation that nobody waits for any more, without calling `on_outcome`."""
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
    """Takes the outcome of a reservation that nobody waits for."""
