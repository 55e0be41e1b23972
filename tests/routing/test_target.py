"""Normalized targets: every spelling of a path is routed and forwarded as the same path."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.routing.target import MAX_SEGMENTS, Target, TargetError, parse_target


def normalized(target: bytes, host: bytes = b"h.example") -> Target:
    return parse_target(target, host)


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"/a/b", b"/a/b"),
        (b"/", b"/"),
        (b"/a/", b"/a/"),
        (b"/a/./b", b"/a/b"),
        (b"/a/x/../b", b"/a/b"),
        (b"/a/x/%2e%2e/b", b"/a/b"),
        (b"/a/x/%2E./b", b"/a/b"),
        (b"/a/x/..", b"/a/"),
        (b"/a/.", b"/a/"),
        (b"//a///b", b"/a/b"),
        (b"/%61/b", b"/a/b"),
        (b"/%7ex", b"/~x"),
        (b"/caf%c3%a9", b"/caf%C3%A9"),
        (b"/a%3ab", b"/a%3Ab"),  # a reserved character is not equivalent to its escape (RFC 3986 2.2)
        (b"/a:b", b"/a:b"),
        (b"/a|b", b"/a%7Cb"),
        (b"/%252e%252e/a", b"/%252e%252e/a"),  # an escaped percent sign is not decoded again
        (b"/.well-known/x", b"/.well-known/x"),
        (b"/a;v=1/b", b"/a;v=1/b"),
    ],
)
def test_path_is_normalized(target: bytes, path: bytes) -> None:
    assert normalized(target).path == path
    assert normalized(path).path == path  # normalizing twice changes nothing


@pytest.mark.parametrize(
    "target",
    [
        b"/..",
        b"/a/../../b",
        b"/%2e%2e/a",
        b"/a%2fb",
        b"/a%5Cb",
        b"/a\\b",
        b"/a%00",
        b"/a%0d%0aX:1",
        b"/a%",
        b"/a%zz",
        b"/a%4",
        b"/..;/a",
        b"/a/..;x=1/b",
        b"/.;/a",
        b"/;x/a",
        b"/%3b/a",
        b"/..%3B/a",
        b"/a\x00",
        b"/a\x7f",
        b"/caf\xe9",
        b"/a b",
        b"a/b",
        b"*",
        b"",
        b"ftp://h/a",
        b"http:///a",
        b"http://u@h/a",
        b"http://h:99999/a",
        b"/a?b c",
        b"/a?b\x00",
        b"/x" * (MAX_SEGMENTS + 1),
    ],
)
def test_target_that_servers_interpret_differently_is_rejected(target: bytes) -> None:
    with pytest.raises(TargetError):
        normalized(target)


@pytest.mark.parametrize(
    ("host", "name", "authority"),
    [
        (b"H.Example", "h.example", b"h.example"),
        (b"h.example.", "h.example", b"h.example"),
        (b"h.example.:80", "h.example", b"h.example:80"),
        (b"H:8080", "h", b"h:8080"),
        (b"[::1]:80", "[::1]", b"[::1]:80"),
        (b"127.0.0.1", "127.0.0.1", b"127.0.0.1"),
    ],
)
def test_host_is_normalized(host: bytes, name: str, authority: bytes) -> None:
    assert (normalized(b"/", host).host, normalized(b"/", host).authority) == (name, authority)


@pytest.mark.parametrize(
    "host", [b"h..", b".h", b"a..b", b"h h", b"h/a", b"h:x", b"h:70000", b"u@h", b"h,h", b"%68", b"[::1", b"."]
)
def test_malformed_host_is_rejected(host: bytes) -> None:
    with pytest.raises(TargetError):
        normalized(b"/", host)


def test_authority_of_an_absolute_form_replaces_the_host() -> None:
    found = normalized(b"HTTP://Other.example:81/a/../b?x=1", b"h.example")
    assert (found.host, found.authority, found.origin_form) == ("other.example", b"other.example:81", b"/b?x=1")
    assert (
        normalized(b"http://other.example").path == b"/" and normalized(b"http://other.example?x").origin_form == b"/?x"
    )


def test_routes_compare_segments_without_their_parameters() -> None:
    found = normalized(b"/admin;x=1/%6Cist%3Bb")
    assert found.segments == ("admin", "list") and found.forwarded_segments == ("admin;x=1", "list%3Bb")
    assert found.path == b"/admin;x=1/list%3Bb"


PIECES = st.lists(
    st.sampled_from(
        [
            b"a",
            b"%61",
            b"admin",
            b"",
            b".",
            b"..",
            b"%2e",
            b"%2E%2e",
            b"..;",
            b";x",
            b"a;b",
            b"%2f",
            b"%3b",
            b"a%3Bb",
            b"~",
            b"%C3%A9",
            b"*",
            b"{id}",
        ]
    ),
    max_size=6,
)


@given(PIECES)
def test_normalized_path_is_a_fixed_point_without_dot_and_empty_segments(pieces: list[bytes]) -> None:
    try:
        found = normalized(b"/" + b"/".join(pieces))
    except TargetError:
        return
    again = normalized(found.path)
    assert again == found
    assert b"//" not in found.path and found.path.startswith(b"/")
    assert not {"", ".", ".."} & set(found.segments[:-1]) and not {".", ".."} & set(found.segments)
