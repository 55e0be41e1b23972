"""Looks up whether the incarnation of a heartbeat had ended before this process started.

A heartbeat may be seconds late. So one of an incarnation that this process does not know is kept until the voters have
replied whether that incarnation has ended. A machine that is cut off takes it without their reply, once a second
heartbeat shows that the backend lives; what is found out later still binds it.
"""

from __future__ import annotations

from collections.abc import Callable

from cachetools import LRUCache

from lugspur.mesh.sidecar.backend_incarnations import MAX_INCARNATIONS
from lugspur.mesh.sidecar.ending_records import Ending, EndingRecords
from lugspur.mesh.sidecar.heartbeat import ReceivedHeartbeat

UNVERIFIED_LOOK_UP_INTERVAL_SECONDS = 1.0  # bounds the load on voters while a machine has little contact


class IncarnationLookup:
    """The incarnations of one machine's backend that were looked up, and the heartbeat that waits for it."""

    def __init__(
        self,
        records: EndingRecords,
        take: Callable[[ReceivedHeartbeat, bool], bool],
        on_ended: Callable[[str, Ending], None],
    ) -> None:
        """`take` takes a heartbeat, and returns whether its incarnation is the current one from now on.

        Its second argument tells whether the voters could not be asked. `on_ended` is called with an incarnation that
        had ended before this process started, and how far.
        """
        self._records, self._take, self._on_ended = records, take, on_ended
        self.endings: LRUCache[str, Ending | None] = LRUCache(MAX_INCARNATIONS)  # by id; looked up, or recorded here
        self.knows_mesh = False  # whether it is known which incarnation the process before this one announced
        self._waiting: ReceivedHeartbeat | None = None
        self._unverified_id = ""  # the incarnation that was taken although it could not be looked up
        self._unverified_look_up_at = 0.0  # when that incarnation is looked up again
        self._looking_up = ""  # the incarnation that is being looked up

    def is_known(self, ident: str) -> bool:
        """Whether all is known that speaks for or against an incarnation."""
        return self.knows_mesh and ident in self.endings

    def receive(self, received: ReceivedHeartbeat) -> None:
        """Keep a heartbeat until it is known whether its incarnation has ended."""
        former, self._waiting = self._waiting, received
        if former is not None and former.ident == received.ident:
            self._take(former, True)
            if self._take(received, True):
                self._waiting, self._unverified_id = None, received.ident
        self._look_up()

    def tick(self, now: float) -> None:
        """Look up again what could not be found out."""
        if self._waiting is None and now < self._unverified_look_up_at:
            return
        self._unverified_look_up_at = now + UNVERIFIED_LOOK_UP_INTERVAL_SECONDS
        self._look_up()

    def clear(self) -> None:
        """Drop the heartbeat that waits, as another one was taken."""
        self._waiting = None

    def _look_up(self) -> None:
        """Look up the incarnation of the waiting heartbeat, or the unverified one, unless that is under way."""
        ident = self._unverified_id if self._waiting is None else self._waiting.ident
        if ident in ("", self._looking_up) or ident in self.endings:
            return
        self._looking_up = ident
        self._records.look_up(ident, lambda is_known, ending: self._looked_up(ident, is_known, ending))

    def _looked_up(self, ident: str, is_known: bool, ending: Ending | None) -> None:
        if self._looking_up == ident:
            self._looking_up = ""
        if not is_known:
            return  # `tick` looks it up again.
        self.endings.setdefault(ident, ending)  # It may have ended meanwhile.
        if self._unverified_id == ident:
            self._unverified_id = ""
        if ending is not None:
            self._on_ended(ident, ending)
        self.take_known()

    def take_known(self) -> None:
        """Take the waiting heartbeat if its incarnation is known."""
        waiting = self._waiting
        if waiting is not None and self.is_known(waiting.ident):
            self._waiting = None
            self._take(waiting, False)
