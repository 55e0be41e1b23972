"""Runs a whole mesh on loopback, with replicas and proxies as processes and backends as stand-ins.

    python -m lugspur.bench.mesh

Each machine is an address of 127/8, so that all can use the same ports, as separate machines do. The command shows that
a configuration change is accepted and survives restarts of all replicas, that requests are served, that an operation
with an idempotency key runs once wherever it is retried, and that changes are accepted while a replica is down.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

from lugspur.standins.mesh import MeshBackend

ROOT = Path(__file__).parent.parent.parent
# Seconds within which a wait for the mesh must succeed, also on a loaded machine.
READY_WITHIN = 20.0
TRY_EVERY = 0.05  # seconds between two attempts while waiting


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free at each of these addresses; all stay bound until the last one is found."""
    bound: list[socket.socket] = []
    found: list[int] = []
    while len(found) < count:
        first = socket.create_server((hosts[0], 0))
        bound.append(first)
        port = first.getsockname()[1]
        with suppress(OSError):
            bound += [socket.create_server((host, port)) for host in hosts[1:]]
            found.append(port)
    for sock in bound:
        sock.close()
    return found


async def call(address: str, method: str, path: str, body: bytes = b"", **headers: str) -> tuple[int, bytes, bytes]:
    """Send one request on its own connection and return the status, the head and the body of the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        all_headers = {"Host": "x", "Content-Length": str(len(body)), "Connection": "close"}
        all_headers |= {k.replace("_", "-"): v for k, v in headers.items()}
        lines = "".join(f"{k}: {v}\r\n" for k, v in all_headers.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        head, _, rest = (await reader.read()).partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), head, rest
    finally:
        writer.close()


class Mesh:
    """A mesh of replicas and proxies; each proxy has one stand-in backend."""

    def __init__(self, folder: Path, replicas: int = 3, services: Iterable[str] = ("rooms", "rooms")) -> None:
        self.folder = folder
        self.services = list(services)
        base = 16 + os.getpid() % 200  # spreads meshes of different processes on this machine over 200 ranges
        self.replica_ips = [f"127.{base}.1.{n + 1}" for n in range(replicas)]
        self.proxy_ips = [f"127.{base}.2.{n + 1}" for n in range(len(self.services))]
        addresses = [*self.replica_ips, *self.proxy_ips]
        self.inner, self.dispatch, self.outgoing, self.ready, self.app = free_ports(addresses, 5)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.backends: list[MeshBackend] = []
        self.started: set[str] = set()

    def settings(self, ip: str) -> str:
        """Return the text of one machine's settings file."""
        return "".join(
            f"[{name}]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in table.items())
            for name, table in self.tables(ip).items()
        )

    def tables(self, ip: str) -> dict[str, dict[str, Any]]:
        """Return the tables of one machine's settings file."""
        at = self.proxy_ips.index(ip) if ip in self.proxy_ips else -1
        replica = at < 0
        listen = {"dispatch": f"{ip}:{self.dispatch}"}
        machine: dict[str, Any] = {
            "node_name": f"{'replica' if replica else 'proxy'}-{ip.rsplit('.', 1)[1]}",
            "ip": ip,
            "zone": f"z{ip[-1]}",
            "serves": ["dispatch"] if replica else ["courier"],
            "first_start": ip not in self.started,
        }
        if replica:
            machine["data_dir"] = str(self.folder / ip)
        else:
            machine |= {"app_address": f"{ip}:{self.app}", "service": self.services[at]}
            listen |= {"outgoing": f"{ip}:{self.outgoing}", "readiness": f"{ip}:{self.ready}"}
        return {
            "self": machine,
            "self.limits": {"memory_mb": 200, "file_handles": 1024, "disk_mb": 64, "link_mbps": 8},
            "network": {
                "inner_ports": [self.inner, self.inner],
                "seed_nodes": [f"{seed}:{self.dispatch}" for seed in self.replica_ips[:3]],
            },
            "network.listen": listen,
            "tariffs.tolerate": {"machines": 1},
        }

    def start(self, ip: str) -> None:
        """Start one machine's process."""
        path = self.folder / f"{ip}.toml"
        path.write_text(self.settings(ip))
        (self.folder / ip).mkdir(exist_ok=True)
        self.started.add(ip)
        with (self.folder / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                self.command(),
                cwd=self.root(ip),
                stderr=log,
                env=os.environ | {"LUGSPUR_NODE_FILE": str(path)},
            )

    def root(self, ip: str) -> Path:
        """Return the directory of the build that a machine's process runs from."""
        return ROOT

    def command(self) -> list[str]:
        """Return the command that starts each process."""
        return [sys.executable, "-m", "lugspur.mesh", "serve"]

    def end(self, ip: str, how: signal.Signals = signal.SIGKILL) -> int:
        """Send a machine's process a signal, wait for its end and return its exit status."""
        process = self.processes.pop(ip)
        process.send_signal(how)
        return process.wait(20.0)

    def log(self, ip: str) -> str:
        """Return the log of a machine's process."""
        return (self.folder / f"{ip}.log").read_text()

    async def begin(self) -> None:
        """Start all processes and backends, store the first configuration, and wait until a request is served."""
        for ip in (*self.replica_ips, *self.proxy_ips):
            self.start(ip)
        for ip, service in zip(self.proxy_ips, self.services, strict=True):
            await self.add_backend(ip, service)
        routes = [self.route("look", "safe"), self.route("book", "tracked")]
        await self.amend(
            {
                "routes": routes,
                "services": [
                    {"name": name, "checkup_path": "/checkup", "edition": "00000001"}
                    for name in sorted(set(self.services))
                ],
            }
        )
        for ip in self.proxy_ips:
            await self.until(ip, self.ready, "/readiness", 200)
        await self.served(self.proxy_ips[0], "/look/1", "warm")

    async def add_backend(self, ip: str, service: str) -> MeshBackend:
        """Start a backend beside a proxy."""
        backend = self.new_backend(service, f"{ip}:{self.app}", f"{ip}:{self.dispatch}", f"z{ip[-1]}")
        await backend.serve()
        self.backends.append(backend)
        return backend

    def new_backend(self, service: str, address: str, dispatch: str, zone: str) -> MeshBackend:
        """Return a new backend that does not listen yet."""
        return MeshBackend(service, address, dispatch, zone)

    @staticmethod
    def route(name: str, kind: str, edition: str = "00000001", **other: Any) -> dict[str, Any]:
        """Return a route of the service `rooms`."""
        return {
            "name": name,
            "office": "mesh.example",
            "path_prefix": f"/{name}/",
            "mail_class": kind,
            "deadline_ms": 5000,
            "target_ms": 500,
            "priority": 1,
            "service": "rooms",
            "tries": 2,
            "edition": edition,
        } | other

    async def until(self, ip: str, port: int, path: str, status: int) -> None:
        """Repeat a GET request until the response has this status; raises TimeoutError."""
        async with asyncio.timeout(READY_WITHIN):
            while True:
                with suppress(OSError, IndexError, ValueError):
                    if (await call(f"{ip}:{port}", "GET", path))[0] == status:
                        return
                await asyncio.sleep(TRY_EVERY)

    async def until_reached(self, ip: str, backends: int, routes: int = 0) -> None:
        """Wait until a proxy reaches this many backends and knows this many routes; raises TimeoutError."""
        async with asyncio.timeout(READY_WITHIN):
            while True:
                with suppress(OSError, IndexError, ValueError):
                    _, _, body = await call(f"{ip}:{self.dispatch}", "GET", "/mesh/status")
                    status = json.loads(body)
                    reached = sum(backend["reached"] for backend in status["backends"])
                    if reached >= backends and status["routes"] >= routes:
                        return
                await asyncio.sleep(TRY_EVERY)

    async def amend(self, upsert: dict[str, Any], at: int = 0, expect: int = 200) -> bytes:
        """Repeat a configuration change at one replica until the expected status comes back; raises TimeoutError."""
        body, found = json.dumps({"upsert": upsert}).encode(), b""
        async with asyncio.timeout(READY_WITHIN):
            while True:
                with suppress(OSError, IndexError, ValueError):
                    status, _, found = await call(
                        f"{self.replica_ips[at]}:{self.dispatch}", "POST", "/config/amend", body
                    )
                    if status == expect:
                        return found
                await asyncio.sleep(TRY_EVERY)

    async def read(self, at: int = 0) -> dict[str, Any]:
        """Return the configuration that a replica reads."""
        await self.until(self.replica_ips[at], self.dispatch, "/config/read", 200)
        _, _, body = await call(f"{self.replica_ips[at]}:{self.dispatch}", "GET", "/config/read")
        found: dict[str, Any] = json.loads(body)
        return found

    async def ask(
        self, ip: str, path: str, attempt: str, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes, bytes]:
        """Send one attempt of a client through a proxy."""
        return await call(
            f"{ip}:{self.outgoing}",
            "POST" if body else "GET",
            path,
            body,
            Host="mesh.example",
            Lugspur_Attempt_Id=attempt,
            **({"Lugspur_Deliver_By_Ms": "5000"} | headers),
        )

    async def served(self, ip: str, path: str, attempt: str) -> bytes:
        """Repeat a safe request until it is served; raises TimeoutError."""
        async with asyncio.timeout(READY_WITHIN):
            while True:
                with suppress(OSError, IndexError, ValueError):
                    status, _, body = await self.ask(ip, path, attempt)
                    if status == 200:
                        return body
                await asyncio.sleep(TRY_EVERY)

    async def close(self) -> None:
        """Close all backends and kill all processes."""
        for backend in self.backends:
            await backend.close()
        for ip in list(self.processes):
            self.end(ip)


async def show() -> None:
    """Run the demonstration and print each result."""
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh(Path(folder))
        try:
            await mesh.begin()
            print("three replicas, two proxies, two backends; the configuration is accepted and in effect")
            for n in range(6):
                body = await mesh.served(mesh.proxy_ips[n % 2], "/look/1", f"look-{n}")
            print(f"a request: {body.decode().strip()}")
            first = await mesh.ask(mesh.proxy_ips[0], "/book/7", "try-1", Lugspur_Operation_Key="k-7")
            again = await mesh.ask(mesh.proxy_ips[1], "/book/7", "try-2", Lugspur_Operation_Key="k-7")
            print(f"a booking, and its retry at another proxy: {first[0]} {first[2]!r}, {again[0]} {again[2]!r}")
            mesh.end(mesh.replica_ips[0])
            await mesh.amend({"routes": [mesh.route("late", "safe", "00000002")]}, 1)
            body = await mesh.served(mesh.proxy_ips[0], "/late/1", "late-1")
            print(f"a new route while a replica is down: {body.decode().strip()}")
            for ip in mesh.replica_ips[1:]:
                mesh.end(ip)
            for ip in mesh.replica_ips:
                mesh.start(ip)
            names = [route["name"] for route in (await mesh.read(2))["routes"]]
            third = await mesh.ask(mesh.proxy_ips[1], "/book/7", "try-3", Lugspur_Operation_Key="k-7")
            print(f"after all replicas were killed: routes {', '.join(sorted(names))}; the booking retried: {third[0]}")
            ran = sum(backend.ran.count(t) for backend in mesh.backends for t in ("try-1", "try-2", "try-3"))
            print(f"the booking ran {ran} time{'s' * (ran != 1)}")
        finally:
            await mesh.close()


if __name__ == "__main__":
    asyncio.run(show())
