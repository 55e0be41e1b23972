"""The whole stand-in: an ensemble and its servers, and the words that a script moves it by."""

from __future__ import annotations

import asyncio
import shlex
from collections.abc import Callable
from functools import partial
from types import TracebackType

from lugspur.config.units import InvalidValueError, duration, suggestion
from lugspur.standins.zookeeper.ensemble import Ensemble, Refused, Who
from lugspur.standins.zookeeper.server import Server
from lugspur.zookeeper.records import ANY_VERSION, Delete, Op

SPAN = duration(0.0, 3600.0)


class Cluster:
    """Servers that share a tree and sessions; an async context manager that ends them all."""

    def __init__(self, shortest: float = 0.2, longest: float = 60.0, seed: int = 0) -> None:
        self.ensemble = Ensemble(shortest, longest, seed)
        self.servers: list[Server] = []
        self.operator = Who()

    async def listen(self, *addresses: tuple[str, int]) -> None:
        """A server on each address."""
        for host, port in addresses:
            server = Server(self.ensemble, len(self.servers))
            server.replica.zxid = self.ensemble.zxid
            await server.listen(host, port)
            self.servers.append(server)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Where the servers listen."""
        return [server.address for server in self.servers]

    @property
    def hosts(self) -> str:
        """The same as a connection string."""
        return ",".join(f"{host}:{port}" for host, port in self.addresses)

    async def __aenter__(self) -> Cluster:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.ensemble.close()
        for server in self.servers:
            server.refuse()

    # ---- what operators and boxes do -----------------------------------------------------------

    def write(self, path: str, data: bytes = b"") -> None:
        """Make a lasting node, or give it new data; paths above it are made too."""
        self.ensemble.write(self.operator, path, data)

    def box(self, path: str, data: bytes, timeout: float = 3600.0) -> int:
        """Make an ephemeral node under a session of its own, which nobody keeps alive; gives the session."""
        self.ensemble.longest = max(self.ensemble.longest, timeout)
        session = self.ensemble.begin(timeout)
        self.ensemble.write(Who(session.id, set(self.operator.ids)), path, data)
        return session.id

    def delete(self, path: str) -> None:
        """Delete a node; raises Refused."""
        _, ((op, result),) = self.ensemble.commit(self.operator, ((Op.DELETE, Delete(path, ANY_VERSION)),))
        if op == Op.ERROR:
            raise Refused(result.error)

    def expire(self, which: str) -> None:
        """End the session that owns the node `which`, or every one for "all"; raises KeyError for no such node."""
        found = tuple(self.ensemble.sessions) if which == "all" else (self.ensemble.tree.nodes[which].owner,)
        for session in found:
            self.ensemble.end(session)


class Script:
    """Lines such as `stall 0`, `late 1 200ms` or `expire /services/a`; `help` names them all."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._words: dict[str, Callable[..., object]] = {
            "wait": self._wait,
            "expire": cluster.expire,
            "restore": cluster.ensemble.restore,
            "set": lambda path, data="": cluster.write(path, data.encode()),
            "box": lambda path, data="": cluster.box(path, data.encode()),
            "delete": cluster.delete,
            "help": lambda: None,
            "accept": self._accept,
        }
        for word in ("stall", "refuse", "flap", "lag", "garbage", "huge", "mend"):
            self._words[word] = partial(self._act, word)
        for word, name in (
            ("cut", "cut"),
            ("forget", "forgets"),
            ("old", "old"),
            ("read-only", "read_only"),
            ("overtake", "overtaking"),
        ):
            self._words[word] = partial(self._fault, name)
        self._words["late"] = lambda at, span: setattr(self._server(at).faults, "late", SPAN(span))

    def _server(self, at: str) -> Server:
        if not at.isdecimal() or int(at) >= len(self._cluster.servers):
            raise InvalidValueError(f"there is no server {at}; they are 0 to {len(self._cluster.servers) - 1}")
        return self._cluster.servers[int(at)]

    def _act(self, word: str, at: str) -> None:
        getattr(self._server(at), word)()

    def _fault(self, name: str, at: str) -> None:
        setattr(self._server(at).faults, name, True)

    async def _wait(self, span: str) -> None:
        await asyncio.sleep(SPAN(span))

    async def _accept(self, at: str) -> None:
        await self._server(at).listen()

    async def obey(self, line: str) -> str:
        """Do what a line says; gives what to answer."""
        words = shlex.split(line, comments=True)
        if not words:
            return "ok"
        if words[0] == "help":
            return "ok: " + ", ".join(sorted(self._words))
        act = self._words.get(words[0])
        if act is None:
            return f"error: {words[0]!r} is no command{suggestion(words[0], self._words)}"
        try:
            done = act(*words[1:])
            if asyncio.iscoroutine(done):
                await done
        except TypeError:
            return f"error: {words[0]} takes other words; it was given {len(words) - 1}"
        except KeyError as fault:
            return f"error: there is no node {fault}"
        except (InvalidValueError, Refused) as fault:
            return f"error: {fault}"
        return "ok"
