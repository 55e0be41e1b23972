"""Callers over HTTP/2: connections, streams, and gRPC calls on them, behind the same front as HTTP/1.1 callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.grpc import mapping
from lugspur.grpc.messages import Counter, Spoilt
from lugspur.grpc.timeout import read_timeout
from lugspur.http1.body import REPLAY_FACTOR, Body
from lugspur.http1.front import BODY_RATE_GRACE, CLOSE_TIMEOUT, MIN_BODY_RATE, STREAM_TIMEOUT, Front, TrackedConnection
from lugspur.http1.request_parser import PROXY_READ_HEADERS, PROXY_SET_HEADERS, RejectionError
from lugspur.http2.frames import CANCEL, INTERNAL_ERROR, NO_ERROR, REFUSED_STREAM, STREAM_MOST, Leave
from lugspur.http2.machine import STREAMS_MOST, Data, Ended, Event, Fields, Head, Machine, Over, Reset, Tail
from lugspur.http2.wire import Wire
from lugspur.interfaces import Request, StreamingReceiver
from lugspur.pipe import Pipe

GATHER = 0.02  # seconds after a whole message, or a head alone, in which a call may still turn out to be all there
LEAVE_AFTER = 0.25  # seconds between the two GOAWAYs: streams that were begun before the first was read still come
SILENT = 30.0  # seconds without a byte of a caller before a PING, and twice as many before it is given up
STUCK = 2.0  # seconds in which a caller must read a piece of what waits for it on an answered stream
Handle = Callable[[Request, "Stream"], None]


class Stream:
    """One request over HTTP/2, and its caller as pools see it."""

    underscores = False  # whether names with `_` go on: an HTTP/1.1 backend may take them for others

    def __init__(self, connection: Connection, stream: int, now: float) -> None:
        self.connection, self.stream = connection, stream
        self.front = connection.front
        self.peer = connection.peer
        self.arrived = now
        self.on_disconnect: Callable[[], None] | None = None
        self.answered = False  # its final answer is written, though it may not be out
        self._told: dict[bytes, bytes] = {}  # its head
        self._chunks: list[bytes] = []
        self._held = 0  # its part of what the front counts
        self._delivered = False
        self._timer: asyncio.TimerHandle | None = None
        self._body: Body | None = None  # the body that is passed on as it comes...
        self._owed = 0  # ...its bytes that no credit was given for...
        self._headed = now  # ...and from when its rate counts: while the backend took no more it did not
        self._full_at = 0.0  # since when that is; 0: it takes more
        self._answer: Pipe | None = None  # an answer that is passed on as it comes...
        self._unsent = 0  # ...and its bytes that wait for the caller's windows
        self.moved = 0.0  # when a piece of an answer last came or went
        self.watched = False  # whether it sees by itself that the answer moves

    # ---- the request ---------------------------------------------------------------------------

    def begin(self, fields: Fields) -> None:
        """Its head has come; raises RejectionError."""
        self._told = dict(fields)
        self._terms = None if self.front.get_configuration is None else self.front.get_configuration()
        self._lines, self._named = read_fields(fields, self.underscores)
        length = self._named.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.front.sizes.body:  # before a part of it goes on
            raise RejectionError(413, "the body is too large")
        self._wait_for_all()

    def _wait_for_all(self) -> None:
        """Guards connections against a body that never ends."""
        self._wait_until(self.arrived + self.front.request_head_timeout)

    def _wait_until(self, limit: float) -> None:
        self._stop()
        self._timer = self.connection.loop.call_at(limit, self._slow)

    def _slow(self) -> None:
        if self.answered or (self._delivered and self._body is None):
            return
        if self._body is not None:
            now = self.connection.loop.time()
            due = self._headed + self._body.received / MIN_BODY_RATE + BODY_RATE_GRACE
            if self._full_at or now < due:  # it waits for the backend, or comes at a rate that will do
                self._wait_until(max(due, now + BODY_RATE_GRACE))
                return
        self.connection.refuse(self, RejectionError(408, "the request took too long"))

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def data(self, data: bytes, size: int) -> None:
        """A part of its body; raises RejectionError."""
        body = self._body
        if body is not None:
            self._owed += size
            body.put(data)
            came = body.received
            self._hold(body.buffered)
            self._credit_body()
        else:
            self._keep(data, size)
            came = self._held
        if came > self.front.sizes.body:
            raise RejectionError(413, "the body is too large")
        # Guards the memory limit against many half bodies.
        if self.front.buffered_bytes > self.front.max_buffered_bytes:
            raise RejectionError(503, "too many bodies at once")
        if body is None and came > self.front.sizes.max_buffered_body:
            self._pass_body()

    def _keep(self, data: bytes, size: int) -> None:
        self.connection.machine.credit(self.stream, size)
        self._chunks.append(data)
        self._hold(self._held + len(data))

    def _hold(self, size: int) -> None:
        self.front.buffered_bytes += size - self._held
        self._held = size

    def _pass_body(self) -> None:
        """So much has come that the rest goes on as it comes."""
        length = self._named.get(b"content-length")
        body = Body(
            int(length) if length is not None else None,
            self._credit_body,
            REPLAY_FACTOR * self.front.sizes.max_buffered_body,
        )
        body.put(self._release())
        self._hold(body.buffered)
        self._body, self._delivered = body, True
        request = self._request(b"")
        request.stream = body
        self.connection.deliver(request, self)

    def _credit_body(self) -> None:
        """More of the body may come, as far as its backend keeps up."""
        body, now = self._body, self.connection.loop.time()
        if body is None:
            return
        if body.full:
            self._full_at = self._full_at or now
            return
        if self._full_at:
            self._headed += now - self._full_at
            self._full_at = 0.0
        if not self.answered and not body.ended:
            self._hold(body.buffered)
        owed, self._owed = self._owed, 0
        if owed:
            self.connection.machine.credit(self.stream, owed)
            self.connection.wake()

    def ended(self) -> None:
        """The request is whole; raises RejectionError."""
        self._stop()
        if self._body is not None:
            self._hold(0)
            self._body.end()
        else:
            self._deliver()

    def _release(self) -> bytes:
        body = b"".join(self._chunks)
        self._chunks = []
        self._hold(0)
        return body

    def _drop_body(self) -> None:
        """Nothing more of its body is wanted."""
        body = self._body
        if body is not None and not body.ended:
            self._stop()
            body.drop()
            self._hold(0)

    def _deliver(self) -> None:
        self._delivered = True
        body = self._release()
        self.connection.deliver(self._request(body), self)

    def _request(self, body: bytes) -> Request:
        method, path = self._told[b":method"], self._told[b":path"]
        return Request(method, path, self._named, self._lines, body, self.arrived, True, self._terms)

    # ---- the answer ----------------------------------------------------------------------------

    def admit(self) -> None:
        """Take up its request; raises RejectionError where there are too many connections."""
        self.front.admit(self.connection)

    def streaming_receiver(self) -> StreamingReceiver | None:
        """It takes an answer as it comes."""
        return self

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write the one final answer; one that was begun can't be finished by another."""
        if self._answer is not None:
            self.on_disconnect = None
            self.connection.cut(self, INTERNAL_ERROR)
            return
        self._write(
            self._first_fields(status, head, len(body) if length is None else length),
            b"" if self._told.get(b":method") == b"HEAD" else body,
            None,
        )

    def _first_fields(self, status: int, head: bytes, length: int | None) -> Fields:
        fields: Fields = [(b":status", b"%d" % status), *mapping.fields_of([head])]
        if status not in (204, 304) and length is not None:
            fields.append((b"content-length", b"%d" % length))
        return fields

    def reject(self, fault: RejectionError) -> None:
        """Answer what is not served; what a pool may have of it already is given up."""
        self._stop()
        self._let_go()
        if self._answer is None:
            self.respond(fault.status, b"", fault.reason.encode() + b"\n")
        else:
            self.connection.cut(self, INTERNAL_ERROR)

    def _write(self, head: Fields | None, body: bytes, tail: Fields | None) -> None:
        """The final answer, or its end."""
        if self.answered:
            return
        self.on_disconnect = None
        self.answered = True
        self._release()
        self._drop_body()
        machine, stream = self.connection.machine, self.stream
        if head is not None and not body and tail is not None:
            machine.head(stream, head + tail, end=True)  # trailers-only
        else:
            if head is not None:
                machine.head(stream, head, end=not body and tail is None)
            machine.write(stream, body, end=tail is None)
            if tail is not None:
                machine.finish(stream, tail)
        self.connection.answered(self)

    def _let_go(self) -> None:
        """Nobody waits for its answer any more."""
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()
        self._drop_body()  # after that: its attempt ends, and must not be followed by another

    def over(self) -> None:
        """Its caller has given it up, or its connection is gone."""
        self._stop()
        if self._answer is not None:
            self._answer.attach(None)
            self._answer.mark_sent(self._unsent)
            self._answer.discard()
        self._release()
        self.answered = True
        self._let_go()

    # ---- an answer that is passed on as it comes ----------------------------------------------

    def begin_response(self, status: int, head: bytes, length: int | None, flow: Pipe) -> None:
        """Write the head of an answer; its body comes through the pipe, and `finish` ends it."""
        self._drop_body()
        self.connection.machine.head(self.stream, self._first_fields(status, head, length))
        self._begin_flow(flow)
        self.watched = True
        self._look()

    def _begin_flow(self, flow: Pipe) -> None:
        self.moved = self.connection.loop.time()
        self._answer = flow
        flow.attach(self._more)

    def _look(self) -> None:
        """Guards memory and backends against an answer that stands still on either side."""
        limit = self.moved + STREAM_TIMEOUT
        if self.connection.loop.time() < limit:
            self._timer = self.connection.loop.call_at(limit, self._look)
        elif self.connection.streams.get(self.stream) is self:
            self.connection.cut(self, CANCEL)

    def _more(self) -> None:
        if self._answer is not None and not self.answered:
            data = self._answer.take()
            self._unsent += len(data)
            self.moved = self.connection.loop.time()
            self.connection.machine.write(self.stream, data)
            self.connection.wake()

    def finish_response(self) -> None:
        """The answer that was begun is whole."""
        self._more()
        self._write(None, b"", None)

    def sent(self, size: int) -> None:
        """So many bytes of the answer have gone out, or will never."""
        self.moved = self.connection.loop.time()
        if self._answer is not None:
            self._unsent -= size
            self._answer.mark_sent(size)


class Call(Stream):
    """A gRPC call: unary, or a stream of messages either way; the form of its request (interfaces.py)."""

    underscores = True  # metadata are passed on unchanged

    def __init__(self, connection: Connection, stream: int, now: float) -> None:
        super().__init__(connection, stream, now)
        self._counter = Counter()
        self.pipe: Pipe | None = None

    @property
    def requires_grpc(self) -> bool:
        """Whether a gRPC box alone can take it: it is no single message."""
        return self.pipe is not None or self._counter.whole != 1 or self._counter.open

    # ---- the request ---------------------------------------------------------------------------

    def begin(self, fields: Fields) -> None:
        """Its head has come; raises RejectionError."""
        super().begin(fields)
        if self._told.get(b":method") != b"POST":
            raise RejectionError(405, "gRPC is asked for with POST")
        timeout = self._told.get(b"grpc-timeout")
        if timeout is not None:
            try:
                self._named[b"x-timeout"] = b"%.9f" % read_timeout(timeout)
            except ValueError as fault:
                raise RejectionError(500, str(fault)) from fault  # INTERNAL
        self._wait_for_more()

    def _wait_for_more(self) -> None:
        """What says nothing further for a moment is a stream."""
        self._stop()
        self._timer = self.connection.loop.call_later(GATHER, self._stream)

    def data(self, data: bytes, size: int) -> None:
        """A part of its messages; raises RejectionError."""
        try:
            self._counter.feed(data)
        except Spoilt as fault:
            raise RejectionError(500, str(fault)) from fault  # INTERNAL
        if self.pipe is not None:
            self.connection.machine.credit(self.stream, size - len(data))
            self.pipe.put(data)
            return
        self._keep(data, size)
        front, counter = self.front, self._counter
        large = self._held + counter.least() > front.sizes.body or front.buffered_bytes > front.max_buffered_bytes
        if counter.whole + counter.open > 1 or large:
            self._stream()
        elif counter.open:  # its length is told: it is waited for
            self._wait_for_all()
        else:
            self._wait_for_more()

    def ended(self) -> None:
        """The caller has said all; raises RejectionError."""
        if self._counter.open:
            raise RejectionError(500, "the last message is cut")  # INTERNAL
        if self.pipe is not None:
            self.pipe.end()
        elif not self._delivered:
            self._stop()
            self._deliver()

    def _stream(self) -> None:
        """It is a stream: it goes on as it comes."""
        self._stop()
        if self._delivered or self.answered:
            return
        self._delivered = True
        machine, stream = self.connection.machine, self.stream
        pipe = self.pipe = Pipe(lambda size: self._credit(machine, stream, size))
        body = self._release()
        if body:
            pipe.put(body, credited=True)
        self.connection.deliver(self._request(b""), self)

    def _credit(self, machine: Machine, stream: int, size: int) -> None:
        machine.credit(stream, size)
        self.connection.wake()

    def _request(self, body: bytes) -> Request:
        request = super()._request(body)
        request.grpc_form = self
        return request

    def to_http1(self, request: Request) -> Request:
        """For a box that speaks HTTP/1.1."""
        return mapping.unwrapped(request)

    # ---- the answer ----------------------------------------------------------------------------

    def streaming_receiver(self) -> StreamingReceiver | None:
        """A gRPC answer has trailers: it passes by its form."""
        return None

    def reject(self, fault: RejectionError) -> None:
        """Answer what is not served; what a pool may have of it already is given up."""
        self._stop()
        self._let_go()
        self.respond(fault.status, b"", fault.reason.encode() + b"\n")

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write an answer that was made here or by an HTTP/1.1 box."""
        first, messages, tail = mapping.served_answer(status, head, body, self._told[b"content-type"])
        if self._answer is not None:
            self._end_stream(tail)
        else:
            self._write(first, messages, tail)

    def _first(self, head: bytes) -> Fields:
        """The head of a gRPC box's answer; one without a content type has that of the request."""
        fields: Fields = [(b":status", b"200"), *mapping.fields_of([head])]
        if all(name != b"content-type" for name, _ in fields):
            fields.append((b"content-type", self._told[b"content-type"]))
        return fields

    def begin_messages(self, head: bytes, body: Pipe) -> None:
        """Pass on an answer that has begun."""
        self.connection.machine.head(self.stream, self._first(head))
        self._begin_flow(body)

    def finish(self, head: bytes, body: bytes, trailers: bytes) -> None:
        """Write the answer of a gRPC box, or what of it has not been passed on."""
        tail = mapping.fields_of([trailers])
        if self._answer is not None:
            self._end_stream(tail)
        else:
            self._write(self._first(head), body, tail)

    def _end_stream(self, tail: Fields) -> None:
        self._more()
        self._write(None, b"", tail)


def read_fields(fields: Fields, underscores: bool) -> tuple[list[bytes], dict[bytes, bytes]]:
    """The header lines that go on, names with `_` or not, and what routes may ask for; raises RejectionError."""
    lines: list[bytes] = []
    named: dict[bytes, bytes] = {}
    authority = b""
    crumbs = [value for name, value in fields if name == b"cookie"]
    if len(crumbs) > 1:  # RFC 9113 8.2.3: HTTP/1.1 has them in one line
        fields = [field for field in fields if field[0] != b"cookie"] + [(b"cookie", b"; ".join(crumbs))]
    for name, value in fields:
        if name[:1] == b":":
            authority = value if name == b":authority" else authority
            continue
        if not value.isascii() or not name.isascii():  # Guards backends that close on what they can't read.
            raise RejectionError(400, "a header is not plain text")
        before = named.get(name)
        if before is not None and name in PROXY_READ_HEADERS:  # Guards against a backend that reads the other one.
            raise RejectionError(400, "a header comes twice")
        named[name] = value if before is None else before + b", " + value
        if name not in PROXY_SET_HEADERS and name not in mapping.CONNECTION and (underscores or b"_" not in name):
            lines.append(b"%b: %b\r\n" % (name, value))
    if authority:  # RFC 9113 8.3.1: it stands for Host; h2 refuses one that says otherwise
        named[b"host"] = authority
    return lines, named


class Connection(Wire, TrackedConnection):
    """One caller's connection over HTTP/2."""

    def __init__(self, front: Front, handle: Handle, streams: int = STREAMS_MOST) -> None:
        TrackedConnection.__init__(self, front)
        Wire.__init__(self, Machine(False, self._sent, front.sizes.head, streams))
        self._handle = handle
        self.streams: dict[int, Stream] = {}
        self._last = STREAM_MOST  # streams above it are not taken any more
        self._leaving = False  # we leave...
        self._left = False  # ...or the caller does
        self._heard = self.loop.time()
        self._looking = self.loop.call_later(SILENT, self._look)

    def _look(self) -> None:
        """Guards the front's places against callers that are gone without a word, with streams open."""
        if self.over:
            return
        silent = self.loop.time() - self._heard
        if silent >= 2.0 * SILENT:
            self.drop()
            return
        if silent >= SILENT:
            self.machine.ping()
            self.wake()
        self._looking = self.loop.call_later(SILENT / 2.0, self._look)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.move(self.front.fresh, self.loop.time() + self.front.first_request_timeout)
        if self.front.closing:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = self.machine.over = True
        self._looking.cancel()
        self.leave()
        self.sleep()
        streams, self.streams = tuple(self.streams.values()), {}
        for stream in streams:
            stream.over()

    def buffer_updated(self, nbytes: int) -> None:
        self.feed(self.front.buffer[:nbytes])

    def feed(self, data: memoryview) -> None:
        """What has come in."""
        self._heard = now = self.loop.time()
        if self._table is self.front.fresh:
            self.move(self.front.idle, now + self.front.idle_timeout)
        for event in self.machine.received(now, bytes(data)):
            self._event(event)
        self.flush()

    def wire(self) -> asyncio.Transport | None:
        return self._transport

    def give_up(self) -> None:
        self.drop()

    def _sent(self, stream: int, size: int) -> None:
        found = self.streams.get(stream)
        if found is not None:
            found.sent(size)
            if found.answered and self.machine.said(stream):
                self.loop.call_soon(self._forget, found)

    # ---- what comes ----------------------------------------------------------------------------

    def _event(self, event: Event) -> None:
        if isinstance(event, Over):
            self._end()
        elif isinstance(event, Head):
            self._begin(event)
        elif isinstance(event, Data | Ended | Tail):
            stream = self.streams.get(event.stream)
            if stream is not None and not stream.answered:
                self._go_on(stream, event)
        elif isinstance(event, Reset):
            stream = self.streams.pop(event.stream, None)
            if stream is not None:
                stream.over()
                self._settle()
        elif isinstance(event, Leave):
            self._left = True  # it waits for what it has asked
            self._settle()

    def _begin(self, event: Head) -> None:
        if event.stream > self._last:
            self.machine.reset(event.stream, REFUSED_STREAM)  # never ran; the GOAWAY told it
            return
        told = dict(event.fields)
        grpc = mapping.is_grpc(told.get(b"content-type", b""))
        stream = (Call if grpc else Stream)(self, event.stream, self.arrival(self.loop.time()))
        self.streams[event.stream] = stream
        self.move(None)
        try:
            if told.get(b":method") == b"CONNECT":
                raise RejectionError(501, "the method is not served")
            stream.begin(event.fields)  # where nothing follows its head, Ended comes right behind
        except RejectionError as fault:
            self.refuse(stream, fault)

    def _go_on(self, stream: Stream, event: Data | Ended | Tail) -> None:
        try:
            if isinstance(event, Data):
                stream.data(event.data, event.size)
            elif isinstance(event, Ended):
                stream.ended()
        except RejectionError as fault:
            self.refuse(stream, fault)

    def deliver(self, request: Request, stream: Stream) -> None:
        """Hand a request on."""
        try:
            self._handle(request, stream)
        except RejectionError as fault:
            self.refuse(stream, fault)

    def refuse(self, stream: Stream, fault: RejectionError) -> None:
        """Answer what is not served; what a pool may have of it already is given up."""
        stream.reject(fault)
        self.wake()

    # ---- what goes -----------------------------------------------------------------------------

    def answered(self, stream: Stream) -> None:
        """Its final answer is written; it lingers while its caller's window is shut."""
        if self.machine.said(stream.stream):
            self._forget(stream)
        elif not stream.watched:
            self.loop.call_later(STUCK, self._stuck, stream)
        self.wake()

    def cut(self, stream: Stream, code: int) -> None:
        """End an answer that was begun and can't be finished, so that its caller can tell."""
        if not self.over:
            self.machine.reset(stream.stream, code)
            self.wake()
        self.streams.pop(stream.stream, None)
        stream.over()
        self._settle()

    def _forget(self, stream: Stream) -> None:
        if self.streams.pop(stream.stream, None) is not None:
            if not self.over:
                # RFC 9113 8.1: the answer is whole, and the rest of the request is not wanted.
                self.machine.reset(stream.stream, NO_ERROR)
            self._settle()

    def _stuck(self, stream: Stream) -> None:
        """Guards memory against a caller that opens no window for what it has asked for."""
        if self.streams.get(stream.stream) is not stream or self.over:
            return
        if self.loop.time() < stream.moved + STUCK:  # it reads, however slowly
            self.loop.call_at(stream.moved + STUCK, self._stuck, stream)
            return
        self.machine.reset(stream.stream, CANCEL)
        self._forget(stream)
        self.wake()

    def _settle(self) -> None:
        """Where there is no stream left the front may close it."""
        if self.streams or self.over:
            return
        if self._left or self._last != STREAM_MOST:
            self._end()
            return
        if self._leaving:
            return  # the second GOAWAY is still to come
        front = self.front
        self.move(front.idle, self.loop.time() + front.idle_timeout)

    def _end(self) -> None:
        """Close it, once what is written is out."""
        self.flush()
        if not self.over:
            self.move(self.front.leaving, self.loop.time() + CLOSE_TIMEOUT)
            self._transport.close()

    def close(self) -> None:
        """Leave in good order: nothing new after a moment, and the end when all is answered (RFC 9113 6.8)."""
        if not self._leaving:
            self._leaving = True
            self.move(None)
            self.machine.leave(STREAM_MOST, NO_ERROR)
            self.wake()
            self.loop.call_later(LEAVE_AFTER, self._leave)
            self.loop.call_later(max(self.front.grace, LEAVE_AFTER), self._cut)

    def close_when_idle(self) -> None:
        """Leave, whatever is open."""
        self.close()

    def _leave(self) -> None:
        if self.over:
            return
        self._last = self.machine.highest()
        self.machine.leave(self._last, NO_ERROR)
        self.wake()
        self._settle()

    def _cut(self) -> None:
        """An honest end of what is still open: each stream gets its answer now."""
        for stream in tuple(self.streams.values()):
            if not stream.answered:
                self.refuse(stream, RejectionError(502, "the proxy leaves"))

    def drop(self) -> None:
        """Close it at once."""
        if not self.over:
            self.machine.leave(self.machine.highest(), NO_ERROR)
            self._transport.write(self.machine.take())
        super().drop()

    def reject(self, fault: RejectionError) -> None:
        """It has no request that could be answered."""
        self.drop()
