"""What an instance knows of one server, and the attempts that it has sent there."""

from __future__ import annotations

from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.model import Rules, ServerRow
from lugspur.load_balancing.outlier_ejection import OutlierEjection

LATENCY_FACTOR = 4.0  # of the moving average that picks follow
STALE_SECONDS = 5.0  # after which a silent server's latency counts half, the tier's the other half


class Attempt:
    """One sending of a request to one server."""

    def __init__(self, server: Server, sent_at: float) -> None:
        self.server = server
        self.sent_at = sent_at
        self.work_started_at = sent_at  # when the server could begin
        self.is_open = True
        self.may_have_run = True  # until its outcome proves otherwise
        self.shows_overload = False  # whether its end speaks of too much work for the servers there are


class Server(OutlierEjection):
    """One server of the next tier; latencies in seconds."""

    def __init__(self, row: ServerRow) -> None:
        super().__init__()
        self.row = row
        self.breaker: CircuitBreaker | None = (
            None  # made at the first attempt: most rows of a big list see none
        )
        self.in_flight: dict[Attempt, None] = {}  # oldest first
        self.latency = 0.0  # moving average, with failures counted as the time-out; 0 before the first
        self.latency_updated_at = 0.0
        self.slow_start_credit = 0.0  # requests that it may get while it warms up
        self.slow_start_credited_at = 0.0  # 0: not yet

    def warm_at(self, rules: Rules) -> float:
        """When its slow start ends; 0 where it started long ago."""
        started_at = self.row.started_at
        return started_at + rules.slow_start_seconds if started_at > 0.0 else 0.0

    def replace_process(self) -> None:
        """Forget what was learned: another process runs in its place."""
        self.breaker = None
        self.latency = 0.0
        # The phase of slow start is drawn anew too: a credit counted from before the restart would be full at
        # every instance at once, and the first request of each would push the cold server over.
        self.slow_start_credit = self.slow_start_credited_at = 0.0
        self.end_ejection()

    def observe_latency(self, now: float, latency: float) -> None:
        """Move the average that picks follow."""
        self.latency += (latency - self.latency) / LATENCY_FACTOR if self.latency > 0.0 else latency
        self.latency_updated_at = now

    def score(self, now: float, tier_latency: float, others_in_flight: float = 0.0) -> float:
        """Current latency x (in-flight + 1); the server with the lower score is picked.

        Guards against stale averages (a silent server drifts to the tier's latency: a recovered one is tried
        again) and against hung servers (an attempt out for longer than the current latency is a sample).
        """
        latency = tier_latency
        if self.latency > 0.0:
            freshness = STALE_SECONDS / (STALE_SECONDS + now - self.latency_updated_at)
            latency += (self.latency - tier_latency) * freshness
        in_flight = self.in_flight
        if in_flight:
            latency = max(latency, now - next(iter(in_flight)).work_started_at)
        return latency * (len(in_flight) + others_in_flight + 1.0)

    def is_outlier(self, now: float) -> bool:
        """Whether most of the attempts in its breaker's window failed."""
        return self.breaker is not None and self.breaker.is_outlier(now)
