"""Checks of the files that may replace the settings in force."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import HOST, WIRE

from lugspur.config import retune
from lugspur.config.platform import ConfigError, load

WHOLE: dict[str, Any] = {
    "name": "n0",
    "listen": f"{HOST}:8080",
    "discovery": f"{HOST}:9",
    "seed": "1",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "settings": WIRE,
}


def write_file(folder: Path, text: bytes) -> dict[str, str]:
    path = folder / "config.json"
    path.write_bytes(text)
    return {"RELAY_CONFIG": str(path)}


def test_the_same_file_and_one_with_another_class_are_accepted(tmp_path: Path) -> None:
    more = copy.deepcopy(WHOLE)
    more["settings"]["Services"].append(more["settings"]["Services"][0] | {"Name": "new"})
    for raw in (WHOLE, more):
        config = load(write_file(tmp_path, json.dumps(raw).encode()), WHOLE)
        assert config.wire["settings"] == raw["settings"]


def required_paths(raw: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all required keys."""
    if isinstance(raw, dict):
        own = [(*at, key) for key in raw if key not in retune.OPTIONAL]
        return own + [path for key in raw for path in required_paths(raw[key], (*at, key))]
    if isinstance(raw, list) and raw and isinstance(raw[0], dict):
        return [path for n, row in enumerate(raw) for path in required_paths(row, (*at, n))]
    return []


def without(raw: dict[str, Any], path: tuple[Any, ...]) -> dict[str, Any]:
    changed = copy.deepcopy(raw)
    inner: Any = changed
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return changed


ROWS = [{"Name": "a", "Aim": 1.0, "HardLimit": 2.0, "Repeat": "retryable", "Group": "all", "Window": 5.0}] * 2
FULL = WHOLE | {"settings": WIRE | {"Services": [row | {"Name": f"c{n}"} for n, row in enumerate(ROWS)]}}


@pytest.mark.parametrize("path", required_paths(FULL), ids=str)
def test_a_file_without_any_one_key_is_rejected(tmp_path: Path, path: tuple[Any, ...]) -> None:
    with pytest.raises(ConfigError):
        load(write_file(tmp_path, json.dumps(without(FULL, path)).encode()), FULL)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"HardLimit": 0}, "above 0"),
        ({"HardLimit": -1}, "not a number"),
        ({"HardLimit": None}, "missing"),
        ({"HardLimit": "1"}, "not a number"),
        ({"HardLimit": True}, "not a number"),
        ({"Aim": 0}, "above 0"),
        ({"Repeat": "often"}, "not one of"),
        ({"Group": "town"}, "not one of"),
        ({"Name": "c1"}, "defined twice"),
        ({"Name": 7}, "is not a name"),
        ({"Window": -1}, "not a number"),
    ],
)
def test_an_invalid_class_is_reported(tmp_path: Path, change: dict[str, Any], expected: str) -> None:
    raw = copy.deepcopy(FULL)
    raw["settings"]["Services"][0] |= change
    with pytest.raises(ConfigError, match=expected) as fault:
        load(write_file(tmp_path, json.dumps(raw).encode()), FULL)
    assert "\n" not in str(fault.value)


@pytest.mark.parametrize("max_attempts", [0, -1, 0.5, 2.5, True, "3", None])
def test_attempts_have_to_be_a_positive_integer(tmp_path: Path, max_attempts: Any) -> None:
    raw = copy.deepcopy(FULL)
    raw["settings"]["Bounds"]["MaxAttempts"] = max_attempts
    with pytest.raises(ConfigError, match="MaxAttempts"):
        load(write_file(tmp_path, json.dumps(raw).encode()), FULL)


@given(st.integers(0, len(json.dumps(FULL)) - 1))
@settings(deadline=None)  # a slow machine must not fail the test
def test_a_truncated_file_is_rejected(tmp_path_factory: pytest.TempPathFactory, end: int) -> None:
    with pytest.raises(ConfigError):
        load(write_file(tmp_path_factory.mktemp("cut"), json.dumps(FULL).encode()[:end]), FULL)


@pytest.mark.parametrize("text", [b"", b"null", b"[]", b"{}", b'{"settings": [], "limits": {}}', b"[" * 5000])
def test_data_that_is_not_a_configuration_is_rejected(tmp_path: Path, text: bytes) -> None:
    with pytest.raises(ConfigError):
        load(write_file(tmp_path, text), FULL)
