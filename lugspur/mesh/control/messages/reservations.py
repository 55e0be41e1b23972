"""Messages by which proxies reserve idempotency keys at the voters, and voters send reservations to new voters.

`owner` names one attempt to reserve one key, and is never reused (see `lugspur.mesh.control.reservation_client`).
"""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.messages.forwarding import BackendResponse


class ReserveKey(msgspec.Struct, tag=9, array_like=True):
    """Asks a voter to reserve a key, so that `owner` may run its operation."""

    key: bytes
    owner: bytes
    epoch: int
    seconds_left: float  # time until the owner's request ends


class ReserveKeyReply(msgspec.Struct, tag=10, array_like=True):
    """The reply to ReserveKey: granted, taken by another owner, or neither if the voter currently grants no keys.

    Also the reply to CompleteKey, with `is_stored`.
    """

    key: bytes
    owner: bytes
    epoch: int
    is_granted: bool
    is_taken: bool = False  # whether another owner has the key
    is_running: bool = False  # whether the other owner's operation may still be running
    response: BackendResponse | None = None  # the response of the operation, if it has run
    is_stored: bool = False  # the reply to CompleteKey: the response is on disk
    acknowledges_answers: bool = False  # whether the voter replies to CompleteKey


class CompleteKey(msgspec.Struct, tag=11, array_like=True):
    """Reports that the operation of a key has run, with its response."""

    key: bytes
    owner: bytes
    response: BackendResponse
    wants_reply: bool = False  # asks for a ReserveKeyReply once the response is on disk


class ReleaseKey(msgspec.Struct, tag=12, array_like=True):
    """Releases a key whose operation did not run for this owner and never will."""

    key: bytes
    owner: bytes


class FetchReservations(msgspec.Struct, tag=17, array_like=True):
    """Asks a voter of an earlier epoch for all its reservations, for a new voter of this epoch."""

    epoch: int


class StoredReservation(msgspec.Struct, array_like=True):
    """One reservation as it is stored on disk and sent to other voters.

    The record has no wall clock time: clocks can be adjusted, and a reservation that is dropped too early lets an
    operation run twice. A process that reads a reservation counts its whole window from the time of reading.
    """

    owner: bytes
    seconds_left: float  # time for which the owner's operation may still be running
    response: BackendResponse | None = None


class ReservationsPage(msgspec.Struct, tag=18, array_like=True):
    """A page of the reply to FetchReservations."""

    epoch: int
    page: int  # from 0
    reservations: list[tuple[bytes, StoredReservation]]  # keys and reservations
    is_last: bool
    was_complete: bool = True  # false: the sender granted nothing in the epochs whose voters are asked
