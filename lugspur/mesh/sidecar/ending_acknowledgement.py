"""Acknowledges calls of a backend that ends, once the mesh is bound by it."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping

from lugspur.interfaces import Responder
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.http_api import fail, reply
from lugspur.mesh.sidecar.ending_records import Ending, EndingRecords


class EndingAcknowledgements:
    """The calls that wait until it is recorded how far a backend has ended."""

    def __init__(
        self,
        records: EndingRecords,
        endings: MutableMapping[str, Ending | None],
        has_only_former_voters: Callable[[], bool],
    ) -> None:
        """`endings`: what is recorded, by the id of the incarnation.

        `has_only_former_voters` returns whether the voters have a former build, which acknowledges no records.
        """
        self._records, self._endings, self._has_only_former_voters = records, endings, has_only_former_voters
        self._waiting: dict[tuple[str, Ending], list[Responder]] = {}

    def acknowledge(self, ident: str, ending: Ending, caller: Responder) -> None:
        """Acknowledge a call once it is recorded how far the backend has ended, as that binds the whole mesh then."""
        if self._endings.get(ident) in (ending, Ending.SIGNED_OFF):
            reply(caller)
            return
        is_recording = (ident, ending) in self._waiting
        if not is_recording:  # A sign-off replaces a closing that is not recorded yet.
            self._waiting[ident, ending] = self._waiting.pop((ident, Ending.CLOSING), [])
        waiting = self._waiting[ident, ending]
        waiting.append(caller)
        caller.on_disconnect = lambda: _remove(waiting, caller)
        if not is_recording:
            self._records.record(ident, ending, lambda is_recorded: self._recorded(ident, ending, is_recorded))

    def _recorded(self, ident: str, ending: Ending, is_recorded: bool) -> None:
        if is_recorded:
            self._endings[ident] = ending
        # Voters of a former build acknowledge nothing: the control node that is followed has the report all the same.
        is_acknowledged = is_recorded or self._has_only_former_voters()
        for caller in self._waiting.pop((ident, ending), []):
            caller.on_disconnect = None
            if is_acknowledged:
                reply(caller)
            else:
                fail(caller, MeshError(ErrorKind.NO_QUORUM, "too few control nodes know that the backend ends"))


def _remove(waiting: list[Responder], caller: Responder) -> None:
    """Remove a caller that has left from those that wait."""
    if caller in waiting:
        waiting.remove(caller)
