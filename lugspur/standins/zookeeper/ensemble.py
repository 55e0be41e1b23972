"""The state that all servers share: the log of changes, the sessions, and the validation of changes."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lugspur.standins.zookeeper.tree import (
    CreateEffect,
    DeleteEffect,
    Effect,
    Event,
    SetAclEffect,
    SetDataEffect,
    Tree,
    parent_of,
)
from lugspur.zookeeper.records import (
    ANY_VERSION,
    OPEN_ACL,
    PERM_ADMIN,
    PERM_CREATE,
    PERM_DELETE,
    PERM_READ,
    PERM_WRITE,
    Acl,
    Check,
    Create,
    Created,
    CreateMode,
    Delete,
    EmptyRecord,
    ErrorCode,
    ErrorResult,
    Op,
    Path,
    SetAcl,
    SetData,
    TransactionPart,
)

EPOCH = 1 << 32  # the upper 32 bits of a zxid count the leaders


class RequestError(Exception):
    """A request is rejected with an error code of the protocol."""

    def __init__(self, error: int) -> None:
        self.error = ErrorCode(error)
        super().__init__(self.error.name)


class SessionConnection(Protocol):
    """A connection to which a session is attached."""

    def abort(self) -> None:
        """Close the connection at once."""


@dataclass(slots=True)
class Session:
    """A client's session, independent of the server that the client is connected to."""

    id: int
    password: bytes
    timeout: float  # seconds
    last_heard: float  # event loop time of the client's last request
    server: SessionConnection | None = None  # the connection to which the session is attached


@dataclass(slots=True, frozen=True)
class Change:
    """One entry of the log. `ended` is the id of the session that ends with it, or 0."""

    zxid: int
    time: int  # milliseconds since the Unix epoch
    effects: tuple[Effect, ...]
    ended: int = 0


@dataclass(slots=True)
class Requester:
    """The author of a request: its session, and the identities that it has authenticated."""

    session: int = 0
    ids: set[tuple[str, str]] = field(default_factory=lambda: {("world", "anyone")})

    def authenticate(self, scheme: str, auth: bytes) -> bool:
        """Add an identity; return whether it was accepted. Only the scheme `digest` (user:password) is supported."""
        if scheme != "digest" or b":" not in auth:
            return False
        self.ids.add((scheme, digest(auth)))
        return True


def digest(auth: bytes) -> str:
    """Return the id that represents user:password in access lists."""
    hashed = base64.b64encode(hashlib.sha1(auth).digest()).decode()
    return f"{auth.partition(b':')[0].decode('utf-8', 'replace')}:{hashed}"


def require_permission(acl: tuple[Acl, ...], requester: Requester, perms: int) -> None:
    """Raise RequestError unless an entry of the access list grants one of the permissions."""
    if not any(row.perms & perms and (row.scheme, row.id) in requester.ids for row in acl):
        raise RequestError(ErrorCode.NO_AUTH)


class Ensemble:
    """The leader's part. Each of `listeners` is called after each change, in the order of the log."""

    def __init__(self, shortest: float = 0.2, longest: float = 60.0, seed: int = 0) -> None:
        self.tree = Tree(OPEN_ACL)
        self.zxid = EPOCH
        self.sessions: dict[int, Session] = {}
        # Bounds in seconds to which the timeout that a client asks for is clamped.
        self.shortest, self.longest = shortest, longest
        self.listeners: list[Callable[[Change], None]] = []
        self.removed_at: dict[str, float] = {}  # event loop time of each path's last deletion
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    # ---- sessions ----------------------------------------------------------------------------

    def begin(self, timeout: float) -> Session:
        """Open a session and return it."""
        session = Session(
            self._random.getrandbits(62) | 1,
            self._random.randbytes(16),
            min(max(timeout, self.shortest), self.longest),
            self._loop.time(),
        )
        self.sessions[session.id] = session
        if self._timer is None or session.last_heard + session.timeout < self._timer.when():
            self._schedule_expiry()
        return session

    def touch(self, session: Session) -> None:
        """Record that the session's client sent a request, which postpones the session's expiry."""
        session.last_heard = self._loop.time()

    def end(self, session: int) -> None:
        """Close or expire a session and delete its ephemeral nodes."""
        if self.sessions.pop(session, None) is not None:
            owned = sorted(self.tree.owned.get(session, ()))
            self._log(tuple(DeleteEffect(path) for path in owned), session)

    def _schedule_expiry(self) -> None:
        self.close()
        if self.sessions:
            due = min(session.last_heard + session.timeout for session in self.sessions.values())
            self._timer = self._loop.call_at(max(due, self._loop.time() + 0.001), self._expire)

    def _expire(self) -> None:
        now = self._loop.time()
        for session in tuple(self.sessions.values()):
            if session.last_heard + session.timeout <= now:
                self.end(session.id)
                if session.server is not None:
                    session.server.abort()
        self._schedule_expiry()

    def close(self) -> None:
        """Stop the timer that expires sessions."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def restore(self) -> None:
        """Restart with an empty tree and no sessions under a new leader, as after restoring an empty backup."""
        for session in tuple(self.sessions):
            self.end(session)
        self.zxid = (self.zxid // EPOCH + 1) * EPOCH
        below = sorted((path for path in self.tree.nodes if path != "/"), key=len, reverse=True)
        self._log(tuple(DeleteEffect(path) for path in below))

    # ---- changes -----------------------------------------------------------------------------

    def _log(self, effects: tuple[Effect, ...], ended: int = 0) -> int:
        """Apply a valid change to the leader's tree, then publish it to every server; return its zxid."""
        change = Change(self.zxid + 1, int(time.time() * 1000), effects, ended)
        for effect in effects:
            self.tree.apply(effect, change.zxid, change.time)
        return self._publish(change)

    def _publish(self, change: Change) -> int:
        self.zxid = change.zxid
        now = self._loop.time()
        for effect in change.effects:
            if isinstance(effect, DeleteEffect):
                self.removed_at[effect.path] = now
        for listener in self.listeners:
            listener(change)
        return change.zxid

    def commit(
        self, requester: Requester, parts: tuple[TransactionPart, ...]
    ) -> tuple[int, tuple[TransactionPart, ...]]:
        """Commit all parts or none; return the zxid and each part's result. A failed part's operation is ERROR."""
        zxid, now = self.zxid + 1, int(time.time() * 1000)
        effects: list[Effect] = []
        undo: list[Callable[[], None]] = []
        results: list[TransactionPart] = []
        for at, (op, row) in enumerate(parts):
            try:
                if requester.session and requester.session not in self.sessions:
                    raise RequestError(ErrorCode.SESSION_EXPIRED)
                effect = self._validate(requester, op, row)
            except RequestError as fault:
                for revert in reversed(undo):
                    revert()
                codes = [ErrorCode.OK] * at + [fault.error] + [ErrorCode.INCONSISTENT] * (len(parts) - at - 1)
                return self._publish(Change(zxid, now, ())), tuple((Op.ERROR, ErrorResult(code)) for code in codes)
            if effect is not None:
                undo.append(self.tree.apply(effect, zxid, now)[1])
                effects.append(effect)
            results.append((op, self._result(op, row, effect)))
        return self._publish(Change(zxid, now, tuple(effects))), tuple(results)

    def write(self, requester: Requester, path: str, data: bytes) -> None:
        """Create a node or replace its data, for scripts and tests; missing ancestors become persistent nodes.

        Raises RequestError.
        """
        parent = parent_of(path)
        if parent not in self.tree.nodes:
            self.write(Requester(), parent, b"")
        kind = Op.SET_DATA if path in self.tree.nodes else Op.CREATE
        flags = CreateMode.EPHEMERAL if requester.session else CreateMode.PERSISTENT
        row = SetData(path, data, ANY_VERSION) if kind is Op.SET_DATA else Create(path, data, OPEN_ACL, flags)
        _, ((op, result),) = self.commit(requester, ((kind, row),))
        if op == Op.ERROR:
            raise RequestError(result.error)

    def _validate(self, requester: Requester, op: int, row: object) -> Effect | None:
        if isinstance(row, Create):
            return self._validate_create(requester, row)
        assert isinstance(row, Delete | SetData | SetAcl | Check)
        node = self.tree.nodes.get(row.path)
        if node is None:
            raise RequestError(ErrorCode.NO_NODE)
        if isinstance(row, Delete):
            require_permission(self.tree.nodes[parent_of(row.path)].acl, requester, PERM_DELETE)
        elif not isinstance(row, Check):
            require_permission(node.acl, requester, PERM_WRITE if isinstance(row, SetData) else PERM_ADMIN)
        else:
            require_permission(node.acl, requester, PERM_READ)
        if row.version not in (ANY_VERSION, node.aversion if isinstance(row, SetAcl) else node.version):
            raise RequestError(ErrorCode.BAD_VERSION)
        if isinstance(row, Delete):
            if node.children:
                raise RequestError(ErrorCode.NOT_EMPTY)
            return DeleteEffect(row.path) if row.path != "/" else None
        if isinstance(row, SetData):
            return SetDataEffect(row.path, row.data)
        return SetAclEffect(row.path, self._acl(requester, row.acl)) if isinstance(row, SetAcl) else None

    def _validate_create(self, requester: Requester, row: Create) -> CreateEffect:
        path = row.path
        parent = self.tree.nodes.get(parent_of(path))
        if not path.startswith("/") or "//" in path or "\0" in path or (path.endswith("/") and not row.flags & 2):
            raise RequestError(ErrorCode.BAD_ARGUMENTS)
        if row.flags not in set(CreateMode):
            raise RequestError(ErrorCode.UNIMPLEMENTED)
        if parent is None:
            raise RequestError(ErrorCode.NO_NODE)
        require_permission(parent.acl, requester, PERM_CREATE)
        if parent.owner:
            raise RequestError(ErrorCode.NO_CHILDREN_FOR_EPHEMERALS)
        if row.flags & 2:
            path += f"{parent.created_children:010d}"
        if path in self.tree.nodes:
            raise RequestError(ErrorCode.NODE_EXISTS)
        return CreateEffect(path, row.data, self._acl(requester, row.acl), requester.session if row.flags & 1 else 0)

    def _acl(self, requester: Requester, acl: tuple[Acl, ...]) -> tuple[Acl, ...]:
        """Return the list with each `auth` entry expanded to the identities of the author of the request."""
        found: list[Acl] = []
        for row in acl:
            authenticated = sorted(requester.ids - {("world", "anyone")})
            found.extend([Acl(row.perms, *one) for one in authenticated] if row.scheme == "auth" else [row])
        if not found:
            raise RequestError(ErrorCode.INVALID_ACL)
        return tuple(found)

    def _result(self, op: int, row: object, effect: Effect | None) -> object:
        if isinstance(effect, CreateEffect):
            stat = self.tree.nodes[effect.path].stat()
            return Created(effect.path, stat) if op == Op.CREATE2 else Path(effect.path)
        if isinstance(effect, SetDataEffect | SetAclEffect):
            return self.tree.nodes[effect.path].stat()
        return EmptyRecord()


class Replica:
    """One server's copy of the tree. While `lagging` is set, changes are queued and applied later."""

    def __init__(self, ensemble: Ensemble, on_applied: Callable[[Change, list[Event]], None]) -> None:
        self.tree = Tree(OPEN_ACL)
        self.zxid = ensemble.zxid
        self.lagging = False
        self._pending: list[Change] = []
        self._on_applied = on_applied
        ensemble.listeners.append(self.receive)

    def receive(self, change: Change) -> None:
        """Receive a change of the log."""
        self._pending.append(change)
        if not self.lagging:
            self.catch_up()

    def catch_up(self) -> None:
        """Apply all queued changes and stop lagging."""
        self.lagging = False
        while self._pending and not self.lagging:
            change = self._pending.pop(0)
            events: list[Event] = []
            for effect in change.effects:
                events += self.tree.apply(effect, change.zxid, change.time)[0]
            self.zxid = change.zxid
            self._on_applied(change, events)
