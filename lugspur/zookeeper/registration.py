"""A node that tells that somebody is there, without I/O: made once, made again when lost, deleted first at the end.

One request is out at a time, and after each connection the registry is looked at before anything is made: a `create`
whose reply was lost may have been done. A plain node has a name of its own; a sequential one carries `ident`, which
nobody else uses, so that it is known again (Curator calls that protection).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from lugspur.zookeeper import records as r
from lugspur.zookeeper.records import CreateMode, Error, EventType, Op
from lugspur.zookeeper.session import Connected

HOPELESS = frozenset(
    {  # errors that the same request meets again until somebody changes something
        Error.NO_AUTH,
        Error.INVALID_ACL,
        Error.BAD_ARGUMENTS,
        Error.NO_CHILDREN_FOR_EPHEMERALS,
        Error.UNIMPLEMENTED,
        Error.MARSHALLING,
        Error.NOT_READ_ONLY,
        Error.SYSTEM,
    }
)


class Found(Enum):
    """What is known of the node."""

    UNKNOWN = auto()
    NONE = auto()
    OURS = auto()  # made in this session
    FORMER = auto()  # the same box's, of a session that has not expired yet
    OTHERS = auto()  # somebody else's of the same name


@dataclass(slots=True, frozen=True)
class Request:
    """A request that is to be sent."""

    op: Op
    body: Any


class Registration:
    """Keeps one ephemeral node for as long as it is wanted; `take_news` gives lines for the log.

    `same` tells of a node's data whether it is this box's own, from before its session was lost or it was restarted.
    """

    def __init__(self, folder: str, name: str, data: bytes, same: Callable[[bytes], bool], ident: str = "") -> None:
        self.folder = folder.rstrip("/")
        self._prefix = f"{self.folder}/{name}-{ident}-" if ident else ""
        self.path = "" if ident else f"{self.folder}/{name}"
        self.data = data
        self.found = Found.UNKNOWN
        self.wanted = False
        self._session = 0
        self._up = False
        self._busy = False
        self._synced = False  # whether this connection shows all that was done before it
        self._doubted = False  # something was told while a request was out
        self._version = 0
        self._held = b""  # the data of the node that was found
        self._folders: list[str] = []  # still to be made, from the top
        self._blocked = ""
        self._same = same
        self._said: object = None  # what was told last, to tell it once
        self._news: list[str] = []

    # ---- what its owner wants ------------------------------------------------------------------

    def want(self, wanted: bool) -> None:
        """Whether it is to be there from now on."""
        self.wanted = wanted

    def write(self, data: bytes) -> None:
        """What it is to say from now on."""
        self.data = data

    def again(self) -> None:
        """Try once more what an error has stopped."""
        self._blocked = ""

    @property
    def settled(self) -> bool:
        """Whether the registry holds what is wanted, as far as is known."""
        if self.wanted:
            return self.found is Found.OURS and self._held == self.data
        return self.found in (Found.NONE, Found.OTHERS)

    def take_news(self) -> list[str]:
        """Lines for the log since the last time."""
        news, self._news = self._news, []
        return news

    # ---- the session ---------------------------------------------------------------------------

    def on_connected(self, event: Connected) -> None:
        """There is a connection; what became of earlier requests is to be looked at."""
        if event.is_new_session and self._session:
            self._news.append("the session was lost; registering again")
        self._session, self._up = event.session_id, True
        self._busy, self._doubted, self._synced, self._blocked = False, False, False, ""
        self.found = Found.UNKNOWN
        self._folders = []
        if self._prefix:
            self.path = ""  # Guards against a replacement whose reply was lost: it has another number

    def on_disconnected(self) -> None:
        """There is none."""
        self._up = False

    def on_watch_triggered(self, kind: EventType, path: str) -> None:
        """Somebody has touched the node, or its session has ended."""
        if path == self.path and kind is not EventType.CHILDREN:
            self._doubted = True
            if not self._busy:
                self._doubt()

    def _doubt(self) -> None:
        self._doubted = False
        self.found = Found.UNKNOWN

    def take_requests(self) -> list[Request]:
        """The next request, if one is to be sent now."""
        if not self._up or self._busy or self._blocked:
            return []
        request = self._next()
        self._busy = request is not None
        return [] if request is None else [request]

    def _next(self) -> Request | None:
        if not self._synced:
            # Guards against a server that lags behind a `create` whose reply was lost: it would show no node.
            return Request(Op.SYNC, r.Path(self.folder))
        if self.found is Found.UNKNOWN:
            if self._prefix and not self.path:
                return Request(Op.GET_CHILDREN, r.Watching(self.folder or "/", False))
            return Request(Op.GET_DATA, r.Watching(self.path, True))
        if not self.wanted:
            ours = self.found in (Found.OURS, Found.FORMER)
            return Request(Op.DELETE, r.Delete(self.path, self._version)) if ours else None
        if self._folders:
            return Request(Op.CREATE, r.Create(self._folders[0], b"", r.OPEN_ACL, CreateMode.PERSISTENT))
        if self.found is Found.NONE:
            return Request(Op.CREATE, self._create())
        if self.found is Found.FORMER:
            # In one step: nobody sees the box missing, and nobody else's of the same name is deleted.
            delete = (int(Op.DELETE), r.Delete(self.path, self._version))
            return Request(Op.MULTI, (delete, (int(Op.CREATE), self._create())))
        if self.found is Found.OURS and self._held != self.data:
            return Request(Op.SET_DATA, r.SetData(self.path, self.data, self._version))
        return None

    def _create(self) -> r.Create:
        if self._prefix:
            return r.Create(self._prefix, self.data, r.OPEN_ACL, CreateMode.EPHEMERAL_SEQUENTIAL)
        return r.Create(self.path, self.data, r.OPEN_ACL, CreateMode.EPHEMERAL)

    # ---- replies -------------------------------------------------------------------------------

    def on_reply(self, request: Request, error: int, result: Any) -> None:
        """What became of a request."""
        self._busy = False
        if request.op is Op.MULTI and result is not None:
            error = next((row.error for op, row in result if op == Op.ERROR and row.error), 0)
        if error in HOPELESS:
            self._blocked = Error(error).name
            self._say(
                (request.op, error),
                f"{request.op.name} of {getattr(request.body, 'path', self.path)} fails: {self._blocked}",
            )
            return
        if request.op is Op.SYNC:
            self._synced = True
        elif request.op is Op.GET_DATA:
            self._looked(error, result)
        elif request.op is Op.GET_CHILDREN:
            self._listed(error, result)
        elif request.op is Op.CREATE and self._folders and request.body.path == self._folders[0]:
            self._folders.pop(0)
        elif request.op is Op.CREATE and error == Error.NO_NODE:
            parts = self.folder.split("/")[1:]
            self._folders = ["/" + "/".join(parts[: at + 1]) for at in range(len(parts))]
        else:
            self._changed(request, result)
        if self._doubted:
            self._doubt()

    def _changed(self, request: Request, result: Any) -> None:
        """Done or not, the node is looked at: that also sets the watch on it."""
        self.found = Found.UNKNOWN
        if request.op is Op.CREATE and result is not None:
            self.path = result.path
        elif self._prefix:
            self.path = ""

    def _listed(self, error: int, result: Any) -> None:
        name = self._prefix.rpartition("/")[2]
        found = [] if error else [one for one in result.names if one.startswith(name)]
        if found:
            self.path = f"{self.folder}/{max(found)}"
        else:
            self._set(Found.NONE, 0, b"")

    def _looked(self, error: int, result: Any) -> None:
        if error:
            if self._prefix:
                self.path = ""
            self._set(Found.NONE, 0, b"")
            return
        owner, version = result.stat.owner, result.stat.version
        if owner == self._session:
            self._set(Found.OURS, version, result.data)
        elif self._prefix or self._same(result.data):
            self._set(Found.FORMER, version, result.data)
        else:
            self._say(owner, f"{self.path} is somebody else's; waiting until it is gone")
            self._set(Found.OTHERS, version, result.data)

    def _set(self, found: Found, version: int, held: bytes) -> None:
        if found is Found.OURS and self.wanted:
            self._say((self._session, self.path), f"registered as {self.path}")
        self.found, self._version, self._held = found, version, held

    def _say(self, about: object, line: str) -> None:
        if about != self._said:
            self._said = about
            self._news.append(line)
