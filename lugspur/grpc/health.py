"""The standard health service's messages (grpc/health/v1/health.proto)."""

from __future__ import annotations

from enum import IntEnum

SERVICE_MOST = 256  # bytes of a service's name


class Serving(IntEnum):
    """HealthCheckResponse.ServingStatus."""

    UNKNOWN = 0
    SERVING = 1
    NOT_SERVING = 2
    SERVICE_UNKNOWN = 3


def read_service(message: bytes) -> str:
    """The service that a HealthCheckRequest names; raises ValueError. Fields that are not known are passed over."""
    service, at = b"", 0
    while at < len(message):
        key, at = _varint(message, at)
        kind = key & 7
        if kind == 0:
            _, at = _varint(message, at)
        elif kind in (1, 5):
            at += 8 if kind == 1 else 4
        elif kind == 2:
            size, at = _varint(message, at)
            if key >> 3 == 1:
                service = message[at : at + size]
            at += size
        else:
            raise ValueError(f"a field of the unknown kind {kind}")
    if at != len(message):
        raise ValueError("the message is cut")
    if len(service) > SERVICE_MOST:
        raise ValueError(f"a service's name has {SERVICE_MOST} bytes at most")
    return service.decode()


def _varint(data: bytes, at: int) -> tuple[int, int]:
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


def write_serving(status: Serving) -> bytes:
    """A HealthCheckResponse."""
    return b"\x08%c" % status if status else b""
