"""The configuration that the platform gives a proxy, as typed values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from lugspur.config import retune
from lugspur.discovery.endpoints import Address, read_address
from lugspur.load_balancing.adapter import read_settings
from lugspur.load_balancing.model import Settings

DEFAULT_MEMORY_MB = 192  # if the configuration states no limit: the most that the platform gives


class ConfigError(Exception):
    """The environment or the configuration file is invalid."""


@dataclass(slots=True, frozen=True)
class Config:
    """One proxy's configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int  # bytes
    known: dict[str, Any]
    settings: Settings
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    types: dict[str, int]
    conn_idle: float
    dial_timeout: float
    wire: dict[str, Any] = field(default_factory=dict)  # settings and limits as they were received
    management: Address | None = None  # address of the admin listener


def _indices(names: list[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}


def _read(environ: Mapping[str, str], raw: dict[str, Any], former: dict[str, Any] | None) -> Config:
    wire = raw["settings"]
    if former is not None:
        retune.check(former, raw)
    bounds = wire.get("Bounds") or {}
    settings = read_settings(wire)
    settings.check()
    management = environ.get("RELAY_MANAGEMENT") or raw.get("management")
    return Config(
        name=environ.get("RELAY_NAME") or raw["name"],
        listen=read_address(environ.get("RELAY_LISTEN") or raw["listen"]),
        discovery=read_address(environ.get("RELAY_DISCOVERY") or raw["discovery"]),
        seed=int(raw["seed"], 16),
        sockets=int(raw["limits"]["sockets"]),
        memory=int(raw["limits"].get("memory_mb", DEFAULT_MEMORY_MB)) << 20,
        known=raw.get("known") or {"index": 0, "endpoints": []},
        settings=settings,
        classes=_indices([row.name for row in settings.classes]),
        tenants=_indices([row.name for row in settings.tenants]),
        zones=_indices(wire.get("Zones") or []),
        types=_indices(wire.get("HostTypes") or []),
        conn_idle=float(bounds.get("ConnIdle", 15.0)),
        dial_timeout=float(bounds.get("DialTimeout", 0.25)),
        wire={"settings": wire, "limits": raw["limits"]},
        management=read_address(management) if management else None,
    )


def load(environ: Mapping[str, str], former: dict[str, Any] | None = None) -> Config:
    """Load the configuration file that the environment names; raises ConfigError with a message of one line.

    A file that is to replace the `former` configuration must have all keys of it.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            return _read(environ, orjson.loads(file.read()), former)
    except KeyError as fault:
        raise ConfigError(f"{path}: {fault} is missing") from fault
    except (OSError, ValueError, TypeError, AttributeError) as fault:
        raise ConfigError(f"{path}: {fault}".replace("\n", " ")) from fault
