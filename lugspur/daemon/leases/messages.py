"""What those who want a duty and the electors say to each other, in bodies of the fleet's datagrams. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_ROLE_CHARACTERS = 96  # characters of a duty's name
EPOCH_LIMIT = 1 << 52
RoleName = Annotated[str, Meta(min_length=1, max_length=MAX_ROLE_CHARACTERS)]
Epoch = Annotated[int, Meta(ge=0, lt=EPOCH_LIMIT)]
RoundNumber = Annotated[int, Meta(ge=0, lt=1 << 52)]
DurationSeconds = Annotated[float, Meta(ge=0.0, le=86400.0)]


class RequestLease(Struct, frozen=True, array_like=True, tag=1):
    """Promise me this duty under this epoch, or promise it anew."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber  # counted up by whoever asks: a reply counts for its own round alone
    lease_seconds: DurationSeconds  # that it counts on


class GrantLease(Struct, frozen=True, array_like=True, tag=2):
    """Nobody else is promised it for the lease's time from now on."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber


class DenyLease(Struct, frozen=True, array_like=True, tag=3):
    """Not now, or not under that epoch."""

    role: RoleName
    epoch: Epoch  # the highest that was promised
    round_number: RoundNumber
    holder: Annotated[str, Meta(max_length=64)]  # whom it is promised to; empty: nobody
    available_in_seconds: DurationSeconds  # until it is free here


class ReleaseLease(Struct, frozen=True, array_like=True, tag=4):
    """I don't hold it, or hold it no more: promise it to others."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber


class RoleAvailable(Struct, frozen=True, array_like=True, tag=5):
    """It has been given up: ask now, if you want it."""

    role: RoleName
    epoch: Epoch


Message = RequestLease | GrantLease | DenyLease | ReleaseLease | RoleAvailable
_decoder = msgspec.msgpack.Decoder(list[Message])
_encoder = msgspec.msgpack.Encoder()


class MalformedMessageError(Exception):
    """What came is none of these messages."""


def encode_messages(messages: list[Message]) -> bytes:
    """Some of them as one body."""
    return _encoder.encode(messages)


def decode_messages(body: bytes) -> list[Message]:
    """What a body holds; raises Malformed."""
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise MalformedMessageError(str(fault)) from fault
    if any(
        isinstance(message, DenyLease) and message.available_in_seconds != message.available_in_seconds
        for message in found
    ):
        raise MalformedMessageError("no number")
    return found
