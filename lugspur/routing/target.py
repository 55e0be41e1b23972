"""Parses and normalizes request targets: routes are chosen by the normalized form, and backends receive it.

Sources: RFC 9112 3.2 (forms of a target), RFC 3986 3.2, 3.3 and 6.2.2 (authority, path, normalization).

Guards against two interpretations of one path: the path that routes compare must be the one that the backend
acts on. So a path is normalized first (unreserved characters decoded, dot segments resolved, empty segments
merged), forwarded in that form, and rejected where servers are known to interpret it differently (encoded
slashes, backslashes, dot segments with parameters). This can break a backend that distinguishes `/a//b` from
`/a/b`, or that expects `%2F` in a name.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_SEGMENTS = 64  # segments of a path; the route table visits each for every request
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
SIMPLE_PATH = re.compile(rb"/[A-Za-z0-9\-_~!$&'()*+,=:@/.]*")  # without escapes and parameters, as most paths are
PATH_CHARS = re.compile(rb"[\x21-\x7e]*")
ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})?")
UNESCAPED = re.compile(rb"[\"<>^`{|}]")  # clients send these characters without escapes, against RFC 3986 3.3
QUERY = re.compile(rb"[\x21-\x22\x24-\x7e]*")  # printable, no `#`
AUTHORITY = re.compile(rb"(?:([0-9A-Za-z._-]*)|(\[[0-9A-Fa-f:.]+\]))(?::([0-9]{1,5}))?")
ABSOLUTE = re.compile(rb"https?://([^/?#]*)", re.IGNORECASE)
REJECTED_ESCAPES = {0x2F: "an encoded slash", 0x5C: "an encoded backslash"}


class TargetError(Exception):
    """A request target or host is rejected; the message tells the caller why."""


@dataclass(slots=True, frozen=True)
class Target:
    """A normalized request target."""

    host: str  # in lower case, without port and trailing dot; empty if the request has none
    authority: bytes  # the host with its port, as it is forwarded
    path: bytes  # the absolute path, as it is forwarded
    segments: tuple[str, ...]  # segments of the path without their parameters, which routes compare
    forwarded_segments: tuple[str, ...]  # segments of the path as they are forwarded
    query: bytes | None  # as received; None where the target has no `?`

    @property
    def origin_form(self) -> bytes:
        """Return the origin form (RFC 9112 3.2.1)."""
        return self.path if self.query is None else self.path + b"?" + self.query


def parse_target(target: bytes, host: bytes | None) -> Target:
    """Parse and normalize a request's target and `Host`; raises TargetError.

    The authority of a target in absolute form replaces `Host` (RFC 9112 3.2.2).
    """
    if not target.startswith(b"/"):
        found = ABSOLUTE.match(target)
        if found is None:
            raise TargetError("the target is neither a path nor an http URL")
        host, target = found[1], target[found.end() :]
        if not host:
            raise TargetError("the target has no host")
        if not target.startswith(b"/"):
            target = b"/" + target
    path, mark, query = target.partition(b"?")
    if not QUERY.fullmatch(query):
        raise TargetError("the query has characters that need escapes")
    name, authority = parse_host(host or b"")
    normalized, segments, forwarded_segments = parse_path(path)
    return Target(name, authority, normalized, segments, forwarded_segments, query if mark else None)


def parse_host(host: bytes) -> tuple[str, bytes]:
    """Return a host's normalized name, without and with its port; raises TargetError."""
    found = AUTHORITY.fullmatch(host)
    if found is None:
        raise TargetError("the host is malformed")
    name = (found[1] or found[2] or b"").lower()
    if found[1]:
        name = name.removesuffix(b".")  # RFC 3986 3.2.2: a name with a trailing dot is the same host
        if not name or b".." in name or name.startswith(b".") or name.endswith(b"."):
            raise TargetError("the host is malformed")
    port = found[3]
    if port is not None and int(port) > 65535:
        raise TargetError("the port is malformed")
    return name.decode(), name + b":" + port if port else name


def parse_path(path: bytes) -> tuple[bytes, tuple[str, ...], tuple[str, ...]]:
    """Return a normalized path, its segments without and with their parameters; raises TargetError."""
    if not SIMPLE_PATH.fullmatch(path):
        path = _normalize_escapes(path)
    if b"/." in path or b"//" in path:
        path = _remove_dot_segments(path)
    text = path.decode()
    forwarded_segments = tuple(text[1:].split("/"))
    if len(forwarded_segments) > MAX_SEGMENTS:
        raise TargetError("the path has too many parts")
    if ";" not in text and "%3B" not in text:
        return path, forwarded_segments, forwarded_segments
    return path, tuple(_without_parameters(part) for part in forwarded_segments), forwarded_segments


def _normalize_escapes(path: bytes) -> bytes:
    if not PATH_CHARS.fullmatch(path) or b"\\" in path:
        raise TargetError("the path has characters that need escapes")
    return UNESCAPED.sub(lambda found: b"%%%02X" % found[0][0], ESCAPED.sub(_normalize_escape, path))


def _normalize_escape(found: re.Match[bytes]) -> bytes:
    if found[1] is None:
        raise TargetError("the path has a broken escape")
    code = int(found[1], 16)
    if code in REJECTED_ESCAPES:
        raise TargetError(f"the path has {REJECTED_ESCAPES[code]}")
    if code < 0x20 or code == 0x7F:
        raise TargetError("the path has an encoded control character")
    return bytes((code,)) if code in UNRESERVED else b"%%%02X" % code


def _remove_dot_segments(path: bytes) -> bytes:
    """Return the path without dot segments (RFC 3986 5.2.4) and empty segments; a trailing slash is kept."""
    kept: list[bytes] = []
    parts = path[1:].split(b"/")
    for part in parts:
        if part == b"..":
            if not kept:  # Guards files outside the root, whatever a backend would make of such a path.
                raise TargetError("the path leads out of the root")
            kept.pop()
        elif part not in (b"", b"."):
            kept.append(part)
    if parts[-1] in (b"", b".", b".."):
        kept.append(b"")
    return b"/" + b"/".join(kept)


def _without_parameters(part: str) -> str:
    """Return a segment without its parameters, whether their semicolon is escaped or not.

    Guards against backends that drop parameters: `/admin;x` must not reach a route that `/admin` would not.
    """
    bare = re.split(";|%3B", part, maxsplit=1)[0]
    if bare != part and bare in ("", ".", ".."):
        raise TargetError("the path has a part of parameters alone")
    return bare
