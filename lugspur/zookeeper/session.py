"""One session with an ensemble. No I/O: its input is data and the time, its output is events and data.

The rules are those of the Java client (ClientCnxn.java): the client sends a ping if it has sent nothing for a third of
the granted timeout, selects another server if it has received nothing for two thirds of the timeout, and resumes the
session on its next connection. Only a server can report that a session has expired.
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
from lugspur.zookeeper.records import ErrorCode, EventType, Op

#: Size limit of a frame from a server, as in the Java client; the names of some 100,000 children fit.
MAX_FRAME_BYTES = 4 << 20
#: Size limit of the paths in one setWatches request; servers accept frames of 1 MB.
MAX_WATCH_PATH_BYTES = 128 << 10
MAX_XID = (1 << 31) - 1
CLOSED_REASON = "the server closed the connection"
BEHIND_REASON = "the server closed the connection before it accepted the session; it may lag behind other servers"
READ_OPS = (Op.GET_DATA, Op.EXISTS, Op.GET_CHILDREN, Op.GET_CHILDREN2)


class SessionState(Enum):
    """SessionState of a session."""

    DISCONNECTED = auto()  # no connection
    CONNECTING = auto()  # the connection is established; the server has not accepted the session yet
    CONNECTED = auto()
    CLOSED = auto()  # final


@dataclass(slots=True, frozen=True)
class SessionOptions:
    """Options that a client requests for a session."""

    timeout: float = 10.0  # seconds; servers may grant another timeout
    read_only: bool = False  # whether servers without a quorum, which are read-only, are accepted
    auth: tuple[tuple[str, bytes], ...] = ()  # schemes and credentials, such as ("digest", b"user:password")


@dataclass(slots=True, frozen=True)
class Connected:
    """A server has accepted the session; a new session has none of the ephemeral nodes and watches of earlier ones."""

    is_new_session: bool
    session_id: int
    timeout: float  # granted timeout in seconds


@dataclass(slots=True, frozen=True)
class Disconnected:
    """The connection has ended or has to be closed; pending replies will not arrive. The session may still be alive."""

    reason: str


@dataclass(slots=True, frozen=True)
class Expired:
    """A server has reported that the session has expired; the next connection starts a new one."""


@dataclass(slots=True, frozen=True)
class Reply:
    """The reply to a request; `result` is None if there is an error."""

    token: int
    op: int
    error: int
    result: Any


@dataclass(slots=True, frozen=True)
class WatchTriggered:
    """A watch was triggered."""

    kind: EventType
    path: str


Event = Connected | Disconnected | Expired | Reply | WatchTriggered


@dataclass(slots=True)
class _Watches:
    """Watches that are set at the server, and are restored at the next one."""

    data: set[str] = field(default_factory=set)
    exists: set[str] = field(default_factory=set)
    children: set[str] = field(default_factory=set)
    persistent: set[str] = field(default_factory=set)
    recursive: set[str] = field(default_factory=set)

    def record_reply(self, op: int, body: Any, error: int) -> None:
        """Record the watch that a request has set according to its reply, if any."""
        if op == Op.ADD_WATCH and not error:
            (self.recursive if body.mode == r.PERSISTENT_RECURSIVE else self.persistent).add(body.path)
        elif op in READ_OPS and body.watch:
            if op == Op.EXISTS and error == ErrorCode.NO_NODE:
                self.exists.add(body.path)
            elif not error:
                (self.children if op in (Op.GET_CHILDREN, Op.GET_CHILDREN2) else self.data).add(body.path)

    def record_event(self, kind: EventType, path: str) -> None:
        """Remove the one-shot watches that an event has consumed."""
        if kind is EventType.CHILDREN:
            self.children.discard(path)
            return
        self.data.discard(path)
        self.exists.discard(path)
        if kind is EventType.DELETED:
            self.children.discard(path)

    def restore_requests(self, since: int) -> Iterable[tuple[Op, Any]]:
        """Return requests that set all watches again, each within the size that servers accept.

        `since` is the zxid up to which changes have been seen.
        """
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
    """Keeps one session over any number of connections. Times are in seconds of one monotonic clock."""

    def __init__(self, options: SessionOptions, server_count: int = 1) -> None:
        self.options = options
        self.state = SessionState.DISCONNECTED
        self.id = 0
        self.timeout = options.timeout  # the requested timeout until a server has granted one
        self.zxid = 0  # the latest change that any server has shown
        self.last_heard_at = float("-inf")  # when data of a server was last received
        self._server_count = server_count
        self._password = r.NO_PASSWORD
        self._min_zxid = 0  # the latest change that was seen before this connection
        self._output: list[bytes] = []
        self._pending: deque[tuple[int, int, Any]] = deque()
        self._xid = 0
        self._last_sent_at = 0.0
        self._connected_at = 0.0
        self._frame_decoder = FrameDecoder(MAX_FRAME_BYTES)
        self._watches = _Watches()

    @property
    def connect_timeout(self) -> float:
        """Seconds that a server may take to accept the session.

        Two thirds of the session's timeout may have passed before the first server is given up, and all others have to
        be tried in the remaining time, before the session expires.
        """
        return self.timeout / 3.0 / max(1, self._server_count - 1)

    # ---- connections -------------------------------------------------------------------------

    def connection_made(self, now: float) -> None:
        """A connection is established; the first frame requests the session."""
        self.state, self._connected_at, self._min_zxid = SessionState.CONNECTING, now, self.zxid
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
        """The connection has ended or is given up; without a connection, nothing happens."""
        if self.state in (SessionState.DISCONNECTED, SessionState.CLOSED):
            return []
        if self.state is SessionState.CONNECTING and self._min_zxid and reason == CLOSED_REASON:
            reason = BEHIND_REASON  # a server that lags does only this (ZooKeeperServer.java)
        self.state = SessionState.DISCONNECTED
        self._pending.clear()
        self._output.clear()
        return [Disconnected(reason)]

    def data_received(self, now: float, data: bytes) -> list[Event]:
        """Process data of the server; a Disconnected among the events means that the connection has to be closed."""
        if self.state in (SessionState.DISCONNECTED, SessionState.CLOSED):
            return []
        self.last_heard_at = now
        events: list[Event] = []
        try:
            for frame in self._frame_decoder.feed(data):
                events += (
                    self._on_connect_response(now, frame)
                    if self.state is SessionState.CONNECTING
                    else self._on_frame(frame)
                )
                if events and isinstance(events[-1], Disconnected):
                    break
        except JuteDecodeError as error:
            events += self.connection_lost(f"the server sent invalid data: {error}")
        return events

    def take_output(self) -> bytes:
        """Return the data to be sent now."""
        data = b"".join(self._output)
        self._output.clear()
        return data

    def next_tick_at(self) -> float:
        """Return the time at which `tick` has to be called; infinity without a connection."""
        if self.state is SessionState.CONNECTING:
            return self._connected_at + self.connect_timeout
        if self.state is SessionState.CONNECTED:
            return min(self._last_sent_at + self.timeout / 3.0, self.last_heard_at + self.timeout * 2.0 / 3.0)
        return float("inf")

    def tick(self, now: float) -> list[Event]:
        """Send a ping if it is due, or give up a server that sends nothing."""
        if now < self.next_tick_at():
            return []
        if self.state is SessionState.CONNECTING or now >= self.last_heard_at + self.timeout * 2.0 / 3.0:
            # A server that hangs keeps its connections open, so that only its silence shows the failure.
            return self.connection_lost("the server sent nothing in time")
        self._send(now, r.PING_XID, Op.PING, r.EmptyRecord())
        return []

    def close(self, now: float) -> None:
        """Request the end of the session, which deletes its ephemeral nodes."""
        if self.state is SessionState.CONNECTED:
            self.send_request(now, Op.CLOSE, r.EmptyRecord())

    # ---- requests ----------------------------------------------------------------------------

    def send_request(self, now: float, op: int, body: Any) -> int:
        """Send a request and return its token, which its reply has; raises RuntimeError unless connected."""
        if self.state is not SessionState.CONNECTED:
            raise RuntimeError("the session is not connected")
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

    # ---- frames of the server ----------------------------------------------------------------

    def _on_connect_response(self, now: float, frame: bytes) -> list[Event]:
        source = InputArchive(frame)
        response = decode(r.ConnectResponse, source)
        read_only = bool(source.remaining) and source.data[source.position] != 0
        if response.timeout <= 0 or not response.session:
            # The zxid is kept: a new session must not use a server that lags behind it either.
            self.id, self._password, self.timeout = 0, r.NO_PASSWORD, self.options.timeout
            self._watches = _Watches()
            return [Expired(), *self.connection_lost("the session has expired")]
        if read_only and not self.options.read_only:
            return self.connection_lost("the server is read-only")
        is_new_session = response.session != self.id
        self.id, self._password, self.timeout = response.session, response.password, response.timeout / 1000.0
        self.state = SessionState.CONNECTED
        for scheme, auth in self.options.auth:
            self._send(now, r.AUTH_XID, Op.AUTH, r.Auth(0, scheme, auth))
        for op, body in self._watches.restore_requests(self.zxid):
            self._send(now, r.SET_WATCHES_XID, op, body)
        return [Connected(is_new_session, self.id, self.timeout)]

    def _on_frame(self, frame: bytes) -> list[Event]:
        source = InputArchive(frame)
        header = decode(r.ReplyHeader, source)
        if 0 < header.zxid < self._min_zxid:
            return self.connection_lost("the server lags behind other servers")
        self.zxid = max(self.zxid, header.zxid)
        if header.xid == r.EVENT_XID:
            return self._on_watch_event(decode(r.WatcherEvent, source))
        if header.xid == r.AUTH_XID and header.error:
            return self.connection_lost("the server rejected the credentials")
        if header.xid in (r.PING_XID, r.AUTH_XID, r.SET_WATCHES_XID):
            return []
        if not self._pending or self._pending[0][0] != header.xid:
            raise JuteDecodeError(f"reply {header.xid} does not belong to the oldest pending request")
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
            error = ErrorCode.UNIMPLEMENTED  # servers before 3.6 send a reply without a body to an unknown request
        if not error:
            result = r.decode_transaction_results(source) if op == Op.MULTI else decode(r.REPLIES[op], source)
        self._watches.record_reply(op, body, error)
        if op == Op.CLOSE:
            self.state = SessionState.CLOSED
            return [Reply(xid, op, error, None), Disconnected("the session is closed")]
        return [Reply(xid, op, error, result)]
