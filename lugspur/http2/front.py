"""HTTP/2 callers: their connections, streams and gRPC calls, behind the same front as HTTP/1.1 callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.grpc import mapping
from lugspur.grpc.messages import InvalidMessageError, MessageCounter
from lugspur.grpc.timeout import read_timeout
from lugspur.http1.body import REPLAY_FACTOR, Body
from lugspur.http1.front import BODY_RATE_GRACE, CLOSE_TIMEOUT, MIN_BODY_RATE, STREAM_TIMEOUT, Front, TrackedConnection
from lugspur.http1.request_parser import PROXY_READ_HEADERS, PROXY_SET_HEADERS, RejectionError
from lugspur.http2.frames import CANCEL, INTERNAL_ERROR, MAX_STREAM_ID, NO_ERROR, REFUSED_STREAM, GoAway
from lugspur.http2.machine import (
    MAX_STREAMS,
    ConnectionEnded,
    DataReceived,
    Event,
    HeaderFields,
    HeadersReceived,
    Http2Session,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)
from lugspur.http2.wire import SessionWriter
from lugspur.interfaces import Request, StreamingReceiver
from lugspur.pipe import Pipe

# Seconds that a call's headers or first message wait for the end of the stream before the call is handled as a stream.
CALL_END_WAIT = 0.02
# Seconds between the two GOAWAY frames; streams that the caller opened before it read the first still arrive.
FINAL_GOAWAY_DELAY = 0.25
# Seconds without received data after which a caller gets a PING; after twice as many it is dropped.
PING_AFTER_SILENCE = 30.0
RESPONSE_READ_TIMEOUT = 2.0  # seconds in which a caller must read some of the rest of a complete response
RequestHandler = Callable[[Request, "Stream"], None]


class Stream:
    """One request over HTTP/2; pools answer it as the request's caller."""

    # Whether headers with `_` in their names are forwarded; an HTTP/1.1 backend may confuse them with other headers.
    forwards_underscores = False

    def __init__(self, connection: CallerConnection, stream_id: int, now: float) -> None:
        self.connection, self.stream_id = connection, stream_id
        self.front = connection.front
        self.peer = connection.peer
        self.arrived = now
        self.on_disconnect: Callable[[], None] | None = None
        self.is_answered = False  # the final response is passed to the session, though it may not be sent yet
        self._headers: dict[bytes, bytes] = {}  # the request's headers and pseudo-headers
        self._chunks: list[bytes] = []
        self._held_bytes = 0  # bytes of the body that count towards the front's limit
        self._is_delivered = False
        self._timer: asyncio.TimerHandle | None = None
        self._body: Body | None = None  # a body that is forwarded as it arrives
        self._unacknowledged_bytes = 0  # bytes of the body that were not acknowledged to the caller
        # The time from which the body's rate is measured; it is moved on by the time in which the backend took nothing.
        self._rate_start = now
        self._backend_full_since = 0.0  # when the backend stopped taking the body; 0.0 while it takes more
        self._response_pipe: Pipe | None = None  # a response that is forwarded as it arrives
        self._unsent_bytes = 0  # bytes of that response that wait for the caller's windows
        self.last_progress = 0.0  # when a part of the response was last received or sent
        self.watches_progress = False  # whether the stream itself checks that the response makes progress

    # ---- the request ---------------------------------------------------------------------------

    def take_headers(self, fields: HeaderFields) -> None:
        """Take the request's headers; raises RejectionError."""
        self._headers = dict(fields)
        self._terms = None if self.front.get_configuration is None else self.front.get_configuration()
        self._header_lines, self._headers_by_name = read_fields(fields, self.forwards_underscores)
        length = self._headers_by_name.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.front.sizes.body:  # before a part of it is forwarded
            raise RejectionError(413, "the body is too large")
        self._limit_receive_time()

    def _limit_receive_time(self) -> None:
        """Limit the time to receive the request: guards connections against a body that never ends."""
        self._set_timer(self.arrived + self.front.request_head_timeout)

    def _set_timer(self, limit: float) -> None:
        self._cancel_timer()
        self._timer = self.connection.loop.call_at(limit, self._check_receive_time)

    def _check_receive_time(self) -> None:
        if self.is_answered or (self._is_delivered and self._body is None):
            return
        if self._body is not None:
            now = self.connection.loop.time()
            due_at = self._rate_start + self._body.received / MIN_BODY_RATE + BODY_RATE_GRACE
            if self._backend_full_since or now < due_at:  # the body waits for the backend, or is fast enough
                self._set_timer(max(due_at, now + BODY_RATE_GRACE))
                return
        self.connection.reject_stream(self, RejectionError(408, "the request took too long"))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def take_data(self, data: bytes, size: int) -> None:
        """Take a part of the body; raises RejectionError."""
        body = self._body
        if body is not None:
            self._unacknowledged_bytes += size
            body.put(data)
            received_bytes = body.received
            self._set_held_bytes(body.buffered)
            self._acknowledge_body()
        else:
            self._hold_data(data, size)
            received_bytes = self._held_bytes
        if received_bytes > self.front.sizes.body:
            raise RejectionError(413, "the body is too large")
        # guards the memory limit against many incomplete bodies
        if self.front.buffered_bytes > self.front.max_buffered_bytes:
            raise RejectionError(503, "too many bodies at once")
        if body is None and received_bytes > self.front.sizes.max_buffered_body:
            self._forward_body()

    def _hold_data(self, data: bytes, size: int) -> None:
        self.connection.session.acknowledge_data(self.stream_id, size)
        self._chunks.append(data)
        self._set_held_bytes(self._held_bytes + len(data))

    def _set_held_bytes(self, size: int) -> None:
        self.front.buffered_bytes += size - self._held_bytes
        self._held_bytes = size

    def _forward_body(self) -> None:
        """Deliver the request before its body is complete, and forward the body as it arrives."""
        length = self._headers_by_name.get(b"content-length")
        body = Body(
            int(length) if length is not None else None,
            self._acknowledge_body,
            REPLAY_FACTOR * self.front.sizes.max_buffered_body,
        )
        body.put(self._release_body())
        self._set_held_bytes(body.buffered)
        self._body, self._is_delivered = body, True
        request = self._build_request(b"")
        request.stream = body
        self.connection.deliver(request, self)

    def _acknowledge_body(self) -> None:
        """Acknowledge received bytes, so that the caller sends more, unless the backend is too slow."""
        body, now = self._body, self.connection.loop.time()
        if body is None:
            return
        if body.full:
            self._backend_full_since = self._backend_full_since or now
            return
        if self._backend_full_since:
            self._rate_start += now - self._backend_full_since
            self._backend_full_since = 0.0
        if not self.is_answered and not body.ended:
            self._set_held_bytes(body.buffered)
        unacknowledged_bytes, self._unacknowledged_bytes = self._unacknowledged_bytes, 0
        if unacknowledged_bytes:
            self.connection.session.acknowledge_data(self.stream_id, unacknowledged_bytes)
            self.connection.schedule_flush()

    def take_end(self) -> None:
        """Handle the end of the request; raises RejectionError."""
        self._cancel_timer()
        if self._body is not None:
            self._set_held_bytes(0)
            self._body.end()
        else:
            self._deliver()

    def _release_body(self) -> bytes:
        body = b"".join(self._chunks)
        self._chunks = []
        self._set_held_bytes(0)
        return body

    def _discard_body(self) -> None:
        """Discard the rest of the body."""
        body = self._body
        if body is not None and not body.ended:
            self._cancel_timer()
            body.drop()
            self._set_held_bytes(0)

    def _deliver(self) -> None:
        self._is_delivered = True
        body = self._release_body()
        self.connection.deliver(self._build_request(body), self)

    def _build_request(self, body: bytes) -> Request:
        method, path = self._headers[b":method"], self._headers[b":path"]
        return Request(method, path, self._headers_by_name, self._header_lines, body, self.arrived, True, self._terms)

    # ---- the response --------------------------------------------------------------------------

    def admit(self) -> None:
        """Admit the request; raises RejectionError if there are too many connections."""
        self.front.admit(self.connection)

    def streaming_receiver(self) -> StreamingReceiver | None:
        """Return the stream itself: it takes a response as it arrives."""
        return self

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write the final response; if another response has begun, reset the stream."""
        if self._response_pipe is not None:
            self.on_disconnect = None
            self.connection.reset_stream(self, INTERNAL_ERROR)
            return
        self._write_response(
            self._response_headers(status, head, len(body) if length is None else length),
            b"" if self._headers.get(b":method") == b"HEAD" else body,
            None,
        )

    def _response_headers(self, status: int, head: bytes, length: int | None) -> HeaderFields:
        fields: HeaderFields = [(b":status", b"%d" % status), *mapping.parse_header_lines([head])]
        if status not in (204, 304) and length is not None:
            fields.append((b"content-length", b"%d" % length))
        return fields

    def reject(self, fault: RejectionError) -> None:
        """Answer the request with an error; cancel it in the pool if it was delivered."""
        self._cancel_timer()
        self._cancel_request()
        if self._response_pipe is None:
            self.respond(fault.status, b"", fault.reason.encode() + b"\n")
        else:
            self.connection.reset_stream(self, INTERNAL_ERROR)

    def _write_response(self, headers: HeaderFields | None, body: bytes, trailers: HeaderFields | None) -> None:
        """Write the final response, or the end of one that was begun (`headers` is None)."""
        if self.is_answered:
            return
        self.on_disconnect = None
        self.is_answered = True
        self._release_body()
        self._discard_body()
        session, stream_id = self.connection.session, self.stream_id
        if headers is not None and not body and trailers is not None:
            session.send_headers(stream_id, headers + trailers, end=True)  # trailers-only
        else:
            if headers is not None:
                session.send_headers(stream_id, headers, end=not body and trailers is None)
            session.send_data(stream_id, body, end=trailers is None)
            if trailers is not None:
                session.end_stream(stream_id, trailers)
        self.connection.close_answered(self)

    def _cancel_request(self) -> None:
        """Cancel the request: nobody waits for its response."""
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()
        self._discard_body()  # after the cancellation: else the end of the attempt would cause a retry

    def cancel(self) -> None:
        """Cancel the request: its caller has reset the stream, or the connection has ended."""
        self._cancel_timer()
        if self._response_pipe is not None:
            self._response_pipe.attach(None)
            self._response_pipe.mark_sent(self._unsent_bytes)
            self._response_pipe.discard()
        self._release_body()
        self.is_answered = True
        self._cancel_request()

    # ---- a response that is forwarded as it arrives -------------------------------------------

    def begin_response(self, status: int, head: bytes, length: int | None, flow: Pipe) -> None:
        """Write the headers of a response; the pipe brings its body, and `finish_answer` ends it."""
        self._discard_body()
        self.connection.session.send_headers(self.stream_id, self._response_headers(status, head, length))
        self._attach_pipe(flow)
        self.watches_progress = True
        self._check_progress()

    def _attach_pipe(self, pipe: Pipe) -> None:
        self.last_progress = self.connection.loop.time()
        self._response_pipe = pipe
        pipe.attach(self._forward_more)

    def _check_progress(self) -> None:
        """Reset the stream if its response makes no progress on either side: guards memory and backends."""
        limit = self.last_progress + STREAM_TIMEOUT
        if self.connection.loop.time() < limit:
            self._timer = self.connection.loop.call_at(limit, self._check_progress)
        elif self.connection.streams.get(self.stream_id) is self:
            self.connection.reset_stream(self, CANCEL)

    def _forward_more(self) -> None:
        if self._response_pipe is not None and not self.is_answered:
            data = self._response_pipe.take()
            self._unsent_bytes += len(data)
            self.last_progress = self.connection.loop.time()
            self.connection.session.send_data(self.stream_id, data)
            self.connection.schedule_flush()

    def finish_response(self) -> None:
        """End the response that was begun."""
        self._forward_more()
        self._write_response(None, b"", None)

    def release_response(self) -> None:
        """Detach from the response that was forwarded, whose callback references this stream."""
        if self._response_pipe is not None:
            self._response_pipe.attach(None)

    def record_sent(self, size: int) -> None:
        """Record response bytes as sent or discarded."""
        self.last_progress = self.connection.loop.time()
        if self._response_pipe is not None:
            self._unsent_bytes -= size
            self._response_pipe.mark_sent(size)


class Call(Stream):
    """A gRPC call, unary or streaming; it is the `GrpcForm` of its request (interfaces.py)."""

    forwards_underscores = True  # metadata is forwarded unchanged

    def __init__(self, connection: CallerConnection, stream_id: int, now: float) -> None:
        super().__init__(connection, stream_id, now)
        self._counter = MessageCounter()
        self.pipe: Pipe | None = None

    @property
    def requires_grpc(self) -> bool:
        """Return whether only a gRPC backend can take the request: it isn't a single message."""
        return self.pipe is not None or self._counter.complete_count != 1 or self._counter.has_open_message

    # ---- the request ---------------------------------------------------------------------------

    def take_headers(self, fields: HeaderFields) -> None:
        """Take the call's headers; raises RejectionError."""
        super().take_headers(fields)
        if self._headers.get(b":method") != b"POST":
            raise RejectionError(405, "gRPC is asked for with POST")
        timeout = self._headers.get(b"grpc-timeout")
        if timeout is not None:
            try:
                self._headers_by_name[b"x-timeout"] = b"%.9f" % read_timeout(timeout)
            except ValueError as fault:
                raise RejectionError(500, str(fault)) from fault  # INTERNAL
        self._schedule_streaming()

    def _schedule_streaming(self) -> None:
        """Handle the call as a stream unless more of it or its end arrives within CALL_END_WAIT."""
        self._cancel_timer()
        self._timer = self.connection.loop.call_later(CALL_END_WAIT, self._start_streaming)

    def take_data(self, data: bytes, size: int) -> None:
        """Take a part of the call's messages; raises RejectionError."""
        try:
            self._counter.feed(data)
        except InvalidMessageError as fault:
            raise RejectionError(500, str(fault)) from fault  # INTERNAL
        if self.pipe is not None:
            self.connection.session.acknowledge_data(self.stream_id, size - len(data))
            self.pipe.put(data)
            return
        self._hold_data(data, size)
        front, counter = self.front, self._counter
        exceeds_limit = (
            self._held_bytes + counter.min_missing_bytes() > front.sizes.body
            or front.buffered_bytes > front.max_buffered_bytes
        )
        if counter.complete_count + counter.has_open_message > 1 or exceeds_limit:
            self._start_streaming()
        elif counter.has_open_message:  # the length of the open message is known: wait for its end
            self._limit_receive_time()
        else:
            self._schedule_streaming()

    def take_end(self) -> None:
        """Handle the end of the call's messages; raises RejectionError."""
        if self._counter.has_open_message:
            raise RejectionError(500, "the last message is cut")  # INTERNAL
        if self.pipe is not None:
            self.pipe.end()
        elif not self._is_delivered:
            self._cancel_timer()
            self._deliver()

    def _start_streaming(self) -> None:
        """Deliver the call as a stream: forward its messages as they arrive."""
        self._cancel_timer()
        if self._is_delivered or self.is_answered:
            return
        self._is_delivered = True
        connection, stream_id = self.connection, self.stream_id
        # The callback doesn't reference this call, which references the pipe.
        pipe = self.pipe = Pipe(lambda size: connection.acknowledge(stream_id, size))
        body = self._release_body()
        if body:
            pipe.put(body, credited=True)
        self.connection.deliver(self._build_request(b""), self)

    def _build_request(self, body: bytes) -> Request:
        request = super()._build_request(body)
        request.grpc_form = self
        return request

    def to_http1(self, request: Request) -> Request:
        """Return the request for a backend that speaks HTTP/1.1."""
        return mapping.to_http1_request(request)

    # ---- the response --------------------------------------------------------------------------

    def streaming_receiver(self) -> StreamingReceiver | None:
        """Return None: a gRPC response has trailers and is forwarded by the request's `GrpcForm`."""
        return None

    def reject(self, fault: RejectionError) -> None:
        """Answer the call with an error; cancel it in the pool if it was delivered."""
        self._cancel_timer()
        self._cancel_request()
        self.respond(fault.status, b"", fault.reason.encode() + b"\n")

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write a response of the proxy itself or of an HTTP/1.1 backend."""
        headers, messages, trailers = mapping.to_grpc_response(status, head, body, self._headers[b"content-type"])
        if self._response_pipe is not None:
            self._end_response(trailers)
        else:
            self._write_response(headers, messages, trailers)

    def _grpc_response_headers(self, head: bytes) -> HeaderFields:
        """Return the headers of a gRPC backend's response; a missing content type is taken from the request."""
        fields: HeaderFields = [(b":status", b"200"), *mapping.parse_header_lines([head])]
        if all(name != b"content-type" for name, _ in fields):
            fields.append((b"content-type", self._headers[b"content-type"]))
        return fields

    def begin_messages(self, head: bytes, body: Pipe) -> None:
        """Forward the response of a gRPC backend from its beginning."""
        self.connection.session.send_headers(self.stream_id, self._grpc_response_headers(head))
        self._attach_pipe(body)

    def finish(self, head: bytes, body: bytes, trailers: bytes) -> None:
        """Write the response of a gRPC backend, or the rest of one that was forwarded so far."""
        trailer_fields = mapping.parse_header_lines([trailers])
        if self._response_pipe is not None:
            self._end_response(trailer_fields)
        else:
            self._write_response(self._grpc_response_headers(head), body, trailer_fields)

    def _end_response(self, trailers: HeaderFields) -> None:
        self._forward_more()
        self._write_response(None, b"", trailers)


def read_fields(fields: HeaderFields, underscores: bool) -> tuple[list[bytes], dict[bytes, bytes]]:
    """Return the header lines to forward, and all headers by name for routing; raises Rejected.

    Lines whose names contain `_` are included only with `underscores`.
    """
    lines: list[bytes] = []
    headers_by_name: dict[bytes, bytes] = {}
    authority = b""
    cookies = [value for name, value in fields if name == b"cookie"]
    if len(cookies) > 1:  # RFC 9113 8.2.3: HTTP/1.1 has cookies in one line
        fields = [field for field in fields if field[0] != b"cookie"] + [(b"cookie", b"; ".join(cookies))]
    for name, value in fields:
        if name[:1] == b":":
            authority = value if name == b":authority" else authority
            continue
        if not value.isascii() or not name.isascii():  # guards backends that close the connection on such headers
            raise RejectionError(400, "a header is not plain text")
        previous = headers_by_name.get(name)
        if previous is not None and name in PROXY_READ_HEADERS:  # guards against a backend that reads the other value
            raise RejectionError(400, "a header comes twice")
        headers_by_name[name] = value if previous is None else previous + b", " + value
        if (
            name not in PROXY_SET_HEADERS
            and name not in mapping.HOP_BY_HOP_HEADERS
            and (underscores or b"_" not in name)
        ):
            lines.append(b"%b: %b\r\n" % (name, value))
    if authority:  # RFC 9113 8.3.1: it replaces Host; h2 rejects a Host that differs
        headers_by_name[b"host"] = authority
    return lines, headers_by_name


class CallerConnection(SessionWriter, TrackedConnection):
    """The HTTP/2 connection of one caller."""

    def __init__(self, front: Front, handle_request: RequestHandler, max_streams: int = MAX_STREAMS) -> None:
        TrackedConnection.__init__(self, front)
        SessionWriter.__init__(self, Http2Session(False, self._report_sent, front.sizes.head, max_streams))
        self._handle_request = handle_request
        self.streams: dict[int, Stream] = {}
        self._last_stream_id = MAX_STREAM_ID  # streams with higher ids are refused
        self._is_draining = False  # the proxy has sent GOAWAY
        self._is_caller_draining = False  # the caller has sent GOAWAY
        self._last_received_at = self.loop.time()
        self._silence_timer = self.loop.call_later(PING_AFTER_SILENCE, self._check_silence)

    def _check_silence(self) -> None:
        """Send a PING to a silent caller, and drop it if it stays silent.

        Guards the front's limit on connections against callers that vanished with streams open.
        """
        if self.is_closed:
            return
        silence = self.loop.time() - self._last_received_at
        if silence >= 2.0 * PING_AFTER_SILENCE:
            self.drop()
            return
        if silence >= PING_AFTER_SILENCE:
            self.session.send_ping()
            self.schedule_flush()
        self._silence_timer = self.loop.call_later(PING_AFTER_SILENCE / 2.0, self._check_silence)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.move(self.front.fresh, self.loop.time() + self.front.first_request_timeout)
        if self.front.closing:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = self.session.is_closed = True
        self._silence_timer.cancel()
        self.leave()
        self.cancel_flush()
        streams, self.streams = tuple(self.streams.values()), {}
        for stream in streams:
            stream.cancel()

    def buffer_updated(self, nbytes: int) -> None:
        self.feed(self.front.buffer[:nbytes])

    def feed(self, data: memoryview) -> None:
        """Take received data."""
        self._last_received_at = now = self.loop.time()
        if self._table is self.front.fresh:
            self.move(self.front.idle, now + self.front.idle_timeout)
        for event in self.session.receive_data(now, bytes(data)):
            self._handle_event(event)
        self.flush()

    def transport(self) -> asyncio.Transport | None:
        return self._transport

    def abort(self) -> None:
        self.drop()

    def _report_sent(self, stream_id: int, size: int) -> None:
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.record_sent(size)
            if stream.is_answered and self.session.has_ended_stream(stream_id):
                self.loop.call_soon(self._remove_stream, stream)

    # ---- receiving -----------------------------------------------------------------------------

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, ConnectionEnded):
            self._close_after_flush()
        elif isinstance(event, HeadersReceived):
            self._open_stream(event)
        elif isinstance(event, DataReceived | StreamEnded | TrailersReceived):
            stream = self.streams.get(event.stream_id)
            if stream is not None and not stream.is_answered:
                self._continue_stream(stream, event)
        elif isinstance(event, StreamReset):
            stream = self.streams.pop(event.stream_id, None)
            if stream is not None:
                stream.cancel()
                self._close_or_idle()
        elif isinstance(event, GoAway):
            self._is_caller_draining = True  # open streams are still answered
            self._close_or_idle()

    def _open_stream(self, event: HeadersReceived) -> None:
        if event.stream_id > self._last_stream_id:
            self.session.reset_stream(event.stream_id, REFUSED_STREAM)  # above the last id of the GOAWAY: never ran
            return
        headers = dict(event.fields)
        is_grpc = mapping.is_grpc(headers.get(b"content-type", b""))
        stream = (Call if is_grpc else Stream)(self, event.stream_id, self.arrival(self.loop.time()))
        self.streams[event.stream_id] = stream
        self.move(None)
        try:
            if headers.get(b":method") == b"CONNECT":
                raise RejectionError(501, "the method is not served")
            stream.take_headers(event.fields)  # if the headers end the stream, StreamEnded follows at once
        except RejectionError as fault:
            self.reject_stream(stream, fault)

    def _continue_stream(self, stream: Stream, event: DataReceived | StreamEnded | TrailersReceived) -> None:
        try:
            if isinstance(event, DataReceived):
                stream.take_data(event.data, event.size)
            elif isinstance(event, StreamEnded):
                stream.take_end()
        except RejectionError as fault:
            self.reject_stream(stream, fault)

    def acknowledge(self, stream_id: int, size: int) -> None:
        """Acknowledge received bytes of a stream to the caller, so that it may send as many more."""
        self.session.acknowledge_data(stream_id, size)
        self.schedule_flush()

    def deliver(self, request: Request, stream: Stream) -> None:
        """Pass a request to the handler."""
        try:
            self._handle_request(request, stream)
        except RejectionError as fault:
            self.reject_stream(stream, fault)

    def reject_stream(self, stream: Stream, fault: RejectionError) -> None:
        """Answer a stream's request with an error."""
        stream.reject(fault)
        self.schedule_flush()

    # ---- sending -------------------------------------------------------------------------------

    def close_answered(self, stream: Stream) -> None:
        """Close an answered stream, once the caller's windows have let the whole response out."""
        if self.session.has_ended_stream(stream.stream_id):
            self._remove_stream(stream)
        elif not stream.watches_progress:
            self.loop.call_later(RESPONSE_READ_TIMEOUT, self._check_reading, stream)
        self.schedule_flush()

    def reset_stream(self, stream: Stream, code: int) -> None:
        """Reset a stream whose response can't be finished, so that the caller sees that it is incomplete."""
        if not self.is_closed:
            self.session.reset_stream(stream.stream_id, code)
            self.schedule_flush()
        self.streams.pop(stream.stream_id, None)
        stream.cancel()
        self._close_or_idle()

    def _remove_stream(self, stream: Stream) -> None:
        if self.streams.pop(stream.stream_id, None) is not None:
            stream.release_response()
            if not self.is_closed:
                # RFC 9113 8.1: the response is complete, and the rest of the request is not needed.
                self.session.reset_stream(stream.stream_id, NO_ERROR)
            self._close_or_idle()

    def _check_reading(self, stream: Stream) -> None:
        """Reset an answered stream whose caller doesn't read: guards memory against windows that stay closed."""
        if self.streams.get(stream.stream_id) is not stream or self.is_closed:
            return
        if self.loop.time() < stream.last_progress + RESPONSE_READ_TIMEOUT:  # the caller reads, however slowly
            self.loop.call_at(stream.last_progress + RESPONSE_READ_TIMEOUT, self._check_reading, stream)
            return
        self.session.reset_stream(stream.stream_id, CANCEL)
        self._remove_stream(stream)
        self.schedule_flush()

    def _close_or_idle(self) -> None:
        """Close the connection or mark it as idle, if it has no streams."""
        if self.streams or self.is_closed:
            return
        if self._is_caller_draining or self._last_stream_id != MAX_STREAM_ID:
            self._close_after_flush()
            return
        if self._is_draining:
            return  # the second GOAWAY follows
        front = self.front
        self.move(front.idle, self.loop.time() + front.idle_timeout)

    def _close_after_flush(self) -> None:
        """Close the connection after everything written has been sent."""
        self.flush()
        if not self.is_closed:
            self.move(self.front.leaving, self.loop.time() + CLOSE_TIMEOUT)
            self._transport.close()

    def close(self) -> None:
        """Shut down gracefully (RFC 9113 6.8): take no new streams after a moment, and close when all are answered."""
        if not self._is_draining:
            self._is_draining = True
            self.move(None)
            self.session.send_goaway(MAX_STREAM_ID, NO_ERROR)
            self.schedule_flush()
            self.loop.call_later(FINAL_GOAWAY_DELAY, self._send_final_goaway)
            self.loop.call_later(max(self.front.grace, FINAL_GOAWAY_DELAY), self._reject_open_streams)

    def close_when_idle(self) -> None:
        """Shut down gracefully, with or without open streams."""
        self.close()

    def _send_final_goaway(self) -> None:
        if self.is_closed:
            return
        self._last_stream_id = self.session.highest_peer_stream_id()
        self.session.send_goaway(self._last_stream_id, NO_ERROR)
        self.schedule_flush()
        self._close_or_idle()

    def _reject_open_streams(self) -> None:
        """Answer each open stream with an error at the end of the grace period."""
        for stream in tuple(self.streams.values()):
            if not stream.is_answered:
                self.reject_stream(stream, RejectionError(502, "the proxy leaves"))

    def drop(self) -> None:
        """Close the connection at once."""
        if not self.is_closed:
            self.session.send_goaway(self.session.highest_peer_stream_id(), NO_ERROR)
            self._transport.write(self.session.take_output())
        super().drop()

    def reject(self, fault: RejectionError) -> None:
        """Close the connection: there is no single request to answer."""
        self.drop()
