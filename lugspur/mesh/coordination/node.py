"""Coordination at one node: it connects the acceptor, the proposer, the calls, and the heartbeats of the voters.

All times are read from the steady clock *at the moment of the call*, and not at the start of an event loop iteration.
Otherwise a process that is suspended in the middle of an iteration would count the time of a lock that it then learns
of from a moment before the lock was granted.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.mesh.control.effects import Effects, Peer
from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages import Message
from lugspur.mesh.control.messages.coordination import (
    AcceptorReport,
    CoordinationAccept,
    CoordinationAccepted,
    CoordinationCall,
    CoordinationChanges,
    CoordinationConfirm,
    CoordinationConfirmed,
    CoordinationHeartbeat,
    CoordinationPrepare,
    CoordinationPromise,
    CoordinationReply,
    CoordinationSnapshot,
    FetchAcceptor,
    FetchCoordination,
    UnfollowCoordination,
)
from lugspur.mesh.control.messages.coordination_records import Command, CommandFailed, CoordinationChange, Result
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.call_router import CALL_TIMEOUT_SECONDS, CallRouter
from lugspur.mesh.coordination.followers import Followers
from lugspur.mesh.coordination.leader_choice import LeaderChoice
from lugspur.mesh.coordination.pending import PendingCommand
from lugspur.mesh.coordination.proposer import CoordinationProposer
from lugspur.mesh.coordination.voter_catch_up import VoterCatchUp, voter_ips

#: Maximum age of the leader's heartbeat whose clock a forwarded call contains; the leader rejects a call with an older
#: one, as it was delayed.
MAX_CALL_AGE_SECONDS = 1.0
REFETCH_DELAY_SECONDS = 0.5  # minimum time between two requests for changes that a node lacks
PRUNE_INTERVAL_SECONDS = 1.0  # time between two searches for puts that have exceeded their retention


class CoordinationNode:
    """The coordination of one control node, without I/O. Methods return the messages to send and rows to write."""

    def __init__(
        self,
        replica: Replica,
        acceptor: CoordinationAcceptor,
        identity: str,
        rng: Random,
        *,
        has_majority: Callable[[float], bool],
        is_paused: Callable[[float], bool],
        may_lead: Callable[[], bool],
    ) -> None:
        """`has_majority`: whether this node has contact with a majority of the voters at a given time.

        `is_paused`: whether this process was paused just before a given time; `may_lead`: false while this node shuts
        down or its disk fails.
        """
        self._replica = replica
        self._own_ip = replica.voter.ip
        self._has_majority, self._is_paused, self._may_lead = has_majority, is_paused, may_lead
        self._effects = Effects()
        self.acceptor = acceptor
        self.proposer = CoordinationProposer(replica, self.acceptor, identity, rng, self._decide)
        self.leader_choice = LeaderChoice(self._own_ip)
        self.calls = CallRouter(self._own_ip, self.proposer.submit, self.leader_choice.clock_of)
        self.catch_up = VoterCatchUp(replica, self.acceptor)
        self.followers = Followers(self.acceptor)
        self.leader: str | None = None  # the node that should lead, as far as this node knows
        self._followed_ip = ""  # the node that sends this one its decided changes; empty if none
        self._fetched_at = float("-inf")
        self._prune_at = 0.0
        self.on_advance: Callable[[float], None] = lambda now: None  # is called after the state has changed

    @property
    def is_idle(self) -> bool:
        """Whether no call and no command waits at this node."""
        return not len(self.calls) and self.proposer.is_idle

    def _emit(self, effects: Effects) -> None:
        self._effects.add(effects)

    def _take_effects(self) -> Effects:
        effects, self._effects = self._effects, Effects()
        return effects

    # ---- calls ---------------------------------------------------------------------------

    def submit(self, now: float, command: Command, on_result: Callable[[Result], None]) -> Effects:
        """Run a command of an application; `on_result` is called within `CALL_TIMEOUT_SECONDS`."""
        if self._is_paused(now):
            on_result(CommandFailed(ErrorKind.NO_QUORUM.value, "this process has stood still"))
        elif not self._has_majority(now):
            on_result(CommandFailed(ErrorKind.NO_QUORUM.value, "no contact with a majority of the voters"))
        else:
            self._emit(self.calls.submit(now, self.leader, command, on_result))
        return self._take_effects()

    def _receive_call(self, now: float, peer: Peer, message: CoordinationCall) -> None:
        """Run a command that another node has forwarded, unless it may have been delayed."""

        def reply(result: Result) -> None:
            self._effects.send.append((peer, CoordinationReply(message.number, result)))

        if now - message.clock > MAX_CALL_AGE_SECONDS or self._is_paused(now):
            # Guards against calls that were delayed in transit: their callers have asked another node by now.
            reply(CommandFailed(ErrorKind.NO_QUORUM.value, "the call was delayed", True))
            return
        timeout = min(CALL_TIMEOUT_SECONDS, message.seconds_left)
        self._emit(self.proposer.submit(now, PendingCommand(message.command, now + timeout, reply)))

    # ---- messages ------------------------------------------------------------------------

    def handle(self, now: float, peer: Peer, message: Message) -> Effects:
        """Handle a message of a node that has dialled this one; `peer` is the connection that replies go to."""
        self._emit(self.acceptor.follow_epoch())
        if isinstance(message, CoordinationAccept):
            before = self.acceptor.state.index
            self._learn(now, self.acceptor.accept(now, peer, message), before)
        elif isinstance(message, CoordinationPrepare):
            self._emit(self.acceptor.prepare(peer, message))
        elif isinstance(message, CoordinationConfirm):
            self._emit(self.acceptor.confirm(peer, message))
        elif isinstance(message, CoordinationCall):
            self._receive_call(now, peer, message)
        elif isinstance(message, FetchCoordination):
            self._emit(self.followers.fetch(peer, message.after_index, is_following=message.is_following))
        elif isinstance(message, UnfollowCoordination):
            self.followers.remove(peer)
        elif isinstance(message, FetchAcceptor):
            self._emit(self.acceptor.report(peer, message))
        elif isinstance(message, CoordinationChanges | CoordinationSnapshot):
            self._receive_changes(now, message)
        return self._take_effects()

    def receive(self, now: float, ip: str, message: Message) -> Effects:
        """Handle a message of a node that this one has dialled."""
        self._emit(self.acceptor.follow_epoch())
        if isinstance(message, CoordinationPromise | CoordinationAccepted | CoordinationConfirmed):
            self._emit(self.proposer.receive(now, ip, message))
        elif isinstance(message, CoordinationReply):
            self.calls.handle_reply(message)
        elif isinstance(message, CoordinationChanges | CoordinationSnapshot):
            self._receive_changes(now, message)
        elif isinstance(message, CoordinationHeartbeat):
            self.leader_choice.record_heartbeat(now, ip, message)
            self._choose_leader(now)
        elif isinstance(message, AcceptorReport):
            before = self.acceptor.state.index
            self._learn(now, self.catch_up.receive(now, ip, message), before)
        return self._take_effects()

    def connected(self, now: float, ip: str) -> Effects:
        """Handle a new connection to a node that this one has dialled."""
        if ip == self._followed_ip:
            self._fetch(now)
        self._emit(self.proposer.voter_connected(ip))
        return self._take_effects()

    def disconnected(self, now: float, ip: str) -> Effects:
        """Handle the end of the connection to a node that this one has dialled."""
        self.leader_choice.disconnected(ip)
        self.calls.disconnected(ip)
        self.catch_up.disconnected(ip)
        self._choose_leader(now)
        return self._take_effects()

    def link_ended(self, peer: Peer) -> None:
        """Handle the end of a connection on which a node has dialled this one."""
        self.followers.remove(peer)

    # ---- decided changes -------------------------------------------------------------------

    def _decide(self, now: float, index: int, change: CoordinationChange) -> Effects:
        """Apply a change that this node's proposer has had decided."""
        before = self.acceptor.state.index
        self._learn(now, self.acceptor.decide(now, index, change), before)
        return Effects()

    def _receive_changes(self, now: float, message: CoordinationChanges | CoordinationSnapshot) -> None:
        before = self.acceptor.state.index
        if isinstance(message, CoordinationSnapshot):
            self._learn(now, self.acceptor.learn_snapshot(now, message), before)
            return
        for offset, change in enumerate(message.changes):
            self.acceptor.check_same_change(message.first_index + offset, change)
        if message.first_index > before + 1:  # the changes in between were lost with a connection
            self._fetch(now)
        self._learn(now, self.acceptor.learn_changes(now, message), before)

    def _learn(self, now: float, effects: Effects, before: int) -> None:
        """Emit effects that may have advanced the state from index `before`, and notify those who wait for changes."""
        self._emit(effects)
        state = self.acceptor.state
        if state.index == before:
            return
        changes = state.changes_after(before)
        if changes is None or len(changes) < state.index - before:
            self._emit(self.proposer.replica_advanced(now, state.index, None))
        else:
            for offset, change in enumerate(changes):
                self._emit(self.proposer.replica_advanced(now, before + 1 + offset, change))
        self._emit(self.proposer.try_to_lead(now))
        self.on_advance(now)

    def _fetch(self, now: float) -> None:
        """Request the changes that this node lacks, and all later ones, from the node that it follows."""
        self._fetched_at = now
        if self._followed_ip:
            self._effects.send.append((self._followed_ip, FetchCoordination(self.acceptor.state.index, True)))

    # ---- leadership ------------------------------------------------------------------------

    def heartbeat(self, now: float) -> CoordinationHeartbeat:
        """Return the heartbeat for all nodes that have dialled this one."""
        is_available = self.acceptor.is_complete and self._may_lead() and self._has_majority(now)
        return CoordinationHeartbeat(
            now, self.acceptor.state.index, is_available, self.proposer.leading_number if is_available else 0
        )

    def _choose_leader(self, now: float) -> None:
        leader = self.leader_choice.choose(now, self._replica.membership, self.heartbeat(now))
        self._emit(self.proposer.set_should_lead(now, leader == self._own_ip))
        if leader == self.leader:
            return
        self.leader = leader
        self._follow(now, leader or "")
        self._emit(self.calls.route_waiting(now, leader))

    def _follow(self, now: float, leader: str) -> None:
        if not leader:
            return  # keep following the previous leader, which knows what was decided before it became silent
        if self._followed_ip and self._followed_ip != leader:
            self._effects.send.append((self._followed_ip, UnfollowCoordination()))
        self._followed_ip = leader if leader != self._own_ip else ""
        self._fetch(now)

    # ---- time ------------------------------------------------------------------------------

    def tick(self, now: float) -> Effects:
        """Run what is due at this time."""
        self._emit(self.acceptor.follow_epoch())
        self._choose_leader(now)
        self._emit(self.catch_up.tick(now))
        self._emit(self.proposer.tick(now))
        self._emit(self.calls.tick(now, self.leader))
        known_index = self.leader_choice.index_of(self._followed_ip)
        if known_index > self.acceptor.state.index and now - self._fetched_at >= REFETCH_DELAY_SECONDS:
            self._fetch(now)
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_INTERVAL_SECONDS
            self._effects.write += self.acceptor.state.prune(now)
        return self._take_effects()

    def flush(self) -> Effects:
        """Send the followers what was decided since the last flush."""
        self._emit(self.followers.flush())
        return self._take_effects()

    def wanted_peers(self) -> set[str]:
        """Return the IP addresses of the nodes to keep a connection to."""
        return (voter_ips(self._replica.membership) | self.catch_up.sources()) - {self._own_ip}
