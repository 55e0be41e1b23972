"""The metrics of a sidecar, and its log line for a failed request."""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from typing import Protocol

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
        labelled_counter("requests_total", "Requests of this machine's callers, by result.", "how", proxy.results),
        labelled_counter(
            "rejections_total", "Requests that could not be read or accepted, by response status.", "status", rejections
        ),
        labelled_counter(
            "gate_unanswered_total",
            "Requests for the backend that ended without its response, by cause.",
            "cause",
            causes,
        ),
        gauge("requests_open", "Requests of callers without a response so far.", len(proxy.open_requests)),
        gauge("gate_in_hand", "Requests for the backend that are running or queued.", limiter.in_flight),
        gauge("uploads_open", "Request bodies that are being received in chunks.", len(sidecar.incoming.uploads)),
        gauge("callers", "Open connections of callers.", len(front.callers)),
        gauge("claims_open", "Pending reservations of idempotency keys.", len(sidecar.reservations)),
        gauge("routes", "Routes in force.", len(sidecar.table)),
        gauge("backends", "Backends in the endpoint list of the mesh.", len(sidecar.backends.by_ip)),
        gauge("peers_up", "Peers that this process is connected to.", connected_peers),
        gauge("configuration_index", "Index of the latest known change of the configuration.", state.index),
        gauge("membership_epoch", "Epoch of the membership in force in this process.", state.epoch),
        gauge(
            "news_age_seconds",
            "Staleness of updates: seconds since the latest confirmation by a majority.",
            state.update_age_seconds,
        ),
        counter("news_sources_total", "Selections of a control node as the source of updates.", selections),
        gauge("leaving", "1 while this process is shutting down, else 0.", float(sidecar.is_leaving)),
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
