"""Admin requests as bytes, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lugspur.daemon.admin.action import Action, ActionResult
from lugspur.daemon.admin.request import MAX_BODY_BYTES, MAX_HEAD_BYTES, AdminRequest


def echo(body: str) -> ActionResult:
    return ActionResult(200, f"did {body}")


ACTIONS: dict[tuple[str, str], Action] = {
    ("GET", "/ready"): echo,
    ("POST", "/drain"): echo,
    ("POST", "/backends/disable"): echo,
}


def respond(*pieces: bytes) -> bytes | None:
    request = AdminRequest(ACTIONS)
    for piece in pieces:
        request.feed(piece)
    return request.response


def post(body: bytes, path: bytes = b"/backends/disable", head: bytes = b"") -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n%b" % (path, head, len(body), body)


CHUNKED = (
    b"POST /backends/disable HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ns-\r\n2\r\n5b\r\n0\r\n\r\n"
)


@pytest.mark.parametrize(
    ("call", "status", "part"),
    [
        (b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", 200, b"did"),
        (b"GET /ready?now HTTP/1.0\r\n\r\n", 200, b"did"),
        (post(b" s-1\n"), 200, b"did s-1\n"),
        (CHUNKED, 200, b"did s-5b"),
        (post(b"", b"/drain"), 200, b"did"),
        (post(b"x", b"/none"), 404, b"no such call"),
        (b"POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 405, b"Allow: GET\r\n"),
        (b"GET /drain HTTP/1.1\r\nHost: h\r\n\r\n", 405, b"Allow: POST\r\n"),
        (b"nonsense\r\n\r\n", 400, b"malformed"),
        (post(b"x").replace(b"Content-Length: 1", b"Content-Length: -1"), 400, b"malformed"),
        (post(b"\xff\xfe"), 400, b"not text"),
        (post(b"i" * (MAX_BODY_BYTES + 1)), 413, b"too large"),
        (b"GET /ready HTTP/1.1\r\nX-Pad: " + b"p" * (2 * MAX_HEAD_BYTES), 431, b"too large"),
        (b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n" * 5, 200, b"did"),
    ],
)
def test_every_request_gets_one_response(call: bytes, status: int, part: bytes) -> None:
    response = respond(call)
    assert response is not None
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert part in response
    assert response.count(b"HTTP/1.1") == 1
    assert b"Connection: close\r\n" in response


@pytest.mark.parametrize("half", [b"", b"GET /rea", post(b"s-1")[:-1], CHUNKED[:-3]])
def test_an_incomplete_request_does_nothing(half: bytes) -> None:
    assert respond(half) is None


@given(st.sampled_from([post(b"s-1"), CHUNKED, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"]), st.data())
@settings(deadline=None)  # A loaded machine is not a failure.
def test_a_request_in_pieces_gets_the_same_response(call: bytes, data: st.DataObject) -> None:
    cuts = sorted(data.draw(st.lists(st.integers(0, len(call)))))
    pieces = [call[a:b] for a, b in zip([0, *cuts], [*cuts, len(call)], strict=True)]
    assert respond(*(piece for piece in pieces if piece)) == respond(call)


@given(st.binary(max_size=300))
@settings(deadline=None)  # A loaded machine is not a failure.
def test_noise_raises_nothing(noise: bytes) -> None:
    respond(noise)
