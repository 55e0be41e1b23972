"""Checks the days under tests/days: each parses and uses only kinds that the bench knows."""

import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = Path(__file__).parent / "days"
FILES = sorted(DAYS.glob("*.toml"))
KINDS = frozenset((DAYS / "kinds.txt").read_text().split())
CLOSINGS = frozenset({"power_off_all", "wipe_after_ack", "kill_all"})
DAY_FIELDS = frozenset({"name", "length_s", "closing", "plan", "faults"})
ENTRY_FIELDS = frozenset({"at", "kind", "how", "for_s", "share", "count", "x", "gap_s", "on"})
"""The fields name no zone, service or class, so that a day can be played on every deployment."""


def test_days_exist() -> None:
    assert FILES


def load_day(path: Path) -> dict[str, Any]:
    """Return the only day of a file."""
    days = tomllib.loads(path.read_text())["day"]
    assert len(days) == 1
    day: dict[str, Any] = days[0]
    return day


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_day_can_be_played(path: Path) -> None:
    day = load_day(path)
    assert day["name"] == path.stem
    assert day.keys() <= DAY_FIELDS
    assert day["closing"]["kind"] in CLOSINGS
    assert day["length_s"] <= 80.0
    for entry in day["plan"] + day["faults"]:
        assert entry.keys() <= ENTRY_FIELDS, entry
        assert entry["kind"] in KINDS, entry
        assert entry["at"] >= 0.0, entry


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_day_is_listed_in_readme(path: Path) -> None:
    assert f"`{path.stem}`" in (DAYS / "README.md").read_text()
