"""The way between HTTP/1.1 and gRPC, with bodies that nobody here reads: one message is one body.

Header lines are `b"Name: value\\r\\n"` as HTTP/1.1 has them, fields are pairs as HTTP/2 has them. docs/grpc.md tells
what else was weighed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import replace

from lugspur.grpc.messages import Spoilt, pack, unpack
from lugspur.grpc.status import (
    MESSAGE_MOST,
    Status,
    decode_message,
    encode_message,
    http_status,
    read_status,
    retry_details,
    status_of,
)
from lugspur.grpc.timeout import write_timeout
from lugspur.interfaces import Request, Response

Fields = list[tuple[bytes, bytes]]

GRPC = b"application/grpc"
NAMES = {b"proto": b"x-protobuf"}  # what a message format is called outside gRPC, where it is not the same
FORMATS = {name: kind for kind, name in NAMES.items()}
CONNECTION = frozenset(  # of one connection or one message's framing, and never passed on (RFC 9113 8.2.2)
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
ANSWERED = frozenset({b"grpc-status", b"grpc-message", b"x-not-processed", b"x-server-load"})  # read here
OURS = CONNECTION | {
    b"content-type",
    b"content-encoding",
    b"grpc-encoding",
    b"accept-encoding",
    b"grpc-accept-encoding",
}
SECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
NEVER = b"-1"  # a pushback that forbids to try again (gRFC A6)
HARMLESS = (501, 503)  # say that nothing ran


def is_grpc(content_type: bytes) -> bool:
    """Whether a content type is gRPC's: application/grpc, alone or with + or ; behind it."""
    kind = content_type.lower()
    return kind.startswith(GRPC) and kind[len(GRPC) : len(GRPC) + 1] in (b"", b"+", b";")


def lines_of(fields: Iterable[tuple[bytes, bytes]], without: frozenset[bytes] = frozenset()) -> bytes:
    """Fields as header lines; pseudo-headers and those named are left out."""
    return b"".join(b"%b: %b\r\n" % field for field in fields if field[0][:1] != b":" and field[0] not in without)


def fields_of(lines: Iterable[bytes], without: frozenset[bytes] = CONNECTION) -> Fields:
    """Header lines as fields."""
    found: Fields = []
    for line in b"".join(lines).split(b"\r\n"):
        name, _, value = line.partition(b":")
        lower = name.lower()
        if lower and lower not in without:
            found.append((lower, value.strip()))
    return found


# ---- requests ------------------------------------------------------------------------------------


def request_fields(request: Request, left: float) -> Fields:
    """The head of a request that came as gRPC, on its way to a gRPC box that is waited for so many seconds."""
    came = fields_of(request.lines, CONNECTION - {b"host"})
    return [
        *_pseudo(request.target, dict(came)),
        (b"te", b"trailers"),
        (b"grpc-timeout", write_timeout(left)),
        *(field for field in came if field[0] != b"host"),
    ]


def wrapped(request: Request, left: float) -> tuple[Fields, bytes]:
    """An HTTP/1.1 request on its way to a gRPC box: its body is the one message.

    gRPC knows neither methods nor queries: they go along as metadata, and so does a content type of its own.
    """
    path, _, query = request.target.partition(b"?")
    came = fields_of(request.lines, frozenset())
    told = dict(came)
    kind, encoding = told.get(b"content-type", b""), told.get(b"content-encoding", b"")
    accepted = told.get(b"accept-encoding", b"")
    fields = [field for field in came if field[0] not in OURS]
    fields += [(b"te", b"trailers"), (b"grpc-timeout", write_timeout(left)), (b"content-type", _grpc_type(kind))]
    for name, value in (
        (b"x-http-method", request.method),
        (b"x-http-query", query),
        (b"x-http-content-type", kind),
        (b"grpc-encoding", encoding),
        (b"grpc-accept-encoding", accepted),
    ):
        if value:
            fields.append((name, value))
    compressed = bool(encoding) and encoding.lower() != b"identity"
    return [*_pseudo(path, told), *fields], pack(request.body, compressed)


def unwrapped(request: Request) -> Request:
    """A gRPC request of one message on its way to an HTTP/1.1 box: the message is the body. Raises Spoilt."""
    messages = unpack(request.body)
    if len(messages) != 1:
        raise Spoilt(f"{len(messages)} messages, where HTTP/1.1 has one body")
    [(compressed, body)] = messages
    came = fields_of(request.lines, frozenset())
    told = dict(came)
    fields = [field for field in came if field[0] == b"host" or field[0] not in OURS]
    fields.append((b"content-type", _plain_type(told.get(b"content-type", b""))))
    if compressed:
        fields.append((b"content-encoding", told.get(b"grpc-encoding", b"gzip")))
    if b"grpc-accept-encoding" in told:
        fields.append((b"accept-encoding", told[b"grpc-accept-encoding"]))
    # Guards an HTTP/1.1 box that takes `_` for `-` and would read a name that was not checked here.
    lines = [b"%b: %b\r\n" % field for field in fields if b"_" not in field[0]]
    return replace(request, lines=lines, body=body, grpc_form=None)


def _pseudo(path: bytes, told: dict[bytes, bytes]) -> Fields:
    return [(b":method", b"POST"), (b":scheme", b"http"), (b":path", path), (b":authority", told.get(b"host", b""))]


def _grpc_type(kind: bytes) -> bytes:
    """The gRPC content type that a plain one is told as."""
    name = kind.lower().partition(b";")[0].strip()
    if not name.startswith(b"application/"):
        return GRPC
    name = name[len(b"application/") :]
    return b"%b+%b" % (GRPC, FORMATS.get(name, name))


def _plain_type(kind: bytes) -> bytes:
    """The plain content type that a gRPC one is told as."""
    name = kind.lower().partition(b";")[0].strip()[len(GRPC) + 1 :] or b"proto"
    return b"application/%b" % NAMES.get(name, name)


# ---- answers -------------------------------------------------------------------------------------


def answer_head(head: Fields) -> bytes:
    """The header lines of a gRPC answer, as they go on."""
    return lines_of(head, CONNECTION | ANSWERED)


def answer_tail(tail: Fields) -> bytes:
    """The trailers of a gRPC answer, as they go on."""
    return lines_of(tail, CONNECTION | {b"x-server-load", b"content-type"})


def plain_answer(head: Fields, tail: Fields, body: bytes) -> Response:
    """A whole gRPC answer on its way to an HTTP/1.1 caller: its message is the body, or its text where it failed.

    Raises Spoilt where it was served with any other number of messages than one.
    """
    told = dict(tail)
    code = read_status(told.get(b"grpc-status"))
    fields = [field for field in (*head, *tail) if field[0] not in OURS | ANSWERED]
    fields.append((b"grpc-status", told.get(b"grpc-status", b"2")))
    lines = lines_of(fields)
    if code is not Status.OK:
        text = decode_message(told.get(b"grpc-message", b""))[:MESSAGE_MOST]
        return Response(
            http_status(2 if code is None else int(code)),
            lines + b"Content-Type: text/plain\r\n",
            text + b"\n" if text else b"",
        )
    messages = unpack(body)
    if len(messages) != 1:
        raise Spoilt(f"{len(messages)} messages, where HTTP/1.1 has one body")
    [(compressed, message)] = messages
    kinds = dict(head)
    kind = kinds.get(b"x-http-content-type") or _plain_type(kinds.get(b"content-type", GRPC))
    lines += b"Content-Type: %b\r\n" % kind
    if compressed:
        lines += b"Content-Encoding: %b\r\n" % kinds.get(b"grpc-encoding", b"gzip")
    return Response(200, lines, message)


def served_answer(status: int, head: bytes, body: bytes, kind: bytes) -> tuple[Fields, bytes, Fields]:
    """An HTTP/1.1 answer, or one that is made here, on its way to a gRPC caller: head, messages and trailers.

    `kind` is the content type of the request. Only one below 300 has a message; of others the text is told.
    """
    came = fields_of([head], frozenset())
    told = dict(came)
    fields = [field for field in came if field[0] not in OURS | ANSWERED]
    own = read_status(told.get(b"grpc-status"))
    code = status_of(status) if own is None or (own is Status.OK) != (status < 300) else own
    if code is Status.OK:
        encoding = told.get(b"content-encoding", b"")
        first: Fields = [(b":status", b"200"), (b"content-type", kind or GRPC)]
        if encoding:
            first.append((b"grpc-encoding", encoding))
        compressed = bool(encoding) and encoding.lower() != b"identity"
        return first + fields, pack(body, compressed), [(b"grpc-status", b"0")]
    text = body[:MESSAGE_MOST].strip() if told.get(b"content-type", b"text").startswith(b"text") else b""
    seconds = _seconds(told.get(b"retry-after", b""))
    never = status >= 500 and status not in HARMLESS and seconds is None
    tail = failure(code, text or b"HTTP status %d" % status, seconds, never)
    return [(b":status", b"200"), (b"content-type", kind or GRPC)], b"", [*fields, *tail]


def _seconds(value: bytes) -> float | None:
    """A `Retry-After` in seconds; one that is a date tells nothing here."""
    return float(value) if SECONDS.fullmatch(value) else None


def failure(code: int, text: bytes, seconds: float | None = None, never: bool = False) -> Fields:
    """Trailers that tell a failure, when to come back where that is known, and whether another try does harm."""
    tail: Fields = [(b"grpc-status", b"%d" % code), (b"grpc-message", encode_message(text))]
    if never:
        tail.append((b"grpc-retry-pushback-ms", NEVER))
    elif seconds is not None:
        tail.append((b"grpc-retry-pushback-ms", b"%d" % round(seconds * 1e3)))
        tail.append((b"grpc-status-details-bin", retry_details(code, text, seconds)))
    return tail
