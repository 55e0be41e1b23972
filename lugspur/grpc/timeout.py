"""`grpc-timeout` (PROTOCOL-HTTP2.md): at most eight digits and a unit."""

from __future__ import annotations

import re

UNITS = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
FORM = re.compile(rb"([0-9]{1,8})([HMSmun])")
DIGITS_MOST = 99_999_999
LONGEST = 999_999_999.0  # seconds: what X-Timeout can say; the longest time-out of all is 3.6e11 s


def read_timeout(value: bytes) -> float:
    """Seconds, at most LONGEST; raises ValueError."""
    found = FORM.fullmatch(value)
    if found is None:
        raise ValueError("grpc-timeout is malformed; write one to eight digits and one of H, M, S, m, u and n")
    return min(int(found[1]) * UNITS[found[2]], LONGEST)


def write_timeout(seconds: float) -> bytes:
    """The finest unit that holds it, rounded down: a box must not be told more than is left; 1 ns at the least."""
    for unit, size in reversed(UNITS.items()):
        count = int(seconds / size)
        if count <= DIGITS_MOST:
            return b"%d%b" % (max(count, 1) if unit == b"n" else count, unit)
    return b"%dH" % DIGITS_MOST
