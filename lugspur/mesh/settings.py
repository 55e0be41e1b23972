"""The settings file: the machine of a process, its network, and the bounds that the process has to keep."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dacite

from lugspur.discovery.endpoints import Address, read_address
from lugspur.mesh.control.errors import ErrorKind, MeshError

SETTINGS_VARIABLE = "LUGSPUR_NODE_FILE"  # environment variable with the path of the file
DEFAULT_SETTINGS_PATH = "/etc/lugspur/settings.toml"
MAX_PORT = 65535
# Periods that must not be 0.
POSITIVE_BOUNDS = (
    "edition_ms",
    "stamp_window_s",
    "grace_s",
    "retry_window_s",
    "history_s",
)
#: The parts of the operators' rules that this build implements, by their names in `tariffs.contracts`.
SERVED_CONTRACTS = frozenset({"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "keys", "coord"})
Number = float | int  # TOML distinguishes 1 and 1.0; operators may write either


@dataclass(slots=True, frozen=True)
class Limits:
    """The table `self.limits`: the resources of the machine that this process may use."""

    cpu_share: Number = 1.0
    memory_mb: int = 256
    file_handles: int = 1024
    disk_mb: int = 0
    link_mbps: Number = 0.0  # 0: unknown


@dataclass(slots=True, frozen=True)
class Own:
    """The table `self`: the process and its machine."""

    node_name: str
    ip: str
    zone: str
    serves: list[str]
    machine_class: str = ""
    role: str = ""
    counted: bool = False
    first_start: bool = False
    app_address: str = ""
    service: str = ""
    data_dir: str = ""
    limits: Limits = field(default_factory=Limits)


@dataclass(slots=True, frozen=True)
class Listen:
    """The table `network.listen`: addresses to listen on; empty: there is no such listener."""

    incoming: str = ""
    outgoing: str = ""
    readiness: str = ""
    dispatch: str = ""
    inner: str = ""  # of the inner protocol, if it differs from the own IP number and the first inner port


@dataclass(slots=True, frozen=True)
class Network:
    """The table `network`: the addresses of the machines of the mesh."""

    inner_ports: list[int]
    seed_nodes: list[str]
    listen: Listen = field(default_factory=Listen)
    zones: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Depot:
    """The table `depot`: the backend."""

    heartbeat_ms: Number = 1500.0


@dataclass(slots=True, frozen=True)
class Tolerate:
    """The table `tariffs.tolerate`: failures at the same time that have to be tolerated."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(slots=True, frozen=True)
class Bounds:
    """The table `tariffs.bounds`: limits of the operators' rules, in the units that their names end with."""

    contact_ms: Number = 3000.0
    receipt_ms: Number = 4000.0
    catch_up_s: Number = 4.0
    drain_ms: Number = 2000.0
    grace_s: Number = 6.0
    edition_ms: Number = 2000.0
    fallback_ms: Number = 250.0
    retry_ratio: Number = 0.2
    retry_window_s: Number = 10.0
    retry_slack: Number = 10.0
    stamp_window_s: Number = 60.0
    seed_lag_s: Number = 3.0
    history_s: Number = 20.0


@dataclass(slots=True, frozen=True)
class Tariffs:
    """The table `tariffs`: the operators' rules."""

    contracts: list[str] = field(default_factory=list)  # the parts of the rules that are in force
    tolerate: Tolerate = field(default_factory=Tolerate)
    bounds: Bounds = field(default_factory=Bounds)


@dataclass(slots=True, frozen=True)
class Settings:
    """All tables of the file."""

    own: Own
    network: Network
    depot: Depot = field(default_factory=Depot)
    tariffs: Tariffs = field(default_factory=Tariffs)

    @property
    def inner_address(self) -> Address:
        """The address at which other processes of the mesh reach this one."""
        return self.own.ip, self.network.inner_ports[0]

    @property
    def inner_bind_address(self) -> Address:
        """The address on which this process listens for other ones; behind a relay it differs from `inner_address`."""
        listen = self.network.listen.inner
        return read_address(listen) if listen else self.inner_address

    @property
    def seeds(self) -> list[str]:
        """The IP numbers of the seed nodes; all machines use the same ports."""
        return [read_address(seed)[0] for seed in self.network.seed_nodes]

    @property
    def is_control_node(self) -> bool:
        """Whether the process stores the mesh's state: it serves operators and has a data directory."""
        return "dispatch" in self.own.serves and bool(self.own.data_dir)


def parse_settings(data: dict[str, Any]) -> Settings:
    """Return the settings of a file's tables; unknown fields are ignored. Raises MeshError (SETTINGS)."""
    named = {("own" if name == "self" else name): value for name, value in data.items()}
    try:
        settings = dacite.from_dict(Settings, named)
        for address in _addresses_of(settings):
            if address:
                read_address(address)
    except (dacite.DaciteError, ValueError, TypeError) as fault:
        raise MeshError(ErrorKind.SETTINGS, str(fault)) from None
    _check_ports(settings.network.inner_ports)
    for name in POSITIVE_BOUNDS:
        if getattr(settings.tariffs.bounds, name) <= 0.0:
            raise MeshError(ErrorKind.SETTINGS, f"tariffs.bounds.{name} is not above 0")
    return settings


def _addresses_of(settings: Settings) -> tuple[str, ...]:
    listen = settings.network.listen
    return (
        *settings.network.seed_nodes,
        settings.own.app_address,
        listen.incoming,
        listen.outgoing,
        listen.readiness,
        listen.dispatch,
        listen.inner,
    )


def _check_ports(ports: list[int]) -> None:
    if not ports:
        raise MeshError(ErrorKind.SETTINGS, "network.inner_ports is empty")
    if not all(0 < port <= MAX_PORT for port in ports):
        raise MeshError(ErrorKind.SETTINGS, f"network.inner_ports are not all from 1 to {MAX_PORT}")


def load_settings(path: str | Path) -> Settings:
    """Read a settings file; raises MeshError (SETTINGS) with the reason."""
    try:
        with open(path, "rb") as file:
            return parse_settings(tomllib.load(file))
    except (OSError, ValueError, RecursionError) as fault:  # not TOML, not UTF-8, or nested too deeply
        raise MeshError(ErrorKind.SETTINGS, f"{path}: {fault}".replace("\n", " ")) from None
