"""The closed list of what can go wrong, and what a caller is told of each."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ErrorKind(enum.Enum):
    """What went wrong; each has one row in `ANSWERS`."""

    NO_ROUTE = "no-route"  # no route has this host and path
    BAD_REQUEST = "bad-request"  # the request can't be read or lacks what it must have
    BAD_CONFIG = "bad-config"  # a call of the operator that may not come into force
    TOO_LARGE = "too-large"  # a call of the operator that a disk of the mesh could not take
    CONFLICT = "conflict"  # another content stands under the same version
    NO_CALL = "no-call"  # no call of that method and path
    NOT_READY = "not-ready"  # nothing is known yet
    NO_BACKEND = "no-backend"  # nobody who could run it would take it
    NO_QUORUM = "no-quorum"  # too few replicas answered
    UNCLEAR = "unclear"  # too few replicas answered, and something may have been written
    KEY_BUSY = "key-busy"  # the key's first request is still at work
    KEY_SPENT = "key-spent"  # the key's first request ended in a way that nobody knows
    MAYBE_RAN = "maybe-ran"  # it was sent, and how it ended is not known
    BAD_ANSWER = "bad-answer"  # the backend's answer was spoilt
    TOO_LATE = "too-late"  # the time is up
    LEAVING = "leaving"  # this process ends
    SETTINGS = "settings"  # the settings file can't be used
    STATE = "state"  # what is on disk can't be used


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """What a caller is told: a status, and seconds after which it may come back (0: it is not told).

    `spread`: over a good part of the time that it has.
    """

    status: int
    retry_after_seconds: float = 0.0
    spreads_retries: bool = False


RETRY_DELAY_SECONDS = 0.25  # seconds: long enough that a queue moves, short against the shortest deadlines

#: 408, 421, 429 and 503 promise that the request has not run and never will: only kinds that prove it have them.
RESPONSES = {
    ErrorKind.NO_ROUTE: ErrorResponse(404),
    ErrorKind.BAD_REQUEST: ErrorResponse(400),
    ErrorKind.BAD_CONFIG: ErrorResponse(400),
    ErrorKind.TOO_LARGE: ErrorResponse(413),
    ErrorKind.CONFLICT: ErrorResponse(409),
    ErrorKind.NO_CALL: ErrorResponse(404),
    ErrorKind.NOT_READY: ErrorResponse(503, RETRY_DELAY_SECONDS),
    ErrorKind.NO_BACKEND: ErrorResponse(503, RETRY_DELAY_SECONDS, True),
    ErrorKind.NO_QUORUM: ErrorResponse(503, RETRY_DELAY_SECONDS),
    ErrorKind.UNCLEAR: ErrorResponse(504),
    ErrorKind.KEY_BUSY: ErrorResponse(409, RETRY_DELAY_SECONDS),
    ErrorKind.KEY_SPENT: ErrorResponse(503, RETRY_DELAY_SECONDS),
    ErrorKind.MAYBE_RAN: ErrorResponse(502),
    ErrorKind.BAD_ANSWER: ErrorResponse(502),
    ErrorKind.TOO_LATE: ErrorResponse(504),
    ErrorKind.LEAVING: ErrorResponse(503, RETRY_DELAY_SECONDS),
    ErrorKind.SETTINGS: ErrorResponse(500),
    ErrorKind.STATE: ErrorResponse(500),
}


class MeshError(Exception):
    """Something of the closed list; `code` is its kind's name."""

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail

    @property
    def code(self) -> str:
        """The name of its kind, as logs and answers have it."""
        return self.kind.value
