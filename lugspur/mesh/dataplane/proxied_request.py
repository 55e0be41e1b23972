"""One request of a caller: from its claim, where it has a key, over the backends it is sent to, to its one answer."""

from __future__ import annotations

import asyncio

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.errors import Kind
from lugspur.mesh.control.messages import BackendResponse, ForwardRequest, ForwardResponse
from lugspur.mesh.control.reservation_client import (
    Acquired,
    AlreadyCompleted,
    ReservationOutcome,
    TakenByAnother,
    Undecided,
)
from lugspur.mesh.dataplane.endpoints import Endpoint, select_endpoint
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.interfaces import RequestHost, SentRequest
from lugspur.mesh.dataplane.rejection import reject
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.mesh.dataplane.route_table import RouteEntry
from lugspur.observability.failures import PickView, Step
from lugspur.seams import Answerable, Request

DELIVER_BY_HEADER = b"lugspur-deliver-by-ms"
OWN_HEADERS = (b"lugspur-sender", b"lugspur-deliver-to", DELIVER_BY_HEADER)  # set anew here, whatever was sent
REWRITTEN_HEADERS = (
    b"host",
    b"x-request-id",
    b"x-forwarded-for",
    b"x-forwarded-proto",
)  # kept out of the lines by the reader
MIN_LATENCY_SECONDS = 0.001  # seconds that an answer takes at least
LATENCY_WEIGHT = 1 / 32  # of one answer in a route's pace
MAX_RESERVATION_SECONDS = 0.6  # seconds for a claim, and at most a third of the time that is left
DEADLINE_MARGIN_SECONDS = 0.02  # seconds for which the backend's word at the deadline is waited for
DEPRIORITISE_SECONDS = (
    0.04  # seconds for which a backend that turned a request away is passed over, drawn from half to one and a half
)
MAX_REJECTIONS = 4  # backends that may turn one request away before it is given up
HEDGE_LATENCY_FACTOR = 3.0  # times a route's pace after which a safe request is sent to a second backend...
HEDGE_TARGET_FRACTION = 0.6  # ...and not before this part of its aim
CALLER_DISCONNECTED = "gone"  # how a request ends whose caller has left
BACKEND_FAILED = "backend-failed"  # ...and one whose backend answered with a failure of its own
#: How a claim ended, as accounts of failed requests say it.
RESERVATION_LABELS: dict[type[ReservationOutcome], str] = {
    Acquired: "won",
    AlreadyCompleted: "known",
    TakenByAnother: "taken",
    Undecided: "unsettled",
}
FAILURE_LATENCY = 3.0  # how much a failure counts as, in usual latencies: a backend that fails fast must not look quick


class ProxiedRequest:
    """One request."""

    def __init__(
        self,
        proxy: RequestHost,
        request: Request,
        caller: Answerable,
        route: RouteEntry,
        deadline: float,
        attempt: bytes,
        key: bytes,
        back: bool,
    ) -> None:
        self.proxy, self.request, self.caller, self.route = proxy, request, caller, route
        self.deadline, self.attempt, self.was_rejected = deadline, attempt, back
        self.key = key if route.is_keyed else b""
        self.reservation_id = proxy.reservation_id(attempt) if self.key else b""
        self.service = route.draw_service(proxy.rng)
        self.attempts = 0  # backends that it was offered to, or may have been
        self.rejections = 0  # gates that turned it away
        self.tried: set[str] = set()
        self.in_flight: dict[int, tuple[Endpoint, float, SentRequest]] = {}  # what is under way
        self.is_finished = False
        self.may_have_run = False  # it may have run
        self.has_run = False  # a backend has answered it
        self.holds_key = False  # it has a claim on its key, which is to be given back if nothing ran
        self.number = 0
        self.reservation_label = ""  # how its claim was settled
        self.steps: list[Step] = []  # what became of each send, for an account of its failure
        self.last_failure: BackendResponse | None = (
            None  # a failure of the backend's own, to be passed on where nothing better comes
        )
        self.last_selection: PickView | None = None  # where it found no backend
        self._header_lines: list[bytes] | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Set off."""
        proxy, loop = self.proxy, self.proxy.loop
        now = loop.time()
        if now >= self.deadline:
            self._record_failure(Kind.TOO_LATE.value)
            reject(self.caller, Kind.TOO_LATE)
            return
        proxy.request_opened(self)
        proxy.budget(self.service).take(now)
        self.caller.gone = self._caller_disconnected
        self._deadline_timer = loop.call_at(self.deadline + DEADLINE_MARGIN_SECONDS, self._deadline_passed)
        if self.key:
            left = self.deadline - now
            proxy.keys.claim(
                self.key, self.reservation_id, left, min(MAX_RESERVATION_SECONDS, left / 3.0), self._reservation_ended
            )
        else:
            self._send(now)

    def _reservation_ended(self, how: ReservationOutcome) -> None:
        self.reservation_label = RESERVATION_LABELS[type(how)]
        self.holds_key = isinstance(how, Acquired)
        if self.is_finished:
            self._release_unrun()
        elif self.holds_key:
            self._send(self.proxy.loop.time())
        elif isinstance(how, AlreadyCompleted):
            self._answer(how.response)
        elif isinstance(how, TakenByAnother):
            self._reject(Kind.KEY_BUSY if how.is_running else Kind.KEY_SPENT)
        else:
            self._reject(Kind.NO_QUORUM)

    # ---- the pick ------------------------------------------------------------------------

    def _pick(self, now: float) -> Endpoint | None:
        proxy = self.proxy
        known = proxy.services.get(self.service, {})
        untried = [endpoint for ident, endpoint in known.items() if ident not in self.tried]
        reached = [endpoint for endpoint in untried if proxy.carrier.ready(endpoint.ip)]
        rested = [endpoint for endpoint in reached if now >= endpoint.deprioritised_until]
        # Those that have just turned one away come last, but before a refusal: asking a gate costs no backend anything.
        found = select_endpoint(rested or reached, self.route, proxy.zone, len(self.request.body), now, proxy.rng)
        if isinstance(found, Endpoint):
            return found
        proxy.count("breaker-refused" if reached else "none-ready")
        tried, unreachable = len(known) - len(untried), len(untried) - len(reached)
        self.last_selection = PickView(len(known), tried, unreachable, len(reached) - len(rested), found)
        return None

    def _send(self, now: float, again: bool = False) -> bool:
        """Send it to a backend, or give it up; `again`: what is under way may still bring the answer."""
        endpoint = self._pick(now)
        if endpoint is None:
            if not again:
                self._give_up()
            return False
        self._check_send()
        self.tried.add(endpoint.id)
        self.number += 1
        number = self.number
        route, request = self.route, self.request
        if self._header_lines is None:
            self._header_lines = self._encode_headers()
        forward = ForwardRequest(
            0,
            endpoint.id,
            request.method,
            request.target,
            self._header_lines,
            request.body,
            self.deadline - now,
            request.arrived + route.latency_target - now,
            self.attempt,
            route.priority,
            route.is_safe,
            route.name,
            self.key,
            self.reservation_id,
            self.was_rejected,
        )
        endpoint.in_flight += 1
        self.attempts += 1
        if self.attempts > 1:
            self.proxy.budget(self.service).spend(now)
        check(self.attempts <= self.route.max_attempts, Invariant.TRIES, attempt=self.attempt, sends=self.attempts)
        self.in_flight[number] = (endpoint, now, NOT_SENT)
        carried = self.proxy.carrier.carry(endpoint.ip, forward, lambda reply: self._receive_result(number, reply))
        if number in self.in_flight:
            self.in_flight[number] = (endpoint, now, carried)
            if (
                route.is_safe
                and route.average_latency
                and self._hedge_timer is None
                and self.attempts < route.max_attempts
            ):
                at = now + max(
                    HEDGE_LATENCY_FACTOR * route.average_latency, HEDGE_TARGET_FRACTION * route.latency_target
                )
                if at + route.average_latency < self.deadline:
                    self._hedge_timer = self.proxy.loop.call_at(at, self._send_hedge)
        return True

    def _check_send(self) -> None:
        """What must hold before it is sent to a backend."""
        unrun = not (self.may_have_run or self.in_flight or self.last_failure is not None)
        check(not self.is_finished, Invariant.SENT_WHILE_OPEN, attempt=self.attempt)
        check(self.route.is_safe or unrun, Invariant.RUN_ONCE, attempt=self.attempt, route=self.route.name)
        check(not self.key or self.holds_key, Invariant.CLAIM_WON, attempt=self.attempt)

    def _send_hedge(self) -> None:
        """A safe request has been out for long: its answer may be lost."""
        now = self.proxy.loop.time()
        if self.is_finished or len(self.in_flight) != 1 or self.attempts >= self.route.max_attempts:
            return  # a further try may have been sent since the hedge was set
        if self.proxy.budget(self.service).allows(now):
            self._send(now, True)

    def _encode_headers(self) -> list[bytes]:
        request = self.request
        lines = [line for line in request.lines if line.partition(b":")[0].lower() not in OWN_HEADERS]
        for name in REWRITTEN_HEADERS:
            value = request.headers.get(name)
            if value is not None:
                lines.append(b"%b: %b\r\n" % (name.title(), value))
        lines.append(b"Lugspur-Sender: %b\r\n" % self.proxy.sender.encode())
        return lines

    # ---- how it ends -----------------------------------------------------------------------

    def _receive_result(self, number: int, reply: ForwardResponse) -> None:
        if number not in self.in_flight:
            self._receive_late_proof(reply)
            return
        endpoint, since, _ = self.in_flight.pop(number)
        endpoint.in_flight -= 1
        self._record_attempt(endpoint, since, reply)
        check(endpoint.in_flight >= 0, Invariant.IN_FLIGHT, backend=endpoint.id)
        loop = self.proxy.loop
        now = loop.time()
        # Guards the first answer on a route against a division by nothing: the loop counts whole milliseconds.
        took, route = max(MIN_LATENCY_SECONDS, now - since), self.route
        how = reply.outcome
        if how == RequestOutcome.ANSWERED and reply.response is not None:
            self.has_run = True
            if reply.response.status < 500:
                route.average_latency += (took - route.average_latency) * (
                    LATENCY_WEIGHT if route.average_latency else 1.0
                )
                relative = took / route.average_latency
                breaker = endpoint.breaker(route.name)
                breaker.accepted(now)
                breaker.sample(relative)
                endpoint.record_latency(relative)
            else:
                self._endpoint_failed(now, endpoint)
            if self.is_finished:
                return
            if reply.response.status >= 500 and route.is_safe:
                self.last_failure = reply.response
                if not self._retry(now):
                    self._answer_failure()
                return
            self._answer(reply.response)
            return
        if how == RequestOutcome.NOT_RUN:
            self.rejections += 1
            if not reply.was_sent:
                self.attempts -= 1  # no backend was offered it
            if reply.cause != FailureCause.CANCELLED:  # what was withdrawn says nothing of its backend
                endpoint.breaker(route.name).failed(now)
                endpoint.deprioritised_until = now + DEPRIORITISE_SECONDS * (0.5 + self.proxy.rng.random())
        else:
            self._endpoint_failed(now, endpoint)
            self.may_have_run = True
        if self.is_finished:
            self._release_unrun()
            return
        if not self._retry(now):
            self._answer_failure()

    def _receive_late_proof(self, reply: ForwardResponse) -> None:
        """Word on a send whose connection was lost: what may have run has not, and never will."""
        if (
            reply.outcome == RequestOutcome.NOT_RUN
            and self.is_finished
            and not (self.in_flight or self.has_run or self.route.is_safe)
        ):
            self.may_have_run = (
                False  # what is not safe is sent again only once nothing may have run: this was its only send
            )
            self._release_unrun()

    def _record_attempt(self, endpoint: Endpoint, since: float, reply: ForwardResponse) -> None:
        """Keep what became of one send."""
        now, arrived = self.proxy.loop.time(), self.request.arrived
        cause = FailureCause(reply.cause).label if reply.cause else ""
        self.steps.append(Step(endpoint.id, since - arrived, now - since, RequestOutcome(reply.outcome).label, cause))

    def _endpoint_failed(self, now: float, endpoint: Endpoint) -> None:
        endpoint.breaker(self.route.name).failed(now)
        endpoint.record_latency(FAILURE_LATENCY)

    def _retry(self, now: float) -> bool:
        """Whether it goes on: something is under way, or another backend may have it."""
        if self.in_flight:
            return True
        if (self.may_have_run or self.last_failure is not None) and not self.route.is_safe:
            return False
        if self.rejections >= MAX_REJECTIONS or now >= self.deadline or self.attempts >= self.route.max_attempts:
            return False
        if self.attempts and not self.proxy.budget(self.service).allows(now):
            return False
        return self._send(now, True)

    def _answer_failure(self) -> None:
        if self.last_failure is not None:
            self._answer(self.last_failure)
        else:
            self._give_up()

    def _give_up(self) -> None:
        """Nobody will run it: refused where that is proven, else failed."""
        if self.may_have_run and not self.route.is_safe:
            self._reject(Kind.MAYBE_RAN)
            return
        self._reject(Kind.MAYBE_RAN if self.may_have_run else Kind.NO_BACKEND)

    def _deadline_passed(self) -> None:
        if not self.is_finished:
            self._reject(Kind.TOO_LATE)

    def _release_unrun(self) -> None:
        """Give the claim back once the request is over, nothing of it is under way, and nothing ran.

        Guards an operation that never ran against being refused until its window ends, also where the proof comes
        after its caller has left or its time is up.
        """
        if self.holds_key and not (self.in_flight or self.may_have_run or self.has_run):
            check(self.is_finished, Invariant.RELEASED_UNRUN, attempt=self.attempt)
            self.holds_key = False
            self.proxy.keys.release(self.key, self.reservation_id)

    def _answer(self, answer: BackendResponse) -> None:
        self._finish()
        if answer.status < 500:
            self.proxy.request_served(self.proxy.loop.time() - self.request.arrived)
        else:
            self._record_failure(BACKEND_FAILED)
        self.caller.answer(answer.status, answer.head, answer.body)

    def _reject(self, kind: Kind) -> None:
        self._record_failure(kind.value)
        self._finish()
        reject(self.caller, kind, self.deadline - self.proxy.loop.time())

    def end(self) -> None:
        """This process ends: it is answered now, whatever is under way.

        Guards its caller against a connection that ends without an answer.
        """
        if not self.is_finished:
            self._reject(Kind.MAYBE_RAN if self.in_flight or self.may_have_run or self.has_run else Kind.LEAVING)

    def _caller_disconnected(self) -> None:
        """Its caller has left."""
        if not self.is_finished:
            self._record_failure(CALLER_DISCONNECTED)
            self._finish()

    def _record_failure(self, how: str) -> None:
        """Count a failure, and keep an account of it."""
        route, request = self.route, self.request
        self.proxy.request_failed(
            self.attempt,
            how,
            route=route.name,
            service=self.service,
            keyed=bool(self.key),
            claim=self.reservation_label,
            took_s=self.proxy.loop.time() - request.arrived,
            had_s=self.deadline - request.arrived,
            sends=self.attempts,
            turned_away=self.rejections,
            waited_for=tuple(endpoint.id for endpoint, _, _ in self.in_flight.values()),
            edition=route.edition,
            steps=tuple(self.steps),
            pick=self.last_selection,
        )

    def _finish(self) -> None:
        check(not self.is_finished, Invariant.ONE_ANSWER, attempt=self.attempt)
        self.is_finished = True
        self.proxy.request_closed(self)
        for timer in (self._deadline_timer, self._hedge_timer):
            if timer is not None:
                timer.cancel()
        if self.key and not self.holds_key:
            self.proxy.keys.drop(self.key, self.reservation_id)
        self._release_unrun()
        for _, _, carried in list(self.in_flight.values()):
            if self.route.is_safe:
                carried.cancel()
            elif not self.key:  # a keyed one's answer is kept for a repeat
                carried.withdraw()


class _NotSent:
    """What is not handed to the carrier yet."""

    def cancel(self) -> None:
        """There is nothing to end."""

    def withdraw(self) -> None:
        """There is nothing to keep from beginning."""


NOT_SENT = _NotSent()
