"""Leases on the entries by which processes describe themselves; a silent process's entries are withdrawn."""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.items import LEASED_KINDS
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import EntryKey, Store
from lugspur.mesh.transport.link import Link

LEASE_SECONDS = 4.0  # time without a message after which a process's entries are withdrawn
RENEWAL_SECONDS = 1.0  # time between two renewals of a lease whose connection is open


@dataclass(slots=True, frozen=True)
class Lease:
    """The connection on which an entry was reported, its edition, and when the process was last heard."""

    link: Link
    edition: int
    last_heard_at: float


class Leases:
    """The leases on entries that were reported to this control node."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._leases: dict[EntryKey, Lease] = {}

    def report(self, now: float, link: Link, entries: list[Entry]) -> None:
        """Store the entries by which a process describes itself; entries of other kinds are ignored."""
        leased = [entry for entry in entries if entry.kind in LEASED_KINDS]
        for entry in leased:
            self._leases[entry.kind, entry.name] = Lease(link, entry.edition, now)
        self._store.merge(leased)

    def tick(self, now: float) -> None:
        """Renew the leases of open connections, and withdraw the entries of processes that are silent."""
        for key, lease in list(self._leases.items()):
            heard_at = max(lease.last_heard_at, lease.link.last_received_at)
            if lease.link.is_open:
                if now - lease.last_heard_at > RENEWAL_SECONDS:
                    self._leases[key] = Lease(lease.link, lease.edition, heard_at)
            elif now - heard_at > LEASE_SECONDS:
                del self._leases[key]
                self._withdraw(key, lease.edition)

    def _withdraw(self, key: EntryKey, edition: int) -> None:
        """Withdraw an entry, unless a later edition has replaced it."""
        current = self._store.get(*key)
        if current is not None and current.edition == edition and current.value is not None:
            self._store.merge([Entry(*key, edition + 1, None)])
