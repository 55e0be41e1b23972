"""What a pool may make of what its registry says, or does not say: decided here, without I/O.

The rule: a removal counts only when a server of the registry has told it, and then at once, however many it takes. What
is merely not heard (a connection lost, a server that hangs, a session that expired, an ensemble that can't be reached)
takes nobody out. Our own session is not the boxes': that it has expired says nothing of theirs.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class ListFreshness(Enum):
    """How far the list can be trusted."""

    NEVER_READ = "not reached yet"  # the pool's fixed list is all that is known
    CURRENT = "followed"
    REREADING = "being read again"  # connected; what happened in the gap is not known yet
    SESSION_MAY_LIVE = "not heard, session may live"  # our own session may still be alive
    SESSION_ENDED = "not heard, session is over"  # as far as we can know, or as a server has said
    STALE = "stale"  # not heard for longer than the pool's stale-after


class RegistryStaleness:
    """One registry's standing with one pool; times are in seconds, of one clock that never steps.

    `say` is given a line for the log whenever operators have something to know, and only then.
    """

    def __init__(self, stale_after: float, log: Callable[[str], None], now: float) -> None:
        self._stale_after = stale_after
        self._log = log
        self._current_at = now  # when the list was last known to be as the registry has it
        self._session_timeout = float("inf")  # of our own session
        self._is_connected = False
        self._is_session_expired = False
        self._has_been_read = False  # whether the list has ever been read
        self._is_current = False
        self._is_stale = False
        self._reason = ""

    def freshness(self, now: float) -> ListFreshness:
        """How things stand."""
        if self._is_current:
            return ListFreshness.CURRENT
        if not self._has_been_read:
            return ListFreshness.NEVER_READ
        if now - self._current_at >= self._stale_after:
            return ListFreshness.STALE
        if self._is_connected:
            return ListFreshness.REREADING
        return (
            ListFreshness.SESSION_ENDED
            if self._is_session_expired or now - self._current_at >= self._session_timeout
            else ListFreshness.SESSION_MAY_LIVE
        )

    def age_seconds(self, now: float) -> float:
        """For how long the list may have been out of date, in seconds."""
        return 0.0 if self._is_current else now - self._current_at

    def next_tick_at(self) -> float:
        """When `tick` is wanted; infinite where nothing is waited for."""
        return float("inf") if self._is_current or self._is_stale else self._current_at + self._stale_after

    # ---- what happens ------------------------------------------------------------------------

    def record_connection(self, session_timeout: float, is_new_session: bool) -> None:
        """A server has taken our session, or given us a fresh one of this time-out."""
        self._is_connected, self._is_session_expired, self._session_timeout = True, False, session_timeout

    def record_disconnection(self, now: float, last_heard_at: float, reason: str) -> None:
        """The connection is over; a server last said something at `heard`."""
        if self._is_current:
            self._current_at = min(now, last_heard_at)
        self._is_connected = self._is_current = False
        if reason != self._reason:
            self._reason = reason
            self._log(f"{self.freshness(now).value}: a server is left: {reason}; {self._retained_list()}")

    def record_session_expiry(self) -> None:
        """A server says that our own session is no more: whatever we registered is gone, and nothing else."""
        self._is_session_expired = True

    def record_list_read(self, now: float, backend_count: int) -> None:
        """Everything has been read: the list is as the registry has it. It counts, also where it is empty."""
        if not backend_count:
            self._log("the registry holds no box; its folder is empty or gone, and so is the pool")
        elif not self._has_been_read or self._is_stale or self._reason:
            self._log(f"the registry is followed; {backend_count} boxes")
        self._reason = ""
        self._has_been_read = self._is_current = True
        self._is_stale = False
        self._current_at = now

    def record_read_failure(self, reason: str) -> None:
        """Connected, but the folder can't be read: not a removal."""
        if reason != self._reason:
            self._reason = reason
            self._log(f"the folder can't be read: {reason}; {self._retained_list()}")

    def tick(self, now: float) -> None:
        """Show a list that has become stale, once."""
        if now >= self.next_tick_at():
            self._is_stale = True
            self._log(f"stale: the registry was not heard for {self.age_seconds(now):.1f} s; {self._retained_list()}")

    def _retained_list(self) -> str:
        return "the last list stays" if self._has_been_read else "the pool's fixed list stays"
