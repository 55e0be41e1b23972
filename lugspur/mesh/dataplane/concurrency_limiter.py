"""The concurrency limiter of the local backend, with a bounded priority queue and load shedding.

All requests for the backend of this machine go through one limiter. It runs as many at once as the backend declares in
its heartbeats, queues a few of the most urgent others, and immediately rejects those whose response would be too late:
a long queue in which every request is late achieves no more throughput than a short one.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial
from time import monotonic

from lugspur.http1.upstream import Exchange, Upstream
from lugspur.interfaces import Response
from lugspur.invariants import Invariant, check
from lugspur.load_balancing.model import Outcome
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.dataplane import backend_exchange
from lugspur.mesh.dataplane.admitted_request import AdmissionQueue, AdmittedRequest
from lugspur.mesh.dataplane.backend_exchange import (
    NOT_DELIVERED_HEADER,
    NOT_RUN_CAUSES,
    UNKNOWN_CAUSES,
    classify_response,
    encode_request,
)
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.request_headers import ATTEMPT_ID_HEADER
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.service_times import ServiceTimes
from lugspur.mesh.dataplane.urgency import urgency_of
from lugspur.routing.shares import SharedLimit

# A closing backend still gets new requests while the update about its closing reaches all proxies. That time is
# this fraction of the drain time, and at most MAX_CLOSING_ACCEPT_SECONDS.
CLOSING_ACCEPT_FRACTION = 0.25
MAX_CLOSING_ACCEPT_SECONDS = 0.4
DRAIN_START_FRACTION = 0.8  # fraction of the drain time during which queued requests may still be started
EXTRA_REQUESTS = 1  # requests sent to the backend beyond its concurrency, so that the next one is there when one ends
MAX_QUEUE_FACTOR = 2  # maximum queue length, as a multiple of the backend's concurrency
# Maximum queueing time of a request, as a fraction of its latency target minus its service time.
MAX_WAIT_FRACTION = 0.6
MAX_WAIT_FRACTION_OF_RETRIES = 1.0  # the same for a request that was rejected before: another rejection would lose it
# Maximum queueing time of a short request, as a fraction of its deadline minus its service time: its caller may be a
# request that occupies another backend meanwhile.
MAX_WAIT_FRACTION_OF_SHORT = 0.5
# A request is short if its service time is at most this fraction of that of the slowest route. Such a request is cheap,
# and is often a nested call that another request waits for.
SHORT_FRACTION = 0.5
MIN_TIME_FRACTION = 0.3  # a request is started only if at least this fraction of its service time is left
GRACE_SECONDS = 0.03  # time after the deadline in which the backend's own response to the missed deadline may arrive
CONNECT_TIMEOUT_SECONDS = 0.5  # short, since the backend is on this machine
BACKEND_IDLE_TIMEOUT_SECONDS = 20.0  # idle time after which the backend is assumed to close a connection
MAX_IDLE_CONNECTIONS = 64
MAX_COPIED_BODY_BYTES = 16 << 10  # a body up to this size is sent in one piece with its head
# Divisors of the process's memory: limits for all incomplete responses of the backend together, and for a single one.
ALL_RESPONSES_MEMORY_DIVISOR = 4
ONE_RESPONSE_MEMORY_DIVISOR = 8


class ConcurrencyLimiter:
    """Admits requests to the backend of this machine (`local_backend`), and replies to each exactly once."""

    def __init__(
        self,
        *,
        memory_bytes: int,
        max_connections: int,
        drain_seconds: float,
        on_completed: Callable[[ForwardRequest, BackendResponse, Callable[[bool], None]], None],
        on_unreachable: Callable[[LocalBackend], None],
    ) -> None:
        """Create a limiter without a backend.

        `memory_bytes`: memory limit of the process; `max_connections`: maximum number of connections to the backend;
        `drain_seconds`: time that a closing backend has to drain. `on_completed` is called with each response to a
        request that has an idempotency key, and calls its last argument with whether the response is stored for
        repeats; `on_unreachable` is called when the backend accepts no connection.
        """
        self._loop = asyncio.get_running_loop()
        self._drain_seconds = drain_seconds
        self._on_completed, self._on_unreachable = on_completed, on_unreachable
        self.local_backend: LocalBackend | None = None
        self.is_shutting_down = False  # while this process shuts down, new requests are rejected
        self._upstream = Upstream(
            SharedLimit(max_connections, {}),
            name="",
            conn_idle=BACKEND_IDLE_TIMEOUT_SECONDS,
            dial_timeout=CONNECT_TIMEOUT_SECONDS,
            max_buffered_bytes=memory_bytes // ALL_RESPONSES_MEMORY_DIVISOR,
            max_response_body=memory_bytes // ONE_RESPONSE_MEMORY_DIVISOR,
            classify=classify_response,
            not_processed_header=NOT_DELIVERED_HEADER,
            request_id_header=ATTEMPT_ID_HEADER,
            max_idle_per_backend=MAX_IDLE_CONNECTIONS,
        )
        self._queue = AdmissionQueue()
        self._running = 0
        self.storing = 0  # requests whose responses are being stored for repeats
        self.service_times = ServiceTimes()  # measured from the time at which a request is sent to the backend
        self.rejected = 0  # requests rejected for lack of capacity
        self.evicted = 0  # requests evicted from the queue by more urgent ones
        self.expired = 0  # requests that could no longer be started when they reached the head of the queue
        self.causes: Counter[FailureCause] = Counter()  # of all requests that ended without a response of the backend

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are running or queued."""
        return self._running + len(self._queue)

    # ---- admission ---------------------------------------------------------------------------------

    def submit(self, forward: ForwardRequest, respond: Callable[[ForwardResponse], None]) -> AdmittedRequest | None:
        """Run or queue a request; `respond` is called once. Returns None if the request is rejected immediately."""
        now = self._loop.time()
        local = self.local_backend
        cause = self._rejection_cause(now, forward)
        if local is None or cause:
            respond(self.reject(forward.number, cause))
            return None
        request = AdmittedRequest(forward, local, now, respond)
        if self._running < local.concurrency + EXTRA_REQUESTS:
            self._start(request)
            return request
        if len(self._queue) >= MAX_QUEUE_FACTOR * local.concurrency:
            self._evict_least_urgent()
        self._queue.push(now, request)
        return request

    def _rejection_cause(self, now: float, forward: ForwardRequest) -> FailureCause:
        # The request or its body was delayed in transit until its caller had given it up.
        if forward.seconds_left <= 0.0:
            return FailureCause.EXPIRED
        if self.local_backend is None or not self.accepts(now, forward.backend):
            return FailureCause.NOT_ACCEPTED
        if not self._would_be_in_time(self.local_backend, forward):
            return FailureCause.QUEUE_FULL
        return FailureCause.NONE

    def reject(self, number: int, cause: FailureCause) -> ForwardResponse:
        """Count a rejected request and return the reply that reports it."""
        self.causes[cause] += 1
        return ForwardResponse(number, RequestOutcome.NOT_RUN, None, False, self.in_flight, cause)

    def accepts(self, now: float, backend: str) -> bool:
        """Whether new requests for this incarnation of the backend are accepted."""
        local = self.local_backend
        if local is None or local.id != backend or self.is_shutting_down or local.is_unreachable:
            return False
        grace = min(MAX_CLOSING_ACCEPT_SECONDS, CLOSING_ACCEPT_FRACTION * self._drain_seconds)
        return now <= local.closing_at + grace

    def has_capacity(self, forward: ForwardRequest) -> bool:
        """Whether a request would be admitted now; counts it as rejected if capacity is lacking."""
        local, now = self.local_backend, self._loop.time()
        return local is not None and self.accepts(now, forward.backend) and self._would_be_in_time(local, forward)

    def _would_be_in_time(self, local: LocalBackend, forward: ForwardRequest) -> bool:
        """Whether a request would be started early enough for its response to be of use; counts it as rejected if not.

        Prevents a queue in which every request waits until it is late: it would serve none in time, and achieve no
        more throughput than no queue at all.
        """
        if self._running < local.concurrency + EXTRA_REQUESTS:
            return True
        expected = self.service_times.expected
        ahead = self._queue.routes_ahead_of(urgency_of(self._loop.time(), forward))
        wait = (sum(map(expected, ahead)) + self.service_times.average) / max(1, local.concurrency)
        if len(ahead) < MAX_QUEUE_FACTOR * local.concurrency and self._may_wait(forward, wait):
            return True
        self.rejected += 1
        return False

    def _may_wait(self, forward: ForwardRequest, wait: float) -> bool:
        """Whether a request can afford to wait for `wait` seconds."""
        own_time = self.service_times.expected(forward.route)
        fraction = MAX_WAIT_FRACTION_OF_RETRIES if forward.was_rejected else MAX_WAIT_FRACTION
        if wait <= fraction * (forward.latency_target_left - own_time):
            return True
        is_short = own_time <= SHORT_FRACTION * self.service_times.longest()
        return is_short and wait <= MAX_WAIT_FRACTION_OF_SHORT * (forward.seconds_left - own_time)

    def _evict_least_urgent(self) -> None:
        self.evicted += 1
        self._finish(self._queue.pop_least_urgent(), RequestOutcome.NOT_RUN, FailureCause.EVICTED)

    # ---- cancellation ------------------------------------------------------------------------------

    def cancel(self, request: AdmittedRequest) -> None:
        """Cancel a request whose caller no longer waits, also at the backend."""
        if request.is_finished:
            return
        if request.exchange is not None:
            request.exchange.end(Outcome.CANCELLED)
        else:
            self._queue.remove(request)
            self._finish(request, RequestOutcome.UNKNOWN, FailureCause.CANCELLED)

    def withdraw(self, request: AdmittedRequest) -> None:
        """Prevent a request whose caller no longer waits from being started; a request that is running goes on.

        Keeps useless requests, which can't be cancelled once they have started, away from the backend.
        """
        if not request.is_finished and request.exchange is None:
            self._queue.remove(request)
            self._finish(request, RequestOutcome.NOT_RUN, FailureCause.CANCELLED)

    # ---- the backend -------------------------------------------------------------------------------

    def _start_queued(self) -> None:
        """Start queued requests, the most urgent first, while the backend has capacity."""
        while len(self._queue):
            concurrency = 0 if self.local_backend is None else self.local_backend.concurrency
            if self._running >= concurrency + EXTRA_REQUESTS:
                return
            self._start_or_expire(self._queue.pop())

    def _start_or_expire(self, request: AdmittedRequest) -> None:
        now = self._loop.time()
        min_time_left = MIN_TIME_FRACTION * self.service_times.expected(request.forward.route)
        if not self.may_start(now, request):
            self._expire(request, FailureCause.NOT_ACCEPTED)
        elif now + min_time_left >= request.deadline:
            self._expire(request, FailureCause.TOO_LITTLE_TIME)
        else:
            self._start(request)

    def _expire(self, request: AdmittedRequest, cause: FailureCause) -> None:
        self.expired += 1
        self._finish(request, RequestOutcome.NOT_RUN, cause)

    def may_start(self, now: float, request: AdmittedRequest) -> bool:
        """Whether an admitted request may still be sent to the backend.

        The backend must still be the same incarnation, and its drain must not be almost over.
        """
        local = request.local_backend
        if local is not self.local_backend or local.is_unreachable:
            return False
        return now < local.closing_at + DRAIN_START_FRACTION * self._drain_seconds

    def _start(self, request: AdmittedRequest) -> None:
        """Send a request to the backend."""
        forward, now = request.forward, self._loop.time()
        # The event loop's time is fixed during one iteration, so a freeze within it shows in the monotonic clock only.
        if monotonic() >= request.deadline + GRACE_SECONDS:
            self._expire(request, FailureCause.TOO_LITTLE_TIME)
            return
        is_first = not request.was_sent and not request.is_finished
        check(is_first, Invariant.OFFERED_ONCE, attempt=forward.attempt_id)
        self._running += 1
        request.was_sent, request.sent_at = True, now
        payload = b""
        if len(forward.body) > MAX_COPIED_BODY_BYTES:
            # The body is referenced by the exchange alone, which drops it once the backend has received it.
            payload, forward.body = forward.body, b""
        payload_bytes = len(payload)
        exchange = Exchange(
            request.local_backend.backend,
            now,
            request.deadline + GRACE_SECONDS,
            lambda seconds_left: encode_request(forward, seconds_left - GRACE_SECONDS, payload_bytes),
            lambda exchange, outcome, response: self._exchange_finished(request, outcome, response),
            repeatable=forward.is_safe,
            is_head_request=forward.method == b"HEAD",
        )
        exchange.expected_id, exchange.payload = forward.attempt_id, payload
        del payload
        request.exchange = exchange
        self._upstream.start(exchange)

    def _exchange_finished(self, request: AdmittedRequest, outcome: Outcome, response: Response | None) -> None:
        self._running -= 1
        check(self._running >= 0, Invariant.IN_FLIGHT_NOT_NEGATIVE, backend=request.local_backend.id)
        if outcome is Outcome.OK and response is not None:
            self._response_received(request, response)
        elif outcome in NOT_RUN_CAUSES:
            self._request_not_run(request, outcome)
        else:
            cause = UNKNOWN_CAUSES.get(outcome, FailureCause.INVALID_RESPONSE)
            self._finish(request, RequestOutcome.UNKNOWN, cause)
        self._start_queued()

    def _response_received(self, request: AdmittedRequest, response: Response) -> None:
        forward = request.forward
        self.service_times.record(forward.route, self._loop.time() - request.sent_at)
        if not backend_exchange.is_valid_response(forward, response):
            self._finish(request, RequestOutcome.INVALID_RESPONSE, FailureCause.INVALID_RESPONSE)
            return
        backend_response = BackendResponse(response.status, response.head, response.body)
        if forward.key:
            self.storing += 1
            self._on_completed(forward, backend_response, partial(self._answer_stored, request, backend_response))
        else:
            self._finish(request, RequestOutcome.ANSWERED, FailureCause.NONE, backend_response)

    def _answer_stored(self, request: AdmittedRequest, response: BackendResponse, is_stored: bool) -> None:
        """Reply with the answer of a keyed request, after the attempt to store it for repeats."""
        self.storing -= 1
        self._finish(request, RequestOutcome.ANSWERED, FailureCause.NONE, response, is_stored)

    def _request_not_run(self, request: AdmittedRequest, outcome: Outcome) -> None:
        local = request.local_backend
        if outcome is Outcome.UNREACHABLE and not local.is_unreachable and local is self.local_backend:
            local.is_unreachable = True
            self._on_unreachable(local)
        if outcome is not Outcome.OVERLOADED:
            request.was_sent = False
        self._finish(request, RequestOutcome.NOT_RUN, NOT_RUN_CAUSES[outcome])

    def _finish(
        self,
        request: AdmittedRequest,
        outcome: RequestOutcome,
        cause: FailureCause,
        response: BackendResponse | None = None,
        is_stored: bool = False,
    ) -> None:
        """Reply to a request, unless it has already been replied to."""
        if request.is_finished:
            return
        request.is_finished = True
        request.exchange, request.forward.body = None, b""
        if cause:
            self.causes[cause] += 1
        request.respond(
            ForwardResponse(
                request.forward.number, outcome, response, request.was_sent, self.in_flight, cause, is_stored
            )
        )
