"""All entries that a process knows, merged from several sources, with a sequence number for each change.

Subscribers resume from a sequence number. It is a position in this process's own order of changes, and has no meaning
to another process or to a later incarnation of this one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lugspur.mesh.control.messages import Entry

EntryKey = tuple[str, str]  # kind and name


def supersedes(entry: Entry, current: Entry | None, *, by_content: bool = False) -> bool:
    """Whether an entry replaces the current one of its name, which the entry with the higher edition does.

    With `by_content`, the larger content wins among entries of the same edition, so that processes agree independently
    of the order in which they receive them. Leased entries need that: a control node may drop an entry when its lease
    ends while its owner announces it again under the same edition. Entries of operators don't, since one content is
    decided for each edition (see `register`).
    """
    if current is None or entry.edition != current.edition:
        return current is None or entry.edition > current.edition
    return by_content and (entry.value or b"") > (current.value or b"")


class Store:
    """Entries by kind and name; `on_change` is called with each entry that changes."""

    def __init__(self, on_change: Callable[[Entry], None] | None = None) -> None:
        self._entries: dict[EntryKey, Entry] = {}
        # Sequence numbers in ascending order: the key of a changed entry is removed and inserted again at the end.
        self._sequences: dict[EntryKey, int] = {}
        self.latest_sequence = 0
        # The sequence number at which an entry was last dropped: a subscriber that is behind it needs a snapshot.
        self.dropped_sequence = 0
        self.on_change = on_change

    def get(self, kind: str, name: str) -> Entry | None:
        """Return the entry of a name, which may be a withdrawal."""
        return self._entries.get((kind, name))

    def values_of(self, kind: str) -> dict[str, bytes]:
        """Return the values of a kind by name, without withdrawn ones."""
        return {n: e.value for (k, n), e in self._entries.items() if k == kind and e.value is not None}

    def all(self) -> Iterable[Entry]:
        """Return all entries, including withdrawals."""
        return self._entries.values()

    def merge(self, entries: Iterable[Entry]) -> list[Entry]:
        """Store the entries that supersede the known ones, and return them."""
        merged = []
        for entry in entries:
            key = (entry.kind, entry.name)
            if not supersedes(entry, self._entries.get(key), by_content=True):
                continue
            self._entries[key] = entry
            self.latest_sequence += 1
            self._sequences.pop(key, None)
            self._sequences[key] = self.latest_sequence
            merged.append(entry)
            if self.on_change is not None:
                self.on_change(entry)
        return merged

    def forget(self, keys: Iterable[EntryKey]) -> None:
        """Drop entries without sending a change to subscribers; `on_change` is called as for a withdrawal."""
        for key in keys:
            entry = self._entries.pop(key, None)
            if entry is None:
                continue
            self._sequences.pop(key, None)
            self.latest_sequence += 1
            self.dropped_sequence = self.latest_sequence
            if self.on_change is not None and entry.value is not None:
                self.on_change(Entry(entry.kind, entry.name, entry.edition, None))

    def changed_after(self, sequence: int) -> list[Entry]:
        """Return the entries that changed after a sequence number, oldest change first."""
        changed = []
        for key in reversed(self._sequences):
            if self._sequences[key] <= sequence:
                break
            changed.append(self._entries[key])
        changed.reverse()
        return changed
