"""Which reads are the same, and who may have their answer."""

from __future__ import annotations

from collections.abc import Hashable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.interfaces import Request
from lugspur.joining.keys import BODY_MOST, OF_ONE_TRY, TENANT, key_of, told_of
from lugspur.joining.sharing import EVERYONE, NOBODY, Depends, depends, worded_for
from lugspur.routing.model import CoalescingPolicy

JOIN = CoalescingPolicy(0.1, frozenset({b"user-agent", b"x-agency"}), True)


def request(headers: dict[bytes, bytes] | None = None, body: bytes = b"", target: bytes = b"/h/1") -> Request:
    return Request(b"GET", target, {b"host": b"h.example"} | (headers or {}), [], body, 0.0, True)


def key(one: Request, tenant: str = "a", join: CoalescingPolicy = JOIN, route: Hashable = "r") -> Hashable | None:
    return key_of(one, one, route, tenant, join)


@pytest.mark.parametrize("name", sorted(OF_ONE_TRY | JOIN.ignored_headers))
def test_what_names_a_try_or_is_ignored_makes_no_other_read(name: bytes) -> None:
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
def test_whatever_else_differs_makes_another_read(other: Request) -> None:
    assert key(other) != key(request())


def test_routes_and_methods_make_other_reads() -> None:
    head = request()
    head.method = b"HEAD"
    assert key(head) != key(request()) != key(request(), route="s")


def test_calls_of_grpc_and_of_http_are_never_the_same() -> None:
    form = request()
    form.grpc_form = object()  # type: ignore[assignment]
    assert key(form) != key(request())


def test_tenants_share_only_where_the_file_says_so() -> None:
    within = CoalescingPolicy(0.1, frozenset())
    assert key(request(), "a") == key(request(), "b")
    assert key(request(), "a", within) != key(request(), "b", within)


def test_the_target_is_that_which_goes_on() -> None:
    came, sent = request(target=b"/old/1"), request(target=b"/new/1")
    assert key_of(came, sent, "r", "a", JOIN) == key(sent)


@pytest.mark.parametrize(
    "headers",
    [
        {b"cache-control": b"No-Cache"},
        {b"cache-control": b"a=b, no-store"},
        {b"cache-control": b"max-age=0"},
        {b"pragma": b"no-cache"},
    ],
)
def test_who_asks_for_a_call_of_its_own_gets_one(headers: dict[bytes, bytes]) -> None:
    assert key(request(headers)) is None
    assert key(request({b"cache-control": b"max-age=5"})) is not None


def test_a_large_body_is_not_compared() -> None:
    assert key(request(body=b"x" * BODY_MOST)) is not None and key(request(body=b"x" * (BODY_MOST + 1))) is None


def test_what_was_ignored_is_told_apart_by_name() -> None:
    assert told_of(request({b"user-agent": b"x", b"accept": b"y"}), "t", JOIN) == {b"user-agent": b"x", TENANT: b"t"}


VARY = frozenset({b"user-agent"})


@pytest.mark.parametrize(
    ("status", "head", "trailers", "among"),
    [
        (200, b"", b"", EVERYONE),
        (404, b"Content-Type: a\r\n", b"", EVERYONE),
        (503, b"", b"", EVERYONE),
        (200, b"Cache-Control: max-age=5, no-cache\r\n", b"", EVERYONE),
        (200, b"cache-control: Private\r\n", b"", NOBODY),
        (200, b'Cache-Control: private="x-a"\r\n', b"", NOBODY),
        (200, b"Cache-Control: public\r\nCache-Control: no-store\r\n", b"", NOBODY),
        (200, b"Set-Cookie: a=b\r\n", b"", NOBODY),
        (200, b"Vary: *\r\n", b"", NOBODY),
        (200, b"Vary: X-Request-ID\r\n", b"", NOBODY),
        (200, b"Vary: Accept, User-Agent\r\n", b"", VARY),
        (200, b"Vary: Accept\r\nVary: user-agent\r\n", b"", VARY),
        (200, b"Vary: Accept-Language\r\n", b"", EVERYONE),
        (403, b"", b"", frozenset({TENANT})),
        (429, b"Vary: User-Agent\r\n", b"", VARY | {TENANT}),
        (200, b"", b"grpc-status: 0\r\n", EVERYONE),
        (200, b"", b"grpc-status: 7\r\n", frozenset({TENANT})),
        (200, b"", b"cache-control: private\r\n", NOBODY),
    ],
)
def test_an_answer_says_who_may_have_it(status: int, head: bytes, trailers: bytes, among: Depends) -> None:
    assert depends(status, head, JOIN, trailers) == among


@given(st.binary(max_size=200), st.integers(200, 599))
def test_no_header_lines_break_it(head: bytes, status: int) -> None:
    found = depends(status, head, JOIN)
    assert found is None or found <= JOIN.ignored_headers | {TENANT}


def test_a_request_id_in_an_answer_is_each_callers_own() -> None:
    head = b"A: b\r\nx-request-id: leader\r\nC: d\r\n"
    assert worded_for(head, b"mine") == b"A: b\r\nX-Request-ID: mine\r\nC: d\r\n"
    assert worded_for(head, None) == b"A: b\r\nC: d\r\n"
    assert worded_for(b"A: b\r\n", b"mine") == b"A: b\r\n"
