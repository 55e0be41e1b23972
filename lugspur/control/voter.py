"""What a replica does about its voter, without I/O: it opens ballots, goes by what they decide, and catches up.

Messages go to voters by their IP numbers.
"""

from __future__ import annotations

from collections.abc import Mapping

from lugspur.control.membership import Outcome, Presence, Steward, proposal
from lugspur.control.messages import Accepted, Fetch, Membership, Message, Promise, State
from lugspur.control.replica import Effects, Replica, majority

FETCH_EVERY = 0.5  # seconds between calls for all that the other voters have


class Sitting:
    """One replica's voter. `voters`: how many there should be; `patience`: seconds that one may be out of reach."""

    def __init__(self, replica: Replica, steward: Steward, voters: int, patience: float) -> None:
        self.replica, self.steward = replica, steward
        self.voters, self.patience = voters, patience
        self._epoch = 0
        self._states: dict[str, list[State]] = {}  # what each other voter has told so far
        self._fetch_at = 0.0

    def look(
        self, now: float, replicas: Mapping[str, Presence], there: set[str], absent: Mapping[str, float]
    ) -> Effects:
        """What is due. `there`: voters that have lately said that they have all; `absent`: seconds out of reach."""
        replica, membership = self.replica, self.replica.membership
        if membership is None:
            return Effects()
        if membership.epoch != self._epoch:
            self._epoch, self._fetch_at = membership.epoch, 0.0
            self._states.clear()
        if replica.is_voter and not replica.full and now >= self._fetch_at:
            self._fetch_at = now + FETCH_EVERY
            return Effects(
                send=[(voter.ip, Fetch(membership)) for voter in membership.voters if voter.ip != replica.voter.ip]
            )
        if not replica.full:
            return Effects()
        wanted = None
        full = {voter.ip for voter in membership.voters if voter.ip == replica.voter.ip or voter.ip in there}
        if len(full) >= majority(len(membership.voters)):  # else nothing can be decided
            wanted = proposal(membership, replicas, absent, self.patience, self.voters, full)
        return self._ballot(self.steward.look(now, membership, wanted))

    def heard(self, now: float, ip: str, message: Message) -> Effects:
        """A voter's answer."""
        ballot = self.steward.ballot
        if isinstance(message, State):
            return self._state(now, ip, message)
        if isinstance(message, Promise) and ballot is not None:
            return self._ballot(ballot.promise(ip, message))
        if isinstance(message, Accepted) and ballot is not None:
            return self._ballot(ballot.accepted(ip, message))
        return Effects()

    def lost(self, ip: str) -> None:
        """The connection to a voter has ended: the rest of what it was telling never comes."""
        self._states.pop(ip, None)

    def _ballot(self, outcome: Outcome) -> Effects:
        ballot, effects = self.steward.ballot, Effects()
        if ballot is not None:
            effects.send = [(voter.ip, message) for message in outcome.send for voter in ballot.membership.voters]
        if outcome.decided is not None:
            effects.write = self.adopt(outcome.decided).write
        return effects

    def adopt(self, membership: Membership) -> Effects:
        """Go by a newer membership."""
        return self.replica.adopt(membership)

    def _state(self, now: float, ip: str, message: State) -> Effects:
        """A part of what another voter has."""
        replica = self.replica
        membership = replica.membership
        if membership is None or message.epoch != replica.epoch or replica.full:
            return Effects()
        parts = self._states.setdefault(ip, [])
        if parts and (parts[-1].last or parts[-1].epoch != message.epoch):
            parts.clear()
        parts.append(message)
        whole = [p for p in self._states.values() if p[-1].last and p[-1].epoch == replica.epoch]
        if len(whole) < majority(membership.before or len(membership.voters)):
            return Effects()
        effects = replica.caught_up(now, message.epoch, [part for p in whole for part in p])
        self._states.clear()
        return effects
