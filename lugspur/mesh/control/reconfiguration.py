"""When a voter proposes the next membership, without I/O; `voter_membership` decides what that membership is.

The time for which a voter may be unreachable before another replica gets its vote follows from the settings. A machine
that is replaced counts as lost until its successor has run for `catch_up_s`; after that another machine may be lost,
with its disk. By then the vote must have moved and the successor must hold all reservations, which takes
`CHANGE_DURATION_SECONDS`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet

from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.voter_membership import ClusterView, Presence, Tolerance, next_membership

#: Time that it takes to move a vote: the start of a process, two rounds of agreement, and reading the reservations.
CHANGE_DURATION_SECONDS = 1.5
#: Lower bound of the absence timeout; a shorter absence is an ordinary restart.
MIN_ABSENCE_TIMEOUT_SECONDS = 1.0
#: Minimum age of a membership before it is changed again, so that all voters have learned it.
SETTLING_SECONDS = 0.3
#: Delay by which each voter lets the voter of the preceding rank propose first.
RANK_DELAY_SECONDS = 0.25
#: Delay after which an undecided step is proposed again.
RETRY_DELAY_SECONDS = 1.0
#: Time for which a replica that was unreachable gets no vote if there is another candidate.
AVOIDANCE_SECONDS = 10.0


def absence_timeout(catch_up_s: float, contact_s: float) -> float:
    """Return the seconds for which a voter may be unreachable, by two values of the settings."""
    return max(
        MIN_ABSENCE_TIMEOUT_SECONDS, min(catch_up_s - CHANGE_DURATION_SECONDS, contact_s + CHANGE_DURATION_SECONDS)
    )


def allows_timely_replacement(catch_up_s: float) -> bool:
    """Whether a lost voter can be replaced before the next loss; if not, two losses may overlap (docs/control.md)."""
    return catch_up_s >= MIN_ABSENCE_TIMEOUT_SECONDS + CHANGE_DURATION_SECONDS


class Reconfiguration:
    """The membership changes that one voter proposes."""

    def __init__(
        self,
        replica: Replica,
        tolerance: Tolerance,
        absence_timeout: float,
        regions: Mapping[str, str] | None = None,
        is_complete: Callable[[], bool] | None = None,
    ) -> None:
        """`absence_timeout`: seconds for which a voter may be unreachable; `regions`: the region of each zone.

        `is_complete`: tells whether this voter holds everything that a voter must hold; default: `Replica.is_complete`.
        """
        self._replica = replica
        self._is_complete = is_complete or (lambda: replica.is_complete)
        self._regions = regions or {}
        self.tolerance = tolerance
        self.absence_timeout = absence_timeout
        self._epoch = 0
        self._epoch_since = 0.0
        self._propose_at = 0.0
        self._removed_at: dict[str, float] = {}  # when the replacement of each unreachable voter was proposed

    def next_step(
        self,
        now: float,
        presences: Mapping[str, Presence],
        complete: AbstractSet[str],
        absence_seconds: Mapping[str, float],
    ) -> Membership | None:
        """Return the membership to propose now, or None.

        `complete`: voters that have recently reported that they hold all reservations; `absence_seconds`: seconds for
        which each voter has been unreachable.
        """
        membership = self._replica.membership
        if membership is None or not self._replica.is_voter:
            return None
        if membership.epoch != self._epoch:
            self._epoch, self._epoch_since, self._propose_at = membership.epoch, now, 0.0
        step = next_membership(self._cluster_view(now, membership, presences, complete, absence_seconds))
        if step is None:
            self._propose_at = 0.0
            return None
        if not self._is_due(now, membership):
            return None
        for voter in membership.voters:
            if voter not in step.voters and absence_seconds.get(voter.ip, 0.0) > self.absence_timeout:
                self._removed_at[voter.ip] = now
        return step

    def _cluster_view(
        self,
        now: float,
        membership: Membership,
        presences: Mapping[str, Presence],
        complete: AbstractSet[str],
        absence_seconds: Mapping[str, float],
    ) -> ClusterView:
        replica = self._replica
        voters = {voter.ip for voter in membership.voters}
        own = {replica.voter.ip} if self._is_complete() else set()
        return ClusterView(
            membership=membership,
            presences=presences,
            absence_seconds=absence_seconds,
            absence_timeout=self.absence_timeout,
            complete_voters=(complete & voters) | own,
            is_overdue=now - self._epoch_since > self.absence_timeout,
            tolerance=self.tolerance,
            recently_absent={ip for ip, at in self._removed_at.items() if now - at < AVOIDANCE_SECONDS},
            regions=self._regions,
            configuration_bytes=replica.register.size_bytes,
        )

    def _is_due(self, now: float, membership: Membership) -> bool:
        """Whether it is this voter's turn to propose; if so, sets the time of its next turn."""
        if not self._propose_at:
            rank = [voter.ip for voter in membership.voters].index(self._replica.voter.ip)
            self._propose_at = max(now, self._epoch_since + SETTLING_SECONDS) + RANK_DELAY_SECONDS * rank
        if now < self._propose_at:
            return False
        self._propose_at = now + RETRY_DELAY_SECONDS
        return True
