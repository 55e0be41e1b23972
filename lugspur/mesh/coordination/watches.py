"""Watches: calls that wait at one node for puts in a group of keys."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages.coordination_records import CellRecord
from lugspur.mesh.coordination.state import CoordinationState

MAX_WATCHES = 160  # watches that wait at one node, as each of them occupies a caller's connection
MAX_PUTS_PER_RESPONSE = 256  # puts in one response; the next watch resumes from the response's revision


@dataclass(slots=True, frozen=True)
class WatchResponse:
    """All puts of a group above the requested revision, and up to `revision`."""

    puts: list[CellRecord]
    revision: int


@dataclass(slots=True, eq=False)
class Watch:
    """A caller that waits for puts of a group above a revision.

    One of the functions is called, once, unless the watch is removed before.

    `on_deadline` is called if no put has arrived: that there is none must be confirmed before the response.
    """

    group: str
    after: int
    deadline: float
    on_response: Callable[[WatchResponse], None]
    on_deadline: Callable[[], None]
    on_failure: Callable[[MeshError], None]


class WatchTable:
    """The watches of one node."""

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._watches: dict[str, list[Watch]] = {}  # by group
        self._count = 0
        self._index = 0  # the latest change that the watches were checked against

    def __len__(self) -> int:
        return self._count

    def find_response(self, group: str, after: int) -> WatchResponse | None:
        """Return the known puts above a revision, or None if there are none; raises MeshError (HISTORY_GONE)."""
        puts = self._state.puts_after(group, after, MAX_PUTS_PER_RESPONSE)
        if puts is None:
            raise MeshError(ErrorKind.HISTORY_GONE, f"puts of {group} above {after} are forgotten")
        return WatchResponse(puts, puts[-1].revision) if puts else None

    def revision(self, group: str) -> int:
        """Return the revision of a group that this node knows."""
        return self._state.group_revision(group)

    def is_waiting(self, watch: Watch) -> bool:
        """Whether a watch is still waiting."""
        return watch in self._watches.get(watch.group, [])

    def add(self, watch: Watch) -> None:
        """Add a waiting watch; raises MeshError (TOO_MANY) if there are too many."""
        if self._count >= MAX_WATCHES:
            raise MeshError(ErrorKind.TOO_MANY, "there are too many watches")
        self._count += 1
        self._watches.setdefault(watch.group, []).append(watch)

    def remove(self, watch: Watch) -> None:
        """Remove a watch, if it is still waiting."""
        waiting = self._watches.get(watch.group, [])
        if watch not in waiting:
            return
        self._count -= 1
        waiting.remove(watch)
        if not waiting:
            del self._watches[watch.group]

    def respond_to_ready(self) -> None:
        """Respond to the watches that the changed state has puts for."""
        if self._index == self._state.index:
            return
        self._index = self._state.index
        for group, waiting in list(self._watches.items()):
            lowest = min(watch.after for watch in waiting)
            if self._state.group_revision(group) <= lowest:
                continue
            for watch in waiting[:]:
                self._respond_if_ready(watch)

    def _respond_if_ready(self, watch: Watch) -> None:
        try:
            response = self.find_response(watch.group, watch.after)
        except MeshError as error:
            self.remove(watch)
            watch.on_failure(error)
            return
        if response is not None:
            self.remove(watch)
            watch.on_response(response)

    def tick(self, now: float) -> None:
        """End the watches whose deadline has passed."""
        for watch in [watch for waiting in self._watches.values() for watch in waiting if watch.deadline <= now]:
            self.remove(watch)
            watch.on_deadline()

    def fail_all(self, error: MeshError) -> None:
        """Fail all watches, since this node has lost contact with the voters or shuts down."""
        for watch in [watch for waiting in self._watches.values() for watch in waiting]:
            self.remove(watch)
            watch.on_failure(error)
