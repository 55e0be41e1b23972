"""The daemon: routes requests from listeners to upstream clusters, by one configuration file at a time."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lugspur.config import model
from lugspur.config.build import METHODS, NO_TENANT, Plan
from lugspur.daemon.cluster import GRPC_HOST_TYPE, UpstreamCluster
from lugspur.daemon.outgoing import Headers, build_upstream_request, change_headers, extract_value
from lugspur.daemon.pool import Call, RequestAttributes
from lugspur.daemon.proxy import (
    CALLER_SOCKETS_SHARE,
    MAX_UPLOAD_SECONDS,
    RESERVED_SOCKETS,
    RESPONSE_MARGIN_SECONDS,
    SECONDS_PATTERN,
    read_cost,
)
from lugspur.daemon.request_coalescing import RequestCoalescer
from lugspur.daemon.request_context import Ending, RequestContext
from lugspur.discovery.registry_sessions import RegistrySessions
from lugspur.http1.body import Body
from lugspur.http1.front import Front
from lugspur.http1.request_parser import RejectionError, Sizes
from lugspur.http1.upstream import RESPONSE_MEMORY_FRACTION
from lugspur.interfaces import Request, Responder, Response
from lugspur.load_balancing.model import Outcome, RequestClass, RetrySafety
from lugspur.routing.model import DirectResponse, Forward, Redirect, RequestView
from lugspur.routing.pool_health import PoolHealth, pools_to_attempt
from lugspur.routing.shares import SharedLimit, guaranteed_parts
from lugspur.routing.splits import order_at_random, order_by_key
from lugspur.routing.table import Match, NoMatch, parse_query
from lugspur.routing.target import Target, TargetError, parse_target

if TYPE_CHECKING:
    from lugspur.daemon.overload_protection import OverloadProtection
    from lugspur.daemon.state_persistence import StatePersistence
    from lugspur.pipe import Pipe

RETRY_AFTER_HEADER = b"Retry-After: 1\r\n"  # without a backend or slot; it is not known when one will be available
RETRIABLE_STATUSES = (429, 503)  # statuses that declare a retry harmless, so that a failed request must not get them


@dataclass(slots=True, frozen=True)
class LoadedConfiguration:
    """One loaded configuration file; a request is handled by the one that was in force when its head had arrived."""

    plan: Plan
    clusters: dict[str, UpstreamCluster]
    pool_health: dict[str, PoolHealth]
    reload_number: int  # of the reload that put it into force


class Daemon:
    """The clusters and the request handling of one process; `apply` starts it, and applies reloaded files later."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._epoch = time.time() - self._loop.time()
        self._rng = random.Random()
        self._sockets = SharedLimit(0, {})
        self._request_slots = SharedLimit(0, {})  # open requests, by pool
        self.coalescer = RequestCoalescer(self._submit)
        self.overload_protection: OverloadProtection | None = None
        self._reloads = 0
        self.configuration: LoadedConfiguration
        self.clusters: dict[str, UpstreamCluster] = {}
        self.registries = RegistrySessions()
        self.state_persistence: StatePersistence | None = None

    def apply(self, plan: Plan, path: str) -> None:
        """Put a plan into force in one step; open requests keep the configuration that they began with."""
        limits, pools = plan.file.limits, plan.file.pools
        sockets = max(8, limits.sockets - RESERVED_SOCKETS)
        max_callers = int(CALLER_SOCKETS_SHARE * sockets)
        weights = {name: row.share for name, row in pools.items()}
        self._sockets.set_parts(sockets - max_callers, guaranteed_parts(sockets - max_callers, weights))
        self._request_slots.set_parts(max_callers, guaranteed_parts(max_callers, weights))
        held_bytes_per_weight = RESPONSE_MEMORY_FRACTION * limits.memory / sum(weights.values()) if weights else 0.0
        for name in self.clusters.keys() - pools.keys():
            self.clusters.pop(name).close_when_idle(self.configuration.plan.file.limits.read)
        for name, row in pools.items():
            cluster = self.clusters.get(name)
            snapshot, snapshot_age = None, None
            if cluster is None:
                if self.state_persistence is not None:
                    snapshot, snapshot_age = self.state_persistence.snapshot_of(name)
                cluster = self.clusters[name] = UpstreamCluster(name, self._sockets, self, self._epoch, self.registries)
                for other in self.clusters.values():  # an operator's ban applies to every pool
                    cluster.overrides.banned.update(other.overrides.banned)
            cluster.apply(
                row,
                plan.settings(row),
                int(held_bytes_per_weight * row.share),
                limits,
                path,
                plan.file.registries,
                snapshot,
                snapshot_age,
            )
        pool_health = {name: cluster.health for name, cluster in self.clusters.items()}
        self.coalescer.tune(limits.joined, limits.memory)
        self._apply_overload_protection(plan)
        self._reloads += 1
        self.configuration = LoadedConfiguration(plan, dict(self.clusters), pool_health, self._reloads)

    def _apply_overload_protection(self, plan: Plan) -> None:
        """Start or stop the overload protection, or change its classes, as configured."""
        row = plan.file.guard
        if not row.on:
            self.close()
        elif self.overload_protection is None:
            from lugspur.daemon.overload_protection import OverloadProtection

            self.overload_protection = OverloadProtection(plan.classes, row.memory)
        else:
            self.overload_protection.change_classes(plan.classes, row.memory)

    def close(self) -> None:
        """Stop the overload protection."""
        if self.overload_protection is not None:
            self.overload_protection.close()
            self.overload_protection = None

    def create_front(self, row: model.Listener) -> Front:
        """Return a front for one listener of the plan."""

        def handle(request: Request, caller: Responder) -> None:
            self._handle(row, request, caller)

        front = Front(row.address, 1, 0, handle)
        front.ready = True
        if row.http2:
            from lugspur.daemon import health
            from lugspur.http2.front import CallerConnection

            def handle_http2(request: Request, caller: Responder) -> None:
                if not health.handle_health_request(request, caller, front, lambda name: self._serves(front, name)):
                    self._handle(row, request, caller)

            front.http2 = lambda front: CallerConnection(front, handle_http2, row.streams)
        front.get_configuration = lambda: self.configuration
        self.apply_limits(front)
        return front

    def apply_limits(self, front: Front) -> None:
        """Apply the plan's limits to a front; listeners share connections and memory evenly."""
        file = self.configuration.plan.file
        limits, count = file.limits, len(file.listeners)
        sockets = max(8, limits.sockets - RESERVED_SOCKETS)
        if self.overload_protection is not None:
            self.overload_protection.attach(front)
        else:
            front.arrival_time = front.descriptors = None
        front.update_limits(
            max(1, int(CALLER_SOCKETS_SHARE * sockets) // count),
            limits.memory // count,
            Sizes(limits.head, limits.body, ordinary=True, max_buffered_body=limits.hold),
            limits.read,
            limits.idle,
            limits.drain,
        )

    def _serves(self, front: Front, name: str) -> bool | None:
        """Return whether a pool, or for "" the listener, serves; None if no pool has that name."""
        if not name:
            return front.healthy()
        cluster = self.clusters.get(name)
        return None if cluster is None else cluster.health.is_usable(self._loop.time()) and front.healthy()

    # ---- requests ------------------------------------------------------------------------------

    def _handle(self, row: model.Listener, request: Request, caller: Responder) -> None:
        method = request.method.decode("latin-1")
        if method not in METHODS:
            raise RejectionError(501, "the method is not served")
        try:
            target = parse_target(request.target, request.headers.get(b"host"))
        except TargetError as error:
            raise RejectionError(400, str(error)) from error
        configuration = request.configuration
        assert isinstance(configuration, LoadedConfiguration)
        table = configuration.plan.table
        headers = Headers(request.headers)
        query = parse_query(target.query) if table.reads_query else {}
        match = table.find(RequestView(method, target, headers, query))
        if isinstance(match, NoMatch):
            _respond_to_miss(match, caller)
        elif isinstance(match.route.action, DirectResponse):
            reply = match.route.action
            lines = "".join(f"{name}: {value}\r\n" for name, value in reply.headers)
            caller.respond(reply.status, lines.encode(), reply.body)
        elif isinstance(match.route.action, Redirect):
            _respond_with_redirect(match.route.action, match, target, caller)
        else:
            self._forward(row, configuration, match, match.route.action, request, target, caller)

    def _forward(
        self,
        row: model.Listener,
        configuration: LoadedConfiguration,
        match: Match,
        forward: Forward,
        request: Request,
        target: Target,
        caller: Responder,
    ) -> None:
        request_class = configuration.plan.classes[configuration.plan.class_indices[forward.class_name]]
        timeout = self._read_timeout(request_class, forward, request)
        query = parse_query(target.query) if _reads_query(forward) else {}
        tenant = _read_tenant(configuration.plan, match, forward, request, query)
        caller.admit()
        deadline = self._loop.time() + timeout - RESPONSE_MARGIN_SECONDS
        if timeout <= 0.0:  # The request arrived too late or was queued too long: no work is spent on it.
            caller.respond(504, b"", b"the time is up\n")
            return
        if self.overload_protection is not None and configuration is self.configuration:
            client = caller.peer if tenant == NO_TENANT else tenant
            class_index = configuration.plan.class_indices[forward.class_name]
            size = len(request.body) if request.stream is None else request.stream.received
            if not self.overload_protection.admits(class_index, client, size):
                caller.respond(503, RETRY_AFTER_HEADER, b"too busy\n")
                self.overload_protection.pause_reading(caller, class_index)
                return
        if forward.key is not None:
            key = extract_value(forward.key, Headers(request.headers), query, match.captured)
            order = order_by_key(forward.splits, key.encode("utf-8", "surrogatepass"))
        else:
            order = order_at_random(forward.splits, self._rng)
        names = pools_to_attempt(order, forward.fallback, configuration.pool_health, self._loop.time())
        if not names:
            caller.respond(503, RETRY_AFTER_HEADER, b"no backend\n")
            return
        upstream_request = build_upstream_request(request, target, match, forward, caller.peer, row.trust_forwarded)
        cluster, *fallback_clusters = (configuration.clusters[name] for name in names)
        context = RequestContext(
            request_class, forward, upstream_request, tenant, read_cost(request), deadline, cluster, fallback_clusters
        )
        stream = request.stream
        if stream is not None and not stream.ended:
            self._submit_streaming(context, stream, timeout, caller)
            return
        if forward.coalescing is None or stream is not None:
            self._submit(context, caller)
            return
        # Reads are not equal if they belong to different reloads, or to listeners that trust forwarded headers or not.
        route = configuration.reload_number, match.route.name, cluster.name, row.trust_forwarded
        self.coalescer.coalesce(request, context, route, forward.coalescing, caller)

    def _read_timeout(self, request_class: RequestClass, forward: Forward, request: Request) -> float:
        """Return the request's timeout in seconds; raises RejectionError if a required header is missing."""
        get = request.headers.get
        if request_class.retry_safety is RetrySafety.KEYED and not get(b"idempotency-key"):
            raise RejectionError(400, "no Idempotency-Key, which this class needs")
        timeout = min(request_class.deadline, forward.deadline or request_class.deadline)
        requested_timeout = get(b"x-timeout")
        if requested_timeout is not None:
            if not SECONDS_PATTERN.fullmatch(requested_timeout):
                raise RejectionError(400, "X-Timeout is malformed")
            # The caller counts from the start of its request, so the time since its arrival is subtracted.
            timeout = min(timeout, float(requested_timeout) - (self._loop.time() - request.arrived))
        return timeout

    def _submit_streaming(self, context: RequestContext, stream: Body, timeout: float, caller: Responder) -> None:
        """Submit a request whose body is streamed; its timeout counts from the body's last byte."""

        def complete_body() -> None:
            deadline = self._loop.time() + timeout - RESPONSE_MARGIN_SECONDS
            context.deadline, context.expected_by = deadline, float("inf")
            if context.call is not None:
                context.cluster.pool.complete_body(context.call, deadline)

        def body_gathered(body: bytes) -> None:
            context.request.body, context.request.stream = body, None
            complete_body()
            self._submit(context, caller)

        if any(cluster.speaks_grpc for cluster in (context.cluster, *context.fallback_clusters)):
            # A gRPC backend receives the body as one message, whose length precedes it.
            stream.buffer_whole(body_gathered)
            return
        context.expected_by = context.deadline
        context.deadline += MAX_UPLOAD_SECONDS
        stream.on_complete = complete_body
        self._submit(context, caller)

    def _submit(self, context: RequestContext, caller: Responder) -> None:
        """Submit a request to its upstream cluster, if that has capacity left."""
        cluster, form = context.cluster, context.request.grpc_form
        request_class = context.request_class
        if form is not None and form.requires_grpc:
            if not cluster.speaks_grpc:
                caller.respond(501, b"", b"no backend here speaks gRPC, and HTTP/1.1 takes no streams\n")
                return
            request_class = replace(request_class, allowed_host_types=(GRPC_HOST_TYPE,))
        if not self._request_slots.can_acquire(cluster.name):
            # Protects the other pools: one that hangs fills only its own slots and those that are not reserved.
            context.ending = Ending.REJECTED
            caller.respond(503, RETRY_AFTER_HEADER, b"no place\n")
            return
        self._request_slots.acquire(cluster.name)
        attributes = RequestAttributes(
            cluster.class_index(request_class), cluster.tenant_index(context.tenant), 0.0, context.cost, False
        )
        call = cluster.pool.submit(context.request, attributes, caller, context.deadline, context, context.expected_by)
        if call.caller is not None:  # otherwise it is answered already, or another pool has taken over
            context.call = call

    # ---- the pools' owner (pool.PoolOwner) -------------------------------------------------------

    def is_request_invalid(self, status: int) -> bool:
        """Return False: a 4xx of an ordinary backend is forwarded like any other response."""
        return False

    def request_served(self, call: Call, response: Response) -> None:
        """Send the response to the caller, or finish a streamed one."""
        context = _context_of(call)
        _record_ending(context, call, Ending.SERVED)
        if context.streaming_caller is not None:
            context.cluster.pool.release(call)
            context.streaming_caller.finish_response()
        else:
            self._send_response(call, response)

    def _send_response(self, call: Call, response: Response) -> None:
        context = _context_of(call)
        head = change_headers(response.head, context.forward.response)
        context.cluster.pool.respond(call, response.status, head, response.body, response.length, response.trailers)

    def response_begun(self, call: Call, response: Response, body: Pipe) -> None:
        """Start to stream a response to the caller."""
        context = _context_of(call)
        if context.request.grpc_form is not None:
            context.request.grpc_form.begin_messages(change_headers(response.head, context.forward.response), body)
            return
        streaming_caller = None if call.caller is None else call.caller.streaming_receiver()
        if streaming_caller is not None:  # from here on, no deadline ends the response
            context.streaming_caller = streaming_caller
            context.cluster.pool.clear_deadline(call)
            head = change_headers(response.head, context.forward.response)
            streaming_caller.begin_response(response.status, head, response.length, body)

    def request_rejected(self, call: Call, retry_after: float) -> None:
        """Fail over to the next pool if this one has no usable backend and nothing ran; otherwise respond with 503."""
        context = _context_of(call)
        cluster, now = context.cluster, self._loop.time()
        fallbacks = [other for other in context.fallback_clusters if other.health.is_usable(now)]
        stream = context.request.stream
        # Whether a part of the body is no longer buffered.
        body_partly_dropped = stream is not None and stream.is_partly_dropped
        if (
            fallbacks
            and not body_partly_dropped
            and not call.may_have_run
            and not cluster.health.is_usable(now)
            and now < call.deadline
        ):
            caller = cluster.pool.release(call)
            context.cluster, *context.fallback_clusters = fallbacks
            if caller is not None:
                self._submit(context, caller)
            return
        _record_ending(context, call, Ending.FAILED if call.attempts else Ending.REJECTED)
        head = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0.0 else RETRY_AFTER_HEADER
        # gRPC has a status for requests whose deadline has passed, whether a retry is harmless or not.
        deadline_passed = call.request.grpc_form is not None and now >= call.deadline
        cluster.pool.respond(
            call, 504 if deadline_passed else 503, head, b"the time is up\n" if deadline_passed else b"refused\n"
        )

    def request_failed(self, call: Call) -> None:
        """Forward the backend's error response, if that does not declare a retry harmless; else respond 502 or 504."""
        response, context = call.last_response, _context_of(call)
        _record_ending(context, call, Ending.FAILED)
        if response is not None and response.status >= 400 and response.status not in RETRIABLE_STATUSES:
            self._send_response(call, response)
        else:
            context.cluster.pool.respond(call, 504 if call.last_outcome is Outcome.TIMEOUT else 502, b"", b"failed\n")

    def request_released(self, call: Call) -> None:
        """Free the request's slot, and record a write: responses that were begun before may not include it."""
        context = _context_of(call)
        if context.call is call:
            context.call = None  # breaks the reference cycle between a call and its context
        self._request_slots.release(context.cluster.name)
        if context.request_class.retry_safety is not RetrySafety.SAFE:
            self.coalescer.record_write(context.tenant)


def _record_ending(context: RequestContext, call: Call, ending: Ending) -> None:
    """Record how its cluster ended a request, before the final response is written."""
    context.ending, context.backend_status = ending, 0 if call.last_response is None else call.last_response.status


def _context_of(call: Call) -> RequestContext:
    assert isinstance(call.context, RequestContext)
    return call.context


def _read_tenant(plan: Plan, match: Match, forward: Forward, request: Request, query: dict[str, str]) -> str:
    """Return the request's tenant; raises RejectionError if its route requires one and it names none that is known."""
    if forward.tenant is None:
        return NO_TENANT
    name = extract_value(forward.tenant, Headers(request.headers), query, match.captured)
    if name not in plan.file.tenants:
        raise RejectionError(403, "unknown tenant")
    return name


def _reads_query(forward: Forward) -> bool:
    return any(source is not None and source.query for source in (forward.key, forward.tenant))


def _respond_to_miss(miss: NoMatch, caller: Responder) -> None:
    if miss.allowed_methods:
        head = b"Allow: %b\r\n" % ", ".join(sorted(miss.allowed_methods)).encode()
        caller.respond(405, head, b"method not allowed\n")
    else:
        caller.respond(404, b"", b"no route\n")


def _respond_with_redirect(redirect: Redirect, match: Match, target: Target, caller: Responder) -> None:
    to = redirect.location.fill(match.captured).encode()
    if target.query is not None:
        to += (b"&" if b"?" in to else b"?") + target.query
    caller.respond(redirect.status, b"Location: %b\r\n" % to, b"")
