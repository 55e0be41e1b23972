"""One session with an ensemble, without I/O: bytes and the time go in, events and bytes come out.

The rules are those of the Java client (ClientCnxn.java): a ping when nothing was sent for a third of the granted
time-out, another server when nothing was heard for two thirds of it, and the session offered again wherever the
client connects next. Only a server can say that a session has expired.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from lugspur.zookeeper import records as r
from lugspur.zookeeper.frames import FrameDecoder
from lugspur.zookeeper.jute import InputArchive, JuteDecodeError, decode, encode, length_prefixed
from lugspur.zookeeper.records import Error, EventType, Op

MAX_FRAME_BYTES = 4 << 20  # bytes of a server's frame: some 100,000 names of children; the Java client's limit
MAX_WATCH_PATH_BYTES = 128 << 10  # bytes of paths in one setWatches: servers take frames of 1 MB
MAX_XID = (1 << 31) - 1
CLOSED_REASON = "it closed the connection"
BEHIND_REASON = "it closed the connection before it took the session: it may be behind what was seen"
READ_OPS = (Op.GET_DATA, Op.EXISTS, Op.GET_CHILDREN, Op.GET_CHILDREN2)


class State(Enum):
    """Where a session stands."""

    DISCONNECTED = auto()  # no connection
    CONNECTING = auto()  # connected; the server has not taken the session yet
    CONNECTED = auto()
    CLOSED = auto()  # for good


@dataclass(slots=True, frozen=True)
class SessionOptions:
    """What a session is asked for; the time-out is in seconds, and servers may grant another."""

    timeout: float = 10.0
    read_only: bool = False  # whether servers that are cut off from the rest will do
    auth: tuple[tuple[str, bytes], ...] = ()  # schemes and what they take, such as ("digest", b"user:password")


@dataclass(slots=True, frozen=True)
class Connected:
    """The session can be used; a fresh one has lost all that an earlier one had."""

    is_new_session: bool
    session_id: int
    timeout: float  # seconds, as granted


@dataclass(slots=True, frozen=True)
class Disconnected:
    """The connection is over or must be given up; replies that are missing never come. The session may live on."""

    reason: str


@dataclass(slots=True, frozen=True)
class Expired:
    """A server says that the session is no more; the next connection begins a fresh one."""


@dataclass(slots=True, frozen=True)
class Reply:
    """What became of a request; `result` is None where there is an error."""

    token: int
    op: int
    error: int
    result: Any


@dataclass(slots=True, frozen=True)
class WatchTriggered:
    """What a watch tells."""

    kind: EventType
    path: str


Event = Connected | Disconnected | Expired | Reply | WatchTriggered


@dataclass(slots=True)
class _Watches:
    """Watches that the server holds for this session, to be set again at the next one."""

    data: set[str] = field(default_factory=set)
    exists: set[str] = field(default_factory=set)
    children: set[str] = field(default_factory=set)
    persistent: set[str] = field(default_factory=set)
    recursive: set[str] = field(default_factory=set)

    def record_reply(self, op: int, body: Any, error: int) -> None:
        """A request that may have set one was answered."""
        if op == Op.ADD_WATCH and not error:
            (self.recursive if body.mode == r.PERSISTENT_RECURSIVE else self.persistent).add(body.path)
        elif op in READ_OPS and body.watch:
            if op == Op.EXISTS and error == Error.NO_NODE:
                self.exists.add(body.path)
            elif not error:
                (self.children if op in (Op.GET_CHILDREN, Op.GET_CHILDREN2) else self.data).add(body.path)

    def record_event(self, kind: EventType, path: str) -> None:
        """One-shot watches are spent by what they tell."""
        if kind is EventType.CHILDREN:
            self.children.discard(path)
            return
        self.data.discard(path)
        self.exists.discard(path)
        if kind is EventType.DELETED:
            self.children.discard(path)

    def restore_requests(self, since: int) -> Iterable[tuple[Op, Any]]:
        """Set them all again, in requests that a server takes."""
        lists = (self.data, self.exists, self.children, self.persistent, self.recursive)
        has_persistent = bool(self.persistent or self.recursive)
        path_lists: list[list[str]] = [[] for _ in lists]
        size = 0
        for index, path in ((index, path) for index, paths in enumerate(lists) for path in sorted(paths)):
            path_lists[index].append(path)
            size += len(path.encode()) + 4
            if size >= MAX_WATCH_PATH_BYTES:
                yield _set_watches_request(since, path_lists, has_persistent)
                path_lists, size = [[] for _ in lists], 0
        if size:
            yield _set_watches_request(since, path_lists, has_persistent)


def _set_watches_request(since: int, path_lists: list[list[str]], has_persistent: bool) -> tuple[Op, Any]:
    paths_by_list = [tuple(paths) for paths in path_lists]
    return (
        (Op.SET_WATCHES2, r.SetWatches2(since, *paths_by_list))
        if has_persistent
        else (Op.SET_WATCHES, r.SetWatches(since, *paths_by_list[:3]))
    )


class Session:
    """Keeps one session through any number of connections. Times are in seconds, of one clock that never steps."""

    def __init__(self, options: SessionOptions, server_count: int = 1) -> None:
        self.options = options
        self.state = State.DISCONNECTED
        self.id = 0
        self.timeout = options.timeout  # as granted, once a server has
        self.zxid = 0  # the latest change that was seen of the tree, at any server
        self.last_heard_at = float("-inf")  # when a server last said anything
        self._server_count = server_count
        self._password = r.NO_PASSWORD
        self._min_zxid = 0  # the zxid seen before this connection
        self._output: list[bytes] = []
        self._pending: deque[tuple[int, int, Any]] = deque()
        self._xid = 0
        self._last_sent_at = 0.0
        self._connected_at = 0.0
        self._frame_decoder = FrameDecoder(MAX_FRAME_BYTES)
        self._watches = _Watches()

    @property
    def connect_timeout(self) -> float:
        """Seconds that a server may take to let the session in.

        Guards the session: two thirds of its time-out may have gone by before the first server is given up, and
        all others are to be tried in what is left.
        """
        return self.timeout / 3.0 / max(1, self._server_count - 1)

    # ---- connections -------------------------------------------------------------------------

    def connection_made(self, now: float) -> None:
        """A connection is up."""
        self.state, self._connected_at, self._min_zxid = State.CONNECTING, now, self.zxid
        self._frame_decoder = FrameDecoder(MAX_FRAME_BYTES)
        self._output.clear()
        self._write(
            now,
            encode(
                r.ConnectRequest(
                    0, self.zxid, int(self.timeout * 1000), self.id, self._password, self.options.read_only
                )
            ),
        )

    def connection_lost(self, reason: str) -> list[Event]:
        """The connection is over, or given up; nothing happens where it was so already."""
        if self.state in (State.DISCONNECTED, State.CLOSED):
            return []
        if self.state is State.CONNECTING and self._min_zxid and reason == CLOSED_REASON:
            reason = BEHIND_REASON  # the only way in which a server says so (ZooKeeperServer.java)
        self.state = State.DISCONNECTED
        self._pending.clear()
        self._output.clear()
        return [Disconnected(reason)]

    def data_received(self, now: float, data: bytes) -> list[Event]:
        """Bytes of the server; a Disconnected among the events asks for another connection."""
        if self.state in (State.DISCONNECTED, State.CLOSED):
            return []
        self.last_heard_at = now
        events: list[Event] = []
        try:
            for frame in self._frame_decoder.feed(data):
                events += (
                    self._on_connect_response(now, frame) if self.state is State.CONNECTING else self._on_frame(frame)
                )
                if events and isinstance(events[-1], Disconnected):
                    break
        except JuteDecodeError as error:
            events += self.connection_lost(f"it sent what is no ZooKeeper's: {error}")
        return events

    def take_output(self) -> bytes:
        """What is to be sent now."""
        data = b"".join(self._output)
        self._output.clear()
        return data

    def next_tick_at(self) -> float:
        """When `tick` is wanted next; infinite without a connection."""
        if self.state is State.CONNECTING:
            return self._connected_at + self.connect_timeout
        if self.state is State.CONNECTED:
            return min(self._last_sent_at + self.timeout / 3.0, self.last_heard_at + self.timeout * 2.0 / 3.0)
        return float("inf")

    def tick(self, now: float) -> list[Event]:
        """Keep the session alive, or give up a server that says nothing."""
        if now < self.next_tick_at():
            return []
        if self.state is State.CONNECTING or now >= self.last_heard_at + self.timeout * 2.0 / 3.0:
            # Guards against a server that hangs with its connections open: nothing else would tell.
            return self.connection_lost("it says nothing")
        self._send(now, r.PING_XID, Op.PING, r.EmptyRecord())
        return []

    def close(self, now: float) -> None:
        """Ask for the session's end; its ephemeral nodes go with it."""
        if self.state is State.CONNECTED:
            self.send_request(now, Op.CLOSE, r.EmptyRecord())

    # ---- requests ----------------------------------------------------------------------------

    def send_request(self, now: float, op: int, body: Any) -> int:
        """Send a request while the session is up; the token comes back with the reply. Raises RuntimeError."""
        if self.state is not State.CONNECTED:
            raise RuntimeError("the session is not up")
        self._xid = self._xid % MAX_XID + 1
        self._pending.append((self._xid, op, body))
        self._send(now, self._xid, op, body)
        return self._xid

    def _send(self, now: float, xid: int, op: int, body: Any) -> None:
        payload = r.encode_transaction(body) if op == Op.MULTI else encode(body)
        self._write(now, encode(r.RequestHeader(xid, op)) + payload)

    def _write(self, now: float, frame: bytes) -> None:
        self._last_sent_at = now
        self._output.append(length_prefixed(frame))

    # ---- what the server says ----------------------------------------------------------------

    def _on_connect_response(self, now: float, frame: bytes) -> list[Event]:
        source = InputArchive(frame)
        response = decode(r.ConnectResponse, source)
        read_only = bool(source.remaining) and source.data[source.position] != 0
        if response.timeout <= 0 or not response.session:
            # What was seen of the tree stays known: a server behind it is none to follow with a fresh session either.
            self.id, self._password, self.timeout = 0, r.NO_PASSWORD, self.options.timeout
            self._watches = _Watches()
            return [Expired(), *self.connection_lost("the session has expired")]
        if read_only and not self.options.read_only:
            return self.connection_lost("it is read-only")
        is_new_session = response.session != self.id
        self.id, self._password, self.timeout = response.session, response.password, response.timeout / 1000.0
        self.state = State.CONNECTED
        for scheme, auth in self.options.auth:
            self._send(now, r.AUTH_XID, Op.AUTH, r.Auth(0, scheme, auth))
        for op, body in self._watches.restore_requests(self.zxid):
            self._send(now, r.SET_WATCHES_XID, op, body)
        return [Connected(is_new_session, self.id, self.timeout)]

    def _on_frame(self, frame: bytes) -> list[Event]:
        source = InputArchive(frame)
        header = decode(r.ReplyHeader, source)
        if 0 < header.zxid < self._min_zxid:
            return self.connection_lost("it is behind what other servers have shown")
        self.zxid = max(self.zxid, header.zxid)
        if header.xid == r.EVENT_XID:
            return self._on_watch_event(decode(r.WatcherEvent, source))
        if header.xid == r.AUTH_XID and header.error:
            return self.connection_lost("it takes no such credentials")
        if header.xid in (r.PING_XID, r.AUTH_XID, r.SET_WATCHES_XID):
            return []
        if not self._pending or self._pending[0][0] != header.xid:
            raise JuteDecodeError(f"reply {header.xid} to no request, or out of turn")
        return self._on_reply(header, source)

    def _on_watch_event(self, event: r.WatcherEvent) -> list[Event]:
        if event.kind not in (EventType.CREATED, EventType.DELETED, EventType.CHANGED, EventType.CHILDREN):
            return []
        kind = EventType(event.kind)
        self._watches.record_event(kind, event.path)
        return [WatchTriggered(kind, event.path)]

    def _on_reply(self, header: r.ReplyHeader, source: InputArchive) -> list[Event]:
        xid, op, body = self._pending.popleft()
        error, result = header.error, None
        if op == Op.ADD_WATCH and not error and not source.remaining:
            error = Error.UNIMPLEMENTED  # servers before 3.6 response what they don't know without a payload
        if not error:
            result = r.decode_transaction_results(source) if op == Op.MULTI else decode(r.REPLIES[op], source)
        self._watches.record_reply(op, body, error)
        if op == Op.CLOSE:
            self.state = State.CLOSED
            return [Reply(xid, op, error, None), Disconnected("the session is closed")]
        return [Reply(xid, op, error, result)]
