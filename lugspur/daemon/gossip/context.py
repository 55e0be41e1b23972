"""The state that the components of one member's gossip protocol share."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from lugspur.daemon.gossip.events import Event
from lugspur.daemon.gossip.local_health import LocalHealth
from lugspur.daemon.gossip.membership_table import MembershipTable
from lugspur.daemon.gossip.outbox import Outbox
from lugspur.daemon.gossip.sequence_numbers import SequenceNumbers
from lugspur.daemon.gossip.update_queue import UpdateQueue


@dataclass(slots=True, kw_only=True, frozen=True)
class ProtocolContext:
    """One member's state and environment, from which each component of the protocol takes what it uses."""

    period_seconds: float  # SWIM's protocol period
    started_at: float  # when the protocol was started, in seconds of the local clock
    wall_clock: Callable[[], float]  # returns seconds since 1970
    rng: random.Random  # the source of all random numbers
    table: MembershipTable
    updates: UpdateQueue
    outbox: Outbox
    local_health: LocalHealth
    sequence_numbers: SequenceNumbers
    counters: Counter[str]
    emit: Callable[[Event], None]  # reports an event to the program that runs the protocol
