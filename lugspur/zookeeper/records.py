"""Requests, replies and error codes of the protocol (Apache ZooKeeper, zookeeper.jute and ZooDefs, 3.4 to 3.9)."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

from lugspur.zookeeper.jute import InputArchive, Int, JuteDecodeError, Long, decode, encode, record

PING_XID, AUTH_XID, SET_WATCHES_XID, EVENT_XID = -2, -4, -8, -1
NO_PASSWORD = bytes(16)
ANY_VERSION = -1  # matches any version of a node


class Op(IntEnum):
    """Operations of requests."""

    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    GET_ACL = 6
    SET_ACL = 7
    GET_CHILDREN = 8
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    CHECK = 13
    MULTI = 14
    CREATE2 = 15
    AUTH = 100
    SET_WATCHES = 101
    SET_WATCHES2 = 105
    ADD_WATCH = 106
    CLOSE = -11
    ERROR = -1


class ErrorCode(IntEnum):
    """Error codes of replies."""

    OK = 0
    SYSTEM = -1
    INCONSISTENT = -2
    CONNECTION_LOSS = -4
    MARSHALLING = -5
    UNIMPLEMENTED = -6
    BAD_ARGUMENTS = -8
    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    INVALID_ACL = -114
    AUTH_FAILED = -115
    SESSION_MOVED = -118
    NOT_READ_ONLY = -119


class EventType(IntEnum):
    """Types of watch events."""

    SESSION = -1
    CREATED = 1
    DELETED = 2
    CHANGED = 3
    CHILDREN = 4


class CreateMode(IntEnum):
    """Flags of a new node: bit 0 ephemeral, bit 1 sequential."""

    PERSISTENT = 0
    EPHEMERAL = 1
    SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3


PERSISTENT, PERSISTENT_RECURSIVE = 0, 1  # modes of addWatch
#: Permissions of an access list.
PERM_READ, PERM_WRITE, PERM_CREATE, PERM_DELETE, PERM_ADMIN, PERM_ALL = 1, 2, 4, 8, 16, 31


@record
class ConnectRequest:
    """The first frame of a client. `read_only` does not exist before 3.4; this client always sends it."""

    version: Int
    last_zxid: Long
    timeout: Int  # milliseconds
    session: Long
    password: bytes
    read_only: bool


@record
class ConnectResponse:
    """The first frame of a server; a session or a timeout of 0 means that the session has expired."""

    version: Int
    timeout: Int  # granted timeout in milliseconds
    session: Long
    password: bytes


@record
class RequestHeader:
    """Header of each request except the first frame."""

    xid: Int
    op: Int


@record
class ReplyHeader:
    """Header of each reply and event except the first frame."""

    xid: Int
    zxid: Long
    error: Int


@record
class Stat:
    """Metadata of a node; times are in milliseconds since 1970 by the leader's clock."""

    czxid: Long
    mzxid: Long
    ctime: Long
    mtime: Long
    version: Int
    cversion: Int
    aversion: Int
    ephemeral_owner: Long  # session that owns an ephemeral node, else 0
    data_length: Int
    child_count: Int
    pzxid: Long


@record
class Acl:
    """One entry of an access list."""

    perms: Int
    scheme: str
    id: str


OPEN_ACL = (Acl(PERM_ALL, "world", "anyone"),)
CREATOR_ALL_ACL = (Acl(PERM_ALL, "auth", ""),)


@record
class WatcherEvent:
    """A watch was triggered."""

    kind: Int
    state: Int
    path: str


@record
class Create:
    """Request to create a node, of `create` and `create2`."""

    path: str
    data: bytes
    acl: tuple[Acl, ...]
    flags: Int


@record
class Delete:
    """Request to delete a node."""

    path: str
    version: Int


@record
class ReadRequest:
    """Request of `exists`, `getData`, `getChildren` and `getChildren2`."""

    path: str
    watch: bool


@record
class SetData:
    """Request to replace the data of a node."""

    path: str
    data: bytes
    version: Int


@record
class SetAcl:
    """Request to replace the access list of a node."""

    path: str
    acl: tuple[Acl, ...]
    version: Int


@record
class Path:
    """Request of `sync` and `getACL`, and reply to `sync` and `create`."""

    path: str


@record
class Check:
    """Condition of a transaction: the node must have this version."""

    path: str
    version: Int


@record
class Auth:
    """Credentials of the client; `type` is always 0."""

    type: Int
    scheme: str
    auth: bytes


@record
class SetWatches:
    """Request to restore one-shot watches after a reconnection; changes up to the zxid `since` have been seen."""

    since: Long
    data: tuple[str, ...]
    exists: tuple[str, ...]
    children: tuple[str, ...]


@record
class SetWatches2:
    """Request to restore one-shot and persistent watches, from 3.6 on."""

    since: Long
    data: tuple[str, ...]
    exists: tuple[str, ...]
    children: tuple[str, ...]
    persistent: tuple[str, ...]
    recursive: tuple[str, ...]


@record
class AddWatch:
    """Request to add a persistent watch, from 3.6 on."""

    path: str
    mode: Int


@record
class Data:
    """Reply to `getData`."""

    data: bytes
    stat: Stat


@record
class Children:
    """Reply to `getChildren2`."""

    names: tuple[str, ...]
    stat: Stat


@record
class Names:
    """Reply to `getChildren`."""

    names: tuple[str, ...]


@record
class Acls:
    """Reply to `getACL`."""

    acl: tuple[Acl, ...]
    stat: Stat


@record
class Created:
    """Reply to `create2`."""

    path: str
    stat: Stat


@record
class ErrorResult:
    """Error code in the reply to `addWatch` and for failed parts of a transaction."""

    error: Int


@record
class EmptyRecord:
    """Empty body of a request or reply."""


@record
class MultiHeader:
    """Header of each part of a transaction, and terminator after the last one."""

    op: Int
    done: bool
    error: Int


REQUESTS: dict[int, type[Any]] = {
    Op.CREATE: Create,
    Op.CREATE2: Create,
    Op.DELETE: Delete,
    Op.EXISTS: ReadRequest,
    Op.GET_DATA: ReadRequest,
    Op.SET_DATA: SetData,
    Op.GET_ACL: Path,
    Op.SET_ACL: SetAcl,
    Op.GET_CHILDREN: ReadRequest,
    Op.SYNC: Path,
    Op.PING: EmptyRecord,
    Op.GET_CHILDREN2: ReadRequest,
    Op.CHECK: Check,
    Op.AUTH: Auth,
    Op.SET_WATCHES: SetWatches,
    Op.SET_WATCHES2: SetWatches2,
    Op.ADD_WATCH: AddWatch,
    Op.CLOSE: EmptyRecord,
}
REPLIES: dict[int, type[Any]] = {
    Op.CREATE: Path,
    Op.CREATE2: Created,
    Op.DELETE: EmptyRecord,
    Op.EXISTS: Stat,
    Op.GET_DATA: Data,
    Op.SET_DATA: Stat,
    Op.GET_ACL: Acls,
    Op.SET_ACL: Stat,
    Op.GET_CHILDREN: Names,
    Op.SYNC: Path,
    Op.PING: EmptyRecord,
    Op.GET_CHILDREN2: Children,
    Op.CHECK: EmptyRecord,
    Op.AUTH: EmptyRecord,
    Op.SET_WATCHES: EmptyRecord,
    Op.SET_WATCHES2: EmptyRecord,
    Op.ADD_WATCH: ErrorResult,
    Op.CLOSE: EmptyRecord,
}
TransactionPart = tuple[int, Any]  # operation, and the record of its request or result
TRANSACTION_END = MultiHeader(Op.ERROR, True, -1)
TRANSACTION_OPS = (Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.CHECK)


def encode_transaction(parts: tuple[TransactionPart, ...]) -> bytes:
    """Return the request of a transaction."""
    return b"".join(encode(MultiHeader(op, False, -1)) + encode(body) for op, body in parts) + encode(TRANSACTION_END)


def decode_transaction(source: InputArchive) -> tuple[TransactionPart, ...]:
    """Read the request of a transaction; raises JuteDecodeError."""
    parts: list[TransactionPart] = []
    while not (header := decode(MultiHeader, source)).done:
        if header.op not in TRANSACTION_OPS:
            raise JuteDecodeError(f"operation {header.op} is not allowed in a transaction")
        parts.append((header.op, decode(REQUESTS[header.op], source)))
    return tuple(parts)


def encode_transaction_results(results: tuple[TransactionPart, ...]) -> bytes:
    """Return the reply to a transaction; the operation of a failed part is ERROR, with an ErrorResult."""
    return b"".join(
        encode(MultiHeader(op, False, body.error if op == Op.ERROR else 0)) + encode(body) for op, body in results
    ) + encode(TRANSACTION_END)


def decode_transaction_results(source: InputArchive) -> tuple[TransactionPart, ...]:
    """Read the reply to a transaction; raises JuteDecodeError."""
    results: list[TransactionPart] = []
    while not (header := decode(MultiHeader, source)).done:
        kind = ErrorResult if header.op == Op.ERROR else REPLIES.get(header.op)
        if kind is None:
            raise JuteDecodeError(f"operation {header.op} is not allowed in a transaction")
        results.append((header.op, decode(kind, source)))
    return tuple(results)
