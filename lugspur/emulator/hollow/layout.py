"""Where each machine of a hollow fleet is: addresses on loopback, zones, services, and settings files."""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SERVICES = 18
ROUTES_PER_SERVICE = 3
ZONES = {"north-1": "north", "north-2": "north", "north-3": "north", "north-4": "north"} | {
    "south-1": "south",
    "south-2": "south",
    "south-3": "south",
}
CONTROL_ZONES = ("north-1", "south-1", "north-2", "south-2")  # two control machines in each region
PROXIES_PER_NET = 200  # hosts of one 127.x.y.0/24
CONTROL_MEMORY_MB = 296  # of a control machine: what the small machines of the deployments have
PROXY_MEMORY_MB = 32
HEARTBEAT_S = 1.5
# Below the range from which the system draws ports for connections: these listen at hundreds of addresses, at each of
# which others dial out at the same time.
INNER, DISPATCH, OUTGOING, READINESS, APP = 21_001, 21_002, 21_003, 21_004, 21_005


@dataclass(frozen=True)
class Layout:
    """One fleet: `net` is the second number of all its addresses, so that several fleets may run side by side."""

    folder: Path
    net: int

    @staticmethod
    def here(folder: Path) -> Layout:
        """A fleet of this process's own."""
        return Layout(folder, 16 + os.getpid() % 200)

    def control_ip(self, index: int) -> str:
        """Address of a control machine."""
        return f"127.{self.net}.1.{index + 1}"

    def proxy_ip(self, index: int) -> str:
        """Address of a proxy's machine."""
        return f"127.{self.net}.{2 + index // PROXIES_PER_NET}.{1 + index % PROXIES_PER_NET}"

    @staticmethod
    def proxy_zone(index: int) -> str:
        """Zone of a proxy's machine: neighbours in the same rack share it."""
        zones = list(ZONES)
        return zones[index // 10 % len(zones)]

    @staticmethod
    def service(index: int) -> str:
        """Service of the backend beside a proxy."""
        return f"service-{index % SERVICES}"

    def path(self, ip: str) -> Path:
        """Where a machine's settings file lies."""
        return self.folder / f"{ip}.toml"

    def write_control(self, index: int, seeds: Sequence[str], first_start: bool) -> Path:
        """Write a control machine's settings file."""
        ip = self.control_ip(index)
        data = self.folder / ip
        data.mkdir(exist_ok=True)
        own = {
            "node_name": f"control-{index}",
            "ip": ip,
            "zone": CONTROL_ZONES[index % len(CONTROL_ZONES)],
            "serves": ["dispatch"],
            "first_start": first_start,
            "data_dir": str(data),
        }
        return self._write(ip, own, CONTROL_MEMORY_MB, {"dispatch": f"{ip}:{DISPATCH}"}, seeds)

    def write_proxy(self, index: int, seeds: Sequence[str]) -> Path:
        """Write a proxy's settings file."""
        ip = self.proxy_ip(index)
        own = {
            "node_name": f"proxy-{index}",
            "ip": ip,
            "zone": self.proxy_zone(index),
            "serves": ["courier"],
            "first_start": False,
            "app_address": f"{ip}:{APP}",
            "service": self.service(index),
        }
        listen = {"dispatch": DISPATCH, "outgoing": OUTGOING, "readiness": READINESS}
        addresses = {name: f"{ip}:{port}" for name, port in listen.items()}
        return self._write(ip, own, PROXY_MEMORY_MB, addresses, seeds)

    def _write(
        self, ip: str, own: dict[str, Any], memory_mb: int, listen: dict[str, str], seeds: Sequence[str]
    ) -> Path:
        limits = {"memory_mb": memory_mb, "file_handles": 4096, "disk_mb": 256, "link_mbps": 100}
        network = {"inner_ports": [INNER, INNER], "seed_nodes": [f"{seed}:{DISPATCH}" for seed in seeds]}
        tables: dict[str, dict[str, Any]] = {
            "self": own,
            "self.limits": limits,
            "network": network,
            "network.listen": listen,
            "depot": {"heartbeat_ms": 1000.0 * HEARTBEAT_S},
            "tariffs.tolerate": {"machines": 1},
        }
        path = self.path(ip)
        fresh = path.with_suffix(".new")
        fresh.write_text("".join(_table(name, table) for name, table in tables.items()))
        fresh.rename(path)  # processes read it again when it changes: never half of it
        return path


def _table(name: str, table: dict[str, Any]) -> str:
    return f"[{name}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in table.items())


def route(index: int, edition: int) -> dict[str, Any]:
    """One route of the configuration that the fleet has in force."""
    return {
        "name": f"route-{index}",
        "office": f"host-{index}.example",
        "path_prefix": f"/path-{index}/",
        "mail_class": "tracked" if index % 3 == 0 else "safe",
        "deadline_ms": 2000,
        "target_ms": 400,
        "priority": index % 4,
        "service": f"service-{index % SERVICES}",
        "tries": 2,
        "edition": f"{edition:08x}",
    }


def configuration() -> dict[str, Any]:
    """The first configuration: all services, and some routes of each."""
    services = [
        {"name": f"service-{n}", "checkup_path": "/checkup", "max_connections": 110, "edition": "00000001"}
        for n in range(SERVICES)
    ]
    return {"services": services, "routes": [route(n, 1) for n in range(SERVICES * ROUTES_PER_SERVICE)]}
