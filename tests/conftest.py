"""What holds for all tests: faults that are known and not mended yet are named in KNOWN-RED.txt, and only these."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from lugspur import invariants

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3  # tests that may be listed at once

_known_red = pytest.StashKey[dict[str, str]]()


def read_known_red(path: Path) -> dict[str, str]:
    """Each listed test with its line; a line is `test | cause | issue`. Raises ValueError for any other."""
    if not path.exists():
        return {}
    found: dict[str, str] = {}
    for line in path.read_text().splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}: not `test | cause | issue`: {line}")
        found[parts[0]] = line
    if len(found) > KNOWN_RED_MOST:
        raise ValueError(f"{path.name}: {len(found)} tests are listed, {KNOWN_RED_MOST} at most may be")
    return found


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[_known_red] = read_known_red(KNOWN_RED)
    except ValueError as fault:
        raise pytest.UsageError(str(fault)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """A listed test has to fail: once it passes, its line has to go."""
    for item in items:
        line = config.stash[_known_red].get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    lines = config.stash[_known_red].values()
    if lines:
        terminalreporter.section("known red")
    for line in lines:
        terminalreporter.write_line(line)


@pytest.fixture(autouse=True)
def no_wait_for_late_connections(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """A daemon that is told to stop stops at once in its tests: no front layer goes on sending it connections."""
    if request.path.parent.name == "daemon":
        monkeypatch.setattr("lugspur.daemon.service.MIN_LISTEN_SECONDS", 0.0)
        monkeypatch.setattr("lugspur.daemon.service.QUIET_SECONDS", 0.0)


@pytest.fixture(autouse=True)
def invariants_hold() -> Iterator[None]:
    """No invariant is violated in a test's process; a test that violates one on purpose clears what it counted."""
    invariants.violations.clear()
    yield
    violated = dict(invariants.violations)
    invariants.violations.clear()
    assert not violated, f"violated: {violated}"
