"""The entry by which a control node describes itself to all other nodes."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lugspur.mesh.control.items import CONTROL
from lugspur.mesh.control.messages import Entry, Report
from lugspur.mesh.control.store import Store
from lugspur.mesh.control.voter_membership import Presence

_encode = msgspec.msgpack.Encoder().encode


class Announcement:
    """The leased entry of this control node.

    `next_edition` returns the edition of a new entry, and `report` sends the entry to all peers.
    """

    def __init__(
        self, ip: str, store: Store, next_edition: Callable[[str, str], int], report: Callable[[Report], None]
    ) -> None:
        self._ip, self._store, self._next_edition, self._report = ip, store, next_edition, report
        self._announced: Entry | None = None

    def announce(self, presence: Presence) -> None:
        """Announce the presence, unless the store still has the entry in which the same presence was announced."""
        value = _encode(presence)
        current = self._store.get(CONTROL, self._ip)
        if current is not None and current == self._announced and current.value == value:
            return
        self._announced = Entry(CONTROL, self._ip, self._next_edition(CONTROL, self._ip), value)
        self._store.merge([self._announced])
        self._report(Report([self._announced]))

    def entries(self) -> list[Entry]:
        """Return the entry that was announced last, if any."""
        return [] if self._announced is None else [self._announced]

    def is_contradicted_by(self, entry: Entry) -> bool:
        """Whether an entry in place of the announced one withdraws it, or stems from an earlier incarnation."""
        announced = self._announced
        return entry.kind == CONTROL and entry.name == self._ip and announced is not None and entry != announced
