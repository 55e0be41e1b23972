"""Data model of routes: their conditions, and the action for a request that matches."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lugspur.routing.target import Target, TargetError, parse_path

ANY_HOST = "*"
VARIABLE_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")
HOST_PATTERN = re.compile(r"(\*\.)?[a-z0-9_-]+(\.[a-z0-9_-]+)*|\[[0-9a-f:.]+\]|\*")
LITERAL, VARIABLE, END, REMAINDER = range(4)  # kinds of segments of a pattern, the more specific first


class PatternError(ValueError):
    """A path pattern or template is invalid; the message says what to write."""


@dataclass(slots=True, frozen=True)
class Pattern:
    """A path pattern: literal segments, `{name}` for any one segment, `*` at the end for any number of them."""

    text: str
    segments: tuple[str | None, ...]  # segments; None stands for any one segment
    names: tuple[str, ...]  # names of the variables, one for each None in `segments`
    is_prefix: bool  # whether the pattern ends in `*`, so that further segments may follow

    @property
    def rank(self) -> tuple[int, ...]:
        """Return the precedence, segment by segment; a lower rank is more specific."""
        kinds = [VARIABLE if part is None else LITERAL for part in self.segments]
        return (*kinds, REMAINDER if self.is_prefix else END)

    def matches(self, segments: tuple[str, ...]) -> bool:
        """Return whether the segments of a path match; a variable matches one segment that is not empty."""
        if len(segments) < len(self.segments) or (len(segments) > len(self.segments) and not self.is_prefix):
            return False
        return all(
            segment == part if part is not None else segment
            for part, segment in zip(self.segments, segments, strict=False)
        )


def parse_pattern(text: str) -> Pattern:
    """Parse a pattern such as `/hotels/{id}/rooms/*`; raises PatternError.

    Literal segments are normalized, so `/caf\u00e9` and `/caf%C3%A9` are the same pattern.
    """
    if not text.startswith("/"):
        raise PatternError(f'path "{text}" does not begin with a slash; write "/{text}"')
    parts: list[str | None] = []
    names: list[str] = []
    pieces = text[1:].split("/")
    rest = pieces[-1] == "*"
    for piece in pieces[:-1] if rest else pieces:
        if piece.startswith("{") and piece.endswith("}"):
            names.append(_parse_variable_name(piece[1:-1], names, text))
            parts.append(None)
        else:
            parts.append(_parse_literal(piece, text))
    if "" in parts[:-1] or (rest and "" in parts):
        raise PatternError(f'path "{text}" has an empty segment; write a single slash between two segments')
    return Pattern(text, tuple(parts), tuple(names), rest)


def _parse_variable_name(name: str, known: list[str], text: str) -> str:
    if not VARIABLE_NAME.fullmatch(name):
        raise PatternError(f'path "{text}": "{{{name}}}" is not a valid name; write letters, as in {{id}}')
    if name in known:
        raise PatternError(f'path "{text}" has {{{name}}} twice; write another name')
    return name


def _parse_literal(piece: str, text: str) -> str:
    if "*" in piece:
        raise PatternError(f'path "{text}": "*" is allowed only alone at the end; write {{name}} for one segment')
    if "{" in piece or "}" in piece:
        raise PatternError(f'path "{text}": a variable must be a whole segment; write /{{name}}/')
    if set(piece) & set(";?#"):
        raise PatternError(f'path "{text}" has one of ;?# which routes never match; leave it out')
    if piece in (".", ".."):
        raise PatternError(f'path "{text}" has a dot segment; write the resolved path')
    try:
        escaped = "".join(c if c < "\x7f" else "".join(f"%{b:02X}" for b in c.encode()) for c in piece)
        return parse_path(b"/" + escaped.encode())[1][0]
    except TargetError as fault:
        raise PatternError(f'path "{text}": {fault}') from fault


@dataclass(slots=True, frozen=True)
class Template:
    """A path or URL in which `{name}` and a final `*` stand for what a pattern captured."""

    text: str
    pieces: tuple[str, ...]  # literal text at even indexes, names at odd ones; `*` is the captured remainder

    def fill(self, captured: Mapping[str, str]) -> str:
        """Return the text for one request; the remainder starts with a slash unless it is empty."""
        return "".join(captured[piece] if index % 2 else piece for index, piece in enumerate(self.pieces))


def parse_template(text: str, pattern: Pattern) -> Template:
    """Parse a template whose variables are those of the pattern; raises PatternError."""
    pieces = re.split(r"\{([^{}/]*)\}", text)
    for name in pieces[1::2]:
        if name not in pattern.names:
            known = ", ".join(f"{{{known}}}" for known in pattern.names) or "none"
            raise PatternError(f'"{text}" uses {{{name}}}, but the variables of the path are: {known}')
    if any(ord(c) < 33 or ord(c) > 126 for c in text) or any(set(p) & set("{}#\\") for p in pieces[::2]):
        raise PatternError(f'"{text}" has characters that are not allowed in a URL; escape them')
    last = pieces[-1]
    if ("*" in last and not last.endswith("/*")) or any("*" in piece for piece in pieces[:-1:2]):
        raise PatternError(f'"{text}": "*" is allowed only alone at the end')
    if last.endswith("/*"):
        if not pattern.is_prefix:
            raise PatternError(f'"{text}" uses *, but the path does not end in "/*"')
        pieces[-1:] = [last[:-2], "*", ""]
    return Template(text, tuple(pieces))


REPEATED_PARAMETER = "\ud800"  # stands for the value of a repeated parameter: no request can contain this text


class MatchType(Enum):
    """How a header or query parameter is compared."""

    EXACT = "exact"
    PREFIX = "prefix"
    PRESENT = "present"
    ABSENT = "absent"


@dataclass(slots=True, frozen=True)
class Condition:
    """A route's condition on one header or query parameter."""

    name: str  # in lower case for a header
    match_type: MatchType
    value: str = ""

    def matches(self, found: str | None) -> bool:
        """Return whether this value meets the condition; None means that the header or parameter is absent."""
        if found is None:
            return self.match_type is MatchType.ABSENT
        if self.match_type is MatchType.EXACT:
            return found == self.value
        if self.match_type is MatchType.PREFIX:
            return found.startswith(self.value)
        return self.match_type is MatchType.PRESENT

    def excludes(self, other: Condition) -> bool:
        """Return whether no value meets both conditions, which have the same name."""
        tests = {self.match_type, other.match_type}
        if MatchType.ABSENT in tests:
            return tests != {MatchType.ABSENT}
        if MatchType.PRESENT in tests:
            return False
        if tests == {MatchType.EXACT}:
            return self.value != other.value
        short, long = (self, other) if self.match_type is MatchType.PREFIX else (other, self)
        if tests == {MatchType.PREFIX}:
            return not (short.value.startswith(long.value) or long.value.startswith(short.value))
        return not long.value.startswith(short.value)


@dataclass(slots=True, frozen=True)
class ValueSource:
    """Where a tenant or key comes from; exactly one field is set.

    The fields name a header, a path variable or a query parameter, or hold a constant.
    """

    header: str = ""
    path: str = ""
    query: str = ""
    value: str = ""


@dataclass(slots=True, frozen=True)
class HeaderChanges:
    """Header fields to remove and to set, by names in lower case."""

    remove: frozenset[str] = frozenset()
    set: tuple[tuple[str, str], ...] = ()


MAX_COALESCING_AGE_SECONDS = 10.0  # the greatest age of a call that a route may allow a read to join


@dataclass(slots=True, frozen=True)
class CoalescingPolicy:
    """Request coalescing: identical reads share one call."""

    max_age_seconds: float = 0.1  # the greatest age of a call that a further read may join
    ignored_headers: frozenset[bytes] = frozenset()  # headers, in lower case, that do not distinguish two reads
    across_tenants: bool = False  # whether reads of different tenants share calls too


@dataclass(slots=True, frozen=True)
class Forward:
    """Forward the request to a pool."""

    splits: tuple[tuple[str, float], ...]  # pools and their weights
    fallback: tuple[str, ...] = ()  # pools for when those of `splits` have no usable backend, in order
    class_name: str = ""  # of the request class; empty: unsafe to retry, with the defaults of a class
    deadline: float | None = None  # seconds; None: the deadline of the class
    tenant: ValueSource | None = None
    key: ValueSource | None = None  # requests with the same key go to the same pool of `splits`
    rewrite: Template | None = None
    request: HeaderChanges = HeaderChanges()
    response: HeaderChanges = HeaderChanges()
    coalescing: CoalescingPolicy | None = None


@dataclass(slots=True, frozen=True)
class DirectResponse:
    """Respond from the proxy itself, without a backend."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class Redirect:
    """Redirect the caller to another URL; the query is kept."""

    status: int
    location: Template


@dataclass(slots=True, frozen=True)
class Route:
    """Conditions, all of which a request must meet, and the action for requests that do."""

    name: str
    path: Pattern
    action: Forward | DirectResponse | Redirect
    hosts: tuple[str, ...] = (ANY_HOST,)  # host patterns, one of which must match: exact, `*.suffix`, or `*` for any
    methods: frozenset[str] = frozenset()  # empty: any method
    headers: tuple[Condition, ...] = ()
    query: tuple[Condition, ...] = ()
    priority: int = 0  # the higher priority wins between routes that are otherwise equal


@dataclass(slots=True)
class RequestView:
    """The parts of a request that routes compare.

    Header names are in lower case; the value of a query parameter that is repeated is REPEATED_PARAMETER.
    """

    method: str
    target: Target
    headers: Mapping[str, str]
    query: Mapping[str, str] = field(default_factory=dict)


def host_matches(pattern: str, host: str) -> bool:
    """Return whether a host pattern matches; the `*` of `*.suffix` stands for one or more labels."""
    if pattern in (ANY_HOST, host):
        return True
    return pattern.startswith("*.") and host.endswith(pattern[1:]) and len(host) > len(pattern) - 1


def host_rank(pattern: str) -> tuple[int, int]:
    """Return a host pattern's precedence: exact, then the longer suffix, then any host."""
    if pattern == ANY_HOST:
        return 2, 0
    return (1, -pattern.count(".")) if pattern.startswith("*.") else (0, 0)


Rank = tuple[tuple[int, int], tuple[int, ...], int, int, int, int]


def rank(route: Route, host: str) -> Rank:
    """Return the precedence of a route by one of its hosts; of the routes that match, the lowest rank is chosen.

    It compares, in this order: host, path, whether methods are given, the number of header conditions, the number
    of query conditions, and `priority`. It does not depend on the order of routes in the file.
    """
    return (
        host_rank(host),
        route.path.rank,
        0 if route.methods else 1,
        -len(route.headers),
        -len(route.query),
        -route.priority,
    )


def conditions_match(route: Route, request: RequestView) -> bool:
    """Return whether the request meets the route's conditions on headers and query parameters."""
    for condition in route.headers:
        if not condition.matches(request.headers.get(condition.name)):
            return False
    return all(c.matches(request.query.get(c.name)) for c in route.query)
