"""Who else may have an answer, by what it says of itself. Sans I/O.

Nothing is stored: an answer goes to callers that waited while it was made. The words are those of shared caches
(RFC 9111 3, 4.1 and 5.2.2), since collapsed requests are theirs (RFC 9111 4).
"""

from __future__ import annotations

from collections.abc import Iterator

from lugspur.joining.keys import OF_ONE_TRY, TENANT, directives
from lugspur.routing.model import CoalescingPolicy

#: By what an answer differs among those who asked alike: nothing, some header names, or None: it is one caller's.
Depends = frozenset[bytes] | None

EVERYONE: Depends = frozenset()
NOBODY: Depends = None
OF_THE_CALLER = frozenset({401, 402, 403, 407, 429})  # speak of who asks, not of what is asked
GRPC_OF_THE_CALLER = frozenset({b"7", b"8", b"16"})  # PERMISSION_DENIED, RESOURCE_EXHAUSTED, UNAUTHENTICATED
FORBID = frozenset({b"private", b"no-store"})  # RFC 9111 5.2.2.7 and 5.2.2.5


def fields_of(head: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Header lines by their names in lower case."""
    for line in head.splitlines():
        name, _, value = line.partition(b":")
        yield name.strip().lower(), value.strip()


def depends(status: int, head: bytes, join: CoalescingPolicy, trailers: bytes = b"") -> Depends:
    """By what an answer with these header lines differs among those whose reads were the same."""
    names = {TENANT} if status in OF_THE_CALLER else set()
    for name, value in fields_of(head + trailers):
        if name == b"set-cookie" or (name == b"cache-control" and directives(value) & FORBID):
            return NOBODY
        if name == b"grpc-status" and value in GRPC_OF_THE_CALLER:
            names.add(TENANT)
        if name == b"vary":
            wanted = {word.strip().lower() for word in value.split(b",")}
            if b"*" in wanted or wanted & OF_ONE_TRY:
                return NOBODY
            names |= wanted & join.ignored_headers  # the others are the same anyway
    return frozenset(names)


def worded_for(head: bytes, rid: bytes | None) -> bytes:
    """An answer's header lines for one of several callers: a request id in them is its own, or gone."""
    if b"x-request-id:" not in head.lower():
        return head
    own = b"" if rid is None else b"X-Request-ID: %b\r\n" % rid
    return b"".join(own if line[:13].lower() == b"x-request-id:" else line for line in head.splitlines(keepends=True))
