"""Runs coordination in a control node's process: its connections, disk writes and timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

from lugspur.mesh import events
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import Hello, Message
from lugspur.mesh.control.messages.coordination import CoordinationHello
from lugspur.mesh.control.messages.coordination_records import Command, Result
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control_node.effect_runner import EffectRunner
from lugspur.mesh.control_node.synced_epoch import SyncedEpoch
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.coordination.followers import FLUSH_DELAY_SECONDS
from lugspur.mesh.coordination.leader_choice import HEARTBEAT_INTERVAL_SECONDS
from lugspur.mesh.coordination.node import CoordinationNode
from lugspur.mesh.storage.disk import Disk
from lugspur.mesh.transport.dialer import Dialer
from lugspur.mesh.transport.link import Link

#: Prefix of the incarnation in the first message on a connection for coordination. A node of a build without
#: coordination treats that message as an ordinary `Hello` and never replies, so that it is sent no further messages.
HELLO_PREFIX = "coordination/"

#: The steady clock at the moment of the call. The time of an event loop is that of the start of its iteration.
steady_clock = time.monotonic


def is_coordination_hello(message: Hello) -> bool:
    """Whether the first message on a connection says that the connection is for coordination."""
    return message.incarnation.startswith(HELLO_PREFIX)


class OwnPeer:
    """The process itself as a peer of its own coordination node."""

    def __init__(self, service: CoordinationService) -> None:
        self._service = service

    def send(self, message: Message) -> None:
        """Deliver a reply in the next iteration of the event loop, as a connection would."""
        self._service.loop.call_soon(self._service.receive_own, message)


class CoordinationService:
    """The coordination of one process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        disk: Disk,
        replica: Replica,
        acceptor: CoordinationAcceptor,
        *,
        inner_port: int,
        incarnation: str,
        rng: Random,
        has_majority: Callable[[float], bool],
        is_paused: Callable[[float], bool],
        may_lead: Callable[[], bool],
    ) -> None:
        """`inner_port` is the port at which the peers listen; the functions are those of `CoordinationNode`."""
        self.loop = loop
        self._ip, self._inner_port, self._incarnation = replica.voter.ip, inner_port, incarnation
        self._replica = replica
        self._effect_runner = EffectRunner(loop, disk, self._send_to)
        self._own_peer = OwnPeer(self)
        self._dialers: dict[str, Dialer] = {}
        self._greeted_ips: set[str] = set()  # the dialled nodes that have replied to the Hello
        self._links: set[Link] = set()  # connections of the nodes that have dialled this one
        self._is_flush_due = False
        self._heartbeat_at = 0.0
        self._leading_number = 0  # the leading number that was logged last
        self._was_complete = False
        self._synced_epoch = SyncedEpoch(disk, acceptor.complete_epoch)
        self.node = CoordinationNode(
            replica,
            acceptor,
            f"{self._ip}/{incarnation}",
            rng,
            has_majority=has_majority,
            is_paused=is_paused,
            may_lead=may_lead,
        )

    def begin(self, *, is_first_voter: bool) -> None:
        """Start with an empty disk, as a voter of a new mesh or as a newcomer."""
        acceptor = self.node.acceptor
        self._run(acceptor.begin() if is_first_voter else acceptor.begin_as_newcomer())

    # ---- calls ---------------------------------------------------------------------------

    def submit(self, command: Command, on_result: Callable[[Result], None]) -> None:
        """Run a command of an application."""
        self._run(self.node.submit(steady_clock(), command, on_result))

    # ---- effects -------------------------------------------------------------------------

    def _run(self, effects: Effects) -> None:
        self._effect_runner.run(effects)
        if self.node.proposer.leading_number != self._leading_number:
            self._on_leadership_changed()
        if not self._is_flush_due and self.node.followers.is_flush_due:
            self._is_flush_due = True
            self.loop.call_later(FLUSH_DELAY_SECONDS, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        self._run(self.node.flush())

    def _on_leadership_changed(self) -> None:
        number = self._leading_number = self.node.proposer.leading_number
        events.info("coordination-leader", leading=bool(number), epoch=self._replica.epoch, proposal=number)
        self._send_heartbeats()

    def _send_to(self, ip: str, message: Message) -> None:
        if ip == self._ip:
            self.loop.call_soon(self._handle_own, message)
            return
        dialer = self._dialers.get(ip)
        if dialer is not None and dialer.link is not None and ip in self._greeted_ips:
            dialer.link.send(message)

    def _handle_own(self, message: Message) -> None:
        self._run(self.node.handle(steady_clock(), self._own_peer, message))

    def receive_own(self, message: Message) -> None:
        """Handle a reply of this process's own node."""
        self._run(self.node.receive(steady_clock(), self._ip, message))

    # ---- nodes that have dialled this one ----------------------------------------------------

    def handle_hello(self, link: Link, message: Hello) -> None:
        """Handle the first message of a node that has dialled this one for coordination."""
        now = steady_clock()
        link.peer = message.ip
        self._links.add(link)
        link.send(CoordinationHello(self._ip, self._incarnation, now))
        link.send(self.node.heartbeat(now))
        dialer = self._dialers.get(message.ip)
        if dialer is not None:
            dialer.dial_now()

    def handle_message(self, link: Link, message: Message) -> None:
        """Handle a message on a connection that a node has dialled."""
        self._run(self.node.handle(steady_clock(), link, message))

    def link_ended(self, link: Link) -> None:
        """Handle the end of a connection that a node has dialled."""
        self._links.discard(link)
        self.node.link_ended(link)

    def _send_heartbeats(self) -> None:
        now = steady_clock()
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
        heartbeat = self.node.heartbeat(now)
        if self._replica.is_voter:
            for link in self._links:
                link.send(heartbeat)

    # ---- nodes that this one has dialled -----------------------------------------------------

    def connect(self) -> None:
        """Dial the wanted nodes that have no connection, and close connections to nodes that are no longer wanted."""
        wanted = self.node.wanted_peers()
        for ip in wanted - self._dialers.keys():
            self._dialers[ip] = Dialer(
                ip,
                self._inner_port,
                self._ip,
                on_message=self._receive,
                on_connected=self._on_connected,
                on_disconnected=self._on_disconnected,
            )
        for ip in self._dialers.keys() - wanted:
            self._dialers.pop(ip).close()
            self._greeted_ips.discard(ip)
            self._run(self.node.disconnected(steady_clock(), ip))

    def _on_connected(self, dialer: Dialer) -> None:
        assert dialer.link is not None
        dialer.link.send(Hello(self._ip, HELLO_PREFIX + self._incarnation, True))

    def _receive(self, link: Link, message: Message) -> None:
        now = steady_clock()
        if isinstance(message, CoordinationHello):
            self._greeted_ips.add(link.peer)
            self._run(self.node.connected(now, link.peer))
        else:
            self._run(self.node.receive(now, link.peer, message))

    def _on_disconnected(self, dialer: Dialer) -> None:
        self._greeted_ips.discard(dialer.ip)
        self._run(self.node.disconnected(steady_clock(), dialer.ip))

    # ---- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """Run what is due at this time."""
        now = steady_clock()
        self.connect()
        self._run(self.node.tick(now))
        if now >= self._heartbeat_at:
            self._send_heartbeats()
        self._track_completeness()

    def _track_completeness(self) -> None:
        is_complete = self.node.acceptor.is_complete
        self._synced_epoch.track(self.node.acceptor.complete_epoch)
        if is_complete and not self._was_complete:
            state = self.node.acceptor.state
            events.info("coordination-complete", epoch=self._replica.epoch, index=state.index)
        self._was_complete = is_complete

    def resign(self) -> None:
        """Let another node lead, since this one is shutting down."""
        self._run(self.node.tick(steady_clock()))
        self._send_heartbeats()

    def is_complete_for(self, epoch: int) -> bool:
        """Whether coordination allows this node to vote in an epoch.

        A node whose disk was written by a build without coordination lacks nothing until it learns that coordination
        has begun.
        """
        acceptor = self.node.acceptor
        if acceptor.predates_coordination and not self.node.catch_up.knows_genesis():
            return True
        return acceptor.is_complete and acceptor.complete_epoch == epoch == self._synced_epoch.epoch
