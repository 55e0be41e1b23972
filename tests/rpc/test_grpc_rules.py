"""The rules of gRPC: timeouts, statuses, messages, health messages, translation to and from HTTP/1.1."""

from __future__ import annotations

import pytest
from google.rpc import code_pb2, error_details_pb2, status_pb2
from grpc_health.v1 import health_pb2
from hypothesis import given
from hypothesis import strategies as st

from lugspur.grpc import mapping
from lugspur.grpc.health import ServingStatus, decode_service, encode_serving_status
from lugspur.grpc.messages import InvalidMessageError, MessageCounter, pack, unpack
from lugspur.grpc.status import (
    HTTP_STATUSES,
    Status,
    decode_message,
    encode_message,
    grpc_status,
    http_status,
    parse_status,
    retry_details,
)
from lugspur.grpc.stream_end import OUTCOMES, StreamEnd
from lugspur.grpc.timeout import MAX_COUNT, MAX_TIMEOUT_SECONDS, UNITS, read_timeout, write_timeout
from lugspur.interfaces import Request
from lugspur.load_balancing.model import NEVER_RAN

# ---- timeouts ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text,seconds",
    [
        (b"1H", 3600.0),
        (b"1M", 60.0),
        (b"1S", 1.0),
        (b"1m", 0.001),
        (b"1u", 1e-6),
        (b"1n", 1e-9),
        (b"00000001S", 1.0),
        (b"0n", 0.0),
        (b"99999999H", MAX_TIMEOUT_SECONDS),
        (b"99999999S", 99_999_999.0),
    ],
)
def test_timeouts_are_read_in_every_unit(text: bytes, seconds: float) -> None:
    assert read_timeout(text) == pytest.approx(seconds)


@given(st.floats(1e-9, 3.6e11))
def test_a_written_timeout_is_at_most_the_time_left_and_hardly_shorter(seconds: float) -> None:
    text = write_timeout(seconds)
    written = int(text[:-1]) * UNITS[text[-1:]]
    assert int(text[:-1]) <= MAX_COUNT and written <= seconds * 1.000001 + 1e-9
    assert written >= seconds * 0.999 - 1e-9 or seconds > 3e11


def test_a_written_timeout_is_never_zero() -> None:
    assert write_timeout(0.0) == write_timeout(-1.0) == b"1n"


# ---- statuses ------------------------------------------------------------------------------------


def test_codes_are_those_of_google_rpc_and_map_back_to_one_of_the_same_http_status() -> None:
    for code in Status:
        assert code_pb2.Code.Value(code.name) == code
        back = grpc_status(HTTP_STATUSES[code])
        assert http_status(back) == HTTP_STATUSES[code]
    assert http_status(99) == 500 and grpc_status(418) is Status.INVALID_ARGUMENT and grpc_status(502) is Status.UNKNOWN


@pytest.mark.parametrize("value", [None, b"", b"-1", b"1.0", b"OK", b"9" * 10])
def test_a_malformed_status_is_none(value: bytes | None) -> None:
    assert parse_status(value) is None


@given(st.binary(max_size=80))
def test_status_messages_are_decoded_as_they_were_encoded(text: bytes) -> None:
    encoded = encode_message(text)
    assert decode_message(encoded) == text and all(0x20 <= c <= 0x7E for c in encoded)


@given(st.integers(0, 10**6), st.integers(0, 999))
def test_retry_info_is_valid_protobuf(seconds: int, millis: int) -> None:
    import base64

    details = retry_details(14, b"come back", seconds + millis / 1000.0)
    status = status_pb2.Status.FromString(base64.b64decode(details + b"=" * (-len(details) % 4)))
    info = error_details_pb2.RetryInfo()
    assert (status.code, status.message) == (14, "come back") and status.details[0].Unpack(info)
    assert info.retry_delay.seconds * 1000 + info.retry_delay.nanos // 1_000_000 == pytest.approx(
        seconds * 1000 + millis, abs=1
    )


def test_exactly_these_stream_ends_prove_that_nothing_ran() -> None:
    never = {how for how, outcome in OUTCOMES.items() if outcome in NEVER_RAN}
    assert never == {
        StreamEnd.UNSENT,
        StreamEnd.WITHDRAWN,
        StreamEnd.STREAM_LIMIT,
        StreamEnd.REFUSED,
        StreamEnd.ABOVE_GOAWAY,
    } and set(OUTCOMES) == set(StreamEnd)


# ---- messages ------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.booleans(), st.binary(max_size=30)), max_size=6), st.data())
def test_messages_are_counted_however_the_stream_is_split(
    messages: list[tuple[bool, bytes]], data: st.DataObject
) -> None:
    whole = b"".join(pack(message, compressed) for compressed, message in messages)
    assert unpack(whole) == messages
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=8)))
    counter = MessageCounter()
    for begin, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
        counter.feed(whole[begin:end])
        complete = counter.complete_count
        at = 0
        for count, (_, message) in enumerate(messages):
            at += 5 + len(message)
            assert (complete > count) == (end >= at)
        assert counter.has_open_message == (
            end not in [sum(5 + len(m) for _, m in messages[:n]) for n in range(len(messages) + 1)]
        )
    assert counter.complete_count == len(messages) and not counter.has_open_message and not counter.min_missing_bytes()


def test_invalid_messages_raise_an_error() -> None:
    for data in (b"\2\0\0\0\0", b"\0\0", b"\0\0\0\0\5abc"):
        with pytest.raises(InvalidMessageError):
            unpack(data)
    with pytest.raises(InvalidMessageError):
        MessageCounter().feed(b"\7")


# ---- health --------------------------------------------------------------------------------------


@given(st.text(max_size=40))
def test_health_requests_of_protobuf_are_decoded(service: str) -> None:
    assert decode_service(health_pb2.HealthCheckRequest(service=service).SerializeToString()) == service


def test_health_responses_are_valid_protobuf() -> None:
    for status in ServingStatus:
        assert health_pb2.HealthCheckResponse.FromString(encode_serving_status(status)).status == status


@given(st.binary(max_size=40))
def test_any_bytes_are_a_health_request_or_raise_value_error(data: bytes) -> None:
    try:
        decode_service(data)
    except ValueError:
        return


# ---- translation to and from HTTP/1.1 ------------------------------------------------------------


def request(*lines: bytes, method: bytes = b"POST", target: bytes = b"/a.S/Do", body: bytes = b"") -> Request:
    return Request(method, target, {}, [line + b"\r\n" for line in lines], body, 0.0, True)


def test_an_http_request_for_a_grpc_backend() -> None:
    received = request(
        b"Host: h:1",
        b"Content-Type: application/json",
        b"Content-Encoding: gzip",
        b"X-A: 1",
        b"TE: x",
        b"Accept-Encoding: br",
        method=b"PUT",
        target=b"/a/b?c=d",
        body=b"zipped",
    )
    fields, body = mapping.to_grpc_request(received, 1.5)
    headers = dict(fields)
    assert fields[:4] == [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/a/b"), (b":authority", b"h:1")]
    assert body == b"\1\0\0\0\6zipped" and headers[b"content-type"] == b"application/grpc+json"
    assert (
        headers[b"grpc-encoding"] == b"gzip"
        and headers[b"grpc-accept-encoding"] == b"br"
        and headers[b"te"] == b"trailers"
    )
    assert headers[b"x-http-method"] == b"PUT" and headers[b"x-http-query"] == b"c=d" and headers[b"x-a"] == b"1"
    assert headers[b"grpc-timeout"] == b"1500000u" and not {b"host", b"content-encoding"} & set(headers)


def test_a_grpc_request_for_an_http_backend() -> None:
    received = request(
        b"Host: h:1",
        b"content-type: application/grpc+json",
        b"grpc-encoding: gzip",
        b"a_b: 1",
        b"x-a: 1",
        b"grpc-accept-encoding: gzip",
        body=b"\1\0\0\0\6zipped",
    )
    sent = mapping.to_http1_request(received)
    headers = dict(mapping.parse_header_lines(sent.lines, frozenset()))
    assert sent.body == b"zipped" and headers == {
        b"host": b"h:1",
        b"content-type": b"application/json",
        b"content-encoding": b"gzip",
        b"accept-encoding": b"gzip",
        b"x-a": b"1",
    }
    with pytest.raises(InvalidMessageError, match="2 messages"):
        mapping.to_http1_request(request(body=b"\0\0\0\0\0" * 2))


@pytest.mark.parametrize(
    "http1,grpc",
    [
        (b"application/json", b"application/grpc+json"),
        (b"application/x-protobuf", b"application/grpc+proto"),
        (b"application/json; charset=utf-8", b"application/grpc+json"),
        (b"text/plain", b"application/grpc"),
        (b"", b"application/grpc"),
    ],
)
def test_content_types_are_translated(http1: bytes, grpc: bytes) -> None:
    fields, _ = mapping.to_grpc_request(request(b"content-type: " + http1, b"host: h"), 1.0)
    assert dict(fields)[b"content-type"] == grpc and mapping.is_grpc(grpc)


@pytest.mark.parametrize("content_type", [b"application/grpc-web", b"application/json", b"", b"application/grpcx"])
def test_other_content_types_are_not_grpc(content_type: bytes) -> None:
    assert not mapping.is_grpc(content_type)


def test_a_grpc_response_for_an_http_caller() -> None:
    head = [(b":status", b"200"), (b"content-type", b"application/grpc+proto"), (b"x-a", b"1")]
    tail = [(b"grpc-status", b"0"), (b"x-b", b"2"), (b"x-server-load", b"1")]
    response = mapping.to_http1_response(head, tail, b"\0\0\0\0\4done")
    assert (response.status, response.body) == (200, b"done")
    assert mapping.parse_header_lines([response.head], frozenset()) == [
        (b"x-a", b"1"),
        (b"x-b", b"2"),
        (b"grpc-status", b"0"),
        (b"content-type", b"application/x-protobuf"),
    ]
    response = mapping.to_http1_response(head, [(b"grpc-status", b"5"), (b"grpc-message", b"no %C3%B6")], b"")
    assert (response.status, response.body) == (404, "no ö\n".encode()) and b"grpc-status: 5\r\n" in response.head
    with pytest.raises(InvalidMessageError):
        mapping.to_http1_response(head, tail, b"")


def test_an_http_response_for_a_grpc_caller() -> None:
    head, body, tail = mapping.to_grpc_response(
        200, b"X-A: 1\r\nContent-Encoding: gzip\r\n", b"zz", b"application/grpc"
    )
    assert body == b"\1\0\0\0\2zz" and tail == [(b"grpc-status", b"0")] and (b"grpc-encoding", b"gzip") in head
    for status, code, pushback in ((404, 5, None), (503, 14, None), (500, 13, b"-1"), (502, 2, b"-1"), (302, 2, None)):
        _, body, tail = mapping.to_grpc_response(status, b"", b"why\n", b"application/grpc+json")
        trailers = dict(tail)
        assert (body, trailers[b"grpc-status"], trailers[b"grpc-message"]) == (b"", b"%d" % code, b"why")
        assert trailers.get(b"grpc-retry-pushback-ms") == pushback
    _, _, tail = mapping.to_grpc_response(503, b"Retry-After: 0.25\r\n", b"", b"")
    assert dict(tail)[b"grpc-retry-pushback-ms"] == b"250"


def test_a_grpc_status_counts_unless_it_contradicts_the_http_status() -> None:
    _, _, tail = mapping.to_grpc_response(409, b"grpc-status: 6\r\n", b"", b"")
    assert dict(tail)[b"grpc-status"] == b"6"
    _, body, tail = mapping.to_grpc_response(500, b"grpc-status: 0\r\n", b"x", b"")
    assert (body, dict(tail)[b"grpc-status"]) == (b"", b"13")
    _, body, tail = mapping.to_grpc_response(200, b"grpc-status: 5\r\n", b"x", b"")
    assert body and dict(tail)[b"grpc-status"] == b"0"
