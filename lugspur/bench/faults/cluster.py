"""A mesh of processes whose links go through the relay, and whose machines may be frozen, wiped and replaced."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

from lugspur.bench.faults.checker import Bounds
from lugspur.bench.faults.links import Links
from lugspur.bench.mesh import Mesh, call, free_ports
from lugspur.standins.mesh import MeshBackend

SERVICES = ("rooms", "halls", "attic")  # one for each proxy, so that an answer shows which service its route named
CATCH_UP = 4.0  # seconds after its return for which a machine that lost its disk counts as lost
GRACE = 6.0  # seconds from SIGTERM to SIGKILL
STATUS_WITHIN = 0.5
SEEDS = 3


class Cluster(Mesh):
    """So many control machines and three proxies; control machines come and go under new addresses."""

    proxy_services: tuple[str, ...] = SERVICES  # the service beside each proxy

    def __init__(self, folder: Path, machines: int, tolerate: int) -> None:
        super().__init__(folder, machines, self.proxy_services)
        self.tolerate = tolerate
        self.bounds = Bounds()
        self.links = Links()
        self.seeds = self.replica_ips[:SEEDS]
        self.first = True
        self._addresses = machines
        (self.bound,) = free_ports([*self.replica_ips, *self.proxy_ips], 1)

    @property
    def control(self) -> list[str]:
        """The control machines that belong to the mesh at present, up or not."""
        return self.replica_ips

    def tables(self, ip: str) -> dict[str, dict[str, Any]]:
        tables = super().tables(ip)
        tables["self"]["first_start"] = self.first and ip not in self.started
        tables["network"]["seed_nodes"] = [f"{seed}:{self.dispatch}" for seed in self.seeds]
        tables["network.listen"]["inner"] = f"{ip}:{self.bound}"
        tables["tariffs.tolerate"] = {"machines": self.tolerate}
        tables["tariffs.bounds"] = {
            "edition_ms": 1000.0 * self.bounds.edition,
            "contact_ms": 1000.0 * self.bounds.contact,
            "catch_up_s": CATCH_UP,
            "grace_s": GRACE,
        }
        return tables

    async def begin(self) -> None:
        await super().begin()
        self.first = False
        await self.amend({"routes": [self.mail_route()]})

    def mail_route(self) -> dict[str, Any]:
        """The route whose requests may not be repeated."""
        return self.route("mail", "unsafe")

    def start(self, ip: str) -> None:
        super().start(ip)
        self.links.open((ip, self.inner), (ip, self.bound))

    def end(self, ip: str, how: signal.Signals = signal.SIGKILL) -> int:
        status = super().end(ip, how)
        self.links.shut(ip)
        return status

    async def close(self) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        await super().close()
        await self.links.close()

    # ---- machines ----------------------------------------------------------------------------

    def wipe(self, ip: str) -> None:
        """Empty the disk of a machine that is down."""
        shutil.rmtree(self.folder / ip)

    def freeze(self, ip: str) -> None:
        """Stop a process where it stands."""
        self.processes[ip].send_signal(signal.SIGSTOP)

    def thaw(self, ip: str) -> None:
        """Let a frozen process go on."""
        self.processes[ip].send_signal(signal.SIGCONT)

    def add(self) -> str:
        """Start a machine that is new to the mesh; returns its address."""
        self._addresses += 1
        ip = f"{self.replica_ips[0].rsplit('.', 1)[0]}.{self._addresses}"
        self.replica_ips.append(ip)
        self.start(ip)
        return ip

    def remove(self, ip: str) -> None:
        """Forget a machine that is gone for good, and its disk."""
        self.replica_ips.remove(ip)
        self.wipe(ip)
        self.seeds = [seed for seed in self.seeds if seed != ip]
        self.seeds += [other for other in self.replica_ips if other not in self.seeds][: SEEDS - len(self.seeds)]

    async def terminate(self, ip: str) -> None:
        """SIGTERM, and SIGKILL after the time that a process has to end."""
        process = self.processes.pop(ip)
        process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        until = loop.time() + GRACE
        while process.poll() is None and loop.time() < until:
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()
        self.links.shut(ip)

    def backend_of(self, ip: str) -> MeshBackend:
        """The present life of a proxy's backend."""
        return next(backend for backend in reversed(self.backends) if backend.address.startswith(f"{ip}:"))

    def reload(self, ip: str, content: bytes | None) -> None:
        """Tell a process by SIGHUP to read its settings file, with this content in place; None: it is gone."""
        path = self.folder / f"{ip}.toml"
        if content is None:
            path.unlink(missing_ok=True)
        else:
            path.write_bytes(content)
        self.processes[ip].send_signal(signal.SIGHUP)

    def exchange_seeds(self, seeds: list[str]) -> None:
        """Write other seeds into all settings files, and say so by SIGHUP."""
        self.seeds = seeds
        for ip, process in self.processes.items():
            (self.folder / f"{ip}.toml").write_text(self.settings(ip))
            process.send_signal(signal.SIGHUP)

    async def status(self, ip: str) -> dict[str, Any]:
        """What a machine says of itself; empty if it doesn't."""
        with suppress(OSError, IndexError, ValueError, TimeoutError):
            async with asyncio.timeout(STATUS_WITHIN):
                _, _, body = await call(f"{ip}:{self.dispatch}", "GET", "/mesh/status")
                found: dict[str, Any] = json.loads(body)
                return found
        return {}

    async def voters(self) -> list[str]:
        """The voters of the highest epoch that any machine tells; all machines where none tells."""
        told = await asyncio.gather(*(self.status(ip) for ip in self.replica_ips if ip in self.processes))
        newest = max(told, key=lambda status: int(status.get("epoch", -1)), default={})
        return list(newest.get("voters", ())) or list(self.replica_ips)
