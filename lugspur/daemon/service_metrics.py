"""The metrics of the platform proxy and of the daemon."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from lugspur.observability.metrics import Metric, counter, gauge, invariant_metrics, labelled_counter

if TYPE_CHECKING:
    from lugspur.daemon.pool import Pool
    from lugspur.http1.front import Front


def service_metrics(pools: Mapping[str, Pool], fronts: Iterable[Front]) -> list[Metric]:
    """Return all metrics of one process: sums over its pools and fronts, and requests by pool."""
    attempts, responses, rejections = Counter[str](), Counter[str](), Counter[str]()
    callers, held_bytes = 0, 0
    for pool in pools.values():
        attempts.update(pool.attempt_counts)
        responses.update({str(status): count for status, count in pool.response_counts.items()})
    for front in fronts:
        rejections.update({str(status): count for status, count in front.rejections.items()})
        callers += len(front.callers)
        held_bytes += front.buffered_bytes
    by_pool = {name: float(pool.request_count) for name, pool in pools.items()}
    return [
        labelled_counter("requests_total", "Requests taken up, by pool.", "pool", by_pool),
        labelled_counter("attempts_total", "Attempts at backends, by how they ended.", "outcome", attempts),
        labelled_counter(
            "answers_total",
            "Final answers, by status; large ones that are passed on are not here.",
            "status",
            responses,
        ),
        labelled_counter(
            "rejections_total", "Requests that could not be read or taken, by status.", "status", rejections
        ),
        counter(
            "callers_gone_total",
            "Requests whose callers left first.",
            sum(p.disconnected_callers for p in pools.values()),
        ),
        gauge(
            "requests_open",
            "Requests that an answer or an attempt is out for.",
            sum(len(p.calls) for p in pools.values()),
        ),
        gauge("backend_connections", "Connections to backends.", sum(p.upstream.sockets() for p in pools.values())),
        gauge("callers", "Connections of callers.", callers),
        gauge("held_bytes", "Bytes of bodies that are not whole.", held_bytes),
        *invariant_metrics(),
    ]
