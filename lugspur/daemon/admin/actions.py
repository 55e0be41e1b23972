"""The calls of the second address and what each does to a running proxy; every action is one line in the log."""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from typing import Protocol

import orjson

from lugspur.daemon.admin.request import Action
from lugspur.observability.failures import FailedRequest
from lugspur.observability.metrics import Figure, render

MAX_BACKEND_NAME_BYTES = 128  # bytes of a backend's name
YES, NO = 200, 404


class ManagedProxy(Protocol):
    """What operators can do to a proxy."""

    @property
    def takes_clients(self) -> bool:
        """Whether this process takes clients."""

    def disable(self, name: str) -> bool:
        """Nothing more to this backend; whether it was ever listed."""

    def enable(self, name: str) -> bool:
        """It may serve again; whether it was ever listed."""

    def drain(self) -> None:
        """Send clients away."""

    def undrain(self) -> None:
        """Take clients again."""

    def figures(self) -> list[Figure]:
        """What it counts."""

    def failures(self) -> list[FailedRequest]:
        """The latest requests that failed, the latest last."""


def admin_actions(proxy: ManagedProxy) -> Mapping[tuple[str, str], Action]:
    """The calls by method and path."""

    def ready(_: str) -> tuple[int, str]:
        return (YES, "ready") if proxy.takes_clients else (503, "not ready")

    def disable(name: str) -> tuple[int, str]:
        return _backend(name, "disabled", proxy.disable)

    def enable(name: str) -> tuple[int, str]:
        return _backend(name, "enabled", proxy.enable)

    def drain(_: str) -> tuple[int, str]:
        proxy.drain()
        return YES, _said("drained: clients are sent away")

    def undrain(_: str) -> tuple[int, str]:
        proxy.undrain()
        return YES, _said("drained no more: clients are taken")

    def metrics(_: str) -> tuple[int, str]:
        try:
            return YES, render(proxy.figures()).decode().rstrip("\n")
        except ImportError:  # the platform's proxy stays lean: the library is an extra there
            return 501, "figures need the extra `metrics`"

    def failures(_: str) -> tuple[int, str]:
        return YES, orjson.dumps(proxy.failures()).decode()

    return {
        ("GET", "/ready"): ready,
        ("GET", "/metrics"): metrics,
        ("GET", "/failures"): failures,
        ("POST", "/backends/disable"): disable,
        ("POST", "/backends/enable"): enable,
        ("POST", "/drain"): drain,
        ("POST", "/undrain"): undrain,
    }


def _backend(name: str, done: str, action: Callable[[str], bool]) -> tuple[int, str]:
    if not name or len(name.encode()) > MAX_BACKEND_NAME_BYTES or not name.isprintable():
        return 400, "the body has to be a backend's id"
    if not action(name):
        return NO, f"no backend {name!r} was ever listed"
    return YES, _said(f"backend {name!r} is {done}")


def _said(line: str) -> str:
    print(f"lugspur: management: {line}", file=sys.stderr, flush=True)
    return line
