"""Why a request was rejected, or why its outcome at its backend is not known."""

from __future__ import annotations

import enum


class Cause(enum.IntEnum):
    """Sent with each result of a request; the numbers are fixed, since other processes read them."""

    NONE = 0  # the backend answered
    EXPIRED = 1  # its time was over when it was read
    NOT_TAKEN = 2  # that life of the backend takes nothing new: it closes, has gone, or this process leaves
    NO_ROOM = 3  # the queue is full, or it would be late
    EVICTED = 4  # something more urgent took its place
    HOPELESS = 5  # no time was left when its turn came
    REFUSED = 6  # the backend proved that it did not run it
    UNREACHABLE = 7  # the backend took no connection
    TIMED_OUT = 8  # the backend had it, and its time is up
    BROKEN = 9  # the connection broke while the backend had it
    SPOILT = 10  # what came is no answer to it
    CANCELLED = 11  # nobody waits for it any more
    LINK_LOST = 12  # the connection between the two proxies ended
    UPLOAD = 13  # its body would have come too late
    NEVER_CAME = 14  # the connection between the two proxies ended before it arrived

    @property
    def label(self) -> str:
        """The text in logs, metrics and accounts of failed requests, which stays when a member is renamed."""
        return _LABELS[self]


_LABELS = {
    Cause.NONE: "none",
    Cause.EXPIRED: "expired",
    Cause.NOT_TAKEN: "not_taken",
    Cause.NO_ROOM: "no_room",
    Cause.EVICTED: "evicted",
    Cause.HOPELESS: "hopeless",
    Cause.REFUSED: "refused",
    Cause.UNREACHABLE: "unreachable",
    Cause.TIMED_OUT: "timed_out",
    Cause.BROKEN: "broken",
    Cause.SPOILT: "spoilt",
    Cause.CANCELLED: "cancelled",
    Cause.LINK_LOST: "link_lost",
    Cause.UPLOAD: "upload",
    Cause.NEVER_CAME: "never_came",
}
