"""The status of a backend, which its sidecar publishes to the whole mesh."""

from __future__ import annotations

import msgspec


class BackendStatus(msgspec.Struct, array_like=True, frozen=True):
    """The value of a leased entry of the kind `backend`, whose name is the IP address of the backend's machine."""

    id: str  # drawn by the backend at each start
    service: str
    zone: str
    state: str  # `accepting`, `closing` or `gone`
    concurrency: int  # requests that it can run at once
    slow_start_seconds: float  # seconds of slow start that are left when the status is published
    link_rate: float = 0.0  # bytes per second of its machine's link; 0 if unknown


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BackendStatus)


def encode_status(status: BackendStatus) -> bytes:
    """Return a status as the value of an entry."""
    return _encoder.encode(status)


def decode_status(value: bytes) -> BackendStatus:
    """Return the status in the value of an entry; raises msgspec.MsgspecError if it is invalid."""
    return _decoder.decode(value)
