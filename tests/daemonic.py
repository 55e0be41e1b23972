"""A daemon in this process, by a file that tests write and rewrite."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from loopback import HOST, Backend, Client, backend, soon, until

from lugspur.config.load import load
from lugspur.daemon.daemon import Daemon
from lugspur.daemon.run import RunningDaemon

HEAD = """
[limits]
sockets = 1024
[listeners.main]
address = "127.0.0.1:0"
[classes.read]
aim = "30s"
deadline = "30s"
repeat = "safe"
[classes.book]
aim = "30s"
deadline = "30s"
[classes.once]
aim = "30s"
deadline = "30s"
repeat = "keyed"
group = "cell"
window = "30s"
"""


def pool(name: str, *addresses: str, more: str = "") -> str:
    """A pool of fixed members."""
    members = ", ".join(f'{{ address = "{address}" }}' for address in addresses)
    return f'[pools.{name}]\nmembers = [{members}]\nconnect = "5s"\n{more}\n'


def route(name: str, path: str, more: str) -> str:
    """A route."""
    return f'[routes.{name}]\npath = "{path}"\n{more}\n'


class Served:
    """A running daemon and its file."""

    def __init__(self, running: RunningDaemon, file: Path) -> None:
        self.running, self.file = running, file
        self.clients: list[Client] = []

    @property
    def daemon(self) -> Daemon:
        return self.running.daemon

    @property
    def url(self) -> str:
        return f"http://{HOST}:{self.port()}"

    def port(self, listener: str = "main") -> int:
        return self.running.addresses()[listener][1]

    async def client(self, listener: str = "main") -> Client:
        self.clients.append(Client(*await asyncio.open_connection(HOST, self.port(listener))))
        return self.clients[-1]

    async def reload(self, text: str, head: str = HEAD) -> None:
        """Replace the file as an editor does, and let the daemon read it."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(head + text)
        fresh.rename(self.file)
        self.running.reload()
        await soon(self.running.wait_for_reload())

    def in_hand(self) -> int:
        """Requests that some pool has in hand."""
        return sum(len(cluster.pool.calls) for cluster in self.daemon.clusters.values())


@asynccontextmanager
async def served(text: str, head: str = HEAD) -> AsyncIterator[Served]:
    """A daemon on a free port, by this text."""
    with TemporaryDirectory() as folder:
        file = Path(folder) / "lugspur.toml"
        file.write_text(head + text)
        running = RunningDaemon(str(file))
        await running.start(load(str(file)))
        up = Served(running, file)
        try:
            yield up
        finally:
            for client in up.clients:
                client.writer.close()  # else one that was rejected lingers
            await soon(running.stop())


def ask(method: str = "GET", target: str = "/", body: bytes = b"", **headers: str) -> bytes:
    """A request as an ordinary caller sends it."""
    fields = {"Host": "h.example"} | {name.replace("_", "-"): value for name, value in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body


def fields(message: bytes) -> dict[str, str]:
    """A message's header lines by their names in lower case."""
    lines = message.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


def target_of(request: bytes) -> str:
    """The target that a backend saw."""
    return request.split(b" ", 2)[1].decode()


def answer(body: bytes = b"done", status: str = "200 OK", **headers: str) -> bytes:
    """A backend's answer."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


__all__ = ["Backend", "Served", "answer", "ask", "backend", "fields", "pool", "route", "served", "target_of", "until"]
