"""The error response to a rejected request, and the time after which its caller should retry."""

from __future__ import annotations

from random import random

from lugspur.interfaces import Responder
from lugspur.mesh.control.errors import RESPONSES, ErrorKind

MAX_RETRY_AFTER_FRACTION = 1 / 3  # maximum Retry-After, as a fraction of the caller's time left
MIN_RETRY_AFTER_SECONDS = 0.05


def reject(caller: Responder, kind: ErrorKind, seconds_left: float = 0.0) -> None:
    """Send an error response to a caller, with `Retry-After` if a retry can help.

    `seconds_left`: the time that the caller has left; 0 if unknown.
    """
    response = RESPONSES[kind]
    head = b""
    if response.retry_after_seconds:
        # Jitter spreads the retries of callers that were rejected at the same moment.
        delay = response.retry_after_seconds * (0.5 + random())
        if response.spreads_retries and seconds_left > 0.0:
            # If all backends are full, only a late retry helps: the queues must empty first, and a caller that is
            # rejected again has no time left.
            delay = max(MIN_RETRY_AFTER_SECONDS, seconds_left * MAX_RETRY_AFTER_FRACTION * (0.6 + 0.4 * random()))
        head = b"Retry-After: %.3f\r\n" % delay
    caller.respond(response.status, head, kind.value.encode() + b"\n")
