"""Beside the backend: the one way in. Who gets a berth, what goes to the backend, and what its answer proves."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from time import monotonic

from cachetools import LRUCache

from lugspur.discovery.endpoints import read_address
from lugspur.http1.upstream import Backend, Exchange, Upstream
from lugspur.invariants import Invariant, check
from lugspur.load_balancing.model import Outcome
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.urgency import Urgency, urgency_of
from lugspur.routing.shares import Shares
from lugspur.seams import Response

CLOSING_ACCEPT_FRACTION = 0.25  # of the drain's time: so long after `closing` new work is accepted...
MAX_CLOSING_ACCEPT_SECONDS = 0.4  # seconds, at most
EXTRA_REQUESTS = 1  # requests at the backend beyond its berths: the next one is there when a berth gets free
MAX_QUEUE_FACTOR = 2  # requests that wait here, for each berth
MAX_WAIT_FRACTION = 0.6  # of the time that its answer is worth most in, for waiting here
MAX_WAIT_FRACTION_OF_RETRIES = 1.0  # ...and where its caller comes back: it is lost if it is turned away once more
MAX_WAIT_FRACTION_OF_SHORT = 0.5  # ...and of the time that is left, for who holds a berth elsewhere
SHORT_FRACTION = 0.5  # of the longest pace of a route here: what takes less costs little
MIN_TIME_FRACTION = 0.3  # of the pace: with less time left nothing is begun
MAX_KNOWN_ROUTES = 256  # routes whose pace is known, those used last
SERVICE_TIME_WEIGHT = 1 / 16  # of one answer in the pace
GRACE_SECONDS = 0.03  # seconds behind the deadline in which the backend's own word on it may come
CONNECT_TIMEOUT_SECONDS = 0.5  # seconds: the backend is on this machine
ATTEMPT_ID_HEADER = b"lugspur-attempt-id"  # answers bear that of their request


#: Causes of what never ran, and of what may have.
NOT_RUN_CAUSES = {
    Outcome.OVERLOADED: FailureCause.REFUSED,
    Outcome.UNREACHABLE: FailureCause.UNREACHABLE,
    Outcome.NOT_PROCESSED: FailureCause.TOO_LITTLE_TIME,
}
UNKNOWN_CAUSES = {
    Outcome.TIMEOUT: FailureCause.TIMED_OUT,
    Outcome.INTERRUPTED: FailureCause.CONNECTION_BROKEN,
    Outcome.CANCELLED: FailureCause.CANCELLED,
}


def judge(status: int, unseen: bool) -> Outcome:
    """421 and `Lugspur-Not-Delivered` prove that it did not run; all else is the backend's answer."""
    return Outcome.OVERLOADED if unseen or status == 421 else Outcome.OK


class LocalBackend:
    """The backend of this machine, in its present life."""

    __slots__ = (
        "backend",
        "concurrency",
        "closing_at",
        "is_unreachable",
        "last_heartbeat_at",
        "id",
        "sequence",
        "service",
        "state",
        "warm_at",
    )

    def __init__(self, ident: str, service: str, address: str, now: float) -> None:
        self.id, self.service = ident, service
        self.backend = Backend(read_address(address))
        self.backend.in_service = True
        self.concurrency, self.sequence = 1, -1
        self.state = "accepting"
        self.closing_at = float("inf")  # when it said so
        self.last_heartbeat_at, self.warm_at = now, now
        self.is_unreachable = False  # it took no connection since its last beat


class AdmittedRequest:
    """One request in hand."""

    __slots__ = ("exchange", "forward", "local", "is_finished", "respond", "was_offered", "offered_at", "deadline")

    def __init__(
        self, forward: ForwardRequest, local: LocalBackend, now: float, respond: Callable[[ForwardResponse], None]
    ) -> None:
        self.forward, self.local, self.respond = forward, local, respond
        self.offered_at = now
        self.deadline = now + forward.seconds_left
        self.exchange: Exchange | None = None
        self.was_offered = False  # whether the backend was offered it
        self.is_finished = False


class ConcurrencyLimiter:
    """All requests for the backend of this machine go through here."""

    def __init__(
        self,
        memory: int,
        files: int,
        drain_seconds: float,
        on_completed: Callable[[ForwardRequest, BackendResponse], None],
        on_unreachable: Callable[[LocalBackend], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._drain_seconds = drain_seconds
        self._on_completed, self._on_unreachable = on_completed, on_unreachable
        self.local: LocalBackend | None = None
        self.leaving = False  # this process ends: nothing new
        self._upstream = Upstream(
            Shares(files, {}),
            "",
            20.0,
            CONNECT_TIMEOUT_SECONDS,
            memory // 4,
            memory // 8,
            judge,
            proof=b"lugspur-not-delivered",
            echo=ATTEMPT_ID_HEADER,
            keeps=64,
        )
        self._sequence_numbers = itertools.count()
        self._waiting: list[tuple[Urgency, int, AdmittedRequest]] = []  # the first one first
        self._running = 0
        # Seconds that an answer takes from when the backend is offered the request, by route, and of all.
        self._service_times: LRUCache[str, float] = LRUCache(MAX_KNOWN_ROUTES)
        self._average_service_time = 0.0
        self.rejected = self.evicted = self.expired = 0  # for lack of capacity, for more urgent ones, for lack of time
        self.causes: Counter[FailureCause] = Counter()  # of all that did not end with the backend's answer

    @property
    def busy(self) -> int:
        """Requests in hand."""
        return self._running + len(self._waiting)

    def accepts(self, now: float, backend: str) -> bool:
        """Whether new work for that life of the backend is taken."""
        local = self.local
        if local is None or local.id != backend or self.leaving or local.is_unreachable:
            return False
        return now <= local.closing_at + min(MAX_CLOSING_ACCEPT_SECONDS, CLOSING_ACCEPT_FRACTION * self._drain_seconds)

    def run(self, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> AdmittedRequest | None:
        """Have the backend run it; the answer comes once. None: it is turned away."""
        now = self._loop.time()
        local = self.local
        # Guards against a request that was held up on its way, or whose body was, until its caller had given it up.
        cause = FailureCause.NONE
        if forward.seconds_left <= 0.0:
            cause = FailureCause.EXPIRED
        elif local is None or not self.accepts(now, forward.backend):
            cause = FailureCause.NOT_ACCEPTED
        elif not self._has_capacity(local, forward):
            cause = FailureCause.QUEUE_FULL
        if local is None or cause:
            respond(self.reject(forward.number, cause))
            return None
        admitted = AdmittedRequest(forward, local, now, respond)
        if self._running < local.concurrency + EXTRA_REQUESTS:
            self._send(admitted)
        else:
            if len(self._waiting) >= MAX_QUEUE_FACTOR * local.concurrency:
                self._evict()
            heapq.heappush(self._waiting, (urgency_of(now, forward), next(self._sequence_numbers), admitted))
        return admitted

    def reject(self, number: int, cause: FailureCause) -> ForwardResponse:
        """The reply to a request that is not taken."""
        self.causes[cause] += 1
        return ForwardResponse(number, RequestOutcome.NOT_RUN, None, False, self.busy, cause)

    def has_capacity(self, forward: ForwardRequest) -> bool:
        """Whether a request would be taken now."""
        local, now = self.local, self._loop.time()
        return local is not None and self.accepts(now, forward.backend) and self._has_capacity(local, forward)

    def expected_service_time(self, route: str) -> float:
        """Seconds that the backend takes for a request on a route, as seen here."""
        return self._service_time_of(route)

    def _has_capacity(self, local: LocalBackend, forward: ForwardRequest) -> bool:
        """Whether it would get its turn while its answer is still worth something."""
        free = local.concurrency + EXTRA_REQUESTS - self._running
        if free > 0:
            return True
        urgency = urgency_of(self._loop.time(), forward)
        before = [row[2].forward.route for row in self._waiting if row[0] <= urgency and not row[2].is_finished]
        pace = self._service_time_of(forward.route)
        wait = (sum(map(self._service_time_of, before)) + self._average_service_time) / max(1, local.concurrency)
        fits = wait <= (MAX_WAIT_FRACTION_OF_RETRIES if forward.was_rejected else MAX_WAIT_FRACTION) * (
            forward.latency_target_left - pace
        )
        # Guards the worth of all: once everybody waits until late, nobody is served in time, and no more is served.
        if not fits and (pace <= SHORT_FRACTION * max(self._service_times.values(), default=0.0)):
            fits = wait <= MAX_WAIT_FRACTION_OF_SHORT * (forward.seconds_left - pace)
        if not fits or len(before) >= MAX_QUEUE_FACTOR * local.concurrency:
            self.rejected += 1
            return False
        return True

    def _service_time_of(self, route: str) -> float:
        return self._service_times.get(route, self._average_service_time)

    def _evict(self) -> None:
        """Whoever would be last makes room: a queue without end serves nobody in time."""
        last = max(self._waiting)
        self._waiting.remove(last)
        heapq.heapify(self._waiting)
        if not last[2].is_finished:
            self.evicted += 1
            self._finish(last[2], RequestOutcome.NOT_RUN, FailureCause.EVICTED)

    def cancel(self, admitted: AdmittedRequest) -> None:
        """Nobody waits for it any more."""
        if not admitted.is_finished:
            if admitted.exchange is not None:
                admitted.exchange.end(Outcome.CANCELLED)
            else:
                self._finish(
                    admitted, RequestOutcome.UNKNOWN, FailureCause.CANCELLED
                )  # it is passed over when its turn comes

    def withdraw(self, admitted: AdmittedRequest) -> None:
        """Nobody waits for it any more: it is not begun, and what the backend works on goes on.

        Guards backends against work that nobody wants and that can't be cancelled once it has begun.
        """
        if not admitted.is_finished and admitted.exchange is None:
            self._finish(
                admitted, RequestOutcome.NOT_RUN, FailureCause.CANCELLED
            )  # it is passed over when its turn comes

    def _start_waiting(self) -> None:
        while self._waiting:
            local = self.local
            if self._running >= (local.concurrency if local is not None else 0) + EXTRA_REQUESTS:
                return
            _, _, admitted = heapq.heappop(self._waiting)
            if admitted.is_finished:
                continue
            now = self._loop.time()
            ends = now + MIN_TIME_FRACTION * self._service_time_of(admitted.forward.route)
            if not self.may_start(now, admitted):
                self.expired += 1
                self._finish(admitted, RequestOutcome.NOT_RUN, FailureCause.NOT_ACCEPTED)
            elif ends >= admitted.deadline:
                self.expired += 1
                self._finish(admitted, RequestOutcome.NOT_RUN, FailureCause.TOO_LITTLE_TIME)
            else:
                self._send(admitted)

    def may_start(self, now: float, admitted: AdmittedRequest) -> bool:
        """Whether what was taken may still go to the backend: it is the same life, and the drain's time is not up."""
        local = admitted.local
        return local is self.local and not local.is_unreachable and now < local.closing_at + 0.8 * self._drain_seconds

    def _send(self, admitted: AdmittedRequest) -> None:
        forward, now = admitted.forward, self._loop.time()
        # Guards against a freeze in the middle of a turn of the loop, whose time stands still meanwhile.
        if monotonic() >= admitted.deadline + GRACE_SECONDS:
            self.expired += 1
            self._finish(admitted, RequestOutcome.NOT_RUN, FailureCause.TOO_LITTLE_TIME)
            return
        check(not admitted.was_offered and not admitted.is_finished, Invariant.OFFERED_ONCE, attempt=forward.attempt_id)
        self._running += 1
        admitted.was_offered, admitted.offered_at = True, now
        exchange = Exchange(
            admitted.local.backend,
            now,
            admitted.deadline + GRACE_SECONDS,
            lambda left: self._encode(forward, left - GRACE_SECONDS),
            lambda exchange, outcome, response: self._exchange_ended(admitted, outcome, response),
            repeatable=forward.is_safe,
            bodyless=forward.method == b"HEAD",
        )
        exchange.echo = forward.attempt_id
        admitted.exchange = exchange
        self._upstream.start(exchange)

    @staticmethod
    def _encode(forward: ForwardRequest, left: float) -> bytes:
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

    def _exchange_ended(self, admitted: AdmittedRequest, outcome: Outcome, response: Response | None) -> None:
        self._running -= 1
        check(self._running >= 0, Invariant.IN_FLIGHT, backend=admitted.local.id)
        if outcome is Outcome.OK and response is not None:
            took = self._loop.time() - admitted.offered_at
            route = admitted.forward.route
            self._average_service_time += (took - self._average_service_time) * (
                SERVICE_TIME_WEIGHT if self._average_service_time else 1.0
            )
            pace = self._service_times.get(route, took)
            self._service_times[route] = pace + (took - pace) * SERVICE_TIME_WEIGHT
            if self._is_valid_response(admitted.forward, response):
                answer = BackendResponse(response.status, response.head, response.body)
                if admitted.forward.key:
                    self._on_completed(admitted.forward, answer)
                self._finish(admitted, RequestOutcome.ANSWERED, FailureCause.NONE, answer)
            else:
                self._finish(admitted, RequestOutcome.INVALID_RESPONSE, FailureCause.INVALID_RESPONSE)
        elif outcome in (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_PROCESSED):
            if outcome is Outcome.UNREACHABLE and not admitted.local.is_unreachable and admitted.local is self.local:
                admitted.local.is_unreachable = True
                self._on_unreachable(admitted.local)
            if outcome is not Outcome.OVERLOADED:
                admitted.was_offered = False
            self._finish(admitted, RequestOutcome.NOT_RUN, NOT_RUN_CAUSES[outcome])
        else:
            self._finish(admitted, RequestOutcome.UNKNOWN, UNKNOWN_CAUSES.get(outcome, FailureCause.INVALID_RESPONSE))
        self._start_waiting()

    @staticmethod
    def _is_valid_response(forward: ForwardRequest, response: Response) -> bool:
        """Whether it is this request's answer, as the backend meant it."""
        names: dict[bytes, bytes] = {}
        for line in response.head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            name = name.lower()
            if name == ATTEMPT_ID_HEADER and name in names:  # Guards against two readings of whose answer it is.
                return False
            names[name] = value.strip(b" \t")
        if names.get(ATTEMPT_ID_HEADER) != forward.attempt_id or b"content-encoding" in names:
            return False
        return response.status // 100 != 2 or b"lugspur-postmark" in names

    def _finish(
        self, admitted: AdmittedRequest, how: RequestOutcome, cause: FailureCause, answer: BackendResponse | None = None
    ) -> None:
        if not admitted.is_finished:
            admitted.is_finished = True
            if cause:
                self.causes[cause] += 1
            admitted.respond(
                ForwardResponse(admitted.forward.number, how, answer, admitted.was_offered, self.busy, cause)
            )
