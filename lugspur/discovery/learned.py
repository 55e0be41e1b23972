"""Lists and what was learned of them as plain JSON values, and back; readers raise for what makes no sense. No I/O."""

from __future__ import annotations

import dataclasses
from math import isfinite
from typing import Any

from lugspur.discovery.rows import Endpoint, server_id, server_name
from lugspur.load_balancing.model import Learned, LearnedBreaker, LearnedPool, LearnedServer, ServerRow, ServerState

#: What the readers raise.
SENSELESS = (ValueError, TypeError, KeyError, AttributeError, IndexError, OverflowError)


def finite(value: Any) -> float:
    """A number that can be reckoned with: NaN would make every comparison false, and infinity stays for ever."""
    found = float(value)
    if not isfinite(found):
        raise ValueError(f"{value!r} is no finite number")
    return found


def entry(endpoint: Endpoint) -> list[Any]:
    """An entry of the list."""
    row = endpoint.row
    # A zone or kind that no list names is its name as a number, which may be longer than JSON's are.
    return [
        server_name(row.server),
        row.state.value,
        str(row.zone),
        row.cell,
        row.size,
        row.started,
        str(row.kind),
        *endpoint.address,
        endpoint.grpc,
    ]


def read_entry(raw: list[Any]) -> Endpoint:
    """An entry of the list."""
    name, state, zone, cell, size, started, kind, host, port, grpc = raw
    row = ServerRow(server_id(name), ServerState(state), int(zone), int(cell), finite(size), finite(started), int(kind))
    return Endpoint(row, (str(host), int(port)), bool(grpc))


def server(known: LearnedServer) -> dict[str, Any]:
    """What was learned of a backend."""
    return dataclasses.asdict(known) | {"server": server_name(known.server)}


def read_server(raw: dict[str, Any]) -> LearnedServer:
    """What was learned of a backend."""
    breaker = raw["breaker"]
    return LearnedServer(
        server_id(raw["server"]),
        finite(raw["started"]),
        finite(raw["latency"]),
        finite(raw["seen"]),
        int(raw["downs"]),
        finite(raw["down_until"]),
        finite(raw["cold_credit"]),
        finite(raw["cold_seen"]),
        None if breaker is None else read_breaker(breaker),
    )


def read_breaker(raw: dict[str, Any]) -> LearnedBreaker:
    """A breaker's counts."""
    window = tuple((int(n), int(r), int(a), int(f)) for n, r, a, f in raw["window"])
    return LearnedBreaker(finite(raw["baseline"]), finite(raw["current"]), window)


def read_pool(raw: dict[str, Any]) -> LearnedPool:
    """What was learned of a pool of classes."""
    offered, sent, served = ((finite(value), finite(at)) for value, at in raw["rates"])
    born = None if raw["born"] is None else finite(raw["born"])
    return LearnedPool((offered, sent, served), born, read_breaker(raw["breaker"]))


def tier(learned: Learned) -> dict[str, Any]:
    """What was learned, but for the backends."""
    return {
        "pools": [dataclasses.asdict(pool) for pool in learned.pools],
        "pooled": learned.pooled,
        "pace": learned.pace,
        "paced": learned.paced,
    }


def read_learned(raw: dict[str, Any], servers: list[dict[str, Any]]) -> Learned:
    """What was learned."""
    return Learned(
        tuple(read_server(row) for row in servers),
        tuple(read_pool(row) for row in raw["pools"]),
        finite(raw["pooled"]),
        finite(raw["pace"]),
        int(raw["paced"]),
    )
