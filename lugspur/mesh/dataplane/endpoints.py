"""The endpoints that a proxy may send requests to, and the selection of one for each request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from cachetools import LRUCache

from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.mesh.dataplane.route_table import RouteEntry
from lugspur.observability.failures import BreakerRejection

SLOW_START_LATENCY = 2.0  # relative latency assumed for a backend in slow start that has no measured latency
# Factor on the score of a backend in another zone, since traffic between zones has a cost. It grows by 1 for every
# REMOTE_ZONE_BYTES of the request body.
REMOTE_ZONE_COST = 1.6
REMOTE_ZONE_BYTES = 16 << 10
FAILURE_LATENCY = 3.0  # relative latency recorded for a failure, so that a backend that fails fast does not look fast
DEPRIORITISED_SECONDS = 0.04  # mean; the actual time is drawn uniformly from 0.5 to 1.5 times this
MAX_BREAKERS = 256  # circuit breakers per backend, one for each of the most recently used routes
LATENCY_WEIGHT = 1 / 4  # weight of one response in the moving average of a backend's latency


@dataclass(slots=True, frozen=True)
class EndpointListing:
    """A backend that accepts requests, as received in the updates of the mesh."""

    ip: str  # of its machine
    zone: str
    slow_start_until: float = 0.0  # end of its slow start, in event loop time


class Endpoint:
    """The state that this process keeps about one incarnation of a backend; times are in event loop time."""

    __slots__ = (
        "breakers",
        "deprioritised_until",
        "id",
        "in_flight",
        "ip",
        "latency",
        "service",
        "slow_start_until",
        "zone",
    )

    def __init__(self, ident: str, service: str, ip: str, zone: str) -> None:
        self.id, self.service, self.ip, self.zone = ident, service, ip, zone
        # One breaker for each route: a limiter that rejects the requests of one priority may still accept more urgent
        # ones.
        self.breakers: LRUCache[str, CircuitBreaker] = LRUCache(MAX_BREAKERS)
        self.latency = 0.0  # moving average, relative to the average of the route; 0 if nothing has been measured
        self.in_flight = 0  # attempts of this process
        self.slow_start_until = 0.0
        self.deprioritised_until = 0.0  # set after a rejection: other backends are preferred until then

    def breaker(self, route: str) -> CircuitBreaker:
        """Return the circuit breaker for the requests of a route to this backend."""
        found = self.breakers.get(route)
        if found is None:
            found = self.breakers[route] = CircuitBreaker()
        return found

    def record_success(self, now: float, route: RouteEntry, latency: float) -> None:
        """Record a successful response; `latency` is in seconds and above 0."""
        route.record_latency(latency)
        relative = latency / route.average_latency
        breaker = self.breaker(route.name)
        breaker.count_accepted(now)
        breaker.observe_latency(relative)
        self._record_latency(relative)

    def record_failure(self, now: float, route: str) -> None:
        """Record a failed request."""
        self.breaker(route).count_failed(now)
        self._record_latency(FAILURE_LATENCY)

    def record_rejection(self, now: float, route: str, rng: Random) -> None:
        """Record a request that the backend's limiter rejected, and briefly prefer other backends."""
        self.breaker(route).count_failed(now)
        self.deprioritised_until = now + DEPRIORITISED_SECONDS * (0.5 + rng.random())

    def _record_latency(self, latency: float) -> None:
        self.latency += (latency - self.latency) * LATENCY_WEIGHT if self.latency > 0.0 else latency

    def score(self, now: float) -> float:
        """Return the latency times the load including a new request; lower is better."""
        default_latency = SLOW_START_LATENCY if now < self.slow_start_until else 1.0
        return (self.latency or default_latency) * (self.in_flight + 1)


def select_endpoint(
    candidates: Sequence[Endpoint], route: RouteEntry, *, zone: str, body_bytes: int, now: float, rng: Random
) -> Endpoint | tuple[BreakerRejection, ...]:
    """Select a backend by the power of two choices: draw two and prefer the lower cost, unless its breaker rejects.

    `zone`: zone of this process, since traffic to another zone has a cost; `body_bytes`: size of the request body.
    Returns the endpoint, or the reason for which each drawn endpoint was rejected. Source: Mitzenmacher, "The Power
    of Two Choices in Randomized Load Balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    timeout = route.deadline / route.average_latency if route.average_latency else 0.0
    remote_cost = REMOTE_ZONE_COST + body_bytes / REMOTE_ZONE_BYTES

    def cost(endpoint: Endpoint) -> float:
        return endpoint.score(now) * (1.0 if endpoint.zone == zone else remote_cost)

    rejections: tuple[BreakerRejection, ...] = ()
    for endpoint in sorted(_draw_two(candidates, zone, rng), key=cost):
        breaker = endpoint.breaker(route.name)
        if not breaker.rejects(now, timeout, rng):
            return endpoint
        rejections += (_explain_rejection(endpoint.id, breaker, now, timeout),)
    return rejections


def _explain_rejection(ident: str, breaker: CircuitBreaker, now: float, timeout: float) -> BreakerRejection:
    errors, latency = breaker.error_probability(now), breaker.latency_probability(timeout)
    return BreakerRejection(ident, round(max(errors, latency), 3), "errors" if errors >= latency else "latency")


def _draw_two(candidates: Sequence[Endpoint], zone: str, rng: Random) -> Sequence[Endpoint]:
    """Draw one endpoint of the local zone, if there is one, and another of any zone; return all if there are two."""
    if len(candidates) <= 2:
        return candidates
    local = [endpoint for endpoint in candidates if endpoint.zone == zone]
    if not local:
        return rng.sample(candidates, 2)
    first = rng.choice(local)
    return [first, rng.choice([endpoint for endpoint in candidates if endpoint is not first])]
