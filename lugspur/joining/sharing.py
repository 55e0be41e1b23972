"""Which other callers may get a response, by what its status and headers say. No I/O.

Nothing is stored: a response goes to callers that waited while it was made. The rules are those of shared caches
(RFC 9111 3, 4.1 and 5.2.2), since these also cover collapsed requests (RFC 9111 4).
"""

from __future__ import annotations

from collections.abc import Iterator

from lugspur.joining.keys import PER_ATTEMPT_HEADERS, TENANT, parse_directives
from lugspur.routing.model import CoalescingPolicy

#: The names by which a response varies among equal reads: header names or TENANT. None: it belongs to one caller.
VaryNames = frozenset[bytes] | None

SHARED_BY_ALL: VaryNames = frozenset()
NOT_SHARED: VaryNames = None
#: Statuses that depend on the caller and not on what is requested.
CALLER_STATUSES = frozenset({401, 402, 403, 407, 429})
CALLER_GRPC_STATUSES = frozenset({b"7", b"8", b"16"})  # PERMISSION_DENIED, RESOURCE_EXHAUSTED, UNAUTHENTICATED
UNSHARED_RESPONSE_DIRECTIVES = frozenset({b"private", b"no-store"})  # RFC 9111 5.2.2.7 and 5.2.2.5


def parse_header_lines(head: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the name, in lower case, and the value of each header line."""
    for line in head.splitlines():
        name, _, value = line.partition(b":")
        yield name.strip().lower(), value.strip()


def response_vary_names(status: int, head: bytes, policy: CoalescingPolicy, trailers: bytes = b"") -> VaryNames:
    """Return the names by which a response with these header lines varies among callers whose reads were equal."""
    names = {TENANT} if status in CALLER_STATUSES else set()
    for name, value in parse_header_lines(head + trailers):
        if name == b"set-cookie" or (
            name == b"cache-control" and parse_directives(value) & UNSHARED_RESPONSE_DIRECTIVES
        ):
            return NOT_SHARED
        if name == b"grpc-status" and value in CALLER_GRPC_STATUSES:
            names.add(TENANT)
        if name == b"vary":
            vary = {vary_name.strip().lower() for vary_name in value.split(b",")}
            if b"*" in vary or vary & PER_ATTEMPT_HEADERS:
                return NOT_SHARED
            names |= vary & policy.ignored_headers  # Equal reads have the same values of all other headers.
    return frozenset(names)


def with_request_id(head: bytes, request_id: bytes | None) -> bytes:
    """Return a response's header lines for one of its callers: a request id becomes the caller's, or is removed."""
    if b"x-request-id:" not in head.lower():
        return head
    own = b"" if request_id is None else b"X-Request-ID: %b\r\n" % request_id
    return b"".join(own if line[:13].lower() == b"x-request-id:" else line for line in head.splitlines(keepends=True))
