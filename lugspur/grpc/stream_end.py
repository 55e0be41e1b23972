"""The outcome of an attempt whose HTTP/2 stream ended without a response, which tells whether the request may have run.

Only certainty counts. A gRPC handler may start as soon as it has the headers, so that once they have been sent, only
these prove that the request was not processed:

* the backend's REFUSED_STREAM, or a stream above the last id of its GOAWAY (RFC 9113 8.7, 6.8);
* a status UNAVAILABLE (or an HTTP 503 or 504) with `x-not-processed: 1`.
"""

from __future__ import annotations

from enum import Enum

from lugspur.load_balancing.model import Outcome


class StreamEnd(Enum):
    """How a stream to a backend ended, other than by a response."""

    UNSENT = "the headers were not sent: no connection was established, or the deadline passed before"
    WITHDRAWN = "the headers were not sent: the request was cancelled, or the backend gets no new requests"
    STREAM_LIMIT = "the headers were not sent: the backend allows no further stream"
    REFUSED = "reset with REFUSED_STREAM"
    ABOVE_GOAWAY = "the id of the stream is above the last one of the backend's GOAWAY"
    RESET = "reset with any other code, including CANCEL and NO_ERROR"
    BROKEN = "the connection broke, or the data received on it is invalid"
    TIMED_OUT = "the deadline passed after the headers had been sent"


OUTCOMES: dict[StreamEnd, Outcome] = {
    StreamEnd.UNSENT: Outcome.UNREACHABLE,
    StreamEnd.WITHDRAWN: Outcome.NOT_PROCESSED,
    StreamEnd.STREAM_LIMIT: Outcome.OVERLOADED,
    StreamEnd.REFUSED: Outcome.OVERLOADED,
    StreamEnd.ABOVE_GOAWAY: Outcome.NOT_PROCESSED,  # an orderly shutdown, and no failure of the backend
    StreamEnd.RESET: Outcome.INTERRUPTED,
    StreamEnd.BROKEN: Outcome.INTERRUPTED,
    StreamEnd.TIMED_OUT: Outcome.TIMEOUT,
}


def end_by_reset(refused: bool) -> StreamEnd:
    """Return how a stream ended that the backend has reset; `refused` tells whether with REFUSED_STREAM."""
    return StreamEnd.REFUSED if refused else StreamEnd.RESET
