"""The messages of the standard health service (grpc/health/v1/health.proto)."""

from __future__ import annotations

from enum import IntEnum

MAX_SERVICE_NAME_BYTES = 256


class ServingStatus(IntEnum):
    """HealthCheckResponse.ServingStatus."""

    UNKNOWN = 0
    SERVING = 1
    NOT_SERVING = 2
    SERVICE_UNKNOWN = 3


def decode_service(message: bytes) -> str:
    """Return the service that a HealthCheckRequest names; raises ValueError. Unknown fields are skipped."""
    service, at = b"", 0
    while at < len(message):
        key, at = _varint(message, at)
        wire_type = key & 7
        if wire_type == 0:
            _, at = _varint(message, at)
        elif wire_type in (1, 5):
            at += 8 if wire_type == 1 else 4
        elif wire_type == 2:
            size, at = _varint(message, at)
            if key >> 3 == 1:
                service = message[at : at + size]
            at += size
        else:
            raise ValueError(f"a field of the unknown kind {wire_type}")
    if at != len(message):
        raise ValueError("the message is cut")
    if len(service) > MAX_SERVICE_NAME_BYTES:
        raise ValueError(f"a service's name has {MAX_SERVICE_NAME_BYTES} bytes at most")
    return service.decode()


def _varint(data: bytes, at: int) -> tuple[int, int]:
    """Return the integer that begins at this offset, and the offset behind it; raises ValueError."""
    value = 0
    for shift in range(0, 70, 7):
        if at >= len(data):
            raise ValueError("the message is cut")
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, at
    raise ValueError("a number is too long")


def encode_serving_status(status: ServingStatus) -> bytes:
    """Return a HealthCheckResponse."""
    return b"\x08%c" % status if status else b""
