"""How a new voter becomes complete, without I/O: it reads the reservations of the voters of earlier epochs.

Each of them sends its reservations, or reports that it was not complete in these epochs and has therefore granted
nothing in them. A voter that has lost its vote still holds what it granted, and is asked too. How many of them have to
reply, and why: `catch_up_quorum`.
"""

from __future__ import annotations

from collections.abc import Mapping

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import FetchReservations, ReservationsPage
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
        """Ask each voter of the earlier epochs that has sent no page for a while."""
        if not self.is_needed:
            self._pages.clear()
            return Effects()
        if self._replica.epoch != self._epoch:
            self._epoch = self._replica.epoch
            self._pages.clear()
            self._last_active_at.clear()
        effects = Effects()
        for ip in sorted(self.sources()):
            pages = self._pages.get(ip)
            if pages and pages[-1].is_last:
                continue
            if now - self._last_active_at.get(ip, float("-inf")) >= RETRY_DELAY_SECONDS:
                self._last_active_at[ip] = now
                self._pages.pop(ip, None)
                effects.send.append((ip, FetchReservations(self._epoch)))
        return effects

    @property
    def is_needed(self) -> bool:
        """Whether this replica has a vote and is not complete."""
        return self._replica.is_voter and not self._replica.is_complete

    def sources(self) -> set[str]:
        """Return the IP addresses of the replicas to ask, as long as any have to be asked."""
        quorum = self._replica.catch_up_quorum
        if quorum is None or not self.is_needed:
            return set()
        return quorum.sources - {self._replica.voter.ip}

    def receive(self, now: float, ip: str, page: ReservationsPage) -> Effects:
        """Record a page of another voter; the replica becomes complete once enough voters have replied."""
        replica = self._replica
        if page.epoch != self._epoch or page.epoch != replica.epoch or ip not in self.sources():
            return Effects()
        pages = self._pages.setdefault(ip, [])
        if page.page != len(pages):
            # The page belongs to an earlier reply of which a page was lost, or to a second reply to the same request.
            return Effects()
        pages.append(page)
        self._last_active_at[ip] = now
        replies = {ip: pages for ip, pages in self._pages.items() if pages and pages[-1].is_last}
        if not self._is_enough(replies):
            return Effects()
        effects = replica.merge_reservations(now, [page for pages in replies.values() for page in pages])
        self._pages.clear()
        return effects

    def _is_enough(self, replies: Mapping[str, list[ReservationsPage]]) -> bool:
        """Whether these replies, together with what this replica holds itself, make it complete."""
        replica = self._replica
        was_complete = {ip: pages[0].was_complete for ip, pages in replies.items()}
        if replica.is_source:
            was_complete[replica.voter.ip] = replica.was_complete
        return replica.catch_up_quorum is not None and replica.catch_up_quorum.is_reached(was_complete)

    def disconnected(self, ip: str) -> None:
        """Drop the pages of a voter whose connection has ended before its last page."""
        pages = self._pages.get(ip)
        if pages and not pages[-1].is_last:
            del self._pages[ip]
        self._last_active_at.pop(ip, None)
