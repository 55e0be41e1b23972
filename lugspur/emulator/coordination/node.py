"""One simulated node: the production code of the coordination with a simulated disk, clock and connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec

from lugspur.emulator.clock import Clock
from lugspur.emulator.coordination.disk import Environment
from lugspur.emulator.coordination.network import Connection, Network
from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages import Message
from lugspur.mesh.control.messages.coordination import CoordinationHeartbeat
from lugspur.mesh.control.messages.coordination_records import Command, Result
from lugspur.mesh.control.replica import GENESIS, UID_ROW, Replica
from lugspur.mesh.coordination.acceptor import EPOCH_ROW, CoordinationAcceptor, StoredEpoch
from lugspur.mesh.coordination.followers import FLUSH_DELAY_SECONDS
from lugspur.mesh.coordination.leader_choice import HEARTBEAT_INTERVAL_SECONDS
from lugspur.mesh.coordination.node import CoordinationNode
from lugspur.mesh.coordination.watches import WatchTable

TICK_SECONDS = 0.1  # interval between ticks
PAUSE_SECONDS = 1.0  # time between two ticks beyond which the process counts as having been paused
AFTER_PAUSE_SECONDS = 0.5  # time for which the process still counts as paused after such a pause
HISTORY_SECONDS = 6.0  # time for which watches can continue from a revision
MAX_DRIFT = 2e-4  # greatest drift rate of a monotonic clock
MEMORY_BYTES = 64 << 20  # memory limit of the replica


class NodeWorld(Protocol):
    """The interface of the simulation that nodes use."""

    clock: Clock
    network: Network

    def node(self, ip: str) -> ModelNode:
        """Return the node with an IP address."""

    def reaches_majority(self, node: ModelNode) -> bool:
        """Return whether a node can reach more than half of the voters that it knows of."""

    def mesh_seeds(self) -> list[str]:
        """Return the IP addresses of the first voters."""


@dataclass(eq=False, frozen=True)
class RemotePeer:
    """The sender of a message; replies go back on the connection on which the message arrived."""

    connection: Connection
    ip: str


class OwnPeer:
    """The node itself as the sender of a message."""


class ModelNode:
    """A machine; `node` is the coordination of its process, or None while no process runs."""

    def __init__(self, world: NodeWorld, ip: str, rng: Random) -> None:
        self._world, self.ip, self._rng = world, ip, rng
        self.configuration = Environment(world.clock, rng)
        self.coordination = Environment(world.clock, rng)
        self._offset, self._drift = rng.uniform(0.0, 1000.0), rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        self.node: CoordinationNode | None = None
        self.replica: Replica | None = None
        self.watches: WatchTable | None = None
        self._incarnation = 0
        self.is_frozen = False
        self._deferred_steps: list[Callable[[], None]] = []
        self._last_tick_at = self._resumed_at = float("-inf")
        self._heartbeat_at = 0.0
        self._is_flush_due = False
        self._leading_number = 0
        self._own_peer = OwnPeer()
        self._uid_count = 0

    # ---- clock and process -----------------------------------------------------------------

    def monotonic(self) -> float:
        """Return the time of the machine's monotonic clock."""
        return self._offset + self._world.clock.now * (1.0 + self._drift)

    @property
    def is_up(self) -> bool:
        """Whether the process runs, frozen or not."""
        return self.node is not None

    def start(self, *, is_first_start: bool = False) -> None:
        """Start the process with the rows on the disk."""
        self._incarnation += 1
        is_newcomer = not self.configuration.rows
        self._uid_count += is_newcomer
        uid = f"{self.ip}#{self._uid_count}"
        replica = Replica(self.ip, uid, "z", 60.0, MEMORY_BYTES, lambda entries, forgotten: None)
        acceptor = CoordinationAcceptor(replica, HISTORY_SECONDS)
        if self.coordination.rows and is_newcomer:
            self.coordination.wipe()  # recovery in service drops these rows as well if the configuration is lost
        acceptor.restore(list(self.coordination.rows.items()), self.monotonic(), predates_coordination=False)
        replica.restore(list(self.configuration.rows.items()), self.monotonic())
        self.replica = replica
        identity = f"{self.ip}/{self._incarnation}"
        self._last_tick_at = self._resumed_at = self.monotonic()
        self.node = CoordinationNode(
            replica,
            acceptor,
            identity,
            Random(self._rng.random()),
            has_majority=lambda now: self._world.reaches_majority(self),
            is_paused=self._is_paused,
            may_lead=lambda: True,
        )
        self.watches = WatchTable(acceptor.state)
        self.node.on_advance = lambda now: self._respond_to_watches()
        if is_first_start:
            self._bootstrap(replica, acceptor)
        elif is_newcomer:
            self.configuration.write([(UID_ROW, uid.encode())], lambda: None)
            self.run(acceptor.begin_as_newcomer())
        self._tick(self._incarnation)

    def _bootstrap(self, replica: Replica, acceptor: CoordinationAcceptor) -> None:
        from lugspur.mesh.control.messages import Voter

        seeds = [Voter(ip, GENESIS, "") for ip in self._world.mesh_seeds()]
        replica.voter = Voter(self.ip, GENESIS, "z")
        self.configuration.write(replica.bootstrap(self.monotonic(), seeds).write, lambda: None)
        self.run(acceptor.begin())

    def stop(self, *, loses_power: bool) -> None:
        """End the process; unsynced rows are lost."""
        self.node = self.replica = self.watches = None
        self._incarnation += 1
        self.is_frozen = False
        self._deferred_steps.clear()
        self.configuration.lose_power()
        self.coordination.lose_power()
        for connection in [c for c in self._world.network.connections if self.ip in (c.dialler, c.listener)]:
            self._world.network.close(connection)
            other = connection.listener if connection.dialler == self.ip else connection.dialler
            # Peers of a machine without power notice only the silence; a process that ends has its connections reset.
            delay = 1.5 if loses_power else 0.001
            self._world.clock.call_at(
                self._world.clock.now + delay,
                lambda c=connection, o=other: self._world.node(o).connection_ended(c),  # type: ignore[misc]
            )

    def freeze(self, seconds: float) -> None:
        """Freeze the process for some seconds; messages that arrive meanwhile are handled afterwards."""
        if self.is_frozen or not self.is_up:
            return
        self.is_frozen = True
        incarnation = self._incarnation
        self._world.clock.call_at(self._world.clock.now + seconds, lambda: self._wake(incarnation))

    def _wake(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self.is_frozen = False
        deferred_steps, self._deferred_steps = self._deferred_steps, []
        for step in deferred_steps:
            if incarnation == self._incarnation:
                step()

    def when_awake(self, step: Callable[[], None]) -> None:
        """Run a step now, or once the process is no longer frozen; steps never run in a later incarnation."""
        incarnation = self._incarnation
        if self.is_frozen:
            self._deferred_steps.append(step)
        elif self.is_up and incarnation == self._incarnation:
            step()

    def _is_paused(self, now: float) -> bool:
        return now - self._last_tick_at > PAUSE_SECONDS or now - self._resumed_at < AFTER_PAUSE_SECONDS

    def is_complete_on_disk(self, epoch: int) -> bool:
        """Return whether the node is complete in an epoch and remains complete after a power loss."""
        if self.node is None or not self.node.acceptor.is_complete:
            return False
        row = self.coordination.rows.get(EPOCH_ROW)
        return row is not None and msgspec.msgpack.decode(row, type=StoredEpoch).complete_epoch == epoch

    # ---- effects ---------------------------------------------------------------------------

    def run(self, effects: Effects) -> None:
        """Send the messages and write the rows; send the messages that depend on the rows once these are synced."""
        for peer, message in effects.send:
            self._send(peer, message)
        incarnation = self._incarnation
        if effects.after_sync:
            after_sync = effects.after_sync

            def synced() -> None:
                for peer, message in after_sync:
                    self._send(peer, message)

            self.coordination.write(effects.write, lambda: self._run_if_current(incarnation, synced))
        elif effects.write:
            self.coordination.write(effects.write, None)
        if self.node is None:
            return
        if self.node.proposer.leading_number != self._leading_number:
            self._leading_number = self.node.proposer.leading_number
            self._send_heartbeats()
        if not self._is_flush_due and self.node.followers.is_flush_due:
            self._is_flush_due = True
            self._world.clock.call_at(
                self._world.clock.now + FLUSH_DELAY_SECONDS, lambda: self._run_if_current(incarnation, self._flush)
            )

    def _run_if_current(self, incarnation: int, step: Callable[[], None]) -> None:
        if incarnation == self._incarnation:
            self.when_awake(step)

    def _flush(self) -> None:
        self._is_flush_due = False
        if self.node is not None:
            self.run(self.node.flush())

    def _send(self, peer: object, message: Message) -> None:
        incarnation = self._incarnation
        if isinstance(peer, RemotePeer):
            other = self._world.node(peer.ip)
            connection = peer.connection
            self._world.network.send(
                connection, peer.ip, message, lambda m: other.when_awake(lambda: other.receive(connection, self.ip, m))
            )
        elif isinstance(peer, OwnPeer):
            self._run_soon(incarnation, lambda: self._receive_own(message))
        elif peer == self.ip:
            self._run_soon(incarnation, lambda: self._handle_own(message))
        else:
            outgoing = self._opened_connection(str(peer))
            if outgoing is not None:
                self._send_to(outgoing, message)

    def _run_soon(self, incarnation: int, step: Callable[[], None]) -> None:
        self._world.clock.call_at(self._world.clock.now, lambda: self._run_if_current(incarnation, step))

    def _send_to(self, connection: Connection, message: Message) -> None:
        other = self._world.node(connection.listener)
        peer = RemotePeer(connection, self.ip)
        self._world.network.send(
            connection, other.ip, message, lambda m: other.when_awake(lambda: other.handle(connection, peer, m))
        )

    def _handle_own(self, message: Message) -> None:
        if self.node is not None:
            self.run(self.node.handle(self.monotonic(), self._own_peer, message))

    def _receive_own(self, message: Message) -> None:
        if self.node is not None:
            self.run(self.node.receive(self.monotonic(), self.ip, message))

    def handle(self, connection: Connection, peer: RemotePeer, message: Message) -> None:
        """Handle a message on a connection that another node has opened."""
        if self.node is not None and connection.is_open:
            self.run(self.node.handle(self.monotonic(), peer, message))

    def receive(self, connection: Connection, ip: str, message: Message) -> None:
        """Handle a message on a connection that this node has opened."""
        if self.node is not None and connection.is_open:
            self.run(self.node.receive(self.monotonic(), ip, message))

    # ---- connections -----------------------------------------------------------------------

    def _opened_connection(self, ip: str) -> Connection | None:
        for connection in self._world.network.connections:
            if connection.dialler == self.ip and connection.listener == ip:
                return connection
        return None

    def _connect(self) -> None:
        assert self.node is not None
        for ip in sorted(self.node.wanted_peers()):
            other = self._world.node(ip)
            is_reachable = other.is_up and not other.is_frozen and not self._world.network.is_cut(self.ip, ip)
            if self._opened_connection(ip) is None and is_reachable:
                connection = Connection(self.ip, ip)
                self._world.network.connections.append(connection)
                self.run(self.node.connected(self.monotonic(), ip))
                other.when_awake(lambda c=connection, o=other: o.greet(c))  # type: ignore[misc]

    def greet(self, connection: Connection) -> None:
        """Send a heartbeat to a node that has opened a connection to this one."""
        if self.node is not None:
            self._send(RemotePeer(connection, connection.dialler), self.node.heartbeat(self.monotonic()))

    def connection_ended(self, connection: Connection) -> None:
        """Handle the end of a connection of this node."""

        def ended() -> None:
            if self.node is None:
                return
            if connection.dialler == self.ip:
                self.run(self.node.disconnected(self.monotonic(), connection.listener))
            else:
                for peer in [p for p in self.node.followers.peers() if p.connection is connection]:
                    self.node.link_ended(peer)

        self.when_awake(ended)

    def _send_heartbeats(self) -> None:
        assert self.node is not None and self.replica is not None
        self._heartbeat_at = self.monotonic() + HEARTBEAT_INTERVAL_SECONDS
        heartbeat: CoordinationHeartbeat = self.node.heartbeat(self.monotonic())
        if not self.replica.is_voter:
            return
        for connection in [c for c in self._world.network.connections if c.listener == self.ip]:
            self._send(RemotePeer(connection, connection.dialler), heartbeat)

    # ---- calls -----------------------------------------------------------------------------

    def submit(self, command: Command, on_result: Callable[[Result], None]) -> None:
        """Submit a command; `on_result` is called with its result."""
        if self.node is not None:
            self.run(self.node.submit(self.monotonic(), command, on_result))

    def _respond_to_watches(self) -> None:
        if self.watches is not None:
            self.watches.respond_to_ready()

    def _tick(self, incarnation: int) -> None:
        if incarnation != self._incarnation or self.node is None:
            return
        self._world.clock.call_at(
            self._world.clock.now + TICK_SECONDS,
            lambda: self._run_if_current(incarnation, lambda: self._tick(incarnation)),
        )
        now = self.monotonic()
        if now - self._last_tick_at > PAUSE_SECONDS:
            self._resumed_at = now
        self._last_tick_at = now
        self._connect()
        self.run(self.node.tick(now))
        if self.node is not None and now >= self._heartbeat_at:
            self._send_heartbeats()
        if self.watches is not None:
            self.watches.tick(now)
