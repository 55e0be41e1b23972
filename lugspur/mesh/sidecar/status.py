"""The status of a sidecar for operators."""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from typing import Any, Protocol

from lugspur.mesh.control.messages import Membership
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.endpoints import Endpoint
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.process import MAX_AGE_SECONDS
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.update_source import UpdateSource


class StatusParts(Protocol):
    """The parts of a sidecar that its status is read from."""

    loop: asyncio.AbstractEventLoop
    ip: str
    is_leaving: bool
    update_source: UpdateSource
    membership: Membership | None
    limiter: ConcurrencyLimiter
    proxy: Proxy

    @property
    def table(self) -> Sized:
        """The routes in force."""

    @property
    def settings(self) -> Settings:
        """The settings that are in force."""


def sidecar_status(sidecar: StatusParts) -> dict[str, Any]:
    """Return the fields of /mesh/status: the configuration in force, its staleness, and the known backends."""
    now, membership, proxy = sidecar.loop.time(), sidecar.membership, sidecar.proxy
    endpoints = [endpoint for by_id in proxy.services.values() for endpoint in by_id.values()]
    return {
        "node": sidecar.settings.own.node_name,
        "role": "proxy",
        "ip": sidecar.ip,
        "zone": sidecar.settings.own.zone,
        "sender": proxy.sender,
        "leaving": sidecar.is_leaving,
        "known": sidecar.update_source.has_configuration,
        "epoch": 0 if membership is None else membership.epoch,
        "voters": [] if membership is None else [voter.ip for voter in membership.voters],
        "source": sidecar.update_source.ip,
        "age_s": round(min(MAX_AGE_SECONDS, now - sidecar.update_source.confirmed_at), 3),
        "routes": len(sidecar.table),
        "open": len(proxy.open_requests),
        "busy": sidecar.limiter.in_flight,
        "backend": _backend(sidecar.limiter.local_backend),
        "backends": [_endpoint(endpoint, proxy.carrier.is_reachable(endpoint.ip), now) for endpoint in endpoints],
    }


def _backend(local: LocalBackend | None) -> dict[str, Any] | None:
    if local is None:
        return None
    return {
        "id": local.id,
        "service": local.service,
        "state": local.state,
        "berths": local.concurrency,
        "down": local.is_unreachable,
    }


def _endpoint(endpoint: Endpoint, is_reachable: bool, now: float) -> dict[str, Any]:
    return {
        "id": endpoint.id,
        "service": endpoint.service,
        "ip": endpoint.ip,
        "zone": endpoint.zone,
        "reached": is_reachable,
        "in_flight": endpoint.in_flight,
        "latency": round(endpoint.latency, 3),
        "refuses": {name: round(breaker.error_probability(now), 3) for name, breaker in endpoint.breakers.items()},
    }
