"""Updates about members that wait to be disseminated by piggybacking them on other datagrams.

SWIM (Das, Gupta, Motivala, 2002), section 4.1: each member passes an update on about log(n) times, and the updates
that it has passed on least often go first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lugspur.daemon.gossip.messages import MAX_RECORDS_PER_DATAGRAM, MemberRecord, encoded_size

RETRANSMIT_FACTOR = 3  # times log10 of the members, rounded up: how often one member passes an update on
RESERVED_RECORDS = 2  # of a datagram's records: the sender's own one and what it holds of the addressee


@dataclass(slots=True)
class _QueuedUpdate:
    record: MemberRecord
    size_bytes: int
    transmissions: int = 0


class UpdateQueue:
    """The latest update about each member that others still have to be sent."""

    def __init__(self) -> None:
        self._queued: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def enqueue(self, record: MemberRecord) -> None:
        """Add an update; it replaces an older one about the same member."""
        self._queued[record.name] = _QueuedUpdate(record, encoded_size(record))

    def clear(self) -> None:
        """Drop all updates."""
        self._queued.clear()

    def take_fitting(self, max_bytes: int, member_count: int, excluded_name: str = "") -> list[MemberRecord]:
        """Return the updates for the next datagram and count one transmission of each.

        Args:
            max_bytes: Space in the datagram, in bytes.
            member_count: Members that are present; their number decides how often an update is passed on.
            excluded_name: The addressee, which needs no update about itself.
        """
        if not self._queued:
            return []
        max_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log10(member_count + 1))
        taken: list[MemberRecord] = []
        for name, update in sorted(self._queued.items(), key=lambda item: item[1].transmissions):
            if len(taken) >= MAX_RECORDS_PER_DATAGRAM - RESERVED_RECORDS or max_bytes < update.size_bytes:
                break
            if name == excluded_name:
                continue
            max_bytes -= update.size_bytes
            taken.append(update.record)
            update.transmissions += 1
            if update.transmissions >= max_transmissions:
                del self._queued[name]
        return taken
