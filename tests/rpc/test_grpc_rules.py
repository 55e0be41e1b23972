"""gRPC's own rules: time-outs, statuses, messages, health messages, the way to HTTP/1.1 and back."""

from __future__ import annotations

import pytest
from google.rpc import code_pb2, error_details_pb2, status_pb2
from grpc_health.v1 import health_pb2
from hypothesis import given
from hypothesis import strategies as st

from lugspur.grpc import mapping
from lugspur.grpc.evidence import PROVES, End
from lugspur.grpc.health import Serving, read_service, write_serving
from lugspur.grpc.messages import Counter, Spoilt, pack, unpack
from lugspur.grpc.status import (
    HTTP,
    Status,
    decode_message,
    encode_message,
    http_status,
    read_status,
    retry_details,
    status_of,
)
from lugspur.grpc.timeout import DIGITS_MOST, LONGEST, UNITS, read_timeout, write_timeout
from lugspur.interfaces import Request
from lugspur.load_balancing.model import NEVER_RAN

# ---- time ----------------------------------------------------------------------------------------


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
        (b"99999999H", LONGEST),
        (b"99999999S", 99_999_999.0),
    ],
)
def test_time_outs_are_read_in_every_unit(text: bytes, seconds: float) -> None:
    assert read_timeout(text) == pytest.approx(seconds)


@given(st.floats(1e-9, 3.6e11))
def test_a_time_out_that_is_written_is_no_longer_than_what_is_left_and_hardly_shorter(seconds: float) -> None:
    text = write_timeout(seconds)
    told = int(text[:-1]) * UNITS[text[-1:]]
    assert int(text[:-1]) <= DIGITS_MOST and told <= seconds * 1.000001 + 1e-9
    assert told >= seconds * 0.999 - 1e-9 or seconds > 3e11


def test_what_is_left_is_never_told_as_nothing() -> None:
    assert write_timeout(0.0) == write_timeout(-1.0) == b"1n"


# ---- statuses ------------------------------------------------------------------------------------


def test_codes_are_those_of_google_rpc_and_none_says_more_than_it_did_over_http() -> None:
    for code in Status:
        assert code_pb2.Code.Value(code.name) == code
        back = status_of(HTTP[code])
        assert http_status(back) == HTTP[code]
    assert http_status(99) == 500 and status_of(418) is Status.INVALID_ARGUMENT and status_of(502) is Status.UNKNOWN


@pytest.mark.parametrize("value", [None, b"", b"-1", b"1.0", b"OK", b"9" * 10])
def test_a_status_that_cant_be_read_is_none(value: bytes | None) -> None:
    assert read_status(value) is None


@given(st.binary(max_size=80))
def test_messages_of_statuses_come_back_as_they_were(text: bytes) -> None:
    told = encode_message(text)
    assert decode_message(told) == text and all(0x20 <= c <= 0x7E for c in told)


@given(st.integers(0, 10**6), st.integers(0, 999))
def test_retry_info_is_what_protobuf_reads(seconds: int, millis: int) -> None:
    import base64

    told = retry_details(14, b"come back", seconds + millis / 1000.0)
    status = status_pb2.Status.FromString(base64.b64decode(told + b"=" * (-len(told) % 4)))
    info = error_details_pb2.RetryInfo()
    assert (status.code, status.message) == (14, "come back") and status.details[0].Unpack(info)
    assert info.retry_delay.seconds * 1000 + info.retry_delay.nanos // 1_000_000 == pytest.approx(
        seconds * 1000 + millis, abs=1
    )


def test_only_what_is_certain_proves_that_nothing_ran() -> None:
    never = {how for how, outcome in PROVES.items() if outcome in NEVER_RAN}
    assert never == {End.UNSENT, End.UNWANTED, End.FULL, End.REFUSED, End.ABOVE} and set(PROVES) == set(End)


# ---- messages ------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.booleans(), st.binary(max_size=30)), max_size=6), st.data())
def test_messages_are_counted_however_they_are_cut(messages: list[tuple[bool, bytes]], data: st.DataObject) -> None:
    whole = b"".join(pack(message, compressed) for compressed, message in messages)
    assert unpack(whole) == messages
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=8)))
    counter = Counter()
    for begin, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
        counter.feed(whole[begin:end])
        passed = counter.whole
        at = 0
        for count, (_, message) in enumerate(messages):
            at += 5 + len(message)
            assert (passed > count) == (end >= at)
        assert counter.open == (end not in [sum(5 + len(m) for _, m in messages[:n]) for n in range(len(messages) + 1)])
    assert counter.whole == len(messages) and not counter.open and not counter.least()


def test_messages_that_are_none() -> None:
    for data in (b"\2\0\0\0\0", b"\0\0", b"\0\0\0\0\5abc"):
        with pytest.raises(Spoilt):
            unpack(data)
    with pytest.raises(Spoilt):
        Counter().feed(b"\7")


# ---- health --------------------------------------------------------------------------------------


@given(st.text(max_size=40))
def test_health_messages_are_what_protobuf_writes(service: str) -> None:
    assert read_service(health_pb2.HealthCheckRequest(service=service).SerializeToString()) == service


def test_health_answers_are_what_protobuf_reads() -> None:
    for status in Serving:
        assert health_pb2.HealthCheckResponse.FromString(write_serving(status)).status == status


@given(st.binary(max_size=40))
def test_any_bytes_are_a_health_request_or_a_value_error(data: bytes) -> None:
    try:
        read_service(data)
    except ValueError:
        return


# ---- HTTP/1.1 and back ---------------------------------------------------------------------------


def request(*lines: bytes, method: bytes = b"POST", target: bytes = b"/a.S/Do", body: bytes = b"") -> Request:
    return Request(method, target, {}, [line + b"\r\n" for line in lines], body, 0.0, True)


def test_an_http_request_on_its_way_to_a_grpc_box() -> None:
    came = request(
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
    fields, body = mapping.wrapped(came, 1.5)
    told = dict(fields)
    assert fields[:4] == [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/a/b"), (b":authority", b"h:1")]
    assert body == b"\1\0\0\0\6zipped" and told[b"content-type"] == b"application/grpc+json"
    assert told[b"grpc-encoding"] == b"gzip" and told[b"grpc-accept-encoding"] == b"br" and told[b"te"] == b"trailers"
    assert told[b"x-http-method"] == b"PUT" and told[b"x-http-query"] == b"c=d" and told[b"x-a"] == b"1"
    assert told[b"grpc-timeout"] == b"1500000u" and not {b"host", b"content-encoding"} & set(told)


def test_a_grpc_request_on_its_way_to_an_http_box() -> None:
    came = request(
        b"Host: h:1",
        b"content-type: application/grpc+json",
        b"grpc-encoding: gzip",
        b"a_b: 1",
        b"x-a: 1",
        b"grpc-accept-encoding: gzip",
        body=b"\1\0\0\0\6zipped",
    )
    went = mapping.unwrapped(came)
    told = dict(mapping.fields_of(went.lines, frozenset()))
    assert went.body == b"zipped" and told == {
        b"host": b"h:1",
        b"content-type": b"application/json",
        b"content-encoding": b"gzip",
        b"accept-encoding": b"gzip",
        b"x-a": b"1",
    }
    with pytest.raises(Spoilt, match="2 messages"):
        mapping.unwrapped(request(body=b"\0\0\0\0\0" * 2))


@pytest.mark.parametrize(
    "plain,grpc",
    [
        (b"application/json", b"application/grpc+json"),
        (b"application/x-protobuf", b"application/grpc+proto"),
        (b"application/json; charset=utf-8", b"application/grpc+json"),
        (b"text/plain", b"application/grpc"),
        (b"", b"application/grpc"),
    ],
)
def test_content_types(plain: bytes, grpc: bytes) -> None:
    fields, _ = mapping.wrapped(request(b"content-type: " + plain, b"host: h"), 1.0)
    assert dict(fields)[b"content-type"] == grpc and mapping.is_grpc(grpc)


@pytest.mark.parametrize("kind", [b"application/grpc-web", b"application/json", b"", b"application/grpcx"])
def test_what_is_no_grpc(kind: bytes) -> None:
    assert not mapping.is_grpc(kind)


def test_a_grpc_answer_on_its_way_to_an_http_caller() -> None:
    head = [(b":status", b"200"), (b"content-type", b"application/grpc+proto"), (b"x-a", b"1")]
    tail = [(b"grpc-status", b"0"), (b"x-b", b"2"), (b"x-server-load", b"1")]
    got = mapping.plain_answer(head, tail, b"\0\0\0\0\4done")
    assert (got.status, got.body) == (200, b"done")
    assert mapping.fields_of([got.head], frozenset()) == [
        (b"x-a", b"1"),
        (b"x-b", b"2"),
        (b"grpc-status", b"0"),
        (b"content-type", b"application/x-protobuf"),
    ]
    got = mapping.plain_answer(head, [(b"grpc-status", b"5"), (b"grpc-message", b"no %C3%B6")], b"")
    assert (got.status, got.body) == (404, "no ö\n".encode()) and b"grpc-status: 5\r\n" in got.head
    with pytest.raises(Spoilt):
        mapping.plain_answer(head, tail, b"")


def test_an_http_answer_on_its_way_to_a_grpc_caller() -> None:
    head, body, tail = mapping.served_answer(200, b"X-A: 1\r\nContent-Encoding: gzip\r\n", b"zz", b"application/grpc")
    assert body == b"\1\0\0\0\2zz" and tail == [(b"grpc-status", b"0")] and (b"grpc-encoding", b"gzip") in head
    for status, code, pushback in ((404, 5, None), (503, 14, None), (500, 13, b"-1"), (502, 2, b"-1"), (302, 2, None)):
        _, body, tail = mapping.served_answer(status, b"", b"why\n", b"application/grpc+json")
        told = dict(tail)
        assert (body, told[b"grpc-status"], told[b"grpc-message"]) == (b"", b"%d" % code, b"why")
        assert told.get(b"grpc-retry-pushback-ms") == pushback
    _, _, tail = mapping.served_answer(503, b"Retry-After: 0.25\r\n", b"", b"")
    assert dict(tail)[b"grpc-retry-pushback-ms"] == b"250"


def test_a_box_may_tell_its_own_status_but_not_one_that_its_http_status_denies() -> None:
    _, _, tail = mapping.served_answer(409, b"grpc-status: 6\r\n", b"", b"")
    assert dict(tail)[b"grpc-status"] == b"6"
    _, body, tail = mapping.served_answer(500, b"grpc-status: 0\r\n", b"x", b"")
    assert (body, dict(tail)[b"grpc-status"]) == (b"", b"13")
    _, body, tail = mapping.served_answer(200, b"grpc-status: 5\r\n", b"x", b"")
    assert body and dict(tail)[b"grpc-status"] == b"0"
