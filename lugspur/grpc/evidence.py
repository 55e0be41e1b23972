"""What has run: the one table of what the end of an HTTP/2 stream proves of the attempt on it.

Only what is certain counts. A gRPC handler may begin as soon as the headers have come, so that from the moment in
which they go out nothing but these proves that it did not:

* the box's REFUSED_STREAM, and a stream above the last id of its GOAWAY (RFC 9113 8.7, 6.8): it never ran;
* a status UNAVAILABLE (or an HTTP 503 or 504) with `x-not-processed: 1`: it never ran.
"""

from __future__ import annotations

from enum import Enum

from lugspur.load_balancing.model import Outcome


class End(Enum):
    """How a stream to a box ended, other than by its answer."""

    UNSENT = "its headers have not gone out: no connection came up, or its time was up first"
    UNWANTED = "its headers have not gone out, and nobody wants it any more or the box gets nothing new"
    FULL = "its headers have not gone out: the box allows no further stream"
    REFUSED = "reset with REFUSED_STREAM"
    ABOVE = "its id is above the last one of the box's GOAWAY"
    RESET = "reset with anything else, also with CANCEL and NO_ERROR"
    BROKEN = "its connection broke, or what came on it can't be read"
    LATE = "its time was up after its headers had gone out"


PROVES: dict[End, Outcome] = {
    End.UNSENT: Outcome.UNREACHABLE,
    End.UNWANTED: Outcome.NOT_PROCESSED,
    End.FULL: Outcome.OVERLOADED,
    End.REFUSED: Outcome.OVERLOADED,
    End.ABOVE: Outcome.NOT_PROCESSED,  # the box leaves in good order: nothing is wrong with it
    End.RESET: Outcome.INTERRUPTED,
    End.BROKEN: Outcome.INTERRUPTED,
    End.LATE: Outcome.TIMEOUT,
}


def by_reset(refused: bool) -> End:
    """How a stream ended that the box has reset."""
    return End.REFUSED if refused else End.RESET
