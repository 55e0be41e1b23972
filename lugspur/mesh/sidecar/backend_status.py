"""What a proxy says of its backend to the whole mesh."""

from __future__ import annotations

import msgspec


class BackendStatus(msgspec.Struct, array_like=True, frozen=True):
    """The value of a leased entry of the kind `backend`, under the IP number of the backend's machine."""

    id: str  # drawn by the backend at each of its starts
    service: str
    zone: str
    state: str  # `accepting`, `closing` or `gone`
    berths: int  # requests that it works on at once
    cold: float  # seconds for which it stays slow, from when this was said
    rate: float = 0.0  # bytes a second of its machine's link; 0: unknown


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BackendStatus)


def encode_status(status: BackendStatus) -> bytes:
    """The value of the entry."""
    return _encoder.encode(status)


def decode_status(value: bytes) -> BackendStatus:
    """The status of an entry's value; raises msgspec.MsgspecError where it is none."""
    return _decoder.decode(value)
