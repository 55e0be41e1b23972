"""The closed list of what can go wrong, and what a caller is told of each."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Kind(enum.Enum):
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
class Row:
    """What a caller is told: a status, and seconds after which it may come back (0: it is not told).

    `spread`: over a good part of the time that it has.
    """

    status: int
    after: float = 0.0
    spread: bool = False


RETRY = 0.25  # seconds: long enough that a queue moves, short against the shortest deadlines

#: 408, 421, 429 and 503 promise that the request has not run and never will: only kinds that prove it have them.
ANSWERS = {
    Kind.NO_ROUTE: Row(404),
    Kind.BAD_REQUEST: Row(400),
    Kind.BAD_CONFIG: Row(400),
    Kind.TOO_LARGE: Row(413),
    Kind.CONFLICT: Row(409),
    Kind.NO_CALL: Row(404),
    Kind.NOT_READY: Row(503, RETRY),
    Kind.NO_BACKEND: Row(503, RETRY, True),
    Kind.NO_QUORUM: Row(503, RETRY),
    Kind.UNCLEAR: Row(504),
    Kind.KEY_BUSY: Row(409, RETRY),
    Kind.KEY_SPENT: Row(503, RETRY),
    Kind.MAYBE_RAN: Row(502),
    Kind.BAD_ANSWER: Row(502),
    Kind.TOO_LATE: Row(504),
    Kind.LEAVING: Row(503, RETRY),
    Kind.SETTINGS: Row(500),
    Kind.STATE: Row(500),
}


class MeshError(Exception):
    """Something of the closed list; `code` is its kind's name."""

    def __init__(self, kind: Kind, detail: str = "") -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail

    @property
    def code(self) -> str:
        """The name of its kind, as logs and answers have it."""
        return self.kind.value
