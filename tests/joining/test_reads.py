"""Which reads are equal, and which callers may get their response."""

from __future__ import annotations

from collections.abc import Hashable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.interfaces import Request
from lugspur.joining.keys import MAX_KEY_BODY_BYTES, PER_ATTEMPT_HEADERS, TENANT, coalescing_key, selecting_values
from lugspur.joining.sharing import NOT_SHARED, SHARED_BY_ALL, VaryNames, response_vary_names, with_request_id
from lugspur.routing.model import CoalescingPolicy

POLICY = CoalescingPolicy(0.1, frozenset({b"user-agent", b"x-agency"}), True)


def request(headers: dict[bytes, bytes] | None = None, body: bytes = b"", target: bytes = b"/h/1") -> Request:
    return Request(b"GET", target, {b"host": b"h.example"} | (headers or {}), [], body, 0.0, True)


def key(read: Request, tenant: str = "a", policy: CoalescingPolicy = POLICY, route: Hashable = "r") -> Hashable | None:
    return coalescing_key(read, read, route, tenant, policy)


@pytest.mark.parametrize("name", sorted(PER_ATTEMPT_HEADERS | POLICY.ignored_headers))
def test_per_attempt_and_ignored_headers_are_not_part_of_the_key(name: bytes) -> None:
    assert key(request({name: b"1"})) == key(request({name: b"2"})) == key(request())


@pytest.mark.parametrize(
    "other",
    [
        request({b"accept": b"text/html"}),
        request({b"authorization": b"Bearer x"}),
        request({b"cookie": b"a=b"}),
        request({b"range": b"bytes=0-9"}),
        request({b"if-none-match": b'"x"'}),
        request({b"host": b"g.example"}),
        request(body=b"q"),
        request(target=b"/h/1?x"),
    ],
)
def test_any_other_difference_changes_the_key(other: Request) -> None:
    assert key(other) != key(request())


def test_routes_and_methods_are_part_of_the_key() -> None:
    head = request()
    head.method = b"HEAD"
    assert key(head) != key(request()) != key(request(), route="s")


def test_grpc_and_http_requests_never_share_a_key() -> None:
    form = request()
    form.grpc_form = object()  # type: ignore[assignment]
    assert key(form) != key(request())


def test_tenants_share_a_key_only_where_the_policy_allows_it() -> None:
    per_tenant = CoalescingPolicy(0.1, frozenset())
    assert key(request(), "a") == key(request(), "b")
    assert key(request(), "a", per_tenant) != key(request(), "b", per_tenant)


def test_the_key_has_the_target_that_is_forwarded() -> None:
    received, sent = request(target=b"/old/1"), request(target=b"/new/1")
    assert coalescing_key(received, sent, "r", "a", POLICY) == key(sent)


@pytest.mark.parametrize(
    "headers",
    [
        {b"cache-control": b"No-Cache"},
        {b"cache-control": b"a=b, no-store"},
        {b"cache-control": b"max-age=0"},
        {b"pragma": b"no-cache"},
    ],
)
def test_request_cache_directives_demand_a_separate_call(headers: dict[bytes, bytes]) -> None:
    assert key(request(headers)) is None
    assert key(request({b"cache-control": b"max-age=5"})) is not None


def test_a_read_with_a_large_body_has_no_key() -> None:
    assert (
        key(request(body=b"x" * MAX_KEY_BODY_BYTES)) is not None
        and key(request(body=b"x" * (MAX_KEY_BODY_BYTES + 1))) is None
    )


def test_selecting_values_are_the_tenant_and_the_ignored_headers() -> None:
    assert selecting_values(request({b"user-agent": b"x", b"accept": b"y"}), "t", POLICY) == {
        b"user-agent": b"x",
        TENANT: b"t",
    }


VARY = frozenset({b"user-agent"})


@pytest.mark.parametrize(
    ("status", "head", "trailers", "vary_names"),
    [
        (200, b"", b"", SHARED_BY_ALL),
        (404, b"Content-Type: a\r\n", b"", SHARED_BY_ALL),
        (503, b"", b"", SHARED_BY_ALL),
        (200, b"Cache-Control: max-age=5, no-cache\r\n", b"", SHARED_BY_ALL),
        (200, b"cache-control: Private\r\n", b"", NOT_SHARED),
        (200, b'Cache-Control: private="x-a"\r\n', b"", NOT_SHARED),
        (200, b"Cache-Control: public\r\nCache-Control: no-store\r\n", b"", NOT_SHARED),
        (200, b"Set-Cookie: a=b\r\n", b"", NOT_SHARED),
        (200, b"Vary: *\r\n", b"", NOT_SHARED),
        (200, b"Vary: X-Request-ID\r\n", b"", NOT_SHARED),
        (200, b"Vary: Accept, User-Agent\r\n", b"", VARY),
        (200, b"Vary: Accept\r\nVary: user-agent\r\n", b"", VARY),
        (200, b"Vary: Accept-Language\r\n", b"", SHARED_BY_ALL),
        (403, b"", b"", frozenset({TENANT})),
        (429, b"Vary: User-Agent\r\n", b"", VARY | {TENANT}),
        (200, b"", b"grpc-status: 0\r\n", SHARED_BY_ALL),
        (200, b"", b"grpc-status: 7\r\n", frozenset({TENANT})),
        (200, b"", b"cache-control: private\r\n", NOT_SHARED),
    ],
)
def test_a_response_varies_by_the_names_that_its_status_and_headers_tell(
    status: int, head: bytes, trailers: bytes, vary_names: VaryNames
) -> None:
    assert response_vary_names(status, head, POLICY, trailers) == vary_names


@given(st.binary(max_size=200), st.integers(200, 599))
def test_any_header_lines_are_accepted(head: bytes, status: int) -> None:
    vary_names = response_vary_names(status, head, POLICY)
    assert vary_names is None or vary_names <= POLICY.ignored_headers | {TENANT}


def test_each_caller_gets_its_own_request_id_in_the_response() -> None:
    head = b"A: b\r\nx-request-id: leader\r\nC: d\r\n"
    assert with_request_id(head, b"mine") == b"A: b\r\nX-Request-ID: mine\r\nC: d\r\n"
    assert with_request_id(head, None) == b"A: b\r\nC: d\r\n"
    assert with_request_id(b"A: b\r\n", b"mine") == b"A: b\r\n"
