"""Nodes of three formats as rows; what can't be read harms nobody else."""

from __future__ import annotations

from itertools import count
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.config.model import FORMATS as CONFIG_FORMATS
from lugspur.discovery.endpoints import Endpoint, server_id
from lugspur.discovery.nodes import DATA_MOST, FORMATS, Node, Nodes, Unreadable, read_entry
from lugspur.load_balancing.model import ServerState

CURATOR = {
    "name": "channel",
    "id": "c-1",
    "address": "127.0.0.1",
    "port": 9001,
    "sslPort": None,
    "payload": None,
    "registrationTimeUTC": 1_700_000_000_000,
    "serviceType": "DYNAMIC",
    "uriSpec": None,
    "enabled": True,
}
SERVERSET = {
    "serviceEndpoint": {"host": "127.0.0.1", "port": 9001},
    "additionalEndpoints": {"http": {"host": "h", "port": 1}},
    "status": "ALIVE",
    "shard": 3,
    "metadata": {"zone": "b", "weight": "2.5"},
}
OWN = {"address": "127.0.0.1:9001"}


CHANGES = count(1)


def node(data: Any, made: int = 1) -> Node:
    return Node(data if isinstance(data, bytes) else orjson.dumps(data), made, next(CHANGES), 5000)


def entry(data: Any, form: str = "auto", name: str = "n") -> dict[str, Any] | None:
    return read_entry(form, name, node(data))


def ids(rows: list[Endpoint]) -> dict[int, ServerState]:
    return {row.row.server: row.row.state for row in rows}


def test_each_format_is_read_as_what_it_is() -> None:
    assert entry(OWN) == {"name": "n", "address": "127.0.0.1:9001", "status": "in_service", "since_ms": 5000}
    assert entry(OWN | {"name": "x", "weight": 2, "group": 4, "status": "terminating", "since_ms": 7, "other": 1}) == {
        "name": "x",
        "address": "127.0.0.1:9001",
        "status": "terminating",
        "since_ms": 7,
        "weight": 2,
        "group": 4,
    }
    assert entry(CURATOR) == {
        "name": "c-1",
        "address": "127.0.0.1:9001",
        "status": "in_service",
        "since_ms": 1_700_000_000_000,
    }
    assert entry(SERVERSET, name="member_0000000001") == {
        "name": "member_0000000001",
        "address": "127.0.0.1:9001",
        "status": "in_service",
        "since_ms": 5000,
        "zone": "b",
        "weight": 2.5,
    }


@pytest.mark.parametrize(
    "data, status",
    [
        (CURATOR | {"enabled": False}, "terminating"),
        (SERVERSET | {"status": "STOPPING"}, "terminating"),
        (SERVERSET | {"status": "STARTING"}, "terminating"),
        (SERVERSET | {"status": "WARNING"}, "in_service"),
        (OWN | {"status": "terminated"}, "terminated"),
    ],
)
def test_a_box_that_is_not_to_be_called_drains(data: dict[str, Any], status: str) -> None:
    found = entry(data)
    assert found is not None and found["status"] == status


def test_curator_payloads_may_carry_zone_weight_and_cell() -> None:
    found = entry(CURATOR | {"payload": {"metadata": {"zone": "b", "weight": "x", "cell": "7"}, "weight": 3}})
    assert found is not None and (found["zone"], found["group"]) == ("b", 7) and "weight" not in found


def test_finagles_vectors_are_no_boxes() -> None:
    assert entry({"vector": []}, "serverset", "vector_0000000001") is None


@pytest.mark.parametrize(
    "data, said",
    [
        (b"\xff\x00", "it holds no JSON"),
        (b"[]", "its JSON is no object"),
        ({}, 'it has no "address"'),
        ({"address": None}, 'it has no "address"'),
        ({"address": "nowhere"}, "is not an address"),
        ({"address": 7}, 'its "address" is no text'),
        ({"address": "127.0.0.1:0"}, "is not an address"),
        (OWN | {"status": "asleep"}, "its status 'asleep'"),
        (OWN | {"weight": 0}, 'its "weight" is no number'),
        (OWN | {"weight": True}, 'its "weight" is no number'),
        (OWN | {"group": 1.5}, 'its "group" is no whole number'),
        (OWN | {"since_ms": -1}, 'its "since_ms"'),
        (OWN | {"name": "x" * 2000}, 'its "name" is longer'),
        (b" " * (DATA_MOST + 1), "bytes; at most"),
        (CURATOR | {"address": None}, "is not an address"),
        (CURATOR | {"port": None}, "is not an address"),
        (SERVERSET | {"status": "NAPPING"}, "its status 'NAPPING'"),
        (SERVERSET | {"serviceEndpoint": 1}, "no object"),
    ],
)
def test_what_is_no_entry_says_why(data: Any, said: str) -> None:
    with pytest.raises(Unreadable, match=said.replace('"', ".").replace("'", ".")):
        entry(data)


@given(
    st.binary(max_size=100)
    | st.recursive(
        st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats(allow_nan=False) | st.text(max_size=20),
        lambda inner: st.dictionaries(
            st.sampled_from([*OWN, *CURATOR, *SERVERSET, "weight", "status", "group", "since_ms", "zone", "host"]),
            inner,
        ),
        max_leaves=20,
    ).map(orjson.dumps),
    st.sampled_from(FORMATS),
)
def test_no_data_of_a_node_does_more_than_be_left_out(data: bytes, form: str) -> None:
    Nodes(form).present("member_1", node(data))


def test_the_file_knows_the_same_formats() -> None:
    assert CONFIG_FORMATS == FORMATS


def test_one_bad_node_is_named_once_and_takes_no_other_with_it() -> None:
    nodes = Nodes("auto")
    rows, said = nodes.whole({"a": node(OWN), "bad": node(b"?"), "secret": None})
    assert ids(rows) == {server_id("a"): ServerState.UP}
    assert said == ["node 'bad': it holds no JSON; it is left out", "node 'secret': it may not be read; it is left out"]
    assert nodes.present("bad", node(b"?")) == ([], [])
    assert nodes.present("bad", node(b"[]"))[1] == ["node 'bad': its JSON is no object; it is left out"]
    rows, _ = nodes.present("bad", node(OWN))
    assert ids(rows) == {server_id("bad"): ServerState.UP}


def test_a_node_that_turns_unreadable_is_no_removal() -> None:
    nodes = Nodes("auto")
    nodes.whole({"a": node(OWN)})
    assert nodes.present("a", node(b"?")) == ([], ["node 'a': it holds no JSON; its box stays as it was"])
    rows, _ = nodes.whole({"a": node(b"?")})
    assert ids(rows) == {server_id("a"): ServerState.UP}


def test_a_box_with_an_old_node_and_a_new_one_counts_once_by_the_new_one() -> None:
    nodes = Nodes("auto")
    nodes.whole({"box-1": node(OWN | {"name": "box", "since_ms": 1})})
    rows, _ = nodes.present("box-2", node(OWN | {"name": "box", "since_ms": 9000}, made=2))
    assert [row.row.started_at for row in rows] == [9.0] and len(nodes) == 1
    rows = nodes.absent("box-1")  # its old session expires at last
    assert [(row.row.state, row.row.started_at) for row in rows] == [(ServerState.UP, 9.0)]
    assert ids(nodes.absent("box-2")) == {server_id("box"): ServerState.GONE} and len(nodes) == 0


def test_a_node_that_becomes_another_box_takes_the_first_one_out() -> None:
    nodes = Nodes("auto")
    nodes.whole({"a": node(OWN | {"name": "one"})})
    rows, _ = nodes.present("a", node(OWN | {"name": "two"}))
    assert ids(rows) == {server_id("one"): ServerState.GONE, server_id("two"): ServerState.UP}


def test_draining_and_weights_count_at_once_and_the_same_data_tells_nothing() -> None:
    nodes = Nodes("auto")
    nodes.whole({"a": node(OWN)})
    rows, _ = nodes.present("a", node(OWN | {"status": "terminating", "weight": 3.0}))
    assert [(row.row.state, row.row.weight) for row in rows] == [(ServerState.DRAINING, 3.0)]
    assert nodes.present("a", node(OWN | {"status": "terminating", "weight": 3.0})) == ([], [])


def test_a_box_that_flaps_keeps_its_start_time_and_one_without_any_began_with_its_node() -> None:
    nodes = Nodes("auto")
    rows, _ = nodes.present("a", node(OWN | {"since_ms": 1000}, made=1))
    nodes.absent("a")
    again, _ = nodes.present("a", node(OWN | {"since_ms": 1000}, made=2))
    assert rows[0].row.started_at == again[0].row.started_at == 1.0
    rows, _ = nodes.present("b", node(OWN))
    assert rows[0].row.started_at == 5.0
