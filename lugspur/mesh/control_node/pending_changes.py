"""Changes that were accepted and are not known to be decided: after a while this control node resolves them."""

from __future__ import annotations

from collections.abc import Callable

from lugspur.mesh.control.replica import Replica

#: Seconds that a change may be accepted and not decided before the first voter resolves it; the others wait longer by
#: as much for each voter before them, so that not all propose at once.
MAX_PENDING_SECONDS = 0.1


class PendingChanges:
    """Measures how long a change has been pending; `resolve` has the proposer decide it, or give it up."""

    def __init__(self, ip: str, replica: Replica, resolve: Callable[[float], None]) -> None:
        self._ip, self._replica, self._resolve = ip, replica, resolve
        self._pending_since: float | None = None

    def replica_advanced(self) -> None:
        """The replica knows of further decided changes."""
        self._pending_since = None

    def found_pending(self, now: float) -> None:
        """A change is accepted by a minority, or by a majority without anybody knowing: resolve it after a while."""
        if self._pending_since is None:
            self._pending_since = now
        elif now - self._pending_since > MAX_PENDING_SECONDS:
            self._pending_since = now
            self._resolve(now)

    def tick(self, now: float) -> None:
        """Resolve what this replica itself has accepted for too long."""
        membership = self._replica.membership
        if membership is None or not self._replica.is_voter or not self._replica.register.has_pending_change:
            self._pending_since = None
            return
        rank = [voter.ip for voter in membership.voters].index(self._ip)
        if self._pending_since is None:
            self._pending_since = now + MAX_PENDING_SECONDS * rank
        else:
            self.found_pending(now)
