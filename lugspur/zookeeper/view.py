"""What one folder of the tree holds, without I/O: told changes are read at once, and all of it after every gap.

Between the server and the view the order is the protocol's: a watch tells of a change before any read shows it. The
view does not lean on that alone. Whatever is told of a node while a read of it is on its way is read once more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from lugspur.zookeeper import records as r
from lugspur.zookeeper.records import Error, EventType, Op
from lugspur.zookeeper.session import Connected

MAX_CONCURRENT_READS = (
    500  # reads on their way at once: servers slow down all their clients at 1,000 (globalOutstandingLimit)
)
MAX_ADD_WATCH_DISCONNECTS = 2  # connections lost over addWatch in a row, after which the server is taken not to know it


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Everything has been read: these are all nodes, by name."""

    nodes: dict[str, r.Data | None]


@dataclass(slots=True, frozen=True)
class NodeChanged:
    """A node is new or has other data; without data where it may not be read."""

    name: str
    data: r.Data | None


@dataclass(slots=True, frozen=True)
class NodeDeleted:
    """A node has been deleted, by whomever."""

    name: str


@dataclass(slots=True, frozen=True)
class ReadFailed:
    """The folder can't be read, for this reason; NO_NODE: it has never existed since this view began."""

    error: int


ViewUpdate = Snapshot | NodeChanged | NodeDeleted | ReadFailed


@dataclass(slots=True, frozen=True)
class Request:
    """A request that is to be sent; whoever sends it brings back the reply with it."""

    op: Op
    body: Any
    name: str = ""  # of the node that it reads
    round: int = 0  # the full read that it belongs to


class Phase(Enum):
    """How much of the folder is known."""

    DISCONNECTED = auto()
    READING = auto()  # all is being read
    FOLLOWING = auto()


@dataclass(slots=True)
class _NodeReads:
    """Reads of single nodes: at most one of each on its way."""

    queue: deque[str] = field(default_factory=deque)
    queued: set[str] = field(default_factory=set)
    in_flight: dict[str, bool] = field(default_factory=dict)  # on their way, and whether the reply will count
    repeated: set[str] = field(default_factory=set)  # told of since they were asked for

    def request(self, name: str) -> None:
        """Read it, or read it once more."""
        if name in self.in_flight:
            self.repeated.add(name)
        elif name not in self.queued:
            self.queued.add(name)
            self.queue.append(name)

    def is_requested(self, name: str) -> bool:
        """Whether a read of it is to come, or is on its way."""
        return name in self.in_flight or name in self.queued

    def discard(self, name: str) -> None:
        """It is gone: a reply that is on its way may be of before."""
        self.queued.discard(name)
        self.repeated.discard(name)
        if name in self.in_flight:
            self.in_flight[name] = False

    def next_name(self) -> str | None:
        """The next to request for, if one may be asked for now."""
        while self.queue and len(self.in_flight) < MAX_CONCURRENT_READS:
            name = self.queue.popleft()
            if name in self.queued:
                self.queued.discard(name)
                self.in_flight[name] = True
                return name
        return None

    def complete(self, name: str) -> bool:
        """Its reply is there; gives whether it counts."""
        is_valid = self.in_flight.pop(name, False)
        if name in self.repeated:
            self.repeated.discard(name)
            self.request(name)
        return is_valid


class View:
    """Follows the children of `path`; `requests` and `updates` are to be taken after each event."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.phase = Phase.DISCONNECTED
        self._child_prefix = path.rstrip("/") + "/"
        self._requests: list[Request] = []
        self._updates: list[ViewUpdate] = []
        self._round = 0
        self._uses_one_shot_watches = False  # whether only one-shot watches are to be had at this server
        self._add_watch_disconnects = 0
        self._is_adding_watch = False
        self._reads = _NodeReads()
        self._is_listing = False  # whether a list of the children is on its way...
        self._must_list_again = False  # ...and is to be asked for once more
        self._has_listed = False  # whether this full read has had one
        self._unread_names: set[str] = set()  # nodes that the full read still waits for
        self._known_versions: dict[str, tuple[int, int]] = {}  # what was told: by name, czxid and mzxid
        self._read_nodes: dict[str, r.Data | None] = {}  # what the full read has found
        self._has_been_read = False  # whether the folder has ever been read whole

    def take_requests(self) -> list[Request]:
        """What is to be asked now."""
        while (name := self._reads.next_name()) is not None:
            self._requests.append(
                Request(
                    Op.GET_DATA, r.Watching(self._child_prefix + name, self._uses_one_shot_watches), name, self._round
                )
            )
        requests, self._requests = self._requests, []
        return requests

    def take_updates(self) -> list[ViewUpdate]:
        """What has become known since the last time."""
        updates, self._updates = self._updates, []
        return updates

    # ---- the connection ----------------------------------------------------------------------

    def on_connected(self, event: Connected) -> None:
        """There is a connection; what happened before it is unknown, so all is read."""
        self._uses_one_shot_watches = self._add_watch_disconnects >= MAX_ADD_WATCH_DISCONNECTS
        self._start_full_read()
        # Guards against a server that lags: what follows shows all that any server had confirmed by now.
        self._request(Op.SYNC, r.Path(self.path))
        if self._uses_one_shot_watches:
            self._request_children()
        else:
            self._is_adding_watch = True
            self._request(Op.ADD_WATCH, r.AddWatch(self.path, r.PERSISTENT_RECURSIVE))

    def on_disconnected(self) -> None:
        """There is none: what was told stays, and what is on its way is lost."""
        if self._is_adding_watch:
            self._add_watch_disconnects += 1
        self._is_adding_watch = False
        self.phase = Phase.DISCONNECTED
        self._requests.clear()
        self._reads = _NodeReads()

    def retry_read(self) -> None:
        """Try once more to read a folder that could not be read."""
        if self.phase is Phase.READING and not self._is_listing and not self._is_adding_watch:
            self._request_children()

    def _start_full_read(self) -> None:
        self.phase = Phase.READING
        self._round += 1  # a reply to what was asked before counts no more
        self._reads = _NodeReads()
        self._is_listing = self._must_list_again = False
        self._has_listed = False
        self._read_nodes, self._unread_names = {}, set()

    def _request(self, op: Op, row: Any) -> None:
        self._requests.append(Request(op, row, round=self._round))

    def _request_children(self) -> None:
        if self._is_listing:
            self._must_list_again = True
            return
        self._is_listing = True
        self._request(Op.GET_CHILDREN2, r.Watching(self.path, self._uses_one_shot_watches))

    # ---- what watches tell -------------------------------------------------------------------

    def on_watch_triggered(self, kind: EventType, path: str) -> None:
        """A watch has told."""
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
            self._request_children()  # without a node it sets no watch: the reply says so, and `exists` sets one
        elif kind is EventType.CREATED or (kind is EventType.CHILDREN and self._uses_one_shot_watches):
            self._request_children()

    def _remove_node(self, name: str) -> None:
        """It has been deleted; whoever makes it again is somebody else."""
        self._reads.discard(name)
        self._unread_names.discard(name)
        self._read_nodes.pop(name, None)
        if self._known_versions.pop(name, None) is not None:
            self._updates.append(NodeDeleted(name))

    # ---- replies -----------------------------------------------------------------------------

    def on_reply(self, request: Request, error: int, result: Any) -> None:
        """What became of a request."""
        if self.phase is Phase.DISCONNECTED:
            return
        if request.op == Op.ADD_WATCH:
            # Guards against a deaf view: it is of the connection, and counts whichever full read is going on by now.
            self._on_watch_added(error)
        elif request.round != self._round:
            return  # of a read that was begun anew since
        elif request.op == Op.GET_CHILDREN2:
            self._on_children(error, result)
        elif request.op == Op.GET_DATA:
            if self._reads.complete(request.name):
                self._on_data(request.name, error, result)
                self._check_complete()
        elif request.op == Op.EXISTS and not error:
            self._request_children()  # it was made between the two requests

    def _on_watch_added(self, error: int) -> None:
        self._is_adding_watch, self._add_watch_disconnects = False, 0
        self._uses_one_shot_watches = bool(error)
        self._request_children()

    def _on_children(self, error: int, result: Any) -> None:
        self._is_listing = False
        if self._must_list_again:
            self._must_list_again = False
            self._request_children()
        if error == Error.NO_NODE:
            self._on_missing_directory()
            return
        if error:  # Guards the pool: a folder that may not be read now is not empty.
            self._updates.append(ReadFailed(error))
            return
        names = set(result.names)
        for name in (self._known_versions.keys() | self._read_nodes.keys()) - names:
            is_requested = self._reads.is_requested(name)
            self._remove_node(name)
            if is_requested:  # Guards a node whose making was told while this list, which is older, was on its way.
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
        """The folder does not exist. Where it has, its nodes have been deleted one by one or with it."""
        for name in tuple(self._known_versions):
            self._remove_node(name)
        self._read_nodes, self._unread_names = {}, set()
        if self._uses_one_shot_watches:
            self._request(Op.EXISTS, r.Watching(self.path, True))
        if self._has_been_read:
            self.phase, self._has_listed = Phase.READING, True
            self._check_complete()
        else:
            self._updates.append(ReadFailed(Error.NO_NODE))

    def _on_data(self, name: str, error: int, result: Any) -> None:
        if error == Error.NO_NODE:
            self._remove_node(name)
            return
        self._unread_names.discard(name)
        data: r.Data | None = result if not error else None
        version = (data.stat.czxid, data.stat.mzxid) if data is not None else (0, 0)
        known = self._known_versions.get(name)
        if known is not None and known[0] and version[0] and version[0] != known[0]:
            self._updates.append(NodeDeleted(name))  # deleted and made again unseen: somebody else's, of the same name
        if self.phase is Phase.READING:
            self._read_nodes[name] = data
        if self._has_been_read:
            self._known_versions[name] = version
            if known != version:
                self._updates.append(NodeChanged(name, data))

    def _check_complete(self) -> None:
        """The full read is over when each node that it listed has been read; what changes meanwhile is read after."""
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
