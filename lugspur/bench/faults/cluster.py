"""A mesh of processes whose links run through a relay; its machines can be frozen, wiped and replaced."""

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

SERVICES = ("rooms", "halls", "attic")  # one for each proxy, so that a response shows which service its route named
CATCH_UP = 4.0  # seconds for which a machine that lost its disk still counts as lost after its return
GRACE = 6.0  # seconds from SIGTERM to SIGKILL
STATUS_TIMEOUT = 0.5  # seconds
SEED_COUNT = 3  # seed nodes in each settings file


class Cluster(Mesh):
    """A number of control machines and three proxies; each new control machine gets a new address."""

    proxy_services: tuple[str, ...] = SERVICES  # the service beside each proxy

    def __init__(self, folder: Path, machines: int, tolerate: int) -> None:
        super().__init__(folder, machines, self.proxy_services)
        self.tolerate = tolerate
        self.bounds = Bounds()
        self.links = Links()
        self.seeds = self.replica_ips[:SEED_COUNT]
        self.first_start = True
        self._address_count = machines
        (self.bound_port,) = free_ports([*self.replica_ips, *self.proxy_ips], 1)

    @property
    def control(self) -> list[str]:
        """The addresses of the control machines that belong to the mesh at present, running or not."""
        return self.replica_ips

    def tables(self, ip: str) -> dict[str, dict[str, Any]]:
        tables = super().tables(ip)
        tables["self"]["first_start"] = self.first_start and ip not in self.started
        tables["network"]["seed_nodes"] = [f"{seed}:{self.dispatch}" for seed in self.seeds]
        tables["network.listen"]["inner"] = f"{ip}:{self.bound_port}"
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
        self.first_start = False
        await self.amend({"routes": [self.mail_route()]})

    def mail_route(self) -> dict[str, Any]:
        """Return the route whose requests must not be retried."""
        return self.route("mail", "unsafe")

    def start(self, ip: str) -> None:
        super().start(ip)
        self.links.open((ip, self.inner), (ip, self.bound_port))

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
        """Delete the data directory of a machine whose process is not running."""
        shutil.rmtree(self.folder / ip)

    def freeze(self, ip: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[ip].send_signal(signal.SIGSTOP)

    def thaw(self, ip: str) -> None:
        """Resume a suspended process."""
        self.processes[ip].send_signal(signal.SIGCONT)

    def add(self) -> str:
        """Start a machine that is new to the mesh and return its address."""
        self._address_count += 1
        ip = f"{self.replica_ips[0].rsplit('.', 1)[0]}.{self._address_count}"
        self.replica_ips.append(ip)
        self.start(ip)
        return ip

    def remove(self, ip: str) -> None:
        """Remove a machine for good together with its disk, and replace it among the seeds."""
        self.replica_ips.remove(ip)
        self.wipe(ip)
        self.seeds = [seed for seed in self.seeds if seed != ip]
        self.seeds += [other for other in self.replica_ips if other not in self.seeds][: SEED_COUNT - len(self.seeds)]

    async def terminate(self, ip: str) -> None:
        """Send SIGTERM to a process, and SIGKILL after its grace period."""
        process = self.processes.pop(ip)
        process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + GRACE
        while process.poll() is None and loop.time() < deadline:
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()
        self.links.shut(ip)

    def backend_of(self, ip: str) -> MeshBackend:
        """Return the latest incarnation of a proxy's backend."""
        return next(backend for backend in reversed(self.backends) if backend.address.startswith(f"{ip}:"))

    def reload(self, ip: str, content: bytes | None) -> None:
        """Write a process's settings file, or delete it where `content` is None, and send SIGHUP to reload it."""
        path = self.folder / f"{ip}.toml"
        if content is None:
            path.unlink(missing_ok=True)
        else:
            path.write_bytes(content)
        self.processes[ip].send_signal(signal.SIGHUP)

    def exchange_seeds(self, seeds: list[str]) -> None:
        """Write new seeds into all settings files and send SIGHUP to all processes."""
        self.seeds = seeds
        for ip, process in self.processes.items():
            (self.folder / f"{ip}.toml").write_text(self.settings(ip))
            process.send_signal(signal.SIGHUP)

    async def status(self, ip: str) -> dict[str, Any]:
        """Return the status that a machine reports, or an empty one if it does not respond in time."""
        with suppress(OSError, IndexError, ValueError, TimeoutError):
            async with asyncio.timeout(STATUS_TIMEOUT):
                _, _, body = await call(f"{ip}:{self.dispatch}", "GET", "/mesh/status")
                status: dict[str, Any] = json.loads(body)
                return status
        return {}

    async def voters(self) -> list[str]:
        """Return the voters of the highest epoch that any machine reports, or all machines if none reports voters."""
        statuses = await asyncio.gather(*(self.status(ip) for ip in self.replica_ips if ip in self.processes))
        newest = max(statuses, key=lambda status: int(status.get("epoch", -1)), default={})
        return list(newest.get("voters", ())) or list(self.replica_ips)
