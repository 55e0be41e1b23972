"""Records at the voters that a backend is closing or has signed off.

A machine with a backend has no disk, so a proxy that is restarted remembers nothing. An acknowledged end binds the
whole mesh, also after the proxy has ended, and after all control nodes have: it is acknowledged once a majority of the
voters has it on disk. A new process looks an incarnation up before it takes a heartbeat of it, which may be late.

The records are answers to reserved keys (`lugspur.mesh.control.reservation_table`), under keys that no client can send.
They are kept as long as those, which is much longer than a heartbeat is late.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Callable

from lugspur.mesh.control.answer_storage import OnStored
from lugspur.mesh.control.messages import BackendResponse
from lugspur.mesh.control.reservation_client import Acquired, AlreadyCompleted, ReservationOutcome
from lugspur.mesh.sidecar.key_reservations import VoterReservations

KEY_PREFIX = b"\0backend\0"  # header values, and so the keys of clients, have no such bytes
RECORD_TIMEOUT_SECONDS = 0.8  # a backend takes a call without an answer within 1 s as not acknowledged
LOOK_UP_TIMEOUT_SECONDS = 0.6


class Ending(enum.Enum):
    """How far an incarnation of a backend has ended, by its own word."""

    CLOSING = b"closing"
    SIGNED_OFF = b"signed-off"


class EndingRecords:
    """The records of one machine's backends."""

    def __init__(self, voters: VoterReservations, incarnation: str) -> None:
        """`incarnation` identifies this run of the process."""
        self._voters, self._incarnation = voters, incarnation.encode()
        self._numbers = itertools.count(1)

    def record(self, ident: str, ending: Ending, on_recorded: OnStored) -> None:
        """Record how far an incarnation has ended; `on_recorded` is called with whether a majority has it on disk.

        It is recorded later otherwise, if that becomes possible.
        """
        owner = b"%b.%b" % (self._incarnation, ident.encode())
        response = BackendResponse(200, b"", ending.value)
        self._voters.store_answer(
            KEY_PREFIX + ident.encode(), owner, response, RECORD_TIMEOUT_SECONDS, on_recorded, waits_always=True
        )

    def look_up(self, ident: str, on_found: Callable[[bool, Ending | None], None]) -> None:
        """Look up how far an incarnation has ended.

        `on_found` is called with whether that is known, and with the record; None if nothing was ever recorded.
        """
        key = KEY_PREFIX + ident.encode()
        owner = b"%b.%d" % (self._incarnation, next(self._numbers))

        def take_outcome(outcome: ReservationOutcome) -> None:
            if isinstance(outcome, Acquired):
                self._voters.release(key, owner)
                on_found(True, None)
            elif isinstance(outcome, AlreadyCompleted):
                on_found(True, Ending(outcome.response.body))
            else:  # no majority replied, or a process that was killed had begun to look it up
                on_found(False, None)

        self._voters.reserve(key, owner, LOOK_UP_TIMEOUT_SECONDS, LOOK_UP_TIMEOUT_SECONDS, take_outcome)
