"""Endpoints from the nodes of a registry: several nodes of one backend, and nodes that cannot be read."""

from __future__ import annotations

from itertools import count
from typing import Any

import orjson

from lugspur.discovery.endpoints import Endpoint, server_id
from lugspur.discovery.node_formats import RegistryNode
from lugspur.discovery.registry_endpoints import EndpointChanges, RegistryEndpoints
from lugspur.load_balancing.model import ServerState

OWN = {"address": "127.0.0.1:9001"}
MODIFICATIONS = count(1)


def node(data: Any, created_zxid: int = 1) -> RegistryNode:
    """Return a node with a version that no other node has."""
    raw = data if isinstance(data, bytes) else orjson.dumps(data)
    return RegistryNode(raw, created_zxid, next(MODIFICATIONS), 5000)


def ids(rows: list[Endpoint]) -> dict[int, ServerState]:
    return {row.row.server: row.row.state for row in rows}


def test_an_invalid_node_is_logged_once_and_does_not_affect_other_nodes() -> None:
    nodes = RegistryEndpoints("auto")
    changes = nodes.replace_all({"a": node(OWN), "bad": node(b"?"), "secret": None})
    assert ids(changes.endpoints) == {server_id("a"): ServerState.UP}
    assert changes.problems == [
        "node 'bad': it holds no JSON; it is left out",
        "node 'secret': it may not be read; it is left out",
    ]
    assert nodes.update_node("bad", node(b"?")) == EndpointChanges()
    assert nodes.update_node("bad", node(b"[]")).problems == ["node 'bad': its JSON is not an object; it is left out"]
    rows = nodes.update_node("bad", node(OWN)).endpoints
    assert ids(rows) == {server_id("bad"): ServerState.UP}


def test_a_node_that_becomes_unreadable_removes_no_backend() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN)})
    assert nodes.update_node("a", node(b"?")) == EndpointChanges(
        problems=["node 'a': it holds no JSON; its backend stays as it was"]
    )
    rows = nodes.replace_all({"a": node(b"?")}).endpoints
    assert ids(rows) == {server_id("a"): ServerState.UP}


def test_a_backend_with_an_old_and_a_new_node_is_listed_once_by_the_new_one() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"box-1": node(OWN | {"name": "box", "since_ms": 1})})
    rows = nodes.update_node("box-2", node(OWN | {"name": "box", "since_ms": 9000}, created_zxid=2)).endpoints
    assert [row.row.started_at for row in rows] == [9.0] and len(nodes) == 1
    rows = nodes.remove_node("box-1").endpoints  # the old session expires
    assert [(row.row.state, row.row.started_at) for row in rows] == [(ServerState.UP, 9.0)]
    assert ids(nodes.remove_node("box-2").endpoints) == {server_id("box"): ServerState.GONE} and len(nodes) == 0


def test_a_node_that_describes_another_backend_removes_the_first_one() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN | {"name": "one"})})
    rows = nodes.update_node("a", node(OWN | {"name": "two"})).endpoints
    assert ids(rows) == {server_id("one"): ServerState.GONE, server_id("two"): ServerState.UP}


def test_status_and_weight_apply_at_once_and_unchanged_data_changes_nothing() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN)})
    rows = nodes.update_node("a", node(OWN | {"status": "terminating", "weight": 3.0})).endpoints
    assert [(row.row.state, row.row.weight) for row in rows] == [(ServerState.DRAINING, 3.0)]
    assert nodes.update_node("a", node(OWN | {"status": "terminating", "weight": 3.0})) == EndpointChanges()


def test_a_backend_keeps_its_start_time_when_its_node_is_recreated_and_defaults_to_the_creation_time() -> None:
    nodes = RegistryEndpoints("auto")
    rows = nodes.update_node("a", node(OWN | {"since_ms": 1000}, created_zxid=1)).endpoints
    nodes.remove_node("a")
    again = nodes.update_node("a", node(OWN | {"since_ms": 1000}, created_zxid=2)).endpoints
    assert rows[0].row.started_at == again[0].row.started_at == 1.0
    rows = nodes.update_node("b", node(OWN)).endpoints
    assert rows[0].row.started_at == 5.0
