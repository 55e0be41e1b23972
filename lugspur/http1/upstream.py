"""Connections to backends: the pool, sending, time-outs, cancels; how each exchange ended. Dialling: `dial`."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from contextlib import suppress

import httptools

from lugspur.discovery.endpoints import Address
from lugspur.http1.body import Body
from lugspur.http1.dial import OWN_FAULTS, Dial
from lugspur.http1.hops import HOP_BY_HOP
from lugspur.invariants import Invariant, check
from lugspur.load_balancing.model import Outcome
from lugspur.pipe import Pipe
from lugspur.routing.shares import SharedLimit
from lugspur.seams import Lane, Response

ANSWER_MOST = 1 << 20  # bytes of an answer that is held whole, where nothing else is said
PASS_FROM = 64 << 10  # bytes of an answer beyond which it is passed on as it comes
PASS_MOST = 40 << 20  # bytes of an answer that is passed on: 32 MB are to be expected, endless ones announce GBs
FLOW_PART = 0.25  # of the memory limit, for such answers together: a backend that has given its answer is free...
FLOW_LEAST = 8 << 10  # bytes of one that may wait for its caller, however many there are
HELD_PART = 0.125  # of the memory limit, for answers that are not whole: many large ones could fill it
HEAD_MOST = 16 << 10  # bytes of an answer's head, 1xx ones ahead of it included: what callers commonly read
INFORMED_MOST = 16  # 1xx answers ahead of one
READ = 64 << 10  # bytes read in one go, into one buffer that all connections share
IDLE_PART = 0.5  # of the time after which backends close idle connections: ours go well before
IDLE_EACH = 2  # idle connections kept to one backend, where nothing else is said
DISTRUST = 10.0  # seconds in which none is kept after one that was kept broke before any answer
STALL = 0.1  # seconds between two pieces of an answer: it comes in one go, and a second try needs about 0.2


def judge(status: int, unseen: bool) -> Outcome:
    """What an answer by the platform's protocol says of its attempt; `unseen`: `X-Not-Processed: 1`."""
    if status == 200:
        return Outcome.OK
    return Outcome.OVERLOADED if status in (503, 504) and unseen else Outcome.ERROR


class Backend:
    """One backend of the list and the idle connections to it, the most recently used last."""

    __slots__ = ("address", "family", "idle", "in_service", "keeps", "lane", "server", "started")

    def __init__(self, address: Address, server: int = 0) -> None:
        self.move(address)
        self.server = server  # its number in the list
        self.started = 0.0
        self.in_service = False
        self.idle: list[Connection] = []
        self.keeps = 0.0  # seconds for which it keeps idle connections, where it says
        self.lane: Lane | None = None  # what carries attempts to it where it speaks no HTTP/1.1

    def move(self, address: Address) -> None:
        """It listens there from now on."""
        self.address = address
        self.family: int | None = None  # that of a numeric address; a name has to be looked up
        for family in (socket.AF_INET, socket.AF_INET6):
            with suppress(OSError):
                socket.inet_pton(family, address[0])
                self.family = family


class Exchange:
    """One attempt on the wire: from its start to its one outcome."""

    __slots__ = (
        "backend",
        "begin",
        "bodyless",
        "body",
        "connection",
        "dial",
        "echo",
        "first",
        "flowing",
        "open",
        "repeatable",
        "started",
        "timed",
        "timer",
        "until",
        "write",
        "written",
        "_report",
    )

    def __init__(
        self,
        backend: Backend,
        started: float,
        until: float,
        write: Callable[[float], bytes],
        report: Callable[[Exchange, Outcome, Response | None], None],
        repeatable: bool = True,
        bodyless: bool = False,
        timed: bool = True,
    ) -> None:
        self.body: Body | None = None  # what is passed on behind `write`'s bytes as it comes...
        self.written: Callable[[], None] | None = None  # ...and who is told that all of it is out
        # Takes the answer as it comes, if that may be; from then on it is `flowing`.
        self.begin: Callable[[Response, Pipe], None] | None = None
        self.flowing, self.first = False, 0.0  # since when
        self.repeatable = repeatable  # whether it may be sent again when its connection breaks
        self.echo: bytes | None = None  # the id that its answer has to bear, where backends echo one
        self.bodyless = bodyless  # HEAD: the answer ends with its head, whatever length that tells
        self.timed = timed  # whether it expires by itself; else whoever started it sees to that
        self.backend = backend
        self.started = started
        self.until = until  # the loop's time until which it is waited for
        self.write = write  # the request's bytes, given the seconds that are left
        self.open = True
        self.connection: Connection | None = None
        self.dial: Dial[Exchange] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._report = report

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Report the outcome, once, and let go of the connection; one that is still in use is closed."""
        if not self.open:
            return
        self.open = False
        unrun = outcome is Outcome.UNREACHABLE or outcome is Outcome.NOT_PROCESSED
        check(not (unrun and self._may_have_run()), Invariant.PROVEN_NOT_RUN, outcome=outcome.value.upper())
        if self.body is not None:
            self.body.told = None
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None
        self._report(self, outcome, response)

    def latency(self, now: float) -> float:
        """Seconds that the backend took, if it ends now; to its first bytes where the caller's pace counts then."""
        return (self.first if self.flowing else now) - self.started

    def expire(self) -> None:
        """The time that this attempt is waited for is up; an answer that is coming is passed on from here."""
        if self.connection is not None and self.connection.pass_on(self):
            return
        self.end(Outcome.TIMEOUT if self._may_have_run() else Outcome.UNREACHABLE)

    def broke(self) -> None:
        """The connection is no good any more."""
        self.end(Outcome.INTERRUPTED if self._may_have_run() else Outcome.UNREACHABLE)

    def begun(self, now: float) -> None:
        """A piece of the answer has come, and more is owed.

        Guards what may be sent again against answers that begin and never end, whatever stops them: they
        would hold it until its time is up. Could harm where backends send slowly but rightly.
        """
        if not self.repeatable or not self.open or self.flowing:
            return
        if self.timer is not None:
            self.timer.cancel()
        late = now + STALL >= self.until
        loop = asyncio.get_running_loop()
        self.timer = loop.call_at(self.until, self.expire) if late else loop.call_at(now + STALL, self.broke)

    def _may_have_run(self) -> bool:
        return self.connection is not None and self.connection.written


class Connection:
    """A connection to a backend; it carries one exchange at a time."""

    __deletable__ = ("_parser",)  # for mypyc

    def __init__(self, upstream: Upstream, backend: Backend, sock: socket.socket) -> None:
        self._upstream = upstream
        self.backend = backend
        self.exchange: Exchange | None = None
        self.written = False  # whether the last byte of the request is out
        self.idle_since = 0.0  # 0: it is new
        self.over = False
        self._heard = False  # whether a byte of an answer has come
        self._strayed = False  # whether an answer to another request has come
        self._held = 0  # its part of what the upstream counts
        self._parser = httptools.HttpResponseParser(self)
        self._answer: Response | None = None  # the whole answer to the exchange
        self._headed = self._spoilt = False
        self._at = 0  # how far the exchange's body has been taken up
        self._flow: Pipe | None = None  # the answer that is passed on...
        self._waiting = 0  # ...its bytes that its caller has not taken...
        self._paused = False  # ...and whether no more is read meanwhile
        self._begin()
        self.sock = sock
        self._unsent = memoryview(b"")
        self._loop = asyncio.get_running_loop()
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)
        self._loop.add_reader(sock.fileno(), self._readable)

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Write a request, whole."""
        check(self.exchange is None and exchange.connection is None, Invariant.ONE_EXCHANGE)
        self.exchange = exchange
        exchange.connection = self
        self.written = False
        self._heard = self._strayed = False
        if exchange.body is not None:
            self._at = 0
            exchange.body.begin(self._pump)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:  # nothing has gone out; told later: whoever sends is not ready for it
            self._loop.call_soon(self._lost)
            return
        if sent == len(data):
            self._out()
        else:
            self._unsent = memoryview(data)[sent:]
            self._loop.add_writer(self.sock.fileno(), self._writable)

    def _writable(self) -> None:
        try:
            sent = self.sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self._lost()
            return
        # A step of its own: mypyc calls what stands in a slice twice, and a part of the request would go out twice.
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._loop.remove_writer(self.sock.fileno())
            self._out()

    def _out(self) -> None:
        """All bytes that were there are out."""
        exchange = self.exchange
        if exchange is None or exchange.body is None:
            self.written = True
        else:
            exchange.body.passed(self._at)
            self._pump()

    def _pump(self) -> None:
        """Pass on what there is of the body, one piece at a time."""
        exchange = self.exchange
        if exchange is None or exchange.body is None or self._unsent or self.written or self.over:
            return
        body = exchange.body
        data = body.read(self._at)
        self._at += len(data)
        if data and body.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if not data:
            # Guards an answer that began before the body's end: nobody wants the rest, and the answer goes on.
            if body.over and not body.ended and not exchange.flowing:
                exchange.broke()  # the rest will never come: it can't have run
            if body.over or not body.ended:
                return
            self.written = True
            if body.length is None:
                data = b"0\r\n\r\n"
        if data:
            self._unsent = memoryview(data)
            self._loop.add_writer(self.sock.fileno(), self._writable)
        if self.written and exchange.written is not None:
            exchange.written()

    def usable(self) -> bool:
        """Whether it can carry another exchange.

        Guards the next request against what waits unread: more behind the last answer, or a close.
        """
        return not self.over and not self._poll.poll(0)

    def abandon(self) -> None:
        """Close at once, unsent bytes dropped."""
        self.exchange = None
        self._lost()

    def _readable(self) -> None:
        try:
            most = 0 if self._flow is None else min(READ, self._upstream.flow())
            count = self.sock.recv_into(self._upstream.buffer, most)
        except BlockingIOError:
            return
        except OSError:  # Guards against a reset that looks like the end of an answer: it is none, whatever has come
            self._lost()
            return
        if count:
            self.buffer_updated(count)
        elif not self._ended_whole():
            self._lost()

    def _ended_whole(self) -> bool:
        """Whether its end is the answer's end: one that has no length and no chunks (RFC 9112 6.3)."""
        exchange = self.exchange
        if exchange is None or not self._headed or self._spoilt or self._answer is not None or self._framed:
            return False
        self._clean = False
        self._answer = Response(self._parser.get_status_code(), b"".join(self._head), b"".join(self._body))
        self._deliver(exchange, self._answer)
        return True

    def _lost(self) -> None:
        """It has ended, by whichever side."""
        if self.over:
            return
        self.over = True
        self._loop.remove_reader(self.sock.fileno())
        self._loop.remove_writer(self.sock.fileno())
        self.sock.close()
        self._let_go()
        self._end_flow()
        self._upstream.lost(self)
        del self._parser  # Guards memory: the parser and this object hold each other.
        if self.exchange is not None:
            if self.idle_since and not self._heard:
                self._upstream.distrust()
            self.exchange.broke()

    def buffer_updated(self, nbytes: int) -> None:
        """So much of an answer has come into the upstream's buffer."""
        exchange = self.exchange
        if exchange is None:  # Guards against an answer that nobody asked for: it must serve no request.
            self.abandon()
            return
        self._heard = True
        try:
            self._parser.feed_data(self._upstream.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._clean = False
            self._spoilt = self._spoilt or (self._strayed and self._answer is None)
        if not self._headed:
            self._fed += nbytes
            # Guards memory against one header without end.
            self._spoilt = self._spoilt or self._fed > HEAD_MOST + READ
        answer = self._answer
        if answer is None or self._spoilt:
            if self._spoilt or not (self._clean or self._strayed):
                exchange.broke()
            elif self._begun:
                exchange.begun(self._upstream.now())
            return
        self._deliver(exchange, answer)

    def _deliver(self, exchange: Exchange, answer: Response) -> None:
        """An answer is whole."""
        self._answer = None
        outcome = self._upstream.judge(answer.status, self._unseen)
        nameless = exchange.echo is not None and self._echoed is None
        if nameless and outcome is Outcome.OVERLOADED and self.idle_since:
            # Guards against a late refusal of a request before on this connection: where answers bear their request's
            # id, one that bears none does not prove that this one has not run.
            exchange.broke()
            return
        if outcome is Outcome.ERROR and exchange.body is not None and not self.written:
            outcome = Outcome.OVERLOADED  # a backend begins at the last byte: it never ran
        # Kept only if nothing came behind the answer, and it is this request's: else the next one might get either.
        if self._clean and not nameless and self.written and self.usable():
            self.exchange = exchange.connection = None
            self._begin()
            self._upstream.release(self)
        exchange.end(outcome, answer)

    def _let_go(self) -> None:
        self._upstream.held -= self._held
        self._held = 0

    def _begin_flow(self, exchange: Exchange) -> None:
        """So much has come that it is no short answer with a wrong length: pass it on as it comes."""
        assert exchange.begin is not None
        exchange.flowing, exchange.first = True, self._upstream.now()
        if exchange.timer is not None:
            exchange.timer.cancel()

        def taken(size: int) -> None:
            self._upstream.flow_held -= size
            if flow is self._flow:  # not of an answer that has ended meanwhile
                self._taken(size)

        self._flow = flow = Pipe(taken)
        self._put(b"".join(self._body))
        self._body.clear()
        self._let_go()
        exchange.begin(Response(self._parser.get_status_code(), b"".join(self._head), b"", self._length), flow)

    def pass_on(self, exchange: Exchange) -> bool:
        """Its time is up: pass on what has come of its answer, if a part has and no end of it is known to be wrong.

        Guards large answers that come slowly: it is their first bytes that count.
        """
        good = self._headed and self._body and self._clean and not self._spoilt and self._answer is None
        if not good or exchange.begin is None or not self._serves():
            return False
        self._begin_flow(exchange)
        return True

    def _put(self, data: bytes) -> None:
        assert self._flow is not None
        self._waiting += len(data)
        self._upstream.flow_held += len(data)
        self._flow.put(data)
        if self._waiting > self._upstream.flow() and not self._paused and not self.over:
            self._paused = True
            self._loop.remove_reader(self.sock.fileno())

    def _taken(self, size: int) -> None:
        self._waiting -= size
        if self._paused and not self.over and self._waiting <= self._upstream.flow() // 2:
            self._paused = False
            self._loop.add_reader(self.sock.fileno(), self._readable)

    def _end_flow(self) -> None:
        if self._flow is not None:
            self._flow = None
            if self._paused and not self.over:
                self._loop.add_reader(self.sock.fileno(), self._readable)
            self._paused, self._waiting = False, 0

    def _begin(self) -> None:
        self._head: list[bytes] = []
        self._body: list[bytes] = []
        self._named = b""
        self._echoed: bytes | None = None
        self._length: int | None = None
        self._size = self._fed = self._informed = 0
        self._unseen = self._headed = self._spoilt = self._begun = False
        self._framed = False  # whether its end can be told from its length or its chunks
        self._end_flow()
        self._clean = True  # so far all that came can be read and belongs to the answer, and it may be kept

    # ---- the parser's calls ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        self._begun = True
        if self._answer is not None:  # a second answer: the first one stands
            self._clean = False

    def on_header(self, name: bytes, value: bytes) -> None:
        # Guards against trailers that would count as headers.
        if self._headed or self._spoilt or self._answer is not None:
            return
        self._size += len(name) + len(value) + 4
        lower, value = name.lower(), value.strip(b" \t")
        if lower == self._upstream.proof:
            self._unseen = value == b"1"
        elif lower == b"connection":
            self._named += b"," + value.lower()
        elif lower == b"content-length":
            self._length, self._framed = int(value), True
            # Guards the memory limit against an answer without end.
            self._spoilt = self._length > self._most() and not self._bodyless()
        elif lower == b"transfer-encoding":
            self._spoilt = value.lower() != b"chunked"
            self._framed = True
        elif lower == self._upstream.echo:
            self._echoed = value
            self._head.append(b"%b: %b\r\n" % (name, value))
        elif lower == b"keep-alive":
            self._heard_keep(value)
        # A load report is for the proxy, and what is no plain text may be more than a caller can read.
        elif lower not in HOP_BY_HOP and lower != b"x-server-load" and value.isascii():
            self._head.append(b"%b: %b\r\n" % (name, value))
        self._spoilt = self._spoilt or self._size > HEAD_MOST

    def _heard_keep(self, value: bytes) -> None:
        """How long the backend keeps idle connections, as far as it says."""
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                self.backend.keeps = float(seconds)

    def _stray(self) -> bool:
        """Whether it answers another request than the one in hand: a second answer, come late."""
        exchange = self.exchange
        return (
            exchange is not None
            and exchange.echo is not None
            and self._echoed is not None
            and self._echoed != exchange.echo
        )

    def on_headers_complete(self) -> None:
        if self._answer is not None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._informed += 1
            # Guards against a change of protocol, which nobody asked for, and against such heads without end.
            self._spoilt = self._spoilt or status == 101 or self._informed > INFORMED_MOST
            return
        self._headed = True
        self._size = 0
        if self._named:
            named = {token.strip() for token in self._named.split(b",")}
            self._head = [line for line in self._head if line.partition(b":")[0].lower() not in named]
        if self._bodyless() and not self._spoilt:
            # Guards the next request against a body that was told of and comes after all: nothing would tell it
            # from an answer. Costs a connection for each HEAD.
            self._clean = False
            self._answer = Response(status, b"".join(self._head), b"", self._length)

    def _most(self) -> int:
        """Bytes that its body may have."""
        passes = self.exchange is not None and self.exchange.begin is not None
        return self._upstream.pass_most if passes else self._upstream.answer_most

    def _serves(self) -> bool:
        return self._upstream.judge(self._parser.get_status_code(), self._unseen) is Outcome.OK

    def _repeatable(self) -> bool:
        return self.exchange is not None and self.exchange.repeatable

    def _bodyless(self) -> bool:
        return self.exchange is not None and self.exchange.bodyless

    def on_body(self, body: bytes) -> None:
        if self._answer is not None or self._spoilt:
            return
        self._size += len(body)
        if self._flow is not None and self._size <= self._upstream.pass_most:
            self._put(body)
            return
        # Guards the memory limit against an answer without end, and against many large ones at once.
        if self._size <= self._upstream.answer_most and self._upstream.holds(len(body)):
            self._held += len(body)
            self._body.append(body)
            exchange = self.exchange
            passes = exchange is not None and exchange.open and exchange.begin is not None
            # What may be tried again is held until so much has come: a spoilt answer says more than it has.
            large = self._size if self._repeatable() else max(self._size, self._length or 0)
            if passes and large > self._upstream.pass_from and self._serves():
                assert exchange is not None
                self._begin_flow(exchange)
        else:
            self._spoilt = True

    def on_message_complete(self) -> None:
        if self._answer is not None or self._spoilt:
            return
        if self._headed and self._stray():
            # Guards a request against an answer that is not its own; the connection is not kept after it.
            self._let_go()
            self._strayed = True
            self._begin()
            self._clean = False
            return
        if not self._headed:  # 1xx: the answer is still to come, and its head starts anew
            self._begun = self._unseen = self._framed = False
            self._echoed = None
            self._head.clear()
            self._named = b""
            self._length = None
            return
        self._clean = self._parser.should_keep_alive() and not self._strayed
        self._answer = Response(self._parser.get_status_code(), b"".join(self._head), b"".join(self._body))
        self._body.clear()
        self._let_go()


class Upstream:
    """All connections to one pool's backends, within that pool's share of the sockets.

    `held_most` bounds the bytes of answers that are not whole, `answer_most` those of one answer's body.
    """

    def __init__(
        self,
        sockets: SharedLimit,
        name: str,
        conn_idle: float,
        dial_timeout: float,
        held_most: int,
        answer_most: int = ANSWER_MOST,
        judge: Callable[[int, bool], Outcome] = judge,
        dialled: Callable[[int, bool], None] | None = None,
        proof: bytes = b"x-not-processed",
        echo: bytes = b"",
        keeps: int = 0,
    ) -> None:
        """`proof`: the header that says that a request did not run; `echo`: the one with its id, if there is one.

        `keeps`: idle connections kept to one backend, also for what must not run twice, where that many are stated.
        """
        self.proof, self.echo = proof, echo
        self._reuses = keeps > 0
        self._tell = dialled  # told of each backend whether a connection to it came up
        self._loop = asyncio.get_running_loop()
        self._sockets, self._name = sockets, name
        self.answer_most = answer_most
        self.judge = judge
        self._keep = IDLE_PART * conn_idle
        self._dial_timeout = dial_timeout
        self._idle_each = keeps or IDLE_EACH
        self.buffer = memoryview(bytearray(READ))
        self._distrust_until = 0.0
        self.held = 0  # bytes of answers that are not whole
        self.pass_from, self.pass_most = PASS_FROM, PASS_MOST  # bytes of an answer that is passed on as it comes
        self.flow_held = 0  # bytes of answers that are passed on and wait for their callers...
        self.flow_most = held_most  # ...and of all of them together
        self.held_most = held_most
        self._idle: dict[Connection, None] = {}  # the longest idle first
        self._sweeping = self._loop.call_later(self._keep / 4.0, self._sweep)

    def tune(self, conn_idle: float, dial_timeout: float, held_most: int, answer_most: int, idle_each: int) -> None:
        """Go on by other limits."""
        self._idle_each = idle_each
        self._keep, self._dial_timeout = IDLE_PART * conn_idle, dial_timeout
        self.held_most, self.answer_most = held_most, answer_most

    def retime(self, conn_idle: float, dial_timeout: float) -> None:
        """Go on by other times."""
        self._keep, self._dial_timeout = IDLE_PART * conn_idle, dial_timeout

    def close(self) -> None:
        """Let go of all idle connections; nothing is sent from here any more."""
        self._sweeping.cancel()
        for connection in tuple(self._idle):
            self._drop(connection)

    def update(self, backend: Backend, address: Address, started: float, in_service: bool) -> None:
        """What the list says of a backend now."""
        # Guards against requests on connections to a process or a place that is no more.
        if backend.address != address or backend.started != started or not in_service:
            for connection in tuple(backend.idle):
                self._drop(connection)
        if backend.address != address:
            backend.move(address)
        backend.started, backend.in_service = started, in_service

    def start(self, exchange: Exchange) -> None:
        """Send an attempt, on a new connection if none is idle; its outcome is reported later."""
        if exchange.timed:
            exchange.timer = self._loop.call_at(exchange.until, exchange.expire)
        idle = exchange.backend.idle
        # Guards what must not run twice: a kept connection may be dead already, and nothing would tell.
        while idle and (exchange.repeatable or self._reuses):
            connection = idle.pop()
            del self._idle[connection]
            keeps = exchange.backend.keeps
            # Guards what must not run twice against a connection that the backend is about to close.
            stale = keeps > 0.0 and self._loop.time() - connection.idle_since > IDLE_PART * keeps
            if not stale and connection.usable():
                self._transmit(exchange, connection)
                return
            connection.abandon()
        if not self._sockets.can_acquire(self._name):
            # Guards the limit on sockets: idle ones make room, else it never ran and may go elsewhere.
            if not self._idle:
                self._loop.call_soon(exchange.end, Outcome.UNREACHABLE)
                return
            self._drop(next(iter(self._idle)))
        self._sockets.acquire(self._name)
        exchange.dial = Dial(self, exchange, exchange.backend, self._dial_timeout)

    def connected(self, exchange: Exchange, sock: socket.socket) -> None:
        """A dial has brought a connection, which holds the socket from then on."""
        if self._tell is not None:
            self._tell(exchange.backend.server, True)
        self._transmit(exchange, Connection(self, exchange.backend, sock))

    def unreachable(self, exchange: Exchange, number: int) -> None:
        """A dial has brought none."""
        self.undone()
        if self._tell is not None and number not in OWN_FAULTS:
            self._tell(exchange.backend.server, False)
        exchange.end(Outcome.UNREACHABLE)

    def undone(self) -> None:
        """A dial needs no socket any more."""
        self._sockets.release(self._name)

    def _transmit(self, exchange: Exchange, connection: Connection) -> None:
        """Write the first byte, if the attempt still may go out."""
        # Guards drains, time-outs and finished requests: dialling took time, and the world has moved on.
        left = exchange.until - self._loop.time()
        if not exchange.open or left <= 0.0 or not exchange.backend.in_service:
            self.release(connection)
            self._loop.call_soon(exchange.end, Outcome.NOT_PROCESSED)
            return
        if not connection.usable():
            exchange.end(Outcome.UNREACHABLE)
            return
        connection.send(exchange, exchange.write(left))

    def release(self, connection: Connection) -> None:
        """Keep a connection for the next exchange."""
        backend = connection.backend
        now = self._loop.time()
        full = len(backend.idle) >= self._idle_each  # Guards backends: each connection takes of what they can do.
        if not backend.in_service or full or now < self._distrust_until or not connection.usable():
            connection.abandon()
            return
        connection.idle_since = now
        backend.idle.append(connection)
        self._idle[connection] = None

    def distrust(self) -> None:
        """Guards against backends, or what lies between, that forget kept connections without a word."""
        self._distrust_until = self._loop.time() + DISTRUST
        for connection in tuple(self._idle):
            self._drop(connection)

    def holds(self, size: int) -> bool:
        """Count so many more bytes of an answer, if there is room for them."""
        fits = self.held + size <= self.held_most
        self.held += size * fits
        return fits

    def flow(self) -> int:
        """Bytes of one answer that may wait for its caller now: as many as are free.

        So each holds the same in the end, one that is alone half of all, and together they keep to the whole,
        however many come later (dynamic thresholds: Choudhury and Hahne, 1998).
        """
        return max(FLOW_LEAST, self.flow_most - self.flow_held)

    def sockets(self) -> int:
        """How many connections are up or being made."""
        return self._sockets.held_by(self._name)

    def now(self) -> float:
        """The loop's time."""
        return self._loop.time()

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""
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
        """Close what has been idle for long: a request that meets the backend's own close is lost."""
        self._sweeping = self._loop.call_later(self._keep / 4.0, self._sweep)
        latest = self._loop.time() - self._keep
        for connection in tuple(self._idle):
            if connection.idle_since > latest:
                break
            self._drop(connection)
