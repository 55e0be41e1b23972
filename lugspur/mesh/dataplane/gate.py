"""Beside the backend: the one way in. Who gets a berth, what goes to the backend, and what its answer proves."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from time import monotonic

from cachetools import LRUCache

from lugspur.discovery.rows import read_address
from lugspur.http1.upstream import Backend, Exchange, Upstream
from lugspur.invariants import Invariant, check
from lugspur.load_balancing.model import Outcome
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.urgency import Urgency, urgency_of
from lugspur.routing.shares import Shares
from lugspur.seams import Response

CLOSING_TAKES = 0.25  # of the drain's time: so long after `closing` new work is still taken, as news gets round...
CLOSING_MOST = 0.4  # seconds, at most
EXTRA = 1  # requests at the backend beyond its berths: the next one is there when a berth gets free
QUEUE_BERTHS = 2  # requests that wait here, for each berth
WAIT_PART = 0.6  # of the time that its answer is worth most in, for waiting here
WAIT_BACK = 1.0  # ...and where its caller comes back: it is lost if it is turned away once more
WAIT_LATE = 0.5  # ...and of the time that is left, for who holds a berth elsewhere
SHORT = 0.5  # of the longest pace of a route here: what takes less costs little, and is often a call of a parent's
HOPELESS = 0.3  # of the pace: with less time left nothing is begun
PACES_MOST = 256  # routes whose pace is known, those used last
PACE_WEIGHT = 1 / 16  # of one answer in the pace
GRACE = 0.03  # seconds behind the deadline in which the backend's own word on it may come
DIAL_WITHIN = 0.5  # seconds: the backend is on this machine
ATTEMPT = b"lugspur-attempt-id"  # answers bear that of their request


#: Causes of what never ran, and of what may have.
UNRUN = {
    Outcome.FULL: FailureCause.REFUSED,
    Outcome.UNREACHABLE: FailureCause.UNREACHABLE,
    Outcome.VOID: FailureCause.TOO_LITTLE_TIME,
}
UNKNOWN = {
    Outcome.TIMEOUT: FailureCause.TIMED_OUT,
    Outcome.BROKEN: FailureCause.CONNECTION_BROKEN,
    Outcome.CANCELLED: FailureCause.CANCELLED,
}


def judge(status: int, unseen: bool) -> Outcome:
    """421 and `Lugspur-Not-Delivered` prove that it did not run; all else is the backend's answer."""
    return Outcome.FULL if unseen or status == 421 else Outcome.OK


class LocalBackend:
    """The backend of this machine, in its present life."""

    __slots__ = ("backend", "berths", "closing_at", "down", "heard", "id", "sequence", "service", "state", "warm_at")

    def __init__(self, ident: str, service: str, address: str, now: float) -> None:
        self.id, self.service = ident, service
        self.backend = Backend(read_address(address))
        self.backend.in_service = True
        self.berths, self.sequence = 1, -1
        self.state = "accepting"
        self.closing_at = float("inf")  # when it said so
        self.heard, self.warm_at = now, now
        self.down = False  # it took no connection since its last beat


class Ticket:
    """One request in hand."""

    __slots__ = ("exchange", "forward", "local", "over", "respond", "sent", "sent_at", "since", "until")

    def __init__(
        self, forward: ForwardRequest, local: LocalBackend, now: float, respond: Callable[[ForwardResponse], None]
    ) -> None:
        self.forward, self.local, self.respond = forward, local, respond
        self.since = self.sent_at = now
        self.until = now + forward.seconds_left
        self.exchange: Exchange | None = None
        self.sent = False  # whether the backend was offered it
        self.over = False


class Gate:
    """All requests for the backend of this machine go through here."""

    def __init__(
        self,
        memory: int,
        files: int,
        drain: float,
        done: Callable[[ForwardRequest, BackendResponse], None],
        down: Callable[[LocalBackend], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._drain = drain
        self._done, self._down = done, down
        self.local: LocalBackend | None = None
        self.leaving = False  # this process ends: nothing new
        self._upstream = Upstream(
            Shares(files, {}),
            "",
            20.0,
            DIAL_WITHIN,
            memory // 4,
            memory // 8,
            judge,
            proof=b"lugspur-not-delivered",
            echo=ATTEMPT,
            keeps=64,
        )
        self._count = itertools.count()
        self._waiting: list[tuple[Urgency, int, Ticket]] = []  # the first one first
        self._at_work = 0
        # Seconds that an answer takes from when the backend is offered the request, by route, and of all.
        self._paces: LRUCache[str, float] = LRUCache(PACES_MOST)
        self._pace = 0.0
        self.turned = self.evicted = self.hopeless = 0  # for lack of room, for others, for lack of time
        self.causes: Counter[FailureCause] = Counter()  # of all that did not end with the backend's answer

    @property
    def busy(self) -> int:
        """Requests in hand."""
        return self._at_work + len(self._waiting)

    def takes(self, now: float, backend: str) -> bool:
        """Whether new work for that life of the backend is taken."""
        local = self.local
        if local is None or local.id != backend or self.leaving or local.down:
            return False
        return now <= local.closing_at + min(CLOSING_MOST, CLOSING_TAKES * self._drain)

    def run(self, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> Ticket | None:
        """Have the backend run it; the answer comes once. None: it is turned away."""
        now = self._loop.time()
        local = self.local
        # Guards against a request that was held up on its way, or whose body was, until its caller had given it up.
        cause = FailureCause.NONE
        if forward.seconds_left <= 0.0:
            cause = FailureCause.EXPIRED
        elif local is None or not self.takes(now, forward.backend):
            cause = FailureCause.NOT_ACCEPTED
        elif not self._room(local, forward):
            cause = FailureCause.QUEUE_FULL
        if local is None or cause:
            respond(self.turn_away(forward.number, cause))
            return None
        ticket = Ticket(forward, local, now, respond)
        if self._at_work < local.berths + EXTRA:
            self._send(ticket)
        else:
            if len(self._waiting) >= QUEUE_BERTHS * local.berths:
                self._evict()
            heapq.heappush(self._waiting, (urgency_of(now, forward), next(self._count), ticket))
        return ticket

    def turn_away(self, number: int, cause: FailureCause) -> ForwardResponse:
        """The reply to a request that is not taken."""
        self.causes[cause] += 1
        return ForwardResponse(number, RequestOutcome.NOT_RUN, None, False, self.busy, cause)

    def room(self, forward: ForwardRequest) -> bool:
        """Whether a request would be taken now."""
        local, now = self.local, self._loop.time()
        return local is not None and self.takes(now, forward.backend) and self._room(local, forward)

    def pace(self, route: str) -> float:
        """Seconds that the backend takes for a request on a route, as seen here."""
        return self._pace_of(route)

    def _room(self, local: LocalBackend, forward: ForwardRequest) -> bool:
        """Whether it would get its turn while its answer is still worth something."""
        free = local.berths + EXTRA - self._at_work
        if free > 0:
            return True
        urgency = urgency_of(self._loop.time(), forward)
        before = [row[2].forward.route for row in self._waiting if row[0] <= urgency and not row[2].over]
        pace = self._pace_of(forward.route)
        wait = (sum(map(self._pace_of, before)) + self._pace) / max(1, local.berths)
        fits = wait <= (WAIT_BACK if forward.was_rejected else WAIT_PART) * (forward.latency_target_left - pace)
        # Guards the worth of all: once everybody waits until late, nobody is served in time, and no more is served.
        if not fits and (pace <= SHORT * max(self._paces.values(), default=0.0)):
            fits = wait <= WAIT_LATE * (forward.seconds_left - pace)
        if not fits or len(before) >= QUEUE_BERTHS * local.berths:
            self.turned += 1
            return False
        return True

    def _pace_of(self, route: str) -> float:
        return self._paces.get(route, self._pace)

    def _evict(self) -> None:
        """Whoever would be last makes room: a queue without end serves nobody in time."""
        last = max(self._waiting)
        self._waiting.remove(last)
        heapq.heapify(self._waiting)
        if not last[2].over:
            self.evicted += 1
            self._end(last[2], RequestOutcome.NOT_RUN, FailureCause.EVICTED)

    def cancel(self, ticket: Ticket) -> None:
        """Nobody waits for it any more."""
        if not ticket.over:
            if ticket.exchange is not None:
                ticket.exchange.end(Outcome.CANCELLED)
            else:
                self._end(
                    ticket, RequestOutcome.UNKNOWN, FailureCause.CANCELLED
                )  # it is passed over when its turn comes

    def withdraw(self, ticket: Ticket) -> None:
        """Nobody waits for it any more: it is not begun, and what the backend works on goes on.

        Guards backends against work that nobody wants and that can't be cancelled once it has begun.
        """
        if not ticket.over and ticket.exchange is None:
            self._end(ticket, RequestOutcome.NOT_RUN, FailureCause.CANCELLED)  # it is passed over when its turn comes

    def _next(self) -> None:
        while self._waiting:
            local = self.local
            if self._at_work >= (local.berths if local is not None else 0) + EXTRA:
                return
            _, _, ticket = heapq.heappop(self._waiting)
            if ticket.over:
                continue
            now = self._loop.time()
            ends = now + HOPELESS * self._pace_of(ticket.forward.route)
            if not self.takes_waiting(now, ticket):
                self.hopeless += 1
                self._end(ticket, RequestOutcome.NOT_RUN, FailureCause.NOT_ACCEPTED)
            elif ends >= ticket.until:
                self.hopeless += 1
                self._end(ticket, RequestOutcome.NOT_RUN, FailureCause.TOO_LITTLE_TIME)
            else:
                self._send(ticket)

    def takes_waiting(self, now: float, ticket: Ticket) -> bool:
        """Whether what was taken may still go to the backend: it is the same life, and the drain's time is not up."""
        local = ticket.local
        return local is self.local and not local.down and now < local.closing_at + 0.8 * self._drain

    def _send(self, ticket: Ticket) -> None:
        forward, now = ticket.forward, self._loop.time()
        # Guards against a freeze in the middle of a turn of the loop, whose time stands still meanwhile.
        if monotonic() >= ticket.until + GRACE:
            self.hopeless += 1
            self._end(ticket, RequestOutcome.NOT_RUN, FailureCause.TOO_LITTLE_TIME)
            return
        check(not ticket.sent and not ticket.over, Invariant.OFFERED_ONCE, attempt=forward.attempt_id)
        self._at_work += 1
        ticket.sent, ticket.sent_at = True, now
        exchange = Exchange(
            ticket.local.backend,
            now,
            ticket.until + GRACE,
            lambda left: self._bytes(forward, left - GRACE),
            lambda exchange, outcome, response: self._ended(ticket, outcome, response),
            repeatable=forward.is_safe,
            bodyless=forward.method == b"HEAD",
        )
        exchange.echo = forward.attempt_id
        ticket.exchange = exchange
        self._upstream.start(exchange)

    @staticmethod
    def _bytes(forward: ForwardRequest, left: float) -> bytes:
        told = b""
        if forward.body or forward.method in (b"POST", b"PUT", b"PATCH"):
            told = b"Content-Length: %d\r\n" % len(forward.body)
        return b"%b %b HTTP/1.1\r\n%bLugspur-Deliver-By-Ms: %d\r\nLugspur-Deliver-To: %b\r\n%b\r\n%b" % (
            forward.method,
            forward.target,
            b"".join(forward.header_lines),
            max(1, int(left * 1000.0)),
            forward.backend.encode(),
            told,
            forward.body,
        )

    def _ended(self, ticket: Ticket, outcome: Outcome, response: Response | None) -> None:
        self._at_work -= 1
        check(self._at_work >= 0, Invariant.IN_FLIGHT, backend=ticket.local.id)
        if outcome is Outcome.OK and response is not None:
            took = self._loop.time() - ticket.sent_at
            route = ticket.forward.route
            self._pace += (took - self._pace) * (PACE_WEIGHT if self._pace else 1.0)
            pace = self._paces.get(route, took)
            self._paces[route] = pace + (took - pace) * PACE_WEIGHT
            if self._sound(ticket.forward, response):
                answer = BackendResponse(response.status, response.head, response.body)
                if ticket.forward.key:
                    self._done(ticket.forward, answer)
                self._end(ticket, RequestOutcome.ANSWERED, FailureCause.NONE, answer)
            else:
                self._end(ticket, RequestOutcome.INVALID_RESPONSE, FailureCause.INVALID_RESPONSE)
        elif outcome in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.VOID):
            if outcome is Outcome.UNREACHABLE and not ticket.local.down and ticket.local is self.local:
                ticket.local.down = True
                self._down(ticket.local)
            if outcome is not Outcome.FULL:
                ticket.sent = False
            self._end(ticket, RequestOutcome.NOT_RUN, UNRUN[outcome])
        else:
            self._end(ticket, RequestOutcome.UNKNOWN, UNKNOWN.get(outcome, FailureCause.INVALID_RESPONSE))
        self._next()

    @staticmethod
    def _sound(forward: ForwardRequest, response: Response) -> bool:
        """Whether it is this request's answer, as the backend meant it."""
        names: dict[bytes, bytes] = {}
        for line in response.head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            name = name.lower()
            if name == ATTEMPT and name in names:  # Guards against two readings of whose answer it is.
                return False
            names[name] = value.strip(b" \t")
        if names.get(ATTEMPT) != forward.attempt_id or b"content-encoding" in names:
            return False
        return response.status // 100 != 2 or b"lugspur-postmark" in names

    def _end(
        self, ticket: Ticket, how: RequestOutcome, cause: FailureCause, answer: BackendResponse | None = None
    ) -> None:
        if not ticket.over:
            ticket.over = True
            if cause:
                self.causes[cause] += 1
            ticket.respond(ForwardResponse(ticket.forward.number, how, answer, ticket.sent, self.busy, cause))
