"""One server of the ensemble: connections, reads, watches, and the faults that are injected into it."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lugspur.standins.zookeeper.ensemble import (
    Change,
    Ensemble,
    Replica,
    Requester,
    RequestError,
    Session,
    require_permission,
)
from lugspur.standins.zookeeper.tree import Event as WatchEvent
from lugspur.standins.zookeeper.tree import Node, parent_of
from lugspur.zookeeper import records as r
from lugspur.zookeeper.frames import FrameDecoder
from lugspur.zookeeper.jute import InputArchive, JuteDecodeError, decode, encode, length_prefixed
from lugspur.zookeeper.records import ErrorCode, EventType, Op

MAX_FRAME_BYTES = 0xFFFFF + 1024  # bytes; the default of jute.maxbuffer plus room for a header
SYNC_CONNECTED = 3  # the session state in each watch event
EVENT_PREFIX = r.EVENT_XID.to_bytes(4, "big", signed=True)
OPS_SINCE_3_6 = (Op.ADD_WATCH, Op.SET_WATCHES2)  # requests that servers before ZooKeeper 3.6 don't support
WRITE_OPS = (Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.SET_ACL, Op.CHECK)


@dataclass(slots=True)
class Faults:
    """The faults that are injected into one server."""

    stalled: bool = False  # connections stay open, but nothing is read or written
    reply_delay: float = 0.0  # seconds by which replies are delayed; if infinite, until `mend` is called
    events_first: bool = False  # events are sent at once, ahead of delayed replies
    no_persistent_watches: bool = False  # the server supports no persistent watches
    read_only: bool = False
    ignores_set_watches: bool = False  # watches that a client sets again after a reconnect are ignored
    truncates: bool = False  # only half of the next write is sent, then the connection is closed


class Server:
    """One server, which listens on an address of its own."""

    def __init__(self, ensemble: Ensemble, seed: int = 0) -> None:
        self.ensemble = ensemble
        self.replica = Replica(ensemble, self._on_applied)
        self.faults = Faults()
        self.connections: set[Connection] = set()
        self.request_counts: Counter[int] = Counter()  # requests by operation
        self.bytes_out = 0
        self.address = ("", 0)
        self.random = random.Random(seed)
        self._server: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen; a second call listens again at the same address."""
        loop = asyncio.get_running_loop()
        port = port or self.address[1]
        self._server = await loop.create_server(lambda: Connection(self), host, port, reuse_address=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    # ---- faults ------------------------------------------------------------------------------

    def stall(self) -> None:
        """Stop reading and writing; connections stay open, and new ones are accepted but get no reply."""
        self.faults.stalled = True

    def refuse(self) -> None:
        """Drop all connections and accept no new ones."""
        if self._server is not None:
            self._server.close()
        self.flap()

    def flap(self) -> None:
        """Drop all connections; new ones are accepted."""
        for connection in tuple(self.connections):
            connection.abort()

    def lag(self) -> None:
        """Apply no further changes to this server's replica."""
        self.replica.lagging = True

    def garbage(self) -> None:
        """Send random bytes instead of a frame."""
        self._raw(self.random.randbytes(64))

    def huge(self) -> None:
        """Send the length of a frame of 1 GiB and its first 64 bytes."""
        self._raw((1 << 30).to_bytes(4, "big") + b"x" * 64)

    def _raw(self, data: bytes) -> None:
        for connection in tuple(self.connections):
            connection.write(data)

    def mend(self) -> None:
        """End all faults except a closed listener."""
        self.faults = Faults()
        # The protocol guarantees the order of events: unsent data goes out before the events of changes applied now.
        for connection in tuple(self.connections):
            connection.release()
        self.replica.catch_up()
        for connection in tuple(self.connections):
            connection.pump()

    # ---- changes -----------------------------------------------------------------------------

    def _on_applied(self, change: Change, events: list[WatchEvent]) -> None:
        for connection in tuple(self.connections):
            for event in events:
                connection.watches.notify(event, connection.send_event)
            if change.ended and connection.requester.session == change.ended:
                connection.end()
            connection.pump()


@dataclass(slots=True)
class Watches:
    """The paths that one connection watches, by kind of watch."""

    data: set[str] = field(default_factory=set)  # includes watches on nodes that don't exist yet
    children: set[str] = field(default_factory=set)
    persistent: set[str] = field(default_factory=set)
    recursive: set[str] = field(default_factory=set)

    def notify(self, watch_event: WatchEvent, send: Callable[[EventType, str], None]) -> None:
        """Call `send` for the event if it is watched, at most once; a one-shot watch is removed."""
        kind, path = watch_event
        wanted = path in self.persistent
        if kind is EventType.CHILDREN:
            if path in self.children:
                self.children.discard(path)
                wanted = True
        else:
            for one_shot in (self.data, self.children) if kind is EventType.DELETED else (self.data,):
                if path in one_shot:
                    one_shot.discard(path)
                    wanted = True
            wanted = wanted or self._under_recursive(path)
        if wanted:
            send(kind, path)

    def _under_recursive(self, path: str) -> bool:
        while path not in self.recursive:
            if path == "/":
                return False
            path = parent_of(path)
        return True


class Connection(asyncio.Protocol):
    """One client's connection. Its requests are served in order; a write blocks the requests after it."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self.watches = Watches()
        self.requester = Requester()
        self._session: Session | None = None
        self._decoder = FrameDecoder(MAX_FRAME_BYTES)
        self._frames: deque[bytes] = deque()
        self._waiting_reply: tuple[int, bytes] | None = None  # a write's zxid and its reply, which waits for it
        self._delayed: deque[tuple[float, bytes]] = deque()
        self._unsent: list[bytes] = []
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)

    def abort(self) -> None:
        """Drop the connection at once."""
        self._server.connections.discard(self)
        self._transport.abort()

    def end(self) -> None:
        """Close the connection after its session ended; data already written is still sent."""
        self._server.connections.discard(self)
        self._transport.close()

    # ---- frames ------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        try:
            self._frames.extend(self._decoder.feed(data))
        except JuteDecodeError:
            self.abort()
            return
        self.pump()

    def pump(self) -> None:
        """Serve the received requests until one has to wait."""
        while not self._server.faults.stalled:
            if self._waiting_reply is not None:
                zxid, reply = self._waiting_reply
                if zxid > self._server.replica.zxid:
                    return
                self._waiting_reply = None
                self._reply(reply)
            if not self._frames:
                return
            frame = self._frames.popleft()
            try:
                self._serve(frame)
            except JuteDecodeError:
                self.abort()
                return

    def _reply(self, frame: bytes) -> None:
        late = self._server.faults.reply_delay
        if not late and not self._delayed:
            self.write(length_prefixed(frame))
            return
        self._delayed.append((self._loop.time() + late, length_prefixed(frame)))
        if late != float("inf"):
            self._loop.call_at(self._delayed[-1][0], self._flush)

    def _flush(self) -> None:
        while self._delayed and self._delayed[0][0] <= self._loop.time() + 0.001:
            self.write(self._delayed.popleft()[1])

    def release(self) -> None:
        """Send unsent data and delayed replies."""
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self.write(data)
        while self._delayed:
            self.write(self._delayed.popleft()[1])

    def send_event(self, kind: EventType, path: str) -> None:
        """Send a watch event, ahead of all later replies and, if that fault is set, ahead of delayed ones."""
        header = r.ReplyHeader(r.EVENT_XID, -1, 0)
        frame = encode(header) + encode(r.WatcherEvent(kind, SYNC_CONNECTED, path))
        self._reply(frame)
        if self._server.faults.events_first:
            self._overtake()

    def _overtake(self) -> None:
        """Send delayed events ahead of delayed replies, in their own order, which the protocol guarantees."""
        late, self._delayed = self._delayed, deque()
        for due, data in late:
            if data[4:8] == EVENT_PREFIX:
                self.write(data)
            else:
                self._delayed.append((due, data))

    def write(self, data: bytes) -> None:
        """Write bytes unchanged, unless a fault keeps them back or truncates them."""
        if self._transport.is_closing():
            return
        if self._server.faults.stalled:  # like a stopped process: sent when the fault ends, if ever
            self._unsent.append(data)
            return
        if self._server.faults.truncates:
            self._server.faults.truncates = False
            self._transport.write(data[: len(data) // 2])
            self.end()
            return
        self._server.bytes_out += len(data)
        self._transport.write(data)

    # ---- the session -------------------------------------------------------------------------

    def _serve(self, frame: bytes) -> None:
        source = InputArchive(frame)
        if self._session is None:
            self._connect(decode(r.ConnectRequest, source))
            return
        if self._session.server is not self:  # the session moved to another connection or ended
            self.abort()
            return
        header = decode(r.RequestHeader, source)
        self._server.request_counts[header.op] += 1
        self._server.ensemble.touch(self._session)
        if header.op == Op.CLOSE:
            self._send_reply(header.xid, ErrorCode.OK, b"")
            self._server.ensemble.end(self._session.id)
            self.end()
        elif header.op == Op.MULTI:
            self._multi(header.xid, r.decode_transaction(source))
        elif header.op == Op.SYNC:  # replied to when this replica has applied all changes committed so far
            self._reply_after(self._server.ensemble.zxid, header.xid, ErrorCode.OK, encode(decode(r.Path, source)))
        else:
            self._request(header.xid, header.op, source)

    def _connect(self, asked: r.ConnectRequest) -> None:
        server, ensemble = self._server, self._server.ensemble
        # A client that has seen a newer zxid than this server has to connect to another one (ZooKeeperServer.java).
        if asked.last_zxid > server.replica.zxid or (server.faults.read_only and not asked.read_only):
            self.end()
            return
        session = ensemble.sessions.get(asked.session) if asked.session else ensemble.begin(asked.timeout / 1000.0)
        if session is None or (asked.session and asked.password != session.password):
            response = r.ConnectResponse(0, 0, 0, r.NO_PASSWORD)
            self.write(length_prefixed(encode(response) + b"\0"))
            self.end()
            return
        former, session.server, self._session = session.server, self, session
        if former is not None:
            former.abort()
        self.requester.session = session.id
        ensemble.touch(session)
        response = r.ConnectResponse(0, int(session.timeout * 1000), session.id, session.password)
        self._reply(encode(response) + (b"\1" if server.faults.read_only else b"\0"))

    # ---- requests ----------------------------------------------------------------------------

    def _send_reply(self, xid: int, error: int, body: bytes) -> None:
        self._reply(encode(r.ReplyHeader(xid, self._server.replica.zxid, error)) + body)

    def _request(self, xid: int, op: int, source: InputArchive) -> None:
        faults = self._server.faults
        kind = r.REQUESTS.get(op)
        if kind is None or (op in OPS_SINCE_3_6 and faults.no_persistent_watches):
            self._send_reply(xid, ErrorCode.UNIMPLEMENTED, b"")
            return
        if faults.read_only and op in WRITE_OPS:
            self._send_reply(xid, ErrorCode.NOT_READ_ONLY, b"")
            return
        row = decode(kind, source)
        if op in WRITE_OPS:
            zxid, ((done, result),) = self._server.ensemble.commit(self.requester, ((op, row),))
            error = result.error if done == Op.ERROR else 0
            self._reply_after(zxid, xid, error, b"" if error else encode(result))
            return
        try:
            self._send_reply(xid, ErrorCode.OK, self._read(op, row))
        except RequestError as fault:
            self._send_reply(xid, fault.error, b"")
            if fault.error is ErrorCode.AUTH_FAILED:
                self.end()

    def _reply_after(self, zxid: int, xid: int, error: int, body: bytes) -> None:
        """Hold a reply back until this server's replica has applied the change `zxid`."""
        self._waiting_reply = zxid, encode(r.ReplyHeader(xid, zxid, error)) + body

    def _multi(self, xid: int, parts: tuple[r.TransactionPart, ...]) -> None:
        zxid, results = self._server.ensemble.commit(self.requester, parts)
        # The header's error is 0 even if the transaction failed; the parts have the errors
        # (FinalRequestProcessor.java).
        self._reply_after(zxid, xid, ErrorCode.OK, r.encode_transaction_results(results))

    def _read(self, op: int, row: Any) -> bytes:
        if op in (Op.SET_WATCHES, Op.SET_WATCHES2):
            self._restore_watches(row)
            return b""
        if op == Op.ADD_WATCH:
            known = self.watches.recursive if row.mode == r.PERSISTENT_RECURSIVE else self.watches.persistent
            known.add(row.path)
            return encode(r.ErrorResult(0))
        if op == Op.AUTH:
            if not self.requester.authenticate(row.scheme, row.auth):
                raise RequestError(ErrorCode.AUTH_FAILED)
            return b""
        return b"" if op == Op.PING else self._read_node(op, row)

    def _read_node(self, op: int, row: Any) -> bytes:
        node = self._server.replica.tree.nodes.get(row.path)
        if op == Op.EXISTS and row.watch:
            self.watches.data.add(row.path)
        if node is None:
            raise RequestError(ErrorCode.NO_NODE)
        if op == Op.EXISTS:
            return encode(node.stat())
        if op == Op.GET_ACL:
            require_permission(node.acl, self.requester, r.PERM_READ | r.PERM_ADMIN)
            return encode(r.Acls(node.acl, node.stat()))
        require_permission(node.acl, self.requester, r.PERM_READ)
        if row.watch:
            (self.watches.data if op == Op.GET_DATA else self.watches.children).add(row.path)
        return _encode_node(op, node, self._server.random)

    def _restore_watches(self, row: Any) -> None:
        """Set watches after a reconnect; those whose node changed in the meantime fire at once (DataTree.java)."""
        if self._server.faults.ignores_set_watches:
            return
        nodes = self._server.replica.tree.nodes
        for path in row.data:
            node = nodes.get(path)
            if node is None:
                self.send_event(EventType.DELETED, path)
            elif node.mzxid > row.since:
                self.send_event(EventType.CHANGED, path)
            else:
                self.watches.data.add(path)
        for path in row.exists:
            if path in nodes:
                self.send_event(EventType.CREATED, path)
            else:
                self.watches.data.add(path)
        for path in row.children:
            node = nodes.get(path)
            if node is None:
                self.send_event(EventType.DELETED, path)
            elif node.pzxid > row.since:
                self.send_event(EventType.CHILDREN, path)
            else:
                self.watches.children.add(path)
        if isinstance(row, r.SetWatches2):
            self.watches.persistent.update(row.persistent)
            self.watches.recursive.update(row.recursive)


def _encode_node(op: int, node: Node, random_source: random.Random) -> bytes:
    if op == Op.GET_DATA:
        return encode(r.Data(node.data, node.stat()))
    names = sorted(node.children)
    random_source.shuffle(names)  # the protocol guarantees no order
    if op == Op.GET_CHILDREN:
        return encode(r.Names(tuple(names)))
    return encode(r.Children(tuple(names), node.stat()))
