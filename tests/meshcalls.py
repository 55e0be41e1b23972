"""Calls of operators as the tests of the mesh send them."""

from __future__ import annotations

import json
from typing import Any


def route(name: str = "r", edition: str = "00000007", **other: Any) -> dict[str, Any]:
    return {
        "name": name,
        "office": "a.example",
        "path_prefix": f"/{name}/",
        "mail_class": "safe",
        "deadline_ms": 500,
        "target_ms": 200,
        "priority": 2,
        "service": "s",
        "tries": 2,
        "edition": edition,
    } | other


def service(name: str = "s", edition: str = "00000007") -> dict[str, Any]:
    return {"name": name, "checkup_path": "/checkup", "max_connections": 110, "edition": edition}


def call(*routes: dict[str, Any], services: list[dict[str, Any]] | None = None, drop: list[Any] | None = None) -> bytes:
    return json.dumps(
        {"upsert": {"routes": list(routes), "services": services or []}, "withdraw": {"routes": drop or []}}
    ).encode()
