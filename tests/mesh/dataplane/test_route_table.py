"""The lookup of a request's route, changes of routes, and traffic splits."""

from __future__ import annotations

from random import Random

from meshcalls import call, route

from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.dataplane.route_table import RouteTable


def table(*routes: dict[str, object]) -> RouteTable:
    route_table = RouteTable()
    for entry in read_changes(call(*routes)):
        route_table.apply(entry)
    return route_table


def name(routes: RouteTable, target: bytes, host: bytes = b"a.example") -> str | None:
    entry = routes.find(host, target)
    return None if entry is None else entry.name


def test_the_longest_prefix_of_the_host_wins() -> None:
    routes = table(
        route("short", path_prefix="/a/"),
        route("long", path_prefix="/a/b/"),
        route("other", path_prefix="/a/b/c/", office="b.example"),
        route("all", path_prefix="/"),
    )
    assert name(routes, b"/a/b/c/1") == "long"
    assert name(routes, b"/a/b/") == "long"
    assert name(routes, b"/a/b") == "short"  # The path lacks the trailing slash of the longer prefix.
    assert name(routes, b"/a/x?p=/a/b/") == "short"
    assert name(routes, b"/z") == "all"
    assert name(routes, b"/a/b/c/1", b"B.Example:8080") == "other"
    assert name(routes, b"/z", b"b.example") is None and name(routes, b"/z", b"") is None


def test_a_route_that_is_moved_or_withdrawn_frees_its_prefix() -> None:
    routes = table(route("r"))
    for entry in read_changes(call(route("r", "00000009", path_prefix="/new/"))):
        routes.apply(entry)
    assert (name(routes, b"/r/1"), name(routes, b"/new/1")) == (None, "r")
    routes.apply(Entry("routes", "r", 10, None))
    assert name(routes, b"/new/1") is None and len(routes) == 0


def test_a_route_that_passes_to_another_service_keeps_no_latency_of_the_former_one() -> None:
    routes = table(route("r", service="rooms"))
    former = routes.find(b"a.example", b"/r/1")
    assert former is not None
    former.record_latency(2.0)
    for edition, service, latency in (("00000008", "rooms", 2.0), ("00000009", "desk", 0.0)):
        for entry in read_changes(call(route("r", edition, service=service))):
            routes.apply(entry)
        current = routes.find(b"a.example", b"/r/1")
        assert current is not None and current.average_latency == latency


def test_of_two_routes_with_one_prefix_every_proxy_prefers_the_same() -> None:
    one, two = route("a", "00000008", path_prefix="/p/"), route("b", "00000007", path_prefix="/p/")
    assert name(table(one, two), b"/p/") == name(table(two, one), b"/p/") == "a"
    routes = table(one, two)
    routes.apply(Entry("routes", "a", 9, None))
    assert name(routes, b"/p/") == "b"


def test_a_split_is_drawn_by_its_weights() -> None:
    routes = table(
        route(
            "r",
            service=None,
            split=[{"service": "s", "share": 90}, {"service": "t", "share": 10}, {"service": "u", "share": 0}],
        )
    )
    entry, rng = routes.find(b"a.example", b"/r/"), Random(1)
    assert entry is not None
    drawn = [entry.draw_service(rng) for _ in range(2000)]
    assert 0.07 < drawn.count("t") / 2000 < 0.13 and "u" not in drawn
