"""How a new voter becomes complete, without I/O: it reads the reservations of a majority of the previous voters.

Each voter of the previous epoch sends its reservations, or reports that it was not complete in that epoch and has
therefore granted nothing in it. Every reservation that was acquired in that epoch was granted by at least one of the
voters that reply. Reservations of older epochs are held by every voter that was complete, so that at least one such
voter must be among those that reply. A voter that has just lost its vote still holds what it granted, and is asked too.
"""

from __future__ import annotations

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import FetchReservations, ReservationsPage
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica

RETRY_DELAY_SECONDS = 0.3  # time without a page after which a voter is asked again


class ReservationCatchUp:
    """The pages of reservations that one replica has received in its current epoch."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._epoch = 0
        self._pages: dict[str, list[ReservationsPage]] = {}
        self._last_active_at: dict[str, float] = {}  # when each voter was last asked, or last sent a page

    def tick(self, now: float) -> Effects:
        """Ask each voter of the previous epoch that has sent no page for a while."""
        replica = self._replica
        membership = replica.membership
        if membership is None or not replica.is_voter or replica.is_complete:
            self._pages.clear()
            return Effects()
        if membership.epoch != self._epoch:
            self._epoch = membership.epoch
            self._pages.clear()
            self._last_active_at.clear()
        effects = Effects()
        for voter in membership.previous_voters:
            pages = self._pages.get(voter.ip)
            if voter.ip == replica.voter.ip or (pages and pages[-1].is_last):
                continue
            if now - self._last_active_at.get(voter.ip, float("-inf")) >= RETRY_DELAY_SECONDS:
                self._last_active_at[voter.ip] = now
                self._pages.pop(voter.ip, None)
                effects.send.append((voter.ip, FetchReservations(membership.epoch)))
        return effects

    def receive(self, now: float, ip: str, page: ReservationsPage) -> Effects:
        """Record a page of another voter; the replica becomes complete once enough voters have replied."""
        replica = self._replica
        membership = replica.membership
        if membership is None or page.epoch != self._epoch or page.epoch != replica.epoch or replica.is_complete:
            return Effects()
        if ip not in {voter.ip for voter in membership.previous_voters}:
            return Effects()
        pages = self._pages.setdefault(ip, [])
        if page.page != len(pages):
            # The page belongs to an earlier reply of which a page was lost, or to a second reply to the same request.
            return Effects()
        pages.append(page)
        self._last_active_at[ip] = now
        replies = [pages for pages in self._pages.values() if pages and pages[-1].is_last]
        count = len(replies) + replica.was_voter  # a previous voter counts itself: it granted nothing then
        if count < majority(len(membership.previous_voters)) or not any(pages[0].was_complete for pages in replies):
            return Effects()
        effects = replica.merge_reservations(now, [page for pages in replies for page in pages])
        self._pages.clear()
        return effects

    def disconnected(self, ip: str) -> None:
        """Drop the pages of a voter whose connection has ended before its last page."""
        pages = self._pages.get(ip)
        if pages and not pages[-1].is_last:
            del self._pages[ip]
        self._last_active_at.pop(ip, None)
