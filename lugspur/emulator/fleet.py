"""Many load balancer instances in front of shared backends, in virtual time: their combined effect.

`python -m lugspur.emulator fleet` simulates 4, 40 and 400 proxies with the same light traffic for each proxy: a run
without faults, and a run in which a tenth of the backends vanish silently while every endpoint list still contains
them.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from random import Random

from lugspur.emulator.backends import Backend, BackendSettings
from lugspur.emulator.clock import Clock
from lugspur.emulator.world import REJECTED, SERVED, World
from lugspur.load_balancing.model import Limits, RequestClass, RetrySafety, Settings

PROXY_COUNTS = (4, 40, 400)
NO_FAULTS, TENTH_VANISH = "calm", "a tenth vanish"
LATENCY_TARGET, DEADLINE = 0.41, 1.0  # seconds
BACKEND_SETTINGS = BackendSettings(slots=1, queue_limit=8, mean_service_time=0.1)
LOAD = 0.55  # offered load as a fraction of the capacity of the backends
BACKENDS_PER_PROXY = 1.5
VANISH_AT = 5.0  # seconds after the start: backends vanish, and the counts of requests begin
END_AT = 13.0  # seconds after the start: the last request is sent


@dataclass(slots=True, frozen=True)
class FleetResult:
    """Result of one run; the request counts start when the backends vanish."""

    proxies: int
    scenario: str
    requests: int
    served_in_time: float  # fraction of the requests that were served within the latency target
    rejected: float  # fraction of the requests that the load balancers rejected
    connect_failures: int  # attempts to connect to vanished backends
    busiest: float  # attempts started by the busiest backend, as a multiple of the mean
    cpu: float  # CPU seconds of the load balancers and the emulator per request

    def row(self) -> str:
        """Return the row of the printed table."""
        return (
            f"| {self.proxies} | {self.scenario} | {self.served_in_time:.1%} | {self.rejected:.1%} | "
            f"{self.connect_failures} ({self.connect_failures / self.requests:.2%}) | {self.busiest:.2f} | "
            f"{1e6 * self.cpu:.0f} us |"
        )


def settings(proxies: int, index: int) -> Settings:
    """Return the settings of one load balancer instance of the first tier."""
    row = RequestClass("book", latency_target=LATENCY_TARGET, deadline=DEADLINE, retry_safety=RetrySafety.UNSAFE)
    return Settings(
        classes=(row,), instance_count=proxies, instance_index=index, limits=Limits(allows_cancel=True, max_attempts=5)
    )


def play(proxies: int, scenario: str, seed: int) -> FleetResult:
    """Simulate one run; the same seed gives the same result, except for the CPU time."""
    clock, rng = Clock(), Random(f"{seed} {proxies}")
    backends = [
        Backend(clock, BACKEND_SETTINGS, Random(rng.random())) for _ in range(round(BACKENDS_PER_PROXY * proxies))
    ]
    worlds = [
        World(clock, settings(proxies, index), 0, BACKEND_SETTINGS, rng.randrange(1 << 32), backends)
        for index in range(proxies)
    ]
    ends: Counter[str] = Counter()
    late = 0

    def send_request() -> None:
        sent_at = clock.now

        def on_end(end: str) -> None:
            nonlocal late
            if sent_at >= VANISH_AT:
                ends[end] += 1
                late += end == SERVED and clock.now > sent_at + LATENCY_TARGET

        rng.choice(worlds).request(0, 0, sent_at + DEADLINE, on_end)

    def vanish() -> None:
        for backend in backends[: max(1, len(backends) // 10)]:
            backend.has_vanished = scenario == TENTH_VANISH

    when = 0.0
    while when < END_AT:
        clock.call_at(when, send_request)
        when += rng.expovariate(LOAD * len(backends) * BACKEND_SETTINGS.rate())
    clock.call_at(VANISH_AT, vanish)
    cpu_started = time.process_time()
    clock.run()
    cpu = time.process_time() - cpu_started
    requests, started = sum(ends.values()), [backend.started_count for backend in backends]
    return FleetResult(
        proxies,
        scenario,
        requests,
        (ends[SERVED] - late) / requests,
        ends[REJECTED] / requests,
        sum(b.connect_failures for b in backends),
        max(started) * len(started) / sum(started),
        cpu / requests,
    )
