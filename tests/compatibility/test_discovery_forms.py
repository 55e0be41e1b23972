"""Bytes and JSON of service discovery that other programs, other processes and files on disk depend on.

Every form is a literal that an earlier build wrote or read. Names in the code may change; these literals may not.
"""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest
from loopback import HOST, soon

from lugspur.daemon.hot_restart.process_state import decode_state
from lugspur.discovery import state_codec
from lugspur.discovery.backend_registration import RegisteredBackend
from lugspur.discovery.endpoint_overrides import EndpointOverrides
from lugspur.discovery.endpoints import Endpoint, EndpointReader, server_id, server_name
from lugspur.discovery.node_formats import RegistryNode, read_entry
from lugspur.discovery.platform_watch import PlatformWatch
from lugspur.discovery.registry_endpoints import RegistryEndpoints
from lugspur.load_balancing.model import ListUpdateKind

#: An entry of the platform's list with every field, and the same as it is kept on disk and handed to another process.
PLATFORM_ENTRY = (
    b'{"name":"channel-7","address":"10.0.0.7:9001","zone":"b","type":"large","group":3,"status":"terminating",'
    b'"weight":2.5,"since_ms":1700000000250,"protocol":"grpc"}'
)
STORED_ENTRY = b'["channel-7","draining","1",3,2.5,1700000000.25,"2","10.0.0.7",9001,true]'
ZONES, TYPES = {"a": 0, "b": 1}, {"small": 1, "large": 2}


def stored(endpoint: Endpoint) -> bytes:
    """An entry of the list as it is kept on disk."""
    return orjson.dumps(state_codec.encode_endpoint(endpoint))


# ---- the platform's list ---------------------------------------------------------------------------------------------


def test_an_entry_of_the_platforms_list_has_these_fields() -> None:
    assert stored(EndpointReader(ZONES, TYPES).endpoint(orjson.loads(PLATFORM_ENTRY))) == STORED_ENTRY


@pytest.mark.parametrize(
    "missing, expected",
    [
        ("zone", b'["channel-7","draining","-1",3,2.5,1700000000.25,"2","10.0.0.7",9001,true]'),
        ("type", b'["channel-7","draining","1",3,2.5,1700000000.25,"-1","10.0.0.7",9001,true]'),
        ("group", b'["channel-7","draining","1",0,2.5,1700000000.25,"2","10.0.0.7",9001,true]'),
        ("weight", b'["channel-7","draining","1",3,1.0,1700000000.25,"2","10.0.0.7",9001,true]'),
        ("since_ms", b'["channel-7","draining","1",3,2.5,0.0,"2","10.0.0.7",9001,true]'),
        ("protocol", b'["channel-7","draining","1",3,2.5,1700000000.25,"2","10.0.0.7",9001,false]'),
    ],
)
def test_fields_that_may_be_missing_have_these_defaults(missing: str, expected: bytes) -> None:
    raw = orjson.loads(PLATFORM_ENTRY)
    del raw[missing]
    assert stored(EndpointReader(ZONES, TYPES).endpoint(raw)) == expected


@pytest.mark.parametrize("missing", ["name", "address", "status"])
def test_fields_without_which_nothing_is_an_entry(missing: str) -> None:
    raw = orjson.loads(PLATFORM_ENTRY)
    del raw[missing]
    with pytest.raises(KeyError, match=missing):
        EndpointReader(ZONES, TYPES).endpoint(raw)


@pytest.mark.parametrize(
    "status, state", [("in_service", "up"), ("terminating", "draining"), ("terminated", "gone"), ("resting", None)]
)
def test_the_statuses_of_the_platforms_list(status: str, state: str | None) -> None:
    raw = orjson.loads(PLATFORM_ENTRY) | {"status": status}
    if state is None:
        with pytest.raises(KeyError):
            EndpointReader(ZONES, TYPES).endpoint(raw)
    else:
        assert state_codec.encode_endpoint(EndpointReader(ZONES, TYPES).endpoint(raw))[1] == state


def test_without_known_names_a_zone_is_its_name_as_a_number() -> None:
    raw = orjson.loads(PLATFORM_ENTRY)
    assert stored(EndpointReader().endpoint(raw)) == (
        b'["channel-7","draining","98",3,2.5,1700000000.25,"465491355493","10.0.0.7",9001,true]'
    )
    assert server_id("channel-7") == 1833749077570358095159
    assert server_name(1833749077570358095159) == "channel-7"


def test_a_list_with_its_index_is_what_the_platform_hands_to_a_process_at_its_start() -> None:
    reader = EndpointReader(ZONES, TYPES)
    reader.check_initial_list(orjson.loads(b'{"index":7,"snapshot":true,"endpoints":[%b]}' % PLATFORM_ENTRY))
    for spoilt in (b'{"endpoints":[]}', b'{"index":7}', b'{"index":"x","endpoints":[]}', b"[]"):
        with pytest.raises(ValueError, match="the known list can't be read"):
            reader.check_initial_list(orjson.loads(spoilt))


def chunk(line: bytes) -> bytes:
    """One line of a watch as a chunk of HTTP/1.1."""
    return b"%x\r\n%b\r\n" % (len(line), line)


def test_the_request_of_a_watch_and_the_lines_that_it_reads() -> None:
    async def run() -> None:
        heads: list[bytes] = []
        heard: asyncio.Queue[tuple[str, list[bytes]]] = asyncio.Queue()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(chunk(b'{"index":12,"snapshot":true,"endpoints":[%b]}\n' % PLATFORM_ENTRY))
            writer.write(chunk(b"\n"))
            writer.write(chunk(b'{"index":13,"snapshot":false,"endpoints":[%b]}\n' % PLATFORM_ENTRY))
            writer.write(chunk(b'{"index":14,"endpoints":[]}\n'))
            await reader.read()
            writer.close()

        def listen(kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
            heard.put_nowait((kind.value, [stored(endpoint) for endpoint in endpoints]))

        server = await asyncio.start_server(serve, HOST, 0)
        followed = PlatformWatch(server.sockets[0].getsockname()[:2], EndpointReader(ZONES, TYPES), 11, listen)
        followed.open()
        assert [await soon(heard.get()) for _ in range(4)] == [
            ("whole", [STORED_ENTRY]),
            ("patch", []),
            ("patch", [STORED_ENTRY]),
            ("patch", []),
        ]
        assert followed.index == 14
        assert heads == [b"GET /v1/servers?follow=1&since=11 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"]
        followed.close()
        server.close()

    asyncio.run(run())


# ---- nodes of a registry ---------------------------------------------------------------------------------------------

OWN = (
    b'{"name":"channel-7","address":"10.0.0.7:9001","status":"terminating","zone":"b","group":3,"weight":2.5,'
    b'"since_ms":1700000000250,"type":"large","protocol":"grpc"}'
)
CURATOR = (
    b'{"name":"channel","id":"channel-7","address":"10.0.0.7","port":9001,"sslPort":null,'
    b'"payload":{"metadata":{"zone":"b","cell":"3"},"weight":"2.5","protocol":"grpc"},'
    b'"registrationTimeUTC":1700000000250,"serviceType":"DYNAMIC","uriSpec":null,"enabled":false}'
)
SERVERSET = (
    b'{"serviceEndpoint":{"host":"10.0.0.7","port":9001},"additionalEndpoints":{},"status":"STOPPING","shard":3,'
    b'"metadata":{"zone":"b","cell":3,"weight":2.5,"protocol":"grpc"}}'
)
FROM_CURATOR = (
    b'{"name":"channel-7","status":"terminating","since_ms":1700000000250,"address":"10.0.0.7:9001","zone":"b",'
    b'"protocol":"grpc","weight":2.5,"group":3}'
)
FROM_SERVERSET = (
    b'{"name":"member_0000000007","status":"terminating","since_ms":5000,"address":"10.0.0.7:9001","zone":"b",'
    b'"protocol":"grpc","weight":2.5,"group":3}'
)


def node(data: bytes) -> RegistryNode:
    """A node that was made 5 s after 1970."""
    return RegistryNode(data, 1, 1, 5000)


@pytest.mark.parametrize(
    "form, name, data, entry",
    [
        ("own", "n", OWN, OWN),
        ("curator", "n", CURATOR, FROM_CURATOR),
        ("serverset", "member_0000000007", SERVERSET, FROM_SERVERSET),
        ("own", "n", b'{"address":"h:1"}', b'{"name":"n","status":"in_service","since_ms":5000,"address":"h:1"}'),
        (
            "curator",
            "n",
            b'{"address":"h","sslPort":2}',
            b'{"name":"n","status":"in_service","since_ms":5000,"address":"h:2"}',
        ),
        (
            "serverset",
            "member_1",
            b'{"serviceEndpoint":{"host":"h","port":3}}',
            b'{"name":"member_1","status":"in_service","since_ms":5000,"address":"h:3"}',
        ),
    ],
)
def test_the_data_of_a_node_in_each_format(form: str, name: str, data: bytes, entry: bytes) -> None:
    assert read_entry(form, name, node(data)) == orjson.loads(entry)
    if form != "curator" or b'"port"' in data:  # `sslPort` alone does not tell the format
        assert read_entry("auto", name, node(data)) == orjson.loads(entry)


@pytest.mark.parametrize(
    "status, kept",
    [
        ("ALIVE", "in_service"),
        ("WARNING", "in_service"),
        ("STARTING", "terminating"),
        ("STOPPING", "terminating"),
        ("STOPPED", "terminating"),
        ("DEAD", "terminating"),
    ],
)
def test_the_statuses_of_a_serverset(status: str, kept: str) -> None:
    data = orjson.dumps(orjson.loads(SERVERSET) | {"status": status})
    found = read_entry("serverset", "member_1", node(data))
    assert found is not None
    assert found["status"] == kept


def test_a_node_without_a_protocol_speaks_that_of_its_pool() -> None:
    plain, told = node(b'{"address":"h:1"}'), node(b'{"address":"h:1","protocol":"http"}')
    [first] = RegistryEndpoints("auto", "grpc").update_node("n", plain).endpoints
    [second] = RegistryEndpoints("auto", "grpc").update_node("n", told).endpoints
    assert stored(first) == b'["n","up","0",0,1.0,5.0,"0","h",1,true]'
    assert stored(second) == b'["n","up","0",0,1.0,5.0,"0","h",1,false]'


def test_what_is_logged_of_nodes_that_cannot_be_read() -> None:
    changes = RegistryEndpoints("auto").update_node("x", node(b"?"))
    assert changes.problems == ["node 'x': it holds no JSON; it is left out"]


# ---- what is registered ----------------------------------------------------------------------------------------------


def test_the_data_that_is_written_for_a_backend() -> None:
    written = (
        b'{"name":"channel-7","address":"10.0.0.7:9001","status":"in_service","zone":"b","group":3,"weight":2.5,'
        b'"since_ms":1700000000250}'
    )
    backend = RegisteredBackend("channel-7", "10.0.0.7:9001", "b", 3, 2.5)
    assert backend.node_data(1700000000250) == written
    assert backend.owns_node(written)
    assert not backend.owns_node(written.replace(b"10.0.0.7", b"10.0.0.8"))
    assert RegisteredBackend("channel-7", "10.0.0.7:9001").node_data(0) == (
        b'{"name":"channel-7","address":"10.0.0.7:9001","status":"in_service","zone":"","group":0,"weight":1.0,'
        b'"since_ms":0}'
    )
    assert read_entry("auto", "n", node(written)) == orjson.loads(written)


# ---- what was learned, on disk and between processes -----------------------------------------------------------------

BREAKER = b'{"baseline":0.0125,"current":0.02,"window":[[5,100,90,10],[6,7,6,1]]}'
LEARNED_SERVER = (
    b'{"server":"channel-7","started":1.5,"latency":0.012,"seen":1000.5,"downs":2,"down_until":1003.0,'
    b'"cold_credit":4.5,"cold_seen":999.0,"breaker":%b}' % BREAKER
)
LEARNED_SERVER_UNTRIED = (
    b'{"server":"channel-8","started":0.0,"latency":0.0,"seen":0.0,"downs":0,"down_until":0.0,"cold_credit":0.0,'
    b'"cold_seen":0.0,"breaker":null}'
)
LEARNED_REST = (
    b'{"pools":[{"rates":[[1.0,2.0],[3.0,4.0],[5.0,6.0]],"born":7.5,"breaker":%b},{"rates":[[0.0,0.0],[0.0,0.0],'
    b'[0.0,0.0]],"born":null,"breaker":%b}],"pooled":8.0,"pace":9.5,"paced":10}' % (BREAKER, BREAKER)
)


def test_an_entry_of_the_list_is_read_as_it_was_written() -> None:
    assert stored(state_codec.decode_endpoint(orjson.loads(STORED_ENTRY))) == STORED_ENTRY


@pytest.mark.parametrize("text", [LEARNED_SERVER, LEARNED_SERVER_UNTRIED])
def test_what_was_learned_of_a_backend_is_read_as_it_was_written(text: bytes) -> None:
    assert (
        orjson.dumps(state_codec.encode_learned_server(state_codec.decode_learned_server(orjson.loads(text)))) == text
    )


def test_what_was_learned_of_a_pool_is_read_as_it_was_written() -> None:
    learned = state_codec.decode_learned(orjson.loads(LEARNED_REST), [orjson.loads(LEARNED_SERVER)])
    assert orjson.dumps(state_codec.encode_learned_pools(learned)) == LEARNED_REST
    assert [orjson.dumps(state_codec.encode_learned_server(known)) for known in learned.servers] == [LEARNED_SERVER]


# ---- bans ------------------------------------------------------------------------------------------------------------


def test_bans_are_handed_to_another_process_under_these_names() -> None:
    estate: dict[str, Any] = {
        "version": 1,
        "index": 7,
        "endpoints": [orjson.loads(STORED_ENTRY)],
        "listed": ["channel-6", "channel-7"],
        "banned": ["channel-7"],
        "floors": {"channel-6": 1700000000.5},
        "drained": False,
        "open": [],
        "learned": orjson.loads(LEARNED_REST) | {"servers": []},
    }
    over = EndpointOverrides()
    over.restore(decode_state(orjson.dumps(estate).decode()).bans)
    up = orjson.loads(STORED_ENTRY.replace(b"draining", b"up"))
    [banned] = over.apply(ListUpdateKind.PATCH, [state_codec.decode_endpoint(up)])
    assert stored(banned) == STORED_ENTRY  # it is banned, and so it drains
    up[0] = "channel-6"
    [cold] = over.apply(ListUpdateKind.PATCH, [state_codec.decode_endpoint(up)])
    assert stored(cold) == b'["channel-6","up","1",3,2.5,1700000000.5,"2","10.0.0.7",9001,true]'
    known = over.save()
    assert [server_name(server) for server in known.listed] == ["channel-7", "channel-6"]
    assert [server_name(server) for server in known.banned] == ["channel-7"]
    assert {server_name(server): at for server, at in known.earliest_start.items()} == {"channel-6": 1700000000.5}
