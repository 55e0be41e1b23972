"""The backends of all machines, by the leased entries of the mesh."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.messages import Entry
from lugspur.mesh.dataplane.endpoints import EndpointListing
from lugspur.mesh.sidecar.backend_status import BackendStatus, decode_status


class KnownBackends:
    """Each machine's backend by the machine's IP number.

    `on_change` is called with the services whose backends have changed, once for all changes of one turn of the loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_change: Callable[[set[str]], None]) -> None:
        self._loop, self._on_change = loop, on_change
        self.by_ip: dict[str, BackendStatus] = {}
        self._slow_start_until: dict[str, float] = {}  # by IP number, by the loop's clock
        self._changed_services: set[str] = set()

    def take(self, entry: Entry) -> None:
        """An entry of the kind `backend` was added, replaced or withdrawn."""
        before = self.by_ip.pop(entry.name, None)
        if before is not None:
            self._changed_services.add(before.service)
        if entry.value is not None:
            status = decode_status(entry.value)
            self.by_ip[entry.name] = status
            self._changed_services.add(status.service)
            self._slow_start_until[entry.name] = self._loop.time() + status.cold
        if len(self._changed_services) == 1 or before is None:
            self._loop.call_soon(self._report_changes)

    def _report_changes(self) -> None:
        changed, self._changed_services = self._changed_services, set()
        self._on_change(changed)

    def accepting(self, service: str) -> dict[str, EndpointListing]:
        """The service's backends that accept work, by id, as `Proxy.update_endpoints` takes them."""
        return {
            status.id: EndpointListing(ip, status.zone, self._slow_start_until.get(ip, 0.0))
            for ip, status in self.by_ip.items()
            if status.service == service and status.state == "accepting"
        }
