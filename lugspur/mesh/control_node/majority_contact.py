"""A control node's latest contact with a majority of the voters, and the preferred proposer that follows from it."""

from __future__ import annotations

from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.replica import Replica

NO_CONTACT_SECONDS = 1e9  # the age of the latest contact if no membership is known
MAX_PROPOSER_SILENCE_SECONDS = 0.5  # maximum age of the latest update of a voter to which changes are forwarded


class MajorityContact:
    """The contact that follows from the updates of other nodes; times are those of the loop's steady clock."""

    def __init__(self, ip: str, replica: Replica, freshness: Freshness, max_staleness: float) -> None:
        """`max_staleness`: seconds without contact after which this control node counts as partitioned."""
        self._ip, self._replica, self._freshness, self._max_staleness = ip, replica, freshness, max_staleness

    def age(self, now: float) -> float:
        """Return the seconds since the latest contact; all changes confirmed before that contact are known here."""
        replica = self._replica
        if replica.membership is None:
            return NO_CONTACT_SECONDS
        own_vote = self._ip if replica.is_voter and not replica.register.has_pending_change else ""
        return now - self._freshness.known_up_to(now, replica.membership, replica.index, own_vote)

    def preferred_proposer(self, now: float) -> str:
        """Return the IP address of the node that proposes for all: the first voter that is heard, or this node.

        A partitioned control node forwards nothing: it must not confirm or reject a change by another node's reply.
        """
        membership = self._replica.membership
        if self.age(now) > self._max_staleness:
            return self._ip
        for voter in membership.voters if membership is not None else ():
            if voter.ip == self._ip or now - self._freshness.latest_update_at(voter.ip) < MAX_PROPOSER_SILENCE_SECONDS:
                return voter.ip
        return self._ip
