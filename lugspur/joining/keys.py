"""The key that equal reads have in common, and the values by which their responses may still vary. No I/O."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TYPE_CHECKING

from lugspur.routing.model import CoalescingPolicy

if TYPE_CHECKING:
    from lugspur.interfaces import Request

#: Stands for the tenant among header names, which never begin with a colon.
TENANT = b":tenant"
#: The largest request body that a key may contain: keys are compared with each other, body included.
MAX_KEY_BODY_BYTES = 16 << 10

#: Headers that do not affect what is requested: they identify one attempt, hop or trace, tell where it came from, or
#: give a hint. A response that varies by one of them belongs to its caller alone.
PER_ATTEMPT_HEADERS = frozenset(
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
#: Directives of a request's Cache-Control by which its caller demands a call of its own (RFC 9111 5.2.1).
UNSHARED_CALL_DIRECTIVES = frozenset({b"no-cache", b"no-store", b"max-age=0"})


def parse_directives(value: bytes) -> set[bytes]:
    """Return the directives of a Cache-Control line in lower case, those with an argument both with it and without."""
    directives = {directive.strip().lower() for directive in value.split(b",")}
    return directives | {directive.partition(b"=")[0] for directive in directives}


def coalescing_key(
    request: Request, sent: Request, route: Hashable, tenant: str, policy: CoalescingPolicy
) -> Hashable | None:
    """Return the key of all reads that may share one call with this one, or None if it needs a call of its own.

    `request` is the request as received and `sent` as it will be forwarded; `route` stands for everything that the
    configuration says of the route. All headers count except those of a single attempt and those that the route
    ignores or removes.
    """
    headers = request.headers
    directives = parse_directives(headers.get(b"cache-control", b""))
    if (
        len(sent.body) > MAX_KEY_BODY_BYTES
        or directives & UNSHARED_CALL_DIRECTIVES
        or headers.get(b"pragma", b"").lower() == b"no-cache"
    ):
        return None
    fields = frozenset(
        field
        for field in headers.items()
        if field[0] not in PER_ATTEMPT_HEADERS and field[0] not in policy.ignored_headers
    )
    return (
        route,
        "" if policy.across_tenants else tenant,
        sent.method,
        sent.target,
        fields,
        sent.body,
        sent.grpc_form is not None,
    )


def selecting_values(request: Request, tenant: str, policy: CoalescingPolicy) -> Mapping[bytes, bytes]:
    """Return the tenant and the headers that the route ignores: reads are told apart by them if responses vary."""
    values = {name: request.headers[name] for name in policy.ignored_headers if name in request.headers}
    values[TENANT] = tenant.encode("utf-8", "surrogatepass")
    return values
