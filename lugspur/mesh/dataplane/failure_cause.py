"""Causes for which an attempt ended without a response of its backend."""

from __future__ import annotations

import enum


class FailureCause(enum.IntEnum):
    """Why an attempt has no response of its backend; the numbers are part of the wire protocol and must not change."""

    NONE = 0  # the backend responded
    EXPIRED = 1  # the deadline had passed when the request was read
    NOT_ACCEPTED = 2  # the backend's incarnation is draining, gone or unreachable, or this process is shutting down
    QUEUE_FULL = 3  # the queue is full, or the response would be too late
    EVICTED = 4  # evicted from the queue by a more urgent request
    TOO_LITTLE_TIME = 5  # too little time was left when the request reached the head of the queue
    REFUSED = 6  # the backend refused the request, with proof that it did not run it
    UNREACHABLE = 7  # the backend accepted no connection
    TIMED_OUT = 8  # the deadline passed after the request had been sent to the backend
    CONNECTION_BROKEN = 9  # the connection to the backend broke after the request had been sent
    INVALID_RESPONSE = 10  # the response of the backend is invalid, or belongs to another request
    CANCELLED = 11  # cancelled or withdrawn, since the caller no longer waits
    LINK_LOST = 12  # the connection between the two proxies ended
    UPLOAD_TOO_LATE = 13  # the body would have arrived too late
    NEVER_RECEIVED = 14  # the connection between the two proxies ended before the request arrived

    @property
    def label(self) -> str:
        """The stable name in logs, metrics and failure records, independent of the member's name."""
        return _LABELS[self]


_LABELS = {
    FailureCause.NONE: "none",
    FailureCause.EXPIRED: "expired",
    FailureCause.NOT_ACCEPTED: "not_taken",
    FailureCause.QUEUE_FULL: "no_room",
    FailureCause.EVICTED: "evicted",
    FailureCause.TOO_LITTLE_TIME: "hopeless",
    FailureCause.REFUSED: "refused",
    FailureCause.UNREACHABLE: "unreachable",
    FailureCause.TIMED_OUT: "timed_out",
    FailureCause.CONNECTION_BROKEN: "broken",
    FailureCause.INVALID_RESPONSE: "spoilt",
    FailureCause.CANCELLED: "cancelled",
    FailureCause.LINK_LOST: "link_lost",
    FailureCause.UPLOAD_TOO_LATE: "upload",
    FailureCause.NEVER_RECEIVED: "never_came",
}
