"""Statuses and how they are told: codes, HTTP statuses, percent-encoded messages, and when to come back.

Sources: gRPC's PROTOCOL-HTTP2.md and statuscodes.md; google/rpc/code.proto, status.proto and error_details.proto.
"""

from __future__ import annotations

import base64
import re
from enum import IntEnum
from urllib.parse import unquote_to_bytes


class Status(IntEnum):
    """google.rpc.Code."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


HTTP = {  # by the comments of google/rpc/code.proto
    Status.OK: 200,
    Status.CANCELLED: 499,
    Status.UNKNOWN: 500,
    Status.INVALID_ARGUMENT: 400,
    Status.DEADLINE_EXCEEDED: 504,
    Status.NOT_FOUND: 404,
    Status.ALREADY_EXISTS: 409,
    Status.PERMISSION_DENIED: 403,
    Status.RESOURCE_EXHAUSTED: 429,
    Status.FAILED_PRECONDITION: 400,
    Status.ABORTED: 409,
    Status.OUT_OF_RANGE: 400,
    Status.UNIMPLEMENTED: 501,
    Status.INTERNAL: 500,
    Status.UNAVAILABLE: 503,
    Status.DATA_LOSS: 500,
    Status.UNAUTHENTICATED: 401,
}
BACK = {  # of those that are told by several, the one that says least
    400: Status.INVALID_ARGUMENT,
    401: Status.UNAUTHENTICATED,
    403: Status.PERMISSION_DENIED,
    404: Status.NOT_FOUND,
    405: Status.UNIMPLEMENTED,
    408: Status.DEADLINE_EXCEEDED,
    409: Status.ABORTED,
    412: Status.FAILED_PRECONDITION,
    413: Status.RESOURCE_EXHAUSTED,
    416: Status.OUT_OF_RANGE,
    429: Status.RESOURCE_EXHAUSTED,
    431: Status.RESOURCE_EXHAUSTED,
    499: Status.CANCELLED,
    500: Status.INTERNAL,
    501: Status.UNIMPLEMENTED,
    503: Status.UNAVAILABLE,
    504: Status.DEADLINE_EXCEEDED,
}
PLAIN = re.compile(rb"[\x20-\x24\x26-\x7e]*")  # what a message may hold unencoded: all that prints but %
MESSAGE_MOST = 1 << 10  # bytes of a status message that is made here of a backend's text


def http_status(code: int) -> int:
    """The HTTP status that says what this code says; a code that nobody knows is UNKNOWN."""
    return HTTP[Status(code)] if 0 <= code < len(Status) else 500


def status_of(http: int) -> Status:
    """The code that says what this HTTP status says."""
    if 200 <= http < 300:
        return Status.OK
    found = BACK.get(http)
    if found is None:
        found = Status.INVALID_ARGUMENT if 400 <= http < 500 else Status.UNKNOWN
    return found


def read_status(value: bytes | None) -> Status | int | None:
    """A `grpc-status` as it came; None where there is none, or none that can be read."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    code = int(value)
    return Status(code) if code < len(Status) else code


def encode_message(text: bytes) -> bytes:
    """A `grpc-message`: percent-encoded where it must be (PROTOCOL-HTTP2.md, Status-Message)."""
    if PLAIN.fullmatch(text):
        return text
    return b"".join(bytes((c,)) if 0x20 <= c <= 0x7E and c != 0x25 else b"%%%02X" % c for c in text)


def decode_message(value: bytes) -> bytes:
    """The text of a `grpc-message`; what is no percent-encoding is left as it is."""
    return unquote_to_bytes(value)


def _field(number: int, data: bytes) -> bytes:
    """A length-delimited field of a protobuf message."""
    return varint(number << 3 | 2) + varint(len(data)) + data


def varint(value: int) -> bytes:
    """A whole number as protobuf writes it."""
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def retry_details(code: int, message: bytes, seconds: float) -> bytes:
    """A `grpc-status-details-bin` that holds a google.rpc.RetryInfo; base64 without padding."""
    whole = int(seconds)
    delay = (b"\x08" + varint(whole)) * bool(whole)
    nanos = round((seconds - whole) * 1e9)
    delay += (b"\x10" + varint(nanos)) * bool(nanos)
    any_of = _field(1, b"type.googleapis.com/google.rpc.RetryInfo") + _field(2, _field(1, delay))
    status = b"\x08" + varint(code) + _field(2, message) + _field(3, any_of)
    return base64.b64encode(status).rstrip(b"=")
