"""Parses the bytes of one caller into requests; a request that may not be forwarded becomes a rejection."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import cast

import httptools

from lugspur.http1.body import MAX_BUFFERED_BODY, REPLAY_FACTOR, Body
from lugspur.http1.body_memory import (
    UNCOUNTED_BODY_BYTES,
    BodyMemory,
    BodyMemoryFullError,
    Direction,
    FramedBody,
    GrowingBody,
)
from lugspur.http1.hop_by_hop import HOP_BY_HOP
from lugspur.interfaces import Request

# Default limit in bytes on a request body.
MAX_BODY = 64 << 10
# Limit in bytes on a streamed request body: 32 MB are to be expected, 60 MB are rejected.
MAX_STREAMED_BODY = 40 << 20
# Limit in bytes on a request head: what backends commonly accept.
MAX_HEAD = 16 << 10
# Factor of the body limit that a request may take on the wire: with the smallest chunks it takes six times its size.
MAX_WIRE_FACTOR = 8
VERSIONS = ("1.1", "1.0")
# The proxy sets these headers on every request, so they need not be removed from the lines of an ordinary client.
PROXY_SET_HEADERS = frozenset({b"host", b"x-request-id", b"x-forwarded-for", b"x-forwarded-proto"})
PROXY_READ_HEADERS = frozenset(
    {
        b"x-priority-class",
        b"x-tenant-id",
        b"x-timeout",
        b"x-request-id",
        b"x-retried",
        b"x-cost",
        b"idempotency-key",
        b"host",
        b"expect",
    }
)


class RejectionError(Exception):
    """A request that is answered by the proxy itself, with this status and one line of reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True, frozen=True)
class Sizes:
    """Limits on requests in bytes.

    `ordinary` stands for any HTTP client, for which routes may refer to every header.
    """

    head: int = MAX_HEAD
    body: int = MAX_BODY
    ordinary: bool = False
    max_buffered_body: int = 1 << 62  # body size above which the body is streamed


PLATFORM = Sizes(body=MAX_STREAMED_BODY, max_buffered_body=MAX_BUFFERED_BODY)


class RequestParser:
    """The parser of one connection: it delivers requests, and the first error is kept and ends it."""

    __deletable__ = ("_deliver", "_send_continue", "_parser", "_resume_body", "_get_configuration")  # for mypyc

    def __init__(
        self,
        deliver: Callable[[Request], None],
        sizes: Sizes = PLATFORM,
        send_continue: Callable[[], None] | None = None,
        get_configuration: Callable[[], object] | None = None,
        resume_body: Callable[[], None] = lambda: None,
        memory: BodyMemory | None = None,
        on_room: Callable[[], None] = lambda: None,
    ) -> None:
        """`memory` admits bodies before they are read; `on_room` is called when one that has waited is admitted."""
        self._memory, self._on_room = memory, on_room
        self._receiver: FramedBody | GrowingBody | None = None  # of a body that the memory admits
        self._waiting_request: Request | None = None  # a complete request whose body waits for room
        self._resume_body = resume_body  # called when more of a streamed body may be received
        # Returns the configuration for a request; called when its head is complete.
        self._get_configuration = get_configuration
        self._deliver = deliver
        self._sizes = sizes
        self._send_continue = send_continue  # called for a request with `Expect: 100-continue`
        self._parser = httptools.HttpRequestParser(self)
        self.rejection: RejectionError | None = None
        self.reading = False  # whether a request has begun and is incomplete
        self._requests_begun = 0  # number of requests begun
        self.arrived = self.head_complete_at = 0.0
        self._reset()

    def close(self) -> None:
        """Release the parser: it and this object reference each other."""
        self._reset()
        self._on_room = lambda: None
        del self._parser, self._deliver, self._send_continue, self._get_configuration, self._resume_body

    def feed(self, data: memoryview, now: float) -> None:
        """Parse received bytes."""
        begun, self._now = self._requests_begun if self.reading else 0, now
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400, "the request is malformed")
        if begun == self._requests_begun and self.reading:  # not a request that began behind another one in these bytes
            self._wire_size += len(data)
            # A streamed body counts with its size so far: its limit alone would allow hundreds of MB of framing.
            body = min(self._sizes.body, max(self._body_size, self._sizes.max_buffered_body))
            max_wire_size = MAX_WIRE_FACTOR * body + self._sizes.head
            if not self._head_complete and self._wire_size > self._sizes.head:
                self._reject(431, "the head is too large")  # Guards memory against one endless header.
            elif self._wire_size > max_wire_size:  # Guards memory against endless chunk framing.
                self._reject(413, "the request is too large")
        is_counted = max(self._body_size, self._length or 0) > UNCOUNTED_BODY_BYTES
        if self._memory is not None and is_counted and self.reading and self._head_complete and self._receiver is None:
            self._admit_body(self._memory)

    @property
    def waits_for_memory(self) -> bool:
        """Whether nothing more may be read until there is memory for the body."""
        return self._receiver is not None and self._receiver.is_waiting

    @property
    def takes_memory(self) -> bool:
        """Whether the current body takes memory, or waits for it."""
        return self._receiver is not None

    @property
    def headers(self) -> Mapping[bytes, bytes]:
        """Return the headers of the current request, by lower-case name."""
        return self._headers

    def _admit_body(self, memory: BodyMemory) -> None:
        """Take room for the body of a request whose head is complete, before more of it is read."""
        if self.rejection is not None:
            return
        try:
            if self._length is None:
                self._receiver = GrowingBody(memory, Direction.OUTGOING, self._room_taken)
            else:
                self._receiver = FramedBody(memory, Direction.OUTGOING, self._length, self._room_taken)
            for piece in self._body:
                self._receiver.put(piece)
            self._body.clear()
        except BodyMemoryFullError:
            self._reject_for_memory()

    def _room_taken(self) -> None:
        """Go on with a body that has waited for room."""
        request, self._waiting_request = self._waiting_request, None
        if request is not None:
            request.body = self._take_body()
            self._deliver(request)
        self._on_room()

    def _reject_for_memory(self) -> None:
        self._reject(503, "no memory for the body")

    def drop_body(self) -> None:
        """Free what has been received of the current body, which is no longer needed."""
        self._waiting_request = None
        self._body.clear()
        if self._receiver is not None:
            self._receiver.close()

    def body_due(self, rate: float) -> float:
        """Return when the body so far is due at this rate in bytes per second; 0 while the head is incomplete."""
        return self.head_complete_at + self._body_size / rate if self._head_complete else 0.0

    def buffered_bytes(self) -> int:
        """Return the buffered bytes of the body of an incomplete request that no memory admits."""
        if self._receiver is not None:
            return 0
        if self.stream is not None:
            return self.stream.buffered
        return min(self._body_size, self._sizes.body) if self.reading else 0

    def _reject(self, status: int, reason: str) -> None:
        if self.rejection is None:
            self.rejection = RejectionError(status, reason)
            self.drop_body()

    def _reset(self) -> None:
        if self._receiver is not None:
            self._receiver.close()
        self._receiver = self._waiting_request = None
        self._target: list[bytes] = []
        self._headers: dict[bytes, bytes] = {}
        self._connection_options = b""
        self._lines: list[bytes] = []
        self._body: list[bytes] = []
        self._head_size = self._body_size = self._wire_size = 0
        self._head_complete = False
        self._length: int | None = None
        self._configuration: object = None
        self.stream: Body | None = None  # the body of an incomplete request that was delivered

    # ---- callbacks of the parser -----------------------------------------------------------

    def on_message_begin(self) -> None:
        if self._waiting_request is not None:  # Guards memory: nothing is read behind a body that waits.
            self._reject_for_memory()
        self._reset()
        self.reading, self.arrived = True, self._now
        self._requests_begun += 1

    def on_url(self, url: bytes) -> None:
        self._target.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        # Guards against trailers that would count as headers, and saves work on a request that is rejected anyway.
        if self._head_complete or self.rejection is not None:
            return
        self._head_size += len(name) + len(value) + 4
        if self._head_size > self._sizes.head:
            self._reject(431, "the head is too large")
        elif not value.isascii():  # Guards backends that close the connection on other bytes.
            self._reject(400, "a header is not plain text")
        else:
            # Guards comparisons against white space around a value (RFC 9112 5.1).
            self._process_header(name, name.lower(), value.strip(b" \t"))

    def _process_header(self, name: bytes, lower: bytes, value: bytes) -> None:
        if lower in PROXY_READ_HEADERS:
            if lower in self._headers:  # Guards against a backend that uses the other one.
                self._reject(400, "a header comes twice")
            self._headers[lower] = value
        elif self._sizes.ordinary:
            self._record_header(lower, value)
        if self._sizes.ordinary and lower in PROXY_SET_HEADERS:
            return
        if lower == b"connection":
            self._connection_options += b"," + value.lower()
        elif lower == b"content-length":
            self._length = int(value)
            if self._length > self._sizes.body:
                self._reject(413, "the body is too large")
        elif lower == b"transfer-encoding" and value.lower() != b"chunked":
            # Guards against a body whose end others determine differently.
            self._reject(400, "the transfer coding is unknown")
        # The last condition guards against a backend that takes `_` for `-` and reads a header not checked here.
        if lower != b"x-timeout" and lower not in HOP_BY_HOP and b"_" not in lower:
            self._lines.append(b"%b: %b\r\n" % (name, value))

    def _record_header(self, lower: bytes, value: bytes) -> None:
        """Record a header that routes may refer to; several lines form one list (RFC 9110 5.3)."""
        before = self._headers.get(lower)
        self._headers[lower] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        self._head_complete, self.head_complete_at = True, self._now
        self._configuration = None if self._get_configuration is None else self._get_configuration()
        version = self._parser.get_http_version()
        if self._parser.should_upgrade():  # Guards against bytes behind the head that are no request.
            self._reject(400, "no upgrade here")
        elif version not in VERSIONS:
            self._reject(505, "HTTP/1.1 is spoken here")
        elif version == "1.1" and b"host" not in self._headers:
            self._reject(400, "no host")
        elif self._connection_options:
            self._drop_connection_headers({token.strip() for token in self._connection_options.split(b",")})
        if self._send_continue is not None and self.rejection is None and b"expect" in self._headers:
            self._check_expectation(self._headers[b"expect"].lower(), self._send_continue)

    def _check_expectation(self, what: bytes, send_continue: Callable[[], None]) -> None:
        if what != b"100-continue":
            self._reject(417, "the expectation is unknown")
        elif self._parser.get_http_version() == "1.1":  # RFC 9110 10.1.1: HTTP/1.0 has no 100 response
            send_continue()

    def _drop_connection_headers(self, named: set[bytes]) -> None:
        """Drop the headers that `Connection` names."""
        if not named.isdisjoint(PROXY_READ_HEADERS):  # Guards against a request that loses its id on the way.
            self._reject(400, "a header can't be dropped")
        self._lines = [line for line in self._lines if line.partition(b":")[0].lower() not in named]
        for name in named:  # Guards routes and tenants against a header that no backend will see.
            self._headers.pop(name, None)

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self._sizes.body:
            self._reject(413, "the body is too large")
        elif self.stream is not None:
            self.stream.put(body)
        elif self._receiver is not None:
            self._receive(self._receiver, body)
        else:
            self._body.append(body)
            if self._body_size > self._sizes.max_buffered_body and self.rejection is None:
                stream = Body(self._length, self._resume_body, REPLAY_FACTOR * self._sizes.max_buffered_body)
                stream.put(b"".join(self._body))
                self._body.clear()
                self._deliver_request(stream)
                self.stream = stream

    def _receive(self, receiver: FramedBody | GrowingBody, data: bytes) -> None:
        if self.rejection is not None:
            return
        try:
            receiver.put(data)
        except BodyMemoryFullError:
            self._reject_for_memory()

    def on_message_complete(self) -> None:
        self.reading = False
        stream, self.stream = self.stream, None
        if stream is None:
            self._deliver_request(None)
        elif self.rejection is None:
            stream.end()

    def _admit_complete_body(self) -> None:
        """Take room for a body that came in one read; raises BodyMemoryFullError if there is none, and none to wait."""
        size = sum(map(len, self._body))
        if self._memory is None or self._receiver is not None or size <= UNCOUNTED_BODY_BYTES:
            return
        self._receiver = FramedBody(self._memory, Direction.OUTGOING, size, self._room_taken)
        for piece in self._body:
            self._receiver.put(piece)
        self._body.clear()

    def _take_body(self) -> bytes:
        """Return the buffered body, and keep nothing of it."""
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            return cast(bytes, receiver.finish())  # not copied: a buffer can be read like bytes
        body = b"".join(self._body)
        self._body.clear()  # else the pieces would stay in memory until the next request of the connection
        return body

    def _deliver_request(self, stream: Body | None) -> None:
        """Deliver the request, with its whole body or with a stream."""
        target = b"".join(self._target)
        if b"#" in target:
            self._reject(400, "the target is malformed")
        if self.rejection is not None:
            return
        try:
            self._admit_complete_body()
        except BodyMemoryFullError:
            self._reject_for_memory()
            return
        request = Request(
            self._parser.get_method(),
            target,
            self._headers,
            self._lines,
            b"",
            self.arrived,
            self._parser.should_keep_alive(),
            self._configuration,
            stream=stream,
            ended=self._now,
            is_http10=self._parser.get_http_version() == "1.0",
        )
        if self.waits_for_memory:
            self._waiting_request = request
            return
        request.body = self._take_body()
        self._deliver(request)
