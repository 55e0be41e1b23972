"""The complete list of errors of the mesh, and the response that a caller gets for each."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ErrorKind(enum.Enum):
    """The kind of an error; each kind has one row in `RESPONSES`."""

    NO_ROUTE = "no-route"  # no route has this host and path
    BAD_REQUEST = "bad-request"  # the request can't be parsed or lacks a required part
    BAD_CONFIG = "bad-config"  # an operator's API call is invalid
    TOO_LARGE = "too-large"  # the configuration of an operator's API call does not fit on a disk of the mesh
    CONFLICT = "conflict"  # different content is in force under the same edition
    NO_CALL = "no-call"  # the API has no call with this method and path
    NOT_READY = "not-ready"  # no configuration is known yet
    NO_BACKEND = "no-backend"  # no backend accepted the request
    NO_QUORUM = "no-quorum"  # too few voters replied
    UNCLEAR = "unclear"  # too few voters replied, and the change may come into force
    TOO_MANY = "too-many"  # a limit of the coordination service is reached, and nothing was done
    LOCK_HELD = "lock-held"  # another holder may hold the lock
    LOCK_LOST = "lock-lost"  # the caller no longer holds the lock
    KEY_MISSING = "key-missing"  # the key was never put
    HISTORY_GONE = "history-gone"  # a watch asks for puts that have been pruned
    KEY_BUSY = "key-busy"  # the key's first request may still be running
    KEY_SPENT = "key-spent"  # the outcome of the key's first request is unknown
    MAYBE_RAN = "maybe-ran"  # the request was sent, and its outcome is unknown
    BAD_ANSWER = "bad-answer"  # the backend's response was invalid
    TOO_LATE = "too-late"  # the deadline has passed
    LEAVING = "leaving"  # this process is shutting down
    SETTINGS = "settings"  # the settings file is not usable
    STATE = "state"  # the state on disk is not usable


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """The response to an error: its status, and the seconds after which a retry makes sense (0: not specified).

    `spreads_retries`: retries are spread over a large part of the time that the caller has left.
    """

    status: int
    retry_after_seconds: float = 0.0
    spreads_retries: bool = False


RETRY_DELAY_SECONDS = 0.25  # long enough for a queue to advance, short compared with the shortest deadlines

#: 408, 421, 429 and 503 promise that the request has not run and never will; only kinds for which this is proven use
#: them.
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
    ErrorKind.TOO_MANY: ErrorResponse(429, RETRY_DELAY_SECONDS),
    ErrorKind.LOCK_HELD: ErrorResponse(409),
    ErrorKind.LOCK_LOST: ErrorResponse(409),
    ErrorKind.KEY_MISSING: ErrorResponse(404),
    ErrorKind.HISTORY_GONE: ErrorResponse(410),
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
    """An error of one of the kinds, with a detail for the log or the caller."""

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail

    @property
    def code(self) -> str:
        """The code of the kind, as it appears in logs and responses."""
        return self.kind.value
