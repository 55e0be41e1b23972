"""`grpc-timeout` (PROTOCOL-HTTP2.md): at most eight digits and a unit."""

from __future__ import annotations

import re

#: Seconds of each unit.
UNITS = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
TIMEOUT_PATTERN = re.compile(rb"([0-9]{1,8})([HMSmun])")
MAX_COUNT = 99_999_999
#: The longest timeout that X-Timeout can express; the longest `grpc-timeout` is 3.6e11 s.
MAX_TIMEOUT_SECONDS = 999_999_999.0


def read_timeout(value: bytes) -> float:
    """Return the seconds of a `grpc-timeout`, at most MAX_TIMEOUT_SECONDS; raises ValueError."""
    match = TIMEOUT_PATTERN.fullmatch(value)
    if match is None:
        raise ValueError("grpc-timeout is malformed; write one to eight digits and one of H, M, S, m, u and n")
    return min(int(match[1]) * UNITS[match[2]], MAX_TIMEOUT_SECONDS)


def write_timeout(seconds: float) -> bytes:
    """Return a `grpc-timeout` in the finest unit that can express it, of at least 1 ns.

    It is rounded down, so that a backend is never told more time than is left.
    """
    for unit, size in reversed(UNITS.items()):
        count = int(seconds / size)
        if count <= MAX_COUNT:
            return b"%d%b" % (max(count, 1) if unit == b"n" else count, unit)
    return b"%dH" % MAX_COUNT
