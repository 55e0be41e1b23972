"""The tree of nodes: the same changes in the same order make the same tree at every server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lugspur.zookeeper.records import Acl, EventType, Stat

Event = tuple[EventType, str]


def parent_of(path: str) -> str:
    """The path above."""
    return path.rpartition("/")[0] or "/"


@dataclass(slots=True)
class Node:
    """One node."""

    data: bytes
    acl: tuple[Acl, ...]
    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    owner: int = 0
    pzxid: int = 0
    made: int = 0  # children ever made: the number of the next sequential one
    children: set[str] = field(default_factory=set)

    def stat(self) -> Stat:
        """What clients are told of it."""
        return Stat(
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            self.aversion,
            self.owner,
            len(self.data),
            len(self.children),
            self.pzxid,
        )


@dataclass(slots=True, frozen=True)
class Made:
    """A node is made."""

    path: str
    data: bytes
    acl: tuple[Acl, ...]
    owner: int


@dataclass(slots=True, frozen=True)
class Gone:
    """A node is deleted."""

    path: str


@dataclass(slots=True, frozen=True)
class Written:
    """A node gets new data."""

    path: str
    data: bytes


@dataclass(slots=True, frozen=True)
class Guarded:
    """A node gets a new access list."""

    path: str
    acl: tuple[Acl, ...]


Effect = Made | Gone | Written | Guarded


class Tree:
    """Nodes by path, and the ephemeral ones by session."""

    def __init__(self, anyone: tuple[Acl, ...]) -> None:
        self.nodes: dict[str, Node] = {"/": Node(b"", anyone)}
        self.owned: dict[int, set[str]] = {}

    def apply(self, effect: Effect, zxid: int, now: int) -> tuple[list[Event], Callable[[], None]]:
        """Make a change that has been found valid; gives what watches tell of it, and how to take it back."""
        if isinstance(effect, Made):
            return self._make(effect, zxid, now)
        if isinstance(effect, Gone):
            return self._delete(effect.path, zxid)
        node = self.nodes[effect.path]
        if isinstance(effect, Written):
            former = node.data, node.version, node.mzxid, node.mtime
            node.data, node.version, node.mzxid, node.mtime = effect.data, node.version + 1, zxid, now

            def undo() -> None:
                node.data, node.version, node.mzxid, node.mtime = former

            return [(EventType.CHANGED, effect.path)], undo
        before = node.acl, node.aversion
        node.acl, node.aversion = effect.acl, node.aversion + 1

        def unguard() -> None:
            node.acl, node.aversion = before

        return [], unguard

    def _make(self, effect: Made, zxid: int, now: int) -> tuple[list[Event], Callable[[], None]]:
        above = self.nodes[parent_of(effect.path)]
        former = above.cversion, above.pzxid, above.made
        above.cversion, above.pzxid, above.made = above.cversion + 1, zxid, above.made + 1
        name = effect.path.rpartition("/")[2]
        above.children.add(name)
        self.nodes[effect.path] = Node(effect.data, effect.acl, zxid, zxid, now, now, owner=effect.owner, pzxid=zxid)
        if effect.owner:
            self.owned.setdefault(effect.owner, set()).add(effect.path)

        def undo() -> None:
            above.cversion, above.pzxid, above.made = former
            above.children.discard(name)
            del self.nodes[effect.path]
            self.owned.get(effect.owner, set()).discard(effect.path)

        return [(EventType.CREATED, effect.path), (EventType.CHILDREN, parent_of(effect.path))], undo

    def _delete(self, path: str, zxid: int) -> tuple[list[Event], Callable[[], None]]:
        above = self.nodes[parent_of(path)]
        former = above.cversion, above.pzxid
        above.cversion, above.pzxid = above.cversion + 1, zxid
        name = path.rpartition("/")[2]
        above.children.discard(name)
        node = self.nodes.pop(path)
        self.owned.get(node.owner, set()).discard(path)

        def undo() -> None:
            above.cversion, above.pzxid = former
            above.children.add(name)
            self.nodes[path] = node
            if node.owner:
                self.owned.setdefault(node.owner, set()).add(path)

        return [(EventType.DELETED, path), (EventType.CHILDREN, parent_of(path))], undo
