"""Why a request was turned away, or what became of it at its backend is not known."""

from __future__ import annotations

import enum


class Cause(enum.IntEnum):
    """Told with the reply of a gate; the numbers go between processes and keep their meaning."""

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
