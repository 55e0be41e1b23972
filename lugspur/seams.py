"""Where protocols meet the pools: what a request may bring along, and what carries an attempt to a box."""

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
    """A whole request as it came; `arrived` is the loop's time of its first byte."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]  # those that the proxy reads, by their names in lower case
    lines: list[bytes]  # the end-to-end headers, each with its line end, but for the time
    body: bytes
    arrived: float
    keep_alive: bool
    terms: Any = None  # by what it is judged, as of its head; the daemon's
    form: Form | None = None  # what it has beyond this, where it came as gRPC
    stream: Body | None = None  # its body, where that is passed on as it comes
    ended: float = 0.0  # the loop's time of its last byte; of a stream, of what there is
    old: bool = False  # HTTP/1.0: its sender knows no chunks


@dataclass(slots=True)
class Response:
    """A backend's whole answer."""

    status: int
    head: bytes  # its end-to-end headers, each with its line end
    body: bytes
    length: int | None = None  # of the body that a HEAD request was spared
    trailers: bytes | None = None  # lines behind the body, where a gRPC box answers a request that came as gRPC


class Answerable(Protocol):
    """Who a final answer is owed to."""

    gone: Callable[[], None] | None  # told when it leaves before its answer
    peer: str  # the address that it connected from

    def admit(self) -> None:
        """Take up its request; raises Rejected where there are too many connections."""

    def answer(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write the one final answer: whole header lines, a body, and the length of one that HEAD is spared."""

    def passing(self) -> Passing | None:
        """Who takes the answer as it comes, where it may be passed on so: not several, nor as gRPC."""


class Passing(Protocol):
    """Who takes an answer as it comes."""

    def begin_answer(self, status: int, head: bytes, length: int | None, flow: Pipe) -> None:
        """Write an answer's head; its body comes through the pipe, and `finish_answer` ends it, or `answer` cuts it."""

    def finish_answer(self) -> None:
        """The answer that was begun is whole."""


class Form(Protocol):
    """What a gRPC request has beyond an HTTP/1.1 one, and how its answer goes back as it came."""

    @property
    def pipe(self) -> Pipe | None:
        """Its messages, where they are not all there: a stream. None: the request's body has them all."""

    def plain(self, request: Request) -> Request:
        """The request for a box that speaks HTTP/1.1."""

    @property
    def bound(self) -> bool:
        """Whether only a gRPC box can take it: a stream, or any other number of messages than one."""

    def begin_messages(self, head: bytes, body: Pipe) -> None:
        """Pass on an answer that has begun; `finish` ends it."""

    def finish(self, head: bytes, body: bytes, trailers: bytes) -> None:
        """Write the answer, or what of it has not been passed on."""


class Attempt(Protocol):
    """One attempt on the wire: from its start to its one outcome."""

    started: float  # in the loop's time

    @property
    def backend(self) -> Listed:
        """Who has it."""

    @property
    def open(self) -> bool:
        """Whether its outcome has not been reported."""

    def latency(self, now: float) -> float:
        """Seconds that the box took, if it ends now."""

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once, and let go of what carries it."""

    def expire(self) -> None:
        """The time that it is waited for is up."""


class Watcher(Protocol):
    """Who is told of one attempt."""

    def ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Its one outcome."""

    def bound(self) -> None:
        """A message has passed: the request belongs to this attempt from now on."""

    def begun(self, response: Response, body: Pipe) -> None:
        """Its answer is passed on as it comes; `response` has its head alone."""


class Listed(Protocol):
    """A box as the list has it."""

    address: Address
    family: int | None  # that of a numeric address; a name has to be looked up
    server: int  # its number in the list
    started: float
    in_service: bool


class Lane(Protocol):
    """Carries attempts to boxes that speak another protocol than HTTP/1.1."""

    def start(
        self, backend: Listed, request: Request, until: float, watcher: Watcher, repeatable: bool, timed: bool
    ) -> Attempt:
        """Send an attempt; its outcome is told later."""

    def update(self, backend: Listed, address: Address, started: float, in_service: bool) -> None:
        """What the list says of a box now; told before the backend itself is changed."""

    def close(self) -> None:
        """Let go of all connections; nothing is sent from here any more."""
