"""What a proxy knows of the backends that it may send requests to, and how it selects one."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from cachetools import LRUCache

from lugspur.load_balancing.circuit_breaker import CircuitBreaker
from lugspur.mesh.dataplane.route_table import RouteEntry
from lugspur.observability.failures import BreakerRejection

SLOW_START_LATENCY = 2.0  # relative latency that a backend counts with while it warms up and none has been measured
# A backend of another zone costs this many times its score, since bytes between zones cost...
REMOTE_ZONE_COST = 1.6
REMOTE_ZONE_BYTES = 16 << 10  # ...and once more for each so many bytes of the body
FAILURE_LATENCY = 3.0  # relative latency that a failure counts as: a backend that fails fast must not look quick
DEPRIORITISED_SECONDS = 0.04  # on the average: drawn from half to one and a half of it
MAX_BREAKERS = 256  # routes with a breaker of their own for one backend, those used last
LATENCY_WEIGHT = 1 / 4  # of one answer in a backend's latency


@dataclass(slots=True, frozen=True)
class EndpointListing:
    """A backend that accepts requests, as the updates of the mesh list it."""

    ip: str  # of its machine
    zone: str
    slow_start_until: float = 0.0  # the loop's time until which it warms up


class Endpoint:
    """What this process knows of one incarnation of one backend; times are the loop's."""

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
        # One for each route: a limiter that rejects requests which may wait says nothing of those which may not.
        self.breakers: LRUCache[str, CircuitBreaker] = LRUCache(MAX_BREAKERS)
        self.latency = 0.0  # moving average, relative to the route's average; 0: nothing has been measured
        self.in_flight = 0  # requests of this process
        self.slow_start_until = 0.0
        self.deprioritised_until = 0.0  # it rejected a request a moment ago: until then others are preferred

    def breaker(self, route: str) -> CircuitBreaker:
        """Return the breaker of a route's requests to this backend."""
        found = self.breakers.get(route)
        if found is None:
            found = self.breakers[route] = CircuitBreaker()
        return found

    def record_success(self, now: float, route: RouteEntry, latency: float) -> None:
        """Count a successful answer; `latency` in seconds, above 0."""
        route.record_latency(latency)
        relative = latency / route.average_latency
        breaker = self.breaker(route.name)
        breaker.count_accepted(now)
        breaker.observe_latency(relative)
        self._record_latency(relative)

    def record_failure(self, now: float, route: str) -> None:
        """Count a failed request."""
        self.breaker(route).count_failed(now)
        self._record_latency(FAILURE_LATENCY)

    def record_rejection(self, now: float, route: str, rng: Random) -> None:
        """Count a request that the backend's limiter rejected, and prefer other backends for a moment."""
        self.breaker(route).count_failed(now)
        self.deprioritised_until = now + DEPRIORITISED_SECONDS * (0.5 + rng.random())

    def _record_latency(self, latency: float) -> None:
        self.latency += (latency - self.latency) * LATENCY_WEIGHT if self.latency > 0.0 else latency

    def score(self, now: float) -> float:
        """Return the latency times the load, as a new request would see it; lower is better."""
        unknown = SLOW_START_LATENCY if now < self.slow_start_until else 1.0
        return (self.latency or unknown) * (self.in_flight + 1)


def select_endpoint(
    candidates: Sequence[Endpoint], route: RouteEntry, *, zone: str, body_bytes: int, now: float, rng: Random
) -> Endpoint | tuple[BreakerRejection, ...]:
    """Select a backend by the power of two choices: draw two and prefer the lower score, unless its breaker rejects.

    `zone`: of this process, since bytes to another zone cost; `body_bytes`: of the request's body. Returns the
    endpoint, or why each that was drawn was rejected. Source: Mitzenmacher, "The Power of Two Choices in
    Randomized Load Balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
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
    """Draw one endpoint of the own zone and one of all others, where there are more than two in all."""
    if len(candidates) <= 2:
        return candidates
    local = [endpoint for endpoint in candidates if endpoint.zone == zone]
    if not local:
        return rng.sample(candidates, 2)
    first = rng.choice(local)
    return [first, rng.choice([endpoint for endpoint in candidates if endpoint is not first])]
