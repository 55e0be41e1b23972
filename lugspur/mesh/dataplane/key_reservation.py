"""The reservation of the idempotency key of one request."""

from __future__ import annotations

from collections.abc import Callable

from lugspur.mesh.control.messages import BackendResponse
from lugspur.mesh.control.reservation_client import (
    Acquired,
    AlreadyCompleted,
    ReservationOutcome,
    TakenByAnother,
    Undecided,
)
from lugspur.mesh.dataplane.interfaces import KeyReservations

MAX_WAIT_SECONDS = 0.6  # maximum time to wait for the outcome of a reservation
MAX_WAIT_FRACTION = 1 / 3  # the same limit as a fraction of the time that the request has left; the smaller one holds
MAX_STORE_SECONDS = 0.5  # maximum time for which an answer is held back until it is stored
LABELS: dict[type[ReservationOutcome], str] = {
    Acquired: "won",
    AlreadyCompleted: "known",
    TakenByAnother: "taken",
    Undecided: "unsettled",
}
"""The outcome of a reservation, as named in failure records."""


class KeyReservation:
    """The exclusive right to run the operation of one key; an empty key needs no reservation."""

    __slots__ = ("_keys", "is_held", "key", "label", "owner")

    def __init__(self, keys: KeyReservations, key: bytes, owner: bytes) -> None:
        """`owner` is the unique id of this reservation."""
        self._keys, self.key, self.owner = keys, key, owner
        self.is_held = False  # the reservation was acquired, and must be released if nothing runs
        self.label = ""  # outcome of the reservation; empty while it is pending

    def reserve(self, seconds_left: float, on_outcome: Callable[[ReservationOutcome], None]) -> None:
        """Request the reservation; `seconds_left` is the time until the deadline of the request."""
        timeout = min(MAX_WAIT_SECONDS, seconds_left * MAX_WAIT_FRACTION)
        self._keys.reserve(self.key, self.owner, seconds_left, timeout, on_outcome)

    def receive(self, outcome: ReservationOutcome) -> None:
        """Record the outcome of the reservation."""
        self.label = LABELS[type(outcome)]
        self.is_held = isinstance(outcome, Acquired)

    def release(self) -> None:
        """Release the key, under which nothing has run."""
        self.is_held = False
        self._keys.release(self.key, self.owner)

    def store_answer(self, response: BackendResponse, seconds_left: float, on_stored: Callable[[bool], None]) -> None:
        """Store the answer of the operation that has run; `seconds_left` is the time until the request's deadline."""
        timeout = max(0.0, min(MAX_STORE_SECONDS, seconds_left))
        self._keys.store_answer(self.key, self.owner, response, timeout, on_stored)

    def abandon(self) -> None:
        """Stop waiting for the key if it is not held."""
        if self.key and not self.is_held:
            self._keys.abandon(self.key, self.owner)
