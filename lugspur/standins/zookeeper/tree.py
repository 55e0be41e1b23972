"""The tree of nodes. The same changes applied in the same order produce the same tree on every server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lugspur.zookeeper.records import Acl, EventType, Stat

Event = tuple[EventType, str]


def parent_of(path: str) -> str:
    """Return the path of the parent node."""
    return path.rpartition("/")[0] or "/"


@dataclass(slots=True)
class Node:
    """One node of the tree with its data, access list and the fields of its stat record."""

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
    created_children: int = 0  # children created so far, also deleted ones; numbers the next sequential child
    children: set[str] = field(default_factory=set)

    def stat(self) -> Stat:
        """Return the stat record that clients receive for this node."""
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
class CreateEffect:
    """A node is created."""

    path: str
    data: bytes
    acl: tuple[Acl, ...]
    owner: int


@dataclass(slots=True, frozen=True)
class DeleteEffect:
    """A node is deleted."""

    path: str


@dataclass(slots=True, frozen=True)
class SetDataEffect:
    """A node's data is replaced."""

    path: str
    data: bytes


@dataclass(slots=True, frozen=True)
class SetAclEffect:
    """A node's access list is replaced."""

    path: str
    acl: tuple[Acl, ...]


Effect = CreateEffect | DeleteEffect | SetDataEffect | SetAclEffect


class Tree:
    """Nodes by path, and the paths of ephemeral nodes by the session that owns them."""

    def __init__(self, root_acl: tuple[Acl, ...]) -> None:
        self.nodes: dict[str, Node] = {"/": Node(b"", root_acl)}
        self.owned: dict[int, set[str]] = {}

    def apply(self, effect: Effect, zxid: int, now: int) -> tuple[list[Event], Callable[[], None]]:
        """Apply a change that was validated before; return its watch events and a function that reverts it."""
        if isinstance(effect, CreateEffect):
            return self._create(effect, zxid, now)
        if isinstance(effect, DeleteEffect):
            return self._delete(effect.path, zxid)
        node = self.nodes[effect.path]
        if isinstance(effect, SetDataEffect):
            previous = node.data, node.version, node.mzxid, node.mtime
            node.data, node.version, node.mzxid, node.mtime = effect.data, node.version + 1, zxid, now

            def undo() -> None:
                node.data, node.version, node.mzxid, node.mtime = previous

            return [(EventType.CHANGED, effect.path)], undo
        previous_acl = node.acl, node.aversion
        node.acl, node.aversion = effect.acl, node.aversion + 1

        def undo_acl() -> None:
            node.acl, node.aversion = previous_acl

        return [], undo_acl

    def _create(self, effect: CreateEffect, zxid: int, now: int) -> tuple[list[Event], Callable[[], None]]:
        parent = self.nodes[parent_of(effect.path)]
        previous = parent.cversion, parent.pzxid, parent.created_children
        parent.cversion, parent.pzxid, parent.created_children = parent.cversion + 1, zxid, parent.created_children + 1
        name = effect.path.rpartition("/")[2]
        parent.children.add(name)
        self.nodes[effect.path] = Node(effect.data, effect.acl, zxid, zxid, now, now, owner=effect.owner, pzxid=zxid)
        if effect.owner:
            self.owned.setdefault(effect.owner, set()).add(effect.path)

        def undo() -> None:
            parent.cversion, parent.pzxid, parent.created_children = previous
            parent.children.discard(name)
            del self.nodes[effect.path]
            self.owned.get(effect.owner, set()).discard(effect.path)

        return [(EventType.CREATED, effect.path), (EventType.CHILDREN, parent_of(effect.path))], undo

    def _delete(self, path: str, zxid: int) -> tuple[list[Event], Callable[[], None]]:
        parent = self.nodes[parent_of(path)]
        previous = parent.cversion, parent.pzxid
        parent.cversion, parent.pzxid = parent.cversion + 1, zxid
        name = path.rpartition("/")[2]
        parent.children.discard(name)
        node = self.nodes.pop(path)
        self.owned.get(node.owner, set()).discard(path)

        def undo() -> None:
            parent.cversion, parent.pzxid = previous
            parent.children.add(name)
            self.nodes[path] = node
            if node.owner:
                self.owned.setdefault(node.owner, set()).add(path)

        return [(EventType.DELETED, path), (EventType.CHILDREN, parent_of(path))], undo
