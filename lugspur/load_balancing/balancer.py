"""The balancer: decides which server gets a request, if any, and whether a failed attempt is retried.

Interface (settings, list rows, outcomes, actions): lugspur/load_balancing/model.py.

Without I/O: every method takes the time, returns the actions to carry out, and reads no clock.
All randomness comes from the seed. The mechanism is that of go-zero PR #5366 with the SRE book's adaptive
throttling (docs/design.md). Each decision has a module of its own in this package.
"""

from collections.abc import Sequence
from random import Random

from lugspur.load_balancing import learned_state
from lugspur.load_balancing.admission import AdmissionControl
from lugspur.load_balancing.attempt_deadlines import TARGET_FRACTION, AttemptDeadlines
from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.cost_baseline import CostBaseline
from lugspur.load_balancing.discovery_subscription import DiscoverySubscription
from lugspur.load_balancing.model import (
    NEVER_RAN,
    Action,
    Cancel,
    DeduplicationScope,
    Fail,
    Learned,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestId,
    RetrySafety,
    Send,
    ServerId,
    ServerRow,
    Settings,
)
from lugspur.load_balancing.request_state import Request
from lugspur.load_balancing.retry_budget import RetryBudget
from lugspur.load_balancing.server import Attempt, Server
from lugspur.load_balancing.server_table import ServerTable
from lugspur.load_balancing.slow_start import SlowStart
from lugspur.load_balancing.tenant_quotas import TenantQuotas
from lugspur.load_balancing.two_choice_pick import TwoChoicePick

MIN_REINSTATE_SECONDS, MAX_REINSTATE_SECONDS = 0.5, 3.0  # until a reinstated server is due a request
TIER_LATENCY_FACTOR = 32.0  # divides each step of the moving average over all servers

#: Outcomes that indicate that the servers are overloaded.
OVERLOAD_OUTCOMES = frozenset({Outcome.OVERLOADED, Outcome.TIMEOUT, Outcome.UNREACHABLE})


class Balancer:
    """One balancer instance; each event has a method that returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self.requests: dict[RequestId, Request] = {}
        self.table = ServerTable(settings)
        self.slow_start = SlowStart(self.table, self.rng)
        self.pick = TwoChoicePick(self.table, self.slow_start, self.rng)
        self.admission = AdmissionControl(settings, self.rng)
        self.quotas = TenantQuotas(settings)
        self.deadlines = AttemptDeadlines(settings)
        self.costs = CostBaseline()
        self.retry_budget = RetryBudget.from_rules(settings.rules)
        self.subscription = DiscoverySubscription(self.rng)

    def change_settings(self, now: float, settings: Settings) -> None:
        """Continue with other settings and the learned state; raises ValueError without changing anything.

        Guards open requests: each is judged by the class that it began with, so that class must be unchanged
        at its index.
        """
        settings.check()
        before, after = self.settings.classes, settings.classes
        for request in self.requests.values():
            index = request.class_index
            if index >= len(after) or after[index] != before[index]:
                raise ValueError(f"classes[{index}]: a request of this class is open")
        self.settings = settings
        self.deadlines = self.deadlines.with_settings(settings)
        self.quotas = TenantQuotas(settings)
        self.admission = AdmissionControl(settings, self.rng)
        self.retry_budget.adopt_limits(RetryBudget.from_rules(settings.rules))
        self.table.change_settings(now, settings)

    def export_learned(self, server_ids: Sequence[ServerId] | None = None) -> Learned:
        """Return the learned state, for an instance that replaces this one, of these servers or of all."""
        return learned_state.export_learned(self.table, self.costs, server_ids)

    def import_learned(self, now: float, learned: Learned) -> None:
        """Continue from another instance's learned state; call after the first list and before requests."""
        learned_state.import_learned(now, self.table, self.costs, learned)

    def set_superseded(self, is_superseded: bool) -> None:
        """Set whether another instance has replaced this one; only the newest instance warms up cold servers.

        Guards cold servers: both instances belong to one proxy, and their budgets would add up.
        """
        self.slow_start.is_superseded = is_superseded

    def start(self, now: float) -> list[Action]:
        """Start the instance; call once, after the first server list."""
        return self.subscription.start(now, self.settings)

    def update_servers(self, now: float, kind: ListUpdateKind, rows: Sequence[ServerRow]) -> list[Action]:
        """Apply a server list or a change to it, or handle a failure of discovery."""
        if kind is ListUpdateKind.FAILED:
            return self.subscription.list_failed(now, self.settings)
        if kind is not ListUpdateKind.STALE:
            self.subscription.list_received()
        self.table.update(now, kind, rows)
        return []

    def reinstate(self, now: float, server_id: ServerId) -> None:
        """Let a server serve again, as operators ordered.

        Guards the server against getting no request for long where requests are few, as cold servers are
        drawn seldom. It is due one request at a random time: those of all instances must not come together.
        """
        server = self.table.servers.get(server_id)
        if server is not None:
            spread = MAX_REINSTATE_SECONDS - MIN_REINSTATE_SECONDS
            self.table.reinstated[server] = now + MIN_REINSTATE_SECONDS + spread * self.rng.random()

    def fire_timer(self, now: float, token: int) -> list[Action]:
        """Handle a timer that is due; stale timers are ignored."""
        return self.subscription.fire_timer(token)

    def request(
        self,
        now: float,
        request_id: RequestId,
        class_index: int = 0,
        tenant: int = 0,
        deadline: float | None = None,
        cost: float = 0.0,
        is_retry: bool = False,
        is_incomplete: bool = False,
    ) -> list[Action]:
        """Handle a new request; exactly one final response follows, now or later.

        `cost`: the work that the request is expected to take (0: unknown). `is_retry`: the client marked it
        as a retry. `is_incomplete`: a part of its body is still to come, until `complete_body` is called.
        Raises ValueError, and changes nothing, for arguments that are out of range.
        """
        self.settings.check_request(class_index, tenant, deadline, cost)
        if request_id in self.requests:
            raise ValueError(f"rid: {request_id!r} is open already")
        if deadline is None:
            deadline = now + self.settings.classes[class_index].deadline
        request = Request(request_id, class_index, deadline, self.settings.limits.max_attempts)
        request.useful_until = self.deadlines.useful_until(now, class_index, deadline, is_retry)
        request.cost = cost or 1.0
        request.is_incomplete = is_incomplete
        self._count_request(now, request)
        actions = self._send_first(now, request) if self._admits(now, request, tenant) else []
        return actions or self._respond(now, request)

    def _count_request(self, now: float, request: Request) -> None:
        self.requests[request.id] = request
        self.retry_budget.count_request(now)
        pool = self.table.class_pools[request.class_index]
        pool.offered.count(now)
        if now >= self.table.next_subsets_at:
            self.table.choose_subsets(now)
        self._set_pending(request, not request.is_incomplete)
        pool.first_request_at = min(pool.first_request_at, now)

    def _admits(self, now: float, request: Request, tenant: int) -> bool:
        # Guards against work that can't end in time: a heavy request, or a caller with too little time left.
        is_too_late = now + self.costs.min_seconds(request.cost) >= request.useful_until
        if is_too_late:
            self.costs.count_rejected()
        is_over_quota = self.quotas.is_over(now, tenant)
        pool = self.table.class_pools[request.class_index]
        return not is_too_late and self.admission.admits(now, request.class_index, pool, is_over_quota)

    def _send_first(self, now: float, request: Request) -> list[Action]:
        pool = self.table.class_pools[request.class_index]
        # All ready servers replace a dead subset, except cold ones: other instances use their budget.
        return self._send(now, request, pool.subset, True) or self._send(now, request, pool.ready, False)

    def _send(self, now: float, request: Request, servers: list[Server], is_first: bool) -> list[Action]:
        """Send an attempt to the best candidate whose breaker admits it; no action if there is none."""
        timeout = self.settings.classes[request.class_index].latency_target
        for server in self.pick.rank_candidates(now, request, servers, is_first):
            if server.breaker is None:
                server.breaker = CircuitBreaker()
            if not server.breaker.rejects(now, timeout, self.rng):
                return [self._start_attempt(now, request, server)]
        return []

    def _start_attempt(self, now: float, request: Request, server: Server) -> Send:
        self.table.reinstated.pop(server, None)
        if server.slow_start_credit > 0.0:
            server.slow_start_credit -= 1.0
        if request.attempts:
            self.retry_budget.count_retry(now)
        attempt = Attempt(server, now)
        if not request.is_incomplete:
            server.in_flight[attempt] = None
        self.table.class_pools[request.class_index].sent.count(now)
        request.attempts.append(attempt)
        request.open_attempts += 1
        timeout = request.useful_until - now if request.useful_until < request.deadline else 0.0
        return Send(request.id, server.row.server, timeout)

    def _retry(self, now: float, request: Request) -> list[Action]:
        """Send a retry within the rules and the retry budget; no action if that is not possible."""
        if request.is_finished or request.is_bound or now >= request.useful_until:
            return []
        if not self.retry_budget.allows_retry(now) or len(request.attempts) >= request.max_attempts:
            return []
        return self._send(now, request, self.pick.retry_servers(now, request), False)

    def _respond(self, now: float, request: Request) -> list[Action]:
        """Return the final response: a rejection if the client may safely retry, else a failure."""
        # Guards admission against failures without load, from invalid responses to a server's own faults:
        # rejecting work does not cure them. Could harm: an overloaded tier that fails fast, as behind proxies
        # that reject, shows only in the pending requests.
        if any(attempt.shows_overload for attempt in request.attempts):
            self.table.class_pools[request.class_index].breaker.count_failed(now)
        kind = self.settings.classes[request.class_index]
        is_keyed = (
            kind.retry_safety is RetrySafety.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
        )
        is_harmless = kind.retry_safety is RetrySafety.SAFE or is_keyed
        never_ran = request.first_that_may_have_run() is None
        response: Action = Reject(request.id) if is_harmless or never_ran else Fail(request.id)
        return [response, *self._finish(request)]

    def _set_pending(self, request: Request, is_pending: bool) -> None:
        """Count the request among those that wait for a response, which the servers have still to work on."""
        if request.is_pending is not is_pending:
            request.is_pending = is_pending
            self.table.class_pools[request.class_index].pending += 1 if is_pending else -1

    def _finish(self, request: Request) -> list[Action]:
        request.is_finished = True
        self._set_pending(request, False)
        actions = [] if request.is_bound else self._cancel_attempts(request)
        if not request.open_attempts:
            self.requests.pop(request.id, None)
        return actions

    def _cancel_attempts(self, request: Request, spared: int = -1) -> list[Action]:
        if not self.settings.limits.allows_cancel:
            return []
        return [Cancel(request.id, n) for n, a in enumerate(request.attempts) if a.is_open and n != spared]

    def complete_body(self, now: float, request_id: RequestId, deadline: float) -> list[Action]:
        """Handle the last byte of a partial request; its latency counts from now on.

        Guards servers and admission against slow uploads: nothing runs during an upload, which therefore
        shows neither that its server hangs nor that requests queue up.
        """
        request = self.requests.get(request_id)
        if request is None or request.is_finished or not request.is_incomplete:
            return []
        request.is_incomplete = False
        self._set_pending(request, not request.has_response_begun)
        for attempt in request.attempts:
            if attempt.is_open and not request.has_response_begun:
                attempt.work_started_at = now
                attempt.server.in_flight[attempt] = None
        return self.extend_deadline(now, request_id, deadline)

    def extend_deadline(self, now: float, request_id: RequestId, deadline: float) -> list[Action]:
        """Extend the deadline for another client that waits for the response; open attempts keep theirs."""
        request = self.requests.get(request_id)
        if request is None or request.is_finished or deadline <= request.deadline:
            return []
        if request.useful_until >= request.deadline:
            request.useful_until = deadline
        else:  # late responses have little value: the joining client's latency target counts from now
            target = self.settings.classes[request.class_index].latency_target
            useful_until = min(deadline, now + TARGET_FRACTION * target)
            request.useful_until = max(request.useful_until, useful_until)
        request.deadline = deadline
        return []

    def finish_attempt(
        self,
        now: float,
        request_id: RequestId,
        number: int,
        outcome: Outcome,
        latency: float,
        is_final: bool = False,
    ) -> list[Action]:
        """Handle the end of an attempt after `latency` seconds; `is_final`: the client has its response."""
        request = self.requests.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.is_open:
            return []
        self._close_attempt(request, attempt, outcome, latency)
        self._learn(now, attempt, outcome, latency, self.settings.classes[request.class_index].latency_target)
        if outcome is Outcome.OK:
            self.costs.observe(latency, request.cost)
        if request.is_finished:
            if not request.open_attempts:
                self.requests.pop(request_id, None)
            return []
        if is_final or outcome is Outcome.OK:
            pool = self.table.class_pools[request.class_index]
            pool.served.count(now)
            pool.breaker.count_accepted(now)
            return self._finish(request)
        return [] if request.open_attempts else self._retry(now, request) or self._respond(now, request)

    def _close_attempt(self, request: Request, attempt: Attempt, outcome: Outcome, latency: float) -> None:
        attempt.is_open = False
        attempt.may_have_run = outcome not in NEVER_RAN
        # An error after more than the wait up to which requests are admitted indicates a timeout further on.
        max_wait = self.admission.max_wait[request.class_index]
        attempt.shows_overload = outcome in OVERLOAD_OUTCOMES or latency > max_wait
        request.open_attempts -= 1

    def _learn(self, now: float, attempt: Attempt, outcome: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.in_flight.pop(attempt, None)
        breaker, is_former_process = server.breaker, attempt.sent_at < server.row.started_at
        if breaker is None or outcome is Outcome.NOT_PROCESSED or is_former_process:
            return
        if outcome in NEVER_RAN:
            server.eject(now, self.rng)
        elif outcome in (Outcome.OK, Outcome.ERROR):
            server.end_ejection()
        if outcome is Outcome.OK:
            self._learn_success(now, server, breaker, latency)
        elif outcome is not Outcome.CANCELLED:
            breaker.count_failed(now)
            # Guards against a server that fails fast and so looks quick: a failure counts as a timeout.
            server.observe_latency(now, max(latency, timeout))

    def _learn_success(self, now: float, server: Server, breaker: CircuitBreaker, latency: float) -> None:
        table = self.table
        breaker.count_accepted(now)
        if breaker.current_latency <= 0.0 and table.tier_latency > 0.0:
            # A single slow response must not set the baseline.
            breaker.observe_latency(min(latency, table.tier_latency))
        breaker.observe_latency(latency)
        server.observe_latency(now, latency)
        gap = latency - table.tier_latency
        table.tier_latency += gap / TIER_LATENCY_FACTOR if table.tier_latency > 0.0 else latency

    def bind_to_attempt(self, now: float, request_id: RequestId, number: int) -> list[Action]:
        """Bind a request to an attempt, since a part of a stream was sent to the attempt's server."""
        request = self.requests.get(request_id)
        if request is None or request.is_finished:
            return []
        request.is_bound = True
        return self._cancel_attempts(request, number)

    def begin_response(self, now: float, request_id: RequestId, number: int) -> list[Action]:
        """Handle the start of a streamed response: binds the request to the attempt, no longer pending.

        Guards admission against streams that last long: they are no queue that would make others late.
        """
        request = self.requests.get(request_id)
        if request is not None and not request.is_finished and not request.has_response_begun:
            request.has_response_begun = True
            self._set_pending(request, False)
            # Guards a server that sends a long response against looking as if it hung.
            for attempt in request.attempts:
                attempt.server.in_flight.pop(attempt, None)
        return self.bind_to_attempt(now, request_id, number)

    def cancel_request(self, now: float, request_id: RequestId) -> list[Action]:
        """Handle the departure of the client, which expects no response any more."""
        request = self.requests.get(request_id)
        return [] if request is None or request.is_finished else self._finish(request)
