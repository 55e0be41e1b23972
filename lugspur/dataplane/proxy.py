"""The caller's side: one request from its route to its one final answer, by the design's breakers and pick."""

from __future__ import annotations

import asyncio
import itertools
import os
from collections.abc import Callable
from random import Random, random
from typing import Protocol

from cachetools import LRUCache

from jaspershelf.breaker import Breaker
from jaspershelf.budget import Budget
from lugspur.control.claims import Known, Settled, Taken, Won
from lugspur.control.errors import ANSWERS, Kind, MeshError
from lugspur.control.messages import Answer, Forward, Reply
from lugspur.dataplane.gate import End
from lugspur.dataplane.routes import RouteEntry, RouteTable
from lugspur.seams import Answerable, Request

ATTEMPT, KEY, BY_MS = b"lugspur-attempt-id", b"lugspur-operation-key", b"lugspur-deliver-by-ms"
OWN_LINES = (b"lugspur-sender", b"lugspur-deliver-to", BY_MS)  # set anew here, whatever was sent
REWRITTEN = (b"host", b"x-request-id", b"x-forwarded-for", b"x-forwarded-proto")  # kept out of the lines by the reader
ID_MOST = 256  # bytes of an id or a key
TICK = 0.001  # seconds that an answer takes at least
PACE_WEIGHT = 1 / 32  # of one answer in a route's pace
CLAIM_WITHIN = 0.6  # seconds for a claim, and at most a third of the time that is left
MARGIN = 0.02  # seconds for which the backend's word at the deadline is waited for
COLD = 2.0  # times the usual latency that a backend counts with while it says that it is slow
REST = 0.04  # seconds for which a backend that turned a request away is passed over, drawn from half to one and a half
BUDGET_PART = 0.5  # of the retry budget that is used: nested calls of what runs twice count too, and views lag
FAR = 1.6  # times its score that a backend of another zone counts with: bytes between zones cost...
FAR_BYTES = 16 << 10  # ...and once more for so many bytes of a body
BREAKERS_MOST = 256  # routes with a breaker of their own for one backend, those used last
ROUNDS = 4  # backends that may turn one request away before it is given up
HEDGE = 3.0  # times a route's pace after which a safe request is sent to a second backend...
HEDGE_AIM = 0.6  # ...and not before this part of its aim
BACK_MOST = 1 / 3  # of the time that a caller has: for longer than that none is asked to wait
BACK_LEAST = 0.05  # seconds
LATE = 3.0  # how much a failure counts as, in usual latencies: a backend that fails fast must not look quick


class Endpoint:
    """What this process knows of one life of one backend."""

    __slots__ = (
        "berths",
        "breakers",
        "cold_until",
        "id",
        "inflight",
        "ip",
        "latency",
        "rests_until",
        "service",
        "zone",
    )

    def __init__(self, ident: str, service: str, ip: str, zone: str) -> None:
        self.id, self.service, self.ip, self.zone = ident, service, ip, zone
        self.berths = 1
        # One for each route: a gate that turns away what may wait says nothing of what may not.
        self.breakers: LRUCache[str, Breaker] = LRUCache(BREAKERS_MOST)
        self.latency = 0.0  # in units of the route's pace; failures count as LATE
        self.inflight = 0
        self.cold_until = self.rests_until = 0.0

    def breaker(self, route: str) -> Breaker:
        """The breaker of a route's calls to this backend."""
        found = self.breakers.get(route)
        if found is None:
            found = self.breakers[route] = Breaker()
        return found

    def learn(self, latency: float) -> None:
        """Move the latency that picks follow."""
        self.latency += (latency - self.latency) / 4.0 if self.latency > 0.0 else latency

    def score(self, now: float) -> float:
        """Current latency x (in flight + 1); lower is better."""
        usual = COLD if now < self.cold_until else 1.0
        return (self.latency or usual) * (self.inflight + 1)


class Carrier(Protocol):
    """What takes a request to the gate beside a backend."""

    def ready(self, ip: str) -> bool:
        """Whether that machine can be reached now."""

    def carry(self, ip: str, forward: Forward, respond: Callable[[Reply], None]) -> Callable[[], None]:
        """Send it; the reply comes once. Returns what cancels it."""


class Keys(Protocol):
    """What settles operation keys."""

    def claim(self, key: bytes, by: bytes, left: float, within: float, over: Callable[[Settled], None]) -> None:
        """Ask for the right to run."""

    def release(self, key: bytes, by: bytes) -> None:
        """Give it back: nothing ran."""

    def drop(self, key: bytes, by: bytes) -> None:
        """Nobody waits for it any more."""


class Proxy:
    """All requests that start on this machine."""

    def __init__(
        self,
        table: RouteTable,
        carrier: Carrier,
        keys: Keys,
        rng: Random,
        ratio: float,
        slack: float,
        span: float,
        zone: str,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.table, self.carrier, self.keys, self.rng = table, carrier, keys, rng
        self._ratio, self._slack, self._span = ratio * BUDGET_PART, slack * BUDGET_PART, span
        self.zone = zone
        self.proxies = 1  # how many share the budget
        self.services: dict[str, dict[str, Endpoint]] = {}  # by the backend's id
        self.budgets: dict[str, Budget] = {}
        self.sender = ""  # the service of this machine
        self.open_requests: set[ProxiedRequest] = set()
        self._life = os.urandom(8).hex().encode()
        self._claims = itertools.count(1)
        self.ended: dict[str, int] = {}  # requests, by how they ended

    def members(self, service: str, endpoints: dict[str, tuple[str, str, int, float]]) -> None:
        """The backends of a service that accept work: id to machine, zone, berths, and when it is warm."""
        known = self.services.get(service, {})
        fresh: dict[str, Endpoint] = {}
        for ident, (ip, zone, berths, cold_until) in endpoints.items():
            endpoint = known.get(ident) or Endpoint(ident, service, ip, zone)
            endpoint.berths, endpoint.cold_until = berths, cold_until
            fresh[ident] = endpoint
        if fresh:
            self.services[service] = fresh
        else:
            self.services.pop(service, None)

    def budget(self, service: str) -> Budget:
        """This process's part of the service's retry budget."""
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = Budget(0.0, self._ratio, self._span)
        found.allot(self._slack / max(1, self.proxies))
        return found

    def claim_id(self, attempt: bytes) -> bytes:
        """Names one claim of an operation key: no other claim, of whatever process at whatever time, has this name.

        Guards against a second run: a voter grants a key again to whom it has granted it. By the attempt's id alone
        two requests that bear one id, or a request of a former life of this process, would count as one claim.
        """
        return b"%b.%b.%d" % (attempt, self._life, next(self._claims))

    def count(self, how: str) -> None:
        """One more that ended so."""
        self.ended[how] = self.ended.get(how, 0) + 1

    def handle(self, request: Request, caller: Answerable) -> None:
        """Take one request; its caller gets one answer."""
        try:
            proxied_request = self._take(request, caller)
        except MeshError as fault:
            refuse(caller, fault.kind)
            return
        proxied_request.begin()

    def _take(self, request: Request, caller: Answerable) -> ProxiedRequest:
        headers = request.headers
        attempt, key = headers.get(ATTEMPT, b""), headers.get(KEY, b"")
        # Guards what must run once against two readings of one id: repeated headers are joined by commas.
        if not 0 < len(attempt) <= ID_MOST or b"," in attempt or len(key) > ID_MOST or not request.target[:1] == b"/":
            raise MeshError(Kind.BAD_REQUEST)
        if not len(self.table):
            raise MeshError(Kind.NOT_READY)
        route = self.table.find(headers.get(b"host", b""), request.target)
        if route is None:
            raise MeshError(Kind.NO_ROUTE)
        left = route.deadline
        told = headers.get(BY_MS)
        if told is not None:
            if not told.isdigit() or len(told) > 9:
                raise MeshError(Kind.BAD_REQUEST)
            left = min(left, int(told) / 1000.0)
        back = route.comes_back(left)
        caller.admit()
        return ProxiedRequest(self, request, caller, route, request.arrived + left, attempt, key, back)


def refuse(caller: Answerable, kind: Kind, left: float = 0.0) -> None:
    """Tell a caller what went wrong, and when to come back if that helps; `left`: seconds that it has."""
    row = ANSWERS[kind]
    # Drawn anew for each: who was turned away in one moment must not come back in one moment. Where all are full it is
    # late that helps: a queue has to go first, and who is turned away again has no more time.
    after = row.after * (0.5 + random())
    if row.spread and left > 0.0:
        after = max(BACK_LEAST, left * BACK_MOST * (0.6 + 0.4 * random()))
    head = b"Retry-After: %.3f\r\n" % after if row.after else b""
    caller.answer(row.status, head, kind.value.encode() + b"\n")


class ProxiedRequest:
    """One request."""

    def __init__(
        self,
        proxy: Proxy,
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
        self.key = key if route.kind == "tracked" else b""
        self.claim_id = proxy.claim_id(attempt) if self.key else b""
        self.service = route.service(proxy.rng)
        self.sends = 0  # backends that it was offered to, or may have been
        self.rounds = 0  # gates that turned it away
        self.tried: set[str] = set()
        self.out: dict[int, tuple[Endpoint, float, Callable[[], None]]] = {}  # what is under way
        self.over = False
        self.maybe = False  # it may have run
        self.won = False
        self.number = 0
        self.last: Answer | None = None  # a failure of the backend's own, to be passed on where nothing better comes
        self._lines: list[bytes] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._hedge: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Set off."""
        proxy, loop = self.proxy, self.proxy.loop
        now = loop.time()
        if now >= self.deadline:
            refuse(self.caller, Kind.TOO_LATE)
            return
        proxy.open_requests.add(self)
        proxy.budget(self.service).take(now)
        self.caller.gone = self._gone
        self._timer = loop.call_at(self.deadline + MARGIN, self._late)
        if self.key:
            left = self.deadline - now
            proxy.keys.claim(self.key, self.claim_id, left, min(CLAIM_WITHIN, left / 3.0), self._claimed)
        else:
            self._go(now)

    def _claimed(self, how: Settled) -> None:
        if self.over:
            if isinstance(how, Won):
                self.proxy.keys.release(self.key, self.claim_id)
        elif isinstance(how, Won):
            self.won = True
            self._go(self.proxy.loop.time())
        elif isinstance(how, Known):
            self._answer(how.answer)
        elif isinstance(how, Taken):
            self._refuse(Kind.KEY_BUSY if how.busy else Kind.KEY_SPENT)
        else:
            self._refuse(Kind.NO_QUORUM)

    # ---- the pick ------------------------------------------------------------------------

    def _ready(self, now: float) -> list[Endpoint]:
        carrier = self.proxy.carrier
        ready = [
            endpoint
            for ident, endpoint in self.proxy.services.get(self.service, {}).items()
            if ident not in self.tried and carrier.ready(endpoint.ip)
        ]
        # Those that have just turned one away come last, but before a refusal: asking a gate costs no backend anything.
        return [endpoint for endpoint in ready if now >= endpoint.rests_until] or ready

    def _pick(self, now: float) -> Endpoint | None:
        """Two random ready backends, that with the lower current latency x (in flight + 1) first; both may refuse."""
        ready = self._ready(now)
        rng = self.proxy.rng
        zone = self.proxy.zone
        near = [endpoint for endpoint in ready if endpoint.zone == zone]
        two = ready
        if len(ready) > 2 and near:  # one of the own zone, one of all others: bytes between zones cost
            first = rng.choice(near)
            two = [first, rng.choice([endpoint for endpoint in ready if endpoint is not first])]
        elif len(ready) > 2:
            two = rng.sample(ready, 2)
        pace = self.route.pace
        timeout = self.route.deadline / pace if pace else 0.0
        far = FAR + len(self.request.body) / FAR_BYTES
        for endpoint in sorted(two, key=lambda endpoint: endpoint.score(now) * (1.0 if endpoint.zone == zone else far)):
            if not endpoint.breaker(self.route.name).refuses(now, timeout, rng):
                return endpoint
        self.proxy.count("breaker-refused" if two else "none-ready")
        return None

    def _go(self, now: float, again: bool = False) -> bool:
        """Send it to a backend, or give it up; `again`: what is under way may still bring the answer."""
        endpoint = self._pick(now)
        if endpoint is None:
            if not again:
                self._give_up()
            return False
        self.tried.add(endpoint.id)
        self.number += 1
        number = self.number
        route, request = self.route, self.request
        if self._lines is None:
            self._lines = self._write_lines()
        forward = Forward(
            0,
            endpoint.id,
            request.method,
            request.target,
            self._lines,
            request.body,
            self.deadline - now,
            request.arrived + route.target - now,
            self.attempt,
            route.priority,
            route.safe,
            route.name,
            self.key,
            self.claim_id,
            self.back,
        )
        endpoint.inflight += 1
        self.sends += 1
        if self.sends > 1:
            self.proxy.budget(self.service).spend(now)
        self.out[number] = (endpoint, now, _nothing)
        cancel = self.proxy.carrier.carry(endpoint.ip, forward, lambda reply: self._replied(number, reply))
        if number in self.out:
            self.out[number] = (endpoint, now, cancel)
            if route.safe and route.pace and self._hedge is None and self.sends < route.tries:
                at = now + max(HEDGE * route.pace, HEDGE_AIM * route.target)
                if at + route.pace < self.deadline:
                    self._hedge = self.proxy.loop.call_at(at, self._second)
        return True

    def _second(self) -> None:
        """A safe request has been out for long: its answer may be lost."""
        now = self.proxy.loop.time()
        if self.over or len(self.out) != 1 or self.sends >= self.route.tries:
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

    def _replied(self, number: int, reply: Reply) -> None:
        endpoint, since, _ = self.out.pop(number)
        endpoint.inflight -= 1
        loop = self.proxy.loop
        now = loop.time()
        # Guards the first answer on a route against a division by nothing: the loop counts whole milliseconds.
        took, route = max(TICK, now - since), self.route
        how = reply.how
        if how == End.ANSWERED and reply.answer is not None:
            if reply.answer.status < 500:
                route.pace += (took - route.pace) * (PACE_WEIGHT if route.pace else 1.0)
                relative = took / route.pace
                breaker = endpoint.breaker(route.name)
                breaker.accepted(now)
                breaker.sample(relative)
                endpoint.learn(relative)
            else:
                self._failed(now, endpoint)
            if self.over:
                return
            if reply.answer.status >= 500 and route.safe:
                self.last = reply.answer
                if not self._again(now):
                    self._finish_failed()
                return
            self._answer(reply.answer)
            return
        if how == End.NOT_RUN:
            self.rounds += 1
            if not reply.sent:
                self.sends -= 1  # no backend was offered it
            endpoint.breaker(route.name).failed(now)
            endpoint.rests_until = now + REST * (0.5 + self.proxy.rng.random())
        else:
            self._failed(now, endpoint)
            self.maybe = True
        if self.over:
            return
        if not self._again(now):
            self._finish_failed()

    def _failed(self, now: float, endpoint: Endpoint) -> None:
        endpoint.breaker(self.route.name).failed(now)
        endpoint.learn(LATE)

    def _again(self, now: float) -> bool:
        """Whether it goes on: something is under way, or another backend may have it."""
        if self.out:
            return True
        if (self.maybe or self.last is not None) and not self.route.safe:
            return False
        if self.rounds >= ROUNDS or now >= self.deadline or self.sends >= self.route.tries:
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
        if self.maybe and not self.route.safe:
            self._refuse(Kind.MAYBE_RAN)
            return
        if self.won:
            self.proxy.keys.release(self.key, self.claim_id)
        self._refuse(Kind.MAYBE_RAN if self.maybe else Kind.NO_BACKEND)

    def _late(self) -> None:
        if not self.over:
            if self.won and not self.out and not self.maybe:
                self.proxy.keys.release(self.key, self.claim_id)
            self._refuse(Kind.TOO_LATE)

    def _answer(self, answer: Answer) -> None:
        self._finish()
        self.proxy.count("answered" if answer.status < 500 else "backend-failed")
        self.caller.answer(answer.status, answer.head, answer.body)

    def _refuse(self, kind: Kind) -> None:
        self._finish()
        self.proxy.count(kind.value)
        refuse(self.caller, kind, self.deadline - self.proxy.loop.time())

    def _gone(self) -> None:
        """Its caller has left."""
        if not self.over:
            self._finish()

    def _finish(self) -> None:
        self.over = True
        self.proxy.open_requests.discard(self)
        for timer in (self._timer, self._hedge):
            if timer is not None:
                timer.cancel()
        if self.key and not self.won:
            self.proxy.keys.drop(self.key, self.claim_id)
        if self.route.safe:
            for _, _, cancel in list(self.out.values()):
                cancel()


def _nothing() -> None:
    """Cancels what has not begun."""
