"""How a replica gets what it lacks: changes from any peer, reservations from the voters of the epoch before."""

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

CATCH_UP_DELAY_SECONDS = 0.05  # for which a replica waits to be sent what it lacks before it asks


class CatchingUp:
    """Collects pages of changes and reservations, and asks for those that don't come by themselves."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        replica: Replica,
        *,
        run_effects: Callable[[Effects], None],
        send_to: Callable[[str, Message], None],
        on_complete: Callable[[], None],
    ) -> None:
        """`on_complete` is called when the replica has got all reservations that a voter must have."""
        self._loop, self._replica = loop, replica
        self._run_effects, self._send_to, self._on_complete = run_effects, send_to, on_complete
        self._pages = LearnedPages()
        self._reservations = ReservationCatchUp(replica)
        self._asked_at = 0.0  # when a peer was last asked for changes

    def take_changes(self, source: Link | str, page: Learn) -> None:
        """Take a page of decided changes; they are applied with the last page."""
        pages = self._pages.add(source, page)
        if pages:
            self._run_effects(self._replica.learn(self._loop.time(), pages))

    def take_reservations(self, now: float, ip: str, page: ReservationsPage) -> None:
        """Take a page of the reservations that a voter of the epoch before has."""
        was_complete = self._replica.is_complete
        self._run_effects(self._reservations.receive(now, ip, page))
        if self._replica.is_complete and not was_complete:
            events.info("complete", epoch=self._replica.epoch, claims=len(self._replica.reservations))
            self._on_complete()

    def peer_knows(self, now: float, ip: str, index: int) -> None:
        """A peer knows all changes up to an index: ask it for them unless they come by themselves."""
        if index > self._replica.index and now - self._asked_at > CATCH_UP_DELAY_SECONDS:
            self._asked_at = now
            self._loop.call_later(CATCH_UP_DELAY_SECONDS, self._ask_for_changes, ip, index)

    def _ask_for_changes(self, ip: str, index: int) -> None:
        if self._replica.index < index:
            self._send_to(ip, FetchDecided(self._replica.index))

    def link_ended(self, link: Link) -> None:
        """A connection that a peer dialled has ended: the rest of its pages never comes."""
        self._pages.disconnected(link)

    def disconnected(self, ip: str) -> None:
        """The connection to a peer has ended: the rest of its pages never comes."""
        self._reservations.disconnected(ip)
        self._pages.disconnected(ip)

    def tick(self, now: float) -> None:
        """Ask voters for reservations where that is due."""
        self._run_effects(self._reservations.tick(now))
