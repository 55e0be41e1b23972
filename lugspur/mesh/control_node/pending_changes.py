"""Resolves changes that were accepted and, after a delay, are still not known to be decided."""

from __future__ import annotations

from collections.abc import Callable

from lugspur.mesh.control.replica import Replica

#: How long a change may be accepted without being decided until the first voter resolves it. Each further voter waits
#: longer by the same time, so that the voters don't all propose at once.
MAX_PENDING_SECONDS = 0.1


class PendingChanges:
    """Measures how long a change has been pending; `resolve` has the proposer decide it or rule it out."""

    def __init__(self, ip: str, replica: Replica, resolve: Callable[[float], None]) -> None:
        self._ip, self._replica, self._resolve = ip, replica, resolve
        self._pending_since: float | None = None

    def replica_advanced(self) -> None:
        """Reset the time, since the replica has learned of further decided changes."""
        self._pending_since = None

    def report_pending(self, now: float) -> None:
        """Resolve a change if it was pending for long: a minority, or unnoticed a majority, has accepted it."""
        if self._pending_since is None:
            self._pending_since = now
        elif now - self._pending_since > MAX_PENDING_SECONDS:
            self._pending_since = now
            self._resolve(now)

    def tick(self, now: float) -> None:
        """Resolve a change that this replica itself accepted too long ago."""
        membership = self._replica.membership
        if membership is None or not self._replica.is_voter or not self._replica.register.has_pending_change:
            self._pending_since = None
            return
        rank = [voter.ip for voter in membership.voters].index(self._ip)
        if self._pending_since is None:
            self._pending_since = now + MAX_PENDING_SECONDS * rank
        else:
            self.report_pending(now)
