"""Encoding of requests to the local backend over HTTP/1.1, and classification of its responses."""

from __future__ import annotations

from lugspur.interfaces import Response
from lugspur.load_balancing.model import Outcome
from lugspur.mesh.control.messages import ForwardRequest
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_headers import ATTEMPT_ID_HEADER

NOT_DELIVERED_HEADER = b"lugspur-not-delivered"  # in a response: proof that the backend did not run the request
POSTMARK_HEADER = b"lugspur-postmark"  # present in every successful response
METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")  # Content-Length is sent even if it is 0 (RFC 9110, section 8.6)
MISDIRECTED_REQUEST = 421  # RFC 9110, section 15.5.20: another backend now listens at the address

NOT_RUN_CAUSES = {
    Outcome.OVERLOADED: FailureCause.REFUSED,
    Outcome.UNREACHABLE: FailureCause.UNREACHABLE,
    Outcome.NOT_PROCESSED: FailureCause.TOO_LITTLE_TIME,
}
"""Outcomes that prove that the backend did not run the request."""

UNKNOWN_CAUSES = {
    Outcome.TIMEOUT: FailureCause.TIMED_OUT,
    Outcome.INTERRUPTED: FailureCause.CONNECTION_BROKEN,
    Outcome.CANCELLED: FailureCause.CANCELLED,
}
"""Outcomes after which the request may have run."""


def classify_response(status: int, is_not_delivered: bool) -> Outcome:
    """Return OVERLOADED if a response proves that the request did not run, else OK."""
    return Outcome.OVERLOADED if is_not_delivered or status == MISDIRECTED_REQUEST else Outcome.OK


def encode_request(forward: ForwardRequest, seconds_left: float, payload_bytes: int = 0) -> bytes:
    """Return a request as HTTP/1.1 bytes, with headers for the backend's incarnation id and the time left.

    `payload_bytes`: size of a body that is sent behind these bytes, if it isn't that of `forward`.
    """
    length = b""
    if forward.body or payload_bytes or forward.method in METHODS_WITH_BODY:
        length = b"Content-Length: %d\r\n" % (payload_bytes or len(forward.body))
    return b"%b %b HTTP/1.1\r\n%bLugspur-Deliver-By-Ms: %d\r\nLugspur-Deliver-To: %b\r\n%b\r\n%b" % (
        forward.method,
        forward.target,
        b"".join(forward.header_lines),
        max(1, int(seconds_left * 1000.0)),
        forward.backend.encode(),
        length,
        forward.body,
    )


def is_valid_response(forward: ForwardRequest, response: Response) -> bool:
    """Whether a response is intact and belongs to this request."""
    headers: dict[bytes, bytes] = {}
    for line in response.head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        name = name.lower()
        if name == ATTEMPT_ID_HEADER and name in headers:  # Ambiguous: the request of the response is unclear.
            return False
        headers[name] = value.strip(b" \t")
    if headers.get(ATTEMPT_ID_HEADER) != forward.attempt_id or b"content-encoding" in headers:
        return False
    return response.status // 100 != 2 or POSTMARK_HEADER in headers
