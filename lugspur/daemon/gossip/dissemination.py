"""Dissemination of updates: piggybacked on pings and acks, and sent in separate rounds while any are queued."""

from __future__ import annotations

from lugspur.daemon.gossip.context import ProtocolContext
from lugspur.daemon.gossip.messages import Ack, MemberRecord, Ping, Status, Updates, encoded_size

ROUND_PERIODS = 0.2  # protocol periods between two rounds of updates that are sent without a ping
ROUND_FANOUT = 3  # members to which each round sends updates
LEAVE_FANOUT = 2 * ROUND_FANOUT  # members that are notified when this process leaves
# Upper bound on the encoded size of a packet without its records, in bytes.
PACKET_OVERHEAD_BYTES = 100


class Dissemination:
    """Chooses the updates that each datagram carries."""

    def __init__(self, context: ProtocolContext) -> None:
        self._table, self._updates, self._outbox = context.table, context.updates, context.outbox
        self._rng, self._period = context.rng, context.period_seconds
        self._next_round_at = context.started_at

    def ping(self, name: str, sequence_number: int) -> Ping:
        """Return a ping for a member, with piggybacked updates."""
        return Ping(sequence_number, self._table.digest, self._piggyback(name))

    def ack(self, name: str, sequence_number: int, instance_id: int) -> Ack:
        """Return an ack for the process of this instance id under a member's name, with piggybacked updates."""
        return Ack(sequence_number, self._table.digest, self._piggyback(name, instance_id))

    def plain_ack(self, sequence_number: int) -> Ack:
        """Return an ack that carries only this process's own record."""
        return Ack(sequence_number, self._table.digest, [self._table.local_record])

    def due(self) -> float:
        """Return when the next round is due, in seconds of the local clock; infinity if there is nothing to send."""
        return self._next_round_at if self._has_updates_to_send() else float("inf")

    def tick(self, now: float) -> None:
        """Send a round of updates if one is due."""
        if now < self._next_round_at or not self._has_updates_to_send():
            return
        self._next_round_at = now + ROUND_PERIODS * self._period
        names = self._table.sample_present(self._rng, ROUND_FANOUT)
        for name in names:
            max_bytes = self._outbox.max_packet_bytes - PACKET_OVERHEAD_BYTES
            updates = self._updates.take_fitting(max_bytes, self._table.present_count, name)
            if updates:
                self._outbox.send(now, self._table.members[name].record.address, Updates(updates), name)
        if not names:
            self._updates.clear()

    def announce_leave(self, now: float) -> None:
        """Send this process's final record to some members, which disseminate it."""
        for name in self._table.sample_present(self._rng, LEAVE_FANOUT):
            address = self._table.members[name].record.address
            self._outbox.send(now, address, Updates([self._table.local_record]), name)

    def pause_until(self, time: float) -> None:
        """Send no round before this time, in seconds of the local clock."""
        self._next_round_at = time

    def _has_updates_to_send(self) -> bool:
        return len(self._updates) > 0 and len(self._table.members) > 0

    def _piggyback(self, name: str, instance_id: int | None = None) -> list[MemberRecord]:
        """Return this process's record, the recipient's known record if it may have to refute it, and other updates.

        Args:
            name: The recipient.
            instance_id: The instance id of the recipient's process, if it is known.
        """
        records = [self._table.local_record]
        entry = self._table.members.get(name)
        if entry is not None:
            is_other_process = instance_id not in (None, entry.record.instance_id)
            if entry.record.status is not Status.ALIVE or is_other_process:
                records.append(entry.record)  # Otherwise the recipient might never receive what it has to refute.
        own_bytes = sum(encoded_size(record) for record in records)
        max_bytes = self._outbox.max_packet_bytes - PACKET_OVERHEAD_BYTES - own_bytes
        return records + self._updates.take_fitting(max_bytes, self._table.present_count, name)
