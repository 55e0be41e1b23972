"""The daemon's own nodes in registries: one for each listener that registers, for as long as it listens."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Mapping

from lugspur.config import model
from lugspur.daemon.cluster import registry_ensemble
from lugspur.discovery.backend_registration import BackendRegistrar, RegisteredBackend
from lugspur.discovery.endpoints import Address
from lugspur.discovery.health_check import CheckResult
from lugspur.discovery.registry_sessions import RegistrySessions

Wish = tuple[model.Register, model.Registry, Address, str]  # all that a node depends on


class Announcers:
    """Makes the nodes that the file asks for, and deletes those that it asks for no more."""

    def __init__(self, registries: RegistrySessions) -> None:
        self._registries = registries
        self._known: dict[str, tuple[Wish, BackendRegistrar]] = {}
        self._leaving: set[asyncio.Task[None]] = set()
        self._began = time.time()

    def retire(self, file: model.File, addresses: Mapping[str, Address]) -> None:
        """Delete nodes of listeners that are to end or to be told of otherwise, before they do."""
        for name, (wish, announcer) in tuple(self._known.items()):
            row = file.listeners.get(name)
            if row is None or row.register is None or wish != _wish(file, row, addresses[name]):
                del self._known[name]
                self._leave(announcer)

    def apply(self, file: model.File, addresses: Mapping[str, Address]) -> None:
        """Make the nodes of all listeners that are up."""
        for name, row in file.listeners.items():
            if row.register is None or name in self._known:
                continue
            wish = _wish(file, row, addresses[name])
            register, ensemble, (host, port), zone = wish
            box = RegisteredBackend(register.name, f"{host}:{port}", zone, register.cell, register.weight)
            ident = uuid.uuid4().hex if register.sequential else ""
            announcer = BackendRegistrar(
                self._registries.get(registry_ensemble(ensemble)), register.path, box, ident, lambda: self._began
            )
            self._known[name] = wish, announcer
            announcer.open()
            announcer.record_check(CheckResult.HEALTHY)

    def _leave(self, announcer: BackendRegistrar) -> None:
        task = asyncio.get_running_loop().create_task(announcer.deregister())
        self._leaving.add(task)
        task.add_done_callback(self._leaving.discard)
        task.add_done_callback(lambda _: self._registries.close_unused())

    async def leave(self) -> None:
        """Delete all nodes; ends when the registries have confirmed it, or haven't for too long."""
        for _, announcer in self._known.values():
            self._leave(announcer)
        self._known.clear()
        await asyncio.gather(*self._leaving)


def _wish(file: model.File, row: model.Listener, address: Address) -> Wish:
    register = row.register
    assert register is not None
    return register, file.registries[register.registry], register.address or address, register.zone or file.daemon.zone
