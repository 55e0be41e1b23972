"""Registrations of the daemon's listeners in registries: one node for each listener while it is open."""

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

# The settings that a node is created from.
RegistrationSettings = tuple[model.Registration, model.Registry, Address, str]


class ListenerRegistrations:
    """Creates the nodes that the file configures, and deletes those that it no longer configures."""

    def __init__(self, registries: RegistrySessions) -> None:
        self._registries = registries
        self._registrars: dict[str, tuple[RegistrationSettings, BackendRegistrar]] = {}
        self._deregistrations: set[asyncio.Task[None]] = set()
        self._started_at = time.time()

    def deregister_changed(self, file: model.File, addresses: Mapping[str, Address]) -> None:
        """Delete the nodes of listeners that a reload is about to remove or to register differently."""
        for name, (settings, registrar) in tuple(self._registrars.items()):
            row = file.listeners.get(name)
            if row is None or row.register is None or settings != _registration_settings(file, row, addresses[name]):
                del self._registrars[name]
                self._start_deregistration(registrar)

    def register(self, file: model.File, addresses: Mapping[str, Address]) -> None:
        """Create the missing nodes of all listeners that are open."""
        for name, row in file.listeners.items():
            if row.register is None or name in self._registrars:
                continue
            settings = _registration_settings(file, row, addresses[name])
            register, ensemble, (host, port), zone = settings
            backend = RegisteredBackend(register.name, f"{host}:{port}", zone, register.cell, register.weight)
            ident = uuid.uuid4().hex if register.sequential else ""
            registrar = BackendRegistrar(
                self._registries.get(registry_ensemble(ensemble)),
                register.path,
                backend,
                ident,
                lambda: self._started_at,
            )
            self._registrars[name] = settings, registrar
            registrar.open()
            registrar.record_check(CheckResult.HEALTHY)

    def _start_deregistration(self, registrar: BackendRegistrar) -> None:
        task = asyncio.get_running_loop().create_task(registrar.deregister())
        self._deregistrations.add(task)
        task.add_done_callback(self._deregistrations.discard)
        task.add_done_callback(lambda _: self._registries.close_unused())

    async def deregister_all(self) -> None:
        """Delete all nodes; returns when the registries have confirmed it, or after a timeout."""
        for _, registrar in self._registrars.values():
            self._start_deregistration(registrar)
        self._registrars.clear()
        await asyncio.gather(*self._deregistrations)


def _registration_settings(file: model.File, row: model.Listener, address: Address) -> RegistrationSettings:
    register = row.register
    assert register is not None
    return register, file.registries[register.registry], register.address or address, register.zone or file.daemon.zone
