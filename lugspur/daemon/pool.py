"""One pool of backends: passes events from its sockets to the load balancer, and carries out the balancer's actions.

Only this module passes events to the balancer. It takes no decisions itself; its owner writes the final responses.
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
from lugspur.interfaces import Attempt, BackendTransport, Request, Responder, Response
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

if TYPE_CHECKING:
    from lugspur.pipe import Pipe

TRACEBACK_INTERVAL_SECONDS = 1.0  # minimum time between two tracebacks in the log
MIN_FAILURE_STATUS = 500  # final responses with this status or a higher one count as failures


@dataclass(slots=True)
class RequestAttributes:
    """The attributes of a request that the balancer decides by; `timeout` and `cost` are in seconds."""

    class_index: int  # in the settings
    tenant_index: int  # in the settings
    timeout: float
    cost: float
    is_retry: bool


class Call:
    """A request that still awaits its final response, or that still has open attempts."""

    __slots__ = (
        "attempt_records",
        "attempts",
        "attributes",
        "balancer_id",
        "caller",
        "context",
        "deadline",
        "is_bound",
        "last_outcome",
        "last_response",
        "may_have_run",
        "request",
        "timer",
    )

    def __init__(
        self,
        balancer_id: str,
        request: Request,
        attributes: RequestAttributes,
        caller: Responder,
        deadline: float,
        context: object,
    ) -> None:
        self.balancer_id = balancer_id
        self.request = request
        self.attributes = attributes
        self.caller: Responder | None = caller  # None after the final response, or once the caller has been released
        self.deadline = deadline  # in the loop's time
        self.context = context  # used by the owner only
        self.attempts: list[Attempt] = []
        self.is_bound = False  # whether a message was passed on, which binds the request to that attempt
        self.may_have_run = False  # whether a backend may have run any attempt
        self.last_outcome = Outcome.NOT_PROCESSED  # outcome of the attempt that ended last
        self.last_response: Response | None = None  # response of the attempt that ended last
        self.timer: asyncio.TimerHandle | None = None
        self.attempt_records: list[AttemptRecord] = []  # of the attempts that have ended, for the failure log

    def encode_http1(self, left: float) -> bytes:
        """Return the request as sent to an HTTP/1.1 backend that has `left` seconds to respond."""
        request = self.request if self.request.grpc_form is None else self.request.grpc_form.to_http1(self.request)
        sends_length = request.body or request.method not in (b"GET", b"HEAD")
        length = b"Content-Length: %d\r\n" % len(request.body) if sends_length else b""
        stream = request.stream
        if stream is not None:
            length = (
                b"Transfer-Encoding: chunked\r\n"
                if stream.length is None
                else (b"Content-Length: %d\r\n" % stream.length)
            )
            left = self.attributes.timeout  # counted from the body's last byte, whose arrival time is not known yet
        return b"%b %b HTTP/1.1\r\n%bX-Timeout: %.3f\r\n%b\r\n%b" % (
            request.method,
            request.target,
            b"".join(request.lines),
            max(left, 0.001),
            length,
            request.body,
        )


class PoolOwner(Protocol):
    """The owner of a pool, which writes the final responses that the balancer has decided on."""

    def is_request_invalid(self, status: int) -> bool:
        """Return whether a backend's status means that the request is invalid, and would be at any other backend."""

    def request_served(self, call: Call, response: Response) -> None:
        """Handle a request that a backend has served in time."""

    def response_begun(self, call: Call, response: Response, body: Pipe) -> None:
        """Start to stream a backend's response to the caller; `request_served` or `request_failed` ends it."""

    def request_rejected(self, call: Call, retry_after: float) -> None:
        """Reject a request of which no attempt ran, or whose retry does no harm.

        `retry_after` is in seconds; 0: it is not known when a retry could succeed.
        """

    def request_failed(self, call: Call) -> None:
        """Fail a request that may have run: the response must not say that a retry is harmless."""

    def request_released(self, call: Call) -> None:
        """Handle that the pool owes no response for the request any more."""


class TracebackLog:
    """Prints tracebacks to standard error, at a limited rate."""

    def __init__(self) -> None:
        self._last = float("-inf")

    def print_current(self) -> None:
        """Print the current exception, unless another one was printed a moment ago.

        The limit protects the event loop: if nobody reads the log, a write to the full pipe blocks it.
        """
        now = time.monotonic()
        if now - self._last >= TRACEBACK_INTERVAL_SECONDS:
            self._last = now
            traceback.print_exc()
            sys.stderr.flush()


class AttemptWatcher:
    """Passes the events of one attempt on to the pool (interfaces.AttemptObserver)."""

    __slots__ = ("_call", "_number", "_pool")

    def __init__(self, pool: Pool, call: Call, number: int) -> None:
        self._pool, self._call, self._number = pool, call, number

    def on_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Handle the end of the attempt; called once."""
        self._pool.finish_attempt(self._call, self._number, attempt, outcome, response)

    def on_committed(self) -> None:
        """Bind the request to this attempt, because a message was passed on."""
        self._pool.bind_to_attempt(self._call, self._number)

    def on_response_begun(self, response: Response, body: Pipe) -> None:
        """Start to stream the attempt's response."""
        self._pool.begin_response(self._call, self._number, response, body)


class Pool:
    """One load balancer with its backends and its open requests."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        connections: upstream.Upstream,
        owner: PoolOwner,
        epoch: float,
        subscribe: Callable[[], None] = lambda: None,
        lane: Callable[[], BackendTransport] | None = None,
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
        self._lane = lane  # creates the connections to gRPC backends; None: all backends speak HTTP/1.1
        self._retryable_classes = [row.retry_safety is not RetrySafety.UNSAFE for row in settings.classes]
        self._request_count = 0
        self._tracebacks = TracebackLog()
        self.attempt_counts: Counter[str] = Counter()  # attempts since the start, by outcome
        self.response_counts: Counter[int] = Counter()  # final responses by status, except streamed ones
        self.disconnected_callers = 0  # callers that disconnected before their response
        self.failures = FailureLog(lambda: ConfigurationState(0, 0, 0.0), log_nothing)
        self.streams_responses = False  # whether large responses are streamed

    def start(self) -> None:
        """Start the balancer; to be called once, after the endpoint list known at the start was passed in."""
        self._perform(self._call_balancer(self.balancer.start))

    @property
    def request_count(self) -> int:
        """Return the number of requests submitted so far."""
        return self._request_count

    def now(self) -> float:
        """Return the time of the clock that endpoint lists use."""
        return self._loop.time() + self._epoch

    def _call_balancer(
        self, method: Callable[..., list[Action]], *args: object, call: Call | None = None
    ) -> list[Action]:
        """Call the balancer; an exception there fails only the request that the call concerns."""
        try:
            return method(self.now(), *args)
        except Exception:
            self._tracebacks.print_current()
            if call is not None:
                self._fail_unanswered(call)
            return []

    def change_settings(self, settings: Settings) -> None:
        """Change the settings; the classes of open requests must keep their indexes."""
        self.balancer.change_settings(self.now(), settings)
        self.settings = settings
        self._retryable_classes = [row.retry_safety is not RetrySafety.UNSAFE for row in settings.classes]

    def reinstate(self, server: int) -> None:
        """Let a backend that operators or health checks took out of service serve again."""
        self.balancer.reinstate(self.now(), server)

    # ---- endpoints ---------------------------------------------------------------------------

    def update_endpoints(self, kind: ListUpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Apply a complete endpoint list, or changes to it."""
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
            backend.transport = self._lane() if endpoint.speaks_grpc and self._lane is not None else None
        self._perform(self._call_balancer(self.balancer.update_servers, kind, [endpoint.row for endpoint in endpoints]))

    def _remove(self, server: int) -> None:
        """Remove a backend, so that removed ones do not use memory; its open attempts keep a reference to it."""
        backend = self.backends.pop(server, None)
        if backend is not None:
            self._update(backend, backend.address, backend.started, False)

    def _update(self, backend: upstream.Backend, address: Address, started: float, in_service: bool) -> None:
        if backend.transport is not None:
            backend.transport.update(backend, address, started, in_service)
        self.upstream.update(backend, address, started, in_service)

    # ---- requests ------------------------------------------------------------------------------

    def submit(
        self,
        request: Request,
        attributes: RequestAttributes,
        caller: Responder,
        deadline: float,
        context: object = None,
        expected: float = float("inf"),
    ) -> Call:
        """Submit a request, which has to be answered by `deadline`, in the loop's time.

        `expected` is the time by which the balancer should expect a response while the deadline is not known yet.
        """
        self._request_count += 1
        call = Call(str(self._request_count), request, attributes, caller, deadline, context)
        self.calls[call.balancer_id] = call
        caller.on_disconnect = lambda: self._caller_disconnected(call)
        call.timer = self._loop.call_at(deadline, self._deadline_passed, call)
        self._perform(
            self._call_balancer(
                self.balancer.request,
                call.balancer_id,
                attributes.class_index,
                attributes.tenant_index,
                min(deadline, expected) + self._epoch,
                attributes.cost,
                attributes.is_retry,
                expected < deadline,
                call=call,
            )
        )
        return call

    def change_deadline(self, call: Call, deadline: float) -> None:
        """Change the deadline of a request, here and in the balancer."""
        if self._set_deadline(call, deadline):
            self._perform(
                self._call_balancer(self.balancer.extend_deadline, call.balancer_id, deadline + self._epoch, call=call)
            )

    def complete_body(self, call: Call, deadline: float) -> None:
        """Note that the last byte of the request's body has arrived, and set its deadline."""
        if self._set_deadline(call, deadline):
            self._perform(
                self._call_balancer(self.balancer.complete_body, call.balancer_id, deadline + self._epoch, call=call)
            )

    def _set_deadline(self, call: Call, deadline: float) -> bool:
        """Set the deadline, and return True; return False if no response is owed or the deadline was cleared."""
        if call.caller is None or call.timer is None or call.deadline == float("inf"):
            return False
        call.timer.cancel()
        call.deadline = deadline
        call.timer = self._loop.call_at(deadline, self._deadline_passed, call)
        return True

    def clear_deadline(self, call: Call) -> None:
        """Clear the deadline, since the response is being sent to the caller."""
        if call.timer is not None:
            call.timer.cancel()
        call.deadline = float("inf")

    def _caller_disconnected(self, call: Call) -> None:
        self.disconnected_callers += 1
        self._record_failure(call, "gone")
        self._close(call)
        self._perform(self._call_balancer(self.balancer.cancel_request, call.balancer_id, call=call))
        if call.is_bound:  # The balancer does not cancel a bound attempt, but its response has no receiver any more.
            for attempt in tuple(call.attempts):
                attempt.end(Outcome.CANCELLED)

    def _deadline_passed(self, call: Call) -> None:
        """Send a response now, since the deadline has passed, whatever the balancer does."""
        for attempt in tuple(call.attempts):
            attempt.expire()
        if call.caller is not None and call.deadline < float("inf"):  # otherwise its response has just been started
            self._fail_unanswered(call)

    def _fail_unanswered(self, call: Call) -> None:
        """Fail a request that the balancer left unanswered, and cancel it there."""
        self.respond(call, 504 if self._loop.time() >= call.deadline else 500, b"", b"")
        self._perform(self._call_balancer(self.balancer.cancel_request, call.balancer_id))
        for attempt in tuple(call.attempts):
            attempt.end(Outcome.CANCELLED)

    def respond(
        self,
        call: Call,
        status: int,
        head: bytes,
        body: bytes,
        length: int | None = None,
        trailers: bytes | None = None,
    ) -> None:
        """Write the final response of a request; one with trailers returns as gRPC, as the request arrived."""
        if call.caller is not None:
            self.response_counts[status] += 1
            if status >= MIN_FAILURE_STATUS:
                self._record_failure(call, str(status))
        caller, form = self.release(call), call.request.grpc_form
        if caller is None:
            return
        if trailers is not None and form is not None:
            caller.on_disconnect = None
            form.finish(head, body, trailers)
        else:
            caller.respond(status, head, body, length)

    def _record_failure(self, call: Call, ending: str) -> None:
        """Add a failed request to the failure log."""
        row = self.settings.classes[call.attributes.class_index]
        request, now = call.request, self._loop.time()
        self.failures.add(
            request.headers.get(b"x-request-id", b""),
            ending,
            route=f"class-{call.attributes.class_index}",
            keyed=row.retry_safety is RetrySafety.KEYED,
            took_s=now - request.arrived,
            had_s=call.deadline - request.arrived,
            sends=len(call.attempts),
            steps=tuple(call.attempt_records),
        )

    def release(self, call: Call) -> Responder | None:
        """Release a request, and return its caller; whoever calls this has to send the response from then on."""
        caller = call.caller
        self._close(call)
        return caller

    def _close(self, call: Call) -> None:
        """Note that the pool owes no response for the request any more."""
        if call.caller is not None:
            call.caller = None
            self._owner.request_released(call)
        if call.timer is not None:
            call.timer.cancel()
        self._forget_if_finished(call)

    def _forget_if_finished(self, call: Call) -> None:
        if call.caller is None and not any(attempt.open for attempt in call.attempts):
            self.calls.pop(call.balancer_id, None)
            call.attempts.clear()  # Breaks the reference cycle between a call and its attempts.
            if call.request.stream is not None:
                call.request.stream.release()

    # ---- the balancer's actions --------------------------------------------------------------

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartTimer):
                self._loop.call_at(action.at - self._epoch, self._fire_timer, action.token)
            elif isinstance(action, Subscribe):
                self._subscribe()
            else:
                call = self.calls.get(action.request)
                if call is not None:
                    self._perform_one(call, action)

    def _fire_timer(self, token: int) -> None:
        self._perform(self._call_balancer(self.balancer.fire_timer, token))

    def _perform_one(self, call: Call, action: Action) -> None:
        if isinstance(action, Send):
            self._send_attempt(call, action)
        elif isinstance(action, Cancel):
            call.attempts[action.attempt].end(Outcome.CANCELLED)
        elif isinstance(action, Reject):
            self._owner.request_rejected(call, action.retry_after)
        else:
            self._owner.request_failed(call)

    def _send_attempt(self, call: Call, action: Send) -> None:
        now = self._loop.time()
        expires_at = min(call.deadline, now + action.timeout) if action.timeout > 0.0 else call.deadline
        number = len(call.attempts)
        is_retryable = self._retryable_classes[call.attributes.class_index]
        none_ran = not call.may_have_run and not any(attempt.open for attempt in call.attempts)
        check(call.caller is not None, Invariant.SENT_WHILE_OPEN, request=call.balancer_id, attempt=number)
        check(is_retryable or none_ran, Invariant.RUN_ONCE, request=call.balancer_id, attempt=number)
        watcher = AttemptWatcher(self, call, number)
        timed = expires_at < call.deadline  # otherwise the call's own timer ends it at the deadline
        backend = self.backends[action.server]
        if backend.transport is not None:
            call.attempts.append(
                backend.transport.start(backend, call.request, expires_at, watcher, is_retryable, timed)
            )
            return
        exchange = upstream.Exchange(
            backend,
            now,
            expires_at,
            call.encode_http1,
            watcher.on_ended,
            is_retryable,
            call.request.method == b"HEAD",
            timed,
        )
        if self.streams_responses and call.caller is not None and call.caller.streaming_receiver() is not None:
            exchange.on_response_begun = watcher.on_response_begun
        if call.request.stream is not None:
            self._stream_body(call, call.request.stream, exchange, number, action.timeout)
        call.attempts.append(exchange)
        self.upstream.start(exchange)

    def _stream_body(self, call: Call, body: Body, exchange: upstream.Exchange, number: int, timeout: float) -> None:
        """Stream the request's body to the attempt, whose timeout starts with the last byte."""
        exchange.body, exchange.sets_timer, exchange.expires_at = body, False, call.deadline

        def body_written() -> None:
            now = self._loop.time()
            exchange.started = now
            exchange.expires_at = min(call.deadline, now + timeout) if timeout > 0.0 else call.deadline
            if exchange.expires_at < call.deadline:
                exchange.timer = self._loop.call_at(exchange.expires_at, exchange.expire)

        def body_dropped() -> None:
            self.bind_to_attempt(call, number)

        exchange.on_body_sent, body.on_dropped = body_written, body_dropped

    def bind_to_attempt(self, call: Call, number: int) -> None:
        """Bind a request to an attempt, because a message was passed on: no other attempt may be made."""
        call.is_bound = True
        self._perform(self._call_balancer(self.balancer.bind_to_attempt, call.balancer_id, number, call=call))

    def begin_response(self, call: Call, number: int, response: Response, body: Pipe) -> None:
        """Start to stream the response of an attempt."""
        call.is_bound = True
        self._perform(self._call_balancer(self.balancer.begin_response, call.balancer_id, number, call=call))
        if call.caller is not None:
            self._owner.response_begun(call, response, body)

    def finish_attempt(
        self, call: Call, number: int, attempt: Attempt, outcome: Outcome, response: Response | None
    ) -> None:
        """Handle the end of an attempt."""
        now = self._loop.time()
        self.attempt_counts[outcome.value] += 1
        name = "{}:{}".format(*attempt.backend.address)
        status = "" if response is None else str(response.status)
        call.attempt_records.append(
            AttemptRecord(name, attempt.started - call.request.arrived, now - attempt.started, outcome.value, status)
        )
        call.last_outcome, call.last_response = outcome, response
        call.may_have_run = call.may_have_run or outcome not in NEVER_RAN
        if response is not None and self._owner.is_request_invalid(response.status):
            # Protects backends from invalid requests, which any other backend would reject too.
            self.respond(call, response.status, b"", b"rejected\n")
            self._perform(self._call_balancer(self.balancer.cancel_request, call.balancer_id, call=call))
            outcome = Outcome.NOT_PROCESSED
        elif outcome is Outcome.OK and response is not None:
            if now <= call.deadline:
                self._owner.request_served(call, response)
            else:  # The deadline has passed, but its timer is late.
                outcome = Outcome.TIMEOUT
        self._forget_if_finished(call)
        self._perform(
            self._call_balancer(
                self.balancer.finish_attempt,
                call.balancer_id,
                number,
                outcome,
                attempt.latency(now),
                call.caller is None,
                call=call,
            )
        )
