"""How a new voter becomes complete: it adopts what the voters of earlier epochs know.

A voter of an earlier epoch that knows the current one accepts nothing in an older epoch any more. Whatever was decided
was accepted by a majority of the voters of one epoch, and a voter that stays may not know it. How many of the voters of
earlier epochs have to report, and why: `control.catch_up_quorum`. The same holds for reservations.

Coordination begins in the first epoch of a new mesh. In a mesh whose disks were written by a build without
coordination, it begins in the epoch in which all voters, and all voters of the previous epoch, report that they know of
no beginning.
"""

from __future__ import annotations

from collections.abc import Mapping

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.messages.coordination import AcceptorReport, FetchAcceptor
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
        """Return the IP addresses of the nodes to ask: the other voters of this epoch and of the earlier ones."""
        quorum = self._replica.catch_up_quorum
        if quorum is None or not self.is_needed:
            return set()
        return (voter_ips(self._replica.membership) | quorum.sources) - {self._replica.voter.ip}

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
        if report.epoch != self._epoch or ip not in self.sources():
            return Effects()
        self._reports[ip] = report
        if self._begins_in_this_epoch():
            return self._acceptor.become_complete(self._epoch)
        reports = {ip: report for ip, report in self._reports.items() if report.is_past_voter}
        if not reports or not self._is_enough(reports):
            return Effects()
        genesis = max(report.genesis_epoch for report in reports.values())
        return self._acceptor.adopt_reports(now, list(reports.values()), genesis)

    def _is_enough(self, reports: Mapping[str, AcceptorReport]) -> bool:
        """Whether these reports, together with what this node knows itself, make it complete."""
        replica = self._replica
        was_complete = {ip: report.was_complete for ip, report in reports.items()}
        if replica.is_source:
            was_complete[replica.voter.ip] = self._acceptor.was_complete
        return replica.catch_up_quorum is not None and replica.catch_up_quorum.is_reached(was_complete)

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
