"""Header lines that belong to one connection and go no further (RFC 9110 7.6.1), and those that frame a message."""

from __future__ import annotations

HOP_BY_HOP = frozenset(
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
    }
)
