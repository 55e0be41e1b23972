"""The compiled route table: finds a request's route in a time that does not grow with the number of routes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

from lugspur.routing.model import (
    ANY_HOST,
    REPEATED_PARAMETER,
    Pattern,
    Rank,
    RequestView,
    Route,
    conditions_match,
    rank,
)


@dataclass(slots=True)
class Node:
    """A node of the prefix tree of path segments."""

    literal: dict[str, Node] = field(default_factory=dict)
    variable: Node | None = None
    exact: list[tuple[Rank, Route]] = field(default_factory=list)  # routes whose path ends here, lowest rank first
    prefix: list[tuple[Rank, Route]] = field(default_factory=list)  # routes whose path ends in `*` after this node

    def entries_for(self, pattern: Pattern) -> list[tuple[Rank, Route]]:
        """Return the list of the routes with that path; adds the nodes that are missing."""
        node = self
        for segment in pattern.segments:
            if segment is not None:
                node = node.literal.setdefault(segment, Node())
            else:
                node.variable = node.variable or Node()
                node = node.variable
        return node.prefix if pattern.is_prefix else node.exact

    def walk(self, segments: tuple[str, ...], index: int = 0) -> Iterator[list[tuple[Rank, Route]]]:
        """Yield the lists of routes that match a path, the more specific first; visits each node at most once."""
        if index < len(segments):
            segment = segments[index]
            child = self.literal.get(segment)
            if child is not None:
                yield from child.walk(segments, index + 1)
            if self.variable is not None and segment:
                yield from self.variable.walk(segments, index + 1)
        elif self.exact:
            yield self.exact
        if self.prefix:
            yield self.prefix


@dataclass(slots=True, frozen=True)
class Match:
    """The route of a request, and the values of the variables in its path."""

    route: Route
    captured: dict[str, str]  # values by name, as `capture` returns them


@dataclass(slots=True, frozen=True)
class NoMatch:
    """No route matches; `allowed_methods` has the methods that would have matched (RFC 9110 15.5.6)."""

    allowed_methods: frozenset[str]


class RouteTable:
    """Routes indexed by host, then by path, then sorted by the precedence that `model.rank` defines."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = tuple(routes)
        self._hosts: dict[str, Node] = {}
        self._has_suffix_hosts = False
        self.reads_query = any(route.query for route in self.routes)
        for route in self.routes:
            for host in route.hosts:
                self._has_suffix_hosts = self._has_suffix_hosts or host.startswith("*.")
                entries = self._hosts.setdefault(host, Node()).entries_for(route.path)
                entries.append((rank(route, host), route))
        for node in self._hosts.values():
            _sort(node)

    def find(self, request: RequestView) -> Match | NoMatch:
        """Return the matching route of the lowest rank, or a NoMatch."""
        method = request.method
        for _, route in self._candidates(request):
            if (not route.methods or method in route.methods) and conditions_match(route, request):
                return Match(route, capture(route.path, request.target.forwarded_segments, request.target.segments))
        allow: set[str] = set()
        for _, route in self._candidates(request):
            if conditions_match(route, request):
                allow |= route.methods
        return NoMatch(frozenset(allow))

    def _candidates(self, request: RequestView) -> Iterator[tuple[Rank, Route]]:
        """Yield the routes whose host and path match, the lowest rank first."""
        for host in self._host_patterns(request.target.host):
            node = self._hosts.get(host)
            if node is not None:
                for entries in node.walk(request.target.segments):
                    yield from entries

    def _host_patterns(self, host: str) -> Iterator[str]:
        """Yield the patterns that match a host, the more specific first."""
        if host:
            yield host
        if self._has_suffix_hosts and not host.startswith("["):
            suffix = host
            while (dot := suffix.find(".")) >= 0:
                suffix = suffix[dot + 1 :]
                yield "*." + suffix
        yield ANY_HOST


def _sort(node: Node) -> None:
    stack = [node]
    while stack:
        node = stack.pop()
        for entries in (node.exact, node.prefix):
            entries.sort(key=lambda entry: (entry[0], entry[1].name))
        stack += node.literal.values()
        if node.variable is not None:
            stack.append(node.variable)


def capture(path: Pattern, forwarded_segments: tuple[str, ...], segments: tuple[str, ...]) -> dict[str, str]:
    """Return the values of the variables in a path.

    A variable's value as it is forwarded is under its name, and without path parameters under `=name`. `*` has the
    remainder of the path with its leading slash, if the pattern ends in `*`.
    """
    captured: dict[str, str] = {}
    indexes = (index for index, segment in enumerate(path.segments) if segment is None)
    for name, index in zip(path.names, indexes, strict=True):
        captured[name] = forwarded_segments[index]
        captured["=" + name] = segments[index]
    if path.is_prefix:
        captured["*"] = "".join("/" + segment for segment in forwarded_segments[len(path.segments) :])
    return captured


def parse_query(query: bytes | None) -> dict[str, str]:
    """Parse a query into parameters by name, for conditions.

    A parameter that is repeated is present, but its value matches no condition on a value: backends differ in
    which of the values they read, so none of them may decide the route.
    """
    found: dict[str, str] = {}
    for name, value in parse_qsl((query or b"").decode("latin-1"), keep_blank_values=True):
        found[name] = REPEATED_PARAMETER if name in found else value
    return found
