"""The membership as a control node sees it: which voters are heard and complete, and the next step where one is due."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lugspur.mesh import events
from lugspur.mesh.control.change_requests import ChangeRequest, Outcome
from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.items import CONTROL
from lugspur.mesh.control.membership import Presence
from lugspur.mesh.control.messages import Membership
from lugspur.mesh.control.reconfiguration import Reconfiguration
from lugspur.mesh.control.replica import Replica, membership_entry
from lugspur.mesh.control.store import Store
from lugspur.mesh.control_node.change_router import DECISION_TIMEOUT_SECONDS
from lugspur.mesh.process_pause import PauseDetector

_presence = msgspec.msgpack.Decoder(Presence)


def presences_of(store: Store) -> dict[str, Presence]:
    """What the control nodes say of themselves, by IP number."""
    return {name: _presence.decode(value) for name, value in store.values_of(CONTROL).items()}


class MembershipChanges:
    """Proposes the steps of a reconfiguration; `stale` is the age in seconds at which a voter's word is too old."""

    def __init__(
        self,
        ip: str,
        replica: Replica,
        reconfiguration: Reconfiguration,
        store: Store,
        freshness: Freshness,
        stale: float,
        pause_detector: PauseDetector,
        propose: Callable[[float, ChangeRequest], None],
    ) -> None:
        self._ip, self._replica, self._reconfiguration, self._store = ip, replica, reconfiguration, store
        self._freshness, self._stale, self._pause_detector, self._propose = freshness, stale, pause_detector, propose
        self._heard_at: dict[str, float] = {}  # when each voter was heard last, or has begun to be listened for
        self._complete_epochs: dict[str, int] = {}  # the epoch for which each peer has said that it is complete

    def heard(self, now: float, ip: str) -> None:
        """A peer has said something."""
        self._heard_at[ip] = now

    def told_complete(self, ip: str, epoch: int) -> None:
        """A peer has said for which epoch it is complete."""
        self._complete_epochs[ip] = epoch

    def lost(self, ip: str) -> None:
        """The connection to a peer has ended."""
        self._complete_epochs.pop(ip, None)

    def changed(self, membership: Membership | None) -> None:
        """Another membership is known: forget when those were heard who don't vote in it."""
        voters = {voter.ip for voter in membership.voters} if membership is not None else set()
        self._heard_at = {ip: at for ip, at in self._heard_at.items() if ip in voters}

    def look(self, now: float) -> None:
        """Propose the next step of the membership where one is due."""
        membership = self._replica.membership
        if membership is None or not self._replica.is_voter:
            return
        complete, absent = set(), {}
        for voter in membership.voters:
            if voter.ip == self._ip:
                continue
            # A peer that takes connections and says nothing is as absent as one that takes none.
            heard_at = self._heard_at.setdefault(voter.ip, now)
            absent[voter.ip] = now - max(heard_at, self._pause_detector.resumed_at)
            fresh = now - self._freshness.latest_update_at(voter.ip) < self._stale
            if fresh and self._complete_epochs.get(voter.ip, 0) == membership.epoch:
                complete.add(voter.ip)
        step = self._reconfiguration.next_step(now, presences_of(self._store), complete, absent)
        if step is not None:
            self._propose_step(now, step)

    def _propose_step(self, now: float, step: Membership) -> None:
        def over(outcome: Outcome) -> None:
            voters = ",".join(voter.ip for voter in step.voters)
            events.info("reconfiguration", epoch=step.epoch, voters=voters, outcome=type(outcome).__name__)

        entries = [membership_entry(step)]
        self._propose(now, ChangeRequest(entries, now + DECISION_TIMEOUT_SECONDS, over, step.epoch - 1))

    def handed_on(self) -> bool:
        """Whether nobody needs this process: others vote, and hold all claims that it held as a voter."""
        membership = self._replica.membership
        if membership is None:
            return True
        voters = {voter.ip for voter in membership.voters}
        if self._replica.is_voter:
            return not set(self._store.values_of(CONTROL)) - voters
        if not any(voter.ip == self._ip for voter in membership.previous_voters):
            return True
        return all(self._complete_epochs.get(ip, 0) >= membership.epoch for ip in voters)
