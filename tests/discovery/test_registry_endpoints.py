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


def states(endpoints: list[Endpoint]) -> dict[int, ServerState]:
    return {endpoint.row.server: endpoint.row.state for endpoint in endpoints}


def test_an_invalid_node_is_logged_once_and_does_not_affect_other_nodes() -> None:
    nodes = RegistryEndpoints("auto")
    changes = nodes.replace_all({"a": node(OWN), "bad": node(b"?"), "secret": None})
    assert states(changes.endpoints) == {server_id("a"): ServerState.UP}
    assert changes.problems == [
        "node 'bad': it holds no JSON; it is left out",
        "node 'secret': it may not be read; it is left out",
    ]
    assert nodes.update_node("bad", node(b"?")) == EndpointChanges()
    assert nodes.update_node("bad", node(b"[]")).problems == ["node 'bad': its JSON is not an object; it is left out"]
    endpoints = nodes.update_node("bad", node(OWN)).endpoints
    assert states(endpoints) == {server_id("bad"): ServerState.UP}


def test_a_node_that_becomes_unreadable_removes_no_backend() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN)})
    assert nodes.update_node("a", node(b"?")) == EndpointChanges(
        problems=["node 'a': it holds no JSON; its backend stays as it was"]
    )
    endpoints = nodes.replace_all({"a": node(b"?")}).endpoints
    assert states(endpoints) == {server_id("a"): ServerState.UP}


def test_a_backend_with_an_old_and_a_new_node_is_listed_once_by_the_new_one() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"box-1": node(OWN | {"name": "box", "since_ms": 1})})
    endpoints = nodes.update_node("box-2", node(OWN | {"name": "box", "since_ms": 9000}, created_zxid=2)).endpoints
    assert [endpoint.row.started_at for endpoint in endpoints] == [9.0] and len(nodes) == 1
    endpoints = nodes.remove_node("box-1").endpoints  # the old session expires
    assert [(endpoint.row.state, endpoint.row.started_at) for endpoint in endpoints] == [(ServerState.UP, 9.0)]
    assert states(nodes.remove_node("box-2").endpoints) == {server_id("box"): ServerState.GONE} and len(nodes) == 0


def test_a_node_that_describes_another_backend_removes_the_first_one() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN | {"name": "one"})})
    endpoints = nodes.update_node("a", node(OWN | {"name": "two"})).endpoints
    assert states(endpoints) == {server_id("one"): ServerState.GONE, server_id("two"): ServerState.UP}


def test_status_and_weight_apply_at_once_and_unchanged_data_changes_nothing() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN)})
    endpoints = nodes.update_node("a", node(OWN | {"status": "terminating", "weight": 3.0})).endpoints
    assert [(endpoint.row.state, endpoint.row.weight) for endpoint in endpoints] == [(ServerState.DRAINING, 3.0)]
    assert nodes.update_node("a", node(OWN | {"status": "terminating", "weight": 3.0})) == EndpointChanges()


def test_a_backend_keeps_its_start_time_when_its_node_is_recreated_and_defaults_to_the_creation_time() -> None:
    nodes = RegistryEndpoints("auto")
    endpoints = nodes.update_node("a", node(OWN | {"since_ms": 1000}, created_zxid=1)).endpoints
    nodes.remove_node("a")
    recreated = nodes.update_node("a", node(OWN | {"since_ms": 1000}, created_zxid=2)).endpoints
    assert endpoints[0].row.started_at == recreated[0].row.started_at == 1.0
    endpoints = nodes.update_node("b", node(OWN)).endpoints
    assert endpoints[0].row.started_at == 5.0
