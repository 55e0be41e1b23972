"""The calls that a proxy takes: of the platform, of operators, and of its machine's backend."""

from __future__ import annotations

from random import Random
from typing import Any, Protocol

import msgspec

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.dataplane.proxy import Proxy
from lugspur.mesh.dataplane.route_table import RouteTable
from lugspur.mesh.http_api import HttpApi, reply
from lugspur.mesh.settings import Settings
from lugspur.mesh.sidecar.registration import BackendRegistration
from lugspur.mesh.sidecar.update_source import UpdateSource
from lugspur.observability.metrics import CONTENT_TYPE
from lugspur.seams import Answerable, Request

_encode_json = msgspec.json.Encoder().encode


class ServingProcess(Protocol):
    """The process whose calls these are."""

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
        """Take up the service that this machine's requests come from."""

    def status(self) -> dict[str, Any]:
        """What operators see of this proxy."""

    def metrics(self) -> bytes:
        """The metrics of this proxy, in the text format of Prometheus."""


class SidecarApi:
    """Handlers of the calls; `*` in a path hands over the backend's id."""

    def __init__(self, process: ServingProcess) -> None:
        self._process = process

    def platform_calls(self) -> HttpApi:
        """The calls at the `readiness` address."""
        calls = HttpApi()
        calls.add("GET", "/readiness", self.readiness)
        calls.add("GET", "/metrics", self.metrics)
        return calls

    def dispatch_calls(self) -> HttpApi:
        """The calls at the `dispatch` address."""
        calls = HttpApi()
        calls.add("POST", "/backends/*/heartbeat", self.heartbeat)
        calls.add("POST", "/backends/*/sign-off", self._process.registration.sign_off)
        calls.add("POST", "/config/amend", self.redirect)
        calls.add("GET", "/config/read", self.redirect)
        calls.add("GET", "/mesh/status", self.status)
        calls.add("GET", "/mesh/failures", self.failures)
        calls.add("GET", "/metrics", self.metrics)
        return calls

    def readiness(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """Whether callers may be sent here; raises MeshError (LEAVING, NOT_READY) where they may not."""
        process = self._process
        if process.is_leaving:
            raise MeshError(ErrorKind.LEAVING)
        if not process.update_source.has_configuration or not len(process.table):
            raise MeshError(ErrorKind.NOT_READY)
        reply(caller)

    def redirect(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """Send a call that only a control node can answer to one of the seeds."""
        seed = self._process.rng.choice(self._process.settings.network.seed_nodes)
        reply(caller, status=307, head=b"Location: http://%b%b\r\n" % (seed.encode(), request.target))

    def heartbeat(self, request: Request, caller: Answerable, found: list[str]) -> None:
        """Take a heartbeat of the backend; raises MeshError (BAD_REQUEST) for what is none."""
        self._process.registration.heartbeat(request, caller, found)
        self._process.update_sender()

    def status(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """Answer what operators see of this proxy."""
        reply(caller, _encode_json(self._process.status()))

    def failures(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """Answer the latest requests that failed, and why."""
        reply(caller, _encode_json(self._process.proxy.failures.latest()))

    def metrics(self, request: Request, caller: Answerable, _: list[str]) -> None:
        """Answer the metrics of this proxy."""
        caller.answer(200, CONTENT_TYPE, self._process.metrics())
