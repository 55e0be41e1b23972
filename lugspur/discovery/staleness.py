"""Staleness of the endpoint list that a pool last read from a registry. No I/O.

A backend is removed only when a server of the registry has reported its removal, and then at once, however many
backends are removed with it. A lost connection, a server that hangs, an expired session or an unreachable ensemble
removes no backend. The proxy's own session is independent of the backends' sessions: its expiry does not mean that
theirs have expired.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class ListFreshness(Enum):
    """State of the list; the values appear in the log."""

    #: The registry has not been read yet; only the pool's static members are known.
    NEVER_READ = "not reached yet"
    CURRENT = "followed"
    #: Reconnected; changes during the disconnection are unknown until everything has been read.
    REREADING = "being read again"
    #: Disconnected for less than the timeout of the proxy's own session.
    SESSION_MAY_LIVE = "the session may be alive"
    #: Disconnected for longer than that timeout, or a server has reported that the session expired.
    SESSION_ENDED = "the session has ended"
    #: Not current for longer than the pool's `stale-after`.
    STALE = "stale"


class RegistryStaleness:
    """Tracks for how long the list of one pool has not been confirmed by its registry.

    All times are seconds of one monotonic clock; callers pass the current time.
    """

    def __init__(self, stale_after: float, log: Callable[[str], None], now: float) -> None:
        """Start at `now` without a list.

        stale_after: seconds without confirmation after which the list is reported as stale.
        log: called with each line for the log.
        """
        self._stale_after = stale_after
        self._log = log
        self._current_at = now  # when the list was last known to be up to date
        self._session_timeout = float("inf")
        self._is_connected = False
        self._is_session_expired = False
        self._has_been_read = False
        self._is_current = False
        self._is_stale = False
        self._reason = ""  # the last reason that was logged; a repeated reason is not logged again

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
        """Return the time at which `tick` has to be called; infinity if no call is needed."""
        return float("inf") if self._is_current or self._is_stale else self._current_at + self._stale_after

    # ---- events ------------------------------------------------------------------------------

    def record_connection(self, session_timeout: float) -> None:
        """Record that a server has accepted the session, new or resumed, with this timeout in seconds."""
        self._is_connected = True
        self._is_session_expired = False
        self._session_timeout = session_timeout

    def record_disconnection(self, now: float, last_heard_at: float, reason: str) -> None:
        """Record that the connection has ended; the last data of a server was received at `last_heard_at`."""
        if self._is_current:
            self._current_at = min(now, last_heard_at)
        self._is_connected = self._is_current = False
        if reason != self._reason:
            self._reason = reason
            self._log(f"disconnected ({self.freshness(now).value}): {reason}; {self._retained_list()}")

    def record_session_expiry(self) -> None:
        """Record that the proxy's own session has expired, which deletes only the proxy's own nodes."""
        self._is_session_expired = True

    def record_list_read(self, now: float, backend_count: int) -> None:
        """Record that all nodes have been read: the list is up to date, even if it is empty."""
        if not backend_count:
            self._log("the registry holds no backend: its directory is empty or deleted, and the pool is empty")
        elif not self._has_been_read or self._is_stale or self._reason:
            self._log(f"the registry is followed; {backend_count} backends")
        self._reason = ""
        self._has_been_read = self._is_current = True
        self._is_stale = False
        self._current_at = now

    def record_read_failure(self, reason: str) -> None:
        """Record that the directory cannot be read although a server is connected; that removes no backend."""
        if reason != self._reason:
            self._reason = reason
            self._log(f"the directory cannot be read: {reason}; {self._retained_list()}")

    def tick(self, now: float) -> None:
        """If the list has become stale, log that once."""
        if now >= self.next_tick_at():
            self._is_stale = True
            self._log(f"stale: no data from the registry for {self.age_seconds(now):.1f} s; {self._retained_list()}")

    def _retained_list(self) -> str:
        return "the last list stays" if self._has_been_read else "the pool's static list stays"
