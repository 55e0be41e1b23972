"""The listener for callers: their connections, requests and responses, and which connections close under pressure."""

from __future__ import annotations

import asyncio
import itertools
import select
import socket
from collections import Counter, deque
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import cast

from lugspur.discovery.endpoints import Address
from lugspur.http1.body import Body
from lugspur.http1.body_memory import BodyMemory
from lugspur.http1.request_parser import PLATFORM, RejectionError, RequestParser, Sizes
from lugspur.interfaces import Request, StreamingReceiver
from lugspur.invariants import Invariant, check
from lugspur.pipe import Pipe

# Bytes read at once, into one buffer that all callers share.
READ_SIZE = 64 << 10
# Seconds from connecting within which the first request must begin. A caller is granted at most 3 s.
FIRST_REQUEST_TIMEOUT = 2.0
# Seconds more for the head of a first request that began late: with the sweep's 0.25 s that is less than 3 s.
LATE_HEAD_ALLOWANCE = 0.6
# Seconds for which the first bytes of a new connection may still be in flight.
FIRST_BYTES_GRACE = 0.05
# Seconds from the first byte of a request within which its head must be complete: some callers take 2 s, and a
# caller is granted at most 3 s.
REQUEST_HEAD_TIMEOUT = 2.5
# Minimum average rate of a body in bytes per second: some callers send at 64 kB per second.
MIN_BODY_RATE = 24 << 10
# Seconds that a body may wait for memory if its request says nothing about its deadline.
BODY_WAIT_TIMEOUT = 10.0
# Seconds that a body may lag behind that rate.
BODY_RATE_GRACE = 1.0
# Seconds within which each piece of a streamed response must arrive and be sent.
STREAM_TIMEOUT = 10.0
# Seconds that a connection may be idle between requests.
IDLE_TIMEOUT = 10.0
# The same when connections are scarce or no request was ever accepted; the protocol requires this minimum.
MIN_IDLE_TIMEOUT = 2.0
# Fraction of the limit on connections above which they count as scarce.
SCARCITY_FRACTION = 0.5
# Seconds that a closing connection may take; meanwhile its input is read and dropped.
CLOSE_TIMEOUT = 2.0
# Limit in bytes on that input. Closing with unread input would reset the connection and lose the response.
MAX_DROPPED_INPUT = 64 << 20
# Seconds between checks of the time limits.
SWEEP_INTERVAL = 0.25
# Fraction of the memory limit for incomplete bodies: hundreds of them could fill the memory.
BODY_MEMORY_FRACTION = 0.25
# The connection preface of HTTP/2 (RFC 9113 3.4); no HTTP/1.1 request begins like this.
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
# Limit on pipelined requests that wait behind another one: callers send one at a time.
MAX_PIPELINED_REQUESTS = 8
# Seconds from a drain until idle connections are closed: by then most callers have sent another request.
DRAIN_IDLE_DELAY = 1.0
# Seconds for which a connection that was opened after the drain call may still deliver its first request.
DRAIN_FIRST_REQUEST_GRACE = 0.3
# Seconds between checks from then on: a caller that can still send a request 2 s after the call is held 4 s after it.
DRAIN_CHECK_INTERVAL = 0.1
# Seconds between checks whether a response has been sent, so that its connection may be handed over.
HANDOVER_RETRY_DELAY = 0.02
# Connections that may wait to be accepted.
BACKLOG = 1024
# Connections accepted at once: without a free file descriptor the loop logs an error for each, every second.
ACCEPTS_PER_WAKEUP = 8
# Reason phrases by status; backends may send other statuses.
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class Front:
    """All connections of callers to one address, within a limit on their number.

    `handle` is called with each request and the caller to respond to, at once or later; it may raise RejectionError.
    `memory` is the memory limit of the process in bytes.
    """

    def __init__(
        self,
        address: Address,
        max_callers: int,
        memory: int,
        handle: Callable[[Request, Caller], None],
    ) -> None:
        self.address = address
        self.handle = handle
        self.first_request_timeout, self.request_head_timeout, self.idle_timeout = (
            FIRST_REQUEST_TIMEOUT,
            REQUEST_HEAD_TIMEOUT,
            IDLE_TIMEOUT,
        )
        self.grace = CLOSE_TIMEOUT  # seconds for which streams may continue after `close`
        self.sizes = PLATFORM
        # Returns the configuration for a request; called when its head is complete.
        self.get_configuration: Callable[[], object] | None = None
        # Creates the successor protocol of a connection that begins with the HTTP/2 preface; None: HTTP/2 isn't
        # supported.
        self.http2: Callable[[Front], TrackedConnection] | None = None
        # Returns when the bytes being read arrived, if that is estimated; None: they arrived now.
        self.arrival_time: Callable[[float, asyncio.Transport, bool], float] | None = None
        # Admits the bodies of requests, which otherwise count towards `max_buffered_bytes` until they are complete.
        self.body_memory: BodyMemory | None = None
        # Returns how many seconds after its first byte a request with these headers is of use; None: not known.
        self.seconds_of_use: Callable[[Mapping[bytes, bytes]], float | None] = lambda headers: None
        self.descriptors: set[int] | None = None  # collects the file descriptors of callers, if anything needs them
        self.ready = False  # whether the endpoint list is loaded
        self.serving = False  # whether the listener accepts connections and is not about to stop
        self.closing = False
        self.transfer_socket: Callable[[int], bool] | None = None  # hands a connection over to another process
        self.drain_started_at: float | None = None  # when an operator started a drain; None: not draining
        self.buffered_bytes = 0  # bytes of incomplete bodies
        self.rejections: Counter[int] = Counter()  # requests rejected here, by status
        self._set_limits(max_callers, memory)
        self.buffer = memoryview(bytearray(READ_SIZE))
        self.callers: set[TrackedConnection] = set()
        self.poll = select.poll()
        # Connections that owe no response, each with the loop's time at which it is closed.
        self.leaving: dict[TrackedConnection, float] = {}  # the last response has been sent
        self.fresh: dict[TrackedConnection, float] = {}  # nothing has been received yet
        self.idle: dict[TrackedConnection, float] = {}  # between two requests
        self.reading: dict[TrackedConnection, float] = {}  # a part of a request has been received
        self.streaming: dict[TrackedConnection, float] = {}  # a response is being streamed
        self.last_accept = 0.0
        self._loop = asyncio.get_running_loop()
        self._loop.call_later(SWEEP_INTERVAL, self._sweep)

    def _set_limits(self, max_callers: int, memory: int) -> None:
        self.max_callers = max_callers
        self.max_buffered_bytes = int(BODY_MEMORY_FRACTION * memory)

    def update_limits(
        self, max_callers: int, memory: int, sizes: Sizes, request_timeout: float, idle: float, grace: float
    ) -> None:
        """Apply changed limits.

        `request_timeout` is the time in seconds for a request to arrive, `idle` the idle timeout between two requests,
        and `grace` the time for streams to end. `sizes` applies to new connections.
        """
        self.grace = grace
        self._set_limits(max_callers, memory)
        self.sizes = sizes
        self.first_request_timeout = self.request_head_timeout = request_timeout
        self.idle_timeout = idle

    def healthy(self) -> bool:
        """Return whether this proxy is ready for requests."""
        return self.ready and self.serving and self.drain_started_at is None

    async def listen(self, sock: socket.socket | None = None, shared: bool = False) -> socket.socket:
        """Accept connections on the address of the front or on a bound socket.

        `shared` allows other processes to bind the address too.
        """
        loop = asyncio.get_running_loop()
        if sock is None:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.setblocking(False)
            sock.bind(self.address)
        self._server = await loop.create_server(lambda: Caller(self), sock=sock, backlog=ACCEPTS_PER_WAKEUP)
        sock.listen(BACKLOG)
        self.serving = True
        return sock

    async def stop_listening(self, sock: socket.socket) -> None:
        """Accept all queued connections, then close the listener: closing it first would reset them."""
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
        """Close idle connections now and the others after their response."""
        self.closing = True
        for caller in tuple(self.callers):
            caller.close_when_idle()

    def transfer_all(self, transfer_socket: Callable[[int], bool]) -> None:
        """Hand each connection over to the process that replaces this one, once it has no open request here."""
        self.transfer_socket = transfer_socket
        for caller in tuple(self.callers):
            caller.transfer()

    def drain(self, since: float = DRAIN_IDLE_DELAY) -> None:
        """Start a drain: responses close their connection, and idle connections are closed a little later."""
        if self.drain_started_at is None:
            self.drain_started_at = self._loop.time()
            self._schedule_idle_close(since)

    def undrain(self) -> None:
        """End the drain."""
        self.drain_started_at = None

    def _schedule_idle_close(self, delay: float) -> None:
        if self.drain_started_at is not None:
            self._loop.call_later(delay, self._close_idle_callers, self.drain_started_at)

    def _close_idle_callers(self, drain_started_at: float) -> None:
        """Close connections without an open request."""
        if self.drain_started_at != drain_started_at:
            return
        self._schedule_idle_close(DRAIN_CHECK_INTERVAL)
        latest = self._loop.time() + self.first_request_timeout - DRAIN_FIRST_REQUEST_GRACE
        for caller in tuple(self.callers):
            if caller.has_no_input() and self.fresh.get(caller, 0.0) < latest:
                caller.close_when_idle()

    def full(self, newcomer: TrackedConnection) -> bool:
        """Return whether there are too many connections and no other one could be closed for this one."""
        if len(self.callers) <= self.max_callers:
            return False
        # Protects good callers: useless connections are closed first, one whose request is being read never.
        latest = self._loop.time() + self.first_request_timeout - FIRST_BYTES_GRACE
        silent = [caller for caller, limit in itertools.islice(self.fresh.items(), 1) if limit < latest]
        for table in (self.leaving, silent, self.idle, self.fresh):
            for caller in table:
                if caller is not newcomer:
                    caller.drop()
                    return False
        return True

    def _sweep(self) -> None:
        """Close connections that exceed a time limit.

        Guards file descriptors and memory against callers that never complete what they began.
        """
        if self.closing and not self.callers:
            return
        self._loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self._loop.time()
        shortened_by = (
            self.idle_timeout - MIN_IDLE_TIMEOUT if len(self.callers) > SCARCITY_FRACTION * self.max_callers else 0.0
        )
        for table, before in ((self.leaving, 0.0), (self.fresh, 0.0), (self.idle, shortened_by)):
            for caller in [caller for caller, limit in table.items() if limit - before <= now]:
                caller.drop()
        for caller in [caller for caller, limit in self.reading.items() if limit <= now]:
            caller.on_request_timeout(now)
        for caller in [caller for caller, limit in self.streaming.items() if limit <= now]:
            caller.drop()

    def admit(self, caller: TrackedConnection) -> None:
        """Accept a request of this caller; raises RejectionError if there are too many connections."""
        if self.full(caller):
            raise RejectionError(503, "too many connections")
        caller.has_sent_request = True


class TrackedConnection(asyncio.BufferedProtocol):
    """A connection that a front counts and may close when it is not in use."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.has_sent_request = False  # whether a request of it has been accepted
        self.peer = ""  # the remote IP address
        # The front's table that the connection is in while no response is owed.
        self._table: dict[TrackedConnection, float] | None = None
        self._transport: asyncio.Transport
        self._fd = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of other event loops don't inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.peer = peer[0] if peer else ""
        self.front.callers.add(self)
        self._fd = transport.get_extra_info("socket").fileno()
        if self.front.descriptors is not None:
            self.front.descriptors.add(self._fd)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.front.buffer

    def feed(self, data: memoryview) -> None:
        """Process received bytes."""
        raise NotImplementedError

    def move(self, table: dict[TrackedConnection, float] | None, limit: float = 0.0) -> None:
        """Move the connection to this table of the front until the loop's time `limit`."""
        if self._table is not None:
            self._table.pop(self, None)
        self._table = table
        if table is not None:
            table[self] = limit

    def leave(self) -> None:
        """Stop being counted by the front."""
        self.move(None)
        self.front.callers.discard(self)
        if self.front.descriptors is not None:
            self.front.descriptors.discard(self._fd)

    def arrival(self, now: float) -> float:
        """Return when the bytes being read arrived, as far as that is known."""
        estimate = self.front.arrival_time
        return now if estimate is None else estimate(now, self._transport, not self.has_sent_request)

    def close(self) -> None:
        """Close the connection after all written bytes have been sent."""
        raise NotImplementedError

    def has_no_input(self) -> bool:
        """Return whether no input is unread, so that closing now loses no request."""
        self.front.poll.register(self._fd, select.POLLIN)
        has_input = bool(self.front.poll.poll(0))
        self.front.poll.unregister(self._fd)
        return not has_input

    def transfer(self) -> None:
        """Hand the connection over to the replacing process if no request is open; here it closes the ordinary way."""
        self.close_when_idle()

    def close_when_idle(self) -> None:
        """Close the connection if it owes no response, because the front accepts no further requests."""
        if self._table is self.front.fresh or self._table is self.front.idle:
            self.close()

    def on_request_timeout(self, now: float) -> None:
        """Reject the request because it takes too long."""
        self.reject(RejectionError(408, "the request took too long"))

    def drop(self) -> None:
        """Close the connection at once."""
        self.leave()
        self._transport.abort()

    def reject(self, rejection: RejectionError) -> None:
        """Reject a request and close the connection."""
        raise NotImplementedError


class Caller(TrackedConnection):
    """An HTTP/1.1 connection of a caller; its requests are answered one after another."""

    def __init__(self, front: Front, has_sent_request: bool = False) -> None:
        super().__init__(front)
        self.has_sent_request = has_sent_request  # also if the requests were accepted by the previous process
        self._loop = asyncio.get_running_loop()
        # The first bytes, until the protocol is known; None: it is HTTP/1.
        self._preface_input: bytes | None = b"" if front.http2 is not None else None
        self._queue: deque[Request | RejectionError] = deque()
        self._parser = RequestParser(
            self._queue.append,
            front.sizes,
            self._send_continue,
            front.get_configuration,
            self._resume_request_body,
            front.body_memory,
            self._resume_after_wait,
        )
        self._request_body: Body | None = None  # the body of the current request while it is received
        self._paused_at = 0.0  # since when reading is paused because the backend takes no more; 0: not paused
        self._is_http10 = False  # whether the current request is HTTP/1.0
        self._response_pipe: Pipe | None = None  # the response that is streamed
        self._chunked = False  # whether that response is chunked
        self._uncredited = 0  # bytes written of that response that its sender has not been credited for
        self._busy = False
        self._writing_paused = False  # whether the caller has stopped reading its responses
        self._keep_alive = True
        self._is_head_request = False  # whether the current request is a HEAD
        self._ignores_input = False  # whether a rejection is queued or was sent: no further request is read
        self._dropped_bytes = 0
        self._buffered = 0  # bytes of incomplete bodies counted in `front.buffered_bytes`
        self._deferred_until = 0.0  # the loop's time until which input is deferred
        self._deferred_input = b""  # that deferred input
        self.on_disconnect: Callable[[], None] | None = None  # called if the caller disconnects before its response

    # ---- the connection ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        front = self.front
        front.last_accept = self._loop.time()
        if self.has_sent_request:
            self.move(front.idle, front.last_accept + front.idle_timeout)
        else:
            self.move(front.fresh, front.last_accept + front.first_request_timeout)
        if front.transfer_socket is not None:  # the connection was accepted just before the handover began
            self._loop.call_soon(self.transfer)
        front.full(self)  # Guards the limit on file descriptors: another connection that can be closed is closed.

    def connection_lost(self, exc: Exception | None) -> None:
        self.leave()
        self._queue.clear()
        self._count_buffered(0)
        self._parser.close()
        self._release_request()

    def _drop_response(self) -> None:
        """Detach from the streamed response and drop the rest of it."""
        pipe, self._response_pipe = self._response_pipe, None
        uncredited, self._uncredited = self._uncredited, 0
        if pipe is not None:
            pipe.attach(None)
            pipe.mark_sent(uncredited)
            pipe.discard()

    def _release_request(self) -> None:
        """Release the request whose response can't be delivered any more."""
        self._drop_response()
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()
        stream, self._request_body = self._request_body, None
        if stream is not None:  # after the callback: the attempt ends here and must not be retried
            stream.drop()

    def close(self) -> None:
        """Close the connection after all written bytes have been sent."""
        self.move(self.front.leaving, self._loop.time() + CLOSE_TIMEOUT)
        self._transport.close()

    def transfer(self) -> None:
        """Hand the connection over to the replacing process together with unread input, without closing it."""
        front, transport = self.front, self._transport
        # Guards input that this process has read, and responses that have not been sent.
        has_open_request = (
            self._busy
            or self._queue
            or self._parser.reading
            or self._deferred_input
            or self._preface_input
            or self._ignores_input
        )
        if front.transfer_socket is None or has_open_request or transport.is_closing() or self._table is front.leaving:
            return
        if transport.get_write_buffer_size():
            self._loop.call_later(HANDOVER_RETRY_DELAY, self.transfer)
        elif front.transfer_socket(self._fd):
            self.drop()

    def pause_writing(self) -> None:
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused = False
        if self._response_pipe is not None:
            uncredited, self._uncredited = self._uncredited, 0
            self._response_pipe.mark_sent(uncredited)
            self._write_pieces()
            return
        self._resume()

    def _resume_reading(self) -> None:
        """Read on, unless the body that comes next waits for memory."""
        if not self._parser.waits_for_memory:
            self._transport.resume_reading()

    def _wait_for_memory(self, now: float) -> None:
        """Read no more until there is memory for the body, or until its request is of no use any more."""
        self._transport.pause_reading()
        self._paused_at = self._paused_at or now
        if not self._busy:
            useless_at = self._useless_at()
            self.move(self.front.reading, now + BODY_WAIT_TIMEOUT if useless_at is None else useless_at)

    def _resume_after_wait(self) -> None:
        """Read on, since there is now memory for the body; the wait doesn't count towards the caller's time limits."""
        now = self._loop.time()
        pause, self._paused_at = now - self._paused_at, 0.0
        self._parser.head_complete_at += pause
        if self._queue:  # the body was complete already
            self._start_next_request()
            return
        if not self._busy:
            self._await_body(now + self.front.request_head_timeout)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _await_body(self, earliest: float) -> None:
        """Set the time by which more of the current request must have been received, not before `earliest`.

        A body that takes memory which others wait for is received only as long as its request is of use.
        """
        limit = max(earliest, self._parser.body_due(MIN_BODY_RATE) + BODY_RATE_GRACE)
        useless_at = self._useless_at() if self._parser.takes_memory else None
        self.move(self.front.reading, limit if useless_at is None else min(limit, useless_at))

    def _useless_at(self) -> float | None:
        """Return the time from which on the current request is of no use to its caller, if that is known."""
        seconds = self.front.seconds_of_use(self._parser.headers)
        return None if seconds is None else self._parser.arrived + seconds

    def _resume_request_body(self) -> None:
        """Resume reading because more of the streamed body may be received."""
        if self._paused_at:  # the pause doesn't count towards the caller's time limits
            pause, self._paused_at = self._loop.time() - self._paused_at, 0.0
            self._parser.head_complete_at += pause
            if self._table is self.front.reading:
                self.move(self.front.reading, self.front.reading[self] + pause)
        if not self._transport.is_closing():
            self._resume_reading()

    def on_request_timeout(self, now: float) -> None:
        if self._parser.waits_for_memory:
            self.reject(RejectionError(503, "no memory for the body in time"))
            return
        useless_at = self._useless_at() if self._parser.takes_memory else None
        if useless_at is not None and now >= useless_at:
            self.reject(RejectionError(503, "the body was not complete in time"))
            return
        stream = self._request_body
        if stream is not None and stream.full:  # the delay is caused by the backend, not by this caller
            self.move(self.front.reading, now + BODY_RATE_GRACE)
            return
        super().on_request_timeout(now)

    def buffer_updated(self, nbytes: int) -> None:
        data = self.front.buffer[:nbytes]
        if self._preface_input is not None:
            received = self._preface_input + bytes(data)
            if PREFACE.startswith(received[: len(PREFACE)]):
                self._preface_input = received
                if len(received) >= len(PREFACE):
                    self._switch_to_http2(received)
                return
            self._preface_input, data = None, memoryview(received)
        if self._deferred_until and self._loop.time() < self._deferred_until:
            self._defer(data)
        else:
            self.feed(data)

    def defer_input(self, seconds: float) -> None:
        """Defer all input for a while: a caller that repeats its request at once would only be rejected again.

        Costs nothing if nothing arrives. Could harm important requests on the same connection: they are deferred too.
        """
        self._deferred_until = self._loop.time() + seconds

    def _defer(self, data: memoryview) -> None:
        if not self._deferred_input:
            self._loop.call_at(self._deferred_until, self._process_deferred, self.arrival(self._loop.time()))
        # Guards memory: one read is deferred, and another one for each response that resumes reading.
        self._transport.pause_reading()
        self._deferred_input += bytes(data)
        self.front.buffered_bytes += len(data)

    def _process_deferred(self, arrived_at: float) -> None:
        data, self._deferred_input, self._deferred_until = self._deferred_input, b"", 0.0
        self.front.buffered_bytes -= len(data)
        if not self._transport.is_closing():
            self._resume_reading()
            self.feed(memoryview(data), arrived_at)

    def _switch_to_http2(self, received: bytes) -> None:
        """Hand the connection over to the HTTP/2 protocol, as ALPN would."""
        assert self.front.http2 is not None
        successor, transport = self.front.http2(self.front), self._transport
        self.leave()
        self._parser.close()
        transport.set_protocol(successor)
        successor.connection_made(transport)
        successor.feed(memoryview(received))

    def feed(self, data: memoryview, arrived_at: float | None = None) -> None:
        """Process received bytes; `arrived_at` is their time of arrival if they were deferred."""
        if self._ignores_input:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > MAX_DROPPED_INPUT:  # Guards the CPU against an endless sender.
                self.drop()
            return
        parser, front = self._parser, self.front
        now = self.arrival(self._loop.time())
        parser.feed(data, now if arrived_at is None else arrived_at)
        self._count_buffered(parser.buffered_bytes())
        if self._request_body is not None and not self._request_body.ended:
            self._continue_body(now)
            return
        if self._request_body is not None:
            self._request_body = None
            if self._busy:  # else it was answered just now
                self.move(None)
        # Guards the memory limit against many incomplete bodies.
        if self._buffered and front.buffered_bytes > front.max_buffered_bytes:
            parser.rejection = RejectionError(503, "too many bodies at once")
        if len(self._queue) > MAX_PIPELINED_REQUESTS:  # Guards memory and backends against a flood on one connection.
            self._queue.clear()
            parser.rejection = RejectionError(400, "too many requests at once")
        if parser.rejection is not None:
            self._ignores_input = True
            self._queue.append(parser.rejection)
        if parser.waits_for_memory:
            self._wait_for_memory(now)
        if self._queue:
            self._start_next_request()
        elif parser.waits_for_memory:
            return
        elif parser.reading and not self._busy:
            limit = parser.arrived + front.request_head_timeout
            if self._table is front.fresh:  # a request that began late has less time for its head
                limit = min(limit, front.fresh[self] + LATE_HEAD_ALLOWANCE)
            elif self._table is front.reading:
                limit = front.reading[self]
            self._await_body(limit)

    def _continue_body(self, now: float) -> None:
        """Continue after more of a streamed body has been received."""
        parser, stream, front = self._parser, self._request_body, self.front
        assert stream is not None
        # Guards the memory limit against many incomplete bodies.
        if self._buffered and front.buffered_bytes > front.max_buffered_bytes:
            parser.rejection = RejectionError(503, "too many bodies at once")
        if parser.rejection is not None:
            # Guards against an attempt that ends with a part of the body: it is cancelled, so the request never runs.
            self._release_request()
            self.reject(parser.rejection)
        else:
            limit = max(parser.arrived + front.request_head_timeout, parser.body_due(MIN_BODY_RATE) + BODY_RATE_GRACE)
            self.move(front.reading, limit)
            if stream.full:
                self._paused_at = now
                self._transport.pause_reading()

    def _count_buffered(self, size: int) -> None:
        self.front.buffered_bytes += size - self._buffered
        self._buffered = size

    # ---- requests and responses ------------------------------------------------------------

    def admit(self) -> None:
        """Accept the current request; raises RejectionError if there are too many connections."""
        self.front.admit(self)

    def _start_next_request(self) -> None:
        """Start the next request unless another one is unanswered or its response unread."""
        if self._busy or self._writing_paused:
            self._transport.pause_reading()  # Guards memory: a caller may not pile up requests.
            return
        request = self._queue.popleft()
        if isinstance(request, RejectionError):
            self.reject(request)
            return
        self._busy = True
        self.move(None)
        self._keep_alive, self._is_http10 = request.keep_alive, request.is_http10
        self._request_body = stream = (
            request.stream if request.stream is not None and not request.stream.ended else None
        )
        self._is_head_request = request.method == b"HEAD"
        try:
            self.front.handle(request, self)
        except RejectionError as rejection:
            self._release_request()
            self.reject(rejection)
            return
        if stream is not None and self._request_body is stream:
            self._resume_reading()  # the body has to be received while the request is processed
            self.move(self.front.reading, self._loop.time() + self.front.request_head_timeout)

    def _send_continue(self) -> None:
        """Ask for the body that a caller holds back (`Expect: 100-continue`), unless other requests are ahead of it."""
        if not self._busy and not self._queue:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _write(self, status: int, head: bytes, body: bytes, keep_alive: bool, length: int | None = None) -> None:
        size = len(body) if length is None else length
        # RFC 9110 8.6: a 204 has no length; that of a 304 would describe another response, which is not known here.
        framing = b"" if status in (204, 304) else b"Content-Length: %d\r\n" % size
        self._transport.write(
            b"HTTP/1.1 %d %b\r\n%b%b%b\r\n%b"
            % (
                status,
                REASON_PHRASES.get(status, b"Other"),
                head,
                framing,
                b"" if keep_alive else b"Connection: close\r\n",
                b"" if self._is_head_request else body,
            )
        )

    def reject(self, rejection: RejectionError) -> None:
        """Reject a request and close the connection: a client kept alive would repeat it at full speed."""
        self.front.rejections[rejection.status] += 1
        if self._request_body is not None:
            self._release_request()
        self.on_disconnect = None
        self._busy, self._ignores_input = False, True
        self._queue.clear()
        self._parser.drop_body()
        self._count_buffered(0)
        self._write(rejection.status, b"", rejection.reason.encode() + b"\n", False)
        self.move(self.front.leaving, self._loop.time() + CLOSE_TIMEOUT)
        # Guards the response against a reset: input is still read until the caller closes.
        self._resume_reading()
        self._shut_down_output()

    def _shut_down_output(self) -> None:
        """Close the sending side; input is still read until the caller closes.

        Guards everything else in the same iteration of the loop, such as other callers of a sweep: if the caller has
        disconnected by now, the system raises the error here.
        """
        try:
            self._transport.write_eof()
        except OSError:
            self.drop()

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write the final response to the current request.

        `head` contains complete header lines; `length` is that of the body that is omitted for a HEAD request.
        """
        check(self._busy, Invariant.ONE_ANSWER, peer=self.peer, status=status)
        if self._response_pipe is not None:  # a response that was begun can't be completed by another
            self.abort_response()
            return
        if self._request_body is not None and not self._request_body.ended:  # responded before the end of the body
            self._respond_early(status, head, body, length)
            return
        self.on_disconnect = None
        self._busy = False
        keep_alive = self._keeps_alive()
        self._write(status, head, body, keep_alive, length)
        self._after_response(keep_alive)

    def _keeps_alive(self) -> bool:
        return self._keep_alive and not self.front.closing and self.front.drain_started_at is None

    def _respond_early(self, status: int, head: bytes, body: bytes, length: int | None) -> None:
        """Write a response before the end of the request's body and close; the rest of the body is read and dropped."""
        stream, self._request_body = self._request_body, None
        assert stream is not None
        self.on_disconnect = None
        self._busy, self._ignores_input = False, True
        self._queue.clear()
        stream.drop()
        self._count_buffered(0)
        self._write(status, head, body, False, length)
        self.move(self.front.leaving, self._loop.time() + CLOSE_TIMEOUT)
        self._resume_reading()
        self._shut_down_output()

    def _after_response(self, keep_alive: bool) -> None:
        """Continue after a complete response has been written."""
        if not keep_alive:
            self._queue.clear()
            self.close()
            return
        now, front = self._loop.time(), self.front
        if self._parser.waits_for_memory:
            self._wait_for_memory(now)
        elif self._parser.reading:
            self.move(front.reading, now + front.request_head_timeout)
        else:
            self.move(front.idle, now + (front.idle_timeout if self.has_sent_request else MIN_IDLE_TIMEOUT))
            if front.transfer_socket is not None:
                self._loop.call_soon(self.transfer)
        if not self._writing_paused:
            self._resume_reading()
            if self._queue:
                self._loop.call_soon(self._resume)

    # ---- streamed responses --------------------------------------------------------------------

    def streaming_receiver(self) -> StreamingReceiver | None:
        """Return this caller, which accepts streamed responses."""
        return self

    def begin_response(self, status: int, head: bytes, length: int | None, pipe: Pipe) -> None:
        """Write a response head; its body follows through the pipe until `finish_response` or `abort_response`."""
        check(self._busy and self._response_pipe is None, Invariant.ONE_ANSWER, peer=self.peer, status=status)
        stream, self._request_body = self._request_body, None
        if stream is not None and not stream.ended:  # the rest of the request's body is not needed
            self._keep_alive = False
            self._ignores_input = True
            stream.drop()
            self._count_buffered(0)
        self._keep_alive = self._keeps_alive() and (length is not None or not self._is_http10)
        self._chunked = length is None and not self._is_http10
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self._chunked
            else (b"" if length is None else b"Content-Length: %d\r\n" % length)
        )
        self._transport.write(
            b"HTTP/1.1 %d %b\r\n%b%b%b\r\n"
            % (
                status,
                REASON_PHRASES.get(status, b"Other"),
                head,
                framing,
                b"" if self._keep_alive else b"Connection: close\r\n",
            )
        )
        self._response_pipe = pipe
        self.move(self.front.streaming, self._loop.time() + STREAM_TIMEOUT)
        pipe.attach(self._write_pieces)

    def _write_pieces(self) -> None:
        """Write the available part of the response as long as the caller reads."""
        pipe = self._response_pipe
        while pipe is not None and not self._writing_paused and (data := pipe.take_chunk()):
            self.move(self.front.streaming, self._loop.time() + STREAM_TIMEOUT)
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
            if self._writing_paused:  # credited once it has been sent
                self._uncredited += len(data)
            else:
                pipe.mark_sent(len(data))
        if pipe is not None and pipe.ended and not self._writing_paused:
            self._complete_response()

    def finish_response(self) -> None:
        """Mark the streamed response as complete."""
        self.on_disconnect = None
        if self._response_pipe is not None:
            self._response_pipe.end()

    def _complete_response(self) -> None:
        """End the response after all of it has been written."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self._drop_response()
        self._busy = False
        if self._ignores_input:
            self.close()
        else:
            self._after_response(self._keep_alive and self._keeps_alive())

    def abort_response(self) -> None:
        """Abort a response that was begun so that the caller can detect it."""
        self._drop_response()
        self.on_disconnect = None
        if self._is_http10 and not self._chunked:  # a regular close would look like the end of the response
            self.drop()
        else:
            self._queue.clear()
            self.close()

    def _resume(self) -> None:
        if not self._queue:
            self._resume_reading()
        elif not self._busy:
            self._start_next_request()
