"""Tracks which voters are heard and complete, and proposes the next step of the membership when one is due."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lugspur.mesh import events
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome
from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.items import CONTROL
from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.reconfiguration import Reconfiguration
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.store import Store
from lugspur.mesh.control.voter_membership import Presence
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS
from lugspur.mesh.process_pause import PauseDetector

_presence_decoder = msgspec.msgpack.Decoder(Presence)


def presences_of(store: Store) -> dict[str, Presence]:
    """Return the presences that control nodes have announced, by IP address."""
    return {ip: _presence_decoder.decode(value) for ip, value in store.values_of(CONTROL).items()}


class MembershipChanges:
    """Proposes the steps of a reconfiguration of the voters."""

    def __init__(
        self,
        ip: str,
        *,
        replica: Replica,
        reconfiguration: Reconfiguration,
        store: Store,
        freshness: Freshness,
        max_staleness: float,
        pause_detector: PauseDetector,
        propose: Callable[[float, ChangeRequest], None],
    ) -> None:
        """`max_staleness`: the age in seconds from which on a voter's latest update is no longer relied on."""
        self._ip, self._replica, self._reconfiguration, self._store = ip, replica, reconfiguration, store
        self._freshness, self._max_staleness = freshness, max_staleness
        self._pause_detector, self._propose = pause_detector, propose
        #: When each voter was last heard; for a voter that was never heard, when it was first expected.
        self._last_heard_at: dict[str, float] = {}
        self._complete_epochs: dict[str, int] = {}  # the epoch for which each peer has reported that it is complete

    def message_received(self, now: float, ip: str) -> None:
        """Record that a peer has sent a message of any kind."""
        self._last_heard_at[ip] = now

    def record_complete_epoch(self, ip: str, epoch: int) -> None:
        """Record the epoch for which a peer has reported that it has all that a voter must have."""
        self._complete_epochs[ip] = epoch

    def disconnected(self, ip: str) -> None:
        """Forget the completeness of a peer whose connection has ended."""
        self._complete_epochs.pop(ip, None)

    def membership_changed(self, membership: Membership | None) -> None:
        """Forget when nodes were last heard that are no voters of the new membership."""
        voters = {voter.ip for voter in membership.voters} if membership is not None else set()
        self._last_heard_at = {ip: at for ip, at in self._last_heard_at.items() if ip in voters}

    def tick(self, now: float) -> None:
        """Propose the next step of the membership if one is due."""
        membership = self._replica.membership
        if membership is None or not self._replica.is_voter:
            return
        complete, absent = set(), {}
        for voter in membership.voters:
            if voter.ip == self._ip:
                continue
            # A peer that accepts connections but sends nothing is as absent as one that accepts none.
            heard_at = self._last_heard_at.setdefault(voter.ip, now)
            absent[voter.ip] = now - max(heard_at, self._pause_detector.resumed_at)
            if self._is_complete(now, voter.ip, membership.epoch):
                complete.add(voter.ip)
        step = self._reconfiguration.next_step(now, presences_of(self._store), complete, absent)
        if step is not None:
            self._propose_step(now, step)

    def _is_complete(self, now: float, ip: str, epoch: int) -> bool:
        """Whether a voter's latest update is fresh and reports that the voter is complete for the epoch."""
        is_fresh = now - self._freshness.latest_update_at(ip) < self._max_staleness
        return is_fresh and self._complete_epochs.get(ip, 0) == epoch

    def _propose_step(self, now: float, step: Membership) -> None:
        def on_outcome(outcome: Outcome) -> None:
            voters = ",".join(voter.ip for voter in step.voters)
            events.info("reconfiguration", epoch=step.epoch, voters=voters, outcome=type(outcome).__name__)

        entries = [membership_entry(step)]
        self._propose(now, ChangeRequest(entries, now + DECISION_TIMEOUT_SECONDS, on_outcome, step.epoch - 1))

    def is_handed_over(self) -> bool:
        """Whether this process is no longer needed: other nodes vote, and have all that it had as a voter."""
        membership = self._replica.membership
        if membership is None:
            return True
        voters = {voter.ip for voter in membership.voters}
        if self._replica.is_voter:
            return not set(self._store.values_of(CONTROL)) - voters
        if not self._replica.is_source:
            return True
        return all(self._complete_epochs.get(ip, 0) >= membership.epoch for ip in voters)
