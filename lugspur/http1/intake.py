"""Reads one caller's bytes into requests; what may not go on to a backend ends as a rejection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from lugspur.http1.body import HOLD, KEEP, Body
from lugspur.http1.hops import HOP_BY_HOP
from lugspur.seams import Request

BODY_MOST = 64 << 10  # bytes of a request's body, where nothing else is said
STREAM_MOST = 40 << 20  # bytes of a body that is passed on in pieces: 32 MB are to be expected, 60 MB are turned away
HEAD_MOST = 16 << 10  # bytes of a request's head: what backends commonly read
WIRE_PART = 8  # times the limit on a body that a request may take on the wire: the smallest chunks take six
VERSIONS = ("1.1", "1.0")
REWRITTEN = frozenset(  # what the daemon writes anew for each request, so that it needn't be taken out of the lines
    {b"host", b"x-request-id", b"x-forwarded-for", b"x-forwarded-proto"}
)
NAMED = frozenset(
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


class Rejected(Exception):
    """A request that is answered here: its status and one line of reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True, frozen=True)
class Sizes:
    """What a caller may send, in bytes; `ordinary`: any HTTP client, whose every header may be asked for."""

    head: int = HEAD_MOST
    body: int = BODY_MOST
    ordinary: bool = False
    hold: int = 1 << 62  # beyond it a body is passed on in pieces


PLATFORM = Sizes(body=STREAM_MOST, hold=HOLD)


class Intake:
    """The parser of one connection: whole requests are delivered, the first fault is kept and ends it."""

    __deletable__ = ("_deliver", "_expected", "_parser", "_room", "_terms")  # for mypyc

    def __init__(
        self,
        deliver: Callable[[Request], None],
        sizes: Sizes = PLATFORM,
        expected: Callable[[], None] | None = None,
        terms: Callable[[], object] | None = None,
        room: Callable[[], None] = lambda: None,
    ) -> None:
        self._room = room  # told when more of a body that is passed on may come
        self._terms = terms  # asked for each request's terms when its head has come
        self._deliver = deliver
        self._sizes = sizes
        self._expected = expected  # told when a caller waits for a word before it sends its body
        self._parser = httptools.HttpRequestParser(self)
        self.fault: Rejected | None = None
        self.reading = False  # a request has begun and is not whole
        self._begun = 0  # requests so far
        self.arrived = self.headed_at = 0.0
        self._begin()

    def close(self) -> None:
        """Let go of the parser: it and this object hold each other."""
        del self._parser, self._deliver, self._expected, self._terms, self._room

    def feed(self, data: memoryview, now: float) -> None:
        """Read what has come in."""
        begun, self._now = self._begun if self.reading else 0, now
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400, "the request is malformed")
        if begun == self._begun and self.reading:  # not what has begun behind another in these bytes
            self._wire += len(data)
            # Of a stream by what has come of it: its limit alone would let framing go on for hundreds of MB.
            body = min(self._sizes.body, max(self._size, self._sizes.hold))
            most = WIRE_PART * body + self._sizes.head
            if not self._headed and self._wire > self._sizes.head:
                self._reject(431, "the head is too large")  # Guards memory against one header without end.
            elif self._wire > most:  # Guards memory against chunk framing without end.
                self._reject(413, "the request is too large")

    def body_due(self, rate: float) -> float:
        """When so much of the body would have come at this rate, in bytes a second; while its head comes, never."""
        return self.headed_at + self._size / rate if self._headed else 0.0

    def held(self) -> int:
        """Bytes of the body of a request that is not whole."""
        if self.stream is not None:
            return self.stream.held
        return min(self._size, self._sizes.body) if self.reading else 0

    def _reject(self, status: int, reason: str) -> None:
        if self.fault is None:
            self.fault = Rejected(status, reason)

    def _begin(self) -> None:
        self._target: list[bytes] = []
        self._headers: dict[bytes, bytes] = {}
        self._connection = b""
        self._lines: list[bytes] = []
        self._body: list[bytes] = []
        self._head = self._size = self._wire = 0
        self._headed = False
        self._length: int | None = None
        self._judged_by: object = None
        self.stream: Body | None = None  # the body of a request that has been delivered and is not whole

    # ---- the parser's calls ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        self._begin()
        self.reading, self.arrived = True, self._now
        self._begun += 1

    def on_url(self, url: bytes) -> None:
        self._target.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        # Guards against trailers that would count as headers, and against work for what is rejected anyway.
        if self._headed or self.fault is not None:
            return
        self._head += len(name) + len(value) + 4
        if self._head > self._sizes.head:
            self._reject(431, "the head is too large")
        elif not value.isascii():  # Guards backends that close on what they can't read.
            self._reject(400, "a header is not plain text")
        else:
            # Guards what is compared against the white space that may stand behind a value (RFC 9112 5.1).
            self._header(name, name.lower(), value.strip(b" \t"))

    def _header(self, name: bytes, lower: bytes, value: bytes) -> None:
        if lower in NAMED:
            if lower in self._headers:  # Guards against a backend that reads the other one.
                self._reject(400, "a header comes twice")
            self._headers[lower] = value
        elif self._sizes.ordinary:
            self._any(lower, value)
        if self._sizes.ordinary and lower in REWRITTEN:
            return
        if lower == b"connection":
            self._connection += b"," + value.lower()
        elif lower == b"content-length":
            self._length = int(value)
            if self._length > self._sizes.body:
                self._reject(413, "the body is too large")
        elif lower == b"transfer-encoding" and value.lower() != b"chunked":
            # Guards against a body that others end elsewhere.
            self._reject(400, "the transfer coding is unknown")
        # Guards, by the last, against a backend that takes `_` for `-` and reads a header not checked here.
        if lower != b"x-timeout" and lower not in HOP_BY_HOP and b"_" not in lower:
            self._lines.append(b"%b: %b\r\n" % (name, value))

    def _any(self, lower: bytes, value: bytes) -> None:
        """A header that routes may ask for; one that comes in several lines is their list (RFC 9110 5.3)."""
        before = self._headers.get(lower)
        self._headers[lower] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        self._headed, self.headed_at = True, self._now
        self._judged_by = None if self._terms is None else self._terms()
        version = self._parser.get_http_version()
        if self._parser.should_upgrade():  # Guards against bytes behind the head that are no request.
            self._reject(400, "no upgrade here")
        elif version not in VERSIONS:
            self._reject(505, "HTTP/1.1 is spoken here")
        elif version == "1.1" and b"host" not in self._headers:
            self._reject(400, "no host")
        elif self._connection:
            self._drop_named({token.strip() for token in self._connection.split(b",")})
        if self._expected is not None and self.fault is None and b"expect" in self._headers:
            self._expect(self._headers[b"expect"].lower(), self._expected)

    def _expect(self, what: bytes, expected: Callable[[], None]) -> None:
        if what != b"100-continue":
            self._reject(417, "the expectation is unknown")
        elif self._parser.get_http_version() == "1.1":  # RFC 9110 10.1.1: 1.0 has no such answer
            expected()

    def _drop_named(self, named: set[bytes]) -> None:
        """Headers that `Connection` names end here."""
        if not named.isdisjoint(NAMED):  # Guards against a request that loses its id on the way.
            self._reject(400, "a header can't be dropped")
        self._lines = [line for line in self._lines if line.partition(b":")[0].lower() not in named]
        for name in named:  # Guards routes and tenants against a header that no backend will see.
            self._headers.pop(name, None)

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._sizes.body:
            self._reject(413, "the body is too large")
        elif self.stream is not None:
            self.stream.put(body)
        else:
            self._body.append(body)
            if self._size > self._sizes.hold and self.fault is None:
                stream = Body(self._length, self._room, KEEP * self._sizes.hold)
                stream.put(b"".join(self._body))
                self._body.clear()
                self._pass(stream)
                self.stream = stream

    def on_message_complete(self) -> None:
        self.reading = False
        stream, self.stream = self.stream, None
        if stream is None:
            self._pass(None)
        elif self.fault is None:
            stream.end()

    def _pass(self, stream: Body | None) -> None:
        """Deliver the request: whole, or with a body that is passed on as it comes."""
        target = b"".join(self._target)
        if b"#" in target:
            self._reject(400, "the target is malformed")
        if self.fault is not None:
            return
        self._deliver(
            Request(
                self._parser.get_method(),
                target,
                self._headers,
                self._lines,
                b"".join(self._body),
                self.arrived,
                self._parser.should_keep_alive(),
                self._judged_by,
                stream=stream,
                ended=self._now,
                old=self._parser.get_http_version() == "1.0",
            )
        )
