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

# In which the whole state has to come: the platform waits 6 s for the new process.
STATE_TRANSFER_TIMEOUT_SECONDS = 1.0
MAX_CONNECTIONS = 4  # to other processes: the one before, the next one, and one that failed
MAX_EARLY_PACKETS = 1024  # kept until there is a proxy: some hundreds come in a second, for some 0.1 s


class HotRestart:
    """This process's part in hot restarts; a successor first calls `take_over`, then all call `attach`.

    `predecessor` is the process that this one takes over from, while it runs; `successor` the one that serves in this
    one's place. A third process may be there that has not said that it is ready.
    """

    def __init__(self, address: Address) -> None:
        """`address` is the clients', which names the proxy; needs a running event loop."""
        self._rendezvous = RendezvousSocket(address, self._accept)
        self._proxy: RestartableProxy | None = None
        self._listener: socket.socket | None = None  # the clients'
        self.connections: dict[PacketConnection, None] = {}
        self.predecessor: PacketConnection | None = None
        self.successor: PacketConnection | None = None
        self._request_ids = RequestIdBatch(self.broadcast)
        self._early_packets: list[tuple[Packet, list[int]]] = []  # with their descriptors
        self._takeover: PendingTakeover | None = None
        self._is_closing = False

    # ---- as the successor ----------------------------------------------------------------------

    async def take_over(self) -> Takeover | None:
        """Ask the process that serves for its listening socket and state.

        Returns None where there is no such process, or where it does not answer completely in time; the cause is
        logged, and this process starts from nothing.
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
            log_line(f"no hand-over: nothing whole came within {STATE_TRANSFER_TIMEOUT_SECONDS:g} s")
        except PacketError as error:
            log_line(f"no hand-over: {error}")
        connection.close()
        return None

    # ---- as the process that serves --------------------------------------------------------------

    def attach(self, proxy: RestartableProxy, listener: socket.socket) -> None:
        """Serve with this proxy and the clients' listening socket from now on."""
        self._proxy, self._listener = proxy, listener
        early_packets, self._early_packets = self._early_packets, []
        for packet, descriptors in early_packets:
            apply_packet(proxy, packet, descriptors)
        if self.predecessor is None or not self.predecessor.is_open:
            proxy.detach_peers()

    def announce_ready(self) -> None:
        """Tell the predecessor that this process takes clients, and be found by the next one."""
        if self.predecessor is not None:
            self.predecessor.send(packets.ready())
            log_line("this process serves in the place of the one before")
        self._rendezvous.publish()

    def _accept(self, sock: socket.socket) -> None:
        """Connect to a process that starts."""
        if len(self.connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        self._add_connection(sock)

    def _send_state(self, connection: PacketConnection, packet: Packet) -> None:
        """Answer a hello with the state; the listening socket goes with its last part."""
        if packet.get("version") != PROTOCOL_VERSION or self._proxy is None or self._listener is None:
            connection.send(packets.refusal())
            return
        parts = encode_state(self._proxy.snapshot_state())
        for part in parts[:-1]:
            connection.send(part)
        connection.send(parts[-1], self._listener.fileno())

    def _follow(self, successor: PacketConnection) -> None:
        """A process has said that it takes clients in the place of this one."""
        self.successor = successor
        log_line("another process serves in the place of this one")
        if self._proxy is not None:
            self._proxy.set_superseded(True)

    # ---- connections and what comes by them ------------------------------------------------------

    def _add_connection(self, sock: socket.socket) -> PacketConnection:
        connection = PacketConnection(sock, self._receive, self._connection_closed)
        self.connections[connection] = None
        return connection

    def _receive(self, connection: PacketConnection, packet: Packet, descriptors: list[int]) -> None:
        """Act on a packet, whose descriptors are this process's; raises PacketError."""
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
            self._follow(connection)
            close_all(descriptors)
        else:
            self._receive_change(connection, packet, descriptors)

    def _receive_change(self, connection: PacketConnection, packet: Packet, descriptors: list[int]) -> None:
        """Follow what a peer was told, or keep it until there is a proxy; raises PacketError."""
        if self._proxy is None:
            if len(self._early_packets) >= MAX_EARLY_PACKETS:
                raise PacketError("too much before this process serves")
            self._early_packets.append((packet, descriptors))
            return
        if packet["t"] in BINDING_ALL:
            for other in self.connections:  # three in a row: what binds one binds all
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
            self._takeover.fail("the process that serves has ended")
        if self._proxy is not None:
            self._proxy.forget_peer_requests()

    def _successor_ended(self) -> None:
        """Serve on: the successor has ended before this process did."""
        self.successor = None
        log_line("the process that was to follow has ended; this one serves on")
        if self._proxy is not None:
            self._proxy.set_superseded(False)
            self._rendezvous.publish()

    # ---- what this process tells its peers ---------------------------------------------------------

    def broadcast(self, packet: Packet) -> None:
        """Send a packet to all peers at once."""
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
        """Tell all peers, with this turn of the event loop, that a request with this id is open here."""
        if self.connections:
            self._request_ids.add_begun(request_id)

    def request_finished(self, request_id: bytes) -> None:
        """Tell all peers, with this turn of the event loop, that a request is finished."""
        if self.connections:
            self._request_ids.add_done(request_id)

    def has_successor(self) -> bool:
        """Return whether another process serves in this one's place, by what has come up to now."""
        for connection in tuple(self.connections):
            connection.read_available()
        return self.successor is not None

    def transfer_connection(self, descriptor: int) -> bool:
        """Give a caller's connection to the successor; False where there is none. The descriptor stays the caller's."""
        return self.successor is not None and self.successor.send(packets.caller(), descriptor)

    @property
    def has_unsent_transfers(self) -> bool:
        """Whether a caller's connection waits for the successor to read."""
        return self.successor is not None and self.successor.has_unsent_packets

    def close(self) -> None:
        """Leave the peers, since this process ends."""
        self._is_closing = True
        self._rendezvous.close()
        for connection in tuple(self.connections):
            connection.close()
