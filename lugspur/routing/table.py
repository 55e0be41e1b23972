"""The compiled table: which route takes a request, in a time that does not grow with their number."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

from lugspur.routing.model import ANY_HOST, TWICE, Asked, Pattern, Rank, Route, conditions_hold, rank


@dataclass(slots=True)
class Node:
    """A place in the tree of path parts."""

    literal: dict[str, Node] = field(default_factory=dict)
    variable: Node | None = None
    ends: list[tuple[Rank, Route]] = field(default_factory=list)  # routes whose path ends here, best first
    rests: list[tuple[Rank, Route]] = field(default_factory=list)  # routes whose path may go on

    def place(self, pattern: Pattern) -> list[tuple[Rank, Route]]:
        """Where routes of that path are kept; made if need be."""
        node = self
        for part in pattern.parts:
            if part is not None:
                node = node.literal.setdefault(part, Node())
            else:
                node.variable = node.variable or Node()
                node = node.variable
        return node.rests if pattern.rest else node.ends

    def walk(self, segments: tuple[str, ...], at: int = 0) -> Iterator[list[tuple[Rank, Route]]]:
        """The lists that fit a path, the more special first; each place is looked at once at most."""
        if at < len(segments):
            part = segments[at]
            found = self.literal.get(part)
            if found is not None:
                yield from found.walk(segments, at + 1)
            if self.variable is not None and part:
                yield from self.variable.walk(segments, at + 1)
        elif self.ends:
            yield self.ends
        if self.rests:
            yield self.rests


@dataclass(slots=True, frozen=True)
class Match:
    """The route that takes a request, and what its path's variables stand for."""

    route: Route
    captured: dict[str, str]  # as they go on; `*` is the rest, with its slash


@dataclass(slots=True, frozen=True)
class Miss:
    """No route takes it; `allow` has the methods that would have been taken (RFC 9110 15.5.6)."""

    allow: frozenset[str]


class Table:
    """Routes by host, then path, then the rest of the precedence that `model.rank` states."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = tuple(routes)
        self._hosts: dict[str, Node] = {}
        self._suffixes = False
        self.reads_query = any(route.query for route in self.routes)
        for route in self.routes:
            for host in route.hosts:
                self._suffixes = self._suffixes or host.startswith("*.")
                place = self._hosts.setdefault(host, Node()).place(route.path)
                place.append((rank(route, host), route))
        for node in self._hosts.values():
            _sort(node)

    def find(self, asked: Asked) -> Match | Miss:
        """The route of the lowest rank that matches."""
        method = asked.method
        for _, route in self._fitting(asked):
            if (not route.methods or method in route.methods) and conditions_hold(route, asked):
                return Match(route, capture(route.path, asked.target.whole, asked.target.segments))
        allow: set[str] = set()
        for _, route in self._fitting(asked):
            if conditions_hold(route, asked):
                allow |= route.methods
        return Miss(frozenset(allow))

    def _fitting(self, asked: Asked) -> Iterator[tuple[Rank, Route]]:
        """Routes whose host and path fit, the best first."""
        for host in self._names(asked.target.host):
            node = self._hosts.get(host)
            if node is not None:
                for place in node.walk(asked.target.segments):
                    yield from place

    def _names(self, host: str) -> Iterator[str]:
        """The patterns that a host fits, the more special first."""
        if host:
            yield host
        if self._suffixes and not host.startswith("["):
            rest = host
            while (dot := rest.find(".")) >= 0:
                rest = rest[dot + 1 :]
                yield "*." + rest
        yield ANY_HOST


def _sort(node: Node) -> None:
    stack = [node]
    while stack:
        node = stack.pop()
        for place in (node.ends, node.rests):
            place.sort(key=lambda entry: (entry[0], entry[1].name))
        stack += node.literal.values()
        if node.variable is not None:
            stack.append(node.variable)


def capture(path: Pattern, whole: tuple[str, ...], segments: tuple[str, ...]) -> dict[str, str]:
    """What a path's variables stand for, whole as they go on, and under `=name` without their parameters."""
    captured: dict[str, str] = {}
    places = (at for at, part in enumerate(path.parts) if part is None)
    for name, at in zip(path.names, places, strict=True):
        captured[name] = whole[at]
        captured["=" + name] = segments[at]
    if path.rest:
        captured["*"] = "".join("/" + part for part in whole[len(path.parts) :])
    return captured


def read_query(query: bytes | None) -> dict[str, str]:
    """Parameters by name, for conditions.

    One that comes twice is there and has no value that could be asked for: backends differ in which of the
    two they read, so neither may choose a route.
    """
    found: dict[str, str] = {}
    for name, value in parse_qsl((query or b"").decode("latin-1"), keep_blank_values=True):
        found[name] = TWICE if name in found else value
    return found
