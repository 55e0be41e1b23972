"""State that an instance keeps of one server, and the attempts that it has sent there."""

from __future__ import annotations

from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.model import Rules, ServerRow
from lugspur.load_balancing.outlier_ejection import OutlierEjection

LATENCY_FACTOR = 4.0  # divides each step of the moving average that servers are scored by
STALE_SECONDS = 5.0  # without a sample, after which a server's latency counts half, the tier's the other half


class Attempt:
    """One attempt of a request at one server."""

    def __init__(self, server: Server, sent_at: float) -> None:
        self.server = server
        self.sent_at = sent_at
        self.work_started_at = sent_at  # the earliest time at which the server can have begun to work on it
        self.is_open = True
        self.may_have_run = True  # until the outcome proves otherwise
        self.shows_overload = False  # whether the outcome indicates that the servers are overloaded


class Server(OutlierEjection):
    """One server of the next tier; latencies in seconds."""

    def __init__(self, row: ServerRow) -> None:
        super().__init__()
        self.row = row
        # Created at the first attempt: most servers of a large list get none.
        self.breaker: CircuitBreaker | None = None
        self.in_flight: dict[Attempt, None] = {}  # oldest first
        self.latency = 0.0  # moving average; failures count as the timeout; 0 before the first sample
        self.latency_updated_at = 0.0
        self.slow_start_credit = 0.0  # requests that the server may get now while it warms up
        self.slow_start_credited_at = 0.0  # time of the last update of the credit; 0 before the first

    def warm_at(self, rules: Rules) -> float:
        """Return the time at which the server's slow start ends; 0 if it started long ago."""
        started_at = self.row.started_at
        return started_at + rules.slow_start_seconds if started_at > 0.0 else 0.0

    def replace_process(self) -> None:
        """Forget what was learned, since another process runs in the server's place."""
        self.breaker = None
        self.latency = 0.0
        # The slow start credit is reset as well: a credit earned since before the restart would be full at
        # every instance at once, and the first request of each instance would overload the cold server.
        self.slow_start_credit = self.slow_start_credited_at = 0.0
        self.end_ejection()

    def observe_latency(self, now: float, latency: float) -> None:
        """Update the latency average that servers are scored by."""
        self.latency += (latency - self.latency) / LATENCY_FACTOR if self.latency > 0.0 else latency
        self.latency_updated_at = now

    def score(self, now: float, tier_latency: float, others_in_flight: float = 0.0) -> float:
        """Return current latency x (in-flight + 1); the server with the lower score is picked.

        Guards against stale averages (without samples the latency drifts to the tier's, so that a recovered
        server gets requests) and hung servers (an open attempt older than the latency counts as a sample).
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
        """Return whether most of the attempts in the window of the server's breaker failed."""
        return self.breaker is not None and self.breaker.is_outlier(now)
