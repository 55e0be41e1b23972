"""Entries are parsed from nodes in three formats; data that is not an entry is rejected with a reason."""

from __future__ import annotations

from itertools import count
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.config.model import FORMATS as CONFIG_FORMATS
from lugspur.discovery.node_formats import FORMATS, MAX_DATA_BYTES, NodeDataError, RegistryNode, read_entry
from lugspur.discovery.registry_endpoints import RegistryEndpoints

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


MODIFICATIONS = count(1)


def node(data: Any, created_zxid: int = 1) -> RegistryNode:
    return RegistryNode(
        data if isinstance(data, bytes) else orjson.dumps(data), created_zxid, next(MODIFICATIONS), 5000
    )


def entry(data: Any, node_format: str = "auto", name: str = "n") -> dict[str, Any] | None:
    return read_entry(node_format, name, node(data))


def test_the_format_of_a_node_is_detected() -> None:
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
def test_a_backend_that_accepts_no_requests_drains(data: dict[str, Any], status: str) -> None:
    found = entry(data)
    assert found is not None and found["status"] == status


def test_curator_payloads_may_carry_zone_weight_and_cell() -> None:
    found = entry(CURATOR | {"payload": {"metadata": {"zone": "b", "weight": "x", "cell": "7"}, "weight": 3}})
    assert found is not None and (found["zone"], found["group"]) == ("b", 7) and "weight" not in found


def test_vector_nodes_of_finagle_describe_no_backend() -> None:
    assert entry({"vector": []}, "serverset", "vector_0000000001") is None


@pytest.mark.parametrize(
    "data, message",
    [
        (b"\xff\x00", "it holds no JSON"),
        (b"[]", "its JSON is not an object"),
        ({}, 'it has no "address"'),
        ({"address": None}, 'it has no "address"'),
        ({"address": "nowhere"}, "is not an address"),
        ({"address": 7}, 'its "address" is not a string'),
        ({"address": "127.0.0.1:0"}, "is not an address"),
        (OWN | {"status": "asleep"}, "its status 'asleep'"),
        (OWN | {"weight": 0}, 'its "weight" is not a number'),
        (OWN | {"weight": True}, 'its "weight" is not a number'),
        (OWN | {"group": 1.5}, 'its "group" is not an integer'),
        (OWN | {"since_ms": -1}, 'its "since_ms"'),
        (OWN | {"name": "x" * 2000}, 'its "name" is longer'),
        (b" " * (MAX_DATA_BYTES + 1), "bytes; at most"),
        (CURATOR | {"address": None}, "is not an address"),
        (CURATOR | {"port": None}, "is not an address"),
        (SERVERSET | {"status": "NAPPING"}, "its status 'NAPPING'"),
        (SERVERSET | {"serviceEndpoint": 1}, "not an object"),
    ],
)
def test_data_that_is_not_an_entry_is_rejected_with_a_reason(data: Any, message: str) -> None:
    with pytest.raises(NodeDataError, match=message.replace('"', ".").replace("'", ".")):
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
def test_no_data_of_a_node_raises_another_error(data: bytes, node_format: str) -> None:
    RegistryEndpoints(node_format).update_node("member_1", node(data))


def test_the_configuration_file_has_the_same_formats() -> None:
    assert CONFIG_FORMATS == FORMATS
