"""The callers' side: HTTP/1.1 requests in, answers out, and `/healthz`."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from jaspershelf.model import Repeat
from lugspur.config import Config
from lugspur.upstream import BODY_MOST, HOP_BY_HOP

INPUT_MOST = 512 << 10  # bytes that one request may take on the wire, chunk framing and headers included
LINGER = 1.0  # seconds in which a rejected sender's bytes are read and dropped: a reset would eat the answer
BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTS = 8  # taken in one go: with no descriptor left the loop complains once for each, every second
TIME = re.compile(rb"\d{1,9}(\.\d+)?")
METHODS = {Repeat.SAFE: (b"GET", False), Repeat.KEYED: (b"POST", True), Repeat.UNSAFE: (b"POST", False)}
NAMED = frozenset(
    {b"x-priority-class", b"x-tenant-id", b"x-timeout", b"x-request-id", b"x-retried", b"x-cost",
     b"idempotency-key"}
)


class Rejected(Exception):
    """A request that is answered here: its status and one line of reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True)
class Request:
    """A whole request as it came; `arrived` is the loop's time of its first byte."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]  # those that the proxy reads
    lines: bytes  # the end-to-end headers, each with its line end, but for the time
    body: bytes
    arrived: float
    keep_alive: bool
    fault: Rejected | None = None


@dataclass(slots=True)
class Facts:
    """What the decisions need of a request."""

    kind: int
    tenant: int
    timeout: float
    cost: float
    retry: bool


class Front:
    """All connections of callers, within a limit on their number."""

    def __init__(self, config: Config, most: int, handle: Callable[[Request, Caller], None]) -> None:
        self.config = config
        self.handle = handle
        self.most = most
        self.ready = False  # the list is loaded
        self.serving = False  # the listener accepts, and is to go on
        self.closing = False
        self.callers: set[Caller] = set()
        self.waiting: dict[Caller, None] = {}  # those that owe no answer, the longest waiting first
        self.last_accept = 0.0

    def healthy(self) -> bool:
        """Whether requests should be sent here."""
        return self.ready and self.serving

    async def listen(self) -> socket.socket:
        """Serve on the given address alone."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.config.listen)
        self._server = await loop.create_server(lambda: Caller(self), sock=sock, backlog=ACCEPTS)
        sock.listen(BACKLOG)
        self.serving = True
        return sock

    async def stop_listening(self, sock: socket.socket) -> None:
        """Take what the accept queue holds, then close the listener: closing it resets what is queued."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(sock.fileno())
        while True:
            try:
                accepted, _ = sock.accept()
            except OSError:
                break
            accepted.setblocking(False)
            await loop.connect_accepted_socket(lambda: Caller(self), accepted)
        self._server.close()

    def close(self) -> None:
        """From here on answers close their connection; those that wait for nothing are closed now."""
        self.closing = True
        for caller in tuple(self.waiting):
            caller.close()

    def classify(self, request: Request) -> Facts:
        """Read what the decisions need; raises Rejected where it is malformed or unknown."""
        get = request.headers.get
        if not get(b"x-request-id"):
            raise Rejected(400, "no request id")
        name = get(b"x-priority-class", b"").decode("latin-1")
        kind = self.config.classes.get(name)
        if kind is None:
            raise Rejected(400, "unknown class")
        method, keyed = METHODS[self.config.settings.classes[kind].repeat]
        if request.method != method or (keyed and not get(b"idempotency-key")):
            raise Rejected(400, "the method does not fit the class")
        tenant: int | None = 0
        if self.config.tenants:
            tenant = self.config.tenants.get(get(b"x-tenant-id", b"").decode("latin-1"))
        if tenant is None:
            raise Rejected(400, "unknown tenant")
        timeout = get(b"x-timeout", b"")
        if not TIME.fullmatch(timeout):
            raise Rejected(400, "the time is malformed")
        cost = get(b"x-cost", b"")
        guess = float(cost) / 1e6 if TIME.fullmatch(cost) else 0.0
        return Facts(kind, tenant, float(timeout), guess, get(b"x-retried") == b"1")


class Caller(asyncio.Protocol):
    """One caller's connection; its requests are answered one after another."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Request] = deque()
        self._busy = False
        self._dropping = False  # what further comes in is read and dropped
        self._input = 0
        self.gone: Callable[[], None] | None = None  # told when the caller leaves before its answer
        self._begin()

    def _begin(self) -> None:
        self._target: list[bytes] = []
        self._headers: dict[bytes, bytes] = {}
        self._lines: list[bytes] = []
        self._body: list[bytes] = []
        self._size = 0

    # ---- the connection ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        front = self._front
        front.last_accept = self._loop.time()
        front.callers.add(self)
        if len(front.callers) > front.most and front.waiting:
            next(iter(front.waiting)).close()  # Guards the limit on sockets: idle connections make room.
        front.waiting[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._front.callers.discard(self)
        self._front.waiting.pop(self, None)
        self._queue.clear()
        gone, self.gone = self.gone, None
        if gone is not None:
            gone()

    def close(self) -> None:
        """Close it, once what is written is out."""
        self._front.waiting.pop(self, None)
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        if self._dropping:
            return
        if not self._input:
            self._arrived = self._loop.time()
        self._input += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(400, "the request is malformed")
        if self._input > INPUT_MOST:  # Guards the memory limit against a request without end.
            self._reject(413, "the request is too large")
        if self._queue:
            self._next()

    def _reject(self, status: int, reason: str) -> None:
        """Answer what can't be read to its end; the connection is of no further use."""
        if self._dropping:
            return
        self._dropping = True
        fault = Rejected(status, reason)
        self._queue.append(Request(b"", b"", {}, b"", b"", self._arrived, False, fault))

    # ---- the parser's calls ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        self._begin()

    def on_url(self, url: bytes) -> None:
        self._target.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower in NAMED:
            self._headers[lower] = value
        if lower != b"x-timeout" and lower not in HOP_BY_HOP:
            self._lines.append(b"%b: %b\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size <= BODY_MOST:
            self._body.append(body)
        else:
            self._reject(413, "the body is too large")

    def on_message_complete(self) -> None:
        if self._dropping:
            return
        self._queue.append(Request(
            self._parser.get_method(), b"".join(self._target), self._headers, b"".join(self._lines),
            b"".join(self._body), self._arrived, self._parser.should_keep_alive(),
        ))
        self._input = 0

    # ---- requests and answers --------------------------------------------------------------

    def _next(self) -> None:
        """Take up the next request, unless one is still unanswered."""
        if self._busy:
            self._transport.pause_reading()  # Guards memory: a caller may not pile up requests unread.
            return
        request = self._queue.popleft()
        self._busy = True
        self._front.waiting.pop(self, None)
        self._keep_alive = request.keep_alive
        try:
            self._dispatch(request)
        except Rejected as fault:
            self.answer(fault.status, b"", fault.reason.encode() + b"\n")

    def _dispatch(self, request: Request) -> None:
        if request.fault is not None:
            raise request.fault
        path = request.target.partition(b"?")[0]
        if path == b"/healthz" and request.method == b"GET":
            healthy = self._front.healthy()
            self.answer(200 if healthy else 503, b"", b"ok\n" if healthy else b"not ready\n")
        elif path == b"/api" or path.startswith(b"/api/"):  # a request without a key has no last part
            if len(self._front.callers) > self._front.most:  # Guards the same where none is idle.
                self._keep_alive = False
                raise Rejected(503, "too many connections")
            self._front.handle(request, self)
        else:
            raise Rejected(404, "no such path")

    def answer(self, status: int, head: bytes, body: bytes) -> None:
        """Write the one final answer of the request that is being served."""
        self.gone = None
        self._busy = False
        keep = self._keep_alive and not self._front.closing
        self._transport.write(b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
            status, HTTPStatus(status).phrase.encode(), head, len(body),
            b"" if keep else b"Connection: close\r\n", body,
        ))
        if self._dropping and not self._queue:
            self._loop.call_later(LINGER, self._transport.abort)
            self._transport.write_eof()
        elif not keep:
            self._queue.clear()
            self.close()
        else:
            self._front.waiting[self] = None
            self._transport.resume_reading()
            if self._queue:
                self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        if self._queue and not self._busy:
            self._next()
