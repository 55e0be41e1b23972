"""The daemon: listeners, the table and the pools of one file, and what becomes of each request."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lugspur.config import model
from lugspur.config.build import METHODS, NOBODY, Plan
from lugspur.daemon.cluster import GRPC_HOST_TYPE, UpstreamCluster
from lugspur.daemon.outgoing import Headers, changed, drawn, outgoing
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
from lugspur.http1.intake import Rejected, Sizes
from lugspur.http1.upstream import HELD_PART
from lugspur.load_balancing.model import Outcome, RequestClass, RetrySafety
from lugspur.routing.model import Asked, Forward, Redirect, Reply
from lugspur.routing.shares import Shares, even
from lugspur.routing.splits import by_chance, by_key
from lugspur.routing.standing import Standing, candidates
from lugspur.routing.table import Match, Miss, read_query
from lugspur.routing.target import Target, TargetError, read_target
from lugspur.seams import Answerable, Request, Response

if TYPE_CHECKING:
    from lugspur.daemon.overload_protection import OverloadProtection
    from lugspur.daemon.state_persistence import StatePersistence
    from lugspur.pipe import Pipe

COME_BACK = b"Retry-After: 1\r\n"  # where no backend is there, or no place: nothing tells when one will be
REFUSALS = (429, 503)  # say that trying again is harmless, so no failure may be worded so


@dataclass(slots=True, frozen=True)
class Regime:
    """One file in force: requests are judged by the one that was in force when their head had come."""

    plan: Plan
    clusters: dict[str, UpstreamCluster]
    standings: dict[str, Standing]
    number: int  # of the reload that brought it


class Daemon:
    """Everything that runs by one file; `apply` begins it, and takes over another file later."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._epoch = time.time() - self._loop.time()
        self._rng = random.Random()
        self._sockets = Shares(0, {})
        self._request_slots = Shares(0, {})  # requests in hand, by pool
        self.coalescer = RequestCoalescer(self._submit)
        self.overload_protection: OverloadProtection | None = None
        self._reloads = 0
        self.regime: Regime
        self.clusters: dict[str, UpstreamCluster] = {}
        self.registries = RegistrySessions()
        self.state_persistence: StatePersistence | None = None

    def apply(self, plan: Plan, path: str) -> None:
        """Take over a plan in one step: requests in hand keep what they began with."""
        limits, pools = plan.file.limits, plan.file.pools
        sockets = max(8, limits.sockets - RESERVED_SOCKETS)
        callers = int(CALLER_SOCKETS_SHARE * sockets)
        weights = {name: row.share for name, row in pools.items()}
        self._sockets.reset(sockets - callers, even(sockets - callers, weights))
        self._request_slots.reset(callers, even(callers, weights))
        held = HELD_PART * limits.memory / sum(weights.values()) if weights else 0.0
        for name in self.clusters.keys() - pools.keys():
            self.clusters.pop(name).close_when_idle(self.regime.plan.file.limits.read)
        for name, row in pools.items():
            cluster = self.clusters.get(name)
            kept, age = None, None
            if cluster is None:
                if self.state_persistence is not None:
                    kept, age = self.state_persistence.snapshot_of(name)
                cluster = self.clusters[name] = UpstreamCluster(name, self._sockets, self, self._epoch, self.registries)
                for other in self.clusters.values():  # what operators have taken out is out of every pool
                    cluster.overrides.banned.update(other.overrides.banned)
            cluster.apply(row, plan.settings(row), int(held * row.share), limits, path, plan.file.registries, kept, age)
        standings = {name: cluster.standing for name, cluster in self.clusters.items()}
        self.coalescer.tune(limits.joined, limits.memory)
        self._apply_overload_protection(plan)
        self._reloads += 1
        self.regime = Regime(plan, dict(self.clusters), standings, self._reloads)

    def _apply_overload_protection(self, plan: Plan) -> None:
        """Start or stop the overload protection, or change its classes, as the plan says."""
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

    def front(self, row: model.Listener) -> Front:
        """A front for one listener of the plan."""

        def handle(request: Request, caller: Answerable) -> None:
            self._handle(row, request, caller)

        front = Front(row.address, 1, 0, handle)
        front.ready = True
        if row.http2:
            from lugspur.daemon import health
            from lugspur.http2.front import Connection

            def handle2(request: Request, caller: Answerable) -> None:
                if not health.takes(request, caller, front, lambda name: self._serves(front, name)):
                    self._handle(row, request, caller)

            front.http2 = lambda front: Connection(front, handle2, row.streams)
        front.terms = lambda: self.regime
        self.retune(front)
        return front

    def retune(self, front: Front) -> None:
        """Give a front its part of the plan's limits: listeners share callers and memory evenly."""
        file = self.regime.plan.file
        limits, count = file.limits, len(file.listeners)
        sockets = max(8, limits.sockets - RESERVED_SOCKETS)
        if self.overload_protection is not None:
            self.overload_protection.attach(front)
        else:
            front.came = front.work = None
        front.tune(
            max(1, int(CALLER_SOCKETS_SHARE * sockets) // count),
            limits.memory // count,
            Sizes(limits.head, limits.body, ordinary=True, hold=limits.hold),
            limits.read,
            limits.idle,
            limits.drain,
        )

    def _serves(self, front: Front, name: str) -> bool | None:
        """Whether a pool, or for "" the listener, serves; None for a name that nobody has."""
        if not name:
            return front.healthy()
        cluster = self.clusters.get(name)
        return None if cluster is None else cluster.standing.usable(self._loop.time()) and front.healthy()

    # ---- requests ------------------------------------------------------------------------------

    def _handle(self, row: model.Listener, request: Request, caller: Answerable) -> None:
        method = request.method.decode("latin-1")
        if method not in METHODS:
            raise Rejected(501, "the method is not served")
        try:
            target = read_target(request.target, request.headers.get(b"host"))
        except TargetError as fault:
            raise Rejected(400, str(fault)) from fault
        regime = request.terms
        assert isinstance(regime, Regime)
        table = regime.plan.table
        headers = Headers(request.headers)
        query = read_query(target.query) if table.reads_query else {}
        match = table.find(Asked(method, target, headers, query))
        if isinstance(match, Miss):
            _answer_miss(match, caller)
        elif isinstance(match.route.action, Reply):
            reply = match.route.action
            lines = "".join(f"{name}: {value}\r\n" for name, value in reply.headers)
            caller.answer(reply.status, lines.encode(), reply.body)
        elif isinstance(match.route.action, Redirect):
            _answer_redirect(match.route.action, match, target, caller)
        else:
            self._forward(row, regime, match, match.route.action, request, target, caller)

    def _forward(
        self,
        row: model.Listener,
        regime: Regime,
        match: Match,
        forward: Forward,
        request: Request,
        target: Target,
        caller: Answerable,
    ) -> None:
        kind = regime.plan.classes[regime.plan.kinds[forward.kind]]
        timeout = self._timeout(kind, forward, request)
        query = read_query(target.query) if _reads_query(forward) else {}
        tenant = _tenant(regime.plan, match, forward, request, query)
        caller.admit()
        deadline = self._loop.time() + timeout - RESPONSE_MARGIN_SECONDS
        if timeout <= 0.0:  # It came too late, or lay too long: what nobody waits for costs no more than this.
            caller.answer(504, b"", b"the time is up\n")
            return
        if self.overload_protection is not None and regime is self.regime:
            who = caller.peer if tenant == NOBODY else tenant
            place = regime.plan.kinds[forward.kind]
            size = len(request.body) if request.stream is None else request.stream.came
            if not self.overload_protection.admits(place, who, size):
                caller.answer(503, COME_BACK, b"too busy\n")
                self.overload_protection.pause_reading(caller, place)
                return
        if forward.key is not None:
            key = drawn(forward.key, Headers(request.headers), query, match.captured)
            order = by_key(forward.splits, key.encode("utf-8", "surrogatepass"))
        else:
            order = by_chance(forward.splits, self._rng)
        found = candidates(order, forward.fallback, regime.standings, self._loop.time())
        if not found:
            caller.answer(503, COME_BACK, b"no backend\n")
            return
        sent = outgoing(request, target, match, forward, caller.peer, row.trust_forwarded)
        cluster, *rest = (regime.clusters[name] for name in found)
        context = RequestContext(kind, forward, sent, tenant, read_cost(request), deadline, cluster, rest)
        stream = request.stream
        if stream is not None and not stream.ended:
            self._stream(context, stream, timeout, caller)
            return
        if forward.join is None or stream is not None:
            self._submit(context, caller)
            return
        # Reads of two files, or with and without what a trusted listener lets through, are never the same.
        route = regime.number, match.route.name, cluster.name, row.trust_forwarded
        self.coalescer.coalesce(request, context, route, forward.join, caller)

    def _timeout(self, kind: RequestClass, forward: Forward, request: Request) -> float:
        """Seconds until it is given up; raises Rejected where it lacks what its class asks for."""
        get = request.headers.get
        if kind.retry_safety is RetrySafety.KEYED and not get(b"idempotency-key"):
            raise Rejected(400, "no Idempotency-Key, which this class needs")
        timeout = min(kind.deadline, forward.deadline or kind.deadline)
        wanted = get(b"x-timeout")
        if wanted is not None:
            if not SECONDS_PATTERN.fullmatch(wanted):
                raise Rejected(400, "X-Timeout is malformed")
            # A caller counts from when it began to send; what has passed since is gone.
            timeout = min(timeout, float(wanted) - (self._loop.time() - request.arrived))
        return timeout

    def _stream(self, context: RequestContext, stream: Body, timeout: float, caller: Answerable) -> None:
        """Pass on a body as it comes; its request's time counts from its last byte."""

        def whole() -> None:
            deadline = self._loop.time() + timeout - RESPONSE_MARGIN_SECONDS
            context.deadline, context.expected_by = deadline, float("inf")
            if context.call is not None:
                context.cluster.pool.complete_body(context.call, deadline)

        def gathered(body: bytes) -> None:
            context.request.body, context.request.stream = body, None
            whole()
            self._submit(context, caller)

        if any(cluster.speaks_grpc for cluster in (context.cluster, *context.fallback_clusters)):
            stream.gather(gathered)  # a gRPC box is sent one message, whose length goes ahead of it
            return
        context.expected_by = context.deadline
        context.deadline += MAX_UPLOAD_SECONDS
        stream.whole = whole
        self._submit(context, caller)

    def _submit(self, context: RequestContext, caller: Answerable) -> None:
        """Submit a request to its upstream cluster, if that has capacity left."""
        cluster, form = context.cluster, context.request.form
        kind = context.request_class
        if form is not None and form.bound:
            if not cluster.speaks_grpc:
                caller.answer(501, b"", b"no backend here speaks gRPC, and HTTP/1.1 takes no streams\n")
                return
            kind = replace(kind, allowed_host_types=(GRPC_HOST_TYPE,))
        if not self._request_slots.fits(cluster.name):
            # Guards the other pools: one that hangs fills its own places and what nobody else is sure of.
            context.ending = Ending.REJECTED
            caller.answer(503, COME_BACK, b"no place\n")
            return
        self._request_slots.take(cluster.name)
        attributes = RequestAttributes(
            cluster.class_index(kind), cluster.tenant_index(context.tenant), 0.0, context.cost, False
        )
        call = cluster.pool.submit(context.request, attributes, caller, context.deadline, context, context.expected_by)
        if call.caller is not None:  # else it is answered, or another pool has taken over by now
            context.call = call

    # ---- what pools ask of their owner -----------------------------------------------------------

    def is_request_invalid(self, status: int) -> bool:
        """An ordinary backend's 4xx is an answer like any other."""
        return False

    def request_served(self, call: Call, response: Response) -> None:
        """Pass the answer on, or end it."""
        context = _context_of(call)
        _note_ending(context, call, Ending.SERVED)
        if context.streaming_caller is not None:
            context.cluster.pool.release(call)
            context.streaming_caller.finish_answer()
        else:
            self._pass_on(call, response)

    def _pass_on(self, call: Call, response: Response) -> None:
        context = _context_of(call)
        head = changed(response.head, context.forward.response)
        context.cluster.pool.respond(call, response.status, head, response.body, response.length, response.trailers)

    def response_begun(self, call: Call, response: Response, body: Pipe) -> None:
        """Pass on what there is of an answer, and the rest as it comes."""
        context = _context_of(call)
        if context.request.form is not None:
            context.request.form.begin_messages(changed(response.head, context.forward.response), body)
            return
        passing = None if call.caller is None else call.caller.passing()
        if passing is not None:  # nothing of ours ends it from here on
            context.streaming_caller = passing
            context.cluster.pool.clear_deadline(call)
            head = changed(response.head, context.forward.response)
            passing.begin_answer(response.status, head, response.length, body)

    def request_rejected(self, call: Call, retry_after: float) -> None:
        """Let the next pool take over where this one has no usable backend and nothing ran; else answer 503."""
        context = _context_of(call)
        cluster, now = context.cluster, self._loop.time()
        rest = [other for other in context.fallback_clusters if other.standing.usable(now)]
        stream = context.request.stream
        gone = stream is not None and stream.bound  # a part of its body is not there any more
        if rest and not gone and not call.may_have_run and not cluster.standing.usable(now) and now < call.deadline:
            caller = cluster.pool.release(call)
            context.cluster, *context.fallback_clusters = rest
            if caller is not None:
                self._submit(context, caller)
            return
        _note_ending(context, call, Ending.FAILED if call.attempts else Ending.REJECTED)
        head = b"Retry-After: %.3f\r\n" % retry_after if retry_after > 0.0 else COME_BACK
        # gRPC has a word for what its caller's time has run out for, harmless or not.
        late = call.request.form is not None and now >= call.deadline
        cluster.pool.respond(call, 504 if late else 503, head, b"the time is up\n" if late else b"refused\n")

    def request_failed(self, call: Call) -> None:
        """Pass on the backend's own word of its failure, if it has one that promises nothing; else 502 or 504."""
        response, context = call.last_response, _context_of(call)
        _note_ending(context, call, Ending.FAILED)
        if response is not None and response.status >= 400 and response.status not in REFUSALS:
            self._pass_on(call, response)
        else:
            context.cluster.pool.respond(call, 504 if call.last_outcome is Outcome.TIMEOUT else 502, b"", b"failed\n")

    def request_released(self, call: Call) -> None:
        """Its place is free again; what it may have changed is not in answers that were begun before."""
        context = _context_of(call)
        self._request_slots.give(context.cluster.name)
        if context.request_class.retry_safety is not RetrySafety.SAFE:
            self.coalescer.record_write(context.tenant)


def _note_ending(context: RequestContext, call: Call, ending: Ending) -> None:
    """Record how its cluster ended a request, before the final answer is written."""
    context.ending, context.backend_status = ending, 0 if call.last_response is None else call.last_response.status


def _context_of(call: Call) -> RequestContext:
    assert isinstance(call.context, RequestContext)
    return call.context


def _tenant(plan: Plan, match: Match, forward: Forward, request: Request, query: dict[str, str]) -> str:
    """Whose request it is; raises Rejected where its route tells tenants apart and this is none of them."""
    if forward.tenant is None:
        return NOBODY
    name = drawn(forward.tenant, Headers(request.headers), query, match.captured)
    if name not in plan.file.tenants:
        raise Rejected(403, "unknown tenant")
    return name


def _reads_query(forward: Forward) -> bool:
    return any(source is not None and source.query for source in (forward.key, forward.tenant))


def _answer_miss(miss: Miss, caller: Answerable) -> None:
    if miss.allow:
        head = b"Allow: %b\r\n" % ", ".join(sorted(miss.allow)).encode()
        caller.answer(405, head, b"method not allowed\n")
    else:
        caller.answer(404, b"", b"no route\n")


def _answer_redirect(redirect: Redirect, match: Match, target: Target, caller: Answerable) -> None:
    to = redirect.to.fill(match.captured).encode()
    if target.query is not None:
        to += (b"&" if b"?" in to else b"?") + target.query
    caller.answer(redirect.status, b"Location: %b\r\n" % to, b"")
