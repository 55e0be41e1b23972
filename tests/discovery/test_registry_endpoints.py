"""Endpoints by the nodes of a registry: several nodes of one backend, and nodes that cannot be read."""

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
    """A node with data that differs from all others in its version."""
    raw = data if isinstance(data, bytes) else orjson.dumps(data)
    return RegistryNode(raw, created_zxid, next(MODIFICATIONS), 5000)


def ids(rows: list[Endpoint]) -> dict[int, ServerState]:
    return {row.row.server: row.row.state for row in rows}


def test_one_bad_node_is_named_once_and_takes_no_other_with_it() -> None:
    nodes = RegistryEndpoints("auto")
    changes = nodes.replace_all({"a": node(OWN), "bad": node(b"?"), "secret": None})
    assert ids(changes.endpoints) == {server_id("a"): ServerState.UP}
    assert changes.problems == [
        "node 'bad': it holds no JSON; it is left out",
        "node 'secret': it may not be read; it is left out",
    ]
    assert nodes.update_node("bad", node(b"?")) == EndpointChanges()
    assert nodes.update_node("bad", node(b"[]")).problems == ["node 'bad': its JSON is no object; it is left out"]
    rows = nodes.update_node("bad", node(OWN)).endpoints
    assert ids(rows) == {server_id("bad"): ServerState.UP}


def test_a_node_that_turns_unreadable_is_no_removal() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN)})
    assert nodes.update_node("a", node(b"?")) == EndpointChanges(
        problems=["node 'a': it holds no JSON; its box stays as it was"]
    )
    rows = nodes.replace_all({"a": node(b"?")}).endpoints
    assert ids(rows) == {server_id("a"): ServerState.UP}


def test_a_box_with_an_old_node_and_a_new_one_counts_once_by_the_new_one() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"box-1": node(OWN | {"name": "box", "since_ms": 1})})
    rows = nodes.update_node("box-2", node(OWN | {"name": "box", "since_ms": 9000}, created_zxid=2)).endpoints
    assert [row.row.started_at for row in rows] == [9.0] and len(nodes) == 1
    rows = nodes.remove_node("box-1").endpoints  # its old session expires at last
    assert [(row.row.state, row.row.started_at) for row in rows] == [(ServerState.UP, 9.0)]
    assert ids(nodes.remove_node("box-2").endpoints) == {server_id("box"): ServerState.GONE} and len(nodes) == 0


def test_a_node_that_becomes_another_box_takes_the_first_one_out() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN | {"name": "one"})})
    rows = nodes.update_node("a", node(OWN | {"name": "two"})).endpoints
    assert ids(rows) == {server_id("one"): ServerState.GONE, server_id("two"): ServerState.UP}


def test_draining_and_weights_count_at_once_and_the_same_data_tells_nothing() -> None:
    nodes = RegistryEndpoints("auto")
    nodes.replace_all({"a": node(OWN)})
    rows = nodes.update_node("a", node(OWN | {"status": "terminating", "weight": 3.0})).endpoints
    assert [(row.row.state, row.row.weight) for row in rows] == [(ServerState.DRAINING, 3.0)]
    assert nodes.update_node("a", node(OWN | {"status": "terminating", "weight": 3.0})) == EndpointChanges()


def test_a_box_that_flaps_keeps_its_start_time_and_one_without_any_began_with_its_node() -> None:
    nodes = RegistryEndpoints("auto")
    rows = nodes.update_node("a", node(OWN | {"since_ms": 1000}, created_zxid=1)).endpoints
    nodes.remove_node("a")
    again = nodes.update_node("a", node(OWN | {"since_ms": 1000}, created_zxid=2)).endpoints
    assert rows[0].row.started_at == again[0].row.started_at == 1.0
    rows = nodes.update_node("b", node(OWN)).endpoints
    assert rows[0].row.started_at == 5.0
