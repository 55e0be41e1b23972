"""Messages by which a proxy forwards a request to the proxy beside a backend."""

from __future__ import annotations

import msgspec


class BackendResponse(msgspec.Struct, array_like=True):
    """A complete response of a backend; `head` holds its header lines."""

    status: int
    head: bytes
    body: bytes


class ForwardRequest(msgspec.Struct, tag=19, array_like=True):
    """Asks for a request to be run by the backend with the id `backend`, which is on the receiver's machine."""

    number: int
    backend: str
    method: bytes
    target: bytes
    header_lines: list[bytes]  # each with its line end; includes `Host`, excludes fields that frame the body
    body: bytes
    seconds_left: float  # time until the request's deadline
    latency_target_left: float  # time until the latency target; a response has its full value until then; can be < 0
    attempt_id: bytes
    priority: int
    is_safe: bool
    route: str
    key: bytes = b""
    owner: bytes = b""
    was_rejected: bool = False  # whether the caller was rejected before, or has little time left for other reasons
    body_bytes: int = 0  # the size of a body that is sent in chunks, as the receiver grants them
    #: The time of the sender's monotonic clock at which both remaining times are exact (`dataplane.delay_estimation`).
    sent_at: float = 0.0


class ForwardResponse(msgspec.Struct, tag=20, array_like=True):
    """How a forwarded request ended."""

    number: int
    outcome: int  # a value of lugspur.mesh.dataplane.request_outcome.RequestOutcome
    response: BackendResponse | None = None
    was_sent: bool = True  # whether the request was sent to the backend
    in_flight: int = 0  # the number of requests in flight at that backend
    cause: int = 0  # a value of lugspur.mesh.dataplane.failure_cause.FailureCause
    is_stored: bool = False  # whether a majority of the voters has the response of a keyed request on disk


class CancelRequest(msgspec.Struct, tag=21, array_like=True):
    """Cancels a request whose caller has left."""

    number: int


class WithdrawRequest(msgspec.Struct, tag=28, array_like=True):
    """Withdraws a request whose caller has left, so that it is not started any more.

    A request that the backend already processes continues. A ForwardResponse follows in both cases.
    """

    number: int


class FetchOutcomes(msgspec.Struct, tag=29, array_like=True):
    """Asks which of these requests, sent on a connection that has ended, have not run and never will.

    A ForwardResponse follows, now or later, for each request that is proven not to have run; nothing follows for the
    others.
    """

    numbers: list[int]


class GrantBody(msgspec.Struct, tag=22, array_like=True):
    """Permits the sender of a body to send its bytes up to an offset."""

    number: int
    up_to_offset: int


class BodyChunk(msgspec.Struct, tag=23, array_like=True):
    """The next bytes of a body."""

    number: int
    data: bytes
