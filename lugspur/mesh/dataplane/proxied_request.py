"""The life cycle of one request of a caller: key reservation, attempts with retries and hedging, and the response."""

from __future__ import annotations

import asyncio

from lugspur.interfaces import Request, Responder
from lugspur.invariants import Invariant, check
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import Acquired, AlreadyCompleted, ReservationOutcome, TakenByAnother
from lugspur.mesh.dataplane.attempts import Attempt, Attempts
from lugspur.mesh.dataplane.endpoints import Endpoint, select_endpoint
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.interfaces import RequestHost
from lugspur.mesh.dataplane.key_reservation import KeyReservation
from lugspur.mesh.dataplane.rejection import reject
from lugspur.mesh.dataplane.request_headers import encode_headers
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.route_table import RouteEntry
from lugspur.observability.failures import SelectionSummary

MIN_LATENCY_SECONDS = 0.001  # lower bound of a measured latency, since the event loop's clock has a 1 ms resolution
DEADLINE_MARGIN_SECONDS = 0.02  # time after the deadline in which the backend's own response to it may arrive
MAX_REJECTIONS = 4  # backends that may reject one request before it is given up
# A safe request is hedged, i.e. sent to a second backend, after this multiple of its route's average latency, but not
# before HEDGE_TARGET_FRACTION of its latency target has passed.
HEDGE_LATENCY_FACTOR = 3.0
HEDGE_TARGET_FRACTION = 0.6
# Results in metrics and logs. Other failures are counted under the name of their error kind.
CALLER_DISCONNECTED = "gone"
BACKEND_FAILED = "backend-failed"  # the backend responded with a status of 500 or above


class ProxiedRequest:
    """A request that this proxy has accepted and responds to exactly once; times are in event loop time."""

    def __init__(
        self,
        proxy: RequestHost,
        request: Request,
        caller: Responder,
        route: RouteEntry,
        *,
        deadline: float,
        attempt_id: bytes,
        key: bytes,
        was_rejected: bool,
    ) -> None:
        """`was_rejected`: the caller has probably sent this request before, and it was rejected."""
        self.proxy, self.request, self.caller, self.route = proxy, request, caller, route
        self.deadline, self.attempt_id, self.was_rejected = deadline, attempt_id, was_rejected
        self.service = route.draw_service(proxy.rng)
        owner = proxy.reservation_id(attempt_id) if key and route.is_keyed else b""
        self.reservation = KeyReservation(proxy.keys, key if route.is_keyed else b"", owner)
        self.attempts = Attempts()
        self.is_finished = False
        self.last_failure: BackendResponse | None = None  # a backend's own, returned if no attempt succeeds
        self.last_selection: SelectionSummary | None = None  # set if no backend could be selected
        self._header_lines: list[bytes] | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None
        self.unstored_answer: BackendResponse | None = None  # the answer of a keyed request that is being stored

    def start(self) -> None:
        """Send the request to a backend, after reserving its key if it has one."""
        proxy, now = self.proxy, self.proxy.loop.time()
        if now >= self.deadline:
            self._record_failure(ErrorKind.TOO_LATE.value)
            reject(self.caller, ErrorKind.TOO_LATE)
            return
        proxy.request_opened(self)
        proxy.budget(self.service).count_request(now)
        self.caller.on_disconnect = self._caller_disconnected
        self._deadline_timer = proxy.loop.call_at(self.deadline + DEADLINE_MARGIN_SECONDS, self._deadline_passed)
        if self.reservation.key:
            self.reservation.reserve(self.deadline - now, self._reservation_ended)
        else:
            self._send(now)

    def _reservation_ended(self, outcome: ReservationOutcome) -> None:
        self.reservation.receive(outcome)
        if self.is_finished:
            self._release_unrun()
        elif isinstance(outcome, Acquired):
            self._send(self.proxy.loop.time())
        elif isinstance(outcome, AlreadyCompleted):
            self._respond(outcome.response)
        elif isinstance(outcome, TakenByAnother):
            self._reject(ErrorKind.KEY_BUSY if outcome.is_running else ErrorKind.KEY_SPENT)
        else:
            self._reject(ErrorKind.NO_QUORUM)

    # ---- attempts --------------------------------------------------------------------------

    def _select_endpoint(self, now: float) -> Endpoint | None:
        """Select a backend that has not been tried, or set `last_selection` to the reasons and return None."""
        proxy = self.proxy
        known = proxy.services.get(self.service, {})
        untried = [endpoint for ident, endpoint in known.items() if ident not in self.attempts.backend_ids]
        reachable = [endpoint for endpoint in untried if proxy.carrier.is_reachable(endpoint.ip)]
        preferred = [endpoint for endpoint in reachable if now >= endpoint.deprioritised_until]
        # Backends that have just rejected a request come last, but before giving up: asking them costs nothing.
        candidates = preferred or reachable
        body_bytes = len(self.request.body)
        selected = select_endpoint(
            candidates, self.route, zone=proxy.zone, body_bytes=body_bytes, now=now, rng=proxy.rng
        )
        if isinstance(selected, Endpoint):
            return selected
        proxy.count("breaker-refused" if reachable else "none-ready")
        tried, unreachable = len(known) - len(untried), len(untried) - len(reachable)
        self.last_selection = SelectionSummary(
            len(known), tried, unreachable, len(reachable) - len(preferred), selected
        )
        return None

    def _send(self, now: float, is_retry: bool = False) -> bool:
        """Send the request to a backend; return whether one was found.

        If none was found, the request is given up, unless `is_retry`: then the calling method decides.
        """
        endpoint = self._select_endpoint(now)
        if endpoint is None:
            if not is_retry:
                self._give_up()
            return False
        self._check_send()
        attempts = self.attempts
        number = attempts.begin(endpoint, now)
        if attempts.sent_count > 1:
            self.proxy.budget(self.service).count_retry(now)
        is_allowed = attempts.sent_count <= self.route.max_attempts
        check(is_allowed, Invariant.ATTEMPTS_WITHIN_LIMIT, attempt=self.attempt_id, sends=attempts.sent_count)
        forward = self._encode(endpoint, now)
        handle = self.proxy.carrier.carry(endpoint.ip, forward, lambda result: self._receive_result(number, result))
        attempt = attempts.in_flight.get(number)
        if attempt is not None:  # None if its result has already arrived
            attempt.handle = handle
            self._schedule_hedge(now)
        return True

    def _check_send(self) -> None:
        """Check the invariants that must hold before a request is sent to a backend."""
        attempts = self.attempts
        is_unrun = not (attempts.may_have_run or attempts.in_flight or self.last_failure is not None)
        holds_key = not self.reservation.key or self.reservation.is_held
        check(not self.is_finished, Invariant.SENT_WHILE_OPEN, attempt=self.attempt_id)
        check(self.route.is_safe or is_unrun, Invariant.RUN_ONCE, attempt=self.attempt_id, route=self.route.name)
        check(holds_key, Invariant.RESERVATION_GRANTED, attempt=self.attempt_id)

    def _encode(self, endpoint: Endpoint, now: float) -> ForwardRequest:
        request, route = self.request, self.route
        if self._header_lines is None:
            self._header_lines = encode_headers(request, self.proxy.sender)
        return ForwardRequest(
            0,
            endpoint.id,
            request.method,
            request.target,
            self._header_lines,
            request.body,
            self.deadline - now,
            request.arrived + route.latency_target - now,
            self.attempt_id,
            route.priority,
            route.is_safe,
            route.name,
            self.reservation.key,
            self.reservation.owner,
            self.was_rejected,
        )

    def _schedule_hedge(self, now: float) -> None:
        """Set the timer for hedging a safe request, i.e. sending it to a second backend if the first one is slow.

        Source: Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013.
        """
        route, latency = self.route, self.route.average_latency
        if not route.is_safe or not latency or self._hedge_timer is not None:
            return
        hedge_at = now + max(HEDGE_LATENCY_FACTOR * latency, HEDGE_TARGET_FRACTION * route.latency_target)
        if self.attempts.sent_count < route.max_attempts and hedge_at + latency < self.deadline:
            self._hedge_timer = self.proxy.loop.call_at(hedge_at, self._send_hedge)

    def _send_hedge(self) -> None:
        now = self.proxy.loop.time()
        if self.is_finished or len(self.attempts.in_flight) != 1 or self.attempts.sent_count >= self.route.max_attempts:
            return  # A retry may have been sent since the timer was set.
        if self.proxy.budget(self.service).allows_retry(now):
            self._send(now, is_retry=True)

    def _retry(self, now: float) -> bool:
        """Retry the request if no attempt is in flight and a retry is allowed; return whether the request goes on."""
        attempts = self.attempts
        if attempts.in_flight:
            return True
        if (attempts.may_have_run or self.last_failure is not None) and not self.route.is_safe:
            return False
        if attempts.rejections >= MAX_REJECTIONS or now >= self.deadline:
            return False
        if attempts.sent_count >= self.route.max_attempts:
            return False
        if attempts.sent_count and not self.proxy.budget(self.service).allows_retry(now):
            return False
        return self._send(now, is_retry=True)

    # ---- results ---------------------------------------------------------------------------

    def _receive_result(self, number: int, result: ForwardResponse) -> None:
        attempt = self.attempts.end(number)
        if attempt is None:
            self._receive_late_proof(result)
            return
        now, endpoint = self.proxy.loop.time(), attempt.endpoint
        self.attempts.record(attempt, now, self.request.arrived, result)
        check(endpoint.in_flight >= 0, Invariant.IN_FLIGHT_NOT_NEGATIVE, backend=endpoint.id)
        if result.outcome == RequestOutcome.ANSWERED and result.response is not None:
            self._receive_response(now, attempt, result.response, result.is_stored)
            return
        if result.outcome == RequestOutcome.NOT_RUN:
            self._receive_rejection(now, endpoint, result)
        else:
            endpoint.record_failure(now, self.route.name)
            self.attempts.may_have_run = True
        if self.is_finished:
            self._release_unrun()
        elif not self._retry(now):
            self._respond_with_failure()

    def _receive_response(self, now: float, attempt: Attempt, response: BackendResponse, is_stored: bool) -> None:
        route = self.route
        self.attempts.has_run = True
        if response.status < 500:
            # The lower bound prevents a division by a zero average on the first response of a route.
            attempt.endpoint.record_success(now, route, max(MIN_LATENCY_SECONDS, now - attempt.sent_at))
        else:
            attempt.endpoint.record_failure(now, route.name)
        if self.reservation.key and not is_stored:
            self._store_answer(now, response)
            return
        if self.is_finished:
            return
        if response.status < 500 or not route.is_safe:
            self._respond(response)
            return
        self.last_failure = response
        if not self._retry(now):
            self._respond_with_failure()

    def _store_answer(self, now: float, response: BackendResponse) -> None:
        """Store the answer of a keyed operation, and return it to the caller once it is stored or its time is up.

        The proxy beside the backend could not store it. A repeat would be rejected although its operation was answered.
        """
        if not self.is_finished:
            self.unstored_answer = response
        self.reservation.store_answer(response, self.deadline - now, self._answer_stored)

    def _answer_stored(self, is_stored: bool) -> None:
        response = self.unstored_answer
        if response is not None and not self.is_finished:
            self._respond(response)

    def _receive_rejection(self, now: float, endpoint: Endpoint, result: ForwardResponse) -> None:
        self.attempts.rejections += 1
        if not result.was_sent:
            self.attempts.sent_count -= 1  # the request did not reach the backend
        if result.cause != FailureCause.CANCELLED:  # a withdrawn request says nothing about its backend
            endpoint.record_rejection(now, self.route.name, self.proxy.rng)

    def _receive_late_proof(self, result: ForwardResponse) -> None:
        """Handle a late result that may prove that an attempt on a lost connection has not run and never will."""
        if result.outcome != RequestOutcome.NOT_RUN or not self.is_finished or self.route.is_safe:
            return
        if not self.attempts.in_flight and not self.attempts.has_run:
            # An unsafe request is retried only if no earlier attempt may have run, so no other attempt can have run.
            self.attempts.may_have_run = False
            self._release_unrun()

    # ---- the response ----------------------------------------------------------------------

    def _respond(self, response: BackendResponse) -> None:
        """Return a backend's response to the caller."""
        self._finish()
        if response.status < 500:
            self.proxy.request_served(self.proxy.loop.time() - self.request.arrived)
        else:
            self._record_failure(BACKEND_FAILED)
        self.caller.respond(response.status, response.head, response.body)

    def _respond_with_failure(self) -> None:
        """Return the backend's own failure to the caller if there was one, else give the request up."""
        if self.last_failure is not None:
            self._respond(self.last_failure)
        else:
            self._give_up()

    def _give_up(self) -> None:
        """Reject the request, with an error that says whether it may have run."""
        self._reject(ErrorKind.MAYBE_RAN if self.attempts.may_have_run else ErrorKind.NO_BACKEND)

    def _reject(self, kind: ErrorKind) -> None:
        self._record_failure(kind.value)
        self._finish()
        reject(self.caller, kind, self.deadline - self.proxy.loop.time())

    def _deadline_passed(self) -> None:
        if not self.is_finished and not self._returns_unstored():
            self._reject(ErrorKind.TOO_LATE)

    def _caller_disconnected(self) -> None:
        if not self.is_finished:
            self._record_failure(CALLER_DISCONNECTED)
            self._finish()

    def abort(self) -> None:
        """Respond to the caller now, even if attempts are in flight, because this process is shutting down.

        Otherwise the connection would be closed without a response.
        """
        if not self.is_finished and not self._returns_unstored():
            self._reject(ErrorKind.MAYBE_RAN if self.attempts.can_have_run else ErrorKind.LEAVING)

    def _returns_unstored(self) -> bool:
        """Return the answer that is being stored to the caller now, if there is one."""
        self._answer_stored(False)
        return self.is_finished

    def _finish(self) -> None:
        """Mark the request as finished, and release its timers, its reservation and the attempts that may be ended."""
        check(not self.is_finished, Invariant.ONE_ANSWER, attempt=self.attempt_id)
        self.is_finished = True
        self.unstored_answer = None
        self.request.body = b""  # no further attempt needs it, but a proof of what ran may be awaited for long
        self.proxy.request_closed(self)
        for timer in (self._deadline_timer, self._hedge_timer):
            if timer is not None:
                timer.cancel()
        self.reservation.abandon()
        self._release_unrun()
        for attempt in list(self.attempts.in_flight.values()):
            if self.route.is_safe:
                attempt.handle.cancel()
            elif not self.reservation.key:  # the response of a keyed request is stored for repeats
                attempt.handle.withdraw()

    def _release_unrun(self) -> None:
        """Release the key once the request is finished and it is proven that nothing ran.

        Otherwise an operation that never ran would be rejected until its deduplication window ends. The proof may also
        arrive after the caller has disconnected or the deadline has passed.
        """
        if self.reservation.is_held and not self.attempts.can_have_run:
            check(self.is_finished, Invariant.RELEASED_ONLY_UNRUN, attempt=self.attempt_id)
            self.reservation.release()

    def _record_failure(self, result: str) -> None:
        """Count the failed request and add it to the failure log."""
        route, request, attempts = self.route, self.request, self.attempts
        self.proxy.request_failed(
            self.attempt_id,
            result,
            route=route.name,
            service=self.service,
            keyed=bool(self.reservation.key),
            claim=self.reservation.label,
            took_s=self.proxy.loop.time() - request.arrived,
            had_s=self.deadline - request.arrived,
            sends=attempts.sent_count,
            turned_away=attempts.rejections,
            waited_for=tuple(attempt.endpoint.id for attempt in attempts.in_flight.values()),
            edition=route.edition,
            steps=tuple(attempts.records),
            pick=self.last_selection,
        )
