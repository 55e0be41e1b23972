"""How a new voter becomes complete, without I/O: it hears a majority of the voters of the epoch before.

Each tells the claims that it holds, or that it was not complete in that epoch and has granted nothing in it. Whatever
was won there was granted by one of those who are heard; what was won in older epochs is held by whoever was complete,
and one of these must be heard. One that has just lost its vote still holds what it granted, and is asked too.
"""

from __future__ import annotations

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import FetchReservations, ReservationsPage
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica

ASK_AGAIN = 0.3  # seconds without a page until a voter is asked again


class ClaimsCatchUp:
    """The pages that one replica has read in its present epoch."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._epoch = 0
        self._pages: dict[str, list[ReservationsPage]] = {}
        self._heard: dict[str, float] = {}  # when each was asked, or told anything

    def look(self, now: float) -> Effects:
        """Ask whoever has not told anything for a while."""
        replica = self._replica
        membership = replica.membership
        if membership is None or not replica.is_voter or replica.complete:
            self._pages.clear()
            return Effects()
        if membership.epoch != self._epoch:
            self._epoch = membership.epoch
            self._pages.clear()
            self._heard.clear()
        effects = Effects()
        for voter in membership.previous_voters:
            told = self._pages.get(voter.ip)
            if voter.ip == replica.voter.ip or (told and told[-1].is_last):
                continue
            if now - self._heard.get(voter.ip, float("-inf")) >= ASK_AGAIN:
                self._heard[voter.ip] = now
                self._pages.pop(voter.ip, None)
                effects.send.append((voter.ip, FetchReservations(membership.epoch)))
        return effects

    def heard(self, now: float, ip: str, page: ReservationsPage) -> Effects:
        """A page of another voter's claims."""
        replica = self._replica
        membership = replica.membership
        if membership is None or page.epoch != self._epoch or page.epoch != replica.epoch or replica.complete:
            return Effects()
        if ip not in {voter.ip for voter in membership.previous_voters}:
            return Effects()
        pages = self._pages.setdefault(ip, [])
        if page.page != len(pages):
            return (
                Effects()
            )  # of an earlier answer, of which a part was dropped, or the second one to the same question
        pages.append(page)
        self._heard[ip] = now
        whole = [told for told in self._pages.values() if told and told[-1].is_last]
        heard = len(whole) + replica.was_voter  # itself granted nothing then: it was not complete
        if heard < majority(len(membership.previous_voters)) or not any(told[0].was_complete for told in whole):
            return Effects()
        effects = replica.caught_up(now, [page for told in whole for page in told])
        self._pages.clear()
        return effects

    def lost(self, ip: str) -> None:
        """The connection to a voter has ended: the rest of what it was telling never comes."""
        told = self._pages.get(ip)
        if told and not told[-1].is_last:
            del self._pages[ip]
        self._heard.pop(ip, None)
