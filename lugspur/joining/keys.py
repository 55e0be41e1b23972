"""Which reads are the same, and what tells them apart all the same. Sans I/O."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TYPE_CHECKING

from lugspur.routing.model import CoalescingPolicy

if TYPE_CHECKING:
    from lugspur.interfaces import Request

TENANT = b":tenant"  # stands beside header names, which never begin so
BODY_MOST = 16 << 10  # bytes of a body that a read may be known by: it is compared with those of others

#: Headers that say nothing of what is asked: they name one try, hop or trace, where it came from, or give a hint. An
#: answer that depends on one of them is its caller's alone.
OF_ONE_TRY = frozenset(
    {
        b"x-request-id",
        b"x-timeout",
        b"grpc-timeout",
        b"x-retried",
        b"x-cost",
        b"traceparent",
        b"tracestate",
        b"x-forwarded-for",
        b"x-real-ip",
        b"forwarded",
        b"via",
        b"connection",
        b"keep-alive",
        b"te",
        b"expect",
        b"content-length",
        b"transfer-encoding",
    }
)
#: Words of a request's Cache-Control by which its caller asks for a call of its own (RFC 9111 5.2.1).
OF_ITS_OWN = frozenset({b"no-cache", b"no-store", b"max-age=0"})


def directives(value: bytes) -> set[bytes]:
    """The words of a Cache-Control line in lower case, those with an argument both with it and without."""
    words = {word.strip().lower() for word in value.split(b",")}
    return words | {word.partition(b"=")[0] for word in words}


def key_of(request: Request, sent: Request, route: Hashable, tenant: str, join: CoalescingPolicy) -> Hashable | None:
    """What all reads have in common that may share one call; None: this one wants its own.

    `request` is as it came and `sent` as it goes on; `route` stands for everything that the file says of it. All
    headers count but those of one try, those that the route ignores, and those that it takes out.
    """
    headers = request.headers
    cached = directives(headers.get(b"cache-control", b""))
    if len(sent.body) > BODY_MOST or cached & OF_ITS_OWN or headers.get(b"pragma", b"").lower() == b"no-cache":
        return None
    fields = frozenset(
        field for field in headers.items() if field[0] not in OF_ONE_TRY and field[0] not in join.ignored_headers
    )
    return (
        route,
        "" if join.across_tenants else tenant,
        sent.method,
        sent.target,
        fields,
        sent.body,
        sent.grpc_form is not None,
    )


def told_of(request: Request, tenant: str, join: CoalescingPolicy) -> Mapping[bytes, bytes]:
    """What a read says where the route does not ask: by it those are told apart whose answers turn out to differ."""
    told = {name: request.headers[name] for name in join.ignored_headers if name in request.headers}
    told[TENANT] = tenant.encode("utf-8", "surrogatepass")
    return told
