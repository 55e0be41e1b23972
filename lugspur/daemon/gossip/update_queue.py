"""The queue of updates about members that are still to be piggybacked on other datagrams.

SWIM (Das, Gupta, Motivala, 2002), section 4.1: each member sends an update about log(n) times, and the updates that it
has sent least often go first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lugspur.daemon.gossip.messages import MAX_RECORDS_PER_DATAGRAM, MemberRecord, encoded_size

# How often one member sends an update, as a multiple of log10 of the member count, which is rounded up.
RETRANSMIT_FACTOR = 3
# Records of a datagram that are reserved for the sender's own record and the known record of the recipient.
RESERVED_RECORDS = 2


@dataclass(slots=True)
class _QueuedUpdate:
    record: MemberRecord
    size_bytes: int
    transmissions: int = 0


class UpdateQueue:
    """The latest update about each member that is still to be disseminated."""

    def __init__(self) -> None:
        self._updates: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def enqueue(self, record: MemberRecord) -> None:
        """Add an update; it replaces an older one about the same member."""
        self._updates[record.name] = _QueuedUpdate(record, encoded_size(record))

    def clear(self) -> None:
        """Drop all updates."""
        self._updates.clear()

    def take_fitting(self, max_bytes: int, member_count: int, excluded_name: str = "") -> list[MemberRecord]:
        """Return the updates for the next datagram and count one transmission of each.

        Args:
            max_bytes: Space in the datagram, in bytes.
            member_count: The number of present members, which determines how often an update is sent.
            excluded_name: The name of the recipient, which needs no update about itself.
        """
        if not self._updates:
            return []
        max_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log10(member_count + 1))
        selected: list[MemberRecord] = []
        for name, update in sorted(self._updates.items(), key=lambda item: item[1].transmissions):
            if len(selected) >= MAX_RECORDS_PER_DATAGRAM - RESERVED_RECORDS or max_bytes < update.size_bytes:
                break
            if name == excluded_name:
                continue
            max_bytes -= update.size_bytes
            selected.append(update.record)
            update.transmissions += 1
            if update.transmissions >= max_transmissions:
                del self._updates[name]
        return selected
