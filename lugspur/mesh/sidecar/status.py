"""What operators see of a proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from typing import Any, Protocol

from lugspur.mesh.control.messages import Membership
from lugspur.mesh.dataplane.endpoints import Endpoint
from lugspur.mesh.dataplane.gate import Gate, LocalBackend
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.settings import Settings


class StatusParts(Protocol):
    """The parts of a proxy's process that its status is read from."""

    loop: asyncio.AbstractEventLoop
    settings: Settings
    ip: str
    leaving: bool
    known: bool
    source: str
    source_at: float
    membership: Membership | None
    gate: Gate
    proxy: Proxy

    @property
    def table(self) -> Sized:
        """Routes in force."""

    def ready(self, ip: str) -> bool:
        """Whether that machine can be reached now."""


def sidecar_status(sidecar: StatusParts) -> dict[str, Any]:
    """The fields of /mesh/status: what the proxy goes by, how old that is, and whom it would send to."""
    now, membership, proxy = sidecar.loop.time(), sidecar.membership, sidecar.proxy
    endpoints = [endpoint for found in proxy.services.values() for endpoint in found.values()]
    return {
        "node": sidecar.settings.own.node_name,
        "role": "proxy",
        "ip": sidecar.ip,
        "zone": sidecar.settings.own.zone,
        "sender": proxy.sender,
        "leaving": sidecar.leaving,
        "known": sidecar.known,
        "epoch": 0 if membership is None else membership.epoch,
        "voters": [] if membership is None else [voter.ip for voter in membership.voters],
        "source": sidecar.source,
        "age_s": round(min(1e6, now - sidecar.source_at), 3),
        "routes": len(sidecar.table),
        "open": len(proxy.open_requests),
        "busy": sidecar.gate.busy,
        "backend": _backend(sidecar.gate.local),
        "backends": [_endpoint(endpoint, sidecar.ready(endpoint.ip), now) for endpoint in endpoints],
    }


def _backend(local: LocalBackend | None) -> dict[str, Any] | None:
    if local is None:
        return None
    return {
        "id": local.id,
        "service": local.service,
        "state": local.state,
        "berths": local.berths,
        "down": local.down,
    }


def _endpoint(endpoint: Endpoint, reached: bool, now: float) -> dict[str, Any]:
    return {
        "id": endpoint.id,
        "service": endpoint.service,
        "ip": endpoint.ip,
        "zone": endpoint.zone,
        "reached": reached,
        "in_flight": endpoint.inflight,
        "latency": round(endpoint.latency, 3),
        "refuses": {name: round(breaker.error_ratio(now), 3) for name, breaker in endpoint.breakers.items()},
    }
