"""The HTTP API of a sidecar for the platform, for operators, and for the backend of its machine."""

from __future__ import annotations

from random import Random
from typing import Any, Protocol

import msgspec

from lugspur.interfaces import Request, Responder
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.dataplane.route_table import RouteTable
from lugspur.mesh.http_api import HttpApi, reply
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.registration import BackendRegistration
from lugspur.mesh.sidecar.update_source import UpdateSource
from lugspur.observability.metrics import CONTENT_TYPE

_encode_json = msgspec.json.Encoder().encode


class ServingProcess(Protocol):
    """The interface of the sidecar process to its API."""

    rng: Random
    proxy: Proxy
    table: RouteTable
    registration: BackendRegistration
    update_source: UpdateSource
    is_leaving: bool

    @property
    def settings(self) -> Settings:
        """The settings that are in force."""

    def update_sender(self) -> None:
        """Update the service name that this machine's requests are sent under."""

    def status(self) -> dict[str, Any]:
        """Return the status of this sidecar for operators."""

    def metrics(self) -> bytes:
        """Return the metrics of this sidecar in the Prometheus text format."""


class SidecarApi:
    """Handlers of the API calls; in a path, `*` stands for the backend's id."""

    def __init__(self, process: ServingProcess) -> None:
        self._process = process

    def platform_calls(self) -> HttpApi:
        """Return the calls that are served at the `readiness` address."""
        calls = HttpApi()
        calls.add("GET", "/readiness", self.readiness)
        calls.add("GET", "/metrics", self.metrics)
        return calls

    def dispatch_calls(self) -> HttpApi:
        """Return the calls that are served at the `dispatch` address."""
        calls = HttpApi()
        calls.add("POST", "/backends/*/heartbeat", self.heartbeat)
        calls.add("POST", "/backends/*/sign-off", self._process.registration.sign_off)
        calls.add("POST", "/config/amend", self.redirect)
        calls.add("GET", "/config/read", self.redirect)
        calls.add("GET", "/mesh/status", self.status)
        calls.add("GET", "/mesh/failures", self.failures)
        calls.add("GET", "/metrics", self.metrics)
        return calls

    def readiness(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Reply to a readiness check; raises MeshError (LEAVING, NOT_READY) if the sidecar is not ready."""
        process = self._process
        if process.is_leaving:
            raise MeshError(ErrorKind.LEAVING)
        if not process.update_source.has_configuration or not len(process.table):
            raise MeshError(ErrorKind.NOT_READY)
        reply(caller)

    def redirect(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Redirect a call that only a control node can handle to one of the seed nodes."""
        seed = self._process.rng.choice(self._process.settings.network.seed_nodes)
        reply(caller, status=307, head=b"Location: http://%b%b\r\n" % (seed.encode(), request.target))

    def heartbeat(self, request: Request, caller: Responder, path_segments: list[str]) -> None:
        """Handle a heartbeat of the backend; raises MeshError (BAD_REQUEST) if it is invalid."""
        self._process.registration.heartbeat(request, caller, path_segments)
        self._process.update_sender()

    def status(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Reply with the status of this sidecar."""
        reply(caller, _encode_json(self._process.status()))

    def failures(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Reply with the latest failed requests and their causes."""
        reply(caller, _encode_json(self._process.proxy.failures.latest()))

    def metrics(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Reply with the metrics of this sidecar."""
        caller.respond(200, CONTENT_TYPE, self._process.metrics())
