"""When a control node last had contact with a majority of the voters, and who proposes changes therefore."""

from __future__ import annotations

from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.replica import Replica

NO_CONTACT_SECONDS = 1e9  # the age of the latest contact where no membership is known
PROPOSER_SILENCE_SECONDS = 0.5  # since the latest message of a voter to whom changes are forwarded, at most


class MajorityContact:
    """What this control node knows of the others by their updates. Times are those of the loop's steady clock."""

    def __init__(self, ip: str, replica: Replica, freshness: Freshness, max_staleness: float) -> None:
        """`max_staleness`: seconds without contact after which this control node counts as cut off."""
        self._ip, self._replica, self._freshness, self._max_staleness = ip, replica, freshness, max_staleness

    def age(self, now: float) -> float:
        """Seconds since the latest contact: what had been confirmed before then is known here."""
        replica = self._replica
        if replica.membership is None:
            return NO_CONTACT_SECONDS
        own_vote = self._ip if replica.is_voter and not replica.register.has_pending_change else ""
        return now - self._freshness.known_up_to(now, replica.membership, replica.index, own_vote)

    def preferred_proposer(self, now: float) -> str:
        """The IP number of the control node that proposes for all: the first voter that is heard from, or this one.

        A control node that is cut off forwards nothing: it is to confirm and reject nothing by what another one says.
        """
        membership = self._replica.membership
        if self.age(now) > self._max_staleness:
            return self._ip
        for voter in membership.voters if membership is not None else ():
            if voter.ip == self._ip or now - self._freshness.latest_update_at(voter.ip) < PROPOSER_SILENCE_SECONDS:
                return voter.ip
        return self._ip
