"""Which node should lead, as one node sees it: a voter that leads already, or the first one that could.

Two nodes may choose differently for a moment. That costs time and never safety, which rests on proposal numbers.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.messages.coordination import CoordinationHeartbeat

HEARTBEAT_INTERVAL_SECONDS = 0.25
LEADER_SILENCE_SECONDS = 0.75  # without a heartbeat, after which a voter is not relied on


@dataclass(slots=True)
class HeardVoter:
    """A voter's latest heartbeat on the present connection, and when it came by this node's steady clock."""

    heartbeat: CoordinationHeartbeat
    heard_at: float


class LeaderChoice:
    """The voters that this node hears."""

    def __init__(self, own_ip: str) -> None:
        self._own_ip = own_ip
        self._heard: dict[str, HeardVoter] = {}

    def heard(self, now: float, ip: str, heartbeat: CoordinationHeartbeat) -> None:
        """A voter has sent a heartbeat."""
        self._heard[ip] = HeardVoter(heartbeat, now)

    def disconnected(self, ip: str) -> None:
        """The connection to a voter has ended."""
        self._heard.pop(ip, None)

    def clock_of(self, ip: str) -> float | None:
        """A voter's steady clock as its latest heartbeat showed it."""
        found = self._heard.get(ip)
        return None if found is None else found.heartbeat.clock

    def index_of(self, ip: str) -> int:
        """The latest change that a voter has said it knows."""
        found = self._heard.get(ip)
        return 0 if found is None else found.heartbeat.index

    def choose(self, now: float, membership: Membership | None, own: CoordinationHeartbeat) -> str | None:
        """The IP number of the node that should lead, or None; `own`: what this node says of itself."""
        if membership is None:
            return None
        available: list[str] = []
        leading: dict[str, int] = {}
        for voter in membership.voters:
            heartbeat = own if voter.ip == self._own_ip else self._fresh(now, voter.ip)
            if heartbeat is None or not heartbeat.is_available:
                continue
            available.append(voter.ip)
            if heartbeat.leading_number:
                leading[voter.ip] = heartbeat.leading_number
        if leading:
            return max(leading, key=lambda ip: (leading[ip], ip))
        return available[0] if available else None

    def _fresh(self, now: float, ip: str) -> CoordinationHeartbeat | None:
        found = self._heard.get(ip)
        return found.heartbeat if found is not None and now - found.heard_at < LEADER_SILENCE_SECONDS else None
