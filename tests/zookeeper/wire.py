"""A session and its view against a server of the stand-in, without sockets: every byte is moved by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from lugspur.standins.zookeeper.cluster import Cluster
from lugspur.standins.zookeeper.server import Connection, Server
from lugspur.zookeeper.session import Event, Expired, Session, SessionOptions, State
from lugspur.zookeeper.session_multiplexer import SessionMultiplexer
from lugspur.zookeeper.view import NodeChanged, NodeDeleted, Snapshot, View, ViewUpdate


class Pipe(asyncio.Transport):
    """A transport that keeps what is written until it is moved."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""
        self.closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self.closed:
            self.data += data

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


class Follower:
    """What somebody who only hears a view's news knows, and all removals that it heard of."""

    def __init__(self) -> None:
        self.nodes: dict[str, tuple[bytes, int]] = {}
        self.removed: list[tuple[str, int]] = []  # by name and czxid

    def hear(self, news: list[ViewUpdate]) -> None:
        for one in news:
            if isinstance(one, Snapshot):
                known = {name: (data.data, data.stat.czxid) for name, data in one.nodes.items() if data}
                for name in tuple(self.nodes):
                    if name not in known or known[name][1] != self.nodes[name][1]:
                        self._remove(name)
                self.nodes = known
            elif isinstance(one, NodeChanged) and one.data is not None:
                assert self.nodes.get(one.name, (b"", one.data.stat.czxid))[1] == one.data.stat.czxid, "not told gone"
                self.nodes[one.name] = one.data.data, one.data.stat.czxid
            elif isinstance(one, NodeDeleted):
                self._remove(one.name)

    def _remove(self, name: str) -> None:
        known = self.nodes.pop(name, None)
        if known is not None:
            self.removed.append((name, known[1]))


class World:
    """One session, one view and a cluster, in a time of its own."""

    def __init__(self, servers: int = 3, path: str = "/boxes", options: SessionOptions | None = None) -> None:
        self.now = 100.0
        self.cluster = Cluster()
        self.servers = [Server(self.cluster.ensemble, at) for at in range(servers)]
        self.session = Session(options or SessionOptions(), servers)
        self.multiplexer = SessionMultiplexer(self.session)
        self.view = View(path)
        self.follower = Follower()
        self.news: list[ViewUpdate] = []
        self.events: list[Event] = []
        self.connection: Connection | None = None
        self.pipe = Pipe()
        self.multiplexer.add(self.view, self.now)

    def connect(self, at: int = 0) -> None:
        """A new connection; the one before is lost."""
        self.disconnect()
        self.connection, self.pipe = Connection(self.servers[at]), Pipe()
        self.connection.connection_made(self.pipe)
        self.session.connection_made(self.now)

    def disconnect(self) -> None:
        if self.connection is not None:
            self.connection.connection_lost(None)
            self.connection = None
            self.handle(self.session.connection_lost("it is cut"))

    def handle(self, events: list[Event]) -> None:
        self.events += events
        self.multiplexer.handle(self.now, events)
        news = self.view.take_updates()
        self.news += news
        self.follower.hear(news)

    def send(self) -> bool:
        """What the session has to say, to the server; gives whether there was anything."""
        data = self.session.take_output()
        if data and self.connection is not None:
            self.connection.data_received(data)
        return bool(data)

    def receive(self, most: int | None = None) -> bool:
        """What the server has written, or so many bytes of it, to the session."""
        data, self.pipe.data = self.pipe.data[:most], self.pipe.data[most:] if most else b""
        if data:
            self.handle(self.session.data_received(self.now, data))
        if not self.pipe.data and self.pipe.closed:
            self.disconnect()
        return bool(data)

    def settle(self) -> None:
        """Move bytes until nothing is left to move."""
        while self.send() | self.receive():
            pass

    def recover(self) -> None:
        """Every fault is mended; the session is up again, the same or a fresh one, and all is quiet."""
        for server in self.servers:
            server.mend()
        self.settle()
        while self.session.state is not State.CONNECTED:
            self.connect()
            self.settle()

    def tree(self) -> dict[str, tuple[bytes, int]]:
        """What the folder really holds."""
        nodes = self.cluster.ensemble.tree.nodes
        inside = self.view.path.rstrip("/") + "/"
        return {
            path[len(inside) :]: (node.data, node.czxid)
            for path, node in nodes.items()
            if path.startswith(inside) and "/" not in path[len(inside) :] and path != "/"
        }

    def whole(self) -> int:
        """How often the whole folder was told."""
        return sum(isinstance(one, Snapshot) for one in self.news)

    @property
    def expired(self) -> bool:
        return any(isinstance(event, Expired) for event in self.events)


def inside(act: Coroutine[Any, Any, None]) -> None:
    """Run a test that needs a loop, and no time."""
    asyncio.run(act)
