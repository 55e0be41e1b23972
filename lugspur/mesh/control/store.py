"""All entries that a process knows: copies merge entry by entry, and each change has a place in its own order."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lugspur.mesh.control.messages import Entry

EntryKey = tuple[str, str]  # kind and name


def supersedes(entry: Entry, than: Entry | None) -> bool:
    """Whether an entry takes the other's place: the higher edition does."""
    return than is None or entry.edition > than.edition


def _supersedes(entry: Entry, than: Entry | None) -> bool:
    """As `newer`, and under one edition the larger content everywhere.

    Leased entries need it: who holds a lease may drop an entry while its owner says it anew, under the same edition.
    What operators send is decided once for each edition (see `register`).
    """
    if than is None or entry.edition != than.edition:
        return supersedes(entry, than)
    return (entry.value or b"") > (than.value or b"")


class Store:
    """Entries by kind and name; `changed` is told of each that took a place."""

    def __init__(self, on_change: Callable[[Entry], None] | None = None) -> None:
        self._entries: dict[EntryKey, Entry] = {}
        self._sequences: dict[EntryKey, int] = {}  # in order of their latest change: popped and put again
        self.latest_sequence = 0
        self.forgotten_sequence = 0  # the place at which something was forgotten last: who is behind it needs all
        self.on_change = on_change

    def get(self, kind: str, name: str) -> Entry | None:
        """What is known of a name, withdrawn ones too."""
        return self._entries.get((kind, name))

    def values_of(self, kind: str) -> dict[str, bytes]:
        """The values of a kind, by name, of those that are not withdrawn."""
        return {n: e.value for (k, n), e in self._entries.items() if k == kind and e.value is not None}

    def all(self) -> Iterable[Entry]:
        """All entries, withdrawn ones too."""
        return self._entries.values()

    def merge(self, entries: Iterable[Entry]) -> list[Entry]:
        """Take what is newer; returns that."""
        taken = []
        for entry in entries:
            name = (entry.kind, entry.name)
            if _supersedes(entry, self._entries.get(name)):
                self._entries[name] = entry
                self.latest_sequence += 1
                self._sequences.pop(name, None)
                self._sequences[name] = self.latest_sequence
                taken.append(entry)
                if self.on_change is not None:
                    self.on_change(entry)
        return taken

    def forget(self, names: Iterable[EntryKey]) -> None:
        """Drop entries without a word to who subscribes; `changed` is told as of a withdrawal."""
        for name in names:
            entry = self._entries.pop(name, None)
            if entry is None:
                continue
            self._sequences.pop(name, None)
            self.latest_sequence += 1
            self.forgotten_sequence = self.latest_sequence
            if self.on_change is not None and entry.value is not None:
                self.on_change(Entry(entry.kind, entry.name, entry.edition, None))

    def changed_after(self, after_sequence: int) -> list[Entry]:
        """What changed after a place in the order, oldest first."""
        found = []
        for name in reversed(self._sequences):
            if self._sequences[name] <= after_sequence:
                break
            found.append(self._entries[name])
        found.reverse()
        return found
