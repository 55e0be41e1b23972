"""Parsers of registry node data in three formats into entries of an endpoint list. No I/O.

* own: an entry in the platform's format, `{"address": "127.0.0.1:9001", "status": "in_service", "since_ms": ...,
  "weight": ...}`; `name` defaults to the name of the node.
* curator: Apache Curator's ServiceInstance, `{"name", "id", "address", "port", "registrationTimeUTC", "payload",
  "enabled"}`; zone, weight and cell are taken from `payload` or `payload.metadata` if present.
* serverset: Finagle's, `{"serviceEndpoint": {"host", "port"}, "status": "ALIVE", "shard", "metadata"}` in nodes named
  member_...; its vector_... nodes are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from lugspur.discovery.endpoints import PROTOCOLS, STATES, read_address

MAX_DATA_BYTES = 64 << 10  # size limit of the data of a node; entries have a few hundred bytes
MAX_TEXT_BYTES = 1024  # size limit of a name, zone, type or address; a name becomes a number of as many bytes
MAX_CELL = (1 << 31) - 1
MIN_WEIGHT, MAX_WEIGHT = 0.001, 1e6  # as for the static members of a pool
MAX_START_MS = 1 << 62
#: Fields of an entry in the platform's format; others are ignored.
OWN_FIELDS = ("name", "address", "status", "zone", "group", "weight", "since_ms", "type", "protocol")
#: Statuses of a serverset member that accepts requests.
SERVING_STATUSES = ("ALIVE", "WARNING")
#: Statuses of a serverset member that accepts no requests.
DRAINING_STATUSES = ("STARTING", "STOPPING", "STOPPED", "DEAD")

#: An entry in the platform's format.
Entry = dict[str, Any]


class NodeDataError(ValueError):
    """The data of a node is not a valid entry; the message is logged."""


@dataclass(slots=True, frozen=True)
class RegistryNode:
    """Data and metadata of a node."""

    data: bytes
    created_zxid: int  # id of the transaction that created the node
    modified_zxid: int  # id of the transaction that last changed its data
    created_ms: int  # when the node was created, in milliseconds since 1970 by the registry's clock


def read_entry(node_format: str, name: str, node: RegistryNode) -> Entry | None:
    """Return the entry in a node's data, or None for a node that describes no backend.

    node_format: one of `FORMATS`; `auto` detects the format by the keys of the data.
    name: name of the node within its directory.
    Raises NodeDataError for data that is not a valid entry.
    """
    if node_format == "serverset" and not name.startswith("member_"):
        return None
    if len(node.data) > MAX_DATA_BYTES:
        raise NodeDataError(f"it holds {len(node.data)} bytes; at most {MAX_DATA_BYTES} are read")
    try:
        raw = orjson.loads(node.data)
    except orjson.JSONDecodeError as error:
        raise NodeDataError("it holds no JSON") from error
    if not isinstance(raw, dict):
        raise NodeDataError("its JSON is not an object")
    read = READERS[_detect_format(raw) if node_format == "auto" else node_format]
    # A backend whose entry has no start time counts as started when its node was created.
    entry = {"name": name, "status": "in_service", "since_ms": node.created_ms, **read(name, raw)}
    _check_entry(entry)
    return entry


def _detect_format(raw: Entry) -> str:
    if "serviceEndpoint" in raw:
        return "serverset"
    return "curator" if "port" in raw or "registrationTimeUTC" in raw else "own"


def _read_own(name: str, raw: Entry) -> Entry:
    if raw.get("address") is None:
        raise NodeDataError('it has no "address"')
    return {key: raw[key] for key in OWN_FIELDS if raw.get(key) is not None}


def _read_curator(name: str, raw: Entry) -> Entry:
    host, port = raw.get("address"), raw.get("port") or raw.get("sslPort")
    entry = {
        "name": raw.get("id") or name,
        "address": f"{host}:{port}",
        "status": "terminating" if raw.get("enabled") is False else "in_service",
    }
    if raw.get("registrationTimeUTC"):
        entry["since_ms"] = raw["registrationTimeUTC"]
    return entry | _read_metadata(raw.get("payload"))


def _read_serverset(name: str, raw: Entry) -> Entry:
    endpoint, status = raw.get("serviceEndpoint"), raw.get("status", "ALIVE")
    if not isinstance(endpoint, dict):
        raise NodeDataError('its "serviceEndpoint" is not an object')
    if status not in (*SERVING_STATUSES, *DRAINING_STATUSES):
        known = ", ".join((*SERVING_STATUSES, *DRAINING_STATUSES))
        raise NodeDataError(f"its status {status!r} is not one of {known}")
    entry = {
        "address": f"{endpoint.get('host')}:{endpoint.get('port')}",
        "status": "in_service" if status in SERVING_STATUSES else "terminating",
    }
    return entry | _read_metadata(raw.get("metadata"))


def _read_metadata(raw: object) -> Entry:
    """Return zone, protocol, weight and cell from a field that a format leaves to its users; numbers may be strings."""
    if not isinstance(raw, Mapping):
        return {}
    inner = raw.get("metadata")
    raw = {**raw, **inner} if isinstance(inner, Mapping) else raw
    found: Entry = {}
    if isinstance(raw.get("zone"), str):
        found["zone"] = raw["zone"]
    if raw.get("protocol") in PROTOCOLS:
        found["protocol"] = raw["protocol"]
    for key, field, number in (("weight", "weight", float), ("cell", "group", int)):
        try:
            if raw.get(key) is not None:
                found[field] = number(raw[key])
        except (TypeError, ValueError):
            continue  # the key has another meaning for the application that wrote it
    return found


READERS: dict[str, Callable[[str, Entry], Entry]] = {
    "own": _read_own,
    "curator": _read_curator,
    "serverset": _read_serverset,
}
FORMATS = ("auto", *READERS)


def _check_entry(entry: Entry) -> None:
    """Raise NodeDataError unless every value has the type and range that an endpoint needs."""
    _check_texts(entry)
    _check_address(entry["address"])
    if entry["status"] not in STATES:
        raise NodeDataError(f"its status {entry['status']!r} is not one of {', '.join(STATES)}")
    if entry.get("protocol", "http") not in PROTOCOLS:
        raise NodeDataError(f"its protocol {entry['protocol']!r} is not one of {', '.join(PROTOCOLS)}")
    _check_number(entry, "weight", MIN_WEIGHT, MAX_WEIGHT)
    _check_number(entry, "since_ms", 0, MAX_START_MS)
    _check_number(entry, "group", 0, MAX_CELL)
    if not math.isfinite(entry.get("weight", 1.0)) or not isinstance(entry.get("group", 0), int):
        raise NodeDataError('its "group" is not an integer')


def _check_texts(entry: Entry) -> None:
    for key in ("name", "address", "zone", "type"):
        if not isinstance(entry.get(key, ""), str):
            raise NodeDataError(f'its "{key}" is not a string')
        if len(entry.get(key, "").encode()) > MAX_TEXT_BYTES:
            raise NodeDataError(f'its "{key}" is longer than {MAX_TEXT_BYTES} bytes')


def _check_address(address: str) -> None:
    try:
        host, port = read_address(address)
    except ValueError as error:
        raise NodeDataError(str(error)) from error
    if host == "None" or not port:  # the host or port of the entry is missing
        raise NodeDataError(f"{address!r} is not an address of the form host:port")


def _check_number(entry: Entry, key: str, low: float, high: float) -> None:
    value = entry.get(key, low)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise NodeDataError(f'its "{key}" is not a number from {low:g} to {high:g}')
