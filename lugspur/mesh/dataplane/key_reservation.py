"""The reservation of the idempotency key of one request."""

from __future__ import annotations

from collections.abc import Callable

from lugspur.mesh.control.reservation_client import (
    Acquired,
    AlreadyCompleted,
    ReservationOutcome,
    TakenByAnother,
    Undecided,
)
from lugspur.mesh.dataplane.interfaces import KeyReservations

MAX_WAIT_SECONDS = 0.6  # for the outcome of a reservation...
MAX_WAIT_FRACTION = 1 / 3  # ...and at most this fraction of the time that the request has left
LABELS: dict[type[ReservationOutcome], str] = {
    Acquired: "won",
    AlreadyCompleted: "known",
    TakenByAnother: "taken",
    Undecided: "unsettled",
}
"""How a reservation ended, as accounts of failed requests say it."""


class KeyReservation:
    """The right to run the operation of one key; without a key there is nothing to reserve."""

    __slots__ = ("_keys", "is_held", "key", "label", "owner")

    def __init__(self, keys: KeyReservations, key: bytes, owner: bytes) -> None:
        """`owner` names this reservation, and no other."""
        self._keys, self.key, self.owner = keys, key, owner
        self.is_held = False  # it was acquired, and is to be released if nothing runs
        self.label = ""  # how it ended; empty: it has not

    def reserve(self, seconds_left: float, on_outcome: Callable[[ReservationOutcome], None]) -> None:
        """Ask for the key; `seconds_left` is the time that the request has."""
        timeout = min(MAX_WAIT_SECONDS, seconds_left * MAX_WAIT_FRACTION)
        self._keys.reserve(self.key, self.owner, seconds_left, timeout, on_outcome)

    def receive(self, outcome: ReservationOutcome) -> None:
        """Note how the reservation ended."""
        self.label = LABELS[type(outcome)]
        self.is_held = isinstance(outcome, Acquired)

    def release(self) -> None:
        """Give the key back: nothing ran under it."""
        self.is_held = False
        self._keys.release(self.key, self.owner)

    def abandon(self) -> None:
        """Wait for the key no longer, where it was asked for and is not held."""
        if self.key and not self.is_held:
            self._keys.abandon(self.key, self.owner)
