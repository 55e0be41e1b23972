"""The backend of this machine, as its limiter and its registration see it."""

from __future__ import annotations

from lugspur.discovery.endpoints import read_address
from lugspur.http1.upstream import Backend


class LocalBackend:
    """One incarnation of the backend of this machine; times are the loop's."""

    __slots__ = (
        "backend",
        "closing_at",
        "concurrency",
        "id",
        "is_unreachable",
        "last_heartbeat_at",
        "sequence",
        "service",
        "state",
        "warm_at",
    )

    def __init__(self, ident: str, service: str, address: str, now: float) -> None:
        self.id, self.service = ident, service
        self.backend = Backend(read_address(address))
        self.backend.in_service = True
        self.concurrency = 1  # requests that it can work on at once, by its own word
        self.sequence = -1  # number of its latest heartbeat
        self.state = "accepting"
        self.closing_at = float("inf")  # when it said that it closes
        self.last_heartbeat_at = now
        self.warm_at = now
        self.is_unreachable = False  # it accepted no connection since its latest heartbeat
