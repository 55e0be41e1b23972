"""Statuses and their encoding: codes, HTTP statuses, percent-encoded messages, and retry delays.

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


#: The HTTP status of each code, from the comments in google/rpc/code.proto.
HTTP_STATUSES = {
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
#: The code of each HTTP status; where several codes have the same HTTP status, the least specific one.
CODES_BY_HTTP_STATUS = {
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
#: Status messages that need no percent-encoding: all printable ASCII characters but %.
UNENCODED_MESSAGE = re.compile(rb"[\x20-\x24\x26-\x7e]*")
#: The limit of a status message that the proxy makes from the body of a backend's response.
MAX_MESSAGE_BYTES = 1 << 10


def http_status(code: int) -> int:
    """Return the HTTP status of a code; that of UNKNOWN for an undefined code."""
    return HTTP_STATUSES[Status(code)] if 0 <= code < len(Status) else 500


def grpc_status(http: int) -> Status:
    """Return the code of an HTTP status."""
    if 200 <= http < 300:
        return Status.OK
    code = CODES_BY_HTTP_STATUS.get(http)
    if code is None:
        code = Status.INVALID_ARGUMENT if 400 <= http < 500 else Status.UNKNOWN
    return code


def parse_status(value: bytes | None) -> Status | int | None:
    """Return the code of a received `grpc-status`, or None if there is none or it is malformed."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    code = int(value)
    return Status(code) if code < len(Status) else code


def encode_message(text: bytes) -> bytes:
    """Return a `grpc-message`, percent-encoded where it must be (PROTOCOL-HTTP2.md, Status-Message)."""
    if UNENCODED_MESSAGE.fullmatch(text):
        return text
    return b"".join(bytes((c,)) if 0x20 <= c <= 0x7E and c != 0x25 else b"%%%02X" % c for c in text)


def decode_message(value: bytes) -> bytes:
    """Return the text of a `grpc-message`; invalid percent-encoding is left as it is."""
    return unquote_to_bytes(value)


def _field(number: int, data: bytes) -> bytes:
    """Return a length-delimited field of a protobuf message."""
    return _varint(number << 3 | 2) + _varint(len(data)) + data


def _varint(value: int) -> bytes:
    """Return a non-negative integer in the encoding of protobuf."""
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def retry_details(code: int, message: bytes, seconds: float) -> bytes:
    """Return a `grpc-status-details-bin` with a google.rpc.RetryInfo, in base64 without padding."""
    whole = int(seconds)
    delay = (b"\x08" + _varint(whole)) * bool(whole)
    nanos = round((seconds - whole) * 1e9)
    delay += (b"\x10" + _varint(nanos)) * bool(nanos)
    retry_info = _field(1, b"type.googleapis.com/google.rpc.RetryInfo") + _field(2, _field(1, delay))
    status = b"\x08" + _varint(code) + _field(2, message) + _field(3, retry_info)
    return base64.b64encode(status).rstrip(b"=")
