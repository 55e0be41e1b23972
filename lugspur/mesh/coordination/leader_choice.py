"""Selects the node that should lead, as one node sees it: a voter that leads already, or the first available one.

Two nodes may temporarily select different leaders. This costs time but never safety, which rests on proposal numbers.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.messages.coordination import CoordinationHeartbeat

HEARTBEAT_INTERVAL_SECONDS = 0.25  # time between two heartbeats of a voter
HEARTBEAT_TIMEOUT_SECONDS = 0.75  # time without a heartbeat after which a voter counts as unavailable


@dataclass(slots=True)
class ReceivedHeartbeat:
    """A voter's latest heartbeat on the current connection, and its arrival time by this node's steady clock."""

    heartbeat: CoordinationHeartbeat
    received_at: float


class LeaderChoice:
    """The latest heartbeats of the voters, and the leader that follows from them."""

    def __init__(self, own_ip: str) -> None:
        self._own_ip = own_ip
        self._received: dict[str, ReceivedHeartbeat] = {}

    def record_heartbeat(self, now: float, ip: str, heartbeat: CoordinationHeartbeat) -> None:
        """Record a voter's heartbeat."""
        self._received[ip] = ReceivedHeartbeat(heartbeat, now)

    def disconnected(self, ip: str) -> None:
        """Forget the heartbeat of a voter whose connection has ended."""
        self._received.pop(ip, None)

    def clock_of(self, ip: str) -> float | None:
        """Return a voter's steady clock as its latest heartbeat stated it, or None without a heartbeat."""
        received = self._received.get(ip)
        return None if received is None else received.heartbeat.clock

    def index_of(self, ip: str) -> int:
        """Return the index of the latest change that a voter has reported, or 0 without a heartbeat."""
        received = self._received.get(ip)
        return 0 if received is None else received.heartbeat.index

    def choose(self, now: float, membership: Membership | None, own: CoordinationHeartbeat) -> str | None:
        """Return the IP address of the node that should lead, or None; `own` is this node's own heartbeat."""
        if membership is None:
            return None
        available: list[str] = []
        leading: dict[str, int] = {}
        for voter in membership.voters:
            heartbeat = own if voter.ip == self._own_ip else self._fresh_heartbeat(now, voter.ip)
            if heartbeat is None or not heartbeat.is_available:
                continue
            available.append(voter.ip)
            if heartbeat.leading_number:
                leading[voter.ip] = heartbeat.leading_number
        if leading:
            return max(leading, key=lambda ip: (leading[ip], ip))
        return available[0] if available else None

    def _fresh_heartbeat(self, now: float, ip: str) -> CoordinationHeartbeat | None:
        received = self._received.get(ip)
        return (
            received.heartbeat
            if received is not None and now - received.received_at < HEARTBEAT_TIMEOUT_SECONDS
            else None
        )
