"""`lugspur register`: keeps a backend registered while it is healthy, in a process beside the backend."""

from __future__ import annotations

import asyncio
import signal
import time
import uuid
from dataclasses import dataclass
from urllib.parse import urlsplit

from lugspur.config.build import Plan
from lugspur.config.units import InvalidValueError, duration, registry_node, registry_path, suggestion
from lugspur.config.units import address as parse_address
from lugspur.daemon.cluster import registry_ensemble
from lugspur.discovery.backend_registration import BackendRegistrar, RegisteredBackend
from lugspur.discovery.health_check import check_health
from lugspur.discovery.registry_sessions import Ensemble, RegistrySessions


@dataclass(frozen=True, slots=True)
class Registration:
    """The validated arguments of the command line."""

    ensemble: Ensemble
    path: str
    backend: RegisteredBackend
    ident: str  # of a sequential node; empty for others
    url: str
    every: float  # seconds between two health checks


def parse_registration(
    plan: Plan,
    registry: str,
    path: str,
    name: str,
    address: str,
    url: str | None,
    every: str,
    zone: str,
    cell: int,
    weight: float,
    sequential: bool,
) -> Registration:
    """Validate the command line; raises ValueError, whose message says what to write instead."""
    known = plan.file.registries
    if registry not in known:
        raise ValueError(f'registry "{registry}" is not in the file{suggestion(registry, known)}')
    if not (0 <= cell < 1 << 31 and 0.001 <= weight <= 1e6):
        raise ValueError("--cell is an integer from 0, --weight a number from 0.001 to 1000000")
    try:
        host, port = parse_address(address)
        backend = RegisteredBackend(registry_node(name), f"{host}:{port}", zone, cell, weight)
        registration = Registration(
            registry_ensemble(known[registry]),
            registry_path(path),
            backend,
            uuid.uuid4().hex if sequential else "",
            url or f"tcp://{address}",
            duration(0.01, 3600.0)(every),
        )
    except InvalidValueError as fault:
        raise ValueError(str(fault)) from fault
    parts = urlsplit(registration.url)
    if parts.scheme not in ("http", "tcp") or not parts.hostname or not parts.port:
        raise ValueError(
            f'--check "{registration.url}" is not a URL that can be checked; write http://HOST:PORT/PATH or tcp://HOST:PORT'
        )
    return registration


async def run_registration(registration: Registration) -> None:
    """Check the backend and keep it registered until SIGTERM or SIGINT, then delete its node."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    registries = RegistrySessions()
    registrar = BackendRegistrar(
        registries.get(registration.ensemble), registration.path, registration.backend, registration.ident, time.time
    )
    registrar.open()
    checks = loop.create_task(_run_checks(registrar, registration))
    await stop.wait()
    checks.cancel()
    await registrar.deregister()
    await registries.close()


async def _run_checks(registrar: BackendRegistrar, registration: Registration) -> None:
    while True:
        registrar.record_check(await check_health(registration.url, registration.every))
        await asyncio.sleep(registration.every)
