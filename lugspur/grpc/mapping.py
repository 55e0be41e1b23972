"""Translation between HTTP/1.1 and gRPC: one message is one body, whose content is not read.

Header lines are `b"Name: value\\r\\n"` as in HTTP/1.1, and fields are pairs as in HTTP/2. Alternatives are discussed in
docs/grpc.md.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import replace

from lugspur.grpc.messages import InvalidMessageError, pack, unpack
from lugspur.grpc.status import (
    MAX_MESSAGE_BYTES,
    Status,
    decode_message,
    encode_message,
    grpc_status,
    http_status,
    parse_status,
    retry_details,
)
from lugspur.grpc.timeout import write_timeout
from lugspur.interfaces import Request, Response

Fields = list[tuple[bytes, bytes]]

GRPC = b"application/grpc"
#: Subtypes of content types whose name in gRPC differs from that in HTTP/1.1.
HTTP1_SUBTYPES = {b"proto": b"x-protobuf"}
GRPC_SUBTYPES = {http1_subtype: grpc_subtype for grpc_subtype, http1_subtype in HTTP1_SUBTYPES.items()}
#: Headers of one connection or of the framing of one message, which are never forwarded (RFC 9113 8.2.2).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"host",
        b"x-timeout",
        b"grpc-timeout",
    }
)
#: Headers and trailers of a response that the proxy interprets itself.
INTERPRETED_HEADERS = frozenset({b"grpc-status", b"grpc-message", b"x-not-processed", b"x-server-load"})
#: Headers that a translated message does not take from the original, but gets anew.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"content-type",
    b"content-encoding",
    b"grpc-encoding",
    b"accept-encoding",
    b"grpc-accept-encoding",
}
RETRY_AFTER_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
#: A `grpc-retry-pushback-ms` that forbids a retry (gRFC A6).
NO_RETRY_PUSHBACK = b"-1"
#: HTTP statuses from 500 on which say that the request was not processed.
NOT_PROCESSED_STATUSES = (501, 503)


def is_grpc(content_type: bytes) -> bool:
    """Return whether a content type is that of gRPC: application/grpc, alone or followed by + or ;."""
    lowered = content_type.lower()
    return lowered.startswith(GRPC) and lowered[len(GRPC) : len(GRPC) + 1] in (b"", b"+", b";")


def _header_lines(fields: Iterable[tuple[bytes, bytes]], without: frozenset[bytes] = frozenset()) -> bytes:
    """Return fields as header lines, except pseudo-headers and those named in `without`."""
    return b"".join(b"%b: %b\r\n" % field for field in fields if field[0][:1] != b":" and field[0] not in without)


def parse_header_lines(lines: Iterable[bytes], without: frozenset[bytes] = HOP_BY_HOP_HEADERS) -> Fields:
    """Return header lines as fields, except those named in `without`."""
    fields: Fields = []
    for line in b"".join(lines).split(b"\r\n"):
        name, _, value = line.partition(b":")
        lowered = name.lower()
        if lowered and lowered not in without:
            fields.append((lowered, value.strip()))
    return fields


# ---- requests ------------------------------------------------------------------------------------


def grpc_request_fields(request: Request, left: float) -> Fields:
    """Return the header fields of a gRPC request for a gRPC backend, with `left` seconds until the deadline."""
    received = parse_header_lines(request.lines, HOP_BY_HOP_HEADERS - {b"host"})
    return [
        *_pseudo_headers(request.target, dict(received)),
        (b"te", b"trailers"),
        (b"grpc-timeout", write_timeout(left)),
        *(field for field in received if field[0] != b"host"),
    ]


def to_grpc_request(request: Request, left: float) -> tuple[Fields, bytes]:
    """Translate an HTTP/1.1 request for a gRPC backend; returns the fields and the body, which is one message.

    gRPC has neither methods nor queries: these are sent as metadata, and so is the original content type.
    """
    path, _, query = request.target.partition(b"?")
    received = parse_header_lines(request.lines, frozenset())
    headers = dict(received)
    content_type, encoding = headers.get(b"content-type", b""), headers.get(b"content-encoding", b"")
    accepted = headers.get(b"accept-encoding", b"")
    fields = [field for field in received if field[0] not in REPLACED_HEADERS]
    fields += [
        (b"te", b"trailers"),
        (b"grpc-timeout", write_timeout(left)),
        (b"content-type", _grpc_content_type(content_type)),
    ]
    for name, value in (
        (b"x-http-method", request.method),
        (b"x-http-query", query),
        (b"x-http-content-type", content_type),
        (b"grpc-encoding", encoding),
        (b"grpc-accept-encoding", accepted),
    ):
        if value:
            fields.append((name, value))
    compressed = bool(encoding) and encoding.lower() != b"identity"
    return [*_pseudo_headers(path, headers), *fields], pack(request.body, compressed)


def to_http1_request(request: Request) -> Request:
    """Translate a gRPC request of one message for an HTTP/1.1 backend: the message is the body.

    Raises InvalidMessageError for any other number of messages.
    """
    messages = unpack(request.body)
    if len(messages) != 1:
        raise InvalidMessageError(f"{len(messages)} messages, where HTTP/1.1 has one body")
    [(compressed, body)] = messages
    received = parse_header_lines(request.lines, frozenset())
    headers = dict(received)
    fields = [field for field in received if field[0] == b"host" or field[0] not in REPLACED_HEADERS]
    fields.append((b"content-type", _http1_content_type(headers.get(b"content-type", b""))))
    if compressed:
        fields.append((b"content-encoding", headers.get(b"grpc-encoding", b"gzip")))
    if b"grpc-accept-encoding" in headers:
        fields.append((b"accept-encoding", headers[b"grpc-accept-encoding"]))
    # Guards an HTTP/1.1 backend that takes `_` for `-`, and would read a header that was not checked here.
    lines = [b"%b: %b\r\n" % field for field in fields if b"_" not in field[0]]
    return replace(request, lines=lines, body=body, grpc_form=None)


def _pseudo_headers(path: bytes, headers: dict[bytes, bytes]) -> Fields:
    return [(b":method", b"POST"), (b":scheme", b"http"), (b":path", path), (b":authority", headers.get(b"host", b""))]


def _grpc_content_type(http1_type: bytes) -> bytes:
    """Return the gRPC content type that stands for one of HTTP/1.1."""
    subtype = http1_type.lower().partition(b";")[0].strip()
    if not subtype.startswith(b"application/"):
        return GRPC
    subtype = subtype[len(b"application/") :]
    return b"%b+%b" % (GRPC, GRPC_SUBTYPES.get(subtype, subtype))


def _http1_content_type(grpc_type: bytes) -> bytes:
    """Return the HTTP/1.1 content type that stands for one of gRPC."""
    subtype = grpc_type.lower().partition(b";")[0].strip()[len(GRPC) + 1 :] or b"proto"
    return b"application/%b" % HTTP1_SUBTYPES.get(subtype, subtype)


# ---- responses -----------------------------------------------------------------------------------


def response_header_lines(head: Fields) -> bytes:
    """Return the header lines of a gRPC response for a gRPC caller."""
    return _header_lines(head, HOP_BY_HOP_HEADERS | INTERPRETED_HEADERS)


def response_trailer_lines(tail: Fields) -> bytes:
    """Return the trailers of a gRPC response for a gRPC caller."""
    return _header_lines(tail, HOP_BY_HOP_HEADERS | {b"x-server-load", b"content-type"})


def to_http1_response(head: Fields, tail: Fields, body: bytes) -> Response:
    """Translate a complete gRPC response for an HTTP/1.1 caller: the body is its message, or its text if it failed.

    Raises InvalidMessageError if it succeeded with any other number of messages than one.
    """
    trailers = dict(tail)
    code = parse_status(trailers.get(b"grpc-status"))
    fields = [field for field in (*head, *tail) if field[0] not in REPLACED_HEADERS | INTERPRETED_HEADERS]
    fields.append((b"grpc-status", trailers.get(b"grpc-status", b"2")))
    lines = _header_lines(fields)
    if code is not Status.OK:
        text = decode_message(trailers.get(b"grpc-message", b""))[:MAX_MESSAGE_BYTES]
        return Response(
            http_status(2 if code is None else int(code)),
            lines + b"Content-Type: text/plain\r\n",
            text + b"\n" if text else b"",
        )
    messages = unpack(body)
    if len(messages) != 1:
        raise InvalidMessageError(f"{len(messages)} messages, where HTTP/1.1 has one body")
    [(compressed, message)] = messages
    headers = dict(head)
    content_type = headers.get(b"x-http-content-type") or _http1_content_type(headers.get(b"content-type", GRPC))
    lines += b"Content-Type: %b\r\n" % content_type
    if compressed:
        lines += b"Content-Encoding: %b\r\n" % headers.get(b"grpc-encoding", b"gzip")
    return Response(200, lines, message)


def to_grpc_response(status: int, head: bytes, body: bytes, content_type: bytes) -> tuple[Fields, bytes, Fields]:
    """Translate an HTTP/1.1 response, or one of the proxy itself, for a gRPC caller: header fields, body and trailers.

    `content_type` is that of the request. Only a response with a status below 300 has a message; the text of others
    becomes the status message. A `grpc-status` counts unless it contradicts the HTTP status.
    """
    received = parse_header_lines([head], frozenset())
    headers = dict(received)
    fields = [field for field in received if field[0] not in REPLACED_HEADERS | INTERPRETED_HEADERS]
    grpc_code = parse_status(headers.get(b"grpc-status"))
    code = grpc_status(status) if grpc_code is None or (grpc_code is Status.OK) != (status < 300) else grpc_code
    if code is Status.OK:
        encoding = headers.get(b"content-encoding", b"")
        first: Fields = [(b":status", b"200"), (b"content-type", content_type or GRPC)]
        if encoding:
            first.append((b"grpc-encoding", encoding))
        compressed = bool(encoding) and encoding.lower() != b"identity"
        return first + fields, pack(body, compressed), [(b"grpc-status", b"0")]
    text = body[:MAX_MESSAGE_BYTES].strip() if headers.get(b"content-type", b"text").startswith(b"text") else b""
    retry_after = _parse_retry_after(headers.get(b"retry-after", b""))
    forbids_retry = status >= 500 and status not in NOT_PROCESSED_STATUSES and retry_after is None
    tail = _failure_trailers(code, text or b"HTTP status %d" % status, retry_after, forbids_retry)
    return [(b":status", b"200"), (b"content-type", content_type or GRPC)], b"", [*fields, *tail]


def _parse_retry_after(value: bytes) -> float | None:
    """Return the seconds of a `Retry-After`, or None if there is none; a date is ignored."""
    return float(value) if RETRY_AFTER_PATTERN.fullmatch(value) else None


def _failure_trailers(code: int, text: bytes, retry_after: float | None = None, forbids_retry: bool = False) -> Fields:
    """Return the trailers of a failure, with the seconds until a retry if they are known, or a ban on retries."""
    tail: Fields = [(b"grpc-status", b"%d" % code), (b"grpc-message", encode_message(text))]
    if forbids_retry:
        tail.append((b"grpc-retry-pushback-ms", NO_RETRY_PUSHBACK))
    elif retry_after is not None:
        tail.append((b"grpc-retry-pushback-ms", b"%d" % round(retry_after * 1e3)))
        tail.append((b"grpc-status-details-bin", retry_details(code, text, retry_after)))
    return tail
