"""The whole stand-in: an ensemble with its servers, and the commands with which a script controls them."""

from __future__ import annotations

import asyncio
import shlex
from collections.abc import Callable
from functools import partial
from types import TracebackType

from lugspur.config.units import InvalidValueError, duration, suggestion
from lugspur.standins.zookeeper.ensemble import Ensemble, Requester, RequestError
from lugspur.standins.zookeeper.server import Server
from lugspur.zookeeper.records import ANY_VERSION, Delete, Op

parse_span = duration(0.0, 3600.0)  # range in seconds of the times in a script


class Cluster:
    """Servers that share a tree and sessions. Leaving the async context shuts all of them down."""

    def __init__(self, shortest: float = 0.2, longest: float = 60.0, seed: int = 0) -> None:
        self.ensemble = Ensemble(shortest, longest, seed)
        self.servers: list[Server] = []
        self.operator = Requester()

    async def listen(self, *addresses: tuple[str, int]) -> None:
        """Start a server on each address."""
        for host, port in addresses:
            server = Server(self.ensemble, len(self.servers))
            server.replica.zxid = self.ensemble.zxid
            await server.listen(host, port)
            self.servers.append(server)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses on which the servers listen."""
        return [server.address for server in self.servers]

    @property
    def hosts(self) -> str:
        """The addresses as a ZooKeeper connection string."""
        return ",".join(f"{host}:{port}" for host, port in self.addresses)

    async def __aenter__(self) -> Cluster:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.ensemble.close()
        for server in self.servers:
            server.refuse()

    # ---- actions of operators and backends -----------------------------------------------------

    def write(self, path: str, data: bytes = b"") -> None:
        """Create a persistent node or replace its data; missing ancestors are created too."""
        self.ensemble.write(self.operator, path, data)

    def register_backend(self, path: str, data: bytes, timeout: float = 3600.0) -> int:
        """Create an ephemeral node owned by a new session that no client keeps alive; return the session's id."""
        self.ensemble.longest = max(self.ensemble.longest, timeout)
        session = self.ensemble.begin(timeout)
        self.ensemble.write(Requester(session.id, set(self.operator.ids)), path, data)
        return session.id

    def delete(self, path: str) -> None:
        """Delete a node; raises RequestError."""
        _, ((op, result),) = self.ensemble.commit(self.operator, ((Op.DELETE, Delete(path, ANY_VERSION)),))
        if op == Op.ERROR:
            raise RequestError(result.error)

    def expire(self, which: str) -> None:
        """End the session that owns the node `which`, or all sessions for "all"; raises KeyError if no such node."""
        found = tuple(self.ensemble.sessions) if which == "all" else (self.ensemble.tree.nodes[which].owner,)
        for session in found:
            self.ensemble.end(session)


class Script:
    """Runs commands such as `stall 0`, `late 1 200ms` or `expire /services/a`; `help` lists all of them."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._commands: dict[str, Callable[..., object]] = {
            "wait": self._wait,
            "expire": cluster.expire,
            "restore": cluster.ensemble.restore,
            "set": lambda path, data="": cluster.write(path, data.encode()),
            "box": lambda path, data="": cluster.register_backend(path, data.encode()),
            "delete": cluster.delete,
            "help": lambda: None,
            "accept": self._accept,
        }
        for word in ("stall", "refuse", "flap", "lag", "garbage", "huge", "mend"):
            self._commands[word] = partial(self._call_server, word)
        for word, name in (
            ("cut", "truncates"),
            ("forget", "ignores_set_watches"),
            ("old", "no_persistent_watches"),
            ("read-only", "read_only"),
            ("overtake", "events_first"),
        ):
            self._commands[word] = partial(self._set_fault, name)
        self._commands["late"] = lambda at, span: setattr(self._server(at).faults, "reply_delay", parse_span(span))

    def _server(self, at: str) -> Server:
        if not at.isdecimal() or int(at) >= len(self._cluster.servers):
            raise InvalidValueError(f"there is no server {at}; they are 0 to {len(self._cluster.servers) - 1}")
        return self._cluster.servers[int(at)]

    def _call_server(self, word: str, at: str) -> None:
        getattr(self._server(at), word)()

    def _set_fault(self, name: str, at: str) -> None:
        setattr(self._server(at).faults, name, True)

    async def _wait(self, span: str) -> None:
        await asyncio.sleep(parse_span(span))

    async def _accept(self, at: str) -> None:
        await self._server(at).listen()

    async def run_line(self, line: str) -> str:
        """Run the command of one line and return the reply."""
        words = shlex.split(line, comments=True)
        if not words:
            return "ok"
        if words[0] == "help":
            return "ok: " + ", ".join(sorted(self._commands))
        command = self._commands.get(words[0])
        if command is None:
            return f"error: {words[0]!r} is no command{suggestion(words[0], self._commands)}"
        try:
            result = command(*words[1:])
            if asyncio.iscoroutine(result):
                await result
        except TypeError:
            return f"error: {words[0]} takes other words; it was given {len(words) - 1}"
        except KeyError as fault:
            return f"error: there is no node {fault}"
        except (InvalidValueError, RequestError) as fault:
            return f"error: {fault}"
        return "ok"
