"""How old what a process knows may be, without I/O.

A message that was held up on its way (by a cut, or because its receiver was frozen) says what was true when it was
sent. So each is dated by its sender's steady clock, and the receiver estimates how long it has been under way.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.messages import Delta, Membership
from lugspur.mesh.control.quorum import majority

DRIFT = 5e-4  # of the time that passes, by which two steady clocks may part
FIRST_DELAY = 0.25  # seconds that the first message of a connection may take longer than the question for it
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
            self._offset = min(latest, self._asked_at - sent + FIRST_DELAY)
        else:
            self._offset = min(latest, self._offset + DRIFT * (now - self._arrived_at))
        self._arrived_at = now
        return sent + self._offset


@dataclass(slots=True, frozen=True)
class Word:
    """What a voter said when: nothing after change `index` had been decided with its vote."""

    at: float
    index: int
    heard_us_at: float  # the latest time of ours that it has heard: who can't be heard is cut off too


class Freshness:
    """The latest word of each voter, and how old this replica's state may be by them."""

    def __init__(self, two_way_within: float) -> None:
        """`two_way_within`: seconds since a voter last heard of this process, for its word to count."""
        self._two_way_within = two_way_within
        self._words: dict[str, Word] = {}
        self._delays: dict[str, DelayEstimate] = {}
        self._asked_at: dict[str, float] = {}

    def asked(self, now: float, ip: str) -> None:
        """A subscription to this peer's news begins.

        On a connection that has brought news before, the estimate stays: what was held up there may still come.
        """
        self._delays.setdefault(ip, DelayEstimate(now))
        self._asked_at[ip] = now
        self._words.pop(ip, None)

    def heard(self, now: float, ip: str, delta: Delta) -> float:
        """News of a peer; returns when it was sent, `NEVER` where nothing tells."""
        delay = self._delays.get(ip)
        if delay is None:  # Guards against news of a connection that has ended: it may have waited for any time.
            return NEVER
        at = delay.sent_at(now, delta.sent_at)
        if delta.is_voter:
            self._words[ip] = Word(
                at, delta.decided_index + delta.has_pending_change, max(delta.echoed_at, self._asked_at.get(ip, NEVER))
            )
        else:
            self._words.pop(ip, None)
        return at

    def lost(self, ip: str) -> None:
        """The connection to a peer has ended."""
        self._words.pop(ip, None)
        self._delays.pop(ip, None)
        self._asked_at.pop(ip, None)

    def word_at(self, ip: str) -> float:
        """When this peer sent its latest word."""
        word = self._words.get(ip)
        return NEVER if word is None else word.at

    def known_since(self, now: float, membership: Membership, index: int, own_vote: str) -> float:
        """Up to when all that was decided is known here, by what a majority of the voters has said.

        `index`: the latest change that is known here; `own_vote`: this replica's IP number where it has a vote and has
        accepted nothing later.
        """
        times = []
        for voter in membership.voters:
            word = self._words.get(voter.ip)
            if voter.ip == own_vote:
                times.append(now)
            elif word is not None and word.index <= index and now - word.heard_us_at <= self._two_way_within:
                times.append(word.at)
        need = majority(len(membership.voters))
        if len(times) < need:
            return NEVER
        return sorted(times, reverse=True)[need - 1]
