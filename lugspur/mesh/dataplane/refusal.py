"""How a caller is told that its request is given up, and when to come back if that helps."""

from __future__ import annotations

from random import random

from lugspur.mesh.control.errors import RESPONSES, ErrorKind
from lugspur.seams import Answerable

BACK_MOST = 1 / 3  # of the time that a caller has: for longer than that none is asked to wait
BACK_LEAST = 0.05  # seconds


def refuse(caller: Answerable, kind: ErrorKind, left: float = 0.0) -> None:
    """Tell a caller what went wrong, and when to come back if that helps; `left`: seconds that it has."""
    row = RESPONSES[kind]
    # Drawn anew for each: who was turned away in one moment must not come back in one moment. Where all are full it is
    # late that helps: a queue has to go first, and who is turned away again has no more time.
    after = row.retry_after_seconds * (0.5 + random())
    if row.spreads_retries and left > 0.0:
        after = max(BACK_LEAST, left * BACK_MOST * (0.6 + 0.4 * random()))
    head = b"Retry-After: %.3f\r\n" % after if row.retry_after_seconds else b""
    caller.answer(row.status, head, kind.value.encode() + b"\n")
