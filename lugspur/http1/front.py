"""The callers' side: connections in, answers out, `/healthz`, and who has to go when there are too many."""

from __future__ import annotations

import asyncio
import itertools
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from jaspershelf.model import Repeat
from lugspur.config.platform import Config
from lugspur.http1.intake import Intake, Rejected, Request

READ = 64 << 10  # bytes read in one go, into one buffer that all callers share
FIRST_WITHIN = 2.0  # seconds from connecting in which the first request must be whole: 3 s are owed at most
SETTLE = 0.05  # seconds in which the first bytes of a new connection may still be on their way
WHOLE_WITHIN = 2.0  # seconds from its first byte in which a later one must be
IDLE_MOST = 10.0  # seconds that a caller may keep its connection and ask nothing...
IDLE_LEAST = 2.0  # ...and when connections run short, or where it never sent a request: by the protocol
CROWDED = 0.5  # part of the limit on callers from which connections count as short
LINGER = 2.0  # seconds that a closing connection may take; meanwhile what comes is read and dropped:
DROP_MOST = 64 << 20  # bytes; closing with bytes unread would reset the connection, and the answer with it
SWEEP = 0.25  # seconds between looks at those times
HELD_PART = 0.25  # of the memory limit, for bodies that are not whole: hundreds of them could fill it
PIPELINE_MOST = 8  # requests that may wait behind another: callers send one at a time
BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTS = 8  # taken in one go: with no descriptor left the loop complains once for each, every second
TIME = re.compile(rb"\d{1,9}(\.\d{1,9})?")
ID = re.compile(rb"[0-9A-Za-z._-]{1,64}")
PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}  # backends may send others
METHODS = {Repeat.SAFE: (b"GET", False), Repeat.KEYED: (b"POST", True), Repeat.UNSAFE: (b"POST", False)}


@dataclass(slots=True)
class Facts:
    """What the decisions need of a request."""

    kind: int
    tenant: int
    timeout: float
    cost: float
    retry: bool


class Front:
    """All connections of callers, within a limit on their number."""

    def __init__(self, config: Config, most: int, handle: Callable[[Request, Caller], None]) -> None:
        self.config = config
        self.handle = handle
        self.most = most
        self.ready = False  # the list is loaded
        self.serving = False  # the listener accepts, and is to go on
        self.closing = False
        self.held = 0  # bytes of bodies that are not whole
        self.held_most = int(HELD_PART * config.memory)
        self.buffer = memoryview(bytearray(READ))
        self.callers: set[Caller] = set()
        # Those that owe no answer, each with the loop's time at which it has to go.
        self.leaving: dict[Caller, float] = {}  # answered for the last time
        self.fresh: dict[Caller, float] = {}  # nothing has come yet
        self.idle: dict[Caller, float] = {}  # between two requests
        self.reading: dict[Caller, float] = {}  # a part of a request has come
        self.last_accept = 0.0
        self._loop = asyncio.get_running_loop()
        self._loop.call_later(SWEEP, self._sweep)

    def healthy(self) -> bool:
        """Whether requests should be sent here."""
        return self.ready and self.serving

    async def listen(self) -> socket.socket:
        """Serve on the given address alone."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.config.listen)
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
        for caller in (*self.fresh, *self.idle):
            caller.close()

    def full(self, newcomer: Caller) -> bool:
        """Whether there are too many callers, and none but this one that could go."""
        if len(self.callers) <= self.most:
            return False
        # Guards good callers: those that are of no use go first, one whose request is being read never.
        settled = self._loop.time() + FIRST_WITHIN - SETTLE
        silent = [caller for caller, limit in itertools.islice(self.fresh.items(), 1) if limit < settled]
        for place in (self.leaving, silent, self.idle, self.fresh):
            for caller in place:
                if caller is not newcomer:
                    caller.drop()
                    return False
        return True

    def _sweep(self) -> None:
        """Guards descriptors and memory against callers that never end what they began."""
        self._loop.call_later(SWEEP, self._sweep)
        now = self._loop.time()
        early = IDLE_MOST - IDLE_LEAST if len(self.callers) > CROWDED * self.most else 0.0
        for place, before in ((self.leaving, 0.0), (self.fresh, 0.0), (self.idle, early)):
            for caller in [caller for caller, limit in place.items() if limit - before <= now]:
                caller.drop()
        for caller in [caller for caller, limit in self.reading.items() if limit <= now]:
            caller.reject(Rejected(408, "the request took too long"))

    def classify(self, request: Request) -> Facts:
        """Read what the decisions need; raises Rejected where it is malformed or unknown."""
        get = request.headers.get
        if not ID.fullmatch(get(b"x-request-id", b"")):
            raise Rejected(400, "no request id, or a malformed one")
        name = get(b"x-priority-class", b"").decode("latin-1")
        kind = self.config.classes.get(name)
        if kind is None:
            raise Rejected(400, "unknown class")
        row = self.config.settings.classes[kind]
        method, keyed = METHODS[row.repeat]
        if request.method != method or (keyed and not get(b"idempotency-key")):
            raise Rejected(400, "the method does not fit the class")
        tenant: int | None = 0
        if self.config.tenants:
            tenant = self.config.tenants.get(get(b"x-tenant-id", b"").decode("latin-1"))
        if tenant is None:
            raise Rejected(400, "unknown tenant")
        timeout = get(b"x-timeout", b"")
        if not TIME.fullmatch(timeout):
            raise Rejected(400, "the time is malformed")
        cost = get(b"x-cost", b"")
        guess = float(cost) / 1e6 if TIME.fullmatch(cost) else 0.0
        # Guards timers and memory against absurd times: no client waits longer than its class's deadline.
        return Facts(kind, tenant, min(float(timeout), row.deadline), guess, get(b"x-retried") == b"1")


class Caller(asyncio.BufferedProtocol):
    """One caller's connection; its requests are answered one after another."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._queue: deque[Request | Rejected] = deque()
        self._intake = Intake(self._queue.append)
        self._place: dict[Caller, float] | None = None  # where the front keeps it while no answer is owed
        self._busy = False
        self._used = False  # has sent a request that went on
        self._stuck = False  # does not read its answers
        self._faulty = False  # a rejection is queued or answered: nothing more is read
        self._dropped = 0
        self._held = 0  # its part of what the front counts
        self.gone: Callable[[], None] | None = None  # told when the caller leaves before its answer

    # ---- the connection ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        front = self._front
        front.last_accept = self._loop.time()
        front.callers.add(self)
        self._move(front.fresh, front.last_accept + FIRST_WITHIN)
        front.full(self)  # Guards the limit on descriptors: one that can go makes room.

    def connection_lost(self, exc: Exception | None) -> None:
        self._move(None)
        self._front.callers.discard(self)
        self._queue.clear()
        self._hold(0)
        self._intake.close()
        gone, self.gone = self.gone, None
        if gone is not None:
            gone()

    def _move(self, place: dict[Caller, float] | None, limit: float = 0.0) -> None:
        if self._place is not None:
            self._place.pop(self, None)
        self._place = place
        if place is not None:
            place[self] = limit

    def close(self) -> None:
        """Close it, once what is written is out."""
        self._move(self._front.leaving, self._loop.time() + LINGER)
        self._transport.close()

    def drop(self) -> None:
        """Close it at once."""
        self._move(None)
        self._front.callers.discard(self)
        self._transport.abort()

    def pause_writing(self) -> None:
        self._stuck = True

    def resume_writing(self) -> None:
        self._stuck = False
        self._resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._front.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._faulty:
            self._dropped += nbytes
            if self._dropped > DROP_MOST:  # Guards the core against a sender that goes on for ever.
                self.drop()
            return
        intake, front = self._intake, self._front
        intake.feed(front.buffer[:nbytes], self._loop.time())
        self._hold(intake.held())
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
        elif intake.reading and not self._busy and self._place is not front.reading:
            first = self._place[self] if self._place is front.fresh else intake.arrived + WHOLE_WITHIN
            self._move(front.reading, first)

    def _hold(self, size: int) -> None:
        self._front.held += size - self._held
        self._held = size

    # ---- requests and answers --------------------------------------------------------------

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
        self._move(None)
        self._keep_alive = request.keep_alive
        try:
            self._dispatch(request)
        except Rejected as fault:
            self.reject(fault)

    def _dispatch(self, request: Request) -> None:
        path = request.target.partition(b"?")[0]
        if path == b"/healthz" and request.method == b"GET":
            healthy = self._front.healthy()
            self.answer(200 if healthy else 503, b"", b"ok\n" if healthy else b"not ready\n")
        elif path == b"/api" or path.startswith(b"/api/"):  # a request without a key has no last part
            if self._front.full(self):
                raise Rejected(503, "too many connections")
            self._used = True
            self._front.handle(request, self)
        else:
            raise Rejected(404, "no such path")

    def _write(self, status: int, head: bytes, body: bytes, keep: bool) -> None:
        self._transport.write(b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
            status, PHRASES.get(status, b"Other"), head, len(body),
            b"" if keep else b"Connection: close\r\n", body,
        ))

    def reject(self, fault: Rejected) -> None:
        """Answer what is not served, for the last time: kept alive it would come again at full speed."""
        self.gone = None
        self._busy, self._faulty = False, True
        self._queue.clear()
        self._hold(0)
        self._write(fault.status, b"", fault.reason.encode() + b"\n", False)
        self._move(self._front.leaving, self._loop.time() + LINGER)
        # Guards the answer against a reset: what still comes is read until the caller closes.
        self._transport.resume_reading()
        self._transport.write_eof()

    def answer(self, status: int, head: bytes, body: bytes) -> None:
        """Write the one final answer of the request that is being served."""
        self.gone = None
        self._busy = False
        keep = self._keep_alive and not self._front.closing
        self._write(status, head, body, keep)
        if not keep:
            self._queue.clear()
            self.close()
            return
        now, front = self._loop.time(), self._front
        if self._intake.reading:
            self._move(front.reading, now + WHOLE_WITHIN)
        else:
            self._move(front.idle, now + (IDLE_MOST if self._used else IDLE_LEAST))
        if not self._stuck:
            self._transport.resume_reading()
            if self._queue:
                self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        if not self._queue:
            self._transport.resume_reading()
        elif not self._busy:
            self._next()
