"""How old what a process knows may be, without I/O.

A message that was held up on its way (by a cut, or because its receiver was frozen) says what was true when it was
sent. So each is dated by its sender's steady clock, and the receiver estimates how long it has been under way.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.messages import Delta, Membership
from lugspur.mesh.control.quorum import majority

MAX_CLOCK_DRIFT = 5e-4  # of the time that passes, by which two steady clocks may part
MAX_FIRST_DELAY_SECONDS = (
    0.25  # seconds that the first message of a connection may take longer than the question for it
)
NEVER = float("-inf")


class DelayEstimate:
    """One connection's messages: when each was sent, by the receiver's clock."""

    def __init__(self, asked_at: float) -> None:
        self._asked_at = asked_at
        self._offset: float | None = None  # the receiver's clock less the sender's
        self._arrived_at = 0.0

    def sent_at(self, now: float, sent: float) -> float:
        """The receiver's time when a message that arrives now, and is dated `sent`, was sent."""
        latest = now - sent
        if self._offset is None:
            # It answers a question: it was sent after that.
            self._offset = min(latest, self._asked_at - sent + MAX_FIRST_DELAY_SECONDS)
        else:
            self._offset = min(latest, self._offset + MAX_CLOCK_DRIFT * (now - self._arrived_at))
        self._arrived_at = now
        return sent + self._offset


@dataclass(slots=True, frozen=True)
class VoterUpdate:
    """What a voter said when: nothing after change `index` had been decided with its vote."""

    sent_at: float
    index: int
    echoed_at: float  # the latest time of ours that it has heard: who can't be heard is cut off too


class Freshness:
    """The latest word of each voter, and how old this replica's state may be by them."""

    def __init__(self, echo_timeout: float) -> None:
        """`two_way_within`: seconds since a voter last heard of this process, for its word to count."""
        self._echo_timeout = echo_timeout
        self._updates: dict[str, VoterUpdate] = {}
        self._delays: dict[str, DelayEstimate] = {}
        self._subscribed_at: dict[str, float] = {}

    def subscribed(self, now: float, ip: str) -> None:
        """A subscription to this peer's news begins.

        On a connection that has brought news before, the estimate stays: what was held up there may still come.
        """
        self._delays.setdefault(ip, DelayEstimate(now))
        self._subscribed_at[ip] = now
        self._updates.pop(ip, None)

    def receive(self, now: float, ip: str, delta: Delta) -> float:
        """News of a peer; returns when it was sent, `NEVER` where nothing tells."""
        delay = self._delays.get(ip)
        if delay is None:  # Guards against news of a connection that has ended: it may have waited for any time.
            return NEVER
        at = delay.sent_at(now, delta.sent_at)
        if delta.is_voter:
            self._updates[ip] = VoterUpdate(
                at,
                delta.decided_index + delta.has_pending_change,
                max(delta.echoed_at, self._subscribed_at.get(ip, NEVER)),
            )
        else:
            self._updates.pop(ip, None)
        return at

    def disconnected(self, ip: str) -> None:
        """The connection to a peer has ended."""
        self._updates.pop(ip, None)
        self._delays.pop(ip, None)
        self._subscribed_at.pop(ip, None)

    def latest_update_at(self, ip: str) -> float:
        """When this peer sent its latest word."""
        update = self._updates.get(ip)
        return NEVER if update is None else update.sent_at

    def known_up_to(self, now: float, membership: Membership, index: int, own_vote: str) -> float:
        """Up to when all that was decided is known here, by what a majority of the voters has said.

        `index`: the latest change that is known here; `own_vote`: this replica's IP number where it has a vote and has
        accepted nothing later.
        """
        times = []
        for voter in membership.voters:
            update = self._updates.get(voter.ip)
            if voter.ip == own_vote:
                times.append(now)
            elif update is not None and update.index <= index and now - update.echoed_at <= self._echo_timeout:
                times.append(update.sent_at)
        need = majority(len(membership.voters))
        if len(times) < need:
            return NEVER
        return sorted(times, reverse=True)[need - 1]
