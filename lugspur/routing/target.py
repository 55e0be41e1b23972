"""The one plain form of what a request asks for: routes are decided on it, and backends see it.

Sources: RFC 9112 3.2 (forms of a target), RFC 3986 3.2, 3.3 and 6.2.2 (authority, path, plain form).

Guards against two readings of one path: what routes decide on must be what the backend acts on. So a path
is made plain first (unreserved characters decoded, dot segments resolved, empty segments merged), sent on in
that form, and refused where servers are known to read it in different ways (encoded slashes, backslashes, dot
segments with parameters). It could harm a backend that tells `/a//b` from `/a/b`, or that wants `%2F` in a
name.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

SEGMENTS_MOST = 64  # of a path: what a table walks through for each request
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PATH_PLAIN = re.compile(rb"/[A-Za-z0-9\-_~!$&'()*+,=:@/.]*")  # no escape, no parameter: most paths
PATH_CHARS = re.compile(rb"[\x21-\x7e]*")
ESCAPED = re.compile(rb"%([0-9A-Fa-f]{2})?")
ENCODED_HERE = re.compile(rb"[\"<>^`{|}]")  # clients send them bare, against RFC 3986 3.3
QUERY = re.compile(rb"[\x21-\x22\x24-\x7e]*")  # printable, no `#`
AUTHORITY = re.compile(rb"(?:([0-9A-Za-z._-]*)|(\[[0-9A-Fa-f:.]+\]))(?::([0-9]{1,5}))?")
ABSOLUTE = re.compile(rb"https?://([^/?#]*)", re.IGNORECASE)
REFUSED = {0x2F: "an encoded slash", 0x5C: "an encoded backslash"}


class TargetError(Exception):
    """A target or host that is not served; its text tells the caller why."""


@dataclass(slots=True, frozen=True)
class Target:
    """What a request asks for, in its plain form."""

    host: str  # lower case, without a port or a dot at the end; empty where none was sent
    authority: bytes  # the host with its port, as it goes on
    path: bytes  # absolute, as it goes on
    segments: tuple[str, ...]  # what routes look at: the path's parts without their parameters
    whole: tuple[str, ...]  # the parts as they go on
    query: bytes | None  # as it came; None where there is no `?`

    @property
    def bytes(self) -> bytes:
        """The origin form."""
        return self.path if self.query is None else self.path + b"?" + self.query


def read_target(target: bytes, host: bytes | None) -> Target:
    """The plain form of a request's target and `Host`; raises TargetError.

    An absolute form's authority replaces `Host` (RFC 9112 3.2.2).
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
    name, authority = read_host(host or b"")
    plain, segments, whole = read_path(path)
    return Target(name, authority, plain, segments, whole, query if mark else None)


def read_host(host: bytes) -> tuple[str, bytes]:
    """A host's plain name, and that with its port; raises TargetError."""
    found = AUTHORITY.fullmatch(host)
    if found is None:
        raise TargetError("the host is malformed")
    name = (found[1] or found[2] or b"").lower()
    if found[1]:
        name = name.removesuffix(b".")  # RFC 3986 3.2.2: the name from the root, which is the same one
        if not name or b".." in name or name.startswith(b".") or name.endswith(b"."):
            raise TargetError("the host is malformed")
    port = found[3]
    if port is not None and int(port) > 65535:
        raise TargetError("the port is malformed")
    return name.decode(), name + b":" + port if port else name


def read_path(path: bytes) -> tuple[bytes, tuple[str, ...], tuple[str, ...]]:
    """A path's plain form, what routes look at of it, and its parts; raises TargetError."""
    if not PATH_PLAIN.fullmatch(path):
        path = _unescape(path)
    if b"/." in path or b"//" in path:
        path = _resolve(path)
    text = path.decode()
    whole = tuple(text[1:].split("/"))
    if len(whole) > SEGMENTS_MOST:
        raise TargetError("the path has too many parts")
    if ";" not in text and "%3B" not in text:
        return path, whole, whole
    return path, tuple(_bare(part) for part in whole), whole


def _unescape(path: bytes) -> bytes:
    if not PATH_CHARS.fullmatch(path) or b"\\" in path:
        raise TargetError("the path has characters that need escapes")
    return ENCODED_HERE.sub(lambda found: b"%%%02X" % found[0][0], ESCAPED.sub(_escape, path))


def _escape(found: re.Match[bytes]) -> bytes:
    if found[1] is None:
        raise TargetError("the path has a broken escape")
    code = int(found[1], 16)
    if code in REFUSED:
        raise TargetError(f"the path has {REFUSED[code]}")
    if code < 0x20 or code == 0x7F:
        raise TargetError("the path has an encoded control character")
    return bytes((code,)) if code in UNRESERVED else b"%%%02X" % code


def _resolve(path: bytes) -> bytes:
    """Without dot segments (RFC 3986 5.2.4) and empty ones; a slash at the end stays."""
    kept: list[bytes] = []
    parts = path[1:].split(b"/")
    for part in parts:
        if part == b"..":
            if not kept:  # Guards what lies beside the root, by whatever a backend makes of it.
                raise TargetError("the path leads out of the root")
            kept.pop()
        elif part not in (b"", b"."):
            kept.append(part)
    if parts[-1] in (b"", b".", b".."):
        kept.append(b"")
    return b"/" + b"/".join(kept)


def _bare(part: str) -> str:
    """A part without its parameters, escaped or not.

    Guards against backends that drop them: `/admin;x` must not reach a route that `/admin` would not.
    """
    bare = re.split(";|%3B", part, maxsplit=1)[0]
    if bare != part and bare in ("", ".", ".."):
        raise TargetError("the path has a part of parameters alone")
    return bare
