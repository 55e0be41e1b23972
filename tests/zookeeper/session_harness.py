"""Harness for a session and its view with servers of the stand-in, without sockets: tests move the bytes explicitly."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from lugspur.standins.zookeeper.cluster import Cluster
from lugspur.standins.zookeeper.server import Connection, Server
from lugspur.zookeeper.session import Event, Expired, Session, SessionOptions, SessionState
from lugspur.zookeeper.session_multiplexer import SessionMultiplexer
from lugspur.zookeeper.view import NodeChanged, NodeDeleted, Snapshot, View, ViewUpdate


class Pipe(asyncio.Transport):
    """A transport that keeps written data until the harness moves it."""

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
    """The state of a listener that knows only the updates of a view, and all removals that it was notified of."""

    def __init__(self) -> None:
        self.nodes: dict[str, tuple[bytes, int]] = {}
        self.removals: list[tuple[str, int]] = []  # name and czxid

    def receive(self, updates: list[ViewUpdate]) -> None:
        for update in updates:
            if isinstance(update, Snapshot):
                known = {name: (data.data, data.stat.czxid) for name, data in update.nodes.items() if data}
                for name in tuple(self.nodes):
                    if name not in known or known[name][1] != self.nodes[name][1]:
                        self._remove(name)
                self.nodes = known
            elif isinstance(update, NodeChanged) and update.data is not None:
                assert self.nodes.get(update.name, (b"", update.data.stat.czxid))[1] == update.data.stat.czxid, (
                    "recreated without a NodeDeleted"
                )
                self.nodes[update.name] = update.data.data, update.data.stat.czxid
            elif isinstance(update, NodeDeleted):
                self._remove(update.name)

    def _remove(self, name: str) -> None:
        known = self.nodes.pop(name, None)
        if known is not None:
            self.removals.append((name, known[1]))


class SessionHarness:
    """One session, one view and a cluster, with a simulated clock."""

    def __init__(self, servers: int = 3, path: str = "/boxes", options: SessionOptions | None = None) -> None:
        self.now = 100.0
        self.cluster = Cluster()
        self.servers = [Server(self.cluster.ensemble, index) for index in range(servers)]
        self.session = Session(options or SessionOptions(), servers)
        self.multiplexer = SessionMultiplexer(self.session)
        self.view = View(path)
        self.follower = Follower()
        self.updates: list[ViewUpdate] = []
        self.events: list[Event] = []
        self.connection: Connection | None = None
        self.pipe = Pipe()
        self.multiplexer.add(self.view, self.now)

    def connect(self, index: int = 0) -> None:
        """Open a connection to a server; the former one is lost."""
        self.disconnect()
        self.connection, self.pipe = Connection(self.servers[index]), Pipe()
        self.connection.connection_made(self.pipe)
        self.session.connection_made(self.now)

    def disconnect(self) -> None:
        if self.connection is not None:
            self.connection.connection_lost(None)
            self.connection = None
            self.handle(self.session.connection_lost("the connection is cut"))

    def handle(self, events: list[Event]) -> None:
        self.events += events
        self.multiplexer.handle(self.now, events)
        updates = self.view.take_updates()
        self.updates += updates
        self.follower.receive(updates)

    def send(self) -> bool:
        """Move the output of the session to the server; returns whether there was any."""
        data = self.session.take_output()
        if data and self.connection is not None:
            self.connection.data_received(data)
        return bool(data)

    def receive(self, max_bytes: int | None = None) -> bool:
        """Move the output of the server, at most `max_bytes`, to the session; returns whether there was any."""
        data, self.pipe.data = self.pipe.data[:max_bytes], self.pipe.data[max_bytes:] if max_bytes else b""
        if data:
            self.handle(self.session.data_received(self.now, data))
        if not self.pipe.data and self.pipe.closed:
            self.disconnect()
        return bool(data)

    def settle(self) -> None:
        """Move data in both directions until there is none."""
        while self.send() | self.receive():
            pass

    def recover(self) -> None:
        """End all faults, connect the session, whether the former or a new one, and move all data."""
        for server in self.servers:
            server.mend()
        self.settle()
        while self.session.state is not SessionState.CONNECTED:
            self.connect()
            self.settle()

    def tree(self) -> dict[str, tuple[bytes, int]]:
        """Return the nodes in the directory, by name."""
        nodes = self.cluster.ensemble.tree.nodes
        prefix = self.view.path.rstrip("/") + "/"
        return {
            path[len(prefix) :]: (node.data, node.czxid)
            for path, node in nodes.items()
            if path.startswith(prefix) and "/" not in path[len(prefix) :] and path != "/"
        }

    def snapshot_count(self) -> int:
        """Return how many snapshots the view has delivered."""
        return sum(isinstance(update, Snapshot) for update in self.updates)

    @property
    def expired(self) -> bool:
        return any(isinstance(event, Expired) for event in self.events)


def run_in_loop(test: Coroutine[Any, Any, None]) -> None:
    """Run a test that needs an event loop but does not wait."""
    asyncio.run(test)
