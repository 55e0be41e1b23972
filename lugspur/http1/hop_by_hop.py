"""Headers that belong to one connection (RFC 9110 7.6.1) or frame a message; neither are forwarded."""

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
