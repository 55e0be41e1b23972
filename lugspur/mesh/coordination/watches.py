"""Watches that wait at one node for puts in a group of keys."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages.coordination_records import CellRecord
from lugspur.mesh.coordination.state import CoordinationState

MAX_WATCHES = 160  # that wait at one node: each holds one of its callers' connections
MAX_PUTS_PER_ANSWER = 256  # a watch goes on from the revision of the answer


@dataclass(slots=True, frozen=True)
class WatchAnswer:
    """All puts of a group above the revision that was asked for, and up to `revision`."""

    puts: list[CellRecord]
    revision: int


@dataclass(slots=True, eq=False)
class Watch:
    """A caller that waits for puts of a group above a revision; one of the functions is called once."""

    group: str
    after: int
    deadline: float
    on_answer: Callable[[WatchAnswer], None]
    on_deadline: Callable[[], None]  # nothing came: what is answered then has to be proven first
    on_failure: Callable[[MeshError], None]


class WatchTable:
    """The watches of one node."""

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._watches: dict[str, list[Watch]] = {}  # by group
        self._count = 0
        self._index = 0  # of the latest change that the watches have been answered by

    def __len__(self) -> int:
        return self._count

    def answer(self, group: str, after: int) -> WatchAnswer | None:
        """What is known here above a revision, None where that is nothing; raises MeshError (HISTORY_GONE)."""
        puts = self._state.puts_after(group, after, MAX_PUTS_PER_ANSWER)
        if puts is None:
            raise MeshError(ErrorKind.HISTORY_GONE, f"puts of {group} above {after} are forgotten")
        return WatchAnswer(puts, puts[-1].revision) if puts else None

    def revision(self, group: str) -> int:
        """The revision of a group that is known here."""
        return self._state.group_revision(group)

    def is_waiting(self, watch: Watch) -> bool:
        """Whether a watch has not been answered."""
        return watch in self._watches.get(watch.group, [])

    def add(self, watch: Watch) -> None:
        """Let a watch wait; raises MeshError (TOO_MANY) where too many do."""
        if self._count >= MAX_WATCHES:
            raise MeshError(ErrorKind.TOO_MANY, "there are too many watches")
        self._count += 1
        self._watches.setdefault(watch.group, []).append(watch)

    def remove(self, watch: Watch) -> None:
        """A watch does not wait any more."""
        waiting = self._watches.get(watch.group, [])
        if watch not in waiting:
            return
        self._count -= 1
        waiting.remove(watch)
        if not waiting:
            del self._watches[watch.group]

    def advanced(self) -> None:
        """The state has changed: answer the watches that have got puts."""
        if self._index == self._state.index:
            return
        self._index = self._state.index
        for group, waiting in list(self._watches.items()):
            lowest = min(watch.after for watch in waiting)
            if self._state.group_revision(group) <= lowest:
                continue
            for watch in waiting[:]:
                self._answer_waiting(watch)

    def _answer_waiting(self, watch: Watch) -> None:
        try:
            answer = self.answer(watch.group, watch.after)
        except MeshError as fault:
            self.remove(watch)
            watch.on_failure(fault)
            return
        if answer is not None:
            self.remove(watch)
            watch.on_answer(answer)

    def tick(self, now: float) -> None:
        """End the watches whose time is up."""
        for watch in [watch for waiting in self._watches.values() for watch in waiting if watch.deadline <= now]:
            self.remove(watch)
            watch.on_deadline()

    def fail_all(self, fault: MeshError) -> None:
        """End all watches: this node can't say any more what is put, or is leaving."""
        for watch in [watch for waiting in self._watches.values() for watch in waiting]:
            self.remove(watch)
            watch.on_failure(fault)
