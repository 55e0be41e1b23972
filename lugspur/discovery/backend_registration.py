"""Registration of a backend in a registry: what its node holds, and when the node is created and deleted."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from lugspur.discovery.health_check import BackendHealth, CheckResult
from lugspur.discovery.registry_sessions import RegistrySession
from lugspur.zookeeper.registration import Registration
from lugspur.zookeeper.session import Event

#: Seconds after which a request that the registry has rejected is sent again.
RETRY_DELAY_SECONDS = 5.0
#: Seconds that deleting the node may take when the backend is deregistered. If it takes longer, the end of the session
#: deletes the node.
DEREGISTRATION_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class RegisteredBackend:
    """A backend as its node describes it."""

    name: str
    address: str  # host:port
    zone: str = ""
    cell: int = 0
    weight: float = 1.0

    def node_data(self, started_ms: int) -> bytes:
        """Return the data of the node, an entry in the platform's format; `started_ms`: milliseconds since 1970."""
        return orjson.dumps(
            {
                "name": self.name,
                "address": self.address,
                "status": "in_service",
                "zone": self.zone,
                "group": self.cell,
                "weight": self.weight,
                "since_ms": started_ms,
            }
        )

    def owns_node(self, data: bytes) -> bool:
        """Return whether a node with this data belongs to this backend: only one process can listen at an address."""
        try:
            entry = orjson.loads(data)
        except orjson.JSONDecodeError:
            return False
        return isinstance(entry, dict) and entry.get("address") == self.address


class BackendRegistrar:
    """Keeps the node of one backend in a registry while the backend is healthy, from `open` until `deregister`."""

    def __init__(
        self,
        session: RegistrySession,
        directory: str,
        backend: RegisteredBackend,
        sequence_id: str,
        clock: Callable[[], float],
    ) -> None:
        """Prepare a node in `directory`.

        sequence_id: identifier by which a sequential node is recognized after a lost reply; empty for a plain node.
        clock: returns the time in seconds since 1970.
        """
        self.backend = backend
        self._session = session
        self._clock = clock
        self.health = BackendHealth()
        self.registration = Registration(directory, backend.name, backend.node_data(0), backend.owns_node, sequence_id)
        self._retry_timer: asyncio.TimerHandle | None = None
        self._progress = asyncio.Event()

    def open(self) -> None:
        """Start the registration; the node is created once the backend is healthy."""
        self._session.add_user(self.registration, self._on_events)

    def record_check(self, result: CheckResult) -> None:
        """Record the result of a health check; for a backend without checks, one HEALTHY result is recorded."""
        self.health.record(result, int(self._clock() * 1000))
        if self.health.is_healthy:
            self.registration.set_data(self.backend.node_data(self.health.started_ms))
        self.registration.set_wanted(self.health.is_healthy)
        self._flush()

    async def deregister(self) -> None:
        """Delete the node, and wait until the registry has confirmed the deletion or the timeout has passed."""
        self.registration.set_wanted(False)
        self._progress.clear()
        self._flush()
        try:
            async with asyncio.timeout(DEREGISTRATION_TIMEOUT_SECONDS):
                while not self.registration.is_settled:
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            self._log(
                "the registry did not confirm the deletion of the node in time; the node is deleted with its session"
            )
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._session.remove_user(self.registration)

    def _flush(self) -> None:
        self._session.client.send_requests()
        self._on_events([])

    def _on_events(self, events: list[Event]) -> None:
        for line in self.registration.take_log_lines():
            self._log(line)
        self._progress.set()
        if self._retry_timer is None:
            self._retry_timer = asyncio.get_running_loop().call_later(RETRY_DELAY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._retry_timer = None
        self.registration.retry()
        self._flush()

    def _log(self, line: str) -> None:
        print(f"lugspur: {self.backend.name}: {line}", file=sys.stderr, flush=True)
