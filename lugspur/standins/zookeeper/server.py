"""One server of the ensemble: connections, reads, watches, and the faults that it is told to have."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lugspur.standins.zookeeper.ensemble import Change, Ensemble, Refused, Replica, Session, Who, allowed
from lugspur.standins.zookeeper.tree import Event as Told
from lugspur.standins.zookeeper.tree import Node, parent_of
from lugspur.zookeeper import records as r
from lugspur.zookeeper.frames import FrameDecoder
from lugspur.zookeeper.jute import InputArchive, JuteDecodeError, decode, encode, length_prefixed
from lugspur.zookeeper.records import ErrorCode, EventType, Op

FRAME_MOST = 0xFFFFF + 1024  # bytes; the default of jute.maxbuffer, and room for a header
SYNC_CONNECTED = 3
EVENT_PREFIX = r.EVENT_XID.to_bytes(4, "big", signed=True)
NEWER = (Op.ADD_WATCH, Op.SET_WATCHES2)  # requests that servers before 3.6 don't know
WRITES = (Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.SET_ACL, Op.CHECK)


@dataclass(slots=True)
class Faults:
    """What a server does wrong just now."""

    stalled: bool = False  # connections stay open; nothing is read, nothing is written
    late: float = 0.0  # seconds by which replies come late; infinite: until the server is mended
    overtaking: bool = False  # events go out at once, past replies that are late
    old: bool = False  # it knows no persistent watches
    read_only: bool = False
    forgets: bool = False  # watches that a client sets again after a reconnect are lost
    cut: bool = False  # the next frame ends half-way, and the connection with it


class Server:
    """A server on an address of its own."""

    def __init__(self, ensemble: Ensemble, seed: int = 0) -> None:
        self.ensemble = ensemble
        self.replica = Replica(ensemble, self._applied)
        self.faults = Faults()
        self.connections: set[Connection] = set()
        self.asked: Counter[int] = Counter()  # requests by operation
        self.bytes_out = 0
        self.address = ("", 0)
        self.random = random.Random(seed)
        self._server: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begin, or begin again at the same address."""
        loop = asyncio.get_running_loop()
        port = port or self.address[1]
        self._server = await loop.create_server(lambda: Connection(self), host, port, reuse_address=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    # ---- faults ------------------------------------------------------------------------------

    def stall(self) -> None:
        """Go silent with all connections open; new ones come up and stay silent too."""
        self.faults.stalled = True

    def refuse(self) -> None:
        """Drop all connections and take none."""
        if self._server is not None:
            self._server.close()
        self.flap()

    def flap(self) -> None:
        """Drop all connections; new ones are welcome."""
        for connection in tuple(self.connections):
            connection.abort()

    def lag(self) -> None:
        """Hear of no further changes."""
        self.replica.lagging = True

    def garbage(self) -> None:
        """Send bytes that are no frame's."""
        self._raw(self.random.randbytes(64))

    def huge(self) -> None:
        """Announce a frame of 1 GB."""
        self._raw((1 << 30).to_bytes(4, "big") + b"x" * 64)

    def _raw(self, data: bytes) -> None:
        for connection in tuple(self.connections):
            connection.write(data)

    def mend(self) -> None:
        """End every fault but a closed listener."""
        self.faults = Faults()
        # Guards the order of events, which the protocol promises: what was not said comes before what is learned now.
        for connection in tuple(self.connections):
            connection.release()
        self.replica.catch_up()
        for connection in tuple(self.connections):
            connection.pump()

    # ---- changes -----------------------------------------------------------------------------

    def _applied(self, change: Change, events: list[Told]) -> None:
        for connection in tuple(self.connections):
            for event in events:
                connection.watches.tell(event, connection.event)
            if change.ended and connection.who.session == change.ended:
                connection.end()
            connection.pump()


@dataclass(slots=True)
class Watches:
    """What one connection wants to hear of, by path."""

    data: set[str] = field(default_factory=set)  # also of nodes that don't exist yet
    children: set[str] = field(default_factory=set)
    persistent: set[str] = field(default_factory=set)
    recursive: set[str] = field(default_factory=set)

    def tell(self, told: Told, event: Callable[[EventType, str], None]) -> None:
        """Each event at most once; one-shot watches are spent."""
        kind, path = told
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
            wanted = wanted or self._below(path)
        if wanted:
            event(kind, path)

    def _below(self, path: str) -> bool:
        while path not in self.recursive:
            if path == "/":
                return False
            path = parent_of(path)
        return True


class Connection(asyncio.Protocol):
    """One client's connection; its requests are served in order, and a write holds up those after it."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self.watches = Watches()
        self.who = Who()
        self._session: Session | None = None
        self._cut = FrameDecoder(FRAME_MOST)
        self._frames: deque[bytes] = deque()
        self._held: tuple[int, bytes] | None = None  # the zxid that a write's reply waits for
        self._late: deque[tuple[float, bytes]] = deque()
        self._unsaid: list[bytes] = []
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)

    def abort(self) -> None:
        """Drop it at once."""
        self._server.connections.discard(self)
        self._transport.abort()

    def end(self) -> None:
        """Its session is over: what was written still goes out."""
        self._server.connections.discard(self)
        self._transport.close()

    # ---- frames ------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        try:
            self._frames.extend(self._cut.feed(data))
        except JuteDecodeError:
            self.abort()
            return
        self.pump()

    def pump(self) -> None:
        """Serve what can be served now."""
        while not self._server.faults.stalled:
            if self._held is not None:
                zxid, reply = self._held
                if zxid > self._server.replica.zxid:
                    return
                self._held = None
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
        late = self._server.faults.late
        if not late and not self._late:
            self.write(length_prefixed(frame))
            return
        self._late.append((self._loop.time() + late, length_prefixed(frame)))
        if late != float("inf"):
            self._loop.call_at(self._late[-1][0], self._flush)

    def _flush(self) -> None:
        while self._late and self._late[0][0] <= self._loop.time() + 0.001:
            self.write(self._late.popleft()[1])

    def release(self) -> None:
        """Send what is late, or was not said."""
        unsaid, self._unsaid = self._unsaid, []
        for data in unsaid:
            self.write(data)
        while self._late:
            self.write(self._late.popleft()[1])

    def event(self, kind: EventType, path: str) -> None:
        """Tell of a watch; it goes out before any later reply, and past late ones where that fault is on."""
        header = r.ReplyHeader(r.EVENT_XID, -1, 0)
        frame = encode(header) + encode(r.WatcherEvent(kind, SYNC_CONNECTED, path))
        self._reply(frame)
        if self._server.faults.overtaking:
            self._overtake()

    def _overtake(self) -> None:
        """Events go out past the replies that are late, and in their own order: the protocol promises that."""
        late, self._late = self._late, deque()
        for due, data in late:
            if data[4:8] == EVENT_PREFIX:
                self.write(data)
            else:
                self._late.append((due, data))

    def write(self, data: bytes) -> None:
        """Bytes as they are, unless a fault says otherwise."""
        if self._transport.is_closing():
            return
        if self._server.faults.stalled:  # as with a process that is stopped: said later, if ever
            self._unsaid.append(data)
            return
        if self._server.faults.cut:
            self._server.faults.cut = False
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
        if self._session.server is not self:  # moved to another connection, or over
            self.abort()
            return
        header = decode(r.RequestHeader, source)
        self._server.asked[header.op] += 1
        self._server.ensemble.touch(self._session)
        if header.op == Op.CLOSE:
            self._answer(header.xid, ErrorCode.OK, b"")
            self._server.ensemble.end(self._session.id)
            self.end()
        elif header.op == Op.MULTI:
            self._multi(header.xid, r.decode_transaction(source))
        elif header.op == Op.SYNC:  # answered when this server shows all that was confirmed by now
            self._wait(self._server.ensemble.zxid, header.xid, ErrorCode.OK, encode(decode(r.Path, source)))
        else:
            self._request(header.xid, header.op, source)

    def _connect(self, asked: r.ConnectRequest) -> None:
        server, ensemble = self._server, self._server.ensemble
        # A client that has seen more than this server must look for another one (ZooKeeperServer.java).
        if asked.last_zxid > server.replica.zxid or (server.faults.read_only and not asked.read_only):
            self.end()
            return
        session = ensemble.sessions.get(asked.session) if asked.session else ensemble.begin(asked.timeout / 1000.0)
        if session is None or (asked.session and asked.password != session.password):
            answer = r.ConnectResponse(0, 0, 0, r.NO_PASSWORD)
            self.write(length_prefixed(encode(answer) + b"\0"))
            self.end()
            return
        former, session.server, self._session = session.server, self, session
        if former is not None:
            former.abort()
        self.who.session = session.id
        ensemble.touch(session)
        answer = r.ConnectResponse(0, int(session.timeout * 1000), session.id, session.password)
        self._reply(encode(answer) + (b"\1" if server.faults.read_only else b"\0"))

    # ---- requests ----------------------------------------------------------------------------

    def _answer(self, xid: int, error: int, body: bytes) -> None:
        self._reply(encode(r.ReplyHeader(xid, self._server.replica.zxid, error)) + body)

    def _request(self, xid: int, op: int, source: InputArchive) -> None:
        faults = self._server.faults
        kind = r.REQUESTS.get(op)
        if kind is None or (op in NEWER and faults.old):
            self._answer(xid, ErrorCode.UNIMPLEMENTED, b"")
            return
        if faults.read_only and op in WRITES:
            self._answer(xid, ErrorCode.NOT_READ_ONLY, b"")
            return
        row = decode(kind, source)
        if op in WRITES:
            zxid, ((done, result),) = self._server.ensemble.commit(self.who, ((op, row),))
            error = result.error if done == Op.ERROR else 0
            self._wait(zxid, xid, error, b"" if error else encode(result))
            return
        try:
            self._answer(xid, ErrorCode.OK, self._read(op, row))
        except Refused as fault:
            self._answer(xid, fault.error, b"")
            if fault.error is ErrorCode.AUTH_FAILED:
                self.end()

    def _wait(self, zxid: int, xid: int, error: int, body: bytes) -> None:
        """A write's reply goes out when this server has applied it."""
        self._held = zxid, encode(r.ReplyHeader(xid, zxid, error)) + body

    def _multi(self, xid: int, parts: tuple[r.TransactionPart, ...]) -> None:
        zxid, results = self._server.ensemble.commit(self.who, parts)
        # Failed or not, the header says 0: the parts tell (FinalRequestProcessor.java).
        self._wait(zxid, xid, ErrorCode.OK, r.encode_transaction_results(results))

    def _read(self, op: int, row: Any) -> bytes:
        if op in (Op.SET_WATCHES, Op.SET_WATCHES2):
            self._again(row)
            return b""
        if op == Op.ADD_WATCH:
            known = self.watches.recursive if row.mode == r.PERSISTENT_RECURSIVE else self.watches.persistent
            known.add(row.path)
            return encode(r.ErrorResult(0))
        if op == Op.AUTH:
            if not self.who.prove(row.scheme, row.auth):
                raise Refused(ErrorCode.AUTH_FAILED)
            return b""
        return b"" if op == Op.PING else self._look(op, row)

    def _look(self, op: int, row: Any) -> bytes:
        node = self._server.replica.tree.nodes.get(row.path)
        if op == Op.EXISTS and row.watch:
            self.watches.data.add(row.path)
        if node is None:
            raise Refused(ErrorCode.NO_NODE)
        if op == Op.EXISTS:
            return encode(node.stat())
        if op == Op.GET_ACL:
            allowed(node.acl, self.who, r.PERM_READ | r.PERM_ADMIN)
            return encode(r.Acls(node.acl, node.stat()))
        allowed(node.acl, self.who, r.PERM_READ)
        if row.watch:
            (self.watches.data if op == Op.GET_DATA else self.watches.children).add(row.path)
        return _shown(op, node, self._server.random)

    def _again(self, row: Any) -> None:
        """Watches after a reconnect: what has changed since is told at once, the rest is set (DataTree.java)."""
        if self._server.faults.forgets:
            return
        nodes = self._server.replica.tree.nodes
        for path in row.data:
            node = nodes.get(path)
            if node is None:
                self.event(EventType.DELETED, path)
            elif node.mzxid > row.since:
                self.event(EventType.CHANGED, path)
            else:
                self.watches.data.add(path)
        for path in row.exists:
            if path in nodes:
                self.event(EventType.CREATED, path)
            else:
                self.watches.data.add(path)
        for path in row.children:
            node = nodes.get(path)
            if node is None:
                self.event(EventType.DELETED, path)
            elif node.pzxid > row.since:
                self.event(EventType.CHILDREN, path)
            else:
                self.watches.children.add(path)
        if isinstance(row, r.SetWatches2):
            self.watches.persistent.update(row.persistent)
            self.watches.recursive.update(row.recursive)


def _shown(op: int, node: Node, chance: random.Random) -> bytes:
    if op == Op.GET_DATA:
        return encode(r.Data(node.data, node.stat()))
    names = sorted(node.children)
    chance.shuffle(names)  # the protocol promises no order
    if op == Op.GET_CHILDREN:
        return encode(r.Names(tuple(names)))
    return encode(r.Children(tuple(names), node.stat()))
