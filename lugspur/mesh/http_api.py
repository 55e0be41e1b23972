"""The HTTP API of a process: dispatch by method and path segments, and error responses from one table."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from lugspur.discovery.endpoints import read_address
from lugspur.http1.body_memory import BodyMemory
from lugspur.http1.front import Front
from lugspur.http1.request_parser import Sizes
from lugspur.interfaces import Request, Responder
from lugspur.mesh import events
from lugspur.mesh.control.errors import RESPONSES, ErrorKind, MeshError

JSON_CONTENT_TYPE = b"Content-Type: application/json\r\n"
# Maximum size of a call's body: one call may carry the whole configuration, 20,000 items of 800 bytes. Three bodies
# have to fit into the unsent bytes of a connection between two processes: a change is sent to each voter and may be
# proposed again.
MAX_CALL_BYTES = 16 << 20
MAX_CALLERS = 256  # maximum number of connections to one address
UNKNOWN_CALL_LOG_INTERVAL_SECONDS = 1.0  # between two log lines about calls without a handler
MAX_LOGGED_PATH_CHARACTERS = 100  # of a call without a handler
#: Handles a call; its last argument are the path segments that `*` matched. It may raise MeshError.
Handler = Callable[[Request, Responder, list[str]], None]
_encode = msgspec.json.Encoder().encode


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of the response to a failed call."""

    error: str  # the value of an `ErrorKind`
    detail: str  # the reason, in one line


def reply(caller: Responder, body: bytes = b"{}", status: int = 200, head: bytes = b"") -> None:
    """Respond to a call."""
    caller.respond(status, head + JSON_CONTENT_TYPE, body)


def fail(caller: Responder, fault: MeshError) -> None:
    """Respond to a failed call with the code of the error and its detail."""
    row = RESPONSES[fault.kind]
    after = b"Retry-After: %.2f\r\n" % row.retry_after_seconds if row.retry_after_seconds else b""
    # A detail may quote the call, including lone surrogates, which UTF-8 can't encode.
    detail = fault.detail.encode("utf-8", "replace").decode()
    reply(caller, _encode(ErrorBody(fault.code, detail)), row.status, after)


class HttpApi:
    """The handlers of a process, by method and path; in a path `*` matches any one segment."""

    def __init__(self) -> None:
        self._handlers: list[tuple[str, list[str], Handler]] = []
        self.calls: Counter[str] = Counter()  # calls since the start, by method and path of their handler
        self.unknown_calls = 0  # calls without a handler
        self._unknown_logged_at = float("-inf")

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Add a handler for a method and a path."""
        self._handlers.append((method, path.strip("/").split("/"), handler))

    def handle(self, request: Request, caller: Responder) -> None:
        """Handle one call; respond with an error if there is no handler or the handler raises MeshError."""
        method = request.method.decode("ascii", "replace")
        segments = request.target.partition(b"?")[0].decode("ascii", "replace").strip("/").split("/")
        for wanted, pattern, handler in self._handlers:
            if wanted != method or len(pattern) != len(segments):
                continue
            if all(p in ("*", s) for p, s in zip(pattern, segments, strict=True)):
                caller.admit()
                self.calls[f"{method} /{'/'.join(pattern)}"] += 1
                try:
                    handler(request, caller, [s for p, s in zip(pattern, segments, strict=True) if p == "*"])
                except MeshError as fault:
                    fail(caller, fault)
                return
        path = request.target.decode("ascii", "replace")[:MAX_LOGGED_PATH_CHARACTERS]
        self._unknown_call(request.arrived, method, path)
        fail(caller, MeshError(ErrorKind.NO_CALL, f"{method} {path}"))

    def _unknown_call(self, now: float, method: str, path: str) -> None:
        """Count a call without a handler; at most one a second is logged."""
        self.unknown_calls += 1
        if now - self._unknown_logged_at >= UNKNOWN_CALL_LOG_INTERVAL_SECONDS:
            self._unknown_logged_at = now
            events.warn("unknown-call", method=method, path=path, calls=self.unknown_calls)

    async def serve(self, address: str, memory: int, body_memory: BodyMemory | None = None) -> Front:
        """Listen for calls at an address.

        `memory`: the memory limit of the process in bytes; `body_memory` admits the bodies of calls.
        """
        front = Front(read_address(address), MAX_CALLERS, memory, self.handle)
        front.body_memory = body_memory
        front.sizes = Sizes(body=MAX_CALL_BYTES, ordinary=True)
        await front.listen()
        return front
