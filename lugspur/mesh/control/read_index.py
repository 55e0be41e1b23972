"""Reads of the latest state, without I/O: a majority says that nothing later is decided.

A read is over once a majority of the voters says that it knows no later change than this replica, and has accepted
none. Else what is missing is learned, what may be decided is finished, and the question is asked anew.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import FetchDecided, ReadIndexQuery, ReadIndexReply
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica

RETRY_DELAY_SECONDS = 0.1  # seconds after which a question that brought nothing is asked anew


@dataclass(slots=True, eq=False)
class Read:
    """Somebody waits until `until`; `over` is told whether the replica's state is the latest."""

    deadline: float
    on_result: Callable[[bool], None]


@dataclass(slots=True)
class _Round:
    number: int
    index: int
    voters: frozenset[str]
    retry_at: float
    reads: list[Read]
    answered: set[str] = field(default_factory=set)


class Reader:
    """The reads of one control node."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._waiting: list[Read] = []
        self._round: _Round | None = None
        self._number = 0

    def submit(self, now: float, read: Read) -> Effects:
        """Ask for the latest state. A round that is under way began before this read did, and is not enough."""
        self._waiting.append(read)
        return self._start(now) if self._round is None else Effects()

    def tick(self, now: float) -> Effects:
        """End what has gone on for too long, and ask again."""
        for read in [read for read in self._waiting if read.deadline <= now]:
            self._end(read, False)
        if self._round is not None and now >= self._round.retry_at:
            self._round = None
        return self._start(now) if self._round is None else Effects()

    def replica_advanced(self, now: float) -> Effects:
        """The replica has learned of further changes."""
        self._round = None
        return self._start(now)

    def _start(self, now: float) -> Effects:
        membership = self._replica.membership
        if not self._waiting or membership is None:
            return Effects()
        self._number += 1
        voters = frozenset(voter.ip for voter in membership.voters)
        self._round = _Round(self._number, self._replica.index, voters, now + RETRY_DELAY_SECONDS, self._waiting[:])
        return Effects(send=[(ip, ReadIndexQuery(self._number)) for ip in sorted(voters)])

    def receive(self, now: float, ip: str, message: ReadIndexReply) -> tuple[Effects, bool]:
        """A voter's answer; also whether something that was accepted there has to be finished."""
        current = self._round
        if current is None or message.number != current.number or ip not in current.voters:
            return Effects(), False
        if message.decided_index > current.index:
            return Effects(send=[(ip, FetchDecided(self._replica.index))]), False
        if not message.is_voter:
            return Effects(), False
        if message.decided_index == current.index and message.has_pending_change:
            return Effects(), True
        current.answered.add(ip)
        if len(current.answered) < majority(len(current.voters)):
            return Effects(), False
        self._round = None
        for read in [read for read in current.reads if read in self._waiting]:
            self._end(read, read.deadline > now)
        return self._start(now), False

    def _end(self, read: Read, latest: bool) -> None:
        self._waiting.remove(read)
        read.on_result(latest)
