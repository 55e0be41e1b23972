"""What a pool may make of what its registry says, or does not say: decided here, without I/O.

The rule: a removal counts only when a server of the registry has told it, and then at once, however many it takes. What
is merely not heard (a connection lost, a server that hangs, a session that expired, an ensemble that can't be reached)
takes nobody out. Our own session is not the boxes': that it has expired says nothing of theirs.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Standing(Enum):
    """How far the list can be trusted."""

    NEVER = "not reached yet"  # the pool's fixed list is all that is known
    FOLLOWING = "followed"
    READING = "being read again"  # connected; what happened in the gap is not known yet
    DOUBT = "not heard, session may live"  # our own session may still be alive
    LOST = "not heard, session is over"  # as far as we can know, or as a server has said
    STALE = "stale"  # not heard for longer than the pool's stale-after


class Doubt:
    """One registry's standing with one pool; times are in seconds, of one clock that never steps.

    `say` is given a line for the log whenever operators have something to know, and only then.
    """

    def __init__(self, stale_after: float, say: Callable[[str], None], now: float) -> None:
        self._stale_after = stale_after
        self._say = say
        self._since = now  # when the list was last known to be as the registry has it
        self._timeout = float("inf")  # of our own session
        self._connected = False
        self._expired = False
        self._read = False  # whether the list has ever been read
        self._followed = False
        self._stale = False
        self._reason = ""

    def standing(self, now: float) -> Standing:
        """How things stand."""
        if self._followed:
            return Standing.FOLLOWING
        if not self._read:
            return Standing.NEVER
        if now - self._since >= self._stale_after:
            return Standing.STALE
        if self._connected:
            return Standing.READING
        return Standing.LOST if self._expired or now - self._since >= self._timeout else Standing.DOUBT

    def age(self, now: float) -> float:
        """For how long the list may have been out of date, in seconds."""
        return 0.0 if self._followed else now - self._since

    def due(self) -> float:
        """When `tick` is wanted; infinite where nothing is waited for."""
        return float("inf") if self._followed or self._stale else self._since + self._stale_after

    # ---- what happens ------------------------------------------------------------------------

    def up(self, timeout: float, fresh: bool) -> None:
        """A server has taken our session, or given us a fresh one of this time-out."""
        self._connected, self._expired, self._timeout = True, False, timeout

    def down(self, now: float, heard: float, reason: str) -> None:
        """The connection is over; a server last said something at `heard`."""
        if self._followed:
            self._since = min(now, heard)
        self._connected = self._followed = False
        if reason != self._reason:
            self._reason = reason
            self._say(f"{self.standing(now).value}: a server is left: {reason}; {self._kept()}")

    def expired(self) -> None:
        """A server says that our own session is no more: whatever we registered is gone, and nothing else."""
        self._expired = True

    def whole(self, now: float, boxes: int) -> None:
        """Everything has been read: the list is as the registry has it. It counts, also where it is empty."""
        if not boxes:
            self._say("the registry holds no box; its folder is empty or gone, and so is the pool")
        elif not self._read or self._stale or self._reason:
            self._say(f"the registry is followed; {boxes} boxes")
        self._reason = ""
        self._read = self._followed = True
        self._stale = False
        self._since = now

    def unread(self, reason: str) -> None:
        """Connected, but the folder can't be read: not a removal."""
        if reason != self._reason:
            self._reason = reason
            self._say(f"the folder can't be read: {reason}; {self._kept()}")

    def tick(self, now: float) -> None:
        """Show a list that has become stale, once."""
        if now >= self.due():
            self._stale = True
            self._say(f"stale: the registry was not heard for {self.age(now):.1f} s; {self._kept()}")

    def _kept(self) -> str:
        return "the last list stays" if self._read else "the pool's fixed list stays"
