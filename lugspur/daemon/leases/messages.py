"""What those who want a duty and the electors say to each other, in bodies of the fleet's datagrams. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

DUTY_MOST = 96  # characters of a duty's name
EPOCH_MOST = 1 << 52
Duty = Annotated[str, Meta(min_length=1, max_length=DUTY_MOST)]
Epoch = Annotated[int, Meta(ge=0, lt=EPOCH_MOST)]
Round = Annotated[int, Meta(ge=0, lt=1 << 52)]
Seconds = Annotated[float, Meta(ge=0.0, le=86400.0)]


class Want(Struct, frozen=True, array_like=True, tag=1):
    """Promise me this duty under this epoch, or promise it anew."""

    duty: Duty
    epoch: Epoch
    round: Round  # counted up by whoever asks: a reply counts for its own round alone
    lease: Seconds  # that it counts on


class Grant(Struct, frozen=True, array_like=True, tag=2):
    """Nobody else is promised it for the lease's time from now on."""

    duty: Duty
    epoch: Epoch
    round: Round


class No(Struct, frozen=True, array_like=True, tag=3):
    """Not now, or not under that epoch."""

    duty: Duty
    epoch: Epoch  # the highest that was promised
    round: Round
    holder: Annotated[str, Meta(max_length=64)]  # whom it is promised to; empty: nobody
    left: Seconds  # until it is free here


class Give(Struct, frozen=True, array_like=True, tag=4):
    """I don't hold it, or hold it no more: promise it to others."""

    duty: Duty
    epoch: Epoch
    round: Round


class Free(Struct, frozen=True, array_like=True, tag=5):
    """It has been given up: ask now, if you want it."""

    duty: Duty
    epoch: Epoch


Message = Want | Grant | No | Give | Free
_decoder = msgspec.msgpack.Decoder(list[Message])
_encoder = msgspec.msgpack.Encoder()


class Malformed(Exception):
    """What came is none of these messages."""


def pack(messages: list[Message]) -> bytes:
    """Some of them as one body."""
    return _encoder.encode(messages)


def unpack(body: bytes) -> list[Message]:
    """What a body holds; raises Malformed."""
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise Malformed(str(fault)) from fault
    if any(isinstance(message, No) and message.left != message.left for message in found):
        raise Malformed("no number")
    return found
