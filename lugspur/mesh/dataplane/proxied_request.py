"""One request of a caller: from its claim, where it has a key, over the backends it is sent to, to its one answer."""

from __future__ import annotations

import asyncio

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.errors import ErrorKind
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

BY_MS = b"lugspur-deliver-by-ms"
OWN_LINES = (b"lugspur-sender", b"lugspur-deliver-to", BY_MS)  # set anew here, whatever was sent
REWRITTEN = (b"host", b"x-request-id", b"x-forwarded-for", b"x-forwarded-proto")  # kept out of the lines by the reader
TICK = 0.001  # seconds that an answer takes at least
PACE_WEIGHT = 1 / 32  # of one answer in a route's pace
CLAIM_WITHIN = 0.6  # seconds for a claim, and at most a third of the time that is left
MARGIN = 0.02  # seconds for which the backend's word at the deadline is waited for
REST = 0.04  # seconds for which a backend that turned a request away is passed over, drawn from half to one and a half
ROUNDS = 4  # backends that may turn one request away before it is given up
HEDGE = 3.0  # times a route's pace after which a safe request is sent to a second backend...
HEDGE_AIM = 0.6  # ...and not before this part of its aim
GONE = "gone"  # how a request ends whose caller has left
BACKEND_FAILED = "backend-failed"  # ...and one whose backend answered with a failure of its own
#: How a claim ended, as accounts of failed requests say it.
CLAIM_LABELS: dict[type[ReservationOutcome], str] = {
    Acquired: "won",
    AlreadyCompleted: "known",
    TakenByAnother: "taken",
    Undecided: "unsettled",
}
LATE = 3.0  # how much a failure counts as, in usual latencies: a backend that fails fast must not look quick


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
        self.deadline, self.attempt, self.back = deadline, attempt, back
        self.key = key if route.is_keyed else b""
        self.reservation_id = proxy.reservation_id(attempt) if self.key else b""
        self.service = route.draw_service(proxy.rng)
        self.sends = 0  # backends that it was offered to, or may have been
        self.rounds = 0  # gates that turned it away
        self.tried: set[str] = set()
        self.out: dict[int, tuple[Endpoint, float, SentRequest]] = {}  # what is under way
        self.over = False
        self.maybe = False  # it may have run
        self.ran = False  # a backend has answered it
        self.won = False  # it has a claim on its key, which is to be given back if nothing ran
        self.number = 0
        self.claim = ""  # how its claim was settled
        self.steps: list[Step] = []  # what became of each send, for an account of its failure
        self.last: BackendResponse | None = (
            None  # a failure of the backend's own, to be passed on where nothing better comes
        )
        self.last_pick: PickView | None = None  # where it found no backend
        self._lines: list[bytes] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._hedge: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Set off."""
        proxy, loop = self.proxy, self.proxy.loop
        now = loop.time()
        if now >= self.deadline:
            self._record(ErrorKind.TOO_LATE.value)
            reject(self.caller, ErrorKind.TOO_LATE)
            return
        proxy.request_opened(self)
        proxy.budget(self.service).take(now)
        self.caller.gone = self._gone
        self._timer = loop.call_at(self.deadline + MARGIN, self._late)
        if self.key:
            left = self.deadline - now
            proxy.keys.claim(self.key, self.reservation_id, left, min(CLAIM_WITHIN, left / 3.0), self._claimed)
        else:
            self._go(now)

    def _claimed(self, how: ReservationOutcome) -> None:
        self.claim = CLAIM_LABELS[type(how)]
        self.won = isinstance(how, Acquired)
        if self.over:
            self._release_unrun()
        elif self.won:
            self._go(self.proxy.loop.time())
        elif isinstance(how, AlreadyCompleted):
            self._answer(how.response)
        elif isinstance(how, TakenByAnother):
            self._refuse(ErrorKind.KEY_BUSY if how.is_running else ErrorKind.KEY_SPENT)
        else:
            self._refuse(ErrorKind.NO_QUORUM)

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
        self.last_pick = PickView(len(known), tried, unreachable, len(reached) - len(rested), found)
        return None

    def _go(self, now: float, again: bool = False) -> bool:
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
        if self._lines is None:
            self._lines = self._write_lines()
        forward = ForwardRequest(
            0,
            endpoint.id,
            request.method,
            request.target,
            self._lines,
            request.body,
            self.deadline - now,
            request.arrived + route.latency_target - now,
            self.attempt,
            route.priority,
            route.is_safe,
            route.name,
            self.key,
            self.reservation_id,
            self.back,
        )
        endpoint.in_flight += 1
        self.sends += 1
        if self.sends > 1:
            self.proxy.budget(self.service).spend(now)
        check(self.sends <= self.route.max_attempts, Invariant.TRIES, attempt=self.attempt, sends=self.sends)
        self.out[number] = (endpoint, now, NOT_UNDER_WAY)
        carried = self.proxy.carrier.carry(endpoint.ip, forward, lambda reply: self._replied(number, reply))
        if number in self.out:
            self.out[number] = (endpoint, now, carried)
            if route.is_safe and route.average_latency and self._hedge is None and self.sends < route.max_attempts:
                at = now + max(HEDGE * route.average_latency, HEDGE_AIM * route.latency_target)
                if at + route.average_latency < self.deadline:
                    self._hedge = self.proxy.loop.call_at(at, self._second)
        return True

    def _check_send(self) -> None:
        """What must hold before it is sent to a backend."""
        unrun = not (self.maybe or self.out or self.last is not None)
        check(not self.over, Invariant.SENT_WHILE_OPEN, attempt=self.attempt)
        check(self.route.is_safe or unrun, Invariant.RUN_ONCE, attempt=self.attempt, route=self.route.name)
        check(not self.key or self.won, Invariant.CLAIM_WON, attempt=self.attempt)

    def _second(self) -> None:
        """A safe request has been out for long: its answer may be lost."""
        now = self.proxy.loop.time()
        if self.over or len(self.out) != 1 or self.sends >= self.route.max_attempts:
            return  # a further try may have been sent since the hedge was set
        if self.proxy.budget(self.service).allows(now):
            self._go(now, True)

    def _write_lines(self) -> list[bytes]:
        request = self.request
        lines = [line for line in request.lines if line.partition(b":")[0].lower() not in OWN_LINES]
        for name in REWRITTEN:
            value = request.headers.get(name)
            if value is not None:
                lines.append(b"%b: %b\r\n" % (name.title(), value))
        lines.append(b"Lugspur-Sender: %b\r\n" % self.proxy.sender.encode())
        return lines

    # ---- how it ends -----------------------------------------------------------------------

    def _replied(self, number: int, reply: ForwardResponse) -> None:
        if number not in self.out:
            self._proved_later(reply)
            return
        endpoint, since, _ = self.out.pop(number)
        endpoint.in_flight -= 1
        self._note(endpoint, since, reply)
        check(endpoint.in_flight >= 0, Invariant.IN_FLIGHT, backend=endpoint.id)
        loop = self.proxy.loop
        now = loop.time()
        # Guards the first answer on a route against a division by nothing: the loop counts whole milliseconds.
        took, route = max(TICK, now - since), self.route
        how = reply.outcome
        if how == RequestOutcome.ANSWERED and reply.response is not None:
            self.ran = True
            if reply.response.status < 500:
                route.average_latency += (took - route.average_latency) * (
                    PACE_WEIGHT if route.average_latency else 1.0
                )
                relative = took / route.average_latency
                breaker = endpoint.breaker(route.name)
                breaker.accepted(now)
                breaker.sample(relative)
                endpoint.record_latency(relative)
            else:
                self._failed(now, endpoint)
            if self.over:
                return
            if reply.response.status >= 500 and route.is_safe:
                self.last = reply.response
                if not self._again(now):
                    self._finish_failed()
                return
            self._answer(reply.response)
            return
        if how == RequestOutcome.NOT_RUN:
            self.rounds += 1
            if not reply.was_sent:
                self.sends -= 1  # no backend was offered it
            if reply.cause != FailureCause.CANCELLED:  # what was withdrawn says nothing of its backend
                endpoint.breaker(route.name).failed(now)
                endpoint.deprioritised_until = now + REST * (0.5 + self.proxy.rng.random())
        else:
            self._failed(now, endpoint)
            self.maybe = True
        if self.over:
            self._release_unrun()
            return
        if not self._again(now):
            self._finish_failed()

    def _proved_later(self, reply: ForwardResponse) -> None:
        """Word on a send whose connection was lost: what may have run has not, and never will."""
        if reply.outcome == RequestOutcome.NOT_RUN and self.over and not (self.out or self.ran or self.route.is_safe):
            self.maybe = False  # what is not safe is sent again only once nothing may have run: this was its only send
            self._release_unrun()

    def _note(self, endpoint: Endpoint, since: float, reply: ForwardResponse) -> None:
        """Keep what became of one send."""
        now, arrived = self.proxy.loop.time(), self.request.arrived
        cause = FailureCause(reply.cause).label if reply.cause else ""
        self.steps.append(Step(endpoint.id, since - arrived, now - since, RequestOutcome(reply.outcome).label, cause))

    def _failed(self, now: float, endpoint: Endpoint) -> None:
        endpoint.breaker(self.route.name).failed(now)
        endpoint.record_latency(LATE)

    def _again(self, now: float) -> bool:
        """Whether it goes on: something is under way, or another backend may have it."""
        if self.out:
            return True
        if (self.maybe or self.last is not None) and not self.route.is_safe:
            return False
        if self.rounds >= ROUNDS or now >= self.deadline or self.sends >= self.route.max_attempts:
            return False
        if self.sends and not self.proxy.budget(self.service).allows(now):
            return False
        return self._go(now, True)

    def _finish_failed(self) -> None:
        if self.last is not None:
            self._answer(self.last)
        else:
            self._give_up()

    def _give_up(self) -> None:
        """Nobody will run it: refused where that is proven, else failed."""
        if self.maybe and not self.route.is_safe:
            self._refuse(ErrorKind.MAYBE_RAN)
            return
        self._refuse(ErrorKind.MAYBE_RAN if self.maybe else ErrorKind.NO_BACKEND)

    def _late(self) -> None:
        if not self.over:
            self._refuse(ErrorKind.TOO_LATE)

    def _release_unrun(self) -> None:
        """Give the claim back once the request is over, nothing of it is under way, and nothing ran.

        Guards an operation that never ran against being refused until its window ends, also where the proof comes
        after its caller has left or its time is up.
        """
        if self.won and not (self.out or self.maybe or self.ran):
            check(self.over, Invariant.RELEASED_UNRUN, attempt=self.attempt)
            self.won = False
            self.proxy.keys.release(self.key, self.reservation_id)

    def _answer(self, answer: BackendResponse) -> None:
        self._finish()
        if answer.status < 500:
            self.proxy.request_served(self.proxy.loop.time() - self.request.arrived)
        else:
            self._record(BACKEND_FAILED)
        self.caller.answer(answer.status, answer.head, answer.body)

    def _refuse(self, kind: ErrorKind) -> None:
        self._record(kind.value)
        self._finish()
        reject(self.caller, kind, self.deadline - self.proxy.loop.time())

    def end(self) -> None:
        """This process ends: it is answered now, whatever is under way.

        Guards its caller against a connection that ends without an answer.
        """
        if not self.over:
            self._refuse(ErrorKind.MAYBE_RAN if self.out or self.maybe or self.ran else ErrorKind.LEAVING)

    def _gone(self) -> None:
        """Its caller has left."""
        if not self.over:
            self._record(GONE)
            self._finish()

    def _record(self, how: str) -> None:
        """Count a failure, and keep an account of it."""
        route, request = self.route, self.request
        self.proxy.request_failed(
            self.attempt,
            how,
            route=route.name,
            service=self.service,
            keyed=bool(self.key),
            claim=self.claim,
            took_s=self.proxy.loop.time() - request.arrived,
            had_s=self.deadline - request.arrived,
            sends=self.sends,
            turned_away=self.rounds,
            waited_for=tuple(endpoint.id for endpoint, _, _ in self.out.values()),
            edition=route.edition,
            steps=tuple(self.steps),
            pick=self.last_pick,
        )

    def _finish(self) -> None:
        check(not self.over, Invariant.ONE_ANSWER, attempt=self.attempt)
        self.over = True
        self.proxy.request_closed(self)
        for timer in (self._timer, self._hedge):
            if timer is not None:
                timer.cancel()
        if self.key and not self.won:
            self.proxy.keys.drop(self.key, self.reservation_id)
        self._release_unrun()
        for _, _, carried in list(self.out.values()):
            if self.route.is_safe:
                carried.cancel()
            elif not self.key:  # a keyed one's answer is kept for a repeat
                carried.withdraw()


class _NotUnderWay:
    """What is not handed to the carrier yet."""

    def cancel(self) -> None:
        """There is nothing to end."""

    def withdraw(self) -> None:
        """There is nothing to keep from beginning."""


NOT_UNDER_WAY = _NotUnderWay()
