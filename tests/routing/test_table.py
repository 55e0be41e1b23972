"""The compiled route table compared with a linear search; conflicts; patterns and templates."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.routing.conflicts import find_conflicts
from lugspur.routing.explain import deciding_rule, explain
from lugspur.routing.model import (
    Condition,
    Forward,
    MatchType,
    PatternError,
    RequestView,
    Route,
    parse_pattern,
    parse_template,
)
from lugspur.routing.table import Match, NoMatch, RouteTable, parse_query
from lugspur.routing.target import parse_target

TO = Forward((("p", 1.0),))


def route(name: str, path: str, **more: object) -> Route:
    return Route(name, parse_pattern(path), TO, **more)  # type: ignore[arg-type]


def request_for(target: str, method: str = "GET", host: str = "h", **headers: str) -> RequestView:
    found = parse_target(target.encode(), host.encode())
    return RequestView(method, found, headers, parse_query(found.query))


def chosen(routes: list[Route], request: RequestView) -> str:
    found = RouteTable(routes).find(request)
    return found.route.name if isinstance(found, Match) else "-"


ORDERED = [  # each route takes precedence over those below it where both match
    route("exact host", "/a/b", hosts=("x.example",)),
    route("longer suffix", "/a/b", hosts=("*.x.example",)),
    route("suffix", "/a/b", hosts=("*.example",)),
    route(
        "three conditions",
        "/a/b",
        methods=frozenset({"GET"}),
        headers=(Condition("h", MatchType.EXACT, "1"), Condition("i", MatchType.PRESENT)),
        query=(Condition("q", MatchType.EXACT, "1"),),
    ),
    route(
        "headers",
        "/a/b",
        methods=frozenset({"GET"}),
        headers=(Condition("h", MatchType.PREFIX, "1"), Condition("i", MatchType.PRESENT)),
    ),
    route("header", "/a/b", methods=frozenset({"GET"}), headers=(Condition("h", MatchType.EXACT, "1"),)),
    route("query", "/a/b", methods=frozenset({"GET"}), query=(Condition("q", MatchType.EXACT, "1"),)),
    route("priority", "/a/b", methods=frozenset({"GET"}), priority=1),
    route("method", "/a/b", methods=frozenset({"GET"})),
    route("any method", "/a/b"),
    route("literal then rest", "/a/b/*"),
    route("literal then variable", "/a/{x}"),
    route("variable then literal", "/{x}/b"),
    route("variables", "/{x}/{y}"),
    route("all", "/*"),
]


@pytest.mark.parametrize("index", range(len(ORDERED)))
def test_precedence_does_not_depend_on_the_order_of_the_file(index: int) -> None:
    host = ("x.example", "y.x.example", "z.example", *["h"] * 20)[index]
    request = request_for("/a/b?q=1", host=host, h="1", i="")
    rest = ORDERED[index:]
    assert chosen(rest, request) == chosen(rest[::-1], request) == rest[0].name
    assert explain(rest, request)[0].route is rest[0]


def test_explain_names_the_deciding_rule_and_why_routes_do_not_match() -> None:
    verdicts = {v.route.name: v for v in explain(ORDERED, request_for("/a/b", host="z.example"))}
    winner, loser = verdicts["suffix"].rank, verdicts["any method"].rank
    assert winner is not None and loser is not None and deciding_rule(winner, loser) == "host"
    assert verdicts["exact host"].reason == "host z.example is not x.example"
    assert verdicts["header"].reason == "header h is absent, wanted exact 1"


@pytest.mark.parametrize(
    ("path", "target", "matches"),
    [
        ("/a", "/a", True),
        ("/a", "/a/", False),
        ("/a/", "/a", False),
        ("/a", "/ab", False),
        ("/a/*", "/a", True),
        ("/a/*", "/a/", True),
        ("/a/*", "/a/b/c", True),
        ("/a/*", "/ab", False),
        ("/*", "/", True),
        ("/", "/", True),
        ("/", "/a", False),
        ("/{x}", "/", False),
        ("/{x}", "/a/", False),
        ("/hotels/{id}/rooms/*", "/hotels/7/rooms", True),
        ("/hotels/{id}/rooms/*", "/hotels//rooms", False),
        ("/admin", "/%61dmin", True),
        ("/admin", "/x/../admin", True),
        ("/admin", "/admin;x=1", True),
        ("/admin", "//admin", True),
        ("/Admin", "/admin", False),
        ("/caf\u00e9", "/caf%c3%a9", True),
    ],
)
def test_which_paths_match(path: str, target: str, matches: bool) -> None:
    request = request_for(target)
    assert (chosen([route("r", path)], request) == "r") is matches
    assert parse_pattern(path).matches(request.target.segments) is matches


def test_all_spellings_of_a_path_reach_the_route_of_its_normalized_form() -> None:
    routes = [route("closed", "/admin/*"), route("open", "/*")]
    for spelling in (
        "/admin/x",
        "//admin/x",
        "/./admin/x",
        "/%61dmin/x",
        "/o/%2e%2e/admin/x",
        "/admin;a/x",
        "/admin%3ba/x",
        "/admin/../admin/x",
        "/admin",
    ):
        assert chosen(routes, request_for(spelling)) == "closed"


def test_repeated_parameter_matches_no_condition() -> None:
    routes = [
        route("one", "/", query=(Condition("d", MatchType.EXACT, "1"),)),
        route("none", "/", query=(Condition("d", MatchType.ABSENT),)),
    ]
    assert chosen(routes, request_for("/?d=1")) == "one" and chosen(routes, request_for("/?e=1")) == "none"
    assert chosen(routes, request_for("/?%64=1")) == "one"
    assert chosen(routes, request_for("/?d=1&d=1")) == chosen(routes, request_for("/?d=2&d=1")) == "-"


def test_miss_has_the_methods_that_would_match() -> None:
    routes = [route("r", "/a", methods=frozenset({"GET", "PUT"})), route("s", "/a", methods=frozenset({"POST"}))]
    found = RouteTable(routes).find(request_for("/a", "DELETE"))
    assert isinstance(found, NoMatch) and found.allowed_methods == {"GET", "PUT", "POST"}
    assert RouteTable(routes).find(request_for("/b")) == NoMatch(frozenset())


def test_variables_are_captured_and_filled_in() -> None:
    pattern = parse_pattern("/hotels/{id}/rooms/*")
    found = RouteTable([Route("r", pattern, TO)]).find(request_for("/hotels/a;v=1/rooms/2/x/"))
    assert isinstance(found, Match) and found.captured == {"id": "a;v=1", "=id": "a", "*": "/2/x/"}
    assert parse_template("/v2/{id}/*", pattern).fill(found.captured) == "/v2/a;v=1/2/x/"
    assert parse_template("https://x/{id}?h={id}", pattern).fill(found.captured) == "https://x/a;v=1?h=a;v=1"


@pytest.mark.parametrize(
    "path", ["a", "/a//b", "/a/*/b", "/a*", "/{id}x", "/{}", "/{a}/{a}", "/a;b", "/a?b", "/../a", "/a%2fb", "//*"]
)
def test_invalid_pattern_is_rejected(path: str) -> None:
    with pytest.raises(PatternError):
        parse_pattern(path)


@pytest.mark.parametrize("text", ["/{x}", "/a*", "/*/b", "/a b", "/{id", "/{id}\\", "/{id}#x"])
def test_invalid_template_is_rejected(text: str) -> None:
    with pytest.raises(PatternError):
        parse_template(text, parse_pattern("/{id}/*"))
    with pytest.raises(PatternError):
        parse_template("/*", parse_pattern("/{id}"))


VALUES = st.sampled_from(["1", "2", "12"])
CONDITIONS = st.lists(
    st.builds(Condition, st.sampled_from("ab"), st.sampled_from(MatchType), VALUES),
    max_size=2,
    unique_by=lambda c: c.name,
).map(tuple)
PATHS = (
    st.lists(st.sampled_from(["a", "b", "{x}"]), min_size=1, max_size=3)
    .flatmap(lambda parts: st.sampled_from([parts, [*parts, "*"], ["*"]]))
    .map(lambda parts: "/" + "/".join(f"{{x{n}}}" if p == "{x}" else p for n, p in enumerate(parts)))
)
HOSTS = st.lists(st.sampled_from(["*", "h", "x.h", "*.h", "*.x.h"]), min_size=1, max_size=2, unique=True)
ROUTES = st.lists(
    st.builds(
        lambda path, hosts, methods, headers, query, priority: (
            path,
            dict(hosts=tuple(hosts), methods=frozenset(methods), headers=headers, query=query, priority=priority),
        ),
        PATHS,
        HOSTS,
        st.sets(st.sampled_from(["GET", "POST"]), max_size=1),
        CONDITIONS,
        CONDITIONS,
        st.integers(0, 1),
    ),
    max_size=8,
).map(lambda rows: [route(f"r{n}", path, **more) for n, (path, more) in enumerate(rows)])
REQUESTS = st.builds(
    lambda parts, host, method, headers, query: RequestView(
        method, parse_target(("/" + "/".join(parts)).encode(), host.encode()), headers, query
    ),
    st.lists(st.sampled_from(["a", "b", "c"]), max_size=4),
    st.sampled_from(["h", "x.h", "y.x.h", "z"]),
    st.sampled_from(["GET", "POST"]),
    st.dictionaries(st.sampled_from("ab"), VALUES),
    st.dictionaries(st.sampled_from("ab"), VALUES),
)


@given(ROUTES, st.lists(REQUESTS, max_size=6))
def test_table_agrees_with_a_linear_search(routes: list[Route], requests: list[RequestView]) -> None:
    table = RouteTable(routes)
    for request in requests:
        found, verdicts = table.find(request), explain(routes, request)
        best = verdicts[0] if verdicts and verdicts[0].rank is not None else None
        if isinstance(found, Match):
            assert best is not None and best.route is found.route
        else:
            assert best is None
            allowed = [
                m
                for m in ("GET", "POST")
                if any(v.rank for v in explain(routes, RequestView(m, request.target, request.headers, request.query)))
            ]
            assert sorted(found.allowed_methods) == allowed


@given(ROUTES, st.lists(REQUESTS, max_size=6))
def test_routes_without_a_conflict_never_tie(routes: list[Route], requests: list[RequestView]) -> None:
    tied = {frozenset((a.name, b.name)) for a, b in find_conflicts(routes)}
    for request in requests:
        matching = [v for v in explain(routes, request) if v.rank is not None]
        for one, two in pairwise(matching):
            assert one.rank != two.rank or frozenset((one.route.name, two.route.name)) in tied


def test_conflict_names_both_routes_of_equal_precedence() -> None:
    one = route("one", "/a/{x}", headers=(Condition("h", MatchType.EXACT, "1"),))
    two = route("two", "/a/{y}", headers=(Condition("i", MatchType.EXACT, "1"),))
    assert [(a.name, b.name) for a, b in find_conflicts([one, two])] == [("one", "two")]
    other = route("two", "/a/{y}", headers=(Condition("h", MatchType.EXACT, "2"),))
    assert not list(find_conflicts([one, other]))


def test_conflict_check_of_thousands_of_routes_of_one_path_is_fast() -> None:
    routes = [route(f"r{n}", "/a", headers=(Condition("v", MatchType.EXACT, str(n)),)) for n in range(10_000)]
    routes += [route("again", "/a", headers=(Condition("v", MatchType.EXACT, "77"),))]
    assert [(a.name, b.name) for a, b in find_conflicts(routes)] == [("r77", "again")]
