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

WINDOW = 500  # reads on their way at once: servers slow down all their clients at 1,000 (globalOutstandingLimit)
DROPS_MOST = 2  # connections lost over addWatch in a row, after which the server is taken not to know it


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
class _Reads:
    """Reads of single nodes: at most one of each on its way."""

    queue: deque[str] = field(default_factory=deque)
    queued: set[str] = field(default_factory=set)
    out: dict[str, bool] = field(default_factory=dict)  # on their way, and whether the reply will count
    again: set[str] = field(default_factory=set)  # told of since they were asked for

    def want(self, name: str) -> None:
        """Read it, or read it once more."""
        if name in self.out:
            self.again.add(name)
        elif name not in self.queued:
            self.queued.add(name)
            self.queue.append(name)

    def wanted(self, name: str) -> bool:
        """Whether a read of it is to come, or is on its way."""
        return name in self.out or name in self.queued

    def drop(self, name: str) -> None:
        """It is gone: a reply that is on its way may be of before."""
        self.queued.discard(name)
        self.again.discard(name)
        if name in self.out:
            self.out[name] = False

    def next(self) -> str | None:
        """The next to request for, if one may be asked for now."""
        while self.queue and len(self.out) < WINDOW:
            name = self.queue.popleft()
            if name in self.queued:
                self.queued.discard(name)
                self.out[name] = True
                return name
        return None

    def came(self, name: str) -> bool:
        """Its reply is there; gives whether it counts."""
        counts = self.out.pop(name, False)
        if name in self.again:
            self.again.discard(name)
            self.want(name)
        return counts


class View:
    """Follows the children of `path`; `requests` and `news` are to be taken after each event."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.phase = Phase.DISCONNECTED
        self._inside = path.rstrip("/") + "/"
        self._requests: list[Request] = []
        self._news: list[ViewUpdate] = []
        self._round = 0
        self._plain = False  # whether only one-shot watches are to be had at this server
        self._drops = 0
        self._adding = False
        self._reads = _Reads()
        self._listing = False  # whether a list of the children is on its way...
        self._list_again = False  # ...and is to be asked for once more
        self._listed_once = False  # whether this full read has had one
        self._missing: set[str] = set()  # nodes that the full read still waits for
        self._versions: dict[str, tuple[int, int]] = {}  # what was told: by name, czxid and mzxid
        self._fresh: dict[str, r.Data | None] = {}  # what the full read has found
        self._seen = False  # whether the folder has ever been read whole

    def take_requests(self) -> list[Request]:
        """What is to be asked now."""
        while (name := self._reads.next()) is not None:
            self._requests.append(Request(Op.GET_DATA, r.Watching(self._inside + name, self._plain), name, self._round))
        requests, self._requests = self._requests, []
        return requests

    def take_updates(self) -> list[ViewUpdate]:
        """What has become known since the last time."""
        news, self._news = self._news, []
        return news

    # ---- the connection ----------------------------------------------------------------------

    def on_connected(self, event: Connected) -> None:
        """There is a connection; what happened before it is unknown, so all is read."""
        self._plain = self._drops >= DROPS_MOST
        self._read_all()
        # Guards against a server that lags: what follows shows all that any server had confirmed by now.
        self._ask(Op.SYNC, r.Path(self.path))
        if self._plain:
            self._list()
        else:
            self._adding = True
            self._ask(Op.ADD_WATCH, r.AddWatch(self.path, r.PERSISTENT_RECURSIVE))

    def on_disconnected(self) -> None:
        """There is none: what was told stays, and what is on its way is lost."""
        if self._adding:
            self._drops += 1
        self._adding = False
        self.phase = Phase.DISCONNECTED
        self._requests.clear()
        self._reads = _Reads()

    def again(self) -> None:
        """Try once more to read a folder that could not be read."""
        if self.phase is Phase.READING and not self._listing and not self._adding:
            self._list()

    def _read_all(self) -> None:
        self.phase = Phase.READING
        self._round += 1  # a reply to what was asked before counts no more
        self._reads = _Reads()
        self._listing = self._list_again = False
        self._listed_once = False
        self._fresh, self._missing = {}, set()

    def _ask(self, op: Op, row: Any) -> None:
        self._requests.append(Request(op, row, round=self._round))

    def _list(self) -> None:
        if self._listing:
            self._list_again = True
            return
        self._listing = True
        self._ask(Op.GET_CHILDREN2, r.Watching(self.path, self._plain))

    # ---- what watches tell -------------------------------------------------------------------

    def on_watch_triggered(self, kind: EventType, path: str) -> None:
        """A watch has told."""
        if self.phase is Phase.DISCONNECTED:
            return
        if path == self.path:
            self._told_folder(kind)
        elif path.startswith(self._inside) and "/" not in (name := path[len(self._inside) :]):
            if kind is EventType.DELETED:
                self._gone(name)
                self._check_whole()
            elif kind is not EventType.CHILDREN:
                self._reads.want(name)

    def _told_folder(self, kind: EventType) -> None:
        if kind is EventType.DELETED:
            for name in tuple(self._versions):
                self._gone(name)
            self._read_all()
            self._list()  # without a node it sets no watch: the reply says so, and `exists` sets one
        elif kind is EventType.CREATED or (kind is EventType.CHILDREN and self._plain):
            self._list()

    def _gone(self, name: str) -> None:
        """It has been deleted; whoever makes it again is somebody else."""
        self._reads.drop(name)
        self._missing.discard(name)
        self._fresh.pop(name, None)
        if self._versions.pop(name, None) is not None:
            self._news.append(NodeDeleted(name))

    # ---- replies -----------------------------------------------------------------------------

    def on_reply(self, request: Request, error: int, result: Any) -> None:
        """What became of a request."""
        if self.phase is Phase.DISCONNECTED:
            return
        if request.op == Op.ADD_WATCH:
            # Guards against a deaf view: it is of the connection, and counts whichever full read is going on by now.
            self._added(error)
        elif request.round != self._round:
            return  # of a read that was begun anew since
        elif request.op == Op.GET_CHILDREN2:
            self._listed(error, result)
        elif request.op == Op.GET_DATA:
            if self._reads.came(request.name):
                self._read(request.name, error, result)
                self._check_whole()
        elif request.op == Op.EXISTS and not error:
            self._list()  # it was made between the two requests

    def _added(self, error: int) -> None:
        self._adding, self._drops = False, 0
        self._plain = bool(error)
        self._list()

    def _listed(self, error: int, result: Any) -> None:
        self._listing = False
        if self._list_again:
            self._list_again = False
            self._list()
        if error == Error.NO_NODE:
            self._unmade()
            return
        if error:  # Guards the pool: a folder that may not be read now is not empty.
            self._news.append(ReadFailed(error))
            return
        names = set(result.names)
        for name in (self._versions.keys() | self._fresh.keys()) - names:
            wanted = self._reads.wanted(name)
            self._gone(name)
            if wanted:  # Guards a node whose making was told while this list, which is older, was on its way.
                self._reads.want(name)
        if self.phase is Phase.READING and not self._listed_once:
            self._listed_once = True
            self._missing = names
            fresh = names
        else:
            self._missing &= names
            fresh = names - self._versions.keys() - self._fresh.keys() - self._missing
        for name in sorted(fresh):
            self._reads.want(name)
        self._check_whole()

    def _unmade(self) -> None:
        """The folder does not exist. Where it has, its nodes have been deleted one by one or with it."""
        for name in tuple(self._versions):
            self._gone(name)
        self._fresh, self._missing = {}, set()
        if self._plain:
            self._ask(Op.EXISTS, r.Watching(self.path, True))
        if self._seen:
            self.phase, self._listed_once = Phase.READING, True
            self._check_whole()
        else:
            self._news.append(ReadFailed(Error.NO_NODE))

    def _read(self, name: str, error: int, result: Any) -> None:
        if error == Error.NO_NODE:
            self._gone(name)
            return
        self._missing.discard(name)
        data: r.Data | None = result if not error else None
        version = (data.stat.czxid, data.stat.mzxid) if data is not None else (0, 0)
        known = self._versions.get(name)
        if known is not None and known[0] and version[0] and version[0] != known[0]:
            self._news.append(NodeDeleted(name))  # deleted and made again unseen: somebody else's, of the same name
        if self.phase is Phase.READING:
            self._fresh[name] = data
        if self._seen:
            self._versions[name] = version
            if known != version:
                self._news.append(NodeChanged(name, data))

    def _check_whole(self) -> None:
        """The full read is over when each node that it listed has been read; what changes meanwhile is read after."""
        if self.phase is not Phase.READING or self._missing or not self._listed_once:
            return
        self.phase = Phase.FOLLOWING
        self._seen = True
        self._versions = {
            name: (data.stat.czxid, data.stat.mzxid) if data is not None else (0, 0)
            for name, data in self._fresh.items()
        }
        self._news.append(Snapshot(self._fresh))
        self._fresh = {}
