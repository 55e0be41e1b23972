"""From nodes of a registry to rows of the list, without I/O: three formats of data, and boxes with several nodes.

* own: the platform's entry, `{"address": "127.0.0.1:9001", "status": "in_service", "since_ms": ..., "weight": ...}`;
  `name` is the node's where it is left out.
* curator: Apache Curator's ServiceInstance, `{"name", "id", "address", "port", "registrationTimeUTC", "payload",
  "enabled"}`; zone, weight and cell are taken from `payload` or `payload.metadata` where they are there.
* serverset: Finagle's, `{"serviceEndpoint": {"host", "port"}, "status": "ALIVE", "shard", "metadata"}` in nodes named
  member_...; its vector_... nodes are passed over.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import orjson

from lugspur.discovery.endpoints import PROTOCOLS, STATES, Endpoint, EndpointReader, read_address
from lugspur.load_balancing.model import ServerState

DATA_MOST = 64 << 10  # bytes of a node that are read as an entry: entries have a few hundred
TEXT_MOST = 1024  # bytes of a name, zone or address: a name becomes a number of as many bytes
CELL_MOST = (1 << 31) - 1
WEIGHT_LEAST, WEIGHT_MOST = 0.001, 1e6  # as in a fixed list
WEIGHTS = ("weight", "zone", "cell")
ALIVE = ("ALIVE", "WARNING")
ENDING = ("STARTING", "STOPPING", "STOPPED", "DEAD")
Entry = dict[str, Any]


class Unreadable(ValueError):
    """A node's data that is no entry; its text says why."""


@dataclass(slots=True, frozen=True)
class Node:
    """A node as it was read: its data, and when and as which change it was made."""

    data: bytes
    made: int  # the zxid of its making...
    changed: int  # ...and of its latest change
    made_ms: int  # its making by the registry's clock, in milliseconds since 1970


def read_entry(form: str, name: str, node: Node) -> Entry | None:
    """An entry of the platform's form from a node's data; None for one that is no box; raises Unreadable."""
    if form == "serverset" and not name.startswith("member_"):
        return None
    if len(node.data) > DATA_MOST:
        raise Unreadable(f"it holds {len(node.data)} bytes; at most {DATA_MOST} are read")
    try:
        raw = orjson.loads(node.data)
    except orjson.JSONDecodeError as fault:
        raise Unreadable("it holds no JSON") from fault
    if not isinstance(raw, dict):
        raise Unreadable("its JSON is no object")
    kind = form if form != "auto" else _form(raw)
    return _checked(name, READERS[kind](name, raw), node)


def _form(raw: Entry) -> str:
    if "serviceEndpoint" in raw:
        return "serverset"
    return "curator" if "port" in raw or "registrationTimeUTC" in raw else "own"


def _own(name: str, raw: Entry) -> Entry:
    if raw.get("address") is None:
        raise Unreadable('it has no "address"')
    kept = ("name", "address", "status", "zone", "group", "weight", "since_ms", "type", "protocol")
    return {key: raw[key] for key in kept if raw.get(key) is not None}


def _curator(name: str, raw: Entry) -> Entry:
    host, port = raw.get("address"), raw.get("port") or raw.get("sslPort")
    entry = {
        "name": raw.get("id") or name,
        "address": f"{host}:{port}",
        "status": "terminating" if raw.get("enabled") is False else "in_service",
    }
    if raw.get("registrationTimeUTC"):
        entry["since_ms"] = raw["registrationTimeUTC"]
    return entry | _extras(raw.get("payload"))


def _serverset(name: str, raw: Entry) -> Entry:
    endpoint, status = raw.get("serviceEndpoint"), raw.get("status", "ALIVE")
    if not isinstance(endpoint, dict):
        raise Unreadable('its "serviceEndpoint" is no object')
    if status not in (*ALIVE, *ENDING):
        raise Unreadable(f"its status {status!r} is none of {', '.join((*ALIVE, *ENDING))}")
    entry = {
        "address": f"{endpoint.get('host')}:{endpoint.get('port')}",
        "status": "in_service" if status in ALIVE else "terminating",
    }
    return entry | _extras(raw.get("metadata"))


def _extras(raw: object) -> Entry:
    """Zone, weight and cell from where a format lets its users put what they like; texts are taken too."""
    if not isinstance(raw, Mapping):
        return {}
    inner = raw.get("metadata")
    raw = {**raw, **inner} if isinstance(inner, Mapping) else raw
    found: Entry = {}
    if isinstance(raw.get("zone"), str):
        found["zone"] = raw["zone"]
    if raw.get("protocol") in PROTOCOLS:
        found["protocol"] = raw["protocol"]
    for key, name, kind in (("weight", "weight", float), ("cell", "group", int)):
        try:
            if raw.get(key) is not None:
                found[name] = kind(raw[key])
        except (TypeError, ValueError):
            continue  # it means something else to whoever wrote it
    return found


READERS: dict[str, Callable[[str, Entry], Entry]] = {"own": _own, "curator": _curator, "serverset": _serverset}
FORMATS = ("auto", *READERS)


def _checked(name: str, entry: Entry, node: Node) -> Entry:
    """Every value as the list needs it; without a time of its own a box has started when its node was made."""
    entry = {"name": name, "status": "in_service", "since_ms": node.made_ms, **entry}
    for key in ("name", "address", "zone", "type"):
        if not isinstance(entry.get(key, ""), str):
            raise Unreadable(f'its "{key}" is no text')
        if len(entry.get(key, "").encode()) > TEXT_MOST:
            raise Unreadable(f'its "{key}" is longer than {TEXT_MOST} bytes')
    try:
        host, port = read_address(entry["address"])
    except ValueError as fault:
        raise Unreadable(str(fault)) from fault
    if host == "None" or not port:
        raise Unreadable(f"{entry['address']!r} is not an address of the form host:port")
    if entry["status"] not in STATES:
        raise Unreadable(f"its status {entry['status']!r} is none of {', '.join(STATES)}")
    if entry.get("protocol", "http") not in PROTOCOLS:
        raise Unreadable(f"its protocol {entry['protocol']!r} is none of {', '.join(PROTOCOLS)}")
    for key, low, high in (("weight", WEIGHT_LEAST, WEIGHT_MOST), ("since_ms", 0, 1 << 62), ("group", 0, CELL_MOST)):
        value = entry.get(key, low)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise Unreadable(f'its "{key}" is no number from {low:g} to {high:g}')
    if not math.isfinite(entry.get("weight", 1.0)) or not isinstance(entry.get("group", 0), int):
        raise Unreadable('its "group" is no whole number')
    return entry


class Nodes:
    """Rows by nodes. A box that has several nodes, an old one and its next, counts by the one that was made last."""

    def __init__(self, form: str, protocol: str = "http") -> None:
        self._form = form
        self._reader = EndpointReader(protocol=protocol)
        self._boxes: dict[str, tuple[int, int, Endpoint]] = {}  # by node: when made and changed, and what it says
        self._by_server: dict[int, set[str]] = {}
        self._faults: dict[str, str] = {}  # nodes that can't be read, and what was said of them

    def __len__(self) -> int:
        """How many boxes there are."""
        return len(self._by_server)

    def whole(self, nodes: Mapping[str, Node | None]) -> tuple[list[Endpoint], list[str]]:
        """All nodes at once; gives all rows, and what is to be said of nodes that can't be read.

        A node that is there but can't be read any more keeps its box as it was: it is no removal.
        """
        for name in self._boxes.keys() - nodes.keys():
            self._take_out(name)
        for name in self._faults.keys() - nodes.keys():
            del self._faults[name]
        said = [line for name, node in nodes.items() for line in self._put(name, node)]
        return [self._row(server) for server in self._by_server], said

    def present(self, name: str, node: Node | None) -> tuple[list[Endpoint], list[str]]:
        """One node that is new or has changed; gives the rows that change with it."""
        before = self._boxes.get(name)
        said = self._put(name, node)
        after = self._boxes.get(name)
        rows: list[Endpoint] = []
        if before is not None and (after is None or after[2].row.server != before[2].row.server):
            rows += self._left(before[2])
        if after is not None and (before is None or before[2] != after[2]):
            rows.append(self._row(after[2].row.server))
        return rows, said

    def absent(self, name: str) -> list[Endpoint]:
        """One node that has been deleted; gives the rows that change with it."""
        self._faults.pop(name, None)
        known = self._take_out(name)
        return [] if known is None else self._left(known)

    def _left(self, known: Endpoint) -> list[Endpoint]:
        server = known.row.server
        if server in self._by_server:
            return [self._row(server)]
        return [replace(known, row=replace(known.row, state=ServerState.GONE))]

    def _row(self, server: int) -> Endpoint:
        names = self._by_server[server]
        if len(names) == 1:
            return self._boxes[next(iter(names))][2]
        return max((self._boxes[name] for name in names), key=lambda box: box[0])[2]

    def _put(self, name: str, node: Node | None) -> list[str]:
        if node is not None and self._boxes.get(name, ())[:2] == (node.made, node.changed):
            return []  # Guards the loop after every gap: nodes that are the same are not read as JSON again
        try:
            if node is None:
                raise Unreadable("it may not be read")
            entry = read_entry(self._form, name, node)
        except Unreadable as fault:
            return self._complain(name, str(fault))
        self._faults.pop(name, None)
        if entry is None:
            return []
        self._take_out(name)
        endpoint = self._reader.endpoint(entry)
        self._boxes[name] = node.made, node.changed, endpoint
        self._by_server.setdefault(endpoint.row.server, set()).add(name)
        return []

    def _complain(self, name: str, said: str) -> list[str]:
        """Guards the log: a node is named once for each thing that is wrong with it."""
        if self._faults.get(name) == said:
            return []
        self._faults[name] = said
        kept = "its box stays as it was" if name in self._boxes else "it is left out"
        return [f"node {name!r}: {said}; {kept}"]

    def _take_out(self, name: str) -> Endpoint | None:
        known = self._boxes.pop(name, None)
        if known is None:
            return None
        names = self._by_server[known[2].row.server]
        names.discard(name)
        if not names:
            del self._by_server[known[2].row.server]
        return known[2]
