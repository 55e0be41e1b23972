"""The outcome of one attempt at its backend."""

from __future__ import annotations

import enum


class RequestOutcome(enum.IntEnum):
    """What is known about an attempt that has ended; the numbers are part of the wire protocol and must not change."""

    ANSWERED = 0  # the complete response of the backend has arrived
    NOT_RUN = 1  # the backend has provably not run the request and never will
    UNKNOWN = 2  # the request was sent, and it is not known whether it has run
    INVALID_RESPONSE = 3  # the request was sent, and its response is invalid or belongs to another request

    @property
    def label(self) -> str:
        """The stable name in logs and failure records, independent of the member's name."""
        return _LABELS[self]


_LABELS = {
    RequestOutcome.ANSWERED: "answered",
    RequestOutcome.NOT_RUN: "not_run",
    RequestOutcome.UNKNOWN: "maybe",
    RequestOutcome.INVALID_RESPONSE: "spoilt",
}
