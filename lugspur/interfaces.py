"""Interfaces between the protocols and the pools: requests, responses, and attempts to send them to backends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from lugspur.load_balancing.model import Outcome

if TYPE_CHECKING:
    from lugspur.discovery.endpoints import Address
    from lugspur.http1.body import Body
    from lugspur.pipe import Pipe


@dataclass(slots=True)
class Request:
    """A request as it was received; `arrived` is the loop's time of its first byte."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]  # those that the proxy reads, by lower-case name
    lines: list[bytes]  # the end-to-end headers except X-Timeout, each with its line end
    body: bytes
    arrived: float
    keep_alive: bool
    configuration: Any = None  # the daemon's configuration when the head was received
    grpc_form: GrpcForm | None = None  # what a gRPC request has in addition to these fields
    stream: Body | None = None  # the body, if it is streamed
    ended: float = 0.0  # the loop's time of the last byte; for a stream, of the last byte before delivery
    is_http10: bool = False  # HTTP/1.0: the sender doesn't support chunks


@dataclass(slots=True)
class Response:
    """The response of a backend."""

    status: int
    head: bytes  # the end-to-end headers, each with its line end
    body: bytes
    length: int | None = None  # Content-Length of the body that is omitted for a HEAD request
    trailers: bytes | None = None  # trailer lines, if a gRPC backend responds to a gRPC request


class Responder(Protocol):
    """The caller that a final response is owed to."""

    on_disconnect: Callable[[], None] | None  # called if the caller disconnects before its response
    peer: str  # the remote IP address

    def admit(self) -> None:
        """Accept its request; raises RejectionError if there are too many connections."""

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write the final response.

        `head` contains complete header lines; `length` is that of the body that is omitted for a HEAD request.
        """

    def streaming_receiver(self) -> StreamingReceiver | None:
        """Return the receiver of a streamed response; None where streaming is impossible: several callers, or gRPC."""


class StreamingReceiver(Protocol):
    """A receiver of a streamed response."""

    def begin_response(self, status: int, head: bytes, length: int | None, pipe: Pipe) -> None:
        """Write a response head.

        The body follows through the pipe; `finish_response` completes it, and `respond` aborts it.
        """

    def finish_response(self) -> None:
        """Mark the streamed response as complete."""


class GrpcForm(Protocol):
    """The parts of a gRPC request that HTTP/1.1 lacks; it also returns the response in gRPC form."""

    @property
    def pipe(self) -> Pipe | None:
        """The messages of a streaming call; None: the request's body contains all messages."""

    def to_http1(self, request: Request) -> Request:
        """Return the request in the form for an HTTP/1.1 backend."""

    @property
    def requires_grpc(self) -> bool:
        """Whether only a gRPC backend can take it: a streaming call, or one that has not exactly one message."""

    def begin_messages(self, head: bytes, body: Pipe) -> None:
        """Stream a response that has begun; `finish` ends it."""

    def finish(self, head: bytes, body: bytes, trailers: bytes) -> None:
        """Write the response, or the part of it that has not been streamed."""


class Attempt(Protocol):
    """One attempt that has been sent, from its start to its single outcome."""

    started: float  # the loop's time

    @property
    def backend(self) -> ListedBackend:
        """The backend that the attempt was sent to."""

    @property
    def open(self) -> bool:
        """Whether the outcome has not been reported."""

    def latency(self, now: float) -> float:
        """Return the backend's latency in seconds if the attempt ends now."""

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once, and release the connection or stream."""

    def expire(self) -> None:
        """Time out the attempt."""


class AttemptObserver(Protocol):
    """The observer of one attempt."""

    def on_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Take the outcome."""

    def on_committed(self) -> None:
        """Bind the request to this attempt, because a message has been forwarded."""

    def on_response_begun(self, response: Response, body: Pipe) -> None:
        """Start streaming the response; `response` contains only its head."""


class ListedBackend(Protocol):
    """A backend as the endpoint list describes it."""

    address: Address
    family: int | None  # address family of a numeric address; None: the name has to be resolved
    server: int  # the backend's number in the endpoint list
    started: float
    in_service: bool


class BackendTransport(Protocol):
    """A transport of attempts to backends that don't speak HTTP/1.1."""

    def start(
        self,
        backend: ListedBackend,
        request: Request,
        until: float,
        watcher: AttemptObserver,
        repeatable: bool,
        timed: bool,
    ) -> Attempt:
        """Send an attempt; its outcome is reported later."""

    def update(self, backend: ListedBackend, address: Address, started: float, in_service: bool) -> None:
        """Apply what the endpoint list says about a backend; called before the backend itself is changed."""

    def close(self) -> None:
        """Close all connections; nothing is sent from here any more."""
