"""The state of the backend of this machine, shared by its limiter and its registration."""

from __future__ import annotations

from lugspur.discovery.endpoints import read_address
from lugspur.http1.upstream import Backend


class LocalBackend:
    """One incarnation of the backend of this machine; times are in event loop time."""

    __slots__ = (
        "backend",
        "closing_at",
        "concurrency",
        "id",
        "is_unreachable",
        "last_heartbeat_at",
        "sequence",
        "service",
        "slow_start_until",
        "state",
    )

    def __init__(self, ident: str, service: str, address: str, now: float) -> None:
        self.id, self.service = ident, service
        self.backend = Backend(read_address(address))
        self.backend.in_service = True
        self.concurrency = 1  # requests that the backend can run at once, as declared in its heartbeats
        self.sequence = -1  # sequence number of the backend's latest heartbeat
        self.state = "accepting"
        self.closing_at = float("inf")  # when the backend announced that it is closing
        self.last_heartbeat_at = now
        self.slow_start_until = now  # end of the backend's slow start
        self.is_unreachable = False  # the backend has refused a connection since its latest heartbeat
