"""The table of known members: their records, which are present or suspected, and the digest of the view. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from hashlib import blake2b

from lugspur.daemon.gossip.events import Address
from lugspur.daemon.gossip.member_sampler import MemberSampler
from lugspur.daemon.gossip.messages import MemberRecord, Status
from lugspur.daemon.gossip.suspicion import Suspicion

# Upper bound on the known members, with this process and absent members: their records take about 0.5 MB.
MAX_MEMBERS = 1024
# How long the record of a dead member is kept. As long as it is kept, the member can still be contacted; most network
# partitions are over within this time.
FORGET_DEAD_SECONDS = 3600.0
FORGET_LEFT_SECONDS = 600.0  # how long the record of a member that left is kept
DIGEST_BYTES = 8  # size of the hash that a record's digest is taken from


@dataclass(slots=True)
class MemberEntry:
    """The record of another member, with what this process derives from it."""

    record: MemberRecord
    status_since: float  # when the status last changed, in seconds of the local clock
    digest: int = 0  # contribution to the digest of the view; 0 while the member is not present


def record_digest(record: MemberRecord) -> int:
    """Return a record's contribution to a view's digest: a 63-bit hash of its name, instance id and incarnation."""
    text = f"{record.name} {record.instance_id} {record.incarnation}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest(), "big") >> 1


class MembershipTable:
    """All known members, and this process's own record.

    Attributes:
        local_record: The record that this process announces of itself.
        members: The other members by name, including those that are dead or have left.
        suspicions: The suspicions of all suspected members, by name.
        digest: XOR of the digests of all present members, so that equal views have equal digests.
        changed_at: When the view last changed, in seconds of the local clock.
    """

    def __init__(self, local_record: MemberRecord, period_seconds: float, now: float) -> None:
        self.local_record = local_record
        self.members: dict[str, MemberEntry] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.digest = record_digest(local_record)
        self.changed_at = now
        self._period = period_seconds
        self._present = MemberSampler()
        self._absent: dict[str, None] = {}  # names of members that died or left, in the order in which they did
        self._present_addresses: Counter[Address] = Counter()
        self._forget_at = now

    # ---- reading ---------------------------------------------------------------------------------

    @property
    def present_count(self) -> int:
        """The number of present members, this process among them."""
        return len(self._present) + 1

    def present_records(self) -> dict[str, MemberRecord]:
        """Return the records of the other members that are present, by name."""
        return {name: entry.record for name, entry in self.members.items() if entry.record.is_present}

    def is_present(self, name: str) -> bool:
        """Return whether another member is present."""
        return name in self._present

    def present_names(self) -> list[str]:
        """Return the names of the other members that are present, in no particular order."""
        return self._present.names()

    def sample_present(self, rng: random.Random, count: int) -> list[str]:
        """Return the names of up to `count` other members that are present, drawn at random."""
        return self._present.sample(rng, count)

    def has_present_member_at(self, address: Address) -> bool:
        """Return whether another member that is present has this address."""
        return self._present_addresses[address] > 0

    def dead_records(self) -> list[MemberRecord]:
        """Return the records of the members that were declared dead, without those that left."""
        records = (self.members[name].record for name in self._absent)
        return [record for record in records if record.status is Status.DEAD]

    # ---- writing ---------------------------------------------------------------------------------

    def replace_local_record(self, now: float, record: MemberRecord) -> None:
        """Replace this process's own record."""
        self.digest ^= record_digest(self.local_record) ^ record_digest(record)
        self.local_record = record
        self.changed_at = now

    def make_room(self) -> bool:
        """Make sure that one more member fits, if necessary by forgetting the absent one whose status is the oldest.

        Returns False if the table is full of present members.
        """
        if len(self.members) < MAX_MEMBERS - 1:
            return True
        if not self._absent:
            return False
        oldest = min(self._absent, key=lambda name: self.members[name].status_since)
        del self.members[oldest], self._absent[oldest]
        return True

    def store(self, now: float, record: MemberRecord) -> None:
        """Store the record of another member; `make_room` has to be called before a new member is stored."""
        entry = self.members.get(record.name)
        previous = None if entry is None else entry.record
        if entry is None:
            entry = self.members[record.name] = MemberEntry(record, now)
        elif entry.record.status is not record.status:
            entry.status_since = now
        digest = record_digest(record) if record.is_present else 0
        self.digest ^= entry.digest ^ digest
        entry.record, entry.digest = record, digest
        self.changed_at = now
        self._index_presence(record, previous)
        self._index_suspicion(now, record, previous)

    def _index_presence(self, record: MemberRecord, previous: MemberRecord | None) -> None:
        if previous is not None and previous.is_present:
            self._present_addresses[previous.address] -= 1
            if not self._present_addresses[previous.address]:
                del self._present_addresses[previous.address]
        if record.is_present:
            self._present_addresses[record.address] += 1
            self._present.add(record.name)
            self._absent.pop(record.name, None)
        else:
            self._present.discard(record.name)
            self._absent[record.name] = None

    def _index_suspicion(self, now: float, record: MemberRecord, previous: MemberRecord | None) -> None:
        name = record.name
        if record.status is not Status.SUSPECT:
            self.suspicions.pop(name, None)
        elif name not in self.suspicions or previous is None or previous.incarnation != record.incarnation:
            self.suspicions[name] = Suspicion(now, self._period, self.present_count, record.reported_by)

    def confirm_suspicion(self, name: str, suspected_by: str) -> bool:
        """Record that one more member suspects a suspected member; return whether that shortens the timeout."""
        suspicion = self.suspicions.get(name)
        return suspicion is not None and suspicion.confirm(suspected_by)

    def postpone_suspicions(self, seconds: float) -> None:
        """Extend the timeouts of all suspicions by the time for which this process did not run."""
        for suspicion in self.suspicions.values():
            suspicion.postpone(seconds)

    def expired_suspicions(self, now: float) -> list[str]:
        """Return the names of the members whose suspicion has timed out."""
        return [name for name, suspicion in self.suspicions.items() if now >= suspicion.deadline]

    def forget_absent(self, now: float) -> None:
        """Drop members that died or left long ago; the check runs at most once per protocol period."""
        if now < self._forget_at:
            return
        self._forget_at = now + self._period
        for name in tuple(self._absent):
            entry = self.members[name]
            has_left = entry.record.status is Status.LEFT
            if now - entry.status_since > (FORGET_LEFT_SECONDS if has_left else FORGET_DEAD_SECONDS):
                del self.members[name], self._absent[name]
