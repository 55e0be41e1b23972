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
    header_lines: list[bytes]  # each with its line end, `Host` among them; none that frames the body
    body: bytes
    seconds_left: float  # until the request's deadline
    latency_target_left: float  # seconds in which a response has its full value; below 0 when they are over
    attempt_id: bytes
    priority: int
    is_safe: bool
    route: str
    key: bytes = b""
    owner: bytes = b""
    was_rejected: bool = False  # its caller has been rejected before, or has little time for other reasons
    body_bytes: int = 0  # of a body that is sent in chunks, as they are granted
    sent_at: float = (
        0.0  # the sender's steady clock for which both times left are right, see `dataplane.delay_estimation`
    )


class ForwardResponse(msgspec.Struct, tag=20, array_like=True):
    """How a forwarded request ended."""

    number: int
    outcome: int  # a value of lugspur.mesh.dataplane.request_outcome.RequestOutcome
    response: BackendResponse | None = None
    was_sent: bool = True  # whether the request was offered to the backend
    in_flight: int = 0  # requests at that backend
    cause: int = 0  # a value of lugspur.mesh.dataplane.failure_cause.FailureCause


class CancelRequest(msgspec.Struct, tag=21, array_like=True):
    """Nobody waits for the request any more."""

    number: int


class WithdrawRequest(msgspec.Struct, tag=28, array_like=True):
    """Nobody waits for the request any more, so that it is not to be started.

    A request that the backend works on goes on. A ForwardResponse follows in both cases.
    """

    number: int


class FetchOutcomes(msgspec.Struct, tag=29, array_like=True):
    """Asks which of these requests, sent on a connection that has ended, have not run and never will.

    A ForwardResponse follows for each that is proven not to have run, now or later; nothing follows for the others.
    """

    numbers: list[int]


class GrantBody(msgspec.Struct, tag=22, array_like=True):
    """Allows the sender of a body to send its bytes up to an offset."""

    number: int
    up_to_offset: int


class BodyChunk(msgspec.Struct, tag=23, array_like=True):
    """The next bytes of a body."""

    number: int
    data: bytes
