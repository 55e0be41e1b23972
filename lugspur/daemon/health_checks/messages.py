"""The messages between the health checker of a pool and the other daemons, sent as user messages of gossip. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lugspur.daemon.leases.messages import EPOCH_LIMIT, MalformedMessageError

MAX_POOL_CHARACTERS, MAX_BACKEND_CHARACTERS = 64, 128
#: The limit of all names in one report. Each daemon finds a failed backend that does not fit by itself, as without a
#: health checker.
MAX_NAMES_BYTES = 800
NAME_OVERHEAD_BYTES = 3  # the most that msgpack adds to a string
MAX_UNHEALTHY_BACKENDS = 64  # in one report
SEQUENCE_NUMBER_LIMIT = 1 << 52  # exclusive

Pool = Annotated[str, Meta(min_length=1, max_length=MAX_POOL_CHARACTERS)]
Backend = Annotated[str, Meta(min_length=1, max_length=MAX_BACKEND_CHARACTERS)]


class ConnectionFailure(Struct, frozen=True, array_like=True, tag=1):
    """The sender could not connect to a backend."""

    pool: Pool
    backend: Backend
    is_forwarded: bool = False  # by a daemon that is not the health checker; not forwarded again


class HealthReport(Struct, frozen=True, array_like=True, tag=2):
    """The backends of a pool that its health checker regards as unhealthy, as many as fit."""

    pool: Pool
    epoch: Annotated[int, Meta(ge=0, lt=EPOCH_LIMIT)]  # of the lease under which the sender is the health checker
    sequence_number: Annotated[int, Meta(ge=0, lt=SEQUENCE_NUMBER_LIMIT)]  # an older report is ignored
    unhealthy: Annotated[list[Backend], Meta(max_length=MAX_UNHEALTHY_BACKENDS)]


Message = ConnectionFailure | HealthReport
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the body of a user message."""
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
    """Return as many of the names, from the first one on, as fit into one report."""
    remaining_bytes, fitting = MAX_NAMES_BYTES, list[str]()
    for name in names:
        remaining_bytes -= len(name.encode()) + NAME_OVERHEAD_BYTES
        if remaining_bytes < 0 or len(fitting) >= MAX_UNHEALTHY_BACKENDS:
            break
        fitting.append(name)
    return fitting
