"""The HTTP calls that a control node serves at its `dispatch` address."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from lugspur.interfaces import Request, Responder
from lugspur.mesh.control_node.coordination_calls import CoordinationCalls
from lugspur.mesh.control_node.operator_calls import OperatorCalls
from lugspur.mesh.http_api import HttpApi, reply
from lugspur.observability.metrics import CONTENT_TYPE

_encode_json = msgspec.json.Encoder().encode


class ServingProcess(Protocol):
    """The process that serves the calls."""

    operator_calls: OperatorCalls
    coordination_calls: CoordinationCalls

    def status(self) -> dict[str, Any]:
        """Return the status of this control node for operators."""

    def coordination_contents(self) -> dict[str, Any]:
        """Return the locks, numbers and keys for operators."""

    def metrics(self) -> bytes:
        """Return the metrics of this control node, in the text format of Prometheus."""


class ControlNodeApi:
    """Handlers of the calls at the `dispatch` address."""

    def __init__(self, process: ServingProcess) -> None:
        self._process = process

    def dispatch_calls(self) -> HttpApi:
        """Return all calls, by method and path."""
        calls = HttpApi()
        calls.add("POST", "/config/amend", self._process.operator_calls.amend)
        calls.add("GET", "/config/read", self._process.operator_calls.read)
        self._process.coordination_calls.add_to(calls)
        calls.add("GET", "/mesh/status", self.status)
        calls.add("GET", "/mesh/coordination", self.coordination)
        calls.add("GET", "/metrics", self.metrics)
        return calls

    def status(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Respond with the status of this control node, whether a majority can be reached or not."""
        reply(caller, _encode_json(self._process.status()))

    def coordination(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Respond with the locks, numbers and keys that this node knows, whether a majority can be reached or not."""
        reply(caller, _encode_json(self._process.coordination_contents()))

    def metrics(self, request: Request, caller: Responder, _: list[str]) -> None:
        """Respond with the metrics of this control node."""
        caller.respond(200, CONTENT_TYPE, self._process.metrics())
