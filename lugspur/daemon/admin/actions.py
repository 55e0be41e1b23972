"""The actions that every proxy offers at its admin listener; each change is logged in one line."""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Protocol

import orjson

from lugspur.daemon.admin.action import Action, ActionResult
from lugspur.observability.failures import FailedRequest
from lugspur.observability.metrics import Metric, render

MAX_BACKEND_NAME_BYTES = 128


class ManagedProxy(Protocol):
    """The interface that operators have to a proxy."""

    @property
    def accepts_clients(self) -> bool:
        """Whether this process accepts clients."""

    def disable(self, name: str) -> bool:
        """Send no further requests to a backend; return whether it was ever listed."""

    def enable(self, name: str) -> bool:
        """Send requests to a backend again; return whether it was ever listed."""

    def drain(self) -> None:
        """Start a drain, which sends clients away."""

    def undrain(self) -> None:
        """End the drain, and accept clients again."""

    def metrics(self) -> list[Metric]:
        """Return the metrics of this process."""

    def failures(self) -> list[FailedRequest]:
        """Return the latest failed requests, with the most recent one last."""


def admin_actions(proxy: ManagedProxy) -> Mapping[tuple[str, str], Action]:
    """Return the actions of a proxy by method and path."""
    actions = _AdminActions(proxy)
    return {
        ("GET", "/ready"): actions.ready,
        ("GET", "/metrics"): actions.metrics,
        ("GET", "/failures"): actions.failures,
        ("POST", "/backends/disable"): actions.disable,
        ("POST", "/backends/enable"): actions.enable,
        ("POST", "/drain"): actions.drain,
        ("POST", "/undrain"): actions.undrain,
    }


class _AdminActions:
    """The actions on one proxy; those that need no body ignore it."""

    def __init__(self, proxy: ManagedProxy) -> None:
        self._proxy = proxy

    def ready(self, _: str) -> ActionResult:
        if self._proxy.accepts_clients:
            return ActionResult(HTTPStatus.OK, "ready")
        return ActionResult(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")

    def metrics(self, _: str) -> ActionResult:
        try:
            return ActionResult(HTTPStatus.OK, render(self._proxy.metrics()).decode().rstrip("\n"))
        except ImportError:  # The library is an optional dependency, which the platform's proxy does not install.
            return ActionResult(HTTPStatus.NOT_IMPLEMENTED, "figures need the extra `metrics`")

    def failures(self, _: str) -> ActionResult:
        return ActionResult(HTTPStatus.OK, orjson.dumps(self._proxy.failures()).decode())

    def disable(self, name: str) -> ActionResult:
        return _change_backend(name, "disabled", self._proxy.disable)

    def enable(self, name: str) -> ActionResult:
        return _change_backend(name, "enabled", self._proxy.enable)

    def drain(self, _: str) -> ActionResult:
        self._proxy.drain()
        return _log_and_return("drained: clients are sent away")

    def undrain(self, _: str) -> ActionResult:
        self._proxy.undrain()
        return _log_and_return("drained no more: clients are taken")


def _change_backend(name: str, new_state: str, change: Callable[[str], bool]) -> ActionResult:
    """Change a backend by its name, which is untrusted input."""
    if not name or len(name.encode()) > MAX_BACKEND_NAME_BYTES or not name.isprintable():
        return ActionResult(HTTPStatus.BAD_REQUEST, "the body has to be a backend's id")
    if not change(name):
        return ActionResult(HTTPStatus.NOT_FOUND, f"no backend {name!r} was ever listed")
    return _log_and_return(f"backend {name!r} is {new_state}")


def _log_and_return(text: str) -> ActionResult:
    """Write one line to standard error, and return a successful result with the same text."""
    print(f"lugspur: management: {text}", file=sys.stderr, flush=True)
    return ActionResult(HTTPStatus.OK, text)
