"""The callers' side: connections in, answers out, `/healthz`, and who has to go when there are too many."""

from __future__ import annotations

import asyncio
import itertools
import select
import socket
from collections import Counter, deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

from lugspur.discovery.endpoints import Address
from lugspur.http1.body import Body
from lugspur.http1.intake import PLATFORM, Intake, Rejected, Sizes
from lugspur.invariants import Invariant, check
from lugspur.pipe import Pipe
from lugspur.seams import Passing, Request

READ = 64 << 10  # bytes read in one go, into one buffer that all callers share
FIRST_WITHIN = 2.0  # seconds from connecting in which the first request must begin: 3 s are owed at most...
HEAD_MORE = 0.6  # ...and so many more for its head: with the sweep's 0.25 s that is under 3
SETTLE = 0.05  # seconds in which the first bytes of a new connection may still be on their way
WHOLE_WITHIN = 2.5  # seconds from its first byte in which its head must be: some take 2 s, and 3 s are owed at most
BODY_RATE = 24 << 10  # bytes a second of a body at least, on the whole: some come at 64 kB a second...
BODY_LEAST = 1.0  # ...and seconds that this may be behind
FLOW_WITHIN = 10.0  # seconds in which a piece of an answer that is passed on must come and go
IDLE_MOST = 10.0  # seconds that a caller may keep its connection and ask nothing...
IDLE_LEAST = 2.0  # ...and when connections run short, or where it never sent a request: by the protocol
CROWDED = 0.5  # part of the limit on callers from which connections count as short
LINGER = 2.0  # seconds that a closing connection may take; meanwhile what comes is read and dropped:
DROP_MOST = 64 << 20  # bytes; closing with bytes unread would reset the connection, and the answer with it
SWEEP = 0.25  # seconds between looks at those times
HELD_PART = 0.25  # of the memory limit, for bodies that are not whole: hundreds of them could fill it
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # how HTTP/2 begins (RFC 9113 3.4); no HTTP/1.1 request does
PIPELINE_MOST = 8  # requests that may wait behind another: callers send one at a time
DRAIN_FROM = 1.0  # seconds after a drain from which idle connections are let go: until then most ask once more...
DRAIN_SETTLE = 0.3  # seconds in which a connection that came after the call may still bring its first request
DRAIN_EVERY = 0.1  # ...and between looks from then on: who can still ask 2 s after the call is held 4 s after it
PASS_AGAIN = 0.02  # seconds between looks at whether an answer is out and its connection may be given on
BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTS = 8  # taken in one go: with no descriptor left the loop complains once for each, every second
PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}  # backends may send others


class Front:
    """All connections of callers to one address, within a limit on their number.

    `handle` is given each whole request and answers it through its caller, now or later; it may raise
    Rejected. `memory` is the process's limit in bytes.
    """

    def __init__(
        self,
        address: Address,
        most: int,
        memory: int,
        handle: Callable[[Request, Caller], None],
    ) -> None:
        self.address = address
        self.handle = handle
        self.first_within, self.whole_within, self.idle_most = FIRST_WITHIN, WHOLE_WITHIN, IDLE_MOST
        self.grace = LINGER  # seconds that streams may go on after `close`
        self.sizes = PLATFORM
        self.terms: Callable[[], object] | None = None  # by what a request is judged, asked when its head has come
        # Makes what goes on with a connection that begins as HTTP/2 does, where that is taken here.
        self.http2: Callable[[Front], Held] | None = None
        # When the bytes that are read now came, where that is felt; else they came now.
        self.came: Callable[[float, asyncio.Transport, bool], float] | None = None
        self.work: set[int] | None = None  # where descriptors of callers are noted, if anywhere
        self.ready = False  # the list is loaded
        self.serving = False  # the listener accepts, and is to go on
        self.closing = False
        self.pass_to: Callable[[int], bool] | None = None  # gives a connection to another process
        self.drained_at: float | None = None  # when operators had clients sent away
        self.held = 0  # bytes of bodies that are not whole
        self.rejections: Counter[int] = Counter()  # requests that were answered here, by status
        self._limit(most, memory)
        self.buffer = memoryview(bytearray(READ))
        self.callers: set[Held] = set()
        self.look = select.poll()
        # Those that owe no answer, each with the loop's time at which it has to go.
        self.leaving: dict[Held, float] = {}  # answered for the last time
        self.fresh: dict[Held, float] = {}  # nothing has come yet
        self.idle: dict[Held, float] = {}  # between two requests
        self.reading: dict[Held, float] = {}  # a part of a request has come
        self.flowing: dict[Held, float] = {}  # an answer is passed on
        self.last_accept = 0.0
        self._loop = asyncio.get_running_loop()
        self._loop.call_later(SWEEP, self._sweep)

    def _limit(self, most: int, memory: int) -> None:
        self.most = most
        self.held_most = int(HELD_PART * memory)

    def tune(self, most: int, memory: int, sizes: Sizes, within: float, idle: float, grace: float) -> None:
        """Go on by other limits: seconds for a whole request to come, between two and to end streams in.

        Sizes count for new connections.
        """
        self.grace = grace
        self._limit(most, memory)
        self.sizes = sizes
        self.first_within = self.whole_within = within
        self.idle_most = idle

    def healthy(self) -> bool:
        """Whether requests should be sent here."""
        return self.ready and self.serving and self.drained_at is None

    async def listen(self, sock: socket.socket | None = None, shared: bool = False) -> socket.socket:
        """Serve on the given address alone, or on a socket that is bound to it; `shared`: others may bind it too."""
        loop = asyncio.get_running_loop()
        if sock is None:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.setblocking(False)
            sock.bind(self.address)
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
        for caller in tuple(self.callers):
            caller.front_closes()

    def pass_all(self, pass_to: Callable[[int], bool]) -> None:
        """Another process goes on: it is given each connection by its descriptor, once nothing of it is open here."""
        self.pass_to = pass_to
        for caller in tuple(self.callers):
            caller.pass_on()

    def drain(self, since: float = DRAIN_FROM) -> None:
        """Send callers away: answers close their connection, and idle ones are let go a little later."""
        if self.drained_at is None:
            self.drained_at = self._loop.time()
            self._let_go_in(since)

    def undrain(self) -> None:
        """Take callers again."""
        self.drained_at = None

    def _let_go_in(self, delay: float) -> None:
        if self.drained_at is not None:
            self._loop.call_later(delay, self._let_go, self.drained_at)

    def _let_go(self, drained_at: float) -> None:
        """Let go of callers that owe nothing."""
        if self.drained_at != drained_at:
            return
        self._let_go_in(DRAIN_EVERY)
        settled = self._loop.time() + self.first_within - DRAIN_SETTLE
        for caller in tuple(self.callers):
            if caller.quiet() and self.fresh.get(caller, 0.0) < settled:
                caller.front_closes()

    def full(self, newcomer: Held) -> bool:
        """Whether there are too many callers, and none but this one that could go."""
        if len(self.callers) <= self.most:
            return False
        # Guards good callers: those that are of no use go first, one whose request is being read never.
        settled = self._loop.time() + self.first_within - SETTLE
        silent = [caller for caller, limit in itertools.islice(self.fresh.items(), 1) if limit < settled]
        for place in (self.leaving, silent, self.idle, self.fresh):
            for caller in place:
                if caller is not newcomer:
                    caller.drop()
                    return False
        return True

    def _sweep(self) -> None:
        """Guards descriptors and memory against callers that never end what they began."""
        if self.closing and not self.callers:
            return
        self._loop.call_later(SWEEP, self._sweep)
        now = self._loop.time()
        early = self.idle_most - IDLE_LEAST if len(self.callers) > CROWDED * self.most else 0.0
        for place, before in ((self.leaving, 0.0), (self.fresh, 0.0), (self.idle, early)):
            for caller in [caller for caller, limit in place.items() if limit - before <= now]:
                caller.drop()
        for caller in [caller for caller, limit in self.reading.items() if limit <= now]:
            caller.slow(now)
        for caller in [caller for caller, limit in self.flowing.items() if limit <= now]:
            caller.drop()

    def admit(self, caller: Held) -> None:
        """Take up a request that goes on; raises Rejected where there are too many connections."""
        if self.full(caller):
            raise Rejected(503, "too many connections")
        caller.used = True


class Held(asyncio.BufferedProtocol):
    """A connection that a front counts, and that has to go when it is of no use."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.used = False  # has sent a request that went on
        self.peer = ""  # the address that it connected from
        self._place: dict[Held, float] | None = None  # where the front keeps it while no answer is owed
        self._transport: asyncio.Transport
        self._fd = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # other loops' transports are no subclass of it
        peer = transport.get_extra_info("peername")
        self.peer = peer[0] if peer else ""
        self.front.callers.add(self)
        self._fd = transport.get_extra_info("socket").fileno()
        if self.front.work is not None:
            self.front.work.add(self._fd)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.front.buffer

    def feed(self, data: memoryview) -> None:
        """What has come in."""
        raise NotImplementedError

    def move(self, place: dict[Held, float] | None, limit: float = 0.0) -> None:
        """The front keeps it there, until the loop's time `limit`."""
        if self._place is not None:
            self._place.pop(self, None)
        self._place = place
        if place is not None:
            place[self] = limit

    def leave(self) -> None:
        """The front counts it no more."""
        self.move(None)
        self.front.callers.discard(self)
        if self.front.work is not None:
            self.front.work.discard(self._fd)

    def arrival(self, now: float) -> float:
        """When the bytes that are read now came, as far as that is known."""
        came = self.front.came
        return now if came is None else came(now, self._transport, not self.used)

    def close(self) -> None:
        """Close it, once what is written is out."""
        raise NotImplementedError

    def quiet(self) -> bool:
        """Whether nothing waits unread: closing now crosses no request that has come."""
        self.front.look.register(self._fd, select.POLLIN)
        waits = bool(self.front.look.poll(0))
        self.front.look.unregister(self._fd)
        return not waits

    def pass_on(self) -> None:
        """Give it to the process that follows, if nothing of it is open; here it ends in the ordinary way."""
        self.front_closes()

    def front_closes(self) -> None:
        """Nothing is taken from here on: it goes when it owes nothing."""
        if self._place is self.front.fresh or self._place is self.front.idle:
            self.close()

    def slow(self, now: float) -> None:
        """Its request takes too long."""
        self.reject(Rejected(408, "the request took too long"))

    def drop(self) -> None:
        """Close it at once."""
        self.leave()
        self._transport.abort()

    def reject(self, fault: Rejected) -> None:
        """Answer what is not served, for the last time."""
        raise NotImplementedError


class Caller(Held):
    """One caller's connection; its requests are answered one after another."""

    def __init__(self, front: Front, used: bool = False) -> None:
        super().__init__(front)
        self.used = used  # by another process before this one
        self._loop = asyncio.get_running_loop()
        self._early: bytes | None = b"" if front.http2 is not None else None  # until it is known what is spoken
        self._queue: deque[Request | Rejected] = deque()
        self._intake = Intake(self._queue.append, front.sizes, self._continue, front.terms, self._room)
        self._stream: Body | None = None  # the body of the request in hand, while it comes
        self._paused_at = 0.0  # since when it is not read, as the backend takes no more; 0: it is
        self._old = False  # its request is HTTP/1.0
        self._flow: Pipe | None = None  # the answer that is passed on...
        self._chunked = False  # ...in chunks...
        self._owed = 0  # ...and its bytes that its sender has not been told of
        self._busy = False
        self._stuck = False  # does not read its answers
        self._keep_alive = True
        self._bodyless = False  # its request is a HEAD
        self._faulty = False  # a rejection is queued or answered: nothing more is read
        self._dropped = 0
        self._held = 0  # its part of what the front counts
        self._rests_until = 0.0  # what comes before then is not looked at
        self._kept = b""  # ...which is this
        self.gone: Callable[[], None] | None = None  # told when the caller leaves before its answer

    # ---- the connection ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        front = self.front
        front.last_accept = self._loop.time()
        if self.used:
            self.move(front.idle, front.last_accept + front.idle_most)
        else:
            self.move(front.fresh, front.last_accept + front.first_within)
        if front.pass_to is not None:  # it was accepted just before
            self._loop.call_soon(self.pass_on)
        front.full(self)  # Guards the limit on descriptors: one that can go makes room.

    def connection_lost(self, exc: Exception | None) -> None:
        self.leave()
        self._queue.clear()
        self._hold(0)
        self._intake.close()
        self._let_go()

    def _let_flow_go(self) -> None:
        """Nothing of the answer that is passed on goes out from here any more."""
        flow, self._flow = self._flow, None
        owed, self._owed = self._owed, 0
        if flow is not None:
            flow.attach(None)
            flow.gone(owed)
            flow.discard()

    def _let_go(self) -> None:
        """Nobody waits for the answer any more."""
        self._let_flow_go()
        gone, self.gone = self.gone, None
        if gone is not None:
            gone()
        stream, self._stream = self._stream, None
        if stream is not None:  # after that: its attempt ends, and must not be followed by another
            stream.drop()

    def close(self) -> None:
        """Close it, once what is written is out."""
        self.move(self.front.leaving, self._loop.time() + LINGER)
        self._transport.close()

    def pass_on(self) -> None:
        """Give it to the process that follows: what lies unread goes with it, and nothing is closed."""
        front, transport = self.front, self._transport
        # Guards what this process has read, and answers that are not out.
        open_ = self._busy or self._queue or self._intake.reading or self._kept or self._early or self._faulty
        if front.pass_to is None or open_ or transport.is_closing() or self._place is front.leaving:
            return
        if transport.get_write_buffer_size():
            self._loop.call_later(PASS_AGAIN, self.pass_on)
        elif front.pass_to(self._fd):
            self.drop()

    def pause_writing(self) -> None:
        self._stuck = True

    def resume_writing(self) -> None:
        self._stuck = False
        if self._flow is not None:
            owed, self._owed = self._owed, 0
            self._flow.gone(owed)
            self._pass()
            return
        self._resume()

    def _room(self) -> None:
        """More of the body that is passed on may come."""
        if self._paused_at:  # the time in which it was not read is not its own
            passed, self._paused_at = self._loop.time() - self._paused_at, 0.0
            self._intake.headed_at += passed
            if self._place is self.front.reading:
                self.move(self.front.reading, self.front.reading[self] + passed)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def slow(self, now: float) -> None:
        stream = self._stream
        if stream is not None and stream.full:  # it waits for the backend, not for this caller
            self.move(self.front.reading, now + BODY_LEAST)
            return
        super().slow(now)

    def buffer_updated(self, nbytes: int) -> None:
        data = self.front.buffer[:nbytes]
        if self._early is not None:
            begun = self._early + bytes(data)
            if PREFACE.startswith(begun[: len(PREFACE)]):
                self._early = begun
                if len(begun) >= len(PREFACE):
                    self._hand_over(begun)
                return
            self._early, data = None, memoryview(begun)
        if self._rests_until and self._loop.time() < self._rests_until:
            self._keep(data)
        else:
            self.feed(data)

    def rest(self, seconds: float) -> None:
        """Look at nothing of it for a while: who asks again at once would only be turned away again.

        Costs nothing where nothing comes. Could harm what is dear on the same connection: it waits as long.
        """
        self._rests_until = self._loop.time() + seconds

    def _keep(self, data: memoryview) -> None:
        if not self._kept:
            self._loop.call_at(self._rests_until, self._rested, self.arrival(self._loop.time()))
        # Guards memory: one read is kept, and another for each answer that makes the caller be read again.
        self._transport.pause_reading()
        self._kept += bytes(data)
        self.front.held += len(data)

    def _rested(self, came: float) -> None:
        data, self._kept, self._rests_until = self._kept, b"", 0.0
        self.front.held -= len(data)
        if not self._transport.is_closing():
            self._transport.resume_reading()
            self.feed(memoryview(data), came)

    def _hand_over(self, begun: bytes) -> None:
        """It speaks HTTP/2: another protocol goes on with the connection. ALPN would lead here too."""
        assert self.front.http2 is not None
        successor, transport = self.front.http2(self.front), self._transport
        self.leave()
        self._intake.close()
        transport.set_protocol(successor)
        successor.connection_made(transport)
        successor.feed(memoryview(begun))

    def feed(self, data: memoryview, came: float | None = None) -> None:
        """What has come in; `came`: when, where it was kept meanwhile."""
        if self._faulty:
            self._dropped += len(data)
            if self._dropped > DROP_MOST:  # Guards the core against a sender that goes on for ever.
                self.drop()
            return
        intake, front = self._intake, self.front
        now = self.arrival(self._loop.time())
        intake.feed(data, now if came is None else came)
        self._hold(intake.held())
        if self._stream is not None and not self._stream.ended:
            self._more(now)
            return
        if self._stream is not None:
            self._stream = None
            if self._busy:  # else it has been answered in this very moment
                self.move(None)
        if self._held and front.held > front.held_most:  # Guards the memory limit against many half bodies.
            intake.fault = Rejected(503, "too many bodies at once")
        if len(self._queue) > PIPELINE_MOST:  # Guards memory and backends against floods on one connection.
            self._queue.clear()
            intake.fault = Rejected(400, "too many requests at once")
        if intake.fault is not None:
            self._faulty = True
            self._queue.append(intake.fault)
        if self._queue:
            self._next()
        elif intake.reading and not self._busy:
            limit = intake.arrived + front.whole_within
            if self._place is front.fresh:  # who said nothing for long has less for its head
                limit = min(limit, front.fresh[self] + HEAD_MORE)
            elif self._place is front.reading:
                limit = front.reading[self]
            self.move(front.reading, max(limit, intake.body_due(BODY_RATE) + BODY_LEAST))

    def _more(self, now: float) -> None:
        """More of a body that is passed on has come."""
        intake, stream, front = self._intake, self._stream, self.front
        assert stream is not None
        if self._held and front.held > front.held_most:  # Guards the memory limit against many half bodies.
            intake.fault = Rejected(503, "too many bodies at once")
        if intake.fault is not None:
            # Guards against an attempt that would end with a part of the body: it is cut off, and never ran.
            self._let_go()
            self.reject(intake.fault)
        else:
            limit = max(intake.arrived + front.whole_within, intake.body_due(BODY_RATE) + BODY_LEAST)
            self.move(front.reading, limit)
            if stream.full:
                self._paused_at = now
                self._transport.pause_reading()

    def _hold(self, size: int) -> None:
        self.front.held += size - self._held
        self._held = size

    # ---- requests and answers --------------------------------------------------------------

    def admit(self) -> None:
        """Take up its request; raises Rejected where there are too many connections."""
        self.front.admit(self)

    def _next(self) -> None:
        """Take up the next request, unless one is still unanswered or its answer unread."""
        if self._busy or self._stuck:
            self._transport.pause_reading()  # Guards memory: a caller may not pile up requests unread.
            return
        request = self._queue.popleft()
        if isinstance(request, Rejected):
            self.reject(request)
            return
        self._busy = True
        self.move(None)
        self._keep_alive, self._old = request.keep_alive, request.old
        self._stream = stream = request.stream if request.stream is not None and not request.stream.ended else None
        self._bodyless = request.method == b"HEAD"
        try:
            self.front.handle(request, self)
        except Rejected as fault:
            self._let_go()
            self.reject(fault)
            return
        if stream is not None and self._stream is stream:
            self._transport.resume_reading()  # its body has to come while it is in hand
            self.move(self.front.reading, self._loop.time() + self.front.whole_within)

    def _continue(self) -> None:
        """Ask for the body that a caller holds back; behind other requests it comes without."""
        if not self._busy and not self._queue:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _write(self, status: int, head: bytes, body: bytes, keep: bool, length: int | None = None) -> None:
        size = len(body) if length is None else length
        # RFC 9110 8.6: 204 has no length; 304 tells that of another answer, which is not known here.
        told = b"" if status in (204, 304) else b"Content-Length: %d\r\n" % size
        self._transport.write(
            b"HTTP/1.1 %d %b\r\n%b%b%b\r\n%b"
            % (
                status,
                PHRASES.get(status, b"Other"),
                head,
                told,
                b"" if keep else b"Connection: close\r\n",
                b"" if self._bodyless else body,
            )
        )

    def reject(self, fault: Rejected) -> None:
        """Answer what is not served, for the last time: kept alive it would come again at full speed."""
        self.front.rejections[fault.status] += 1
        if self._stream is not None:
            self._let_go()
        self.gone = None
        self._busy, self._faulty = False, True
        self._queue.clear()
        self._hold(0)
        self._write(fault.status, b"", fault.reason.encode() + b"\n", False)
        self.move(self.front.leaving, self._loop.time() + LINGER)
        # Guards the answer against a reset: what still comes is read until the caller closes.
        self._transport.resume_reading()
        self._end_output()

    def _end_output(self) -> None:
        """Nothing more is written; what still comes is read until the caller closes.

        Guards all that goes on in the same turn of the loop, as other callers of a sweep: where the caller has gone
        by now, the system says so here.
        """
        try:
            self._transport.write_eof()
        except OSError:
            self.drop()

    def answer(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Write the one final answer of the request that is being served.

        `head` holds whole header lines; `length` is that of a body that a HEAD request is spared.
        """
        check(self._busy, Invariant.ONE_ANSWER, peer=self.peer, status=status)
        if self._flow is not None:  # what was begun can't be finished
            self.cut()
            return
        if self._stream is not None and not self._stream.ended:  # answered before its body's end
            self._answer_early(status, head, body, length)
            return
        self.gone = None
        self._busy = False
        keep = self._keeps()
        self._write(status, head, body, keep, length)
        self._after(keep)

    def _keeps(self) -> bool:
        return self._keep_alive and not self.front.closing and self.front.drained_at is None

    def _answer_early(self, status: int, head: bytes, body: bytes, length: int | None) -> None:
        """Answer for the last time; what still comes of the body is read and dropped."""
        stream, self._stream = self._stream, None
        assert stream is not None
        self.gone = None
        self._busy, self._faulty = False, True
        self._queue.clear()
        stream.drop()
        self._hold(0)
        self._write(status, head, body, False, length)
        self.move(self.front.leaving, self._loop.time() + LINGER)
        self._transport.resume_reading()
        self._end_output()

    def _after(self, keep: bool) -> None:
        """An answer is written whole."""
        if not keep:
            self._queue.clear()
            self.close()
            return
        now, front = self._loop.time(), self.front
        if self._intake.reading:
            self.move(front.reading, now + front.whole_within)
        else:
            self.move(front.idle, now + (front.idle_most if self.used else IDLE_LEAST))
            if front.pass_to is not None:
                self._loop.call_soon(self.pass_on)
        if not self._stuck:
            self._transport.resume_reading()
            if self._queue:
                self._loop.call_soon(self._resume)

    # ---- an answer that is passed on as it comes ----------------------------------------------

    def passing(self) -> Passing | None:
        """It takes an answer as it comes."""
        return self

    def begin_answer(self, status: int, head: bytes, length: int | None, flow: Pipe) -> None:
        """Write the head of an answer; its body comes through the pipe, and `finish_answer` or `cut` ends it."""
        check(self._busy and self._flow is None, Invariant.ONE_ANSWER, peer=self.peer, status=status)
        stream, self._stream = self._stream, None
        if stream is not None and not stream.ended:  # its body is wanted no more
            self._keep_alive = False
            self._faulty = True
            stream.drop()
            self._hold(0)
        self._keep_alive = self._keeps() and (length is not None or not self._old)
        self._chunked = length is None and not self._old
        told = (
            b"Transfer-Encoding: chunked\r\n"
            if self._chunked
            else (b"" if length is None else b"Content-Length: %d\r\n" % length)
        )
        self._transport.write(
            b"HTTP/1.1 %d %b\r\n%b%b%b\r\n"
            % (status, PHRASES.get(status, b"Other"), head, told, b"" if self._keep_alive else b"Connection: close\r\n")
        )
        self._flow = flow
        self.move(self.front.flowing, self._loop.time() + FLOW_WITHIN)
        flow.attach(self._pass)

    def _pass(self) -> None:
        """Pass on what there is, as long as the caller takes it."""
        flow = self._flow
        while flow is not None and not self._stuck and (data := flow.take_piece()):
            self.move(self.front.flowing, self._loop.time() + FLOW_WITHIN)
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
            if self._stuck:  # told once it has gone out
                self._owed += len(data)
            else:
                flow.gone(len(data))
        if flow is not None and flow.ended and not self._stuck:
            self._finish()

    def finish_answer(self) -> None:
        """The answer that was begun is whole."""
        self.gone = None
        if self._flow is not None:
            self._flow.end()

    def _finish(self) -> None:
        """All of it has been passed on."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self._let_flow_go()
        self._busy = False
        if self._faulty:
            self.close()
        else:
            self._after(self._keep_alive and self._keeps())

    def cut(self) -> None:
        """The answer that was begun can't be finished: the caller has to be able to tell."""
        self._let_flow_go()
        self.gone = None
        if self._old and not self._chunked:  # an ordinary close would look like the end
            self.drop()
        else:
            self._queue.clear()
            self.close()

    def _resume(self) -> None:
        if not self._queue:
            self._transport.resume_reading()
        elif not self._busy:
            self._next()
