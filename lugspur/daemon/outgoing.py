"""Rewriting of requests for backends and of response headers for callers, by RFC 9110 and by the route."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from functools import lru_cache
from secrets import token_hex

from lugspur.interfaces import Request
from lugspur.routing.model import Forward, HeaderChanges, ValueSource
from lugspur.routing.table import Match
from lugspur.routing.target import Target

REQUEST_ID_PATTERN = re.compile(rb"[\x21-\x7e]{1,128}")
VIA = b"Via: 1.1 lugspur\r\n"  # RFC 9110 7.6.3
FORWARDING_HEADERS = frozenset(  # accepted from trusted callers only, since they say where a request came from
    {b"forwarded", b"x-forwarded-host", b"x-forwarded-port", b"x-forwarded-prefix", b"x-real-ip"}
)


class Headers(Mapping[str, str]):
    """A request's headers as text; only those that a route uses are decoded."""

    def __init__(self, raw: Mapping[bytes, bytes]) -> None:
        self._raw = raw

    def __getitem__(self, name: str) -> str:
        return self._raw[name.encode()].decode("latin-1")

    def __iter__(self) -> Iterator[str]:
        return (name.decode("latin-1") for name in self._raw)

    def __len__(self) -> int:
        return len(self._raw)


def build_upstream_request(
    request: Request, target: Target, match: Match, forward: Forward, peer: str, is_trusted: bool
) -> Request:
    """Return the request for backends: with the route's path and header changes, and the headers that proxies add."""
    path = target.origin_form
    if forward.rewrite is not None:
        path = forward.rewrite.fill(match.captured).encode() or b"/"
        path += b"" if target.query is None else b"?" + target.query
    removed, lines = _headers_to_remove(forward.request.remove, is_trusted), request.lines
    if not removed.isdisjoint(request.headers):
        lines = [line for line in lines if line.partition(b":")[0].lower() not in removed]
    get = request.headers.get
    request_id = get(b"x-request-id", b"")
    forwarded_for, scheme = get(b"x-forwarded-for", b""), get(b"x-forwarded-proto", b"")
    added_lines = b"Host: %b\r\nX-Request-ID: %b\r\nX-Forwarded-For: %b\r\nX-Forwarded-Proto: %b\r\n%b" % (
        target.authority,
        request_id if REQUEST_ID_PATTERN.fullmatch(request_id) else token_hex(8).encode(),
        forwarded_for + b", " + peer.encode() if is_trusted and forwarded_for else peer.encode(),
        scheme if is_trusted and scheme else b"http",
        VIA,
    )
    route_lines = [f"{key}: {value}\r\n".encode() for key, value in forward.request.set]
    return Request(
        request.method,
        path,
        request.headers,
        [*lines, added_lines, *route_lines],
        request.body,
        request.arrived,
        request.keep_alive,
        request.configuration,
        request.grpc_form,
        request.stream,
        request.ended,
        request.is_http10,
    )


@lru_cache(maxsize=1024)
def _headers_to_remove(remove: frozenset[str], is_trusted: bool) -> frozenset[bytes]:
    """Return the names of the caller's headers that are not forwarded."""
    names = frozenset(name.encode() for name in remove)
    return names if is_trusted else names | FORWARDING_HEADERS


def change_headers(head: bytes, changes: HeaderChanges) -> bytes:
    """Return a response's header lines with the route's changes."""
    if not changes.remove:
        return head
    removed = {name.encode() for name in changes.remove}
    lines = [line for line in head.splitlines(keepends=True) if line.partition(b":")[0].lower() not in removed]
    lines += (f"{key}: {value}\r\n".encode() for key, value in changes.set)
    return b"".join(lines)


def extract_value(
    source: ValueSource, headers: Mapping[str, str], query: Mapping[str, str], captured: Mapping[str, str]
) -> str:
    """Return the value of a tenant's or key's source in this request; empty if the request has none."""
    if source.header:
        return headers.get(source.header, "")
    if source.path:
        return captured["=" + source.path]
    if source.query:
        return query.get(source.query, "")
    return source.value
