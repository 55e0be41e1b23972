"""When a voter proposes the next membership, without I/O; what it is, `membership` says.

How long a voter may be silent until its vote goes to another follows from the settings. A machine that is replaced
counts as lost until its successor has run for `catch_up_s`; after that another one may be lost, with its disk. By then
the vote must have moved and the successor must hold all claims, which takes `CHANGE_TAKES`.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from lugspur.mesh.control.voter_membership import Presence, Situation, Tolerance, next_membership
from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.replica import Replica

CHANGE_DURATION_SECONDS = 1.5  # seconds: a process that starts, two rounds of agreement, claims that are read
MIN_ABSENCE_TIMEOUT_SECONDS = 1.0  # seconds: a shorter silence is an ordinary restart
SETTLING_SECONDS = 0.3  # seconds that a membership stands before it is changed: news of it has to get round
RANK_DELAY_SECONDS = 0.25  # seconds by which each voter lets the one before it go first
RETRY_DELAY_SECONDS = 1.0  # seconds until a step that was proposed is proposed again
AVOIDANCE_SECONDS = (
    10.0  # seconds for which a replica that was silent is not given a vote again, where there is another
)


def absence_timeout(catch_up_s: float, contact_s: float) -> float:
    """Seconds that a voter may be out of reach, by the settings."""
    return max(
        MIN_ABSENCE_TIMEOUT_SECONDS, min(catch_up_s - CHANGE_DURATION_SECONDS, contact_s + CHANGE_DURATION_SECONDS)
    )


def leaves_time(catch_up_s: float) -> bool:
    """Whether a lost voter can be replaced before the next loss; else two losses may meet (see docs/control.md)."""
    return catch_up_s >= MIN_ABSENCE_TIMEOUT_SECONDS + CHANGE_DURATION_SECONDS


class Reconfiguration:
    """The steps that one voter proposes."""

    def __init__(
        self, replica: Replica, tolerance: Tolerance, absence_timeout: float, regions: Mapping[str, str] | None = None
    ) -> None:
        """`patience`: seconds that a voter may be silent; `regions`: the region of each zone."""
        self._replica = replica
        self._regions = regions or {}
        self.tolerance = tolerance
        self.absence_timeout = absence_timeout
        self._epoch = 0
        self._epoch_since = 0.0
        self._propose_at = 0.0
        self._removed: dict[str, float] = {}  # voters that were silent, and when their votes were to go

    def next_step(
        self,
        now: float,
        presences: Mapping[str, Presence],
        complete: AbstractSet[str],
        absent: Mapping[str, float],
    ) -> Membership | None:
        """The step to propose now. `complete`: voters that have lately said so; `absent`: seconds out of reach."""
        replica = self._replica
        membership = replica.membership
        if membership is None or not replica.is_voter:
            return None
        if membership.epoch != self._epoch:
            self._epoch, self._epoch_since, self._propose_at = membership.epoch, now, 0.0
        voters = {voter.ip for voter in membership.voters}
        own = {replica.voter.ip} if replica.is_complete else set()
        situation = Situation(
            membership,
            presences,
            absent,
            self.absence_timeout,
            (complete & voters) | own,
            now - self._epoch_since > self.absence_timeout,
            self.tolerance,
            {ip for ip, at in self._removed.items() if now - at < AVOIDANCE_SECONDS},
            self._regions,
            replica.register.size_bytes,
        )
        step = next_membership(situation)
        if step is None:
            self._propose_at = 0.0
            return None
        if not self._propose_at:
            rank = [voter.ip for voter in membership.voters].index(replica.voter.ip)
            self._propose_at = max(now, self._epoch_since + SETTLING_SECONDS) + RANK_DELAY_SECONDS * rank
        if now < self._propose_at:
            return None
        self._propose_at = now + RETRY_DELAY_SECONDS
        for voter in membership.voters:
            if voter not in step.voters and absent.get(voter.ip, 0.0) > self.absence_timeout:
                self._removed[voter.ip] = now
        return step
