"""The metrics of a sidecar, and its log line for a failed request."""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from typing import Protocol

from lugspur.http1.body_memory import BodyMemory
from lugspur.http1.front import Front
from lugspur.mesh import events
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.sidecar.incoming import IncomingExchanges
from lugspur.mesh.sidecar.known_backends import KnownBackends
from lugspur.mesh.sidecar.update_source import UpdateSource
from lugspur.mesh.transport.dialer import Dialer
from lugspur.observability.failures import ConfigurationState, FailedRequest
from lugspur.observability.metrics import Metric, counter, gauge, invariant_metrics, labelled_counter


class SidecarParts(Protocol):
    """The parts of a sidecar that metrics are read from."""

    loop: asyncio.AbstractEventLoop
    limiter: ConcurrencyLimiter
    body_memory: BodyMemory
    proxy: Proxy
    front: Front
    incoming: IncomingExchanges
    peers: dict[str, Dialer]
    update_source: UpdateSource
    backends: KnownBackends
    is_leaving: bool

    @property
    def reservations(self) -> Sized:
        """The pending key reservations."""

    @property
    def table(self) -> Sized:
        """The routes in force."""

    def configuration_state(self) -> ConfigurationState:
        """Return the state of the configuration that requests are handled by now."""


def sidecar_metrics(sidecar: SidecarParts) -> list[Metric]:
    """Return the current values of all metrics of a sidecar."""
    now, limiter, proxy, front = sidecar.loop.time(), sidecar.limiter, sidecar.proxy, sidecar.front
    state = sidecar.configuration_state()
    causes = {cause.label: float(count) for cause, count in limiter.causes.items()}
    rejections = {str(status): float(count) for status, count in front.rejections.items()}
    selections = sidecar.update_source.selections
    connected_peers = sum(dialer.link is not None for dialer in sidecar.peers.values())
    return [
        labelled_counter(
            "requests_total", "Requests of this machine's callers, by how they ended.", "how", proxy.results
        ),
        labelled_counter(
            "rejections_total", "Requests that could not be read or taken, by status.", "status", rejections
        ),
        labelled_counter(
            "gate_unanswered_total",
            "Requests for the backend without its answer, by cause.",
            "cause",
            causes,
        ),
        gauge("requests_open", "Requests of callers that are not answered yet.", len(proxy.open_requests)),
        gauge("gate_in_hand", "Requests for the backend that run or wait.", limiter.in_flight),
        gauge("uploads_open", "Bodies that arrive in parts.", len(sidecar.incoming.uploads)),
        gauge("body_memory_bytes", "Memory that request bodies take.", sidecar.body_memory.used_bytes),
        gauge("bodies_waiting", "Request bodies that wait for memory.", sidecar.body_memory.waiting_bodies),
        gauge("callers", "Connections of callers.", len(front.callers)),
        gauge("claims_open", "Claims of operation keys that are not settled.", len(sidecar.reservations)),
        gauge("routes", "Routes in force.", len(sidecar.table)),
        gauge("backends", "Backends that the mesh tells of.", len(sidecar.backends.by_ip)),
        gauge("peers_up", "Processes that can be reached.", connected_peers),
        gauge("configuration_index", "The latest change of the configuration that is known.", state.index),
        gauge("membership_epoch", "The membership that this process goes by.", state.epoch),
        gauge(
            "news_age_seconds",
            "Seconds since word of a majority.",
            state.update_age_seconds,
        ),
        counter("news_sources_total", "How often another control node's news was followed.", selections),
        gauge("leaving", "1 while this process ends.", float(sidecar.is_leaving)),
        gauge("backend_silent_seconds", "Seconds since the backend's latest heartbeat.", _heartbeat_age(sidecar, now)),
        *invariant_metrics(),
    ]


def _heartbeat_age(sidecar: SidecarParts, now: float) -> float:
    local = sidecar.limiter.local_backend
    return 0.0 if local is None else now - local.last_heartbeat_at


def log_failure(failed: FailedRequest, unlogged_count: int) -> None:
    """Log a failed request; `unlogged_count`: number of failures without a log line since the previous line."""
    steps = ";".join(f"{s.backend}@{s.sent_s:.3f}+{s.took_s:.3f}:{s.how}:{s.cause}" for s in failed.steps)
    events.info(
        "request-failed",
        attempt=failed.attempt,
        how=failed.how,
        route=failed.route,
        service=failed.service,
        claim=failed.claim,
        took=failed.took_s,
        had=failed.had_s,
        sends=failed.sends,
        turned_away=failed.turned_away,
        waited_for=",".join(failed.waited_for),
        pick="" if failed.pick is None else failed.pick.text(),
        edition=failed.edition,
        index=failed.index,
        epoch=failed.epoch,
        news_age=failed.news_age_s,
        steps=steps,
        untold=unlogged_count,
    )
