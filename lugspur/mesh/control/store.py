"""All entries that a process knows: copies merge entry by entry, and each change has a place in its own order."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lugspur.mesh.control.messages import Entry

Name = tuple[str, str]  # kind and name


def newer(entry: Entry, than: Entry | None) -> bool:
    """Whether an entry takes the other's place: the higher edition does."""
    return than is None or entry.edition > than.edition


def _supersedes(entry: Entry, than: Entry | None) -> bool:
    """As `newer`, and under one edition the larger content everywhere.

    Leased entries need it: who holds a lease may drop an entry while its owner says it anew, under the same edition.
    What operators send is decided once for each edition (see `register`).
    """
    if than is None or entry.edition != than.edition:
        return newer(entry, than)
    return (entry.value or b"") > (than.value or b"")


class Store:
    """Entries by kind and name; `changed` is told of each that took a place."""

    def __init__(self, changed: Callable[[Entry], None] | None = None) -> None:
        self._entries: dict[Name, Entry] = {}
        self._places: dict[Name, int] = {}  # in order of their latest change: popped and put again
        self.upto = 0
        self.forgotten_at = 0  # the place at which something was forgotten last: who is behind it needs all
        self.changed = changed

    def get(self, kind: str, name: str) -> Entry | None:
        """What is known of a name, withdrawn ones too."""
        return self._entries.get((kind, name))

    def standing(self, kind: str) -> dict[str, bytes]:
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
                self.upto += 1
                self._places.pop(name, None)
                self._places[name] = self.upto
                taken.append(entry)
                if self.changed is not None:
                    self.changed(entry)
        return taken

    def forget(self, names: Iterable[Name]) -> None:
        """Drop entries without a word to who subscribes; `changed` is told as of a withdrawal."""
        for name in names:
            entry = self._entries.pop(name, None)
            if entry is None:
                continue
            self._places.pop(name, None)
            self.upto += 1
            self.forgotten_at = self.upto
            if self.changed is not None and entry.value is not None:
                self.changed(Entry(entry.kind, entry.name, entry.edition, None))

    def after(self, since: int) -> list[Entry]:
        """What changed after a place in the order, oldest first."""
        found = []
        for name in reversed(self._places):
            if self._places[name] <= since:
                break
            found.append(self._entries[name])
        found.reverse()
        return found
