"""The backends of all machines, from the leased entries of the mesh."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from lugspur.mesh.control.messages import Entry
from lugspur.mesh.dataplane.endpoints import EndpointListing
from lugspur.mesh.sidecar.backend_status import BackendStatus, decode_status


class KnownBackends:
    """The backend of each machine, by IP address; an address may pass to a backend of another service.

    `on_change` is called with the services whose backends have changed, once for all changes of one iteration of the
    event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_change: Callable[[set[str]], None]) -> None:
        self._loop, self._on_change = loop, on_change
        self.by_ip: dict[str, BackendStatus] = {}
        self._slow_start_until: dict[str, float] = {}  # by IP address, in event loop time
        self._changed_services: set[str] = set()
        self._is_report_due = False

    def apply(self, entry: Entry) -> None:
        """Apply an entry of the kind `backend` that was added, replaced or withdrawn."""
        previous = self.by_ip.pop(entry.name, None)
        former_end = self._slow_start_until.pop(entry.name, None)
        if previous is not None:
            self._changed_services.add(previous.service)
        status = _status_in(entry)
        if status is not None:
            self.by_ip[entry.name] = status
            self._changed_services.add(status.service)
            slow_start_until = self._loop.time() + status.slow_start_seconds
            if previous is not None and previous.id == status.id and former_end is not None:
                # An entry is sent again as it was first published, to keep its lease: that is no other slow start.
                slow_start_until = min(slow_start_until, former_end)
            self._slow_start_until[entry.name] = slow_start_until
        self._report_soon()

    def _report_soon(self) -> None:
        if not self._is_report_due:
            self._is_report_due = True
            self._loop.call_soon(self._report_changes)

    def _report_changes(self) -> None:
        self._is_report_due = False
        changed, self._changed_services = self._changed_services, set()
        self._on_change(changed)

    def accepting(self, service: str) -> dict[str, EndpointListing]:
        """Return the service's backends that accept requests, by id, for `Proxy.update_endpoints`."""
        return {
            status.id: EndpointListing(ip, status.zone, self._slow_start_until.get(ip, 0.0))
            for ip, status in self.by_ip.items()
            if status.service == service and status.state == "accepting"
        }


def _status_in(entry: Entry) -> BackendStatus | None:
    """Return the status of an entry; None if it was withdrawn, or if a build wrote it whose entries can't be read."""
    if entry.value is None:
        return None
    try:
        return decode_status(entry.value)
    except msgspec.MsgspecError:
        return None
