"""The answer to a caller whose request is given up, and when the caller should retry."""

from __future__ import annotations

from random import random

from lugspur.mesh.control.errors import RESPONSES, ErrorKind
from lugspur.seams import Answerable

MAX_RETRY_AFTER_FRACTION = 1 / 3  # of the time that a caller has left: longer than that none is asked to wait
MIN_RETRY_AFTER_SECONDS = 0.05


def reject(caller: Answerable, kind: ErrorKind, seconds_left: float = 0.0) -> None:
    """Answer a caller with what went wrong, and with `Retry-After` where a retry can help.

    `seconds_left`: the time that the caller has left; 0 where it is not known.
    """
    response = RESPONSES[kind]
    head = b""
    if response.retry_after_seconds:
        # Drawn anew for each caller: those that were rejected in one moment must not return in one moment.
        delay = response.retry_after_seconds * (0.5 + random())
        if response.spreads_retries and seconds_left > 0.0:
            # Where all backends are full only a late retry helps: a queue has to empty first, and a caller that is
            # rejected once more has no time left.
            delay = max(MIN_RETRY_AFTER_SECONDS, seconds_left * MAX_RETRY_AFTER_FRACTION * (0.6 + 0.4 * random()))
        head = b"Retry-After: %.3f\r\n" % delay
    caller.answer(response.status, head, kind.value.encode() + b"\n")
