"""Messages by which proxies reserve idempotency keys with the voters, and voters hand reservations to new voters.

`owner` names one attempt to reserve one key, and is never used again (see `lugspur.mesh.control.reservation_client`).
"""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.messages.forwarding import BackendResponse


class ReserveKey(msgspec.Struct, tag=9, array_like=True):
    """Asks a voter to reserve a key, so that `owner` may run its operation."""

    key: bytes
    owner: bytes
    epoch: int
    seconds_left: float  # until the owner's request ends


class ReserveKeyReply(msgspec.Struct, tag=10, array_like=True):
    """The answer to ReserveKey: granted, taken by another owner, or neither, where the voter grants nothing now."""

    key: bytes
    owner: bytes
    epoch: int
    is_granted: bool
    is_taken: bool = False  # another owner has it...
    is_running: bool = False  # ...and its operation may still be running
    response: BackendResponse | None = None  # of the operation, where it has run


class CompleteKey(msgspec.Struct, tag=11, array_like=True):
    """The operation of this key has run, and this is its response."""

    key: bytes
    owner: bytes
    response: BackendResponse


class ReleaseKey(msgspec.Struct, tag=12, array_like=True):
    """The operation of this key did not run for this owner and never will."""

    key: bytes
    owner: bytes


class FetchReservations(msgspec.Struct, tag=17, array_like=True):
    """A new voter of this epoch asks a voter of the epoch before for all its reservations."""

    epoch: int


class StoredReservation(msgspec.Struct, array_like=True):
    """One reservation as it is kept on disk and sent to other voters.

    It holds no time of day, since clocks are set, and a reservation that is forgotten too early lets an operation run
    twice. Whoever reads it counts its whole window from then.
    """

    owner: bytes
    seconds_left: float  # for which the owner's operation may be running
    response: BackendResponse | None = None


class ReservationsPage(msgspec.Struct, tag=18, array_like=True):
    """A page of the answer to FetchReservations."""

    epoch: int
    page: int  # from 0
    reservations: list[tuple[bytes, StoredReservation]]  # each behind its key
    is_last: bool
    was_complete: bool = True  # false: the sender was not complete in the epoch before, and has granted nothing in it
