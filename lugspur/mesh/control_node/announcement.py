"""What a control node says of itself to all others."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lugspur.mesh.control.items import CONTROL
from lugspur.mesh.control.membership import Presence
from lugspur.mesh.control.messages import Entry, Report
from lugspur.mesh.control.store import Store

_pack = msgspec.msgpack.Encoder().encode


class Announcement:
    """The entry of this control node; `edition` gives a new one its number, `report` sends it to all peers."""

    def __init__(
        self, ip: str, store: Store, edition: Callable[[str, str], int], report: Callable[[Report], None]
    ) -> None:
        self._ip, self._store, self._edition, self._report = ip, store, edition, report
        self._announced: Entry | None = None

    def announce(self, presence: Presence) -> None:
        """Say it anew, unless just that has been said and stands."""
        value = _pack(presence)
        standing = self._store.get(CONTROL, self._ip)
        if standing is not None and standing == self._announced and standing.value == value:
            return
        self._announced = Entry(CONTROL, self._ip, self._edition(CONTROL, self._ip), value)
        self._store.merge([self._announced])
        self._report(Report([self._announced]))

    def entries(self) -> list[Entry]:
        """What has been announced."""
        return [] if self._announced is None else [self._announced]

    def contradicted_by(self, entry: Entry) -> bool:
        """Whether an entry shows that what was announced was dropped, or stands as an older life left it."""
        announced = self._announced
        return entry.kind == CONTROL and entry.name == self._ip and announced is not None and entry != announced
