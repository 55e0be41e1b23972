"""HTTP/2 connections to the gRPC backends of a pool: attempts share few connections, checked by PINGs."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lugspur.discovery.endpoints import Address
from lugspur.grpc import mapping
from lugspur.grpc.messages import InvalidMessageError, MessageCounter
from lugspur.grpc.status import Status, http_status, parse_status
from lugspur.grpc.stream_end import OUTCOMES, StreamEnd, end_by_reset
from lugspur.http1.dial import LOCAL_ERRORS, Dial
from lugspur.http1.upstream import IDLE_TIMEOUT_FRACTION, MAX_BUFFERED_RESPONSE
from lugspur.http2.frames import CANCEL, ENHANCE_YOUR_CALM, REFUSED_STREAM, GoAway
from lugspur.http2.machine import (
    MAX_STREAMS,
    ConnectionEnded,
    DataReceived,
    Event,
    HeaderFields,
    HeadersReceived,
    Http2Session,
    PingAcknowledged,
    SettingsReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)
from lugspur.http2.wire import SessionWriter
from lugspur.interfaces import AttemptObserver, ListedBackend, Request, Response
from lugspur.load_balancing.model import Outcome
from lugspur.pipe import Pipe
from lugspur.routing.shares import SharedLimit

# Connections to one backend; one core of a backend rarely serves more than one at full speed.
MAX_CONNECTIONS_PER_BACKEND = 4
STREAMS_BEFORE_NEW_CONNECTION = 32  # streams on every connection to a backend before another connection is opened
# Bytes of a response's single message that are held back: while none has been forwarded, a failed attempt can be
# followed by another.
MAX_HELD_MESSAGE_BYTES = 256 << 10
TRAILERS_WAIT = 0.02  # seconds that a complete message waits for the trailers before it is forwarded without them
# Seconds after the last received data in which a request that must not run twice uses a connection without a PING.
FRESH_SECONDS = 1.0
# Seconds of silence before the first, second and every further PING; gRPC servers count PINGs and reject too many.
PING_INTERVALS = (1.0, 10.0, 300.0)
# Seconds from the TCP connection to the backend's SETTINGS; the kernel accepts connections for a busy backend, too.
SETTINGS_TIMEOUT = 2.0
PING_TIMEOUT = 1.0  # seconds from a PING to the next received data, after which the connection is closed
LIVENESS_CHECK_INTERVAL = 0.25  # seconds between checks of a connection for silence, while it has streams
ResponseClassifier = Callable[[int, bool], Outcome]


class GrpcAttempt:
    """One attempt at a request, as a stream on a connection to a backend."""

    __slots__ = (
        "backend",
        "box",
        "connection",
        "open",
        "repeatable",
        "request",
        "started",
        "stream_id",
        "assignments",
        "deadline",
        "_is_bound",
        "_counter",
        "_first_data_at",
        "_headers",
        "_held_bytes",
        "_upstream",
        "_response_pipe",
        "_chunks",
        "_trailers",
        "_deadline_timer",
        "_trailers_timer",
        "_watcher",
    )

    def __init__(
        self,
        upstream: GrpcUpstream,
        backend: ListedBackend,
        request: Request,
        started: float,
        deadline: float,
        watcher: AttemptObserver,
        repeatable: bool,
    ) -> None:
        self._upstream, self._watcher = upstream, watcher
        self.backend, self.request = backend, request
        self.started, self.deadline = started, deadline  # in the event loop's time
        self.repeatable = repeatable
        self.open = True
        # The connection that carries the attempt, or that the attempt waits for.
        self.connection: BackendConnection | None = None
        self.stream_id = 0  # 0 until the headers have been sent
        self.assignments = 0
        self._first_data_at = 0.0  # when the first data of the response arrived; 0.0 before
        self._is_bound = False
        self._counter = MessageCounter()
        self._headers: HeaderFields = []
        self._trailers: HeaderFields = []
        self._chunks: list[bytes] = []
        self._held_bytes = 0
        self._response_pipe: Pipe | None = None  # the response's messages, once they are forwarded as they arrive
        self._deadline_timer: asyncio.TimerHandle | None = None  # ends the attempt at its deadline
        # Starts the forwarding of a complete message whose trailers are late.
        self._trailers_timer: asyncio.TimerHandle | None = None

    def set_deadline_timer(self, handle: asyncio.TimerHandle) -> None:
        """Keep the timer that ends the attempt; it is cancelled once a message has been forwarded."""
        self._deadline_timer = handle

    def latency(self, now: float) -> float:
        """Return the attempt's duration, of a stream only until its first data.

        How long a stream lasts is not up to the backend.
        """
        return (self._first_data_at if self._is_bound and self._first_data_at else now) - self.started

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once, and cancel a stream that is still open."""
        if not self.open:
            return
        self.open = False
        for timer in (self._deadline_timer, self._trailers_timer):
            if timer is not None:
                timer.cancel()
        self._release_held_data()
        pipe = self._request_pipe()
        if pipe is not None:
            pipe.attach(None)
        if self.connection is not None:
            self.connection.remove(self)
        self._watcher.on_ended(self, outcome, response)

    def end_without_response(self, stream_end: StreamEnd) -> None:
        """End the attempt without a response."""
        self.end(OUTCOMES[stream_end])

    def expire(self) -> None:
        """End the attempt at its deadline."""
        self.end_without_response(StreamEnd.TIMED_OUT if self.stream_id else StreamEnd.UNSENT)

    def can_resend(self) -> bool:
        """Detach an unread request pipe; return whether the request can be sent again as it was.

        It can while none of its messages has been taken from the pipe and no response headers have arrived.
        """
        pipe = self._request_pipe()
        if pipe is not None and not pipe.was_read:
            pipe.attach(None)
        return not self._headers and (pipe is None or not pipe.was_read)

    def _request_pipe(self) -> Pipe | None:
        return None if self.request.grpc_form is None else self.request.grpc_form.pipe

    # ---- the request ---------------------------------------------------------------------------

    def send(self, connection: BackendConnection, now: float) -> None:
        """Send the headers, and as much of the body as has arrived."""
        request, session = self.request, connection.session
        time_left = self.deadline - now
        if request.grpc_form is None:
            fields, body = mapping.to_grpc_request(request, time_left)
        else:
            fields, body = mapping.grpc_request_fields(request, time_left), request.body
        self.stream_id = session.open_stream(fields)
        connection.attempts[self.stream_id] = self
        pipe = self._request_pipe()
        if pipe is not None:
            pipe.attach(self._send_more)
            return
        session.send_data(self.stream_id, body, end=True)

    def _send_more(self) -> None:
        """Send the messages that have arrived on a request stream."""
        pipe, connection = self._request_pipe(), self.connection
        if pipe is None or connection is None:
            return
        data = pipe.take()
        if data:
            self._bind()
            connection.session.send_data(self.stream_id, data)
        if pipe.ended and not connection.session.has_ended_stream(self.stream_id):
            connection.session.end_stream(self.stream_id)
        connection.schedule_flush()

    def report_sent(self, size: int) -> None:
        """Report request bytes to the pipe as sent or discarded."""
        pipe = self._request_pipe()
        if pipe is not None:
            pipe.mark_sent(size)

    def _bind(self) -> None:
        if not self._is_bound:
            self._is_bound = True
            if self._deadline_timer is not None:
                self._deadline_timer.cancel()
            self._watcher.on_committed()

    # ---- the response --------------------------------------------------------------------------

    def take_headers(self, fields: HeaderFields, end_stream: bool) -> None:
        """Take the response headers; with `end_stream` they are its trailers as well."""
        self._headers = fields
        if end_stream:
            self._trailers = fields

    def take_trailers(self, fields: HeaderFields) -> None:
        """Take the trailers."""
        self._trailers = fields

    def take_data(self, data: bytes, size: int) -> None:
        """Take a part of the response's messages; hold or forward it."""
        connection, upstream = self.connection, self._upstream
        assert connection is not None
        self._first_data_at = self._first_data_at or upstream.now()
        try:
            self._counter.feed(data)
        except InvalidMessageError:
            self.end_without_response(StreamEnd.BROKEN)
            return
        if self._response_pipe is not None:
            connection.session.acknowledge_data(self.stream_id, size - len(data))
            self._response_pipe.put(data)
            return
        connection.session.acknowledge_data(self.stream_id, size)
        self._chunks.append(data)
        self._held_bytes += len(data)
        upstream.held_bytes += len(data)
        if self.request.grpc_form is not None and self._must_forward():
            self._start_forwarding()
        elif self._held_bytes > upstream.max_response_bytes or upstream.held_bytes > upstream.max_held_bytes:
            self.end_without_response(StreamEnd.BROKEN)  # guards the memory limit against endless responses
        elif self.request.grpc_form is not None and self._counter.complete_count and self._trailers_timer is None:
            self._trailers_timer = asyncio.get_running_loop().call_later(TRAILERS_WAIT, self._start_forwarding)

    def _must_forward(self) -> bool:
        """Return whether messages can't be held until the end of the response.

        They can't if the request is bound to this attempt, there are several messages, or one is very large.
        """
        counter = self._counter
        return (
            self._is_bound
            or counter.complete_count + counter.has_open_message > 1
            or self._held_bytes > MAX_HELD_MESSAGE_BYTES
        )

    def _start_forwarding(self) -> None:
        """Forward messages as they arrive from now on: of a stream, or one message that is too large to hold."""
        connection = self.connection
        if not self.open or connection is None or self._response_pipe is not None:
            return
        stream_id = self.stream_id
        self._bind()
        pipe = self._response_pipe = Pipe(lambda size: connection.acknowledge_data(stream_id, size))
        for chunk in self._chunks:
            pipe.put(chunk, credited=True)
        self._release_held_data()
        self._watcher.on_response_begun(Response(200, mapping.response_header_lines(self._headers), b""), pipe)

    def _release_held_data(self) -> None:
        self._upstream.held_bytes -= self._held_bytes
        self._held_bytes = 0
        self._chunks = []

    def finish(self) -> None:
        """Report the response: the backend has ended the stream."""
        if self._counter.has_open_message:
            self.end_without_response(StreamEnd.BROKEN)  # the stream ended within a message
            return
        trailers = dict(self._trailers)
        grpc_status = parse_status(trailers.get(b"grpc-status"))
        try:
            response = self._build_response(trailers, grpc_status)
        except InvalidMessageError:
            self.end_without_response(StreamEnd.BROKEN)
            return
        if response is None:
            self.end_without_response(StreamEnd.BROKEN)
            return
        # `x-not-processed` after a message, or with a status other than UNAVAILABLE, proves nothing.
        is_unprocessed = (
            trailers.get(b"x-not-processed") == b"1" and not self._counter.complete_count and not self._is_bound
        )
        self.end(self._upstream.classify(response.status, is_unprocessed), response)

    def _build_response(self, trailers: dict[bytes, bytes], grpc_status: Status | int | None) -> Response | None:
        """Return the complete response, or None without a status; raises InvalidMessageError for invalid messages."""
        status = int(dict(self._headers).get(b":status", b"0"))
        if grpc_status is None:
            # The response is not gRPC: an HTTP server or a proxy sent it.
            return None if status < 300 else Response(status, b"", b"")
        body = b"".join(self._chunks)
        if self.request.grpc_form is None:
            return mapping.to_http1_response(self._headers, self._trailers, body)
        head = b"" if self._headers is self._trailers else mapping.response_header_lines(self._headers)
        return Response(http_status(int(grpc_status)), head, body, None, mapping.response_trailer_lines(self._trailers))


class BackendConnection(SessionWriter, asyncio.Protocol):
    """One connection to a backend; it carries streams once the backend's SETTINGS prove that it speaks HTTP/2."""

    def __init__(self, upstream: GrpcUpstream, group: ConnectionGroup) -> None:
        super().__init__(Http2Session(True, self._report_sent))
        self._upstream, self.group = upstream, group
        self.attempts: dict[int, GrpcAttempt] = {}
        # Attempts that wait for the backend's SETTINGS or the reply to a PING.
        self.waiting: dict[GrpcAttempt, None] = {}
        self.is_ready = False  # the backend's SETTINGS have arrived
        self.is_draining = False  # no new stream is opened on the connection
        # Whether the backend is at fault because the connection failed or doesn't speak HTTP/2.
        self.is_backend_at_fault = False
        self.last_received_at = 0.0  # when data was last received, in the event loop's time
        self.idle_since = self.loop.time()
        self._transport: asyncio.Transport | None = None
        self._ping_sent_at = 0.0  # when a PING was sent that no data has followed; 0.0: none
        self._pings_since_stream_event = 0  # since the last event on a stream; replies to PINGs don't count
        self._liveness_timer: asyncio.TimerHandle | None = None
        self._settings_timer: asyncio.TimerHandle | None = None  # ends the wait for the backend's SETTINGS
        self._connect_task: asyncio.Task[object] | None = None
        self.dial: Dial[BackendConnection] | None = Dial(upstream, self, group.backend, upstream.dial_timeout)

    # ---- the connection ------------------------------------------------------------------------

    def attach_socket(self, sock: socket.socket) -> None:
        """Start the protocol on a connected socket."""
        self._settings_timer = self.loop.call_later(SETTINGS_TIMEOUT, self._fail)
        self._connect_task = self.loop.create_task(self.loop.create_connection(lambda: self, sock=sock))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.is_closed:
            transport.abort()
        else:
            self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail()

    def _fail(self) -> None:
        self.is_backend_at_fault = self.is_backend_at_fault or not (self.is_ready or self.is_closed)
        self.disconnect()

    def data_received(self, data: bytes) -> None:
        self.last_received_at = now = self.loop.time()
        self._ping_sent_at = 0.0
        for event in self.session.receive_data(now, data):
            self._handle_event(event)
        self._send_waiting()
        self.flush()

    def transport(self) -> asyncio.Transport | None:
        return self._transport

    def abort(self) -> None:
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection and end its attempts; of sent requests it is unknown whether they ran."""
        if self.is_closed:
            return
        self.is_closed = self.is_draining = True
        self.cancel_flush()
        for handle in (self._settings_timer, self._liveness_timer):
            if handle is not None:
                handle.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._upstream.remove(self)
        waiting, self.waiting = tuple(self.waiting), {}
        for attempt in waiting:
            attempt.connection = None
            if self.is_ready:
                self._upstream.assign(attempt)  # no headers were sent before the connection was found dead
            else:
                attempt.end_without_response(StreamEnd.UNSENT)
        for attempt in tuple(self.attempts.values()):
            attempt.end_without_response(StreamEnd.BROKEN)

    def close(self) -> None:
        """Close the connection with a GOAWAY."""
        if not self.is_closed:
            self.session.send_goaway(0)
            self.flush()
            self.disconnect()

    # ---- streams -------------------------------------------------------------------------------

    def stream_count(self) -> int:
        """Return the number of streams on the connection, including those of waiting attempts."""
        return len(self.attempts) + len(self.waiting)

    def can_open_stream(self) -> bool:
        """Return whether another stream may be opened."""
        # Guards requests against waiting behind one whose body the backend doesn't read.
        if (
            self.is_draining
            or self.session.are_stream_ids_exhausted()
            or (self.is_ready and self.session.is_connection_window_exhausted())
        ):
            return False
        return (self.session.available_streams() if self.is_ready else MAX_STREAMS) > len(self.waiting)

    def add(self, attempt: GrpcAttempt) -> None:
        """Open a stream for the attempt, now or when the connection is known to be alive."""
        attempt.connection = self
        now = self.loop.time()
        if self.is_ready and (attempt.repeatable or now - self.last_received_at <= FRESH_SECONDS):
            self._send(attempt, now)
            self.schedule_flush()
            return
        # Guards requests that must not run twice: on a dead connection it would stay unknown whether they ran.
        self.waiting[attempt] = None
        if self.is_ready:
            self._ping(now)
        self._schedule_liveness_check()

    def _send(self, attempt: GrpcAttempt, now: float) -> None:
        # While the attempt waited, its backend may have been drained, its deadline may have passed or its request may
        # have been answered; a draining backend must not get a new stream, on an open connection either.
        if not attempt.open or attempt.deadline <= now or not attempt.backend.in_service:
            attempt.end_without_response(StreamEnd.WITHDRAWN)
        elif self.session.is_closed or self.is_closed:
            attempt.end_without_response(StreamEnd.UNSENT)
        else:
            attempt.send(self, now)
            self._schedule_liveness_check()

    def _send_waiting(self) -> None:
        """Send the waiting attempts: the connection is alive."""
        if not self.is_ready or not self.waiting:
            return
        now = self.loop.time()
        waiting, self.waiting = tuple(self.waiting), {}
        for attempt in waiting:
            if self.can_open_stream():
                self._send(attempt, now)
            else:
                attempt.connection = None
                self._upstream.assign(attempt)

    def remove(self, attempt: GrpcAttempt) -> None:
        """Remove an ended attempt; an open stream is cancelled, so that the backend can stop its work."""
        self.waiting.pop(attempt, None)
        attempt.connection = None
        if attempt.stream_id and self.attempts.pop(attempt.stream_id, None) is not None:
            self.session.reset_stream(attempt.stream_id, CANCEL)
            self.schedule_flush()
            if not self.attempts:
                self.idle_since = self.loop.time()
                if (self.is_draining or self.session.is_connection_window_exhausted()) and not self.is_closed:
                    self.is_draining = True
                    self.loop.call_soon(self._close_if_idle)

    def drain(self) -> None:
        """Open no more streams, and close the connection after the last one."""
        self.is_draining = True
        for attempt in tuple(self.waiting):
            attempt.end_without_response(StreamEnd.WITHDRAWN)
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if not self.attempts:
            self.close()

    def acknowledge_data(self, stream_id: int, size: int) -> None:
        """Acknowledge response bytes that were forwarded."""
        self.session.acknowledge_data(stream_id, size)
        self.schedule_flush()

    def _report_sent(self, stream_id: int, size: int) -> None:
        attempt = self.attempts.get(stream_id)
        if attempt is not None:
            attempt.report_sent(size)

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, SettingsReceived):
            if not self.is_ready:
                self.is_ready = True
                assert self._settings_timer is not None
                self._settings_timer.cancel()
                self._upstream.record_dial(self.group.backend, True)
        elif isinstance(event, GoAway):
            self._handle_goaway(event)
        elif isinstance(event, ConnectionEnded):
            self.flush()
            self._fail()
        elif not isinstance(event, PingAcknowledged):
            attempt = self.attempts.get(event.stream_id)
            if attempt is not None:
                self._pings_since_stream_event = 0
                self._handle_stream_event(attempt, event)

    def _handle_stream_event(
        self, attempt: GrpcAttempt, event: HeadersReceived | DataReceived | TrailersReceived | StreamEnded | StreamReset
    ) -> None:
        if isinstance(event, HeadersReceived):
            attempt.take_headers(event.fields, event.end_stream)
        elif isinstance(event, DataReceived):
            attempt.take_data(event.data, event.size)
        elif isinstance(event, TrailersReceived):
            attempt.take_trailers(event.fields)
        elif isinstance(event, StreamEnded):
            attempt.finish()
        else:
            # A reset by h2 on a stream error tells nothing about whether the request ran.
            attempt.end_without_response(end_by_reset(event.code == REFUSED_STREAM and not event.is_local))

    def _handle_goaway(self, goaway: GoAway) -> None:
        """Drain the connection: the backend has not processed streams above its last one, the others continue."""
        self.is_draining = True
        if goaway.code == ENHANCE_YOUR_CALM:
            self.group.no_more_pings = True
        for attempt in tuple(self.waiting):
            del self.waiting[attempt]
            attempt.connection = None
            self._upstream.assign(attempt)
        for stream_id, attempt in tuple(self.attempts.items()):
            if stream_id > goaway.last_stream_id:
                self._resend_unprocessed(attempt)
        self.loop.call_soon(self._close_if_idle)

    def _resend_unprocessed(self, attempt: GrpcAttempt) -> None:
        """Send an unprocessed attempt on another connection.

        Backends close old connections by GOAWAY and serve the same request on a new one.
        """
        if attempt.can_resend():
            del self.attempts[attempt.stream_id]
            self.session.reset_stream(attempt.stream_id, CANCEL)
            attempt.connection, attempt.stream_id = None, 0
            self._upstream.assign(attempt)
        else:
            attempt.end_without_response(StreamEnd.ABOVE_GOAWAY)

    # ---- liveness ------------------------------------------------------------------------------

    def _ping(self, now: float) -> None:
        if not self._ping_sent_at:
            self._ping_sent_at = now
            self._pings_since_stream_event += 1
            self.session.send_ping()
            self.schedule_flush()

    def _schedule_liveness_check(self) -> None:
        if self._liveness_timer is None and not self.is_closed:
            self._liveness_timer = self.loop.call_later(LIVENESS_CHECK_INTERVAL, self._check_liveness)

    def _check_liveness(self) -> None:
        """Send a PING on a silent connection, and close the connection if nothing follows the PING."""
        self._liveness_timer = None
        now = self.loop.time()
        if not self.stream_count() or not self.is_ready:
            return
        if self._ping_sent_at:
            if now - self._ping_sent_at >= PING_TIMEOUT:
                self.disconnect()
                return
        elif (
            now - self.last_received_at >= PING_INTERVALS[min(self._pings_since_stream_event, len(PING_INTERVALS) - 1)]
            and not self.group.no_more_pings
        ):
            self._ping(now)
        self._schedule_liveness_check()


class ConnectionGroup:
    """The connections to one gRPC backend."""

    __slots__ = ("backend", "connections", "no_more_pings")

    def __init__(self, backend: ListedBackend) -> None:
        self.backend = backend
        self.connections: list[BackendConnection] = []
        self.no_more_pings = False  # the backend has sent ENHANCE_YOUR_CALM: it gets no more PINGs


class GrpcUpstream:
    """All connections to the gRPC backends of a pool, within the pool's share of the sockets."""

    def __init__(
        self, sockets: SharedLimit, pool_name: str, classify: ResponseClassifier, on_dial: Callable[[int, bool], None]
    ) -> None:
        self._sockets, self._pool_name, self._on_dial = sockets, pool_name, on_dial
        self._loop = asyncio.get_running_loop()
        self.classify = classify
        self.dial_timeout, self._idle_timeout = 0.25, 7.5
        self.held_bytes, self.max_held_bytes, self.max_response_bytes = 0, MAX_BUFFERED_RESPONSE, MAX_BUFFERED_RESPONSE
        self._groups: dict[ListedBackend, ConnectionGroup] = {}
        self._idle_timer = self._loop.call_later(1.0, self._close_idle_connections)

    def tune(self, conn_idle: float, dial_timeout: float, max_held_bytes: int, max_response_bytes: int) -> None:
        """Apply changed limits."""
        self._idle_timeout, self.dial_timeout = IDLE_TIMEOUT_FRACTION * conn_idle, dial_timeout
        self.max_held_bytes, self.max_response_bytes = max_held_bytes, max_response_bytes

    def now(self) -> float:
        """Return the event loop's time."""
        return self._loop.time()

    def close(self) -> None:
        """Drain all connections; no further attempt is sent."""
        self._idle_timer.cancel()
        for group in self._groups.values():
            for connection in tuple(group.connections):
                connection.drain()

    # ---- attempts ------------------------------------------------------------------------------

    def start(
        self,
        backend: ListedBackend,
        request: Request,
        deadline: float,
        watcher: AttemptObserver,
        repeatable: bool,
        timed: bool,
    ) -> GrpcAttempt:
        """Start an attempt in the next iteration of the event loop: its caller is not ready for an outcome yet."""
        attempt = GrpcAttempt(self, backend, request, self._loop.time(), deadline, watcher, repeatable)
        if timed:
            attempt.set_deadline_timer(self._loop.call_at(deadline, attempt.expire))
        self._loop.call_soon(self.assign, attempt)
        return attempt

    def assign(self, attempt: GrpcAttempt) -> None:
        """Assign an attempt to a connection."""
        if not attempt.open:
            return
        attempt.assignments += 1
        backend = attempt.backend
        group = self._groups.get(backend)
        if group is None:
            group = self._groups[backend] = ConnectionGroup(backend)
        if not backend.in_service:
            attempt.end_without_response(StreamEnd.WITHDRAWN)
            return
        connection = (
            self._choose_connection(group, attempt) if attempt.assignments <= MAX_CONNECTIONS_PER_BACKEND else None
        )
        if connection is None:
            # With connections present, the backend allows no further stream; without any, the sockets are used up.
            attempt.end_without_response(StreamEnd.STREAM_LIMIT if group.connections else StreamEnd.UNSENT)
        else:
            connection.add(attempt)

    def _choose_connection(self, group: ConnectionGroup, attempt: GrpcAttempt) -> BackendConnection | None:
        """Return the connection with the fewest streams, or a new one if all have many."""
        now = self._loop.time()
        candidates = [connection for connection in group.connections if connection.can_open_stream()]
        if group.no_more_pings and not attempt.repeatable:  # no PING may check whether connections are alive
            candidates = [
                connection
                for connection in candidates
                if now - connection.last_received_at <= FRESH_SECONDS or not connection.is_ready
            ]
        best = min(candidates, key=BackendConnection.stream_count, default=None)
        if best is not None and best.stream_count() < STREAMS_BEFORE_NEW_CONNECTION:
            return best
        open_count = sum(not connection.is_draining for connection in group.connections)
        if open_count >= MAX_CONNECTIONS_PER_BACKEND or not self._sockets.can_acquire(self._pool_name):
            return best
        self._sockets.acquire(self._pool_name)
        connection = BackendConnection(self, group)
        group.connections.append(connection)
        return connection

    # ---- connections ---------------------------------------------------------------------------

    def update(self, backend: ListedBackend, address: Address, started: float, in_service: bool) -> None:
        """Drain connections to a former address or process of a backend, or to one that is out of service."""
        if backend.address != address or backend.started != started or not in_service:
            group = self._groups.get(backend)
            if group is not None:
                group.no_more_pings = False
                for connection in tuple(group.connections):
                    connection.drain()
                if not group.connections and not in_service:
                    del self._groups[backend]

    def connected(self, connection: BackendConnection, sock: socket.socket) -> None:
        """Take over the socket of a connection that was established."""
        connection.attach_socket(sock)

    def unreachable(self, connection: BackendConnection, error_number: int) -> None:
        """Handle a connection that could not be established."""
        connection.is_backend_at_fault = error_number not in LOCAL_ERRORS
        connection.disconnect()

    def dial_ended(self) -> None:
        """Handle a cancelled dial: `remove` releases its socket."""

    def record_dial(self, backend: ListedBackend, is_up: bool) -> None:
        """Report whether a connection was established."""
        self._on_dial(backend.server, is_up)

    def remove(self, connection: BackendConnection) -> None:
        """Remove a connection that has ended."""
        self._sockets.release(self._pool_name)
        connection.group.connections.remove(connection)
        if connection.is_backend_at_fault:
            self.record_dial(connection.group.backend, False)
        if not connection.group.connections and not connection.group.backend.in_service:
            self._groups.pop(connection.group.backend, None)

    def _close_idle_connections(self) -> None:
        """Close connections that have been idle for the idle timeout."""
        self._idle_timer = self._loop.call_later(max(self._idle_timeout / 4.0, 0.1), self._close_idle_connections)
        idle_limit = self._loop.time() - self._idle_timeout
        for group in tuple(self._groups.values()):
            for connection in tuple(group.connections):
                if connection.is_ready and not connection.stream_count() and connection.idle_since <= idle_limit:
                    connection.close()
