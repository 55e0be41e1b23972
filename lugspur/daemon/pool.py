"""One pool of backends: what happens on its sockets becomes the decision module's events, and back.

This file alone calls the module, and decides nothing. What a final answer looks like is its owner's matter.
"""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from lugspur.discovery.endpoints import Address, Endpoint
from lugspur.http1 import upstream
from lugspur.http1.body import Body
from lugspur.invariants import Invariant, check
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    NEVER_RAN,
    Action,
    Cancel,
    ListUpdateKind,
    Outcome,
    Reject,
    RetrySafety,
    Send,
    ServerState,
    Settings,
    StartTimer,
    Subscribe,
)
from lugspur.observability.failures import AttemptRecord, ConfigurationState, FailureLog, log_nothing
from lugspur.seams import Answerable, Attempt, Lane, Request, Response

if TYPE_CHECKING:
    from lugspur.pipe import Pipe

COMPLAIN_EVERY = 1.0  # seconds between two tracebacks in the log
FAILED_FROM = 500  # statuses of final answers that count as failures


@dataclass(slots=True)
class Facts:
    """What the decisions need of a request: class and tenant by their places in the settings, seconds."""

    kind: int
    tenant: int
    timeout: float
    cost: float
    retry: bool


class Call:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = (
        "bound",
        "caller",
        "context",
        "deadline",
        "exchanges",
        "facts",
        "last",
        "may_have_run",
        "request",
        "response",
        "rid",
        "steps",
        "timer",
    )

    def __init__(
        self, rid: str, request: Request, facts: Facts, caller: Answerable, deadline: float, context: object
    ) -> None:
        self.rid = rid
        self.request = request
        self.facts = facts
        self.caller: Answerable | None = caller  # None once nothing is owed
        self.deadline = deadline  # in the loop's time
        self.context = context  # the owner's
        self.exchanges: list[Attempt] = []
        self.bound = False  # whether a message has passed: the request belongs to that attempt
        self.may_have_run = False  # whether any attempt may
        self.last = Outcome.NOT_PROCESSED  # how its latest attempt ended...
        self.response: Response | None = None  # ...and with what answer
        self.timer: asyncio.TimerHandle | None = None
        self.steps: list[AttemptRecord] = []  # what became of each attempt, for an account of its failure

    def bytes_for(self, left: float) -> bytes:
        """The request as it goes to an HTTP/1.1 backend that is waited for so many seconds."""
        request = self.request if self.request.form is None else self.request.form.plain(self.request)
        framed = request.body or request.method not in (b"GET", b"HEAD")
        length = b"Content-Length: %d\r\n" % len(request.body) if framed else b""
        stream = request.stream
        if stream is not None:
            length = (
                b"Transfer-Encoding: chunked\r\n"
                if stream.length is None
                else (b"Content-Length: %d\r\n" % stream.length)
            )
            left = self.facts.timeout  # counted from its last byte, whenever that comes
        return b"%b %b HTTP/1.1\r\n%bX-Timeout: %.3f\r\n%b\r\n%b" % (
            request.method,
            request.target,
            b"".join(request.lines),
            max(left, 0.001),
            length,
            request.body,
        )


class Owner(Protocol):
    """Who words the final answers that the module has decided on."""

    def at_fault(self, status: int) -> bool:
        """Whether a backend's answer says that the request itself is wrong, and would be anywhere else."""

    def served(self, call: Call, response: Response) -> None:
        """A backend has served it in time."""

    def begun(self, call: Call, response: Response, body: Pipe) -> None:
        """A backend's answer is passed on as it comes; `served` or `failed` ends it."""

    def refused(self, call: Call, retry_after: float) -> None:
        """No attempt ran, or another does no harm: say so (0: no time to come back is known)."""

    def failed(self, call: Call) -> None:
        """It may have run; nothing is promised."""

    def settled(self, call: Call) -> None:
        """Nothing is owed for it any more."""


class Complaints:
    """Tracebacks in the log, few of them."""

    def __init__(self) -> None:
        self._last = float("-inf")

    def add(self) -> None:
        """Guards the loop against a log that nobody empties: writing to a full pipe would stop it."""
        now = time.monotonic()
        if now - self._last >= COMPLAIN_EVERY:
            self._last = now
            traceback.print_exc()
            sys.stderr.flush()


class Sending:
    """What a pool is told of one attempt of a call."""

    __slots__ = ("_call", "_number", "_pool")

    def __init__(self, pool: Pool, call: Call, number: int) -> None:
        self._pool, self._call, self._number = pool, call, number

    def ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Its one outcome."""
        self._pool.outcome(self._call, self._number, attempt, outcome, response)

    def bound(self) -> None:
        """A message has passed: the request belongs to this attempt from now on."""
        self._pool.bound(self._call, self._number)

    def begun(self, response: Response, body: Pipe) -> None:
        """Its answer is passed on as it comes."""
        self._pool.begun(self._call, self._number, response, body)


class Pool:
    """One instance of the decision module, its backends, and the requests that it has in hand."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        connections: upstream.Upstream,
        owner: Owner,
        epoch: float,
        subscribe: Callable[[], None] = lambda: None,
        lane: Callable[[], Lane] | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._epoch = epoch  # seconds from the loop's time to the time that lists use
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.upstream = connections
        self.backends: dict[int, upstream.Backend] = {}
        self.calls: dict[str, Call] = {}
        self._owner = owner
        self._subscribe = subscribe
        self._lane = lane  # makes what carries attempts to boxes that speak no HTTP/1.1, where there are any
        self._repeatable = [row.retry_safety is not RetrySafety.UNSAFE for row in settings.classes]
        self._count = 0
        self._complaints = Complaints()
        self.attempts: Counter[str] = Counter()  # since the start, by how they ended
        self.answers: Counter[int] = Counter()  # final answers that were not passed on as they came, by status
        self.left = 0  # requests whose callers went before their answer
        self.failures = FailureLog(lambda: ConfigurationState(0, 0, 0.0), log_nothing)
        self.streams = False  # whether large answers are passed on as they come

    def start(self) -> None:
        """Call once, after the list known at the start was given."""
        self._perform(self._decide(self.balancer.start))

    @property
    def taken(self) -> int:
        """Requests so far."""
        return self._count

    def now(self) -> float:
        """The time that lists use."""
        return self._loop.time() + self._epoch

    def _decide(self, method: Callable[..., list[Action]], *args: object, call: Call | None = None) -> list[Action]:
        """Ask the module; an exception there fails the request that it was about, and nothing else."""
        try:
            return method(self.now(), *args)
        except Exception:
            self._complaints.add()
            if call is not None:
                self._abandon(call)
            return []

    def adopt(self, settings: Settings) -> None:
        """Go on by other settings; the classes of requests in hand must keep their places."""
        self.balancer.change_settings(self.now(), settings)
        self.settings = settings
        self._repeatable = [row.retry_safety is not RetrySafety.UNSAFE for row in settings.classes]

    def put_back(self, server: int) -> None:
        """Operators say that it may serve again."""
        self.balancer.reinstate(self.now(), server)

    # ---- the list ----------------------------------------------------------------------------

    def members(self, kind: ListUpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """A whole list, or a change of it."""
        listed = {endpoint.row.server for endpoint in endpoints}
        if kind is not ListUpdateKind.PATCH:
            for server in self.backends.keys() - listed:
                self._remove(server)
        for endpoint in endpoints:
            row = endpoint.row
            if row.state is ServerState.GONE:
                self._remove(row.server)
                continue
            backend = self.backends.setdefault(row.server, upstream.Backend(endpoint.address, row.server))
            self._update(backend, endpoint.address, row.started_at, row.state is ServerState.UP)
            backend.lane = self._lane() if endpoint.speaks_grpc and self._lane is not None else None
        self._perform(self._decide(self.balancer.update_servers, kind, [endpoint.row for endpoint in endpoints]))

    def _remove(self, server: int) -> None:
        """Guards memory against backends that are gone for good; attempts that are out keep theirs."""
        backend = self.backends.pop(server, None)
        if backend is not None:
            self._update(backend, backend.address, backend.started, False)

    def _update(self, backend: upstream.Backend, address: Address, started: float, in_service: bool) -> None:
        if backend.lane is not None:
            backend.lane.update(backend, address, started, in_service)
        self.upstream.update(backend, address, started, in_service)

    # ---- requests ------------------------------------------------------------------------------

    def submit(
        self,
        request: Request,
        facts: Facts,
        caller: Answerable,
        deadline: float,
        context: object = None,
        expected: float = float("inf"),
    ) -> Call:
        """Take up a request; `deadline` is in the loop's time, and an answer is owed until then.

        `expected`: until when the module is to expect an answer, where the deadline is not known yet.
        """
        self._count += 1
        call = Call(str(self._count), request, facts, caller, deadline, context)
        self.calls[call.rid] = call
        caller.gone = lambda: self._gone(call)
        call.timer = self._loop.call_at(deadline, self._overdue, call)
        self._perform(
            self._decide(
                self.balancer.request,
                call.rid,
                facts.kind,
                facts.tenant,
                min(deadline, expected) + self._epoch,
                facts.cost,
                facts.retry,
                expected < deadline,
                call=call,
            )
        )
        return call

    def retime(self, call: Call, deadline: float) -> None:
        """Its answer is owed until another time; the module hears of a later one."""
        if self._owe(call, deadline):
            self._perform(self._decide(self.balancer.extend_deadline, call.rid, deadline + self._epoch, call=call))

    def whole(self, call: Call, deadline: float) -> None:
        """The last byte of its body has come; an answer is owed until then."""
        if self._owe(call, deadline):
            self._perform(self._decide(self.balancer.complete_body, call.rid, deadline + self._epoch, call=call))

    def _owe(self, call: Call, deadline: float) -> bool:
        """Whether an answer is still owed by a time, which is this one from now on."""
        if call.caller is None or call.timer is None or call.deadline == float("inf"):
            return False
        call.timer.cancel()
        call.deadline = deadline
        call.timer = self._loop.call_at(deadline, self._overdue, call)
        return True

    def untimed(self, call: Call) -> None:
        """Its answer is on its way to the caller: no deadline ends it any more."""
        if call.timer is not None:
            call.timer.cancel()
        call.deadline = float("inf")

    def _gone(self, call: Call) -> None:
        self.left += 1
        self._keep_account(call, "gone")
        self._settle(call)
        self._perform(self._decide(self.balancer.cancel_request, call.rid, call=call))
        if call.bound:  # the module leaves a stream to its attempt, whose box need not go on for nobody
            for exchange in tuple(call.exchanges):
                exchange.end(Outcome.CANCELLED)

    def _overdue(self, call: Call) -> None:
        """The client's time is up: an answer is owed now, whatever the module says."""
        for exchange in tuple(call.exchanges):
            exchange.expire()
        if call.caller is not None and call.deadline < float("inf"):  # else its answer has just been begun
            self._abandon(call)

    def _abandon(self, call: Call) -> None:
        """Fail a request that the module did not answer, and tell it so."""
        self.answer(call, 504 if self._loop.time() >= call.deadline else 500, b"", b"")
        self._perform(self._decide(self.balancer.cancel_request, call.rid))
        for exchange in tuple(call.exchanges):
            exchange.end(Outcome.CANCELLED)

    def answer(
        self,
        call: Call,
        status: int,
        head: bytes,
        body: bytes,
        length: int | None = None,
        trailers: bytes | None = None,
    ) -> None:
        """Write the one final answer of a request; with trailers it goes back as gRPC as it came."""
        if call.caller is not None:
            self.answers[status] += 1
            if status >= FAILED_FROM:
                self._keep_account(call, str(status))
        caller, form = self.release(call), call.request.form
        if caller is None:
            return
        if trailers is not None and form is not None:
            caller.gone = None
            form.finish(head, body, trailers)
        else:
            caller.answer(status, head, body, length)

    def _keep_account(self, call: Call, how: str) -> None:
        """Keep what is known of a request that failed."""
        row = self.settings.classes[call.facts.kind]
        request, now = call.request, self._loop.time()
        self.failures.add(
            request.headers.get(b"x-request-id", b""),
            how,
            route=f"class-{call.facts.kind}",
            keyed=row.retry_safety is RetrySafety.KEYED,
            took_s=now - request.arrived,
            had_s=call.deadline - request.arrived,
            sends=len(call.exchanges),
            steps=tuple(call.steps),
        )

    def release(self, call: Call) -> Answerable | None:
        """Let go of a request; who is given its caller owes the answer from then on."""
        caller = call.caller
        self._settle(call)
        return caller

    def _settle(self, call: Call) -> None:
        """Nothing is owed any more."""
        if call.caller is not None:
            call.caller = None
            self._owner.settled(call)
        if call.timer is not None:
            call.timer.cancel()
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.caller is None and not any(exchange.open for exchange in call.exchanges):
            self.calls.pop(call.rid, None)
            call.exchanges.clear()  # Guards memory: a call and its exchanges hold each other.

    # ---- the module's actions ----------------------------------------------------------------

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartTimer):
                self._loop.call_at(action.at - self._epoch, self._timer, action.token)
            elif isinstance(action, Subscribe):
                self._subscribe()
            else:
                call = self.calls.get(action.request)
                if call is not None:
                    self._act(call, action)

    def _timer(self, token: int) -> None:
        self._perform(self._decide(self.balancer.fire_timer, token))

    def _act(self, call: Call, action: Action) -> None:
        if isinstance(action, Send):
            self._send(call, action)
        elif isinstance(action, Cancel):
            call.exchanges[action.attempt].end(Outcome.CANCELLED)
        elif isinstance(action, Reject):
            self._owner.refused(call, action.retry_after)
        else:
            self._owner.failed(call)

    def _send(self, call: Call, action: Send) -> None:
        now = self._loop.time()
        until = min(call.deadline, now + action.timeout) if action.timeout > 0.0 else call.deadline
        number = len(call.exchanges)
        repeatable = self._repeatable[call.facts.kind]
        unrun = not call.may_have_run and not any(exchange.open for exchange in call.exchanges)
        check(call.caller is not None, Invariant.SENT_WHILE_OPEN, request=call.rid, attempt=number)
        check(repeatable or unrun, Invariant.RUN_ONCE, request=call.rid, attempt=number)
        watcher = Sending(self, call, number)
        timed = until < call.deadline  # at the deadline the call's own timer ends it
        backend = self.backends[action.server]
        if backend.lane is not None:
            call.exchanges.append(backend.lane.start(backend, call.request, until, watcher, repeatable, timed))
            return
        exchange = upstream.Exchange(
            backend,
            now,
            until,
            call.bytes_for,
            watcher.ended,
            repeatable,
            call.request.method == b"HEAD",
            timed,
        )
        if self.streams and call.caller is not None and call.caller.passing() is not None:
            exchange.begin = watcher.begun
        if call.request.stream is not None:
            self._stream(call, call.request.stream, exchange, number, action.timeout)
        call.exchanges.append(exchange)
        self.upstream.start(exchange)

    def _stream(self, call: Call, body: Body, exchange: upstream.Exchange, number: int, timeout: float) -> None:
        """Its body is passed on as it comes; the attempt is waited for from its last byte on."""
        exchange.body, exchange.timed, exchange.until = body, False, call.deadline

        def written() -> None:
            now = self._loop.time()
            exchange.started = now
            exchange.until = min(call.deadline, now + timeout) if timeout > 0.0 else call.deadline
            if exchange.until < call.deadline:
                exchange.timer = self._loop.call_at(exchange.until, exchange.expire)

        def dropped() -> None:
            self.bound(call, number)

        exchange.written, body.dropped = written, dropped

    def bound(self, call: Call, number: int) -> None:
        """A message has passed: no other attempt may have this request."""
        call.bound = True
        self._perform(self._decide(self.balancer.bind_to_attempt, call.rid, number, call=call))

    def begun(self, call: Call, number: int, response: Response, body: Pipe) -> None:
        """An answer is passed on as it comes."""
        call.bound = True
        self._perform(self._decide(self.balancer.begin_response, call.rid, number, call=call))
        if call.caller is not None:
            self._owner.begun(call, response, body)

    def outcome(self, call: Call, number: int, exchange: Attempt, outcome: Outcome, response: Response | None) -> None:
        """An attempt has ended."""
        now = self._loop.time()
        self.attempts[outcome.value] += 1
        name = "{}:{}".format(*exchange.backend.address)
        status = "" if response is None else str(response.status)
        call.steps.append(
            AttemptRecord(name, exchange.started - call.request.arrived, now - exchange.started, outcome.value, status)
        )
        call.last, call.response = outcome, response
        call.may_have_run = call.may_have_run or outcome not in NEVER_RAN
        if response is not None and self._owner.at_fault(response.status):
            # Guards backends against callers: the request is at fault, and would be anywhere else.
            self.answer(call, response.status, b"", b"rejected\n")
            self._perform(self._decide(self.balancer.cancel_request, call.rid, call=call))
            outcome = Outcome.NOT_PROCESSED
        elif outcome is Outcome.OK and response is not None:
            if now <= call.deadline:
                self._owner.served(call, response)
            else:  # Guards the client's deadline against a late timer.
                outcome = Outcome.TIMEOUT
        self._forget(call)
        self._perform(
            self._decide(
                self.balancer.finish_attempt,
                call.rid,
                number,
                outcome,
                exchange.latency(now),
                call.caller is None,
                call=call,
            )
        )
