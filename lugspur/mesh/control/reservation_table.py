"""A voter's reservations of idempotency keys, without I/O: the owner of each key, and the response of its operation.

A key is granted to one owner at a time and kept until its window is over, so that at most one owner has the grants of a
majority. No grant is revoked for lack of memory: beyond the limit no new key is granted. Responses may be dropped,
oldest first; a repeat of such a request learns only that the operation has run.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.effects import Effects, Peer, Rows
from lugspur.mesh.control.messages import (
    MAX_PAGE_BYTES,
    BackendResponse,
    CompleteKey,
    ReleaseKey,
    ReservationsPage,
    ReserveKey,
    ReserveKeyReply,
    StoredReservation,
)

#: Time for which a reservation is kept beyond its window, since the first attempt may take long to arrive here.
RETENTION_MARGIN_SECONDS = 10.0
#: Maximum size of the body of a response that is kept for repeats.
MAX_STORED_RESPONSE_BYTES = 64 << 10
#: Fraction of the memory for all responses; beyond it the oldest are dropped, and their reservations stay.
RESPONSES_MEMORY_FRACTION = 0.15
#: Fraction of the memory for responses down to which they are dropped.
RESPONSES_TRIM_FRACTION = 0.8
#: Fraction of the memory for all reservations; beyond it no key is granted.
RESERVATIONS_MEMORY_FRACTION = 0.15
#: Memory that one reservation takes without its response.
RESERVATION_BYTES = 600
#: The owner of a key for which other voters report two owners: either may have acquired it, so neither is granted it.
CONTESTED_OWNER = b""
RESERVATION_PREFIX = b"c"

_pack = msgspec.msgpack.Encoder().encode
_stored_decoder = msgspec.msgpack.Decoder(StoredReservation)


@dataclass(slots=True, eq=False)
class Reservation:
    """One reservation in memory; both times are of the monotonic clock."""

    owner: bytes
    reserved_at: float
    running_until: float  # the time until which the owner's operation may run
    response: BackendResponse | None


def _response_size(response: BackendResponse | None) -> int:
    return 0 if response is None else len(response.body) + len(response.head)


class ReservationTable:
    """Reservations by key, oldest first.

    `window`: seconds during which the operation of a key runs at most once; `memory`: bytes that the process may use.
    """

    def __init__(self, window: float, memory: int) -> None:
        self.retention_seconds = window + RETENTION_MARGIN_SECONDS
        self._reservations: dict[bytes, Reservation] = {}
        self._max_reservations = int(memory * RESERVATIONS_MEMORY_FRACTION / RESERVATION_BYTES)
        self._max_response_bytes = int(memory * RESPONSES_MEMORY_FRACTION)
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._reservations)

    def items(self) -> Iterator[tuple[bytes, Reservation]]:
        """Iterate over all reservations by key."""
        return iter(self._reservations.items())

    def restore(self, rows: Iterable[tuple[bytes, bytes]], now: float) -> None:
        """Load the reservations from the rows on disk; other rows are ignored."""
        for key, value in rows:
            if key.startswith(RESERVATION_PREFIX):
                stored = _stored_decoder.decode(value)
                self._put(key[1:], Reservation(stored.owner, now, now + stored.seconds_left, stored.response))

    # ---- requests of owners ----------------------------------------------------------------

    def reserve(self, now: float, peer: Peer, message: ReserveKey, epoch: int) -> Effects:
        """Grant a key, unless another owner has it or the table is full."""
        key, owner = message.key, message.owner
        current = self._reservations.get(key)
        if current is not None and (current.owner != owner or current.response is not None):
            is_running = current.response is None and now < current.running_until
            taken = ReserveKeyReply(
                key, owner, epoch, False, True, is_running, current.response, acknowledges_answers=True
            )
            return Effects(send=[(peer, taken)])
        if current is None and len(self._reservations) >= self._max_reservations:
            full = ReserveKeyReply(key, owner, epoch, False, acknowledges_answers=True)
            return Effects(send=[(peer, full)])
        check(current is None or current.owner == owner, Invariant.ONE_KEY_OWNER, by=owner)
        self._put(key, Reservation(owner, now, now + message.seconds_left, None))
        row = (RESERVATION_PREFIX + key, _pack(StoredReservation(owner, message.seconds_left)))
        granted = ReserveKeyReply(key, owner, epoch, True, acknowledges_answers=True)
        return Effects(write=[row], after_sync=[(peer, granted)])

    def complete(self, now: float, message: CompleteKey, is_complete: bool) -> Effects:
        """Store that a key's operation has run. Another owner of the key in this table has not run it and never will.

        A voter that is not complete accepts this only from the owner to which it granted the key.
        """
        response = message.response if len(message.response.body) <= MAX_STORED_RESPONSE_BYTES else None
        current = self._reservations.get(message.key)
        if current is not None and current.owner == message.owner:
            self._drop_response(current)
            current.response, current.running_until = response, now
            self._response_bytes += _response_size(response)
        elif is_complete:
            self._put(message.key, Reservation(message.owner, now, now, response))
        else:
            return Effects()
        self._trim()
        return Effects(
            write=[(RESERVATION_PREFIX + message.key, _pack(StoredReservation(message.owner, 0.0, response)))]
        )

    def release(self, message: ReleaseKey) -> Effects:
        """Free a key whose operation did not run for this owner."""
        current = self._reservations.get(message.key)
        if current is None or current.owner != message.owner or current.response is not None:
            return Effects()
        self._drop(message.key)
        return Effects(write=[(RESERVATION_PREFIX + message.key, None)])

    def sweep(self, now: float) -> Effects:
        """Drop reservations whose window is over."""
        effects = Effects()
        for key, reservation in self._reservations.items():
            if reservation.reserved_at + self.retention_seconds > now:
                break
            effects.write.append((RESERVATION_PREFIX + key, None))
        for row, _ in effects.write:
            self._drop(row[1:])
        return effects

    # ---- other voters --------------------------------------------------------------------

    def pages(self, now: float, epoch: int) -> list[ReservationsPage]:
        """Return all reservations, in pages of a bounded size."""
        pages = [ReservationsPage(epoch, 0, [], False)]
        size = 0
        for key, reservation in self._reservations.items():
            size += len(key) + 64 + _response_size(reservation.response)
            if size > MAX_PAGE_BYTES:
                pages.append(ReservationsPage(epoch, len(pages), [], False))
                size = 0
            pages[-1].reservations.append(
                (
                    key,
                    StoredReservation(
                        reservation.owner, max(0.0, reservation.running_until - now), reservation.response
                    ),
                )
            )
        pages[-1].is_last = True
        return pages

    def merge(self, now: float, reservations: Iterable[tuple[bytes, StoredReservation]]) -> Rows:
        """Merge the reservations of another voter; returns the rows to write."""
        rows: Rows = []
        for key, stored in reservations:
            current = self._reservations.get(key)
            if current is not None and current.response is not None:
                continue
            if current is not None and stored.response is None and current.owner != stored.owner:
                # Guards against a second run: either owner may have acquired the key from voters of the previous epoch.
                stored = StoredReservation(CONTESTED_OWNER, max(current.running_until - now, stored.seconds_left, 0.0))
            self._put(key, Reservation(stored.owner, now, now + stored.seconds_left, stored.response))
            rows.append((RESERVATION_PREFIX + key, _pack(stored)))
        self._trim()
        return rows

    # ---- memory --------------------------------------------------------------------------

    def _put(self, key: bytes, reservation: Reservation) -> None:
        self._drop(key)
        self._reservations[key] = reservation
        self._response_bytes += _response_size(reservation.response)

    def _drop(self, key: bytes) -> None:
        reservation = self._reservations.pop(key, None)
        if reservation is not None:
            self._drop_response(reservation)

    def _drop_response(self, reservation: Reservation) -> None:
        self._response_bytes -= _response_size(reservation.response)
        reservation.response = None

    def _trim(self) -> None:
        """Drop the oldest responses if they take too much memory; a repeat then learns only that the operation ran."""
        if self._response_bytes <= self._max_response_bytes:
            return
        for reservation in self._reservations.values():
            self._drop_response(reservation)
            if self._response_bytes <= RESPONSES_TRIM_FRACTION * self._max_response_bytes:
                break
