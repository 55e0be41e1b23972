"""Contacts seeds that nobody here has heard of, and members that were declared dead.

The first is how a process joins. The second is how two halves of a fleet that each declared the other dead in a
network partition find each other again; SWIM leaves that open.
"""

from __future__ import annotations

import random

from lugspur.daemon.gossip.dissemination import Dissemination
from lugspur.daemon.gossip.events import Address
from lugspur.daemon.gossip.membership_table import MembershipTable
from lugspur.daemon.gossip.outbox import Outbox
from lugspur.daemon.gossip.sequence_numbers import SequenceNumbers

CONTACT_PERIODS = 1.0  # between two contacts, on average


class Rejoiner:
    """Pings one such address in each period, drawn at random.

    Attributes:
        seeds: Addresses of members that the settings name.
    """

    def __init__(
        self,
        *,
        table: MembershipTable,
        dissemination: Dissemination,
        outbox: Outbox,
        sequence_numbers: SequenceNumbers,
        seeds: list[Address],
        rng: random.Random,
        period_seconds: float,
        now: float,
    ) -> None:
        self.seeds = seeds
        self._table, self._dissemination, self._outbox = table, dissemination, outbox
        self._sequence_numbers, self._rng, self._period = sequence_numbers, rng, period_seconds
        self._next_contact_at = now

    def due(self) -> float:
        """When the next contact is due, in seconds of the local clock."""
        return self._next_contact_at

    def pause_until(self, time: float) -> None:
        """Contact nobody before a time."""
        self._next_contact_at = time

    def tick(self, now: float) -> None:
        """Ping a seed or a dead member, if one is due."""
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
