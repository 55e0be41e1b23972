"""What goes on to a backend, and what comes back to a caller: header lines by RFC 9110 and by the route."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from functools import lru_cache
from secrets import token_hex

from lugspur.routing.model import Forward, HeaderChanges, ValueSource
from lugspur.routing.table import Match
from lugspur.routing.target import Target
from lugspur.seams import Request

ID = re.compile(rb"[\x21-\x7e]{1,128}")
VIA = b"Via: 1.1 lugspur\r\n"  # RFC 9110 7.6.3
CLAIMS = frozenset(  # what only a trusted caller may say of where a request came from
    {b"forwarded", b"x-forwarded-host", b"x-forwarded-port", b"x-forwarded-prefix", b"x-real-ip"}
)


class Headers(Mapping[str, str]):
    """A request's headers as text, read only where a route asks for one."""

    def __init__(self, raw: Mapping[bytes, bytes]) -> None:
        self._raw = raw

    def __getitem__(self, name: str) -> str:
        return self._raw[name.encode()].decode("latin-1")

    def __iter__(self) -> Iterator[str]:
        return (name.decode("latin-1") for name in self._raw)

    def __len__(self) -> int:
        return len(self._raw)


def outgoing(request: Request, target: Target, match: Match, forward: Forward, peer: str, trusts: bool) -> Request:
    """The request as backends see it: by the route's path and header changes, with what a proxy adds."""
    path = target.origin_form
    if forward.rewrite is not None:
        path = forward.rewrite.fill(match.captured).encode() or b"/"
        path += b"" if target.query is None else b"?" + target.query
    dropped, lines = _dropped(forward.request.remove, trusts), request.lines
    if not dropped.isdisjoint(request.headers):
        lines = [line for line in lines if line.partition(b":")[0].lower() not in dropped]
    get = request.headers.get
    name = get(b"x-request-id", b"")
    came, scheme = get(b"x-forwarded-for", b""), get(b"x-forwarded-proto", b"")
    added = b"Host: %b\r\nX-Request-ID: %b\r\nX-Forwarded-For: %b\r\nX-Forwarded-Proto: %b\r\n%b" % (
        target.authority,
        name if ID.fullmatch(name) else token_hex(8).encode(),
        came + b", " + peer.encode() if trusts and came else peer.encode(),
        scheme if trusts and scheme else b"http",
        VIA,
    )
    more = [f"{key}: {value}\r\n".encode() for key, value in forward.request.set]
    return Request(
        request.method,
        path,
        request.headers,
        [*lines, added, *more],
        request.body,
        request.arrived,
        request.keep_alive,
        request.terms,
        request.form,
        request.stream,
        request.ended,
        request.old,
    )


@lru_cache(maxsize=1024)
def _dropped(remove: frozenset[str], trusts: bool) -> frozenset[bytes]:
    """Which of a caller's header lines go no further."""
    gone = frozenset(name.encode() for name in remove)
    return gone if trusts else gone | CLAIMS


def changed(head: bytes, changes: HeaderChanges) -> bytes:
    """An answer's header lines after the route's changes."""
    if not changes.remove:
        return head
    gone = {name.encode() for name in changes.remove}
    lines = [line for line in head.splitlines(keepends=True) if line.partition(b":")[0].lower() not in gone]
    lines += (f"{key}: {value}\r\n".encode() for key, value in changes.set)
    return b"".join(lines)


def drawn(
    source: ValueSource, headers: Mapping[str, str], query: Mapping[str, str], captured: Mapping[str, str]
) -> str:
    """What a tenant's or key's source says for this request; empty where it says nothing."""
    if source.header:
        return headers.get(source.header, "")
    if source.path:
        return captured["=" + source.path]
    if source.query:
        return query.get(source.query, "")
    return source.value
