"""Bounds for the staleness of the state that a process knows, without I/O.

A message that was delayed, by a partition or because its receiver was frozen, describes the state at the time when it
was sent. Each message therefore carries its sender's monotonic clock, and the receiver estimates how long the message
was in transit.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.messages import Delta, Membership
from lugspur.mesh.control.quorum import majority

MAX_CLOCK_DRIFT = 5e-4  # maximum drift between two monotonic clocks, as a fraction of the elapsed time
MAX_FIRST_DELAY_SECONDS = 0.25  # assumed maximum transit time of the first message of a connection
NEVER = float("-inf")  # the time of an event that has not happened


class DelayEstimate:
    """Estimates when each message of one connection was sent, by the receiver's clock."""

    def __init__(self, asked_at: float) -> None:
        self._asked_at = asked_at
        self._offset: float | None = None  # the receiver's clock minus the sender's
        self._arrived_at = 0.0

    def sent_at(self, now: float, sent: float, echoed_at: float = NEVER) -> float:
        """Return the receiver's time at which a message with the timestamp `sent`, which arrives now, was sent.

        `echoed_at`: the latest of the receiver's own timestamps that the sender had received by then.
        """
        max_offset = now - sent
        if self._offset is None:
            # The first message is the reply to the subscription, and was sent after it.
            self._offset = min(max_offset, self._asked_at - sent + MAX_FIRST_DELAY_SECONDS)
        else:
            self._offset = min(max_offset, self._offset + MAX_CLOCK_DRIFT * (now - self._arrived_at))
        # Guards against a sender that was paused before its first message: the offset would stay too small for good.
        self._offset = max(self._offset, min(max_offset, echoed_at - sent))
        self._arrived_at = now
        return sent + self._offset


@dataclass(slots=True, frozen=True)
class VoterUpdate:
    """The proof in a voter's latest Delta: at `sent_at`, no change after `index` had been decided with its vote."""

    sent_at: float
    index: int
    #: The latest timestamp of this process that the voter has received: an update counts only if both directions work.
    echoed_at: float


class Freshness:
    """The latest update of each voter, and the time up to which they prove this replica's state to be complete."""

    def __init__(self, echo_timeout: float) -> None:
        """`echo_timeout`: seconds for which a voter's updates count after it last received a message from here."""
        self._echo_timeout = echo_timeout
        self._updates: dict[str, VoterUpdate] = {}
        self._delays: dict[str, DelayEstimate] = {}
        self._subscribed_at: dict[str, float] = {}

    def subscribed(self, now: float, ip: str) -> None:
        """Handle the start of a subscription to a peer's updates.

        The estimate for a connection that has delivered updates before is kept, since delayed ones may still arrive.
        """
        self._delays.setdefault(ip, DelayEstimate(now))
        self._subscribed_at[ip] = now
        self._updates.pop(ip, None)

    def receive(self, now: float, ip: str, delta: Delta) -> float:
        """Record an update; returns the time at which it was sent, or `NEVER` if that is unknown."""
        delay = self._delays.get(ip)
        if delay is None:  # guards against an update of an ended connection, which may be arbitrarily old
            return NEVER
        sent_at = delay.sent_at(now, delta.sent_at, delta.echoed_at)
        if delta.is_voter:
            self._updates[ip] = VoterUpdate(
                sent_at,
                delta.decided_index + delta.has_pending_change,
                max(delta.echoed_at, self._subscribed_at.get(ip, NEVER)),
            )
        else:
            self._updates.pop(ip, None)
        return sent_at

    def disconnected(self, ip: str) -> None:
        """Handle the end of the connection to a peer."""
        self._updates.pop(ip, None)
        self._delays.pop(ip, None)
        self._subscribed_at.pop(ip, None)

    def latest_update_at(self, ip: str) -> float:
        """Return the time at which a peer sent its latest update, or `NEVER`."""
        update = self._updates.get(ip)
        return NEVER if update is None else update.sent_at

    def known_up_to(self, now: float, membership: Membership, index: int, own_vote: str) -> float:
        """Return the time up to which a majority of the voters proves all decided state to be known here, or `NEVER`.

        `index`: the latest change that this replica knows; `own_vote`: this replica's IP address if it has a vote and
        has accepted no later change, else empty.
        """
        times = []
        for voter in membership.voters:
            update = self._updates.get(voter.ip)
            if voter.ip == own_vote:
                times.append(now)
            elif update is not None and update.index <= index and now - update.echoed_at <= self._echo_timeout:
                times.append(update.sent_at)
        needed = majority(len(membership.voters))
        if len(times) < needed:
            return NEVER
        return sorted(times, reverse=True)[needed - 1]
