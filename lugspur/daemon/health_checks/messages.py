"""What the health checker of a pool and the other daemons send each other, in user messages of gossip. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lugspur.daemon.leases.messages import EPOCH_LIMIT, MalformedMessageError

MAX_POOL_CHARACTERS, MAX_BACKEND_CHARACTERS = 64, 128
# Of the names in one report. A backend that does not fit is found by each daemon itself, as without a health checker.
MAX_NAMES_BYTES = 800
NAME_OVERHEAD_BYTES = 3  # of msgpack for a string, at most
MAX_UNHEALTHY_BACKENDS = 64  # in one report
SEQUENCE_NUMBER_LIMIT = 1 << 52  # exclusive

Pool = Annotated[str, Meta(min_length=1, max_length=MAX_POOL_CHARACTERS)]
Backend = Annotated[str, Meta(min_length=1, max_length=MAX_BACKEND_CHARACTERS)]


class ConnectionFailure(Struct, frozen=True, array_like=True, tag=1):
    """The sender could not connect to a backend."""

    pool: Pool
    backend: Backend
    is_forwarded: bool = False  # by a daemon that is not the health checker: it is forwarded no further


class HealthReport(Struct, frozen=True, array_like=True, tag=2):
    """The backends of a pool that its health checker holds for unhealthy, all of them that fit."""

    pool: Pool
    epoch: Annotated[int, Meta(ge=0, lt=EPOCH_LIMIT)]  # of the lease under which the sender is the health checker
    sequence_number: Annotated[int, Meta(ge=0, lt=SEQUENCE_NUMBER_LIMIT)]  # an older report does not count
    unhealthy: Annotated[list[Backend], Meta(max_length=MAX_UNHEALTHY_BACKENDS)]


Message = ConnectionFailure | HealthReport
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the body that carries a message."""
    return msgspec.msgpack.encode(message)


def decode_message(body: bytes) -> Message:
    """Return the message of a body.

    Raises:
        MalformedMessageError: The body holds no message, or one with values out of bounds.
    """
    try:
        message: Message = _decoder.decode(body)
        return message
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from error


def names_that_fit(names: list[str]) -> list[str]:
    """Return the names, from the first one on, that one report has room for."""
    room_bytes, fitting = MAX_NAMES_BYTES, list[str]()
    for name in names:
        room_bytes -= len(name.encode()) + NAME_OVERHEAD_BYTES
        if room_bytes < 0 or len(fitting) >= MAX_UNHEALTHY_BACKENDS:
            break
        fitting.append(name)
    return fitting
