"""Connections to a pool's gRPC boxes: streams on few connections, GOAWAY, PINGs, and how each attempt ended."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lugspur.discovery.endpoints import Address
from lugspur.grpc import mapping
from lugspur.grpc.evidence import PROVES, End, by_reset
from lugspur.grpc.messages import Counter, Spoilt
from lugspur.grpc.status import Status, http_status, read_status
from lugspur.http1.dial import LOCAL_ERRORS, Dial
from lugspur.http1.upstream import IDLE_TIMEOUT_FRACTION, MAX_BUFFERED_RESPONSE
from lugspur.http2.frames import CANCEL, ENHANCE_YOUR_CALM, REFUSED_STREAM, Leave
from lugspur.http2.machine import (
    STREAMS_MOST,
    Acked,
    Data,
    Ended,
    Event,
    Fields,
    Head,
    Machine,
    Over,
    Reset,
    Settled,
    Tail,
)
from lugspur.http2.wire import Wire
from lugspur.interfaces import AttemptObserver, ListedBackend, Request, Response
from lugspur.load_balancing.model import Outcome
from lugspur.pipe import Pipe
from lugspur.routing.shares import SharedLimit

LINKS_MOST = 4  # connections to one box: one core of a box rarely serves more than one at full speed
SPREAD = 32  # streams on each connection before a further one is made
HOLD_MOST = 256 << 10  # bytes of an answer's one message that are held back: it may still break, and be asked again
STREAM_AFTER = 0.02  # seconds that a whole message waits for its trailers before it is passed on by itself
FRESH = 1.0  # seconds since a connection was last heard in which what must not run twice trusts it without a PING
PINGS = (1.0, 10.0, 300.0)  # seconds of silence before the first, second and every further PING: gRPC servers count
SETTINGS_WITHIN = 2.0  # seconds from the connection to the box's SETTINGS: the kernel accepts for a busy box, too
PING_WITHIN = 1.0  # seconds for its answer
LOOK_EVERY = 0.25  # seconds between looks at silent connections, while they have streams
Judge = Callable[[int, bool], Outcome]


class Exchange:
    """One attempt on a stream."""

    __slots__ = (
        "backend",
        "box",
        "link",
        "open",
        "repeatable",
        "request",
        "started",
        "stream",
        "tries",
        "until",
        "_bound",
        "_counter",
        "_first",
        "_head",
        "_held",
        "_lane",
        "_pipe",
        "_chunks",
        "_tail",
        "_timer",
        "_waiting",
        "_watcher",
    )

    def __init__(
        self,
        lane: Streams,
        backend: ListedBackend,
        request: Request,
        started: float,
        until: float,
        watcher: AttemptObserver,
        repeatable: bool,
    ) -> None:
        self._lane, self._watcher = lane, watcher
        self.backend, self.request = backend, request
        self.started, self.until = started, until  # in the loop's time
        self.repeatable = repeatable
        self.open = True
        self.link: Link | None = None  # that it waits for, or goes on
        self.stream = 0  # 0 until its headers have gone out
        self.tries = 0
        self._first = 0.0  # when the first message of the answer had begun
        self._bound = False
        self._counter = Counter()
        self._head: Fields = []
        self._tail: Fields = []
        self._chunks: list[bytes] = []
        self._held = 0
        self._pipe: Pipe | None = None  # the answer's, once it is passed on
        self._timer: asyncio.TimerHandle | None = None  # of the attempt
        self._waiting: asyncio.TimerHandle | None = None  # for the trailers

    def expire_at(self, handle: asyncio.TimerHandle) -> None:
        """It ends by itself then, unless a message has passed."""
        self._timer = handle

    def latency(self, now: float) -> float:
        """Of a stream only the time to its first message: how long it goes on is not the box's doing."""
        return (self._first if self._bound and self._first else now) - self.started

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once; a stream that is still open is cancelled."""
        if not self.open:
            return
        self.open = False
        for timer in (self._timer, self._waiting):
            if timer is not None:
                timer.cancel()
        self._release()
        pipe = self._requested()
        if pipe is not None:
            pipe.attach(None)
        if self.link is not None:
            self.link.drop(self)
        self._watcher.on_ended(self, outcome, response)

    def ended(self, how: End) -> None:
        """It ended without an answer."""
        self.end(PROVES[how])

    def expire(self) -> None:
        """The time that it is waited for is up."""
        self.ended(End.LATE if self.stream else End.UNSENT)

    def untouched(self) -> bool:
        """Whether it can be sent anew as it was: nothing of a stream has passed, and nothing was answered."""
        pipe = self._requested()
        if pipe is not None and not pipe.was_read:
            pipe.attach(None)
        return not self._head and (pipe is None or not pipe.was_read)

    def _requested(self) -> Pipe | None:
        return None if self.request.grpc_form is None else self.request.grpc_form.pipe

    # ---- the request ---------------------------------------------------------------------------

    def transmit(self, link: Link, now: float) -> None:
        """Its headers go out, and as much of its body as there is."""
        request, machine = self.request, link.machine
        left = self.until - now
        if request.grpc_form is None:
            fields, body = mapping.wrapped(request, left)
        else:
            fields, body = mapping.request_fields(request, left), request.body
        self.stream = machine.begin(fields)
        link.exchanges[self.stream] = self
        pipe = self._requested()
        if pipe is not None:
            pipe.attach(self._more)
            return
        machine.write(self.stream, body, end=True)

    def _more(self) -> None:
        """More of a stream of requests."""
        pipe, link = self._requested(), self.link
        if pipe is None or link is None:
            return
        data = pipe.take()
        if data:
            self._bind()
            link.machine.write(self.stream, data)
        if pipe.ended and not link.machine.said(self.stream):
            link.machine.finish(self.stream)
        link.wake()

    def sent(self, size: int) -> None:
        """So many bytes of the request have gone out, or will never."""
        pipe = self._requested()
        if pipe is not None:
            pipe.mark_sent(size)

    def _bind(self) -> None:
        if not self._bound:
            self._bound = True
            if self._timer is not None:
                self._timer.cancel()
            self._watcher.on_committed()

    # ---- the answer ----------------------------------------------------------------------------

    def head(self, fields: Fields, ended: bool) -> None:
        """The answer's head; with `ended` its trailers stand there."""
        self._head = fields
        if ended:
            self._tail = fields

    def tail(self, fields: Fields) -> None:
        """The trailers."""
        self._tail = fields

    def data(self, data: bytes, size: int) -> None:
        """A part of the answer's messages."""
        link, lane = self.link, self._lane
        assert link is not None
        self._first = self._first or lane.now()
        try:
            self._counter.feed(data)
        except Spoilt:
            self.ended(End.BROKEN)
            return
        if self._pipe is not None:
            link.machine.credit(self.stream, size - len(data))
            self._pipe.put(data)
            return
        link.machine.credit(self.stream, size)
        self._chunks.append(data)
        self._held += len(data)
        lane.held += len(data)
        if self.request.grpc_form is not None and self._streams():
            self._pass_on()
        elif self._held > lane.max_response_body or lane.held > lane.max_buffered_bytes:
            self.ended(End.BROKEN)  # Guards the memory limit against an answer without end.
        elif self.request.grpc_form is not None and self._counter.whole and self._waiting is None:
            self._waiting = asyncio.get_running_loop().call_later(STREAM_AFTER, self._pass_on)

    def _streams(self) -> bool:
        """Whether its messages can't wait for its end: the request is settled, or there are several, or a huge one."""
        counter = self._counter
        return self._bound or counter.whole + counter.open > 1 or self._held > HOLD_MOST

    def _pass_on(self) -> None:
        """From now on its messages go on as they come: a stream, or one message that is too large to hold."""
        link = self.link
        if not self.open or link is None or self._pipe is not None:
            return
        stream = self.stream
        self._bind()
        pipe = self._pipe = Pipe(lambda size: link.credit(stream, size))
        for chunk in self._chunks:
            pipe.put(chunk, credited=True)
        self._release()
        self._watcher.on_response_begun(Response(200, mapping.answer_head(self._head), b""), pipe)

    def _release(self) -> None:
        self._lane.held -= self._held
        self._held = 0
        self._chunks = []

    def done(self) -> None:
        """The box has said all."""
        if self._counter.open:
            self.ended(End.BROKEN)  # trailers before the message's end
            return
        told = dict(self._tail)
        code = read_status(told.get(b"grpc-status"))
        try:
            response = self._read(told, code)
        except Spoilt:
            self.ended(End.BROKEN)
            return
        if response is None:
            self.ended(End.BROKEN)
            return
        # A mark behind a message that has passed, or on any status but UNAVAILABLE, proves nothing.
        unseen = told.get(b"x-not-processed") == b"1" and not self._counter.whole and not self._bound
        self.end(self._lane.judge(response.status, unseen), response)

    def _read(self, told: dict[bytes, bytes], code: Status | int | None) -> Response | None:
        """The whole answer; None where there is no status, raises Spoilt where it can't be told to the caller."""
        status = int(dict(self._head).get(b":status", b"0"))
        if code is None:
            # Not gRPC: some HTTP server's or proxy's own word.
            return None if status < 300 else Response(status, b"", b"")
        body = b"".join(self._chunks)
        if self.request.grpc_form is None:
            return mapping.plain_answer(self._head, self._tail, body)
        head = b"" if self._head is self._tail else mapping.answer_head(self._head)
        return Response(http_status(int(code)), head, body, None, mapping.answer_tail(self._tail))


class Link(Wire, asyncio.Protocol):
    """One connection to a box. Streams begin on it once the box's SETTINGS have come: then it speaks HTTP/2."""

    def __init__(self, lane: Streams, box: Box) -> None:
        super().__init__(Machine(True, self._sent))
        self._lane, self.box = lane, box
        self.exchanges: dict[int, Exchange] = {}
        self.waiting: dict[Exchange, None] = {}  # for the box's SETTINGS, or for the answer to a PING
        self.ready = False
        self.leaving = False  # no stream begins on it any more
        self.blamed = False  # no connection came up, or none that speaks HTTP/2, and the box is to blame
        self.heard = 0.0
        self.idle_since = self.loop.time()
        self._transport: asyncio.Transport | None = None
        self._pinged = 0.0  # when a PING went out that nothing was heard after
        self._pings = 0  # since the last answer
        self._looking: asyncio.TimerHandle | None = None
        self._timer: asyncio.TimerHandle | None = None  # for the box's SETTINGS
        self._task: asyncio.Task[object] | None = None
        self.dial: Dial[Link] | None = Dial(lane, self, box.backend, lane.dial_timeout)

    # ---- the connection ------------------------------------------------------------------------

    def dialled(self, sock: socket.socket) -> None:
        """The connection is up."""
        self._timer = self.loop.call_later(SETTINGS_WITHIN, self._failed)
        self._task = self.loop.create_task(self.loop.create_connection(lambda: self, sock=sock))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self.over:
            transport.abort()
        else:
            self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self._failed()

    def _failed(self) -> None:
        self.blamed = self.blamed or not (self.ready or self.over)
        self.lost()

    def data_received(self, data: bytes) -> None:
        self.heard = now = self.loop.time()
        self._pinged = 0.0
        for event in self.machine.received(now, data):
            self._handle(event)
        self._admit()
        self.flush()

    def wire(self) -> asyncio.Transport | None:
        return self._transport

    def give_up(self) -> None:
        self.lost()

    def lost(self) -> None:
        """It has ended, by whichever side: nothing that went out is known not to have run."""
        if self.over:
            return
        self.over = self.leaving = True
        self.sleep()
        for handle in (self._timer, self._looking):
            if handle is not None:
                handle.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._lane.lost(self)
        waiting, self.waiting = tuple(self.waiting), {}
        for exchange in waiting:
            exchange.link = None
            if self.ready:
                self._lane.again(exchange)  # nothing went out: its connection was found dead in time
            else:
                exchange.ended(End.UNSENT)
        for exchange in tuple(self.exchanges.values()):
            exchange.ended(End.BROKEN)

    def close(self) -> None:
        """Nobody needs it any more."""
        if not self.over:
            self.machine.leave(0)
            self.flush()
            self.lost()

    # ---- streams -------------------------------------------------------------------------------

    def load(self) -> int:
        """Streams on it, or soon to be."""
        return len(self.exchanges) + len(self.waiting)

    def takes(self) -> bool:
        """Whether one more stream may begin."""
        # Guards other requests against a box that reads nothing of one: they would wait behind it.
        if self.leaving or self.machine.spent() or (self.ready and self.machine.shut()):
            return False
        return (self.machine.room() if self.ready else STREAMS_MOST) > len(self.waiting)

    def add(self, exchange: Exchange) -> None:
        """Begin a stream for it, now or when that is safe."""
        exchange.link = self
        now = self.loop.time()
        if self.ready and (exchange.repeatable or now - self.heard <= FRESH):
            self._transmit(exchange, now)
            self.wake()
            return
        # Guards what must not run twice: the connection may be dead already, and nothing would tell.
        self.waiting[exchange] = None
        if self.ready:
            self._ping(now)
        self._look_on()

    def _transmit(self, exchange: Exchange, now: float) -> None:
        # Guards drains, time-outs and finished requests: waiting took time, and the world has moved on. A stream
        # on an open connection is something new to the box.
        if not exchange.open or exchange.until <= now or not exchange.backend.in_service:
            exchange.ended(End.UNWANTED)
        elif self.machine.over or self.over:
            exchange.ended(End.UNSENT)
        else:
            exchange.transmit(self, now)
            self._look_on()

    def _admit(self) -> None:
        """The connection is alive: what has waited goes on."""
        if not self.ready or not self.waiting:
            return
        now = self.loop.time()
        waiting, self.waiting = tuple(self.waiting), {}
        for exchange in waiting:
            if self.takes():
                self._transmit(exchange, now)
            else:
                exchange.link = None
                self._lane.again(exchange)

    def drop(self, exchange: Exchange) -> None:
        """It has ended; a stream that is still open is cancelled, so that the box can stop its work."""
        self.waiting.pop(exchange, None)
        exchange.link = None
        if exchange.stream and self.exchanges.pop(exchange.stream, None) is not None:
            self.machine.reset(exchange.stream, CANCEL)
            self.wake()
            if not self.exchanges:
                self.idle_since = self.loop.time()
                if (self.leaving or self.machine.shut()) and not self.over:
                    self.leaving = True
                    self.loop.call_soon(self._close_if_idle)

    def retire(self) -> None:
        """No stream begins on it any more; it ends with the last of them."""
        self.leaving = True
        for exchange in tuple(self.waiting):
            exchange.ended(End.UNWANTED)
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if not self.exchanges:
            self.close()

    def credit(self, stream: int, size: int) -> None:
        """So many bytes of an answer have passed on."""
        self.machine.credit(stream, size)
        self.wake()

    def _sent(self, stream: int, size: int) -> None:
        exchange = self.exchanges.get(stream)
        if exchange is not None:
            exchange.sent(size)

    def _handle(self, event: Event) -> None:
        if isinstance(event, Settled):
            if not self.ready:
                self.ready = True
                assert self._timer is not None
                self._timer.cancel()
                self._lane.reached(self.box.backend, True)
        elif isinstance(event, Leave):
            self._left(event)
        elif isinstance(event, Over):
            self.flush()
            self._failed()
        elif not isinstance(event, Acked):
            exchange = self.exchanges.get(event.stream)
            if exchange is not None:
                self._pings = 0
                self._answer(exchange, event)

    def _answer(self, exchange: Exchange, event: Head | Data | Tail | Ended | Reset) -> None:
        if isinstance(event, Head):
            exchange.head(event.fields, event.ended)
        elif isinstance(event, Data):
            exchange.data(event.data, event.size)
        elif isinstance(event, Tail):
            exchange.tail(event.fields)
        elif isinstance(event, Ended):
            exchange.done()
        else:
            # h2's own word on a stream's fault says nothing of what ran.
            exchange.ended(by_reset(event.code == REFUSED_STREAM and not event.ours))

    def _left(self, leave: Leave) -> None:
        """The box leaves in good order: streams above its last one never ran, the others go on."""
        self.leaving = True
        if leave.code == ENHANCE_YOUR_CALM:
            self.box.calm = True
        for exchange in tuple(self.waiting):
            del self.waiting[exchange]
            exchange.link = None
            self._lane.again(exchange)
        for stream, exchange in tuple(self.exchanges.items()):
            if stream > leave.last:
                self._unseen(exchange)
        self.loop.call_soon(self._close_if_idle)

    def _unseen(self, exchange: Exchange) -> None:
        """It never ran here. Boxes leave connections that are old, and take the same request on a new one."""
        if exchange.untouched():
            del self.exchanges[exchange.stream]
            self.machine.reset(exchange.stream, CANCEL)
            exchange.link, exchange.stream = None, 0
            self._lane.again(exchange)
        else:
            exchange.ended(End.ABOVE)

    # ---- whether the box is there --------------------------------------------------------------

    def _ping(self, now: float) -> None:
        if not self._pinged:
            self._pinged = now
            self._pings += 1
            self.machine.ping()
            self.wake()

    def _look_on(self) -> None:
        if self._looking is None and not self.over:
            self._looking = self.loop.call_later(LOOK_EVERY, self._look)

    def _look(self) -> None:
        """Guards streams against a box that is gone without a word."""
        self._looking = None
        now = self.loop.time()
        if not self.load() or not self.ready:
            return
        if self._pinged:
            if now - self._pinged >= PING_WITHIN:
                self.lost()
                return
        elif now - self.heard >= PINGS[min(self._pings, len(PINGS) - 1)] and not self.box.calm:
            self._ping(now)
        self._look_on()


class Box:
    """One gRPC backend's connections."""

    __slots__ = ("backend", "calm", "links")

    def __init__(self, backend: ListedBackend) -> None:
        self.backend = backend
        self.links: list[Link] = []
        self.calm = False  # it has asked for fewer PINGs: there are no more


class Streams:
    """All connections to one pool's gRPC boxes, within that pool's share of the sockets: its lane."""

    def __init__(self, sockets: SharedLimit, name: str, judge: Judge, dialled: Callable[[int, bool], None]) -> None:
        self._sockets, self._name, self._dialled = sockets, name, dialled
        self._loop = asyncio.get_running_loop()
        self.judge = judge
        self.dial_timeout, self._keep = 0.25, 7.5
        self.held, self.max_buffered_bytes, self.max_response_body = 0, MAX_BUFFERED_RESPONSE, MAX_BUFFERED_RESPONSE
        self._boxes: dict[ListedBackend, Box] = {}
        self._sweeping = self._loop.call_later(1.0, self._sweep)

    def tune(self, conn_idle: float, dial_timeout: float, held_most: int, answer_most: int) -> None:
        """Go on by other limits."""
        self._keep, self.dial_timeout = IDLE_TIMEOUT_FRACTION * conn_idle, dial_timeout
        self.max_buffered_bytes, self.max_response_body = held_most, answer_most

    def now(self) -> float:
        """The loop's time."""
        return self._loop.time()

    def close(self) -> None:
        """Let go of all connections without streams; nothing is sent from here any more."""
        self._sweeping.cancel()
        for box in self._boxes.values():
            for link in tuple(box.links):
                link.retire()

    # ---- attempts ------------------------------------------------------------------------------

    def start(
        self,
        backend: ListedBackend,
        request: Request,
        until: float,
        watcher: AttemptObserver,
        repeatable: bool,
        timed: bool,
    ) -> Exchange:
        """Send an attempt; whoever sends is not ready for its outcome, so it begins at the loop's next turn."""
        exchange = Exchange(self, backend, request, self._loop.time(), until, watcher, repeatable)
        if timed:
            exchange.expire_at(self._loop.call_at(until, exchange.expire))
        self._loop.call_soon(self.again, exchange)
        return exchange

    def again(self, exchange: Exchange) -> None:
        """Find a connection for it."""
        if not exchange.open:
            return
        exchange.tries += 1
        backend = exchange.backend
        box = self._boxes.get(backend)
        if box is None:
            box = self._boxes[backend] = Box(backend)
        if not backend.in_service:
            exchange.ended(End.UNWANTED)
            return
        link = self._link(box, exchange) if exchange.tries <= LINKS_MOST else None
        if link is None:
            # Full: a box that allows no further stream anywhere. Else it is our sockets that are short.
            exchange.ended(End.FULL if box.links else End.UNSENT)
        else:
            link.add(exchange)

    def _link(self, box: Box, exchange: Exchange) -> Link | None:
        """The connection with the fewest streams, or a new one where all have many."""
        now = self._loop.time()
        found = [link for link in box.links if link.takes()]
        if box.calm and not exchange.repeatable:  # no PING may tell whether they are alive
            found = [link for link in found if now - link.heard <= FRESH or not link.ready]
        best = min(found, key=Link.load, default=None)
        if best is not None and best.load() < SPREAD:
            return best
        staying = sum(not link.leaving for link in box.links)
        if staying >= LINKS_MOST or not self._sockets.can_acquire(self._name):
            return best
        self._sockets.acquire(self._name)
        link = Link(self, box)
        box.links.append(link)
        return link

    # ---- connections ---------------------------------------------------------------------------

    def update(self, backend: ListedBackend, address: Address, started: float, in_service: bool) -> None:
        """Guards against streams on connections to a process or a place that is no more."""
        if backend.address != address or backend.started != started or not in_service:
            box = self._boxes.get(backend)
            if box is not None:
                box.calm = False
                for link in tuple(box.links):
                    link.retire()
                if not box.links and not in_service:
                    del self._boxes[backend]

    def connected(self, wanted: Link, sock: socket.socket) -> None:
        """A dial has brought a connection."""
        wanted.dialled(sock)

    def unreachable(self, wanted: Link, number: int) -> None:
        """A dial has brought none."""
        wanted.blamed = number not in LOCAL_ERRORS
        wanted.lost()

    def dial_ended(self) -> None:
        """A dial was given up: `lost` counts its socket."""

    def reached(self, backend: ListedBackend, up: bool) -> None:
        """Whether a connection came up."""
        self._dialled(backend.server, up)

    def lost(self, link: Link) -> None:
        """A connection has ended."""
        self._sockets.release(self._name)
        link.box.links.remove(link)
        if link.blamed:
            self.reached(link.box.backend, False)
        if not link.box.links and not link.box.backend.in_service:
            self._boxes.pop(link.box.backend, None)

    def _sweep(self) -> None:
        """Close what has been idle for long."""
        self._sweeping = self._loop.call_later(max(self._keep / 4.0, 0.1), self._sweep)
        latest = self._loop.time() - self._keep
        for box in tuple(self._boxes.values()):
            for link in tuple(box.links):
                if link.ready and not link.load() and link.idle_since <= latest:
                    link.close()
