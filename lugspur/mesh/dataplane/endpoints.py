"""What a proxy knows of the backends that it may send to, and how it picks one."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from cachetools import LRUCache

from lugspur.load_balancing.breaker import Breaker
from lugspur.mesh.dataplane.route_table import RouteEntry
from lugspur.observability.failures import Refusal

COLD = 2.0  # times the usual latency that a backend counts with while it says that it is slow
FAR = 1.6  # times its score that a backend of another zone counts with: bytes between zones cost...
FAR_BYTES = 16 << 10  # ...and once more for so many bytes of a body
BREAKERS_MOST = 256  # routes with a breaker of their own for one backend, those used last


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


def pick(
    ready: Sequence[Endpoint], route: RouteEntry, zone: str, body_bytes: int, now: float, rng: Random
) -> Endpoint | tuple[Refusal, ...]:
    """Two random ready backends, that with the lower current latency x (in flight + 1) first; both may refuse.

    Returns why each refused where none is found.
    """
    pace = route.average_latency
    timeout = route.deadline / pace if pace else 0.0
    far = FAR + body_bytes / FAR_BYTES

    def cost(endpoint: Endpoint) -> float:
        return endpoint.score(now) * (1.0 if endpoint.zone == zone else far)

    refusals: tuple[Refusal, ...] = ()
    for endpoint in sorted(_draw_two(ready, zone, rng), key=cost):
        breaker = endpoint.breaker(route.name)
        if not breaker.refuses(now, timeout, rng):
            return endpoint
        refusals += (_refusal(endpoint.id, breaker, now, timeout),)
    return refusals


def _refusal(ident: str, breaker: Breaker, now: float, timeout: float) -> Refusal:
    errors, latency = breaker.error_ratio(now), breaker.latency_ratio(timeout)
    return Refusal(ident, round(max(errors, latency), 3), "errors" if errors >= latency else "latency")


def _draw_two(ready: Sequence[Endpoint], zone: str, rng: Random) -> Sequence[Endpoint]:
    """One of the own zone and one of all others, where there are more than two: bytes between zones cost."""
    if len(ready) <= 2:
        return ready
    near = [endpoint for endpoint in ready if endpoint.zone == zone]
    if not near:
        return rng.sample(ready, 2)
    first = rng.choice(near)
    return [first, rng.choice([endpoint for endpoint in ready if endpoint is not first])]
