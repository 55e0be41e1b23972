"""Pools of servers by placement, and the subset of each pool that first attempts are sent to."""

from collections.abc import Sequence
from math import sqrt

from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.load_balancing.event_rate import EventRate
from lugspur.load_balancing.model import DeduplicationScope, RequestClass, Rules, ServerRow, Settings
from lugspur.load_balancing.server import Server

SUBSET_SPREAD = 1.0  # servers of a subset beyond the first, for each root of the requests usually in flight


class ServerPool:
    """The servers that the classes of one placement may be sent to.

    Guards placement: the servers of every attempt, first or retry, come from a list of allowed servers alone.
    The subset is an arc of the ring of ready servers, on which each server's length is its weight.
    """

    def __init__(self, host_types: Sequence[int] | None, zones: Sequence[int] | None) -> None:
        self.allowed_host_types = host_types
        self.allowed_zones = zones
        self.ready: list[Server] = []
        self.subset: list[Server] = []
        self.subset_ends: list[float] = []  # position on the ring at which each server of the subset ends
        self.subset_begin = self.subset_width = 0.0
        self.deduplication_groups: dict[tuple[DeduplicationScope, int], list[Server]] = {}
        # Rates of requests, attempts and successful responses.
        self.offered, self.sent, self.served = EventRate(), EventRate(), EventRate()
        self.first_request_at = float("inf")
        self.pending = 0  # requests that wait for a response
        self.breaker = CircuitBreaker()  # counts whole requests, whichever servers they went to
        self.next_warm_at = float("inf")  # time at which the next cold server of the subset is warm
        self.warm_fraction = 1.0  # part of the subset's servers that are warm

    def allows(self, row: ServerRow) -> bool:
        """Return whether the classes of this pool may be sent to this server."""
        return (self.allowed_host_types is None or row.host_type in self.allowed_host_types) and (
            self.allowed_zones is None or row.zone in self.allowed_zones
        )

    def set_ready(self, ready: Sequence[Server]) -> None:
        """Set the ready servers to the allowed ones of `ready`, which is in the order of the ring."""
        self.ready = [server for server in ready if self.allows(server.row)]
        groups: dict[tuple[DeduplicationScope, int], list[Server]] = {}
        for server in self.ready:
            groups.setdefault((DeduplicationScope.ZONE, server.row.zone), []).append(server)
            groups.setdefault((DeduplicationScope.CELL, server.row.cell), []).append(server)
        self.deduplication_groups = groups

    def retry_servers(self, kind: RequestClass, row: ServerRow) -> list[Server]:
        """Return the servers that know idempotency keys of requests that the server of `row` may have run."""
        if kind.deduplication_scope is DeduplicationScope.ALL:
            return self.ready
        place = row.zone if kind.deduplication_scope is DeduplicationScope.ZONE else row.cell
        return self.deduplication_groups.get((kind.deduplication_scope, place), [])

    def choose_subset(self, now: float, settings: Settings, tier_latency: float) -> None:
        """Choose the subset that first attempts of this instance are spread over (SRE book, chapter 20).

        Guards against sparse windows: with few requests to many servers a breaker never leaves its
        protection, averages go stale, and the instance's own requests in flight say nothing about a server's
        load. Without other instances the subset is the whole pool.
        """
        total = sum(server.row.weight or 1.0 for server in self.ready)
        mean = total / max(1, len(self.ready))
        wanted = mean * (1.0 + SUBSET_SPREAD * sqrt(self.offered.per_second(now) * tier_latency))
        step = total / settings.instance_count  # only whole steps cover all servers equally
        self.subset_width = min(total, step * max(1, round(wanted / step))) if total else 0.0
        self.subset_begin = step * settings.instance_index
        self.subset = []
        self.subset_ends = []
        end = 0.0
        for server in (*self.ready, *self.ready):  # the subset may wrap around the end of the ring
            end += server.row.weight or 1.0
            begin = end - (server.row.weight or 1.0)
            if self.subset_begin < end and begin < self.subset_begin + self.subset_width:
                self.subset.append(server)
                self.subset_ends.append(end)

    def count_warm(self, now: float, rules: Rules) -> None:
        """Count the warm servers of the subset."""
        ends = [server.warm_at(rules) for server in self.subset]
        cold = [end for end in ends if end > now]
        self.next_warm_at = min(cold, default=float("inf"))
        self.warm_fraction = 1.0 - len(cold) / len(ends) if ends else 1.0

    def rate_per_server(self, now: float) -> float:
        """Return the requests a second that each server of the subset gets from this instance.

        The warm part of the subset counts by attempts sent, as rejected clients retry and would count again;
        the cold part counts by requests offered.
        """
        warm = self.warm_fraction
        rate = warm * self.sent.per_second(now) + (1.0 - warm) * self.offered.per_second(now)
        return rate / max(1, len(self.subset))
