"""The balancer: which server, whether at all, again, or not any more.

Interface (settings, list rows, outcomes, actions): lugspur/load_balancing/model.py.

Pure and sans-I/O: every method takes the time, returns the actions to carry out, and reads no clock.
All randomness comes from the seed. The mechanism is that of go-zero PR #5366 with SRE-book throttling
(docs/design.md): each server has a breaker that refuses locally with the larger of an error chance and
a latency chance; of two random ready servers the one with the lower latency x (in-flight + 1) is taken.
Breaker, budget, what is known of servers, pick and admission have files of their own beside this one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from lugspur.load_balancing.admission import (
    AIM_PART,
    POOL_KEEPS,
    POOL_WORTH,
    ROOM,
    ROOM_LEAST,
    SHARE_SPAN,
)
from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.model import (
    NEVER_RAN,
    Action,
    Cancel,
    DeduplicationScope,
    DiscoveryMode,
    Fail,
    Learned,
    LearnedPool,
    LearnedServer,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestId,
    RetrySafety,
    Send,
    ServerId,
    ServerRow,
    ServerState,
    Settings,
    StartTimer,
    Subscribe,
)
from lugspur.load_balancing.pick import Picker
from lugspur.load_balancing.retry_budget import (
    DEFAULT_MINIMUM_RETRIES,
    DEFAULT_RETRY_RATIO,
    DEFAULT_WINDOW_SECONDS,
    RetryBudget,
)
from lugspur.load_balancing.servers import Attempt, Pool, Request, Server

BACK_FROM, BACK_TO = 0.5, 3.0  # seconds after operators put a server back: its first call is due then

#: Outcomes that speak of too much work for the servers there are.
STRAIN = frozenset({Outcome.OVERLOADED, Outcome.TIMEOUT, Outcome.UNREACHABLE})

SUBSCRIBE = 1  # timer token


class Balancer(Picker):
    """One instance: a method for each event, each returning the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self.servers: dict[ServerId, Server] = {}
        places = {
            (c.allowed_host_types, c.allowed_zones): Pool(c.allowed_host_types, c.allowed_zones)
            for c in settings.classes
        }
        self.pools = list(places.values())
        self.pool_of = [places[c.allowed_host_types, c.allowed_zones] for c in settings.classes]
        tenants = () if settings.tier else settings.tenants  # only the first tier sheds by share
        self.shares = [t.quota / settings.instance_count for t in tenants]  # what of each is due here...
        self.due = [1.0 + SHARE_SPAN * share for share in self.shares]  # ...how many requests of it now...
        self.due_at = [0.0] * len(self.due)  # ...as of then
        self.look_at = 0.0
        self.pooled = 0.0  # current latency of the tier
        self.requests: dict[RequestId, Request] = {}
        rules = settings.rules
        self.budget = RetryBudget(DEFAULT_MINIMUM_RETRIES, DEFAULT_RETRY_RATIO, DEFAULT_WINDOW_SECONDS)
        if rules.retry_budget_window > 0.0:
            self.budget = RetryBudget(
                rules.retry_budget_minimum, rules.retry_budget_ratio, rules.retry_budget_window
            )
        self.asking = False
        self.backoff = 1.0
        dearest = max(c.value for c in settings.classes) or 1.0
        span = (ROOM - ROOM_LEAST) / dearest
        self.room = [c.latency_target * (ROOM_LEAST + span * c.value) for c in settings.classes]
        self.pace = 0.0  # baseline of latency for each unit of cost...
        self.paced = 0  # ...and the answers behind it
        self.accept_worth = [1.0 / (POOL_KEEPS - POOL_WORTH * c.value / dearest) for c in settings.classes]
        self.lengths: list[dict[int, int]] = [{} for _ in settings.classes]  # of tries, in steps of 2%...
        self.usual = [0] * len(settings.classes)  # ...and the commonest
        self.retired = False  # another goes on in its place
        self.back: dict[Server, float] = {}  # put back, and when a call is due where none has come

    def change_settings(self, now: float, settings: Settings) -> None:
        """Go on by other settings, keep what was learned of servers; raises ValueError and changes nothing.

        Guards requests that are open: each is judged by the class that it began with, so that one must stand
        at the same place as before. A pool stays when no class is bound to its servers any more: there are as
        many as ways in which classes were ever bound.
        """
        settings.check()
        before, after = self.settings.classes, settings.classes
        for request in self.requests.values():
            if request.kind >= len(after) or after[request.kind] != before[request.kind]:
                raise ValueError(f"classes[{request.kind}]: a request of it is open")
        fresh = Balancer(settings, 0)
        for kind, row in enumerate(before[: len(after)]):
            if row == after[kind]:
                fresh.lengths[kind], fresh.usual[kind] = self.lengths[kind], self.usual[kind]
        self.settings = settings
        places = {(pool.kinds, pool.zones): pool for pool in self.pools}
        for row in after:
            places.setdefault(
                (row.allowed_host_types, row.allowed_zones), Pool(row.allowed_host_types, row.allowed_zones)
            )
        self.pools = list(places.values())
        self.pool_of = [places[row.allowed_host_types, row.allowed_zones] for row in after]
        self.shares, self.due, self.due_at = fresh.shares, fresh.due, fresh.due_at
        self.room, self.accept_worth = fresh.room, fresh.accept_worth
        self.lengths, self.usual = fresh.lengths, fresh.usual
        self.budget.use_limits_of(fresh.budget)
        self._arrange(now)

    # ---- going on in another's place -------------------------------------------------------

    def export_learned(self, among: Sequence[ServerId] | None = None) -> Learned:
        """What was learned, but for requests: they end where they began. `among`: of these servers alone."""
        if among is None:
            among = tuple(self.servers)
        found = (self.servers[server] for server in among if server in self.servers)
        return Learned(
            tuple(
                LearnedServer(
                    s.row.server,
                    s.row.started_at,
                    s.latency,
                    s.seen,
                    s.downs,
                    s.down_until,
                    s.cold_credit,
                    s.cold_seen,
                    s.breaker.export_learned() if s.breaker is not None else None,
                )
                for s in found
            ),
            tuple(
                LearnedPool(
                    (p.rate.export_learned(), p.sent.export_learned(), p.served.export_learned()),
                    p.born if p.born < float("inf") else None,
                    p.breaker.export_learned(),
                )
                for p in self.pools
            ),
            self.pooled,
            self.pace,
            self.paced,
        )

    def import_learned(self, now: float, learned: Learned) -> None:
        """Go on with what another learned; call it once the list is there, before the first request.

        A server counts as the same by its name and its start: of one that was restarted nothing holds.
        """
        self.pooled, self.pace, self.paced = learned.pooled, learned.pace, learned.paced
        for known in learned.servers:
            server = self.servers.get(known.server)
            if server is None or server.row.started_at != known.started:
                continue
            server.latency, server.seen = known.latency, known.seen
            server.downs, server.down_until = known.downs, known.down_until
            server.cold_credit, server.cold_seen = known.cold_credit, known.cold_seen
            if known.breaker is not None:
                server.breaker = CircuitBreaker()
                server.breaker.import_learned(known.breaker)
        if len(learned.pools) == len(self.pools):
            for pool, saved in zip(self.pools, learned.pools, strict=True):
                for rate, value in zip((pool.rate, pool.sent, pool.served), saved.rates, strict=True):
                    rate.import_learned(value)
                pool.born = float("inf") if saved.born is None else saved.born
                pool.breaker.import_learned(saved.breaker)
        self._resize(now)

    def reinstate(self, now: float, server_id: ServerId) -> None:
        """Operators say that this server may serve again.

        Guards it against being left out for long where calls are few: cold servers are drawn seldom. One call
        goes to it at some moment that differs from instance to instance, so that they don't come together.
        """
        server = self.servers.get(server_id)
        if server is not None:
            self.back[server] = now + BACK_FROM + (BACK_TO - BACK_FROM) * self.rng.random()

    def set_superseded(self, on: bool) -> None:
        """Another goes on in its place (or does not): cold servers get their budget from that one alone.

        Guards cold servers: two that follow each other are one proxy, and both budgets would add up.
        """
        self.retired = on

    # ---- the list of servers -------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Call once, after the first list was given."""
        if self.settings.discovery is not DiscoveryMode.ON_REQUEST:
            return []
        # All instances start together: spread the first calls over what the rules allow unasked.
        return self._ask_in(now, 0.4 * self.settings.rules.discovery_interval * self.rng.random())

    def _ask_in(self, now: float, delay: float) -> list[Action]:
        if self.asking:
            return []
        self.asking = True
        return [StartTimer(now + delay, SUBSCRIBE)]

    def update_servers(self, now: float, kind: ListUpdateKind, rows: Sequence[ServerRow]) -> list[Action]:
        """A list, a change to it, or the news that a call to discovery failed."""
        if kind is ListUpdateKind.FAILED:
            # Jittered and doubling: every instance lost the same service at the same time.
            delay = self.backoff * (0.5 + self.rng.random())
            self.backoff = min(2.0 * self.backoff, max(1.0, self.settings.rules.discovery_interval))
            return self._ask_in(now, delay)
        if kind is not ListUpdateKind.STALE:
            self.backoff = 1.0
        if kind is not ListUpdateKind.PATCH:
            listed = {row.server for row in rows}
            for server in self.servers.values():
                if server.row.server not in listed:
                    # Size and start time are kept: it may come back as the same process, still cold.
                    server.row = replace(server.row, state=ServerState.GONE)
        for row in rows:
            known = self.servers.get(row.server)
            if known is None:
                self.servers[row.server] = Server(row)
                continue
            if row.started_at > known.row.started_at:
                known.breaker = None  # a new process: nothing learned of the old one holds
                known.latency = 0.0
                # The phase is drawn anew too: a credit counted from before the restart would be full at
                # every instance at once, and the first call of each would push the cold server over.
                known.cold_credit = known.cold_seen = 0.0
                known.took()
            known.row = row
        self._forget(now)
        self._arrange(now)
        return []

    def _forget(self, now: float) -> None:
        """Guards memory against servers that are replaced under new ids for as long as the program runs.

        One that is gone stays while attempts are out, and while it would still be cold: it may come back as
        the same process.
        """
        for key, server in tuple(self.servers.items()):
            if server.row.state is ServerState.GONE and not server.out and self._cold_until(server) <= now:
                del self.servers[key]
                self.back.pop(server, None)

    def _arrange(self, now: float) -> None:
        """Rebuild the lists of ready servers; drained and gone ones leave them at once."""
        # A ring in scattered order, the same at every instance.
        ready = [s for s in self.servers.values() if s.row.state is ServerState.UP]
        ready.sort(key=lambda s: (s.row.server * 0x9E3779B1 & 0xFFFFFFFF, s.row.server))
        for pool in self.pools:
            pool.ready = [s for s in ready if pool.opens(s.row)]
            pool.groups = {}
            for server in pool.ready:
                pool.groups.setdefault((DeduplicationScope.ZONE, server.row.zone), []).append(server)
                pool.groups.setdefault((DeduplicationScope.CELL, server.row.cell), []).append(server)
        self._resize(now)

    # ---- requests ------------------------------------------------------------------------

    def request(
        self,
        now: float,
        rid: RequestId,
        kind: int = 0,
        tenant: int = 0,
        deadline: float | None = None,
        cost: float = 0.0,
        retry: bool = False,
        partial: bool = False,
    ) -> list[Action]:
        """A new request; exactly one final answer is owed from here on.

        `partial`: a part of it is still to come, and `whole` will tell when it is there.
        """
        self.settings.check_request(kind, tenant, deadline, cost)
        if rid in self.requests:
            raise ValueError(f"rid: {rid!r} is open already")
        if deadline is None:
            deadline = now + self.settings.classes[kind].deadline
        request = Request(rid, kind, deadline, self.settings.limits.max_attempts)
        request.until = self._worth_until(now, kind, deadline, retry)
        self.requests[rid] = request
        self.budget.count_request(now)
        pool = self.pool_of[kind]
        pool.rate.count(now)
        if now >= self.look_at:
            self._resize(now)
        out: list[Action] = []
        request.partial = partial
        self._count(request, not partial)
        pool.born = min(pool.born, now)
        request.cost = cost or 1.0
        # Guards against work that cannot end in time: a heavy request, a caller with too little time left.
        hopeless = now + self._least(request) >= request.until
        if hopeless:
            self.pace *= 0.94  # a refusal teaches nothing: no unfair baseline stays for good
        over = self._over_share(now, tenant)
        taken = not hopeless and self._admits(now, kind, over)
        # The list stands in for a dead slice, less its cold servers: others' slices share their budget.
        rest = (pool.working, True), (pool.ready, False)
        if not taken or not any(self._send(now, request, among, first, out) for among, first in rest):
            self._answer(now, request, out)
        return out

    def _send(
        self, now: float, request: Request, among: list[Server], first: bool, out: list[Action]
    ) -> bool:
        """Send an attempt to the best candidate whose breaker does not refuse; False if there is none."""
        timeout = self.settings.classes[request.kind].latency_target
        for server in self._offers(now, request, among, first):
            if server.breaker is None:
                server.breaker = CircuitBreaker()
            if not server.breaker.rejects(now, timeout, self.rng):
                break
        else:
            return False
        self.back.pop(server, None)
        if server.cold_credit > 0.0:
            server.cold_credit -= 1.0
        if request.attempts:
            self.budget.count_retry(now)
        attempt = Attempt(server, now)
        if not request.partial:
            server.out[attempt] = None
        self.pool_of[request.kind].sent.count(now)
        request.attempts.append(attempt)
        request.open += 1
        within = request.until - now if request.until < request.deadline else 0.0
        out.append(Send(request.id, server.row.server, within))
        return True

    def _again(self, now: float, request: Request, out: list[Action]) -> bool:
        """Try a further attempt within the rules and the retry budget."""
        if request.done or request.bound or now >= request.until or not self.budget.allows_retry(now):
            return False
        if len(request.attempts) >= request.most:
            return False
        return self._send(now, request, self._among(now, request), False, out)

    def _answer(self, now: float, request: Request, out: list[Action]) -> None:
        """The final answer: refused where that promise holds, else failed."""
        # Guards admission against failures that no load made, from spoilt answers to a server's own faults:
        # refusing work does not cure them. Could harm: an overloaded tier that fails fast, as proxies that
        # refuse make it, shows in what is owed alone.
        if any(attempt.strained for attempt in request.attempts):
            self.pool_of[request.kind].breaker.count_failed(now)
        kind = self.settings.classes[request.kind]
        free = kind.retry_safety is RetrySafety.SAFE or (
            kind.retry_safety is RetrySafety.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
        )
        out.append(Reject(request.id) if free or request.first_maybe() is None else Fail(request.id))
        self._finish(request, out)

    def _count(self, request: Request, on: bool) -> None:
        """Whether it is one of those that wait for an answer: work that the servers have before them."""
        if request.counted is not on:
            request.counted = on
            self.pool_of[request.kind].owed += 1 if on else -1

    def complete_body(self, now: float, rid: RequestId, deadline: float) -> list[Action]:
        """The last byte of a partial request has come: its time counts from here.

        Guards servers and admission against slow uploads: while one comes nothing runs, so that it says
        neither that its server hangs nor that requests pile up.
        """
        request = self.requests.get(rid)
        if request is None or request.done or not request.partial:
            return []
        request.partial = False
        self._count(request, not request.begun)
        for attempt in request.attempts:
            if attempt.open and not request.begun:
                attempt.since = now
                attempt.server.out[attempt] = None
        return self.extend_deadline(now, rid, deadline)

    def _finish(self, request: Request, out: list[Action]) -> None:
        request.done = True
        self._count(request, False)
        if not request.bound:
            out += self._cancels(request)
        if not request.open:
            self.requests.pop(request.id, None)

    def _cancels(self, request: Request, spared: int = -1) -> list[Action]:
        if not self.settings.limits.allows_cancel:
            return []
        return [Cancel(request.id, n) for n, a in enumerate(request.attempts) if a.open and n != spared]

    def extend_deadline(self, now: float, rid: RequestId, deadline: float) -> list[Action]:
        """Somebody else waits for its answer too, and longer: attempts that are out keep their time."""
        request = self.requests.get(rid)
        if request is not None and not request.done and deadline > request.deadline:
            if request.until >= request.deadline:
                request.until = deadline
            else:  # late answers are worth little: the newcomer's aim counts from now
                aim = self.settings.classes[request.kind].latency_target
                request.until = max(request.until, min(deadline, now + AIM_PART * aim))
            request.deadline = deadline
        return []

    def finish_attempt(
        self, now: float, rid: RequestId, number: int, how: Outcome, latency: float, last: bool = False
    ) -> list[Action]:
        """An attempt ended; unknown ones are ignored."""
        request = self.requests.get(rid)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.open:
            return []
        attempt.open = False
        attempt.maybe_ran = how not in NEVER_RAN
        # An error that took longer than the room speaks of a time-out behind.
        attempt.strained = how in STRAIN or latency > self.room[request.kind]
        request.open -= 1
        self._learn(now, attempt, how, latency, self.settings.classes[request.kind].latency_target)
        if how is Outcome.OK:
            gap = latency / request.cost - self.pace
            self.pace += gap / (4.0 if gap < 0.0 else 100.0) if self.paced else gap
            self.paced += 1
        out: list[Action] = []
        if request.done:
            if not request.open:
                self.requests.pop(rid, None)
        elif last or how is Outcome.OK:
            pool = self.pool_of[request.kind]
            pool.served.count(now)
            pool.breaker.count_accepted(now)
            self._finish(request, out)
        elif not request.open and not self._again(now, request, out):
            self._answer(now, request, out)
        return out

    def _learn(self, now: float, attempt: Attempt, how: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.out.pop(attempt, None)
        breaker = server.breaker
        if breaker is None or how is Outcome.NOT_PROCESSED or attempt.sent < server.row.started_at:
            return
        if how in NEVER_RAN:
            server.turned_away(now, self.rng)
        elif how in (Outcome.OK, Outcome.ERROR):
            server.took()
        if how is Outcome.OK:
            breaker.count_accepted(now)
            if breaker.current_latency <= 0.0 and self.pooled > 0.0:
                breaker.observe_latency(min(latency, self.pooled))  # no baseline from one slow answer alone
            breaker.observe_latency(latency)
            server.learn(now, latency)
            self.pooled += (latency - self.pooled) / 32.0 if self.pooled > 0.0 else latency
        elif how is not Outcome.CANCELLED:
            breaker.count_failed(now)
            # Guards against a server that fails fast and so looks quick: a failure costs a time-out.
            server.learn(now, max(latency, timeout))

    def bind_to_attempt(self, now: float, rid: RequestId, number: int) -> list[Action]:
        """A part of a stream has gone to this attempt's server: the request belongs to it."""
        request = self.requests.get(rid)
        if request is None or request.done:
            return []
        request.bound = True
        return self._cancels(request, number)

    def begin_response(self, now: float, rid: RequestId, number: int) -> list[Action]:
        """The answer of a stream has begun: the request belongs to this attempt, and waits for nothing.

        Guards admission against streams that go on for long: they are no queue that would make others late.
        """
        request = self.requests.get(rid)
        if request is not None and not request.done and not request.begun:
            request.begun = True
            self._count(request, False)
            # Guards a server that gives a long answer against looking as if it hung.
            for attempt in request.attempts:
                attempt.server.out.pop(attempt, None)
        return self.bind_to_attempt(now, rid, number)

    def cancel_request(self, now: float, rid: RequestId) -> list[Action]:
        """The client left; no answer is owed any more."""
        request = self.requests.get(rid)
        out: list[Action] = []
        if request is not None and not request.done:
            self._finish(request, out)
        return out

    def fire_timer(self, now: float, token: int) -> list[Action]:
        """A timer fell due; stale ones are ignored."""
        if token == SUBSCRIBE and self.asking:
            self.asking = False
            return [Subscribe()]
        return []
