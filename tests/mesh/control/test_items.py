"""Items of the configuration: validation of calls, conflicts with the items in force, and the encoding of items."""

from __future__ import annotations

import json
from typing import Any

import pytest
from meshcalls import call, route, service

from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import check_changes, encode_items, read_changes
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.register import MAX_KEY_BYTES, item_row
from lugspur.mesh.control.store import Store
from lugspur.mesh.http_api import MAX_CALL_BYTES
from lugspur.mesh.transport.link import MAX_UNSENT_BYTES


def store_with(body: bytes) -> Store:
    store = Store()
    store.merge(read_changes(body))
    return store


def rejection_of(body: bytes, store: Store | None = None) -> ErrorKind:
    with pytest.raises(MeshError) as caught:
        check_changes(read_changes(body), store or store_with(call(services=[service()])))
    return caught.value.kind


def test_a_first_call_is_accepted_and_encoded_as_it_was_sent() -> None:
    body = json.dumps(
        {
            "upsert": {
                "routes": [
                    route(
                        note="kept", split=[{"service": "s", "share": 90}, {"service": "t", "share": 10}], service=None
                    )
                ],
                "services": [service(), service("t")],
                "limits": {"label_bytes": 100, "edition": "0000000a"},
            },
            "withdraw": {"routes": []},
        }
    ).encode()
    entries = read_changes(body)
    check_changes(entries, Store())
    store = Store()
    store.merge(entries)
    assert json.loads(encode_items(store.all())) == json.loads(body)["upsert"]


@pytest.mark.parametrize(
    "change",
    [
        {"deadline_ms": 0},
        {"deadline_ms": 600_001},
        {"deadline_ms": -1},
        {"path_prefix": "r/"},
        {"service": "unknown"},
        {"mail_class": "fast"},
        {"service": None},
        {"edition": "7"},
        {"edition": "0000000g"},
        {"tries": 0},
        {"office": ""},
        {"split": [{"service": "s", "share": 0}], "service": None},
        {"deadline_ms": "500"},
        {"name": ""},
    ],
)
def test_an_invalid_call_is_rejected_as_a_whole(change: dict[str, Any]) -> None:
    assert rejection_of(call(route("good"), route() | change)) is ErrorKind.BAD_CONFIG


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"upsert": 1}',
        b'{"upsert": {"routes": [1]}}',
        b"\xff",
        b'{"upsert": {"backend": []}}',
        b'{"withdraw": {"membership": []}}',
        call(route())[:-9],
        b'{"upsert": {"routes": [{"name": "x", "edition": "00000001"}]}}',
    ],
)
def test_a_call_that_cannot_be_decoded_is_rejected(body: bytes) -> None:
    assert rejection_of(body) is ErrorKind.BAD_CONFIG


@pytest.mark.parametrize(
    "limits",
    [
        {"label_bytes": -1},
        {"label_bytes": 0},
        {"label_bytes": 1 << 40},
        {"payload_bytes": -1},
        {"payload_bytes": 1 << 60},
        {"label_wait_ms": 0},
        {"label_wait_ms": -3000},
        {"idle_ms": 0},
        {"idle_ms": 1e300},
    ],
)
def test_limits_that_cannot_be_applied_are_rejected(limits: dict[str, Any]) -> None:
    body = {"upsert": {"services": [service("new")], "limits": {"edition": "0000000a", **limits}}}
    with pytest.raises(MeshError, match=next(iter(limits))) as caught:
        read_changes(json.dumps(body).encode())
    assert caught.value.kind is ErrorKind.BAD_CONFIG


def test_limits_of_the_protocols_example_and_small_limits_are_accepted() -> None:
    for limits in ({}, {"label_bytes": 16384, "payload_bytes": 64 << 20}, {"payload_bytes": 0, "idle_ms": 1}):
        [entry] = read_changes(json.dumps({"upsert": {"limits": {"edition": "0000000a", **limits}}}).encode())
        assert entry.kind == "limits"


def test_two_routes_of_one_prefix_are_rejected_in_one_call_and_against_the_items_in_force() -> None:
    assert rejection_of(call(route("a"), route("b", path_prefix="/a/"))) is ErrorKind.BAD_CONFIG
    store = store_with(call(route("a"), services=[service()]))
    assert rejection_of(call(route("b", path_prefix="/a/")), store) is ErrorKind.BAD_CONFIG
    # A call that also withdraws the route in force frees its prefix.
    check_changes(read_changes(call(route("b", path_prefix="/a/"), drop=[{"name": "a", "edition": "00000008"}])), store)


def test_a_service_that_routes_need_cannot_be_withdrawn() -> None:
    store = store_with(call(route(), services=[service()]))
    body = json.dumps({"withdraw": {"services": [{"name": "s", "edition": "00000009"}]}}).encode()
    assert rejection_of(body, store) is ErrorKind.BAD_CONFIG


def test_an_old_change_that_arrives_again_is_accepted_and_changes_nothing() -> None:
    store = store_with(call(route(edition="00000009"), services=[service()]))
    store.merge([Entry("services", "s", 20, None), Entry("routes", "r", 21, None)])
    entries = read_changes(call(route(edition="00000009"), services=[service()]))
    check_changes(entries, store)
    assert store.merge(entries) == []


def test_other_content_under_the_current_edition_is_a_conflict() -> None:
    store = store_with(call(route(), services=[service()]))
    check_changes(read_changes(call(route())), store)  # a call with the same content is a repeat
    assert rejection_of(call(route(deadline_ms=700)), store) is ErrorKind.CONFLICT


def test_one_name_set_and_withdrawn_in_one_call() -> None:
    drop = [{"name": "r", "edition": "00000008"}]
    [entry] = [e for e in read_changes(call(route(edition="00000007"), drop=drop)) if e.name == "r"]
    assert entry.value is None
    [entry] = [e for e in read_changes(call(route(edition="00000009"), drop=drop)) if e.name == "r"]
    assert entry.value is not None
    assert rejection_of(call(route(edition="00000008"), drop=drop)) is ErrorKind.BAD_CONFIG


def test_shares_without_a_finite_sum_are_rejected() -> None:
    for shares in ((1e308, 1e308), (0.0, 0.0), (-1.0, 2.0)):
        split = [{"service": "s", "share": share} for share in shares]
        assert rejection_of(call(route(service=None, split=split))) is ErrorKind.BAD_CONFIG


def test_a_change_that_is_proposed_three_times_fits_into_a_connections_send_buffer() -> None:
    assert 3 * MAX_CALL_BYTES <= MAX_UNSENT_BYTES


def test_an_item_whose_row_no_disk_takes_is_rejected() -> None:
    """Such a row would make every later write of every control node fail."""
    for kind, name in (("é" * 64, "n" * 432), ("notes", "n" * 433), ("notes", "ü" * 217)):
        body = json.dumps({"upsert": {kind: [{"name": name, "edition": "00000001"}]}}).encode()
        with pytest.raises(MeshError) as caught:
            read_changes(body)
        assert caught.value.kind is ErrorKind.BAD_CONFIG
        body = json.dumps({"withdraw": {kind: [{"name": name, "edition": "00000001"}]}}).encode()
        with pytest.raises(MeshError):
            read_changes(body)
    [longest] = read_changes(json.dumps({"upsert": {"n" * 64: [{"name": "n" * 432, "edition": "00000001"}]}}).encode())
    assert len(item_row(longest)) <= MAX_KEY_BYTES
