"""How a request ended at its backend."""

from __future__ import annotations

import enum


class RequestOutcome(enum.IntEnum):
    """What is known of a request once it has ended; the numbers are fixed, since other processes read them."""

    ANSWERED = 0  # the backend's complete answer has arrived
    NOT_RUN = 1  # proven: the backend has not run the request and never will
    UNKNOWN = 2  # the request was sent, and nothing is known of it
    INVALID_RESPONSE = 3  # the request was sent, and what came back is no answer to it

    @property
    def label(self) -> str:
        """The text in logs and accounts of failed requests, which stays when a member is renamed."""
        return _LABELS[self]


_LABELS = {
    RequestOutcome.ANSWERED: "answered",
    RequestOutcome.NOT_RUN: "not_run",
    RequestOutcome.UNKNOWN: "maybe",
    RequestOutcome.INVALID_RESPONSE: "spoilt",
}
