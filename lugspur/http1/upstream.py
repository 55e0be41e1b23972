"""HTTP/1.1 connections to backends: pooling, sending, timeouts, cancellation and the outcome of each exchange."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from contextlib import suppress

import httptools

from lugspur.discovery.endpoints import Address
from lugspur.http1.body import Body
from lugspur.http1.dial import LOCAL_ERRORS, Dial
from lugspur.http1.hop_by_hop import HOP_BY_HOP
from lugspur.interfaces import BackendTransport, Response
from lugspur.invariants import Invariant, check
from lugspur.load_balancing.model import Outcome
from lugspur.pipe import Pipe
from lugspur.routing.shares import SharedLimit

# Default limit in bytes on a response that is buffered whole.
MAX_BUFFERED_RESPONSE = 1 << 20
# Size in bytes above which a response is streamed to the caller.
STREAMING_THRESHOLD = 64 << 10
# Limit in bytes on a streamed response: 32 MB are to be expected, endless responses announce gigabytes.
MAX_STREAMED_RESPONSE = 40 << 20
# Fraction of the memory limit for all streamed responses together. Buffering them frees the backend early.
STREAM_MEMORY_FRACTION = 0.25
# Bytes of one streamed response that may always wait for its caller, however many are streamed.
MIN_STREAM_BUFFER = 8 << 10
# Fraction of the memory limit for incomplete buffered responses: many large ones could fill the memory.
RESPONSE_MEMORY_FRACTION = 0.125
# Limit in bytes on a response head, including the 1xx responses ahead of it: what HTTP clients commonly read.
MAX_HEAD = 16 << 10
# Limit on the number of 1xx responses ahead of a response.
MAX_INFORMATIONAL_RESPONSES = 16
# Bytes read at once, into one buffer that all connections share.
READ_SIZE = 64 << 10
# Fraction of the backends' idle timeout after which idle connections are closed, well before the backend does so.
IDLE_TIMEOUT_FRACTION = 0.5
# Default limit on idle connections kept to one backend.
MAX_IDLE_PER_BACKEND = 2
# Seconds without connection reuse after a reused connection broke before any byte of a response.
NO_REUSE_SECONDS = 10.0
# Seconds allowed between two pieces of a response: a response arrives in one go, and a second attempt needs about
# 0.2 s.
STALL_TIMEOUT = 0.1


def classify(status: int, not_processed: bool) -> Outcome:
    """Classify a response of the platform's protocol; `not_processed` means that it has `X-Not-Processed: 1`."""
    if status == 200:
        return Outcome.OK
    return Outcome.OVERLOADED if status in (503, 504) and not_processed else Outcome.ERROR


class Backend:
    """One backend of the endpoint list and its idle connections, the most recently used last."""

    __slots__ = ("address", "family", "idle", "in_service", "keep_alive_seconds", "transport", "server", "started")

    def __init__(self, address: Address, server: int = 0) -> None:
        self.move(address)
        self.server = server  # the backend's number in the endpoint list
        self.started = 0.0
        self.in_service = False
        self.idle: list[Connection] = []
        self.keep_alive_seconds = 0.0  # seconds for which the backend keeps idle connections; 0: not announced
        self.transport: BackendTransport | None = None  # carries the attempts to a backend that doesn't speak HTTP/1.1

    def move(self, address: Address) -> None:
        """Change the address that the backend listens on."""
        self.address = address
        self.family: int | None = None  # address family of a numeric address; None: the name has to be resolved
        for family in (socket.AF_INET, socket.AF_INET6):
            with suppress(OSError):
                socket.inet_pton(family, address[0])
                self.family = family


class Exchange:
    """One attempt sent over HTTP/1.1, from its start to its single outcome."""

    __slots__ = (
        "backend",
        "on_response_begun",
        "is_head_request",
        "body",
        "connection",
        "dial",
        "expected_id",
        "first_byte_at",
        "streaming",
        "open",
        "repeatable",
        "started",
        "sets_timer",
        "timer",
        "expires_at",
        "serialize",
        "on_body_sent",
        "payload",
        "_report",
    )

    def __init__(
        self,
        backend: Backend,
        started: float,
        expires_at: float,
        serialize: Callable[[float], bytes],
        report: Callable[[Exchange, Outcome, Response | None], None],
        repeatable: bool = True,
        is_head_request: bool = False,
        sets_timer: bool = True,
    ) -> None:
        # The body that is streamed after the bytes that `serialize` returns; None: those bytes are the whole request.
        self.body: Body | None = None
        self.on_body_sent: Callable[[], None] | None = None  # called when the whole body has been sent
        # Called when the response begins to be streamed; None where it has to be buffered.
        self.on_response_begun: Callable[[Response, Pipe], None] | None = None
        self.streaming, self.first_byte_at = False, 0.0  # `first_byte_at`: when streaming began
        self.repeatable = repeatable  # whether the request may be sent again when its connection breaks
        self.expected_id: bytes | None = None  # the request id that the response must carry, where backends echo it
        self.is_head_request = is_head_request  # HEAD: the response ends with its head, whatever Content-Length says
        self.sets_timer = sets_timer  # whether the exchange sets its own timer; else its owner calls `expire`
        self.backend = backend
        self.started = started
        self.expires_at = expires_at  # the loop's time at which the attempt times out
        # Bytes to send after those that `serialize` returns, without a copy; dropped once they have been sent.
        self.payload: bytes = b""
        self.serialize = serialize  # returns the request's bytes, given the seconds that are left
        self.open = True
        self.connection: Connection | None = None
        self.dial: Dial[Exchange] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._report = report

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once, and release the connection; one that is still in use is closed."""
        if not self.open:
            return
        self.open = False
        reported_not_run = outcome is Outcome.UNREACHABLE or outcome is Outcome.NOT_PROCESSED
        check(not (reported_not_run and self._may_have_run()), Invariant.PROVEN_NOT_RUN, outcome=outcome.value.upper())
        if self.body is not None:
            self.body.on_data = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None
        report = self._report
        self._release_callbacks()
        report(self, outcome, response)

    def _release_callbacks(self) -> None:
        """Drop the callbacks, which reference the request and its body; those often reference this exchange in turn.

        Such a cycle would keep the body until the next run of the cyclic garbage collector, which goes by the number of
        objects and not by their size.
        """
        self.serialize, self._report = _serialize_nothing, _report_nothing
        self.payload = b""
        self.on_response_begun = self.on_body_sent = None

    def latency(self, now: float) -> float:
        """Return the backend's latency if the exchange ends now.

        For a streamed response it ends at the first bytes, because the rest depends on the caller's pace.
        """
        return (self.first_byte_at if self.streaming else now) - self.started

    def expire(self) -> None:
        """Time out the attempt, or stream its response if a part of it has arrived."""
        if self.connection is not None and self.connection.stream_partial_response(self):
            return
        self.end(Outcome.TIMEOUT if self._may_have_run() else Outcome.UNREACHABLE)

    def connection_lost(self) -> None:
        """End the exchange because its connection has failed."""
        self.end(Outcome.INTERRUPTED if self._may_have_run() else Outcome.UNREACHABLE)

    def response_progressed(self, now: float) -> None:
        """Limit the time to the next piece of an incomplete response.

        Guards requests that may be sent again against responses that begin and never end, whatever stops them: they
        would occupy the request until its deadline. Could harm backends that send slowly but correctly.
        """
        if not self.repeatable or not self.open or self.streaming:
            return
        if self.timer is not None:
            self.timer.cancel()
        near_deadline = now + STALL_TIMEOUT >= self.expires_at
        loop = asyncio.get_running_loop()
        self.timer = (
            loop.call_at(self.expires_at, self.expire)
            if near_deadline
            else loop.call_at(now + STALL_TIMEOUT, self.connection_lost)
        )

    def _may_have_run(self) -> bool:
        return self.connection is not None and self.connection.request_sent


def _serialize_nothing(seconds_left: float) -> bytes:
    """Serialise an exchange that has ended: it is never sent."""
    return b""


def _report_nothing(exchange: Exchange, outcome: Outcome, response: Response | None) -> None:
    """Report an exchange whose outcome has been reported."""


NO_BYTES = memoryview(b"")


class Connection:
    """A connection to a backend; it carries one exchange at a time."""

    __deletable__ = ("_parser",)  # for mypyc

    def __init__(self, upstream: Upstream, backend: Backend, sock: socket.socket) -> None:
        self._upstream = upstream
        self.backend = backend
        self.exchange: Exchange | None = None
        self.request_sent = False  # whether the last byte of the request has been sent
        self.idle_since = 0.0  # the loop's time; 0: the connection is new
        self.closed = False
        self._has_received = False  # whether a byte of the response has been received
        self._has_seen_stray = False  # whether a response to another request has been received
        self._buffered = 0  # bytes buffered here that the upstream counts in `buffered_bytes`
        self._parser = httptools.HttpResponseParser(self)
        self._response: Response | None = None  # the complete response to the exchange
        self._head_complete = self._invalid = False
        self._body_offset = 0  # offset in the exchange's body up to which it has been read
        self._pipe: Pipe | None = None  # the body of the response that is streamed
        self._stream_number = 0  # number of responses that were streamed
        self._pipe_backlog = 0  # bytes in that pipe that the caller has not taken
        self._reading_paused = False  # whether reading is paused until the caller has taken more
        self._reset()
        self.sock = sock
        self._unsent = NO_BYTES
        self._payload = NO_BYTES  # what follows `_unsent`
        self._loop = asyncio.get_running_loop()
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)
        self._loop.add_reader(sock.fileno(), self._readable)

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send a request; the rest of what the socket doesn't take is sent when it is writable."""
        check(self.exchange is None and exchange.connection is None, Invariant.ONE_EXCHANGE)
        self.exchange = exchange
        exchange.connection = self
        self.request_sent = False
        self._has_received = self._has_seen_stray = False
        if exchange.body is not None:
            self._body_offset = 0
            exchange.body.start_attempt(self._send_body)
        payload, exchange.payload = exchange.payload, b""
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # Nothing has been sent. The failure is reported later, because the sender isn't ready for it yet.
            self._loop.call_soon(self._close)
            return
        if sent == len(data) and not payload:
            self._on_sent()
        else:
            self._unsent, self._payload = memoryview(data)[sent:], memoryview(payload)
            self._take_payload()
            self._loop.add_writer(self.sock.fileno(), self._writable)

    def _take_payload(self) -> None:
        """Continue with the payload once everything before it has been sent."""
        if not self._unsent:  # an empty view would keep what has been sent in memory
            self._unsent, self._payload = self._payload or NO_BYTES, NO_BYTES

    def _writable(self) -> None:
        try:
            sent = self.sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self._close()
            return
        # A separate statement: mypyc evaluates the operand of a slice twice, which would send part of the request
        # twice.
        self._unsent = self._unsent[sent:]
        self._take_payload()
        if not self._unsent:
            self._loop.remove_writer(self.sock.fileno())
            self._on_sent()

    def _on_sent(self) -> None:
        """Continue after all pending bytes have been sent."""
        exchange = self.exchange
        if exchange is None or exchange.body is None:
            self.request_sent = True
        else:
            exchange.body.mark_forwarded(self._body_offset)
            self._send_body()

    def _send_body(self) -> None:
        """Send the available part of the body, one piece at a time."""
        exchange = self.exchange
        if exchange is None or exchange.body is None or self._unsent or self.request_sent or self.closed:
            return
        body = exchange.body
        data = body.read(self._body_offset)
        self._body_offset += len(data)
        if data and body.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if not data:
            # If the response began before the end of the body, the rest of the body is not needed and the response
            # continues.
            if body.is_discarded and not body.ended and not exchange.streaming:
                exchange.connection_lost()  # the rest will never arrive, so the request can't have run
            if body.is_discarded or not body.ended:
                return
            self.request_sent = True
            if body.length is None:
                data = b"0\r\n\r\n"
        if data:
            self._unsent = memoryview(data)
            self._loop.add_writer(self.sock.fileno(), self._writable)
        if self.request_sent and exchange.on_body_sent is not None:
            exchange.on_body_sent()

    def is_usable(self) -> bool:
        """Return whether the connection can carry another exchange.

        Guards the next request against unread input: bytes behind the last response, or the end of the connection.
        """
        return not self.closed and not self._poll.poll(0)

    def abandon(self) -> None:
        """Close at once and drop unsent bytes."""
        self.exchange = None
        self._close()

    def _readable(self) -> None:
        try:
            max_bytes = 0 if self._pipe is None else min(READ_SIZE, self._upstream.stream_allowance())
            count = self.sock.recv_into(self._upstream.buffer, max_bytes)
        except BlockingIOError:
            return
        except OSError:
            # A reset never counts as the end of a response, whatever has been received.
            self._close()
            return
        if count:
            self.buffer_updated(count)
        elif not self._deliver_at_close():
            self._close()

    def _deliver_at_close(self) -> bool:
        """Deliver a response that ends with its connection, having neither length nor chunks (RFC 9112 6.3).

        Returns whether the end of the connection was such an end.
        """
        exchange = self.exchange
        if (
            exchange is None
            or not self._head_complete
            or self._invalid
            or self._response is not None
            or self._has_framing
        ):
            return False
        self._is_reusable = False
        self._response = Response(self._parser.get_status_code(), b"".join(self._head), b"".join(self._body))
        self._deliver(exchange, self._response)
        return True

    def _close(self) -> None:
        """Close the connection after either side has ended it."""
        if self.closed:
            return
        self.closed = True
        self._unsent = self._payload = NO_BYTES
        self._loop.remove_reader(self.sock.fileno())
        self._loop.remove_writer(self.sock.fileno())
        self.sock.close()
        self._release_buffer()
        self._stop_streaming()
        self._upstream.connection_closed(self)
        del self._parser  # Guards memory: the parser and this object reference each other.
        if self.exchange is not None:
            if self.idle_since and not self._has_received:
                self._upstream.suspend_reuse()
            self.exchange.connection_lost()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that have been received into the upstream's buffer."""
        exchange = self.exchange
        if exchange is None:  # Guards against an unsolicited response: it must not serve any request.
            self.abandon()
            return
        self._has_received = True
        try:
            self._parser.feed_data(self._upstream.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_reusable = False
            self._invalid = self._invalid or (self._has_seen_stray and self._response is None)
        if not self._head_complete:
            self._head_input += nbytes
            # Guards memory against one endless header.
            self._invalid = self._invalid or self._head_input > MAX_HEAD + READ_SIZE
        response = self._response
        if response is None or self._invalid:
            if self._invalid or not (self._is_reusable or self._has_seen_stray):
                exchange.connection_lost()
            elif self._message_begun:
                exchange.response_progressed(self._upstream.now())
            return
        self._deliver(exchange, response)

    def _deliver(self, exchange: Exchange, response: Response) -> None:
        """Report a complete response, and keep the connection if it can be reused."""
        self._response = None
        outcome = self._upstream.classify(response.status, self._not_processed)
        lacks_id = exchange.expected_id is not None and self._response_id is None
        if lacks_id and outcome is Outcome.OVERLOADED and self.idle_since:
            # Guards against a late rejection of an earlier request on this connection: where responses carry the id
            # of their request, one without an id doesn't prove that this request has not run.
            exchange.connection_lost()
            return
        if outcome is Outcome.ERROR and exchange.body is not None and not self.request_sent:
            outcome = Outcome.OVERLOADED  # a backend starts work after the last byte, so the request never ran
        # The connection is kept only if the response was this request's and nothing followed it: the next request might
        # get either otherwise.
        if self._is_reusable and not lacks_id and self.request_sent and self.is_usable():
            self.exchange = exchange.connection = None
            self._reset()
            self._upstream.release(self)
        exchange.end(outcome, response)

    def _release_buffer(self) -> None:
        self._upstream.buffered_bytes -= self._buffered
        self._buffered = 0

    def _start_streaming(self, exchange: Exchange) -> None:
        """Stream the response from here on: it is too large to be a short response with a wrong length."""
        assert exchange.on_response_begun is not None
        exchange.streaming, exchange.first_byte_at = True, self._upstream.now()
        if exchange.timer is not None:
            exchange.timer.cancel()

        self._stream_number += 1
        number = self._stream_number  # not the pipe itself: it would reference itself through this callback

        def on_read(size: int) -> None:
            self._upstream.streamed_bytes -= size
            if self._pipe is not None and number == self._stream_number:  # else the response has ended meanwhile
                self._on_pipe_read(size)

        self._pipe = pipe = Pipe(on_read)
        self._write_to_pipe(b"".join(self._body))
        self._body.clear()
        self._release_buffer()
        exchange.on_response_begun(
            Response(self._parser.get_status_code(), b"".join(self._head), b"", self._length), pipe
        )

    def stream_partial_response(self, exchange: Exchange) -> bool:
        """Stream the partial response of an expired exchange; returns False if there is none or it is invalid.

        Guards large responses that arrive slowly: the deadline applies to their first bytes.
        """
        is_valid = (
            self._head_complete and self._body and self._is_reusable and not self._invalid and self._response is None
        )
        if not is_valid or exchange.on_response_begun is None or not self._is_success():
            return False
        self._start_streaming(exchange)
        return True

    def _write_to_pipe(self, data: bytes) -> None:
        assert self._pipe is not None
        self._pipe_backlog += len(data)
        self._upstream.streamed_bytes += len(data)
        self._pipe.put(data)
        if self._pipe_backlog > self._upstream.stream_allowance() and not self._reading_paused and not self.closed:
            self._reading_paused = True
            self._loop.remove_reader(self.sock.fileno())

    def _on_pipe_read(self, size: int) -> None:
        self._pipe_backlog -= size
        if self._reading_paused and not self.closed and self._pipe_backlog <= self._upstream.stream_allowance() // 2:
            self._reading_paused = False
            self._loop.add_reader(self.sock.fileno(), self._readable)

    def _stop_streaming(self) -> None:
        if self._pipe is not None:
            self._pipe = None
            if self._reading_paused and not self.closed:
                self._loop.add_reader(self.sock.fileno(), self._readable)
            self._reading_paused, self._pipe_backlog = False, 0

    def _reset(self) -> None:
        self._head: list[bytes] = []
        self._body: list[bytes] = []
        self._connection_options = b""
        self._response_id: bytes | None = None
        self._length: int | None = None
        self._size = self._head_input = self._informational_count = 0
        self._not_processed = self._head_complete = self._invalid = self._message_begun = False
        self._has_framing = False  # whether its end can be determined from its length or its chunks
        self._stop_streaming()
        self._is_reusable = True  # whether all bytes so far are valid, belong to the response and allow reuse

    # ---- callbacks of the parser -------------------------------------------------------------

    def on_message_begin(self) -> None:
        self._message_begun = True
        if self._response is not None:  # a second response: the first one stands
            self._is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        # Guards against trailers that would count as headers.
        if self._head_complete or self._invalid or self._response is not None:
            return
        self._size += len(name) + len(value) + 4
        lower, value = name.lower(), value.strip(b" \t")
        if lower == self._upstream.not_processed_header:
            self._not_processed = value == b"1"
        elif lower == b"connection":
            self._connection_options += b"," + value.lower()
        elif lower == b"content-length":
            self._length, self._has_framing = int(value), True
            # Guards the memory limit against an endless response.
            self._invalid = self._length > self._max_body() and not self._is_head_request()
        elif lower == b"transfer-encoding":
            self._invalid = value.lower() != b"chunked"
            self._has_framing = True
        elif lower == self._upstream.request_id_header:
            self._response_id = value
            self._head.append(b"%b: %b\r\n" % (name, value))
        elif lower == b"keep-alive":
            self._read_keep_alive(value)
        # A load report is meant for the proxy, and a value that is not ASCII may be more than a caller can read.
        elif lower not in HOP_BY_HOP and lower != b"x-server-load" and value.isascii():
            self._head.append(b"%b: %b\r\n" % (name, value))
        self._invalid = self._invalid or self._size > MAX_HEAD

    def _read_keep_alive(self, value: bytes) -> None:
        """Read from a Keep-Alive header how long the backend keeps idle connections."""
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                self.backend.keep_alive_seconds = float(seconds)

    def _is_stray(self) -> bool:
        """Return whether the response belongs to another request: a second response that arrived late."""
        exchange = self.exchange
        return (
            exchange is not None
            and exchange.expected_id is not None
            and self._response_id is not None
            and self._response_id != exchange.expected_id
        )

    def on_headers_complete(self) -> None:
        if self._response is not None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._informational_count += 1
            # Guards against a protocol switch that nobody requested, and against endless 1xx responses.
            self._invalid = self._invalid or status == 101 or self._informational_count > MAX_INFORMATIONAL_RESPONSES
            return
        self._head_complete = True
        self._size = 0
        if self._connection_options:
            named = {token.strip() for token in self._connection_options.split(b",")}
            self._head = [line for line in self._head if line.partition(b":")[0].lower() not in named]
        if self._is_head_request() and not self._invalid:
            # Guards the next request against a body that was announced and follows after all: the proxy couldn't
            # distinguish such a body from the next response. Costs a connection for each HEAD request.
            self._is_reusable = False
            self._response = Response(status, b"".join(self._head), b"", self._length)

    def _max_body(self) -> int:
        """Return the limit in bytes on the response body."""
        may_stream = self.exchange is not None and self.exchange.on_response_begun is not None
        return self._upstream.max_streamed_response if may_stream else self._upstream.max_response_body

    def _is_success(self) -> bool:
        return self._upstream.classify(self._parser.get_status_code(), self._not_processed) is Outcome.OK

    def _is_repeatable(self) -> bool:
        return self.exchange is not None and self.exchange.repeatable

    def _is_head_request(self) -> bool:
        return self.exchange is not None and self.exchange.is_head_request

    def on_body(self, body: bytes) -> None:
        if self._response is not None or self._invalid:
            return
        self._size += len(body)
        if self._pipe is not None and self._size <= self._upstream.max_streamed_response:
            self._write_to_pipe(body)
            return
        # Guards the memory limit against an endless response, and against many large ones at once.
        if self._size <= self._upstream.max_response_body and self._upstream.try_buffer(len(body)):
            self._buffered += len(body)
            self._body.append(body)
            exchange = self.exchange
            may_stream = exchange is not None and exchange.open and exchange.on_response_begun is not None
            # A response to a retryable request is buffered up to this size: a truncated one announces more than it has.
            large = self._size if self._is_repeatable() else max(self._size, self._length or 0)
            if may_stream and large > self._upstream.streaming_threshold and self._is_success():
                assert exchange is not None
                self._start_streaming(exchange)
        else:
            self._invalid = True

    def on_message_complete(self) -> None:
        if self._response is not None or self._invalid:
            return
        if self._head_complete and self._is_stray():
            # Guards a request against a response to another one; the connection is not kept afterwards.
            self._release_buffer()
            self._has_seen_stray = True
            self._reset()
            self._is_reusable = False
            return
        if not self._head_complete:  # 1xx: the final response follows with a new head
            self._message_begun = self._not_processed = self._has_framing = False
            self._response_id = None
            self._head.clear()
            self._connection_options = b""
            self._length = None
            return
        self._is_reusable = self._parser.should_keep_alive() and not self._has_seen_stray
        self._response = Response(self._parser.get_status_code(), b"".join(self._head), b"".join(self._body))
        self._body.clear()
        self._release_buffer()


class Upstream:
    """All connections to the backends of one pool, within that pool's share of the sockets.

    `max_buffered_bytes` limits the bytes of incomplete responses, `max_response_body` those of the body of one of them.
    """

    def __init__(
        self,
        sockets: SharedLimit,
        name: str,
        conn_idle: float,
        dial_timeout: float,
        max_buffered_bytes: int,
        max_response_body: int = MAX_BUFFERED_RESPONSE,
        classify: Callable[[int, bool], Outcome] = classify,
        on_dialled: Callable[[int, bool], None] | None = None,
        not_processed_header: bytes = b"x-not-processed",
        request_id_header: bytes = b"",
        max_idle_per_backend: int = 0,
    ) -> None:
        """Set up the pool without connections.

        The header `not_processed_header` says that a request did not run.
        The header `request_id_header`, if any, returns the id of a request.
        `max_idle_per_backend` is the number of idle connections kept to one backend; a value above 0 also
        allows requests that must not run twice to reuse connections.
        """
        self.not_processed_header, self.request_id_header = not_processed_header, request_id_header
        self._reuses = max_idle_per_backend > 0
        self._on_dialled = on_dialled  # called for each backend with whether a connection was established
        self._loop = asyncio.get_running_loop()
        self._sockets, self._name = sockets, name
        self.max_response_body = max_response_body
        self.classify = classify
        self._max_idle_time = IDLE_TIMEOUT_FRACTION * conn_idle
        self._dial_timeout = dial_timeout
        self._max_idle_per_backend = max_idle_per_backend or MAX_IDLE_PER_BACKEND
        self.buffer = memoryview(bytearray(READ_SIZE))
        self._no_reuse_until = 0.0
        self.buffered_bytes = 0  # bytes of incomplete buffered responses
        # Bytes above which a response is streamed, and the limit on a streamed response.
        self.streaming_threshold, self.max_streamed_response = STREAMING_THRESHOLD, MAX_STREAMED_RESPONSE
        self.streamed_bytes = 0  # bytes of all streamed responses that wait for their callers
        self.max_streamed_bytes = max_buffered_bytes  # limit on those bytes
        self.max_buffered_bytes = max_buffered_bytes
        self._idle: dict[Connection, None] = {}  # the longest idle first
        self._sweep_timer = self._loop.call_later(self._max_idle_time / 4.0, self._sweep)

    def update_limits(
        self,
        conn_idle: float,
        dial_timeout: float,
        max_buffered_bytes: int,
        max_response_body: int,
        max_idle_per_backend: int,
    ) -> None:
        """Apply changed limits."""
        self._max_idle_per_backend = max_idle_per_backend
        self._max_idle_time, self._dial_timeout = IDLE_TIMEOUT_FRACTION * conn_idle, dial_timeout
        self.max_buffered_bytes, self.max_response_body = max_buffered_bytes, max_response_body

    def update_timeouts(self, conn_idle: float, dial_timeout: float) -> None:
        """Apply changed timeouts."""
        self._max_idle_time, self._dial_timeout = IDLE_TIMEOUT_FRACTION * conn_idle, dial_timeout

    def close(self) -> None:
        """Close all idle connections; nothing is sent from here any more."""
        self._sweep_timer.cancel()
        for connection in tuple(self._idle):
            self._drop(connection)

    def update(self, backend: Backend, address: Address, started: float, in_service: bool) -> None:
        """Apply what the endpoint list says about a backend."""
        # Guards against requests on connections to a process that has ended or an address that is out of use.
        if backend.address != address or backend.started != started or not in_service:
            for connection in tuple(backend.idle):
                self._drop(connection)
        if backend.address != address:
            backend.move(address)
        backend.started, backend.in_service = started, in_service

    def start(self, exchange: Exchange) -> None:
        """Send an attempt, on a new connection if none is idle; its outcome is reported later."""
        if exchange.sets_timer:
            exchange.timer = self._loop.call_at(exchange.expires_at, exchange.expire)
        idle = exchange.backend.idle
        # Guards requests that must not run twice: an idle connection may be dead already without any sign of it.
        while idle and (exchange.repeatable or self._reuses):
            connection = idle.pop()
            del self._idle[connection]
            keep_alive_seconds = exchange.backend.keep_alive_seconds
            # Guards requests that must not run twice against a connection that the backend is about to close.
            stale = (
                keep_alive_seconds > 0.0
                and self._loop.time() - connection.idle_since > IDLE_TIMEOUT_FRACTION * keep_alive_seconds
            )
            if not stale and connection.is_usable():
                self._transmit(exchange, connection)
                return
            connection.abandon()
        if not self._sockets.can_acquire(self._name):
            # Guards the limit on sockets: an idle connection is closed first; else the attempt, which never ran, may go
            # elsewhere.
            if not self._idle:
                self._loop.call_soon(exchange.end, Outcome.UNREACHABLE)
                return
            self._drop(next(iter(self._idle)))
        self._sockets.acquire(self._name)
        exchange.dial = Dial(self, exchange, exchange.backend, self._dial_timeout)

    def connected(self, exchange: Exchange, sock: socket.socket) -> None:
        """Send the exchange on an established connection, which owns the socket from then on."""
        if self._on_dialled is not None:
            self._on_dialled(exchange.backend.server, True)
        self._transmit(exchange, Connection(self, exchange.backend, sock))

    def unreachable(self, exchange: Exchange, number: int) -> None:
        """End an exchange whose connection could not be established."""
        self.dial_ended()
        if self._on_dialled is not None and number not in LOCAL_ERRORS:
            self._on_dialled(exchange.backend.server, False)
        exchange.end(Outcome.UNREACHABLE)

    def dial_ended(self) -> None:
        """Release the socket of an attempt to connect that failed or was cancelled."""
        self._sockets.release(self._name)

    def _transmit(self, exchange: Exchange, connection: Connection) -> None:
        """Send the request unless the attempt has become obsolete while it connected."""
        # Guards drains, timeouts and finished requests: connecting took time, in which any of them may have happened.
        left = exchange.expires_at - self._loop.time()
        if not exchange.open or left <= 0.0 or not exchange.backend.in_service:
            self.release(connection)
            self._loop.call_soon(exchange.end, Outcome.NOT_PROCESSED)
            return
        if not connection.is_usable():
            exchange.end(Outcome.UNREACHABLE)
            return
        connection.send(exchange, exchange.serialize(left))

    def release(self, connection: Connection) -> None:
        """Keep a connection for the next exchange, or close it."""
        backend = connection.backend
        now = self._loop.time()
        # Guards backends: each open connection takes some of their capacity.
        full = len(backend.idle) >= self._max_idle_per_backend
        if not backend.in_service or full or now < self._no_reuse_until or not connection.is_usable():
            connection.abandon()
            return
        connection.idle_since = now
        backend.idle.append(connection)
        self._idle[connection] = None

    def suspend_reuse(self) -> None:
        """Stop reusing connections for a while.

        Guards against backends or middleboxes that silently drop idle connections.
        """
        self._no_reuse_until = self._loop.time() + NO_REUSE_SECONDS
        for connection in tuple(self._idle):
            self._drop(connection)

    def try_buffer(self, size: int) -> bool:
        """Count `size` more bytes of a buffered response if they fit into the limit; returns whether they do."""
        fits = self.buffered_bytes + size <= self.max_buffered_bytes
        self.buffered_bytes += size * fits
        return fits

    def stream_allowance(self) -> int:
        """Return the bytes of one streamed response that may wait for its caller now: as many as are free.

        Each response thus converges to the same buffer, a single one to half of the total, and all together stay
        within the total however many start later (dynamic thresholds: Choudhury and Hahne, 1998).
        """
        return max(MIN_STREAM_BUFFER, self.max_streamed_bytes - self.streamed_bytes)

    def sockets(self) -> int:
        """Return the number of connections that are established or being established."""
        return self._sockets.held_by(self._name)

    def now(self) -> float:
        """Return the loop's time."""
        return self._loop.time()

    def connection_closed(self, connection: Connection) -> None:
        """Release the socket of a closed connection."""
        self._sockets.release(self._name)
        self._forget(connection)

    def _forget(self, connection: Connection) -> None:
        if connection in self._idle:
            del self._idle[connection]
            connection.backend.idle.remove(connection)

    def _drop(self, connection: Connection) -> None:
        self._forget(connection)
        connection.abandon()

    def _sweep(self) -> None:
        """Close connections that have been idle for long: a request that crosses the backend's own close is lost."""
        self._sweep_timer = self._loop.call_later(self._max_idle_time / 4.0, self._sweep)
        latest = self._loop.time() - self._max_idle_time
        for connection in tuple(self._idle):
            if connection.idle_since > latest:
                break
            self._drop(connection)
