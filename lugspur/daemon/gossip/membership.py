"""Applies updates about other members to the table, the queue of updates to disseminate, and the events."""

from __future__ import annotations

from lugspur.daemon.gossip.context import ProtocolContext
from lugspur.daemon.gossip.counters import GossipCounter
from lugspur.daemon.gossip.events import MemberChanged
from lugspur.daemon.gossip.local_member import LocalMember
from lugspur.daemon.gossip.merge_rules import cause_of_change, merged_record, supersedes, with_status
from lugspur.daemon.gossip.messages import MemberRecord, Status
from lugspur.daemon.gossip.probe_order import ProbeOrder

# How far a received incarnation may be ahead of the local wall clock: one day. A process takes its first incarnation
# from its wall clock, in milliseconds.
MAX_INCARNATION_LEAD_MILLISECONDS = 86_400_000
NO_RESPONSE = "does not respond"


class Membership:
    """The only component that adds other members to the table and replaces their records."""

    def __init__(self, context: ProtocolContext, probe_order: ProbeOrder, local_member: LocalMember) -> None:
        self._table, self._updates = context.table, context.updates
        self._counters, self._emit, self._wall_clock = context.counters, context.emit, context.wall_clock
        self._probe_order, self._local_member = probe_order, local_member

    def merge(self, now: float, record: MemberRecord, *, is_first_hand: bool) -> None:
        """Merge a received record into the view.

        Args:
            now: Seconds of the local clock.
            record: The record of a member, as another member sent it.
            is_first_hand: Whether the member that the record is about sent it.
        """
        if record.incarnation > self._wall_clock() * 1000 + MAX_INCARNATION_LEAD_MILLISECONDS:
            self._counters[GossipCounter.INCARNATION_TOO_HIGH] += 1
        elif record.name == self._table.local_record.name:
            self._local_member.receive_report(now, record)
        elif record.name in self._table.members:
            self._merge_known(now, self._table.members[record.name].record, record)
        elif record.is_present:
            self._apply(now, record, "came" if is_first_hand else "reported by another member")

    def suspect(self, now: float, name: str) -> None:
        """Suspect a member that did not respond to this process, or confirm another member's suspicion of it."""
        record = self._table.members[name].record
        local_name = self._table.local_record.name
        suspected = with_status(record, Status.SUSPECT, local_name)
        if record.status is Status.ALIVE:
            self._apply(now, suspected, NO_RESPONSE)
        elif self._table.confirm_suspicion(name, local_name):
            self._updates.enqueue(suspected)

    def declare_expired_dead(self, now: float) -> None:
        """Declare the members dead that have not refuted a suspicion before its timeout."""
        for name in self._table.expired_suspicions(now):
            record = with_status(self._table.members[name].record, Status.DEAD, self._table.local_record.name)
            self._apply(now, record, NO_RESPONSE)

    def _merge_known(self, now: float, known: MemberRecord, received: MemberRecord) -> None:
        merged = merged_record(known, received)
        if merged is not None:
            self._apply(now, merged, cause_of_change(known, merged))
        elif self._is_confirmation(known, received):
            self._updates.enqueue(received)

    def _is_confirmation(self, known: MemberRecord, received: MemberRecord) -> bool:
        return (
            not supersedes(received, known)
            and received.incarnation == known.incarnation
            and received.status is Status.SUSPECT
            and self._table.confirm_suspicion(received.name, received.reported_by)
        )

    def _apply(self, now: float, record: MemberRecord, cause: str) -> None:
        entry = self._table.members.get(record.name)
        previous = None if entry is None else entry.record
        if entry is None:
            if not self._table.make_room():
                self._counters[GossipCounter.TABLE_FULL] += 1
                return
            self._probe_order.insert(record.name)
        self._table.store(now, record)
        self._updates.enqueue(record)
        self._emit(MemberChanged(record, previous, cause))
