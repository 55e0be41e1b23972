"""Changes that were accepted and are not known to be decided: after a while this control node finishes them."""

from __future__ import annotations

from collections.abc import Callable

from lugspur.mesh.control.replica import Replica

MAX_PENDING_SECONDS = 0.1  # how long a change may be accepted and not decided before a voter of rank 0 finishes it


class PendingChanges:
    """Measures how long a change has been pending; `finish` has the proposer decide it, or give it up."""

    def __init__(self, ip: str, replica: Replica, finish: Callable[[float], None]) -> None:
        self._ip, self._replica, self._finish = ip, replica, finish
        self._since: float | None = None

    def advanced(self) -> None:
        """The replica knows of further changes."""
        self._since = None

    def seen(self, now: float) -> None:
        """Something was accepted by a minority, or by a majority that nobody has heard of."""
        if self._since is None:
            self._since = now
        elif now - self._since > MAX_PENDING_SECONDS:
            self._since = now
            self._finish(now)

    def look(self, now: float) -> None:
        """Finish what this replica itself has accepted for too long."""
        membership = self._replica.membership
        if membership is None or not self._replica.is_voter or not self._replica.register.has_pending_change:
            self._since = None
            return
        rank = [voter.ip for voter in membership.voters].index(self._ip)
        if self._since is None:
            self._since = now + MAX_PENDING_SECONDS * rank  # one after the other, not all at once
        else:
            self.seen(now)
