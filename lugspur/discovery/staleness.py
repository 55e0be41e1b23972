"""How far a pool may trust the endpoint list that it last read from a registry. No I/O.

A backend is removed only when a server of the registry has reported its removal, and then at once, however many
backends go with it. A connection that is lost, a server that hangs, a session that expired or an ensemble that cannot
be reached removes nobody. The proxy's own session says nothing of the backends' sessions: that it has expired does
not mean that theirs have.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class ListFreshness(Enum):
    """State of the list; the values are texts of the log."""

    #: The registry has not been read yet; only the pool's static members are known.
    NEVER_READ = "not reached yet"
    CURRENT = "followed"
    #: Connected again; changes that were made during the gap are not known until everything has been read.
    REREADING = "being read again"
    #: Disconnected for less than the time-out of the proxy's own session.
    SESSION_MAY_LIVE = "not heard, session may live"
    #: Disconnected for longer than that time-out, or a server has reported that the session expired.
    SESSION_ENDED = "not heard, session is over"
    #: Not current for longer than the pool's `stale-after`.
    STALE = "stale"


class RegistryStaleness:
    """Tracks how long the list of one pool has not been confirmed by its registry.

    All times are seconds of one monotonic clock; callers pass the present time in.
    """

    def __init__(self, stale_after: float, log: Callable[[str], None], now: float) -> None:
        """Begin at `now` without a list.

        stale_after: seconds without confirmation after which the list is reported as stale.
        log: called with one line each time when operators have something to know.
        """
        self._stale_after = stale_after
        self._log = log
        self._current_at = now  # when the list was last known to equal the registry's
        self._session_timeout = float("inf")
        self._is_connected = False
        self._is_session_expired = False
        self._has_been_read = False
        self._is_current = False
        self._is_stale = False
        self._reason = ""  # the last reason that was logged, so that it is logged once

    def freshness(self, now: float) -> ListFreshness:
        """Return the state of the list at `now`."""
        if self._is_current:
            return ListFreshness.CURRENT
        if not self._has_been_read:
            return ListFreshness.NEVER_READ
        age = self.age_seconds(now)
        if age >= self._stale_after:
            return ListFreshness.STALE
        if self._is_connected:
            return ListFreshness.REREADING
        if self._is_session_expired or age >= self._session_timeout:
            return ListFreshness.SESSION_ENDED
        return ListFreshness.SESSION_MAY_LIVE

    def age_seconds(self, now: float) -> float:
        """Return the seconds for which the list may have been out of date; 0 while it is current."""
        return 0.0 if self._is_current else now - self._current_at

    def next_tick_at(self) -> float:
        """Return the time at which `tick` has to be called; infinite where nothing is pending."""
        return float("inf") if self._is_current or self._is_stale else self._current_at + self._stale_after

    # ---- events ------------------------------------------------------------------------------

    def record_connection(self, session_timeout: float) -> None:
        """Note that a server has accepted the session, new or resumed, with this time-out in seconds."""
        self._is_connected = True
        self._is_session_expired = False
        self._session_timeout = session_timeout

    def record_disconnection(self, now: float, last_heard_at: float, reason: str) -> None:
        """Note that the connection has ended; a server was last heard at `last_heard_at`."""
        if self._is_current:
            self._current_at = min(now, last_heard_at)
        self._is_connected = self._is_current = False
        if reason != self._reason:
            self._reason = reason
            self._log(f"{self.freshness(now).value}: a server is left: {reason}; {self._retained_list()}")

    def record_session_expiry(self) -> None:
        """Note that the proxy's own session has expired, which ends nothing but the proxy's own nodes."""
        self._is_session_expired = True

    def record_list_read(self, now: float, backend_count: int) -> None:
        """Note that all nodes have been read: the list equals the registry's, also where it is empty."""
        if not backend_count:
            self._log("the registry holds no box; its folder is empty or gone, and so is the pool")
        elif not self._has_been_read or self._is_stale or self._reason:
            self._log(f"the registry is followed; {backend_count} boxes")
        self._reason = ""
        self._has_been_read = self._is_current = True
        self._is_stale = False
        self._current_at = now

    def record_read_failure(self, reason: str) -> None:
        """Note that the directory cannot be read though a server is connected; that removes no backend."""
        if reason != self._reason:
            self._reason = reason
            self._log(f"the folder can't be read: {reason}; {self._retained_list()}")

    def tick(self, now: float) -> None:
        """Log once that the list has become stale, if it has."""
        if now >= self.next_tick_at():
            self._is_stale = True
            self._log(f"stale: the registry was not heard for {self.age_seconds(now):.1f} s; {self._retained_list()}")

    def _retained_list(self) -> str:
        return "the last list stays" if self._has_been_read else "the pool's fixed list stays"
