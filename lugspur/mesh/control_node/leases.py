"""Leases on what processes say of themselves: entries of those who have fallen silent are withdrawn."""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.mesh.control.items import LEASED_KINDS
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.store import EntryKey, Store
from lugspur.mesh.transport.link import Link

LEASE_SECONDS = 4.0  # seconds without a word after which what a process said of itself is dropped
RENEWAL_SECONDS = 1.0  # seconds between looks at when the link of an open lease was heard last


@dataclass(slots=True, frozen=True)
class Lease:
    """Who reported an entry, under which edition, and when that process was heard last."""

    link: Link
    edition: int
    heard_at: float


class Leases:
    """The leases on entries that were reported to this control node."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._leases: dict[EntryKey, Lease] = {}

    def report(self, now: float, link: Link, entries: list[Entry]) -> None:
        """A process has said something of itself; entries of other kinds are ignored."""
        leased = [entry for entry in entries if entry.kind in LEASED_KINDS]
        for entry in leased:
            self._leases[entry.kind, entry.name] = Lease(link, entry.edition, now)
        self._store.merge(leased)

    def end_silent(self, now: float) -> None:
        """Drop what was said by those who are silent."""
        for name, lease in list(self._leases.items()):
            heard_at = max(lease.heard_at, lease.link.at)
            if lease.link.open:
                if now - lease.heard_at > RENEWAL_SECONDS:
                    self._leases[name] = Lease(lease.link, lease.edition, heard_at)
            elif now - heard_at > LEASE_SECONDS:
                del self._leases[name]
                self._withdraw(name, lease.edition)

    def _withdraw(self, name: EntryKey, edition: int) -> None:
        """Withdraw an entry, unless a later edition stands."""
        standing = self._store.get(*name)
        if standing is not None and standing.edition == edition and standing.value is not None:
            self._store.merge([Entry(*name, edition + 1, None)])
