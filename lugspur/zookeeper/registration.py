"""Registration of a backend by an ephemeral node: created once, recreated when it is lost, deleted on request. No I/O.

At most one request is in flight. After each connection the registry is read before a node is created, as a `create`
whose reply was lost may have been executed. A plain node has a name of its own. The name of a sequential node contains
`sequence_id`, which no other registration uses, so that the node is recognized (Curator calls this protection).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from lugspur.zookeeper import records as r
from lugspur.zookeeper.records import CreateMode, ErrorCode, EventType, Op
from lugspur.zookeeper.session import Connected

#: Errors that a repeated request causes again, until an operator changes the registry or the settings.
PERMANENT_ERRORS = frozenset(
    {
        ErrorCode.NO_AUTH,
        ErrorCode.INVALID_ACL,
        ErrorCode.BAD_ARGUMENTS,
        ErrorCode.NO_CHILDREN_FOR_EPHEMERALS,
        ErrorCode.UNIMPLEMENTED,
        ErrorCode.MARSHALLING,
        ErrorCode.NOT_READ_ONLY,
        ErrorCode.SYSTEM,
    }
)


class NodeStatus(Enum):
    """What is known about the node."""

    UNKNOWN = auto()
    ABSENT = auto()
    OWN = auto()  # created in the current session
    FORMER_SESSION = auto()  # created by the same backend in an earlier session, which has not expired yet
    FOREIGN = auto()  # a node with the same name that another process has created


@dataclass(slots=True, frozen=True)
class Request:
    """A request to be sent."""

    op: Op
    body: Any


class Registration:
    """Keeps one ephemeral node while it is wanted.

    `is_own_data` returns whether a node with this data belongs to this backend, from before its session was lost or the
    process was restarted.
    """

    def __init__(
        self, directory: str, name: str, data: bytes, is_own_data: Callable[[bytes], bool], sequence_id: str = ""
    ) -> None:
        self.directory = directory.rstrip("/")
        self._prefix = f"{self.directory}/{name}-{sequence_id}-" if sequence_id else ""
        self.path = "" if sequence_id else f"{self.directory}/{name}"
        self.data = data
        self.status = NodeStatus.UNKNOWN
        self.is_wanted = False
        self._session_id = 0
        self._is_connected = False
        self._is_busy = False  # whether a request is in flight
        self._is_synced = False  # whether the server has replied to a `sync` on this connection
        self._is_outdated = False  # whether a watch was triggered while a request was in flight
        self._version = 0
        self._stored_data = b""  # the data of the node in the registry
        self._missing_directories: list[str] = []  # directories that have to be created, the topmost first
        self._blocking_error = ""  # name of a permanent error, after which no requests are sent until `retry`
        self._is_own_data = is_own_data
        self._last_logged: object = None  # subject of the last log line; a repeated one is not logged
        self._log_lines: list[str] = []

    # ---- methods of the owner ------------------------------------------------------------------

    def set_wanted(self, wanted: bool) -> None:
        """Set whether the node should exist."""
        self.is_wanted = wanted

    def set_data(self, data: bytes) -> None:
        """Set the data that the node should have."""
        self.data = data

    def retry(self) -> None:
        """Retry after an error that has stopped the registration."""
        self._blocking_error = ""

    @property
    def is_settled(self) -> bool:
        """Whether the registry is in the requested state, according to the last replies."""
        if self.is_wanted:
            return self.status is NodeStatus.OWN and self._stored_data == self.data
        return self.status in (NodeStatus.ABSENT, NodeStatus.FOREIGN)

    def take_log_lines(self) -> list[str]:
        """Return the log lines since the last call."""
        log_lines, self._log_lines = self._log_lines, []
        return log_lines

    # ---- the session ---------------------------------------------------------------------------

    def on_connected(self, event: Connected) -> None:
        """Reset the state: the outcome of earlier requests is unknown."""
        if event.is_new_session and self._session_id:
            self._log_lines.append("the session has expired; registering again")
        self._session_id, self._is_connected = event.session_id, True
        self._is_busy, self._is_outdated, self._is_synced, self._blocking_error = False, False, False, ""
        self.status = NodeStatus.UNKNOWN
        self._missing_directories = []
        if self._prefix:
            self.path = ""  # a replacement whose reply was lost has another sequence number

    def on_disconnected(self) -> None:
        """Stop sending requests until the next connection."""
        self._is_connected = False

    def on_watch_triggered(self, kind: EventType, path: str) -> None:
        """Read the node again: it has been changed, or its session has ended."""
        if path == self.path and kind is not EventType.CHILDREN:
            self._is_outdated = True
            if not self._is_busy:
                self._invalidate()

    def _invalidate(self) -> None:
        self._is_outdated = False
        self.status = NodeStatus.UNKNOWN

    def take_requests(self) -> list[Request]:
        """Return the next request, if one has to be sent now."""
        if not self._is_connected or self._is_busy or self._blocking_error:
            return []
        request = self._next_request()
        self._is_busy = request is not None
        return [] if request is None else [request]

    def _next_request(self) -> Request | None:
        if not self._is_synced:
            # A server that lags behind a `create` whose reply was lost would not show the node.
            return Request(Op.SYNC, r.Path(self.directory))
        if self.status is NodeStatus.UNKNOWN:
            if self._prefix and not self.path:
                return Request(Op.GET_CHILDREN, r.ReadRequest(self.directory or "/", False))
            return Request(Op.GET_DATA, r.ReadRequest(self.path, True))
        if not self.is_wanted:
            is_own = self.status in (NodeStatus.OWN, NodeStatus.FORMER_SESSION)
            return Request(Op.DELETE, r.Delete(self.path, self._version)) if is_own else None
        if self._missing_directories:
            return Request(Op.CREATE, r.Create(self._missing_directories[0], b"", r.OPEN_ACL, CreateMode.PERSISTENT))
        if self.status is NodeStatus.ABSENT:
            return Request(Op.CREATE, self._create())
        if self.status is NodeStatus.FORMER_SESSION:
            # One transaction: the backend is never missing, and no node of another process with this name is deleted.
            delete = (int(Op.DELETE), r.Delete(self.path, self._version))
            return Request(Op.MULTI, (delete, (int(Op.CREATE), self._create())))
        if self.status is NodeStatus.OWN and self._stored_data != self.data:
            return Request(Op.SET_DATA, r.SetData(self.path, self.data, self._version))
        return None

    def _create(self) -> r.Create:
        if self._prefix:
            return r.Create(self._prefix, self.data, r.OPEN_ACL, CreateMode.EPHEMERAL_SEQUENTIAL)
        return r.Create(self.path, self.data, r.OPEN_ACL, CreateMode.EPHEMERAL)

    # ---- replies -------------------------------------------------------------------------------

    def on_reply(self, request: Request, error: int, result: Any) -> None:
        """Process the reply to a request."""
        self._is_busy = False
        if request.op is Op.MULTI and result is not None:
            error = next((part.error for op, part in result if op == Op.ERROR and part.error), 0)
        if error in PERMANENT_ERRORS:
            self._blocking_error = ErrorCode(error).name
            self._log_once(
                (request.op, error),
                f"{request.op.name} of {getattr(request.body, 'path', self.path)} fails: {self._blocking_error}",
            )
            return
        if request.op is Op.SYNC:
            self._is_synced = True
        elif request.op is Op.GET_DATA:
            self._on_data(error, result)
        elif request.op is Op.GET_CHILDREN:
            self._on_children(error, result)
        elif (
            request.op is Op.CREATE and self._missing_directories and request.body.path == self._missing_directories[0]
        ):
            self._missing_directories.pop(0)
        elif request.op is Op.CREATE and error == ErrorCode.NO_NODE:
            parts = self.directory.split("/")[1:]
            self._missing_directories = ["/" + "/".join(parts[: at + 1]) for at in range(len(parts))]
        else:
            self._on_write(request, result)
        if self._is_outdated:
            self._invalidate()

    def _on_write(self, request: Request, result: Any) -> None:
        """Read the node after a write, whether it succeeded or not; the read also sets the watch on the node."""
        self.status = NodeStatus.UNKNOWN
        if request.op is Op.CREATE and result is not None:
            self.path = result.path
        elif self._prefix:
            self.path = ""

    def _on_children(self, error: int, result: Any) -> None:
        name = self._prefix.rpartition("/")[2]
        own_names = [] if error else [child for child in result.names if child.startswith(name)]
        if own_names:
            self.path = f"{self.directory}/{max(own_names)}"
        else:
            self._set_status(NodeStatus.ABSENT, 0, b"")

    def _on_data(self, error: int, result: Any) -> None:
        if error:
            if self._prefix:
                self.path = ""
            self._set_status(NodeStatus.ABSENT, 0, b"")
            return
        owner, version = result.stat.ephemeral_owner, result.stat.version
        if owner == self._session_id:
            self._set_status(NodeStatus.OWN, version, result.data)
        elif self._prefix or self._is_own_data(result.data):
            self._set_status(NodeStatus.FORMER_SESSION, version, result.data)
        else:
            self._log_once(owner, f"{self.path} belongs to another process; waiting until it is deleted")
            self._set_status(NodeStatus.FOREIGN, version, result.data)

    def _set_status(self, status: NodeStatus, version: int, stored_data: bytes) -> None:
        if status is NodeStatus.OWN and self.is_wanted:
            self._log_once((self._session_id, self.path), f"registered as {self.path}")
        self.status, self._version, self._stored_data = status, version, stored_data

    def _log_once(self, subject: object, line: str) -> None:
        if subject != self._last_logged:
            self._last_logged = subject
            self._log_lines.append(line)
