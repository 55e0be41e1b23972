"""How a new voter becomes complete: it adopts what a majority of the previous epoch's voters know.

A voter of the previous epoch that knows the current one accepts nothing in an older epoch any more. Whatever was
decided in the previous epoch was accepted by at least one voter of any majority of its voters. Whatever was decided in
older epochs is known to each of these voters that was complete, so that one of those must be among the voters that
report. The same argument holds for reservations (`control.reservation_catch_up`).

Coordination begins in the first epoch of a new mesh. In a mesh whose disks were written by a build without
coordination, it begins in the epoch in which all voters, and all voters of the previous epoch, report that they know of
no beginning.
"""

from __future__ import annotations

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.messages.coordination import AcceptorReport, FetchAcceptor
from lugspur.mesh.control.quorum import majority
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor

RETRY_DELAY_SECONDS = 0.3  # minimum time between two requests for a report to the same node


class VoterCatchUp:
    """The reports that one node has received in its current epoch."""

    def __init__(self, replica: Replica, acceptor: CoordinationAcceptor) -> None:
        self._replica, self._acceptor = replica, acceptor
        self._epoch = 0
        self._reports: dict[str, AcceptorReport] = {}
        self._requested_at: dict[str, float] = {}

    @property
    def is_needed(self) -> bool:
        """Whether this node has a vote and is not complete."""
        return self._replica.is_voter and not self._acceptor.is_complete

    def sources(self) -> set[str]:
        """Return the IP addresses of the nodes to ask: the other voters of this epoch and of the previous one."""
        membership = self._replica.membership
        if membership is None or not self.is_needed:
            return set()
        ips = {voter.ip for voter in [*membership.voters, *membership.previous_voters]}
        return ips - {self._replica.voter.ip}

    def tick(self, now: float) -> Effects:
        """Request a report from each source that was not asked within the retry delay."""
        self._follow_epoch()
        effects = Effects()
        for ip in sorted(self.sources()):
            if now - self._requested_at.get(ip, float("-inf")) >= RETRY_DELAY_SECONDS:
                self._requested_at[ip] = now
                effects.send.append((ip, FetchAcceptor(self._epoch)))
        return effects

    def _follow_epoch(self) -> None:
        if self._epoch != self._replica.epoch or not self.is_needed:
            self._epoch = self._replica.epoch
            self._reports.clear()
            self._requested_at.clear()

    def disconnected(self, ip: str) -> None:
        """Forget the request to a node whose connection has ended, so that it is asked again."""
        self._requested_at.pop(ip, None)

    def receive(self, now: float, ip: str, report: AcceptorReport) -> Effects:
        """Handle a report; with enough reports this node becomes complete."""
        self._follow_epoch()
        membership = self._replica.membership
        if membership is None or report.epoch != self._epoch or ip not in self.sources():
            return Effects()
        self._reports[ip] = report
        if self._begins_in_this_epoch():
            return self._acceptor.become_complete(self._epoch)
        previous = {voter.ip for voter in membership.previous_voters}
        reports = [report for ip, report in self._reports.items() if ip in previous and report.is_previous_voter]
        # If this node had a vote in the previous epoch it accepted nothing there, as it was not complete.
        report_count = len(reports) + self._replica.was_voter
        if report_count < majority(len(previous)) or not any(report.was_complete for report in reports):
            return Effects()
        genesis = max(report.genesis_epoch for report in reports)
        return self._acceptor.adopt_reports(now, reports, genesis)

    def _begins_in_this_epoch(self) -> bool:
        """Whether coordination begins in this epoch, so that there is nothing to adopt."""
        reports = self._reports.values()
        if any(report.genesis_epoch == self._epoch for report in reports):
            return True
        is_unknown_to_all = all(report.genesis_epoch == 0 for report in reports) and not self._acceptor.genesis_epoch
        return is_unknown_to_all and self.sources() <= self._reports.keys()

    def knows_genesis(self) -> bool:
        """Whether this node knows, by itself or by a report, that coordination has begun."""
        return bool(self._acceptor.genesis_epoch) or any(r.genesis_epoch for r in self._reports.values())


def voter_ips(membership: Membership | None) -> set[str]:
    """Return the IP addresses of the voters of a membership."""
    return set() if membership is None else {voter.ip for voter in membership.voters}
