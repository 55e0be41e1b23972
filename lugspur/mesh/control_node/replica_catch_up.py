"""Fetches what a replica lacks: changes from any peer, reservations from the voters of earlier epochs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh import events
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.learned_pages import LearnedPages
from lugspur.mesh.control.messages import FetchDecided, Learn, Message, ReservationsPage
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.reservation_catch_up import ReservationCatchUp
from lugspur.mesh.transport.link import Link

CATCH_UP_DELAY_SECONDS = 0.05  # how long a replica waits for changes that it lacks to arrive unasked


class ReplicaCatchUp:
    """Collects pages of changes and reservations, and requests those that don't arrive unasked."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        replica: Replica,
        *,
        run_effects: Callable[[Effects], None],
        send_to: Callable[[str, Message], None],
        on_complete: Callable[[], None],
    ) -> None:
        """`on_complete` is called once the replica has all reservations that a voter must have."""
        self._loop, self._replica = loop, replica
        self._run_effects, self._send_to, self._on_complete = run_effects, send_to, on_complete
        self._pages = LearnedPages()
        self._reservations = ReservationCatchUp(replica)
        self._requested_at = 0.0  # the time of the latest request for changes

    def handle_changes(self, source: Link | str, page: Learn) -> None:
        """Handle a page of decided changes; all pages are applied when the last one has arrived."""
        pages = self._pages.add(source, page)
        if pages:
            self._run_effects(self._replica.learn(self._loop.time(), pages))

    def handle_reservations(self, now: float, ip: str, page: ReservationsPage) -> None:
        """Handle a page of the reservations of a voter of an earlier epoch."""
        was_complete = self._replica.is_complete
        self._run_effects(self._reservations.receive(now, ip, page))
        if self._replica.is_complete and not was_complete:
            events.info("complete", epoch=self._replica.epoch, claims=len(self._replica.reservations))
            self._on_complete()

    def request_changes_up_to(self, now: float, ip: str, index: int) -> None:
        """Request changes from a peer that knows all up to an index, unless they arrive unasked."""
        if index > self._replica.index and now - self._requested_at > CATCH_UP_DELAY_SECONDS:
            self._requested_at = now
            self._loop.call_later(CATCH_UP_DELAY_SECONDS, self._request_changes, ip, index)

    def _request_changes(self, ip: str, index: int) -> None:
        if self._replica.index < index:
            self._send_to(ip, FetchDecided(self._replica.index))

    def sources(self) -> set[str]:
        """Return the IP addresses of the replicas whose reservations this one lacks."""
        return self._reservations.sources()

    def link_ended(self, link: Link) -> None:
        """Discard the pages of a connection that a peer dialled and that has ended, as the rest won't arrive."""
        self._pages.disconnected(link)

    def disconnected(self, ip: str) -> None:
        """Discard the pages of a peer whose connection has ended, as the rest won't arrive."""
        self._reservations.disconnected(ip)
        self._pages.disconnected(ip)

    def tick(self, now: float) -> None:
        """Request reservations from voters if a request is due."""
        self._run_effects(self._reservations.tick(now))
