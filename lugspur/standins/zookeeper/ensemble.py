"""What the servers share: the log of changes, the sessions, and the rules by which a change is allowed."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lugspur.standins.zookeeper.tree import Effect, Event, Gone, Guarded, Made, Tree, Written, parent_of
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

EPOCH = 1 << 32  # the upper half of a zxid counts leaders


class Refused(Exception):
    """A request that is not done."""

    def __init__(self, error: int) -> None:
        self.error = ErrorCode(error)
        super().__init__(self.error.name)


class Held(Protocol):
    """A connection that holds a session."""

    def abort(self) -> None:
        """Close it at once."""


@dataclass(slots=True)
class Session:
    """A client's session, whichever server it is connected to."""

    id: int
    password: bytes
    timeout: float  # seconds
    heard: float  # the loop's time
    server: Held | None = None  # the connection that holds it


@dataclass(slots=True, frozen=True)
class Change:
    """One entry of the log; `ended` names a session that ends with it."""

    zxid: int
    time: int  # milliseconds since 1970
    effects: tuple[Effect, ...]
    ended: int = 0


@dataclass(slots=True)
class Who:
    """Somebody who asks: its session, and what it has proved."""

    session: int = 0
    ids: set[tuple[str, str]] = field(default_factory=lambda: {("world", "anyone")})

    def prove(self, scheme: str, auth: bytes) -> bool:
        """`digest` alone is known: user:password."""
        if scheme != "digest" or b":" not in auth:
            return False
        self.ids.add((scheme, digest(auth)))
        return True


def digest(auth: bytes) -> str:
    """The id that stands in access lists for user:password."""
    hashed = base64.b64encode(hashlib.sha1(auth).digest()).decode()
    return f"{auth.partition(b':')[0].decode('utf-8', 'replace')}:{hashed}"


def allowed(acl: tuple[Acl, ...], who: Who, perms: int) -> None:
    """Raise Refused unless one line gives the right."""
    if not any(row.perms & perms and (row.scheme, row.id) in who.ids for row in acl):
        raise Refused(ErrorCode.NO_AUTH)


class Ensemble:
    """The leader's part. `applied` is called after each change, in the order of the log."""

    def __init__(self, shortest: float = 0.2, longest: float = 60.0, seed: int = 0) -> None:
        self.tree = Tree(OPEN_ACL)
        self.zxid = EPOCH
        self.sessions: dict[int, Session] = {}
        self.shortest, self.longest = shortest, longest  # seconds that a session's time-out is kept within
        self.listeners: list[Callable[[Change], None]] = []
        self.removed_at: dict[str, float] = {}  # when a node was last deleted, in the loop's time
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    # ---- sessions ----------------------------------------------------------------------------

    def begin(self, timeout: float) -> Session:
        """A new session."""
        session = Session(
            self._random.getrandbits(62) | 1,
            self._random.randbytes(16),
            min(max(timeout, self.shortest), self.longest),
            self._loop.time(),
        )
        self.sessions[session.id] = session
        if self._timer is None or session.heard + session.timeout < self._timer.when():
            self._watch_over()
        return session

    def touch(self, session: Session) -> None:
        """It was heard."""
        session.heard = self._loop.time()

    def end(self, session: int) -> None:
        """Close or expire one: its nodes go with it."""
        if self.sessions.pop(session, None) is not None:
            owned = sorted(self.tree.owned.get(session, ()))
            self._log(tuple(Gone(path) for path in owned), session)

    def _watch_over(self) -> None:
        self.close()
        if self.sessions:
            due = min(session.heard + session.timeout for session in self.sessions.values())
            self._timer = self._loop.call_at(max(due, self._loop.time() + 0.001), self._expire)

    def _expire(self) -> None:
        now = self._loop.time()
        for session in tuple(self.sessions.values()):
            if session.heard + session.timeout <= now:
                self.end(session.id)
                if session.server is not None:
                    session.server.abort()
        self._watch_over()

    def close(self) -> None:
        """Watch over nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def restore(self) -> None:
        """Begin again with an empty tree and no session under a new leader: a backup that held nothing."""
        for session in tuple(self.sessions):
            self.end(session)
        self.zxid = (self.zxid // EPOCH + 1) * EPOCH
        below = sorted((path for path in self.tree.nodes if path != "/"), key=len, reverse=True)
        self._log(tuple(Gone(path) for path in below))

    # ---- changes -----------------------------------------------------------------------------

    def _log(self, effects: tuple[Effect, ...], ended: int = 0) -> int:
        """Apply a valid change here, then let every server know."""
        change = Change(self.zxid + 1, int(time.time() * 1000), effects, ended)
        for effect in effects:
            self.tree.apply(effect, change.zxid, change.time)
        return self._tell(change)

    def _tell(self, change: Change) -> int:
        self.zxid = change.zxid
        now = self._loop.time()
        for effect in change.effects:
            if isinstance(effect, Gone):
                self.removed_at[effect.path] = now
        for listener in self.listeners:
            listener(change)
        return change.zxid

    def commit(self, who: Who, parts: tuple[TransactionPart, ...]) -> tuple[int, tuple[TransactionPart, ...]]:
        """All parts or none; gives the zxid and each part's result. A failed part's operation is ERROR."""
        zxid, now = self.zxid + 1, int(time.time() * 1000)
        effects: list[Effect] = []
        undo: list[Callable[[], None]] = []
        results: list[TransactionPart] = []
        for at, (op, row) in enumerate(parts):
            try:
                if who.session and who.session not in self.sessions:
                    raise Refused(ErrorCode.SESSION_EXPIRED)
                effect = self._judge(who, op, row)
            except Refused as fault:
                for back in reversed(undo):
                    back()
                codes = [ErrorCode.OK] * at + [fault.error] + [ErrorCode.INCONSISTENT] * (len(parts) - at - 1)
                return self._tell(Change(zxid, now, ())), tuple((Op.ERROR, ErrorResult(code)) for code in codes)
            if effect is not None:
                undo.append(self.tree.apply(effect, zxid, now)[1])
                effects.append(effect)
            results.append((op, self._result(op, row, effect)))
        return self._tell(Change(zxid, now, tuple(effects))), tuple(results)

    def write(self, who: Who, path: str, data: bytes) -> None:
        """For scripts and tests: make a node or replace its data; paths above it are made to last. Raises Refused."""
        above = parent_of(path)
        if above not in self.tree.nodes:
            self.write(Who(), above, b"")
        kind = Op.SET_DATA if path in self.tree.nodes else Op.CREATE
        flags = CreateMode.EPHEMERAL if who.session else CreateMode.PERSISTENT
        row = SetData(path, data, ANY_VERSION) if kind is Op.SET_DATA else Create(path, data, OPEN_ACL, flags)
        _, ((op, result),) = self.commit(who, ((kind, row),))
        if op == Op.ERROR:
            raise Refused(result.error)

    def _judge(self, who: Who, op: int, row: object) -> Effect | None:
        if isinstance(row, Create):
            return self._judge_create(who, row)
        assert isinstance(row, Delete | SetData | SetAcl | Check)
        node = self.tree.nodes.get(row.path)
        if node is None:
            raise Refused(ErrorCode.NO_NODE)
        if isinstance(row, Delete):
            allowed(self.tree.nodes[parent_of(row.path)].acl, who, PERM_DELETE)
        elif not isinstance(row, Check):
            allowed(node.acl, who, PERM_WRITE if isinstance(row, SetData) else PERM_ADMIN)
        else:
            allowed(node.acl, who, PERM_READ)
        if row.version not in (ANY_VERSION, node.aversion if isinstance(row, SetAcl) else node.version):
            raise Refused(ErrorCode.BAD_VERSION)
        if isinstance(row, Delete):
            if node.children:
                raise Refused(ErrorCode.NOT_EMPTY)
            return Gone(row.path) if row.path != "/" else None
        if isinstance(row, SetData):
            return Written(row.path, row.data)
        return Guarded(row.path, self._acl(who, row.acl)) if isinstance(row, SetAcl) else None

    def _judge_create(self, who: Who, row: Create) -> Made:
        path = row.path
        above = self.tree.nodes.get(parent_of(path))
        if not path.startswith("/") or "//" in path or "\0" in path or (path.endswith("/") and not row.flags & 2):
            raise Refused(ErrorCode.BAD_ARGUMENTS)
        if row.flags not in set(CreateMode):
            raise Refused(ErrorCode.UNIMPLEMENTED)
        if above is None:
            raise Refused(ErrorCode.NO_NODE)
        allowed(above.acl, who, PERM_CREATE)
        if above.owner:
            raise Refused(ErrorCode.NO_CHILDREN_FOR_EPHEMERALS)
        if row.flags & 2:
            path += f"{above.made:010d}"
        if path in self.tree.nodes:
            raise Refused(ErrorCode.NODE_EXISTS)
        return Made(path, row.data, self._acl(who, row.acl), who.session if row.flags & 1 else 0)

    def _acl(self, who: Who, acl: tuple[Acl, ...]) -> tuple[Acl, ...]:
        """The list with `auth` lines spelt out as who is asking."""
        found: list[Acl] = []
        for row in acl:
            proved = sorted(who.ids - {("world", "anyone")})
            found.extend([Acl(row.perms, *one) for one in proved] if row.scheme == "auth" else [row])
        if not found:
            raise Refused(ErrorCode.INVALID_ACL)
        return tuple(found)

    def _result(self, op: int, row: object, effect: Effect | None) -> object:
        if isinstance(effect, Made):
            stat = self.tree.nodes[effect.path].stat()
            return Created(effect.path, stat) if op == Op.CREATE2 else Path(effect.path)
        if isinstance(effect, Written | Guarded):
            return self.tree.nodes[effect.path].stat()
        return EmptyRecord()


class Replica:
    """One server's copy of the tree; it lags where it is told to, and catches up later."""

    def __init__(self, ensemble: Ensemble, told: Callable[[Change, list[Event]], None]) -> None:
        self.tree = Tree(OPEN_ACL)
        self.zxid = ensemble.zxid
        self.lagging = False
        self._behind: list[Change] = []
        self._told = told
        ensemble.listeners.append(self.hear)

    def hear(self, change: Change) -> None:
        """A change of the log."""
        self._behind.append(change)
        if not self.lagging:
            self.catch_up()

    def catch_up(self) -> None:
        """Apply what has not been applied yet."""
        self.lagging = False
        while self._behind and not self.lagging:
            change = self._behind.pop(0)
            events: list[Event] = []
            for effect in change.effects:
                events += self.tree.apply(effect, change.zxid, change.time)[0]
            self.zxid = change.zxid
            self._told(change, events)
