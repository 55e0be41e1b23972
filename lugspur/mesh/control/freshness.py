"""How old the state that a process knows may be, without I/O.

A message that was delayed on its way, by a partition or because its receiver was frozen, says what was true when it was
sent. So each message bears its sender's steady clock, and the receiver estimates how long it has been under way.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.messages import Delta, Membership
from lugspur.mesh.control.quorum import majority

MAX_CLOCK_DRIFT = 5e-4  # by which two steady clocks may diverge, as a fraction of the time that passes
MAX_FIRST_DELAY_SECONDS = 0.25  # that a connection's first message is taken to have been under way at most
NEVER = float("-inf")


class DelayEstimate:
    """Estimates when each message of one connection was sent, by the receiver's clock."""

    def __init__(self, asked_at: float) -> None:
        self._asked_at = asked_at
        self._offset: float | None = None  # the receiver's clock minus the sender's
        self._arrived_at = 0.0

    def sent_at(self, now: float, sent: float) -> float:
        """The receiver's time when a message that arrives now, and is dated `sent`, was sent."""
        latest = now - sent
        if self._offset is None:
            # It answers the subscription, so that it was sent after that.
            self._offset = min(latest, self._asked_at - sent + MAX_FIRST_DELAY_SECONDS)
        else:
            self._offset = min(latest, self._offset + MAX_CLOCK_DRIFT * (now - self._arrived_at))
        self._arrived_at = now
        return sent + self._offset


@dataclass(slots=True, frozen=True)
class VoterUpdate:
    """What a voter's latest Delta proves: when it was sent, nothing after change `index` was decided by its vote."""

    sent_at: float
    index: int
    echoed_at: (
        float  # the latest time of this process that the voter has received: contact counts in both directions only
    )


class Freshness:
    """The latest update of each voter, and up to when this replica's state is known to be complete by them."""

    def __init__(self, echo_timeout: float) -> None:
        """`echo_timeout`: seconds since a voter last received a message of this process, for its updates to count."""
        self._echo_timeout = echo_timeout
        self._updates: dict[str, VoterUpdate] = {}
        self._delays: dict[str, DelayEstimate] = {}
        self._subscribed_at: dict[str, float] = {}

    def subscribed(self, now: float, ip: str) -> None:
        """A subscription to this peer's updates begins.

        On a connection that has brought updates before, the estimate stays: delayed ones may still arrive.
        """
        self._delays.setdefault(ip, DelayEstimate(now))
        self._subscribed_at[ip] = now
        self._updates.pop(ip, None)

    def receive(self, now: float, ip: str, delta: Delta) -> float:
        """Take in an update; returns when it was sent, or `NEVER` where that is not known."""
        delay = self._delays.get(ip)
        if delay is None:  # guards against an update of a connection that has ended: it may have waited for any time
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
        """When this peer sent its latest update, or `NEVER`."""
        update = self._updates.get(ip)
        return NEVER if update is None else update.sent_at

    def known_up_to(self, now: float, membership: Membership, index: int, own_vote: str) -> float:
        """The time up to which all that was decided is known here, by a majority of the voters, or `NEVER`.

        `index`: the latest change that is known here; `own_vote`: this replica's IP address, where it has a vote and
        has accepted nothing later, else empty.
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
