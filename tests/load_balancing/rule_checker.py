"""Checks the rules of retries and budgets: feeds valid events to a balancer and asserts on its actions."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    NEVER_RAN,
    Action,
    Cancel,
    DeduplicationScope,
    Fail,
    ListUpdateKind,
    Outcome,
    Reject,
    RetrySafety,
    Send,
    ServerRow,
    ServerState,
    Settings,
    StartTimer,
    Subscribe,
)


@dataclass
class AttemptRecord:
    """The checker's record of an attempt."""

    row: ServerRow
    sent_at: float
    ends_at: float
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or self.outcome not in NEVER_RAN


@dataclass
class RequestRecord:
    """The checker's record of a request."""

    kind: int
    deadline: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    final_responses: int = 0
    has_ended: bool = False
    has_response_begun: bool = False


class RuleChecker:
    """Feeds events to one balancer; raises AssertionError for each violation of a rule."""

    def __init__(self, settings: Settings, seed: int, rows: list[ServerRow]) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = 100.0
        self.rows: dict[int, ServerRow] = {}
        self.requests: dict[str, RequestRecord] = {}
        self.timers: list[tuple[float, int]] = []
        self.send_times: dict[int, list[float]] = {}
        self.subscriptions = 0
        self.count = 0
        self.request_times: list[float] = []
        self.retry_times: list[float] = []
        self.update_servers(ListUpdateKind.STALE, rows)
        self.apply(self.balancer.start(self.now))

    def update_servers(self, kind: ListUpdateKind, rows: list[ServerRow]) -> None:
        if kind in (ListUpdateKind.STALE, ListUpdateKind.COMPLETE):
            self.rows = {r.server: r for r in rows}
        elif kind is ListUpdateKind.PATCH:
            self.rows.update({r.server: r for r in rows})
        self.apply(self.balancer.update_servers(self.now, kind, rows))

    def request(self, kind: int, wait: float, tenant: int = 0) -> str:
        self.count += 1
        self.request_times.append(self.now)
        rid = f"r{self.count}"
        self.requests[rid] = RequestRecord(kind, self.now + wait)
        self.apply(self.balancer.request(self.now, rid, kind, tenant, self.now + wait))
        return rid

    def open_attempts(self) -> list[tuple[str, int]]:
        return [(rid, n) for rid, o in self.requests.items() for n, t in enumerate(o.attempts) if t.outcome is None]

    def finish_attempt(self, rid: str, number: int, how: Outcome) -> None:
        request = self.requests[rid]
        attempt = request.attempts[number]
        attempt.outcome = how
        if (how is Outcome.OK or request.has_response_begun) and not request.has_ended:
            request.final_responses += 1
            request.has_ended = True
        self.apply(
            self.balancer.finish_attempt(self.now, rid, number, how, self.now - attempt.sent_at, request.has_ended)
        )

    def cancel_request(self, rid: str) -> None:
        request = self.requests[rid]
        if not request.has_ended:
            request.has_ended = True
            request.final_responses += 1  # no response is expected any more
        self.apply(self.balancer.cancel_request(self.now, rid))

    def begin_response(self, rid: str, number: int) -> None:
        """Begin the response as a stream: the request is bound to one attempt and has no deadline any more."""
        request = self.requests[rid]
        self.apply(self.balancer.begin_response(self.now, rid, number))
        request.has_response_begun = True
        request.attempts[number].ends_at = request.deadline = float("inf")

    def advance(self, span: float) -> None:
        target = self.now + span
        while True:
            due = [
                (t.ends_at, 0, rid, n)
                for rid, o in self.requests.items()
                for n, t in enumerate(o.attempts)
                if t.outcome is None
            ]
            due += [(at, 1, "", token) for at, token in self.timers]
            due = [d for d in due if d[0] <= target]
            if not due:
                break
            at, what, rid, n = min(due)
            self.now = max(self.now, at)
            if what:
                self.timers.remove((at, n))
                self.apply(self.balancer.fire_timer(self.now, n))
            else:
                self.finish_attempt(rid, n, Outcome.TIMEOUT)
        self.now = target
        slack = self.settings.rules.answer_slack
        for rid, request in self.requests.items():
            if self.now > request.deadline + slack:
                assert request.final_responses == 1, (
                    f"{rid} has {request.final_responses} final responses after its deadline"
                )

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartTimer):
                assert action.at >= self.now
                self.timers.append((max(action.at, self.now + 1e-6), action.token))
            elif isinstance(action, Subscribe):
                self.subscriptions += 1
            elif isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Cancel):
                assert self.settings.limits.allows_cancel, "cancel is not permitted"
                attempt = self.requests[action.request].attempts[action.attempt]
                assert attempt.outcome is None, "cancelled an attempt that had ended"
                attempt.ends_at = self.now  # ends at once, as cancelled or with an outcome that was on its way
            else:
                self.check_final_response(action)

    def check_send(self, action: Send) -> None:
        request = self.requests[action.request]
        kind = self.settings.classes[request.kind]
        limits = self.settings.limits
        assert not request.has_ended, "sent after the final response"
        assert not request.has_response_begun, "sent after its stream began"
        row = self.rows[action.server]
        assert row.state is ServerState.UP, "sent to a server that drains or is gone"
        for bound, place in ((kind.allowed_host_types, row.host_type), (kind.allowed_zones, row.zone)):
            assert bound is None or place in bound, "sent to a server that is not open to its class"
        assert len(request.attempts) < limits.max_attempts
        if any(t.outcome is None for t in request.attempts):
            assert limits.allows_hedging, "hedging is not permitted"
        maybe = [t for t in request.attempts if t.may_have_run]
        if maybe and kind.retry_safety is not RetrySafety.SAFE:
            assert kind.retry_safety is RetrySafety.KEYED, "an unsafe request was sent twice"
            assert self.now - min(t.sent_at for t in maybe) <= kind.deduplication_window, "retried after its window"
            for t in maybe:
                if kind.deduplication_scope is DeduplicationScope.ZONE:
                    assert t.row.zone == row.zone, "retried in another zone"
                if kind.deduplication_scope is DeduplicationScope.CELL:
                    assert t.row.cell == row.cell, "retried in another cell"
        rules = self.settings.rules
        if request.attempts and rules.retry_budget_window:
            self.retry_times.append(self.now)
            window_start = self.now - rules.retry_budget_window
            limit = rules.retry_budget_minimum + rules.retry_budget_ratio * sum(
                t > window_start for t in self.request_times
            )
            assert sum(t >= window_start for t in self.retry_times) <= limit, "beyond the retry budget"
        until = request.deadline
        if action.timeout > 0.0:
            until = min(until, self.now + action.timeout)
        request.attempts.append(AttemptRecord(replace(row), self.now, until))
        self.send_times.setdefault(action.server, []).append(self.now)

    def check_final_response(self, action: Reject | Fail) -> None:
        request = self.requests[action.request]
        kind = self.settings.classes[request.kind]
        assert not request.has_ended, "a second final response"
        if isinstance(action, Reject):
            harmless = kind.retry_safety is RetrySafety.SAFE or not any(t.may_have_run for t in request.attempts)
            harmless = harmless or (
                kind.retry_safety is RetrySafety.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
            )
            assert harmless, "rejected although it may have run"
        request.has_ended = True
        request.final_responses += 1
