"""What a proxy is told of the backends of all machines, also when an address passes to another backend or service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import pytest

from lugspur.mesh.control.items import BACKEND
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.sidecar.backend_status import BackendStatus, encode_status
from lugspur.mesh.sidecar.known_backends import KnownBackends

IP, OTHER_IP = "10.0.0.7", "10.0.0.8"


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


class Listener:
    """The changes that a `KnownBackends` has reported."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.reports: list[set[str]] = []
        self.backends = KnownBackends(loop, self.reports.append)
        self._loop = loop
        self._edition = 0

    def apply(self, status: BackendStatus | None, ip: str = IP) -> None:
        """Apply the next entry of an address; None withdraws it."""
        self.apply_value(None if status is None else encode_status(status), ip)

    def apply_value(self, value: bytes | None, ip: str = IP) -> None:
        """Apply the next entry of an address, with these bytes."""
        self._edition += 1
        self.backends.apply(Entry(BACKEND, ip, self._edition, value))

    def take_reports(self) -> list[set[str]]:
        """Return what was reported since the last call, after an iteration of the event loop."""
        self._loop.run_until_complete(asyncio.sleep(0))
        reports, self.reports[:] = list(self.reports), []
        return reports


@pytest.fixture
def listener(loop: asyncio.AbstractEventLoop) -> Listener:
    return Listener(loop)


def status(ident: str, service: str, state: str = "accepting", slow_start: float = 0.0) -> BackendStatus:
    return BackendStatus(ident, service, "z", state, 4, slow_start)


def test_a_reused_address_is_reported_for_both_services(listener: Listener) -> None:
    # Guards against CONFIG of review/3: the first backend of a new service was hidden from the other proxies.
    listener.apply(status("a", "board", "gone"))
    listener.take_reports()
    listener.apply(status("b", "desk"))
    assert listener.take_reports() == [{"board", "desk"}]
    assert list(listener.backends.accepting("desk")) == ["b"] and not listener.backends.accepting("board")


def test_changes_of_known_addresses_are_reported_after_a_reuse(listener: Listener) -> None:
    # Guards against the second half of CONFIG of review/3: after a reuse no change of a known address was reported.
    listener.apply(status("a", "board"))
    listener.apply(status("c", "board"), OTHER_IP)
    listener.take_reports()
    listener.apply(status("b", "desk"))
    listener.take_reports()
    for change in (status("c", "board", "closing"), status("d", "board"), None):
        listener.apply(change, OTHER_IP)
        assert listener.take_reports() == [{"board"}], change


@pytest.mark.parametrize(
    "changes",
    [
        lambda listener: [listener.apply(status(ident, service)) for ident, service in (("b", "desk"), ("c", "post"))],
        lambda listener: [listener.apply(None), listener.apply(status("b", "desk")), listener.apply(None)],
        lambda listener: [listener.apply(status("b", "desk"), ip) for ip in (IP, OTHER_IP)],
    ],
)
def test_all_changes_of_one_iteration_are_reported_once(
    listener: Listener, changes: Callable[[Listener], object]
) -> None:
    listener.apply(status("a", "board"))
    listener.take_reports()
    changes(listener)
    [report] = listener.take_reports()
    assert report >= {"board", "desk"}
    listener.apply(status("e", "board"), "10.0.0.9")
    assert listener.take_reports() == [{"board"}]


def test_a_renewed_entry_does_not_start_a_slow_start_again(
    listener: Listener, loop: asyncio.AbstractEventLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a warm backend that counts as cold at all proxies each time its entry is sent again.
    now = 100.0
    monkeypatch.setattr(loop, "time", lambda: now)
    starting = status("a", "board", slow_start=8.0)
    listener.apply(starting)
    now = 130.0
    listener.apply(starting)
    assert listener.backends.accepting("board")["a"].slow_start_until == 108.0
    listener.apply(status("b", "desk", slow_start=5.0))  # the next owner of the address has a slow start of its own
    assert listener.backends.accepting("desk")["b"].slow_start_until == 135.0


def test_an_entry_that_no_build_of_this_kind_wrote_withdraws_the_backend(listener: Listener) -> None:
    listener.apply(status("a", "board"))
    listener.take_reports()
    listener.apply_value(b"\xc1")
    assert listener.take_reports() == [{"board"}] and not listener.backends.by_ip
    listener.apply(status("b", "desk"))
    assert listener.take_reports() == [{"desk"}]
