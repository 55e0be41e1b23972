"""What a route is: conditions, and what becomes of a request that meets them."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lugspur.routing.target import Target, TargetError, read_path

ANY_HOST = "*"
NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")
HOST = re.compile(r"(\*\.)?[a-z0-9_-]+(\.[a-z0-9_-]+)*|\[[0-9a-f:.]+\]|\*")
LITERAL, VARIABLE, END, REST = range(4)  # a pattern's parts, the more special before the less


class PatternError(ValueError):
    """A path pattern or template that makes no sense; its text tells what to write."""


@dataclass(slots=True, frozen=True)
class Pattern:
    """A path pattern: literal parts, `{name}` for any one part, `*` at the end for any number of them."""

    text: str
    parts: tuple[str | None, ...]  # None: any one part
    names: tuple[str, ...]  # of the parts that are None
    rest: bool  # whether more may follow

    @property
    def rank(self) -> tuple[int, ...]:
        """Its precedence, part by part: the lower one is the more special."""
        kinds = [VARIABLE if part is None else LITERAL for part in self.parts]
        return (*kinds, REST if self.rest else END)

    def matches(self, segments: tuple[str, ...]) -> bool:
        """Whether a path's parts fit; a variable stands for one part that is not empty."""
        if len(segments) < len(self.parts) or (len(segments) > len(self.parts) and not self.rest):
            return False
        return all(seen == part if part is not None else seen for part, seen in zip(self.parts, segments, strict=False))


def read_pattern(text: str) -> Pattern:
    """`/hotels/{id}/rooms/*` as a pattern; raises PatternError.

    Literal parts are taken in their plain form, so `/caf\u00e9` and `/caf%C3%A9` are the same pattern.
    """
    if not text.startswith("/"):
        raise PatternError(f'path "{text}" does not begin with a slash; write "/{text}"')
    parts: list[str | None] = []
    names: list[str] = []
    pieces = text[1:].split("/")
    rest = pieces[-1] == "*"
    for piece in pieces[:-1] if rest else pieces:
        if piece.startswith("{") and piece.endswith("}"):
            names.append(_name(piece[1:-1], names, text))
            parts.append(None)
        else:
            parts.append(_literal(piece, text))
    if "" in parts[:-1] or (rest and "" in parts):
        raise PatternError(f'path "{text}" has an empty part; write a single slash between two parts')
    return Pattern(text, tuple(parts), tuple(names), rest)


def _name(name: str, known: list[str], text: str) -> str:
    if not NAME.fullmatch(name):
        raise PatternError(f'path "{text}": "{{{name}}}" is no name; write letters, as in {{id}}')
    if name in known:
        raise PatternError(f'path "{text}" has {{{name}}} twice; write another name')
    return name


def _literal(piece: str, text: str) -> str:
    if "*" in piece:
        raise PatternError(f'path "{text}": "*" may only stand alone at the end; write {{name}} for one part')
    if "{" in piece or "}" in piece:
        raise PatternError(f'path "{text}": a variable is a whole part; write /{{name}}/')
    if set(piece) & set(";?#"):
        raise PatternError(f'path "{text}" holds one of ;?# which routes never see; leave it out')
    if piece in (".", ".."):
        raise PatternError(f'path "{text}" has a dot segment; write the path that it leads to')
    try:
        escaped = "".join(c if c < "\x7f" else "".join(f"%{b:02X}" for b in c.encode()) for c in piece)
        return read_path(b"/" + escaped.encode())[1][0]
    except TargetError as fault:
        raise PatternError(f'path "{text}": {fault}') from fault


@dataclass(slots=True, frozen=True)
class Template:
    """Where a path or URL leads: text with the `{name}` parts and the `*` rest of a pattern filled in."""

    text: str
    pieces: tuple[str, ...]  # text and, at odd places, names; `*` is the rest

    def fill(self, captured: Mapping[str, str]) -> str:
        """The text for one request; the rest brings its own slash, none where it is empty."""
        return "".join(captured[piece] if at % 2 else piece for at, piece in enumerate(self.pieces))


def read_template(text: str, pattern: Pattern) -> Template:
    """A template that takes its parts from that pattern; raises PatternError."""
    pieces = re.split(r"\{([^{}/]*)\}", text)
    for name in pieces[1::2]:
        if name not in pattern.names:
            known = ", ".join(f"{{{known}}}" for known in pattern.names) or "none"
            raise PatternError(f'"{text}" takes {{{name}}} from a path that has {known}')
    if any(ord(c) < 33 or ord(c) > 126 for c in text) or any(set(p) & set("{}#\\") for p in pieces[::2]):
        raise PatternError(f'"{text}" has characters that a URL can\'t hold; escape them')
    last = pieces[-1]
    if ("*" in last and not last.endswith("/*")) or any("*" in piece for piece in pieces[:-1:2]):
        raise PatternError(f'"{text}": "*" may only stand alone at the end')
    if last.endswith("/*"):
        if not pattern.rest:
            raise PatternError(f'"{text}" takes * from a path that does not end in "/*"')
        pieces[-1:] = [last[:-2], "*", ""]
    return Template(text, tuple(pieces))


TWICE = "\ud800"  # a parameter's value where there are two: no text that a request can hold


class Test(Enum):
    """How a header or query parameter is looked at."""

    __test__ = False  # no test of pytest's

    EXACT = "exact"
    PREFIX = "prefix"
    PRESENT = "present"
    ABSENT = "absent"


@dataclass(slots=True, frozen=True)
class Condition:
    """What a route asks of one header or query parameter."""

    name: str  # a header's in lower case
    test: Test
    value: str = ""

    def holds(self, found: str | None) -> bool:
        """Whether it is met by this value; None: there is none."""
        if found is None:
            return self.test is Test.ABSENT
        if self.test is Test.EXACT:
            return found == self.value
        if self.test is Test.PREFIX:
            return found.startswith(self.value)
        return self.test is Test.PRESENT

    def excludes(self, other: Condition) -> bool:
        """Whether no value meets both; they are of one name."""
        tests = {self.test, other.test}
        if Test.ABSENT in tests:
            return tests != {Test.ABSENT}
        if Test.PRESENT in tests:
            return False
        if tests == {Test.EXACT}:
            return self.value != other.value
        short, long = (self, other) if self.test is Test.PREFIX else (other, self)
        if tests == {Test.PREFIX}:
            return not (short.value.startswith(long.value) or long.value.startswith(short.value))
        return not long.value.startswith(short.value)


@dataclass(slots=True, frozen=True)
class Source:
    """Where a tenant or key is taken from: exactly one of a header, a path variable, a parameter, a text."""

    header: str = ""
    path: str = ""
    query: str = ""
    value: str = ""


@dataclass(slots=True, frozen=True)
class Changes:
    """Header lines to take out and to set, by names in lower case."""

    remove: frozenset[str] = frozenset()
    set: tuple[tuple[str, str], ...] = ()


WITHIN_MOST = 10.0  # seconds: the oldest call that any route may let its reads join


@dataclass(slots=True, frozen=True)
class Join:
    """Identical reads share one call. `within`: how old, in seconds, a call may be for a further read to join it."""

    within: float = 0.1
    ignored: frozenset[bytes] = frozenset()  # headers, in lower case, that say nothing of what is asked
    across: bool = False  # also between tenants


@dataclass(slots=True, frozen=True)
class Forward:
    """Send it to a pool: the splits by weight, then the pools that take over where those have no backend."""

    splits: tuple[tuple[str, float], ...]
    fallback: tuple[str, ...] = ()
    kind: str = ""  # the class; empty: unsafe, with the defaults of a class
    deadline: float | None = None  # seconds; None: that of the class
    tenant: Source | None = None
    key: Source | None = None  # a split is sticky by it
    rewrite: Template | None = None
    request: Changes = Changes()
    response: Changes = Changes()
    join: Join | None = None


@dataclass(slots=True, frozen=True)
class Reply:
    """Answer it here."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class Redirect:
    """Send the caller elsewhere; the query goes along."""

    status: int
    to: Template


@dataclass(slots=True, frozen=True)
class Route:
    """Conditions that must all be met, and what follows. Hosts: exact, `*.suffix`, or `*` for any."""

    name: str
    path: Pattern
    action: Forward | Reply | Redirect
    hosts: tuple[str, ...] = (ANY_HOST,)
    methods: frozenset[str] = frozenset()  # none: any
    headers: tuple[Condition, ...] = ()
    query: tuple[Condition, ...] = ()
    priority: int = 0  # the higher wins between routes that are equal otherwise


@dataclass(slots=True)
class Asked:
    """A request as routes see it: header names in lower case, parameters, and TWICE for one that comes twice."""

    method: str
    target: Target
    headers: Mapping[str, str]
    query: Mapping[str, str] = field(default_factory=dict)


def host_matches(pattern: str, host: str) -> bool:
    """Whether a host pattern fits; `*.suffix` takes any number of labels, one at least."""
    if pattern in (ANY_HOST, host):
        return True
    return pattern.startswith("*.") and host.endswith(pattern[1:]) and len(host) > len(pattern) - 1


def host_rank(pattern: str) -> tuple[int, int]:
    """A host pattern's precedence: exact, then the longer suffix, then any."""
    if pattern == ANY_HOST:
        return 2, 0
    return (1, -pattern.count(".")) if pattern.startswith("*.") else (0, 0)


Rank = tuple[tuple[int, int], tuple[int, ...], int, int, int, int]


def rank(route: Route, host: str) -> Rank:
    """The written precedence of a route by one of its hosts: the lowest of those that match is taken.

    In this order: host, path, a method given, the number of header conditions, that of query conditions, and
    `priority`. It does not depend on the order of the file.
    """
    return (
        host_rank(host),
        route.path.rank,
        0 if route.methods else 1,
        -len(route.headers),
        -len(route.query),
        -route.priority,
    )


def conditions_hold(route: Route, asked: Asked) -> bool:
    """Whether the headers and parameters are as the route wants them."""
    for condition in route.headers:
        if not condition.holds(asked.headers.get(condition.name)):
            return False
    return all(c.holds(asked.query.get(c.name)) for c in route.query)
