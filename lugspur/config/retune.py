"""Whether a file that comes while the proxy runs may replace the settings in force: whole, or not at all."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from lugspur.load_balancing.adapter import DEDUPLICATION_SCOPES, RETRY_SAFETIES

#: Keys that settings may lack by the protocol; all others that were there have to stay.
OPTIONAL = frozenset({"AimStretch", "AllowedIn", "BoundTo", "CpuUsPerRequest", "Fleet", "PassesDeadline", "WarmKeys"})
DEPTH_MOST = 8  # levels of settings that are compared: guards the stack against a file that nests without end


def check(former: Mapping[str, Any], new: Mapping[str, Any]) -> None:
    """Raise ValueError naming the first thing that a file lacks or says wrongly in its settings and limits."""
    for part in ("limits", "settings"):
        if not isinstance(new.get(part), dict):
            raise ValueError(f"{part}: an object is wanted")
        _complete(former[part], new[part], part, 0)
    settings = new["settings"]
    rows = settings["Services"]
    if not rows:
        raise ValueError("settings.Services: at least one class is needed")
    names = set()
    for at, row in enumerate(rows):
        place = f"settings.Services[{at}]"
        if not isinstance(row["Name"], str) or not row["Name"]:
            raise ValueError(f"{place}.Name: {row['Name']!r} is no name")
        if row["Name"] in names:
            raise ValueError(f"{place}.Name: {row['Name']!r} is there twice")
        names.add(row["Name"])
        for key, words in (("Repeat", RETRY_SAFETIES), ("Group", DEDUPLICATION_SCOPES)):
            if key in row and row[key] not in words:
                raise ValueError(f"{place}.{key}: {row[key]!r} is none of {', '.join(words)}")
    most = (settings.get("Bounds") or {}).get("MaxAttempts", 1)
    if not isinstance(most, int) or isinstance(most, bool) or most < 1:
        raise ValueError(f"settings.Bounds.MaxAttempts: {most!r} is not a whole number over 0")


def _complete(former: Mapping[str, Any], new: Mapping[str, Any], at: str, depth: int) -> None:
    for key, before in former.items():
        if key in OPTIONAL:
            continue
        place = f"{at}.{key}"
        after = new.get(key)
        if after is None and before is not None:
            raise ValueError(f"{place} is missing")
        for kind in (dict, list):
            if isinstance(before, kind) and not isinstance(after, kind):
                raise ValueError(f"{place}: another type than before")
        if depth >= DEPTH_MOST:
            continue
        if isinstance(before, dict):
            _complete(before, after or {}, place, depth + 1)
        elif isinstance(before, list) and before and all(isinstance(row, dict) for row in before):
            _rows(before, after or [], place, depth)


def _rows(before: Sequence[Mapping[str, Any]], after: Sequence[Any], at: str, depth: int) -> None:
    """Each row has to have what all rows had."""
    common = {key: before[0][key] for key in before[0] if all(key in row for row in before)}
    for number, row in enumerate(after):
        if not isinstance(row, dict):
            raise ValueError(f"{at}[{number}]: an object is wanted")
        _complete(common, row, f"{at}[{number}]", depth + 1)
