"""Causes of requests that were rejected, or whose outcome at their backend is not known."""

from __future__ import annotations

import enum


class FailureCause(enum.IntEnum):
    """Why a request has no answer of its backend; the numbers are fixed, since other processes read them."""

    NONE = 0  # the backend answered
    EXPIRED = 1  # the deadline had passed when the request was read
    NOT_ACCEPTED = 2  # that incarnation of the backend accepts nothing new: draining, gone, or this process shuts down
    QUEUE_FULL = 3  # the queue is full, or the answer would come too late
    EVICTED = 4  # a more urgent request took its place in the queue
    TOO_LITTLE_TIME = 5  # too little time was left when its turn came
    REFUSED = 6  # the backend proved that it did not run the request
    UNREACHABLE = 7  # the backend accepted no connection
    TIMED_OUT = 8  # the backend had the request when the deadline passed
    CONNECTION_BROKEN = 9  # the connection broke while the backend had the request
    INVALID_RESPONSE = 10  # what the backend sent is no answer to the request
    CANCELLED = 11  # the caller no longer waits
    LINK_LOST = 12  # the connection between the two proxies ended
    UPLOAD_TOO_LATE = 13  # the body would have arrived too late
    NEVER_RECEIVED = 14  # the connection between the two proxies ended before the request arrived

    @property
    def label(self) -> str:
        """The text in logs, metrics and accounts of failed requests, which stays when a member is renamed."""
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
