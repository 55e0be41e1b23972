"""One node of the model: the coordination that runs in service, with a disk, a clock and connections of the model."""

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

TICK_SECONDS = 0.1
PAUSE_SECONDS = 1.0  # between two ticks, from which on a process counts as having stood still...
AFTER_PAUSE_SECONDS = 0.5  # ...and for how long after
HISTORY_SECONDS = 6.0
MAX_DRIFT = 2e-4  # of a steady clock
MEMORY_BYTES = 64 << 20


class Surroundings(Protocol):
    """What a node needs of its world."""

    clock: Clock
    network: Network

    def node(self, ip: str) -> ModelNode:
        """The node with an IP number."""

    def reaches_majority(self, node: ModelNode) -> bool:
        """Whether a node can reach more than half of the voters that it knows of."""

    def mesh_seeds(self) -> list[str]:
        """The IP numbers of the first voters."""


@dataclass(eq=False, frozen=True)
class RemotePeer:
    """Where the answer to a message goes: back on the connection that it came on."""

    connection: Connection
    ip: str


class OwnPeer:
    """A node as a peer of itself."""


class ModelNode:
    """A machine; while its process runs, `node` is its coordination."""

    def __init__(self, world: Surroundings, ip: str, rng: Random) -> None:
        self._world, self.ip, self._rng = world, ip, rng
        self.configuration = Environment(world.clock, rng)
        self.coordination = Environment(world.clock, rng)
        self._offset, self._drift = rng.uniform(0.0, 1000.0), rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        self.node: CoordinationNode | None = None
        self.replica: Replica | None = None
        self.watches: WatchTable | None = None
        self._lives = 0
        self.is_frozen = False
        self._woken: list[Callable[[], None]] = []
        self._last_tick = self._resumed = float("-inf")
        self._heartbeat_at = 0.0
        self._is_flush_due = False
        self._leading = 0
        self._own_peer = OwnPeer()
        self._own_uids = 0

    # ---- time and life ---------------------------------------------------------------------

    def steady(self) -> float:
        """The machine's steady clock."""
        return self._offset + self._world.clock.now * (1.0 + self._drift)

    @property
    def is_up(self) -> bool:
        """Whether its process runs, frozen or not."""
        return self.node is not None

    def start(self, *, is_first_start: bool = False) -> None:
        """Start the process with what is on the disk."""
        self._lives += 1
        is_newcomer = not self.configuration.rows
        self._own_uids += is_newcomer
        uid = f"{self.ip}#{self._own_uids}"
        replica = Replica(self.ip, uid, "z", 60.0, MEMORY_BYTES, lambda entries, forgotten: None)
        acceptor = CoordinationAcceptor(replica, HISTORY_SECONDS)
        if self.coordination.rows and is_newcomer:
            self.coordination.wipe()  # as recovery does: what is beside it is gone
        acceptor.restore(list(self.coordination.rows.items()), self.steady(), predates_coordination=False)
        replica.restore(list(self.configuration.rows.items()), self.steady())
        self.replica = replica
        identity = f"{self.ip}/{self._lives}"
        self._last_tick = self._resumed = self.steady()
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
        self.node.on_advance = lambda now: self._advanced()
        if is_first_start:
            self._begin(replica, acceptor)
        elif is_newcomer:
            self.configuration.write([(UID_ROW, uid.encode())], lambda: None)
            self.run(acceptor.begin_as_newcomer())
        self._tick(self._lives)

    def _begin(self, replica: Replica, acceptor: CoordinationAcceptor) -> None:
        from lugspur.mesh.control.messages import Voter

        seeds = [Voter(ip, GENESIS, "") for ip in self._world.mesh_seeds()]
        replica.voter = Voter(self.ip, GENESIS, "z")
        self.configuration.write(replica.bootstrap(self.steady(), seeds).write, lambda: None)
        self.run(acceptor.begin())

    def stop(self, *, loses_power: bool) -> None:
        """End the process; what is not on disk is lost."""
        self.node = self.replica = self.watches = None
        self._lives += 1
        self.is_frozen = False
        self._woken.clear()
        self.configuration.lose_power()
        self.coordination.lose_power()
        for connection in [c for c in self._world.network.connections if self.ip in (c.dialler, c.listener)]:
            self._world.network.close(connection)
            other = connection.listener if connection.dialler == self.ip else connection.dialler
            # A machine without power says nothing; a process that ends has its connections reset.
            delay = 1.5 if loses_power else 0.001
            self._world.clock.call_at(
                self._world.clock.now + delay,
                lambda c=connection, o=other: self._world.node(o).connection_ended(c),  # type: ignore[misc]
            )

    def freeze(self, seconds: float) -> None:
        """Let the process stand still; what arrives meanwhile waits."""
        if self.is_frozen or not self.is_up:
            return
        self.is_frozen = True
        lives = self._lives
        self._world.clock.call_at(self._world.clock.now + seconds, lambda: self._wake(lives))

    def _wake(self, lives: int) -> None:
        if lives != self._lives:
            return
        self.is_frozen = False
        woken, self._woken = self._woken, []
        for step in woken:
            if lives == self._lives:
                step()

    def when_awake(self, step: Callable[[], None]) -> None:
        """Do something now, or once the process runs on; never in another life of it."""
        lives = self._lives
        if self.is_frozen:
            self._woken.append(step)
        elif self.is_up and lives == self._lives:
            step()

    def _is_paused(self, now: float) -> bool:
        return now - self._last_tick > PAUSE_SECONDS or now - self._resumed < AFTER_PAUSE_SECONDS

    def is_complete_on_disk(self, epoch: int) -> bool:
        """Whether it is complete in an epoch, and stays so over a loss of power."""
        if self.node is None or not self.node.acceptor.is_complete:
            return False
        row = self.coordination.rows.get(EPOCH_ROW)
        return row is not None and msgspec.msgpack.decode(row, type=StoredEpoch).complete_epoch == epoch

    # ---- effects ---------------------------------------------------------------------------

    def run(self, effects: Effects) -> None:
        """Send and write, and send the rest once the rows are synced."""
        for peer, message in effects.send:
            self._send(peer, message)
        lives = self._lives
        if effects.after_sync:
            after_sync = effects.after_sync

            def synced() -> None:
                for peer, message in after_sync:
                    self._send(peer, message)

            self.coordination.write(effects.write, lambda: self._in_life(lives, synced))
        elif effects.write:
            self.coordination.write(effects.write, None)
        if self.node is None:
            return
        if self.node.proposer.leading_number != self._leading:
            self._leading = self.node.proposer.leading_number
            self._send_heartbeats()
        if not self._is_flush_due and self.node.followers.is_flush_due:
            self._is_flush_due = True
            self._world.clock.call_at(
                self._world.clock.now + FLUSH_DELAY_SECONDS, lambda: self._in_life(lives, self._flush)
            )

    def _in_life(self, lives: int, step: Callable[[], None]) -> None:
        if lives == self._lives:
            self.when_awake(step)

    def _flush(self) -> None:
        self._is_flush_due = False
        if self.node is not None:
            self.run(self.node.flush())

    def _send(self, peer: object, message: Message) -> None:
        lives = self._lives
        if isinstance(peer, RemotePeer):
            other = self._world.node(peer.ip)
            connection = peer.connection
            self._world.network.send(
                connection, peer.ip, message, lambda m: other.when_awake(lambda: other.receive(connection, self.ip, m))
            )
        elif isinstance(peer, OwnPeer):
            self._later(lives, lambda: self._receive_own(message))
        elif peer == self.ip:
            self._later(lives, lambda: self._handle_own(message))
        else:
            connection_out = self._dialled(str(peer))
            if connection_out is not None:
                self._send_to(connection_out, message)

    def _later(self, lives: int, step: Callable[[], None]) -> None:
        self._world.clock.call_at(self._world.clock.now, lambda: self._in_life(lives, step))

    def _send_to(self, connection: Connection, message: Message) -> None:
        other = self._world.node(connection.listener)
        peer = RemotePeer(connection, self.ip)
        self._world.network.send(
            connection, other.ip, message, lambda m: other.when_awake(lambda: other.handle(connection, peer, m))
        )

    def _handle_own(self, message: Message) -> None:
        if self.node is not None:
            self.run(self.node.handle(self.steady(), self._own_peer, message))

    def _receive_own(self, message: Message) -> None:
        if self.node is not None:
            self.run(self.node.receive(self.steady(), self.ip, message))

    def handle(self, connection: Connection, peer: RemotePeer, message: Message) -> None:
        """Take a message on a connection that another node has dialled."""
        if self.node is not None and connection.is_open:
            self.run(self.node.handle(self.steady(), peer, message))

    def receive(self, connection: Connection, ip: str, message: Message) -> None:
        """Take a message on a connection that this node has dialled."""
        if self.node is not None and connection.is_open:
            self.run(self.node.receive(self.steady(), ip, message))

    # ---- connections -----------------------------------------------------------------------

    def _dialled(self, ip: str) -> Connection | None:
        for connection in self._world.network.connections:
            if connection.dialler == self.ip and connection.listener == ip:
                return connection
        return None

    def _connect(self) -> None:
        assert self.node is not None
        for ip in sorted(self.node.wanted_peers()):
            other = self._world.node(ip)
            is_reachable = other.is_up and not other.is_frozen and not self._world.network.is_cut(self.ip, ip)
            if self._dialled(ip) is None and is_reachable:
                connection = Connection(self.ip, ip)
                self._world.network.connections.append(connection)
                self.run(self.node.connected(self.steady(), ip))
                other.when_awake(lambda c=connection, o=other: o.greet(c))  # type: ignore[misc]

    def greet(self, connection: Connection) -> None:
        """Another node has dialled this one."""
        if self.node is not None:
            self._send(RemotePeer(connection, connection.dialler), self.node.heartbeat(self.steady()))

    def connection_ended(self, connection: Connection) -> None:
        """A connection of this node has ended."""

        def ended() -> None:
            if self.node is None:
                return
            if connection.dialler == self.ip:
                self.run(self.node.disconnected(self.steady(), connection.listener))
            else:
                for peer in [p for p in self.node.followers.peers() if p.connection is connection]:
                    self.node.link_ended(peer)

        self.when_awake(ended)

    def _send_heartbeats(self) -> None:
        assert self.node is not None and self.replica is not None
        self._heartbeat_at = self.steady() + HEARTBEAT_INTERVAL_SECONDS
        heartbeat: CoordinationHeartbeat = self.node.heartbeat(self.steady())
        if not self.replica.is_voter:
            return
        for connection in [c for c in self._world.network.connections if c.listener == self.ip]:
            self._send(RemotePeer(connection, connection.dialler), heartbeat)

    # ---- calls -----------------------------------------------------------------------------

    def submit(self, command: Command, on_result: Callable[[Result], None]) -> None:
        """Have a command carried out."""
        if self.node is not None:
            self.run(self.node.submit(self.steady(), command, on_result))

    def _advanced(self) -> None:
        if self.watches is not None:
            self.watches.respond_to_ready()

    def _tick(self, lives: int) -> None:
        if lives != self._lives or self.node is None:
            return
        self._world.clock.call_at(
            self._world.clock.now + TICK_SECONDS, lambda: self._in_life(lives, lambda: self._tick(lives))
        )
        now = self.steady()
        if now - self._last_tick > PAUSE_SECONDS:
            self._resumed = now
        self._last_tick = now
        self._connect()
        self.run(self.node.tick(now))
        if self.node is not None and now >= self._heartbeat_at:
            self._send_heartbeats()
        if self.watches is not None:
            self.watches.tick(now)
