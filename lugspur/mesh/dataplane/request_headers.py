"""Headers of the mesh that the request path reads from callers and sets for backends."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from lugspur.interfaces import Request
from lugspur.mesh.control.errors import ErrorKind, MeshError

ATTEMPT_ID_HEADER = b"lugspur-attempt-id"
IDEMPOTENCY_KEY_HEADER = b"lugspur-operation-key"
DELIVER_BY_HEADER = b"lugspur-deliver-by-ms"
SENDER_HEADER = b"lugspur-sender"
DELIVER_TO_HEADER = b"lugspur-deliver-to"
#: Headers that the proxy sets for each backend; values that the caller sent are dropped.
OWN_HEADERS = (SENDER_HEADER, DELIVER_TO_HEADER, DELIVER_BY_HEADER)
#: Headers that the request parser omits from the header lines, since the daemon rewrites them; the mesh restores them.
PARSED_HEADERS = (b"host", b"x-request-id", b"x-forwarded-for", b"x-forwarded-proto")
MAX_ID_BYTES = 256  # maximum length of an attempt id or an idempotency key
MAX_DELIVER_BY_DIGITS = 9


class RequestIds(NamedTuple):
    """The ids of a request; the idempotency key is empty if the request has none."""

    attempt_id: bytes
    idempotency_key: bytes


def read_ids(request: Request) -> RequestIds:
    """Return the ids of a request; raises MeshError (BAD_REQUEST) if they are invalid."""
    attempt_id = request.headers.get(ATTEMPT_ID_HEADER, b"")
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, b"")
    if not 0 < len(attempt_id) <= MAX_ID_BYTES or len(key) > MAX_ID_BYTES:
        raise MeshError(ErrorKind.BAD_REQUEST)
    # Repeated headers are joined by commas. An ambiguous id could make a request run twice that must run once.
    if b"," in attempt_id:
        raise MeshError(ErrorKind.BAD_REQUEST)
    return RequestIds(attempt_id, key)


def loggable_attempt_id(request: Request) -> bytes:
    """Return a request's attempt id, truncated to the length that failure records keep."""
    return request.headers.get(ATTEMPT_ID_HEADER, b"")[:MAX_ID_BYTES]


def read_seconds_left(request: Request) -> float | None:
    """Return the time that the caller gives its request in seconds, or None; raises MeshError (BAD_REQUEST)."""
    value = request.headers.get(DELIVER_BY_HEADER)
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_DELIVER_BY_DIGITS:
        raise MeshError(ErrorKind.BAD_REQUEST)
    return int(value) / 1000.0


def seconds_left_in(headers: Mapping[bytes, bytes]) -> float | None:
    """Return the time that a caller gives a request with these headers in seconds, or None if it is unknown."""
    value = headers.get(DELIVER_BY_HEADER, b"")
    return int(value) / 1000.0 if value.isdigit() and len(value) <= MAX_DELIVER_BY_DIGITS else None


def encode_headers(request: Request, sender: str) -> list[bytes]:
    """Return the header lines of a request for a backend; `sender` is the service of this machine.

    Headers that differ between backends are added by the concurrency limiter.
    """
    lines = [line for line in request.lines if line.partition(b":")[0].lower() not in OWN_HEADERS]
    for name in PARSED_HEADERS:
        value = request.headers.get(name)
        if value is not None:
            lines.append(b"%b: %b\r\n" % (name.title(), value))
    lines.append(b"Lugspur-Sender: %b\r\n" % sender.encode())
    return lines
