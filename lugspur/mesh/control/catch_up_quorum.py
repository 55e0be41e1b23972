"""Which replicas a new voter must hear before it may grant or accept anything in its epoch, without I/O.

A new voter of epoch `e` must know whatever may have been acquired or decided in an epoch before `e`. A voter that stays
from one epoch to the next knows what it granted itself, and not what the others granted without it. Therefore:

Invariant. Whatever was acquired in epoch `a` is unknown to less than a majority of the replicas that were complete in
epoch `a` or later. These are the voters of `a` that did not grant it: a replica that becomes complete later knows it.

The new voter asks the voters of the epochs `b`, `b + 1`, ..., `e - 1`, which its membership lists. Each replies once
`e` is on its disk, and grants nothing in an older epoch from then on. The new voter is complete once

- as many replies as are a majority of the voters of `b` come from replicas that were complete in `b` or later: one of
  them knows what was acquired in `b` or before, by the invariant;
- a majority of the voters of each epoch after `b` has replied: one of them granted what was acquired there.

With that the invariant holds for the new voter too, so that it holds over any number of epochs. `b` is the latest epoch
in which a majority of the voters was known to be complete when the next epoch was proposed. In calm times that is
`e - 1`. `b` may be chosen freely without losing anything: another choice can only make the new voter wait. The
number of voters never falls, so that a majority of the voters of `b` is one in any earlier epoch, too.
"""

from __future__ import annotations

from collections.abc import Mapping

from lugspur.mesh.control.messages import Membership, Voter
from lugspur.mesh.control.quorum import majority


class CatchUpQuorum:
    """The replies that make a new voter of one membership complete."""

    def __init__(self, membership: Membership) -> None:
        self._past_voters = membership.past_voters
        #: The earliest epoch whose voters are asked.
        self.base_epoch = membership.epoch - len(self._past_voters)
        self._uids: dict[str, str] = {}  # the latest disk of each voter by IP address: an earlier disk is lost
        for voters in self._past_voters:
            for voter in voters:
                self._uids.setdefault(voter.ip, voter.uid)

    @property
    def sources(self) -> set[str]:
        """The IP addresses of the replicas to ask."""
        return set(self._uids)

    def includes(self, voter: Voter) -> bool:
        """Whether a replica, with its current disk, had a vote in one of these epochs."""
        return self._uids.get(voter.ip) == voter.uid

    def is_reached(self, replies: Mapping[str, bool]) -> bool:
        """Whether the replies suffice: by IP address, whether the replica was complete in the base epoch or later."""
        *later_epochs, base_voters = self._past_voters
        if sum(replies.values()) < majority(len(base_voters)):
            return False
        return all(self._count(voters, replies) >= majority(len(voters)) for voters in later_epochs)

    def _count(self, voters: list[Voter], replies: Mapping[str, bool]) -> int:
        return sum(voter.ip in replies and self.includes(voter) for voter in voters)
