"""A daemon that is told to stop stops at once here: no front layer goes on sending it connections."""

from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def no_wait_for_late_connections(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr("lugspur.daemon.service.LISTEN_LEAST", 0.0)
    monkeypatch.setattr("lugspur.daemon.service.LISTEN_QUIET", 0.0)
    yield
