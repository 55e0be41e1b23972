"""View of the children of one directory. No I/O: reported changes are read at once, and everything after every gap.

The protocol guarantees that a watch reports a change before any read shows it. The view does not rely on that alone: a
node that is reported as changed while a read of it is in flight is read again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from lugspur.zookeeper import records as r
from lugspur.zookeeper.records import ErrorCode, EventType, Op
from lugspur.zookeeper.session import Connected

#: Maximum number of reads in flight; servers throttle all their clients at 1,000 requests (globalOutstandingLimit).
MAX_CONCURRENT_READS = 500
#: Number of consecutive connections that are lost during addWatch, after which the server is assumed not to support it.
MAX_ADD_WATCH_DISCONNECTS = 2


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Everything has been read; `nodes` are all nodes by name, with None for a node that may not be read."""

    nodes: dict[str, r.Data | None]


@dataclass(slots=True, frozen=True)
class NodeChanged:
    """A node is new or its data has changed; `data` is None if it may not be read."""

    name: str
    data: r.Data | None


@dataclass(slots=True, frozen=True)
class NodeDeleted:
    """A node has been deleted by a client or with its session."""

    name: str


@dataclass(slots=True, frozen=True)
class ReadFailed:
    """The directory cannot be read, with this error code; NO_NODE: it has not existed since the view was created."""

    error: int


ViewUpdate = Snapshot | NodeChanged | NodeDeleted | ReadFailed


@dataclass(slots=True, frozen=True)
class Request:
    """A request to be sent; it is passed back with its reply."""

    op: Op
    body: Any
    name: str = ""  # name of the node to be read
    round: int = 0  # number of the full read to which the request belongs


class Phase(Enum):
    """State of the view."""

    DISCONNECTED = auto()
    READING = auto()  # everything is being read
    FOLLOWING = auto()  # everything has been read; changes are read as they are reported


@dataclass(slots=True)
class _NodeReads:
    """Reads of single nodes; for each node at most one read is in flight."""

    queue: deque[str] = field(default_factory=deque)
    queued: set[str] = field(default_factory=set)
    in_flight: dict[str, bool] = field(default_factory=dict)  # by node: whether the reply is valid
    repeated: set[str] = field(default_factory=set)  # nodes that have changed since the read in flight was sent

    def request(self, name: str) -> None:
        """Queue a read of a node; if one is in flight, repeat it after the reply."""
        if name in self.in_flight:
            self.repeated.add(name)
        elif name not in self.queued:
            self.queued.add(name)
            self.queue.append(name)

    def is_requested(self, name: str) -> bool:
        """Return whether a read of the node is queued or in flight."""
        return name in self.in_flight or name in self.queued

    def discard(self, name: str) -> None:
        """Cancel the reads of a deleted node: the reply to a read in flight may be outdated."""
        self.queued.discard(name)
        self.repeated.discard(name)
        if name in self.in_flight:
            self.in_flight[name] = False

    def next_name(self) -> str | None:
        """Return the next node to be read, or None if none may be read now."""
        while self.queue and len(self.in_flight) < MAX_CONCURRENT_READS:
            name = self.queue.popleft()
            if name in self.queued:
                self.queued.discard(name)
                self.in_flight[name] = True
                return name
        return None

    def complete(self, name: str) -> bool:
        """Record that the reply for a node has arrived; returns whether it is valid."""
        is_valid = self.in_flight.pop(name, False)
        if name in self.repeated:
            self.repeated.discard(name)
            self.request(name)
        return is_valid


class View:
    """Follows the children of `path`; `take_requests` and `take_updates` have to be called after each event."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.phase = Phase.DISCONNECTED
        self._child_prefix = path.rstrip("/") + "/"
        self._requests: list[Request] = []
        self._updates: list[ViewUpdate] = []
        self._round = 0
        self._uses_one_shot_watches = False  # whether the server supports only one-shot watches
        self._add_watch_disconnects = 0
        self._is_adding_watch = False
        self._reads = _NodeReads()
        self._is_listing = False  # whether a request for the list of children is in flight
        self._must_list_again = False  # whether the list has to be requested again after that reply
        self._has_listed = False  # whether the current full read has received the list of children
        self._unread_names: set[str] = set()  # nodes that the full read has listed but not read yet
        self._known_versions: dict[str, tuple[int, int]] = {}  # czxid and mzxid of delivered nodes, by name
        self._read_nodes: dict[str, r.Data | None] = {}  # nodes that the current full read has read
        self._has_been_read = False  # whether a full read has ever completed

    def take_requests(self) -> list[Request]:
        """Return the requests to be sent now."""
        while (name := self._reads.next_name()) is not None:
            self._requests.append(
                Request(
                    Op.GET_DATA,
                    r.ReadRequest(self._child_prefix + name, self._uses_one_shot_watches),
                    name,
                    self._round,
                )
            )
        requests, self._requests = self._requests, []
        return requests

    def take_updates(self) -> list[ViewUpdate]:
        """Return the updates since the last call."""
        updates, self._updates = self._updates, []
        return updates

    # ---- the connection ----------------------------------------------------------------------

    def on_connected(self, event: Connected) -> None:
        """Start a full read: changes during the disconnection are unknown."""
        self._uses_one_shot_watches = self._add_watch_disconnects >= MAX_ADD_WATCH_DISCONNECTS
        self._start_full_read()
        # A server may lag: requests after the sync see every change that any server has confirmed before it.
        self._request(Op.SYNC, r.Path(self.path))
        if self._uses_one_shot_watches:
            self._request_children()
        else:
            self._is_adding_watch = True
            self._request(Op.ADD_WATCH, r.AddWatch(self.path, r.PERSISTENT_RECURSIVE))

    def on_disconnected(self) -> None:
        """Discard requests: their replies will not arrive. Delivered nodes stay valid."""
        if self._is_adding_watch:
            self._add_watch_disconnects += 1
        self._is_adding_watch = False
        self.phase = Phase.DISCONNECTED
        self._requests.clear()
        self._reads = _NodeReads()

    def retry_read(self) -> None:
        """Retry to read a directory that could not be read."""
        if self.phase is Phase.READING and not self._is_listing and not self._is_adding_watch:
            self._request_children()

    def _start_full_read(self) -> None:
        self.phase = Phase.READING
        self._round += 1  # replies to earlier requests are ignored
        self._reads = _NodeReads()
        self._is_listing = self._must_list_again = False
        self._has_listed = False
        self._read_nodes, self._unread_names = {}, set()

    def _request(self, op: Op, body: Any) -> None:
        self._requests.append(Request(op, body, round=self._round))

    def _request_children(self) -> None:
        if self._is_listing:
            self._must_list_again = True
            return
        self._is_listing = True
        self._request(Op.GET_CHILDREN2, r.ReadRequest(self.path, self._uses_one_shot_watches))

    # ---- watches -----------------------------------------------------------------------------

    def on_watch_triggered(self, kind: EventType, path: str) -> None:
        """Process a triggered watch."""
        if self.phase is Phase.DISCONNECTED:
            return
        if path == self.path:
            self._on_directory_event(kind)
        elif path.startswith(self._child_prefix) and "/" not in (name := path[len(self._child_prefix) :]):
            if kind is EventType.DELETED:
                self._remove_node(name)
                self._check_complete()
            elif kind is not EventType.CHILDREN:
                self._reads.request(name)

    def _on_directory_event(self, kind: EventType) -> None:
        if kind is EventType.DELETED:
            for name in tuple(self._known_versions):
                self._remove_node(name)
            self._start_full_read()
            self._request_children()  # no watch is set if the directory is missing; after that reply, `exists` sets one
        elif kind is EventType.CREATED or (kind is EventType.CHILDREN and self._uses_one_shot_watches):
            self._request_children()

    def _remove_node(self, name: str) -> None:
        """Record the deletion of a node; a node that is created under its name belongs to another process."""
        self._reads.discard(name)
        self._unread_names.discard(name)
        self._read_nodes.pop(name, None)
        if self._known_versions.pop(name, None) is not None:
            self._updates.append(NodeDeleted(name))

    # ---- replies -----------------------------------------------------------------------------

    def on_reply(self, request: Request, error: int, result: Any) -> None:
        """Process the reply to a request."""
        if self.phase is Phase.DISCONNECTED:
            return
        if request.op == Op.ADD_WATCH:
            # The watch belongs to the connection, so the reply is valid whichever full read is active now. A view that
            # ignored it would receive no events.
            self._on_watch_added(error)
        elif request.round != self._round:
            return  # the full read has been restarted since
        elif request.op == Op.GET_CHILDREN2:
            self._on_children(error, result)
        elif request.op == Op.GET_DATA:
            if self._reads.complete(request.name):
                self._on_data(request.name, error, result)
                self._check_complete()
        elif request.op == Op.EXISTS and not error:
            self._request_children()  # the directory was created between the two requests

    def _on_watch_added(self, error: int) -> None:
        self._is_adding_watch, self._add_watch_disconnects = False, 0
        self._uses_one_shot_watches = bool(error)
        self._request_children()

    def _on_children(self, error: int, result: Any) -> None:
        self._is_listing = False
        if self._must_list_again:
            self._must_list_again = False
            self._request_children()
        if error == ErrorCode.NO_NODE:
            self._on_missing_directory()
            return
        if error:  # a directory that may not be read is not empty: its nodes stay
            self._updates.append(ReadFailed(error))
            return
        names = set(result.names)
        for name in (self._known_versions.keys() | self._read_nodes.keys()) - names:
            is_requested = self._reads.is_requested(name)
            self._remove_node(name)
            if is_requested:  # the node was created after this list was read, and its event overtook the list
                self._reads.request(name)
        if self.phase is Phase.READING and not self._has_listed:
            self._has_listed = True
            self._unread_names = names
            new_names = names
        else:
            self._unread_names &= names
            new_names = names - self._known_versions.keys() - self._read_nodes.keys() - self._unread_names
        for name in sorted(new_names):
            self._reads.request(name)
        self._check_complete()

    def _on_missing_directory(self) -> None:
        """Record that the directory does not exist; if it existed before, its nodes have been deleted."""
        for name in tuple(self._known_versions):
            self._remove_node(name)
        self._read_nodes, self._unread_names = {}, set()
        if self._uses_one_shot_watches:
            self._request(Op.EXISTS, r.ReadRequest(self.path, True))
        if self._has_been_read:
            self.phase, self._has_listed = Phase.READING, True
            self._check_complete()
        else:
            self._updates.append(ReadFailed(ErrorCode.NO_NODE))

    def _on_data(self, name: str, error: int, result: Any) -> None:
        if error == ErrorCode.NO_NODE:
            self._remove_node(name)
            return
        self._unread_names.discard(name)
        data: r.Data | None = result if not error else None
        version = (data.stat.czxid, data.stat.mzxid) if data is not None else (0, 0)
        known = self._known_versions.get(name)
        if known is not None and known[0] and version[0] and version[0] != known[0]:
            self._updates.append(NodeDeleted(name))  # deleted and recreated unnoticed, by another process
        if self.phase is Phase.READING:
            self._read_nodes[name] = data
        if self._has_been_read:
            self._known_versions[name] = version
            if known != version:
                self._updates.append(NodeChanged(name, data))

    def _check_complete(self) -> None:
        """Complete the full read if every listed node has been read; changes in the meantime are read afterwards."""
        if self.phase is not Phase.READING or self._unread_names or not self._has_listed:
            return
        self.phase = Phase.FOLLOWING
        self._has_been_read = True
        self._known_versions = {
            name: (data.stat.czxid, data.stat.mzxid) if data is not None else (0, 0)
            for name, data in self._read_nodes.items()
        }
        self._updates.append(Snapshot(self._read_nodes))
        self._read_nodes = {}
