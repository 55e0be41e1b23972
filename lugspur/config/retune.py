"""Checks whether a reloaded file may replace the settings in force: it does so completely, or not at all."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from lugspur.load_balancing.adapter import DEDUPLICATION_SCOPES, RETRY_SAFETIES

#: Keys that are optional by the protocol; all others that the former settings have are required.
OPTIONAL = frozenset({"AimStretch", "AllowedIn", "BoundTo", "CpuUsPerRequest", "Fleet", "PassesDeadline", "WarmKeys"})
MAX_DEPTH = 8  # levels of settings that are compared: protects the stack from a deeply nested file


def check(former: Mapping[str, Any], new: Mapping[str, Any]) -> None:
    """Raise ValueError with the first missing key or invalid value in the settings and limits of a file."""
    for part in ("limits", "settings"):
        if not isinstance(new.get(part), dict):
            raise ValueError(f"{part}: not an object")
        _check_keys(former[part], new[part], part, 0)
    settings = new["settings"]
    rows = settings["Services"]
    if not rows:
        raise ValueError("settings.Services: at least one class is needed")
    names = set()
    for index, row in enumerate(rows):
        path = f"settings.Services[{index}]"
        if not isinstance(row["Name"], str) or not row["Name"]:
            raise ValueError(f"{path}.Name: {row['Name']!r} is not a name")
        if row["Name"] in names:
            raise ValueError(f"{path}.Name: {row['Name']!r} is defined twice")
        names.add(row["Name"])
        for key, allowed in (("Repeat", RETRY_SAFETIES), ("Group", DEDUPLICATION_SCOPES)):
            if key in row and row[key] not in allowed:
                raise ValueError(f"{path}.{key}: {row[key]!r} is not one of {', '.join(allowed)}")
    max_attempts = (settings.get("Bounds") or {}).get("MaxAttempts", 1)
    if not isinstance(max_attempts, int) or isinstance(max_attempts, bool) or max_attempts < 1:
        raise ValueError(f"settings.Bounds.MaxAttempts: {max_attempts!r} is not an integer above 0")


def _check_keys(former: Mapping[str, Any], new: Mapping[str, Any], at: str, depth: int) -> None:
    for key, before in former.items():
        if key in OPTIONAL:
            continue
        path = f"{at}.{key}"
        after = new.get(key)
        if after is None and before is not None:
            raise ValueError(f"{path} is missing")
        for kind in (dict, list):
            if isinstance(before, kind) and not isinstance(after, kind):
                raise ValueError(f"{path}: the type differs from that of the former value")
        if depth >= MAX_DEPTH:
            continue
        if isinstance(before, dict):
            _check_keys(before, after or {}, path, depth + 1)
        elif isinstance(before, list) and before and all(isinstance(row, dict) for row in before):
            _check_rows(before, after or [], path, depth)


def _check_rows(before: Sequence[Mapping[str, Any]], after: Sequence[Any], at: str, depth: int) -> None:
    """Check that each new row has all keys that every former row has."""
    common = {key: before[0][key] for key in before[0] if all(key in row for row in before)}
    for number, row in enumerate(after):
        if not isinstance(row, dict):
            raise ValueError(f"{at}[{number}]: not an object")
        _check_keys(common, row, f"{at}[{number}]", depth + 1)
