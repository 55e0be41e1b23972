"""`lugspur register`: keeps a box's node in a registry from beside the box."""

from __future__ import annotations

import asyncio
import signal
import time
import uuid
from dataclasses import dataclass
from urllib.parse import urlsplit

from lugspur.config.build import Plan
from lugspur.config.units import Wrong, duration, folder, nearest, node
from lugspur.config.units import address as read_place
from lugspur.daemon.cluster import registry_ensemble
from lugspur.discovery.backend_registration import BackendRegistrar, RegisteredBackend
from lugspur.discovery.health_check import check_health
from lugspur.discovery.registry_sessions import Ensemble, RegistrySessions


@dataclass(frozen=True, slots=True)
class Wish:
    """What the command line asks for."""

    ensemble: Ensemble
    path: str
    box: RegisteredBackend
    ident: str
    url: str
    every: float  # seconds


def wished(
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
) -> Wish:
    """The command line's words, checked; raises ValueError that says what to write instead."""
    known = plan.file.registries
    if registry not in known:
        raise ValueError(f'registry "{registry}" is not in the file{nearest(registry, known)}')
    if not (0 <= cell < 1 << 31 and 0.001 <= weight <= 1e6):
        raise ValueError("--cell is a whole number from 0, --weight one from 0.001 to 1000000")
    try:
        host, port = read_place(address)
        box = RegisteredBackend(node(name), f"{host}:{port}", zone, cell, weight)
        wish = Wish(
            registry_ensemble(known[registry]),
            folder(path),
            box,
            uuid.uuid4().hex if sequential else "",
            url or f"tcp://{address}",
            duration(0.01, 3600.0)(every),
        )
    except Wrong as fault:
        raise ValueError(str(fault)) from fault
    parts = urlsplit(wish.url)
    if parts.scheme not in ("http", "tcp") or not parts.hostname or not parts.port:
        raise ValueError(f'--check "{wish.url}" can\'t be asked; write http://HOST:PORT/PATH or tcp://HOST:PORT')
    return wish


async def beside(wish: Wish) -> None:
    """Check the box and keep its node until SIGTERM or SIGINT, then delete the node."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    registries = RegistrySessions()
    announcer = BackendRegistrar(registries.get(wish.ensemble), wish.path, wish.box, wish.ident, time.time)
    announcer.open()
    checking = loop.create_task(_checks(announcer, wish))
    await told.wait()
    checking.cancel()
    await announcer.deregister()
    await registries.close()


async def _checks(announcer: BackendRegistrar, wish: Wish) -> None:
    while True:
        announcer.record_check(await check_health(wish.url, wish.every))
        await asyncio.sleep(wish.every)
