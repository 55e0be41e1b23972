"""Rules by which one of two reports about a member takes precedence. No I/O, no state.

The rules are those of SWIM, section 4.2, with two additional ones that protect members from false reports.
"""

from __future__ import annotations

import msgspec

from lugspur.daemon.gossip.messages import MemberRecord, Status


def with_status(record: MemberRecord, status: Status, reported_by: str) -> MemberRecord:
    """Return the record with another status and reporter."""
    return msgspec.structs.replace(record, status=status, reported_by=reported_by)


def supersedes(received: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a report takes precedence, by a greater incarnation, or a greater status under the same one."""
    return (received.incarnation, received.status) > (known.incarnation, known.status)


def merged_record(known: MemberRecord, received: MemberRecord) -> MemberRecord | None:
    """Return the record to store in place of the known one, or None if the received one changes nothing."""
    if not supersedes(received, known):
        return None
    if received.status is Status.DEAD and known.status is Status.ALIVE:
        # Protects a member from a single other member's report: it is suspected first, and has time to refute that.
        return with_status(received, Status.SUSPECT, received.reported_by)
    # Protects a member from other members that claim that it has left.
    if received.status is Status.LEFT and received.reported_by != received.name:
        return None
    return received


def cause_of_change(previous: MemberRecord, record: MemberRecord) -> str:
    """Return a short text for the log on why a member's record changed."""
    if record.status is Status.LEFT:
        return "announced by itself"
    if record.status is not Status.ALIVE:
        return f"by {record.reported_by}"
    if record.instance_id != previous.instance_id:
        return "restarted"
    if not previous.is_present:
        return "returned"
    if previous.status is Status.SUSPECT:
        return "refuted the suspicion"
    return "moved" if record.address != previous.address else "announced new metadata"
