"""A hollow proxy: the real one in full, except that it does not connect to all the others, and that it records."""

from __future__ import annotations

import time

from lugspur.control.items import ROUTES
from lugspur.control.messages import Entry
from lugspur.mesh.node import Node
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar import Sidecar


class Record:
    """What the proxies of one process have noticed, by the machine's steady clock."""

    def __init__(self) -> None:
        self.arrivals: dict[int, list[float]] = {}  # by the edition of a route
        self.last_withdrawal = 0.0


class HollowProxy(Sidecar):
    """`full_mesh`: addresses of real proxies, which find all others connected to them as in a real fleet."""

    def __init__(self, settings: Settings, path: str, full_mesh: frozenset[str], record: Record) -> None:
        self._full_mesh, self._record = full_mesh, record
        super().__init__(settings, path)

    def wanted(self) -> set[str]:
        return Node.wanted(self) | (self._full_mesh & self.backends.keys()) - {self.ip}

    def changed(self, entry: Entry) -> None:
        super().changed(entry)
        if entry.kind == ROUTES and self.known:  # what it is told at its start is no change
            self._record.arrivals.setdefault(entry.edition, []).append(time.monotonic())
        elif entry.kind == "backend" and entry.value is None:
            self._record.last_withdrawal = time.monotonic()

    @property
    def is_ready(self) -> bool:
        """Whether its platform would find it ready."""
        return self.known and len(self.table) > 0

    @property
    def accepting(self) -> int:
        """How many backends it would send to."""
        return sum(status.state == "accepting" for status in self.backends.values())
