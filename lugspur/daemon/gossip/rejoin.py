"""Contacts seeds at whose addresses no member is present, and members that were declared dead.

By contacting seeds, a process joins. By contacting dead members, two halves of a fleet that each declared the other
dead in a network partition merge again, which SWIM does not provide for.
"""

from __future__ import annotations

from lugspur.daemon.gossip.context import ProtocolContext
from lugspur.daemon.gossip.dissemination import Dissemination
from lugspur.daemon.gossip.events import Address

CONTACT_PERIODS = 1.0  # protocol periods between two contacts, on average


class Rejoiner:
    """Pings one such address per protocol period on average, drawn at random.

    Attributes:
        seeds: Addresses of members to join the fleet through, from the settings.
    """

    def __init__(self, context: ProtocolContext, dissemination: Dissemination, seeds: list[Address]) -> None:
        self.seeds = seeds
        self._table, self._outbox, self._sequence_numbers = context.table, context.outbox, context.sequence_numbers
        self._rng, self._period = context.rng, context.period_seconds
        self._dissemination = dissemination
        self._next_contact_at = context.started_at

    def due(self) -> float:
        """Return when the next contact is due, in seconds of the local clock."""
        return self._next_contact_at

    def pause_until(self, time: float) -> None:
        """Contact no address before this time, in seconds of the local clock."""
        self._next_contact_at = time

    def tick(self, now: float) -> None:
        """Ping a seed or a dead member if a contact is due."""
        if now < self._next_contact_at:
            return
        self._next_contact_at = now + CONTACT_PERIODS * self._period * (0.5 + self._rng.random())
        candidates = [(record.address, record.name) for record in self._table.dead_records()]
        candidates += [(seed, "") for seed in self._unknown_seeds()]
        if candidates:
            address, name = self._rng.choice(candidates)
            self._outbox.send(now, address, self._dissemination.ping(name, self._sequence_numbers.next()), name)

    def _unknown_seeds(self) -> list[Address]:
        own_address = self._table.local_record.address
        return [seed for seed in self.seeds if seed != own_address and not self._table.has_present_member_at(seed)]
