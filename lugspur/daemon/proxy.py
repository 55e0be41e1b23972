"""Turns what happens on the sockets into the module's events and carries out its actions; decides nothing."""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from collections.abc import Callable

from jaspershelf.decide import Balancer
from jaspershelf.model import (
    Action,
    Cancel,
    Discovery,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    Send,
    State,
    Subscribe,
    Timer,
)
from lugspur.config.platform import Config
from lugspur.http1 import upstream
from lugspur.http1.front import Caller, Facts, Front
from lugspur.http1.intake import Rejected, Request
from lugspur.membership import watch

SPARE_SOCKETS = 48  # descriptors for the listener, discovery, the loop, and callers beyond the limit
CALLERS_PART = 0.5  # of the other descriptors
ANSWER_EARLY = 0.005  # seconds before the client's time is up: the answer still has to reach it
RETRIABLE = (408, 429)  # 4xx that are not the request's fault
COMPLAIN_EVERY = 1.0  # seconds between two tracebacks in the log
KNOWN_AFTER = 1.0  # seconds without a word from discovery after which the list known at the start serves


class Call:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = ("caller", "deadline", "exchanges", "facts", "last", "request", "rid", "timer")

    def __init__(self, rid: str, request: Request, facts: Facts, caller: Caller, deadline: float) -> None:
        self.rid = rid
        self.request = request
        self.facts = facts
        self.caller: Caller | None = caller  # None once nothing is owed
        self.deadline = deadline  # in the loop's time
        self.exchanges: list[upstream.Exchange] = []
        self.last = Outcome.VOID  # how its latest attempt ended
        self.timer: asyncio.TimerHandle | None = None

    def bytes_for(self, left: float) -> bytes:
        """The request as it goes to a backend that is waited for so many seconds."""
        request = self.request
        framed = request.body or request.method != b"GET"
        length = b"Content-Length: %d\r\n" % len(request.body) if framed else b""
        return b"%b %b HTTP/1.1\r\n%bX-Timeout: %.3f\r\n%b\r\n%b" % (
            request.method, request.target, request.lines, max(left, 0.001), length, request.body
        )


class Proxy:
    """One running proxy: the decision module between callers, backends and discovery."""

    def __init__(self, config: Config) -> None:
        self._loop = asyncio.get_running_loop()
        # One epoch for good: the list's times are comparable, and steps of the system's clock do no harm.
        self._epoch = time.time() - self._loop.time()
        self._balancer = Balancer(config.settings, config.seed)
        self._backends: dict[int, upstream.Backend] = {}
        self._calls: dict[str, Call] = {}
        self._open: set[bytes] = set()  # the callers' ids of the requests that an answer is owed for
        self._repeatable = [row.repeat is not Repeat.UNSAFE for row in config.settings.classes]
        self._count = 0
        self._complained = float("-inf")
        sockets = max(8, config.sockets - SPARE_SOCKETS)
        callers = int(CALLERS_PART * sockets)
        self._upstream = upstream.Upstream(
            sockets - callers, config.conn_idle, config.dial_timeout, config.memory
        )
        self.front = Front(config, callers, self._request)
        reader = watch.Reader(config.zones, config.types)
        self._discovery = watch.Discovery(
            config.discovery, reader, config.known["index"], self._told
        )
        self._members(ListKind.STALE, reader.endpoints(config.known))
        self._perform(self._decide(self._balancer.start))
        if config.settings.discovery is Discovery.PUSHED:
            self._discovery.open()
        if config.known["endpoints"]:
            # Guards against a discovery that is down at the start: an old list serves better than none.
            self._loop.call_later(KNOWN_AFTER, self._loaded)

    def reload(self, config: Config) -> None:
        """Take over what a new configuration may change while the proxy runs: where discovery is."""
        self._discovery.move(config.discovery)

    def _now(self) -> float:
        return self._loop.time() + self._epoch

    def _decide(
        self, method: Callable[..., list[Action]], *args: object, call: Call | None = None
    ) -> list[Action]:
        """Ask the module; an exception there fails the request that it was about, and nothing else."""
        try:
            return method(self._now(), *args)
        except Exception:
            self._complain()
            if call is not None:
                self._abandon(call)
            return []

    def _complain(self) -> None:
        """Guards the loop against a log that nobody empties: writing to a full pipe would stop it."""
        now = self._loop.time()
        if now - self._complained >= COMPLAIN_EVERY:
            self._complained = now
            traceback.print_exc()
            sys.stderr.flush()

    # ---- the list ----------------------------------------------------------------------------

    def _told(self, kind: ListKind, endpoints: list[watch.Endpoint]) -> None:
        if endpoints or kind is not ListKind.PATCH:
            self._members(kind, endpoints)
        self._loaded()

    def _loaded(self) -> None:
        self.front.ready = True

    def _members(self, kind: ListKind, endpoints: list[watch.Endpoint]) -> None:
        listed = {endpoint.row.server for endpoint in endpoints}
        if kind is not ListKind.PATCH:
            for server in self._backends.keys() - listed:
                self._remove(server)
        for endpoint in endpoints:
            row = endpoint.row
            if row.state is State.GONE:
                self._remove(row.server)
                continue
            backend = self._backends.setdefault(row.server, upstream.Backend(endpoint.address))
            self._upstream.update(backend, endpoint.address, row.started, row.state is State.UP)
        self._perform(self._decide(self._balancer.members, kind, [endpoint.row for endpoint in endpoints]))

    def _remove(self, server: int) -> None:
        """Guards memory against backends that are gone for good; attempts that are out keep theirs."""
        backend = self._backends.pop(server, None)
        if backend is not None:
            self._upstream.update(backend, backend.address, backend.started, False)

    # ---- requests ------------------------------------------------------------------------------

    def _request(self, request: Request, caller: Caller) -> None:
        facts = self.front.classify(request)
        name = request.headers[b"x-request-id"]
        if name in self._open:  # Guards against a second request that backends would take for the first.
            raise Rejected(409, "a request with this id is open")
        self._open.add(name)
        deadline = request.arrived + facts.timeout - ANSWER_EARLY
        self._count += 1
        call = Call(str(self._count), request, facts, caller, deadline)
        self._calls[call.rid] = call
        caller.gone = lambda: self._gone(call)
        call.timer = self._loop.call_at(deadline, self._overdue, call)
        self._perform(self._decide(
            self._balancer.request, call.rid, facts.kind, facts.tenant, deadline + self._epoch, facts.cost,
            facts.retry, call=call,
        ))

    def _gone(self, call: Call) -> None:
        self._settle(call)
        self._perform(self._decide(self._balancer.gone, call.rid, call=call))

    def _overdue(self, call: Call) -> None:
        """The client's time is up: an answer is owed now, whatever the module says."""
        for exchange in tuple(call.exchanges):
            exchange.expire()
        if call.caller is not None:
            self._abandon(call)

    def _abandon(self, call: Call) -> None:
        """Fail a request that the module did not answer, and tell it so."""
        self._answer(call, 504 if self._loop.time() >= call.deadline else 500, b"", b"")
        self._perform(self._decide(self._balancer.gone, call.rid))
        for exchange in tuple(call.exchanges):
            exchange.end(Outcome.CANCELLED)

    def _answer(self, call: Call, status: int, head: bytes, body: bytes) -> None:
        caller = call.caller
        self._settle(call)
        if caller is not None:
            caller.answer(status, head, body)

    def _settle(self, call: Call) -> None:
        """Nothing is owed any more."""
        if call.caller is not None:
            self._open.discard(call.request.headers[b"x-request-id"])
        call.caller = None
        if call.timer is not None:
            call.timer.cancel()
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.caller is None and not any(exchange.open for exchange in call.exchanges):
            self._calls.pop(call.rid, None)
            call.exchanges.clear()  # Guards memory: a call and its exchanges hold each other.

    # ---- the module's actions ----------------------------------------------------------------

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Timer):
                self._loop.call_at(action.at - self._epoch, self._timer, action.token)
            elif isinstance(action, Subscribe):
                self._discovery.open()
            else:
                self._act(action)

    def _timer(self, token: int) -> None:
        self._perform(self._decide(self._balancer.timer, token))

    def _act(self, action: Send | Refuse | Fail | Cancel) -> None:
        call = self._calls.get(action.request)
        if call is None:
            return
        if isinstance(action, Send):
            self._send(call, action)
        elif isinstance(action, Cancel):
            call.exchanges[action.attempt].end(Outcome.CANCELLED)
        elif isinstance(action, Refuse):
            head = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0.0 else b""
            self._answer(call, 503, head, b"refused\n")
        else:
            self._answer(call, 504 if call.last is Outcome.TIMEOUT else 502, b"", b"failed\n")

    def _send(self, call: Call, action: Send) -> None:
        now = self._loop.time()
        until = min(call.deadline, now + action.timeout) if action.timeout > 0.0 else call.deadline
        number = len(call.exchanges)

        def report(
            exchange: upstream.Exchange, outcome: Outcome, response: upstream.Response | None
        ) -> None:
            self._outcome(call, number, exchange, outcome, response)

        repeatable = self._repeatable[call.facts.kind]
        backend = self._backends[action.server]
        exchange = upstream.Exchange(backend, now, until, call.bytes_for, report, repeatable)
        call.exchanges.append(exchange)
        self._upstream.start(exchange)

    def _outcome(
        self, call: Call, number: int, exchange: upstream.Exchange, outcome: Outcome,
        response: upstream.Response | None,
    ) -> None:
        now = self._loop.time()
        call.last = outcome
        if response is not None and 400 <= response.status < 500 and response.status not in RETRIABLE:
            # Guards backends against callers: the request is at fault, and would be anywhere else.
            self._answer(call, response.status, b"", b"rejected\n")
            self._perform(self._decide(self._balancer.gone, call.rid, call=call))
            outcome = Outcome.VOID
        elif outcome is Outcome.OK and response is not None:
            if now <= call.deadline:
                self._answer(call, 200, response.head, response.body)
            else:  # Guards the client's deadline against a late timer.
                outcome = Outcome.TIMEOUT
        self._forget(call)
        self._perform(self._decide(
            self._balancer.outcome, call.rid, number, outcome, now - exchange.started, call.caller is None,
            call=call,
        ))
