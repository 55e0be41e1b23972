"""Conversion of endpoints and learned state of backends to and from plain JSON values. No I/O.

The same values are kept in the snapshot file of the daemon and passed to a successor process in a hot restart. Decoders
raise one of `DECODE_ERRORS` for invalid values; callers treat all of them alike.
"""

from __future__ import annotations

import dataclasses
from math import isfinite
from typing import Any

from lugspur.discovery.endpoints import Endpoint, server_id, server_name
from lugspur.load_balancing.model import Learned, LearnedBreaker, LearnedPool, LearnedServer, ServerRow, ServerState

#: Exceptions that decoders raise for values of the wrong type, form or range.
DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, IndexError, OverflowError)


def finite_number(value: Any) -> float:
    """Return `value` as a float; raises ValueError for NaN, with which every comparison is false, and for infinity."""
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"{value!r} is not a finite number")
    return number


def encode_endpoint(endpoint: Endpoint) -> list[Any]:
    """Return name, state, zone, cell, weight, start time, host type, host, port, and whether gRPC is spoken."""
    row = endpoint.row
    # A zone or host type that the settings do not list is represented by its name as a number (see `server_id`), which
    # may exceed the integers of JSON: both are written as strings.
    return [
        server_name(row.server),
        row.state.value,
        str(row.zone),
        row.cell,
        row.weight,
        row.started_at,
        str(row.host_type),
        *endpoint.address,
        endpoint.speaks_grpc,
    ]


def decode_endpoint(raw: list[Any]) -> Endpoint:
    """Return the endpoint from the values of `encode_endpoint`."""
    name, state, zone, cell, weight, started_at, host_type, host, port, speaks_grpc = raw
    row = ServerRow(
        server_id(name),
        ServerState(state),
        int(zone),
        int(cell),
        finite_number(weight),
        finite_number(started_at),
        int(host_type),
    )
    return Endpoint(row, (str(host), int(port)), bool(speaks_grpc))


def encode_learned_server(learned: LearnedServer) -> dict[str, Any]:
    """Return the learned state of one backend, which is identified by its name instead of its number."""
    return dataclasses.asdict(learned) | {"server": server_name(learned.server)}


def decode_learned_server(raw: dict[str, Any]) -> LearnedServer:
    """Return the learned state from the values of `encode_learned_server`."""
    breaker = raw["breaker"]
    return LearnedServer(
        server_id(raw["server"]),
        finite_number(raw["started"]),
        finite_number(raw["latency"]),
        finite_number(raw["seen"]),
        int(raw["downs"]),
        finite_number(raw["down_until"]),
        finite_number(raw["cold_credit"]),
        finite_number(raw["cold_seen"]),
        None if breaker is None else _decode_breaker(breaker),
    )


def encode_learned_pools(learned: Learned) -> dict[str, Any]:
    """Return the learned state of the pools of request classes; backends are encoded separately, one by one."""
    return {
        "pools": [dataclasses.asdict(pool) for pool in learned.pools],
        "pooled": learned.pooled,
        "pace": learned.pace,
        "paced": learned.paced,
    }


def decode_learned(raw: dict[str, Any], servers: list[dict[str, Any]]) -> Learned:
    """Return all learned state, from the values of `encode_learned_pools` and `encode_learned_server`."""
    return Learned(
        tuple(decode_learned_server(row) for row in servers),
        tuple(_decode_pool(row) for row in raw["pools"]),
        finite_number(raw["pooled"]),
        finite_number(raw["pace"]),
        int(raw["paced"]),
    )


def _decode_breaker(raw: dict[str, Any]) -> LearnedBreaker:
    window = tuple(
        (int(bucket), int(requests), int(accepts), int(failures))
        for bucket, requests, accepts, failures in raw["window"]
    )
    return LearnedBreaker(finite_number(raw["baseline"]), finite_number(raw["current"]), window)


def _decode_pool(raw: dict[str, Any]) -> LearnedPool:
    offered, sent, served = ((finite_number(value), finite_number(at)) for value, at in raw["rates"])
    born = None if raw["born"] is None else finite_number(raw["born"])
    return LearnedPool((offered, sent, served), born, _decode_breaker(raw["breaker"]))
