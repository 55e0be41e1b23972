"""The protocol's requests, replies, codes and errors (Apache ZooKeeper, zookeeper.jute and ZooDefs, 3.4 to 3.9)."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

from lugspur.zookeeper.jute import InputArchive, Int, JuteDecodeError, Long, decode, encode, record

PING_XID, AUTH_XID, SET_WATCHES_XID, EVENT_XID = -2, -4, -8, -1
NO_PASSWORD = bytes(16)
ANY_VERSION = -1  # a version that fits any


class Op(IntEnum):
    """Kinds of requests."""

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


class Error(IntEnum):
    """Why a request was not done."""

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
    """What a watch tells."""

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
PERM_READ, PERM_WRITE, PERM_CREATE, PERM_DELETE, PERM_ADMIN, PERM_ALL = 1, 2, 4, 8, 16, 31


@record
class ConnectRequest:
    """The first frame of a client. Servers before 3.4 leave out `read_only`, which this client always sends."""

    version: Int
    last_zxid: Long
    timeout: Int  # milliseconds
    session: Long
    password: bytes
    read_only: bool


@record
class ConnectResponse:
    """The first frame of a server; a session of 0, or a time-out of 0, says that the session is no more."""

    version: Int
    timeout: Int  # milliseconds, as granted
    session: Long
    password: bytes


@record
class RequestHeader:
    """Before each request but the first."""

    xid: Int
    op: Int


@record
class ReplyHeader:
    """Before each reply and event but the first."""

    xid: Int
    zxid: Long
    error: Int


@record
class Stat:
    """What is known of a node beside its data; times in milliseconds since 1970, by the leader's clock."""

    czxid: Long
    mzxid: Long
    ctime: Long
    mtime: Long
    version: Int
    cversion: Int
    aversion: Int
    owner: Long  # the session that an ephemeral node belongs to, else 0
    length: Int
    children: Int
    pzxid: Long


@record
class Acl:
    """One line of an access list."""

    perms: Int
    scheme: str
    id: str


OPEN_ACL = (Acl(PERM_ALL, "world", "anyone"),)
CREATOR_ALL_ACL = (Acl(PERM_ALL, "auth", ""),)


@record
class WatcherEvent:
    """What a watch tells."""

    kind: Int
    state: Int
    path: str


@record
class Create:
    """A new node; also the form of `create2`."""

    path: str
    data: bytes
    acl: tuple[Acl, ...]
    flags: Int


@record
class Delete:
    """A node's end."""

    path: str
    version: Int


@record
class Watching:
    """`exists`, `getData`, `getChildren` and `getChildren2`."""

    path: str
    watch: bool


@record
class SetData:
    """New data."""

    path: str
    data: bytes
    version: Int


@record
class SetAcl:
    """A new access list."""

    path: str
    acl: tuple[Acl, ...]
    version: Int


@record
class Path:
    """`sync` and `getACL`, and the replies to `sync` and `create`."""

    path: str


@record
class Check:
    """In a transaction: the node must have this version."""

    path: str
    version: Int


@record
class Auth:
    """Who the client is; `type` is always 0."""

    type: Int
    scheme: str
    auth: bytes


@record
class SetWatches:
    """One-shot watches, told again after a reconnect with the zxid up to which all was seen."""

    since: Long
    data: tuple[str, ...]
    exists: tuple[str, ...]
    children: tuple[str, ...]


@record
class SetWatches2:
    """The same with persistent ones, from 3.6 on."""

    since: Long
    data: tuple[str, ...]
    exists: tuple[str, ...]
    children: tuple[str, ...]
    persistent: tuple[str, ...]
    recursive: tuple[str, ...]


@record
class AddWatch:
    """A persistent watch, from 3.6 on."""

    path: str
    mode: Int


@record
class Data:
    """The reply to `getData`."""

    data: bytes
    stat: Stat


@record
class Children:
    """The reply to `getChildren2`."""

    names: tuple[str, ...]
    stat: Stat


@record
class Names:
    """The reply to `getChildren`."""

    names: tuple[str, ...]


@record
class Acls:
    """The reply to `getACL`."""

    acl: tuple[Acl, ...]
    stat: Stat


@record
class Created:
    """The reply to `create2`."""

    path: str
    stat: Stat


@record
class ErrorResult:
    """An error, as `addWatch` and failed parts of a transaction answer."""

    error: Int


@record
class EmptyRecord:
    """No body."""


@record
class MultiHeader:
    """Before each part of a transaction, and after its last."""

    op: Int
    done: bool
    error: Int


REQUESTS: dict[int, type[Any]] = {
    Op.CREATE: Create,
    Op.CREATE2: Create,
    Op.DELETE: Delete,
    Op.EXISTS: Watching,
    Op.GET_DATA: Watching,
    Op.SET_DATA: SetData,
    Op.GET_ACL: Path,
    Op.SET_ACL: SetAcl,
    Op.GET_CHILDREN: Watching,
    Op.SYNC: Path,
    Op.PING: EmptyRecord,
    Op.GET_CHILDREN2: Watching,
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
TransactionPart = tuple[int, Any]  # of a transaction: what is asked, and its record
TRANSACTION_END = MultiHeader(Op.ERROR, True, -1)
TRANSACTION_OPS = (Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.CHECK)


def encode_transaction(parts: tuple[TransactionPart, ...]) -> bytes:
    """A transaction's request."""
    return b"".join(encode(MultiHeader(op, False, -1)) + encode(row) for op, row in parts) + encode(TRANSACTION_END)


def decode_transaction(source: InputArchive) -> tuple[TransactionPart, ...]:
    """A transaction's request; raises JuteDecodeError."""
    found: list[TransactionPart] = []
    while not (header := decode(MultiHeader, source)).done:
        if header.op not in TRANSACTION_OPS:
            raise JuteDecodeError(f"operation {header.op} is none of a transaction")
        found.append((header.op, decode(REQUESTS[header.op], source)))
    return tuple(found)


def encode_transaction_results(results: tuple[TransactionPart, ...]) -> bytes:
    """A transaction's reply; the operation of a failed part is ERROR, with a ErrorResult."""
    return b"".join(
        encode(MultiHeader(op, False, row.error if op == Op.ERROR else 0)) + encode(row) for op, row in results
    ) + encode(TRANSACTION_END)


def decode_transaction_results(source: InputArchive) -> tuple[TransactionPart, ...]:
    """A transaction's reply; raises JuteDecodeError."""
    found: list[TransactionPart] = []
    while not (header := decode(MultiHeader, source)).done:
        kind = ErrorResult if header.op == Op.ERROR else REPLIES.get(header.op)
        if kind is None:
            raise JuteDecodeError(f"operation {header.op} is none of a transaction")
        found.append((header.op, decode(kind, source)))
    return tuple(found)
