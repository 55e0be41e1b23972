"""Linearizable reads, without I/O: a majority confirms that no later change is decided.

This is the read index of Raft (Ongaro's dissertation, section 6.4), with a query to all voters since there is no
leader. A read succeeds once a majority of the voters has replied that it knows no later change than this replica, and
has accepted none. Otherwise the replica learns the changes that it lacks, a pending change is resolved, and the voters
are queried again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import FetchDecided, ReadIndexQuery, ReadIndexReply
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica

RETRY_DELAY_SECONDS = 0.1  # the time after which a query without a result is repeated


@dataclass(slots=True, eq=False)
class Read:
    """A read that waits until `deadline`; `on_result` is called with whether the replica's state is the latest."""

    deadline: float
    on_result: Callable[[bool], None]


@dataclass(slots=True)
class _Query:
    number: int
    index: int
    voters: frozenset[str]
    retry_at: float
    reads: list[Read]
    replied: set[str] = field(default_factory=set)


class Reader:
    """The reads of one control node."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._waiting: list[Read] = []
        self._query: _Query | None = None
        self._number = 0

    def submit(self, now: float, read: Read) -> Effects:
        """Start a read. A query that is under way started before this read, and does not count for it."""
        self._waiting.append(read)
        return self._start(now) if self._query is None else Effects()

    def tick(self, now: float) -> Effects:
        """End reads whose deadline has passed, and repeat a query that has timed out."""
        for read in [read for read in self._waiting if read.deadline <= now]:
            self._end(read, False)
        if self._query is not None and now >= self._query.retry_at:
            self._query = None
        return self._start(now) if self._query is None else Effects()

    def replica_advanced(self, now: float) -> Effects:
        """Query the voters again, since the replica has learned further changes."""
        self._query = None
        return self._start(now)

    def _start(self, now: float) -> Effects:
        membership = self._replica.membership
        if not self._waiting or membership is None:
            return Effects()
        self._number += 1
        voters = frozenset(voter.ip for voter in membership.voters)
        self._query = _Query(self._number, self._replica.index, voters, now + RETRY_DELAY_SECONDS, self._waiting[:])
        return Effects(send=[(ip, ReadIndexQuery(self._number)) for ip in sorted(voters)])

    def receive(self, now: float, ip: str, message: ReadIndexReply) -> tuple[Effects, bool]:
        """Process a voter's reply; also returns whether a pending change of this voter has to be resolved first."""
        current = self._query
        if current is None or message.number != current.number or ip not in current.voters:
            return Effects(), False
        if message.decided_index > current.index:
            return Effects(send=[(ip, FetchDecided(self._replica.index))]), False
        if not message.is_voter:
            return Effects(), False
        if message.decided_index == current.index and message.has_pending_change:
            return Effects(), True
        current.replied.add(ip)
        if len(current.replied) < majority(len(current.voters)):
            return Effects(), False
        self._query = None
        for read in [read for read in current.reads if read in self._waiting]:
            self._end(read, read.deadline > now)
        return self._start(now), False

    def _end(self, read: Read, is_latest: bool) -> None:
        self._waiting.remove(read)
        read.on_result(is_latest)
