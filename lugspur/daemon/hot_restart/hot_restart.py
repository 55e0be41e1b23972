"""Coordinates this process with the other processes of the same proxy: its predecessor and its successor."""

from __future__ import annotations

import socket

from lugspur.daemon.hot_restart import packets
from lugspur.daemon.hot_restart.descriptors import close_all
from lugspur.daemon.hot_restart.log import log_line
from lugspur.daemon.hot_restart.packet_connection import PacketConnection
from lugspur.daemon.hot_restart.packets import PROTOCOL_VERSION, Packet, PacketError, PacketKind
from lugspur.daemon.hot_restart.peer_changes import BINDING_ALL, apply_packet
from lugspur.daemon.hot_restart.process_state import encode_state
from lugspur.daemon.hot_restart.rendezvous_socket import RendezvousSocket
from lugspur.daemon.hot_restart.request_ids import RequestIdBatch
from lugspur.daemon.hot_restart.restartable_proxy import RestartableProxy
from lugspur.daemon.hot_restart.takeover import PendingTakeover, Takeover
from lugspur.discovery.endpoints import Address, server_name

#: The time in which the complete state has to arrive: the platform waits 6 s for the new process.
STATE_TRANSFER_TIMEOUT_SECONDS = 1.0
#: Connections to other processes: the predecessor, the successor, and one that failed to start, with one to spare.
MAX_CONNECTIONS = 4
#: Packets that are kept until this process has a proxy: some hundreds arrive per second, for about 0.1 s.
MAX_EARLY_PACKETS = 1024


class HotRestart:
    """This process's side of hot restarts. A successor calls `take_over` first; every process calls `attach`.

    Attributes:
        connections: The connections to all other processes, including one that has not announced that it is ready.
        predecessor: The connection to the process that this one takes over from, until that process ends.
        successor: The connection to the process that serves in place of this one.
    """

    def __init__(self, address: Address) -> None:
        """Needs a running event loop. `address` is that of the clients' listener, which identifies the proxy."""
        self._rendezvous = RendezvousSocket(address, self._accept)
        self._proxy: RestartableProxy | None = None
        self._listener: socket.socket | None = None  # of the clients
        self.connections: dict[PacketConnection, None] = {}
        self.predecessor: PacketConnection | None = None
        self.successor: PacketConnection | None = None
        self._request_ids = RequestIdBatch(self.broadcast)
        self._early_packets: list[tuple[Packet, list[int]]] = []  # with their descriptors
        self._takeover: PendingTakeover | None = None
        self._is_closing = False

    # ---- as the successor ----------------------------------------------------------------------

    async def take_over(self) -> Takeover | None:
        """Ask the serving process for its listening socket and state.

        Returns None if there is no such process, or if it does not reply completely in time; the reason is logged, and
        this process starts without state.
        """
        sock = self._rendezvous.connect()
        if sock is None:
            return None
        self._takeover = PendingTakeover()
        self.predecessor = connection = self._add_connection(sock)
        connection.send(packets.hello())
        try:
            return await self._takeover.result(STATE_TRANSFER_TIMEOUT_SECONDS)
        except TimeoutError:
            log_line(f"takeover failed: no complete state received within {STATE_TRANSFER_TIMEOUT_SECONDS:g} s")
        except PacketError as error:
            log_line(f"takeover failed: {error}")
        connection.close()
        return None

    # ---- as the process that serves --------------------------------------------------------------

    def attach(self, proxy: RestartableProxy, listener: socket.socket) -> None:
        """Set the proxy and the clients' listening socket of this process, and apply the packets received before."""
        self._proxy, self._listener = proxy, listener
        early_packets, self._early_packets = self._early_packets, []
        for packet, descriptors in early_packets:
            apply_packet(proxy, packet, descriptors)
        if self.predecessor is None or not self.predecessor.is_open:
            proxy.detach_peers()

    def announce_ready(self) -> None:
        """Tell the predecessor that this process accepts clients, and let the next process find this one."""
        if self.predecessor is not None:
            self.predecessor.send(packets.ready())
            log_line("took over from the previous process")
        self._rendezvous.publish()

    def _accept(self, sock: socket.socket) -> None:
        """Accept the connection of a starting process."""
        if len(self.connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        self._add_connection(sock)

    def _send_state(self, connection: PacketConnection, packet: Packet) -> None:
        """Reply to a hello with the state; the listening socket is sent with its last part."""
        if packet.get("version") != PROTOCOL_VERSION or self._proxy is None or self._listener is None:
            connection.send(packets.refusal())
            return
        parts = encode_state(self._proxy.snapshot_state())
        for part in parts[:-1]:
            connection.send(part)
        connection.send(parts[-1], self._listener.fileno())

    def _set_successor(self, successor: PacketConnection) -> None:
        """Record that a process has announced that it accepts clients in place of this one."""
        self.successor = successor
        log_line("a successor has taken over from this process")
        if self._proxy is not None:
            self._proxy.set_superseded(True)

    # ---- connections and received packets ------------------------------------------------------

    def _add_connection(self, sock: socket.socket) -> PacketConnection:
        connection = PacketConnection(sock, self._receive, self._connection_closed)
        self.connections[connection] = None
        return connection

    def _receive(self, connection: PacketConnection, packet: Packet, descriptors: list[int]) -> None:
        """Handle a packet and its descriptors, which this process has to close; raises PacketError."""
        kind = packet["t"]
        takeover = self._takeover if connection is self.predecessor else None
        if kind == PacketKind.STATE_PART and takeover is not None:
            takeover.receive_part(packet, descriptors)
        elif kind == PacketKind.REFUSAL and takeover is not None and takeover.is_pending:
            takeover.fail(str(packet.get("why")))
            close_all(descriptors)
        elif kind == PacketKind.HELLO:
            self._send_state(connection, packet)
            close_all(descriptors)
        elif kind == PacketKind.READY:
            self._set_successor(connection)
            close_all(descriptors)
        else:
            self._receive_change(connection, packet, descriptors)

    def _receive_change(self, connection: PacketConnection, packet: Packet, descriptors: list[int]) -> None:
        """Apply a change that a peer reports, or keep it until this process has a proxy; raises PacketError."""
        if self._proxy is None:
            if len(self._early_packets) >= MAX_EARLY_PACKETS:
                raise PacketError("too many packets before this process serves")
            self._early_packets.append((packet, descriptors))
            return
        if packet["t"] in BINDING_ALL:
            for other in self.connections:  # With three processes in a row, the middle one forwards the change.
                if other is not connection:
                    other.send(packet)
        apply_packet(self._proxy, packet, descriptors)

    def _connection_closed(self, connection: PacketConnection) -> None:
        self.connections.pop(connection, None)
        if self._is_closing:
            return
        if connection is self.predecessor:
            self._predecessor_ended()
        if connection is self.successor:
            self._successor_ended()
        if not self.connections and self._proxy is not None:
            self._proxy.detach_peers()

    def _predecessor_ended(self) -> None:
        self.predecessor = None
        if self._takeover is not None:
            self._takeover.fail("the serving process has ended")
        if self._proxy is not None:
            self._proxy.forget_peer_requests()

    def _successor_ended(self) -> None:
        """Continue to serve: the successor has ended before this process."""
        self.successor = None
        log_line("the successor has ended; this process continues to serve")
        if self._proxy is not None:
            self._proxy.set_superseded(False)
            self._rendezvous.publish()

    # ---- messages to peers ---------------------------------------------------------

    def broadcast(self, packet: Packet) -> None:
        """Send a packet to all peers."""
        for connection in tuple(self.connections):
            connection.send(packet)

    def broadcast_ban(self, server: int, on: bool, at: float) -> None:
        """Tell all peers that an operator has begun or ended the ban of a backend.

        `at` is in seconds since 1970 by the pool's clock.
        """
        self.broadcast(packets.ban(server_name(server), on, at))

    def broadcast_drain(self, on: bool) -> None:
        """Tell all peers that an operator has begun or ended a drain."""
        self.broadcast(packets.drain(on))

    def request_started(self, request_id: bytes) -> None:
        """Tell all peers, by the next turn of the event loop, that a request with this id is open here."""
        if self.connections:
            self._request_ids.add_begun(request_id)

    def request_finished(self, request_id: bytes) -> None:
        """Tell all peers, by the next turn of the event loop, that a request is finished."""
        if self.connections:
            self._request_ids.add_done(request_id)

    def has_successor(self) -> bool:
        """Return whether another process serves in place of this one, after reading all packets that have arrived."""
        for connection in tuple(self.connections):
            connection.read_available()
        return self.successor is not None

    def transfer_connection(self, descriptor: int) -> bool:
        """Send a connection to the successor; return False if there is none. The descriptor is not closed here."""
        return self.successor is not None and self.successor.send(packets.caller(), descriptor)

    @property
    def has_unsent_transfers(self) -> bool:
        """Whether a connection is queued that the successor has not read yet."""
        return self.successor is not None and self.successor.has_unsent_packets

    def close(self) -> None:
        """Close all connections to peers, since this process ends."""
        self._is_closing = True
        self._rendezvous.close()
        for connection in tuple(self.connections):
            connection.close()
