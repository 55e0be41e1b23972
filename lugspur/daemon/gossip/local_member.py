"""This process's own record, and its reactions to what other members report about it."""

from __future__ import annotations

import msgspec

from lugspur.daemon.gossip.context import ProtocolContext
from lugspur.daemon.gossip.counters import GossipCounter
from lugspur.daemon.gossip.events import Address, NameConflict
from lugspur.daemon.gossip.messages import MemberMetadata, MemberRecord, Status

# The number of refutations of another process under this name that, within this number of protocol periods, shows that
# the other process is running: a running one replies to each refutation, while a former one is silent.
CONFLICT_REFUTATIONS, CONFLICT_WINDOW_PERIODS = 3, 30.0
YIELD_PERIODS = 30.0  # protocol periods for which the younger of two processes under one name sends nothing


class LocalMember:
    """This process as a member. Only it raises its incarnation, by which it refutes what others report about it."""

    def __init__(self, context: ProtocolContext) -> None:
        self._table, self._updates, self._outbox = context.table, context.updates, context.outbox
        self._local_health, self._counters, self._emit = context.local_health, context.counters, context.emit
        self._period = context.period_seconds
        self._conflict_times: list[float] = []

    def update_metadata(self, now: float, metadata: MemberMetadata) -> None:
        """Announce new metadata; nothing is announced if it equals the current metadata."""
        if metadata != self._table.local_record.metadata:
            self._announce(now, msgspec.structs.replace(self._alive_record(), metadata=metadata))

    def change_address(self, now: float, address: Address) -> None:
        """Announce that this process receives datagrams at a new address from now on."""
        if address != self._table.local_record.address:
            host, port = address
            self._announce(now, msgspec.structs.replace(self._alive_record(), host=host, port=port))

    def leave(self, now: float) -> None:
        """Announce that this process leaves the fleet."""
        record = self._table.local_record
        self._announce(now, msgspec.structs.replace(record, status=Status.LEFT, reported_by=record.name))

    def receive_report(self, now: float, record: MemberRecord) -> None:
        """Handle a report about a process under this member's name."""
        local = self._table.local_record
        if record.incarnation < local.incarnation:
            return
        if record.instance_id != local.instance_id:
            self._refute(now, record)
            if record.is_present:
                self._record_conflict(now, record)
        elif record.status is not Status.ALIVE:
            self._counters[GossipCounter.REFUTED] += 1
            self._local_health.degrade()  # Lifeguard: a suspected process may be slow itself
            self._refute(now, record)

    def _refute(self, now: float, record: MemberRecord) -> None:
        self._announce(now, self._alive_record(), min_incarnation=record.incarnation + 1)

    def _alive_record(self) -> MemberRecord:
        return msgspec.structs.replace(self._table.local_record, status=Status.ALIVE, reported_by="")

    def _announce(self, now: float, record: MemberRecord, min_incarnation: int = 0) -> None:
        """Disseminate the record as this process's latest one, under a higher incarnation than any it has used."""
        incarnation = max(self._table.local_record.incarnation + 1, min_incarnation)
        record = msgspec.structs.replace(record, incarnation=incarnation)
        self._table.replace_local_record(now, record)
        self._updates.enqueue(record)

    def _record_conflict(self, now: float, record: MemberRecord) -> None:
        window = CONFLICT_WINDOW_PERIODS * self._period
        self._conflict_times = [at for at in self._conflict_times if now - at < window] + [now]
        if len(self._conflict_times) < CONFLICT_REFUTATIONS:
            return
        self._conflict_times.clear()
        local = self._table.local_record
        other_start = (record.metadata.started_at, record.instance_id)
        is_younger = other_start < (local.metadata.started_at, local.instance_id)
        self._emit(NameConflict(record.address, is_younger))
        if is_younger:
            self._outbox.silent_until = now + YIELD_PERIODS * self._period
