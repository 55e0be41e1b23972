"""Calls over HTTP: one dispatch on method and path segments, and error answers from one table."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from lugspur.discovery.endpoints import read_address
from lugspur.http1.front import Front
from lugspur.http1.request_parser import Sizes
from lugspur.interfaces import Request, Responder
from lugspur.mesh import events
from lugspur.mesh.control.errors import RESPONSES, ErrorKind, MeshError

JSON_CONTENT_TYPE = b"Content-Type: application/json\r\n"
# Bytes of a call's body: the whole configuration comes in one, 20,000 items of 800 bytes. Three of them have to fit
# into what a connection between two processes may hold unsent: a change goes to each voter, and may be proposed again.
MAX_CALL_BYTES = 16 << 20
MAX_CALLERS = 256  # connections at one address
UNKNOWN_CALL_LOG_INTERVAL_SECONDS = 1.0  # between two log lines about calls that no handler takes
MAX_LOGGED_PATH_CHARACTERS = 100  # of a call that no handler takes
#: Handles a call; it is given the segments of the path that `*` stood for, and may raise MeshError.
Handler = Callable[[Request, Responder, list[str]], None]
_encode = msgspec.json.Encoder().encode


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of the answer to a call that has failed."""

    error: str  # the code of `errors.Kind`
    detail: str  # one line of what is wrong


def reply(caller: Responder, body: bytes = b"{}", status: int = 200, head: bytes = b"") -> None:
    """Answer a call."""
    caller.respond(status, head + JSON_CONTENT_TYPE, body)


def fail(caller: Responder, fault: MeshError) -> None:
    """Answer a call that has failed: with the code of the fault, and one line of what is wrong."""
    row = RESPONSES[fault.kind]
    after = b"Retry-After: %.2f\r\n" % row.retry_after_seconds if row.retry_after_seconds else b""
    # A detail may quote what came in the call, lone halves of surrogate pairs included, which UTF-8 does not have.
    detail = fault.detail.encode("utf-8", "replace").decode()
    reply(caller, _encode(ErrorBody(fault.code, detail)), row.status, after)


class HttpApi:
    """The calls that a process takes, by method and path; in a path `*` stands for any one segment."""

    def __init__(self) -> None:
        self._handlers: list[tuple[str, list[str], Handler]] = []
        self.calls: Counter[str] = Counter()  # taken since the start, by method and path of their handler
        self.unknown_calls = 0  # that no handler took
        self._unknown_logged_at = float("-inf")

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Take calls of a method and a path."""
        self._handlers.append((method, path.strip("/").split("/"), handler))

    def handle(self, request: Request, caller: Responder) -> None:
        """Take one call; it is answered where no handler takes it, or where that raises MeshError."""
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
        """Count a call that no handler takes; of many in a row one a second is logged."""
        self.unknown_calls += 1
        if now - self._unknown_logged_at >= UNKNOWN_CALL_LOG_INTERVAL_SECONDS:
            self._unknown_logged_at = now
            events.warn("unknown-call", method=method, path=path, calls=self.unknown_calls)

    async def serve(self, address: str, memory: int) -> Front:
        """Listen for calls at an address; `memory`: bytes that the process may use."""
        front = Front(read_address(address), MAX_CALLERS, memory, self.handle)
        front.sizes = Sizes(body=MAX_CALL_BYTES, ordinary=True)
        await front.listen()
        return front
