"""How a new voter becomes complete: it takes over what a majority of the voters before it know.

A voter of the epoch before that knows the present one accepts nothing in an older one any more. Whatever was decided in
that epoch was accepted by one of any majority of its voters, and whatever was decided in older epochs is known to each
of them that was complete, so that one of these must be among those who report. The same argument as for reservations
(`control.reservation_catch_up`).

Coordination begins in the first epoch of a new mesh. A mesh whose disks are from a build without it begins in the epoch
in which all voters, and all voters of the epoch before, say that they know of no beginning.
"""

from __future__ import annotations

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.messages.coordination import AcceptorReport, FetchAcceptor
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor

RETRY_DELAY_SECONDS = 0.3  # without a report until a voter is asked again


class VoterCatchUp:
    """The reports that one node has received in its present epoch."""

    def __init__(self, replica: Replica, acceptor: CoordinationAcceptor) -> None:
        self._replica, self._acceptor = replica, acceptor
        self._epoch = 0
        self._reports: dict[str, AcceptorReport] = {}
        self._asked_at: dict[str, float] = {}

    @property
    def is_due(self) -> bool:
        """Whether this node has a vote and is not complete."""
        return self._replica.is_voter and not self._acceptor.is_complete

    def sources(self) -> set[str]:
        """The IP numbers of the nodes to ask: the voters of this epoch and of the one before."""
        membership = self._replica.membership
        if membership is None or not self.is_due:
            return set()
        ips = {voter.ip for voter in [*membership.voters, *membership.previous_voters]}
        return ips - {self._replica.voter.ip}

    def tick(self, now: float) -> Effects:
        """Ask each source that has not reported for a while."""
        self._follow_epoch()
        effects = Effects()
        for ip in sorted(self.sources()):
            if now - self._asked_at.get(ip, float("-inf")) >= RETRY_DELAY_SECONDS:
                self._asked_at[ip] = now
                effects.send.append((ip, FetchAcceptor(self._epoch)))
        return effects

    def _follow_epoch(self) -> None:
        if self._epoch != self._replica.epoch or not self.is_due:
            self._epoch = self._replica.epoch
            self._reports.clear()
            self._asked_at.clear()

    def disconnected(self, ip: str) -> None:
        """The connection to a node has ended: ask it again once there is another."""
        self._asked_at.pop(ip, None)

    def receive(self, now: float, ip: str, report: AcceptorReport) -> Effects:
        """Take a report; with enough of them the node becomes complete."""
        self._follow_epoch()
        membership = self._replica.membership
        if membership is None or report.epoch != self._epoch or ip not in self.sources():
            return Effects()
        self._reports[ip] = report
        if self._begins_here():
            return self._acceptor.become_complete(self._epoch)
        previous = {voter.ip for voter in membership.previous_voters}
        reports = [report for ip, report in self._reports.items() if ip in previous and report.is_previous_voter]
        # This node accepted nothing in the epoch before, if it had a vote then: it was not complete.
        answered = len(reports) + self._replica.was_voter
        if answered < majority(len(previous)) or not any(report.was_complete for report in reports):
            return Effects()
        genesis = max(report.genesis_epoch for report in reports)
        return self._acceptor.take_reports(now, reports, genesis)

    def _begins_here(self) -> bool:
        """Whether coordination begins in this epoch, so that there is nothing to take over."""
        reports = self._reports.values()
        if any(report.genesis_epoch == self._epoch for report in reports):
            return True
        is_unknown_to_all = all(report.genesis_epoch == 0 for report in reports) and not self._acceptor.genesis_epoch
        return is_unknown_to_all and self.sources() <= self._reports.keys()

    def knows_of_beginning(self) -> bool:
        """Whether coordination has begun, as far as this node has heard."""
        return bool(self._acceptor.genesis_epoch) or any(r.genesis_epoch for r in self._reports.values())


def voters_of(membership: Membership | None) -> set[str]:
    """The IP numbers of the voters of a membership."""
    return set() if membership is None else {voter.ip for voter in membership.voters}
