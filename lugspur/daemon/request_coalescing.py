"""Request coalescing of the daemon: carries out the actions that the flight table decides on."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lugspur.config.build import NO_TENANT
from lugspur.daemon.request_context import Ending, RequestContext
from lugspur.interfaces import GrpcForm, Request, Responder
from lugspur.joining.flight_table import (
    Action,
    CallSeparately,
    CancelCall,
    Deliver,
    Expire,
    ExtendDeadline,
    FlightTable,
    Reject,
    StartCall,
)
from lugspur.joining.keys import coalescing_key, selecting_values
from lugspur.joining.sharing import response_vary_names, with_request_id
from lugspur.routing.model import CoalescingPolicy

if TYPE_CHECKING:
    from lugspur.pipe import Pipe

MAX_RESPONSES_PER_TURN = 32  # written in one turn of the event loop, so that reads and timers run between turns
COPIES_MEMORY_SHARE = 0.25  # share of the memory limit for copies of one response whose callers read slowly
# The value is fixed, as the time at which there will be room to wait is unknown.
RETRY_AFTER_HEADER = b"Retry-After: 1\r\n"

Submit = Callable[[RequestContext, Responder], None]
Write = Callable[["WaitingRequest"], None]


@dataclass(slots=True)
class WaitingRequest:
    """One read that waits for the response of a shared call."""

    number: int
    context: RequestContext
    caller: Responder

    def request_id(self) -> bytes | None:
        """Return the id that the caller gave the request."""
        return self.context.request.headers.get(b"x-request-id")


class SharedCall:
    """One call for several waiting requests: the cluster sees one caller, and its response goes to all of them.

    The shared call is both that caller (interfaces.Responder) and, for gRPC requests, their form (interfaces.GrpcForm).
    """

    def __init__(self, coalescer: RequestCoalescer, number: int, first: WaitingRequest, deadline: float) -> None:
        self._coalescer, self.number = coalescer, number
        self.on_disconnect: Callable[[], None] | None = None
        self.peer = first.caller.peer
        self.context = replace(
            first.context, deadline=deadline, fallback_clusters=list(first.context.fallback_clusters)
        )
        self._form = first.context.request.grpc_form
        if self._form is not None:
            self.context.request = replace(self.context.request, grpc_form=self)
        self._stream_receiver: WaitingRequest | None = None  # the request that a streamed response goes to

    def admit(self) -> None:
        """Do nothing: the waiting requests were admitted before."""

    # ---- the request as gRPC (interfaces.GrpcForm) ---------------------------------------------------

    @property
    def pipe(self) -> None:
        """Return None: a stream is never coalesced."""

    @property
    def requires_grpc(self) -> bool:
        """Return False: a stream is never coalesced."""
        return False

    def to_http1(self, request: Request) -> Request:
        """Return the request in the form for a backend that speaks HTTP/1.1."""
        assert self._form is not None
        return self._form.to_http1(request)

    # ---- the response ----------------------------------------------------------------------------

    def streaming_receiver(self) -> None:
        """Return None: a response for several requests is complete before any of them gets it."""

    def respond(self, status: int, head: bytes, body: bytes, length: int | None = None) -> None:
        """Send the final response to all waiting requests."""

        def write(waiting: WaitingRequest) -> None:
            waiting.caller.respond(status, with_request_id(head, waiting.request_id()), body, length)

        self._finish(status, head, b"", len(body), write)

    def finish(self, head: bytes, body: bytes, trailers: bytes) -> None:
        """Send the response of a gRPC backend, or the rest of a streamed one."""

        def write(waiting: WaitingRequest) -> None:
            waiting.caller.on_disconnect = None
            _form_of(waiting).finish(with_request_id(head, waiting.request_id()), body, trailers)

        self._finish(200, head, trailers, len(body), write)

    def _finish(self, status: int, head: bytes, trailers: bytes, size: int, write: Write) -> None:
        self.on_disconnect = None
        if self._stream_receiver is not None:
            write(self._stream_receiver)
            return
        context, join = self.context, self.context.forward.coalescing
        assert join is not None
        if context.ending is Ending.REJECTED:
            self._coalescer.reject_call(self.number, write)
            return
        # A failure goes to all waiting requests, unless the backend's response depends on the caller.
        compared_head = head if context.ending is Ending.SERVED else b""
        varies_by = response_vary_names(context.backend_status, compared_head, join, trailers)
        self._coalescer.finish_call(self.number, varies_by, size, write)

    def begin_messages(self, head: bytes, body: Pipe) -> None:
        """Stream a response to the request that the call was made for; the others get calls of their own."""
        receiver = self._coalescer.take_streaming_request(self.number)
        if receiver is None:
            if self.on_disconnect is not None:
                self.on_disconnect()
            return
        self._stream_receiver = receiver
        receiver.caller.on_disconnect = self.on_disconnect
        if self.context.call is not None:
            self.context.cluster.pool.change_deadline(self.context.call, receiver.context.deadline)
        _form_of(receiver).begin_messages(head, body)


def _form_of(waiting: WaitingRequest) -> GrpcForm:
    form = waiting.context.request.grpc_form
    assert form is not None
    return form


def _tenant_key(tenant: str) -> str:
    return "" if tenant == NO_TENANT else tenant


class RequestCoalescer:
    """Coalesces equal reads of one daemon into shared calls."""

    def __init__(self, submit: Submit) -> None:
        self._submit = submit
        self._loop = asyncio.get_running_loop()
        self.flight_table = FlightTable(0)
        self._max_copied_bytes = 0  # in all copies of one response together
        self._waiting: dict[int, WaitingRequest] = {}
        self._shared_calls: dict[int, SharedCall] = {}
        self._request_count = 0
        self._pending_actions: deque[Action] = deque()
        self._is_acting = False
        self._pending_responses: deque[tuple[WaitingRequest, Write]] = deque()  # responses to write
        self._is_writing = False
        self._timer: asyncio.TimerHandle | None = None

    def tune(self, max_waiting: int, memory_limit_bytes: int) -> None:
        """Set how many reads may wait for others' calls, and the memory limit that copies of responses share."""
        self.flight_table.max_waiting = max_waiting
        self._max_copied_bytes = int(COPIES_MEMORY_SHARE * memory_limit_bytes)

    def coalesce(
        self, received: Request, context: RequestContext, route: Hashable, join: CoalescingPolicy, caller: Responder
    ) -> None:
        """Share a call with equal reads where that is possible; `received` is the request before routing."""
        form = context.request.grpc_form
        bound = form is not None and form.requires_grpc
        tenant = _tenant_key(context.tenant)
        key = None if bound else coalescing_key(received, context.request, route, tenant, join)
        self._request_count += 1
        if key is None:
            self._submit(context, caller)
            return
        waiting = self._waiting[self._request_count] = WaitingRequest(self._request_count, context, caller)
        caller.on_disconnect = lambda: self._caller_disconnected(waiting)
        self._carry_out(
            self.flight_table.add_read(
                self._loop.time(),
                waiting.number,
                key,
                join.max_age_seconds,
                tenant,
                context.deadline,
                selecting_values(received, tenant, join),
            )
        )

    def record_write(self, tenant: str) -> None:
        """Record the end of a request that may have changed something, so that later reads get no older response."""
        self.flight_table.record_write(self._loop.time(), _tenant_key(tenant))

    def _caller_disconnected(self, waiting: WaitingRequest) -> None:
        if self._waiting.pop(waiting.number, None) is not None:
            self._carry_out(self.flight_table.remove_read(waiting.number))

    # ---- events of shared calls -----------------------------------------------------------------------

    def finish_call(self, number: int, varies_by: frozenset[bytes] | None, size: int, write: Write) -> None:
        """Send the response of a shared call, with a body of `size` bytes, to the requests that may share it.

        `varies_by` is what the response depends on, as `joining.sharing.response_vary_names` returns it.
        """
        max_recipients = max(1, self._max_copied_bytes // max(1, size))
        self._carry_out(self.flight_table.finish_call(self._loop.time(), number, varies_by, max_recipients), write)
        self._shared_calls.pop(number, None)

    def reject_call(self, number: int, write: Write) -> None:
        """Send the rejection of a shared call of which no attempt was made."""
        self._carry_out(self.flight_table.reject_call(self._loop.time(), number), write)
        self._shared_calls.pop(number, None)

    def take_streaming_request(self, number: int) -> WaitingRequest | None:
        """Return the request that a streamed response goes to, if it still waits; the others leave the call."""
        self._shared_calls.pop(number, None)
        actions = self.flight_table.finish_call_as_stream(self._loop.time(), number)
        receivers = [action for action in actions if isinstance(action, Deliver)]
        self._carry_out([action for action in actions if not isinstance(action, Deliver)])
        return self._waiting.pop(receivers[0].member) if receivers else None

    # ---- actions ---------------------------------------------------------------------------------

    def _carry_out(self, actions: list[Action], write: Write | None = None) -> None:
        """Carry out actions in order; an action that is caused by another one comes after all that already wait."""
        for action in actions:
            if isinstance(action, Deliver):
                assert write is not None
                self._pending_responses.append((self._waiting[action.member], write))
            else:
                self._pending_actions.append(action)
        if not self._is_writing:
            self._write_next_responses()
        if self._is_acting:
            return
        self._is_acting = True
        try:
            while self._pending_actions:
                self._carry_out_one(self._pending_actions.popleft())
        finally:
            self._is_acting = False
        self._schedule_timer()

    def _carry_out_one(self, action: Action) -> None:
        if isinstance(action, StartCall):
            first = self._waiting[action.member]
            shared_call = self._shared_calls[action.flight] = SharedCall(self, action.flight, first, action.deadline)
            self._submit(shared_call.context, shared_call)
        elif isinstance(action, ExtendDeadline):
            self._extend_deadline(self._shared_calls.get(action.flight), action.deadline)
        elif isinstance(action, CancelCall):
            dropped = self._shared_calls.pop(action.flight, None)
            if dropped is not None and dropped.on_disconnect is not None:
                dropped.on_disconnect()
        elif not isinstance(action, Deliver):
            self._separate(self._waiting.pop(action.member, None), action)

    def _extend_deadline(self, shared_call: SharedCall | None, deadline: float) -> None:
        if shared_call is not None:
            shared_call.context.deadline = deadline
            if shared_call.context.call is not None:
                shared_call.context.cluster.pool.change_deadline(shared_call.context.call, deadline)

    def _separate(self, waiting: WaitingRequest | None, action: Action) -> None:
        """Remove a request from its shared call: it gets a call of its own or an error."""
        if waiting is None:
            return
        if isinstance(action, CallSeparately):
            self._submit(waiting.context, waiting.caller)
        elif isinstance(action, Expire):
            waiting.caller.respond(504, b"", b"the time is up\n")
        elif isinstance(action, Reject):
            waiting.caller.respond(503, RETRY_AFTER_HEADER, b"no place to wait\n")

    def _schedule_timer(self) -> None:
        """Schedule the timer for the next request whose deadline is earlier than its shared call's."""
        due = self.flight_table.next_deadline()
        if self._timer is not None:
            if due is not None and self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = None if due is None else self._loop.call_at(due, self._run_due)

    def _run_due(self) -> None:
        self._timer = None
        self._carry_out(self.flight_table.expire(self._loop.time()))

    # ---- responses ---------------------------------------------------------------------------------

    def _write_next_responses(self) -> None:
        """Write pending responses, a few in each turn of the event loop."""
        self._is_writing = True
        try:
            for _ in range(min(MAX_RESPONSES_PER_TURN, len(self._pending_responses))):
                waiting, write = self._pending_responses.popleft()
                if self._waiting.pop(waiting.number, None) is not None:  # otherwise the caller has disconnected
                    self._write_response(waiting, write)
        finally:
            self._is_writing = bool(self._pending_responses)
            if self._is_writing:
                self._loop.call_soon(self._write_next_responses)

    def _write_response(self, waiting: WaitingRequest, write: Write) -> None:
        if self._loop.time() > waiting.context.deadline:  # The deadline has passed, but its timer is late.
            waiting.caller.respond(504, b"", b"the time is up\n")
        else:
            write(waiting)
